//! Outcomes reported to callers when upstreams fail.

mod common;

use std::time::Duration;

use common::{Fixture, ReceivedResponse, receive};
use lycheelatch_fakes::{
    EngineConfig, Fault, ServedEngine, ServedPlain, serve_engine, serve_plain,
};
use lycheelatch_proxy::StreamCommand;
use serde_json::json;

fn add_applications(fixture: &mut Fixture, zones: &[&str]) -> Vec<ServedPlain> {
    let applications: Vec<_> = zones.iter().map(|_| serve_plain().unwrap()).collect();
    for (zone, application) in zones.iter().zip(&applications) {
        fixture.add_plain(zone, application);
    }
    applications
}

/// Starts a proxy before applications in the given zones, each of which has the fault.
fn start_with(zones: &[&str], fault: Fault) -> (Fixture, Vec<ServedPlain>) {
    let mut fixture = Fixture::start();
    let applications = add_applications(&mut fixture, zones);
    applications.iter().for_each(|a| a.faults.set_default(fault));
    (fixture, applications)
}

fn executions(applications: &[ServedPlain], order: &str) -> u32 {
    applications.iter().filter_map(|a| a.executions().get(order).copied()).sum()
}

async fn book(fixture: &Fixture, order: &str, key: Option<&str>) -> ReceivedResponse {
    let mut call = fixture.call("POST", &format!("/services/orders/orders/{order}"));
    if let Some(key) = key {
        call = call.insert_header(("idempotency-key", key));
    }
    receive(call.send().await.unwrap()).await
}

#[actix_web::test]
async fn booking_executed_is_complete() {
    let mut fixture = Fixture::start();
    let applications = add_applications(&mut fixture, &["a"]);
    let response = book(&fixture, "mat", None).await;
    assert_eq!((response.status, response.outcome.as_str()), (201, "complete"));
    assert_eq!(executions(&applications, "mat"), 1);
}

#[actix_web::test]
async fn booking_refused_by_all_upstreams_is_not_run() {
    let (fixture, applications) = start_with(&["a", "b"], Fault::Refuse);
    let response = book(&fixture, "mat", None).await;
    assert_eq!((response.status, response.outcome.as_str()), (503, "not-run"));
    assert_eq!(executions(&applications, "mat"), 0);
}

#[actix_web::test]
async fn booking_refused_by_one_upstream_runs_on_another() {
    let mut fixture = Fixture::start();
    let applications = add_applications(&mut fixture, &["a", "b"]);
    applications[0].faults.set_default(Fault::Refuse);
    for i in 0..4 {
        let response = book(&fixture, &format!("mat-{i}"), None).await;
        assert_eq!((response.status, response.outcome.as_str()), (201, "complete"));
    }
}

#[actix_web::test]
async fn booking_with_lost_response_is_unknown_and_not_repeated() {
    let (fixture, applications) = start_with(&["a", "b"], Fault::LoseResponse);
    let response = book(&fixture, "mat", None).await;
    assert_eq!((response.status, response.outcome.as_str()), (502, "unknown"));
    assert_eq!(executions(&applications, "mat"), 1);
}

#[actix_web::test]
async fn booking_with_lost_response_and_key_is_never_repeated() {
    let (fixture, applications) = start_with(&["a", "b"], Fault::LoseResponse);
    for _ in 0..3 {
        let response = book(&fixture, "mat", Some("key-1")).await;
        assert_eq!(response.outcome, "unknown", "{response:?}");
    }
    assert_eq!(executions(&applications, "mat"), 1);
}

#[actix_web::test]
async fn booking_not_run_with_key_may_be_repeated() {
    let mut fixture = Fixture::start();
    let applications = add_applications(&mut fixture, &["a"]);
    applications[0].faults.script([Fault::Refuse]);
    let first = book(&fixture, "mat", Some("key-1")).await;
    assert_eq!(first.outcome, "not-run");
    let second = book(&fixture, "mat", Some("key-1")).await;
    assert_eq!(second.outcome, "complete");
    let third = book(&fixture, "mat", Some("key-1")).await;
    assert_eq!((third.status, third.body), (201, second.body));
    assert_eq!(executions(&applications, "mat"), 1);
}

#[actix_web::test]
async fn booking_past_deadline_is_unknown() {
    let (fixture, _applications) = start_with(&["a"], Fault::Silent);
    let call = fixture
        .call("POST", "/services/orders/orders/mat")
        .insert_header(("lycheelatch-timeout-ms", "300"));
    let response = receive(call.send().await.unwrap()).await;
    assert_eq!(response.outcome, "unknown");
}

#[actix_web::test]
async fn key_value_outage_refuses_only_keyed_requests() {
    let mut fixture = Fixture::start();
    let applications = add_applications(&mut fixture, &["a"]);
    fixture.kv.faults.set_default(Fault::Refuse);
    let keyed = book(&fixture, "mat", Some("key-1")).await;
    assert_eq!((keyed.status, keyed.outcome.as_str()), (503, "not-run"));
    assert_eq!(executions(&applications, "mat"), 0);
    assert_eq!(book(&fixture, "mat", None).await.outcome, "complete");
}

