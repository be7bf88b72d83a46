//! The duties of one node for all, over every loss, delay and repeat of the answers.
//!
//! Two nodes run against a store in memory. Each run gives the next writes one
//! outcome each; the tests play every sequence of outcomes.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use async_trait::async_trait;
use lycheelatch_prelude::Fence;
use tokio::{
    task::{LocalSet, spawn_local},
    time::{Instant, sleep},
};

use crate::{
    BootClock, CapacityOrder, Changes, Commit, CommitOutcome, Freshness, Gateway, KeyValue,
    Leadership, LeaseId, Listing, PlatformApi, PlatformApiError, Store, StoreError, StoreRevision,
    TrueTime, UsageWindow, WindowCounts,
    leader::run_election,
    peers::Digest,
    report::report_usage,
    test_support::{self, digest},
};

/// Writes that get an outcome in each run.
const DEPTH: u32 = 3;

/// Time of one way between a node and the store.
const TRAVEL: Duration = Duration::from_millis(5);

/// Time after which a node waits no longer for an answer.
const GIVE_UP: Duration = Duration::from_millis(500);

/// Time by which a late write takes effect.
const LATE: Duration = Duration::from_millis(2000);

/// Time by which a very late write takes effect; another node holds the duties by then.
const VERY_LATE: Duration = Duration::from_millis(8000);

/// Time for which a node is suspended; the next holder acts before it wakes.
const SUSPENDED: Duration = Duration::from_millis(7000);

/// Time from the signal to stop to the start of the next process.
const STOP: Duration = Duration::from_millis(1500);

/// Time between the restarts of two runs.
const RESTART_STEP: Duration = Duration::from_millis(250);

/// Length of one run.
const RUN: Duration = Duration::from_secs(23);

/// Time between two looks at who may act.
const LOOK: Duration = Duration::from_millis(100);

const LEASE: Duration = Duration::from_secs(3);

/// Windows of usage that a run goes through, and some more.
const WINDOWS: u32 = 6;

const USAGE_WINDOW: Duration = Duration::from_secs(5);

/// Time of day at which a run starts.
const START: Duration = Duration::from_secs(1_000_000);

/// What happens to one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Answered,
    AnswerLost,
    NeverArrives,
    ArrivesLate,
    ArrivesVeryLate,
    /// The writer is suspended between its write and its answer.
    Suspended,
    /// It arrives a second time, later.
    Repeated,
}

const OUTCOMES: [Outcome; 7] = [
    Outcome::Answered,
    Outcome::AnswerLost,
    Outcome::NeverArrives,
    Outcome::ArrivesLate,
    Outcome::ArrivesVeryLate,
    Outcome::Suspended,
    Outcome::Repeated,
];

/// One moment at which a node acted, or could have.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Act {
    at: Duration,
    node: usize,
    fence: Fence,
}

/// One usage report that the platform took.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Report {
    act: Act,
    window: UsageWindow,
    counts: WindowCounts,
}

struct Stored {
    item: KeyValue,
    lease: Option<LeaseId>,
}

/// The store and what the platform saw.
struct World {
    started: Instant,
    revision: u64,
    values: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, Instant>,
    answered_first: u32,
    script: VecDeque<Outcome>,
    acts: Vec<Act>,
    reports: Vec<Report>,
    /// Reads of single keys.
    reads: u32,
}

impl World {
    fn new(answered_first: u32, script: VecDeque<Outcome>) -> World {
        World {
            started: Instant::now(),
            revision: 1,
            values: BTreeMap::new(),
            leases: BTreeMap::new(),
            answered_first,
            script,
            acts: Vec::new(),
            reports: Vec::new(),
            reads: 0,
        }
    }

