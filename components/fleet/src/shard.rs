//! Reconciliation of one service shard by its lease holder.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use lycheelatch_config::{FleetSpec, Service};
use lycheelatch_prelude::{Fence, InstanceId, ServiceName, UpstreamId};
use lycheelatch_provider::{
    Cloud, CloudError, Instance, InstanceState, KeyValue, StartInstance, WeightStore,
};
use lycheelatch_upstream::{LoadReport, LoadedModel, OrderKind};
use tokio::time::{Instant, timeout};

use crate::{
    CallResult, EngineDirectory, FleetMetrics, LeavingInstances, OrderError, OrderLockError,
    Orders, PeakLoadWindow, ReclaimGossip, Runner, ShardLease, StartBackoff,
    desired::{LoadCost, RunnerState, desired_model, orders_due},
    scale::plan_scaling,
    size::{InstanceKind, InstanceMix},
};

/// Timeout of load reports and of calls to the cloud API and the weight store.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of instances of one service started per reconciliation.
const MAX_STARTS_PER_ROUND: u32 = 16;

/// Notice period of stops that this system initiates.
const STOP_NOTICE: Duration = Duration::from_secs(60);

/// Time for which a runner is assumed to be applying an order to load a model.
const ORDER_APPLY_TIME: Duration = Duration::from_secs(120);

/// Maximum rate at which one runner loads weights, in bytes per second.
const MAX_RUNNER_BYTES_PER_SECOND: u64 = 1_250_000_000;

/// Source of the load of each service.
pub trait DemandSource: Send + Sync {
    /// Returns the load of the service over all nodes, in units per second, if known.
    fn units_per_second(&self, service: &ServiceName) -> Option<f64>;
}

/// Dependencies shared by all shards of a node.
#[derive(Clone)]
pub struct ShardDeps {
    /// Key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// Cloud API; without it, no instance is started or stopped.
    pub cloud: Option<Arc<dyn Cloud>>,
    /// Weight store; without it, the download rate of runners is not limited.
    pub weights: Option<Arc<dyn WeightStore>>,
    /// Directory of runners.
    pub directory: Arc<dyn EngineDirectory>,
    /// Load of the services; without it, the load reports of the runners are summed.
    pub demand: Option<Arc<dyn DemandSource>>,
    /// Leaving instances.
    pub leaving: LeavingInstances,
    /// Broadcasts planned stops to the other nodes.
    pub gossip: Arc<ReclaimGossip>,
    /// Fleet metrics.
    pub metrics: FleetMetrics,
}

/// A service shard, whether or not this node holds its lease.
pub struct Shard {
    deps: ShardDeps,
    lease: Arc<ShardLease>,
    orders: Orders,
    state: HolderState,
}

/// State that is kept while the lease is held, and reset when the fencing number changes.
#[derive(Default)]
struct HolderState {
    fence: Fence,
    peak_load: PeakLoadWindow,
    backoff: StartBackoff,
    start_count: u64,
    unanswered_starts: Vec<(InstanceKind, StartInstance)>,
    scheduled_stops: BTreeMap<InstanceId, Instant>,
    ordered_models: HashMap<UpstreamId, (LoadedModel, Instant)>,
}

impl Shard {
    /// Creates a shard whose lease is not held.
    pub fn new(deps: ShardDeps, service: &ServiceName) -> Shard {
        let node = deps.gossip.local().clone();
        let lease = Arc::new(ShardLease::new(deps.kv.clone(), node, service.as_str()));
        let orders = Orders::new(lease.clone(), deps.kv.clone());
        Shard { deps, lease, orders, state: HolderState::default() }
    }

    /// Returns whether this node is certain to hold the lease.
    pub fn is_holder(&self) -> bool {
        self.lease.permit(Instant::now()).is_some()
    }

