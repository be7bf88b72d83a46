//! A roll-out of a simulated service: nodes that hear each other's counts late, upstreams of two
//! versions, and a decision in steps.

use std::{sync::Arc, time::Duration};

use lycheelatch_policy::{
    ExposureGate, LATENCY_CLASSES, RollbackReason, RolloutCounts, RolloutEvidence, RolloutJudge,
    RolloutLimits, RolloutPhase, RolloutStep, RouteCounts, TrackCounts,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Time between two decisions; counts and steps are known one such time later.
pub const STEP: Duration = Duration::from_millis(200);

/// Median class of latency.
const MEDIAN_CLASS: f64 = 6.0;

/// Spread of latencies, in classes.
const CLASS_SPREAD: f64 = 1.5;

/// How the answers of upstreams differ from the usual ones.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fault {
    /// Share of responses that fail.
    pub failing: f64,
    /// Share of responses that are slow.
    pub slow: f64,
    /// Factor by which slow responses are slower.
    pub slowdown: f64,
    /// Time since the order from which it shows, as a share of the duration.
    pub from: f64,
    /// Route on which it shows; `None` for all.
    pub route: Option<usize>,
}

impl Fault {
    pub fn failing(share: f64) -> Fault {
        Fault { failing: share, slow: 0.0, slowdown: 1.0, from: 0.0, route: None }
    }

    pub fn slow(share: f64, slowdown: f64) -> Fault {
        Fault { failing: 0.0, slow: share, slowdown, from: 0.0, route: None }
    }

    pub fn from(self, from: f64) -> Fault {
        Fault { from, ..self }
    }

    pub fn on_route(self, route: usize) -> Fault {
        Fault { route: Some(route), ..self }
    }
}

/// A roll-out and the day on which it takes place.
#[derive(Debug, Clone)]
pub struct Setup {
    pub seed: u64,
    pub nodes: usize,
    pub routes: usize,
    /// Requests a second.
    pub rate: f64,
    pub duration: Duration,
    /// Failures of good versions.
    pub usual_failures: f64,
    /// What is wrong with the new version.
    pub canary: Option<Fault>,
    /// What strikes the upstreams of both versions.
    pub both: Option<Fault>,
    pub limits: RolloutLimits,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            seed: 1,
            nodes: 74,
            routes: 3,
            rate: 300.0,
            duration: Duration::from_secs(12),
            usual_failures: 0.004,
            canary: None,
            both: None,
            limits: limits(),
        }
    }
}

pub fn limits() -> RolloutLimits {
    RolloutLimits { max_exposure: 0.1, extra_requests: 50, rollback_time: Duration::from_secs(5) }
}

/// What happened until some time after the deadline.
#[derive(Debug, Clone, Default)]
pub struct Report {
    pub completed_at: Option<Duration>,
    pub rolled_back: Option<(Duration, RollbackReason)>,
    /// Requests between the order and the deadline.
    pub sent: u64,
    /// Requests to the new version between the order and the deadline.
    pub exposed: u64,
    /// Time of the 50th bad response of the new version.
    pub fiftieth_bad_at: Option<Duration>,
    /// Time of the last request to the new version.
    pub last_to_canary: Duration,
}

impl Report {
    pub fn keeps_exposure(&self, limits: &RolloutLimits) -> bool {
        let bound = limits.max_exposure * self.sent as f64 + f64::from(limits.extra_requests);
        self.exposed as f64 <= bound
    }

    pub fn keeps_rollback_time(&self, limits: &RolloutLimits) -> bool {
        self.fiftieth_bad_at.is_none_or(|at| self.last_to_canary <= at + limits.rollback_time)
    }
}

pub fn route_name(route: usize) -> Arc<str> {
    format!("route-{route}").into()
}

struct Rollout<'a> {
    setup: &'a Setup,
    rng: SmallRng,
    gates: Vec<ExposureGate>,
    counts: RolloutCounts,
    phase: RolloutPhase,
    share: f64,
    bad: u32,
    report: Report,
}

/// Plays a roll-out until it has ended and its deadline has passed by half of its duration.
pub fn play(setup: &Setup) -> Report {
    let mut rng = SmallRng::seed_from_u64(setup.seed);
    let seeds = (0..setup.nodes).map(|_| rng.random()).collect::<Vec<u64>>();
    let gates = seeds.into_iter().map(ExposureGate::new);
    let mut rollout = Rollout {
        setup,
        rng,
        gates: gates.collect(),
        counts: RolloutCounts::default(),
        phase: RolloutPhase::Canary,
        share: 0.0,
        bad: 0,
        report: Report::default(),
    };
    let mut judge = RolloutJudge::default();
    let mut now = Duration::ZERO;
    let mut pending = RolloutStep::Continue { canary_share: 0.0 };
    while now < setup.duration * 3 / 2 {
        let known = rollout.counts.clone();
        rollout.send(now);
        now += STEP;
        rollout.apply(now, &pending);
        pending = judge.decide(&rollout.evidence(known, now), &setup.limits);
    }
    rollout.report
}

