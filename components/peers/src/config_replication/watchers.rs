//! Selects the members that watch the key-value service for configuration changes.

use std::collections::{BTreeMap, BTreeSet};

use lycheelatch_prelude::{NodeId, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Member, Members};

/// Number of watchers per availability zone.
const WATCHERS_PER_ZONE: usize = 2;

/// Returns the watchers of every availability zone in order of rank, by rendezvous hashing.
///
/// Nodes that know the same members select the same watchers, and a membership
/// change replaces only the watchers that it affects.
pub fn watchers(members: &Members) -> BTreeMap<ZoneName, Vec<NodeId>> {
    let mut zones: BTreeMap<ZoneName, Vec<&Member>> = BTreeMap::new();
    for member in members.usable() {
        zones.entry(member.zone.clone()).or_default().push(member);
    }
    zones.into_iter().map(|(zone, members)| (zone, pick_watchers(members))).collect()
}

/// Returns the rank of `node` among all watchers, or none if it is not a watcher.
///
/// The first watcher of every availability zone ranks before all second watchers.
pub(crate) fn rank_of(node: &NodeId, members: &Members) -> Option<usize> {
    let mut ranked: Vec<(usize, u64, NodeId)> = watchers(members)
        .into_values()
        .flat_map(|ids| ids.into_iter().enumerate())
        .map(|(zone_rank, id)| (zone_rank, weight(&id), id))
        .collect();
    ranked.sort();
    ranked.iter().position(|(_, _, id)| id == node)
}

/// Returns the peers from which a starting node pulls: the watchers of each zone and the node's
/// neighbours.
pub(crate) fn bootstrap_peers(
    local: &NodeId,
    neighbours: &[NodeId],
    members: &Members,
) -> BTreeSet<NodeId> {
    let watchers = watchers(members).into_values().flatten();
    watchers.chain(neighbours.iter().cloned()).filter(|id| id != local).collect()
}

fn pick_watchers(mut members: Vec<&Member>) -> Vec<NodeId> {
    members.sort_by_key(|m| (weight(&m.id), m.id.clone()));
    members.iter().take(WATCHERS_PER_ZONE).map(|m| m.id.clone()).collect()
}

fn weight(id: &NodeId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}
