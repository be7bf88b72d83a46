//! Faults to inject into the calls of a fake.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

/// Fault of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call is executed without a fault.
    None,
    /// The call is refused and has no effect.
    Refuse,
    /// The call takes effect, and its response is lost.
    LoseResponse,
    /// The call is executed after this delay.
    Slow(Duration),
    /// The call takes effect after this delay, and its response is lost.
    SlowThenLoseResponse(Duration),
    /// The call has no effect and never gets a response.
    Silent,
}

/// Faults of one fake: a queue for the next calls, then a default.
#[derive(Debug, Clone, Default)]
pub struct Faults(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    script: VecDeque<Fault>,
    default: Option<Fault>,
}

impl Faults {
    /// Queues faults, one for each of the next calls.
    pub fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        self.0.lock().unwrap().script.extend(faults);
    }

    /// Sets the fault of every call for which none is queued.
    pub fn set_default(&self, fault: Fault) {
        self.0.lock().unwrap().default = Some(fault);
    }

    /// Removes the queued faults and the default.
    pub fn clear(&self) {
        *self.0.lock().unwrap() = State::default();
    }

    /// Returns the fault of the next call and removes it from the queue.
    pub fn next(&self) -> Fault {
        let mut state = self.0.lock().unwrap();
        state.script.pop_front().or(state.default).unwrap_or(Fault::None)
    }
}
