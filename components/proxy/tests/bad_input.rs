//! What callers get for input that can't be taken.

mod common;

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use tokio::time::Instant;

use common::{Fixture, MAX_BODY_BYTES, ReceivedResponse, TOKEN, receive};
use lycheelatch_fakes::{EngineConfig, serve_engine, serve_plain};
use serde_json::json;

/// Time within which a node ends a connection whose body it refuses.
const CLOSE_LIMIT: Duration = Duration::from_secs(20);

fn assert_refused(answer: &ReceivedResponse, status: u16, field: &str) {
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(answer.outcome, "not-run", "{answer:?}");
    assert!(answer.request_id.is_some(), "{answer:?}");
    assert_eq!(answer.json()["field"], field, "{answer:?}");
}

#[actix_web::test]
async fn model_unknown_is_named() {
    let fixture = Fixture::start();
    let answer = fixture.complete(json!({"model": "model-z", "messages": []})).await;
    assert_refused(&answer, 404, "model");
    assert_eq!(answer.json()["value"], "model-z");
}

#[actix_web::test]
async fn model_missing_is_named() {
    let fixture = Fixture::start();
    assert_refused(&fixture.complete(json!({"messages": []})).await, 400, "model");
}

#[actix_web::test]
async fn model_of_plain_service_is_unknown() {
    let fixture = Fixture::start();
    assert_refused(&fixture.complete(json!({"model": "orders"})).await, 404, "model");
}

#[actix_web::test]
async fn body_not_json_is_named() {
    let fixture = Fixture::start();
    let call = fixture.call("POST", "/v1/completions");
    assert_refused(&receive(call.send_body("{\"model\": ").await.unwrap()).await, 400, "body");
}

#[actix_web::test]
async fn body_too_large_is_refused() {
    let fixture = Fixture::start();
    let prompt = "x".repeat(MAX_BODY_BYTES);
    let answer = fixture.complete(json!({"model": "model-a", "prompt": prompt})).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (413, "not-run"));
}

/// Sends chunks until the other end closes; returns whether it did.
fn send_until_closed(addr: SocketAddr) -> bool {
    let mut socket = TcpStream::connect(addr).unwrap();
    socket.set_write_timeout(Some(CLOSE_LIMIT)).unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).unwrap();
    let chunk = [b"4000\r\n".as_slice(), &[b'x'; 16 * 1024], b"\r\n"].concat();
    let ends = Instant::now() + CLOSE_LIMIT;
    while Instant::now() < ends {
        if let Err(err) = socket.write_all(&chunk) {
            return err.kind() != std::io::ErrorKind::WouldBlock;
        }
    }
    false
}

#[actix_web::test]
async fn body_without_end_closes_the_connection() {
    let fixture = Fixture::start();
    let addr = fixture.addr;
    let closed = actix_web::web::block(move || send_until_closed(addr)).await.unwrap();
    assert!(closed, "the node goes on reading");
}

#[actix_web::test]
async fn headers_bad_value_names_the_header() {
    let fixture = Fixture::start();
    for (name, value) in [
        ("lycheelatch-labels", "tier"),
        ("lycheelatch-timeout-ms", "0"),
        ("lycheelatch-attempt", "none"),
        ("lycheelatch-idempotent", "perhaps"),
        ("x-request-id", "a b"),
    ] {
        let call = fixture.call("GET", "/services/orders/stock").insert_header((name, value));
        let answer = receive(call.send().await.unwrap()).await;
        assert_eq!((answer.status, answer.outcome.as_str()), (400, "not-run"), "{name}");
        assert!(!answer.json()["field"].is_null(), "{name}");
        assert!(!answer.json()["value"].is_null(), "{name}");
    }
}

#[actix_web::test]
async fn headers_too_large_are_refused() {
    let fixture = Fixture::start();
    let call = fixture.call("GET", "/services/orders/stock");
    let call = call.insert_header(("x-filler", "x".repeat(256 * 1024)));
    // The connection may be closed before the answer is read.
    if let Ok(answer) = call.send().await {
        assert!(answer.status().is_client_error(), "{}", answer.status());
    }
    let next = fixture.call("GET", "/v1/models").send().await.unwrap();
    assert!(next.status().is_success());
}

#[actix_web::test]
async fn token_unknown_or_missing_is_refused() {
    let fixture = Fixture::start();
    let url = format!("http://{}/v1/models", fixture.addr);
    let client = lycheelatch_http::client();
    let without = receive(client.get(&url).send().await.unwrap()).await;
    let wrong = client.get(&url).insert_header(("authorization", "Bearer other"));
    let wrong = receive(wrong.send().await.unwrap()).await;
    assert_eq!((without.status, without.outcome.as_str()), (401, "not-run"));
    assert_eq!((wrong.status, wrong.outcome.as_str()), (401, "not-run"));
}

#[actix_web::test]
async fn service_not_allowed_is_forbidden() {
    let fixture = Fixture::start();
    let answer = receive(fixture.call("GET", "/services/closed/x").send().await.unwrap()).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (403, "not-run"));
}

#[actix_web::test]
async fn upstream_none_is_refused_with_retry_after() {
    let fixture = Fixture::start();
    let answer = fixture.complete(json!({"model": "model-a", "prompt": "x"})).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (503, "not-run"));
    assert!(answer.retry_after.is_some());
}

#[actix_web::test]
async fn own_headers_do_not_reach_upstreams() {
    let mut fixture = Fixture::start();
    let application = serve_plain().unwrap();
    fixture.add_plain("a", &application);
    let call = fixture
        .call("POST", "/services/orders/echo-headers")
        .insert_header(("lycheelatch-labels", "tier=gold"))
        .insert_header(("x-mine", "1"));
    let answer = receive(call.send().await.unwrap()).await.json();
    assert_eq!(answer["x-mine"], "1");
    assert!(answer["authorization"].is_null(), "{answer}");
    assert!(answer["lycheelatch-labels"].is_null(), "{answer}");
}

#[actix_web::test]
async fn engine_rejection_is_passed_on() {
    let mut fixture = Fixture::start();
    let engine = serve_engine(EngineConfig::default()).unwrap();
    fixture.add_engine("a", &engine);
    let answer = fixture.complete(json!({"model": "model-a", "messages": "none"})).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (400, "not-run"));
}
