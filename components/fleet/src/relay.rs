//! A stream that moves between runners without losing or repeating a token.

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

/// Most times that one stream is taken up again.
const MAX_RESUMES: u32 = 16;

/// Longest transfer of a KV cache from a runner whose deadline is not known.
const MAX_TRANSFER: Duration = Duration::from_secs(5);

/// Time before its runner goes at which a transfer is given up.
const TRANSFER_MARGIN: Duration = Duration::from_millis(50);

/// Why a stream that may move between runners ended early.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum RelayError {
    /// no runner took the stream up again at token {offset}: {last}
    NoRunner {
        /// Tokens that were relayed.
        offset: u64,
        /// Failure of the last try.
        last: UpstreamError,
    },
    /// the runner skipped from token {wanted} to token {got}
    Gap {
        /// Token that was due.
        wanted: u64,
        /// Token that came.
        got: u64,
    },
    /// runner {upstream} is not known
    Unknown {
        /// Identity of the runner.
        upstream: UpstreamId,
    },
    /// the runner refused the request: {0}
    Refused(UpstreamError),
}

impl std::error::Error for RelayError {}

/// What a relay needs to find runners.
#[derive(Clone)]
pub struct RelayDeps {
    /// The runners.
    pub directory: Arc<dyn EngineDirectory>,
    /// The instances that leave.
    pub leaving: LeavingInstances,
    /// The streams of this node.
    pub streams: Streams,
}

/// Why the KV cache of a stream did not arrive.
enum TransferError {
    Export,
    Import,
}

type Transfer = Pin<Box<dyn Future<Output = Result<(), TransferError>>>>;

/// A stream that follows its instructions from runner to runner.
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
    next: u64,
    text: String,
    resumes: u32,
}

impl MovableStream {
    /// Sends the request to a runner and registers its stream.
    pub async fn open(
        deps: RelayDeps,
        upstream: &UpstreamId,
        instance: &InstanceId,
        req: EngineRequest,
        info: StreamInfo,
    ) -> Result<MovableStream, RelayError> {
        let unknown = || RelayError::Unknown { upstream: upstream.clone() };
        let engine = deps.directory.engine(upstream).ok_or_else(unknown)?;
        let guard = deps.streams.add(instance, info);
        let events = engine.generate(req.clone()).await.map_err(RelayError::Refused)?;
        Ok(MovableStream::from_parts(deps, guard, req, engine, upstream.clone(), events))
    }

