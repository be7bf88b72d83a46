//! What every request of a node shares.

use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use lycheelatch_prelude::{ServiceName, WorkspaceName};
use lycheelatch_settings::{GatewaySettings, RetryLimit};
use tokio::{net::UdpSocket, sync::watch, time::Instant};

use crate::{
    ClusterClock, Dialect, Directory, GatewayMetrics, RoutingTable, Workspace,
    decision::{Decision, DecisionLog, NodeEvent, QuotaExceeded, log_event, millis},
    engine_load::PrefixHash,
    gossip,
    peers::PeerTable,
    quota::{self, ProcessAge, SlidingCounter, SubwindowUsage},
    retry_budget::RetryBudget,
    usage::Usage,
};

/// Time after the signal to stop in which requests are still taken.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2800);

/// A prompt that an engine has begun to read, for the other nodes to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SentPrompt {
    pub(crate) upstream: lycheelatch_prelude::UpstreamId,
    pub(crate) links: Vec<(PrefixHash, u32)>,
}

/// What every request of a node shares.
pub struct Gateway {
    /// Settings.
    pub settings: GatewaySettings,
    /// The upstreams.
    pub directory: Directory,
    /// Metrics.
    pub metrics: GatewayMetrics,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) decisions: DecisionLog,
    pub(crate) clock: Rc<ClusterClock>,
    pub(crate) usage: RefCell<Usage>,
    pub(crate) peers: RefCell<PeerTable>,
    pub(crate) sent_prompts: RefCell<Vec<SentPrompt>>,
    /// Whether this node holds the duties of one node for all.
    pub(crate) is_leader: Cell<bool>,
    pub(crate) datagrams: OnceCell<Rc<UdpSocket>>,
    pub(crate) demand: RefCell<BTreeMap<ServiceName, Demand>>,
    table: RefCell<Option<Rc<RoutingTable>>>,
    quotas: RefCell<HashMap<WorkspaceName, QuotaCount>>,
    retries: RefCell<HashMap<ServiceName, RetryBudget>>,
    has_upstreams: Cell<bool>,
    reloaded: RefCell<Reloadable>,
    started: Instant,
    stopping: Cell<Option<Instant>>,
    closing: watch::Sender<bool>,
    open: Cell<u32>,
}

/// Work that callers asked of a service since the start of this process.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Demand {
    /// Requests.
    pub(crate) requests: u64,
    /// Tokens to read.
    pub(crate) prompt_tokens: u64,
    /// Tokens to generate.
    pub(crate) generated_tokens: u64,
    /// Requests that were refused for lack of room.
    pub(crate) refused: u64,
}

/// Settings that take effect while the process runs.
#[derive(Debug, Clone, PartialEq)]
struct Reloadable {
    seeds: Vec<SocketAddr>,
    retry: RetryLimit,
    quota_window: Duration,
}

impl From<&GatewaySettings> for Reloadable {
    fn from(settings: &GatewaySettings) -> Reloadable {
        Reloadable {
            seeds: settings.seeds.clone(),
            retry: settings.retry,
            quota_window: settings.quota_window,
        }
    }
}

/// What a workspace asked of this node in the window of its limit.
#[derive(Debug, Default)]
struct QuotaCount {
    admitted: SlidingCounter,
    refused: SlidingCounter,
}

