//! Clocks: the time since boot, and wall-clock time agreed with the other nodes.

use std::{
    cell::Cell,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::event_log::{log_event, millis};
use crate::node_event::NodeEvent;

/// Deviation from the median of all nodes' clocks above which the clock is set to the median.
const MAX_DRIFT: Duration = Duration::from_millis(500);

/// Time since boot, including time spent suspended.
pub trait BootClock {
    /// Returns the time since boot.
    fn elapsed(&self) -> Duration;
}

/// The operating system's boot clock (`CLOCK_BOOTTIME`).
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

/// Unix time that is unaffected by steps of the local system clock.
///
/// The system clock is read once at creation. From then on the boot clock advances the
/// time, and it is only reset if it deviates too far from the median of all nodes.
pub struct ClusterClock {
    boot: std::rc::Rc<dyn BootClock>,
    offset: Cell<Duration>,
}

impl ClusterClock {
    /// Creates a clock that starts at the current system time.
    pub fn new(boot: std::rc::Rc<dyn BootClock>) -> ClusterClock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        ClusterClock::starting_at(boot, wall)
    }

    /// Creates a clock whose current Unix time is `now`.
    pub fn starting_at(boot: std::rc::Rc<dyn BootClock>, now: Duration) -> ClusterClock {
        let offset = Cell::new(now.saturating_sub(boot.elapsed()));
        ClusterClock { boot, offset }
    }

    /// Returns the current Unix time.
    pub fn now(&self) -> Duration {
        self.offset.get() + self.boot.elapsed()
    }

    /// Returns the time since boot.
    pub fn since_boot(&self) -> Duration {
        self.boot.elapsed()
    }

    /// Sets the clock to the median of this node's and the other nodes' current times if it
    /// deviates from it by more than 500 ms.
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
