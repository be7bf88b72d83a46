//! State of a client's connection, shared by its stream, its requests and the connection table.

use std::{
    cell::{Cell, RefCell},
    net::IpAddr,
    rc::Rc,
    task::{Context, Waker},
};

use actix_http::{HttpMessage, Request, header::CONTENT_LENGTH};
use lycheelatch_policy::{CloseReason, ConnectionPhase, ConnectionProgress};
use tokio::{sync::Notify, time::Instant};

use crate::chunk_framing::ChunkFraming;

/// Limits on what is read of a client, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReadLimits {
    pub(crate) head: usize,
    /// The rest of a body whose request was answered before it was read.
    pub(crate) unread_body: usize,
}

/// What the next bytes of a client belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The head of a request.
    Head,
    /// A body with this number of bytes left.
    Sized(u64),
    /// A body in chunks.
    Chunked(ChunkFraming),
}

/// State of a client's connection.
pub(crate) struct ClientConnection {
    pub(crate) client: IpAddr,
    pub(crate) limits: ReadLimits,
    pub(crate) framing: Cell<Framing>,
    /// Bytes that were read since the last request or the end of its response.
    pub(crate) unclaimed: Cell<usize>,
    /// Whether the client does not take what is written to it.
    is_blocked: Cell<bool>,
    requests: Cell<usize>,
    since: Cell<Instant>,
    deadline: Cell<Option<Instant>>,
    reader: RefCell<Option<Waker>>,
    close_reason: Cell<Option<CloseReason>>,
    closing: Notify,
}

impl ClientConnection {
    pub(crate) fn new(client: IpAddr, limits: ReadLimits) -> ClientConnection {
        ClientConnection {
            client,
            limits,
            framing: Cell::new(Framing::Head),
            unclaimed: Cell::new(0),
            is_blocked: Cell::new(false),
            requests: Cell::new(0),
            since: Cell::new(Instant::now()),
            deadline: Cell::new(None),
            reader: RefCell::default(),
            close_reason: Cell::new(None),
            closing: Notify::new(),
        }
    }

    /// Returns the state of the connection that a request came on.
    pub(crate) fn of(req: &Request) -> Option<Rc<ClientConnection>> {
        req.conn_data::<Rc<ClientConnection>>().cloned()
    }

    /// Records that `n` bytes were read and what the next ones belong to.
    ///
    /// A head has to be complete in time, however many bytes come.
    pub(crate) fn record_read(&self, n: usize, next: Framing) {
        let was_head = self.framing.replace(next) == Framing::Head;
        let is_unclaimed = self.requests.get() == 0;
        let before = self.unclaimed.get();
        let is_body_end = !was_head && next == Framing::Head;
        self.unclaimed.set(if is_unclaimed && !is_body_end { before + n } else { 0 });
        let is_rest_of_head = was_head && is_unclaimed && before > 0;
        if !is_rest_of_head {
            self.record_progress();
        }
    }

    /// Records that bytes were written.
    pub(crate) fn record_write(&self) {
        self.record_progress();
        if self.is_blocked.replace(false) {
            self.wake_reader();
        }
    }

    /// Records that the client does not take what is written to it.
    pub(crate) fn set_blocked(&self) {
        if !self.is_blocked.replace(true) {
            self.record_progress();
        }
    }

    fn record_progress(&self) {
        self.since.set(Instant::now());
    }

    /// Returns what the connection waits for.
    pub(crate) fn progress(&self) -> ConnectionProgress {
        ConnectionProgress {
            phase: self.phase(),
            since: self.since.get(),
            deadline: self.deadline.get(),
        }
    }

    fn phase(&self) -> ConnectionPhase {
        if self.is_blocked.get() {
            return ConnectionPhase::Unread;
        }
        match (self.requests.get() > 0, self.framing.get()) {
            (true, Framing::Head) => ConnectionPhase::Response,
            (_, Framing::Sized(_) | Framing::Chunked(_)) => ConnectionPhase::Body,
            (false, Framing::Head) if self.unclaimed.get() > 0 => ConnectionPhase::Head,
            (false, Framing::Head) => ConnectionPhase::Idle,
        }
    }

    /// Returns whether nothing is to be read before the current request is answered.
    pub(crate) fn is_reading_paused(&self) -> bool {
        let awaits_response = self.requests.get() > 0 && self.framing.get() == Framing::Head;
        self.is_blocked.get() || awaits_response
    }

    /// Wakes the task when reading goes on.
    pub(crate) fn wait_for_reading(&self, cx: &Context<'_>) {
        self.reader.replace(Some(cx.waker().clone()));
    }

    fn wake_reader(&self) {
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }

    /// Sets until when the client may take the response to its request.
    pub(crate) fn set_deadline(&self, deadline: Instant) {
        self.deadline.set(Some(deadline));
    }

    /// Begins a request; it ends when the returned value is dropped.
    pub(crate) fn begin_request(self: &Rc<Self>, req: &Request) -> OpenRequest {
        let length = req.headers().get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
        let length: Option<u64> = length.and_then(|text| text.trim().parse().ok());
        let framing = match length {
            _ if req.chunked().unwrap_or(false) => Framing::Chunked(ChunkFraming::new()),
            Some(length) if length > 0 => Framing::Sized(length),
            _ => Framing::Head,
        };
        self.framing.set(framing);
        self.unclaimed.set(0);
        self.requests.set(self.requests.get() + 1);
        self.deadline.set(None);
        self.record_progress();
        OpenRequest(self.clone())
    }

    /// Closes the connection, unless that has begun.
    pub(crate) fn close(&self, reason: CloseReason) {
        if self.close_reason.get().is_none() {
            self.close_reason.set(Some(reason));
            self.closing.notify_one();
        }
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.close_reason.get().is_some()
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn closed(&self) {
        self.closing.notified().await;
    }
}

/// A request whose response is not complete.
pub(crate) struct OpenRequest(Rc<ClientConnection>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let connection = &self.0;
        connection.requests.set(connection.requests.get() - 1);
        connection.unclaimed.set(0);
        connection.record_progress();
        connection.wake_reader();
    }
}
