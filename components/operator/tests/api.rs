//! Tests of the endpoints, called in process without a network.

use std::{sync::Arc, time::Duration};

use actix_http::{BoxedPayloadStream, Payload};
use actix_web::{
    App, Error,
    body::MessageBody,
    dev::{Service, ServiceResponse},
    http::StatusCode,
    test::{TestRequest, call_service, init_service, read_body},
};
use async_trait::async_trait;
use futures_util::stream;
use lycheelatch_config::{ConfigStore, CurrentConfig, TokenHash};
use lycheelatch_fakes::{Fault, MemoryKv};
use lycheelatch_operator::{
    ControlError, DrainResponse, DrainTarget, NodeControl, NodeStatus, OperatorApi, OperatorToken,
    Readiness, Role, RouteExplanation, RouteQuery,
};
use lycheelatch_prelude::Revision;
use prometheus::Registry;
use serde_json::{Value, json};
use tokio::time::timeout;

const READ_TOKEN: &str = "token-of-the-reader";
const CHANGE_TOKEN: &str = "token-of-the-changer";

/// Time limit for a refusal that is sent before the body is received.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(10);

struct FakeNode;

#[async_trait(?Send)]
impl NodeControl for FakeNode {
    async fn status(&self) -> NodeStatus {
        NodeStatus {
            node: "entry-1".parse().unwrap(),
            zone: "lima-a".parse().unwrap(),
            region: "lima".parse().unwrap(),
            version: "0".to_owned(),
            readiness: self.readiness(),
            revision: Revision(0),
            key_value_up: true,
            in_flight: 0,
            members: Vec::new(),
            upstreams: Vec::new(),
        }
    }

    async fn route(&self, query: &RouteQuery) -> Result<RouteExplanation, ControlError> {
        Err(ControlError::NotFound { kind: "service", name: query.service.to_string() })
    }

    async fn drain(&self, _target: &DrainTarget) -> Result<DrainResponse, ControlError> {
        Ok(DrainResponse { in_flight: 3 })
    }

    fn readiness(&self) -> Readiness {
        Readiness::NotReady("the configuration is not loaded yet".to_owned())
    }
}

fn api(kv: &MemoryKv) -> Arc<OperatorApi> {
    let token = |name: &str, role, token| OperatorToken {
        name: name.parse().unwrap(),
        role,
        hash: TokenHash::new(token),
    };
    Arc::new(OperatorApi {
        store: Arc::new(ConfigStore::new(Arc::new(kv.clone()))),
        current: Arc::new(CurrentConfig::new()),
        node: Arc::new(FakeNode),
        tokens: vec![
            token("rosa", Role::Read, READ_TOKEN),
            token("mair", Role::Change, CHANGE_TOKEN),
        ],
        registry: Registry::new(),
    })
}

fn get(path: &str, token: &str) -> TestRequest {
    TestRequest::get().uri(path).insert_header(("Authorization", format!("Bearer {token}")))
}

fn post(path: &str, token: &str, body: &Value) -> TestRequest {
    let req = TestRequest::post().uri(path).set_payload(body.to_string());
    req.insert_header(("Authorization", format!("Bearer {token}")))
}

async fn send<S, B>(app: &S, req: TestRequest) -> (StatusCode, Value)
where
    S: Service<actix_http::Request, Response = ServiceResponse<B>, Error = Error>,
    B: MessageBody,
{
    let response = call_service(app, req.to_request()).await;
    let status = response.status();
    let content_type = response.headers().get("content-type").unwrap().to_str().unwrap().to_owned();
    let body = read_body(response).await;
    if !status.is_success() {
        assert_eq!(content_type, "application/problem+json");
    }
    let body: Value = serde_json::from_slice(&body).unwrap();
    if !status.is_success() {
        assert_eq!(body["status"], status.as_u16());
    }
    (status, body)
}

fn document() -> Value {
    json!({
        "services": [{ "name": "sack-desk", "kind": "plain" }],
        "workspaces": [{ "name": "lima", "tokens": [{ "token": "a-token-of-the-workspace" }] }],
    })
}

