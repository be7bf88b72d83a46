//! Ends a request in exactly one outcome.

use std::{sync::Arc, time::Duration};

use lycheelatch_claims::{ClaimTicket, Settlement, StoredResponse};
use lycheelatch_prelude::{Outcome, RequestId};
use tokio::time::{Instant, timeout};

use crate::{Proxy, Record};

/// Longest time that an answer waits for its claim to be settled.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Counts a request as open until it is settled.
pub(crate) struct Open(Arc<Proxy>);

impl Open {
    pub(crate) fn new(proxy: Arc<Proxy>) -> Open {
        proxy.metrics.open.inc();
        Open(proxy)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.metrics.open.dec();
    }
}

/// Notes the outcome of a request and settles its claim.
pub(crate) async fn settle(
    proxy: &Proxy,
    rec: &mut Record,
    outcome: Outcome,
    answer: Option<StoredResponse>,
) {
    note(proxy, rec, outcome);
    if let Some(ticket) = rec.claim.take() {
        let settled = settle_claim(proxy, ticket, rec.id(), outcome, answer);
        if timeout(SETTLE_TIMEOUT, settled).await.is_err() {
            log::warn!("proxy: request {} ends with its claim not settled", rec.id());
        }
    }
}

/// Notes the outcome of a request whose caller left, and settles its claim later.
pub(crate) fn settle_later(proxy: &Arc<Proxy>, rec: &mut Record, outcome: Outcome) {
    note(proxy, rec, outcome);
    let Some(ticket) = rec.claim.take() else { return };
    let (proxy, id) = (proxy.clone(), rec.id().clone());
    actix_web::rt::spawn(async move {
        settle_claim(&proxy, ticket, &id, outcome, None).await;
    });
}

fn note(proxy: &Proxy, rec: &mut Record, outcome: Outcome) {
    if let Some(mut permit) = rec.permit.take() {
        permit.settled(outcome);
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
    answer: Option<StoredResponse>,
) {
    let settlement = match (outcome, answer) {
        (Outcome::NotRun, _) => Settlement::NotRun,
        (Outcome::Complete | Outcome::Failed, Some(answer)) => Settlement::Finished(answer),
        _ => Settlement::Unknown,
    };
    if let Err(err) = proxy.claims.settle(ticket, settlement).await {
        log::warn!("proxy: claim of request {id}: {err}");
    }
}
