//! Requests with a part that crashes runners come a few at the same time, and go on to reach runners.

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

/// The part that crashes runners.
const HARMFUL: u64 = 0xbad;
/// Parts before it, one for each of the requests that come at the same time.
const FIRST_PARTS: [u64; 4] = [0xa, 0xb, 0xc, 0xd];
/// Time between two requests that come together, and between two times at which they come.
const WITHIN_BURST: Duration = Duration::from_millis(20);
const BURST_INTERVAL: Duration = Duration::from_secs(4);
const SOUND_INTERVAL: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_secs(8);
const LENGTH: Duration = Duration::from_secs(40);

pub async fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let names = Rc::new(Names::learn().await);
    let config = configuration(&["sack-model"], 8_000);
    record.line(&format!("configuration: {config}"));
    let cluster = Cluster::start(&setting.repository, &config, record.clone()).await;
    let work = Work {
        first_event: Duration::from_millis(200),
        gap: Duration::from_millis(100),
        events: 8,
        crashes_on: setting.is_troubled.then_some(HARMFUL),
        down: Duration::from_secs(3),
        framing: Framing::Chunks,
    };
    let runs: Rc<RefCell<Vec<Run>>> = Rc::default();
    let is_reached = Rc::new(Cell::new(true));
    for at in 0..9 {
        let zone = ZONES[at % ZONES.len()].0.to_owned();
        let place = Place { id: format!("i-{at}"), service: "sack-model".to_owned(), zone };
        let runner =
            Runner::start(place, "v1", work.clone(), names.clone(), runs.clone(), record.clone());
        cluster.keep_registered(runner.await, is_reached.clone());
    }
    cluster.settle().await;
    let began = Instant::now();
    let nodes: Vec<_> = cluster.nodes.iter().map(|node| node.callers).collect();
    let (sound_nodes, sound_record) = (nodes.clone(), record.clone());
    let sent: Rc<Cell<u32>> = Rc::default();
    let failed: Rc<RefCell<Vec<Instant>>> = Rc::default();
    let (sound_sent, sound_failed) = (sent.clone(), failed.clone());
    let sound = actix_rt::spawn(async move {
        for number in 0_u64.. {
            let to = sound_nodes[rand::random_range(0..sound_nodes.len())];
            let first = FIRST_PARTS[number as usize % FIRST_PARTS.len()];
            let extra = prompt_headers(&[first, 0x100 + number % 40], 0x10_0000 + number);
            let (record, sent, failed) =
                (sound_record.clone(), sound_sent.clone(), sound_failed.clone());
            let deadline = Instant::now() + DEADLINE;
            actix_rt::spawn(async move {
                let answered = attempt(to, "/stream/x", &extra, deadline, &record).await;
                sent.set(sent.get() + 1);
                let is_served = answered.is_complete && !answered.events.is_empty();
                if !is_served {
                    failed.borrow_mut().push(Instant::now());
                }
            });
            sleep(SOUND_INTERVAL).await;
        }
    });
    sleep(Duration::from_secs(2)).await;
    for number in 0_u64.. {
        if began.elapsed() > LENGTH {
            break;
        }
        for (at, first) in FIRST_PARTS.into_iter().enumerate() {
            let to = nodes[(number as usize * FIRST_PARTS.len() + at) % nodes.len()];
            let own = 0x8000 + number * 16 + at as u64;
            let extra = prompt_headers(&[first, HARMFUL, 0x7000 + own], own);
            let record = record.clone();
            let deadline = Instant::now() + DEADLINE;
            actix_rt::spawn(
                async move { attempt(to, "/stream/x", &extra, deadline, &record).await },
            );
            sleep(WITHIN_BURST).await;
        }
        sleep(BURST_INTERVAL).await;
    }
    sound.abort();
    judge(setting, &runs.borrow(), sent.get(), &failed.borrow())
}

fn judge(setting: &Setting, runs: &[Run], sent: u32, failed: &[Instant]) -> Verdict {
    let record = &setting.record;
    let harmful: Vec<_> = runs.iter().filter(|run| run.is_harmful).collect();
    record.show(&format!("sound streams: {sent}; not served: {}", failed.len()));
    record.show(&format!("requests with the part that reached runners: {}", harmful.len()));
    let Some(fifth) = harmful.get(4).map(|run| run.at) else { return Verdict::Held };
    let from = fifth + STABLE_WINDOW;
    let counted = harmful.iter().filter(|run| run.at > from).count();
    let lost = failed.iter().filter(|at| **at > from).count();
    record.show(&format!(
        "over 3 s after the fifth crash: {counted} of them, and {lost} sound streams not served"
    ));
    if counted > 3 { Verdict::Broken } else { Verdict::Held }
}
