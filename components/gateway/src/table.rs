//! The routing table: hosts, paths, services, workspaces and limits.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use lycheelatch_prelude::{ServiceName, WorkspaceName, ZoneName};

/// Urgency of requests; 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Priority(pub u8);

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// Answers with events, and runs at most once.
    Stream,
    /// Answers with events, and may go on elsewhere after the last one.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request may run again after it may have begun.
    pub fn may_repeat(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }

    /// Returns whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// A service's share of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Weight beside the other shares.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host that it belongs to, in lower case.
    pub host: Arc<str>,
    /// Start of the paths, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is on time.
    pub target: Duration,
    /// Longest pause between events that is on time.
    pub event_gap_target: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: Priority,
    /// Services that run the requests.
    pub shares: Vec<WeightedService>,
    /// Most upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// How a model service's engines work.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that one engine's memory holds.
    pub memory_tokens: u64,
    /// Tokens of cached prompts that go from one engine to another in a millisecond.
    pub transfer_tokens_per_ms: Option<f64>,
}

/// Limits and prices of a service's size.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingSpec {
    /// Fewest upstreams of an availability zone.
    pub minimum: u32,
    /// Most upstreams of an availability zone.
    pub maximum: u32,
    /// Time until a new upstream serves.
    pub startup_time: Duration,
    /// Price of a reclaimable upstream as a share of an on-demand one's.
    pub reclaimable_price: f64,
    /// Price of an upstream by availability zone.
    pub zone_prices: BTreeMap<ZoneName, f64>,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name.
    pub name: ServiceName,
    /// Connections that one upstream takes from all nodes.
    pub connection_limit: u32,
    /// Its engines, for a model service.
    pub engine: Option<EngineSpec>,
    /// Its size, where this system orders it.
    pub scaling: Option<ScalingSpec>,
}

/// Limit of a workspace's work over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// Tokens, or requests, a second.
    pub per_second: u64,
    /// Tokens, or requests, beyond the rate.
    pub burst: u64,
    /// Tokens that a request without counts stands for; none: the unit is requests.
    pub plain_tokens: Option<u64>,
}

/// One workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name.
    pub name: WorkspaceName,
    /// Rank that goes before the route's.
    pub priority: Option<Priority>,
    /// Limit; none: unlimited.
    pub quota: Option<Quota>,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time within which a head must be complete.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A configuration as the operators wrote it, before it is indexed.
#[derive(Debug, Clone, PartialEq)]
pub struct TableSource {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Workspaces with their keys.
    pub workspaces: Vec<KeyedWorkspace>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// A workspace and its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyedWorkspace {
    /// The workspace.
    pub workspace: Workspace,
    /// Its keys.
    pub keys: Vec<Arc<str>>,
}

/// The routing table in force.
#[derive(Debug)]
pub struct RoutingTable {
    /// Version of the configuration.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: BTreeMap<ServiceName, Arc<ServiceSpec>>,
    workspaces: Vec<Arc<Workspace>>,
    keys: HashMap<Arc<str>, Arc<Workspace>>,
}

impl From<TableSource> for RoutingTable {
    fn from(source: TableSource) -> RoutingTable {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in source.routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = source.services.into_iter();
        let services = services.map(|service| (service.name.clone(), Arc::new(service))).collect();
        let mut workspaces = Vec::new();
        let mut keys = HashMap::new();
        for keyed in source.workspaces {
            let workspace = Arc::new(keyed.workspace);
            workspaces.push(workspace.clone());
            keys.extend(keyed.keys.into_iter().map(|key| (key, workspace.clone())));
        }
        let (version, limits) = (source.version, source.limits);
        RoutingTable { version, limits, hosts, services, workspaces, keys }
    }
}

impl RoutingTable {
    /// Finds the route of a host with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the workspace that holds a key.
    pub fn workspace_of(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }

    /// Returns whether requests need a key at all.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns the workspaces.
    pub fn workspaces(&self) -> &[Arc<Workspace>] {
        &self.workspaces
    }

    /// Returns a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// Returns every service.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values()
    }

    /// Returns every route.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}

impl Route {
    /// Picks a service by weight; `draw` lies in 0 to 1.
    pub fn pick(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = draw * f64::from(total);
        for share in &self.shares {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.iter().rev().find(|share| share.weight > 0).map(|share| &share.service)
    }
}
