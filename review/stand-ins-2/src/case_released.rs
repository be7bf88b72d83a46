//! After a completed roll-out, the runners are replaced by those of a later version, and clients take
//! up the streams that began there.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use lycheelatch_fakes::entry::prompt_headers;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::{
    Setting, Verdict,
    client::{Attempt, attempt, attempt_until},
    cluster::{Cluster, HEARTBEAT, ZONES},
    config::configuration,
    names::Names,
    record::Record,
    runner::{Framing, Place, Runner, Work},
};

const SERVICE: &str = "sack-model";
const ORDER_KEY: &str = "op/rollout/sack-model";
const STATUS_KEY: &str = "status/rollout/sack-model";
const RUNNERS: usize = 9;
const ROLLOUT: Duration = Duration::from_secs(12);
/// Time for which a runner goes on to serve after it has reported that it drains.
const DRAIN: Duration = Duration::from_millis(3000);
/// Time between two runners that are replaced.
const STEP: Duration = Duration::from_millis(400);
const STREAMS: u64 = 24;
const DEADLINE: Duration = Duration::from_secs(12);
const BROKEN_AFTER: Duration = Duration::from_millis(2500);

type Registered = (Rc<Runner>, Rc<Cell<bool>>);

pub async fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let names = Rc::new(Names::learn().await);
    let config = configuration(&[SERVICE], 12_000);
    record.line(&format!("configuration: {config}"));
    let bounds = json!({"rollout": {"exposure": "0.1", "extra": "50", "rollback": "5000ms"}});
    let started =
        Cluster::start_with(&setting.repository, &config, record.clone(), &[], false, &bounds);
    let cluster = started.await.0;
    let old = start_all(&cluster, "v1", &names, record).await;
    cluster.settle().await;
    let new = start_all(&cluster, "v2", &names, record).await;
    sleep(Duration::from_secs(1)).await;
    let traffic = send(&cluster, record);
    record.line("the operator orders the roll-out to v2");
    let order = json!({"service": SERVICE, "to": "v2", "duration_s": ROLLOUT.as_secs()});
    cluster.store.put(ORDER_KEY, &order);
    if !is_completed(&cluster, record).await {
        return Verdict::NotRun;
    }
    old.iter().for_each(|runner| stop(&cluster, runner));
    sleep(Duration::from_secs(3)).await;
    let mut serving = new.clone();
    if setting.is_troubled {
        record.line("the runners of v2 are replaced by runners of v3, without an order");
        for (at, old) in new.iter().enumerate() {
            serving[at] = start(&cluster, "v3", at, &names, record).await;
            sleep(STEP).await;
            old.0.is_draining.set(true);
        }
        sleep(HEARTBEAT + DRAIN).await;
        new.iter().for_each(|runner| stop(&cluster, runner));
    }
    sleep(Duration::from_secs(4)).await;
    traffic.abort();
    let nodes: Vec<_> = cluster.nodes.iter().map(|node| node.callers).collect();
    let broken_at = Instant::now() + BROKEN_AFTER;
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let at = |place: u64| nodes[(number + place) as usize % nodes.len()];
        let (first, retry, record) = (at(0), at(1), record.clone());
        clients.push(actix_rt::spawn(async move {
            stream(number, first, retry, broken_at, &record).await
        }));
    }
    sleep(BROKEN_AFTER).await;
    // New streams begin at the same time.
    let mut beginners = Vec::new();
    for number in 0..STREAMS {
        let (to, record) = (nodes[number as usize % nodes.len()], record.clone());
        beginners.push(actix_rt::spawn(async move {
            let extra = prompt_headers(&[0xa, 0x100 + number], 0x9000 + number);
            attempt(to, "/resume/x", &extra, Instant::now() + DEADLINE, &record).await
        }));
    }
    let (mut taken_up, mut went_on, mut begun) = (0, 0, 0);
    for client in clients {
        let resumed = client.await.expect("the client ends");
        taken_up += u32::from(resumed.is_some());
        went_on += u32::from(resumed.is_some_and(|attempt| !attempt.events.is_empty()));
    }
    for beginner in beginners {
        begun += u32::from(!beginner.await.expect("the client ends").events.is_empty());
    }
    record.show(&format!("streams: {STREAMS}; taken up: {taken_up}; of these went on: {went_on}"));
    record.show(&format!("new streams: {STREAMS}; begun: {begun}"));
    cut_by_crash(&serving, &nodes, record).await;
    if taken_up < 12 || begun == 0 {
        return Verdict::NotRun;
    }
    let new_share = f64::from(begun) / STREAMS as f64;
    let share = f64::from(went_on) / f64::from(taken_up);
    if share < new_share / 2.0 { Verdict::Broken } else { Verdict::Held }
}

