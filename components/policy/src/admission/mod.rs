//! Admission control: runs, queues or refuses requests.

mod rate;
mod request;
mod retry_after;

use std::{collections::HashMap, time::Duration};

use lycheelatch_config::{ServiceLimits, Snapshot, WorkspaceLimits};
use lycheelatch_prelude::{Outcome, ServiceName, WorkspaceName};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

pub use request::{
    AdmissionDecision, AdmissionRequest, Dequeued, Permit, Refusal, RefusalReason, Ticket,
};

use crate::{
    FairQueue, Fingerprint, QueuedRequest, RetryBudget, RetryDetector, decay::MovingMean,
    retry_budget::BudgetPair,
};
use rate::RateLimit;
use retry_after::{RetryAfterSchedule, add_jitter};

/// Assumed run time of a service until the first request completes.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(200);

/// Weight of a new sample in the moving mean of the run time.
const RUN_TIME_GAIN: f64 = 0.02;

/// `Retry-After` for a workspace that has reached its limit of requests in flight.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Retry-After` for a service without upstreams.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(2);

struct ServiceState {
    limits: ServiceLimits,
    capacity: u64,
    in_flight: u64,
    queue: FairQueue,
    retry_budget: RetryBudget,
    workspace_retry_budgets: HashMap<WorkspaceName, RetryBudget>,
    run_secs: MovingMean,
    retry_schedule: RetryAfterSchedule,
}

impl ServiceState {
    fn new(limits: ServiceLimits) -> ServiceState {
        ServiceState {
            capacity: 0,
            in_flight: 0,
            queue: FairQueue::default(),
            retry_budget: RetryBudget::new(limits.retry_percent),
            workspace_retry_budgets: HashMap::new(),
            run_secs: MovingMean::new(RUN_TIME_GAIN),
            retry_schedule: RetryAfterSchedule::default(),
            limits,
        }
    }

    fn set_limits(&mut self, limits: ServiceLimits) {
        self.retry_budget.set_percent(limits.retry_percent);
        for budget in self.workspace_retry_budgets.values_mut() {
            budget.set_percent(limits.retry_percent);
        }
        self.limits = limits;
    }

    fn retry_budgets(&mut self, workspace: &WorkspaceName) -> BudgetPair<'_> {
        let percent = self.limits.retry_percent;
        let own = self.workspace_retry_budgets.entry(workspace.clone());
        BudgetPair {
            service: &mut self.retry_budget,
            workspace: own.or_insert_with(|| RetryBudget::new(percent)),
        }
    }

    /// Returns whether another request may start. Its own cost is not counted, so a single request
    /// may exceed the capacity.
    fn has_capacity(&self) -> bool {
        self.in_flight < self.capacity
    }

    fn run_time(&self) -> Duration {
        Duration::from_secs_f64(self.run_secs.get_or(INITIAL_RUN_TIME.as_secs_f64()))
    }

    /// Returns the throughput of the upstreams in units per second.
    fn drain_rate(&self) -> f64 {
        self.capacity as f64 / self.run_time().as_secs_f64().max(1e-6)
    }

    fn start(&mut self, now: Instant, workspace: &WorkspaceName, cost: u64, is_retry: bool) {
        self.in_flight += cost;
        if !is_retry {
            self.retry_budgets(workspace).count_fresh(now, cost);
        }
    }
}

#[derive(Default)]
struct WorkspaceState {
    weight: Option<u32>,
    limits: WorkspaceLimits,
    rate: Option<RateLimit>,
    in_flight: u32,
}

struct QueuedContext {
    service: ServiceName,
    workspace: WorkspaceName,
    fingerprint: Option<Fingerprint>,
}

/// Admission control of one node: decides which requests run, wait or are refused.
///
/// Fresh requests run before retries, retries are limited to a share of the
/// fresh requests, and workspaces share the capacity by weight. A request is
/// queued no longer than the service's maximum queue time, and only while its
/// response can still arrive before its deadline.
pub struct Admission {
    services: HashMap<ServiceName, ServiceState>,
    workspaces: HashMap<WorkspaceName, WorkspaceState>,
    queued: HashMap<Ticket, QueuedContext>,
    retry_detector: RetryDetector,
    next_ticket: u64,
    rng: SmallRng,
}