    /// Renews the lease if it is held, or tries to acquire it if this node is a candidate.
    pub async fn maintain_lease(&self, is_candidate: bool) {
        if self.lease.is_held() {
            if let Err(err) = self.lease.renew().await {
                log::warn!("fleet: failed to renew a shard lease: {err}.");
                self.deps.metrics.leases_lost.inc_by(u64::from(!self.lease.is_held()));
            }
        } else if is_candidate && let Err(err) = self.lease.try_acquire().await {
            log::info!("fleet: failed to acquire a shard lease: {err}.");
        }
    }

    /// Releases the lease, unless an order may still reach its engine.
    pub async fn release(&self) {
        // After a release the next holder may send unfenced orders at once. After an expiry it
        // first waits until earlier orders can no longer arrive.
        if self.orders.has_unsettled() {
            return;
        }
        if let Err(err) = self.lease.release().await {
            log::info!("fleet: failed to release a shard lease, which will expire: {err}.");
        }
    }

    /// Runs one reconciliation, if this node is certain to hold the lease.
    pub async fn reconcile(&mut self, service: &Service) {
        let Some(permit) = self.lease.permit(Instant::now()) else {
            return;
        };
        if permit.fence != self.state.fence {
            self.state = HolderState { fence: permit.fence, ..HolderState::default() };
        }
        let mut runners = self.deps.directory.runners(&service.name);
        runners.retain(|runner| !self.deps.leaving.is_leaving(&runner.instance));
        let runner_states = self.runner_states(&runners).await;
        self.send_model_orders(service, &runners, &runner_states).await;
        let load = match &self.deps.demand {
            Some(demand) => demand.units_per_second(&service.name),
            None => reported_load(&runner_states),
        };
        if let (Some(spec), Some(cloud)) = (&service.fleet, self.deps.cloud.clone()) {
            if let Some(load) = load {
                self.scale(&service.name, spec, load, cloud.as_ref()).await;
            }
            self.stop_due_instances(cloud.as_ref()).await;
        }
    }

    async fn send_model_orders(
        &mut self,
        service: &Service,
        runners: &[Runner],
        runner_states: &[RunnerState],
    ) {
        let Some(model) = service.model.as_ref().map(desired_model) else {
            return;
        };
        let cost = self.load_cost(&model).await;
        for (upstream, kind) in orders_due(&model, runner_states, cost) {
            self.send_order(service, runners, &upstream, kind, &model).await;
        }
    }

    async fn runner_states(&self, runners: &[Runner]) -> Vec<RunnerState> {
        let state = |runner: &Runner| {
            let engine = self.deps.directory.engine(&runner.upstream);
            let upstream = runner.upstream.clone();
            let ordered = self.state.ordered_models.get(&upstream).cloned();
            async move {
                let engine = engine?;
                let report = timeout(CALL_TIMEOUT, engine.load_report()).await;
                let is_applying_order =
                    ordered.as_ref().is_some_and(|(_, at)| at.elapsed() < ORDER_APPLY_TIME);
                Some(RunnerState {
                    upstream,
                    report: report.ok().and_then(Result::ok),
                    ordered_model: ordered.map(|(model, _)| model),
                    is_applying_order,
                })
            }
        };
        let runner_states = futures_util::future::join_all(runners.iter().map(state)).await;
        runner_states.into_iter().flatten().collect()
    }

    async fn load_cost(&self, model: &LoadedModel) -> Option<LoadCost> {
        let weights = self.deps.weights.as_ref()?;
        let call = weights.info(&model.model, &model.version);
        let info = timeout(CALL_TIMEOUT, call).await.ok()?.ok()?;
        Some(LoadCost {
            bytes: info.bytes,
            store_bytes_per_second: info.store_bytes_per_second,
            runner_bytes_per_second: MAX_RUNNER_BYTES_PER_SECOND,
        })
    }

