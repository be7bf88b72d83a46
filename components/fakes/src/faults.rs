//! Faults that a stand-in is told to show.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

/// What goes wrong with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The call is refused and has no effect.
    Refuse,
    /// The call takes effect and its answer is lost.
    LoseResponse,
    /// The call is answered, after this time.
    Slow(Duration),
    /// The call takes effect after this time, and its answer is lost.
    SlowThenLoseResponse(Duration),
    /// The call is never answered and has no effect.
    Silent,
}

/// The faults of one stand-in: a script for the next calls, then a default fault.
#[derive(Debug, Clone, Default)]
pub struct Faults(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    script: VecDeque<Fault>,
    default: Option<Fault>,
}

impl Faults {
    /// Adds the faults of the next calls, one each.
    pub fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        self.0.lock().unwrap().script.extend(faults);
    }

    /// Sets the fault of every call that the script does not cover.
    pub fn set_default(&self, fault: Fault) {
        self.0.lock().unwrap().default = Some(fault);
    }

    /// Forgets the script and the default fault.
    pub fn clear(&self) {
        *self.0.lock().unwrap() = State::default();
    }

    /// Takes the fault of the next call.
    pub fn next(&self) -> Fault {
        let mut state = self.0.lock().unwrap();
        state.script.pop_front().or(state.default).unwrap_or(Fault::None)
    }
}
