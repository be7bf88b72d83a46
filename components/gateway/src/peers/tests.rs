//! Records of other nodes: clocks, sequence of digests and usage counts.

use super::*;
use crate::test_support;

fn digest(node: &str, sequence: u64, time_ms: u64) -> Digest {
    let counts = vec![("ws".parse().unwrap(), 5)];
    let usage = vec![WindowUsage { window: UsageWindow(7), counts }];
    Digest { sequence, time_ms, usage, ..test_support::digest(node, "zone-a") }
}

fn record(table: &mut PeerTable, digest: Digest, boot_ms: u64) -> bool {
    let from = "127.0.0.1:1".parse().unwrap();
    table.record_digest(from, digest, Instant::now(), Duration::from_millis(boot_ms))
}

#[test]
fn estimated_times_add_the_age_of_the_digest() {
    let mut table = PeerTable::new("node-1".parse().unwrap());
    record(&mut table, digest("node-2", 1, 50_000), 1000);
    assert_eq!(table.estimated_times(Duration::from_millis(1600)), [Duration::from_millis(50_600)]);
}

#[test]
fn estimated_times_after_a_suspension_are_empty() {
    let mut table = PeerTable::new("node-1".parse().unwrap());
    record(&mut table, digest("node-2", 1, 50_000), 1000);
    assert!(table.estimated_times(Duration::from_millis(5500)).is_empty());
}

#[test]
fn record_digest_ignores_an_older_one() {
    let mut table = PeerTable::new("node-1".parse().unwrap());
    assert!(record(&mut table, digest("node-2", 2, 0), 0));
    assert!(!record(&mut table, digest("node-2", 1, 0), 0));
}

#[test]
fn record_digest_completes_a_brief_one_of_the_same_round() {
    let mut table = PeerTable::new("node-1".parse().unwrap());
    let mut brief = digest("node-2", 5, 0);
    brief.leave_out_details();
    assert!(record(&mut table, brief.clone(), 0));
    assert!(record(&mut table, digest("node-2", 5, 0), 0));
    assert_eq!(table.usage(UsageWindow(7)).values().sum::<u64>(), 5);
    assert!(!record(&mut table, brief, 0), "it has nothing new");
    assert_eq!(table.usage(UsageWindow(7)).values().sum::<u64>(), 5);
}

#[test]
fn usage_of_a_process_that_ended_counts() {
    let mut table = PeerTable::new("node-1".parse().unwrap());
    record(&mut table, digest("node-2", 9, 0), 0);
    let mut again = digest("node-2", 1, 0);
    again.incarnation = 2;
    record(&mut table, again, 0);
    assert_eq!(table.usage(UsageWindow(7)).values().sum::<u64>(), 10);
    table.update_members(Vec::new(), Instant::now() + Duration::from_secs(60));
    assert_eq!(table.usage(UsageWindow(7)).values().sum::<u64>(), 10, "removed nodes too");
}

#[test]
fn usage_of_a_node_that_returns_counts_once() {
    let mut table = PeerTable::new("node-1".parse().unwrap());
    record(&mut table, digest("node-2", 1, 0), 0);
    table.remove_silent(Instant::now() + Duration::from_secs(60));
    record(&mut table, digest("node-2", 2, 0), 0);
    assert_eq!(table.usage(UsageWindow(7)).values().sum::<u64>(), 5);
}
