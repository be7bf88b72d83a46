//! Cluster under test: nodes, store, upstreams, callers and faults.

use std::{cell::RefCell, collections::BTreeSet, path::PathBuf, rc::Rc, time::Duration};

use lycheelatch_fakes::entry::{
    Behavior, FakeStore, ScriptedUpstream, StoreMode, WorkspaceLimit, config_document,
    upstream_entry,
};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::{
    check::{Drain, Report, check_drains, check_kinds, check_recovery, check_requests, is_served},
    crashing_part::{CRASH_RULE, HarmfulCalls, check_crashes, check_sound_requests, summary},
    faults::{Fault, PlannedFault, plan, plan_cuts},
    leaders::{check_leaders, leader_summary},
    load::{CallLog, call_forever},
    named_limits::{LimitLog, check_limits, limit_summary},
    nodes::{Cut, Links, Node, QUIET_TIME},
    restored_store::restore_forever,
    rollouts::RolloutLog,
    taken_up::{self, TakenUpLog},
    upstream_processes::UpstreamProcesses,
};

/// What happens beside the faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scenario {
    /// Nothing.
    Faults,
    /// Upstreams crash on requests whose prompt holds one part.
    CrashingPart,
    /// The same, and upstreams in processes of their own end in another way.
    CrashingProcesses,
    /// Upstreams name limits of requests a second.
    NamedLimits,
    /// A bad and a good version are rolled out.
    Rollout,
    /// The store comes back from a copy, again and again.
    RestoredStore,
    /// Clients take streams up at other nodes, while versions and shares change.
    TakenUp,
}

const NODES: usize = 3;
const UPSTREAMS: usize = 4;
const CALLERS: usize = 12;

/// Time for nodes to start, and for the last faults to take effect.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time for nodes to recover after the last fault.
const RECOVERY_TIME: Duration = Duration::from_secs(9);

impl Scenario {
    /// Returns whether upstreams crash on requests with a part.
    fn has_crashes(self) -> bool {
        matches!(self, Scenario::CrashingPart | Scenario::CrashingProcesses)
    }
}

/// Nodes under test with their environment and the records of a run.
pub(crate) struct Cluster {
    seed: u64,
    scenario: Scenario,
    store: FakeStore,
    /// All upstreams in the order of their start; the last [`UPSTREAMS`] are in use.
    upstreams: RefCell<Vec<ScriptedUpstream>>,
    /// Upstreams in processes of their own.
    processes: UpstreamProcesses,
    nodes: Rc<Vec<Node>>,
    log: CallLog,
    /// Drains without a disturbance.
    drains: RefCell<Vec<Drain>>,
    config_version: RefCell<u64>,
    /// Keys of upstreams that were removed.
    removed: RefCell<BTreeSet<String>>,
    /// Time of the last change of the store's mode.
    last_store_disturbance: RefCell<Instant>,
    faults: RefCell<Vec<String>>,
    harmful_calls: HarmfulCalls,
    limits: LimitLog,
    rollouts: RolloutLog,
    taken_up: TakenUpLog,
}

