//! Ends each request with exactly one outcome.

use std::{sync::Arc, time::Duration};

use lycheelatch_claims::{ClaimTicket, Settlement, StoredResponse};
use lycheelatch_prelude::{Outcome, RequestId};
use tokio::time::{Instant, timeout};

use crate::{Proxy, Record};

/// Maximum time that a response is delayed by settling its claim.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Counts a request as open until dropped.
pub(crate) struct OpenRequestGuard(Arc<Proxy>);

impl OpenRequestGuard {
    pub(crate) fn new(proxy: Arc<Proxy>) -> OpenRequestGuard {
        proxy.metrics.open.inc();
        OpenRequestGuard(proxy)
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.metrics.open.dec();
    }
}

/// Records the outcome of a request and settles its claim.
pub(crate) async fn settle(
    proxy: &Proxy,
    rec: &mut Record,
    outcome: Outcome,
    response: Option<StoredResponse>,
) {
    record_outcome(proxy, rec, outcome);
    if let Some(ticket) = rec.claim.take() {
        let settled = settle_claim(proxy, ticket, rec.id(), outcome, response);
        if timeout(SETTLE_TIMEOUT, settled).await.is_err() {
            log::warn!(
                "proxy: claim of request {} not settled within {} ms",
                rec.id(),
                SETTLE_TIMEOUT.as_millis()
            );
        }
    }
}

/// Records the outcome of a request whose caller disconnected, and settles its claim in a
/// background task.
pub(crate) fn settle_later(proxy: &Arc<Proxy>, rec: &mut Record, outcome: Outcome) {
    record_outcome(proxy, rec, outcome);
    let Some(ticket) = rec.claim.take() else { return };
    let (proxy, id) = (proxy.clone(), rec.id().clone());
    actix_web::rt::spawn(async move {
        settle_claim(&proxy, ticket, &id, outcome, None).await;
    });
}

fn record_outcome(proxy: &Proxy, rec: &mut Record, outcome: Outcome) {
    if let Some(mut permit) = rec.permit.take() {
        permit.set_outcome(outcome);
    }
    let service = rec.service.as_ref().map_or("", |service| service.name.as_str());
    let workspace = rec.workspace.as_ref().map_or("", |workspace| workspace.name.as_str());
    proxy.metrics.requests.with_label_values(&[service, workspace, outcome.as_str()]).inc();
    let ms = Instant::now().saturating_duration_since(rec.head.arrived).as_millis();
    log::info!(
        request = rec.id().as_str(), service = service, workspace = workspace, ms = ms as u64;
        "proxy: request {} to {service} is {outcome}", rec.id()
    );
}

async fn settle_claim(
    proxy: &Proxy,
    ticket: ClaimTicket,
    id: &RequestId,
    outcome: Outcome,
    response: Option<StoredResponse>,
) {
    let settlement = match (outcome, response) {
        (Outcome::NotRun, _) => Settlement::NotRun,
        (Outcome::Complete | Outcome::Failed, Some(response)) => Settlement::Finished(response),
        _ => Settlement::Unknown,
    };
    if let Err(err) = proxy.claims.settle(ticket, settlement).await {
        log::warn!("proxy: failed to settle the claim of request {id}: {err}");
    }
}
