//! Outlier ejection: temporarily removes failing upstreams from use.

use std::time::Duration;

use tokio::time::Instant;

use crate::decay::DecayingSum;

/// Consecutive failures after which an upstream is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// Time constant over which the failure rate is measured.
const FAILURE_RATE_WINDOW: Duration = Duration::from_secs(10);

/// Minimum requests within the window for the failure rate to be evaluated.
const MIN_REQUESTS: f64 = 10.0;

/// Failure rate at which an upstream is ejected.
const MAX_FAILURE_RATE: f64 = 0.5;

/// Duration of the first ejection; it doubles with each further ejection.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);

/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(2);

/// Maximum share of the upstreams of a service that may be ejected at once, in percent.
pub(crate) const MAX_EJECTED_PERCENT: usize = 50;

/// Time after which a trial request without a result is abandoned and another may be sent.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Ejection state of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EjectionState {
    InUse,
    Ejected {
        until: Instant,
    },
    /// A trial request is in flight.
    Trial {
        until: Instant,
    },
}

/// Action required after a request result was recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionAction {
    /// No action.
    None,
    /// The upstream is an outlier: eject it with [`OutlierEjection::eject`] unless too many
    /// upstreams are ejected already.
    Eject,
    /// A trial request succeeded: the upstream is in use again.
    Restore,
}

/// Outlier ejection of one upstream.
///
/// When its ejection time is over, a single trial request is sent to the
/// upstream; if it succeeds, the upstream is used again. The caller enforces the
/// limit on the number of upstreams ejected at once.
#[derive(Debug, Clone)]
pub struct OutlierEjection {
    state: EjectionState,
    consecutive_failures: u32,
    ejections: u32,
    requests: DecayingSum,
    failures: DecayingSum,
}

impl Default for OutlierEjection {
    fn default() -> OutlierEjection {
        OutlierEjection {
            state: EjectionState::InUse,
            consecutive_failures: 0,
            ejections: 0,
            requests: DecayingSum::new(FAILURE_RATE_WINDOW),
            failures: DecayingSum::new(FAILURE_RATE_WINDOW),
        }
    }
}

impl OutlierEjection {
    /// Returns whether the upstream is ejected; true also while a trial request is in flight.
    pub fn is_ejected(&self) -> bool {
        self.state != EjectionState::InUse
    }

    /// Returns whether a trial request may be sent to the upstream now.
    pub fn is_trial_due(&self, now: Instant) -> bool {
        match self.state {
            EjectionState::InUse => false,
            EjectionState::Ejected { until } | EjectionState::Trial { until } => until <= now,
        }
    }

    /// Records that a trial request is sent to the upstream.
    pub fn begin_trial(&mut self, now: Instant) {
        self.state = EjectionState::Trial { until: now + TRIAL_TIMEOUT };
    }

    /// Records the result of a request and returns the required action.
    pub fn record_result(&mut self, now: Instant, ok: bool) -> EjectionAction {
        self.requests.add(now, 1.0);
        if ok {
            return self.record_success();
        }
        self.failures.add(now, 1.0);
        self.consecutive_failures += 1;
        match self.state {
            EjectionState::Trial { .. } => {
                self.eject(now);
                EjectionAction::None
            }
            EjectionState::Ejected { .. } => EjectionAction::None,
            EjectionState::InUse if self.is_outlier(now) => EjectionAction::Eject,
            EjectionState::InUse => EjectionAction::None,
        }
    }

    /// Ejects the upstream.
    pub fn eject(&mut self, now: Instant) {
        let duration = BASE_EJECTION_TIME * 2_u32.pow(self.ejections.min(8));
        self.ejections += 1;
        self.state = EjectionState::Ejected { until: now + duration.min(MAX_EJECTION_TIME) };
    }

    fn record_success(&mut self) -> EjectionAction {
        self.consecutive_failures = 0;
        if !matches!(self.state, EjectionState::Trial { .. }) {
            return EjectionAction::None;
        }
        *self = OutlierEjection::default();
        EjectionAction::Restore
    }

    fn is_outlier(&self, now: Instant) -> bool {
        let requests = self.requests.get(now);
        let failure_rate = self.failures.get(now) / requests.max(1.0);
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            || (requests >= MIN_REQUESTS && failure_rate >= MAX_FAILURE_RATE)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn record_result_three_failures_eject() {
        let now = Instant::now();
        let mut upstream = OutlierEjection::default();
        assert_eq!(upstream.record_result(now, false), EjectionAction::None);
        assert_eq!(upstream.record_result(now, false), EjectionAction::None);
        assert_eq!(upstream.record_result(now, false), EjectionAction::Eject);
        upstream.eject(now);
        assert!(upstream.is_ejected());
        assert!(!upstream.is_trial_due(now));
        assert!(upstream.is_trial_due(now + BASE_EJECTION_TIME));
    }

    #[test]
    fn record_result_trial_restores_or_extends_ejection() {
        let mut now = Instant::now();
        let mut upstream = OutlierEjection::default();
        upstream.eject(now);
        now += BASE_EJECTION_TIME;
        upstream.begin_trial(now);
        assert!(!upstream.is_trial_due(now), "only one trial request is sent");
        upstream.record_result(now, false);
        assert!(!upstream.is_trial_due(now + BASE_EJECTION_TIME));
        now += 2 * BASE_EJECTION_TIME;
        assert!(upstream.is_trial_due(now));
        upstream.begin_trial(now);
        assert_eq!(upstream.record_result(now, true), EjectionAction::Restore);
        assert!(!upstream.is_ejected());
    }

    #[test]
    fn is_trial_due_again_after_timeout() {
        let now = Instant::now();
        let mut upstream = OutlierEjection::default();
        upstream.eject(now);
        upstream.begin_trial(now + BASE_EJECTION_TIME);
        assert!(upstream.is_trial_due(now + BASE_EJECTION_TIME + TRIAL_TIMEOUT));
    }

    #[test]
    fn record_result_failure_rate_ejects() {
        let now = Instant::now();
        let mut upstream = OutlierEjection::default();
        let actions: Vec<_> = [true, false]
            .repeat(20)
            .into_iter()
            .map(|ok| upstream.record_result(now, ok))
            .collect();
        assert!(actions.contains(&EjectionAction::Eject));
    }
}