    fn next_outcome(&mut self) -> Outcome {
        if self.answered_first > 0 {
            self.answered_first -= 1;
            return Outcome::Answered;
        }
        self.script.pop_front().unwrap_or(Outcome::Answered)
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, ends| *ends > now);
        let leases = &self.leases;
        self.values.retain(|_, value| value.lease.is_none_or(|of| leases.contains_key(&of.0)));
    }

    fn commit(&mut self, commit: Commit) -> Result<CommitOutcome, StoreError> {
        self.end_leases();
        if commit.lease.is_some_and(|lease| !self.leases.contains_key(&lease.0)) {
            return Err(StoreError::LeaseEnded);
        }
        let known = self.values.get(&*commit.key).map(|stored| stored.item.revision);
        if known.unwrap_or_default() != commit.expected {
            return Ok(CommitOutcome::Conflict);
        }
        self.revision += 1;
        let revision = StoreRevision(self.revision);
        let item =
            KeyValue { key: commit.key.clone(), value: commit.value, revision, created: revision };
        self.values.insert(commit.key.to_string(), Stored { item, lease: commit.lease });
        Ok(CommitOutcome::Applied(revision))
    }

    fn grant(&mut self, ttl: Duration) -> LeaseId {
        self.revision += 1;
        self.leases.insert(self.revision, Instant::now() + ttl);
        LeaseId(self.revision)
    }

    fn renew(&mut self, lease: LeaseId) -> Result<(), StoreError> {
        self.end_leases();
        let ends = self.leases.get_mut(&lease.0).ok_or(StoreError::LeaseEnded)?;
        *ends = Instant::now() + LEASE;
        Ok(())
    }
}

#[derive(Clone)]
struct ModelStore(Rc<RefCell<World>>);

impl ModelStore {
    /// Carries a write out as the script says.
    async fn write<T: 'static>(
        &self,
        effect: impl Fn(&mut World) -> Result<T, StoreError> + 'static,
    ) -> Result<T, StoreError> {
        let world = self.0.clone();
        let outcome = world.borrow_mut().next_outcome();
        let apply = move || effect(&mut world.borrow_mut());
        sleep(TRAVEL).await;
        let lost = Err(StoreError::NoAnswer("lost".into()));
        match outcome {
            Outcome::Answered => {
                let answer = apply();
                sleep(TRAVEL).await;
                answer
            }
            Outcome::AnswerLost => {
                drop(apply());
                sleep(GIVE_UP).await;
                lost
            }
            Outcome::NeverArrives => {
                sleep(GIVE_UP).await;
                lost
            }
            Outcome::ArrivesLate => {
                apply_after(LATE, apply);
                sleep(GIVE_UP).await;
                lost
            }
            Outcome::ArrivesVeryLate => {
                apply_after(VERY_LATE, apply);
                sleep(GIVE_UP).await;
                lost
            }
            Outcome::Suspended => {
                let answer = apply();
                sleep(SUSPENDED).await;
                answer
            }
            Outcome::Repeated => {
                let answer = apply();
                apply_after(LATE, apply);
                sleep(TRAVEL).await;
                answer
            }
        }
    }
}

fn apply_after<T: 'static>(time: Duration, apply: impl Fn() -> Result<T, StoreError> + 'static) {
    spawn_local(async move {
        sleep(time).await;
        drop(apply());
    });
}

#[async_trait(?Send)]
impl Store for ModelStore {
    async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        sleep(TRAVEL).await;
        let mut world = self.0.borrow_mut();
        world.reads += 1;
        world.end_leases();
        Ok(world.values.get(key).map(|stored| stored.item.clone()))
    }

    async fn list(&self, prefix: &str, _: Freshness) -> Result<Listing, StoreError> {
        sleep(TRAVEL).await;
        let mut world = self.0.borrow_mut();
        world.end_leases();
        let below = world.values.iter().filter(|(key, _)| key.starts_with(prefix));
        let items = below.map(|(_, stored)| stored.item.clone()).collect();
        Ok(Listing { items, revision: StoreRevision(world.revision) })
    }

    async fn watch(&self, _: &str, _: StoreRevision, _: Duration) -> Result<Changes, StoreError> {
        Err(StoreError::Refused("no watches here".into()))
    }

    async fn commit(&self, commit: Commit) -> Result<CommitOutcome, StoreError> {
        self.write(move |world| world.commit(commit.clone())).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.write(move |world| Ok(world.grant(ttl))).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.write(move |world| world.renew(lease)).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.write(move |world| {
            world.leases.remove(&lease.0);
            Ok(())
        })
        .await
    }
}

