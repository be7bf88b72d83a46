//! Registers this node in the store, and reads the registered nodes.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use lycheelatch_prelude::{NodeId, ZoneName};
use tokio::time::{Instant, sleep};

use crate::{
    Commit, CommitOutcome, Freshness, Gateway, KeyValue, LeaseId, Store, StoreError, StoreRevision,
    layout::OWN_PREFIX,
};

/// Time for which a node stays registered after its last renewal.
const REGISTRATION_TTL: Duration = Duration::from_secs(12);

/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(4);

/// Delay before a retry after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(700);

fn members_prefix() -> String {
    format!("{OWN_PREFIX}nodes/")
}

/// Keeps this node registered until the task is dropped.
pub(crate) async fn keep_registered(gateway: Rc<Gateway>, store: Rc<dyn Store>) {
    let mut lease = None;
    loop {
        match renew_and_list(&gateway, &*store, lease).await {
            Ok(renewed) => {
                lease = Some(renewed);
                sleep(RENEW_INTERVAL).await;
            }
            Err(err) => {
                log::debug!("members: registration failed: {err}");
                if err == StoreError::LeaseEnded {
                    lease = None;
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn renew_and_list(
    gateway: &Gateway,
    store: &dyn Store,
    lease: Option<LeaseId>,
) -> Result<LeaseId, StoreError> {
    let lease = match lease {
        Some(lease) => {
            store.renew(lease).await?;
            lease
        }
        None => register(gateway, store).await?,
    };
    let listing = store.list(&members_prefix(), Freshness::Stale).await?;
    let nodes = listing.items.iter().filter_map(parse_member).collect();
    gateway.peers.borrow_mut().update_members(nodes, Instant::now());
    gateway.remove_at_taken_addresses();
    Ok(lease)
}

/// A registered node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Member {
    pub(crate) id: NodeId,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
}

/// Parses a registration: the key ends with the identifier, the value is the address and the
/// availability zone.
fn parse_member(item: &KeyValue) -> Option<Member> {
    let id = item.key.rsplit('/').next()?.parse().ok()?;
    let (address, zone) = std::str::from_utf8(&item.value).ok()?.split_once(' ')?;
    Some(Member { id, address: address.parse().ok()?, zone: zone.parse().ok()? })
}

/// Writes this node's address and availability zone with a new lease.
async fn register(gateway: &Gateway, store: &dyn Store) -> Result<LeaseId, StoreError> {
    let key = format!("{}{}", members_prefix(), gateway.settings.node);
    let lease = store.grant(REGISTRATION_TTL).await?;
    let mut expected = StoreRevision::ABSENT;
    loop {
        let value = format!("{} {}", gateway.settings.peers, gateway.settings.zone).into();
        let commit = Commit { key: key.as_str().into(), expected, value, lease: Some(lease) };
        match store.commit(commit).await? {
            CommitOutcome::Applied(_) => return Ok(lease),
            CommitOutcome::Conflict => {
                let current = store.get(&key).await?;
                expected = current.map_or(StoreRevision::ABSENT, |item| item.revision);
            }
        }
    }
}
