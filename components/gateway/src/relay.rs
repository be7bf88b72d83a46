//! Passes the body of an answer on as it comes.

use std::{io, rc::Rc};

use actix_http::body::{BodyStream, MessageBody};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, stream};
use tokio::time::timeout_at;

use crate::{
    attempts::{Attempts, Next, SendEnd},
    connection::Connection,
    decision::{Decision, Reason, StreamBroke},
    dispatch::resume,
    send::{Running, Started},
    serve::Job,
};

/// The rest of an answer that is too long to be read whole.
pub(crate) struct LongRelay {
    job: Rc<Job>,
    start: Option<Bytes>,
    connection: Option<Connection>,
    running: Running,
}

impl LongRelay {
    pub(crate) fn new(
        job: Rc<Job>,
        start: Bytes,
        connection: Connection,
        running: Running,
    ) -> LongRelay {
        LongRelay { job, start: Some(start), connection: Some(connection), running }
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
        match timeout_at(self.job.ends, connection.chunk()).await {
            Ok(Ok(Some(chunk))) => Some(Ok(chunk)),
            Ok(Ok(None)) => {
                if let Some(connection) = self.connection.take() {
                    self.running.upstream.pool.put(connection);
                }
                self.job.log_end(Reason::Answered, 200, 1);
                None
            }
            Ok(Err(err)) => self.broke(&err.to_string()),
            Err(_) => self.broke("the time is up"),
        }
    }

    fn broke(&mut self, reason: &str) -> Option<io::Result<Bytes>> {
        self.connection = None;
        self.job.log_end(Reason::AnswerBroke, 200, 1);
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

/// A stream of events on its way to the caller.
///
/// Only whole events are passed on, each id once and in order, so that the
/// stream can go on at another upstream after any of them.
pub(crate) struct EventRelay {
    job: Rc<Job>,
    current: Option<Started>,
    attempts: Attempts,
    last_id: Option<u64>,
    is_over: bool,
}

/// What became of reading on.
enum Step {
    Bytes(Bytes),
    Whole,
    Broke(String),
}

impl EventRelay {
    pub(crate) fn new(job: Rc<Job>, started: Started, attempts: Attempts) -> EventRelay {
        let last_id = job.facts.resume_after;
        EventRelay { job, current: Some(started), attempts, last_id, is_over: false }
    }

    pub(crate) fn into_body(self) -> impl MessageBody + 'static {
        BodyStream::new(Box::pin(unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next, relay))
        })))
    }

    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.is_over {
            return None;
        }
        loop {
            let step = match timeout_at(self.job.ends, self.step()).await {
                Ok(step) => step,
                Err(_) => return self.broke("the time is up"),
            };
            match step {
                Step::Bytes(bytes) => return Some(Ok(bytes)),
                Step::Whole => {
                    self.finish();
                    return None;
                }
                Step::Broke(reason) => {
                    if !self.resumed(&reason).await {
                        return self.broke(&reason);
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let Some(current) = &mut self.current else {
            return Step::Broke("no upstream".to_owned());
        };
        loop {
            let ready = match take_frames(current, &mut self.last_id) {
                Ok(ready) => ready,
                Err(reason) => return Step::Broke(reason),
            };
            if !ready.is_empty() {
                return Step::Bytes(ready);
            }
            match current.connection.chunk().await {
                Ok(Some(chunk)) => current.frames.push(&chunk),
                Ok(None) if current.frames.has_partial() => {
                    return Step::Broke("ended within an event".to_owned());
                }
                Ok(None) => return Step::Whole,
                Err(err) => return Step::Broke(err.to_string()),
            }
        }
    }

    /// Goes on at another upstream, where the route allows it.
    async fn resumed(&mut self, reason: &str) -> bool {
        let Some(broken) = self.current.take() else { return false };
        let upstream = broken.running.upstream.id();
        drop(broken);
        self.job.gateway.decisions.write(&Decision::StreamBroke(StreamBroke {
            request: &self.job.facts.id,
            upstream: &upstream,
            last_event: self.last_id,
            reason,
        }));
        if self.attempts.ended(upstream, SendEnd::Unknown) != Next::MayRepeat {
            return false;
        }
        let resumed =
            timeout_at(self.job.ends, resume(&self.job, &mut self.attempts, self.last_id)).await;
        match resumed {
            Ok(Some(started)) => {
                self.current = Some(started);
                true
            }
            _ => false,
        }
    }

    fn finish(&mut self) {
        self.is_over = true;
        if let Some(Started { connection, running, .. }) = self.current.take() {
            running.upstream.pool.put(connection);
        }
        self.job.log_end(Reason::Answered, 200, self.attempts.tried().len() + 1);
    }

    fn broke(&mut self, reason: &str) -> Option<io::Result<Bytes>> {
        self.is_over = true;
        self.current = None;
        self.job.log_end(Reason::AnswerBroke, 200, self.attempts.tried().len());
        Some(Err(io::Error::other(reason.to_owned())))
    }
}

impl Drop for EventRelay {
    fn drop(&mut self) {
        if !self.is_over {
            self.job.log_end(Reason::CallerLeft, 200, self.attempts.tried().len() + 1);
        }
    }
}

/// Takes the whole events that have come; those that were passed on before are dropped.
fn take_frames(current: &mut Started, last_id: &mut Option<u64>) -> Result<Bytes, String> {
    let mut ready = BytesMut::new();
    while let Some(frame) = current.frames.next_frame().map_err(|err| err.to_string())? {
        let is_known = matches!((frame.id, *last_id), (Some(id), Some(last)) if id <= last);
        if is_known {
            continue;
        }
        *last_id = frame.id.or(*last_id);
        ready.extend_from_slice(&frame.bytes);
    }
    Ok(ready.freeze())
}
