//! Properties of the membership state machine under loss, duplication, pauses and partitions.

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

/// Longest time that a live node that can refute may be dead to another one.
const MAX_FALSE_DEATH: Duration = Duration::from_secs(10);
/// Longest time until every live node knows of a death.
const MAX_DETECTION: Duration = Duration::from_secs(20);
/// Longest time until nodes that start at once know each other.
const MAX_JOIN: Duration = Duration::from_secs(30);
/// Longest time until regions that were parted know each other again.
const MAX_HEALING: Duration = Duration::from_secs(60);

/// Checks what must hold at every step.
#[derive(Default)]
struct Watch {
    incarnations: BTreeMap<NodeId, Incarnation>,
    dead_since: BTreeMap<(NodeId, NodeId), Instant>,
    longest_false_death: Duration,
    evicted: BTreeSet<NodeId>,
    evicted_in_region: BTreeSet<NodeId>,
}

impl Watch {
    fn look(&mut self, net: &Net) {
        for (id, node) in &net.nodes {
            let incarnation = node.machine.incarnation();
            let before = self.incarnations.insert(id.clone(), incarnation);
            assert!(before.is_none_or(|b| b <= incarnation), "incarnation of {id} fell");
        }
        let mut dead = BTreeMap::new();
        for (id, node) in net.running() {
            let members = node.machine.members();
            for (other, other_node) in net.running() {
                let state = members.0.get(other).map(|m| m.state);
                if state == Some(MemberState::Dead) {
                    let pair = (id.clone(), other.clone());
                    let since = self.dead_since.get(&pair).copied();
                    self.evicted.insert(other.clone());
                    if node.record.region == other_node.record.region {
                        self.evicted_in_region.insert(other.clone());
                    }
                    dead.insert(pair, since.unwrap_or(net.now));
                }
            }
        }
        self.dead_since = dead;
        let longest = self.dead_since.values().map(|since| net.now - *since).max();
        self.longest_false_death = self.longest_false_death.max(longest.unwrap_or_default());
    }

    fn run(&mut self, net: &mut Net, time: Duration) {
        let end = net.now + time;
        while net.now < end {
            net.step();
            self.look(net);
        }
    }
}

/// Returns whether every running node sees exactly the running nodes as live.
fn is_agreed(net: &Net) -> bool {
    let running: Vec<&NodeId> = net.running().map(|(id, _)| id).collect();
    net.running().all(|(_, node)| {
        let members = node.machine.members();
        let live: Vec<&NodeId> =
            members.0.values().filter(|m| m.state != MemberState::Dead).map(|m| &m.id).collect();
        live == running
    })
}

