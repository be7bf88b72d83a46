//! Lets requests through, has them wait, or refuses them.

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
use retry_after::{RoomClock, spread};

/// Time that a request runs, before any has.
const FIRST_RUN_TIME: Duration = Duration::from_millis(200);

/// Weight of a new sample in the mean run time.
const RUN_TIME_GAIN: f64 = 0.02;

/// Time after which a request beyond its workspace's limit may try again.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after which a request to a service without upstreams may try again.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(2);

struct ServiceState {
    limits: ServiceLimits,
    capacity: u64,
    in_flight: u64,
    queue: FairQueue,
    budget: RetryBudget,
    budgets: HashMap<WorkspaceName, RetryBudget>,
    run_secs: MovingMean,
    room: RoomClock,
}

impl ServiceState {
    fn new(limits: ServiceLimits) -> ServiceState {
        ServiceState {
            capacity: 0,
            in_flight: 0,
            queue: FairQueue::default(),
            budget: RetryBudget::new(limits.retry_percent),
            budgets: HashMap::new(),
            run_secs: MovingMean::new(RUN_TIME_GAIN),
            room: RoomClock::default(),
            limits,
        }
    }

    fn set_limits(&mut self, limits: ServiceLimits) {
        self.budget.set_percent(limits.retry_percent);
        for budget in self.budgets.values_mut() {
            budget.set_percent(limits.retry_percent);
        }
        self.limits = limits;
    }

