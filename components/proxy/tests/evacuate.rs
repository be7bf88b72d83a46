//! Streams move off a reclaimed runner without losing or repeating a token.

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

/// Starts the fleet tasks of a node.
fn start_evacuation(cluster: &TestCluster, node: &TestNode) -> LeavingInstances {
    let name = format!("fleet-{}", node.id).parse().unwrap();
    let link = cluster.net.join(name, "lima-a".parse().unwrap(), "lima".parse().unwrap());
    let (leaving, streams) = (LeavingInstances::new(), Streams::new());
    let gossip = ReclaimGossip::new(leaving.clone(), link.clone());
    let directory = Arc::new(RegistryDirectory::from_proxy(&node.proxy));
    let coordinator = gossip.coordinator();
    let evacuation =
        Evacuation::new(leaving.clone(), streams.clone(), directory, link, coordinator);
    let evacuator = StreamEvacuator::new(node.proxy.clone(), streams, leaving.clone());
    actix::spawn(async move { gossip.run().await });
    actix::spawn(async move { evacuation.run().await });
    actix::spawn(async move { evacuator.run().await });
    leaving
}

fn instance(at: usize) -> InstanceId {
    format!("i-{MODEL}-{at}").parse().unwrap()
}

/// Reads a stream that takes longer than the notice; returns whether it was complete and exact.
async fn read_stream(node: Rc<TestNode>, number: usize) -> bool {
    let mut caller = Caller::new(&format!("r-{number}"), 300);
    caller.send(&node).await == StreamEnd::Whole && caller.is_exact()
}

#[actix::test]
async fn evacuate_leaving_runner_keeps_every_stream_exact() {
    tokio::time::pause();
    let cluster = TestCluster::new(3, INTERVAL);
    let node = cluster.node("a").await;
    let leaving = start_evacuation(&cluster, &node);
    let early: Vec<_> = (0..CALLERS).map(|i| actix::spawn(read_stream(node.clone(), i))).collect();
    sleep(Duration::from_secs(2)).await;
    let before = cluster.engines[0].started().len();
    assert!(before > 0, "no stream is running on the leaving runner");
    leaving.mark_leaving(Instant::now(), &instance(0), NOTICE);
    sleep(Duration::from_secs(1)).await;
    let late: Vec<_> =
        (0..CALLERS).map(|i| actix::spawn(read_stream(node.clone(), 100 + i))).collect();
    sleep(NOTICE - Duration::from_secs(1)).await;
    assert_eq!(cluster.engines[0].open(), 0, "streams are still running after the notice");
    assert_eq!(
        cluster.engines[0].started().len(),
        before,
        "the leaving runner received new requests"
    );
    for stream in early.into_iter().chain(late) {
        assert!(stream.await.unwrap());
    }
}

#[actix::test]
async fn evacuate_withdrawn_notice_moves_no_streams() {
    tokio::time::pause();
    let cluster = TestCluster::new(3, INTERVAL);
    let node = cluster.node("a").await;
    let leaving = start_evacuation(&cluster, &node);
    let streams: Vec<_> =
        (0..CALLERS).map(|i| actix::spawn(read_stream(node.clone(), i))).collect();
    sleep(Duration::from_secs(2)).await;
    leaving.mark_leaving(Instant::now(), &instance(0), Duration::from_secs(60));
    sleep(Duration::from_millis(20)).await;
    leaving.mark_staying(Instant::now(), &instance(0));
    for stream in streams {
        assert!(stream.await.unwrap());
    }
    let started: usize = cluster.engines.iter().map(|engine| engine.started().len()).sum();
    assert_eq!(started, CALLERS, "streams were resumed unnecessarily");
    assert!(actix::spawn(read_stream(node.clone(), 200)).await.unwrap());
}
