//! Spread of reclaim notices between nodes.

use std::{sync::Arc, time::Duration};

use lycheelatch_fakes::MemoryNet;
use lycheelatch_fleet::{LeavingInstances, ReclaimGossip, Record, Stamp, Standing};
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
    spread: Arc<ReclaimGossip>,
}

fn join(net: &MemoryNet, count: usize) -> Vec<Node> {
    let zone = |i: usize| format!("zone-{}", i % 4).parse().unwrap();
    let start = |i| {
        let link = net.join(node(i), zone(i), "ceredigion".parse().unwrap());
        let leaving = LeavingInstances::new();
        Node { spread: ReclaimGossip::new(leaving.clone(), link), leaving }
    };
    (0..count).map(start).collect()
}

#[test]
fn announce_after_the_highest_local_number() {
    let (leaving, now) = (LeavingInstances::new(), Instant::now());
    let stamp = Stamp { sequence: Sequence(1), local: u32::MAX };
    let standing = Standing::Staying;
    leaving.merge(now, vec![Record { instance: instance(1), stamp, standing, deadline: now }]);
    let said = leaving.mark_leaving(now, &instance(1), Duration::from_secs(30));
    assert_eq!(said.stamp, stamp);
}

#[derive(Debug, Clone)]
enum Said {
    Notice { sequence: u64, withdrawn: bool },
    Announce { by: usize },
    Withdraw { by: usize },
    Exchange { from: usize, to: usize },
}

fn said() -> impl Strategy<Value = Said> {
    prop_oneof![
        (1_u64..9, any::<bool>())
            .prop_map(|(sequence, withdrawn)| Said::Notice { sequence, withdrawn }),
        (0_usize..3).prop_map(|by| Said::Announce { by }),
        (0_usize..3).prop_map(|by| Said::Withdraw { by }),
        (0_usize..3, 0_usize..3).prop_map(|(from, to)| Said::Exchange { from, to }),
    ]
}

proptest! {
    #[test]
    fn merge_converges_in_any_order(history in prop::collection::vec(said(), 0..24)) {
        let now = Instant::now();
        let nodes = [LeavingInstances::new(), LeavingInstances::new(), LeavingInstances::new()];
        let exchange = |from: &LeavingInstances, to: &LeavingInstances| {
            to.merge(now, from.differing(&to.digest()));
        };
        for (i, said) in history.iter().enumerate() {
            match said {
                // The cloud gives each sequence number to one statement.
                Said::Notice { sequence, withdrawn } => {
                    let withdrawn = *withdrawn && sequence % 2 == 0;
                    nodes[i % 3].take_notices(now, &[notice(*sequence * 2 + u64::from(withdrawn), 0, 3_000, withdrawn)]);
                }
                Said::Announce { by } => {
                    nodes[*by].mark_leaving(now, &instance(0), Duration::from_secs(3));
                }
                Said::Withdraw { by } => {
                    nodes[*by].mark_staying(now, &instance(0));
                }
                Said::Exchange { from, to } => exchange(&nodes[*from], &nodes[*to]),
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
fn withdraw_beats_its_notice_only() {
    let (now, leaving) = (Instant::now(), LeavingInstances::new());
    leaving.take_notices(now, &[notice(1, 0, 3_000, false)]);
    assert!(leaving.is_leaving(&instance(0)));
    leaving.take_notices(now, &[notice(2, 0, 0, true)]);
    assert!(!leaving.is_leaving(&instance(0)));
    assert!(leaving.take_notices(now, &[notice(1, 0, 3_000, false)]).is_empty());
    assert!(!leaving.is_leaving(&instance(0)));
    leaving.take_notices(now, &[notice(3, 0, 3_000, false)]);
    assert_eq!(leaving.deadline(&instance(0)), Some(now + Duration::from_secs(3)));
}

#[test]
fn forget_old_drops_past_statements() {
    let (now, leaving) = (Instant::now(), LeavingInstances::new());
    leaving.mark_leaving(now, &instance(0), Duration::from_secs(3));
    leaving.forget_old(now + Duration::from_secs(60));
    assert_eq!(leaving.len(), 1);
    leaving.forget_old(now + Duration::from_secs(4_000));
    assert!(leaving.is_empty());
}

#[actix::test]
async fn send_reaches_every_node_within_a_second() {
    tokio::time::pause();
    let nodes = join(&MemoryNet::new(), 7);
    let notices: Vec<_> = (0..40).map(|i| notice(i as u64 + 1, i, 3_000, false)).collect();
    let fresh = nodes[0].leaving.take_notices(Instant::now(), &notices);
    nodes[0].spread.send(&fresh);
    tokio::time::sleep(Duration::from_secs(1)).await;
    for node in &nodes {
        assert!((0..40).all(|i| node.leaving.is_leaving(&instance(i))));
    }
}

#[actix::test]
async fn compare_makes_up_for_lost_spread() {
    tokio::time::pause();
    let net = MemoryNet::new();
    let nodes = join(&net, 7);
    for to in 1..7 {
        net.cut(&node(0), &node(to));
    }
    let record: Record =
        nodes[0].leaving.mark_leaving(Instant::now(), &instance(0), Duration::from_secs(3));
    nodes[0].spread.send(&[record]);
    for node in &nodes {
        let spread = node.spread.clone();
        actix::spawn(async move { spread.run().await });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!nodes[1].leaving.is_leaving(&instance(0)));
    for to in 1..7 {
        net.mend(&node(0), &node(to));
    }
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert!(nodes.iter().all(|node| node.leaving.is_leaving(&instance(0))));
}

#[actix::test]
async fn handle_unreadable_message_is_refused() {
    let net = MemoryNet::new();
    let _nodes = join(&net, 2);
    let link = net.join(node(9), "zone-0".parse().unwrap(), "ceredigion".parse().unwrap());
    let msg = bytes::Bytes::from_static(&[250, 1, 2]);
    let limit = Duration::from_secs(1);
    let answer = link.call(&node(0), lycheelatch_peers::Topic::Reclaim, msg, limit).await;
    assert!(matches!(answer, Err(lycheelatch_peers::PeerError::BadMessage { .. })));
}
