//! Requests with a part that crashes runners go on to reach runners after all nodes were killed.

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
/// Time between two requests with it.
const HARMFUL_INTERVAL: Duration = Duration::from_secs(3);
/// Time between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_secs(8);
/// Times of the kills of all nodes, from the start of traffic.
const KILLS: [Duration; 2] = [Duration::from_secs(20), Duration::from_secs(50)];
const DOWN: Duration = Duration::from_secs(2);
/// Time by which a node sent a request before its runner ran it.
const SENT_BEFORE: Duration = Duration::from_millis(60);
const LENGTH: Duration = Duration::from_secs(82);

pub async fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let names = Rc::new(Names::learn().await);
    let config = configuration(&["sack-model"], 8_000);
    record.line(&format!("configuration: {config}"));
    let cluster = Rc::new(Cluster::start(&setting.repository, &config, record.clone()).await);
    let work = Work {
        first_event: Duration::from_millis(50),
        gap: Duration::from_millis(100),
        events: 8,
        crashes_on: Some(HARMFUL),
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
    let harmful_nodes = nodes.clone();
    let harmful_record = record.clone();
    let harmful = actix_rt::spawn(async move {
        for number in 0_u64.. {
            let to = harmful_nodes[number as usize % harmful_nodes.len()];
            let extra = prompt_headers(&[0xa, HARMFUL, 0x7000 + number], 0x8000 + number);
            let record = harmful_record.clone();
            let deadline = Instant::now() + DEADLINE;
            actix_rt::spawn(
                async move { attempt(to, "/stream/x", &extra, deadline, &record).await },
            );
            sleep(HARMFUL_INTERVAL).await;
        }
    });
    let sent: Rc<Cell<u32>> = Rc::default();
    let cut: Rc<RefCell<Vec<Instant>>> = Rc::default();
    let (sound_sent, sound_cut, sound_record) = (sent.clone(), cut.clone(), record.clone());
    let sound = actix_rt::spawn(async move {
        for number in 0_u64.. {
            let to = nodes[rand::random_range(0..nodes.len())];
            let extra = prompt_headers(&[0xa, 0x100 + number % 40], 0x10_0000 + number);
            let (record, sent, cut) = (sound_record.clone(), sound_sent.clone(), sound_cut.clone());
            let deadline = Instant::now() + DEADLINE;
            actix_rt::spawn(async move {
                let answered = attempt(to, "/stream/x", &extra, deadline, &record).await;
                sent.set(sent.get() + 1);
                let is_cut = answered.status.is_some() && !answered.is_complete;
                if is_cut || matches!(answered.status, Some(502 | 504)) {
                    cut.borrow_mut().push(Instant::now());
                }
            });
            sleep(SOUND_INTERVAL).await;
        }
    });
    let mut starts = Vec::new();
    for at in KILLS {
        sleep((began + at).saturating_duration_since(Instant::now())).await;
        if setting.is_troubled {
            let killed = Instant::now();
            cluster.kill_all(DOWN).await;
            starts.push((killed, Instant::now()));
        }
    }
    sleep((began + LENGTH).saturating_duration_since(Instant::now())).await;
    harmful.abort();
    sound.abort();
    judge(setting, &runs.borrow(), &starts, sent.get(), &cut.borrow())
}

fn judge(
    setting: &Setting,
    runs: &[Run],
    starts: &[(Instant, Instant)],
    sent: u32,
    cut: &[Instant],
) -> Verdict {
    let record = &setting.record;
    let harmful: Vec<_> = runs.iter().filter(|run| run.is_harmful).collect();
    let is_in_touch = |at: Instant| {
        starts.iter().all(|(killed, started)| at < *killed || at >= *started + STABLE_WINDOW)
    };
    record.show(&format!("crashes: {}", harmful.len()));
    let is_by_kill = |at: &Instant| {
        let slack = Duration::from_millis(200);
        starts.iter().any(|(killed, started)| *at + slack > *killed && *at < *started + slack)
    };
    let by_runners: Vec<_> = cut.iter().filter(|at| !is_by_kill(at)).collect();
    let last_known = starts.first().map(|(killed, _)| *killed);
    let later = by_runners.iter().filter(|at| last_known.is_some_and(|killed| ***at > killed));
    record.show(&format!(
        "sound streams: {sent}; failed or cut, but not by the kills: {}; of these after the first kill: {}",
        by_runners.len(),
        later.count()
    ));
    let Some(fifth) = harmful.get(4).map(|run| run.at) else { return Verdict::Held };
    let late = harmful.iter().filter(|run| run.at > fifth + STABLE_WINDOW);
    let counted = late.filter(|run| is_in_touch(run.at - SENT_BEFORE)).count();
    record.show(&format!("reached runners in touch, over 3 s after the fifth crash: {counted}"));
    if counted > 3 { Verdict::Broken } else { Verdict::Held }
}
