//! Rate limit of a workspace at one node.

use std::time::Duration;

use tokio::time::Instant;

/// Requests that may come at once, in seconds of the rate.
const BURST: Duration = Duration::from_secs(1);

/// Rate limit by the time at which the next request would be due.
#[derive(Debug, Clone)]
pub(super) struct RateLimit {
    interval: Duration,
    due: Option<Instant>,
}

impl RateLimit {
    /// Creates a limit of `per_second` requests.
    pub(super) fn new(per_second: f64) -> RateLimit {
        RateLimit { interval: Duration::from_secs_f64(1.0 / per_second.max(1e-3)), due: None }
    }

    /// Changes the rate and keeps what was used.
    pub(super) fn set_rate(&mut self, per_second: f64) {
        self.interval = RateLimit::new(per_second).interval;
    }

    /// Lets a request through, or returns the time until one would be.
    pub(super) fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let due = self.due.map_or(now, |due| due.max(now));
        let ahead = due.saturating_duration_since(now);
        let burst = BURST.max(self.interval);
        if ahead >= burst {
            return Err(ahead - burst + self.interval);
        }
        self.due = Some(due + self.interval);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn take_keeps_rate_and_burst() {
        let now = Instant::now();
        let mut limit = RateLimit::new(10.0);
        let taken = (0..100).filter(|_| limit.take(now).is_ok()).count();
        assert_eq!(taken, 10);
        let wait = limit.take(now).unwrap_err();
        assert!(limit.take(now + wait).is_ok());
    }
}
