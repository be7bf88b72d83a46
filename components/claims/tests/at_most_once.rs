//! Bookings execute at most once, whatever fails.

mod world;

use std::{cell::RefCell, rc::Rc, time::Duration};

use lycheelatch_claims::{ClaimsConfig, UnixMillis, WallClock};
use lycheelatch_fakes::Fault;
use lycheelatch_prelude::{NodeId, RequestId};
use proptest::prelude::*;
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};
use world::{Booking, Node, Told, Upstream, World};

const NODES: usize = 3;
const KEYS: u64 = 6;

/// Time that a call to the key-value service takes when nothing fails.
const KV_DELAY: Duration = Duration::from_millis(3);

/// One thing that happens in a run.
#[derive(Debug, Clone)]
enum Step {
    Book { node: usize, key: u64, upstream: Upstream },
    Fault(Fault),
    Standing(Fault),
    Clear,
    Kill(usize),
    Cut(usize, usize),
    Mend(usize, usize),
    Wait(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Refuse),
        Just(Fault::LoseResponse),
        Just(Fault::Silent),
        (1..900u64).prop_map(|ms| Fault::Slow(Duration::from_millis(ms))),
        (1..900u64).prop_map(|ms| Fault::SlowThenLoseResponse(Duration::from_millis(ms))),
    ]
}

fn upstream() -> impl Strategy<Value = Upstream> {
    prop_oneof![
        2 => Just(Upstream::Answer),
        1 => Just(Upstream::LoseAnswer),
        4 => Just(Upstream::Unreachable),
        1 => (1..3000u64).prop_map(|ms| Upstream::Slow(Duration::from_millis(ms))),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..NODES, 0..KEYS, upstream())
            .prop_map(|(node, key, upstream)| Step::Book { node, key, upstream }),
        3 => fault().prop_map(Step::Fault),
        2 => fault().prop_map(Step::Standing),
        2 => Just(Step::Clear),
        1 => (0..NODES).prop_map(Step::Kill),
        1 => (0..NODES, 0..NODES).prop_map(|(a, b)| Step::Cut(a, b)),
        1 => (0..NODES, 0..NODES).prop_map(|(a, b)| Step::Mend(a, b)),
        3 => (0..50u64).prop_map(Step::Wait),
        3 => (0..4000u64).prop_map(Step::Wait),
    ]
}

struct Run {
    world: World,
    nodes: Vec<Rc<Node>>,
    ids: Vec<NodeId>,
    clock: WallClock,
    is_linked: [bool; NODES],
    started: u64,
    requests: u64,
    told: Rc<RefCell<Vec<(u64, RequestId, Told)>>>,
}

impl Run {
    fn new(is_linked: [bool; NODES]) -> Run {
        let clock = WallClock::starting_at(Instant::now(), UnixMillis(1_800_000_000_000));
        let mut run = Run {
            world: World::default(),
            nodes: Vec::new(),
            ids: Vec::new(),
            clock,
            is_linked,
            started: 0,
            requests: 0,
            told: Rc::default(),
        };
        run.clear_faults();
        (0..NODES).for_each(|at| run.start_node(at));
        run
    }

    fn start_node(&mut self, at: usize) {
        self.started += 1;
        let cfg = ClaimsConfig {
            shards: 2,
            seal_bytes: 100,
            clock: self.clock,
            epoch: self.started,
            ..ClaimsConfig::default()
        };
        let node =
            self.world.start_node(&format!("node-{}", self.started), cfg, self.is_linked[at]);
        self.ids.push(node.id().clone());
        self.nodes.insert(at, Rc::new(node));
    }

    async fn step(&mut self, step: Step) {
        match step {
            Step::Book { node, key, upstream } => self.book(node, key, upstream),
            Step::Fault(fault) => self.world.kv.faults.script([fault]),
            Step::Standing(fault) => self.world.kv.faults.set_default(fault),
            Step::Clear => self.clear_faults(),
            Step::Kill(at) => {
                self.world.kill_node(&self.nodes.remove(at), &self.ids);
                self.start_node(at);
            }
            Step::Cut(a, b) => self.world.net.cut(self.nodes[a].id(), self.nodes[b].id()),
            Step::Mend(a, b) => self.world.net.restore(self.nodes[a].id(), self.nodes[b].id()),
            Step::Wait(ms) => sleep(Duration::from_millis(ms)).await,
        }
    }

    fn book(&mut self, node: usize, key: u64, upstream: Upstream) {
        let (node, told) = (self.nodes[node].clone(), self.told.clone());
        self.requests += 1;
        let request: RequestId = format!("request-{}", self.requests).parse().unwrap();
        spawn_local(async move {
            let deadline = Duration::from_secs(5);
            let booking = Booking { key, request: request.clone(), upstream, deadline };
            let answer = node.call(booking).await;
            told.borrow_mut().push((key, request, answer));
        });
    }

    fn clear_faults(&self) {
        self.world.kv.faults.clear();
        self.world.kv.faults.set_default(Fault::Slow(KV_DELAY));
    }

    /// Ends all faults and waits until every deadline has passed.
    async fn settle(&self) {
        self.clear_faults();
        for (a, b) in self.nodes.iter().flat_map(|a| self.nodes.iter().map(move |b| (a, b))) {
            self.world.net.restore(a.id(), b.id());
        }
        sleep(Duration::from_secs(60)).await;
    }

    /// Books every key once more at every node.
    async fn book_again(&mut self) {
        for (node, key) in (0..NODES).flat_map(|node| (0..KEYS).map(move |key| (node, key))) {
            self.book(node, key, Upstream::Answer);
            sleep(Duration::from_secs(5)).await;
        }
    }

    fn executions(&self, key: u64) -> u32 {
        self.world.ledger.borrow().by_key.get(&key).copied().unwrap_or_default()
    }

    fn check(&self) {
        for (key, request, told) in &*self.told.borrow() {
            let executed = self.executions(*key);
            assert!(executed <= 1, "key {key} was executed {executed} times");
            let ran = self.world.ledger.borrow().by_request.contains_key(request);
            match told {
                Told::NotRun | Told::Running => assert!(!ran, "{request} ran, told {told:?}"),
                Told::Booked => assert_eq!(executed, 1, "{request} was told a false booking"),
                Told::Unknown | Told::Broken => {}
            }
        }
    }

    /// Checks that a key which never ran could be booked in the end.
    fn check_free(&self, before: &[u32]) {
        for (key, request, told) in self.told.borrow().iter().rev().take(NODES * KEYS as usize) {
            let ran_before = before[*key as usize] == 1;
            assert!(ran_before || *told == Told::Booked, "{request} for key {key}: {told:?}");
        }
    }
}

async fn run(is_linked: [bool; NODES], steps: Vec<Step>) {
    tokio::time::pause();
    let has_kills = steps.iter().any(|step| matches!(step, Step::Kill(_)));
    let mut run = Run::new(is_linked);
    for step in steps {
        run.step(step).await;
    }
    run.settle().await;
    run.check();
    let before: Vec<u32> = (0..KEYS).map(|key| run.executions(key)).collect();
    run.book_again().await;
    run.check();
    assert_eq!(run.told.borrow().len() as u64, run.requests, "a caller was left without answer");
    if !has_kills {
        run.check_free(&before);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn claims_any_faults_execute_once(
        is_linked: [bool; NODES],
        steps in prop::collection::vec(step(), 1..100),
    ) {
        actix::System::new().block_on(run(is_linked, steps));
    }
}
