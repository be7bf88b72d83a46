//! State that all requests of a node share.

use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use lycheelatch_policy::{CrashSuspects, UpstreamNotices};
use lycheelatch_prelude::{ServiceName, WorkspaceName};
use lycheelatch_settings::{GatewaySettings, QuotaTolerance, RetryLimit};
use tokio::{net::UdpSocket, sync::watch, time::Instant};

use crate::{
    ClusterClock, Dialect, Directory, GatewayMetrics, RoutingTable, StoreEra, Workspace,
    decision::{Decision, QuotaExceeded},
    departures::Departures,
    engine_load::PrefixHash,
    engine_speed::{EngineSpeed, SpeedSamples},
    event_log::{DecisionLog, log_event, millis},
    held_memory::ClientMemory,
    messages::Digest,
    node_event::NodeEvent,
    node_limits::NodeLimits,
    open_count::{OpenCount, OpenGuard},
    peers::PeerTable,
    quota::{self, Charge, Crowd, ProcessAge, QuotaTerms, ReportedUsage, SlidingCounter},
    read_barrier::ReadBarrier,
    resend::ResendTimes,
    retry_budget::RetryBudget,
    rollouts::Rollouts,
    route_history::RouteHistory,
    schedule,
    stop_schedule::StopSchedule,
    stream_origin::StreamOrigins,
    upstream_speeds::SpeedNotice,
    usage::{Usage, UsageWindow},
};

/// A prompt sent to an engine, to be announced to the other nodes as cached there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SentPrompt {
    pub(crate) upstream: lycheelatch_prelude::UpstreamId,
    pub(crate) links: Vec<(PrefixHash, u32)>,
}

/// State that all requests of a node share.
pub struct Gateway {
    /// Settings read at startup; see `reload` for those that can change later.
    pub settings: GatewaySettings,
    /// Known upstreams of all services.
    pub directory: Directory,
    /// Metrics.
    pub metrics: GatewayMetrics,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) decisions: DecisionLog,
    pub(crate) clock: Rc<ClusterClock>,
    pub(crate) usage: RefCell<Usage>,
    pub(crate) peers: RefCell<PeerTable>,
    pub(crate) sent_prompts: RefCell<Vec<SentPrompt>>,
    /// Samples of upstreams' speed that the other nodes have not been sent yet.
    pub(crate) speed_notices: RefCell<Vec<SpeedNotice>>,
    pub(crate) departures: RefCell<Departures>,
    pub(crate) crash_suspects: RefCell<CrashSuspects>,
    /// When all evidence of crashes was last sent to each node.
    pub(crate) evidence_sent: RefCell<ResendTimes>,
    /// Hash of the limits that upstreams name; 0 if they name none.
    pub(crate) limits_fingerprint: Cell<u64>,
    /// When all limits were last sent to each node.
    pub(crate) limits_sent: RefCell<ResendTimes>,
    /// What upstreams asked of this node in their responses.
    pub(crate) upstream_notices: RefCell<UpstreamNotices>,
    /// Parts that requests are refused for, as last logged.
    pub(crate) refused_parts: RefCell<Vec<String>>,
    /// Whether this node holds the leader lease.
    pub(crate) is_leader: Cell<bool>,
    /// Latest era of the store that is known.
    pub(crate) store_era: Cell<Option<StoreEra>>,
    /// Lets conclusions rest on all that the store holds; set at the start.
    pub(crate) read_barrier: OnceCell<ReadBarrier>,
    pub(crate) stream_origins: RefCell<StreamOrigins>,
    /// Services of each route, and those that it had lately.
    pub(crate) route_history: RefCell<RouteHistory>,
    pub(crate) datagrams: OnceCell<Rc<UdpSocket>>,
    pub(crate) rollouts: RefCell<Rollouts>,
    pub(crate) demand: RefCell<BTreeMap<ServiceName, Demand>>,
    speeds: RefCell<HashMap<ServiceName, EngineSpeed>>,
    table: RefCell<Option<Rc<RoutingTable>>>,
    quotas: RefCell<HashMap<WorkspaceName, QuotaCounters>>,
    retries: RefCell<HashMap<ServiceName, RetryBudget>>,
    has_upstreams: Cell<bool>,
    reloaded: RefCell<ReloadableSettings>,
    pub(crate) started: Instant,
    pub(crate) stopping: watch::Sender<Option<StopSchedule>>,
    pub(crate) closing: watch::Sender<bool>,
    requests: OpenCount,
    pub(crate) connections: OpenCount,
    pub(crate) limits: NodeLimits,
    pub(crate) client_memory: ClientMemory,
}

