//! Streams response bodies from upstreams to callers.

use std::{io, rc::Rc};

use actix_http::{
    StatusCode,
    body::{BodyStream, MessageBody},
};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, stream};
use lycheelatch_policy::ResponseStage;
use tokio::time::Instant;

use crate::{
    attempts::{Attempts, NextStep, SendOutcome},
    connection::Connection,
    crash_evidence::record_answer,
    decision::{Decision, Reason, StreamInterrupted},
    dispatch::{choose_replacement, resume},
    in_flight::InFlightGuard,
    place::Placement,
    response_cut::record_cut,
    rollout_counting::record_broken,
    send::{BufferedResponse, StartedStream},
    serve::RequestContext,
};

/// Time without a complete event after which a stream that can be resumed leaves its upstream, as a
/// multiple of the route's target for the gap between two events.
const STALLED_AFTER_GAPS: u32 = 4;

/// Logs the end of a relayed response; if it is dropped before, the caller has disconnected.
struct EndLog {
    cx: Rc<RequestContext>,
    status: StatusCode,
    is_written: bool,
}

impl EndLog {
    fn new(cx: Rc<RequestContext>, status: StatusCode) -> EndLog {
        EndLog { cx, status, is_written: false }
    }

    fn write(&mut self, reason: Reason) {
        self.is_written = true;
        self.cx.log_end(reason, self.status.as_u16());
    }
}

impl Drop for EndLog {
    fn drop(&mut self) {
        if !self.is_written {
            self.write(Reason::CallerDisconnected);
        }
    }
}

/// Relays a response body that is too large to be buffered.
pub(crate) struct LargeBodyRelay {
    cx: Rc<RequestContext>,
    start: Option<Bytes>,
    connection: Option<Connection>,
    guard: InFlightGuard,
    end: EndLog,
}

impl LargeBodyRelay {
    pub(crate) fn new(
        cx: Rc<RequestContext>,
        start: BufferedResponse,
        connection: Connection,
        guard: InFlightGuard,
    ) -> LargeBodyRelay {
        let BufferedResponse { status, body, .. } = start;
        let end = EndLog::new(cx.clone(), status);
        LargeBodyRelay { cx, start: Some(body), connection: Some(connection), guard, end }
    }

    pub(crate) fn into_body(self) -> impl MessageBody + 'static {
        BodyStream::new(Box::pin(unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next, relay))
        })))
    }

    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if let Some(start) = self.start.take() {
            return Some(Ok(start));
        }
        let connection = self.connection.as_mut()?;
        match self.cx.run_until_due(connection.next_chunk()).await {
            Some(Ok(Some(chunk))) => Some(Ok(chunk)),
            Some(Ok(None)) => {
                if let Some(connection) = self.connection.take() {
                    record_whole(&self.cx, &connection);
                    self.guard.upstream.pool.put(connection);
                }
                self.end.write(Reason::Answered);
                None
            }
            Some(Err(err)) => {
                if err.is_cut() {
                    record_cut(
                        &self.cx,
                        &self.guard.upstream,
                        ResponseStage::Streaming,
                        self.guard.started,
                    );
                }
                self.fail(&err.to_string())
            }
            None => self.fail("the time is up"),
        }
    }

    fn fail(&mut self, reason: &str) -> Option<io::Result<Bytes>> {
        self.connection = None;
        self.end.write(Reason::ResponseInterrupted);
        Some(Err(io::Error::other(reason.to_owned())))
    }
}

fn unfold<T, F, Fut>(state: T, step: F) -> impl Stream<Item = io::Result<Bytes>>
where
    F: FnMut(T) -> Fut,
    Fut: Future<Output = Option<(io::Result<Bytes>, T)>>,
{
    stream::unfold(state, step)
}

/// Relays a stream of server-sent events.
///
/// Only complete events are relayed, and none whose id is not higher than the last one, so
/// that the stream can be resumed on another upstream after any event.
pub(crate) struct EventRelay {
    cx: Rc<RequestContext>,
    current: Option<StartedStream>,
    attempts: Attempts,
    last_id: Option<u64>,
    end: EndLog,
}

/// Result of reading from the upstream.
enum Step {
    Bytes(Bytes),
    Complete,
    /// The deadline has passed, so the stream can't be resumed.
    TimeUp,
    Interrupted {
        reason: String,
        /// Whether the upstream closed the connection.
        is_cut: bool,
        /// Upstream for the rest of the stream.
        reserved: Option<Box<Placement>>,
    },
}

impl Step {
    fn interrupted(reason: impl Into<String>) -> Step {
        Step::Interrupted { reason: reason.into(), is_cut: false, reserved: None }
    }

    fn cut(reason: impl Into<String>) -> Step {
        Step::Interrupted { reason: reason.into(), is_cut: true, reserved: None }
    }
}

impl EventRelay {
    pub(crate) fn new(
        cx: Rc<RequestContext>,
        started: StartedStream,
        attempts: Attempts,
    ) -> EventRelay {
        let last_id = cx.info.resume_after;
        let end = EndLog::new(cx.clone(), started.status);
        EventRelay { cx, current: Some(started), attempts, last_id, end }
    }

