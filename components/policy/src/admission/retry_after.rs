//! `Retry-After` times for refused requests.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};
use tokio::time::Instant;

/// Shortest `Retry-After` time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest `Retry-After` time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Time without a refusal after which an overload is considered over.
const OVERLOAD_GAP: Duration = Duration::from_secs(2);

/// Schedules the retries of refused requests one after another.
///
/// The first retry is scheduled as far ahead as the overload has lasted so far,
/// because that is the best estimate of how long it will continue. Each further
/// refused request gets a later slot, spaced by the rate at which retries are
/// admitted, so that callers that honour `Retry-After` find capacity.
#[derive(Debug, Clone, Default)]
pub(super) struct RetryAfterSchedule {
    overload_since: Option<Instant>,
    last_refusal: Option<Instant>,
    last_slot: Option<Instant>,
}

impl RetryAfterSchedule {
    /// Returns the `Retry-After` time of a refused request of `cost` units.
    ///
    /// `backlog` is the time needed to drain the queue, and `rate` is the admitted
    /// retry rate in units per second.
    pub(super) fn retry_after(
        &mut self,
        now: Instant,
        backlog: Duration,
        cost: u64,
        rate: f64,
        rng: &mut SmallRng,
    ) -> Duration {
        let overload_time = self.overload_duration(now);
        let earliest =
            now + backlog.max(overload_time).max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER / 2);
        let slot = Duration::from_secs_f64((cost as f64 / rate.max(1e-3)).min(60.0));
        let latest = now + MAX_RETRY_AFTER;
        let scheduled = self.last_slot.map_or(earliest, |at| at.max(earliest)) + slot;
        self.last_slot = Some(scheduled.min(latest));
        if scheduled >= latest {
            return rng.random_range(MAX_RETRY_AFTER / 2..=MAX_RETRY_AFTER);
        }
        add_jitter(scheduled - now, rng)
    }

    /// Records a refusal and returns how long the current overload has lasted.
    pub(super) fn overload_duration(&mut self, now: Instant) -> Duration {
        let is_ongoing =
            self.last_refusal.is_some_and(|at| now.saturating_duration_since(at) <= OVERLOAD_GAP);
        if !is_ongoing {
            self.overload_since = Some(now);
            self.last_slot = None;
        }
        self.last_refusal = Some(now);
        self.overload_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

/// Adds up to 25% random jitter, so that callers refused together do not retry together.
pub(super) fn add_jitter(wait: Duration, rng: &mut SmallRng) -> Duration {
    wait.mul_f64(rng.random_range(1.0..1.25)).min(MAX_RETRY_AFTER)
}

#[cfg(test)]
mod tests {
    use rand::SeedableRng;

    use super::*;

    #[test]
    fn retry_after_staggers_callers() {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(1);
        let mut schedule = RetryAfterSchedule::default();
        let mut waits: Vec<_> = (0..100)
            .map(|_| schedule.retry_after(now, Duration::ZERO, 1, 10.0, &mut rng))
            .collect();
        waits.sort();
        assert!(waits[0] >= MIN_RETRY_AFTER);
        assert!(waits[99] >= Duration::from_secs(9));
        let busiest =
            (0..12).map(|s| waits.iter().filter(|wait| wait.as_secs() == s).count()).max().unwrap();
        assert!(busiest <= 20, "{busiest} callers retry within one second");
    }

    #[test]
    fn retry_after_stays_below_maximum() {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(1);
        let mut schedule = RetryAfterSchedule::default();
        for _ in 0..1000 {
            let wait = schedule.retry_after(now, Duration::ZERO, 1, 1.0, &mut rng);
            assert!(wait <= MAX_RETRY_AFTER);
        }
    }

    #[test]
    fn retry_after_resets_after_overload() {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(1);
        let mut schedule = RetryAfterSchedule::default();
        for _ in 0..1000 {
            schedule.retry_after(now, Duration::ZERO, 1, 1.0, &mut rng);
        }
        let later = now + Duration::from_secs(100);
        assert!(
            schedule.retry_after(later, Duration::ZERO, 1, 10.0, &mut rng) < Duration::from_secs(2)
        );
    }
}