#[actix_web::test]
async fn large_response_is_relayed_completely() {
    let mut fixture = Fixture::start();
    let _applications = add_applications(&mut fixture, &["a"]);
    let body = vec![b'x'; 3 << 20];
    let call = fixture.call("POST", "/services/orders/echo");
    let response = receive(call.send_body(body.clone()).await.unwrap()).await;
    assert_eq!(response.status, 200);
    assert_eq!(response.body.unwrap(), body);
}

fn add_engines(fixture: &mut Fixture, zones: &[&str], cfg: &EngineConfig) -> Vec<ServedEngine> {
    let engines: Vec<_> = zones.iter().map(|_| serve_engine(cfg.clone()).unwrap()).collect();
    for (zone, engine) in zones.iter().zip(&engines) {
        fixture.add_engine(zone, engine);
    }
    engines
}

#[actix_web::test]
async fn response_resumes_after_engine_crash() {
    let mut fixture = Fixture::start();
    let cfg = EngineConfig { token_interval: Duration::from_millis(2), ..Default::default() };
    let engines = add_engines(&mut fixture, &["a", "b"], &cfg);
    let prompt = "draft a specification";
    let body = json!({
        "model": "model-a",
        "max_tokens": 200,
        "messages": [{"role": "user", "content": prompt}],
    });
    let kill = async {
        while engines.iter().all(|engine| engine.counts().generated_tokens < 20) {
            actix_web::rt::task::yield_now().await;
        }
        let busy = engines.iter().find(|engine| engine.counts().generated_tokens >= 20);
        busy.unwrap().kill().await;
    };
    let (response, ()) = futures_util::future::join(fixture.complete(body), kill).await;
    assert_eq!((response.status, response.outcome.as_str()), (200, "complete"));
    let text = response.json()["choices"][0]["message"]["content"].clone();
    assert_eq!(text, ServedEngine::expected_text(prompt, 200));
}

#[actix_web::test]
async fn caller_disconnect_cancels_generation() {
    let mut fixture = Fixture::start();
    let cfg = EngineConfig { token_interval: Duration::from_millis(2), ..Default::default() };
    let engines = add_engines(&mut fixture, &["a"], &cfg);
    let body = json!({"model": "model-a", "stream": true, "max_tokens": 100_000, "prompt": "x"});
    let response = fixture.call("POST", "/v1/completions").send_json(&body).await.unwrap();
    drop(response);
    while engines[0].counts().cancelled == 0 {
        actix_web::rt::time::sleep(Duration::from_millis(1)).await;
    }
    assert!(engines[0].counts().generated_tokens < 100_000);
    assert_eq!(fixture.proxy.running().count(), 0);
}

/// Requests 200 tokens, moves the response after 20 have been generated, and returns it.
async fn move_after_20_tokens(
    fixture: &Fixture,
    engines: &[ServedEngine],
    prompt: &str,
) -> ReceivedResponse {
    let body = json!({"model": "model-a", "max_tokens": 200, "prompt": prompt});
    let call = fixture.call("POST", "/v1/completions").send_json(&body);
    let response = async { receive(call.await.unwrap()).await };
    let command = async {
        let running = fixture.proxy.running();
        while engines.iter().all(|engine| engine.counts().generated_tokens < 20) {
            actix_web::rt::task::yield_now().await;
        }
        let stream = running.list().remove(0);
        let from = stream.upstream.unwrap();
        let all = fixture.proxy.registry().all();
        let to = all.iter().find(|upstream| *upstream.id() != from).unwrap().id().clone();
        assert!(running.send_command(&stream.request, StreamCommand::Move { to }));
    };
    futures_util::future::join(response, command).await.0
}

#[actix_web::test]
async fn response_moves_with_its_kv_cache() {
    let mut fixture = Fixture::start();
    let cfg = EngineConfig { token_interval: Duration::from_millis(2), ..Default::default() };
    let engines = add_engines(&mut fixture, &["a", "b"], &cfg);
    let response = move_after_20_tokens(&fixture, &engines, "lot history").await;
    assert_eq!((response.status, response.outcome.as_str()), (200, "complete"));
    assert_eq!(
        response.json()["choices"][0]["text"],
        ServedEngine::expected_text("lot history", 200)
    );
    let recomputed: u64 = engines.iter().map(|e| e.counts().recomputed_tokens).sum();
    assert_eq!(recomputed, 0);
    assert!(engines.iter().all(|engine| engine.counts().started == 1));
}

#[actix_web::test]
async fn response_resumes_after_silent_kv_export() {
    let mut fixture = Fixture::start();
    let cfg = EngineConfig {
        token_interval: Duration::from_millis(2),
        export_hangs: true,
        ..Default::default()
    };
    let engines = add_engines(&mut fixture, &["a", "b"], &cfg);
    let response = move_after_20_tokens(&fixture, &engines, "lot history").await;
    assert_eq!((response.status, response.outcome.as_str()), (200, "complete"));
    assert_eq!(
        response.json()["choices"][0]["text"],
        ServedEngine::expected_text("lot history", 200)
    );
    assert!(engines.iter().all(|engine| engine.counts().started == 1));
}