impl Admission {
    /// Creates an admission control without services; `seed` seeds the jitter of `Retry-After`.
    pub fn new(seed: u64) -> Admission {
        Admission {
            services: HashMap::new(),
            workspaces: HashMap::new(),
            queued: HashMap::new(),
            retry_detector: RetryDetector::default(),
            next_ticket: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Applies the services and workspaces of a configuration. The request rates of workspaces are
    /// divided by the number of `nodes`.
    pub fn configure(&mut self, snapshot: &Snapshot, nodes: usize) {
        self.services.retain(|name, state| {
            snapshot.services.contains_key(name) || state.in_flight > 0 || !state.queue.is_empty()
        });
        for service in snapshot.services.values() {
            self.set_service(&service.name, service.limits.clone());
        }
        let is_removed = |name: &WorkspaceName| !snapshot.workspaces.contains_key(name);
        self.workspaces.retain(|name, state| !is_removed(name) || state.in_flight > 0);
        for state in self.services.values_mut() {
            state.workspace_retry_budgets.retain(|name, _| !is_removed(name));
            state.queue.retain(|name| !is_removed(name));
        }
        for workspace in snapshot.workspaces.values() {
            self.set_workspace(&workspace.name, workspace.weight, &workspace.limits, nodes);
        }
    }

    /// Adds a service or updates its limits.
    pub fn set_service(&mut self, service: &ServiceName, limits: ServiceLimits) {
        match self.services.get_mut(service) {
            Some(state) => state.set_limits(limits),
            None => {
                let mut state = ServiceState::new(limits);
                for (name, workspace) in &self.workspaces {
                    state.queue.set_weight(name, workspace.weight.unwrap_or(100));
                }
                self.services.insert(service.clone(), state);
            }
        }
    }

    /// Adds a workspace or updates its weight and limits.
    pub fn set_workspace(
        &mut self,
        workspace: &WorkspaceName,
        weight: u32,
        limits: &WorkspaceLimits,
        nodes: usize,
    ) {
        let state = self.workspaces.entry(workspace.clone()).or_default();
        state.weight = Some(weight);
        let per_node = limits.requests_per_second.map(|rate| f64::from(rate) / nodes.max(1) as f64);
        match (&mut state.rate, per_node) {
            (Some(rate), Some(per_second)) => rate.set_rate(per_second),
            (rate, per_second) => *rate = per_second.map(RateLimit::new),
        }
        state.limits = limits.clone();
        for service in self.services.values_mut() {
            service.queue.set_weight(workspace, weight);
        }
    }

    /// Sets the concurrent capacity of the upstreams of a service, in units of the service.
    pub fn set_capacity(&mut self, service: &ServiceName, units: u64) {
        if let Some(state) = self.services.get_mut(service) {
            state.capacity = units;
        }
    }

    /// Decides whether a request runs, waits or is refused.
    pub fn admit(&mut self, now: Instant, req: AdmissionRequest) -> AdmissionDecision {
        let is_known_retry = self.retry_detector.is_retry(now, req.attempt, req.fingerprint);
        let is_retry = is_known_retry || req.failed_before;
        match self.decide(now, &req, is_retry) {
            Ok(decision) => decision,
            Err(refusal) => {
                self.record_failure(now, req.fingerprint);
                AdmissionDecision::Refused(refusal)
            }
        }
    }

    fn decide(
        &mut self,
        now: Instant,
        req: &AdmissionRequest,
        is_retry: bool,
    ) -> Result<AdmissionDecision, Refusal> {
        let cost = req.cost.max(1);
        let Some(state) = self.services.get_mut(&req.service) else {
            let retry_after = NO_UPSTREAM_RETRY_AFTER;
            return Err(Refusal { reason: RefusalReason::UnknownService, retry_after });
        };
        if state.capacity == 0 {
            let retry_after = add_jitter(NO_UPSTREAM_RETRY_AFTER, &mut self.rng);
            return Err(Refusal { reason: RefusalReason::NoUpstream, retry_after });
        }
        if now + state.run_time() / 2 > req.deadline {
            let retry_after = add_jitter(state.run_time(), &mut self.rng);
            return Err(Refusal { reason: RefusalReason::Deadline, retry_after });
        }
        let workspace = self.workspaces.entry(req.workspace.clone()).or_default();
        check_workspace_limits(now, workspace, &mut self.rng)?;
        if is_retry && !state.retry_budgets(&req.workspace).try_withdraw(now, cost) {
            return Err(overload_refusal(
                state,
                now,
                cost,
                RefusalReason::RetryBudget,
                &mut self.rng,
            ));
        }
        if state.queue.is_empty() && state.has_capacity() {
            state.queue.charge(&req.workspace, cost);
            state.start(now, &req.workspace, cost, is_retry);
            workspace.in_flight += 1;
            return Ok(AdmissionDecision::Admitted(permit(now, req, cost, is_retry)));
        }
        let expires_at = expires_at(now, state, req);
        let rate = state.drain_rate();
        let wait = state.queue.expected_wait(&req.workspace, rate);
        if now + wait > expires_at {
            return Err(overload_refusal(
                state,
                now,
                cost,
                RefusalReason::Overloaded,
                &mut self.rng,
            ));
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let entry = QueuedRequest { ticket, cost, is_retry, priority: req.priority, expires_at };
        state.queue.push(&req.workspace, entry);
        workspace.in_flight += 1;
        self.queued.insert(
            ticket,
            QueuedContext {
                service: req.service.clone(),
                workspace: req.workspace.clone(),
                fingerprint: req.fingerprint,
            },
        );
        Ok(AdmissionDecision::Queued(ticket))
    }

    /// Removes the next request that may start or has expired from the queue.
    ///
    /// Must be called until it returns `None` after each release, after each
    /// change of capacity and at [`Admission::next_wakeup`].
    pub fn dequeue(&mut self, now: Instant) -> Option<Dequeued> {
        self.waiting_services().into_iter().find_map(|name| self.dequeue_from(now, &name))
    }

    fn dequeue_from(&mut self, now: Instant, service: &ServiceName) -> Option<Dequeued> {
        let state = self.services.get_mut(service)?;
        if let Some((_, entry)) = state.queue.pop_expired(now) {
            return self.drop_queued(now, service, entry);
        }
        if !state.has_capacity() {
            return None;
        }
        let (workspace, entry) = state.queue.pop()?;
        if entry.expires_at <= now {
            return self.drop_queued(now, service, entry);
        }
        state.start(now, &workspace, entry.cost, entry.is_retry);
        let queued = self.queued.remove(&entry.ticket)?;
        let permit = Permit {
            service: queued.service,
            workspace,
            fingerprint: queued.fingerprint,
            cost: entry.cost,
            is_retry: entry.is_retry,
            started: now,
        };
        Some(Dequeued::Admitted(entry.ticket, permit))
    }

    fn drop_queued(
        &mut self,
        now: Instant,
        name: &ServiceName,
        entry: QueuedRequest,
    ) -> Option<Dequeued> {
        let queued = self.queued.remove(&entry.ticket)?;
        self.decrement_in_flight(&queued.workspace);
        self.record_failure(now, queued.fingerprint);
        let state = self.services.get_mut(name)?;
        let refusal =
            overload_refusal(state, now, entry.cost, RefusalReason::Overloaded, &mut self.rng);
        Some(Dequeued::Dropped(entry.ticket, refusal))
    }

    /// Returns the time by which [`Admission::dequeue`] must be called next.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.services.values().filter_map(|state| state.queue.next_expiry()).min()
    }

    /// Removes a queued request whose caller has disconnected.
    pub fn cancel(&mut self, now: Instant, ticket: Ticket) {
        let Some(queued) = self.queued.remove(&ticket) else {
            return;
        };
        if let Some(state) = self.services.get_mut(&queued.service) {
            state.queue.cancel(&queued.workspace, ticket);
        }
        self.decrement_in_flight(&queued.workspace);
        self.record_failure(now, queued.fingerprint);
    }

    /// Returns a permit and records the outcome of its request.
    pub fn release(&mut self, permit: Permit, now: Instant, outcome: Outcome) {
        self.decrement_in_flight(&permit.workspace);
        if outcome != Outcome::Complete {
            self.record_failure(now, permit.fingerprint);
        }
        let Some(state) = self.services.get_mut(&permit.service) else {
            return;
        };
        state.in_flight -= permit.cost;
        if outcome == Outcome::Complete {
            let run_time = now.saturating_duration_since(permit.started);
            state.run_secs.add(run_time.as_secs_f64());
        }
    }

    /// Withdraws a retry made by the proxy from the retry budgets, at the cost of `permit`.
    ///
    /// Returns false and withdraws nothing if a budget is exhausted.
    pub fn withdraw_retry(&mut self, now: Instant, permit: &Permit) -> bool {
        self.withdraw_retry_for(now, &permit.service, &permit.workspace, permit.cost)
    }

    /// Withdraws a retry of `cost` units made by the proxy from the retry budgets.
    ///
    /// Returns false and withdraws nothing if a budget is exhausted or the service is unknown.
    pub fn withdraw_retry_for(
        &mut self,
        now: Instant,
        service: &ServiceName,
        workspace: &WorkspaceName,
        cost: u64,
    ) -> bool {
        let Some(state) = self.services.get_mut(service) else {
            return false;
        };
        state.retry_budgets(workspace).try_withdraw(now, cost)
    }

    /// Returns the services that have queued requests.
    pub fn waiting_services(&self) -> Vec<ServiceName> {
        let queued = self.services.iter().filter(|(_, state)| !state.queue.is_empty());
        queued.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the mean run time of the requests of a service.
    pub fn run_time(&self, service: &ServiceName) -> Duration {
        self.services.get(service).map_or(INITIAL_RUN_TIME, ServiceState::run_time)
    }

    /// Returns the number of queued requests of a service.
    pub fn queue_len(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, |state| state.queue.len())
    }

    /// Returns the cost in flight of a service, in units of the service.
    pub fn in_flight(&self, service: &ServiceName) -> u64 {
        self.services.get(service).map_or(0, |state| state.in_flight)
    }

    /// Returns the retry detector, to exchange failed requests with other nodes.
    pub fn retry_detector_mut(&mut self) -> &mut RetryDetector {
        &mut self.retry_detector
    }

    fn decrement_in_flight(&mut self, workspace: &WorkspaceName) {
        if let Some(state) = self.workspaces.get_mut(workspace) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    fn record_failure(&mut self, now: Instant, fingerprint: Option<Fingerprint>) {
        if let Some(fingerprint) = fingerprint {
            self.retry_detector.record_failure(now, fingerprint);
        }
    }
}

fn check_workspace_limits(
    now: Instant,
    workspace: &mut WorkspaceState,
    rng: &mut SmallRng,
) -> Result<(), Refusal> {
    if workspace.limits.max_in_flight.is_some_and(|max| workspace.in_flight >= max) {
        let retry_after = add_jitter(IN_FLIGHT_RETRY_AFTER, rng);
        return Err(Refusal { reason: RefusalReason::WorkspaceInFlight, retry_after });
    }
    let Some(rate) = &mut workspace.rate else {
        return Ok(());
    };
    rate.try_acquire(now).map_err(|wait| Refusal {
        reason: RefusalReason::WorkspaceRate,
        retry_after: add_jitter(wait, rng),
    })
}

fn expires_at(now: Instant, state: &ServiceState, req: &AdmissionRequest) -> Instant {
    let latest = now + Duration::from_millis(state.limits.max_queue_ms);
    let left = req.deadline.saturating_duration_since(now);
    latest.min(now + left.saturating_sub(state.run_time()))
}

fn permit(now: Instant, req: &AdmissionRequest, cost: u64, is_retry: bool) -> Permit {
    Permit {
        service: req.service.clone(),
        workspace: req.workspace.clone(),
        fingerprint: req.fingerprint,
        cost,
        is_retry,
        started: now,
    }
}

fn overload_refusal(
    state: &mut ServiceState,
    now: Instant,
    cost: u64,
    reason: RefusalReason,
    rng: &mut SmallRng,
) -> Refusal {
    let backlog = state.queue.fresh_cost() as f64 / state.drain_rate().max(1e-3);
    let backlog = Duration::from_secs_f64(backlog.min(3600.0));
    let rate = state.retry_budget.refill_per_second(now);
    let retry_after = state.retry_schedule.retry_after(now, backlog, cost, rate, rng);
    Refusal { reason, retry_after }
}
