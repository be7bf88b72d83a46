//! Wall clock that follows the runtime's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Milliseconds since the start of 1970.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Returns the time `by` later.
    pub fn after(self, by: Duration) -> UnixMillis {
        let by = u64::try_from(by.as_millis()).unwrap_or(u64::MAX);
        UnixMillis(self.0.saturating_add(by))
    }

    /// Returns the time from `earlier` to this, or zero if `earlier` is later.
    pub fn since(self, earlier: UnixMillis) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Wall clock: read once from the system, then advanced by the runtime's clock.
///
/// Steps of the system's clock after the start don't move it, and tests that
/// pause the runtime's clock pause this one.
#[derive(Debug, Clone, Copy)]
pub struct WallClock {
    started: Instant,
    unix: UnixMillis,
}

impl WallClock {
    /// Creates a clock that shows the system's time now.
    pub fn system() -> WallClock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallClock { started: Instant::now(), unix: UnixMillis::default().after(since_epoch) }
    }

    /// Creates a clock that shows `unix` at `started`.
    pub fn starting_at(started: Instant, unix: UnixMillis) -> WallClock {
        WallClock { started, unix }
    }

    /// Returns the time now.
    pub fn now(&self) -> UnixMillis {
        self.unix.after(self.started.elapsed())
    }
}
