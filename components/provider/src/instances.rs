//! Interface to the instance list: live and leaving instances, possibly out of date.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use displaydoc::Display;
use lycheelatch_prelude::{
    InstanceClass, InstanceId, Labels, RegionName, ServiceName, UpstreamId, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::Purchase;

/// State of an instance in the instance list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// Accepts requests.
    Live,
    /// About to be stopped.
    Leaving,
}

/// Entry of the instance list: an upstream or one of our own nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Cloud identifier of the instance.
    pub instance: InstanceId,
    /// Identifier of the upstream on the instance.
    pub upstream: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Region of the availability zone.
    pub region: RegionName,
    /// Machine class.
    pub class: InstanceClass,
    /// Purchase option.
    pub purchase: Purchase,
    /// State of the instance.
    pub state: ListedState,
    /// Labels of the upstream.
    pub labels: Labels,
}

/// Error of reading the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum InstanceListError {
    /// failed to reach the instance list: {reason}
    Unavailable {
        /// Cause of the error.
        reason: Arc<str>,
    },
    /// invalid response from the instance list: {reason}
    InvalidResponse {
        /// Cause of the error.
        reason: Arc<str>,
    },
}

impl std::error::Error for InstanceListError {}

/// Instance list of the platform.
#[async_trait(?Send)]
pub trait InstanceList: Send + Sync {
    /// Lists all live and leaving instances.
    async fn list(&self) -> Result<Vec<ListedInstance>, InstanceListError>;
}
