//! Clients take up their streams after the shares of a split route were changed.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use lycheelatch_fakes::entry::prompt_headers;
use tokio::time::{Instant, sleep};

use crate::{
    Setting, Verdict,
    case_taken_up::take_up,
    client::{attempt, attempt_until},
    cluster::{Cluster, ZONES},
    config::split_configuration,
    names::Names,
    runner::{Framing, Place, Runner, Work},
};

const SERVICES: [&str; 2] = ["sack-model", "sack-model-next"];
/// Weights of the services, before the change and after it.
const WEIGHTS: [[usize; 2]; 2] = [[90, 10], [10, 90]];
const STREAMS: u64 = 48;
const TIMEOUT_MS: u64 = 12_000;
const DEADLINE: Duration = Duration::from_secs(12);
/// Time from the beginning of the streams to the change.
const CHANGED_AFTER: Duration = Duration::from_millis(1000);
/// Time from the change until the connections break; it is in force 2 s after it.
const BROKEN_AFTER: Duration = Duration::from_millis(3000);

pub async fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let names = Rc::new(Names::learn().await);
    let [before, after] =
        WEIGHTS.map(|[first, second]| [(SERVICES[0], first), (SERVICES[1], second)]);
    let config = split_configuration(1, &before, TIMEOUT_MS);
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
    for service in SERVICES {
        for (zone, _) in ZONES {
            let id = format!("i-{service}-{zone}");
            let place = Place { id, service: service.to_owned(), zone: zone.to_owned() };
            let (names, runs) = (names.clone(), runs.clone());
            let runner =
                Runner::start(place, "v1", work.clone(), names, runs, record.clone()).await;
            cluster.keep_registered(runner, is_reached.clone());
        }
    }
    cluster.settle().await;
    // The clients of a zone have their connections at its two nodes.
    let first = cluster.node("frontend-lima-a-1").callers;
    let retry = cluster.node("frontend-lima-a-2").callers;
    let began = Instant::now();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            actix_rt::spawn(async move {
                let deadline = Instant::now() + DEADLINE;
                let broken_at = began + CHANGED_AFTER + BROKEN_AFTER;
                let prompt = prompt_headers(&[0xa, 0x100 + number], 0x5000 + number);
                let path = "/resume/x";
                let begun = attempt_until(first, path, &prompt, deadline, broken_at, &record).await;
                take_up(begun, &prompt, retry, deadline, &record).await
            })
        })
        .collect();
    sleep(CHANGED_AFTER).await;
    if setting.is_troubled {
        let config = split_configuration(2, &after, TIMEOUT_MS);
        cluster.store.put("op/config", &config);
        record.line(&format!("configuration, acknowledged: {config}"));
    }
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
    let (mut taken_up, mut went_on) = (0, 0);
    for client in clients {
        let tries = client.await.expect("the client ends");
        taken_up += u32::from(tries.len() > 1);
        went_on += u32::from(tries[1..].iter().any(|attempt| !attempt.events.is_empty()));
    }
    let mut begun = 0;
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
