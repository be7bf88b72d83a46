//! Receivers of the notice of a request.

use std::{net::IpAddr, time::Duration};

use lycheelatch_prelude::NodeId;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::*;
use crate::{
    ClusterClock, SystemBootClock,
    quota::{ReportedUsage, SubwindowUsage},
    test_support::{self, digest},
};
use crate::{messages::SentNotice, notices::notice_receivers};

const NODES_IN_ZONE: u16 = 10;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

fn address(zone: usize, node: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, u8::try_from(zone).unwrap(), 1], 1000 + node))
}

/// Returns a node of zone-a whose peer table has ten nodes per zone, with engines in some zones.
fn gateway(with_engines: &[&str]) -> Gateway {
    let gateway = test_support::gateway(1, ClusterClock::new(Rc::new(SystemBootClock)));
    for (at, zone) in ZONES.iter().enumerate() {
        for node in 0..NODES_IN_ZONE {
            let name: NodeId = format!("n-{zone}-{node}").parse().unwrap();
            let digest = digest(name.as_str(), zone);
            let mut peers = gateway.peers.borrow_mut();
            peers.record_digest(address(at, node), digest, Instant::now(), Duration::ZERO);
        }
    }
    for zone in with_engines {
        let entry = test_support::engine_entry(&format!("engine-{zone}"), zone);
        gateway.directory.put(entry, test_support::first_era(1));
    }
    gateway
}

/// Returns how many nodes of each zone are notified of a request to an engine of `zone`.
fn receivers_by_zone(gateway: &Gateway, zone: &str) -> [usize; 3] {
    let receivers = notice_receivers(gateway, &"svc".parse().unwrap(), &zone.parse().unwrap());
    let of_zone =
        |at: u8| receivers.iter().filter(|to| to.ip() == IpAddr::from([10, 0, at, 1])).count();
    [of_zone(0), of_zone(1), of_zone(2)]
}

#[test]
fn notice_receivers_are_the_nodes_of_both_zones() {
    let gateway = gateway(&ZONES);
    assert_eq!(receivers_by_zone(&gateway, "zone-a"), [10, 0, 0]);
    assert_eq!(receivers_by_zone(&gateway, "zone-b"), [10, 10, 0]);
}

#[test]
fn notice_receivers_include_zones_without_engines() {
    let gateway = gateway(&["zone-a", "zone-b"]);
    assert_eq!(receivers_by_zone(&gateway, "zone-a"), [10, 0, 10]);
    assert_eq!(receivers_by_zone(&gateway, "zone-b"), [10, 10, 10]);
}

#[test]
fn handle_datagram_survives_any_bytes() {
    let gateway = gateway(&ZONES);
    let from = address(0, 1);
    let mut hostile = digest("n-hostile", "zone-a");
    let most = SubwindowUsage([u64::MAX; 4]);
    let used = ReportedUsage { admitted: most, refused: u64::MAX };
    hostile.quota_use = vec![("ws".parse().unwrap(), used); 2];
    let upstream = "engine-zone-a".parse().unwrap();
    let load = UpstreamLoad {
        upstream,
        requests: u32::MAX,
        prefill_tokens: u64::MAX,
        memory_tokens: 9,
        shared_tokens: 0,
    };
    hostile.upstreams = vec![load.clone(); 3];
    let valid = postcard::to_stdvec(&Datagram::State(Box::new(hostile))).unwrap();
    let mut rng = StdRng::seed_from_u64(5);
    for round in 0..2000 {
        let mut bytes = valid.clone();
        bytes.truncate(rng.random_range(0..=bytes.len()));
        for _ in 0..round % 8 {
            let at = rng.random_range(0..bytes.len().max(1));
            if let Some(byte) = bytes.get_mut(at) {
                *byte = rng.random();
            }
        }
        handle_datagram(&gateway, from, &bytes);
    }
    handle_datagram(&gateway, from, &valid);
    let notice =
        SentNotice { node: "n-hostile".parse().unwrap(), load, links: vec![(1, u32::MAX)] };
    let notice = postcard::to_stdvec(&Datagram::Sent(notice)).unwrap();
    handle_datagram(&gateway, from, &notice);
    handle_datagram(&gateway, from, &notice);
    apply_in_flight(&gateway, Instant::now());
    let loads = gateway.peers.borrow().in_flight(Instant::now());
    assert_eq!(loads["engine-zone-a"].requests, u32::MAX);
}
