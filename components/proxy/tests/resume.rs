//! Streams resume on any node without losing or repeating a token.

mod bench;

use std::time::Duration;

use actix_web::http::StatusCode;
use bench::{Caller, EngineFault, StreamEnd, TestCluster};
use lycheelatch_prelude::NodeId;
use tokio::{
    task::yield_now,
    time::{Instant, sleep},
};

const INTERVAL: Duration = Duration::from_millis(37);

#[actix::test]
async fn stream_disconnected_resumes_on_other_node() {
    tokio::time::pause();
    let cluster = TestCluster::new(2, INTERVAL);
    let (first, second) = (cluster.node("a").await, cluster.node("b").await);
    let mut caller = Caller::new("r-1", 40);
    caller.disconnect_after = Some(15);
    assert_eq!(caller.send(&first).await, StreamEnd::Disconnected);
    caller.disconnect_after = None;
    assert_eq!(caller.resume(&second).await, StreamEnd::Whole);
    assert!(caller.is_exact(), "{:?}", caller.ids);
}

#[actix::test]
async fn stream_still_running_on_other_node_is_ended_there() {
    tokio::time::pause();
    let cluster = TestCluster::new(2, INTERVAL);
    let (first, second) = (cluster.node("a").await, cluster.node("b").await);
    let mut stale = Caller::new("r-1", 200);
    let mut caller = Caller::new("r-1", 200);
    let old = actix::spawn(async move { (stale.send(&first).await, stale) });
    sleep(INTERVAL * 20).await;
    assert_eq!(caller.resume(&second).await, StreamEnd::Whole);
    assert!(caller.is_exact(), "{:?}", caller.ids);
    let (ending, stale) = old.await.unwrap();
    assert_eq!(ending, StreamEnd::Broken);
    assert!(stale.ids.len() < 30, "the old connection received {} tokens", stale.ids.len());
}

#[actix::test]
async fn stream_finished_response_is_returned_by_any_node() {
    tokio::time::pause();
    let cluster = TestCluster::new(1, INTERVAL);
    let (first, second) = (cluster.node("a").await, cluster.node("b").await);
    let mut caller = Caller::new("r-1", 10);
    assert_eq!(caller.send(&first).await, StreamEnd::Whole);
    let mut again = Caller::new("r-1", 10);
    assert_eq!(again.resume(&second).await, StreamEnd::Whole);
    assert!(again.is_exact());
    assert_eq!(cluster.engines[0].started().len(), 1, "the response was generated again");
}

#[actix::test]
async fn stream_unknown_request_is_not_found() {
    tokio::time::pause();
    let cluster = TestCluster::new(1, INTERVAL);
    let (first, _second) = (cluster.node("a").await, cluster.node("b").await);
    let mut caller = Caller::new("r-unknown", 10);
    assert_eq!(caller.resume(&first).await, StreamEnd::Refused(StatusCode::NOT_FOUND));
}

#[actix::test]
async fn stream_non_idempotent_is_not_run_again() {
    tokio::time::pause();
    let cluster = TestCluster::new(2, INTERVAL);
    let (first, second) = (cluster.node("a").await, cluster.node("b").await);
    let mut caller = Caller::new("r-1", 40);
    caller.disconnect_after = Some(15);
    let headers = [("lycheelatch-idempotent", "false")];
    assert_eq!(caller.send_with_headers(&first, &headers).await, StreamEnd::Disconnected);
    assert_eq!(caller.resume(&second).await, StreamEnd::Refused(StatusCode::CONFLICT));
    let started: usize = cluster.engines.iter().map(|engine| engine.started().len()).sum();
    assert_eq!(started, 1);
}

#[actix::test]
async fn stream_broken_upstream_resumes_at_exact_offset() {
    tokio::time::pause();
    let faults = [
        EngineFault::BreakAfter(7),
        EngineFault::EndAfter(7),
        EngineFault::SilentAfter(7),
        EngineFault::Repeat(7),
        EngineFault::Skip(7),
    ];
    for fault in faults {
        let cluster = TestCluster::new(2, INTERVAL);
        let node = cluster.node("a").await;
        cluster.engines.iter().for_each(|engine| engine.script([fault]));
        let mut caller = Caller::new("r-1", 20);
        assert_eq!(caller.send(&node).await, StreamEnd::Whole, "{fault:?}");
        assert!(caller.is_exact(), "{fault:?}: {:?}", caller.ids);
    }
}

