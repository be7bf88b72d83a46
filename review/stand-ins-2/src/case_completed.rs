//! The roll-out of a bad version is completed: one that fails under the usual load of a runner, or
//! one that turns bad while the leader is cut off from the other nodes.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use lycheelatch_gateway::Store;
use lycheelatch_platform::PlatformStore;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::{
    Setting, Verdict,
    client::attempt,
    cluster::{Cluster, ZONES},
    config::configuration,
    names::Names,
    record::Record,
    runner::{Badness, Framing, Place, Runner, Work},
};

const SERVICE: &str = "sack-model";
const HOLDER_KEY: &str = "lycheelatch/holder";
const ORDER_KEY: &str = "op/rollout/sack-model";
const STATUS_KEY: &str = "status/rollout/sack-model";
/// `exposure_share`, `exposure_slack` and `rollback_ms` of the deployment.
const EXPOSURE: f64 = 0.1;
const EXTRA: usize = 50;
const ROLLBACK: Duration = Duration::from_secs(5);
/// Number of bad answers after which the version has to be found out.
const BAD_ANSWERS: usize = 50;
const DURATION: Duration = Duration::from_secs(20);
/// Unsafe requests within a second above which a runner is bad of a version that is bad under load.
const LOAD: usize = 3;
/// Times from the order.
const CUT_AT: Duration = Duration::from_millis(9000);
const CUT_FOR: Duration = Duration::from_millis(11_000);
const BAD_FROM: Duration = Duration::from_millis(9500);
const LENGTH: Duration = Duration::from_secs(44);
const INTERVAL: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_millis(1500);

/// How the version is bad, and what hides it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// It fails under the usual load of a runner; nothing else is disturbed.
    UnderLoad,
    /// It turns bad on one route while the leader is cut off from the other nodes.
    CutOff,
}

impl Condition {
    /// Number of runners of each version.
    fn runners(self) -> usize {
        match self {
            Condition::UnderLoad => 4,
            Condition::CutOff => 9,
        }
    }
}

pub async fn play(setting: &Setting, condition: Condition) -> Verdict {
    let record = &setting.record;
    let names = Rc::new(Names::learn().await);
    let config = configuration(&[SERVICE], 1_500);
    record.line(&format!("configuration: {config}"));
    let leader = "frontend-lima-d-1";
    let bounds = json!({"rollout": {
        "exposure": EXPOSURE.to_string(), "extra": EXTRA.to_string(), "rollback": "5000ms",
    }});
    let (repository, apart) = (&setting.repository, [leader]);
    let started =
        Cluster::start_with(repository, &config, record.clone(), &apart, false, &bounds).await;
    let (cluster, links) = (Rc::new(started.0), started.1);
    let mut old = Vec::new();
    for at in 0..condition.runners() {
        old.push(start(&cluster, &format!("i-{at}"), at, "v1", &names, record).await);
    }
    cluster.settle().await;
    if !lead(&cluster, leader, record).await {
        return Verdict::NotRun;
    }
    let sent: Rc<RefCell<Vec<(Instant, String)>>> = Rc::default();
    let traffic = send(&cluster, leader, sent.clone(), record);
    sleep(Duration::from_secs(3)).await;
    let mut new = Vec::new();
    for at in 0..condition.runners() {
        new.push(start(&cluster, &format!("n-{at}"), at, "v2", &names, record).await);
    }
    if condition == Condition::UnderLoad && setting.is_troubled {
        record.line(&format!(
            "a runner of v2 fails three in five unsafe requests while it gets over {LOAD} a second"
        ));
        new.iter().for_each(|(runner, _)| runner.badness.set(Badness::UnderLoad(LOAD)));
    }
    sleep(Duration::from_secs(1)).await;
    record.line("the operator orders the roll-out to v2");
    let order = json!({"service": SERVICE, "to": "v2", "duration_s": DURATION.as_secs()});
    cluster.store.put(ORDER_KEY, &order);
    let ordered = Instant::now();
    let (mut has_begun, mut has_ended, mut is_bad) = (false, false, false);
    let mut state = String::new();
    while ordered.elapsed() < LENGTH {
        let is_cut_off = condition == Condition::CutOff && setting.is_troubled;
        if is_cut_off && !has_begun && ordered.elapsed() >= CUT_AT {
            record.line(&format!("{leader}, which leads, is cut off from all other nodes"));
            links.cut();
            has_begun = true;
        }
        if has_begun && !has_ended && ordered.elapsed() >= CUT_AT + CUT_FOR {
            record.line("the cut ends");
            links.heal();
            has_ended = true;
        }
        if condition == Condition::CutOff && !is_bad && ordered.elapsed() >= BAD_FROM {
            record.line("v2 fails three in five unsafe requests from now on");
            new.iter().for_each(|(runner, _)| runner.badness.set(Badness::Always));
            is_bad = true;
        }
        let status = cluster.store.value(STATUS_KEY);
        let now = status.and_then(|status| Some(status["state"].as_str()?.to_owned()));
        if let Some(now) = now.filter(|now| *now != state) {
            record
                .show(&format!("{:.1} s after the order: {now}", ordered.elapsed().as_secs_f64()));
            if now == "completed" {
                // The old runners stop at once.
                for (runner, is_reached) in &old {
                    is_reached.set(false);
                    runner.crash();
                    cluster.store.delete(&format!("servers/{}", runner.id));
                }
            }
            state = now;
        }
        sleep(Duration::from_millis(20)).await;
    }
    traffic.iter().for_each(|task| task.abort());
    judge(setting, &old, &new, &sent.borrow(), ordered)
}

