//! Replication of the configuration under faults of links and of the key-value service.

mod cluster;

use std::time::Duration;

use cluster::{Cluster, Revisions, run, wait_ready};
use lycheelatch_fakes::Fault;
use lycheelatch_peers::{MemberState, watchers};
use lycheelatch_prelude::{NodeId, Revision};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use tokio::time::{sleep, timeout};

/// Maximum time until all nodes have applied a change while the service is available.
const MAX_APPLY_TIME: Duration = Duration::from_secs(1);
/// Maximum time until all nodes have applied a change after nodes or links have failed.
const MAX_APPLY_TIME_AFTER_FAULTS: Duration = Duration::from_secs(4);
/// Duration of an outage during which a node must not become ready.
const OUTAGE_DURATION: Duration = Duration::from_secs(600);

#[test]
fn change_is_applied_everywhere_within_a_second() {
    run(async {
        let cluster = Cluster::start(12, 4).await;
        for n in 0..5 {
            let revision = cluster.change(n).await;
            cluster.wait_applied(revision, MAX_APPLY_TIME).await;
        }
    });
}

#[test]
fn change_with_half_the_watchers_dead_is_applied_within_4_s() {
    run(async {
        let mut cluster = Cluster::start(16, 4).await;
        let members = cluster.nodes.values().next().unwrap().link.members();
        for ids in watchers(&members).into_values() {
            cluster.set_partitioned(&ids[0], true);
            cluster.stop_node(&ids[0]);
        }
        let revision = cluster.change(0).await;
        cluster.wait_applied(revision, MAX_APPLY_TIME_AFTER_FAULTS).await;
    });
}

#[test]
fn change_reaches_a_node_that_missed_the_broadcast() {
    run(async {
        let cluster = Cluster::start(8, 4).await;
        let members = cluster.nodes.values().next().unwrap().link.members();
        let watching: Vec<NodeId> = watchers(&members).into_values().flatten().collect();
        let watcher = cluster.nodes.keys().find(|id| watching.contains(id)).unwrap().clone();
        let missed = cluster.nodes.keys().find(|id| **id != watcher).unwrap().clone();
        cluster.nodes[&missed].faults.set_standing(Fault::Refuse);
        cluster.set_partitioned(&missed, true);
        let revision = cluster.change(0).await;
        sleep(Duration::from_secs(5)).await;
        assert!(cluster.nodes[&missed].current.revision() < revision);
        cluster.set_partitioned(&missed, false);
        cluster.wait_applied(revision, MAX_APPLY_TIME_AFTER_FAULTS).await;
    });
}

#[test]
fn start_in_an_outage_applies_the_highest_revision_of_the_peers() {
    run(async {
        let mut cluster = Cluster::start(8, 4).await;
        for n in 0..3 {
            cluster.change(n).await;
        }
        cluster.wait_applied(Revision(3), MAX_APPLY_TIME).await;
        for node in cluster.nodes.values() {
            node.faults.set_standing(Fault::Silent);
        }
        let id = cluster.start_node(8, 4, Fault::Silent);
        wait_ready(&cluster.nodes[&id], Duration::from_secs(5)).await;
        assert_eq!(cluster.nodes[&id].current.revision(), Revision(3));
    });
}

#[test]
fn start_in_an_outage_waits_for_unreachable_zones() {
    run(async {
        let mut cluster = Cluster::start(8, 2).await;
        let zone_1: Vec<NodeId> = (1..8).step_by(2).map(id).collect();
        for id in &zone_1 {
            cluster.set_partitioned(id, true);
        }
        let joining = cluster.start_node(8, 2, Fault::Refuse);
        for id in &zone_1 {
            cluster.net.cut(&joining, id);
        }
        sleep(Duration::from_secs(60)).await;
        assert!(!cluster.nodes[&joining].replicator.is_ready(), "did not wait for zone 1");
        for id in &zone_1 {
            cluster.net.set_state(id, MemberState::Dead);
        }
        wait_ready(&cluster.nodes[&joining], Duration::from_secs(10)).await;
    });
}

#[test]
fn start_alone_in_an_outage_is_ready_once_the_service_recovers() {
    run(async {
        let mut cluster = Cluster::new();
        cluster.change(0).await;
        let id = cluster.start_node(0, 1, Fault::Refuse);
        sleep(OUTAGE_DURATION).await;
        assert!(!cluster.nodes[&id].replicator.is_ready());
        cluster.nodes[&id].faults.clear();
        wait_ready(&cluster.nodes[&id], Duration::from_secs(10)).await;
        assert_eq!(cluster.nodes[&id].current.revision(), Revision(1));
    });
}

