//! Gives orders to engines under a lease.

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
    gate::{GateError, OrderGate},
    lease::{MAX_ORDER_IN_FLIGHT, Permit, ShardLease},
};

/// Why an order was not given, or how it failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum OrderError {
    /// this node does not surely hold the lease
    NotHolder,
    /// orders of the earlier holder may still arrive
    TooEarly,
    /// {0}
    Gate(GateError),
    /// {0}
    Engine(UpstreamError),
    /// the engine did not answer the order in time
    Silent,
}

impl std::error::Error for OrderError {}

/// Gives orders to the engines of one service shard.
pub struct Orders {
    lease: Arc<ShardLease>,
    gate: OrderGate,
    /// Engines whose last orders may still arrive, until these times.
    unanswered: Mutex<HashMap<UpstreamId, Instant>>,
}

impl Orders {
    /// Creates the giver of orders under `lease`.
    pub fn new(lease: Arc<ShardLease>, kv: Arc<dyn KeyValue>) -> Orders {
        Orders { lease, gate: OrderGate::new(kv), unanswered: Mutex::default() }
    }

    /// Gives one order, if this node surely holds the lease.
    pub async fn give(
        &self,
        upstream: &UpstreamId,
        engine: &dyn Engine,
        checks_fences: bool,
        kind: OrderKind,
    ) -> Result<(), OrderError> {
        let Permit { fence, unfenced_from, .. } = self.permit()?;
        if checks_fences {
            return send(engine, Order { fence, kind }).await;
        }
        if Instant::now() < unfenced_from {
            return Err(OrderError::TooEarly);
        }
        self.gate.open(upstream, fence).await.map_err(OrderError::Gate)?;
        // Opening the gate may have taken longer than the lease lasts.
        self.permit()?;
        let result = send(engine, Order { fence, kind }).await;
        self.note(upstream, &result);
        if !self.may_still_arrive(upstream) {
            self.close(upstream, fence).await;
        }
        result
    }

    /// Returns whether an order to some engine may still arrive.
    pub fn any_may_arrive(&self) -> bool {
        let mut unanswered = self.unanswered.lock().unwrap();
        unanswered.retain(|_, until| *until > Instant::now());
        !unanswered.is_empty()
    }

    fn permit(&self) -> Result<Permit, OrderError> {
        self.lease.permit(Instant::now()).ok_or(OrderError::NotHolder)
    }

    fn note(&self, upstream: &UpstreamId, result: &Result<(), OrderError>) {
        let is_settled = match result {
            Ok(()) => true,
            Err(OrderError::Engine(err)) => err.reached() == Reached::NotRun,
            Err(_) => false,
        };
        if !is_settled {
            let until = Instant::now() + MAX_ORDER_IN_FLIGHT;
            self.unanswered.lock().unwrap().insert(upstream.clone(), until);
        }
    }

    fn may_still_arrive(&self, upstream: &UpstreamId) -> bool {
        let unanswered = self.unanswered.lock().unwrap();
        unanswered.get(upstream).is_some_and(|until| *until > Instant::now())
    }

    async fn close(&self, upstream: &UpstreamId, fence: Fence) {
        if let Err(err) = self.gate.close(upstream, fence).await {
            log::warn!("fleet: the order to {upstream} stays entered: {err}.");
        }
    }
}

async fn send(engine: &dyn Engine, order: Order) -> Result<(), OrderError> {
    let answer = timeout(MAX_ORDER_IN_FLIGHT, engine.order(&order)).await;
    answer.map_err(|_| OrderError::Silent)?.map_err(OrderError::Engine)
}

/// Returns the fencing number of an order that the engine refused as old.
pub fn stale_fence(err: &OrderError) -> Option<Fence> {
    match err {
        OrderError::Engine(UpstreamError::StaleFence { seen, .. }) => Some(*seen),
        _ => None,
    }
}