#[actix_web::test]
async fn apply_then_read_endpoints() {
    let api = api(&MemoryKv::new());
    let app = init_service(App::new().configure(api.clone().configure())).await;
    let body = json!({ "document": document(), "options": { "expect_revision": 0 } });
    let (status, answer) = send(&app, post("/v1/apply", CHANGE_TOKEN, &body)).await;
    assert_eq!((status, &answer["effect"]), (StatusCode::OK, &json!("committed")));
    assert_eq!(api.current.revision(), Revision(1), "in force on this node immediately");

    let (_, objects) = send(&app, get("/v1/objects", READ_TOKEN)).await;
    assert_eq!(objects["revision"], 1);
    assert!(objects["document"]["workspaces"][0]["tokens"][0]["id"].is_string());
    let again = json!({ "document": objects["document"] });
    let (_, answer) = send(&app, post("/v1/apply", CHANGE_TOKEN, &again)).await;
    assert_eq!(answer["effect"], "unchanged");

    let (_, objects) = send(&app, get("/v1/objects?kind=services", READ_TOKEN)).await;
    assert!(objects["document"].get("workspaces").is_none());
    let (_, history) = send(&app, get("/v1/history?limit=1", READ_TOKEN)).await;
    assert_eq!(history["entries"][0]["author"], "mair");
    let path = "/v1/audit?kind=workspaces&name=lima";
    let (_, audit) = send(&app, get(path, READ_TOKEN)).await;
    assert_eq!(audit["records"][0]["changes"].as_array().unwrap().len(), 2);
    let (_, diff) = send(&app, get("/v1/diff?from=0&to=1", READ_TOKEN)).await;
    assert_eq!(diff["changes"].as_array().unwrap().len(), 2);
    for shown in [objects, history, audit, diff] {
        assert!(!shown.to_string().contains("a-token-of-the-workspace"));
    }
}

#[actix_web::test]
async fn apply_dry_run_changes_nothing() {
    let kv = MemoryKv::new();
    let app = init_service(App::new().configure(api(&kv).configure())).await;
    let body = json!({ "document": document(), "options": { "dry_run": true } });
    let (_, answer) = send(&app, post("/v1/apply", CHANGE_TOKEN, &body)).await;
    assert_eq!(answer["effect"], "dry-run");
    assert_eq!(answer["changes"].as_array().unwrap().len(), 2);
    assert!(kv.peek("").is_empty());
}

#[actix_web::test]
async fn apply_conflict_lists_intervening_changes() {
    let app = init_service(App::new().configure(api(&MemoryKv::new()).configure())).await;
    let body = json!({ "document": document() });
    send(&app, post("/v1/apply", CHANGE_TOKEN, &body)).await;
    let objects = json!([{ "kind": "service", "name": "sack-desk" }]);
    let body = json!({ "objects": objects, "options": { "expect_revision": 0 } });
    let (status, problem) = send(&app, post("/v1/delete", CHANGE_TOKEN, &body)).await;
    assert_eq!(status, StatusCode::CONFLICT);
    assert_eq!(problem["conflict"]["latest"], 1);
    assert_eq!(problem["conflict"]["between"][0]["author"], "mair");
    let body = json!({ "objects": objects, "options": { "expect_revision": 1 } });
    let (status, _) = send(&app, post("/v1/delete", CHANGE_TOKEN, &body)).await;
    assert_eq!(status, StatusCode::OK);
}

#[actix_web::test]
async fn apply_invalid_lists_every_error() {
    let app = init_service(App::new().configure(api(&MemoryKv::new()).configure())).await;
    let body = json!({ "document": { "services": [{ "name": "a b" }], "gizmos": 1 } });
    let (status, problem) = send(&app, post("/v1/apply", CHANGE_TOKEN, &body)).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    let fields: Vec<&str> = problem["errors"]
        .as_array()
        .unwrap()
        .iter()
        .map(|e| e["field"].as_str().unwrap())
        .collect();
    assert_eq!(fields, ["services[0].name", "services[0].kind", "gizmos"]);
}

#[actix_web::test]
async fn apply_outage_distinguishes_unapplied_from_unknown() {
    let kv = MemoryKv::new();
    let app = init_service(App::new().configure(api(&kv).configure())).await;
    kv.faults.set_default(Fault::Refuse);
    tokio::time::pause();
    let body = json!({ "document": document() });
    let (status, problem) = send(&app, post("/v1/apply", CHANGE_TOKEN, &body)).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(problem["detail"].as_str().unwrap().starts_with("the change was not applied"));
    kv.faults.script([Fault::None, Fault::LoseResponse]);
    let (status, problem) = send(&app, post("/v1/apply", CHANGE_TOKEN, &body)).await;
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(problem["type"], "urn:lycheelatch:problem:outcome-unknown");
    kv.faults.clear();
    let options = json!({ "change_id": problem["change_id"] });
    let body = json!({ "document": document(), "options": options });
    let (_, answer) = send(&app, post("/v1/apply", CHANGE_TOKEN, &body)).await;
    assert_eq!(answer["effect"], "already-applied");
}

