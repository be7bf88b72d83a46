//! Wall clock that advances with the runtime's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Returns this time plus `delay`.
    pub fn after(self, delay: Duration) -> UnixMillis {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        UnixMillis(self.0.saturating_add(millis))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: UnixMillis) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Wall clock that is read once from the system and then advances with the runtime's clock.
///
/// Later adjustments of the system clock have no effect on it. Tests that pause
/// the runtime's clock also pause this one.
#[derive(Debug, Clone, Copy)]
pub struct WallClock {
    started: Instant,
    unix: UnixMillis,
}

impl WallClock {
    /// Creates a clock set to the current system time.
    pub fn system() -> WallClock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallClock { started: Instant::now(), unix: UnixMillis::default().after(since_epoch) }
    }

    /// Creates a clock that reads `unix` at the instant `started`.
    pub fn starting_at(started: Instant, unix: UnixMillis) -> WallClock {
        WallClock { started, unix }
    }

    /// Returns the current time.
    pub fn now(&self) -> UnixMillis {
        self.unix.after(self.started.elapsed())
    }
}
