//! Replays of loads that many nodes place on uneven upstreams with stale views, compared with
//! least outstanding requests and with power of two choices by peak-EWMA latency.

use std::{cmp::Reverse, collections::BinaryHeap, collections::VecDeque, time::Duration};

use lycheelatch_policy::{
    SmoothedCount, SpeedSample, UpstreamCost, UpstreamSpeed, choose_upstream, cost_of_time,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

/// Usual time of a request, in seconds.
const USUAL: f64 = 0.06;

/// Time within which an answer is useful, in seconds.
const AIM: f64 = 0.15;

/// Time for which a replay runs, in seconds.
const DURATION: f64 = 16.0;

/// Time that is not counted, while the policies learn.
const WARM_UP: f64 = 3.0;

/// Time constant of the peak EWMA, in seconds.
const PEAK_DECAY: f64 = 10.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    Learnt,
    LeastOutstanding,
    PeakEwma,
}

/// A load and the upstreams it meets.
#[derive(Clone, Copy)]
struct Load {
    nodes: usize,
    upstreams: usize,
    slots: u32,
    per_second: f64,
    /// Time between two exchanges of views, in seconds.
    round: f64,
    /// Factor of an upstream at a time and a share of its slots in use.
    factor: fn(usize, f64, f64) -> f64,
}

const UNEVEN: Load = Load {
    nodes: 20,
    upstreams: 16,
    slots: 6,
    per_second: 1200.0,
    round: 0.2,
    factor: |at, _, _| if at % 4 == 0 { 0.55 } else { 1.2 },
};

struct Running {
    node: usize,
    sent: f64,
    crowding: f64,
    work: f64,
}

#[derive(Default)]
struct Server {
    running: u32,
    queue: VecDeque<Running>,
}

/// What one node knows of one upstream.
#[derive(Default, Clone)]
struct View {
    own: u32,
    /// Requests of the others, smoothed.
    others: SmoothedCount,
    latest_others: u32,
    peak: f64,
    peak_at: f64,
    speed: UpstreamSpeed,
}

impl View {
    fn count(&self) -> u32 {
        self.own + self.others.get()
    }

    /// Records a latency in the peak EWMA: it jumps up at once and decays slowly.
    fn record_peak(&mut self, latency: f64, at: f64) {
        let by = (-(at - self.peak_at) / PEAK_DECAY).exp();
        self.peak =
            if latency > self.peak { latency } else { self.peak * by + latency * (1.0 - by) };
        self.peak_at = at;
    }
}

#[derive(Debug)]
struct Figures {
    late: f64,
    p99: f64,
    /// Largest share of one round's requests that went to one upstream.
    most_in_round: f64,
}

struct Replay {
    load: Load,
    policy: Policy,
    rng: StdRng,
    start: Instant,
    servers: Vec<Server>,
    views: Vec<Vec<View>>,
    samples: Vec<(usize, usize, SpeedSample)>,
    ends: BinaryHeap<Reverse<(u64, u64)>>,
    ending: Vec<Option<(usize, Running)>>,
    latencies: Vec<f64>,
}

impl Replay {
    fn new(load: Load, policy: Policy) -> Replay {
        Replay {
            load,
            policy,
            rng: StdRng::seed_from_u64(11),
            start: Instant::now(),
            servers: (0..load.upstreams).map(|_| Server::default()).collect(),
            views: vec![vec![View::default(); load.upstreams]; load.nodes],
            samples: Vec::new(),
            ends: BinaryHeap::new(),
            ending: Vec::new(),
            latencies: Vec::new(),
        }
    }

    fn instant(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(at)
    }

    fn choose(&mut self, node: usize, at: f64) -> usize {
        let (now, slots) = (self.instant(at), self.load.slots);
        let random = self.rng.random();
        let views = &self.views[node];
        match self.policy {
            Policy::Learnt => {
                let cost = |view: &View| {
                    let crowding = f64::from(view.count()) / f64::from(slots);
                    let alone_ms = USUAL * 1000.0 * view.speed.factor(crowding, now);
                    let requests = view.count();
                    let delay = view.speed.delay_to_others(requests, slots, now);
                    let delay_to_others_ms = USUAL * 1000.0 * delay;
                    UpstreamCost { alone_ms, requests, slots, delay_to_others_ms, penalty_ms: 0.0 }
                };
                let costs: Vec<_> = views.iter().map(cost).collect();
                choose_upstream(&costs, random).unwrap()
            }
            Policy::LeastOutstanding => {
                let from = (random * views.len() as f64) as usize;
                let order = (0..views.len()).map(|at| (at + from) % views.len());
                order.min_by_key(|at| views[*at].own + views[*at].latest_others).unwrap()
            }
            Policy::PeakEwma => {
                let one = (random * views.len() as f64) as usize;
                let other = self.rng.random_range(0..views.len());
                let cost = |at: usize| views[at].peak.max(1e-3) * f64::from(views[at].own + 1);
                if cost(one) <= cost(other) { one } else { other }
            }
        }
    }