    /// Takes over a stream that a caller opened itself.
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
        let next = resume.map_or(0, |resume| resume.offset.0);
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
            next,
            text,
            resumes: 0,
        }
    }

    /// Returns the runner that generates the stream now.
    pub fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    /// Returns how many tokens were relayed.
    pub fn offset(&self) -> TokenOffset {
        TokenOffset(self.next)
    }

    /// Returns the next event; [`StreamEvent::Done`] is the last one.
    pub async fn next(&mut self) -> Result<StreamEvent, RelayError> {
        loop {
            match self.wait().await {
                Turn::Instructed => self.pending = self.instructions.borrow_and_update().clone(),
                Turn::Due => self.begin_pending().await?,
                Turn::Transferred(Ok(to)) => self.switch_to(&to).await?,
                Turn::Transferred(Err(err)) => self.note_failed_transfer(err),
                Turn::Event(Some(Ok(event))) => {
                    if let Some(event) = self.take_event(event)? {
                        return Ok(event);
                    }
                }
                Turn::Event(broken) => {
                    let ended = || UpstreamError::Broken { reason: "the stream ended".into() };
                    let err = broken.and_then(Result::err).unwrap_or_else(ended);
                    self.recover(err).await?;
                }
            }
        }
    }

    async fn wait(&mut self) -> Turn {
        let due = self.pending.as_ref().map(|pending| pending.start);
        let is_due = due.is_some() && self.transfer.is_none();
        let transfer = self.transfer.as_mut();
        tokio::select! {
            biased;
            Ok(()) = self.instructions.changed() => Turn::Instructed,
            () = sleep_until(due.unwrap_or_else(Instant::now)), if is_due => Turn::Due,
            (to, result) = poll_transfer(transfer) => Turn::Transferred(match result {
                Ok(()) => Ok(to),
                Err(err) => Err((to, err)),
            }),
            event = self.events.next() => Turn::Event(event),
        }
    }

    async fn begin_pending(&mut self) -> Result<(), RelayError> {
        match self.pending.take().map(|pending| pending.action) {
            Some(Action::Move { to }) => self.begin_transfer(to),
            Some(Action::Resume { to }) => self.switch_to(&to).await?,
            Some(Action::Finish | Action::Wait) | None => {}
        }
        Ok(())
    }

    fn begin_transfer(&mut self, to: UpstreamId) {
        let Some(receiver) = self.deps.directory.engine(&to) else {
            self.note_failed_transfer((to, TransferError::Import));
            return;
        };
        let (from, id) = (self.engine.clone(), self.req.id.clone());
        let deadline = self.deps.leaving.deadline(self.guard.instance());
        let ends = deadline.unwrap_or_else(|| Instant::now() + MAX_TRANSFER) - TRANSFER_MARGIN;
        let transfer = Box::pin(async move {
            let export = timeout_at(ends, from.export_kv(&id)).await;
            let blob = export.ok().and_then(Result::ok).ok_or(TransferError::Export)?;
            let import = timeout_at(ends, receiver.import_kv(&blob)).await;
            import.ok().and_then(Result::ok).ok_or(TransferError::Import)
        });
        self.guard.handle().set_moving(true);
        // The other nodes' transfers are planned around this one.
        self.guard.streams().request_replan();
        self.transfer = Some((to, transfer));
    }

    fn note_failed_transfer(&mut self, (to, err): (UpstreamId, TransferError)) {
        self.transfer = None;
        self.guard.handle().set_moving(false);
        match err {
            TransferError::Export => self.guard.handle().add_export_failure(),
            TransferError::Import => self.guard.streams().add_failed_receiver(&to),
        }
        self.guard.streams().request_replan();
    }

    /// Takes the stream up at `to`; if that fails, stays where it is.
    async fn switch_to(&mut self, to: &UpstreamId) -> Result<(), RelayError> {
        self.transfer = None;
        self.guard.handle().set_moving(false);
        if let Err(err) = self.resume_at(to).await {
            log::debug!("fleet: {to} did not take {} up: {err}.", self.req.id);
            self.guard.streams().add_failed_receiver(to);
            self.guard.streams().request_replan();
        }
        Ok(())
    }

    async fn resume_at(&mut self, to: &UpstreamId) -> Result<(), UpstreamError> {
        let unknown = || UpstreamError::Connect { reason: "the runner is not known".into() };
        let engine = self.deps.directory.engine(to).ok_or_else(unknown)?;
        let instance = self.instance_of(to).ok_or_else(unknown)?;
        let text = self.text.as_str().into();
        let resume = Some(ResumePoint { offset: TokenOffset(self.next), text });
        let req = EngineRequest { resume, ..self.req.clone() };
        let events = engine.generate(req).await?;
        let old = std::mem::replace(&mut self.engine, engine);
        // Closes the old connection before anything of the new one is read.
        self.events = events;
        self.upstream = to.clone();
        self.pending = None;
        self.guard.move_to(&instance);
        cancel_in_background(old, &self.req);
        Ok(())
    }

    /// Takes a broken stream up at whichever runner has room.
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
            self.guard.streams().add_failed_receiver(&to);
        }
        Err(RelayError::NoRunner { offset: self.next, last })
    }

    fn pick_runner(&self, broken: &UpstreamId) -> Option<UpstreamId> {
        let runners = self.deps.directory.runners(self.guard.handle().service());
        let receivers = receivers_for(self.guard.instance(), &runners, &self.deps.leaving);
        let fits = |id: &UpstreamId| {
            id != broken && !self.deps.streams.has_failed(id, crate::evacuate::FAILED_FOR)
        };
        let usable = receivers.into_iter().filter(|receiver| fits(&receiver.id));
        usable.max_by_key(|receiver| receiver.room_streams).map(|receiver| receiver.id)
    }

    fn instance_of(&self, upstream: &UpstreamId) -> Option<InstanceId> {
        let runners = self.deps.directory.runners(self.guard.handle().service());
        runners.into_iter().find(|r| r.upstream == *upstream).map(|r| r.instance)
    }

    /// Passes an event on, unless its token was relayed before.
    fn take_event(&mut self, event: StreamEvent) -> Result<Option<StreamEvent>, RelayError> {
        if let StreamEvent::Token { offset, text, .. } = &event {
            if offset.0 < self.next {
                return Ok(None);
            }
            if offset.0 > self.next {
                return Err(RelayError::Gap { wanted: self.next, got: offset.0 });
            }
            self.next += 1;
            self.text.push_str(text);
            self.guard.handle().set_generated(self.next);
        }
        Ok(Some(event))
    }

    /// Returns the stream as the plan sees it.
    pub fn running(&self) -> RunningStream {
        self.guard.handle().running()
    }
}

/// What a relay has to act on next.
enum Turn {
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
        // The old runner is going: whether the cancel arrives does not matter.
        let _best_effort = engine.cancel(&id).await;
    });
}