#[actix::test]
async fn stream_broken_before_the_first_token_restarts_on_other_upstream() {
    tokio::time::pause();
    let cluster = TestCluster::new(2, INTERVAL);
    let node = cluster.node("a").await;
    cluster.engines[0].script([EngineFault::BreakAfter(0)]);
    let mut caller = Caller::new("r-1", 20);
    assert_eq!(caller.send(&node).await, StreamEnd::Whole);
    assert!(caller.is_exact());
    // Without another upstream, the stream ends with an error event.
    cluster.engines.iter().for_each(|engine| engine.script([EngineFault::BreakAfter(0)]));
    assert_eq!(Caller::new("r-2", 20).send(&node).await, StreamEnd::Failed);
}

#[actix::test]
async fn stream_with_tools_is_not_restarted() {
    tokio::time::pause();
    let cluster = TestCluster::new(2, INTERVAL);
    let node = cluster.node("a").await;
    cluster.engines[0].script([EngineFault::BreakAfterOthers(3)]);
    let mut caller = Caller::new("r-1", 20);
    caller.fields = serde_json::json!({"tools": [{"type": "function"}]});
    assert_eq!(caller.send(&node).await, StreamEnd::Failed);
    assert_eq!((caller.other_events, caller.ids.len()), (3, 0), "an event was relayed twice");
}

#[actix::test]
async fn stream_silent_connection_is_replaced_at_the_same_upstream() {
    tokio::time::pause();
    for after in [0, 7] {
        let cluster = TestCluster::new(1, INTERVAL);
        let node = cluster.node("a").await;
        cluster.engines[0].script([EngineFault::SilentAfter(after)]);
        let mut caller = Caller::new("r-1", 20);
        assert_eq!(caller.send(&node).await, StreamEnd::Whole, "silent after {after}");
        assert!(caller.is_exact());
    }
}

#[actix::test]
async fn stream_unreachable_upstream_is_replaced_or_refused() {
    tokio::time::pause();
    let cluster = TestCluster::new(2, INTERVAL);
    let node = cluster.node("a").await;
    cluster.engines[0].script([EngineFault::Unreachable]);
    let mut caller = Caller::new("r-1", 20);
    assert_eq!(caller.send(&node).await, StreamEnd::Whole);
    assert!(caller.is_exact());
    cluster.engines.iter().for_each(|engine| engine.script([EngineFault::Unreachable]));
    let refused = StreamEnd::Refused(StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(Caller::new("r-2", 20).send(&node).await, refused);
    let started: usize = cluster.engines.iter().map(|engine| engine.started().len()).sum();
    assert_eq!(started, 1, "a refused request was executed");
}

#[actix::test]
async fn stream_caller_disconnect_cancels_upstream() {
    tokio::time::pause();
    let cluster = TestCluster::new(1, INTERVAL);
    let node = cluster.node("a").await;
    let mut caller = Caller::new("r-1", 1000);
    caller.disconnect_after = Some(5);
    assert_eq!(caller.send(&node).await, StreamEnd::Disconnected);
    yield_now().await;
    assert_eq!(cluster.engines[0].open(), 0, "the response is still being read");
    assert_eq!(cluster.engines[0].cancelled().len(), 1);
    assert_eq!(node.proxy.open_requests(), 0);
}

#[actix::test]
async fn stream_slow_caller_applies_backpressure() {
    tokio::time::pause();
    let cluster = TestCluster::new(1, INTERVAL);
    let node = cluster.node("a").await;
    let mut caller = Caller::new("r-1", 50);
    caller.read_delay = Duration::from_secs(1);
    let started = Instant::now();
    let reading = actix::spawn({
        let node = node.clone();
        async move { (caller.send(&node).await, caller) }
    });
    sleep(Duration::from_secs(20)).await;
    let buffered = node.proxy.response_buffer().get(&"r-1".parse().unwrap()).unwrap();
    assert!(buffered.tokens.len() < 25, "{} tokens were read ahead", buffered.tokens.len());
    let (ending, caller) = reading.await.unwrap();
    assert_eq!(ending, StreamEnd::Whole);
    assert!(caller.is_exact() && started.elapsed() >= Duration::from_secs(50));
}

#[actix::test]
async fn stream_of_other_workspace_is_not_found() {
    tokio::time::pause();
    let cluster = TestCluster::new(1, INTERVAL);
    let node = cluster.node("a").await;
    let id = "r-1".parse().unwrap();
    assert_eq!(Caller::new("r-1", 10).send(&node).await, StreamEnd::Whole);
    let mut buffered = node.proxy.response_buffer().get(&id).unwrap();
    buffered.workspace = "arequipa".parse().unwrap();
    node.proxy.response_buffer().insert(&id, buffered);
    let refused = StreamEnd::Refused(StatusCode::NOT_FOUND);
    assert_eq!(Caller::new("r-1", 10).resume(&node).await, refused);
    let other: NodeId = "b".parse().unwrap();
    assert_eq!(Caller::new("r-1", 10).resume(&*cluster.node(other.as_str()).await).await, refused);
}
