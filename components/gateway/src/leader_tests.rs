//! Leader election and usage reports under lost, delayed and repeated writes.
//!
//! Two nodes run against a model of the platform in memory. A script gives the
//! outcomes of a run's writes; the tests run every script of a given length.

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
    BootClock, CapacityOrder, Changes, ClusterClock, Commit, CommitOutcome, Freshness, Gateway,
    KeyValue, Leadership, LeaseId, Listing, PlatformApi, PlatformApiError, Store, StoreError,
    StoreRevision, UsageWindow, WindowCounts,
    leader::run_election,
    messages::Digest,
    report::report_usage,
    test_support::{self, digest},
};

/// Number of writes whose outcome the script gives.
const SCRIPT_LENGTH: u32 = 3;

/// One-way delay between a node and the store.
const NETWORK_DELAY: Duration = Duration::from_millis(5);

/// Time after which a node's call times out.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a delayed write takes effect.
const LATE_DELAY: Duration = Duration::from_millis(2000);

/// Time after which a very late write takes effect; by then another node is the leader.
const VERY_LATE_DELAY: Duration = Duration::from_millis(8000);

/// Time for which a node is suspended; the next leader acts before it resumes.
const SUSPENSION: Duration = Duration::from_millis(7000);

/// Time from the signal to stop until the start of the next process.
const RESTART_DELAY: Duration = Duration::from_millis(1500);

/// Difference of the restart times of two runs.
const RESTART_STEP: Duration = Duration::from_millis(250);

/// Duration of one run.
const RUN_TIME: Duration = Duration::from_secs(23);

/// Time between two checks which node may act as the leader.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

const LEASE: Duration = Duration::from_secs(3);

/// Number of usage windows; more than a run covers.
const WINDOWS: u32 = 6;

const USAGE_WINDOW: Duration = Duration::from_secs(5);

/// Start of a run, as time since the Unix epoch.
const START: Duration = Duration::from_secs(1_000_000);

/// Outcome of one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Answered,
    ResponseLost,
    RequestLost,
    Delayed,
    DelayedPastLease,
    /// The node is suspended between the write and its response.
    Suspended,
    /// The write arrives a second time, later.
    Repeated,
}

const OUTCOMES: [Outcome; 7] = [
    Outcome::Answered,
    Outcome::ResponseLost,
    Outcome::RequestLost,
    Outcome::Delayed,
    Outcome::DelayedPastLease,
    Outcome::Suspended,
    Outcome::Repeated,
];

/// Time at which a node acted as the leader, or could have.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Action {
    at: Duration,
    node: usize,
    fence: Fence,
}

/// One usage report that the platform received.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Report {
    action: Action,
    window: UsageWindow,
    counts: WindowCounts,
}

struct Stored {
    item: KeyValue,
    lease: Option<LeaseId>,
}

/// Store contents and the calls that the platform received.
struct ModelPlatform {
    started: Instant,
    revision: u64,
    values: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, Instant>,
    answered_writes: u32,
    script: VecDeque<Outcome>,
    actions: Vec<Action>,
    reports: Vec<Report>,
    /// Number of reads of single keys.
    reads: u32,
    /// Start of an outage, in which no call is answered and no lease ends.
    paused_since: Option<Instant>,
}

impl ModelPlatform {
    fn new(answered_writes: u32, script: VecDeque<Outcome>) -> ModelPlatform {
        ModelPlatform {
            started: Instant::now(),
            revision: 1,
            values: BTreeMap::new(),
            leases: BTreeMap::new(),
            answered_writes,
            script,
            actions: Vec::new(),
            reports: Vec::new(),
            reads: 0,
            paused_since: None,
        }
    }

    fn pause(&mut self) {
        self.paused_since = Some(Instant::now());
    }

    fn resume(&mut self) {
        let Some(paused_since) = self.paused_since.take() else { return };
        self.leases.values_mut().for_each(|ends| *ends += paused_since.elapsed());
    }

