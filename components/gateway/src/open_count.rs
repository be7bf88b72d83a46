//! Number of things that are open, such as requests or connections.

use std::{cell::Cell, rc::Rc};

/// Shared count of open things.
#[derive(Clone, Default)]
pub(crate) struct OpenCount(Rc<Cell<u32>>);

impl OpenCount {
    pub(crate) fn get(&self) -> u32 {
        self.0.get()
    }

    /// Counts one more until the guard is dropped.
    pub(crate) fn open(&self) -> OpenGuard {
        self.0.set(self.0.get() + 1);
        OpenGuard(self.clone())
    }
}

/// Guard that counts one thing as open until dropped.
pub(crate) struct OpenGuard(OpenCount);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}
