//! Clients take up their streams at a node that is cut off from all other nodes.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use lycheelatch_fakes::entry::prompt_headers;
use tokio::time::{Instant, sleep};

use crate::{
    Setting, Verdict,
    client::{Attempt, attempt, attempt_until},
    cluster::{Cluster, ZONES},
    config::configuration,
    names::Names,
    record::Record,
    runner::{Framing, Place, Runner, Work},
};

const SERVICE: &str = "sack-model";
const STREAMS: u64 = 24;
const DEADLINE: Duration = Duration::from_secs(12);
/// Time from the cut until the streams begin, and from then until the connections break.
const BEGIN_AFTER: Duration = Duration::from_millis(500);
const BROKEN_AFTER: Duration = Duration::from_millis(2500);
const CUT_FOR: Duration = Duration::from_millis(5500);

pub async fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let names = Rc::new(Names::learn().await);
    let config = configuration(&[SERVICE], 12_000);
    record.line(&format!("configuration: {config}"));
    let alone = "frontend-lima-a-2";
    let (repository, apart) = (&setting.repository, [alone]);
    let started = Cluster::start_with_links(repository, &config, record.clone(), &apart, false);
    let (cluster, links) = started.await;
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
    for at in 0..9 {
        let zone = ZONES[at % ZONES.len()].0.to_owned();
        let place = Place { id: format!("i-{at}"), service: SERVICE.to_owned(), zone };
        let runner =
            Runner::start(place, "v1", work.clone(), names.clone(), runs.clone(), record.clone());
        cluster.keep_registered(runner.await, is_reached.clone());
    }
    cluster.settle().await;
    // The clients of a zone have their connections at its two nodes.
    let first = cluster.node("frontend-lima-a-1").callers;
    let retry = cluster.node(alone).callers;
    if setting.is_troubled {
        record.line(&format!("{alone} is cut off from all other nodes"));
        links.cut();
    }
    sleep(BEGIN_AFTER).await;
    let broken_at = Instant::now() + BROKEN_AFTER;
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            actix_rt::spawn(async move { stream(number, first, retry, broken_at, &record).await })
        })
        .collect();
    sleep(BROKEN_AFTER).await;
    // New streams begin at the same node at the same time.
    let new: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            actix_rt::spawn(async move {
                let extra = prompt_headers(&[0xa, 0x100 + number], 0x9000 + number);
                let deadline = Instant::now() + DEADLINE;
                attempt(retry, "/resume/x", &extra, deadline, &record).await
            })
        })
        .collect();
    sleep(CUT_FOR.saturating_sub(BEGIN_AFTER + BROKEN_AFTER)).await;
    links.heal();
    record.line("the links are whole");
    let (mut taken_up, mut went_on, mut begun) = (0, 0, 0);
    for client in clients {
        let resumed = client.await.expect("the client ends");
        taken_up += u32::from(resumed.is_some());
        went_on += u32::from(resumed.is_some_and(|attempt| !attempt.events.is_empty()));
    }
    for attempt in new {
        begun += u32::from(!attempt.await.expect("the client ends").events.is_empty());
    }
    record.show(&format!("streams: {STREAMS}; taken up: {taken_up}; of these went on: {went_on}"));
    record.show(&format!("new streams: {STREAMS}; begun: {begun}"));
    if taken_up < 12 || begun == 0 {
        return Verdict::NotRun;
    }
    let new_share = f64::from(begun) / STREAMS as f64;
    let share = f64::from(went_on) / f64::from(taken_up);
    if share < new_share / 2.0 { Verdict::Broken } else { Verdict::Held }
}

/// Reads a stream until its connection breaks, and takes it up once at another node; the sheet
/// names one retry.
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
