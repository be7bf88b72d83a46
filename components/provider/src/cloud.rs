//! Interface to the cloud API: instances, offers and reclaim notices.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use displaydoc::Display;
use lycheelatch_prelude::{InstanceClass, InstanceId, Labels, Sequence, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// Purchase option of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purchase {
    /// Discounted; the cloud may reclaim the instance at a few seconds' notice.
    Reclaimable,
    /// Runs until it is stopped.
    OnDemand,
}

/// State of an instance in the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Ordered but not running yet.
    Starting,
    /// Running.
    Running,
    /// About to be stopped or reclaimed.
    Leaving,
    /// Stopped or reclaimed.
    Gone,
}

/// Instance in the cloud.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Service that it was started for.
    pub service: ServiceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Machine class.
    pub class: InstanceClass,
    /// Purchase option.
    pub purchase: Purchase,
    /// State reported by the cloud.
    pub state: InstanceState,
}

/// Machine class that the cloud offers in an availability zone, with its price.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    /// Availability zone.
    pub zone: ZoneName,
    /// Machine class.
    pub class: InstanceClass,
    /// Purchase option.
    pub purchase: Purchase,
    /// Hourly price, in the currency of the account.
    pub price_per_hour: f64,
}

/// Request to start an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartInstance {
    /// Idempotency token: a repeated request with it starts no second instance.
    pub token: Arc<str>,
    /// Service to start it for.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Machine class.
    pub class: InstanceClass,
    /// Purchase option.
    pub purchase: Purchase,
    /// Labels of the upstream that will run on it.
    pub labels: Labels,
}

/// Notice that the cloud will reclaim an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReclaimNotice {
    /// Position in the stream of notices.
    pub sequence: Sequence,
    /// Instance to be reclaimed.
    pub instance: InstanceId,
    /// Time until the instance is reclaimed, from when the notice was read.
    pub remaining: Duration,
    /// Whether this withdraws an earlier notice.
    pub withdrawn: bool,
}

/// Error of a call to the cloud API.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum CloudError {
    /// the cloud currently has no capacity for {class} in {zone}
    NoCapacity {
        /// Requested machine class.
        class: InstanceClass,
        /// Requested availability zone.
        zone: ZoneName,
    },
    /// the cloud API is unavailable, so the call had no effect: {reason}
    Unavailable {
        /// Cause of the error.
        reason: Arc<str>,
    },
    /// the response of the cloud API was lost, so the call may have taken effect: {reason}
    ResponseLost {
        /// Cause of the error.
        reason: Arc<str>,
    },
    /// invalid response from the cloud API: {reason}
    InvalidResponse {
        /// Cause of the error.
        reason: Arc<str>,
    },
}

impl std::error::Error for CloudError {}

/// Cloud API of the platform.
#[async_trait(?Send)]
pub trait Cloud: Send + Sync {
    /// Lists the current offers with their prices.
    async fn offers(&self) -> Result<Vec<Offer>, CloudError>;

    /// Starts an instance; a repeated token starts no second one.
    async fn start(&self, req: &StartInstance) -> Result<InstanceId, CloudError>;

    /// Stops an instance; succeeds if it no longer exists.
    async fn stop(&self, id: &InstanceId) -> Result<(), CloudError>;

    /// Lists all instances that have not been stopped.
    async fn list(&self) -> Result<Vec<Instance>, CloudError>;

    /// Waits at most `wait` for reclaim notices after the position `after`.
    async fn reclaim_notices(
        &self,
        after: Sequence,
        wait: Duration,
    ) -> Result<Vec<ReclaimNotice>, CloudError>;
}
