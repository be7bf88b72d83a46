//! One run: nodes, store, runners, callers and faults.

use std::{cell::RefCell, path::PathBuf, rc::Rc, time::Duration};

use lycheelatch_fakes::entry::{
    Behavior, FakeStore, ScriptedUpstream, StoreMode, WorkspaceLimit, config_document,
    upstream_entry,
};
use rustix::process::Signal;
use tokio::time::{Instant, sleep};

use crate::{
    check::{Left, Report, check_drains, check_kinds, check_recovery, check_requests, is_served},
    faults::{Fault, plan},
    load::{Record, call_forever},
    nodes::Node,
};

const NODES: usize = 3;
const RUNNERS: usize = 4;
const CALLERS: usize = 12;

/// Time for nodes to start, and to come back after the last fault.
const SETTLE: Duration = Duration::from_secs(3);
const RECOVER: Duration = Duration::from_secs(9);

/// Time without a disturbance from which a leaving counts.
const CALM: Duration = Duration::from_secs(4);

/// One run.
pub(crate) struct World {
    seed: u64,
    store: FakeStore,
    runners: RefCell<Vec<ScriptedUpstream>>,
    nodes: Rc<Vec<Node>>,
    record: Record,
    left: RefCell<Vec<Left>>,
    version: RefCell<u64>,
    store_disturbed: RefCell<Instant>,
    faults: RefCell<Vec<String>>,
}

impl World {
    /// Starts everything.
    pub(crate) async fn start(seed: u64, program: PathBuf) -> World {
        let store = FakeStore::start().await;
        store.put("op/config", &config_document(1, WorkspaceLimit::default()));
        let mut runners = Vec::new();
        for at in 0..RUNNERS {
            runners.push(start_runner(&store, at).await);
        }
        let dir = std::env::temp_dir().join(format!("lycheelatch-soak-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory for settings");
        let nodes = (0..NODES)
            .map(|at| Node::start(at, program.clone(), &dir, store.address(), true))
            .collect();
        World {
            seed,
            store,
            runners: RefCell::new(runners),
            nodes: Rc::new(nodes),
            record: Record::default(),
            left: RefCell::default(),
            version: RefCell::new(1),
            store_disturbed: RefCell::new(Instant::now()),
            faults: RefCell::default(),
        }
    }

    /// Plays the faults and returns what was seen.
    pub(crate) async fn run(self, length: Duration) -> Report {
        sleep(SETTLE).await;
        let callers: Vec<_> = (0..CALLERS)
            .map(|at| actix_rt::spawn(call_forever(at, self.nodes.clone(), self.record.clone())))
            .collect();
        let world = Rc::new(self);
        let started = Instant::now();
        for planned in plan(world.seed, NODES, RUNNERS, length) {
            sleep(planned.after).await;
            let line = format!("{:?}: {:?}", started.elapsed(), planned.fault);
            world.faults.borrow_mut().push(line);
            actix_rt::spawn(play(world.clone(), planned.fault));
        }
        sleep(SETTLE).await;
        world.store.set_mode(StoreMode::Up);
        world.nodes.iter().for_each(|node| node.revive());
        sleep(RECOVER).await;
        let calm = Instant::now();
        sleep(SETTLE).await;
        callers.iter().for_each(|task| task.abort());
        world.report(calm)
    }

    fn report(&self, calm: Instant) -> Report {
        let told = self.record.borrow();
        let ran: Vec<_> = self.runners.borrow().iter().map(ScriptedUpstream::executed).collect();
        let all: Vec<_> = ran.iter().flatten().cloned().collect();
        let mut broken = check_requests(&told, &all);
        broken.extend(check_drains(&self.left.borrow(), &ran));
        broken.extend(check_recovery(&told, calm));
        broken.extend(check_kinds(&told));
        Report {
            seed: self.seed,
            requests: told.len(),
            served: told.iter().filter(|told| is_served(told)).count(),
            faults: self.faults.borrow().clone(),
            broken,
        }
    }

    /// Returns the position of one of the runners that came last.
    fn live(&self, at: usize) -> usize {
        self.runners.borrow().len() - RUNNERS + at
    }

    /// Returns whether neither the store nor any node was disturbed lately.
    fn is_calm(&self) -> bool {
        let is_long_ago = |at: Instant| at.elapsed() > CALM;
        let nodes = self.nodes.iter();
        is_long_ago(*self.store_disturbed.borrow())
            && nodes.into_iter().all(|node| is_long_ago(node.disturbed.get()))
    }
}

async fn start_runner(store: &FakeStore, at: usize) -> ScriptedUpstream {
    let runner = ScriptedUpstream::start([]).await;
    runner.set_default(Behavior::Echo);
    store.put(&format!("servers/r-{at}"), &upstream_entry(runner.address(), "ready"));
    runner
}

/// Plays one fault.
async fn play(world: Rc<World>, fault: Fault) {
    match fault {
        Fault::Kill { node, down } => {
            world.nodes[node].signal(Signal::KILL);
            sleep(down).await;
            world.nodes[node].revive();
        }
        Fault::Stop { node } => {
            world.nodes[node].signal(Signal::TERM);
            sleep(Duration::from_secs(7)).await;
            world.nodes[node].revive();
        }
        Fault::Pause { node, time } => {
            world.nodes[node].signal(Signal::STOP);
            sleep(time).await;
            world.nodes[node].signal(Signal::CONT);
        }
        Fault::Reload { node } => world.nodes[node].signal(Signal::HUP),
        Fault::Store { mode, time } => {
            world.store_disturbed.replace(Instant::now());
            world.store.set_mode(mode);
            sleep(time).await;
            world.store.set_mode(StoreMode::Up);
            world.store_disturbed.replace(Instant::now());
        }
        Fault::Compact => world.store.compact(),
        Fault::Leave { runner } => leave(&world, runner).await,
        Fault::Acts { runner, act, times } => {
            let runner = world.runners.borrow()[world.live(runner)].clone();
            (0..times).for_each(|_| runner.push(act.clone()));
        }
        Fault::Configure => {
            let version = *world.version.borrow() + 1;
            world.version.replace(version);
            world.store.put("op/config", &config_document(version, WorkspaceLimit::default()));
        }
    }
}

/// Lets a runner drain and go, and another one come.
async fn leave(world: &World, at: usize) {
    let is_calm = world.is_calm();
    let at = world.live(at);
    let runner = world.runners.borrow()[at].clone();
    let key = format!("servers/r-{at}");
    world.store.put(&key, &upstream_entry(runner.address(), "draining"));
    let written = Instant::now();
    sleep(Duration::from_secs(4)).await;
    let is_calm = is_calm && world.is_calm();
    world.store.delete(&key);
    sleep(Duration::from_millis(700)).await;
    let number = world.runners.borrow().len();
    let fresh = start_runner(&world.store, number).await;
    world.runners.borrow_mut().push(fresh);
    if is_calm {
        world.left.borrow_mut().push(Left { runner: at, at: written });
    }
}
