//! Explores every interleaving of the events of a request and checks the invariants of its
//! outcome.

use std::collections::BTreeSet;

use lycheelatch_policy::{
    AttemptEvent, AttemptNumber, LifecycleState, LifecycleStep, RequestEvent, RequestLifecycle,
};
use lycheelatch_prelude::{Idempotency, Outcome};

const MAX_ATTEMPTS: u32 = 3;

/// Number of chunks of a complete response.
const CHUNKS: u8 = 2;

/// Actual state of one attempt at its upstream, which the node cannot observe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct UpstreamAttempt {
    sent: bool,
    executed: bool,
    refused: bool,
    started_response: bool,
    chunks: u8,
    is_over: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Start,
    Send(usize),
    Execute(usize),
    Refuse(usize),
    ResponseHead(usize),
    Chunk(usize),
    ChunkOutOfOrder(usize),
    ResponseEnd(usize),
    Reset(usize),
    ConnectFails(usize),
    Reclaim(usize),
    Request(RequestEvent),
}

/// The node's view of the request, the actual attempts and what the caller received.
#[derive(Debug, Clone)]
struct Model {
    lifecycle: RequestLifecycle,
    is_resumable: bool,
    attempts: Vec<UpstreamAttempt>,
    /// Chunks received by the caller, with the attempt that each belongs to.
    received: Vec<(usize, u8)>,
    ended: Option<Outcome>,
    ends: u32,
}

impl Model {
    fn new(idempotency: Idempotency, is_resumable: bool) -> Model {
        let lifecycle = RequestLifecycle::new(idempotency, is_resumable, MAX_ATTEMPTS);
        Model {
            lifecycle,
            is_resumable,
            attempts: Vec::new(),
            received: Vec::new(),
            ended: None,
            ends: 0,
        }
    }

