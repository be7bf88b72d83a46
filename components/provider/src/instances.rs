//! The instance list: live and leaving instances, with a lag.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use displaydoc::Display;
use lycheelatch_prelude::{
    InstanceClass, InstanceId, Labels, RegionName, ServiceName, UpstreamId, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::Purchase;

/// State of an instance as the list has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// Takes work.
    Live,
    /// Goes soon.
    Leaving,
}

/// One instance of the list: an upstream's, or one of our own nodes'.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Identity of the instance at the cloud.
    pub instance: InstanceId,
    /// Identity of the upstream on it.
    pub upstream: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Availability zone it runs in.
    pub zone: ZoneName,
    /// Region of the availability zone.
    pub region: RegionName,
    /// Machine class.
    pub class: InstanceClass,
    /// How it is paid for.
    pub purchase: Purchase,
    /// State as the list has it.
    pub state: ListedState,
    /// Labels of the upstream.
    pub labels: Labels,
}

/// Why reading the instance list failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum InstanceListError {
    /// the instance list can't be reached: {reason}
    Unavailable {
        /// What was seen.
        reason: Arc<str>,
    },
    /// the instance list can't be read: {reason}
    InvalidResponse {
        /// What was seen.
        reason: Arc<str>,
    },
}

impl std::error::Error for InstanceListError {}

/// The instance list.
#[async_trait(?Send)]
pub trait InstanceList: Send + Sync {
    /// Lists every live and leaving instance.
    async fn list(&self) -> Result<Vec<ListedInstance>, InstanceListError>;
}
