//! A response stream that can move between runners without losing or repeating a token.

use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

use displaydoc::Display;
use futures_util::StreamExt;
use lycheelatch_prelude::{InstanceId, UpstreamId};
use lycheelatch_upstream::{
    Engine, EngineRequest, EngineStream, ResumePoint, StreamEvent, TokenOffset, UpstreamError,
};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until, timeout_at},
};

use crate::{
    Action, EngineDirectory, Instruction, LeavingInstances, RunningStream, StreamInfo, Streams,
    directory::receivers_for, streams::StreamGuard,
};

/// Maximum number of times that one stream is resumed after a failure.
const MAX_RESUMES: u32 = 16;

/// Maximum duration of a KV cache transfer from a runner without a known deadline.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(5);

/// Time before the runner's deadline at which a transfer is aborted.
const TRANSFER_MARGIN: Duration = Duration::from_millis(50);

/// Reason why a movable stream ended early.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum RelayError {
    /// no runner resumed the stream at token {offset}: {last}
    NoRunner {
        /// Number of tokens relayed.
        offset: u64,
        /// Error of the last attempt.
        last: UpstreamError,
    },
    /// the runner skipped from token {expected} to token {actual}
    Gap {
        /// Offset of the expected token.
        expected: u64,
        /// Offset of the received token.
        actual: u64,
    },
    /// unknown runner {upstream}
    UnknownRunner {
        /// Identity of the runner.
        upstream: UpstreamId,
    },
    /// the runner refused the request: {0}
    Refused(UpstreamError),
}

impl std::error::Error for RelayError {}

/// Dependencies of the relayed streams.
#[derive(Clone)]
pub struct RelayDeps {
    /// Directory of runners.
    pub directory: Arc<dyn EngineDirectory>,
    /// Leaving instances.
    pub leaving: LeavingInstances,
    /// Streams of this node.
    pub streams: Streams,
}

/// Side on which a KV cache transfer failed.
enum TransferError {
    Export,
    Import,
}

type Transfer = Pin<Box<dyn Future<Output = Result<(), TransferError>>>>;

/// A stream that moves between runners as instructed by the evacuation.
pub struct MovableStream {
    deps: RelayDeps,
    guard: StreamGuard,
    req: EngineRequest,
    engine: Arc<dyn Engine>,
    upstream: UpstreamId,
    events: EngineStream,
    instructions: watch::Receiver<Option<Instruction>>,
    pending: Option<Instruction>,
    transfer: Option<(UpstreamId, Transfer)>,
    next_offset: u64,
    text: String,
    resumes: u32,
}

impl MovableStream {
    /// Sends the request to a runner and registers its stream.
    ///
    /// Returns an error if the runner is unknown or refuses the request.
    pub async fn open(
        deps: RelayDeps,
        upstream: &UpstreamId,
        instance: &InstanceId,
        req: EngineRequest,
        info: StreamInfo,
    ) -> Result<MovableStream, RelayError> {
        let unknown = || RelayError::UnknownRunner { upstream: upstream.clone() };
        let engine = deps.directory.engine(upstream).ok_or_else(unknown)?;
        let guard = deps.streams.add(instance, info);
        let events = engine.generate(req.clone()).await.map_err(RelayError::Refused)?;
        Ok(MovableStream::from_parts(deps, guard, req, engine, upstream.clone(), events))
    }

    /// Creates a movable stream from one that is already open.
    pub fn from_parts(
        deps: RelayDeps,
        guard: StreamGuard,
        req: EngineRequest,
        engine: Arc<dyn Engine>,
        upstream: UpstreamId,
        events: EngineStream,
    ) -> MovableStream {
        let instructions = guard.handle().instructions();
        let resume = req.resume.as_ref();
        let next_offset = resume.map_or(0, |resume| resume.offset.0);
        let text = resume.map_or(String::new(), |resume| resume.text.to_string());
        MovableStream {
            deps,
            guard,
            req,
            engine,
            upstream,
            events,
            instructions,
            pending: None,
            transfer: None,
            next_offset,
            text,
            resumes: 0,
        }
    }

