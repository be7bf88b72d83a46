//! Answers leave a runner that is reclaimed without a token lost or repeated.

mod bench;

use std::{rc::Rc, sync::Arc, time::Duration};

use bench::{Caller, MODEL, StreamEnd, TestCluster, TestNode};
use lycheelatch_fleet::{Evacuation, LeavingInstances, ReclaimGossip, Streams};
use lycheelatch_prelude::InstanceId;
use lycheelatch_proxy::{RegistryDirectory, StreamEvacuator};
use tokio::time::{Instant, sleep};

const INTERVAL: Duration = Duration::from_millis(37);
const NOTICE: Duration = Duration::from_secs(3);
const CALLERS: usize = 12;

/// Starts the fleet's part of a node.
fn evacuate(bench: &TestCluster, node: &TestNode) -> LeavingInstances {
    let name = format!("fleet-{}", node.id).parse().unwrap();
    let link = bench.net.join(name, "lima-a".parse().unwrap(), "lima".parse().unwrap());
    let (leaving, streams) = (LeavingInstances::new(), Streams::new());
    let gossip = ReclaimGossip::new(leaving.clone(), link.clone());
    let directory = Arc::new(RegistryDirectory::from_proxy(&node.proxy));
    let coordinator = gossip.coordinator();
    let evacuation =
        Evacuation::new(leaving.clone(), streams.clone(), directory, link, coordinator);
    let followed = StreamEvacuator::new(node.proxy.clone(), streams, leaving.clone());
    actix::spawn(async move { gossip.run().await });
    actix::spawn(async move { evacuation.run().await });
    actix::spawn(async move { followed.run().await });
    leaving
}

fn instance(at: usize) -> InstanceId {
    format!("i-{MODEL}-{at}").parse().unwrap()
}

/// Asks for an answer that outlasts the notice; returns whether it came whole and exact.
async fn ask(node: Rc<TestNode>, number: usize) -> bool {
    let mut caller = Caller::new(&format!("r-{number}"), 300);
    caller.send(&node).await == StreamEnd::Whole && caller.is_exact()
}

#[actix::test]
async fn evacuate_leaving_runner_keeps_every_answer_exact() {
    tokio::time::pause();
    let bench = TestCluster::new(3, INTERVAL);
    let node = bench.node("a").await;
    let leaving = evacuate(&bench, &node);
    let early: Vec<_> = (0..CALLERS).map(|i| actix::spawn(ask(node.clone(), i))).collect();
    sleep(Duration::from_secs(2)).await;
    let before = bench.engines[0].started().len();
    assert!(before > 0, "no answer runs on the runner that goes");
    leaving.mark_leaving(Instant::now(), &instance(0), NOTICE);
    sleep(Duration::from_secs(1)).await;
    let late: Vec<_> = (0..CALLERS).map(|i| actix::spawn(ask(node.clone(), 100 + i))).collect();
    sleep(NOTICE - Duration::from_secs(1)).await;
    assert_eq!(bench.engines[0].open(), 0, "answers run on past the notice");
    assert_eq!(bench.engines[0].started().len(), before, "the leaving runner got new work");
    for answer in early.into_iter().chain(late) {
        assert!(answer.await.unwrap());
    }
}

#[actix::test]
async fn evacuate_withdrawn_notice_leaves_answers_where_they_are() {
    tokio::time::pause();
    let bench = TestCluster::new(3, INTERVAL);
    let node = bench.node("a").await;
    let leaving = evacuate(&bench, &node);
    let answers: Vec<_> = (0..CALLERS).map(|i| actix::spawn(ask(node.clone(), i))).collect();
    sleep(Duration::from_secs(2)).await;
    leaving.mark_leaving(Instant::now(), &instance(0), Duration::from_secs(60));
    sleep(Duration::from_millis(20)).await;
    leaving.mark_staying(Instant::now(), &instance(0));
    for answer in answers {
        assert!(answer.await.unwrap());
    }
    let started: usize = bench.engines.iter().map(|engine| engine.started().len()).sum();
    assert_eq!(started, CALLERS, "answers were taken up elsewhere without need");
    assert!(actix::spawn(ask(node.clone(), 200)).await.unwrap());
}
