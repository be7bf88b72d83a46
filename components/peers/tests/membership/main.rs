//! Properties of the membership state machine under loss, duplication, pauses and partitions,
//! in virtual time.

mod net;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lycheelatch_peers::{MemberRecord, MemberState, Membership, Message, MessageBody, Update};
use lycheelatch_prelude::{Incarnation, NodeId};
use net::{Faults, Net};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use tokio::time::Instant;

/// Maximum time for which a running node may be considered dead by another one.
const MAX_FALSE_DEATH: Duration = Duration::from_secs(10);
/// Maximum time until every live node has detected a failed one.
const MAX_DETECTION: Duration = Duration::from_secs(20);
/// Maximum time until nodes that start at the same time know each other.
const MAX_JOIN: Duration = Duration::from_secs(30);
/// Maximum time until partitioned regions have merged again.
const MAX_MERGE: Duration = Duration::from_secs(60);

/// Checks invariants at every step and records false failure detections.
#[derive(Default)]
struct InvariantChecker {
    incarnations: BTreeMap<NodeId, Incarnation>,
    dead_since: BTreeMap<(NodeId, NodeId), Instant>,
    max_false_death: Duration,
    declared_dead: BTreeSet<NodeId>,
    declared_dead_in_region: BTreeSet<NodeId>,
}

impl InvariantChecker {
    fn check(&mut self, net: &Net) {
        for (id, node) in &net.nodes {
            let incarnation = node.membership.incarnation();
            let before = self.incarnations.insert(id.clone(), incarnation);
            assert!(before.is_none_or(|b| b <= incarnation), "the incarnation of {id} decreased");
        }
        let mut dead = BTreeMap::new();
        for (id, node) in net.running() {
            let members = node.membership.members();
            for (other, other_node) in net.running() {
                let state = members.0.get(other).map(|m| m.state);
                if state == Some(MemberState::Dead) {
                    let pair = (id.clone(), other.clone());
                    let since = self.dead_since.get(&pair).copied();
                    self.declared_dead.insert(other.clone());
                    if node.record.region == other_node.record.region {
                        self.declared_dead_in_region.insert(other.clone());
                    }
                    dead.insert(pair, since.unwrap_or(net.now));
                }
            }
        }
        self.dead_since = dead;
        let longest = self.dead_since.values().map(|since| net.now - *since).max();
        self.max_false_death = self.max_false_death.max(longest.unwrap_or_default());
    }

    fn run(&mut self, net: &mut Net, time: Duration) {
        let end = net.now + time;
        while net.now < end {
            net.step();
            self.check(net);
        }
    }
}

/// Returns whether every running node considers exactly the running nodes live.
fn is_agreed(net: &Net) -> bool {
    let running: Vec<&NodeId> = net.running().map(|(id, _)| id).collect();
    net.running().all(|(_, node)| {
        let members = node.membership.members();
        let live: Vec<&NodeId> =
            members.0.values().filter(|m| m.state != MemberState::Dead).map(|m| &m.id).collect();
        live == running
    })
}

/// Runs until the views of all running nodes agree, and returns the time taken.
fn run_until_agreed(net: &mut Net, checker: &mut InvariantChecker, limit: Duration) -> Duration {
    let start = net.now;
    while !is_agreed(net) {
        assert!(net.now - start < limit, "the nodes did not agree within {limit:?}");
        net.step();
        checker.check(net);
    }
    net.now - start
}

fn cluster(nodes: usize, seed: u64, faults: Faults) -> Net {
    let mut net = Net::new(seed, faults);
    for n in 0..nodes {
        net.start(n);
    }
    net
}

fn joined_cluster(nodes: usize, seed: u64, faults: Faults) -> Net {
    let mut net = cluster(nodes, seed, faults);
    run_until_agreed(&mut net, &mut InvariantChecker::default(), MAX_JOIN);
    net
}

fn cases(cases: u32) -> Config {
    let mut cfg = Config { cases, failure_persistence: None, ..Config::default() };
    if cfg.rng_seed == RngSeed::Random {
        cfg.rng_seed = RngSeed::Fixed(6);
    }
    cfg
}

#[derive(Debug, Clone)]
enum Event {
    Pause { node: usize, time: Duration },
    Crash { node: usize },
    Start,
    Wait { time: Duration },
}

fn event() -> impl Strategy<Value = Event> {
    let ms = |range: std::ops::Range<u64>| range.prop_map(Duration::from_millis);
    prop_oneof![
        3 => (0..30_usize, ms(100..15_000)).prop_map(|(node, time)| Event::Pause { node, time }),
        1 => (2..30_usize).prop_map(|node| Event::Crash { node }),
        1 => Just(Event::Start),
        3 => ms(100..5_000).prop_map(|time| Event::Wait { time }),
    ]
}

