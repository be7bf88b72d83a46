//! Adaptive concurrency limit of one upstream.

use std::time::Duration;

use tokio::time::Instant;

use crate::decay::MovingMean;

/// Initial limit of an upstream that is already running, in requests of mean cost.
const INITIAL_REQUESTS: f64 = 8.0;

/// Initial limit of an upstream that has just started, in requests of mean cost.
const SLOW_START_REQUESTS: f64 = 2.0;

/// Additive growth of the limit while it is in use, in requests of mean cost per second.
const GROWTH_PER_SECOND: f64 = 1.0;

/// Proportional growth of the limit per second, in addition to the additive growth.
const GROWTH_RATE_PER_SECOND: f64 = 0.01;

/// Maximum ratio of the limit to the recent peak of the cost in flight.
const PEAK_FACTOR: f64 = 2.0;

/// Limit that an idle upstream keeps, in requests of mean cost.
const MIN_IDLE_REQUESTS: f64 = 4.0;

/// Time constant with which the recent peak of the cost in flight decays.
const PEAK_DECAY_TIME: Duration = Duration::from_secs(10);

/// Maximum time between two responses that counts towards growth.
const MAX_GROWTH_STEP: Duration = Duration::from_millis(200);

/// Minimum utilization of the limit for it to grow.
const MIN_UTILIZATION_TO_GROW: f64 = 0.7;

/// Factor applied to the limit after a failed request.
const FAILURE_FACTOR: f64 = 0.7;

/// Factor applied to the limit after a response slower than the latency target.
const LATE_FACTOR: f64 = 0.9;

/// Minimum time between two reductions because of late or failed requests.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two reductions because of load reports, which lag behind.
const REPORT_REDUCTION_INTERVAL: Duration = Duration::from_millis(1500);

/// Waiting requests tolerated at the upstream, as a share of its running requests.
const TOLERATED_WAITING_SHARE: f64 = 0.1;

/// Weight of a new request in the moving mean of the cost.
const COST_GAIN: f64 = 0.05;

/// Result of a request, as far as it affects the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionStatus {
    /// The response met the latency target.
    OnTime,
    /// The response missed the latency target.
    Late,
    /// The request failed.
    Failed,
}

