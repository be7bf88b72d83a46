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
    KeyValue, LeaderPermit, Leadership, LeaseId, Listing, PlatformApi, PlatformApiError, Store,
    StoreEra, StoreError, StoreRevision, UsageWindow, WindowCounts,
    leader::run_election,
    messages::Digest,
    platform_api::call_while_valid,
    report::report_usage,
    test_support::{self, digest},
};

mod model;

use model::{ModelPlatform, ModelPlatformApi, ModelStore};

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

/// Longest time from the sending of a leader's call to its arrival.
const MAX_DELIVERY: Duration = Duration::from_millis(1200);

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
        let leader = Rc::new(Leadership::new(boot, MAX_DELIVERY));
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

/// A copy of the store, from which it comes back later.
#[derive(Debug, Clone, Copy)]
struct Restore {
    copied_at: Duration,
    at: Duration,
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
    let script = script.iter().copied().collect();
    run_model(ModelPlatform::new(answered_writes, script), restarts, None)
}

/// Runs a scenario in which all writes are answered and the store comes back from a copy.
fn run_restored(restarts: &[Restart], restore: Option<Restore>) -> (Vec<Action>, Vec<Report>) {
    run_model(ModelPlatform::new(0, VecDeque::new()), restarts, restore)
}

fn run_model(
    platform: ModelPlatform,
    restarts: &[Restart],
    restore: Option<Restore>,
) -> (Vec<Action>, Vec<Report>) {
    let runtime = paused_runtime();
    LocalSet::new().block_on(&runtime, async move {
        let platform = Rc::new(RefCell::new(platform));
        let mut copy = None;
        let mut nodes = vec![Node::start(&platform, 1), Node::start(&platform, 2)];
        loop {
            sleep(CHECK_INTERVAL).await;
            let at = platform.borrow().started.elapsed();
            if at >= RUN_TIME {
                break;
            }
            let is_due = |time: Duration| time <= at && at < time + CHECK_INTERVAL;
            if restore.is_some_and(|restore| is_due(restore.copied_at)) {
                copy = Some(platform.borrow().copy());
            }
            if restore.is_some_and(|restore| is_due(restore.at)) {
                copy.take().into_iter().for_each(|copy| platform.borrow_mut().restore(copy));
            }
            for restart in restarts.iter().filter(|restart| is_due(restart.at)) {
                for node in nodes.iter().filter(|node| node.number == restart.number) {
                    node.gateway.start_stopping();
                }
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
    check_terms(actions)?;
    check_reports(reports)
}

/// Checks that at most one node acts as the leader.
fn check_terms(actions: &[Action]) -> Result<(), String> {
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
    Ok(())
}

/// Checks that no window is reported with two counts.
fn check_reports(reports: &[Report]) -> Result<(), String> {
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

/// Runs scenarios whose store comes back from a copy, and checks what the platform received.
fn check_restores(check: impl Fn(&[Action], &[Report]) -> Result<(), String>) {
    for copied_at in (0..40).map(|step| RESTART_STEP * step) {
        for age in [1, 5, 9, 14, 30, 48].map(|steps| RESTART_STEP * steps) {
            let restore = Restore { copied_at, at: copied_at + age };
            let restart = |at, number| vec![Restart { at, number }];
            let scenarios = [
                Vec::new(),
                restart(restore.at, 1),
                restart(restore.copied_at, 1),
                restart(restore.copied_at, 2),
            ];
            for restarts in scenarios {
                let (actions, reports) = run_restored(&restarts, Some(restore));
                if let Err(violation) = check(&actions, &reports) {
                    panic!("{restore:?}, {restarts:?}: {violation}");
                }
            }
        }
    }
}

#[test]
fn leader_stays_unique_when_the_store_is_restored() {
    check_restores(|actions, _| check_terms(actions));
}

#[test]
fn leader_reports_no_window_twice_when_the_store_is_restored() {
    check_restores(|_, reports| check_reports(reports));
}

/// Permit that lapses at a time.
struct LapsingPermit(Instant);

impl LeaderPermit for LapsingPermit {
    fn fence(&self) -> Fence {
        Fence(1)
    }

    fn is_valid(&self) -> bool {
        Instant::now() < self.0
    }
}

/// A call that was still open when the lease had lapsed, as after a suspension, went on.
#[test]
fn call_while_valid_gives_up_a_call_when_the_permit_lapses() {
    paused_runtime().block_on(async {
        let started = Instant::now();
        let permit = LapsingPermit(started + CHECK_INTERVAL);
        let result = call_while_valid(&permit, std::future::pending()).await;
        assert_eq!(result, Err(PlatformApiError::LeadershipLost));
        assert!(started.elapsed() < 2 * CHECK_INTERVAL);
        let ready = std::future::ready(Ok(()));
        let late = call_while_valid(&permit, ready).await;
        assert_eq!(late, Err(PlatformApiError::LeadershipLost), "nothing is sent");
    });
}
