//! Requests with a part that crashes runners come one after the other.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use lycheelatch_fakes::entry::prompt_headers;
use tokio::time::{Instant, sleep};

use crate::{
    Setting, Verdict,
    client::attempt,
    cluster::{Cluster, STABLE_WINDOW, ZONES},
    config::configuration,
    names::Names,
    runner::{Framing, Place, Run, Runner, Work},
};

const SERVICES: [&str; 2] = ["sack-model", "sack-model-next"];
/// The part that crashes runners.
const HARMFUL: u64 = 0xbad;
/// Time between two requests with it.
const HARMFUL_INTERVAL: Duration = Duration::from_millis(3500);
/// The same from `OFTEN_AFTER` on.
const OFTEN_INTERVAL: Duration = Duration::from_millis(250);
const OFTEN_AFTER: Duration = Duration::from_secs(60);
const SOUND_INTERVAL: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_secs(8);

/// What the requests meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// One service, and streams in chunks; for comparison.
    Plain,
    /// Streams that end with their connection, of one service.
    UntilClose,
    /// Their route is split between two services.
    SplitRoute,
}

impl Condition {
    fn length(self) -> Duration {
        Duration::from_secs(if self == Condition::UntilClose { 50 } else { 100 })
    }
}

pub async fn play(setting: &Setting, condition: Condition) -> Verdict {
    let record = &setting.record;
    let names = Rc::new(Names::learn().await);
    let services = &SERVICES[..if condition == Condition::SplitRoute { 2 } else { 1 }];
    let framing = match condition {
        Condition::UntilClose => Framing::UntilClose,
        Condition::Plain | Condition::SplitRoute => Framing::Chunks,
    };
    let config = configuration(services, 8_000);
    record.line(&format!("configuration: {config}"));
    let cluster = Cluster::start(&setting.repository, &config, record.clone()).await;
    let work = Work {
        first_event: Duration::from_millis(200),
        gap: Duration::from_millis(100),
        events: 8,
        crashes_on: setting.is_troubled.then_some(HARMFUL),
        down: Duration::from_secs(3),
        framing,
    };
    let runs: Rc<RefCell<Vec<Run>>> = Rc::default();
    let is_reached = Rc::new(Cell::new(true));
    for at in 0..9 {
        let zone = ZONES[at % ZONES.len()].0.to_owned();
        let service = services[at % services.len()].to_owned();
        let place = Place { id: format!("i-{at}"), service, zone };
        let runner =
            Runner::start(place, "v1", work.clone(), names.clone(), runs.clone(), record.clone());
        cluster.keep_registered(runner.await, is_reached.clone());
    }
    cluster.settle().await;
    let began = Instant::now();
    let nodes: Vec<_> = cluster.nodes.iter().map(|node| node.callers).collect();
    let (sound_nodes, sound_record) = (nodes.clone(), record.clone());
    let sent: Rc<Cell<u32>> = Rc::default();
    let failed: Rc<Cell<u32>> = Rc::default();
    let (sound_sent, sound_failed) = (sent.clone(), failed.clone());
    let sound = actix_rt::spawn(async move {
        for number in 0_u64.. {
            let to = sound_nodes[rand::random_range(0..sound_nodes.len())];
            let extra = prompt_headers(&[0xa, 0x100 + number % 40], 0x10_0000 + number);
            let (record, sent, failed) =
                (sound_record.clone(), sound_sent.clone(), sound_failed.clone());
            let deadline = Instant::now() + DEADLINE;
            actix_rt::spawn(async move {
                let answered = attempt(to, "/stream/x", &extra, deadline, &record).await;
                sent.set(sent.get() + 1);
                let is_served = answered.is_complete && !answered.events.is_empty();
                failed.set(failed.get() + u32::from(!is_served));
            });
            sleep(SOUND_INTERVAL).await;
        }
    });
    sleep(Duration::from_secs(1)).await;
    let mut number = 0;
    while began.elapsed() < condition.length() {
        let to = nodes[rand::random_range(0..nodes.len())];
        let extra = prompt_headers(&[0xa, HARMFUL, 0x7000 + number], 0x8000 + number);
        number += 1;
        let record = record.clone();
        let deadline = Instant::now() + DEADLINE;
        actix_rt::spawn(async move { attempt(to, "/stream/x", &extra, deadline, &record).await });
        let is_often = began.elapsed() >= OFTEN_AFTER;
        sleep(if is_often { OFTEN_INTERVAL } else { HARMFUL_INTERVAL }).await;
    }
    sound.abort();
    record.show(&format!("sound streams: {}; not served: {}", sent.get(), failed.get()));
    judge(setting, &runs.borrow(), number, began)
}

fn judge(setting: &Setting, runs: &[Run], sent: u64, began: Instant) -> Verdict {
    let record = &setting.record;
    let harmful: Vec<_> = runs.iter().filter(|run| run.is_harmful).collect();
    record.show(&format!("requests with the part: {sent}; reached runners: {}", harmful.len()));
    let times: Vec<_> =
        harmful.iter().map(|run| format!("{:.1}", (run.at - began).as_secs_f64())).collect();
    record.show(&format!("crashes, in seconds from the first request: {}", times.join(" ")));
    let Some(fifth) = harmful.get(4).map(|run| run.at) else { return Verdict::Held };
    let late = harmful.iter().filter(|run| run.at > fifth + STABLE_WINDOW).count();
    record.show(&format!("over 3 s after the fifth crash: {late}"));
    if late > 3 { Verdict::Broken } else { Verdict::Held }
}