fn faults() -> impl Strategy<Value = Faults> {
    (0.0..0.1, 0.0..0.2, 1..150_u64).prop_map(|(loss, duplication, delay)| Faults {
        loss,
        duplication,
        max_delay: Duration::from_millis(delay),
    })
}

proptest! {
    #![proptest_config(cases(20))]

    #[test]
    fn any_events_live_nodes_recover_and_dead_ones_are_detected(
        seed in any::<u64>(),
        nodes in 3..20_usize,
        faults in faults(),
        events in prop::collection::vec(event(), 1..10),
    ) {
        let mut net = cluster(nodes, seed, faults);
        let mut checker = InvariantChecker::default();
        let mut started = nodes;
        run_until_agreed(&mut net, &mut checker, MAX_JOIN);
        for event in events {
            let ids: Vec<NodeId> = net.nodes.keys().cloned().collect();
            match event {
                Event::Pause { node, time } => {
                    let until = net.now + time;
                    net.nodes.get_mut(&ids[node % ids.len()]).unwrap().paused_until = until;
                }
                Event::Crash { node } => {
                    net.nodes.get_mut(&ids[node % ids.len()]).unwrap().is_crashed = true;
                }
                Event::Start => {
                    net.start(started);
                    started += 1;
                }
                Event::Wait { time } => checker.run(&mut net, time),
            }
        }
        checker.run(&mut net, Duration::from_secs(15));
        run_until_agreed(&mut net, &mut checker, MAX_DETECTION);
        prop_assert!(checker.max_false_death < MAX_FALSE_DEATH, "{:?}", checker.max_false_death);
    }
}

#[test]
fn paused_process_declares_no_member_dead_and_rejoins() {
    for seed in 0..5 {
        let mut net = joined_cluster(20, seed, Faults { loss: 0.05, ..Faults::default() });
        let mut checker = InvariantChecker::default();
        let paused = net.nodes.keys().nth(7).unwrap().clone();
        net.nodes.get_mut(&paused).unwrap().paused_until = net.now + Duration::from_secs(20);
        checker.run(&mut net, Duration::from_secs(50));
        assert!(checker.max_false_death < MAX_FALSE_DEATH, "{:?}", checker.max_false_death);
        assert_eq!(
            checker.declared_dead,
            BTreeSet::from([paused]),
            "another node was declared dead"
        );
        assert!(is_agreed(&net));
    }
}

#[test]
fn paused_process_extends_running_suspicions() {
    let mut net = joined_cluster(10, 6, Faults::default());
    let ids: Vec<NodeId> = net.nodes.keys().cloned().collect();
    let (suspected, prober) = (&ids[3], &ids[7]);
    net.nodes.get_mut(suspected).unwrap().paused_until = net.now + Duration::from_secs(60);
    let suspects = |net: &Net| {
        let members = net.nodes[prober].membership.members();
        members.0[suspected].state == MemberState::Suspect
    };
    while !suspects(&net) {
        net.step();
    }
    net.nodes.get_mut(suspected).unwrap().paused_until = net.now;
    net.nodes.get_mut(prober).unwrap().paused_until = net.now + Duration::from_secs(30);
    let mut checker = InvariantChecker::default();
    checker.run(&mut net, Duration::from_secs(60));
    assert!(!checker.declared_dead.contains(suspected));
}

#[test]
fn handle_ping_from_dead_member_sends_it_a_suspicion() {
    let mut net = cluster(3, 0, Faults::default());
    let records: Vec<MemberRecord> = net.nodes.values().map(|n| n.record.clone()).collect();
    let (local, dead, by) = (&records[0], &records[1], &records[2]);
    let membership = &mut net.nodes.get_mut(&local.id).unwrap().membership;
    let incarnation = dead.incarnation;
    let death = Update::Dead { id: dead.id.clone(), incarnation, by: by.id.clone() };
    let updates = vec![Update::Alive(dead.clone()), death];
    let gossip = Message { view_digest: 0, updates, body: MessageBody::Gossip };
    membership.handle(net.now, &by.id, gossip);
    let ping = Message {
        view_digest: 0,
        updates: Vec::new(),
        body: MessageBody::Ping { seq: 9, receiver_state: None },
    };
    let out = membership.handle(net.now, &dead.id, ping);
    let ack = out.iter().find(|o| o.msg.body == MessageBody::Ack { seq: 9 }).unwrap();
    let suspicion = Update::Suspect { id: dead.id.clone(), incarnation, by: local.id.clone() };
    assert!(ack.msg.updates.contains(&suspicion), "{:?}", ack.msg);
}

#[test]
fn loss_of_5_percent_causes_no_false_detection() {
    let mut net = joined_cluster(30, 5, Faults { loss: 0.05, ..Faults::default() });
    let mut checker = InvariantChecker::default();
    checker.run(&mut net, Duration::from_secs(600));
    assert_eq!(checker.declared_dead, BTreeSet::new());
}

