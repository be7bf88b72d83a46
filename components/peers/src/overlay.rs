//! Which members a node probes and sends news to.
//!
//! Members lie on hashed rings: some hold the own availability zone, one the
//! region and one every member. A node's neighbours are its successors on
//! these rings. Each ring alone reaches all its members, and together they
//! form a random graph of small diameter, with a degree that does not grow
//! with the cluster.

use std::collections::BTreeSet;

use lycheelatch_prelude::NodeId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Member;

/// Rings of the own availability zone.
const ZONE_RINGS: u64 = 3;
/// Seed of the region's ring.
const REGION_RING: u64 = ZONE_RINGS;
/// Seed of the first ring over every member.
const GLOBAL_RING: u64 = ZONE_RINGS + 1;
/// Neighbours of a node, when there are as many other members.
pub(crate) const DEGREE: usize = 5;
/// Rings tried to find [`DEGREE`] neighbours.
const MAX_RINGS: u64 = 32;

/// Returns the neighbours of `local` among `members`, in a stable order.
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
        let left = others.iter().copied().filter(|m| !found.contains(&m.id));
        let next = successor(ring, local, left).map(|m| m.id.clone());
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
    /// Steps that a message may take, so that it arrives everywhere within a second.
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

    /// Returns how many steps a message of `origin` takes to each member that is up.
    fn spread(
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
    fn neighbours_reach_every_member_in_few_steps() {
        let members = cluster();
        for origin in members.keys().step_by(40) {
            let hops = spread(&members, origin, |_| true);
            assert_eq!(hops.len(), NODES);
            assert!(hops.values().max().unwrap() <= &MAX_HOPS, "{:?}", hops.values().max());
        }
    }

    #[test]
    fn neighbours_reach_every_member_while_a_dead_zone_is_not_yet_known() {
        let members = cluster();
        let dead = "zone-2".parse().unwrap();
        let live = members.values().filter(|m| m.zone != dead).count();
        for origin in members.values().filter(|m| m.zone != dead).step_by(40) {
            let hops = spread(&members, &origin.id, |m| m.zone != dead);
            assert_eq!(hops.len(), live);
            assert!(hops.values().max().unwrap() <= &MAX_HOPS, "{:?}", hops.values().max());
        }
    }

    #[test]
    fn neighbours_are_five_and_mostly_near() {
        let members = cluster();
        let mut near = 0;
        for member in members.values() {
            let ids: BTreeSet<NodeId> = neighbours(member, members.values()).into_iter().collect();
            assert_eq!(ids.len(), DEGREE);
            near += ids.iter().filter(|id| members[*id].zone == member.zone).count();
        }
        assert!(near * 2 > NODES * DEGREE, "{near} of {} stay in the zone", NODES * DEGREE);
    }
}