    async fn send_order(
        &mut self,
        service: &Service,
        runners: &[Runner],
        upstream: &UpstreamId,
        kind: OrderKind,
        model: &LoadedModel,
    ) {
        let Some(engine) = self.deps.directory.engine(upstream) else {
            return;
        };
        let is_load = matches!(kind, OrderKind::Models { .. });
        let result = self.orders.send(upstream, engine.as_ref(), service.checks_fences, kind).await;
        let name = service.name.as_str();
        match result {
            Ok(()) => {
                self.deps.metrics.count_order(name, CallResult::Done);
                if is_load {
                    let at = Instant::now();
                    self.state.ordered_models.insert(upstream.clone(), (model.clone(), at));
                }
            }
            Err(OrderError::Lock(OrderLockError::Blocked(fence))) => {
                log::warn!(
                    "fleet: an order with fencing number {fence} may still reach {upstream}; replacing it."
                );
                self.deps.metrics.count_order(name, CallResult::Refused);
                let found = runners.iter().find(|runner| runner.upstream == *upstream);
                if let Some(runner) = found {
                    self.schedule_stop(&runner.instance);
                }
            }
            Err(OrderError::TooEarly) => {}
            Err(err) => {
                log::warn!("fleet: order to {upstream} failed: {err}.");
                self.deps.metrics.count_order(name, CallResult::Unknown);
            }
        }
    }

    async fn scale(
        &mut self,
        service: &ServiceName,
        spec: &FleetSpec,
        load: f64,
        cloud: &dyn Cloud,
    ) {
        if !self.retry_unanswered(service, cloud).await {
            return;
        }
        let (offers, instances) = tokio::join!(
            timeout(CALL_TIMEOUT, cloud.offers()),
            timeout(CALL_TIMEOUT, cloud.list())
        );
        let (Ok(Ok(offers)), Ok(Ok(instances))) = (offers, instances) else {
            log::warn!(
                "fleet: failed to read offers or instances; not scaling {service} this time."
            );
            return;
        };
        let now = Instant::now();
        let staying = |instance: &&Instance| {
            instance.service == *service
                && matches!(instance.state, InstanceState::Starting | InstanceState::Running)
                && !self.deps.leaving.is_leaving(&instance.id)
        };
        let staying: Vec<Instance> = instances.iter().filter(staying).cloned().collect();
        let required = self.state.peak_load.update(now, load);
        let present = mix_of(&staying);
        let plan = plan_scaling(now, required, spec, &offers, &present, &self.state.backoff);
        for (kind, count) in &plan.target {
            let (zone, name) = (kind.zone.as_str(), service.as_str());
            self.deps.metrics.set_wanted(name, zone, kind.purchase, *count);
        }
        self.start_instances(service, spec, &plan.start, cloud).await;
        for instance in choose_stops(&staying, &plan.stop) {
            self.schedule_stop(&instance);
        }
    }

    async fn start_instances(
        &mut self,
        service: &ServiceName,
        spec: &FleetSpec,
        wanted: &InstanceMix,
        cloud: &dyn Cloud,
    ) {
        let mut left = MAX_STARTS_PER_ROUND;
        for (kind, count) in wanted {
            for _ in 0..*count {
                if left == 0 || !self.state.backoff.may_start(Instant::now(), kind) {
                    break;
                }
                left -= 1;
                self.state.start_count += 1;
                let token = format!("{service}/{}/{}", self.state.fence, self.state.start_count);
                let req = StartInstance {
                    token: token.into(),
                    service: service.clone(),
                    zone: kind.zone.clone(),
                    class: kind.class.clone(),
                    purchase: kind.purchase,
                    labels: spec.labels.clone(),
                };
                self.start_instance(service, kind, req, cloud).await;
            }
        }
    }

