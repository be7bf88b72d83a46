//! Lets requests in as far as there is room.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use lycheelatch_prelude::Outcome;

use crate::{Filter, FilterDecision, Record, Refusal, RefusalReason, Registry};

/// Room that an admitted request takes up until it is dropped.
pub trait Permit {
    /// Learns what became of the request, before it is dropped.
    fn set_outcome(&mut self, _outcome: Outcome) {}

    /// Returns whether the request was taken for a retry of an earlier one.
    fn is_retry(&self) -> bool {
        false
    }
}

/// Time after which a refused caller is told to try again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Admits as many requests as the upstreams of their services may have in flight.
pub struct AdmitInFlight {
    registry: Arc<Registry>,
    in_flight: Arc<AtomicUsize>,
}

impl AdmitInFlight {
    /// Creates the filter.
    pub fn new(registry: Arc<Registry>) -> AdmitInFlight {
        AdmitInFlight { registry, in_flight: Arc::default() }
    }
}

struct InFlightPermit(Arc<AtomicUsize>);

impl Permit for InFlightPermit {}

impl Drop for InFlightPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[async_trait(?Send)]
impl Filter for AdmitInFlight {
    async fn apply(&self, rec: &mut Record) -> Result<FilterDecision, Refusal> {
        let service = rec.service();
        let upstreams = self.registry.available(&service.name).len();
        let room = upstreams * service.limits.max_in_flight_per_upstream as usize;
        let permit = InFlightPermit(self.in_flight.clone());
        if self.in_flight.fetch_add(1, Ordering::Relaxed) >= room {
            let name = service.name.clone();
            let reason = match upstreams {
                0 => RefusalReason::NoUpstream(name),
                _ => RefusalReason::Overloaded,
            };
            return Err(Refusal::not_run(reason).retry_after(RETRY_AFTER));
        }
        rec.permit = Some(Box::new(permit));
        Ok(FilterDecision::Continue)
    }
}
