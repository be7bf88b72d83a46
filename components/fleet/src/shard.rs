//! What the holder of one service shard does in each round.

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
    CallResult, EngineDirectory, FleetMetrics, GateError, LeavingInstances, NeedWindow, OrderError,
    Orders, ReclaimGossip, Runner, ShardLease, StartBackoff,
    desired::{LoadCost, RunnerState, desired_model, orders_due},
    scale::decide,
    size::{InstanceKind, Mix},
};

/// Longest wait for the cloud API and for a load report.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Most starts of one service in one round.
const MAX_STARTS_PER_ROUND: u32 = 16;

/// Notice that the system gives of its own stops.
const STOP_NOTICE: Duration = Duration::from_secs(60);

/// Time for which an order to load a model is taken to be at work.
const CHANGE_TIME: Duration = Duration::from_secs(120);

/// Highest rate at which one runner loads weights, in bytes a second.
const RUNNER_BYTES_PER_SECOND: u64 = 1_250_000_000;

/// Tells how much load a service has.
pub trait Demand: Send + Sync {
    /// Returns the load of the service over all nodes, in units a second, if it is known.
    fn units_per_second(&self, service: &ServiceName) -> Option<f64>;
}

/// What the shards of a node share.
#[derive(Clone)]
pub struct ShardDeps {
    /// The key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// The cloud API; without one, nothing is started or stopped.
    pub cloud: Option<Arc<dyn Cloud>>,
    /// The weight store; without one, runners load as fast as they can.
    pub weights: Option<Arc<dyn WeightStore>>,
    /// The runners.
    pub directory: Arc<dyn EngineDirectory>,
    /// The load of the services; without it, the runners' reports are added up.
    pub demand: Option<Arc<dyn Demand>>,
    /// The instances that leave.
    pub leaving: LeavingInstances,
    /// Spreads planned stops.
    pub spread: Arc<ReclaimGossip>,
    /// Metrics of the fleet.
    pub metrics: FleetMetrics,
}

/// One service shard, held or not.
pub struct Shard {
    deps: ShardDeps,
    lease: Arc<ShardLease>,
    orders: Orders,
    tenure: Tenure,
}

/// What a holder remembers while it holds the lease.
#[derive(Default)]
struct Tenure {
    fence: Fence,
    need: NeedWindow,
    backoff: StartBackoff,
    starts: u64,
    unanswered: Vec<(InstanceKind, StartInstance)>,
    stopping: BTreeMap<InstanceId, Instant>,
    ordered: HashMap<UpstreamId, (LoadedModel, Instant)>,
}

impl Shard {
    /// Creates a shard that is not held.
    pub fn new(deps: ShardDeps, service: &ServiceName) -> Shard {
        let node = deps.spread.local().clone();
        let lease = Arc::new(ShardLease::new(deps.kv.clone(), node, service.as_str()));
        let orders = Orders::new(lease.clone(), deps.kv.clone());
        Shard { deps, lease, orders, tenure: Tenure::default() }
    }

    /// Returns whether this node surely holds the shard.
    pub fn is_holder(&self) -> bool {
        self.lease.permit(Instant::now()).is_some()
    }

    /// Renews the lease, or takes it if this node is a candidate.
    pub async fn keep_lease(&self, is_candidate: bool) {
        if self.lease.is_held() {
            if let Err(err) = self.lease.renew().await {
                log::warn!("fleet: a lease is not renewed: {err}.");
                self.deps.metrics.leases_lost.inc_by(u64::from(!self.lease.is_held()));
            }
        } else if is_candidate && let Err(err) = self.lease.try_acquire().await {
            log::info!("fleet: a lease is not taken: {err}.");
        }
    }

    /// Hands the shard on.
    pub async fn release(&self) {
        // An order that may still arrive keeps its holder's lease until it lapses.
        if self.orders.any_may_arrive() {
            return;
        }
        if let Err(err) = self.lease.release().await {
            log::info!("fleet: a lease lapses by itself: {err}.");
        }
    }

