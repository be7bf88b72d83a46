//! The overlay network: which members a node probes and forwards messages to.
//!
//! Members are placed on hash rings: several rings contain the members of one
//! availability zone, one those of a region and one all members. The neighbours
//! of a node are its successors on these rings. Each ring by itself connects
//! all its members, and together the rings form a random graph of small
//! diameter whose degree does not grow with the cluster.

use std::collections::BTreeSet;

use lycheelatch_prelude::NodeId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Member;

/// Number of rings over the members of an availability zone.
const ZONE_RINGS: u64 = 3;
/// Hash seed of the region's ring.
const REGION_RING: u64 = ZONE_RINGS;
/// Hash seed of the first ring over all members.
const GLOBAL_RING: u64 = ZONE_RINGS + 1;
/// Number of neighbours of a node, if there are that many other members.
pub(crate) const DEGREE: usize = 5;
/// Maximum number of rings searched for [`DEGREE`] distinct neighbours.
const MAX_RINGS: u64 = 32;

/// Returns the neighbours of `local` among `members`, sorted by ID.
pub(crate) fn neighbours<'a>(
    local: &Member,
    members: impl Iterator<Item = &'a Member>,
) -> Vec<NodeId> {
    let others: Vec<&Member> = members.filter(|m| m.id != local.id).collect();
    let mut found = BTreeSet::new();
    let mut add = |next: Option<&Member>| found.extend(next.map(|m| m.id.clone()));
    for ring in 0..ZONE_RINGS {
        add(successor(ring, local, others.iter().copied().filter(|m| m.zone == local.zone)));
    }
    let same_region = others.iter().copied().filter(|m| m.region == local.region);
    add(successor(REGION_RING, local, same_region));
    add(successor(GLOBAL_RING, local, others.iter().copied()));
    let enough = DEGREE.min(others.len());
    for ring in GLOBAL_RING + 1..MAX_RINGS {
        if found.len() >= enough {
            break;
        }
        let remaining = others.iter().copied().filter(|m| !found.contains(&m.id));
        let next = successor(ring, local, remaining).map(|m| m.id.clone());
        found.extend(next);
    }
    found.into_iter().collect()
}

/// Returns the member that follows `local` on a ring.
fn successor<'a>(
    ring: u64,
    local: &Member,
    members: impl Iterator<Item = &'a Member>,
) -> Option<&'a Member> {
    let start = position(ring, &local.id);
    members.min_by_key(|m| position(ring, &m.id).wrapping_sub(start))
}

fn position(ring: u64, id: &NodeId) -> u64 {
    xxh3_64_with_seed(id.as_str().as_bytes(), ring)
}

#[cfg(test)]
mod tests {
    use std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        net::SocketAddr,
    };

    use super::*;
    use crate::MemberState;

    const NODES: usize = 390;
    /// Maximum number of hops for a message to reach every member within a second.
    const MAX_HOPS: usize = 12;

    fn cluster() -> BTreeMap<NodeId, Member> {
        let member = |n: usize| Member {
            id: format!("node-{n}").parse().unwrap(),
            addr: SocketAddr::from(([10, 0, 0, 1], 1)),
            zone: format!("zone-{}", n % 6).parse().unwrap(),
            region: format!("region-{}", n % 2).parse().unwrap(),
            incarnation: Default::default(),
            state: MemberState::Alive,
        };
        (0..NODES).map(member).map(|m| (m.id.clone(), m)).collect()
    }

    /// Returns the number of hops from `origin` to each reachable member that is up.
    fn flood(
        members: &BTreeMap<NodeId, Member>,
        origin: &NodeId,
        is_up: impl Fn(&Member) -> bool,
    ) -> BTreeMap<NodeId, usize> {
        let mut hops = BTreeMap::from([(origin.clone(), 0)]);
        let mut queue = VecDeque::from([origin.clone()]);
        while let Some(id) = queue.pop_front() {
            let next = hops[&id] + 1;
            for to in neighbours(&members[&id], members.values()) {
                if is_up(&members[&to]) && !hops.contains_key(&to) {
                    hops.insert(to.clone(), next);
                    queue.push_back(to);
                }
            }
        }
        hops
    }

    #[test]
    fn neighbours_reach_every_member_within_max_hops() {
        let members = cluster();
        for origin in members.keys().step_by(40) {
            let hops = flood(&members, origin, |_| true);
            assert_eq!(hops.len(), NODES);
            assert!(hops.values().max().unwrap() <= &MAX_HOPS, "{:?}", hops.values().max());
        }
    }

    #[test]
    fn neighbours_reach_every_live_member_with_undetected_zone_failure() {
        let members = cluster();
        let dead = "zone-2".parse().unwrap();
        let live = members.values().filter(|m| m.zone != dead).count();
        for origin in members.values().filter(|m| m.zone != dead).step_by(40) {
            let hops = flood(&members, &origin.id, |m| m.zone != dead);
            assert_eq!(hops.len(), live);
            assert!(hops.values().max().unwrap() <= &MAX_HOPS, "{:?}", hops.values().max());
        }
    }

    #[test]
    fn neighbours_are_five_and_mostly_in_zone() {
        let members = cluster();
        let mut in_zone = 0;
        for member in members.values() {
            let ids: BTreeSet<NodeId> = neighbours(member, members.values()).into_iter().collect();
            assert_eq!(ids.len(), DEGREE);
            in_zone += ids.iter().filter(|id| members[*id].zone == member.zone).count();
        }
        assert!(
            in_zone * 2 > NODES * DEGREE,
            "{in_zone} of {} neighbours are in the same zone",
            NODES * DEGREE
        );
    }
}
