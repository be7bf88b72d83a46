//! Calls to the platform's API that only the leader makes.

use std::time::Duration;

use async_trait::async_trait;
use displaydoc::Display;
use lycheelatch_prelude::{Fence, ServiceName, ZoneName};
use serde::Serialize;

use crate::usage::{UsageWindow, WindowCounts};

/// How an upstream's instance is purchased from the cloud provider.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PurchaseOption {
    /// Runs until it is released.
    OnDemand,
    /// The provider may reclaim it at any time.
    Reclaimable,
}

/// Desired number of upstreams of one service and purchase option in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityOrder {
    /// The service.
    pub service: ServiceName,
    /// The availability zone.
    pub zone: ZoneName,
    /// Purchase option of the upstreams.
    pub purchase: PurchaseOption,
    /// Desired number of upstreams.
    pub count: u32,
}

/// Why a call to the platform's API failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum PlatformApiError {
    /// none are to be had there at the moment
    NoneAvailable,
    /// refused with status {0}
    Refused(u16),
    /// no answer: {0}
    NoAnswer(std::sync::Arc<str>),
}

impl std::error::Error for PlatformApiError {}

/// Calls to the platform's API that only the leader makes, with its fencing number.
#[async_trait(?Send)]
pub trait PlatformApi {
    /// Returns the longest time from the sending of a call to its arrival, also if the call is
    /// given up or this process ends, and whatever happens to the path.
    fn max_delivery(&self) -> Duration;

    /// Reports the requests per workspace of one usage window.
    async fn report_usage(
        &self,
        fence: Fence,
        window: UsageWindow,
        counts: &WindowCounts,
    ) -> Result<(), PlatformApiError>;

    /// Sets the desired number of upstreams.
    async fn order_capacity(
        &self,
        fence: Fence,
        order: &CapacityOrder,
    ) -> Result<(), PlatformApiError>;
}