impl Rollout<'_> {
    fn evidence(&self, counts: RolloutCounts, now: Duration) -> RolloutEvidence {
        RolloutEvidence {
            counts,
            since_order: now,
            duration: self.setup.duration,
            phase: self.phase,
            in_flight_at_stable: (self.setup.rate * STEP.as_secs_f64()) as u32,
        }
    }

    fn apply(&mut self, now: Duration, step: &RolloutStep) {
        match step {
            RolloutStep::Continue { canary_share } => self.share = *canary_share,
            RolloutStep::Promote => {
                self.phase = RolloutPhase::Promoting;
                self.share = 1.0;
            }
            RolloutStep::Complete => {
                self.phase = RolloutPhase::Completed;
                self.report.completed_at = Some(now);
            }
            RolloutStep::RollBack(reason) => {
                self.phase = RolloutPhase::RolledBack;
                self.share = 0.0;
                self.report.rolled_back.get_or_insert((now, reason.clone()));
            }
        }
    }

    fn send(&mut self, now: Duration) {
        let expected = self.setup.rate * STEP.as_secs_f64();
        let number = expected.floor() as u64 + u64::from(self.rng.random_bool(expected.fract()));
        for _ in 0..number {
            let node = self.rng.random_range(0..self.gates.len());
            let route = self.rng.random_range(0..self.setup.routes);
            let to_canary = self.gates[node].admit(self.share);
            self.note_request(now, to_canary);
            self.respond(now, route, to_canary);
        }
    }

    fn note_request(&mut self, now: Duration, to_canary: bool) {
        let counts = now < self.setup.duration;
        self.counts.sent += 1;
        self.counts.sent_to_canary += u64::from(to_canary);
        self.report.sent += u64::from(counts);
        self.report.exposed += u64::from(counts && to_canary);
        if to_canary {
            self.report.last_to_canary = now;
        }
    }

    fn respond(&mut self, now: Duration, route: usize, to_canary: bool) {
        let setup = self.setup;
        let has_begun = |fault: &Fault| now >= setup.duration.mul_f64(fault.from);
        let is_meant = |fault: &Fault| fault.route.is_none_or(|other| other == route);
        let applies = |fault: &Fault| has_begun(fault) && is_meant(fault);
        let of_version = setup.canary.filter(|fault| to_canary && applies(fault));
        let of_day = setup.both.filter(applies);
        let mut failed = self.rng.random_bool(setup.usual_failures);
        let mut class = MEDIAN_CLASS + CLASS_SPREAD * self.normal();
        let mut is_bad = false;
        for (fault, is_version) in [(of_version, true), (of_day, false)] {
            let Some(fault) = fault else { continue };
            let fails = self.rng.random_bool(fault.failing);
            let slow = self.rng.random_bool(fault.slow);
            failed |= fails;
            class += if slow { 2.0 * fault.slowdown.log2() } else { 0.0 };
            is_bad |= is_version && (fails || slow);
        }
        let name = route_name(route);
        let of_route = self.counts.routes.entry(name).or_default();
        record(if to_canary { &mut of_route.canary } else { &mut of_route.stable }, failed, class);
        self.bad += u32::from(is_bad);
        if self.bad >= 50 {
            self.report.fiftieth_bad_at.get_or_insert(now);
        }
    }

    /// Returns a number from about the standard normal distribution.
    fn normal(&mut self) -> f64 {
        2.0 * (0..3).map(|_| self.rng.random::<f64>() - 0.5).sum::<f64>()
    }
}

fn record(track: &mut TrackCounts, failed: bool, class: f64) {
    if failed {
        track.failed += 1;
        return;
    }
    let class = class.round().clamp(0.0, (LATENCY_CLASSES - 1) as f64) as usize;
    track.answered[class] += 1;
}

/// Returns counts of one route: attempts and failures of each track.
pub fn counts(stable: (u32, u32), canary: (u32, u32)) -> RolloutCounts {
    let track = |(ended, failed): (u32, u32)| {
        let mut answered = [0; LATENCY_CLASSES];
        answered[MEDIAN_CLASS as usize] = ended - failed;
        TrackCounts { failed, answered }
    };
    let route = RouteCounts { stable: track(stable), canary: track(canary) };
    RolloutCounts {
        sent: u64::from(stable.0 + canary.0),
        sent_to_canary: u64::from(canary.0),
        routes: [(route_name(0), route)].into(),
    }
}