struct ModelCalls {
    world: Rc<RefCell<World>>,
    node: usize,
}

#[async_trait(?Send)]
impl PlatformApi for ModelCalls {
    async fn report_usage(
        &self,
        fence: Fence,
        window: UsageWindow,
        counts: &WindowCounts,
    ) -> Result<(), PlatformApiError> {
        let outcome = {
            let mut world = self.world.borrow_mut();
            let outcome = world.next_outcome();
            if outcome != Outcome::NeverArrives {
                let at = world.started.elapsed();
                let act = Act { at, node: self.node, fence };
                world.acts.push(act.clone());
                world.reports.push(Report { act, window, counts: counts.clone() });
            }
            outcome
        };
        match outcome {
            Outcome::Answered | Outcome::Repeated => Ok(()),
            _ => {
                sleep(GIVE_UP).await;
                Err(PlatformApiError::NoAnswer("lost".into()))
            }
        }
    }

    async fn order_capacity(&self, _: Fence, _: &CapacityOrder) -> Result<(), PlatformApiError> {
        Err(PlatformApiError::NoneAvailable)
    }
}

struct RuntimeClock(Instant);

impl BootClock for RuntimeClock {
    fn elapsed(&self) -> Duration {
        self.0.elapsed()
    }
}

/// One process of a node.
struct Node {
    number: usize,
    gateway: Rc<Gateway>,
    leader: Rc<Leadership>,
}

impl Node {
    fn start(world: &Rc<RefCell<World>>, number: usize) -> Node {
        let boot: Rc<dyn BootClock> = Rc::new(RuntimeClock(world.borrow().started));
        let time = TrueTime::starting_at(boot.clone(), START + boot.elapsed());
        let gateway = Rc::new(test_support::gateway(number, time));
        let store: Rc<dyn Store> = Rc::new(ModelStore(world.clone()));
        let calls: Rc<dyn PlatformApi> = Rc::new(ModelCalls { world: world.clone(), node: number });
        let leader = Rc::new(Leadership::new(boot));
        spawn_local(run_election(gateway.clone(), store.clone(), leader.clone()));
        spawn_local(report_usage(gateway.clone(), store, leader.clone(), calls));
        Node { number, gateway, leader }
    }

    /// Counts one more request in every window, so that no two looks see the same counts.
    fn count(&self) {
        let mut usage = self.gateway.usage.borrow_mut();
        for window in 0..WINDOWS {
            usage.count(&"ws".parse().unwrap(), START + USAGE_WINDOW * window);
        }
    }
}

/// A node that stops at a time and starts again a moment later.
#[derive(Debug, Clone, Copy)]
struct Restart {
    at: Duration,
    number: usize,
}

fn paused_runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_time().start_paused(true).build().unwrap()
}

/// Plays one run; returns what the platform saw.
fn play(answered_first: u32, script: &[Outcome], restarts: &[Restart]) -> (Vec<Act>, Vec<Report>) {
    let runtime = paused_runtime();
    let script = script.iter().copied().collect();
    LocalSet::new().block_on(&runtime, async move {
        let world = Rc::new(RefCell::new(World::new(answered_first, script)));
        let mut nodes = vec![Node::start(&world, 1), Node::start(&world, 2)];
        loop {
            sleep(LOOK).await;
            let at = world.borrow().started.elapsed();
            if at >= RUN {
                break;
            }
            let due = |time: Duration| time <= at && at < time + LOOK;
            for restart in restarts.iter().filter(|restart| due(restart.at)) {
                let same = nodes.iter().filter(|node| node.number == restart.number);
                same.for_each(|node| node.gateway.start_stopping());
            }
            for restart in restarts.iter().filter(|restart| due(restart.at + STOP)) {
                nodes.push(Node::start(&world, restart.number));
            }
            for node in &nodes {
                node.count();
                let act = node.leader.fence().map(|fence| Act { at, node: node.number, fence });
                world.borrow_mut().acts.extend(act);
            }
        }
        let world = world.borrow();
        (world.acts.clone(), world.reports.clone())
    })
}