    /// Decides and acts once, if this node surely holds the shard.
    pub async fn reconcile(&mut self, service: &Service) {
        let Some(permit) = self.lease.permit(Instant::now()) else {
            return;
        };
        if permit.fence != self.tenure.fence {
            self.tenure = Tenure { fence: permit.fence, ..Tenure::default() };
        }
        let mut runners = self.deps.directory.runners(&service.name);
        runners.retain(|runner| !self.deps.leaving.is_leaving(&runner.instance));
        let states = self.states(&runners).await;
        self.order_models(service, &runners, &states).await;
        let load = match &self.deps.demand {
            Some(demand) => demand.units_per_second(&service.name),
            None => reported_load(&states),
        };
        if let (Some(spec), Some(cloud)) = (&service.fleet, self.deps.cloud.clone()) {
            if let Some(load) = load {
                self.scale(&service.name, spec, load, cloud.as_ref()).await;
            }
            self.stop_due(cloud.as_ref()).await;
        }
    }

    async fn order_models(
        &mut self,
        service: &Service,
        runners: &[Runner],
        states: &[RunnerState],
    ) {
        let Some(model) = service.model.as_ref().map(desired_model) else {
            return;
        };
        let cost = self.load_cost(&model).await;
        for (upstream, kind) in orders_due(&model, states, cost) {
            self.give(service, runners, &upstream, kind, &model).await;
        }
    }

    async fn states(&self, runners: &[Runner]) -> Vec<RunnerState> {
        let state = |runner: &Runner| {
            let engine = self.deps.directory.engine(&runner.upstream);
            let upstream = runner.upstream.clone();
            let ordered = self.tenure.ordered.get(&upstream).cloned();
            async move {
                let engine = engine?;
                let report = timeout(CALL_TIMEOUT, engine.load_report()).await;
                let is_changing =
                    ordered.as_ref().is_some_and(|(_, at)| at.elapsed() < CHANGE_TIME);
                Some(RunnerState {
                    upstream,
                    report: report.ok().and_then(Result::ok),
                    ordered: ordered.map(|(model, _)| model),
                    is_changing,
                })
            }
        };
        let states = futures_util::future::join_all(runners.iter().map(state)).await;
        states.into_iter().flatten().collect()
    }

    async fn load_cost(&self, model: &LoadedModel) -> Option<LoadCost> {
        let weights = self.deps.weights.as_ref()?;
        let call = weights.info(&model.model, &model.version);
        let info = timeout(CALL_TIMEOUT, call).await.ok()?.ok()?;
        Some(LoadCost {
            bytes: info.bytes,
            store_bytes_per_second: info.store_bytes_per_second,
            runner_bytes_per_second: RUNNER_BYTES_PER_SECOND,
        })
    }