#[test]
fn start_of_all_nodes_in_an_outage_makes_none_ready() {
    run(async {
        let mut cluster = Cluster::new();
        cluster.change(0).await;
        for n in 0..6 {
            cluster.start_node(n, 3, Fault::Silent);
        }
        sleep(OUTAGE_DURATION).await;
        assert!(cluster.nodes.values().all(|node| !node.replicator.is_ready()));
        cluster.nodes.values().for_each(|node| node.faults.clear());
        cluster.wait_applied(Revision(1), Duration::from_secs(60)).await;
        for node in cluster.nodes.values() {
            wait_ready(node, Duration::from_secs(10)).await;
        }
    });
}

#[test]
fn start_in_a_zone_replaced_in_an_outage_is_ready() {
    run(async {
        let mut cluster = Cluster::start(4, 2).await;
        cluster.change(0).await;
        cluster.wait_applied(Revision(1), MAX_APPLY_TIME).await;
        for node in cluster.nodes.values() {
            node.faults.set_standing(Fault::Refuse);
        }
        for n in [1, 3] {
            cluster.net.set_state(&id(n), MemberState::Dead);
            cluster.stop_node(&id(n));
        }
        for n in [5, 7] {
            cluster.start_node(n, 2, Fault::Refuse);
        }
        for node in cluster.nodes.values() {
            wait_ready(node, Duration::from_secs(10)).await;
            assert_eq!(node.current.revision(), Revision(1));
        }
    });
}

#[test]
fn service_reads_scale_with_zones_and_not_with_nodes() {
    let reads = |nodes: usize, zones: usize| {
        run(async move {
            let cluster = Cluster::start(nodes, zones).await;
            sleep(Duration::from_secs(10)).await;
            let before = cluster.kv.calls();
            sleep(Duration::from_secs(500)).await;
            let after = cluster.kv.calls();
            assert_eq!(before.writes, after.writes);
            after.reads - before.reads
        })
    };
    let (few, many, zones) = (reads(12, 3), reads(36, 3), reads(36, 6));
    assert!(many <= few + 6, "{few} reads by 12 nodes and {many} by 36");
    assert!(zones > many + many / 2, "{many} reads in 3 zones and {zones} in 6");
}

fn id(n: usize) -> NodeId {
    format!("node-{n}").parse().unwrap()
}

#[derive(Debug, Clone)]
enum Event {
    Change,
    Partition(usize),
    Heal(usize),
    Outage(usize, u8),
    Restart(usize),
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => Just(Event::Change),
        2 => (0..8_usize).prop_map(Event::Partition),
        2 => (0..8_usize).prop_map(Event::Heal),
        2 => (0..8_usize, 0..4_u8).prop_map(|(n, fault)| Event::Outage(n, fault)),
        1 => (0..8_usize).prop_map(Event::Restart),
        4 => (1..6_000_u64).prop_map(Event::Wait),
    ]
}

fn fault(kind: u8) -> Fault {
    match kind {
        0 => Fault::Refuse,
        1 => Fault::LoseAnswer,
        2 => Fault::Silent,
        _ => Fault::Slow(Duration::from_millis(700)),
    }
}

fn cases(cases: u32) -> Config {
    let mut cfg = Config { cases, failure_persistence: None, ..Config::default() };
    if cfg.rng_seed == RngSeed::Random {
        cfg.rng_seed = RngSeed::Fixed(6);
    }
    cfg
}

proptest! {
    #![proptest_config(cases(40))]

    #[test]
    fn any_faults_revisions_never_decrease_and_converge(
        events in prop::collection::vec(event(), 1..30),
    ) {
        run(async move {
            let mut cluster = Cluster::start(8, 4).await;
            let mut revisions = Revisions::default();
            let mut latest = Revision(0);
            for (n, event) in events.into_iter().enumerate() {
                match event {
                    Event::Change => latest = cluster.change(n as u64).await,
                    Event::Partition(n) => cluster.set_partitioned(&id(n), true),
                    Event::Heal(n) => cluster.set_partitioned(&id(n), false),
                    Event::Outage(n, kind) => {
                        cluster.nodes[&id(n)].faults.set_standing(fault(kind));
                    }
                    Event::Restart(n) => {
                        let before = cluster.stop_node(&id(n));
                        cluster.start_node(n, 4, Fault::None);
                        let node = &cluster.nodes[&id(n)];
                        let ready = wait_ready(node, Duration::from_secs(60));
                        if timeout(Duration::from_secs(20), ready).await.is_ok() {
                            assert!(node.current.revision() >= before, "started below {before}");
                        }
                    }
                    Event::Wait(ms) => sleep(Duration::from_millis(ms)).await,
                }
                revisions.check(&cluster);
            }
            for n in 0..8 {
                cluster.set_partitioned(&id(n), false);
                cluster.nodes[&id(n)].faults.clear();
            }
            cluster.wait_applied(latest, Duration::from_secs(70)).await;
        });
    }
}
