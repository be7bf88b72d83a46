//! Calls to the platform that one node makes for all.

use async_trait::async_trait;
use displaydoc::Display;
use lycheelatch_prelude::{Fence, ServiceName, ZoneName};
use serde::Serialize;

use crate::usage::{UsageWindow, WindowCounts};

/// Kind of an upstream at the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PurchaseOption {
    /// Stays until it is given back.
    OnDemand,
    /// May be taken back at any time.
    Reclaimable,
}

/// Order for the upstreams of one service and kind in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityOrder {
    /// The service.
    pub service: ServiceName,
    /// The availability zone.
    pub zone: ZoneName,
    /// Kind of the upstreams.
    pub purchase: PurchaseOption,
    /// How many there shall be.
    pub count: u32,
}

/// Why a call was not carried out.
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

/// The calls that one node makes for all.
#[async_trait(?Send)]
pub trait PlatformApi {
    /// Reports the requests of one window.
    async fn report_usage(
        &self,
        fence: Fence,
        window: UsageWindow,
        counts: &WindowCounts,
    ) -> Result<(), PlatformApiError>;

    /// Orders upstreams.
    async fn order_capacity(
        &self,
        fence: Fence,
        order: &CapacityOrder,
    ) -> Result<(), PlatformApiError>;
}
