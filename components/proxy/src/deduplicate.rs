//! Claims the idempotency key of a request before its first attempt.

use std::sync::Arc;

use async_trait::async_trait;
use lycheelatch_claims::{BodyDigest, BodyHasher, ClaimDecision, Claims};
use tokio::time::Instant;

use crate::{Filter, Flow, Kind, Record, Refusal, RefusalReason};

/// Lets a request with an idempotency key pass once.
pub struct Deduplicate(Arc<Claims>);

impl Deduplicate {
    /// Creates the filter.
    pub fn new(claims: Arc<Claims>) -> Deduplicate {
        Deduplicate(claims)
    }
}

#[async_trait(?Send)]
impl Filter for Deduplicate {
    async fn apply(&self, rec: &mut Record) -> Result<Flow, Refusal> {
        let Some(key) = rec.head.key.clone() else { return Ok(Flow::Continue) };
        let digest = digest(rec);
        let (workspace, service) = (&rec.workspace().name, &rec.service().name);
        let left = rec.time_left(Instant::now());
        let decision = self.0.claim(workspace, service, &key, digest, rec.id(), left).await;
        let decision = decision
            .map_err(|err| Refusal::not_run(RefusalReason::ClaimFailed(err.to_string())))?;
        match decision {
            ClaimDecision::Acquired(ticket) => {
                rec.claim = Some(ticket);
                Ok(Flow::Continue)
            }
            ClaimDecision::Finished(answer) => Ok(Flow::Answer(answer)),
            ClaimDecision::Running { retry_after } => {
                Err(Refusal::unknown(RefusalReason::KeyRunning).retry_after(retry_after))
            }
            ClaimDecision::BodyMismatch => Err(Refusal::not_run(RefusalReason::KeyMismatch)),
            ClaimDecision::OutcomeUnknown => Err(Refusal::unknown(RefusalReason::KeyUnresolved)),
        }
    }
}

/// Returns the digest of what a request asks for: method, path and body.
fn digest(rec: &Record) -> BodyDigest {
    let (method, path) = match &rec.kind {
        Kind::Model { path, .. } => ("POST", path),
        Kind::Plain { method, path } => (method.as_ref(), path),
    };
    let mut hasher = BodyHasher::default();
    for part in [method.as_bytes(), path.as_bytes()] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(rec.body.as_deref().unwrap_or_default());
    hasher.finish()
}
