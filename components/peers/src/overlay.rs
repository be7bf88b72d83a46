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