    fn next_outcome(&mut self) -> Outcome {
        if self.answered_writes > 0 {
            self.answered_writes -= 1;
            return Outcome::Answered;
        }
        self.script.pop_front().unwrap_or(Outcome::Answered)
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, ends| *ends > now);
        let leases = &self.leases;
        self.values.retain(|_, value| value.lease.is_none_or(|of| leases.contains_key(&of.0)));
    }

    fn commit(&mut self, commit: Commit) -> Result<CommitOutcome, StoreError> {
        self.expire_leases();
        if commit.lease.is_some_and(|lease| !self.leases.contains_key(&lease.0)) {
            return Err(StoreError::LeaseEnded);
        }
        let current = self.values.get(&*commit.key).map(|stored| stored.item.revision);
        if current.unwrap_or_default() != commit.expected {
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
        self.expire_leases();
        let ends = self.leases.get_mut(&lease.0).ok_or(StoreError::LeaseEnded)?;
        *ends = Instant::now() + LEASE;
        Ok(())
    }
}

#[derive(Clone)]
struct ModelStore(Rc<RefCell<ModelPlatform>>);

impl ModelStore {
    /// Applies a write with the next outcome of the script.
    async fn write<T: 'static>(
        &self,
        effect: impl Fn(&mut ModelPlatform) -> Result<T, StoreError> + 'static,
    ) -> Result<T, StoreError> {
        let platform = self.0.clone();
        if platform.borrow().paused_since.is_some() {
            sleep(CALL_TIMEOUT).await;
            return Err(StoreError::NoAnswer("paused".into()));
        }
        let outcome = platform.borrow_mut().next_outcome();
        let apply = move || effect(&mut platform.borrow_mut());
        sleep(NETWORK_DELAY).await;
        let no_answer = Err(StoreError::NoAnswer("lost".into()));
        match outcome {
            Outcome::Answered => {
                let result = apply();
                sleep(NETWORK_DELAY).await;
                result
            }
            Outcome::ResponseLost => {
                drop(apply());
                sleep(CALL_TIMEOUT).await;
                no_answer
            }
            Outcome::RequestLost => {
                sleep(CALL_TIMEOUT).await;
                no_answer
            }
            Outcome::Delayed => {
                spawn_delayed(LATE_DELAY, apply);
                sleep(CALL_TIMEOUT).await;
                no_answer
            }
            Outcome::DelayedPastLease => {
                spawn_delayed(VERY_LATE_DELAY, apply);
                sleep(CALL_TIMEOUT).await;
                no_answer
            }
            Outcome::Suspended => {
                let result = apply();
                sleep(SUSPENSION).await;
                result
            }
            Outcome::Repeated => {
                let result = apply();
                spawn_delayed(LATE_DELAY, apply);
                sleep(NETWORK_DELAY).await;
                result
            }
        }
    }
}

fn spawn_delayed<T: 'static>(time: Duration, apply: impl Fn() -> Result<T, StoreError> + 'static) {
    spawn_local(async move {
        sleep(time).await;
        drop(apply());
    });
}

#[async_trait(?Send)]
impl Store for ModelStore {
    async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        sleep(NETWORK_DELAY).await;
        let mut platform = self.0.borrow_mut();
        platform.reads += 1;
        platform.expire_leases();
        Ok(platform.values.get(key).map(|stored| stored.item.clone()))
    }

    async fn list(&self, prefix: &str, _: Freshness) -> Result<Listing, StoreError> {
        sleep(NETWORK_DELAY).await;
        let mut platform = self.0.borrow_mut();
        platform.expire_leases();
        let matching = platform.values.iter().filter(|(key, _)| key.starts_with(prefix));
        let items = matching.map(|(_, stored)| stored.item.clone()).collect();
        Ok(Listing { items, revision: StoreRevision(platform.revision) })
    }

    async fn watch(&self, _: &str, _: StoreRevision, _: Duration) -> Result<Changes, StoreError> {
        Err(StoreError::Refused("watch is not implemented".into()))
    }

    async fn commit(&self, commit: Commit) -> Result<CommitOutcome, StoreError> {
        self.write(move |platform| platform.commit(commit.clone())).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.write(move |platform| Ok(platform.grant(ttl))).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.write(move |platform| platform.renew(lease)).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.write(move |platform| {
            platform.leases.remove(&lease.0);
            Ok(())
        })
        .await
    }
}

struct ModelPlatformApi {
    platform: Rc<RefCell<ModelPlatform>>,
    node: usize,
}