impl Cluster {
    /// Starts the store, the upstreams and the nodes.
    pub(crate) async fn start(seed: u64, program: PathBuf, scenario: Scenario) -> Cluster {
        let store = FakeStore::start().await;
        store.put("op/config", &configuration(1));
        store.refuse_orders();
        let mut upstreams = Vec::new();
        for at in 0..UPSTREAMS {
            upstreams.push(start_upstream(&store, at, scenario).await);
        }
        let processes = match scenario {
            Scenario::CrashingProcesses => UpstreamProcesses::start(&store, seed),
            _ => UpstreamProcesses::default(),
        };
        let dir = std::env::temp_dir().join(format!("lycheelatch-soak-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory for settings");
        let mut nodes = Vec::new();
        for at in 0..NODES {
            let links = Links::start(store.address()).await;
            nodes.push(Node::start(at, program.clone(), &dir, links, true));
        }
        Cluster {
            seed,
            scenario,
            store,
            upstreams: RefCell::new(upstreams),
            processes,
            nodes: Rc::new(nodes),
            log: CallLog::default(),
            drains: RefCell::default(),
            config_version: RefCell::new(1),
            removed: RefCell::default(),
            last_store_disturbance: RefCell::new(Instant::now()),
            faults: RefCell::default(),
            harmful_calls: HarmfulCalls::default(),
            limits: LimitLog::new(seed),
            rollouts: RolloutLog::default(),
            taken_up: TakenUpLog::new(),
        }
    }

    /// Runs the callers and injects faults for `length`; returns the results.
    pub(crate) async fn run(self, length: Duration) -> Report {
        sleep(SETTLE_TIME).await;
        let has_prompts = self.scenario.has_crashes();
        let mut callers: Vec<_> = (0..CALLERS)
            .map(|at| call_forever(at, self.nodes.clone(), has_prompts, self.log.clone()))
            .map(actix_rt::spawn)
            .collect();
        let cluster = Rc::new(self);
        let limits = cluster.clone();
        let changing_limits = (cluster.scenario == Scenario::NamedLimits)
            .then(|| actix_rt::spawn(change_limits(limits)));
        if has_prompts {
            callers.push(actix_rt::spawn(send_harmful(cluster.clone())));
        }
        if cluster.scenario == Scenario::Rollout {
            let cluster = cluster.clone();
            callers.push(actix_rt::spawn(async move {
                cluster.rollouts.play(&cluster.store).await;
            }));
        }
        if cluster.scenario == Scenario::RestoredStore {
            callers.push(actix_rt::spawn(restore_forever(cluster.clone())));
        }
        if cluster.scenario == Scenario::TakenUp {
            callers.extend(taken_up::start(&cluster).await);
        }
        let faults = inject_all(&cluster, plan(cluster.seed, NODES, UPSTREAMS, length));
        let cuts = inject_all(&cluster, plan_cuts(cluster.seed, NODES, length));
        tokio::join!(faults, cuts);
        sleep(SETTLE_TIME).await;
        if let Some(task) = changing_limits {
            task.abort();
            cluster.limits.end(&cluster.upstreams.borrow());
        }
        cluster.store.set_mode(StoreMode::Up);
        cluster.nodes.iter().for_each(|node| node.heal(Cut::Both));
        cluster.nodes.iter().for_each(|node| node.restart_if_exited());
        sleep(RECOVERY_TIME).await;
        let recovered = Instant::now();
        sleep(SETTLE_TIME).await;
        callers.iter().for_each(|task| task.abort());
        cluster.report(recovered)
    }

    fn report(&self, recovered: Instant) -> Report {
        let calls = self.log.borrow();
        let executed: Vec<_> =
            self.upstreams.borrow().iter().map(ScriptedUpstream::executed).collect();
        let mut all: Vec<_> = executed.iter().flatten().cloned().collect();
        all.extend(self.rollouts.executed());
        all.extend(self.processes.executed());
        let mut violations = check_requests(&calls, &all);
        let mut notes = Vec::new();
        violations.extend(check_drains(&self.drains.borrow(), &executed));
        violations.extend(check_recovery(&calls, recovered));
        violations.extend(check_kinds(&calls));
        let leader_calls = self.store.duty_calls();
        violations.extend(check_leaders(&leader_calls, &self.nodes));
        notes.push(leader_summary(&leader_calls));
        if self.scenario.has_crashes() {
            let mut crashes: Vec<_> =
                self.upstreams.borrow().iter().flat_map(ScriptedUpstream::crashes).collect();
            crashes.extend(self.processes.crashes());
            crashes.sort_by_key(|crash| crash.at);
            violations.extend(check_crashes(&crashes, &self.harmful_calls));
            violations.extend(check_sound_requests(&calls, &crashes));
            notes.push(summary(&calls, &crashes));
        }
        if self.scenario == Scenario::NamedLimits {
            violations.extend(check_limits(&self.limits, &calls, &executed));
            notes.push(limit_summary(&self.limits, &calls));
        }
        if self.scenario == Scenario::Rollout {
            violations.extend(self.rollouts.check(&all));
            notes.push(self.rollouts.summary());
        }
        if self.scenario == Scenario::TakenUp {
            let (note, found) = self.taken_up.check();
            notes.push(note);
            violations.extend(found);
        }
        Report {
            seed: self.seed,
            requests: calls.len(),
            served: calls.iter().filter(|call| is_served(call)).count(),
            faults: self.faults.borrow().clone(),
            notes,
            violations,
        }
    }

    pub(crate) fn seed(&self) -> u64 {
        self.seed
    }

    pub(crate) fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    pub(crate) fn taken_up(&self) -> &TakenUpLog {
        &self.taken_up
    }

    /// Publishes a new version of the configuration.
    pub(crate) fn update_config(&self) {
        let version = *self.config_version.borrow() + 1;
        self.config_version.replace(version);
        let mut config = configuration(version);
        if self.scenario == Scenario::TakenUp {
            self.taken_up.add_to(&mut config);
        }
        self.store.put("op/config", &config);
    }

    pub(crate) fn store(&self) -> &FakeStore {
        &self.store
    }

    /// Takes note that the store is being disturbed.
    pub(crate) fn disturb_store(&self) {
        self.last_store_disturbance.replace(Instant::now());
    }

    /// Returns whether the upstream with this key has left.
    pub(crate) fn was_removed(&self, key: &str) -> bool {
        self.removed.borrow().contains(key)
    }

    /// Converts an index among the upstreams in use to an index among all upstreams.
    fn current_index(&self, at: usize) -> usize {
        self.upstreams.borrow().len() - UPSTREAMS + at
    }

    /// Returns whether neither the store nor any node was disturbed within [`QUIET_TIME`].
    pub(crate) fn is_quiet(&self) -> bool {
        self.nodes.iter().all(|node| self.is_quiet_at(node))
    }

    /// Returns whether neither the store nor a node was disturbed within [`QUIET_TIME`].
    fn is_quiet_at(&self, node: &Node) -> bool {
        self.last_store_disturbance.borrow().elapsed() > QUIET_TIME && node.is_quiet()
    }
}

/// Sends requests with the harmful part, no two alike, to one node after the other.
async fn send_harmful(cluster: Rc<Cluster>) {
    for number in 0.. {
        let node = &cluster.nodes[number % NODES];
        let is_quiet = cluster.is_quiet_at(node);
        cluster.harmful_calls.send(number, node, is_quiet).await;
    }
}

/// Changes the limits that upstreams name, one upstream after the other.
async fn change_limits(cluster: Rc<Cluster>) {
    loop {
        let at = cluster.limits.next_upstream(UPSTREAMS);
        let at = cluster.current_index(at);
        let upstream = cluster.upstreams.borrow()[at].clone();
        cluster.limits.change(at, &upstream).await;
    }
}

/// Returns a configuration with a service whose upstreams the leader orders.
fn configuration(version: u64) -> Value {
    let mut config = config_document(version, WorkspaceLimit::default());
    config["services"][0]["scaling"] = json!({
        "minimum": 1, "maximum": 6, "boot_s": 4.0, "spot_price": 0.25,
        "zone_prices": {"zone-0": 1.0, "zone-1": 0.8, "zone-2": 1.2},
    });
    config
}

async fn start_upstream(store: &FakeStore, at: usize, scenario: Scenario) -> ScriptedUpstream {
    let upstream = ScriptedUpstream::start([]).await;
    upstream.set_default(Behavior::Echo);
    if scenario.has_crashes() {
        upstream.set_crash_rule(Some(CRASH_RULE));
    }
    store.put(&format!("servers/r-{at}"), &upstream_entry(upstream.address(), "ready"));
    upstream
}

/// Injects the faults of a plan, each after its delay.
async fn inject_all(cluster: &Rc<Cluster>, plan: Vec<PlannedFault>) {
    let started = Instant::now();
    for planned in plan {
        sleep(planned.after).await;
        let line = format!("{:?}: {:?}", started.elapsed(), planned.fault);
        cluster.faults.borrow_mut().push(line);
        actix_rt::spawn(inject(cluster.clone(), planned.fault));
    }
}

/// Injects one fault, and ends it after its duration.
async fn inject(cluster: Rc<Cluster>, fault: Fault) {
    match fault {
        Fault::Kill { node, down } => {
            cluster.nodes[node].signal(Signal::KILL);
            sleep(down).await;
            cluster.nodes[node].restart_if_exited();
        }
        Fault::Stop { node } => {
            cluster.nodes[node].signal(Signal::TERM);
            sleep(Duration::from_secs(7)).await;
            cluster.nodes[node].restart_if_exited();
        }
        Fault::Pause { node, time } => {
            cluster.nodes[node].signal(Signal::STOP);
            sleep(time).await;
            cluster.nodes[node].signal(Signal::CONT);
        }
        Fault::Reload { node } => cluster.nodes[node].signal(Signal::HUP),
        Fault::Store { mode, time } => {
            cluster.last_store_disturbance.replace(Instant::now());
            cluster.store.set_mode(mode);
            sleep(time).await;
            cluster.store.set_mode(StoreMode::Up);
            cluster.last_store_disturbance.replace(Instant::now());
        }
        Fault::Compact => cluster.store.compact(),
        Fault::ReplaceUpstream { upstream } => replace_upstream(&cluster, upstream).await,
        Fault::UpstreamBehavior { upstream, behavior, count } => {
            let upstream = cluster.upstreams.borrow()[cluster.current_index(upstream)].clone();
            (0..count).for_each(|_| upstream.push(behavior.clone()));
        }
        Fault::Cut { node, cut, time } => cut_off(&cluster.nodes[node], cut, time).await,
        Fault::CutLeader { cut, time } => {
            let last = cluster.store.duty_calls().pop();
            let leader = cluster
                .nodes
                .iter()
                .find(|node| last.as_ref().is_some_and(|call| call.holder == node.name));
            if let Some(leader) = leader {
                cut_off(leader, cut, time).await;
            }
        }
        Fault::UpdateConfig => cluster.update_config(),
    }
}

async fn cut_off(node: &Node, cut: Cut, time: Duration) {
    node.cut(cut);
    sleep(time).await;
    node.heal(cut);
}

/// Drains an upstream, removes its entry and starts another upstream.
async fn replace_upstream(cluster: &Cluster, at: usize) {
    let is_quiet = cluster.is_quiet();
    let at = cluster.current_index(at);
    let upstream = cluster.upstreams.borrow()[at].clone();
    let key = format!("servers/r-{at}");
    cluster.store.put(&key, &upstream_entry(upstream.address(), "draining"));
    let written = Instant::now();
    sleep(Duration::from_secs(4)).await;
    let is_quiet = is_quiet && cluster.is_quiet();
    cluster.store.delete(&key);
    cluster.removed.borrow_mut().insert(key);
    sleep(Duration::from_millis(700)).await;
    let number = cluster.upstreams.borrow().len();
    let replacement = start_upstream(&cluster.store, number, cluster.scenario).await;
    cluster.upstreams.borrow_mut().push(replacement);
    if is_quiet {
        cluster.drains.borrow_mut().push(Drain { upstream: at, written });
    }
}
