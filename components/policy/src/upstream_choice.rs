//! Choice between upstreams of a service by the time that a request is expected to take there.
//!
//! Many nodes choose by nearly the same figures, a moment old. If all took the lowest one, they
//! would meet at the same upstream. So each compares a few upstreams drawn at random, and draws
//! those more often that take on more work.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of upstreams that are drawn and compared in each group.
const DRAWS: usize = 2;

/// Exponent of the preference for the cheaper ones of those drawn: one of half the cost is chosen
/// 2 to this power times as often.
const PREFERENCE: f64 = 5.0;

/// Difference of penalties up to which upstreams are drawn from the same group, in milliseconds.
const SAME_GROUP_MS: f64 = 5.0;

/// Shares of the time left until the latency target at which the speed of an upstream begins to
/// count, and from which on it counts in full.
const SPEED_COUNTS: (f64, f64) = (0.2, 0.7);

/// Least weight of the speed of an upstream.
const MIN_SPEED_WEIGHT: f64 = 0.15;

/// Cost of a time that is `expected` at an upstream where work takes `factor` times as long as
/// usual, if `left` is left until the latency target; all in milliseconds.
///
/// While the target is far, the speed hardly counts: a request that is in time anywhere leaves the
/// fast upstreams to those that are in time only there.
pub fn cost_of_time(expected: f64, factor: f64, left: f64) -> f64 {
    let usual = expected / factor;
    let used = expected.max(usual) / left.max(f64::EPSILON);
    let (from, full) = SPEED_COUNTS;
    let weight = ((used - from) / (full - from)).clamp(MIN_SPEED_WEIGHT, 1.0);
    usual + weight * (expected - usual)
}

/// Weight of a new count in a smoothed one.
const COUNT_GAIN: f64 = 0.2;

/// Number of requests that other nodes have at an upstream, smoothed over their reports.
///
/// Where a request takes less time than a report is old, the mean of the last reports tells more
/// of the present than the latest one, which all nodes would follow at once.
#[derive(Debug, Clone, Copy, Default)]
pub struct SmoothedCount(f64);

impl SmoothedCount {
    /// Records a reported count.
    pub fn record(&mut self, count: u32) {
        self.0 += (f64::from(count) - self.0) * COUNT_GAIN;
    }

    /// Returns the count.
    pub fn get(self) -> u32 {
        self.0.round() as u32
    }
}

/// What a request has to expect of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamCost {
    /// Time that a request alone takes there, in milliseconds.
    pub alone_ms: f64,
    /// Requests that are there.
    pub requests: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time by which it makes the other requests there later, in milliseconds.
    pub delay_to_others_ms: f64,
    /// Further cost that does not depend on its load, in milliseconds.
    pub penalty_ms: f64,
}

impl UpstreamCost {
    /// Returns the expected time there, the delay to others and the penalty, in milliseconds.
    ///
    /// Requests beyond the slots wait for one. Below, each one makes it likelier that a slot is
    /// taken by those that this node doesn't know of yet.
    pub fn total_ms(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let ahead = f64::from(self.requests);
        let waiting = (ahead + 1.0 - slots).max(0.0) / slots;
        let own = self.alone_ms * (1.0 + ahead / slots + waiting);
        own + self.delay_to_others_ms + self.penalty_ms
    }

    /// Returns the requests per millisecond that it can complete.
    fn capacity(&self) -> f64 {
        f64::from(self.slots.max(1)) / self.alone_ms.max(f64::EPSILON)
    }
}

/// Returns the index of the upstream to use, or `None` without upstreams; `random` is from 0 to 1.
pub fn choose_upstream(costs: &[UpstreamCost], random: f64) -> Option<usize> {
    let lowest = costs.iter().map(|cost| cost.penalty_ms).min_by(f64::total_cmp)?;
    let is_near = |at: &usize| costs[*at].penalty_ms <= lowest + SAME_GROUP_MS;
    let (near, far): (Vec<usize>, Vec<usize>) = (0..costs.len()).partition(is_near);
    let mut draws = Draws { seed: random.to_bits(), drawn: 0 };
    let mut drawn = Vec::with_capacity(2 * DRAWS);
    for group in [near, far] {
        draws.draw_from(&group, costs, &mut drawn);
    }
    draws.draw_cheap(&drawn, costs)
}

/// Random draws that follow from one random number.
struct Draws {
    seed: u64,
    drawn: u64,
}

impl Draws {
    /// Returns a number from 0 to 1.
    fn next(&mut self) -> f64 {
        self.drawn += 1;
        xxh3_64_with_seed(&self.drawn.to_le_bytes(), self.seed) as f64 / u64::MAX as f64
    }

    /// Draws one of the upstreams, cheaper ones far more often.
    fn draw_cheap(&mut self, from: &[usize], costs: &[UpstreamCost]) -> Option<usize> {
        let weight = |at: &usize| costs[*at].total_ms().max(f64::EPSILON).powf(-PREFERENCE);
        let mut until = self.next() * from.iter().map(weight).sum::<f64>();
        for at in from {
            until -= weight(at);
            if until <= 0.0 {
                return Some(*at);
            }
        }
        from.last().copied()
    }

    /// Draws different upstreams of a group, in proportion to their capacity.
    fn draw_from(&mut self, group: &[usize], costs: &[UpstreamCost], drawn: &mut Vec<usize>) {
        let mut left = group.to_vec();
        for _ in 0..DRAWS.min(group.len()) {
            let total: f64 = left.iter().map(|at| costs[*at].capacity()).sum();
            let mut until = self.next() * total;
            let is_reached = |at: &usize| {
                until -= costs[*at].capacity();
                until <= 0.0
            };
            let position = left.iter().position(is_reached).unwrap_or(left.len() - 1);
            drawn.push(left.swap_remove(position));
        }
    }
}
