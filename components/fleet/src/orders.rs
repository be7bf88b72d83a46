//! Sends orders to engines under a lease.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use displaydoc::Display;
use lycheelatch_prelude::{Fence, UpstreamId};
use lycheelatch_provider::KeyValue;
use lycheelatch_upstream::{Engine, Order, OrderKind, Reached, UpstreamError};
use tokio::time::{Instant, timeout};

use crate::{
    lease::{MAX_ORDER_DELAY, Permit, ShardLease},
    order_lock::{OrderLock, OrderLockError},
};

/// Reason why an order was not sent, or how it failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum OrderError {
    /// this node is not certain to hold the lease
    NotHolder,
    /// orders of the previous holder may still arrive
    TooEarly,
    /// {0}
    Lock(OrderLockError),
    /// {0}
    Engine(UpstreamError),
    /// the engine did not respond to the order in time
    TimedOut,
}

impl std::error::Error for OrderError {}

/// Sends orders to the engines of one service shard.
pub struct Orders {
    lease: Arc<ShardLease>,
    lock: OrderLock,
    /// Engines to which an order may still be in flight, and the time until which it may be.
    unsettled: Mutex<HashMap<UpstreamId, Instant>>,
}

impl Orders {
    /// Creates a sender of orders under `lease`.
    pub fn new(lease: Arc<ShardLease>, kv: Arc<dyn KeyValue>) -> Orders {
        Orders { lease, lock: OrderLock::new(kv), unsettled: Mutex::default() }
    }

    /// Sends one order, if this node is certain to hold the lease.
    ///
    /// Returns an error if the order was not sent, was refused or got no response.
    pub async fn send(
        &self,
        upstream: &UpstreamId,
        engine: &dyn Engine,
        checks_fences: bool,
        kind: OrderKind,
    ) -> Result<(), OrderError> {
        let Permit { fence, unfenced_from, .. } = self.permit()?;
        if checks_fences {
            return send_order(engine, Order { fence, kind }).await;
        }
        if Instant::now() < unfenced_from {
            return Err(OrderError::TooEarly);
        }
        self.lock.acquire(upstream, fence).await.map_err(OrderError::Lock)?;
        // Acquiring the lock may have outlasted the lease.
        self.permit()?;
        let result = send_order(engine, Order { fence, kind }).await;
        self.record_result(upstream, &result);
        if !self.is_unsettled(upstream) {
            self.release_lock(upstream, fence).await;
        }
        result
    }

    /// Returns whether an order to any engine may still be in flight.
    pub fn has_unsettled(&self) -> bool {
        let mut unsettled = self.unsettled.lock().unwrap();
        unsettled.retain(|_, until| *until > Instant::now());
        !unsettled.is_empty()
    }

    fn permit(&self) -> Result<Permit, OrderError> {
        self.lease.permit(Instant::now()).ok_or(OrderError::NotHolder)
    }

    fn record_result(&self, upstream: &UpstreamId, result: &Result<(), OrderError>) {
        let is_settled = match result {
            Ok(()) => true,
            Err(OrderError::Engine(err)) => err.reached() == Reached::NotRun,
            Err(_) => false,
        };
        if !is_settled {
            let until = Instant::now() + MAX_ORDER_DELAY;
            self.unsettled.lock().unwrap().insert(upstream.clone(), until);
        }
    }

    fn is_unsettled(&self, upstream: &UpstreamId) -> bool {
        let unsettled = self.unsettled.lock().unwrap();
        unsettled.get(upstream).is_some_and(|until| *until > Instant::now())
    }

    async fn release_lock(&self, upstream: &UpstreamId, fence: Fence) {
        if let Err(err) = self.lock.release(upstream, fence).await {
            log::warn!("fleet: failed to clear the record of an order to {upstream}: {err}.");
        }
    }
}

async fn send_order(engine: &dyn Engine, order: Order) -> Result<(), OrderError> {
    let answer = timeout(MAX_ORDER_DELAY, engine.order(&order)).await;
    answer.map_err(|_| OrderError::TimedOut)?.map_err(OrderError::Engine)
}

/// Returns the higher fencing number that the engine has seen, if it refused a stale order.
pub fn stale_fence(err: &OrderError) -> Option<Fence> {
    match err {
        OrderError::Engine(UpstreamError::StaleFence { seen, .. }) => Some(*seen),
        _ => None,
    }
}
