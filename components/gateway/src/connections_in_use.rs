//! Connections to an upstream that carry a request.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use tokio::time::Instant;

/// Connections of this node to an upstream that were opened before some time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ConnectionCounts {
    pub(crate) open: usize,
    /// Those that ended at about that time.
    pub(crate) ended: usize,
}

/// Connections in use, by when they were opened.
#[derive(Default)]
pub(crate) struct InUse(Rc<Table>);

#[derive(Default)]
struct Table {
    opened: RefCell<BTreeMap<u64, Instant>>,
    last: Cell<u64>,
}

impl InUse {
    /// Counts a connection as in use until the guard is dropped.
    pub(crate) fn add(&self, opened_at: Instant) -> InUseGuard {
        let number = self.0.last.get() + 1;
        self.0.last.set(number);
        self.0.opened.borrow_mut().insert(number, opened_at);
        InUseGuard { table: self.0.clone(), number }
    }

    /// Returns the number of those that were opened before `time`.
    pub(crate) fn opened_before(&self, time: Instant) -> usize {
        self.0.opened.borrow().values().filter(|opened| **opened < time).count()
    }
}

/// Counts a connection as in use until dropped.
pub(crate) struct InUseGuard {
    table: Rc<Table>,
    number: u64,
}

impl Drop for InUseGuard {
    fn drop(&mut self) {
        self.table.opened.borrow_mut().remove(&self.number);
    }
}