/// Checks what must hold in every run.
fn check(acts: &[Act], reports: &[Report]) -> Result<(), String> {
    for pair in acts.windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        if after.fence < before.fence {
            return Err(format!("an older holder acts: {before:?}, {after:?}"));
        }
        if before.node != after.node && before.fence == after.fence {
            return Err(format!("two holders of one number: {before:?}, {after:?}"));
        }
    }
    let turns: Vec<_> = acts.chunk_by(|a, b| a.node == b.node).collect();
    for three in turns.windows(3) {
        let left = &three[0][three[0].len() - 1];
        let back = &three[2][0];
        if back.at - left.at < LEASE {
            return Err(format!("a holder is back within a lease: {left:?}, {back:?}"));
        }
    }
    let mut counts = BTreeMap::new();
    for report in reports {
        let first = counts.entry(report.window).or_insert(report);
        if first.counts != report.counts {
            return Err(format!("two counts of one window: {first:?}, {report:?}"));
        }
    }
    Ok(())
}

/// Plays every sequence of outcomes after each of some numbers of writes that are answered.
fn play_all(answered_first: std::ops::Range<u32>) {
    let choices = u32::try_from(OUTCOMES.len()).unwrap();
    for run in 0..choices.pow(DEPTH) {
        let script: Vec<Outcome> = (0..DEPTH)
            .map(|digit| OUTCOMES[(run / choices.pow(digit) % choices) as usize])
            .collect();
        for answered_first in answered_first.clone() {
            let (acts, reports) = play(answered_first, &script, &[]);
            if let Err(broken) = check(&acts, &reports) {
                panic!("after {answered_first} writes, {script:?}: {broken}");
            }
        }
    }
}

#[test]
fn duties_calm_run_reports_every_window() {
    let (_, reports) = play(0, &[], &[]);
    let windows: Vec<u64> = reports.iter().map(|report| report.window.0).collect();
    assert_eq!(windows, [200_000, 200_001, 200_002, 200_003]);
}

#[test]
fn duties_holder_that_is_heard_is_not_looked_for() {
    let runtime = paused_runtime();
    LocalSet::new().block_on(&runtime, async {
        let world = Rc::new(RefCell::new(World::new(0, VecDeque::new())));
        let node = Node::start(&world, 1);
        for sequence in 0..50 {
            let digest = holder_digest(sequence);
            let from = "127.0.0.1:1".parse().unwrap();
            let boot = world.borrow().started.elapsed();
            node.gateway.peers.borrow_mut().heard(from, digest, Instant::now(), boot);
            sleep(LOOK).await;
        }
        assert_eq!(world.borrow().reads, 0, "while the holder is heard");
        sleep(Duration::from_millis(1600)).await;
        assert!(node.leader.holds_lease(), "soon after the last word of the holder");
    });
}

fn holder_digest(sequence: u64) -> Digest {
    Digest { sequence, is_leader: true, ..digest("node-9", "zone-a") }
}

#[test]
fn duties_first_writes_keep_one_holder() {
    play_all(0..4);
}

#[test]
fn duties_first_renewals_keep_one_holder() {
    play_all(4..8);
}

#[test]
fn duties_first_reports_keep_one_holder() {
    play_all(8..12);
}

#[test]
fn duties_later_writes_keep_one_holder() {
    play_all(12..16);
}

#[test]
fn duties_handed_over_by_restarts_keep_one_holder() {
    for first in (0..16).map(|step| LEASE + RESTART_STEP * step) {
        for pause in (0..24).map(|step| RESTART_STEP * step) {
            for number in [1, 2] {
                let second = Restart { at: first + pause, number: 3 - number };
                let restarts = [Restart { at: first, number }, second];
                let (acts, reports) = play(0, &[], &restarts);
                if let Err(broken) = check(&acts, &reports) {
                    panic!("{restarts:?}: {broken}");
                }
            }
        }
    }
}
