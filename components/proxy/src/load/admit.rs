//! Admission by policy: a request runs, waits for its turn or is refused.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use lycheelatch_policy::{
    AdmissionDecision, AdmissionRequest, Fingerprint, Permit as Leave, RefusalReason as Why, Ticket,
};
use lycheelatch_prelude::Outcome;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use super::LoadControl;
use crate::{Filter, Flow, Permit, Record, Refusal, RefusalReason, RequestKind};

/// Time between looks at the queue by a request whose turn is overdue.
const OVERDUE_INTERVAL: Duration = Duration::from_millis(20);

/// Admits requests by the admission policy.
pub struct AdmitByPolicy(Arc<LoadControl>);

impl AdmitByPolicy {
    /// Creates the filter.
    pub fn new(control: Arc<LoadControl>) -> AdmitByPolicy {
        AdmitByPolicy(control)
    }
}

/// Room of an admitted request.
struct HeldPermit {
    control: Arc<LoadControl>,
    leave: Option<Leave>,
    outcome: Outcome,
}

impl Permit for HeldPermit {
    fn settled(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    fn is_retried(&self) -> bool {
        self.leave.as_ref().is_some_and(Leave::is_retry)
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        if let Some(leave) = self.leave.take() {
            let now = Instant::now();
            let mut state = self.control.lock();
            state.admission.release(leave, now, self.outcome);
            state.pump(now);
        }
    }
}

/// Place in the queue; given up when the caller leaves.
struct InQueue {
    control: Arc<LoadControl>,
    ticket: Ticket,
    rx: oneshot::Receiver<Result<Leave, lycheelatch_policy::Refusal>>,
}

impl Drop for InQueue {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut state = self.control.lock();
        self.rx.close();
        // Still waiting only if its caller has left.
        if state.waiting.remove(&self.ticket).is_some() {
            state.admission.cancel(now, self.ticket);
        }
        // The turn may have come just as the caller left.
        if let Ok(Ok(leave)) = self.rx.try_recv() {
            state.admission.release(leave, now, Outcome::NotRun);
            state.pump(now);
        }
    }
}

#[async_trait(?Send)]
impl Filter for AdmitByPolicy {
    async fn apply(&self, rec: &mut Record) -> Result<Flow, Refusal> {
        let admitted = self.admit(rec).await;
        if admitted.is_err() {
            // The caller's retry may come to another node at once.
            self.0.tell_homes().await;
        }
        admitted
    }
}

impl AdmitByPolicy {
    async fn admit(&self, rec: &mut Record) -> Result<Flow, Refusal> {
        let mut ask = ask(rec, Instant::now());
        ask.failed_before = self.0.failed_before(&ask).await;
        let now = Instant::now();
        let queued = {
            let mut state = self.0.lock();
            self.0.sync(&mut state, &rec.config, now);
            state.update_capacities([&ask.service].into_iter());
            let admit = state.admission.admit(now, ask);
            match admit {
                AdmissionDecision::Admitted(leave) => Ok(leave),
                AdmissionDecision::Refused(refusal) => return Err(refuse(rec, refusal)),
                AdmissionDecision::Queued(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    state.waiting.insert(ticket, tx);
                    state.pump(now);
                    Err((ticket, rx))
                }
            }
        };
        let leave = match queued {
            Ok(leave) => leave,
            Err((ticket, rx)) => self.wait(rec, ticket, rx).await?,
        };
        let (control, leave) = (self.0.clone(), Some(leave));
        rec.permit = Some(Box::new(HeldPermit { control, leave, outcome: Outcome::Unknown }));
        Ok(Flow::Continue)
    }

    /// Waits until the turn of a request has come or it is dropped.
    async fn wait(
        &self,
        rec: &Record,
        ticket: Ticket,
        rx: oneshot::Receiver<Result<Leave, lycheelatch_policy::Refusal>>,
    ) -> Result<Leave, Refusal> {
        let mut in_queue = InQueue { control: self.0.clone(), ticket, rx };
        let longest = Duration::from_millis(rec.service().limits.max_queue_ms);
        let now = Instant::now();
        let mut until = (now + longest).min(now + rec.time_left(now).min(longest));
        loop {
            match timeout_at(until, &mut in_queue.rx).await {
                Ok(Ok(Ok(leave))) => return Ok(leave),
                Ok(Ok(Err(refusal))) => return Err(refuse(rec, refusal)),
                Ok(Err(_)) => return Err(Refusal::not_run(RefusalReason::Overloaded)),
                Err(_) => {
                    let now = Instant::now();
                    self.0.lock().pump(now);
                    until = now + OVERDUE_INTERVAL;
                }
            }
        }
    }
}

