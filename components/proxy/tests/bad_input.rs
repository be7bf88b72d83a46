//! Responses to invalid requests.

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

/// Time limit for a node to close a connection whose request body it refuses.
const CLOSE_LIMIT: Duration = Duration::from_secs(20);

fn assert_refused(response: &ReceivedResponse, status: u16, field: &str) {
    assert_eq!(response.status, status, "{response:?}");
    assert_eq!(response.outcome, "not-run", "{response:?}");
    assert!(response.request_id.is_some(), "{response:?}");
    assert_eq!(response.json()["field"], field, "{response:?}");
}

#[actix_web::test]
async fn model_unknown_is_named() {
    let fixture = Fixture::start();
    let response = fixture.complete(json!({"model": "model-z", "messages": []})).await;
    assert_refused(&response, 404, "model");
    assert_eq!(response.json()["value"], "model-z");
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
    let response = fixture.complete(json!({"model": "model-a", "prompt": prompt})).await;
    assert_eq!((response.status, response.outcome.as_str()), (413, "not-run"));
}

/// Sends chunks until the node closes the connection or the time limit passes.
///
/// Returns whether the node closed the connection.
fn send_until_closed(addr: SocketAddr) -> bool {
    let mut socket = TcpStream::connect(addr).unwrap();
    socket.set_write_timeout(Some(CLOSE_LIMIT)).unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).unwrap();
    let chunk = [b"4000\r\n".as_slice(), &[b'x'; 16 * 1024], b"\r\n"].concat();
    let deadline = Instant::now() + CLOSE_LIMIT;
    while Instant::now() < deadline {
        if let Err(err) = socket.write_all(&chunk) {
            return err.kind() != std::io::ErrorKind::WouldBlock;
        }
    }
    false
}

#[actix_web::test]
async fn body_without_end_closes_connection() {
    let fixture = Fixture::start();
    let addr = fixture.addr;
    let closed = actix_web::web::block(move || send_until_closed(addr)).await.unwrap();
    assert!(closed, "the node continues to read a body without end");
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
        let response = receive(call.send().await.unwrap()).await;
        assert_eq!((response.status, response.outcome.as_str()), (400, "not-run"), "{name}");
        assert!(!response.json()["field"].is_null(), "{name}");
        assert!(!response.json()["value"].is_null(), "{name}");
    }
}

#[actix_web::test]
async fn headers_too_large_are_refused() {
    let fixture = Fixture::start();
    let call = fixture.call("GET", "/services/orders/stock");
    let call = call.insert_header(("x-filler", "x".repeat(256 * 1024)));
    // The connection may be closed before the response is read.
    if let Ok(response) = call.send().await {
        assert!(response.status().is_client_error(), "{}", response.status());
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
    let response = receive(fixture.call("GET", "/services/closed/x").send().await.unwrap()).await;
    assert_eq!((response.status, response.outcome.as_str()), (403, "not-run"));
}

#[actix_web::test]
async fn upstream_none_is_refused_with_retry_after() {
    let fixture = Fixture::start();
    let response = fixture.complete(json!({"model": "model-a", "prompt": "x"})).await;
    assert_eq!((response.status, response.outcome.as_str()), (503, "not-run"));
    assert!(response.retry_after.is_some());
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
    let response = receive(call.send().await.unwrap()).await.json();
    assert_eq!(response["x-mine"], "1");
    assert!(response["authorization"].is_null(), "{response}");
    assert!(response["lycheelatch-labels"].is_null(), "{response}");
}

#[actix_web::test]
async fn engine_rejection_is_passed_on() {
    let mut fixture = Fixture::start();
    let engine = serve_engine(EngineConfig::default()).unwrap();
    fixture.add_engine("a", &engine);
    let response = fixture.complete(json!({"model": "model-a", "messages": "none"})).await;
    assert_eq!((response.status, response.outcome.as_str()), (400, "not-run"));
}