#[actix_web::test]
async fn authorize_roles() {
    let app = init_service(App::new().configure(api(&MemoryKv::new()).configure())).await;
    let body = json!({ "document": {} });
    let (status, _) = send(&app, post("/v1/apply", READ_TOKEN, &body)).await;
    assert_eq!(status, StatusCode::FORBIDDEN);
    let (status, _) = send(&app, post("/v1/drain", READ_TOKEN, &json!("node"))).await;
    assert_eq!(status, StatusCode::FORBIDDEN);
    let (status, _) = send(&app, get("/v1/history", "no-such-token")).await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);
    let (status, _) = send(&app, TestRequest::get().uri("/v1/status")).await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);
    let (status, _) = send(&app, get("/v1/status", CHANGE_TOKEN)).await;
    assert_eq!(status, StatusCode::OK);
}

#[actix_web::test]
async fn get_invalid_parameters_are_listed() {
    let app = init_service(App::new().configure(api(&MemoryKv::new()).configure())).await;
    let (status, problem) =
        send(&app, get("/v1/history?limit=x&before=-1&page=2", READ_TOKEN)).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    assert_eq!(problem["errors"].as_array().unwrap().len(), 3);
    let (status, _) = send(&app, get("/v1/objects?name=no-such", READ_TOKEN)).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    let (status, _) = send(&app, get("/v1/nothing", READ_TOKEN)).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
}

#[actix_web::test]
async fn post_bad_bodies() {
    let app = init_service(App::new().configure(api(&MemoryKv::new()).configure())).await;
    let req = post("/v1/apply", CHANGE_TOKEN, &json!({ "documents": {} }));
    assert_eq!(send(&app, req).await.0, StatusCode::BAD_REQUEST);
    let req = post("/v1/apply", CHANGE_TOKEN, &json!({})).set_payload("{");
    assert_eq!(send(&app, req).await.0, StatusCode::BAD_REQUEST);
    let large = vec![b' '; 17 * 1024 * 1024];
    let req = post("/v1/apply", CHANGE_TOKEN, &json!({})).set_payload(large);
    assert_eq!(send(&app, req).await.0, StatusCode::PAYLOAD_TOO_LARGE);
}

#[actix_web::test]
async fn post_with_unknown_token_is_refused_before_body() {
    let app = init_service(App::new().configure(api(&MemoryKv::new()).configure())).await;
    for path in ["/v1/apply", "/v1/delete", "/v1/route", "/v1/drain"] {
        let endless: BoxedPayloadStream = Box::pin(stream::pending());
        let req = post(path, "token-of-nobody", &json!({})).to_request();
        let (req, _) = req.replace_payload(Payload::from(endless));
        let answer = timeout(REFUSAL_TIMEOUT, call_service(&app, req)).await;
        let answer = answer.expect("refusal must not wait for the body");
        assert_eq!(answer.status(), StatusCode::UNAUTHORIZED, "{path}");
    }
}

#[actix_web::test]
async fn responses_contain_no_token() {
    let api = api(&MemoryKv::new());
    let app = init_service(App::new().configure(api.clone().configure())).await;
    let body = json!({ "document": document() });
    let (status, applied) = send(&app, post("/v1/apply", CHANGE_TOKEN, &body)).await;
    assert_eq!(status, StatusCode::OK);
    let hash = api.current.get().workspaces["lima"].tokens[0].clone();
    let secrets = ["a-token-of-the-workspace".to_owned(), String::from(hash)];
    let mut answers = vec![applied.to_string(), format!("{:?}", api.current.get())];
    for path in ["/v1/objects", "/v1/history", "/v1/audit", "/v1/diff?from=0&to=1"] {
        let (status, answer) = send(&app, get(path, READ_TOKEN)).await;
        assert_eq!(status, StatusCode::OK, "{path}");
        answers.push(answer.to_string());
    }
    for answer in answers {
        for secret in secrets.iter().map(String::as_str).chain([READ_TOKEN, CHANGE_TOKEN]) {
            assert!(!answer.contains(secret), "{answer}");
        }
    }
}

#[actix_web::test]
async fn node_endpoints() {
    let app = init_service(App::new().configure(api(&MemoryKv::new()).configure())).await;
    let (_, status) = send(&app, get("/v1/status", READ_TOKEN)).await;
    assert_eq!(status["zone"], "lima-a");
    let query = json!({ "service": "no-such", "labels": { "tier": "gold" } });
    let (status, problem) = send(&app, post("/v1/route", READ_TOKEN, &query)).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    assert_eq!(problem["detail"], "there is no service no-such");
    let target = json!({ "upstream": "runner-1" });
    let (_, answer) = send(&app, post("/v1/drain", CHANGE_TOKEN, &target)).await;
    assert_eq!(answer["in_flight"], 3);
    let (_, version) = send(&app, get("/v1/version", READ_TOKEN)).await;
    assert!(version["version"].is_string());
    for (path, expected) in [("/healthz", 200), ("/readyz", 503), ("/metrics", 200)] {
        let req = TestRequest::get().uri(path).to_request();
        assert_eq!(call_service(&app, req).await.status(), expected);
    }
}
