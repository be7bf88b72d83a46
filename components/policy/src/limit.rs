//! How much work one upstream is given at once.

use std::time::Duration;

use tokio::time::Instant;

use crate::decay::MovingMean;

/// Requests in flight that a known upstream starts with.
const FIRST_REQUESTS: f64 = 8.0;

/// Requests in flight that a fresh upstream starts with.
const FRESH_REQUESTS: f64 = 2.0;

/// Requests that the limit grows by each second that it holds work back.
const GROWTH_PER_SECOND: f64 = 1.0;

/// Share of itself that the limit grows by each second besides.
const GROWTH_SHARE_PER_SECOND: f64 = 0.01;

/// Multiple of the most work lately in flight that the limit stays below.
const PEAK_FACTOR: f64 = 2.0;

/// Requests in flight that the limit allows however little was in flight.
const IDLE_REQUESTS: f64 = 4.0;

/// Time after which a peak of work in flight is forgotten.
const PEAK_LIFETIME: Duration = Duration::from_secs(10);

/// Longest time that counts towards growth at one answer.
const MAX_GROWTH_STEP: Duration = Duration::from_millis(200);

/// Share of the limit that must be in use for it to grow.
const BOUND_SHARE: f64 = 0.7;

/// Factor on the limit after a failure.
const FAILED_FACTOR: f64 = 0.7;

/// Factor on the limit after an answer slower than the target.
const SLOW_FACTOR: f64 = 0.9;

/// Shortest time between two cuts for slow or failed answers.
const CUT_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between two cuts for reports, which lag.
const REPORT_CUT_INTERVAL: Duration = Duration::from_millis(1500);

/// QueuedRequest requests at the upstream that are left alone, as a share of the running ones.
const WAITING_SHARE: f64 = 0.1;

/// Weight of a new request in the mean cost.
const COST_GAIN: f64 = 0.05;

/// How an answer came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionStatus {
    /// Within the latency target.
    OnTime,
    /// Later than the latency target.
    Late,
    /// Not at all.
    Failed,
}

/// Adaptive limit on the work in flight at one upstream from this node.
///
/// Work in flight is counted exactly, in the units of the service. The limit
/// grows while it holds work back and answers keep to the latency target; it
/// falls when answers are late or fail, and when the upstream reports waiting
/// requests, by this node's share of them.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    limit: f64,
    in_flight: u64,
    requests: u32,
    max_requests: u32,
    max_units: Option<u64>,
    mean_cost: MovingMean,
    starting: bool,
    grown: Option<Instant>,
    cut: Option<Instant>,
    report_cut: Option<Instant>,
    peak: f64,
    peak_at: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates the limit of an upstream; a fresh one starts slowly.
    pub fn new(usual_cost: u64, max_requests: u32, fresh: bool) -> ConcurrencyLimit {
        let requests = if fresh { FRESH_REQUESTS } else { FIRST_REQUESTS };
        let cost = usual_cost.max(1) as f64;
        let mut mean_cost = MovingMean::new(COST_GAIN);
        mean_cost.add(cost);
        ConcurrencyLimit {
            limit: requests.min(f64::from(max_requests)) * cost,
            in_flight: 0,
            requests: 0,
            max_requests,
            max_units: None,
            mean_cost,
            starting: true,
            grown: None,
            cut: None,
            report_cut: None,
            peak: 0.0,
            peak_at: None,
        }
    }

    /// Returns the limit, in units.
    pub fn units(&self) -> u64 {
        self.limit as u64
    }

    /// Returns the work in flight, in units.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Returns the requests in flight.
    pub fn requests(&self) -> u32 {
        self.requests
    }

    /// Returns whether another request fits; its own cost may go beyond the limit once.
    pub fn has_room(&self) -> bool {
        self.requests < self.max_requests && self.in_flight < self.units()
    }

    /// Returns the work that this upstream adds to what its service takes at once.
    ///
    /// Work beyond the limit, or stuck at an upstream that is not used, takes
    /// no room from the others.
    pub(crate) fn capacity(&self, is_usable: bool) -> u64 {
        if is_usable { self.units().max(self.in_flight) } else { self.in_flight }
    }

    /// Returns the work in flight as a share of the limit.
    pub fn utilization(&self) -> f64 {
        self.in_flight as f64 / self.limit.max(1.0)
    }

    /// Changes the most requests in flight.
    pub fn set_max_requests(&mut self, max_requests: u32) {
        self.max_requests = max_requests;
        self.clamp();
    }

    /// Counts a request that was sent.
    pub fn start(&mut self, cost: u64) {
        self.in_flight += cost;
        self.requests += 1;
        self.mean_cost.add(cost as f64);
    }

    /// Counts a request that ended and learns from how it went.
    pub fn finish(&mut self, now: Instant, cost: u64, pace: CompletionStatus) {
        let bound = !self.has_room() || self.in_flight as f64 >= BOUND_SHARE * self.limit;
        self.follow_peak(now);
        self.abandon(cost);
        match pace {
            CompletionStatus::OnTime if bound => self.grow(now, cost),
            CompletionStatus::OnTime => {}
            CompletionStatus::Late => self.cut(now, SLOW_FACTOR),
            CompletionStatus::Failed => self.cut(now, FAILED_FACTOR),
        }
    }

    /// Counts a request that ended without telling anything.
    pub fn abandon(&mut self, cost: u64) {
        self.in_flight = self.in_flight.saturating_sub(cost);
        self.requests = self.requests.saturating_sub(1);
    }

    /// Learns from the upstream's report of the requests of all nodes there.
    pub fn report(&mut self, now: Instant, running: u32, waiting: u32) {
        let (running, waiting) = (f64::from(running), f64::from(waiting));
        if waiting <= (WAITING_SHARE * running).max(1.0) {
            return;
        }
        self.starting = false;
        if is_within(self.report_cut, now, REPORT_CUT_INTERVAL) {
            return;
        }
        self.report_cut = Some(now);
        let kept = running / (running + waiting);
        self.limit = self.limit.min(self.limit.min(self.in_flight as f64) * kept);
        self.clamp();
    }

    /// Sets the units that fit the upstream at all, from its report.
    pub fn set_max_units(&mut self, units: u64) {
        self.max_units = Some(units);
        self.clamp();
    }

    /// Starts again as a fresh upstream does.
    pub fn enter_slow_start(&mut self) {
        self.limit = FRESH_REQUESTS * self.cost();
        self.starting = true;
        self.clamp();
    }

    fn cost(&self) -> f64 {
        self.mean_cost.get_or(1.0).max(1.0)
    }

    fn grow(&mut self, now: Instant, cost: u64) {
        if self.starting && self.limit < FIRST_REQUESTS * self.cost() {
            self.limit += cost as f64;
        } else {
            let passed = self.grown.map_or(MAX_GROWTH_STEP, |at| now.saturating_duration_since(at));
            let per_second = GROWTH_PER_SECOND * self.cost() + GROWTH_SHARE_PER_SECOND * self.limit;
            self.limit += passed.min(MAX_GROWTH_STEP).as_secs_f64() * per_second;
        }
        self.grown = Some(now);
        self.clamp();
    }

    /// Lets the limit sink to what is used, so that a surge does not flood the upstream.
    fn follow_peak(&mut self, now: Instant) {
        let age = self.peak_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.peak *= (-age.as_secs_f64() / PEAK_LIFETIME.as_secs_f64()).exp();
        self.peak = self.peak.max(self.in_flight as f64);
        self.peak_at = Some(now);
        self.limit = self.limit.min((PEAK_FACTOR * self.peak).max(IDLE_REQUESTS * self.cost()));
    }

    fn cut(&mut self, now: Instant, factor: f64) {
        self.starting = false;
        if is_within(self.cut, now, CUT_INTERVAL) {
            return;
        }
        self.cut = Some(now);
        self.limit *= factor;
        self.clamp();
    }

    fn clamp(&mut self) {
        let cost = self.cost();
        let most = f64::from(self.max_requests) * cost;
        let most = self.max_units.map_or(most, |units| most.min(units as f64));
        self.limit = self.limit.clamp(cost, most.max(cost));
    }
}