/// Shows, beside the case, how many streams are lost when two of the runners crash.
async fn cut_by_crash(serving: &[Registered], nodes: &[SocketAddr], record: &Record) {
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (to, record) = (nodes[number as usize % nodes.len()], record.clone());
        clients.push(actix_rt::spawn(async move {
            let extra = prompt_headers(&[0xa, 0x100 + number], 0xb000 + number);
            attempt(to, "/resume/x", &extra, Instant::now() + DEADLINE, &record).await
        }));
    }
    sleep(Duration::from_secs(1)).await;
    serving[..2].iter().for_each(|(runner, _)| runner.crash());
    let mut cut = 0;
    for client in clients {
        let answer = client.await.expect("the client ends");
        cut += u32::from(!answer.events.is_empty() && !answer.is_complete);
    }
    record.show(&format!(
        "after a crash of two of nine runners, streams cut for good: {cut} of {STREAMS}"
    ));
}

async fn start_all(
    cluster: &Cluster,
    version: &str,
    names: &Rc<Names>,
    record: &Record,
) -> Vec<Registered> {
    let mut runners = Vec::new();
    for at in 0..RUNNERS {
        runners.push(start(cluster, version, at, names, record).await);
    }
    runners
}

async fn start(
    cluster: &Cluster,
    version: &str,
    at: usize,
    names: &Rc<Names>,
    record: &Record,
) -> Registered {
    let work = Work {
        first_event: Duration::from_millis(50),
        gap: Duration::from_millis(200),
        events: 35,
        crashes_on: None,
        down: Duration::ZERO,
        framing: Framing::Chunks,
    };
    let zone = ZONES[at % ZONES.len()].0.to_owned();
    let place = Place { id: format!("{version}-{at}"), service: SERVICE.to_owned(), zone };
    let (names, record) = (names.clone(), record.clone());
    let runner = Runner::start(place, version, work, names, Rc::default(), record).await;
    let is_reached = Rc::new(Cell::new(true));
    cluster.keep_registered(runner.clone(), is_reached.clone());
    (runner, is_reached)
}

/// Ends a runner, whose entry goes with it.
fn stop(cluster: &Cluster, (runner, is_reached): &Registered) {
    is_reached.set(false);
    runner.crash();
    cluster.store.delete(&format!("servers/{}", runner.id));
}

/// Sends safe requests to all nodes.
fn send(cluster: &Cluster, record: &Record) -> actix_rt::task::JoinHandle<()> {
    let nodes: Vec<_> = cluster.nodes.iter().map(|node| node.callers).collect();
    let record = record.clone();
    actix_rt::spawn(async move {
        for number in 0_usize.. {
            let (to, record) = (nodes[number % nodes.len()], record.clone());
            actix_rt::spawn(async move {
                attempt(to, "/safe/x", "", Instant::now() + DEADLINE, &record).await
            });
            sleep(Duration::from_millis(40)).await;
        }
    })
}

/// Waits for the end of the roll-out; returns whether it was completed.
async fn is_completed(cluster: &Cluster, record: &Record) -> bool {
    let ordered = Instant::now();
    while ordered.elapsed() < ROLLOUT * 2 {
        let status = cluster.store.value(STATUS_KEY);
        let state = status.and_then(|status| Some(status["state"].as_str()?.to_owned()));
        if let Some(state) = state.filter(|state| state != "running") {
            let after = ordered.elapsed().as_secs_f64();
            record.show(&format!("{after:.1} s after the order: {state}"));
            return state == "completed";
        }
        sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Reads a stream until its connection breaks, and takes it up once at another node.
async fn stream(
    number: u64,
    first: SocketAddr,
    retry: SocketAddr,
    broken_at: Instant,
    record: &Record,
) -> Option<Attempt> {
    let deadline = Instant::now() + DEADLINE;
    let prompt = prompt_headers(&[0xa, 0x100 + number], 0x5000 + number);
    let begun = attempt_until(first, "/resume/x", &prompt, deadline, broken_at, record).await;
    let last = begun.last_event().filter(|_| !begun.is_complete)?;
    let extra = format!("{prompt}Last-Event-Id: {last}\r\nResumes: {}\r\n", begun.id);
    Some(attempt(retry, "/resume/x", &extra, deadline, record).await)
}
