//! Admission by policy: a request is admitted, queued or refused.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use lycheelatch_policy::{
    AdmissionDecision, AdmissionRequest, Fingerprint, Permit as AdmissionPermit,
    RefusalReason as PolicyReason, Ticket,
};
use lycheelatch_prelude::Outcome;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use super::LoadControl;
use crate::{Filter, FilterDecision, Permit, Record, Refusal, RefusalReason, RequestKind};

/// Interval at which a request that exceeded its maximum queue time processes the queue.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Admits requests by the admission policy.
pub struct AdmitByPolicy(Arc<LoadControl>);

impl AdmitByPolicy {
    /// Creates the filter.
    pub fn new(control: Arc<LoadControl>) -> AdmitByPolicy {
        AdmitByPolicy(control)
    }
}

/// Permit of an admitted request, released on drop with its outcome.
struct AdmittedPermit {
    control: Arc<LoadControl>,
    permit: Option<AdmissionPermit>,
    outcome: Outcome,
}

impl Permit for AdmittedPermit {
    fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    fn is_retry(&self) -> bool {
        self.permit.as_ref().is_some_and(AdmissionPermit::is_retry)
    }
}

impl Drop for AdmittedPermit {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            let now = Instant::now();
            let mut state = self.control.lock();
            state.admission.release(permit, now, self.outcome);
            state.process_queue(now);
        }
    }
}

/// A queued request; leaves the queue on drop, such as when its caller disconnects.
struct QueuedRequest {
    control: Arc<LoadControl>,
    ticket: Ticket,
    rx: oneshot::Receiver<Result<AdmissionPermit, lycheelatch_policy::Refusal>>,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut state = self.control.lock();
        self.rx.close();
        // The entry remains only if the request was dropped before a decision.
        if state.waiting.remove(&self.ticket).is_some() {
            state.admission.cancel(now, self.ticket);
        }
        // The request may have been admitted at the same time.
        if let Ok(Ok(permit)) = self.rx.try_recv() {
            state.admission.release(permit, now, Outcome::NotRun);
            state.process_queue(now);
        }
    }
}

#[async_trait(?Send)]
impl Filter for AdmitByPolicy {
    async fn apply(&self, rec: &mut Record) -> Result<FilterDecision, Refusal> {
        let admitted = self.admit(rec).await;
        if admitted.is_err() {
            // The caller may retry at another node immediately.
            self.0.report_failures().await;
        }
        admitted
    }
}

impl AdmitByPolicy {
    async fn admit(&self, rec: &mut Record) -> Result<FilterDecision, Refusal> {
        let mut req = admission_request(rec, Instant::now());
        req.failed_before = self.0.is_known_failure(&req).await;
        let now = Instant::now();
        let admission = {
            let mut state = self.0.lock();
            self.0.sync(&mut state, &rec.config, now);
            state.update_capacities([&req.service].into_iter());
            let admit = state.admission.admit(now, req);
            match admit {
                AdmissionDecision::Admitted(permit) => Ok(permit),
                AdmissionDecision::Refused(refusal) => return Err(refuse(rec, refusal)),
                AdmissionDecision::Queued(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    state.waiting.insert(ticket, tx);
                    state.process_queue(now);
                    Err((ticket, rx))
                }
            }
        };
        let permit = match admission {
            Ok(permit) => permit,
            Err((ticket, rx)) => self.wait(rec, ticket, rx).await?,
        };
        let (control, permit) = (self.0.clone(), Some(permit));
        rec.permit = Some(Box::new(AdmittedPermit { control, permit, outcome: Outcome::Unknown }));
        Ok(FilterDecision::Continue)
    }

    /// Waits until a queued request is admitted or refused.
    async fn wait(
        &self,
        rec: &Record,
        ticket: Ticket,
        rx: oneshot::Receiver<Result<AdmissionPermit, lycheelatch_policy::Refusal>>,
    ) -> Result<AdmissionPermit, Refusal> {
        let mut queued_request = QueuedRequest { control: self.0.clone(), ticket, rx };
        let max_wait = Duration::from_millis(rec.service().limits.max_queue_ms);
        let now = Instant::now();
        let mut next_poll = (now + max_wait).min(now + rec.time_left(now).min(max_wait));
        loop {
            match timeout_at(next_poll, &mut queued_request.rx).await {
                Ok(Ok(Ok(permit))) => return Ok(permit),
                Ok(Ok(Err(refusal))) => return Err(refuse(rec, refusal)),
                Ok(Err(_)) => return Err(Refusal::not_run(RefusalReason::Overloaded)),
                Err(_) => {
                    let now = Instant::now();
                    self.0.lock().process_queue(now);
                    next_poll = now + QUEUE_POLL_INTERVAL;
                }
            }
        }
    }
}

fn admission_request(rec: &Record, now: Instant) -> AdmissionRequest {
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

/// Returns the fingerprint by which a retry of the request is detected.
///
/// It is none for a request without key, ID and buffered body.
fn fingerprint(rec: &Record) -> Option<Fingerprint> {
    let workspace = &rec.workspace().name;
    if let Some(key) = &rec.head.key {
        return Some(Fingerprint::of_key(workspace, key));
    }
    if rec.head.is_id_from_caller {
        return Some(Fingerprint::of_request_id(workspace, rec.id()));
    }
    let path = match &rec.kind {
        RequestKind::Model { path, .. } | RequestKind::Plain { path, .. } => path,
    };
    rec.body.as_ref().map(|body| Fingerprint::of_body(workspace, path, body))
}

fn refuse(rec: &Record, refusal: lycheelatch_policy::Refusal) -> Refusal {
    let reason = match refusal.reason {
        PolicyReason::Overloaded => RefusalReason::Overloaded,
        PolicyReason::Deadline => RefusalReason::DeadlinePassed,
        PolicyReason::RetryBudget => RefusalReason::RetryLimited,
        PolicyReason::WorkspaceRate | PolicyReason::WorkspaceInFlight => {
            RefusalReason::WorkspaceLimited
        }
        PolicyReason::UnknownService | PolicyReason::NoUpstream => {
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

    fn admit_one(control: &LoadControl) -> AdmissionDecision {
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
    fn queued_request_dropped_when_admitted_releases_its_permit() {
        let control = control();
        let AdmissionDecision::Admitted(permit) = admit_one(&control) else {
            panic!("the first request was not admitted")
        };
        let (tx, rx) = oneshot::channel();
        let queued_request = QueuedRequest { control: control.clone(), ticket: Ticket(7), rx };
        tx.send(Ok(permit)).unwrap();
        drop(queued_request);
        let service = "sack-desk".parse().unwrap();
        assert_eq!(control.lock().admission.in_flight(&service), 0);
    }

    #[test]
    fn queued_request_dropped_while_waiting_leaves_the_queue() {
        let control = control();
        let _running = admit_one(&control);
        let AdmissionDecision::Queued(ticket) = admit_one(&control) else {
            panic!("the second request was not queued")
        };
        let (tx, rx) = oneshot::channel();
        control.lock().waiting.insert(ticket, tx);
        drop(QueuedRequest { control: control.clone(), ticket, rx });
        let service = "sack-desk".parse().unwrap();
        let state = control.lock();
        assert_eq!((state.admission.queue_len(&service), state.waiting.len()), (0, 0));
    }
}
