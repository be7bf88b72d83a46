//! Distribution of records about leaving instances between nodes.

use std::{sync::Arc, time::Duration};

use lycheelatch_fakes::MemoryNet;
use lycheelatch_fleet::{
    InstanceRecord, InstanceStatus, LeavingInstances, ReclaimGossip, RecordVersion,
};
use lycheelatch_prelude::{InstanceId, NodeId, Sequence};
use lycheelatch_provider::ReclaimNotice;
use proptest::prelude::*;
use tokio::time::Instant;

fn instance(i: usize) -> InstanceId {
    format!("i-{i}").parse().unwrap()
}

fn node(i: usize) -> NodeId {
    format!("node-{i}").parse().unwrap()
}

fn notice(sequence: u64, i: usize, ms: u64, withdrawn: bool) -> ReclaimNotice {
    let remaining = Duration::from_millis(ms);
    ReclaimNotice { sequence: Sequence(sequence), instance: instance(i), remaining, withdrawn }
}

struct Node {
    leaving: LeavingInstances,
    gossip: Arc<ReclaimGossip>,
}

fn join_nodes(net: &MemoryNet, count: usize) -> Vec<Node> {
    let zone = |i: usize| format!("zone-{}", i % 4).parse().unwrap();
    let start = |i| {
        let link = net.join(node(i), zone(i), "ceredigion".parse().unwrap());
        let leaving = LeavingInstances::new();
        Node { gossip: ReclaimGossip::new(leaving.clone(), link), leaving }
    };
    (0..count).map(start).collect()
}

#[test]
fn mark_leaving_after_the_highest_local_number() {
    let (leaving, now) = (LeavingInstances::new(), Instant::now());
    let version = RecordVersion { sequence: Sequence(1), local: u32::MAX };
    let status = InstanceStatus::Staying;
    leaving
        .merge(now, vec![InstanceRecord { instance: instance(1), version, status, deadline: now }]);
    let record = leaving.mark_leaving(now, &instance(1), Duration::from_secs(30));
    assert_eq!(record.version, version);
}

#[derive(Debug, Clone)]
enum Operation {
    Notice { sequence: u64, withdrawn: bool },
    MarkLeaving { by: usize },
    MarkStaying { by: usize },
    Exchange { from: usize, to: usize },
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        (1_u64..9, any::<bool>())
            .prop_map(|(sequence, withdrawn)| Operation::Notice { sequence, withdrawn }),
        (0_usize..3).prop_map(|by| Operation::MarkLeaving { by }),
        (0_usize..3).prop_map(|by| Operation::MarkStaying { by }),
        (0_usize..3, 0_usize..3).prop_map(|(from, to)| Operation::Exchange { from, to }),
    ]
}

proptest! {
    #[test]
    fn merge_converges_in_any_order(history in prop::collection::vec(operation(), 0..24)) {
        let now = Instant::now();
        let nodes = [LeavingInstances::new(), LeavingInstances::new(), LeavingInstances::new()];
        let exchange = |from: &LeavingInstances, to: &LeavingInstances| {
            to.merge(now, from.records_differing_from(&to.digest()));
        };
        for (i, operation) in history.iter().enumerate() {
            match operation {
                // The cloud API uses each sequence number for one notice only.
                Operation::Notice { sequence, withdrawn } => {
                    let withdrawn = *withdrawn && sequence % 2 == 0;
                    nodes[i % 3].apply_notices(now, &[notice(*sequence * 2 + u64::from(withdrawn), 0, 3_000, withdrawn)]);
                }
                Operation::MarkLeaving { by } => {
                    nodes[*by].mark_leaving(now, &instance(0), Duration::from_secs(3));
                }
                Operation::MarkStaying { by } => {
                    nodes[*by].mark_staying(now, &instance(0));
                }
                Operation::Exchange { from, to } => exchange(&nodes[*from], &nodes[*to]),
            }
        }
        for _ in 0..2 {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (0, 2), (2, 1), (1, 0)] {
                exchange(&nodes[from], &nodes[to]);
            }
        }
        for other in &nodes[1..] {
            prop_assert_eq!(nodes[0].digest(), other.digest());
            prop_assert_eq!(nodes[0].is_leaving(&instance(0)), other.is_leaving(&instance(0)));
        }
    }
}

#[test]
fn withdrawal_overrides_its_notice_only() {
    let (now, leaving) = (Instant::now(), LeavingInstances::new());
    leaving.apply_notices(now, &[notice(1, 0, 3_000, false)]);
    assert!(leaving.is_leaving(&instance(0)));
    leaving.apply_notices(now, &[notice(2, 0, 0, true)]);
    assert!(!leaving.is_leaving(&instance(0)));
    assert!(leaving.apply_notices(now, &[notice(1, 0, 3_000, false)]).is_empty());
    assert!(!leaving.is_leaving(&instance(0)));
    leaving.apply_notices(now, &[notice(3, 0, 3_000, false)]);
    assert_eq!(leaving.deadline(&instance(0)), Some(now + Duration::from_secs(3)));
}

#[test]
fn remove_expired_drops_old_records() {
    let (now, leaving) = (Instant::now(), LeavingInstances::new());
    leaving.mark_leaving(now, &instance(0), Duration::from_secs(3));
    leaving.remove_expired(now + Duration::from_secs(60));
    assert_eq!(leaving.len(), 1);
    leaving.remove_expired(now + Duration::from_secs(4_000));
    assert!(leaving.is_empty());
}

#[actix::test]
async fn broadcast_reaches_every_node_within_a_second() {
    tokio::time::pause();
    let nodes = join_nodes(&MemoryNet::new(), 7);
    let notices: Vec<_> = (0..40).map(|i| notice(i as u64 + 1, i, 3_000, false)).collect();
    let added = nodes[0].leaving.apply_notices(Instant::now(), &notices);
    nodes[0].gossip.broadcast(&added);
    tokio::time::sleep(Duration::from_secs(1)).await;
    for node in &nodes {
        assert!((0..40).all(|i| node.leaving.is_leaving(&instance(i))));
    }
}

#[actix::test]
async fn sync_delivers_lost_broadcasts() {
    tokio::time::pause();
    let net = MemoryNet::new();
    let nodes = join_nodes(&net, 7);
    for to in 1..7 {
        net.cut(&node(0), &node(to));
    }
    let record: InstanceRecord =
        nodes[0].leaving.mark_leaving(Instant::now(), &instance(0), Duration::from_secs(3));
    nodes[0].gossip.broadcast(&[record]);
    for node in &nodes {
        let gossip = node.gossip.clone();
        actix::spawn(async move { gossip.run().await });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!nodes[1].leaving.is_leaving(&instance(0)));
    for to in 1..7 {
        net.restore(&node(0), &node(to));
    }
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert!(nodes.iter().all(|node| node.leaving.is_leaving(&instance(0))));
}

#[actix::test]
async fn handle_invalid_message_is_rejected() {
    let net = MemoryNet::new();
    let _nodes = join_nodes(&net, 2);
    let link = net.join(node(9), "zone-0".parse().unwrap(), "ceredigion".parse().unwrap());
    let msg = bytes::Bytes::from_static(&[250, 1, 2]);
    let limit = Duration::from_secs(1);
    let answer = link.call(&node(0), lycheelatch_peers::Topic::Reclaim, msg, limit).await;
    assert!(matches!(answer, Err(lycheelatch_peers::PeerError::BadMessage { .. })));
}
