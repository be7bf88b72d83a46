//! Calls to the platform's API that only the leader makes.

use std::{future::Future, rc::Rc, time::Duration};

use async_trait::async_trait;
use displaydoc::Display;
use lycheelatch_prelude::{Fence, ServiceName, ZoneName};
use serde::Serialize;
use tokio::time::sleep;

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
    /// given up, as this node is no longer the leader
    LeadershipLost,
}

impl std::error::Error for PlatformApiError {}

/// Time between two checks during a call whether the permit is still valid.
const PERMIT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Right of this node to make the leader's calls, which may lapse at any time.
pub trait LeaderPermit {
    /// Returns the fencing number of the leadership.
    fn fence(&self) -> Fence;

    /// Returns whether the node may still act as the leader.
    fn is_valid(&self) -> bool;
}

/// Calls to the platform's API that only the leader makes, with its fencing number.
///
/// The permit is checked right before a call is written, since opening a connection takes time and
/// the process may have been paused since the caller's check.
#[async_trait(?Send)]
pub trait PlatformApi {
    /// Returns the longest time from the sending of a call to its arrival, also if the call is
    /// given up or this process ends, and whatever happens to the path.
    fn max_delivery(&self) -> Duration;

    /// Reports the requests per workspace of one usage window.
    async fn report_usage(
        &self,
        permit: Rc<dyn LeaderPermit>,
        window: UsageWindow,
        counts: &WindowCounts,
    ) -> Result<(), PlatformApiError>;

    /// Sets the desired number of upstreams.
    async fn order_capacity(
        &self,
        permit: Rc<dyn LeaderPermit>,
        order: &CapacityOrder,
    ) -> Result<(), PlatformApiError>;
}

/// Makes a call and gives it up once the permit has lapsed, so that what the kernel still holds of
/// it is discarded.
pub(crate) async fn call_while_valid(
    permit: &dyn LeaderPermit,
    call: impl Future<Output = Result<(), PlatformApiError>>,
) -> Result<(), PlatformApiError> {
    tokio::select! {
        biased;
        () = lapsed(permit) => Err(PlatformApiError::LeadershipLost),
        result = call => result,
    }
}

async fn lapsed(permit: &dyn LeaderPermit) {
    while permit.is_valid() {
        sleep(PERMIT_CHECK_INTERVAL).await;
    }
}
