//! Times of a graceful shutdown within its grace period.

use std::time::Duration;

use tokio::time::Instant;

/// Time after the stop signal in which new requests are accepted, since the load balancer goes on
/// sending new connections for a while.
const ACCEPT_TIME: Duration = Duration::from_millis(2800);

/// The same as a share of the grace period, so that the rest suffices for what was accepted; the
/// shorter time applies.
const ACCEPT_SHARE: f64 = 0.35;

/// Time for which requests are still accepted after idle connections are closed.
const CLOSE_BEFORE_REFUSAL: Duration = Duration::from_millis(200);

/// How long before the end of the grace period the process ends.
const END_MARGIN: Duration = Duration::from_millis(400);

/// Time for the last responses to reach their callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Times of one shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StopSchedule {
    /// When idle connections are closed and no further ones are accepted.
    pub(crate) close_idle_at: Instant,
    /// When the last request is accepted.
    pub(crate) accept_until: Instant,
    /// When every request that has no response yet is answered by the node itself.
    pub(crate) answer_by: Instant,
    /// When the process ends.
    pub(crate) end: Instant,
}

impl StopSchedule {
    /// Returns the times of a shutdown that starts now.
    pub(crate) fn start(grace: Duration) -> StopSchedule {
        let started = Instant::now();
        let accept_time = ACCEPT_TIME.min(grace.mul_f64(ACCEPT_SHARE));
        let end = started + grace.saturating_sub(END_MARGIN);
        let answer_by = end.checked_sub(ANSWER_MARGIN).unwrap_or(started).max(started);
        StopSchedule {
            close_idle_at: started + accept_time.saturating_sub(CLOSE_BEFORE_REFUSAL),
            accept_until: started + accept_time,
            answer_by,
            end,
        }
    }

    /// Returns whether new requests are refused.
    pub(crate) fn refuses_requests(&self) -> bool {
        Instant::now() > self.accept_until
    }
}