/// Adaptive limit on the cost in flight from this node to one upstream.
///
/// The cost in flight is counted exactly, in units of the service. The limit
/// grows while it is in use and responses meet the latency target. It shrinks
/// when responses are late or fail, and when the upstream reports waiting
/// requests, by this node's share of them.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    limit: f64,
    in_flight: u64,
    requests: u32,
    max_requests: u32,
    max_units: Option<u64>,
    mean_cost: MovingMean,
    in_slow_start: bool,
    grown_at: Option<Instant>,
    reduced_at: Option<Instant>,
    report_reduced_at: Option<Instant>,
    peak: f64,
    peak_at: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates the limit of an upstream; one that has just started begins with a slow start.
    pub fn new(usual_cost: u64, max_requests: u32, is_new: bool) -> ConcurrencyLimit {
        let requests = if is_new { SLOW_START_REQUESTS } else { INITIAL_REQUESTS };
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
            in_slow_start: true,
            grown_at: None,
            reduced_at: None,
            report_reduced_at: None,
            peak: 0.0,
            peak_at: None,
        }
    }

    /// Returns the limit, in units of the service.
    pub fn units(&self) -> u64 {
        self.limit as u64
    }

    /// Returns the cost in flight, in units of the service.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Returns the number of requests in flight.
    pub fn requests(&self) -> u32 {
        self.requests
    }

    /// Returns whether another request may be sent. Its own cost is not counted, so a single
    /// request may exceed the limit.
    pub fn has_capacity(&self) -> bool {
        self.requests < self.max_requests && self.in_flight < self.units()
    }

    /// Returns the capacity that this upstream adds to its service, in units of the service.
    ///
    /// It is never less than the cost in flight, so that cost above the limit or
    /// at an unusable upstream does not use up the capacity of other upstreams.
    pub(crate) fn capacity(&self, is_usable: bool) -> u64 {
        if is_usable { self.units().max(self.in_flight) } else { self.in_flight }
    }

    /// Returns the cost in flight as a share of the limit.
    pub fn utilization(&self) -> f64 {
        self.in_flight as f64 / self.limit.max(1.0)
    }

    /// Sets the maximum number of requests in flight.
    pub fn set_max_requests(&mut self, max_requests: u32) {
        self.max_requests = max_requests;
        self.clamp();
    }

    /// Records a request that was sent.
    pub fn start(&mut self, cost: u64) {
        self.in_flight += cost;
        self.requests += 1;
        self.mean_cost.add(cost as f64);
    }

    /// Records the end of a request and adjusts the limit by its result.
    pub fn finish(&mut self, now: Instant, cost: u64, result: CompletionStatus) {
        let is_limiting =
            !self.has_capacity() || self.in_flight as f64 >= MIN_UTILIZATION_TO_GROW * self.limit;
        self.cap_by_recent_peak(now);
        self.abandon(cost);
        match result {
            CompletionStatus::OnTime if is_limiting => self.grow(now, cost),
            CompletionStatus::OnTime => {}
            CompletionStatus::Late => self.reduce(now, LATE_FACTOR),
            CompletionStatus::Failed => self.reduce(now, FAILURE_FACTOR),
        }
    }

    /// Records the end of a request without adjusting the limit.
    pub fn abandon(&mut self, cost: u64) {
        self.in_flight = self.in_flight.saturating_sub(cost);
        self.requests = self.requests.saturating_sub(1);
    }

    /// Adjusts the limit by the upstream's report of its requests from all nodes.
    pub fn report(&mut self, now: Instant, running: u32, waiting: u32) {
        let (running, waiting) = (f64::from(running), f64::from(waiting));
        if waiting <= (TOLERATED_WAITING_SHARE * running).max(1.0) {
            return;
        }
        self.in_slow_start = false;
        if is_within(self.report_reduced_at, now, REPORT_REDUCTION_INTERVAL) {
            return;
        }
        self.report_reduced_at = Some(now);
        let kept = running / (running + waiting);
        self.limit = self.limit.min(self.limit.min(self.in_flight as f64) * kept);
        self.clamp();
    }

    /// Sets the maximum cost in flight that the upstream can hold, from its report.
    pub fn set_max_units(&mut self, units: u64) {
        self.max_units = Some(units);
        self.clamp();
    }

    /// Resets the limit to the slow start of a new upstream.
    pub fn enter_slow_start(&mut self) {
        self.limit = SLOW_START_REQUESTS * self.mean_cost();
        self.in_slow_start = true;
        self.clamp();
    }

    fn mean_cost(&self) -> f64 {
        self.mean_cost.get_or(1.0).max(1.0)
    }

    fn grow(&mut self, now: Instant, cost: u64) {
        if self.in_slow_start && self.limit < INITIAL_REQUESTS * self.mean_cost() {
            self.limit += cost as f64;
        } else {
            let elapsed =
                self.grown_at.map_or(MAX_GROWTH_STEP, |at| now.saturating_duration_since(at));
            let per_second =
                GROWTH_PER_SECOND * self.mean_cost() + GROWTH_RATE_PER_SECOND * self.limit;
            self.limit += elapsed.min(MAX_GROWTH_STEP).as_secs_f64() * per_second;
        }
        self.grown_at = Some(now);
        self.clamp();
    }

    /// Lowers the limit towards the recent peak of the cost in flight, so that a surge after an
    /// idle period does not overload the upstream.
    fn cap_by_recent_peak(&mut self, now: Instant) {
        let age = self.peak_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.peak *= (-age.as_secs_f64() / PEAK_DECAY_TIME.as_secs_f64()).exp();
        self.peak = self.peak.max(self.in_flight as f64);
        self.peak_at = Some(now);
        self.limit =
            self.limit.min((PEAK_FACTOR * self.peak).max(MIN_IDLE_REQUESTS * self.mean_cost()));
    }

    fn reduce(&mut self, now: Instant, factor: f64) {
        self.in_slow_start = false;
        if is_within(self.reduced_at, now, REDUCTION_INTERVAL) {
            return;
        }
        self.reduced_at = Some(now);
        self.limit *= factor;
        self.clamp();
    }

    fn clamp(&mut self) {
        let cost = self.mean_cost();
        let max = f64::from(self.max_requests) * cost;
        let max = self.max_units.map_or(max, |units| max.min(units as f64));
        self.limit = self.limit.clamp(cost, max.max(cost));
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
        while limit.has_capacity() {
            limit.start(1);
        }
        limit.requests()
    }

    #[test]
    fn start_counts_exactly() {
        let mut limit = ConcurrencyLimit::new(100, 256, false);
        limit.start(1000);
        limit.start(700);
        assert!(!limit.has_capacity());
        limit.finish(Instant::now(), 700, CompletionStatus::OnTime);
        assert!(limit.has_capacity());
        assert_eq!((limit.in_flight(), limit.requests()), (1000, 1));
    }

    #[test]
    fn finish_new_upstream_doubles_each_round() {
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
    fn finish_late_and_failed_reduce_to_one() {
        let mut now = Instant::now();
        let mut limit = ConcurrencyLimit::new(1, 256, false);
        for result in [CompletionStatus::Late, CompletionStatus::Failed].repeat(20) {
            now += REDUCTION_INTERVAL;
            limit.start(1);
            limit.finish(now, 1, result);
        }
        assert_eq!(limit.units(), 1);
        assert!(limit.has_capacity());
    }

    #[test]
    fn report_waiting_reduces_own_share() {
        let now = Instant::now();
        let mut limit = ConcurrencyLimit::new(1, 256, false);
        let own = fill(&mut limit);
        limit.report(now, 16, 16);
        let after = limit.units();
        assert!(after <= u64::from(own) / 2, "{after} of {own}");
        limit.report(now + STEP, 16, 16);
        assert_eq!(limit.units(), after, "a lagging report reduced the limit twice");
    }

    #[test]
    fn finish_grows_again_after_reduction() {
        let mut now = Instant::now();
        let mut limit = ConcurrencyLimit::new(1, 256, false);
        fill(&mut limit);
        limit.report(now, 16, 64);
        let reduced = limit.units();
        for _ in 0..200 {
            now += STEP;
            limit.finish(now, 1, CompletionStatus::OnTime);
            fill(&mut limit);
        }
        assert!(limit.units() >= reduced + 5);
        assert!(limit.units() <= reduced + 15);
    }

    #[test]
    fn finish_idle_limit_shrinks() {
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
        assert_eq!(limit.units(), MIN_IDLE_REQUESTS as u64);
    }
}
