//! Finds out whether an upstream's process ended when it closed the connections of responses.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use lycheelatch_policy::{PartId, ProcessSigns, ProcessState, ResponseStage};
use lycheelatch_prelude::ServiceName;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    connection::{Connection, ExchangeError},
    connections_in_use::ConnectionCounts,
};

/// Timeout for the connection that shows whether an upstream still listens.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Times after the first cut at which the other connections are looked at. Those of a process that
/// ended may be closed a little later, and later still if a packet is lost.
const LOOKS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(100), Duration::from_millis(500)];

/// Time between two cuts of one upstream up to which they have one reason.
const SAME_TIME: Duration = Duration::from_secs(1);

/// Maximum number of cuts whose time is kept.
const MAX_RECENT: usize = 8;

/// Interval at which the entry of an upstream is looked at.
const ENTRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a process that ended has lost its entry, or has registered again.
const ENTRY_TIME: Duration = Duration::from_secs(5);

/// A response that the upstream cut off, of a request with parts that others may hold too.
#[derive(Debug, Clone)]
pub(crate) struct CutResponse {
    pub(crate) service: ServiceName,
    pub(crate) request: Arc<str>,
    pub(crate) parts: Vec<PartId>,
    pub(crate) stage: ResponseStage,
    /// Time since the request was sent.
    pub(crate) age: Duration,
    /// When it was noticed, since the Unix epoch.
    pub(crate) at: Duration,
}

/// Responses that one upstream cut off.
#[derive(Default)]
pub(crate) struct CutResponses {
    /// Those of the check that is under way.
    pending: RefCell<Vec<CutResponse>>,
    is_checking: Cell<bool>,
    /// Times of the latest cuts, also of requests without parts.
    recent: RefCell<Vec<Instant>>,
}

impl CutResponses {
    /// Records the end of a connection.
    pub(crate) fn record_end(&self, now: Instant) {
        let mut recent = self.recent.borrow_mut();
        recent.retain(|at| now - *at < SAME_TIME);
        recent.truncate(MAX_RECENT - 1);
        recent.push(now);
    }

    /// Adds a response to the check that is under way; returns whether there is none, and the caller
    /// has to start it.
    pub(crate) fn add(&self, cut: CutResponse) -> bool {
        self.pending.borrow_mut().push(cut);
        !self.is_checking.replace(true)
    }

    /// Returns how many connections ended at about this time.
    pub(crate) fn ended_at(&self, time: Instant) -> usize {
        let is_near = |at: &&Instant| time.max(**at) - time.min(**at) < SAME_TIME;
        self.recent.borrow().iter().filter(is_near).count()
    }

    fn take(&self) -> Vec<CutResponse> {
        self.is_checking.set(false);
        self.pending.take()
    }
}

/// What this node can see of one start of an upstream.
pub(crate) trait UpstreamView {
    fn address(&self) -> SocketAddr;

    fn cuts(&self) -> &CutResponses;

    /// Counts the connections that were opened before `time`.
    fn connections_before(&self, time: Instant) -> ConnectionCounts;

    /// Returns whether its entry has gone without notice, or another start has registered.
    fn is_replaced(&self) -> bool;
}

/// Receives what a check has found out.
pub(crate) trait CrashSink {
    /// Records cut responses with what is known of the process; the same ones may come again when
    /// more is known.
    fn record(&self, cuts: &[CutResponse], signs: ProcessSigns);
}

/// Finds out what became of an upstream's process, and reports the responses that it cut off unless
/// the process goes on.
pub(crate) async fn check_process(view: Rc<dyn UpstreamView>, sink: Rc<dyn CrashSink>) {
    let cut_at = Instant::now();
    let is_refusing = is_refusing(view.address()).await;
    let mut signs = ProcessSigns::default();
    for look in LOOKS {
        if !look.is_zero() {
            sleep_until(cut_at + look).await;
        }
        signs = look_at(&*view, is_refusing, cut_at);
        if signs.process_state() == ProcessState::Ended {
            break;
        }
    }
    let cuts = view.cuts().take();
    sink.record(&cuts, signs);
    if signs.process_state() == ProcessState::Unknown {
        watch_entry(&*view, &*sink, &cuts, signs).await;
    }
}

/// Reports responses again if the upstream's entry shows that the process has ended.
async fn watch_entry(
    view: &dyn UpstreamView,
    sink: &dyn CrashSink,
    cuts: &[CutResponse],
    signs: ProcessSigns,
) {
    let until = Instant::now() + ENTRY_TIME;
    while Instant::now() < until {
        sleep(ENTRY_INTERVAL).await;
        if view.is_replaced() {
            sink.record(cuts, ProcessSigns { is_replaced: true, ..signs });
            return;
        }
    }
}

fn look_at(view: &dyn UpstreamView, is_refusing: bool, cut_at: Instant) -> ProcessSigns {
    let ConnectionCounts { open, ended } = view.connections_before(cut_at);
    ProcessSigns {
        is_refusing,
        open_connections: open,
        // One of them is that of the first response.
        ended_connections: ended.saturating_sub(1),
        is_replaced: view.is_replaced(),
    }
}

async fn is_refusing(address: SocketAddr) -> bool {
    let opened = Connection::open(address, CONNECT_TIMEOUT).await;
    matches!(opened, Err(ExchangeError::ConnectionRefused(_)))
}

#[cfg(test)]
mod tests;
