//! Types of the configuration objects.

use std::time::Duration;

use lycheelatch_prelude::{
    AdapterName, InstanceClass, Labels, ModelName, ModelVersion, Name, ServiceName, WorkspaceName,
};
use serde::{Deserialize, Serialize};

use crate::{Selector, TokenHash};

/// Kind of a service, by the type of its upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// The upstreams are model inference engines.
    Model,
    /// The upstreams are plain HTTP servers.
    Plain,
}

/// A service: a name that clients send requests to, and the settings for those requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service; clients of a model service send it as `model`.
    pub name: ServiceName,
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Limits on requests to the service.
    #[serde(default)]
    pub limits: ServiceLimits,
    /// Latency target.
    #[serde(default)]
    pub latency: LatencyTarget,
    /// Model that the service's instances load.
    #[serde(default)]
    pub model: Option<ModelSpec>,
    /// Whether the upstreams reject commands with an outdated fencing number.
    #[serde(default)]
    pub checks_fences: bool,
    /// Autoscaling settings; `None` if lycheelatch doesn't start or stop instances of the service.
    #[serde(default)]
    pub fleet: Option<FleetSpec>,
}

/// Limits on requests to a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceLimits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout of a request that doesn't specify one, in milliseconds.
    pub default_timeout_ms: u64,
    /// Maximum timeout that a client may request, in milliseconds.
    pub max_timeout_ms: u64,
    /// Maximum time that a request waits in the queue, in milliseconds.
    pub max_queue_ms: u64,
    /// Retry budget: retries allowed per 100 first attempts.
    pub retry_percent: u32,
    /// Time without progress after which an upstream connection is considered failed, in
    /// milliseconds.
    pub silence_ms: u64,
    /// Maximum number of requests in flight per upstream.
    pub max_in_flight_per_upstream: u32,
}

impl Default for ServiceLimits {
    fn default() -> ServiceLimits {
        ServiceLimits {
            max_body_bytes: 1024 * 1024,
            default_timeout_ms: 60_000,
            max_timeout_ms: 600_000,
            max_queue_ms: 500,
            retry_percent: 10,
            silence_ms: 5_000,
            max_in_flight_per_upstream: 256,
        }
    }
}

impl ServiceLimits {
    /// Returns the timeout of a request for which the client requested `requested`.
    pub fn timeout(&self, requested: Option<Duration>) -> Duration {
        let requested = requested.unwrap_or(Duration::from_millis(self.default_timeout_ms));
        requested.min(Duration::from_millis(self.max_timeout_ms))
    }
}

/// Latency target of a service, at the 95th percentile.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LatencyTarget {
    /// Time to the first token or byte, in milliseconds.
    pub first_token_ms: u64,
    /// Time between tokens, in milliseconds.
    pub between_tokens_ms: u64,
}

impl Default for LatencyTarget {
    fn default() -> LatencyTarget {
        LatencyTarget { first_token_ms: 320, between_tokens_ms: 37 }
    }
}

/// A model, its version and an optional adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Name of the model in the weight store.
    pub model: ModelName,
    /// Version of the model.
    pub version: ModelVersion,
    /// Adapter to load on top of the model.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
}

/// Autoscaling settings of a service's instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// Machine classes that may be purchased, with the capacity of one instance.
    pub classes: Vec<ClassCapacity>,
    /// Minimum number of instances.
    pub min_instances: u32,
    /// Maximum number of instances.
    pub max_instances: u32,
    /// Maximum share of reclaimable (spot) instances, in percent.
    #[serde(default = "all_percent")]
    pub max_reclaimable_percent: u32,
    /// Labels given to the upstreams that are started.
    #[serde(default)]
    pub labels: Labels,
}

fn all_percent() -> u32 {
    100
}

/// Capacity of one instance of a machine class at the latency target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassCapacity {
    /// Machine class.
    pub class: InstanceClass,
    /// Capacity of one instance, in tokens per second for a model service or requests per second
    /// for a plain service.
    pub units_per_second: f64,
}

/// A workspace: a tenant on whose behalf requests are sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Salted hashes of its bearer tokens.
    #[serde(default)]
    pub tokens: Vec<TokenHash>,
    /// Weight of the workspace's share of capacity, relative to other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Services that it may call; empty allows all.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Limits on the workspace's requests.
    #[serde(default)]
    pub limits: WorkspaceLimits,
    /// Default labels of the workspace's requests; a request may override them.
    #[serde(default)]
    pub labels: Labels,
}

fn default_weight() -> u32 {
    100
}

/// Limits on the requests of a workspace; `None` means unlimited.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkspaceLimits {
    /// Maximum number of requests per second, over all nodes.
    pub requests_per_second: Option<u32>,
    /// Maximum number of requests in flight per node.
    pub max_in_flight: Option<u32>,
}

/// A placement rule: selects the upstreams that matching requests are sent to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementRule {
    /// Name of the rule.
    pub name: Name,
    /// Service that the rule applies to; `None` means all services.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Selects requests by their labels.
    #[serde(default)]
    pub requests: Selector,
    /// Selects upstreams by their labels.
    #[serde(default)]
    pub upstreams: Selector,
    /// Effect on the selected upstreams.
    pub effect: Effect,
}

/// Effect of a placement rule on the upstreams that it selects.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Effect {
    /// Only the selected upstreams may be used.
    Require,
    /// The selected upstreams are used as long as they have free capacity.
    Prefer,
    /// Load is spread evenly over the values of a label.
    Spread {
        /// Key of the label.
        key: lycheelatch_prelude::LabelKey,
    },
    /// The traffic share of each selected upstream is multiplied by a factor.
    Weight {
        /// The factor, in percent.
        percent: u32,
    },
}