/// Work requested from a service since this process started.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Demand {
    /// Number of requests.
    pub(crate) requests: u64,
    /// Prompt tokens.
    pub(crate) prompt_tokens: u64,
    /// Prompt tokens that engines had to process, those found in a cache excluded.
    pub(crate) prefill_tokens: u64,
    /// Requests rejected for lack of capacity.
    pub(crate) refused: u64,
    /// Observed times to the first token.
    pub(crate) speed: SpeedSamples,
}

/// Settings that can be changed without a restart.
#[derive(Debug, Clone, PartialEq)]
struct ReloadableSettings {
    seeds: Vec<SocketAddr>,
    retry: RetryLimit,
    quota_window: Duration,
    quota_tolerance: QuotaTolerance,
}

impl From<&GatewaySettings> for ReloadableSettings {
    fn from(settings: &GatewaySettings) -> ReloadableSettings {
        ReloadableSettings {
            seeds: settings.seeds.clone(),
            retry: settings.retry,
            quota_window: settings.quota_window,
            quota_tolerance: settings.quota_tolerance,
        }
    }
}

/// Usage of a workspace on this node within its quota window.
#[derive(Debug, Default)]
struct QuotaCounters {
    admitted: SlidingCounter,
    refused: SlidingCounter,
}

impl Gateway {
    /// Creates a gateway without a configuration.
    pub fn new(
        settings: GatewaySettings,
        dialect: Rc<dyn Dialect>,
        metrics: GatewayMetrics,
        clock: Rc<ClusterClock>,
    ) -> Gateway {
        let node = settings.node.as_str().into();
        let reloaded = ReloadableSettings::from(&settings);
        let rollouts = Rollouts::new(settings.rollout);
        let limits = NodeLimits::from(settings.machine);
        let client_memory = ClientMemory::new(limits.client_memory, metrics.client_memory.clone());
        Gateway {
            usage: RefCell::new(Usage::new(settings.usage_window)),
            peers: RefCell::new(PeerTable::new(settings.node.clone())),
            settings,
            directory: Directory::default(),
            decisions: DecisionLog::new(node),
            metrics,
            dialect,
            clock,
            sent_prompts: RefCell::default(),
            speed_notices: RefCell::default(),
            departures: RefCell::default(),
            crash_suspects: RefCell::default(),
            evidence_sent: RefCell::default(),
            limits_fingerprint: Cell::new(0),
            limits_sent: RefCell::default(),
            upstream_notices: RefCell::default(),
            refused_parts: RefCell::default(),
            is_leader: Cell::new(false),
            store_era: Cell::new(None),
            read_barrier: OnceCell::new(),
            stream_origins: RefCell::new(StreamOrigins::new(Instant::now())),
            route_history: RefCell::default(),
            datagrams: OnceCell::new(),
            rollouts: RefCell::new(rollouts),
            demand: RefCell::default(),
            speeds: RefCell::default(),
            table: RefCell::default(),
            quotas: RefCell::default(),
            retries: RefCell::default(),
            has_upstreams: Cell::new(false),
            reloaded: RefCell::new(reloaded),
            started: Instant::now(),
            stopping: watch::Sender::new(None),
            closing: watch::Sender::new(false),
            requests: OpenCount::default(),
            connections: OpenCount::default(),
            limits,
            client_memory,
        }
    }

    /// Returns the current routing table, if one has been received.
    pub fn table(&self) -> Option<Rc<RoutingTable>> {
        self.table.borrow().clone()
    }