    fn begin(&mut self, upstream: usize, request: Running, at: f64) {
        let server = &mut self.servers[upstream];
        server.running += 1;
        let share = f64::from(server.running) / f64::from(self.load.slots);
        let end = at + request.work * (self.load.factor)(upstream, at, share);
        let key = self.ending.len() as u64;
        self.ends.push(Reverse(((end * 1e9) as u64, key)));
        self.ending.push(Some((upstream, request)));
    }

    fn arrive(&mut self, at: f64) -> usize {
        let node = self.rng.random_range(0..self.load.nodes);
        let upstream = self.choose(node, at);
        let work = USUAL * self.rng.random_range(-0.5_f64..0.5).exp();
        let view = &mut self.views[node][upstream];
        let crowding = f64::from(view.count()) / f64::from(self.load.slots);
        view.own += 1;
        let request = Running { node, sent: at, crowding, work };
        if self.servers[upstream].running < self.load.slots {
            self.begin(upstream, request, at);
        } else {
            self.servers[upstream].queue.push_back(request);
        }
        upstream
    }

    fn end(&mut self, key: u64, at: f64) {
        let (upstream, request) = self.ending[key as usize].take().unwrap();
        self.servers[upstream].running -= 1;
        if let Some(next) = self.servers[upstream].queue.pop_front() {
            self.begin(upstream, next, at);
        }
        let latency = at - request.sent;
        if request.sent > WARM_UP {
            self.latencies.push(latency);
        }
        let now = self.instant(at);
        let view = &mut self.views[request.node][upstream];
        view.own -= 1;
        view.record_peak(latency, at);
        let waiting = (request.crowding + 1.0 / f64::from(self.load.slots) - 1.0).max(0.0);
        let expected = Duration::from_secs_f64(USUAL * (1.0 + waiting));
        let measured = Duration::from_secs_f64(latency);
        let sample = SpeedSample::new(measured, expected, request.crowding);
        view.speed.record(sample, 0.0, now);
        self.samples.push((request.node, upstream, sample));
    }

    /// Gives every node the counts and samples of the others.
    fn exchange(&mut self, at: f64) {
        let now = self.instant(at);
        for upstream in 0..self.load.upstreams {
            let total: u32 = self.views.iter().map(|views| views[upstream].own).sum();
            for views in &mut self.views {
                let others = total - views[upstream].own;
                views[upstream].others.record(others);
                views[upstream].latest_others = others;
            }
        }
        if self.policy != Policy::Learnt {
            return;
        }
        for (from, upstream, sample) in std::mem::take(&mut self.samples) {
            for (node, views) in self.views.iter_mut().enumerate() {
                if node != from {
                    views[upstream].speed.record(sample, 0.0, now);
                }
            }
        }
    }

    fn run(mut self) -> Figures {
        let (mut at, mut next_round) = (0.0, self.load.round);
        let (mut in_round, mut most_in_round) = (vec![0_u32; self.load.upstreams], 0.0_f64);
        while at < DURATION {
            at += -self.rng.random::<f64>().max(1e-9).ln() / self.load.per_second;
            loop {
                let due = self.ends.peek().map_or(f64::MAX, |Reverse((end, _))| *end as f64 / 1e9);
                if due.min(next_round) > at {
                    break;
                }
                if due <= next_round {
                    let Reverse((_, key)) = self.ends.pop().unwrap();
                    self.end(key, due);
                    continue;
                }
                self.exchange(next_round);
                let all: u32 = in_round.iter().sum();
                if next_round > WARM_UP && all > 0 {
                    let most = in_round.iter().max().copied().unwrap_or(0);
                    most_in_round = most_in_round.max(f64::from(most) / f64::from(all));
                }
                in_round.fill(0);
                next_round += self.load.round;
            }
            let chosen = self.arrive(at);
            in_round[chosen] += 1;
        }
        // Requests that still wait are late as well.
        let waiting = self.servers.iter().flat_map(|server| &server.queue);
        let waited: Vec<_> = waiting.map(|request| at - request.sent).collect();
        self.latencies.extend(waited.into_iter().filter(|waited| *waited > AIM));
        self.latencies.sort_by(f64::total_cmp);
        let late = self.latencies.iter().filter(|latency| **latency > AIM).count();
        Figures {
            late: late as f64 / self.latencies.len() as f64,
            p99: self.latencies[self.latencies.len() * 99 / 100],
            most_in_round,
        }
    }
}