    fn budgets(&mut self, workspace: &WorkspaceName) -> BudgetPair<'_> {
        let percent = self.limits.retry_percent;
        let own = self.budgets.entry(workspace.clone());
        BudgetPair {
            service: &mut self.budget,
            workspace: own.or_insert_with(|| RetryBudget::new(percent)),
        }
    }

    /// Returns whether another request fits; its own cost may go beyond the capacity once.
    fn has_room(&self) -> bool {
        self.in_flight < self.capacity
    }

    fn run_time(&self) -> Duration {
        Duration::from_secs_f64(self.run_secs.get_or(FIRST_RUN_TIME.as_secs_f64()))
    }

    /// Returns the units a second that the upstreams get done.
    fn drain_rate(&self) -> f64 {
        self.capacity as f64 / self.run_time().as_secs_f64().max(1e-6)
    }

    fn start(&mut self, now: Instant, workspace: &WorkspaceName, cost: u64, is_retry: bool) {
        self.in_flight += cost;
        if !is_retry {
            self.budgets(workspace).count_fresh(now, cost);
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

struct Held {
    service: ServiceName,
    workspace: WorkspaceName,
    fingerprint: Option<Fingerprint>,
}

/// Decides which requests run, wait or are refused at this node.
///
/// Fresh work goes before retries, retries keep to a share of fresh work,
/// workspaces share by weight, and nobody waits longer than the service's
/// limit or for an answer that would come too late.
pub struct Admission {
    services: HashMap<ServiceName, ServiceState>,
    workspaces: HashMap<WorkspaceName, WorkspaceState>,
    held: HashMap<Ticket, Held>,
    sense: RetryDetector,
    next_ticket: u64,
    rng: SmallRng,
}

impl Admission {
    /// Creates an admission that knows no service; `seed` spreads its refusals.
    pub fn new(seed: u64) -> Admission {
        Admission {
            services: HashMap::new(),
            workspaces: HashMap::new(),
            held: HashMap::new(),
            sense: RetryDetector::default(),
            next_ticket: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes the services and workspaces of a configuration; `nodes` share the rates.
    pub fn configure(&mut self, snapshot: &Snapshot, nodes: usize) {
        self.services.retain(|name, state| {
            snapshot.services.contains_key(name) || state.in_flight > 0 || !state.queue.is_empty()
        });
        for service in snapshot.services.values() {
            self.set_service(&service.name, service.limits.clone());
        }
        let gone = |name: &WorkspaceName| !snapshot.workspaces.contains_key(name);
        self.workspaces.retain(|name, state| !gone(name) || state.in_flight > 0);
        for state in self.services.values_mut() {
            state.budgets.retain(|name, _| !gone(name));
            state.queue.retain(|name| !gone(name));
        }
        for workspace in snapshot.workspaces.values() {
            self.set_workspace(&workspace.name, workspace.weight, &workspace.limits, nodes);
        }
    }

    /// Adds a service or changes its limits.
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

    /// Adds a workspace or changes its weight and limits.
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

    /// Sets the work that the upstreams of a service take at once, in its units.
    pub fn set_capacity(&mut self, service: &ServiceName, units: u64) {
        if let Some(state) = self.services.get_mut(service) {
            state.capacity = units;
        }
    }

    /// Decides on a request.
    pub fn admit(&mut self, now: Instant, ask: AdmissionRequest) -> AdmissionDecision {
        let known = self.sense.is_retry(now, ask.attempt, ask.fingerprint);
        let is_retry = known || ask.failed_before;
        match self.decide(now, &ask, is_retry) {
            Ok(admit) => admit,
            Err(refusal) => {
                self.remember_failure(now, ask.fingerprint);
                AdmissionDecision::Refused(refusal)
            }
        }
    }

    fn decide(
        &mut self,
        now: Instant,
        ask: &AdmissionRequest,
        is_retry: bool,
    ) -> Result<AdmissionDecision, Refusal> {
        let cost = ask.cost.max(1);
        let Some(state) = self.services.get_mut(&ask.service) else {
            let retry_after = NO_UPSTREAM_RETRY_AFTER;
            return Err(Refusal { reason: RefusalReason::UnknownService, retry_after });
        };
        if state.capacity == 0 {
            let retry_after = spread(NO_UPSTREAM_RETRY_AFTER, &mut self.rng);
            return Err(Refusal { reason: RefusalReason::NoUpstream, retry_after });
        }
        if now + state.run_time() / 2 > ask.deadline {
            let retry_after = spread(state.run_time(), &mut self.rng);
            return Err(Refusal { reason: RefusalReason::Deadline, retry_after });
        }
        let workspace = self.workspaces.entry(ask.workspace.clone()).or_default();
        check_workspace(now, workspace, &mut self.rng)?;
        if is_retry && !state.budgets(&ask.workspace).try_retry(now, cost) {
            return Err(refuse(state, now, cost, RefusalReason::RetryBudget, &mut self.rng));
        }
        if state.queue.is_empty() && state.has_room() {
            state.queue.charge(&ask.workspace, cost);
            state.start(now, &ask.workspace, cost, is_retry);
            workspace.in_flight += 1;
            return Ok(AdmissionDecision::Admitted(permit(now, ask, cost, is_retry)));
        }
        let expires_at = expires_at(now, state, ask);
        let rate = state.drain_rate();
        let wait = state.queue.expected_wait(&ask.workspace, rate);
        if now + wait > expires_at {
            return Err(refuse(state, now, cost, RefusalReason::Overloaded, &mut self.rng));
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let entry = QueuedRequest { ticket, cost, is_retry, priority: ask.priority, expires_at };
        state.queue.push(&ask.workspace, entry);
        workspace.in_flight += 1;
        self.held.insert(
            ticket,
            Held {
                service: ask.service.clone(),
                workspace: ask.workspace.clone(),
                fingerprint: ask.fingerprint,
            },
        );
        Ok(AdmissionDecision::Queued(ticket))
    }

    /// Returns the next waiting request that starts or is dropped, if there is one.
    ///
    /// Call it until it returns `None` after each release, each change of
    /// capacity and at [`Admission::next_wakeup`].
    pub fn dequeue(&mut self, now: Instant) -> Option<Dequeued> {
        self.waiting_services().into_iter().find_map(|name| self.next_of(now, &name))
    }

    fn next_of(&mut self, now: Instant, service: &ServiceName) -> Option<Dequeued> {
        let state = self.services.get_mut(service)?;
        if let Some((_, entry)) = state.queue.pop_expired(now) {
            return self.drop_waiting(now, service, entry);
        }
        if !state.has_room() {
            return None;
        }
        let (workspace, entry) = state.queue.pop()?;
        if entry.expires_at <= now {
            return self.drop_waiting(now, service, entry);
        }
        state.start(now, &workspace, entry.cost, entry.is_retry);
        let held = self.held.remove(&entry.ticket)?;
        let permit = Permit {
            service: held.service,
            workspace,
            fingerprint: held.fingerprint,
            cost: entry.cost,
            is_retry: entry.is_retry,
            started: now,
        };
        Some(Dequeued::Admitted(entry.ticket, permit))
    }

    fn drop_waiting(
        &mut self,
        now: Instant,
        name: &ServiceName,
        entry: QueuedRequest,
    ) -> Option<Dequeued> {
        let held = self.held.remove(&entry.ticket)?;
        self.leave(&held.workspace);
        self.remember_failure(now, held.fingerprint);
        let state = self.services.get_mut(name)?;
        let refusal = refuse(state, now, entry.cost, RefusalReason::Overloaded, &mut self.rng);
        Some(Dequeued::Dropped(entry.ticket, refusal))
    }

    /// Returns when [`Admission::dequeue`] is to be called at the latest.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.services.values().filter_map(|state| state.queue.next_expiry()).min()
    }

    /// Forgets a waiting request whose caller is gone.
    pub fn cancel(&mut self, now: Instant, ticket: Ticket) {
        let Some(held) = self.held.remove(&ticket) else {
            return;
        };
        if let Some(state) = self.services.get_mut(&held.service) {
            state.queue.cancel(&held.workspace, ticket);
        }
        self.leave(&held.workspace);
        self.remember_failure(now, held.fingerprint);
    }

    /// Takes a permit back, with what became of the request.
    pub fn release(&mut self, permit: Permit, now: Instant, outcome: Outcome) {
        self.leave(&permit.workspace);
        if outcome != Outcome::Complete {
            self.remember_failure(now, permit.fingerprint);
        }
        let Some(state) = self.services.get_mut(&permit.service) else {
            return;
        };
        state.in_flight -= permit.cost;
        if outcome == Outcome::Complete {
            let ran = now.saturating_duration_since(permit.started);
            state.run_secs.add(ran.as_secs_f64());
        }
    }

    /// Draws a retry by the proxy itself from the budgets of a permit.
    pub fn withdraw_retry(&mut self, now: Instant, permit: &Permit) -> bool {
        self.withdraw_retry_for(now, &permit.service, &permit.workspace, permit.cost)
    }

    /// Draws a retry of this cost by the proxy itself from the budgets.
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
        state.budgets(workspace).try_retry(now, cost)
    }

    /// Returns the services for which requests wait.
    pub fn waiting_services(&self) -> Vec<ServiceName> {
        let waiting = self.services.iter().filter(|(_, state)| !state.queue.is_empty());
        waiting.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the time that a request of a service runs, in the mean.
    pub fn run_time(&self, service: &ServiceName) -> Duration {
        self.services.get(service).map_or(FIRST_RUN_TIME, ServiceState::run_time)
    }

    /// Returns how many requests wait for a service.
    pub fn queue_len(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, |state| state.queue.len())
    }

    /// Returns the work of a service in flight, in its units.
    pub fn in_flight(&self, service: &ServiceName) -> u64 {
        self.services.get(service).map_or(0, |state| state.in_flight)
    }

    /// Returns the filter of failed requests, for the exchange with peers.
    pub fn retry_detector_mut(&mut self) -> &mut RetryDetector {
        &mut self.sense
    }

    fn leave(&mut self, workspace: &WorkspaceName) {
        if let Some(state) = self.workspaces.get_mut(workspace) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    fn remember_failure(&mut self, now: Instant, fingerprint: Option<Fingerprint>) {
        if let Some(fingerprint) = fingerprint {
            self.sense.failed(now, fingerprint);
        }
    }
}

fn check_workspace(
    now: Instant,
    workspace: &mut WorkspaceState,
    rng: &mut SmallRng,
) -> Result<(), Refusal> {
    if workspace.limits.max_in_flight.is_some_and(|max| workspace.in_flight >= max) {
        let retry_after = spread(IN_FLIGHT_RETRY_AFTER, rng);
        return Err(Refusal { reason: RefusalReason::WorkspaceInFlight, retry_after });
    }
    let Some(rate) = &mut workspace.rate else {
        return Ok(());
    };
    rate.take(now).map_err(|wait| Refusal {
        reason: RefusalReason::WorkspaceRate,
        retry_after: spread(wait, rng),
    })
}

fn expires_at(now: Instant, state: &ServiceState, ask: &AdmissionRequest) -> Instant {
    let longest = now + Duration::from_millis(state.limits.max_queue_ms);
    let left = ask.deadline.saturating_duration_since(now);
    longest.min(now + left.saturating_sub(state.run_time()))
}

fn permit(now: Instant, ask: &AdmissionRequest, cost: u64, is_retry: bool) -> Permit {
    Permit {
        service: ask.service.clone(),
        workspace: ask.workspace.clone(),
        fingerprint: ask.fingerprint,
        cost,
        is_retry,
        started: now,
    }
}

fn refuse(
    state: &mut ServiceState,
    now: Instant,
    cost: u64,
    reason: RefusalReason,
    rng: &mut SmallRng,
) -> Refusal {
    let backlog = state.queue.fresh_cost() as f64 / state.drain_rate().max(1e-3);
    let backlog = Duration::from_secs_f64(backlog.min(3600.0));
    let rate = state.budget.refill_per_second(now);
    let retry_after = state.room.retry_after(now, backlog, cost, rate, rng);
    Refusal { reason, retry_after }
}