#[test]
fn crash_is_detected_by_every_node() {
    for seed in 0..5 {
        let mut net = joined_cluster(30, seed, Faults { loss: 0.05, ..Faults::default() });
        let id = net.nodes.keys().nth(seed as usize).unwrap().clone();
        net.nodes.get_mut(&id).unwrap().is_crashed = true;
        run_until_agreed(&mut net, &mut InvariantChecker::default(), MAX_DETECTION);
    }
}

#[test]
fn zone_failure_is_detected_by_every_node() {
    let mut net = joined_cluster(30, 9, Faults::default());
    let zone = "zone-3".parse().unwrap();
    for node in net.nodes.values_mut().filter(|n| n.record.zone == zone) {
        node.is_crashed = true;
    }
    run_until_agreed(&mut net, &mut InvariantChecker::default(), MAX_DETECTION);
}

#[test]
fn regions_partitioned_for_an_hour_merge_again() {
    let mut net = joined_cluster(12, 3, Faults::default());
    net.regions_partitioned = true;
    net.run(Duration::from_secs(60));
    for (_, node) in net.running() {
        let members = node.membership.members();
        for member in members.0.values() {
            let is_dead = member.state == MemberState::Dead;
            assert_eq!(is_dead, member.region != node.record.region, "{member:?}");
        }
    }
    net.run(Duration::from_secs(3540));
    net.regions_partitioned = false;
    let mut checker = InvariantChecker::default();
    run_until_agreed(&mut net, &mut checker, MAX_MERGE);
    assert_eq!(
        checker.declared_dead_in_region,
        BTreeSet::new(),
        "a node was declared dead in its own region"
    );
}

#[test]
fn regions_partitioned_merge_again_without_seeds() {
    let mut net = Net::new(8, Faults::default());
    net.has_seeds = false;
    (0..12).for_each(|n| drop(net.start(n)));
    let first = net.nodes.values().next().unwrap().record.addr;
    net.set_discovered_seeds(&[first]);
    run_until_agreed(&mut net, &mut InvariantChecker::default(), MAX_JOIN);
    net.set_discovered_seeds(&[]);
    net.regions_partitioned = true;
    net.run(Duration::from_secs(300));
    net.regions_partitioned = false;
    run_until_agreed(&mut net, &mut InvariantChecker::default(), MAX_MERGE);
}

#[test]
fn leave_is_not_reverted_by_a_suspicion() {
    let mut net = joined_cluster(10, 4, Faults { loss: 0.1, ..Faults::default() });
    let id = net.nodes.keys().nth(3).unwrap().clone();
    let now = net.now;
    net.nodes.get_mut(&id).unwrap().membership.leave(now);
    net.run(Duration::from_secs(2));
    for _ in 0..200 {
        net.step();
        for (_, node) in net.running() {
            assert_eq!(node.membership.members().0[&id].state, MemberState::Leaving);
        }
    }
}

#[test]
fn restart_with_the_same_id_replaces_the_dead_member() {
    let mut net = joined_cluster(8, 2, Faults::default());
    let id = net.nodes.keys().nth(5).unwrap().clone();
    net.nodes.get_mut(&id).unwrap().is_crashed = true;
    run_until_agreed(&mut net, &mut InvariantChecker::default(), MAX_DETECTION);
    net.start(5);
    run_until_agreed(&mut net, &mut InvariantChecker::default(), MAX_JOIN);
    assert!(net.nodes[&id].membership.incarnation() > Incarnation(0));
}

#[test]
fn seeds_wrong_or_unreachable_do_not_delay_a_join_by_a_working_one() {
    let mut net = joined_cluster(5, 1, Faults::default());
    let now = net.now;
    let id = net.start(5);
    let good = net.nodes.values().next().unwrap().record.addr;
    let wrong = ["10.9.9.9:1".parse().unwrap(), "10.9.9.8:1".parse().unwrap(), good];
    net.nodes.get_mut(&id).unwrap().membership.set_discovered_seeds(now, wrong.to_vec());
    let took = run_until_agreed(&mut net, &mut InvariantChecker::default(), MAX_JOIN);
    assert!(took < Duration::from_secs(5), "{took:?}");
    assert!(net.now > now);
}

#[test]
fn tick_with_own_address_as_seed_sends_nothing() {
    let record: MemberRecord =
        joined_cluster(3, 0, Faults::default()).nodes.values().next().unwrap().record.clone();
    let now = Instant::now();
    let mut membership = Membership::new(record.clone(), vec![record.addr], now, 1);
    let out = membership.tick(now);
    assert!(out.is_empty(), "the node sent a message to itself: {out:?}");
}