    fn possible_events(&self) -> Vec<Event> {
        let requests = [
            RequestEvent::TimedOut,
            RequestEvent::Cancelled,
            RequestEvent::NodeStopped,
            RequestEvent::GivenUp,
        ];
        let mut events: Vec<Event> = requests.map(Event::Request).into();
        if self.lifecycle.may_start_attempt() {
            events.push(Event::Start);
        }
        for (at, attempt) in
            self.attempts.iter().enumerate().filter(|(_, attempt)| !attempt.is_over)
        {
            if !attempt.sent {
                events.extend([Event::Send(at), Event::ConnectFails(at)]);
                continue;
            }
            events.extend([Event::Reset(at), Event::Reclaim(at)]);
            if !attempt.executed && !attempt.refused {
                events.extend([Event::Execute(at), Event::Refuse(at)]);
            }
            if attempt.executed && !attempt.started_response {
                events.push(Event::ResponseHead(at));
            }
            if attempt.executed {
                events.push(Event::ChunkOutOfOrder(at));
            }
            if attempt.started_response && attempt.chunks < CHUNKS {
                events.push(Event::Chunk(at));
            }
            if attempt.started_response && attempt.chunks == CHUNKS {
                events.push(Event::ResponseEnd(at));
            }
        }
        events
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Start => self.start(),
            Event::Send(at) => {
                // The node reports the event before it sends the byte, and sends it only if it may
                // continue.
                if self.on_attempt(at, AttemptEvent::BytesSent) == LifecycleStep::Continue {
                    self.attempts[at].sent = true;
                } else {
                    self.attempts[at].is_over = true;
                }
            }
            Event::Execute(at) => self.attempts[at].executed = true,
            Event::Refuse(at) => {
                self.attempts[at].refused = true;
                self.fail(at, false);
            }
            Event::ResponseHead(at) => {
                self.attempts[at].started_response = true;
                self.on_attempt(at, AttemptEvent::ResponseStarted);
            }
            Event::Chunk(at) => self.chunk(at),
            Event::ChunkOutOfOrder(at) => {
                self.on_attempt(at, AttemptEvent::BytesSent);
                self.fail(at, true);
            }
            Event::ResponseEnd(at) => {
                self.on_attempt(at, AttemptEvent::ResponseEnded { status: 200 });
                self.attempts[at].is_over = true;
            }
            Event::Reset(at) | Event::Reclaim(at) => self.fail(at, true),
            Event::ConnectFails(at) => self.fail(at, false),
            Event::Request(event) => {
                let step = self.lifecycle.on_request(event);
                self.record_end(step);
            }
        }
    }

    fn start(&mut self) {
        if self.lifecycle.start_attempt().is_none() {
            return;
        }
        // A resumed attempt continues after the chunks that the caller has received.
        let chunks = if self.is_resumable { self.received.len() as u8 } else { 0 };
        self.attempts.push(UpstreamAttempt {
            sent: false,
            executed: false,
            refused: false,
            started_response: false,
            chunks,
            is_over: false,
        });
    }

    fn chunk(&mut self, at: usize) {
        let chunk = self.attempts[at].chunks;
        self.attempts[at].chunks += 1;
        if self.on_attempt(at, AttemptEvent::ChunkRelayed) == LifecycleStep::Continue {
            self.received.push((at, chunk));
        }
    }

    fn fail(&mut self, at: usize, may_have_run: bool) {
        self.on_attempt(at, AttemptEvent::Failed { may_have_run });
        // A broken connection does not stop the execution of a request that was already sent.
        self.attempts[at].is_over = !may_have_run || self.attempts[at].executed;
    }

    fn on_attempt(&mut self, at: usize, event: AttemptEvent) -> LifecycleStep {
        let step = self.lifecycle.on_attempt(AttemptNumber(at as u32 + 1), event);
        self.record_end(step);
        step
    }

    fn record_end(&mut self, step: LifecycleStep) {
        if let LifecycleStep::Ended(outcome) = step {
            self.ended = Some(outcome);
            self.ends += 1;
        }
    }

    fn check(&self, idempotency: Idempotency) {
        let executions = self.attempts.iter().filter(|attempt| attempt.executed).count();
        assert!(self.ends <= 1, "ended twice: {self:?}");
        assert!(self.attempts.len() <= MAX_ATTEMPTS as usize, "too many attempts: {self:?}");
        if idempotency == Idempotency::NonIdempotent {
            assert!(executions <= 1, "executed twice: {self:?}");
        }
        if self.ended == Some(Outcome::NotRun) {
            assert_eq!(executions, 0, "executed but reported as not-run: {self:?}");
            let may_still_run =
                self.attempts.iter().any(|attempt| attempt.sent && !attempt.refused);
            assert!(!may_still_run, "may be executed after not-run: {self:?}");
        }
        let chunks: Vec<u8> = self.received.iter().map(|(_, chunk)| *chunk).collect();
        let in_order: Vec<u8> = (0..chunks.len() as u8).collect();
        assert_eq!(chunks, in_order, "chunks lost or repeated: {self:?}");
        if self.ended == Some(Outcome::Complete) {
            assert_eq!(chunks.len(), CHUNKS as usize, "complete without all chunks: {self:?}");
        }
        if matches!(self.ended, Some(Outcome::NotRun | Outcome::Unknown)) {
            assert!(chunks.is_empty(), "a partial response is not reported as failed: {self:?}");
        }
        assert_eq!(
            self.ended.map(LifecycleState::Ended).unwrap_or(self.lifecycle.state()),
            self.lifecycle.state()
        );
    }
}

/// Visits every reachable state once.
fn explore(model: Model, idempotency: Idempotency, seen: &mut BTreeSet<String>) {
    model.check(idempotency);
    if !seen.insert(format!("{model:?}")) {
        return;
    }
    for event in model.possible_events() {
        let mut next = model.clone();
        next.apply(event);
        explore(next, idempotency, seen);
    }
}

#[test]
fn lifecycle_every_interleaving_keeps_invariants() {
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        for is_resumable in [false, true] {
            let mut seen = BTreeSet::new();
            explore(Model::new(idempotency, is_resumable), idempotency, &mut seen);
            assert!(seen.len() > 100, "only {} states reached", seen.len());
        }
    }
}
