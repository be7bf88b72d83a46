//! A node that stops cuts off no stream.

mod bench;

use std::{rc::Rc, time::Duration};

use actix_web::{http::StatusCode, test::TestRequest};
use bench::{Caller, MODEL, StreamEnd, TOKEN, TestCluster, TestNode, token_text};
use futures_util::future::{join, join_all};
use serde_json::{Value, json};
use tokio::time::sleep;

const INTERVAL: Duration = Duration::from_millis(37);
const NOTICE: Duration = Duration::from_secs(3);

/// Pause of a caller before it comes again.
const COME_AGAIN: Duration = Duration::from_millis(20);

/// Reads a stream at the first of `nodes`, and goes on at the next ones until it is whole.
async fn read_on(id: &str, tokens: u64, nodes: Vec<Rc<TestNode>>) -> Caller {
    let mut caller = Caller::new(id, tokens);
    let mut ending = caller.send(&nodes[0]).await;
    for _ in 0..100 {
        for node in nodes.iter().skip(1) {
            if ending == StreamEnd::Whole {
                return caller;
            }
            sleep(COME_AGAIN).await;
            ending = caller.resume(node).await;
        }
    }
    panic!("request {id} was not finished: {ending:?}");
}

#[actix::test]
async fn stop_running_streams_go_on_elsewhere() {
    tokio::time::pause();
    let bench = TestCluster::new(3, INTERVAL);
    let nodes = vec![bench.node("a").await, bench.node("b").await, bench.node("c").await];
    let readers = (0..50).map(|n| {
        let nodes = nodes.clone();
        async move { read_on(&format!("r-{n}"), 20 + n * 5, nodes).await }
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
async fn stop_two_at_once_do_not_hand_over_to_each_other() {
    tokio::time::pause();
    let bench = TestCluster::new(3, INTERVAL);
    let nodes = [bench.node("a").await, bench.node("b").await, bench.node("c").await];
    let from = |first: usize| {
        let nodes = [nodes[first].clone(), nodes[2].clone()];
        (0..20).map(move |n| {
            let nodes = nodes.to_vec();
            async move { read_on(&format!("r-{first}-{n}"), 200, nodes).await }
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
        let here = node.proxy.response_buffer().unfinished().len();
        assert_eq!(here, 20, "a stopping node took answers of another");
    }
}

#[actix::test]
async fn stop_receiver_that_dies_does_not_lose_answers() {
    tokio::time::pause();
    let bench = TestCluster::new(3, INTERVAL);
    let mut nodes = Vec::new();
    for name in ["a", "b", "c", "d"] {
        nodes.push(bench.node(name).await);
    }
    let readers = (0..30).map(|n| {
        // The callers come again only after another node has died, too.
        let nodes = vec![nodes[0].clone(), nodes[2].clone(), nodes[3].clone()];
        async move { read_on(&format!("r-{n}"), 300, nodes).await }
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
async fn stop_receiver_that_is_already_dead_is_passed_over() {
    tokio::time::pause();
    let bench = TestCluster::new(3, INTERVAL);
    let nodes = [bench.node("a").await, bench.node("b").await, bench.node("c").await];
    let readers = (0..20).map(|n| {
        let nodes = vec![nodes[0].clone(), nodes[2].clone()];
        async move { read_on(&format!("r-{n}"), 300, nodes).await }
    });
    let stopping = async {
        sleep(INTERVAL * 10).await;
        // Its death is not known yet: it still counts as alive.
        bench.net.cut(&nodes[0].id, &nodes[1].id);
        bench.net.cut(&nodes[2].id, &nodes[1].id);
        nodes[0].stop(NOTICE).await
    };
    let (callers, (report, _)) = join(join_all(readers), stopping).await;
    assert!(callers.iter().all(Caller::is_exact));
    assert_eq!((report.handed_over, report.lost), (20, 0));
}

#[actix::test]
async fn stop_receiver_that_stops_next_hands_on() {
    tokio::time::pause();
    let bench = TestCluster::new(3, INTERVAL);
    let nodes = [bench.node("a").await, bench.node("b").await, bench.node("c").await];
    let mut caller = Caller::new("r-1", 400);
    let reading = async {
        let ending = caller.send(&nodes[0]).await;
        // The caller is away while the second node stops, too.
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
async fn stop_short_streams_finish_where_they_are() {
    tokio::time::pause();
    let bench = TestCluster::new(3, INTERVAL);
    let nodes = [bench.node("a").await, bench.node("b").await];
    let mut caller = Caller::new("r-1", 30);
    let (ending, (report, cut_off)) = join(caller.send(&nodes[0]), async {
        sleep(INTERVAL * 5).await;
        nodes[0].stop(NOTICE).await
    })
    .await;
    assert_eq!((ending, report.handed_over, cut_off), (StreamEnd::Whole, 0, 0));
}

#[actix::test]
async fn stop_whole_answer_is_fetched_elsewhere() {
    tokio::time::pause();
    let bench = TestCluster::new(3, INTERVAL);
    let nodes = [bench.node("a").await, bench.node("b").await];
    let body = json!({"model": MODEL, "prompt": "lot 17", "max_tokens": 300});
    let token = ("authorization", format!("Bearer {TOKEN}"));
    let ask = TestRequest::post()
        .uri("/v1/completions")
        .insert_header(token.clone())
        .insert_header(("x-request-id", "r-1"))
        .set_payload(body.to_string());
    let (refused, (report, cut_off)) = join(nodes[0].serve(ask.to_request()), async {
        sleep(INTERVAL * 10).await;
        nodes[0].stop(NOTICE).await
    })
    .await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers().get("lycheelatch-outcome").unwrap(), "unknown");
    assert_eq!((report.handed_over, report.lost, cut_off), (1, 0, 0));
    let fetch = TestRequest::get().uri("/v1/requests/r-1").insert_header(token);
    let answer = nodes[1].serve(fetch.to_request()).await;
    assert_eq!(answer.headers().get("lycheelatch-outcome").unwrap(), "complete");
    let answer: Value = actix_web::test::read_body_json(answer).await;
    let expected: String = (0..300).map(token_text).collect();
    assert_eq!(answer["choices"][0]["text"], expected);
}
