//! A node that stops hands over its running streams.

mod bench;

use std::{rc::Rc, time::Duration};

use actix_web::{http::StatusCode, test::TestRequest};
use bench::{Caller, MODEL, StreamEnd, TOKEN, TestCluster, TestNode, token_text};
use futures_util::future::{join, join_all};
use serde_json::{Value, json};
use tokio::time::sleep;

const INTERVAL: Duration = Duration::from_millis(37);
const NOTICE: Duration = Duration::from_secs(3);

/// Delay before a caller reconnects.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// Reads a stream from the first of `nodes` and resumes it on the others until it is complete.
async fn read_to_end(id: &str, tokens: u64, nodes: Vec<Rc<TestNode>>) -> Caller {
    let mut caller = Caller::new(id, tokens);
    let mut ending = caller.send(&nodes[0]).await;
    for _ in 0..100 {
        for node in nodes.iter().skip(1) {
            if ending == StreamEnd::Whole {
                return caller;
            }
            sleep(RECONNECT_DELAY).await;
            ending = caller.resume(node).await;
        }
    }
    panic!("request {id} did not complete: {ending:?}");
}

#[actix::test]
async fn stop_running_streams_resume_on_other_nodes() {
    tokio::time::pause();
    let cluster = TestCluster::new(3, INTERVAL);
    let nodes = vec![cluster.node("a").await, cluster.node("b").await, cluster.node("c").await];
    let readers = (0..50).map(|n| {
        let nodes = nodes.clone();
        async move { read_to_end(&format!("r-{n}"), 20 + n * 5, nodes).await }
    });
    let stopping = async {
        sleep(INTERVAL * 10).await;
        nodes[0].stop(NOTICE).await
    };
    let (callers, (report, cut_off)) = join(join_all(readers), stopping).await;
    assert!(callers.iter().all(Caller::is_exact), "a token was lost or repeated");
    assert_eq!((report.lost, cut_off), (0, 0));
    assert!(report.handed_over > 10, "{report:?}");
}

#[actix::test]
async fn stop_two_nodes_do_not_hand_over_to_each_other() {
    tokio::time::pause();
    let cluster = TestCluster::new(3, INTERVAL);
    let nodes = [cluster.node("a").await, cluster.node("b").await, cluster.node("c").await];
    let from = |first: usize| {
        let nodes = [nodes[first].clone(), nodes[2].clone()];
        (0..20).map(move |n| {
            let nodes = nodes.to_vec();
            async move { read_to_end(&format!("r-{first}-{n}"), 200, nodes).await }
        })
    };
    let readers = join_all(from(0).chain(from(1)));
    let stopping = async {
        sleep(INTERVAL * 10).await;
        join(nodes[0].stop(NOTICE), nodes[1].stop(NOTICE)).await
    };
    let (callers, (a, b)) = join(readers, stopping).await;
    assert!(callers.iter().all(Caller::is_exact));
    assert_eq!((a.0.handed_over, a.0.lost, a.1), (20, 0, 0));
    assert_eq!((b.0.handed_over, b.0.lost, b.1), (20, 0, 0));
    for node in &nodes[..2] {
        let unfinished = node.proxy.response_buffer().unfinished().len();
        assert_eq!(unfinished, 20, "a stopping node accepted responses from another");
    }
}

#[actix::test]
async fn stop_receiver_crash_loses_no_responses() {
    tokio::time::pause();
    let cluster = TestCluster::new(3, INTERVAL);
    let mut nodes = Vec::new();
    for name in ["a", "b", "c", "d"] {
        nodes.push(cluster.node(name).await);
    }
    let readers = (0..30).map(|n| {
        // The callers don't reconnect to `nodes[1]`, which crashes right after the handover.
        let nodes = vec![nodes[0].clone(), nodes[2].clone(), nodes[3].clone()];
        async move { read_to_end(&format!("r-{n}"), 300, nodes).await }
    });
    let stopping = async {
        sleep(INTERVAL * 10).await;
        let stopped = nodes[0].stop(NOTICE).await;
        nodes[1].kill();
        stopped
    };
    let (callers, (report, cut_off)) = join(join_all(readers), stopping).await;
    assert!(callers.iter().all(Caller::is_exact));
    assert_eq!((report.handed_over, report.lost, cut_off), (30, 0, 0));
}

