//! Which members read the configuration from the key-value service.

use std::collections::{BTreeMap, BTreeSet};

use lycheelatch_prelude::{NodeId, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Member, Members};

/// Members of each availability zone that watch the key-value service.
const WATCHERS_PER_ZONE: usize = 2;

/// Returns the watchers of every availability zone, best first, by rendezvous hashing.
///
/// Nodes that know the same members choose the same watchers, and a change of
/// the members moves only the watchers that it concerns.
pub fn watchers(members: &Members) -> BTreeMap<ZoneName, Vec<NodeId>> {
    let mut zones: BTreeMap<ZoneName, Vec<&Member>> = BTreeMap::new();
    for member in members.usable() {
        zones.entry(member.zone.clone()).or_default().push(member);
    }
    zones.into_iter().map(|(zone, members)| (zone, best_of(members))).collect()
}

/// Returns the place of `node` among all watchers, or none if it is not one.
///
/// The first watchers of all availability zones come before the second ones.
pub(crate) fn rank_of(node: &NodeId, members: &Members) -> Option<usize> {
    let mut ranked: Vec<(usize, u64, NodeId)> = watchers(members)
        .into_values()
        .flat_map(|ids| ids.into_iter().enumerate())
        .map(|(place, id)| (place, weight(&id), id))
        .collect();
    ranked.sort();
    ranked.iter().position(|(_, _, id)| id == node)
}

/// Returns whom a starting node asks: the watchers of each zone and its own neighbours.
pub(crate) fn informants(
    local: &NodeId,
    neighbours: &[NodeId],
    members: &Members,
) -> BTreeSet<NodeId> {
    let watchers = watchers(members).into_values().flatten();
    watchers.chain(neighbours.iter().cloned()).filter(|id| id != local).collect()
}

fn best_of(mut members: Vec<&Member>) -> Vec<NodeId> {
    members.sort_by_key(|m| (weight(&m.id), m.id.clone()));
    members.iter().take(WATCHERS_PER_ZONE).map(|m| m.id.clone()).collect()
}

fn weight(id: &NodeId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}