    /// Returns the runner that currently generates the stream.
    pub fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    /// Returns the number of tokens relayed so far.
    pub fn offset(&self) -> TokenOffset {
        TokenOffset(self.next_offset)
    }

    /// Returns the next event; [`StreamEvent::Done`] is the last one.
    ///
    /// Returns an error if the stream broke and no runner resumed it, or if a token was skipped.
    pub async fn next(&mut self) -> Result<StreamEvent, RelayError> {
        loop {
            match self.wait().await {
                RelayEvent::Instructed => {
                    self.pending = self.instructions.borrow_and_update().clone()
                }
                RelayEvent::Due => self.begin_due_action().await?,
                RelayEvent::Transferred(Ok(to)) => self.switch_to(&to).await?,
                RelayEvent::Transferred(Err(err)) => self.handle_failed_transfer(err),
                RelayEvent::Event(Some(Ok(event))) => {
                    if let Some(event) = self.accept_event(event)? {
                        return Ok(event);
                    }
                }
                RelayEvent::Event(broken) => {
                    let ended = || UpstreamError::Broken {
                        reason: "stream ended without a final event".into(),
                    };
                    let err = broken.and_then(Result::err).unwrap_or_else(ended);
                    self.recover(err).await?;
                }
            }
        }
    }

    async fn wait(&mut self) -> RelayEvent {
        let due = self.pending.as_ref().map(|pending| pending.start);
        let is_due = due.is_some() && self.transfer.is_none();
        let transfer = self.transfer.as_mut();
        tokio::select! {
            biased;
            Ok(()) = self.instructions.changed() => RelayEvent::Instructed,
            () = sleep_until(due.unwrap_or_else(Instant::now)), if is_due => RelayEvent::Due,
            (to, result) = poll_transfer(transfer) => RelayEvent::Transferred(match result {
                Ok(()) => Ok(to),
                Err(err) => Err((to, err)),
            }),
            event = self.events.next() => RelayEvent::Event(event),
        }
    }

    async fn begin_due_action(&mut self) -> Result<(), RelayError> {
        match self.pending.take().map(|pending| pending.action) {
            Some(Action::Move { to }) => self.begin_transfer(to),
            Some(Action::Resume { to }) => self.switch_to(&to).await?,
            Some(Action::Finish | Action::Wait) | None => {}
        }
        Ok(())
    }

    fn begin_transfer(&mut self, to: UpstreamId) {
        let Some(receiver) = self.deps.directory.engine(&to) else {
            self.handle_failed_transfer((to, TransferError::Import));
            return;
        };
        let (from, id) = (self.engine.clone(), self.req.id.clone());
        let deadline = self.deps.leaving.deadline(self.guard.instance());
        let ends = deadline.unwrap_or_else(|| Instant::now() + MAX_TRANSFER_TIME) - TRANSFER_MARGIN;
        let transfer = Box::pin(async move {
            let export = timeout_at(ends, from.export_kv(&id)).await;
            let blob = export.ok().and_then(Result::ok).ok_or(TransferError::Export)?;
            let import = timeout_at(ends, receiver.import_kv(&blob)).await;
            import.ok().and_then(Result::ok).ok_or(TransferError::Import)
        });
        self.guard.handle().set_moving(true);
        // Requests a new plan, so that other nodes schedule their transfers around this one.
        self.guard.streams().request_replan();
        self.transfer = Some((to, transfer));
    }

    fn handle_failed_transfer(&mut self, (to, err): (UpstreamId, TransferError)) {
        self.transfer = None;
        self.guard.handle().set_moving(false);
        match err {
            TransferError::Export => self.guard.handle().record_export_failure(),
            TransferError::Import => self.guard.streams().record_failed_receiver(&to),
        }
        self.guard.streams().request_replan();
    }

    /// Resumes the stream at `to`; if that fails, the stream stays on its current runner.
    async fn switch_to(&mut self, to: &UpstreamId) -> Result<(), RelayError> {
        self.transfer = None;
        self.guard.handle().set_moving(false);
        if let Err(err) = self.resume_at(to).await {
            log::debug!("fleet: {to} did not resume {}: {err}.", self.req.id);
            self.guard.streams().record_failed_receiver(to);
            self.guard.streams().request_replan();
        }
        Ok(())
    }

