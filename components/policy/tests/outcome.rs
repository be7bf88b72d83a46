//! Every interleaving of what may happen to a request keeps its promises.

use std::collections::BTreeSet;

use lycheelatch_policy::{
    AttemptEvent, AttemptNumber, LifecycleState, LifecycleStep, RequestEvent, RequestLifecycle,
};
use lycheelatch_prelude::{Idempotency, Outcome};

/// Most attempts.
const MAX_ATTEMPTS: u32 = 3;

/// Parts of a whole answer.
const PARTS: u8 = 2;

/// One attempt as it really is, beyond the node's sight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Real {
    sent: bool,
    ran: bool,
    refused: bool,
    began: bool,
    parts: u8,
    is_gone: bool,
}

/// What may happen next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Start,
    Send(usize),
    Run(usize),
    Refuse(usize),
    Head(usize),
    Part(usize),
    PartOutOfOrder(usize),
    Whole(usize),
    Reset(usize),
    ConnectFails(usize),
    Reclaim(usize),
    Request(RequestEvent),
}

/// The node, the real attempts and what the caller has got.
#[derive(Debug, Clone)]
struct Model {
    life: RequestLifecycle,
    is_resumable: bool,
    real: Vec<Real>,
    /// Parts that the caller has, with the attempt that each is of.
    caller: Vec<(usize, u8)>,
    ended: Option<Outcome>,
    ends: u32,
}

impl Model {
    fn new(idempotency: Idempotency, is_resumable: bool) -> Model {
        let life = RequestLifecycle::new(idempotency, is_resumable, MAX_ATTEMPTS);
        Model { life, is_resumable, real: Vec::new(), caller: Vec::new(), ended: None, ends: 0 }
    }

    fn possible(&self) -> Vec<Event> {
        let requests = [
            RequestEvent::TimedOut,
            RequestEvent::Cancelled,
            RequestEvent::NodeStopped,
            RequestEvent::GivenUp,
        ];
        let mut events: Vec<Event> = requests.map(Event::Request).into();
        if self.life.may_start_attempt() {
            events.push(Event::Start);
        }
        for (at, real) in self.real.iter().enumerate().filter(|(_, real)| !real.is_gone) {
            if !real.sent {
                events.extend([Event::Send(at), Event::ConnectFails(at)]);
                continue;
            }
            events.extend([Event::Reset(at), Event::Reclaim(at)]);
            if !real.ran && !real.refused {
                events.extend([Event::Run(at), Event::Refuse(at)]);
            }
            if real.ran && !real.began {
                events.push(Event::Head(at));
            }
            if real.ran {
                events.push(Event::PartOutOfOrder(at));
            }
            if real.began && real.parts < PARTS {
                events.push(Event::Part(at));
            }
            if real.began && real.parts == PARTS {
                events.push(Event::Whole(at));
            }
        }
        events
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Start => self.start(),
            Event::Send(at) => {
                // The node says so before the byte goes out, and only if it goes on.
                if self.tell(at, AttemptEvent::BytesSent) == LifecycleStep::Continue {
                    self.real[at].sent = true;
                } else {
                    self.real[at].is_gone = true;
                }
            }
            Event::Run(at) => self.real[at].ran = true,
            Event::Refuse(at) => {
                self.real[at].refused = true;
                self.fail(at, false);
            }
            Event::Head(at) => {
                self.real[at].began = true;
                self.tell(at, AttemptEvent::ResponseStarted);
            }
            Event::Part(at) => self.part(at),
            Event::PartOutOfOrder(at) => {
                self.tell(at, AttemptEvent::BytesSent);
                self.fail(at, true);
            }
            Event::Whole(at) => {
                self.tell(at, AttemptEvent::ResponseEnded { status: 200 });
                self.real[at].is_gone = true;
            }
            Event::Reset(at) | Event::Reclaim(at) => self.fail(at, true),
            Event::ConnectFails(at) => self.fail(at, false),
            Event::Request(event) => {
                let step = self.life.on_request(event);
                self.note(step);
            }
        }
    }

    fn start(&mut self) {
        if self.life.start_attempt().is_none() {
            return;
        }
        // A resumed attempt goes on after the parts that the caller has.
        let parts = if self.is_resumable { self.caller.len() as u8 } else { 0 };
        let real =
            Real { sent: false, ran: false, refused: false, began: false, parts, is_gone: false };
        self.real.push(real);
    }

    fn part(&mut self, at: usize) {
        let part = self.real[at].parts;
        self.real[at].parts += 1;
        if self.tell(at, AttemptEvent::ChunkRelayed) == LifecycleStep::Continue {
            self.caller.push((at, part));
        }
    }

    fn fail(&mut self, at: usize, may_have_run: bool) {
        self.tell(at, AttemptEvent::Failed { may_have_run });
        // A broken connection doesn't stop what was sent on it from running.
        self.real[at].is_gone = !may_have_run || self.real[at].ran;
    }

    fn tell(&mut self, at: usize, event: AttemptEvent) -> LifecycleStep {
        let step = self.life.on_attempt(AttemptNumber(at as u32 + 1), event);
        self.note(step);
        step
    }

    fn note(&mut self, step: LifecycleStep) {
        if let LifecycleStep::Ended(outcome) = step {
            self.ended = Some(outcome);
            self.ends += 1;
        }
    }

    fn check(&self, idempotency: Idempotency) {
        let executions = self.real.iter().filter(|real| real.ran).count();
        assert!(self.ends <= 1, "ended twice: {self:?}");
        assert!(self.real.len() <= MAX_ATTEMPTS as usize, "too many attempts: {self:?}");
        if idempotency == Idempotency::NonIdempotent {
            assert!(executions <= 1, "executed twice: {self:?}");
        }
        if self.ended == Some(Outcome::NotRun) {
            assert_eq!(executions, 0, "ran and was told not-run: {self:?}");
            let may_still_run = self.real.iter().any(|real| real.sent && !real.refused);
            assert!(!may_still_run, "may run after not-run: {self:?}");
        }
        let parts: Vec<u8> = self.caller.iter().map(|(_, part)| *part).collect();
        let in_order: Vec<u8> = (0..parts.len() as u8).collect();
        assert_eq!(parts, in_order, "parts lost or repeated: {self:?}");
        if self.ended == Some(Outcome::Complete) {
            assert_eq!(parts.len(), PARTS as usize, "complete without the whole: {self:?}");
        }
        if matches!(self.ended, Some(Outcome::NotRun | Outcome::Unknown)) {
            assert!(parts.is_empty(), "a broken answer is not said to be: {self:?}");
        }
        assert_eq!(
            self.ended.map(LifecycleState::Ended).unwrap_or(self.life.state()),
            self.life.state()
        );
    }
}

/// Visits every interleaving, each state once.
fn explore(model: Model, idempotency: Idempotency, seen: &mut BTreeSet<String>) {
    model.check(idempotency);
    if !seen.insert(format!("{model:?}")) {
        return;
    }
    for event in model.possible() {
        let mut next = model.clone();
        next.apply(event);
        explore(next, idempotency, seen);
    }
}

#[test]
fn life_every_interleaving_keeps_its_promises() {
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        for is_resumable in [false, true] {
            let mut seen = BTreeSet::new();
            explore(Model::new(idempotency, is_resumable), idempotency, &mut seen);
            assert!(seen.len() > 100, "only {} states were reached", seen.len());
        }
    }
}
