//! Clocks: time since the start of the machine, and the time of day.

use std::{
    cell::Cell,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::decision::{NodeEvent, log_event, millis};

/// Difference of the time of day that other nodes must agree on before it is taken over.
const MAX_DRIFT: Duration = Duration::from_millis(500);

/// Time since the machine started, which goes on while it is suspended.
pub trait BootClock {
    /// Returns the time since the machine started.
    fn elapsed(&self) -> Duration;
}

/// The machine's own clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemBootClock;

impl BootClock for SystemBootClock {
    fn elapsed(&self) -> Duration {
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
        let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
        Duration::new(seconds, nanos)
    }
}

/// Time since 1970 that doesn't follow jumps of the local time of day.
///
/// It is read once, goes on by the boot clock, and is set again only when the
/// other nodes agree on a different time.
pub struct ClusterClock {
    boot: std::rc::Rc<dyn BootClock>,
    offset: Cell<Duration>,
}

impl ClusterClock {
    /// Reads the time of day.
    pub fn new(boot: std::rc::Rc<dyn BootClock>) -> ClusterClock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        ClusterClock::starting_at(boot, wall)
    }

    /// Creates a clock that now shows a time since 1970.
    pub fn starting_at(boot: std::rc::Rc<dyn BootClock>, now: Duration) -> ClusterClock {
        let offset = Cell::new(now.saturating_sub(boot.elapsed()));
        ClusterClock { boot, offset }
    }

    /// Returns the time since 1970.
    pub fn now(&self) -> Duration {
        self.offset.get() + self.boot.elapsed()
    }

    /// Returns the time since the machine started.
    pub fn since_boot(&self) -> Duration {
        self.boot.elapsed()
    }

    /// Takes the median of what other nodes say now, if it differs by much.
    pub fn adjust_to_peers(&self, mut others: Vec<Duration>) {
        others.push(self.now());
        others.sort();
        let median = others[others.len() / 2];
        let now = self.now();
        if median.abs_diff(now) > MAX_DRIFT {
            log_event(&NodeEvent::ClockAdjusted { from_ms: millis(now), to_ms: millis(median) });
            self.offset.set(median.saturating_sub(self.boot.elapsed()));
        }
    }
}
