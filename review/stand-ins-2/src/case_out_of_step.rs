//! Streams go on at another software version at two nodes that are cut off together.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
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
/// Nodes of a zone that are cut off together, from the store and from the nodes of other zones.
const APART: [&str; 2] = ["frontend-lima-a-1", "frontend-lima-a-2"];
const CUT_FOR: Duration = Duration::from_millis(4000);
/// Times from the cut: a newer version registers, streams begin, and their clients move.
const JOINED_AFTER: Duration = Duration::from_millis(200);
const BEGIN_AFTER: Duration = Duration::from_millis(1000);
const MOVED_AFTER: Duration = Duration::from_millis(1600);

pub async fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let names = Rc::new(Names::learn().await);
    let config = configuration(&[SERVICE], 12_000);
    record.line(&format!("configuration: {config}"));
    let repository = &setting.repository;
    let started = Cluster::start_with_links(repository, &config, record.clone(), &APART, true);
    let (cluster, links) = started.await;
    let work = Work {
        first_event: Duration::from_millis(50),
        gap: Duration::from_millis(100),
        events: 35,
        crashes_on: None,
        down: Duration::ZERO,
        framing: Framing::Chunks,
    };
    let runs = Rc::new(RefCell::new(Vec::new()));
    let is_reached = Rc::new(Cell::new(true));
    let start = async |id: String, zone: &str, version: &str| {
        let place = Place { id, service: SERVICE.to_owned(), zone: zone.to_owned() };
        let (names, runs) = (names.clone(), runs.clone());
        let runner = Runner::start(place, version, work.clone(), names, runs, record.clone());
        cluster.keep_registered(runner.await, is_reached.clone());
    };
    for (zone, _) in ZONES {
        start(format!("i-{zone}"), zone, "v1").await;
    }
    cluster.settle().await;
    let first = cluster.node("frontend-lima-b-1").callers;
    let to = APART.map(|name| cluster.node(name).callers);
    let began = Instant::now();
    if setting.is_troubled {
        record.line(&format!("{} are cut off together", APART.join(", ")));
        links.cut();
    }
    sleep(JOINED_AFTER).await;
    for (zone, _) in ZONES {
        start(format!("i-newer-{zone}"), zone, "v2").await;
    }
    sleep((began + BEGIN_AFTER).saturating_duration_since(Instant::now())).await;
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            let retry = to[number as usize % to.len()];
            let moved_at = began + MOVED_AFTER;
            actix_rt::spawn(async move { stream(number, first, retry, moved_at, &record).await })
        })
        .collect();
    sleep((began + CUT_FOR).saturating_duration_since(Instant::now())).await;
    links.heal();
    record.line("the links are whole");
    let (mut taken_up, mut went_on, mut joined) = (0, 0, 0);
    for client in clients {
        let tries = client.await.expect("the client ends");
        taken_up += u32::from(tries.len() > 1);
        went_on += u32::from(tries.len() > 1 && !tries[1].events.is_empty());
        let events = tries.iter().flat_map(|attempt| &attempt.events);
        let versions: BTreeSet<_> = events.filter_map(|(_, text)| text.split(' ').next()).collect();
        joined += u32::from(versions.len() > 1);
    }
    record.show(&format!(
        "streams: {STREAMS}; taken up: {taken_up}; of these went on: {went_on}; with events of two versions: {joined}"
    ));
    if taken_up < 12 {
        return Verdict::NotRun;
    }
    if joined > 2 { Verdict::Broken } else { Verdict::Held }
}

/// Reads a stream until its client moves to another zone, and takes it up there.
async fn stream(
    number: u64,
    first: SocketAddr,
    retry: SocketAddr,
    moved_at: Instant,
    record: &Record,
) -> Vec<Attempt> {
    let deadline = Instant::now() + DEADLINE;
    let prompt = prompt_headers(&[0xa, 0x100 + number], 0x5000 + number);
    let begun = attempt_until(first, "/resume/x", &prompt, deadline, moved_at, record).await;
    let Some(last) = begun.last_event().filter(|_| !begun.is_complete) else { return vec![begun] };
    let extra = format!("{prompt}Last-Event-Id: {last}\r\nResumes: {}\r\n", begun.id);
    let next = attempt(retry, "/resume/x", &extra, deadline, record).await;
    vec![begun, next]
}
