//! Event queue in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use tokio::time::Instant;

/// Event queue ordered by time; events with equal times are ordered by when they were scheduled.
pub struct Schedule<E> {
    start: Instant,
    now: Duration,
    order: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, E>,
    next: u64,
}

impl<E> Schedule<E> {
    /// Creates an empty schedule at time zero.
    pub fn new() -> Schedule<E> {
        Schedule {
            start: Instant::now(),
            now: Duration::ZERO,
            order: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
        }
    }

    /// Returns the virtual time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now
    }

    /// Returns the virtual time as an [`Instant`], as the policies expect it.
    pub fn now(&self) -> Instant {
        self.start + self.now
    }

    /// Schedules an event after a delay.
    pub fn after(&mut self, delay: Duration, event: E) {
        self.order.push(Reverse((self.now + delay, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    /// Schedules an event at an [`Instant`], or now if it has passed.
    pub fn at(&mut self, at: Instant, event: E) {
        self.after(at.saturating_duration_since(self.now()), event);
    }

    /// Removes and returns the next event and advances the virtual time to it.
    pub fn next(&mut self) -> Option<E> {
        let Reverse((at, id)) = self.order.pop()?;
        self.now = at;
        self.events.remove(&id)
    }
}
