//! A stream goes on at another runner while the runner before still works on it.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use lycheelatch_fakes::entry::prompt_headers;
use tokio::time::{Instant, sleep};

use crate::{
    Setting, Verdict,
    client::{Attempt, attempt},
    cluster::{Cluster, ZONES},
    config::configuration,
    names::Names,
    runner::{Framing, OnClose, Place, Runner, Work},
};

const SERVICE: &str = "sack-model";
const RUNNERS: usize = 9;
const STREAMS: u64 = 60;
const DEADLINE: Duration = Duration::from_secs(12);
const INTERVAL: Duration = Duration::from_millis(100);
/// How many times as long the work of a slow runner takes.
const SLOWNESS: u32 = 8;
/// Time for which two runners may work on one request.
const OVERLAP: Duration = Duration::from_millis(400);

pub async fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let names = Rc::new(Names::learn().await);
    let config = configuration(&[SERVICE], 12_000);
    record.line(&format!("configuration: {config}"));
    let cluster = Cluster::start(&setting.repository, &config, record.clone()).await;
    let work = Work {
        first_event: Duration::from_millis(50),
        gap: Duration::from_millis(210),
        events: 40,
        crashes_on: None,
        down: Duration::ZERO,
        framing: Framing::Chunks,
    };
    let mut runners = Vec::new();
    for at in 0..RUNNERS {
        let zone = ZONES[at % ZONES.len()].0.to_owned();
        let place = Place { id: format!("i-{at}"), service: SERVICE.to_owned(), zone };
        let runs = Rc::new(RefCell::new(Vec::new()));
        let runner =
            Runner::start(place, "v1", work.clone(), names.clone(), runs, record.clone()).await;
        cluster.keep_registered(runner.clone(), Rc::new(Cell::new(true)));
        runners.push(runner);
    }
    // Most runners drop a request when its connection closes; this one does not.
    runners[0].on_close.set(OnClose::WorksOn);
    cluster.settle().await;
    if setting.is_troubled {
        record.line("the work of i-0 takes eight times as long");
        runners[0].slowness.set(SLOWNESS);
    }
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let node = &cluster.nodes[number as usize % cluster.nodes.len()];
        let (to, record) = (node.callers, record.clone());
        clients.push(actix_rt::spawn(async move {
            let prompt = prompt_headers(&[0xa, 0x100 + number % 30], 0x5000 + number);
            attempt(to, "/resume/x", &prompt, Instant::now() + DEADLINE, &record).await
        }));
        sleep(INTERVAL).await;
    }
    let mut answers = Vec::new();
    for client in clients {
        answers.push(client.await.expect("the client ends"));
    }
    judge(setting, &runners, &answers)
}

fn judge(setting: &Setting, runners: &[Rc<Runner>], answers: &[Attempt]) -> Verdict {
    let record = &setting.record;
    let now = Instant::now();
    let mut spans = Vec::new();
    for runner in runners {
        let own = runner.spans.borrow().clone();
        spans.extend(own.into_iter().map(|span| (runner.id.clone(), span)));
    }
    let (mut moved, mut twice) = (0, 0);
    for (first, before) in &spans {
        for (second, after) in &spans {
            if before.id != after.id || first == second || before.began >= after.began {
                continue;
            }
            moved += 1;
            let ended = before.ended.unwrap_or(now);
            let overlap = ended.saturating_duration_since(after.began);
            if overlap > OVERLAP {
                twice += 1;
                record.line(&format!(
                    "{}: {first} worked on for {} ms after {second} had begun",
                    before.id,
                    overlap.as_millis()
                ));
            }
        }
    }
    let whole = answers.iter().filter(|answer| answer.is_complete).count();
    record.show(&format!(
        "streams: {}; whole: {whole}; moved: {moved}; worked on by two runners for over 400 ms: {twice}",
        answers.len()
    ));
    match twice {
        _ if whole == 0 => Verdict::NotRun,
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