#[async_trait(?Send)]
impl PlatformApi for ModelPlatformApi {
    async fn report_usage(
        &self,
        fence: Fence,
        window: UsageWindow,
        counts: &WindowCounts,
    ) -> Result<(), PlatformApiError> {
        let outcome = {
            let mut platform = self.platform.borrow_mut();
            let outcome = platform.next_outcome();
            if outcome != Outcome::RequestLost {
                let at = platform.started.elapsed();
                let action = Action { at, node: self.node, fence };
                platform.actions.push(action.clone());
                platform.reports.push(Report { action, window, counts: counts.clone() });
            }
            outcome
        };
        match outcome {
            Outcome::Answered | Outcome::Repeated => Ok(()),
            _ => {
                sleep(CALL_TIMEOUT).await;
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
    fn start(platform: &Rc<RefCell<ModelPlatform>>, number: usize) -> Node {
        let boot: Rc<dyn BootClock> = Rc::new(RuntimeClock(platform.borrow().started));
        let time = ClusterClock::starting_at(boot.clone(), START + boot.elapsed());
        let gateway = Rc::new(test_support::gateway(number, time));
        let store: Rc<dyn Store> = Rc::new(ModelStore(platform.clone()));
        let calls: Rc<dyn PlatformApi> =
            Rc::new(ModelPlatformApi { platform: platform.clone(), node: number });
        let leader = Rc::new(Leadership::new(boot));
        spawn_local(run_election(gateway.clone(), store.clone(), leader.clone()));
        spawn_local(report_usage(gateway.clone(), store, leader.clone(), calls));
        Node { number, gateway, leader }
    }

    /// Counts one more request in every window, so that the counts differ between any two checks.
    fn count(&self) {
        let mut usage = self.gateway.usage.borrow_mut();
        for window in 0..WINDOWS {
            usage.count(&"ws".parse().unwrap(), START + USAGE_WINDOW * window);
        }
    }
}

/// Restart of a node: it stops at a time, and a new process starts after `RESTART_DELAY`.
#[derive(Debug, Clone, Copy)]
struct Restart {
    at: Duration,
    number: usize,
}

fn paused_runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_time().start_paused(true).build().unwrap()
}

/// Runs one scenario; returns the actions and reports that the platform received.
fn run_scenario(
    answered_writes: u32,
    script: &[Outcome],
    restarts: &[Restart],
) -> (Vec<Action>, Vec<Report>) {
    let runtime = paused_runtime();
    let script = script.iter().copied().collect();
    LocalSet::new().block_on(&runtime, async move {
        let platform = Rc::new(RefCell::new(ModelPlatform::new(answered_writes, script)));
        let mut nodes = vec![Node::start(&platform, 1), Node::start(&platform, 2)];
        loop {
            sleep(CHECK_INTERVAL).await;
            let at = platform.borrow().started.elapsed();
            if at >= RUN_TIME {
                break;
            }
            let is_due = |time: Duration| time <= at && at < time + CHECK_INTERVAL;
            for restart in restarts.iter().filter(|restart| is_due(restart.at)) {
                let restarted = nodes.iter().filter(|node| node.number == restart.number);
                restarted.for_each(|node| node.gateway.start_stopping());
            }
            for restart in restarts.iter().filter(|restart| is_due(restart.at + RESTART_DELAY)) {
                nodes.push(Node::start(&platform, restart.number));
            }
            for node in &nodes {
                node.count();
                let action =
                    node.leader.fence().map(|fence| Action { at, node: node.number, fence });
                platform.borrow_mut().actions.extend(action);
            }
        }
        let platform = platform.borrow();
        (platform.actions.clone(), platform.reports.clone())
    })
}

/// Checks the invariants of every run.
fn check_invariants(actions: &[Action], reports: &[Report]) -> Result<(), String> {
    for pair in actions.windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        if after.fence < before.fence {
            return Err(format!("a previous leader acts: {before:?}, {after:?}"));
        }
        if before.node != after.node && before.fence == after.fence {
            return Err(format!("two leaders with one fencing number: {before:?}, {after:?}"));
        }
    }
    let terms: Vec<_> = actions.chunk_by(|a, b| a.node == b.node).collect();
    for triple in terms.windows(3) {
        let last_of_first = &triple[0][triple[0].len() - 1];
        let first_of_third = &triple[2][0];
        if first_of_third.at - last_of_first.at < LEASE {
            return Err(format!(
                "a leader returns within one lease: {last_of_first:?}, {first_of_third:?}"
            ));
        }
    }
    let mut counts = BTreeMap::new();
    for report in reports {
        let first = counts.entry(report.window).or_insert(report);
        if first.counts != report.counts {
            return Err(format!("two counts for one window: {first:?}, {report:?}"));
        }
    }
    Ok(())
}

/// Runs every script of outcomes after each number of answered writes in a range.
fn run_all_scenarios(answered_writes: std::ops::Range<u32>) {
    let outcomes = u32::try_from(OUTCOMES.len()).unwrap();
    for run in 0..outcomes.pow(SCRIPT_LENGTH) {
        let script: Vec<Outcome> = (0..SCRIPT_LENGTH)
            .map(|digit| OUTCOMES[(run / outcomes.pow(digit) % outcomes) as usize])
            .collect();
        for answered_writes in answered_writes.clone() {
            let (actions, reports) = run_scenario(answered_writes, &script, &[]);
            if let Err(violation) = check_invariants(&actions, &reports) {
                panic!("after {answered_writes} writes, {script:?}: {violation}");
            }
        }
    }
}

#[test]
fn leader_without_faults_reports_every_window() {
    let (_, reports) = run_scenario(0, &[], &[]);
    let windows: Vec<u64> = reports.iter().map(|report| report.window.0).collect();
    assert_eq!(windows, [200_000, 200_001, 200_002, 200_003]);
}

#[test]
fn leader_that_is_live_causes_no_reads() {
    let runtime = paused_runtime();
    LocalSet::new().block_on(&runtime, async {
        let platform = Rc::new(RefCell::new(ModelPlatform::new(0, VecDeque::new())));
        let node = Node::start(&platform, 1);
        for sequence in 0..50 {
            let digest = leader_digest(sequence);
            let from = "127.0.0.1:1".parse().unwrap();
            let boot = platform.borrow().started.elapsed();
            node.gateway.peers.borrow_mut().record_digest(from, digest, Instant::now(), boot);
            sleep(CHECK_INTERVAL).await;
        }
        assert_eq!(platform.borrow().reads, 0, "while the leader is live");
        sleep(Duration::from_millis(1600)).await;
        assert!(node.leader.holds_lease(), "soon after the last digest of the leader");
    });
}

#[test]
fn leader_goes_on_when_the_store_returns_with_its_lease() {
    let runtime = paused_runtime();
    LocalSet::new().block_on(&runtime, async {
        let platform = Rc::new(RefCell::new(ModelPlatform::new(0, VecDeque::new())));
        let node = Node::start(&platform, 1);
        sleep(3 * LEASE).await;
        let fence = node.leader.fence();
        assert!(fence.is_some());
        platform.borrow_mut().pause();
        sleep(2 * LEASE).await;
        assert_eq!(node.leader.fence(), None, "its renewals were not answered");
        platform.borrow_mut().resume();
        sleep(LEASE / 2).await;
        assert_eq!(node.leader.fence(), fence);
    });
}

fn leader_digest(sequence: u64) -> Digest {
    Digest { sequence, is_leader: true, ..digest("node-9", "zone-a") }
}

#[test]
fn leader_stays_unique_after_faults_of_first_writes() {
    run_all_scenarios(0..4);
}

#[test]
fn leader_stays_unique_after_faults_of_first_renewals() {
    run_all_scenarios(4..8);
}

#[test]
fn leader_stays_unique_after_faults_of_first_reports() {
    run_all_scenarios(8..12);
}

#[test]
fn leader_stays_unique_after_faults_of_later_writes() {
    run_all_scenarios(12..16);
}

#[test]
fn leader_stays_unique_over_restarts() {
    for first in (0..16).map(|step| LEASE + RESTART_STEP * step) {
        for pause in (0..24).map(|step| RESTART_STEP * step) {
            for number in [1, 2] {
                let second = Restart { at: first + pause, number: 3 - number };
                let restarts = [Restart { at: first, number }, second];
                let (actions, reports) = run_scenario(0, &[], &restarts);
                if let Err(violation) = check_invariants(&actions, &reports) {
                    panic!("{restarts:?}: {violation}");
                }
            }
        }
    }
}
