//! Sound streams are refused beside requests with a part that crashes runners, where streams end
//! with their connection and other answers have a length.

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

/// The part that crashes runners, and when requests with it begin to come.
const HARMFUL: u64 = 0xbad;
const HARMFUL_FROM: Duration = Duration::from_secs(8);
const HARMFUL_INTERVAL: Duration = Duration::from_millis(3500);
const SOUND_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two requests whose answers have a length.
const SAFE_INTERVAL: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_secs(8);
/// When a runner crashes for another reason, and for how long.
const CRASH_AT: Duration = Duration::from_secs(26);
const CRASHED_FOR: Duration = Duration::from_millis(4500);
const LENGTH: Duration = Duration::from_secs(60);

/// Times at which sound streams were sent, and whether they began.
type Sound = Rc<RefCell<Vec<(Instant, bool)>>>;

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
        framing: Framing::UntilClose,
    };
    let runs: Rc<RefCell<Vec<Run>>> = Rc::default();
    let is_reached = Rc::new(Cell::new(true));
    let mut runners = Vec::new();
    for at in 0..9 {
        let zone = ZONES[at % ZONES.len()].0.to_owned();
        let place = Place { id: format!("i-{at}"), service: "sack-model".to_owned(), zone };
        let (names, runs) = (names.clone(), runs.clone());
        let runner = Runner::start(place, "v1", work.clone(), names, runs, record.clone()).await;
        cluster.keep_registered(runner.clone(), is_reached.clone());
        runners.push(runner);
    }
    cluster.settle().await;
    let began = Instant::now();
    let nodes: Vec<_> = cluster.nodes.iter().map(|node| node.callers).collect();
    let send = |interval: Duration, path: &'static str, first: u64, own: u64, sound: Sound| {
        let (nodes, record) = (nodes.clone(), record.clone());
        actix_rt::spawn(async move {
            for number in 0_u64.. {
                let to = nodes[rand::random_range(0..nodes.len())];
                let extra = prompt_headers(&[first, own + number % 40], own * 0x1000 + number);
                let (record, sound) = (record.clone(), sound.clone());
                actix_rt::spawn(async move {
                    let sent = Instant::now();
                    let answered = attempt(to, path, &extra, sent + DEADLINE, &record).await;
                    sound.borrow_mut().push((sent, !answered.events.is_empty()));
                });
                sleep(interval).await;
            }
        })
    };
    let sound = Sound::default();
    let streams = send(SOUND_INTERVAL, "/stream/x", 0xa, 0x100, sound.clone());
    let others = send(SAFE_INTERVAL, "/safe/x", 0xc, 0x200, Sound::default());
    let (harmful_nodes, harmful_record) = (nodes.clone(), record.clone());
    let harmful = actix_rt::spawn(async move {
        sleep(HARMFUL_FROM).await;
        for number in 0_u64.. {
            let to = harmful_nodes[rand::random_range(0..harmful_nodes.len())];
            let extra = prompt_headers(&[0xa, HARMFUL, 0x7000 + number], 0x8000 + number);
            let record = harmful_record.clone();
            let deadline = Instant::now() + DEADLINE;
            actix_rt::spawn(
                async move { attempt(to, "/stream/x", &extra, deadline, &record).await },
            );
            sleep(HARMFUL_INTERVAL).await;
        }
    });
    sleep(CRASH_AT).await;
    if setting.is_troubled {
        runners[0].crash();
        sleep(CRASHED_FOR).await;
        runners[0].start_again("v1").await;
    }
    sleep((began + LENGTH).saturating_duration_since(Instant::now())).await;
    streams.abort();
    others.abort();
    harmful.abort();
    judge(setting, &runs.borrow(), &sound.borrow(), began)
}

fn judge(setting: &Setting, runs: &[Run], sound: &[(Instant, bool)], began: Instant) -> Verdict {
    let record = &setting.record;
    let crashes: Vec<_> = runs.iter().filter(|run| run.is_harmful).map(|run| run.at).collect();
    let times: Vec<_> =
        crashes.iter().map(|at| format!("{:.1}", (*at - began).as_secs_f64())).collect();
    record.show(&format!("crashes under the part, in seconds: {}", times.join(" ")));
    // The fifth crash, or the last one, if there are fewer.
    let counted = crashes.get(4).or(crashes.last()).copied().unwrap_or(began);
    let calm_again = began + CRASH_AT + CRASHED_FOR + STABLE_WINDOW;
    let from = calm_again.max(counted + 2 * STABLE_WINDOW);
    let share = |label: &str, is_counted: &dyn Fn(Instant) -> bool| {
        let sent: Vec<_> = sound.iter().filter(|(sent, _)| is_counted(*sent)).collect();
        let begun = sent.iter().filter(|(_, is_begun)| *is_begun).count();
        record.show(&format!("sound streams {label}: {}; begun: {begun}", sent.len()));
        (sent.len() >= 20).then(|| begun as f64 / sent.len() as f64)
    };
    let before = share("before the first crash", &|sent| sent < began + HARMFUL_FROM);
    let after = share("from twice 3 s after the fifth crash or the last", &|sent| sent >= from);
    match (before, after) {
        (Some(before), Some(after)) if after < before / 2.0 => Verdict::Broken,
        (Some(_), Some(_)) => Verdict::Held,
        _ => Verdict::NotRun,
    }
}
