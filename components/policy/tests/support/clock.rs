//! Events in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use tokio::time::Instant;

/// Events in the order of their time; equal times in the order of scheduling.
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

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now
    }

    /// Returns the time as the policies take it.
    pub fn now(&self) -> Instant {
        self.start + self.now
    }

    /// Schedules an event after a delay.
    pub fn after(&mut self, delay: Duration, event: E) {
        self.order.push(Reverse((self.now + delay, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    /// Schedules an event at a time of the policies, or now if that has passed.
    pub fn at(&mut self, at: Instant, event: E) {
        self.after(at.saturating_duration_since(self.now()), event);
    }

    /// Goes on to the next event.
    pub fn next(&mut self) -> Option<E> {
        let Reverse((at, id)) = self.order.pop()?;
        self.now = at;
        self.events.remove(&id)
    }
}
