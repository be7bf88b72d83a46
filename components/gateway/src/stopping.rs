//! State of a node that shuts down gracefully.

use std::future::Future;

use tokio::time::{Instant, sleep_until};

use crate::{Gateway, server::Drain, stop_schedule::StopSchedule};

impl Gateway {
    /// Starts a graceful shutdown: the node is no longer ready, and each response closes its
    /// connection. Returns the times of the shutdown.
    pub(crate) fn start_stopping(&self) -> StopSchedule {
        let schedule = StopSchedule::start(self.settings.grace);
        self.stopping.send_replace(Some(schedule));
        schedule
    }

    /// Returns whether the node is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.borrow().is_some()
    }

    /// Returns whether the node is shutting down and no longer accepts new requests.
    pub(crate) fn rejects_requests(&self) -> bool {
        self.stopping.borrow().is_some_and(|schedule| schedule.refuses_requests())
    }

    /// Runs `work` until `deadline`, or until a node that stops has to answer; returns `None` if it
    /// has not ended by then.
    pub(crate) async fn run_until<T>(
        &self,
        deadline: Instant,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            result = work => Some(result),
            () = sleep_until(deadline) => None,
            () = self.answer_due() => None,
        }
    }

    /// Returns whether the node stops and has to answer what it has not answered yet.
    pub(crate) fn is_answer_due(&self) -> bool {
        self.stopping.borrow().is_some_and(|schedule| Instant::now() >= schedule.answer_by)
    }

    /// Waits until the node stops and has to answer what it has not answered yet.
    async fn answer_due(&self) {
        let mut stopping = self.stopping.subscribe();
        let schedule = stopping.wait_for(Option::is_some).await.ok().and_then(|stop| *stop);
        match schedule {
            Some(schedule) => sleep_until(schedule.answer_by).await,
            None => std::future::pending().await,
        }
    }

    /// Accepts no further connections of callers and closes idle ones.
    pub(crate) fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// Returns the drain state of the callers' server.
    pub(crate) fn drain(&self) -> Drain {
        Drain { closing: self.closing.subscribe(), connections: self.connections.clone() }
    }
}
