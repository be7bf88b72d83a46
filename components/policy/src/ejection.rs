//! Leaves out upstreams that fail, for a while.

use std::time::Duration;

use tokio::time::Instant;

use crate::decay::DecayingSum;

/// Failures in a row after which an upstream is left out.
const MAX_FAILURES_IN_ROW: u32 = 3;

/// Time over which the share of failures is measured.
const SHARE_WINDOW: Duration = Duration::from_secs(10);

/// Answers within the window without which the share tells nothing.
const MIN_ANSWERS: f64 = 10.0;

/// Share of failures from which an upstream is left out.
const MAX_FAILED_SHARE: f64 = 0.5;

/// Time for which an upstream is left out at first; it doubles each time.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Longest time for which an upstream is left out.
const MAX_EJECTION: Duration = Duration::from_secs(2);

/// Most upstreams of a hundred that may be left out at once.
pub(crate) const MAX_EJECTED_PERCENT: usize = 50;

/// Time after which a trial that never ended is forgotten.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Whether an upstream is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    In,
    Out { until: Instant },
    Trial { until: Instant },
}

/// What an answer changes about an upstream's standing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionAction {
    /// Nothing.
    None,
    /// It fails: leave it out if the cap allows, with [`OutlierEjection::eject`].
    Eject,
    /// A trial went well: it is used again.
    Restore,
}

/// Ejection of one upstream that fails more than the rest.
///
/// After its time out a single request tries it; it comes back when that
/// request is answered. The cap on how many are out at once is its user's.
#[derive(Debug, Clone)]
pub struct OutlierEjection {
    standing: Standing,
    failures_in_row: u32,
    times: u32,
    answers: DecayingSum,
    failures: DecayingSum,
}

impl Default for OutlierEjection {
    fn default() -> OutlierEjection {
        OutlierEjection {
            standing: Standing::In,
            failures_in_row: 0,
            times: 0,
            answers: DecayingSum::new(SHARE_WINDOW),
            failures: DecayingSum::new(SHARE_WINDOW),
        }
    }
}

impl OutlierEjection {
    /// Returns whether the upstream is left out.
    pub fn is_ejected(&self) -> bool {
        self.standing != Standing::In
    }

    /// Returns whether a single request may try the upstream now.
    pub fn is_trial_due(&self, now: Instant) -> bool {
        match self.standing {
            Standing::In => false,
            Standing::Out { until } | Standing::Trial { until } => until <= now,
        }
    }

    /// Records that a request tries the upstream.
    pub fn begin_trial(&mut self, now: Instant) {
        self.standing = Standing::Trial { until: now + TRIAL_TIMEOUT };
    }

    /// Records an answer or a failure.
    pub fn observe(&mut self, now: Instant, ok: bool) -> EjectionAction {
        self.answers.add(now, 1.0);
        if ok {
            return self.observe_answer();
        }
        self.failures.add(now, 1.0);
        self.failures_in_row += 1;
        match self.standing {
            Standing::Trial { .. } => {
                self.eject(now);
                EjectionAction::None
            }
            Standing::Out { .. } => EjectionAction::None,
            Standing::In if self.is_outlier(now) => EjectionAction::Eject,
            Standing::In => EjectionAction::None,
        }
    }

    /// Leaves the upstream out.
    pub fn eject(&mut self, now: Instant) {
        let time = FIRST_EJECTION * 2_u32.pow(self.times.min(8));
        self.times += 1;
        self.standing = Standing::Out { until: now + time.min(MAX_EJECTION) };
    }

    fn observe_answer(&mut self) -> EjectionAction {
        self.failures_in_row = 0;
        if !matches!(self.standing, Standing::Trial { .. }) {
            return EjectionAction::None;
        }
        *self = OutlierEjection::default();
        EjectionAction::Restore
    }

    fn is_outlier(&self, now: Instant) -> bool {
        let answers = self.answers.get(now);
        let share = self.failures.get(now) / answers.max(1.0);
        self.failures_in_row >= MAX_FAILURES_IN_ROW
            || (answers >= MIN_ANSWERS && share >= MAX_FAILED_SHARE)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn observe_three_failures_eject() {
        let now = Instant::now();
        let mut upstream = OutlierEjection::default();
        assert_eq!(upstream.observe(now, false), EjectionAction::None);
        assert_eq!(upstream.observe(now, false), EjectionAction::None);
        assert_eq!(upstream.observe(now, false), EjectionAction::Eject);
        upstream.eject(now);
        assert!(upstream.is_ejected());
        assert!(!upstream.is_trial_due(now));
        assert!(upstream.is_trial_due(now + FIRST_EJECTION));
    }

    #[test]
    fn observe_trial_returns_or_stays_out_longer() {
        let mut now = Instant::now();
        let mut upstream = OutlierEjection::default();
        upstream.eject(now);
        now += FIRST_EJECTION;
        upstream.begin_trial(now);
        assert!(!upstream.is_trial_due(now), "only one request tries");
        upstream.observe(now, false);
        assert!(!upstream.is_trial_due(now + FIRST_EJECTION));
        now += 2 * FIRST_EJECTION;
        assert!(upstream.is_trial_due(now));
        upstream.begin_trial(now);
        assert_eq!(upstream.observe(now, true), EjectionAction::Restore);
        assert!(!upstream.is_ejected());
    }

    #[test]
    fn observe_lost_trial_is_repeated() {
        let now = Instant::now();
        let mut upstream = OutlierEjection::default();
        upstream.eject(now);
        upstream.begin_trial(now + FIRST_EJECTION);
        assert!(upstream.is_trial_due(now + FIRST_EJECTION + TRIAL_TIMEOUT));
    }

    #[test]
    fn observe_share_of_failures_ejects() {
        let now = Instant::now();
        let mut upstream = OutlierEjection::default();
        let changes: Vec<_> =
            [true, false].repeat(20).into_iter().map(|ok| upstream.observe(now, ok)).collect();
        assert!(changes.contains(&EjectionAction::Eject));
    }
}