    async fn give(
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
        let result = self.orders.give(upstream, engine.as_ref(), service.checks_fences, kind).await;
        let name = service.name.as_str();
        match result {
            Ok(()) => {
                self.deps.metrics.count_order(name, CallResult::Done);
                if is_load {
                    let at = Instant::now();
                    self.tenure.ordered.insert(upstream.clone(), (model.clone(), at));
                }
            }
            Err(OrderError::Gate(GateError::Blocked(fence))) => {
                log::warn!("fleet: {upstream} may get an order of holder {fence}; replacing it.");
                self.deps.metrics.count_order(name, CallResult::Refused);
                let on = runners.iter().find(|runner| runner.upstream == *upstream);
                if let Some(runner) = on {
                    self.begin_stop(&runner.instance);
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
            log::warn!("fleet: the cloud API does not answer; {service} stays as it is.");
            return;
        };
        let now = Instant::now();
        let staying = |instance: &&Instance| {
            instance.service == *service
                && matches!(instance.state, InstanceState::Starting | InstanceState::Running)
                && !self.deps.leaving.is_leaving(&instance.id)
        };
        let staying: Vec<Instance> = instances.iter().filter(staying).cloned().collect();
        let need = self.tenure.need.update(now, load);
        let present = mix_of(&staying);
        let changes = decide(now, need, spec, &offers, &present, &self.tenure.backoff);
        for (kind, count) in &changes.wanted {
            let (zone, name) = (kind.zone.as_str(), service.as_str());
            self.deps.metrics.set_wanted(name, zone, kind.purchase, *count);
        }
        self.start(service, spec, &changes.start, cloud).await;
        for instance in choose_stops(&staying, &changes.stop) {
            self.begin_stop(&instance);
        }
    }

    async fn start(
        &mut self,
        service: &ServiceName,
        spec: &FleetSpec,
        wanted: &Mix,
        cloud: &dyn Cloud,
    ) {
        let mut left = MAX_STARTS_PER_ROUND;
        for (kind, count) in wanted {
            for _ in 0..*count {
                if left == 0 || !self.tenure.backoff.may_try(Instant::now(), kind) {
                    break;
                }
                left -= 1;
                self.tenure.starts += 1;
                let token = format!("{service}/{}/{}", self.tenure.fence, self.tenure.starts);
                let req = StartInstance {
                    token: token.into(),
                    service: service.clone(),
                    zone: kind.zone.clone(),
                    class: kind.class.clone(),
                    purchase: kind.purchase,
                    labels: spec.labels.clone(),
                };
                self.start_one(service, kind, req, cloud).await;
            }
        }
    }

    async fn start_one(
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
                self.tenure.backoff.accept(kind);
                self.deps.metrics.count_start(name, CallResult::Done);
            }
            Ok(Err(err @ (CloudError::NoCapacity { .. } | CloudError::Unavailable { .. }))) => {
                log::warn!("fleet: no start for {service}: {err}.");
                self.tenure.backoff.refuse(Instant::now(), kind, &mut rand::rng());
                self.deps.metrics.count_start(name, CallResult::Refused);
            }
            Ok(Err(_)) | Err(_) => {
                // The same token is tried again, which starts nothing twice.
                self.tenure.unanswered.push((kind.clone(), req));
                self.deps.metrics.count_start(name, CallResult::Unknown);
            }
        }
    }

    /// Tries starts without an answer again; returns whether none is left.
    async fn retry_unanswered(&mut self, service: &ServiceName, cloud: &dyn Cloud) -> bool {
        for (kind, req) in std::mem::take(&mut self.tenure.unanswered) {
            self.start_one(service, &kind, req, cloud).await;
        }
        self.tenure.unanswered.is_empty()
    }

    /// Announces that an instance is to be stopped, so that its streams move first.
    fn begin_stop(&mut self, instance: &InstanceId) {
        let now = Instant::now();
        if self.tenure.stopping.contains_key(instance) {
            return;
        }
        let record = self.deps.leaving.mark_leaving(now, instance, STOP_NOTICE);
        self.deps.spread.send(&[record]);
        self.tenure.stopping.insert(instance.clone(), now + STOP_NOTICE);
        log::info!("fleet: instance {instance} is stopped in {} s.", STOP_NOTICE.as_secs());
    }

    async fn stop_due(&mut self, cloud: &dyn Cloud) {
        let now = Instant::now();
        let due: Vec<InstanceId> = self
            .tenure
            .stopping
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
                    self.tenure.stopping.remove(&id);
                }
                Ok(Err(err)) => log::warn!("fleet: instance {id} is not stopped: {err}."),
                Err(_) => log::warn!("fleet: the stop of instance {id} is not answered."),
            }
        }
    }
}

/// Adds up the runners' reports, if most of them are known.
fn reported_load(states: &[RunnerState]) -> Option<f64> {
    let reports: Vec<_> = states.iter().filter_map(|state| state.report.as_ref()).collect();
    if reports.len() * 2 <= states.len() {
        return None;
    }
    let with_waiting = |report: &&LoadReport| {
        let waiting = f64::from(report.waiting) / f64::from(report.running.max(1));
        report.tokens_per_second * (1.0 + waiting)
    };
    let known: f64 = reports.iter().map(with_waiting).sum();
    Some(known * states.len() as f64 / reports.len() as f64)
}

fn kind_of(instance: &Instance) -> InstanceKind {
    InstanceKind {
        zone: instance.zone.clone(),
        class: instance.class.clone(),
        purchase: instance.purchase,
    }
}

fn mix_of(instances: &[Instance]) -> Mix {
    let mut mix = Mix::new();
    for instance in instances {
        *mix.entry(kind_of(instance)).or_default() += 1;
    }
    mix
}

fn choose_stops(staying: &[Instance], stop: &Mix) -> Vec<InstanceId> {
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
