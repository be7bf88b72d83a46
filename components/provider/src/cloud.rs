//! The cloud API: instances, offers and reclaim notices.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use displaydoc::Display;
use lycheelatch_prelude::{InstanceClass, InstanceId, Labels, Sequence, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// How an instance is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purchase {
    /// Cheap; the cloud may take it back on a few seconds' notice.
    Reclaimable,
    /// Kept until it is stopped.
    OnDemand,
}

/// State of an instance at the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Ordered and not yet running.
    Starting,
    /// Running.
    Running,
    /// Announced to go.
    Leaving,
    /// Gone.
    Gone,
}

/// One instance at the cloud.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Identity of the instance.
    pub id: InstanceId,
    /// Service that it was started for.
    pub service: ServiceName,
    /// Availability zone it runs in.
    pub zone: ZoneName,
    /// Machine class.
    pub class: InstanceClass,
    /// How it is paid for.
    pub purchase: Purchase,
    /// State as the cloud knows it.
    pub state: InstanceState,
}

/// What the cloud sells: a class in a zone, with its price.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    /// Availability zone.
    pub zone: ZoneName,
    /// Machine class.
    pub class: InstanceClass,
    /// How it is paid for.
    pub purchase: Purchase,
    /// Price of one hour, in the account's currency.
    pub price_per_hour: f64,
}

/// An order to start one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartInstance {
    /// Token that makes a repeated order start nothing new.
    pub token: Arc<str>,
    /// Service to start it for.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Machine class.
    pub class: InstanceClass,
    /// How it is paid for.
    pub purchase: Purchase,
    /// Labels of the upstream that will run on it.
    pub labels: Labels,
}

/// Notice that the cloud takes an instance back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReclaimNotice {
    /// Position in the stream of notices.
    pub sequence: Sequence,
    /// Instance that goes.
    pub instance: InstanceId,
    /// Time left until it goes, from when the notice was read.
    pub remaining: Duration,
    /// Whether this withdraws an earlier notice.
    pub withdrawn: bool,
}

/// Why a call to the cloud API failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum CloudError {
    /// the cloud has no capacity for {class} in {zone} now
    NoCapacity {
        /// Machine class that was asked for.
        class: InstanceClass,
        /// Availability zone that was asked for.
        zone: ZoneName,
    },
    /// the cloud API refused the call before doing anything: {reason}
    Unavailable {
        /// What was seen.
        reason: Arc<str>,
    },
    /// the cloud API's answer was lost, and the call may have taken effect: {reason}
    ResponseLost {
        /// What was seen.
        reason: Arc<str>,
    },
    /// the cloud API answered with something that can't be read: {reason}
    InvalidResponse {
        /// What was seen.
        reason: Arc<str>,
    },
}

impl std::error::Error for CloudError {}

/// The cloud API.
#[async_trait(?Send)]
pub trait Cloud: Send + Sync {
    /// Lists what can be bought, with prices of now.
    async fn offers(&self) -> Result<Vec<Offer>, CloudError>;

    /// Starts an instance; the same token never starts a second one.
    async fn start(&self, req: &StartInstance) -> Result<InstanceId, CloudError>;

    /// Stops an instance; stopping one that is gone succeeds.
    async fn stop(&self, id: &InstanceId) -> Result<(), CloudError>;

    /// Lists the instances that are not gone.
    async fn list(&self) -> Result<Vec<Instance>, CloudError>;

    /// Waits for reclaim notices after `after`, `wait` at most.
    async fn reclaim_notices(
        &self,
        after: Sequence,
        wait: Duration,
    ) -> Result<Vec<ReclaimNotice>, CloudError>;
}
