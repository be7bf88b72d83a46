//! Writes the statuses of roll-outs to the store.

use std::{rc::Rc, time::Duration};

use futures_util::future::join_all;
use lycheelatch_prelude::ServiceName;
use tokio::time::{Instant, sleep};

use crate::{
    Commit, CommitOutcome, Gateway, LeaderPermit, Leadership, RolloutStatus, Store, StoreError,
    StoreLayout, StoreRevision, event_log::millis,
};

#[cfg(test)]
mod tests;

/// Time between two checks whether a status has to be written.
const INTERVAL: Duration = Duration::from_millis(100);

/// Result of an attempt to write a status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StatusWrite {
    /// The store holds this status.
    Holds(RolloutStatus, StoreRevision),
    /// The store holds the status of a later order.
    Superseded,
    /// Another write came first, or this node is no longer the leader.
    Skipped,
}

/// Writes the statuses while this node is the leader, until the task is dropped.
pub(crate) async fn run(
    gateway: Rc<Gateway>,
    store: Rc<dyn Store>,
    layout: Rc<dyn StoreLayout>,
    leader: Rc<Leadership>,
) {
    loop {
        sleep(INTERVAL).await;
        if gateway.rollouts.borrow().is_empty() {
            continue;
        }
        let Some(permit) = leader.permit() else { continue };
        let due = due_statuses(&gateway);
        let writes = due.into_iter().map(|(service, wanted)| {
            report(&gateway, &*store, &*layout, &*permit, service, wanted)
        });
        join_all(writes).await;
    }
}

fn due_statuses(gateway: &Gateway) -> Vec<(ServiceName, RolloutStatus)> {
    let rollouts = gateway.rollouts.borrow();
    let Some(table) = gateway.table() else { return Vec::new() };
    let known = rollouts.iter().filter(|(service, _)| table.service(service).is_some());
    let now = Instant::now();
    let due = known.filter_map(|(service, rollout)| {
        let mut wanted = rollouts.status_to_write(service)?;
        let ordered_at = gateway.clock.now().saturating_sub(rollout.age(now));
        wanted.ordered_at_ms = Some(millis(ordered_at));
        Some((service.clone(), wanted))
    });
    due.collect()
}

async fn report(
    gateway: &Gateway,
    store: &dyn Store,
    layout: &dyn StoreLayout,
    permit: &dyn LeaderPermit,
    service: ServiceName,
    wanted: RolloutStatus,
) {
    let key = format!("{}{service}", layout.rollout_status_prefix());
    match write_status(store, layout, permit, &key, &wanted).await {
        Ok(StatusWrite::Holds(status, revision)) => {
            gateway.rollouts.borrow_mut().apply_status(&service, status, revision);
        }
        Ok(StatusWrite::Superseded | StatusWrite::Skipped) => {}
        Err(err) => log::info!("rollout: status of {service} not written: {err}"),
    }
}

/// Writes a status, unless the store holds the end of the same order or the status of a later one.
///
/// The store is read first, so that a write whose answer was lost is found.
pub(crate) async fn write_status(
    store: &dyn Store,
    layout: &dyn StoreLayout,
    permit: &dyn LeaderPermit,
    key: &str,
    wanted: &RolloutStatus,
) -> Result<StatusWrite, StoreError> {
    let current = store.get(key).await?;
    let expected = current.as_ref().map_or(StoreRevision::ABSENT, |item| item.revision);
    let status = current.and_then(|item| layout.parse_rollout_status(&item.value).ok());
    if let Some(status) = status {
        let number = |status: &RolloutStatus| status.order.map(|order| order.number);
        let is_same_order = number(&status) == number(wanted) && status.to == wanted.to;
        if is_same_order && (status.state.is_final() || status.state == wanted.state) {
            return Ok(StatusWrite::Holds(status, expected));
        }
        if !is_same_order && status.order > wanted.order {
            return Ok(StatusWrite::Superseded);
        }
    }
    if !permit.is_valid() {
        return Ok(StatusWrite::Skipped);
    }
    let value = layout.encode_rollout_status(wanted);
    let commit = Commit { key: key.into(), expected, value, lease: None };
    Ok(match store.commit(commit).await? {
        CommitOutcome::Applied(revision) => StatusWrite::Holds(wanted.clone(), revision),
        CommitOutcome::Conflict => StatusWrite::Skipped,
    })
}
