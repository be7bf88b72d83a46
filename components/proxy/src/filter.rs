//! Filters and the pipe that joins them.

use std::sync::Arc;

use async_trait::async_trait;
use lycheelatch_claims::StoredResponse;
use tokio::time::Instant;

use crate::{Record, Refusal, RefusalReason};

/// What a filter decided.
#[derive(Debug, Clone, PartialEq)]
pub enum Flow {
    /// The request goes on.
    Continue,
    /// The request is answered with an answer of an earlier execution.
    Answer(StoredResponse),
}

/// One step of the pipeline before the request is placed.
#[async_trait(?Send)]
pub trait Filter: Send + Sync {
    /// Adds to the record, answers the request or refuses it.
    async fn apply(&self, rec: &mut Record) -> Result<Flow, Refusal>;
}

/// Passes a record through filters in order, checking its deadline before each.
pub(crate) async fn pass(filters: &[Arc<dyn Filter>], rec: &mut Record) -> Result<Flow, Refusal> {
    for filter in filters {
        if rec.time_left(Instant::now()).is_zero() {
            return Err(Refusal::not_run(RefusalReason::DeadlinePassed));
        }
        match filter.apply(rec).await? {
            Flow::Continue => {}
            answer => return Ok(answer),
        }
    }
    Ok(Flow::Continue)
}