#[actix::test]
async fn stop_unreachable_receiver_is_skipped() {
    tokio::time::pause();
    let cluster = TestCluster::new(3, INTERVAL);
    let nodes = [cluster.node("a").await, cluster.node("b").await, cluster.node("c").await];
    let readers = (0..20).map(|n| {
        let nodes = vec![nodes[0].clone(), nodes[2].clone()];
        async move { read_to_end(&format!("r-{n}"), 300, nodes).await }
    });
    let stopping = async {
        sleep(INTERVAL * 10).await;
        // The node is unreachable, but its membership state is still alive.
        cluster.net.cut(&nodes[0].id, &nodes[1].id);
        cluster.net.cut(&nodes[2].id, &nodes[1].id);
        nodes[0].stop(NOTICE).await
    };
    let (callers, (report, _)) = join(join_all(readers), stopping).await;
    assert!(callers.iter().all(Caller::is_exact));
    assert_eq!((report.handed_over, report.lost), (20, 0));
}

#[actix::test]
async fn stop_receiver_that_stops_hands_over_again() {
    tokio::time::pause();
    let cluster = TestCluster::new(3, INTERVAL);
    let nodes = [cluster.node("a").await, cluster.node("b").await, cluster.node("c").await];
    let mut caller = Caller::new("r-1", 400);
    let reading = async {
        let ending = caller.send(&nodes[0]).await;
        // The caller reconnects only after the second node has stopped as well.
        sleep(NOTICE * 3).await;
        (ending, caller.resume(&nodes[2]).await)
    };
    let stopping = async {
        sleep(INTERVAL * 10).await;
        nodes[0].stop(NOTICE).await;
        nodes[1].stop(NOTICE).await
    };
    let (endings, (report, _)) = join(reading, stopping).await;
    assert_eq!(endings, (StreamEnd::Broken, StreamEnd::Whole));
    assert!(caller.is_exact());
    assert_eq!(report.lost, 0);
}

#[actix::test]
async fn stop_short_streams_finish_on_the_same_node() {
    tokio::time::pause();
    let cluster = TestCluster::new(3, INTERVAL);
    let nodes = [cluster.node("a").await, cluster.node("b").await];
    let mut caller = Caller::new("r-1", 30);
    let (ending, (report, cut_off)) = join(caller.send(&nodes[0]), async {
        sleep(INTERVAL * 5).await;
        nodes[0].stop(NOTICE).await
    })
    .await;
    assert_eq!((ending, report.handed_over, cut_off), (StreamEnd::Whole, 0, 0));
}

#[actix::test]
async fn stop_non_streaming_response_is_fetched_from_other_node() {
    tokio::time::pause();
    let cluster = TestCluster::new(3, INTERVAL);
    let nodes = [cluster.node("a").await, cluster.node("b").await];
    let body = json!({"model": MODEL, "prompt": "lot 17", "max_tokens": 300});
    let token = ("authorization", format!("Bearer {TOKEN}"));
    let req = TestRequest::post()
        .uri("/v1/completions")
        .insert_header(token.clone())
        .insert_header(("x-request-id", "r-1"))
        .set_payload(body.to_string());
    let (refused, (report, cut_off)) = join(nodes[0].serve(req.to_request()), async {
        sleep(INTERVAL * 10).await;
        nodes[0].stop(NOTICE).await
    })
    .await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers().get("lycheelatch-outcome").unwrap(), "unknown");
    assert_eq!((report.handed_over, report.lost, cut_off), (1, 0, 0));
    let fetch = TestRequest::get().uri("/v1/requests/r-1").insert_header(token);
    let response = nodes[1].serve(fetch.to_request()).await;
    assert_eq!(response.headers().get("lycheelatch-outcome").unwrap(), "complete");
    let completion: Value = actix_web::test::read_body_json(response).await;
    let expected: String = (0..300).map(token_text).collect();
    assert_eq!(completion["choices"][0]["text"], expected);
}
