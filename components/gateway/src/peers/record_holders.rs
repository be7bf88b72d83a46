//! Nodes that hold a record for the others, such as the origin of a stream.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use lycheelatch_prelude::{NodeId, ZoneName};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::PeerTable;

/// Nodes of the sender's availability zone that hold a record.
const HOLDERS_IN_OWN_ZONE: usize = 2;

/// Other nodes that hold a record.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct RecordHolders {
    /// Those in this node's availability zone, its first node among them.
    pub(crate) own_zone: Vec<SocketAddr>,
    /// One in each other availability zone.
    pub(crate) other_zones: Vec<SocketAddr>,
}

impl PeerTable {
    /// Returns the nodes that hold a record for the others, by the record's key.
    ///
    /// All nodes that hear the same others select the same ones.
    pub(crate) fn record_holders(&self, zone: &ZoneName, key: u64, now: Instant) -> RecordHolders {
        let weight = |id: &NodeId| xxh3_64_with_seed(id.as_str().as_bytes(), key);
        let mut own_zone = vec![(weight(&self.own), None)];
        let mut other_zones: BTreeMap<&ZoneName, (u64, SocketAddr)> = BTreeMap::new();
        for (id, peer) in self.live_peers(now) {
            let candidate = (weight(id), peer.address);
            match &peer.zone {
                Some(of_peer) if of_peer != zone => {
                    let best = other_zones.entry(of_peer).or_insert(candidate);
                    *best = (*best).max(candidate);
                }
                _ => own_zone.push((candidate.0, Some(candidate.1))),
            }
        }
        own_zone.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let of_zone = own_zone.into_iter().take(HOLDERS_IN_OWN_ZONE);
        let mut of_zone: BTreeSet<_> = of_zone.filter_map(|(_, address)| address).collect();
        let first = self.live_in_zone(zone, now).into_iter().next();
        of_zone.extend(first.filter(|(id, _)| *id < self.own).map(|(_, address)| address));
        RecordHolders {
            own_zone: of_zone.into_iter().collect(),
            other_zones: other_zones.into_values().map(|(_, address)| address).collect(),
        }
    }
}
