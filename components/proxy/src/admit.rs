//! Admission by the number of requests in flight.

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

/// Capacity held by an admitted request, which is released on drop.
pub trait Permit {
    /// Records the outcome of the request; called at most once, before the permit is dropped.
    fn set_outcome(&mut self, _outcome: Outcome) {}

    /// Returns whether admission detected the request to be a retry of an earlier one.
    fn is_retry(&self) -> bool {
        false
    }
}

/// Value of `Retry-After` in refusals.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits the requests in flight by the number of upstreams of the service and its limit for each.
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
        let capacity = upstreams * service.limits.max_in_flight_per_upstream as usize;
        let permit = InFlightPermit(self.in_flight.clone());
        if self.in_flight.fetch_add(1, Ordering::Relaxed) >= capacity {
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