    async fn resume_at(&mut self, to: &UpstreamId) -> Result<(), UpstreamError> {
        let unknown = || UpstreamError::Connect { reason: "unknown runner".into() };
        let engine = self.deps.directory.engine(to).ok_or_else(unknown)?;
        let instance = self.instance_of(to).ok_or_else(unknown)?;
        let text = self.text.as_str().into();
        let resume = Some(ResumePoint { offset: TokenOffset(self.next_offset), text });
        let req = EngineRequest { resume, ..self.req.clone() };
        let events = engine.generate(req).await?;
        let old = std::mem::replace(&mut self.engine, engine);
        // Replacing the stream closes the old connection before any new event is read.
        self.events = events;
        self.upstream = to.clone();
        self.pending = None;
        self.guard.move_to(&instance);
        cancel_in_background(old, &self.req);
        Ok(())
    }

    /// Resumes a broken stream on any runner with capacity.
    async fn recover(&mut self, err: UpstreamError) -> Result<(), RelayError> {
        self.transfer = None;
        self.guard.handle().set_moving(false);
        let mut last = err;
        let broken = self.upstream.clone();
        while self.resumes < MAX_RESUMES {
            self.resumes += 1;
            let Some(to) = self.pick_runner(&broken) else {
                break;
            };
            match self.resume_at(&to).await {
                Ok(()) => return Ok(()),
                Err(err) => last = err,
            }
            self.guard.streams().record_failed_receiver(&to);
        }
        Err(RelayError::NoRunner { offset: self.next_offset, last })
    }

    fn pick_runner(&self, broken: &UpstreamId) -> Option<UpstreamId> {
        let runners = self.deps.directory.runners(self.guard.handle().service());
        let receivers = receivers_for(self.guard.instance(), &runners, &self.deps.leaving);
        let fits = |id: &UpstreamId| {
            id != broken
                && !self.deps.streams.has_recently_failed(id, crate::evacuate::FAILED_RECEIVER_TTL)
        };
        let usable = receivers.into_iter().filter(|receiver| fits(&receiver.id));
        usable.max_by_key(|receiver| receiver.room_streams).map(|receiver| receiver.id)
    }

    fn instance_of(&self, upstream: &UpstreamId) -> Option<InstanceId> {
        let runners = self.deps.directory.runners(self.guard.handle().service());
        runners.into_iter().find(|r| r.upstream == *upstream).map(|r| r.instance)
    }

    /// Returns the event, or `None` if its token has already been relayed.
    fn accept_event(&mut self, event: StreamEvent) -> Result<Option<StreamEvent>, RelayError> {
        if let StreamEvent::Token { offset, text, .. } = &event {
            if offset.0 < self.next_offset {
                return Ok(None);
            }
            if offset.0 > self.next_offset {
                return Err(RelayError::Gap { expected: self.next_offset, actual: offset.0 });
            }
            self.next_offset += 1;
            self.text.push_str(text);
            self.guard.handle().set_generated(self.next_offset);
        }
        Ok(Some(event))
    }

    /// Returns the stream as input for the plan.
    pub fn running_stream(&self) -> RunningStream {
        self.guard.handle().running_stream()
    }
}

/// Next event that the relay has to handle.
enum RelayEvent {
    Instructed,
    Due,
    Transferred(Result<UpstreamId, (UpstreamId, TransferError)>),
    Event(Option<Result<StreamEvent, UpstreamError>>),
}

async fn poll_transfer(
    transfer: Option<&mut (UpstreamId, Transfer)>,
) -> (UpstreamId, Result<(), TransferError>) {
    match transfer {
        Some((to, transfer)) => (to.clone(), transfer.await),
        None => std::future::pending().await,
    }
}

fn cancel_in_background(engine: Arc<dyn Engine>, req: &EngineRequest) {
    let id = req.id.clone();
    tokio::task::spawn_local(async move {
        // The old runner is leaving, so it doesn't matter if the cancellation is lost.
        let _best_effort = engine.cancel(&id).await;
    });
}