/// Replays a load with all policies.
fn compare(load: Load) -> [Figures; 3] {
    let policies = [Policy::Learnt, Policy::LeastOutstanding, Policy::PeakEwma];
    policies.map(|policy| Replay::new(load, policy).run())
}

#[test]
fn choice_under_uneven_speeds_beats_the_published_ways() {
    let [learnt, least, peak] = compare(UNEVEN);
    assert!(
        learnt.late < 0.5 * least.late && learnt.late < peak.late,
        "{learnt:?}, {least:?}, {peak:?}"
    );
    assert!(learnt.p99 < least.p99 && learnt.p99 < peak.p99, "{learnt:?}, {least:?}, {peak:?}");
}

#[test]
fn choice_when_speeds_change_beats_the_published_ways() {
    let factor = |at: usize, now: f64, _: f64| {
        let is_slow = at % 4 == 1 && (6.0..11.0).contains(&now);
        if is_slow { 4.0 } else { 1.0 }
    };
    let [learnt, least, peak] = compare(Load { factor, per_second: 900.0, ..UNEVEN });
    assert!(learnt.late < least.late && learnt.late < peak.late, "{learnt:?}, {least:?}, {peak:?}");
}

#[test]
fn choice_where_some_slow_down_at_sixty_percent_keeps_their_load_low() {
    let factor = |at: usize, _: f64, share: f64| {
        if at.is_multiple_of(2) { 1.0 + (share - 0.6).max(0.0) * 6.0 } else { 1.0 }
    };
    let load = Load { factor, slots: 10, per_second: 1300.0, ..UNEVEN };
    let [learnt, least, peak] = compare(load);
    assert!(learnt.late < 0.2 * least.late, "{learnt:?}, {least:?}, {peak:?}");
    // The peaks that peak EWMA keeps for long are what suits a load that never changes.
    assert!(learnt.late < peak.late + 0.03, "{learnt:?}, {least:?}, {peak:?}");
}

#[test]
fn choice_under_noise_is_no_worse_than_the_published_ways() {
    let factor = |at: usize, now: f64, _: f64| {
        let period = (now / 0.6) as usize;
        let hash = (at * 7919 + period * 104_729) % 100;
        if hash < 15 { 2.5 } else { 1.0 }
    };
    let [learnt, least, peak] = compare(Load { factor, per_second: 800.0, ..UNEVEN });
    assert!(
        learnt.late < least.late * 1.05 && learnt.late < peak.late * 1.05,
        "{learnt:?}, {least:?}, {peak:?}"
    );
}

#[test]
fn choice_of_many_nodes_with_stale_views_does_not_herd() {
    let load = Load {
        nodes: 60,
        upstreams: 8,
        slots: 24,
        per_second: 1600.0,
        round: 0.4,
        factor: |at, _, _| if at.is_multiple_of(4) { 0.8 } else { 1.0 },
    };
    let [learnt, least, peak] = compare(load);
    assert!(learnt.most_in_round < 0.45, "{learnt:?}, {least:?}, {peak:?}");
    assert!(learnt.late <= least.late + 0.01, "{learnt:?}, {least:?}, {peak:?}");
}

#[test]
fn cost_of_time_leaves_fast_upstreams_to_requests_that_need_them() {
    let gain = |usual: f64| {
        cost_of_time(usual * 1.2, 1.2, 1000.0) - cost_of_time(usual * 0.5, 0.5, 1000.0)
    };
    assert!(gain(100.0) < 0.2 * 100.0, "in time anywhere");
    assert!(gain(800.0) > 0.6 * 800.0, "in time only at the fast one");
    assert_eq!(cost_of_time(300.0, 1.0, 1000.0), 300.0);
    let costs: Vec<_> =
        (1..200).map(|ms| cost_of_time(f64::from(ms) * 10.0, 1.3, 1000.0)).collect();
    assert!(costs.is_sorted(), "never falls with the time");
}