fn ask(rec: &Record, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        request: rec.id().clone(),
        workspace: rec.workspace().name.clone(),
        service: rec.service().name.clone(),
        attempt: rec.head.attempt,
        fingerprint: fingerprint(rec),
        failed_before: false,
        deadline: rec.deadline.unwrap_or(now),
        cost: rec.prompt().cost(),
        priority: rec.head.priority,
    }
}

/// Digest by which the request is known when it comes again.
fn fingerprint(rec: &Record) -> Option<Fingerprint> {
    let workspace = &rec.workspace().name;
    if let Some(key) = &rec.head.key {
        return Some(Fingerprint::of_key(workspace, key));
    }
    if rec.head.has_own_id {
        return Some(Fingerprint::of_request_id(workspace, rec.id()));
    }
    let path = match &rec.kind {
        RequestKind::Model { path, .. } | RequestKind::Plain { path, .. } => path,
    };
    rec.body.as_ref().map(|body| Fingerprint::of_body(workspace, path, body))
}

fn refuse(rec: &Record, refusal: lycheelatch_policy::Refusal) -> Refusal {
    let reason = match refusal.reason {
        Why::Overloaded => RefusalReason::Overloaded,
        Why::Deadline => RefusalReason::DeadlinePassed,
        Why::RetryBudget => RefusalReason::RetryLimited,
        Why::WorkspaceRate | Why::WorkspaceInFlight => RefusalReason::WorkspaceLimited,
        Why::UnknownService | Why::NoUpstream => {
            RefusalReason::NoUpstream(rec.service().name.clone())
        }
    };
    Refusal::not_run(reason).retry_after(refusal.retry_after)
}

#[cfg(test)]
mod tests {
    use lycheelatch_prelude::{Attempt, Priority, RequestId};

    use super::*;
    use crate::{HttpConnect, Registry};

    fn control() -> Arc<LoadControl> {
        let registry = Arc::new(Registry::new(Arc::new(HttpConnect)));
        let control = LoadControl::new(registry, "lima-a".parse().unwrap(), 1);
        let service = "sack-desk".parse().unwrap();
        let mut state = control.lock();
        state.admission.set_service(&service, Default::default());
        state.admission.set_capacity(&service, 1);
        drop(state);
        Arc::new(control)
    }

    fn offer(control: &LoadControl) -> AdmissionDecision {
        let now = Instant::now();
        control.lock().admission.admit(
            now,
            AdmissionRequest {
                request: RequestId::new_unique(),
                workspace: "cusco".parse().unwrap(),
                service: "sack-desk".parse().unwrap(),
                attempt: Attempt::FIRST,
                fingerprint: None,
                failed_before: false,
                deadline: now + Duration::from_secs(10),
                cost: 1,
                priority: Priority::Normal,
            },
        )
    }

    #[test]
    fn in_queue_dropped_as_its_turn_comes_gives_room_back() {
        let control = control();
        let AdmissionDecision::Admitted(leave) = offer(&control) else {
            panic!("no room at first")
        };
        let (tx, rx) = oneshot::channel();
        let in_queue = InQueue { control: control.clone(), ticket: Ticket(7), rx };
        tx.send(Ok(leave)).unwrap();
        drop(in_queue);
        let service = "sack-desk".parse().unwrap();
        assert_eq!(control.lock().admission.in_flight(&service), 0);
    }

    #[test]
    fn in_queue_dropped_while_waiting_leaves_the_queue() {
        let control = control();
        let _running = offer(&control);
        let AdmissionDecision::Queued(ticket) = offer(&control) else { panic!("there is room") };
        let (tx, rx) = oneshot::channel();
        control.lock().waiting.insert(ticket, tx);
        drop(InQueue { control: control.clone(), ticket, rx });
        let service = "sack-desk".parse().unwrap();
        let state = control.lock();
        assert_eq!((state.admission.queue_len(&service), state.waiting.len()), (0, 0));
    }
}
