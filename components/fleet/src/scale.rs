//! What to start and stop, without following every change of the load.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use lycheelatch_config::FleetSpec;
use lycheelatch_provider::Offer;
use rand::Rng;
use tokio::time::Instant;

use crate::size::{Choice, InstanceKind, Mix, allows, cheapest_mix, choices, judge};

/// Time for which the highest need counts.
const NEED_WINDOW: Duration = Duration::from_secs(600);

/// Time for which starts outlast a need that has risen.
const NEED_HEADROOM: f64 = 1.1;

/// Price of the present mix against the cheapest from which it is changed.
const CHANGE_ABOVE: f64 = 1.1;

/// First pause after a refused start.
const MIN_BACKOFF: Duration = Duration::from_secs(5);

/// Longest pause after refused starts.
const MAX_BACKOFF: Duration = Duration::from_secs(300);

/// The need of a service, smoothed so that it falls late.
#[derive(Debug, Default)]
pub struct NeedWindow {
    /// Needs that no later one exceeds, in falling order.
    peaks: VecDeque<(Instant, f64)>,
}

impl NeedWindow {
    /// Takes the load of now and returns the need to plan for, in units a second.
    pub fn update(&mut self, now: Instant, load: f64) -> f64 {
        while self.peaks.back().is_some_and(|(_, peak)| *peak <= load) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, load));
        while self.peaks.front().is_some_and(|(at, _)| *at + NEED_WINDOW < now) {
            self.peaks.pop_front();
        }
        self.peaks.front().map_or(load, |(_, peak)| *peak) * NEED_HEADROOM
    }
}

/// Which kinds were refused lately.
#[derive(Debug, Default)]
pub struct StartBackoff {
    refused: HashMap<InstanceKind, (Instant, Duration)>,
}

impl StartBackoff {
    /// Notes a refused start; the pause doubles and is spread at random.
    pub fn refuse(&mut self, now: Instant, kind: &InstanceKind, rng: &mut impl Rng) {
        let earlier = self.refused.get(kind).map(|(_, pause)| *pause);
        let pause = earlier.map_or(MIN_BACKOFF, |pause| (pause * 2).min(MAX_BACKOFF));
        let spread = pause.mul_f64(rng.random_range(0.5..1.5));
        self.refused.insert(kind.clone(), (now + spread, pause));
    }

    /// Notes a start that was taken.
    pub fn accept(&mut self, kind: &InstanceKind) {
        self.refused.remove(kind);
    }

    /// Returns whether a start of this kind may be tried.
    pub fn may_try(&self, now: Instant, kind: &InstanceKind) -> bool {
        self.refused.get(kind).is_none_or(|(until, _)| *until <= now)
    }
}

/// Instances to start and to stop, by kind.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Instances that are wanted.
    pub wanted: Mix,
    /// Instances to start.
    pub start: Mix,
    /// Instances to stop, once what is started runs.
    pub stop: Mix,
}

/// Decides what to start and stop, given the instances that do not leave.
pub fn decide(
    now: Instant,
    need: f64,
    spec: &FleetSpec,
    offers: &[Offer],
    present: &Mix,
    backoff: &StartBackoff,
) -> Changes {
    let limit_of = |kind: &InstanceKind| match backoff.may_try(now, kind) {
        true => u32::MAX,
        // What is refused now can still be kept.
        false => present.get(kind).copied().unwrap_or(0),
    };
    let choices = choices(spec, offers, limit_of);
    let cheapest = cheapest_mix(need, spec, &choices);
    let wanted = match keeps_present(need, spec, &choices, present, &cheapest) {
        true => present.clone(),
        false => cheapest,
    };
    let start = difference(&wanted, present);
    // Nothing stops while its replacement is still to start.
    let stop = if start.is_empty() { difference(present, &wanted) } else { Mix::new() };
    Changes { wanted, start, stop }
}

fn keeps_present(
    need: f64,
    spec: &FleetSpec,
    choices: &[Choice],
    present: &Mix,
    cheapest: &Mix,
) -> bool {
    let is_offered = |kind: &InstanceKind| choices.iter().any(|choice| choice.kind == *kind);
    let (own, best) = (judge(present, choices), judge(cheapest, choices));
    let within = own.instances >= spec.min_instances
        && own.instances <= spec.max_instances
        && allows(spec, &own);
    let is_known = present.keys().all(is_offered);
    is_known && within && own.carried >= need && own.price <= best.price * CHANGE_ABOVE
}

fn difference(a: &Mix, b: &Mix) -> Mix {
    let left = |(kind, count): (&InstanceKind, &u32)| {
        let more = count.saturating_sub(b.get(kind).copied().unwrap_or(0));
        (more > 0).then(|| (kind.clone(), more))
    };
    a.iter().filter_map(left).collect()
}
