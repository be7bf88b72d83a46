//! Finds the latest revision when a node starts.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use futures_util::future::join_all;
use lycheelatch_prelude::{NodeId, Revision, ZoneName};
use rand::Rng;
use tokio::time::{Instant, sleep, timeout};

use super::{
    FROM_STORE, Shared,
    watchers::{bootstrap_peers, watchers},
};
use crate::{Members, PeerError};

/// Backoff after the first failed attempt; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum backoff between attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Time to wait for other members before the configuration is read from the key-value service.
const PEER_DISCOVERY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between checks for other members.
const PEER_DISCOVERY_POLL: Duration = Duration::from_millis(50);
/// Timeout for reading the full configuration from the key-value service.
const LOAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of a pull: the peer's revision, or none if the peer is not ready.
type PullResult = Result<Option<Revision>, PeerError>;

/// Pulls from peers, then reads from the key-value service, until this node is ready.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut backoff = INITIAL_BACKOFF;
    while !*shared.ready.borrow() {
        if pull_from_peers(&shared).await || load_from_store(&shared).await {
            shared.set_ready();
            return;
        }
        sleep(backoff.mul_f64(rand::rng().random_range(0.8..1.2))).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Pulls from the watchers of every zone and from the neighbours.
///
/// Returns whether the results establish the latest revision and this node has applied it.
async fn pull_from_peers(shared: &Shared) -> bool {
    let members = wait_for_peers(shared).await;
    let peers = bootstrap_peers(shared.link.local(), &shared.neighbours(), &members);
    let pulls = peers.iter().map(|id| async move { (id.clone(), shared.pull(id).await) });
    let results: Vec<(NodeId, PullResult)> = join_all(pulls).await;
    match highest(shared.link.local(), &members, &results) {
        Some(revision) => shared.current.revision() >= revision,
        None => false,
    }
}

/// Waits until another member is known, or for [`PEER_DISCOVERY_TIMEOUT`]; returns the members.
async fn wait_for_peers(shared: &Shared) -> Arc<Members> {
    let deadline = Instant::now() + PEER_DISCOVERY_TIMEOUT;
    loop {
        let members = shared.link.members();
        if members.0.len() > 1 || Instant::now() >= deadline {
            return members;
        }
        sleep(PEER_DISCOVERY_POLL).await;
    }
}

/// Returns the highest revision in the results, if each zone with other nodes responded.
///
/// A zone counts as having responded even if its peers are not ready, since all nodes of a
/// zone may have been replaced at once.
fn highest(
    local: &NodeId,
    members: &Members,
    results: &[(NodeId, PullResult)],
) -> Option<Revision> {
    let zone_of = |id: &NodeId| members.0.get(id).map(|m| m.zone.clone());
    let responded: BTreeSet<ZoneName> = results
        .iter()
        .filter(|(_, result)| result.is_ok())
        .filter_map(|(id, _)| zone_of(id))
        .collect();
    let has_others = |ids: &[NodeId]| ids.iter().any(|id| id != local);
    let is_missing = |zone: &ZoneName, ids: &[NodeId]| has_others(ids) && !responded.contains(zone);
    if watchers(members).iter().any(|(zone, ids)| is_missing(zone, ids)) {
        return None;
    }
    results.iter().filter_map(|(_, result)| result.clone().ok().flatten()).max()
}

async fn load_from_store(shared: &Shared) -> bool {
    match timeout(LOAD_TIMEOUT, shared.store.load()).await {
        Ok(Ok(snapshot)) => {
            shared.advance(snapshot, FROM_STORE);
            true
        }
        Ok(Err(err)) => {
            log::warn!("config: not ready, failed to read the key-value service: {err}");
            false
        }
        Err(_) => {
            log::warn!(
                "config: not ready, the key-value service did not respond within {LOAD_TIMEOUT:?}"
            );
            false
        }
    }
}
