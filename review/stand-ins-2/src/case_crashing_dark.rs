//! Requests with a part on which runners go dark reach one runner after the other.

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
    runner::{Ending, Framing, Place, Run, Runner, Work},
};

const SERVICE: &str = "sack-model";
/// The part on which runners crash.
const HARMFUL: u64 = 0xbad;
const HARMFUL_INTERVAL: Duration = Duration::from_millis(2500);
const SOUND_INTERVAL: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_secs(12);
const LENGTH: Duration = Duration::from_secs(45);

pub async fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let names = Rc::new(Names::learn().await);
    let config = configuration(&[SERVICE], 12_000);
    record.line(&format!("configuration: {config}"));
    let cluster = Cluster::start(&setting.repository, &config, record.clone()).await;
    let work = Work {
        first_event: Duration::from_millis(50),
        gap: Duration::from_millis(100),
        events: 20,
        crashes_on: Some(HARMFUL),
        down: Duration::from_secs(5),
        framing: Framing::Chunks,
    };
    let runs: Rc<RefCell<Vec<Run>>> = Rc::default();
    for at in 0..9 {
        let zone = ZONES[at % ZONES.len()].0.to_owned();
        let place = Place { id: format!("i-{at}"), service: SERVICE.to_owned(), zone };
        let runner =
            Runner::start(place, "v1", work.clone(), names.clone(), runs.clone(), record.clone())
                .await;
        runner.ending.set(Ending::Dark);
        cluster.keep_registered(runner, Rc::new(Cell::new(true)));
    }
    cluster.settle().await;
    let began = Instant::now();
    let nodes: Vec<_> = cluster.nodes.iter().map(|node| node.callers).collect();
    let harmful_nodes = nodes.clone();
    let (harmful_record, is_troubled) = (record.clone(), setting.is_troubled);
    let harmful = actix_rt::spawn(async move {
        for number in 0_u64.. {
            let to = harmful_nodes[number as usize % harmful_nodes.len()];
            let part = if is_troubled { HARMFUL } else { 0x600d };
            let extra = prompt_headers(&[0xa, part, 0x7000 + number], 0x8000 + number);
            let record = harmful_record.clone();
            let deadline = Instant::now() + DEADLINE;
            actix_rt::spawn(
                async move { attempt(to, "/resume/x", &extra, deadline, &record).await },
            );
            sleep(HARMFUL_INTERVAL).await;
        }
    });
    let whole: Rc<Cell<u32>> = Rc::default();
    let ended: Rc<Cell<u32>> = Rc::default();
    let mut number = 0_u64;
    while began.elapsed() < LENGTH {
        let to = nodes[number as usize % nodes.len()];
        let extra = prompt_headers(&[0xa, 0x100 + number % 40], 0x10_0000 + number);
        let (record, whole, ended) = (record.clone(), whole.clone(), ended.clone());
        let deadline = Instant::now() + DEADLINE;
        actix_rt::spawn(async move {
            let answer = attempt(to, "/resume/x", &extra, deadline, &record).await;
            ended.set(ended.get() + 1);
            whole.set(whole.get() + u32::from(answer.is_complete && answer.status == Some(200)));
        });
        sleep(SOUND_INTERVAL).await;
        number += 1;
    }
    harmful.abort();
    record.show(&format!("sound streams that ended: {}; whole: {}", ended.get(), whole.get()));
    judge(setting, &runs.borrow())
}

fn judge(setting: &Setting, runs: &[Run]) -> Verdict {
    let record = &setting.record;
    let harmful: Vec<_> = runs.iter().filter(|run| run.is_harmful).collect();
    record.show(&format!("requests with the part that reached runners: {}", harmful.len()));
    let Some(fifth) = harmful.get(4).map(|run| run.at) else { return Verdict::Held };
    let late = harmful.iter().filter(|run| run.at > fifth + STABLE_WINDOW).count();
    record.show(&format!("of these over 3 s after the fifth crash: {late}"));
    if late > 3 { Verdict::Broken } else { Verdict::Held }
}