    pub(crate) fn into_body(self) -> impl MessageBody + 'static {
        BodyStream::new(Box::pin(unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next, relay))
        })))
    }

    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.end.is_written {
            return None;
        }
        loop {
            match self.step_or_leave().await {
                Step::Bytes(bytes) => return Some(Ok(bytes)),
                Step::Complete => {
                    self.finish();
                    return None;
                }
                Step::TimeUp => {
                    if let Some(current) = &self.current {
                        record_broken(&self.cx, &current.guard.upstream);
                    }
                    return self.fail("the time is up");
                }
                Step::Interrupted { reason, is_cut, reserved } => {
                    if !self.try_resume(&reason, is_cut, reserved).await {
                        return self.fail(&reason);
                    }
                }
            }
        }
    }

    /// Reads the next events. A stream that can go on at another upstream leaves this one if no
    /// complete event arrives for too long; any other one is read until the deadline.
    async fn step_or_leave(&mut self) -> Step {
        let cx = self.cx.clone();
        let leave_at = Instant::now() + cx.route.event_gap_target * STALLED_AFTER_GAPS;
        if self.attempts.may_abandon() && leave_at < cx.deadline {
            if let Some(step) = cx.gateway.run_until(leave_at, self.step()).await {
                return step;
            }
            if !cx.gateway.is_answer_due()
                && let Some(next) = self.replacement()
            {
                let reason = "no event for too long".to_owned();
                let reserved = Some(Box::new(next));
                return Step::Interrupted { reason, is_cut: false, reserved };
            }
        }
        cx.run_until_due(self.step()).await.unwrap_or(Step::TimeUp)
    }

    /// Reserves another upstream for the rest of the stream.
    fn replacement(&self) -> Option<Placement> {
        let current = self.current.as_ref()?.guard.upstream.id();
        choose_replacement(&self.cx, &self.attempts, &current)
    }

    async fn step(&mut self) -> Step {
        let Some(current) = &mut self.current else {
            return Step::interrupted("no upstream");
        };
        loop {
            let ready = match take_frames(current, &mut self.last_id) {
                Ok(ready) => ready,
                Err(reason) => return Step::interrupted(reason),
            };
            if !ready.is_empty() {
                return Step::Bytes(ready);
            }
            match current.connection.next_chunk().await {
                Ok(Some(chunk)) => current.frames.push(&chunk),
                Ok(None) if current.frames.has_partial() => {
                    return Step::cut("ended within an event");
                }
                Ok(None) => return Step::Complete,
                Err(err) if err.is_cut() => return Step::cut(err.to_string()),
                Err(err) => return Step::interrupted(err.to_string()),
            }
        }
    }

    /// Resumes the stream on another upstream, if the route allows it; returns whether it did.
    async fn try_resume(
        &mut self,
        reason: &str,
        is_cut: bool,
        reserved: Option<Box<Placement>>,
    ) -> bool {
        let Some(broken) = self.current.take() else { return false };
        if is_cut {
            let InFlightGuard { upstream, started, .. } = &broken.guard;
            record_cut(&self.cx, upstream, ResponseStage::Streaming, *started);
        }
        record_broken(&self.cx, &broken.guard.upstream);
        let upstream = broken.guard.upstream.id();
        let version = broken.guard.upstream.entry.borrow().version.clone();
        drop(broken);
        self.cx.gateway.decisions.write(&Decision::StreamInterrupted(StreamInterrupted {
            request: &self.cx.info.id,
            upstream: &upstream,
            version: version.as_deref(),
            last_event: self.last_id,
            reason,
        }));
        if self.attempts.record(upstream, SendOutcome::Unknown) != NextStep::MayRetry {
            return false;
        }
        let reserved = reserved.map(|placement| *placement);
        let resuming = resume(&self.cx, &mut self.attempts, self.last_id, reserved);
        let resumed = self.cx.run_until_due(resuming).await;
        match resumed {
            Some(Some(started)) => {
                self.current = Some(started);
                true
            }
            _ => false,
        }
    }

    fn finish(&mut self) {
        if let Some(StartedStream { connection, guard, .. }) = self.current.take() {
            record_whole(&self.cx, &connection);
            guard.upstream.pool.put(connection);
        }
        self.end.write(Reason::Answered);
    }

    fn fail(&mut self, reason: &str) -> Option<io::Result<Bytes>> {
        self.current = None;
        self.end.write(Reason::ResponseInterrupted);
        Some(Err(io::Error::other(reason.to_owned())))
    }
}

/// Records that a response was complete. The close of a connection that ends a body without a length
/// doesn't show that the upstream goes on.
fn record_whole(cx: &RequestContext, connection: &Connection) {
    if !connection.is_ended() {
        record_answer(cx);
    }
}

/// Returns the complete events received so far, without those that were relayed before.
///
/// Fails on an event without an id after one with an id: it is no part of the stream.
fn take_frames(current: &mut StartedStream, last_id: &mut Option<u64>) -> Result<Bytes, String> {
    let mut ready = BytesMut::new();
    while let Some(frame) = current.frames.next_frame().map_err(|err| err.to_string())? {
        if frame.id.is_none() && last_id.is_some() && frame.has_field() {
            return Err("an event without an id".to_owned());
        }
        let is_known = matches!((frame.id, *last_id), (Some(id), Some(last)) if id <= last);
        if is_known {
            continue;
        }
        *last_id = frame.id.or(*last_id);
        ready.extend_from_slice(&frame.bytes);
    }
    Ok(ready.freeze())
}
