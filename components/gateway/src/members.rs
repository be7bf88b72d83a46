//! Lists this node in the store, and reads which others are listed.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use lycheelatch_prelude::NodeId;
use tokio::time::{Instant, sleep};

use crate::{
    Commit, CommitOutcome, Freshness, Gateway, LeaseId, Store, StoreError, StoreRevision,
    layout::OWN_PREFIX,
};

/// Time for which a node stays listed after its last renewal.
const LISTED_FOR: Duration = Duration::from_secs(12);

/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(4);

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(700);

fn nodes_prefix() -> String {
    format!("{OWN_PREFIX}nodes/")
}

/// Keeps this node listed until the task is dropped.
pub(crate) async fn keep_registered(gateway: Rc<Gateway>, store: Rc<dyn Store>) {
    let mut lease = None;
    loop {
        match step(&gateway, &*store, lease).await {
            Ok(held) => {
                lease = Some(held);
                sleep(RENEW_INTERVAL).await;
            }
            Err(err) => {
                log::debug!("members: {err}");
                if err == StoreError::LeaseEnded {
                    lease = None;
                }
                sleep(PAUSE).await;
            }
        }
    }
}

async fn step(
    gateway: &Gateway,
    store: &dyn Store,
    lease: Option<LeaseId>,
) -> Result<LeaseId, StoreError> {
    let lease = match lease {
        Some(lease) => {
            store.renew(lease).await?;
            lease
        }
        None => list_self(gateway, store).await?,
    };
    let listing = store.list(&nodes_prefix(), Freshness::Stale).await?;
    let read = |item: &crate::KeyValue| -> Option<(NodeId, SocketAddr)> {
        let id = item.key.rsplit('/').next()?.parse().ok()?;
        let address = std::str::from_utf8(&item.value).ok()?.parse().ok()?;
        Some((id, address))
    };
    let nodes = listing.items.iter().filter_map(read).collect();
    gateway.peers.borrow_mut().listed(nodes, Instant::now());
    Ok(lease)
}

/// Writes this node's address under a new lease.
async fn list_self(gateway: &Gateway, store: &dyn Store) -> Result<LeaseId, StoreError> {
    let key = format!("{}{}", nodes_prefix(), gateway.settings.node);
    let lease = store.grant(LISTED_FOR).await?;
    let mut expected = StoreRevision(0);
    loop {
        let value = gateway.settings.peers.to_string().into();
        let commit = Commit { key: key.as_str().into(), expected, value, lease: Some(lease) };
        match store.commit(commit).await? {
            CommitOutcome::Applied(_) => return Ok(lease),
            CommitOutcome::Conflict => {
                let known = store.get(&key).await?;
                expected = known.map_or(StoreRevision(0), |item| item.revision);
            }
        }
    }
}