    /// Replaces the routing table, unless the current one has the same or a higher version; returns
    /// whether it was replaced.
    pub fn set_table(&self, table: RoutingTable) -> bool {
        let mut current = self.table.borrow_mut();
        if current.as_ref().is_some_and(|current| current.version >= table.version) {
            return false;
        }
        self.metrics.config_version.set(i64::try_from(table.version).unwrap_or(i64::MAX));
        self.route_history.borrow_mut().replace(current.as_deref(), &table, Instant::now());
        *current = Some(Rc::new(table));
        true
    }

    /// Applies those changed settings that don't require a restart.
    pub fn reload(&self, settings: &GatewaySettings) {
        let new = ReloadableSettings::from(settings);
        if *self.reloaded.borrow() != new {
            log_event(&NodeEvent::SettingsReloaded { seeds: new.seeds.len() });
            self.reloaded.replace(new);
        }
    }

    /// Returns the seed nodes, which are contacted until the store lists other nodes.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        self.reloaded.borrow().seeds.clone()
    }

    /// Marks the list of upstreams as read at least once.
    pub fn set_upstreams_known(&self) {
        self.has_upstreams.set(true);
    }

    /// Returns whether the node is ready for traffic.
    pub fn is_ready(&self) -> bool {
        self.is_initialized() && !self.is_stopping()
    }

    /// Returns whether the node has received a configuration and the list of upstreams.
    pub fn is_initialized(&self) -> bool {
        self.table.borrow().is_some() && self.has_upstreams.get()
    }

    /// Returns the number of open connections of callers.
    pub(crate) fn open_connections(&self) -> u32 {
        self.connections.get()
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> u32 {
        self.requests.get()
    }

    pub(crate) fn open_request(&self) -> OpenGuard {
        self.requests.open()
    }

    /// Charges a request's cost to its workspace's quota.
    ///
    /// If the quota is exceeded, returns the time after which the caller may retry.
    pub(crate) fn try_quota(
        &self,
        workspace: &Workspace,
        request: &str,
        charge: Charge,
        now: Instant,
    ) -> Result<(), Duration> {
        let Some(limit) = &workspace.quota else { return Ok(()) };
        let (window, tolerance) = {
            let reloaded = self.reloaded.borrow();
            (reloaded.quota_window, reloaded.quota_tolerance)
        };
        let zone = &self.settings.zone;
        let mut others =
            self.peers.borrow().quota_use_of_others(zone, &workspace.name, window, now);
        let nodes = self.nodes();
        others.unseen_nodes += nodes - others.nodes;
        others.nodes = nodes;
        let mut quotas = self.quotas.borrow_mut();
        let count = quotas.entry(workspace.name.clone()).or_default();
        let own = count.admitted.subwindow_sums(window, now);
        let terms = QuotaTerms { quota: limit, window, tolerance };
        let refused_here = count.refused.subwindow_sums(window, now).shortest();
        let refused = others.refused.saturating_add(refused_here);
        let crowd = Crowd { refused, draw: rand::random() };
        let excess = match quota::admits(terms, own, others, self.age(now), charge, crowd) {
            Ok(()) => {
                count.admitted.add(charge.cost, now);
                return Ok(());
            }
            Err(excess) => excess,
        };
        let mut used = own;
        used += others.reported;
        count.refused.add(charge.cost, now);
        let position = rand::random::<f64>();
        let after = quota::retry_after(limit, window, used, excess.cost, refused, position);
        self.decisions.write(&Decision::QuotaExceeded(QuotaExceeded {
            request,
            workspace: &workspace.name,
            cost: charge.cost,
            excess: excess.cost,
            subwindow_ms: millis(excess.subwindow),
            limit: quota::window_limit(limit, window),
            own: own.0,
            reported: others.reported.0,
            silent_nodes: others.silent_nodes,
            unseen_nodes: others.unseen_nodes,
            nodes: others.nodes,
            retry_after_ms: millis(after),
        }));
        Err(after)
    }

    fn age(&self, now: Instant) -> ProcessAge {
        if self.settings.is_first_start {
            return ProcessAge::FirstStart;
        }
        ProcessAge::Restarted(now.saturating_duration_since(self.started))
    }

    /// Returns each workspace's usage on this node within the quota window.
    pub(crate) fn quota_use(&self, now: Instant) -> Vec<(WorkspaceName, ReportedUsage)> {
        let window = self.reloaded.borrow().quota_window;
        let Some(table) = self.table() else { return Vec::new() };
        let nodes = self.nodes();
        let mut quotas = self.quotas.borrow_mut();
        let mut used = Vec::new();
        for workspace in table.workspaces() {
            let Some(limit) = &workspace.quota else { continue };
            let mut admitted = quota::assumed_usage(limit, window, nodes, self.age(now));
            let mut refused = 0;
            if let Some(count) = quotas.get_mut(&workspace.name) {
                admitted += count.admitted.subwindow_sums(window, now);
                refused = count.refused.subwindow_sums(window, now).shortest();
            }
            if !admitted.is_empty() || refused > 0 {
                used.push((workspace.name.clone(), ReportedUsage { admitted, refused }));
            }
        }
        used
    }

    /// Returns the oldest usage window that may still be reported.
    pub(crate) fn oldest_usage_window(&self) -> UsageWindow {
        let due = self.settings.usage_due + self.settings.usage_window;
        self.usage.borrow().window_at(self.clock.now().saturating_sub(due))
    }

    /// Returns how much older state from other availability zones is than state from this one.
    pub(crate) fn cross_zone_lag(&self) -> Duration {
        self.peers.borrow().cross_zone_interval().saturating_sub(schedule::INTERVAL)
    }

    /// Returns the number of nodes in the cluster, but at least the number of seeds plus one,
    /// since not all nodes are known shortly after the start.
    pub(crate) fn nodes(&self) -> u32 {
        let seeds = u32::try_from(self.reloaded.borrow().seeds.len()).unwrap_or(u32::MAX);
        self.peers.borrow().node_count().max(seeds.saturating_add(1))
    }

    pub(crate) fn count_request(&self, service: &ServiceName, demand: Demand, now: Instant) {
        let mut retries = self.retries.borrow_mut();
        retries.entry(service.clone()).or_default().count_request(now);
        let mut totals = self.demand.borrow_mut();
        let total = totals.entry(service.clone()).or_default();
        total.requests += demand.requests;
        total.prompt_tokens += demand.prompt_tokens;
    }

    /// Counts prompt tokens that an engine has to process.
    pub(crate) fn count_prefill(&self, service: &ServiceName, tokens: u32) {
        let mut totals = self.demand.borrow_mut();
        totals.entry(service.clone()).or_default().prefill_tokens += u64::from(tokens);
    }

    /// Records the time to the first token of a request.
    pub(crate) fn record_first_token(&self, service: &ServiceName, tokens: u64, time: Duration) {
        let mut totals = self.demand.borrow_mut();
        totals.entry(service.clone()).or_default().speed.record(tokens, time);
    }

    /// Fits the speed of each service's engines to the observations of all nodes.
    pub(crate) fn update_engine_speeds<'a>(&self, digests: impl Iterator<Item = &'a Digest>) {
        let mut samples: HashMap<ServiceName, SpeedSamples> = HashMap::new();
        for (service, demand) in self.demand.borrow().iter() {
            *samples.entry(service.clone()).or_default() += demand.speed;
        }
        for reported in digests.flat_map(|digest| &digest.demand) {
            *samples.entry(reported.service.clone()).or_default() += reported.speed;
        }
        let fitted = samples.into_iter().map(|(service, samples)| (service, samples.fit()));
        self.speeds.replace(fitted.collect());
    }

    /// Returns the speed of a service's engines.
    pub(crate) fn engine_speed(&self, service: &ServiceName) -> EngineSpeed {
        self.speeds.borrow().get(service).copied().unwrap_or_default()
    }

    pub(crate) fn count_rejected(&self, service: &ServiceName) {
        self.demand.borrow_mut().entry(service.clone()).or_default().refused += 1;
    }

    /// Draws one retry from the service's retry budget; returns false if it is exhausted.
    pub(crate) fn try_retry(&self, service: &ServiceName, now: Instant) -> bool {
        let nodes = self.nodes();
        let mut retries = self.retries.borrow_mut();
        let budget = retries.entry(service.clone()).or_default();
        budget.try_take(&self.reloaded.borrow().retry, nodes, now)
    }
}
