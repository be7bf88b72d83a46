//! Retries by policy, within the retry budget and the deadline.
//!
//! Requests that are themselves retries of the caller are not retried again.

use std::sync::Arc;

use lycheelatch_policy::{RetryContext, RetryPolicy};
use tokio::time::Instant;

use super::LoadControl;
use crate::{FailedAttempt, Permit, Retry};

/// Allows retries according to the retry policy.
pub struct RetryByPolicy(Arc<LoadControl>);

impl RetryByPolicy {
    /// Creates the policy.
    pub fn new(control: Arc<LoadControl>) -> RetryByPolicy {
        RetryByPolicy(control)
    }
}

impl Retry for RetryByPolicy {
    fn allow(&self, failed: &FailedAttempt<'_>) -> bool {
        let (rec, now) = (failed.rec, Instant::now());
        let (service, workspace) = (&rec.service().name, &rec.workspace().name);
        let mut state = self.0.lock();
        let cx = RetryContext {
            caller_attempt: rec.head.attempt,
            is_caller_retry: rec.permit.as_deref().is_some_and(Permit::is_retry),
            attempts: u32::try_from(failed.attempts).unwrap_or(u32::MAX),
            idempotency: rec.idempotency,
            deadline: rec.deadline.unwrap_or(now),
            expected: state.admission.run_time(service),
        };
        let cost = rec.prompt().cost();
        let withdraw = || state.admission.withdraw_retry_for(now, service, workspace, cost);
        let decision = RetryPolicy.check_retry(now, failed.err.reached(), &cx, withdraw);
        if let Err(err) = decision {
            log::debug!("load: request {} is not retried: {err}", rec.id());
        }
        decision.is_ok()
    }
}
