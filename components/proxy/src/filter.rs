//! Filters of the request pipeline.

use std::sync::Arc;

use async_trait::async_trait;
use lycheelatch_claims::StoredResponse;
use tokio::time::Instant;

use crate::{Record, Refusal, RefusalReason};

/// Decision of a filter.
#[derive(Debug, Clone, PartialEq)]
pub enum FilterDecision {
    /// Continue with the next filter.
    Continue,
    /// Respond with the stored response of an earlier execution.
    Respond(StoredResponse),
}

/// A step of the pipeline before placement.
#[async_trait(?Send)]
pub trait Filter: Send + Sync {
    /// Extends the record, responds to the request or refuses it.
    async fn apply(&self, rec: &mut Record) -> Result<FilterDecision, Refusal>;
}

/// Applies the filters in order; checks the deadline before each.
pub(crate) async fn apply_all(
    filters: &[Arc<dyn Filter>],
    rec: &mut Record,
) -> Result<FilterDecision, Refusal> {
    for filter in filters {
        if rec.time_left(Instant::now()).is_zero() {
            return Err(Refusal::not_run(RefusalReason::DeadlinePassed));
        }
        match filter.apply(rec).await? {
            FilterDecision::Continue => {}
            response => return Ok(response),
        }
    }
    Ok(FilterDecision::Continue)
}