    async fn start_instance(
        &mut self,
        service: &ServiceName,
        kind: &InstanceKind,
        req: StartInstance,
        cloud: &dyn Cloud,
    ) {
        if !self.is_holder() {
            return;
        }
        let name = service.as_str();
        match timeout(CALL_TIMEOUT, cloud.start(&req)).await {
            Ok(Ok(id)) => {
                log::info!("fleet: started {id} for {service} in {}.", kind.zone);
                self.state.backoff.record_start(kind);
                self.deps.metrics.count_start(name, CallResult::Done);
            }
            Ok(Err(err @ (CloudError::NoCapacity { .. } | CloudError::Unavailable { .. }))) => {
                log::warn!("fleet: failed to start an instance for {service}: {err}.");
                self.state.backoff.record_refusal(Instant::now(), kind, &mut rand::rng());
                self.deps.metrics.count_start(name, CallResult::Refused);
            }
            Ok(Err(_)) | Err(_) => {
                // Retrying with the same token starts no second instance.
                self.state.unanswered_starts.push((kind.clone(), req));
                self.deps.metrics.count_start(name, CallResult::Unknown);
            }
        }
    }

    /// Retries starts without a response; returns whether none is left.
    async fn retry_unanswered(&mut self, service: &ServiceName, cloud: &dyn Cloud) -> bool {
        for (kind, req) in std::mem::take(&mut self.state.unanswered_starts) {
            self.start_instance(service, &kind, req, cloud).await;
        }
        self.state.unanswered_starts.is_empty()
    }

    /// Schedules the stop of an instance and announces it, so that its streams move first.
    fn schedule_stop(&mut self, instance: &InstanceId) {
        let now = Instant::now();
        if self.state.scheduled_stops.contains_key(instance) {
            return;
        }
        let record = self.deps.leaving.mark_leaving(now, instance, STOP_NOTICE);
        self.deps.gossip.broadcast(&[record]);
        self.state.scheduled_stops.insert(instance.clone(), now + STOP_NOTICE);
        log::info!("fleet: instance {instance} will be stopped in {} s.", STOP_NOTICE.as_secs());
    }

    async fn stop_due_instances(&mut self, cloud: &dyn Cloud) {
        let now = Instant::now();
        let due: Vec<InstanceId> = self
            .state
            .scheduled_stops
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            if !self.is_holder() {
                return;
            }
            match timeout(CALL_TIMEOUT, cloud.stop(&id)).await {
                Ok(Ok(())) => {
                    self.state.scheduled_stops.remove(&id);
                }
                Ok(Err(err)) => log::warn!("fleet: failed to stop instance {id}: {err}."),
                Err(_) => log::warn!("fleet: request to stop instance {id} timed out."),
            }
        }
    }
}

/// Extrapolates the total load from the reports, if more than half of the runners reported.
fn reported_load(runner_states: &[RunnerState]) -> Option<f64> {
    let reports: Vec<_> = runner_states.iter().filter_map(|state| state.report.as_ref()).collect();
    if reports.len() * 2 <= runner_states.len() {
        return None;
    }
    let with_waiting = |report: &&LoadReport| {
        let waiting = f64::from(report.waiting) / f64::from(report.running.max(1));
        report.tokens_per_second * (1.0 + waiting)
    };
    let known: f64 = reports.iter().map(with_waiting).sum();
    Some(known * runner_states.len() as f64 / reports.len() as f64)
}

fn kind_of(instance: &Instance) -> InstanceKind {
    InstanceKind {
        zone: instance.zone.clone(),
        class: instance.class.clone(),
        purchase: instance.purchase,
    }
}

fn mix_of(instances: &[Instance]) -> InstanceMix {
    let mut mix = InstanceMix::new();
    for instance in instances {
        *mix.entry(kind_of(instance)).or_default() += 1;
    }
    mix
}

fn choose_stops(staying: &[Instance], stop: &InstanceMix) -> Vec<InstanceId> {
    let mut left = stop.clone();
    let mut chosen = Vec::new();
    for instance in staying {
        if let Some(count) = left.get_mut(&kind_of(instance)).filter(|count| **count > 0) {
            *count -= 1;
            chosen.push(instance.id.clone());
        }
    }
    chosen
}
