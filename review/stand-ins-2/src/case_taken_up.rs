//! Clients take up their streams at other nodes, after the only node of a zone was killed.

use std::{cell::Cell, cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use lycheelatch_fakes::entry::prompt_headers;
use tokio::time::{Instant, sleep};

use crate::{
    Setting, Verdict,
    client::{Attempt, attempt},
    cluster::{Cluster, ZONES},
    config::configuration,
    names::Names,
    record::Record,
    runner::{Framing, Place, Runner, Work},
};

const SERVICES: [&str; 2] = ["sack-model", "sack-model-next"];
const STREAMS: u64 = 24;
const DEADLINE: Duration = Duration::from_secs(12);
const DOWN: Duration = Duration::from_millis(3500);

/// Tries of a client after its stream was cut; the sheet names one.
const TRIES: u32 = 3;

/// What holds when the node is killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// One service and one version; for comparison.
    Plain,
    /// The route is split between two services.
    SplitRoute,
    /// Runners of a newer version have joined since the streams began.
    NewerVersion,
}

pub async fn play(setting: &Setting, condition: Condition) -> Verdict {
    let record = &setting.record;
    let names = Rc::new(Names::learn().await);
    let is_split = condition == Condition::SplitRoute;
    let services = if is_split { &SERVICES[..] } else { &SERVICES[..1] };
    let config = configuration(services, 12_000);
    record.line(&format!("configuration: {config}"));
    let cluster = Cluster::start(&setting.repository, &config, record.clone()).await;
    let work = Work {
        first_event: Duration::from_millis(50),
        gap: Duration::from_millis(200),
        events: 35,
        crashes_on: None,
        down: Duration::ZERO,
        framing: Framing::Chunks,
    };
    let runs = Rc::new(RefCell::new(Vec::new()));
    let is_reached = Rc::new(Cell::new(true));
    for service in services {
        for (zone, _) in ZONES {
            let id = format!("i-{service}-{zone}");
            let place = Place { id, service: (*service).to_owned(), zone: zone.to_owned() };
            let runner = Runner::start(
                place,
                "v1",
                work.clone(),
                names.clone(),
                runs.clone(),
                record.clone(),
            );
            cluster.keep_registered(runner.await, is_reached.clone());
        }
    }
    cluster.settle().await;
    let killed = cluster.node("frontend-lima-d-1");
    let others: Vec<_> = cluster
        .nodes
        .iter()
        .filter(|node| node.name != killed.name)
        .map(|node| node.callers)
        .collect();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            let (first, retry) = (killed.callers, others[number as usize % others.len()]);
            actix_rt::spawn(async move { stream(number, first, retry, &record).await })
        })
        .collect();
    sleep(Duration::from_millis(1500)).await;
    if condition == Condition::NewerVersion {
        for (zone, _) in ZONES {
            let id = format!("i-newer-{zone}");
            let place = Place { id, service: SERVICES[0].to_owned(), zone: zone.to_owned() };
            let runner = Runner::start(
                place,
                "v2",
                work.clone(),
                names.clone(),
                runs.clone(),
                record.clone(),
            );
            cluster.keep_registered(runner.await, is_reached.clone());
        }
    }
    sleep(Duration::from_millis(1000)).await;
    if setting.is_troubled {
        record.line(&format!("SIGKILL to {}", killed.name));
        killed.kill();
        sleep(Duration::from_millis(100)).await;
    }
    // New streams begin at the same nodes at the same time.
    let new: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            let to = others[number as usize % others.len()];
            let extra = prompt_headers(&[0xa, 0x100 + number], 0x9000 + number);
            let deadline = Instant::now() + DEADLINE;
            actix_rt::spawn(
                async move { attempt(to, "/resume/x", &extra, deadline, &record).await },
            )
        })
        .collect();
    if setting.is_troubled {
        sleep(DOWN).await;
        killed.start();
        record.line(&format!("{} started again", killed.name));
    }
    let (mut taken_up, mut went_on, mut whole) = (0, 0, 0);
    for client in clients {
        let tries = client.await.expect("the client ends");
        let is_taken_up = tries.len() > 1;
        taken_up += u32::from(is_taken_up);
        went_on += u32::from(tries[1..].iter().any(|attempt| !attempt.events.is_empty()));
        whole += u32::from(
            tries.iter().any(|attempt| attempt.is_complete && !attempt.events.is_empty()),
        );
    }
    let mut begun = 0;
    for attempt in new {
        begun += u32::from(!attempt.await.expect("the client ends").events.is_empty());
    }
    record.show(&format!(
        "streams: {STREAMS}; taken up: {taken_up}; of these went on: {went_on}; whole in the end: {whole}"
    ));
    record.show(&format!("new streams: {STREAMS}; begun: {begun}"));
    judge(setting, taken_up, went_on, begun, whole)
}

fn judge(setting: &Setting, taken_up: u32, went_on: u32, begun: u32, whole: u32) -> Verdict {
    let new_share = f64::from(begun) / STREAMS as f64;
    if begun == 0 || !setting.is_troubled && u64::from(whole) < STREAMS {
        return Verdict::NotRun;
    }
    if setting.is_troubled && taken_up < 12 {
        return Verdict::NotRun;
    }
    let share = f64::from(went_on) / f64::from(taken_up.max(1));
    let is_broken = taken_up >= 12 && share < new_share / 2.0;
    if is_broken { Verdict::Broken } else { Verdict::Held }
}

/// Reads a stream, and takes it up at another node if it is cut.
async fn stream(
    number: u64,
    first: SocketAddr,
    retry: SocketAddr,
    record: &Record,
) -> Vec<Attempt> {
    let deadline = Instant::now() + DEADLINE;
    let prompt = prompt_headers(&[0xa, 0x100 + number], 0x5000 + number);
    let begun = attempt(first, "/resume/x", &prompt, deadline, record).await;
    take_up(begun, &prompt, retry, deadline, record).await
}

/// Takes up a stream at a node, if it was cut; returns all tries.
pub async fn take_up(
    begun: Attempt,
    prompt: &str,
    retry: SocketAddr,
    deadline: Instant,
    record: &Record,
) -> Vec<Attempt> {
    let mut tries = vec![begun];
    let Some(last) = tries[0].last_event().filter(|_| !tries[0].is_complete) else { return tries };
    for _ in 0..TRIES {
        let extra = format!("{prompt}Last-Event-Id: {last}\r\nResumes: {}\r\n", tries[0].id);
        let next = attempt(retry, "/resume/x", &extra, deadline, record).await;
        let wait = next.retry_after;
        let is_over = !next.events.is_empty();
        tries.push(next);
        if is_over {
            break;
        }
        sleep(wait.unwrap_or(Duration::from_millis(100))).await;
    }
    tries
}