fn is_within(last: Option<Instant>, now: Instant, interval: Duration) -> bool {
    last.is_some_and(|at| now.saturating_duration_since(at) < interval)
}

#[cfg(test)]
mod tests {
    use super::*;

    const STEP: Duration = Duration::from_millis(50);

    fn fill(limit: &mut ConcurrencyLimit) -> u32 {
        while limit.has_room() {
            limit.start(1);
        }
        limit.requests()
    }

    #[test]
    fn start_counts_exactly() {
        let mut limit = ConcurrencyLimit::new(100, 256, false);
        limit.start(1000);
        limit.start(700);
        assert!(!limit.has_room());
        limit.finish(Instant::now(), 700, CompletionStatus::OnTime);
        assert!(limit.has_room());
        assert_eq!((limit.in_flight(), limit.requests()), (1000, 1));
    }

    #[test]
    fn finish_fresh_upstream_doubles_each_round() {
        let now = Instant::now();
        let mut limit = ConcurrencyLimit::new(1, 256, true);
        let first = fill(&mut limit);
        for _ in 0..first {
            limit.finish(now, 1, CompletionStatus::OnTime);
        }
        assert!(limit.units() <= u64::from(2 * first));
        assert!(limit.units() > u64::from(first));
    }

    #[test]
    fn finish_late_and_failed_cut_down_to_one() {
        let mut now = Instant::now();
        let mut limit = ConcurrencyLimit::new(1, 256, false);
        for pace in [CompletionStatus::Late, CompletionStatus::Failed].repeat(20) {
            now += CUT_INTERVAL;
            limit.start(1);
            limit.finish(now, 1, pace);
        }
        assert_eq!(limit.units(), 1);
        assert!(limit.has_room());
    }

    #[test]
    fn report_waiting_cuts_own_share() {
        let now = Instant::now();
        let mut limit = ConcurrencyLimit::new(1, 256, false);
        let own = fill(&mut limit);
        limit.report(now, 16, 16);
        let after = limit.units();
        assert!(after <= u64::from(own) / 2, "{after} of {own}");
        limit.report(now + STEP, 16, 16);
        assert_eq!(limit.units(), after, "a lagging report cuts twice");
    }

    #[test]
    fn finish_grows_again_after_cut() {
        let mut now = Instant::now();
        let mut limit = ConcurrencyLimit::new(1, 256, false);
        fill(&mut limit);
        limit.report(now, 16, 64);
        let cut = limit.units();
        for _ in 0..200 {
            now += STEP;
            limit.finish(now, 1, CompletionStatus::OnTime);
            fill(&mut limit);
        }
        assert!(limit.units() >= cut + 5);
        assert!(limit.units() <= cut + 15);
    }

    #[test]
    fn finish_idle_limit_sinks() {
        let mut now = Instant::now();
        let mut limit = ConcurrencyLimit::new(1, 256, false);
        fill(&mut limit);
        while limit.requests() > 0 {
            limit.finish(now, 1, CompletionStatus::OnTime);
        }
        for _ in 0..600 {
            now += STEP;
            limit.start(1);
            limit.finish(now, 1, CompletionStatus::OnTime);
        }
        assert_eq!(limit.units(), IDLE_REQUESTS as u64);
    }
}
