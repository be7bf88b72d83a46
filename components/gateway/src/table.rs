//! The routing table: routes, services, workspaces and their limits.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use lycheelatch_prelude::{ServiceName, WorkspaceName, ZoneName};

/// Priority of requests; 0 is the highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Priority(pub u8);

/// Whether a route's requests may run more than once, and whether they return streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests must run at most once.
    AtMostOnce,
    /// Requests return an event stream and must run at most once.
    Stream,
    /// Requests return an event stream that can be resumed on another upstream after the last
    /// event received.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request may be retried although it may have run.
    pub fn may_repeat(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }

    /// Returns whether responses are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// A service with its share of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, used in logs.
    pub name: Arc<str>,
    /// Host name in lower case.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Retry and streaming behaviour.
    pub kind: RouteKind,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Latency target of the response, or of its first event.
    pub target: Duration,
    /// Target for the maximum gap between two events.
    pub event_gap_target: Duration,
    /// Priority of requests whose workspace has none.
    pub priority: Priority,
    /// Services among which the requests are split.
    pub shares: Vec<WeightedService>,
    /// Maximum number of upstreams that a request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
}

/// Capacity of the inference engines of a model service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of an engine's KV cache, in tokens.
    pub memory_tokens: u64,
    /// Rate at which cached prompts are transferred between engines, in tokens per millisecond;
    /// `None` if transfers are not supported.
    pub transfer_tokens_per_ms: Option<f64>,
}

/// Scaling limits and prices of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingSpec {
    /// Minimum number of upstreams per availability zone.
    pub minimum: u32,
    /// Maximum number of upstreams per availability zone.
    pub maximum: u32,
    /// Time from the order of an upstream until it accepts requests.
    pub startup_time: Duration,
    /// Price of a reclaimable upstream relative to an on-demand one.
    pub reclaimable_price: f64,
    /// Price of an upstream in each availability zone.
    pub zone_prices: BTreeMap<ZoneName, f64>,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Unique name.
    pub name: ServiceName,
    /// Maximum number of connections that an upstream accepts from all nodes together.
    pub connection_limit: u32,
    /// Engine capacity, for a model service.
    pub engine: Option<EngineSpec>,
    /// Scaling parameters, if the gateway scales the service.
    pub scaling: Option<ScalingSpec>,
}

/// Cluster-wide limit of a workspace's usage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// Sustained rate, in tokens or requests per second.
    pub per_second: u64,
    /// Burst allowance, in tokens or requests.
    pub burst: u64,
    /// Tokens charged for a request without token counts; `None` if the unit is requests.
    pub plain_tokens: Option<u64>,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Unique name.
    pub name: WorkspaceName,
    /// Priority that overrides the route's.
    pub priority: Option<Priority>,
    /// Quota; `None` if unlimited.
    pub quota: Option<Quota>,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a complete request head.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A decoded configuration, before it is indexed for lookups.
#[derive(Debug, Clone, PartialEq)]
pub struct TableSource {
    /// Version; a higher version replaces a lower one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// All workspaces with their API keys.
    pub workspaces: Vec<KeyedWorkspace>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}

/// A workspace with its API keys.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyedWorkspace {
    /// The workspace.
    pub workspace: Workspace,
    /// API keys of the workspace.
    pub keys: Vec<Arc<str>>,
}

/// A routing table, indexed for lookups.
#[derive(Debug)]
pub struct RoutingTable {
    /// Version of the configuration.
    pub version: u64,
    /// Limits on callers' requests and connections.
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
    /// Returns the route of a host with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the workspace that an API key belongs to.
    pub fn workspace_of(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }

    /// Returns whether any workspaces are configured; if not, no request needs an API key.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns all workspaces.
    pub fn workspaces(&self) -> &[Arc<Workspace>] {
        &self.workspaces
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values()
    }

    /// Returns the longest timeout of any route; 0 if there are none.
    pub fn longest_timeout(&self) -> Duration {
        self.routes().map(|route| route.timeout).max().unwrap_or_default()
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}

/// Returns the host name of a `Host` header, which may be an IPv6 address in brackets.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

impl Route {
    /// Returns the services that share the route's traffic.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.shares.iter().filter(|share| share.weight > 0).map(|share| &share.service)
    }

    /// Picks a service by weight; `draw` is a uniform random number in `[0, 1)`.
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
