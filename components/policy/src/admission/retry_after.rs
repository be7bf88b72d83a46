//! When there is room for a request that is refused now.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};
use tokio::time::Instant;

/// Soonest time that a refusal names.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Latest time that a refusal names.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Time without a refusal after which an overload counts as over.
const OVERLOAD_GAP: Duration = Duration::from_secs(2);

/// Hands out moments to come back, one after another.
///
/// The first moment lies as far ahead as the overload has lasted so far, since
/// that is the best guess of how long it goes on. From there each refused
/// request is told a later moment, at the rate at which retries are let in, so
/// that those who come back as told find room.
#[derive(Debug, Clone, Default)]
pub(super) struct RoomClock {
    overload_since: Option<Instant>,
    last_refusal: Option<Instant>,
    promised_to: Option<Instant>,
}

impl RoomClock {
    /// Returns the time to wait for a refused request of `cost` units.
    ///
    /// `backlog` is the time until what waits already is done, and `rate` the
    /// units a second that are let in of retries.
    pub(super) fn retry_after(
        &mut self,
        now: Instant,
        backlog: Duration,
        cost: u64,
        rate: f64,
        rng: &mut SmallRng,
    ) -> Duration {
        let lasted = self.overload_lasted(now);
        let earliest = now + backlog.max(lasted).max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER / 2);
        let slot = Duration::from_secs_f64((cost as f64 / rate.max(1e-3)).min(60.0));
        let latest = now + MAX_RETRY_AFTER;
        let promised = self.promised_to.map_or(earliest, |at| at.max(earliest)) + slot;
        self.promised_to = Some(promised.min(latest));
        if promised >= latest {
            return rng.random_range(MAX_RETRY_AFTER / 2..=MAX_RETRY_AFTER);
        }
        spread(promised - now, rng)
    }

    /// Returns how long the overload has lasted.
    pub(super) fn overload_lasted(&mut self, now: Instant) -> Duration {
        let goes_on =
            self.last_refusal.is_some_and(|at| now.saturating_duration_since(at) <= OVERLOAD_GAP);
        if !goes_on {
            self.overload_since = Some(now);
            self.promised_to = None;
        }
        self.last_refusal = Some(now);
        self.overload_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

/// Spreads a time to wait, so that callers refused together don't come back together.
pub(super) fn spread(wait: Duration, rng: &mut SmallRng) -> Duration {
    wait.mul_f64(rng.random_range(1.0..1.25)).min(MAX_RETRY_AFTER)
}

#[cfg(test)]
mod tests {
    use rand::SeedableRng;

    use super::*;

    #[test]
    fn retry_after_one_after_another() {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(1);
        let mut room = RoomClock::default();
        let mut waits: Vec<_> =
            (0..100).map(|_| room.retry_after(now, Duration::ZERO, 1, 10.0, &mut rng)).collect();
        waits.sort();
        assert!(waits[0] >= MIN_RETRY_AFTER);
        assert!(waits[99] >= Duration::from_secs(9));
        let busiest =
            (0..12).map(|s| waits.iter().filter(|wait| wait.as_secs() == s).count()).max().unwrap();
        assert!(busiest <= 20, "{busiest} callers come back within one second");
    }

    #[test]
    fn retry_after_stays_below_latest() {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(1);
        let mut room = RoomClock::default();
        for _ in 0..1000 {
            let wait = room.retry_after(now, Duration::ZERO, 1, 1.0, &mut rng);
            assert!(wait <= MAX_RETRY_AFTER);
        }
    }

    #[test]
    fn retry_after_starts_anew_after_overload() {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(1);
        let mut room = RoomClock::default();
        for _ in 0..1000 {
            room.retry_after(now, Duration::ZERO, 1, 1.0, &mut rng);
        }
        let later = now + Duration::from_secs(100);
        assert!(
            room.retry_after(later, Duration::ZERO, 1, 10.0, &mut rng) < Duration::from_secs(2)
        );
    }
}