/// Runs until every running node agrees, and returns how long it took.
fn run_until_agreed(net: &mut Net, watch: &mut Watch, limit: Duration) -> Duration {
    let start = net.now;
    while !is_agreed(net) {
        assert!(net.now - start < limit, "no agreement within {limit:?}");
        net.step();
        watch.look(net);
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

fn joined(nodes: usize, seed: u64, faults: Faults) -> Net {
    let mut net = cluster(nodes, seed, faults);
    run_until_agreed(&mut net, &mut Watch::default(), MAX_JOIN);
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
    Calm { time: Duration },
}

fn event() -> impl Strategy<Value = Event> {
    let ms = |range: std::ops::Range<u64>| range.prop_map(Duration::from_millis);
    prop_oneof![
        3 => (0..30_usize, ms(100..15_000)).prop_map(|(node, time)| Event::Pause { node, time }),
        1 => (2..30_usize).prop_map(|node| Event::Crash { node }),
        1 => Just(Event::Start),
        3 => ms(100..5_000).prop_map(|time| Event::Calm { time }),
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
    fn any_order_live_nodes_come_back_and_dead_ones_are_found(
        seed in any::<u64>(),
        nodes in 3..20_usize,
        faults in faults(),
        events in prop::collection::vec(event(), 1..10),
    ) {
        let mut net = cluster(nodes, seed, faults);
        let mut watch = Watch::default();
        let mut started = nodes;
        run_until_agreed(&mut net, &mut watch, MAX_JOIN);
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
                Event::Calm { time } => watch.run(&mut net, time),
            }
        }
        watch.run(&mut net, Duration::from_secs(15));
        run_until_agreed(&mut net, &mut watch, MAX_DETECTION);
        prop_assert!(watch.longest_false_death < MAX_FALSE_DEATH, "{:?}", watch.longest_false_death);
    }
}

#[test]
fn paused_process_evicts_nobody_and_comes_back() {
    for seed in 0..5 {
        let mut net = joined(20, seed, Faults { loss: 0.05, ..Faults::default() });
        let mut watch = Watch::default();
        let paused = net.nodes.keys().nth(7).unwrap().clone();
        net.nodes.get_mut(&paused).unwrap().paused_until = net.now + Duration::from_secs(20);
        watch.run(&mut net, Duration::from_secs(50));
        assert!(watch.longest_false_death < MAX_FALSE_DEATH, "{:?}", watch.longest_false_death);
        assert_eq!(watch.evicted, BTreeSet::from([paused]), "another node was taken for dead");
        assert!(is_agreed(&net));
    }
}

#[test]
fn paused_process_gives_running_suspicions_their_time_back() {
    let mut net = joined(10, 6, Faults::default());
    let ids: Vec<NodeId> = net.nodes.keys().cloned().collect();
    let (suspected, prober) = (&ids[3], &ids[7]);
    net.nodes.get_mut(suspected).unwrap().paused_until = net.now + Duration::from_secs(60);
    let suspects = |net: &Net| {
        let members = net.nodes[prober].machine.members();
        members.0[suspected].state == MemberState::Suspect
    };
    while !suspects(&net) {
        net.step();
    }
    net.nodes.get_mut(suspected).unwrap().paused_until = net.now;
    net.nodes.get_mut(prober).unwrap().paused_until = net.now + Duration::from_secs(30);
    let mut watch = Watch::default();
    watch.run(&mut net, Duration::from_secs(60));
    assert!(!watch.evicted.contains(suspected));
}

#[test]
fn handle_ping_of_a_dead_member_tells_it_so() {
    let mut net = cluster(3, 0, Faults::default());
    let records: Vec<MemberRecord> = net.nodes.values().map(|n| n.record.clone()).collect();
    let (local, dead, by) = (&records[0], &records[1], &records[2]);
    let machine = &mut net.nodes.get_mut(&local.id).unwrap().machine;
    let incarnation = dead.incarnation;
    let death = Update::Dead { id: dead.id.clone(), incarnation, by: by.id.clone() };
    let updates = vec![Update::Alive(dead.clone()), death];
    let gossip = Message { view_digest: 0, updates, body: MessageBody::Gossip };
    machine.handle(net.now, &by.id, gossip);
    let ping = Message {
        view_digest: 0,
        updates: Vec::new(),
        body: MessageBody::Ping { seq: 9, receiver_state: None },
    };
    let out = machine.handle(net.now, &dead.id, ping);
    let answer = out.iter().find(|o| o.msg.body == MessageBody::Ack { seq: 9 }).unwrap();
    let doubt = Update::Suspect { id: dead.id.clone(), incarnation, by: local.id.clone() };
    assert!(answer.msg.updates.contains(&doubt), "{:?}", answer.msg);
}

#[test]
fn loss_of_5_percent_evicts_nobody() {
    let mut net = joined(30, 5, Faults { loss: 0.05, ..Faults::default() });
    let mut watch = Watch::default();
    watch.run(&mut net, Duration::from_secs(600));
    assert_eq!(watch.evicted, BTreeSet::new());
}

#[test]
fn crash_is_found_by_every_node() {
    for seed in 0..5 {
        let mut net = joined(30, seed, Faults { loss: 0.05, ..Faults::default() });
        let id = net.nodes.keys().nth(seed as usize).unwrap().clone();
        net.nodes.get_mut(&id).unwrap().is_crashed = true;
        run_until_agreed(&mut net, &mut Watch::default(), MAX_DETECTION);
    }
}

#[test]
fn zone_lost_at_once_is_found_by_every_node() {
    let mut net = joined(30, 9, Faults::default());
    let zone = "zone-3".parse().unwrap();
    for node in net.nodes.values_mut().filter(|n| n.record.zone == zone) {
        node.is_crashed = true;
    }
    run_until_agreed(&mut net, &mut Watch::default(), MAX_DETECTION);
}

#[test]
fn regions_parted_for_an_hour_meet_again() {
    let mut net = joined(12, 3, Faults::default());
    net.regions_cut = true;
    net.run(Duration::from_secs(60));
    for (_, node) in net.running() {
        let members = node.machine.members();
        for member in members.0.values() {
            let is_dead = member.state == MemberState::Dead;
            assert_eq!(is_dead, member.region != node.record.region, "{member:?}");
        }
    }
    net.run(Duration::from_secs(3540));
    net.regions_cut = false;
    let mut watch = Watch::default();
    run_until_agreed(&mut net, &mut watch, MAX_HEALING);
    assert_eq!(watch.evicted_in_region, BTreeSet::new(), "a region buried its own nodes");
}

#[test]
fn regions_parted_meet_again_without_seeds() {
    let mut net = Net::new(8, Faults::default());
    net.has_seeds = false;
    (0..12).for_each(|n| drop(net.start(n)));
    let first = net.nodes.values().next().unwrap().record.addr;
    net.set_discovered_seeds(&[first]);
    run_until_agreed(&mut net, &mut Watch::default(), MAX_JOIN);
    net.set_discovered_seeds(&[]);
    net.regions_cut = true;
    net.run(Duration::from_secs(300));
    net.regions_cut = false;
    run_until_agreed(&mut net, &mut Watch::default(), MAX_HEALING);
}

#[test]
fn leave_is_not_taken_back_by_a_suspicion() {
    let mut net = joined(10, 4, Faults { loss: 0.1, ..Faults::default() });
    let id = net.nodes.keys().nth(3).unwrap().clone();
    let now = net.now;
    net.nodes.get_mut(&id).unwrap().machine.leave(now);
    net.run(Duration::from_secs(2));
    for _ in 0..200 {
        net.step();
        for (_, node) in net.running() {
            assert_eq!(node.machine.members().0[&id].state, MemberState::Leaving);
        }
    }
}

#[test]
fn restart_with_the_same_identity_takes_its_place() {
    let mut net = joined(8, 2, Faults::default());
    let id = net.nodes.keys().nth(5).unwrap().clone();
    net.nodes.get_mut(&id).unwrap().is_crashed = true;
    run_until_agreed(&mut net, &mut Watch::default(), MAX_DETECTION);
    net.start(5);
    run_until_agreed(&mut net, &mut Watch::default(), MAX_JOIN);
    assert!(net.nodes[&id].machine.incarnation() > Incarnation(0));
}

#[test]
fn seeds_that_are_wrong_or_out_delay_nothing_once_one_works() {
    let mut net = joined(5, 1, Faults::default());
    let now = net.now;
    let id = net.start(5);
    let good = net.nodes.values().next().unwrap().record.addr;
    let wrong = ["10.9.9.9:1".parse().unwrap(), "10.9.9.8:1".parse().unwrap(), good];
    net.nodes.get_mut(&id).unwrap().machine.set_discovered_seeds(now, wrong.to_vec());
    let took = run_until_agreed(&mut net, &mut Watch::default(), MAX_JOIN);
    assert!(took < Duration::from_secs(5), "{took:?}");
    assert!(net.now > now);
}

#[test]
fn handle_message_of_itself_is_ignored() {
    let record: MemberRecord =
        joined(3, 0, Faults::default()).nodes.values().next().unwrap().record.clone();
    let now = Instant::now();
    let mut machine = Membership::new(record.clone(), vec![record.addr], now, 1);
    let out = machine.tick(now);
    assert!(out.is_empty(), "a node contacts itself: {out:?}");
}
