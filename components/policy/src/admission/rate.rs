//! Request rate limit of a workspace on one node.

use std::time::Duration;

use tokio::time::Instant;

/// Burst allowance: as many requests as the rate admits within this time may be sent at once.
const BURST: Duration = Duration::from_secs(1);

/// Rate limiter using the generic cell rate algorithm (GCRA).
#[derive(Debug, Clone)]
pub(super) struct RateLimit {
    interval: Duration,
    /// Theoretical arrival time of the next request.
    next_arrival: Option<Instant>,
}

impl RateLimit {
    /// Creates a limiter that admits `per_second` requests a second.
    pub(super) fn new(per_second: f64) -> RateLimit {
        RateLimit {
            interval: Duration::from_secs_f64(1.0 / per_second.max(1e-3)),
            next_arrival: None,
        }
    }

    /// Changes the rate; the allowance already used is kept.
    pub(super) fn set_rate(&mut self, per_second: f64) {
        self.interval = RateLimit::new(per_second).interval;
    }

    /// Admits a request, or returns the time until the next request is admitted.
    pub(super) fn try_acquire(&mut self, now: Instant) -> Result<(), Duration> {
        let arrival = self.next_arrival.map_or(now, |arrival| arrival.max(now));
        let ahead = arrival.saturating_duration_since(now);
        let burst = BURST.max(self.interval);
        if ahead >= burst {
            return Err(ahead - burst + self.interval);
        }
        self.next_arrival = Some(arrival + self.interval);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn try_acquire_enforces_rate_and_burst() {
        let now = Instant::now();
        let mut limit = RateLimit::new(10.0);
        let admitted = (0..100).filter(|_| limit.try_acquire(now).is_ok()).count();
        assert_eq!(admitted, 10);
        let wait = limit.try_acquire(now).unwrap_err();
        assert!(limit.try_acquire(now + wait).is_ok());
    }
}
