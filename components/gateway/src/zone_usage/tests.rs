//! Sums of zones, and what a node knows of a limit's use in a large cluster.

use std::net::SocketAddr;

use super::*;
use crate::{
    messages::{Digest, WindowUsage},
    peers::PeerTable,
    test_support,
};

const WINDOW: Duration = Duration::from_secs(8);

fn workspace() -> WorkspaceName {
    "ws".parse().unwrap()
}

fn zone(name: &str) -> ZoneName {
    name.parse().unwrap()
}

fn used(amount: u64) -> ReportedUsage {
    ReportedUsage { admitted: SubwindowUsage([0, amount, amount, amount]), refused: 1 }
}

fn sum(nodes: u32, amount: u64) -> UsageSum {
    let mut sum = UsageSum::default();
    sum.add(nodes, [(&workspace(), &used(amount))].into_iter());
    sum
}

fn digest(node: &str, zone: &str, amount: u64) -> Digest {
    Digest { quota_use: vec![(workspace(), used(amount))], ..test_support::digest(node, zone) }
}

/// Returns the table of a node of zone a that has heard of one node there, and an address.
fn peers_with_neighbour(now: Instant) -> (PeerTable, SocketAddr) {
    let mut peers = PeerTable::new("n-0".parse().unwrap());
    let from = "10.0.0.1:1".parse().unwrap();
    peers.record_digest(from, digest("n-1", "a", 7), now, Duration::ZERO);
    (peers, from)
}

#[test]
fn sum_to_pass_on_covers_all_zones() {
    let mut table = ZoneUsageTable::default();
    let now = Instant::now();
    table.record_zone(zone("b"), sum(10, 100), now);
    assert_eq!(table.sum_to_pass_on(2, now), None, "a zone is missing");
    table.record_zone(zone("c"), sum(12, 50), now);
    assert_eq!(table.sum_to_pass_on(2, now).map(|sum| sum.nodes), Some(22));
    assert_eq!(table.sum_to_pass_on(2, now + MAX_AGE), None, "they are too old");
}

#[test]
fn in_other_zones_expires() {
    let mut table = ZoneUsageTable::default();
    let now = Instant::now();
    table.record_other_zones(sum(22, 150), now);
    let (nodes, known) = table.in_other_zones(&workspace(), WINDOW, now).unwrap();
    assert_eq!((nodes, known.admitted.0[3], known.refused), (22, 150, 1));
    assert_eq!(table.in_other_zones(&workspace(), WINDOW, now + MAX_AGE), None);
}

#[test]
fn quota_use_counts_nodes_of_other_zones_once() {
    let now = Instant::now();
    let (mut peers, from) = peers_with_neighbour(now);
    // The leader of another zone gets complete digests besides the sum that contains them.
    peers.record_digest(from, digest("n-2", "b", 100), now, Duration::ZERO);
    peers.zone_usage.record_other_zones(sum(1, 100), now);
    let known = peers.quota_use_of_others(&zone("a"), &workspace(), WINDOW, now);
    assert_eq!((known.reported.0[3], known.silent_nodes), (107, 0));
}

#[test]
fn quota_use_without_sums_assumes_shares_of_brief_nodes() {
    let now = Instant::now();
    let (mut peers, from) = peers_with_neighbour(now);
    let mut brief = digest("n-2", "b", 100);
    brief.leave_out_details();
    peers.record_digest(from, brief, now, Duration::ZERO);
    let known = peers.quota_use_of_others(&zone("a"), &workspace(), WINDOW, now);
    assert_eq!((known.reported.0[3], known.silent_nodes), (7, 1));
}

#[test]
fn brief_digests_keep_the_usage_for_the_report() {
    let mut peers = PeerTable::new("n-0".parse().unwrap());
    let now = Instant::now();
    let from = "10.0.0.1:1".parse().unwrap();
    let window = crate::usage::UsageWindow(7);
    let usage = vec![WindowUsage { window, counts: vec![(workspace(), 5)] }];
    peers.record_digest(from, Digest { usage, ..digest("n-2", "b", 0) }, now, Duration::ZERO);
    let mut brief = Digest { sequence: 2, ..digest("n-2", "b", 0) };
    brief.leave_out_details();
    peers.record_digest(from, brief, now, Duration::ZERO);
    assert_eq!(peers.usage(window).values().sum::<u64>(), 5);
}

#[test]
fn ended_processes_of_other_zones_are_in_the_usage_report() {
    let window = crate::usage::UsageWindow(7);
    let usage = || vec![WindowUsage { window, counts: vec![(workspace(), 5)] }];
    let from = "10.0.0.1:1".parse().unwrap();
    let now = Instant::now();
    // A node of zone b saw a process of its zone end; the new leader in zone a never heard of it.
    let mut reporter = PeerTable::new("n-2".parse().unwrap());
    let old = Digest { usage: usage(), ..digest("n-3", "b", 0) };
    reporter.record_digest(from, old, now, Duration::ZERO);
    let restarted = Digest { incarnation: 2, ..digest("n-3", "b", 0) };
    reporter.record_digest(from, restarted.clone(), now, Duration::ZERO);
    let mut leader = PeerTable::new("n-1".parse().unwrap());
    leader.record_digest(from, restarted, now, Duration::ZERO);
    for sequence in 1..3 {
        let ended_usage = reporter.ended_in_zone(&zone("b"));
        let report = Digest { sequence, ended_usage, ..digest("n-2", "b", 0) };
        leader.record_digest(from, report, now, Duration::ZERO);
        assert_eq!(leader.usage(window).values().sum::<u64>(), 5, "counted once");
    }
}
