//! The objects that a configuration is made of.

use std::time::Duration;

use lycheelatch_prelude::{
    AdapterName, InstanceClass, Labels, ModelName, ModelVersion, Name, ServiceName, WorkspaceName,
};
use serde::{Deserialize, Serialize};

use crate::{Selector, TokenHash};

/// Kind of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Its upstreams are model engines.
    Model,
    /// Its upstreams speak plain HTTP.
    Plain,
}

/// A service: a name that callers use, and how requests to it are treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service; a model service's callers give it as `model`.
    pub name: ServiceName,
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Limits on its requests.
    #[serde(default)]
    pub limits: ServiceLimits,
    /// Latency that is to be kept.
    #[serde(default)]
    pub latency: LatencyTarget,
    /// Model that its runners load.
    #[serde(default)]
    pub model: Option<ModelSpec>,
    /// Whether its upstreams refuse an order with an old fencing number.
    #[serde(default)]
    pub checks_fences: bool,
    /// How its instances are bought; none: lycheelatch starts and stops none.
    #[serde(default)]
    pub fleet: Option<FleetSpec>,
}

/// Limits on the requests of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceLimits {
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time limit of a request that gives none, in milliseconds.
    pub default_timeout_ms: u64,
    /// Longest time limit that a caller may give, in milliseconds.
    pub max_timeout_ms: u64,
    /// Longest time in the queue, in milliseconds.
    pub max_queue_ms: u64,
    /// Retries allowed for each hundred fresh requests.
    pub retry_percent: u32,
    /// Time without progress after which an upstream connection is given up, in milliseconds.
    pub silence_ms: u64,
    /// Most requests in flight at one upstream.
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
    /// Time limit of a request, from what its caller asks for.
    pub fn timeout(&self, asked: Option<Duration>) -> Duration {
        let asked = asked.unwrap_or(Duration::from_millis(self.default_timeout_ms));
        asked.min(Duration::from_millis(self.max_timeout_ms))
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

/// A model, its version and adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Name of the model in the weight store.
    pub model: ModelName,
    /// Version of the model.
    pub version: ModelVersion,
    /// Adapter beside the model.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
}

/// How the instances of a service are bought.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// Machine classes that may be bought, with what one instance carries.
    pub classes: Vec<ClassCapacity>,
    /// Fewest instances.
    pub min_instances: u32,
    /// Most instances.
    pub max_instances: u32,
    /// Most instances of a hundred that may be reclaimable.
    #[serde(default = "all_percent")]
    pub max_reclaimable_percent: u32,
    /// Labels of the upstreams that are started.
    #[serde(default)]
    pub labels: Labels,
}

fn all_percent() -> u32 {
    100
}

/// What one instance of a machine class carries at the latency target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassCapacity {
    /// Machine class.
    pub class: InstanceClass,
    /// Load that one instance carries: tokens a second, or requests a second for a plain service.
    pub units_per_second: f64,
}

/// A workspace: whose requests they are.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Salted hashes of its bearer tokens.
    #[serde(default)]
    pub tokens: Vec<TokenHash>,
    /// Share of capacity against other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Services it may call; empty: all.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Limits on its requests.
    #[serde(default)]
    pub limits: WorkspaceLimits,
    /// Labels that each of its requests carries, unless the request gives its own.
    #[serde(default)]
    pub labels: Labels,
}

fn default_weight() -> u32 {
    100
}

/// Limits on the requests of one workspace; none where empty.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkspaceLimits {
    /// Most requests a second over all nodes.
    pub requests_per_second: Option<u32>,
    /// Most requests in flight at one node.
    pub max_in_flight: Option<u32>,
}

/// A placement rule: which upstreams the requests that match go to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementRule {
    /// Name of the rule.
    pub name: Name,
    /// Service it applies to; none: all.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Requests it applies to, by their labels.
    #[serde(default)]
    pub requests: Selector,
    /// Upstreams it speaks of, by their labels.
    #[serde(default)]
    pub upstreams: Selector,
    /// What it does.
    pub effect: Effect,
}

/// What a placement rule does with the upstreams that it selects.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Effect {
    /// Only these may be used.
    Require,
    /// These are used as long as they have room.
    Prefer,
    /// Load is spread evenly over the values of this label.
    Spread {
        /// Key of the label.
        key: lycheelatch_prelude::LabelKey,
    },
    /// The share of each of these is multiplied by this many hundredths.
    Weight {
        /// The factor, in hundredths.
        percent: u32,
    },
}
