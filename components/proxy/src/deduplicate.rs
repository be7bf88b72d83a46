//! Claims the idempotency key of a request before its first attempt.

use std::sync::Arc;

use async_trait::async_trait;
use lycheelatch_claims::{BodyDigest, BodyHasher, ClaimDecision, Claims};
use tokio::time::Instant;

use crate::{Filter, FilterDecision, Record, Refusal, RefusalReason, RequestKind};

/// Runs each request with an idempotency key once and replays the stored response to repeats.
pub struct Deduplicate(Arc<Claims>);

impl Deduplicate {
    /// Creates the filter.
    pub fn new(claims: Arc<Claims>) -> Deduplicate {
        Deduplicate(claims)
    }
}

#[async_trait(?Send)]
impl Filter for Deduplicate {
    async fn apply(&self, rec: &mut Record) -> Result<FilterDecision, Refusal> {
        let Some(key) = rec.head.key.clone() else { return Ok(FilterDecision::Continue) };
        let digest = digest(rec);
        let (workspace, service) = (&rec.workspace().name, &rec.service().name);
        let time_left = rec.time_left(Instant::now());
        let decision = self.0.claim(workspace, service, &key, digest, rec.id(), time_left).await;
        let decision = decision
            .map_err(|err| Refusal::not_run(RefusalReason::ClaimFailed(err.to_string())))?;
        match decision {
            ClaimDecision::Acquired(ticket) => {
                rec.claim = Some(ticket);
                Ok(FilterDecision::Continue)
            }
            ClaimDecision::Finished(response) => Ok(FilterDecision::Respond(response)),
            ClaimDecision::Running { retry_after } => {
                Err(Refusal::unknown(RefusalReason::KeyRunning).retry_after(retry_after))
            }
            ClaimDecision::BodyMismatch => Err(Refusal::not_run(RefusalReason::KeyMismatch)),
            ClaimDecision::OutcomeUnknown => Err(Refusal::unknown(RefusalReason::KeyUnresolved)),
        }
    }
}

/// Returns the digest of the method, path and body of a request.
fn digest(rec: &Record) -> BodyDigest {
    let (method, path) = match &rec.kind {
        RequestKind::Model { path, .. } => ("POST", path),
        RequestKind::Plain { method, path } => (method.as_ref(), path),
    };
    let mut hasher = BodyHasher::default();
    for part in [method.as_bytes(), path.as_bytes()] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(rec.body.as_deref().unwrap_or_default());
    hasher.finish()
}