/// Counts a request for as long as it is open.
pub(crate) struct OpenRequest(Rc<Gateway>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
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
        let reloaded = Reloadable::from(&settings);
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
            is_leader: Cell::new(false),
            datagrams: OnceCell::new(),
            demand: RefCell::default(),
            table: RefCell::default(),
            quotas: RefCell::default(),
            retries: RefCell::default(),
            has_upstreams: Cell::new(false),
            reloaded: RefCell::new(reloaded),
            started: Instant::now(),
            stopping: Cell::new(None),
            closing: watch::Sender::new(false),
            open: Cell::new(0),
        }
    }

    /// Returns the routing table in force.
    pub fn table(&self) -> Option<Rc<RoutingTable>> {
        self.table.borrow().clone()
    }

    /// Takes a routing table over, unless a newer one is in force.
    pub fn set_table(&self, table: RoutingTable) {
        let mut current = self.table.borrow_mut();
        if current.as_ref().is_some_and(|current| current.version >= table.version) {
            return;
        }
        log_event(&NodeEvent::ConfigApplied { version: table.version });
        self.metrics.config_version.set(i64::try_from(table.version).unwrap_or(i64::MAX));
        *current = Some(Rc::new(table));
    }

    /// Takes changed settings over, as far as a running process can.
    pub fn reload(&self, settings: &GatewaySettings) {
        let new = Reloadable::from(settings);
        if *self.reloaded.borrow() != new {
            log_event(&NodeEvent::SettingsReloaded { seeds: new.seeds.len() });
            self.reloaded.replace(new);
        }
    }

    /// Returns the nodes to ask before the store has named any.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        self.reloaded.borrow().seeds.clone()
    }

    /// Takes note that the upstreams were read at least once.
    pub fn set_upstreams_known(&self) {
        self.has_upstreams.set(true);
    }

    /// Returns whether the node takes traffic.
    pub fn is_ready(&self) -> bool {
        self.is_initialized() && !self.is_stopping()
    }

    /// Returns whether the node holds a configuration and upstreams.
    pub fn is_initialized(&self) -> bool {
        self.table.borrow().is_some() && self.has_upstreams.get()
    }

    /// Stops being ready; answers from now on end their connections.
    pub fn start_stopping(&self) {
        self.stopping.set(Some(Instant::now()));
    }

    /// Returns whether the node stops.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Returns whether the node has stopped to take requests.
    pub(crate) fn rejects_requests(&self) -> bool {
        self.stopping.get().is_some_and(|at| at.elapsed() > ACCEPT_AFTER_STOP)
    }

    /// Closes idle connections of callers.
    pub(crate) fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// Tells when idle connections shall be closed.
    pub(crate) fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Returns how many requests are open.
    pub fn open_requests(&self) -> u32 {
        self.open.get()
    }

    pub(crate) fn open_request(self: &Rc<Self>) -> OpenRequest {
        self.open.set(self.open.get() + 1);
        OpenRequest(self.clone())
    }

    /// Draws a request's cost from its workspace's limit; else returns when to come back.
    pub(crate) fn try_quota(
        &self,
        workspace: &Workspace,
        cost: u64,
        now: Instant,
    ) -> Result<(), Duration> {
        let Some(limit) = &workspace.quota else { return Ok(()) };
        let window = self.reloaded.borrow().quota_window;
        let mut others = self.peers.borrow().quota_use_of_others(&workspace.name, window, now);
        let nodes = self.nodes();
        others.unseen_nodes += nodes - others.nodes;
        others.nodes = nodes;
        let mut quotas = self.quotas.borrow_mut();
        let count = quotas.entry(workspace.name.clone()).or_default();
        let own = count.admitted.subwindow_sums(window, now);
        if quota::admits(limit, window, own, others, self.age(now), cost) {
            count.admitted.add(cost, now);
            return Ok(());
        }
        count.refused.add(cost, now);
        let refused = count.refused.sum(window, now);
        let after = quota::retry_after(limit, refused, others.nodes);
        self.decisions.write(&Decision::QuotaExceeded(QuotaExceeded {
            workspace: &workspace.name,
            cost,
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

    /// Returns what each workspace was let through by this node in the window.
    pub(crate) fn quota_use(&self, now: Instant) -> Vec<(WorkspaceName, SubwindowUsage)> {
        let window = self.reloaded.borrow().quota_window;
        let Some(table) = self.table() else { return Vec::new() };
        let nodes = self.nodes();
        let mut quotas = self.quotas.borrow_mut();
        let mut used = Vec::new();
        for workspace in table.workspaces() {
            let Some(limit) = &workspace.quota else { continue };
            let count = quotas.get_mut(&workspace.name);
            let mut usage = quota::assumed_usage(limit, window, nodes, self.age(now));
            usage += count.map_or(SubwindowUsage::default(), |count| {
                count.admitted.subwindow_sums(window, now)
            });
            if !usage.is_empty() {
                used.push((workspace.name.clone(), usage));
            }
        }
        used
    }

    /// Returns the time beyond the usual that news from other availability zones takes.
    pub(crate) fn cross_zone_lag(&self) -> Duration {
        self.peers.borrow().cross_zone_interval().saturating_sub(gossip::INTERVAL)
    }

    /// Returns the number of nodes; seeds count while the others are not known yet.
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
        total.generated_tokens += demand.generated_tokens;
    }

    pub(crate) fn count_rejected(&self, service: &ServiceName) {
        self.demand.borrow_mut().entry(service.clone()).or_default().refused += 1;
    }

    /// Takes one send beyond the first, if the limit over all nodes allows it.
    pub(crate) fn try_retry(&self, service: &ServiceName, now: Instant) -> bool {
        let nodes = self.nodes();
        let mut retries = self.retries.borrow_mut();
        let budget = retries.entry(service.clone()).or_default();
        budget.try_take(&self.reloaded.borrow().retry, nodes, now)
    }
}
