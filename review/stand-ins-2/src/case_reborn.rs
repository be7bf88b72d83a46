//! Streams that began at one software version go on at another: runners that are cut off from the
//! store crash behind the cut, start again under their ids with a newer version, and crash later.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
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
    record::Record,
    runner::{Framing, Place, Runner, Work},
};

const DEADLINE: Duration = Duration::from_secs(12);
/// Time between two new streams: about 32 a second, as on the sheet.
const INTERVAL: Duration = Duration::from_millis(31);
const TRAFFIC: Duration = Duration::from_secs(16);
const CUT_AT: Duration = Duration::from_secs(4);
const CUT_FOR: Duration = Duration::from_secs(5);
/// Time for which a runner is down when it crashes behind the cut.
const DOWN: Duration = Duration::from_millis(400);
/// Time from the start of the newer version until it crashes.
const UNTIL_CRASH: Duration = Duration::from_millis(2400);
/// Time for which it is down then.
const DOWN_LATER: Duration = Duration::from_millis(4500);

pub async fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let names = Rc::new(Names::learn().await);
    let config = configuration(&["sack-model"], 12_000);
    record.line(&format!("configuration: {config}"));
    let cluster = Cluster::start(&setting.repository, &config, record.clone()).await;
    let work = Work {
        first_event: Duration::from_millis(50),
        gap: Duration::from_millis(120),
        events: 40,
        crashes_on: None,
        down: Duration::ZERO,
        framing: Framing::Chunks,
    };
    let runs = Rc::default();
    let mut runners = Vec::new();
    for at in 0..9 {
        let zone = ZONES[at % ZONES.len()].0.to_owned();
        let place = Place { id: format!("i-{at}"), service: "sack-model".to_owned(), zone };
        let runner = Runner::start(
            place,
            "v1",
            work.clone(),
            names.clone(),
            Rc::clone(&runs),
            record.clone(),
        )
        .await;
        let is_reached = Rc::new(Cell::new(true));
        cluster.keep_registered(runner.clone(), is_reached.clone());
        runners.push((runner, is_reached));
    }
    cluster.settle().await;
    let nodes: Vec<_> = cluster.nodes.iter().map(|node| node.callers).collect();
    let streams: Rc<RefCell<Vec<Vec<Attempt>>>> = Rc::default();
    let (all, sending) = (streams.clone(), record.clone());
    let began = Instant::now();
    let sender = actix_rt::spawn(async move {
        let mut clients = Vec::new();
        for number in 0_usize.. {
            if began.elapsed() > TRAFFIC {
                break;
            }
            let (first, retry) = (nodes[number % nodes.len()], nodes[(number + 1) % nodes.len()]);
            let (all, record) = (all.clone(), sending.clone());
            clients.push(actix_rt::spawn(async move {
                let tries = stream(number as u64, first, retry, &record).await;
                all.borrow_mut().push(tries);
            }));
            sleep(INTERVAL).await;
        }
        for client in clients {
            client.await.expect("the client ends");
        }
    });
    sleep(CUT_AT).await;
    if setting.is_troubled {
        let cut = [&runners[0], &runners[1]];
        record.line("i-0 and i-1 are cut off from the store");
        cut.iter().for_each(|(_, is_reached)| is_reached.set(false));
        let cut_at = Instant::now();
        sleep(Duration::from_millis(100)).await;
        cut.iter().for_each(|(runner, _)| runner.crash());
        sleep(DOWN).await;
        for (runner, _) in cut {
            runner.start_again("v2").await;
        }
        sleep(UNTIL_CRASH).await;
        let crashed_at = Instant::now();
        cut.iter().for_each(|(runner, _)| runner.crash());
        sleep((cut_at + CUT_FOR).saturating_duration_since(Instant::now())).await;
        record.line("the cut ends");
        cut.iter().for_each(|(_, is_reached)| is_reached.set(true));
        sleep((crashed_at + DOWN_LATER).saturating_duration_since(Instant::now())).await;
        for (runner, _) in cut {
            runner.start_again("v2").await;
        }
    }
    sender.await.expect("the sender ends");
    judge(setting, &streams.borrow())
}

fn judge(setting: &Setting, streams: &[Vec<Attempt>]) -> Verdict {
    let record = &setting.record;
    let mut joined = 0;
    for tries in streams {
        let events = tries.iter().flat_map(|attempt| &attempt.events);
        let versions: BTreeSet<_> = events.filter_map(|(_, data)| data.split(' ').next()).collect();
        if versions.len() > 1 {
            joined += 1;
            let ids: Vec<_> = tries.iter().map(|attempt| attempt.id.as_str()).collect();
            record.line(&format!("of several versions: {}", ids.join(", ")));
        }
    }
    let whole = streams.iter().filter(|tries| tries.iter().any(|last| last.is_complete));
    record.show(&format!(
        "streams: {}; whole: {}; with events of two versions: {joined}",
        streams.len(),
        whole.count()
    ));
    match joined {
        _ if streams.is_empty() => Verdict::NotRun,
        0..=2 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Reads a stream, and takes it up once at another node if it is cut.
async fn stream(
    number: u64,
    first: std::net::SocketAddr,
    retry: std::net::SocketAddr,
    record: &Record,
) -> Vec<Attempt> {
    let deadline = Instant::now() + DEADLINE;
    let prompt = prompt_headers(&[0xa, 0x100 + number % 60], 0x5000 + number);
    let mut tries = vec![attempt(first, "/resume/x", &prompt, deadline, record).await];
    if let Some(last) = tries[0].last_event().filter(|_| !tries[0].is_complete) {
        let extra = format!("{prompt}Last-Event-Id: {last}\r\nResumes: {}\r\n", tries[0].id);
        tries.push(attempt(retry, "/resume/x", &extra, deadline, record).await);
    }
    tries
}
