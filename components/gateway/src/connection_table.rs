//! The open connections of a listener, their number and the time that each may take.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use lycheelatch_policy::{CloseReason, ConnectionLimits, ConnectionProgress};
use prometheus::IntCounterVec;
use tokio::time::{Instant, sleep};

use crate::{
    client_connection::ClientConnection,
    held_memory::{ClientMemory, HeldMemory},
};

/// Interval at which connections are checked for progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two log lines on closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What becomes of a response that the budget has no room for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseMemory {
    /// It is sent, since its request has run; what follows is refused sooner.
    Always,
    /// It is dropped, and the request is refused.
    WithinBudget,
}

/// The open connections of a listener.
pub(crate) struct ConnectionTable {
    name: &'static str,
    max: usize,
    memory: ClientMemory,
    responses: ResponseMemory,
    closed: IntCounterVec,
    next: Cell<u64>,
    open: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    unlogged: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

/// A connection's place in its table, which is free after the drop.
pub(crate) struct Place {
    table: Rc<ConnectionTable>,
    number: u64,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.table.open.borrow_mut().remove(&self.number);
    }
}

impl ConnectionTable {
    /// Creates a table for at most `max` connections; `closed` counts those that the node closes.
    pub(crate) fn new(
        name: &'static str,
        max: usize,
        memory: ClientMemory,
        responses: ResponseMemory,
        closed: IntCounterVec,
    ) -> ConnectionTable {
        ConnectionTable {
            name,
            max,
            memory,
            responses,
            closed,
            next: Cell::new(0),
            open: RefCell::default(),
            unlogged: Cell::new(0),
            logged_at: Cell::new(None),
        }
    }

    /// Returns the memory that is kept for clients.
    pub(crate) fn memory(&self) -> &ClientMemory {
        &self.memory
    }

    /// Takes the memory of a response; returns whether it may be sent.
    pub(crate) fn hold_response(&self, memory: &mut HeldMemory, bytes: usize) -> bool {
        match self.responses {
            ResponseMemory::Always => {
                memory.resize(bytes);
                true
            }
            ResponseMemory::WithinBudget => memory.try_resize(bytes).is_ok(),
        }
    }

    /// Gives a new connection a place: a free one, or that of the connection that has made no
    /// progress for longest. Returns `None` if all connections are in use.
    pub(crate) fn enter(self: &Rc<Self>, connection: Rc<ClientConnection>) -> Option<Place> {
        if self.count_open() >= self.max {
            let now = Instant::now();
            let displaced = self.slowest(|progress| progress.displaceable(now));
            let Some(displaced) = displaced else {
                self.count_closed(CloseReason::NoPlace);
                return None;
            };
            self.close(&displaced, CloseReason::Displaced);
        }
        let number = self.next.replace(self.next.get() + 1);
        self.open.borrow_mut().insert(number, connection);
        Some(Place { table: self.clone(), number })
    }

    fn count_open(&self) -> usize {
        self.open.borrow().values().filter(|connection| !connection.is_closing()).count()
    }

    /// Returns the connection for which `stalled_for` returns the longest time.
    fn slowest(
        &self,
        stalled_for: impl Fn(&ConnectionProgress) -> Option<Duration>,
    ) -> Option<Rc<ClientConnection>> {
        let open = self.open.borrow();
        let left = open.values().filter(|connection| !connection.is_closing());
        let stalled =
            left.filter_map(|connection| Some((stalled_for(&connection.progress())?, connection)));
        stalled.max_by_key(|(time, _)| *time).map(|(_, connection)| connection.clone())
    }

    fn close(&self, connection: &ClientConnection, reason: CloseReason) {
        connection.close(reason);
        self.count_closed(reason);
    }

    fn count_closed(&self, reason: CloseReason) {
        self.closed.with_label_values(&[self.name, reason.name()]).inc();
        self.unlogged.set(self.unlogged.get() + 1);
        let now = Instant::now();
        let is_due = self.logged_at.get().is_none_or(|last| now - last >= LOG_INTERVAL);
        if is_due {
            self.logged_at.set(Some(now));
            let count = self.unlogged.take();
            log::warn!(
                "server: {}: closed {count} connections, last: {}",
                self.name,
                reason.name()
            );
        }
    }

    /// Closes connections that take too long, and the slowest that holds memory while memory is
    /// short.
    pub(crate) async fn check_progress(&self, limits: impl Fn() -> ConnectionLimits) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let now = Instant::now();
            let limits = limits();
            let open: Vec<_> = self.open.borrow().values().cloned().collect();
            for connection in open.iter().filter(|connection| !connection.is_closing()) {
                if let Some(reason) = connection.progress().overdue(limits, now) {
                    self.close(connection, reason);
                }
            }
            if self.memory.is_short()
                && let Some(slowest) = self.slowest(|progress| progress.frees_memory(now))
            {
                self.close(&slowest, CloseReason::Displaced);
            }
        }
    }
}