type Registered = (Rc<Runner>, Rc<Cell<bool>>);

async fn start(
    cluster: &Cluster,
    id: &str,
    at: usize,
    version: &str,
    names: &Rc<Names>,
    record: &Record,
) -> Registered {
    let work = Work {
        first_event: Duration::from_millis(20),
        gap: Duration::from_millis(20),
        events: 5,
        crashes_on: None,
        down: Duration::ZERO,
        framing: Framing::Chunks,
    };
    let zone = ZONES[at % ZONES.len()].0.to_owned();
    let place = Place { id: id.to_owned(), service: SERVICE.to_owned(), zone };
    let runs = Rc::default();
    let runner = Runner::start(place, version, work, names.clone(), runs, record.clone()).await;
    let is_reached = Rc::new(Cell::new(true));
    cluster.keep_registered(runner.clone(), is_reached.clone());
    (runner, is_reached)
}

/// Lets one node become the leader: the others are started again once it is. Returns whether it is.
async fn lead(cluster: &Cluster, name: &str, record: &Record) -> bool {
    let store = PlatformStore::new(cluster.store.address());
    let others: Vec<_> = cluster.nodes.iter().filter(|node| node.name != name).collect();
    others.iter().for_each(|node| node.kill());
    let mut holder = String::new();
    for _ in 0..80 {
        sleep(Duration::from_millis(100)).await;
        let item = store.get(HOLDER_KEY).await.ok().flatten();
        holder =
            item.map(|item| String::from_utf8_lossy(&item.value).into_owned()).unwrap_or_default();
        if holder == name {
            break;
        }
    }
    others.iter().for_each(|node| node.start());
    cluster.settle().await;
    record.line(&format!("the leader is {holder}"));
    holder == name
}

/// Sends safe requests to all nodes, and unsafe ones to all but one, at which no client of them has
/// its connections.
fn send(
    cluster: &Rc<Cluster>,
    without: &str,
    sent: Rc<RefCell<Vec<(Instant, String)>>>,
    record: &Record,
) -> Vec<actix_rt::task::JoinHandle<()>> {
    let all: Vec<_> = cluster.nodes.iter().map(|node| node.callers).collect();
    let some = cluster.nodes.iter().filter(|node| node.name != without);
    let some: Vec<_> = some.map(|node| node.callers).collect();
    let kinds = [("/safe/x", all), ("/once/x", some)];
    let tasks = kinds.into_iter().map(|(path, nodes)| {
        let (sent, record) = (sent.clone(), record.clone());
        actix_rt::spawn(async move {
            for number in 0_usize.. {
                let to = nodes[number % nodes.len()];
                let (sent, record) = (sent.clone(), record.clone());
                actix_rt::spawn(async move {
                    let at = Instant::now();
                    let answer = attempt(to, path, "", at + DEADLINE, &record).await;
                    sent.borrow_mut().push((at, answer.id));
                });
                sleep(INTERVAL).await;
            }
        })
    });
    tasks.collect()
}

fn judge(
    setting: &Setting,
    old: &[Registered],
    new: &[Registered],
    sent: &[(Instant, String)],
    ordered: Instant,
) -> Verdict {
    let record = &setting.record;
    let received = |runners: &[Registered]| -> Vec<(Instant, String, bool)> {
        let mut all: Vec<_> =
            runners.iter().flat_map(|(runner, _)| runner.received.borrow().clone()).collect();
        all.sort_by_key(|(at, ..)| *at);
        all
    };
    let (at_old, at_new) = (received(old), received(new));
    let until_deadline = |all: &[(Instant, String, bool)]| {
        all.iter().filter(|(at, ..)| *at >= ordered && *at < ordered + DURATION).count()
    };
    let (of_old, of_new) = (until_deadline(&at_old), until_deadline(&at_new));
    record.show(&format!("unsafe requests until the deadline: {of_old} at v1, {of_new} at v2"));
    let bad: Vec<_> = at_new.iter().filter(|(.., fails)| *fails).map(|(at, ..)| *at).collect();
    record.show(&format!("bad answers of v2: {}", bad.len()));
    if at_new.len() < 5 {
        return Verdict::NotRun;
    }
    let Some(fiftieth) = bad.get(BAD_ANSWERS - 1) else { return Verdict::Held };
    let sent_at = |id: &str| sent.iter().find(|(_, known)| known == id).map(|(at, _)| *at);
    let late =
        at_new.iter().filter(|(_, id, _)| sent_at(id).is_some_and(|at| at > *fiftieth + ROLLBACK));
    let late = late.count();
    record.show(&format!(
        "the 50th came {:.1} s after the order; unsafe requests at v2 that were sent over 5 s later: {late}",
        (*fiftieth - ordered).as_secs_f64()
    ));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
