//! Tests of the command line against the operator API of a node on the loopback interface.

use std::{
    io::Cursor,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use actix_web::{App, HttpServer, dev::ServerHandle, web};
use async_trait::async_trait;
use lycheelatch::{Code, Output, command, run};
use lycheelatch_config::{ConfigStore, CurrentConfig, TokenHash};
use lycheelatch_fakes::{Fault, MemoryKv};
use lycheelatch_operator::{
    ChangeEffect, ChangeResponse, ControlError, DrainResponse, DrainTarget, MemberStatus,
    NodeControl, NodeStatus, OperatorApi, OperatorToken, Problem, ProblemKind, Readiness, Role,
    RouteCandidate, RouteExplanation, RouteQuery, UpstreamStatus,
};
use lycheelatch_prelude::Revision;
use prometheus::Registry;
use serde_json::{Value, json};

const READ_TOKEN: &str = "token-of-the-reader";
const CHANGE_TOKEN: &str = "token-of-the-changer";

struct FakeNode;

#[async_trait(?Send)]
impl NodeControl for FakeNode {
    async fn status(&self) -> NodeStatus {
        let zone = || "aberteifi".parse().unwrap();
        NodeStatus {
            node: "entry-1".parse().unwrap(),
            zone: zone(),
            region: "ceredigion".parse().unwrap(),
            version: "0".to_owned(),
            readiness: Readiness::Ready,
            revision: Revision(4),
            key_value_up: true,
            in_flight: 2,
            members: vec![MemberStatus {
                node: "entry-2".parse().unwrap(),
                zone: zone(),
                state: "suspect".to_owned(),
                addr: "10.0.0.2:7000".to_owned(),
            }],
            upstreams: vec![UpstreamStatus {
                upstream: "runner-7".parse().unwrap(),
                service: "gwehydd-llm".parse().unwrap(),
                zone: zone(),
                state: "leaving".to_owned(),
                in_flight: 5,
            }],
        }
    }

    async fn route(&self, query: &RouteQuery) -> Result<RouteExplanation, ControlError> {
        if query.service.as_str() != "gwehydd-llm" {
            let name = query.service.to_string();
            return Err(ControlError::NotFound { kind: "service", name });
        }
        Ok(RouteExplanation {
            revision: Revision(4),
            labels: query.labels.clone(),
            rules: vec!["gold-first".to_owned()],
            chosen: Some("runner-7".parse().unwrap()),
            candidates: vec![RouteCandidate {
                upstream: "runner-7".parse().unwrap(),
                zone: "aberteifi".parse().unwrap(),
                is_allowed: true,
                reasons: vec!["preferred by gold-first".to_owned()],
            }],
        })
    }

    async fn drain(&self, target: &DrainTarget) -> Result<DrainResponse, ControlError> {
        match target {
            DrainTarget::Node => Ok(DrainResponse { in_flight: 2 }),
            DrainTarget::Upstream(_) => Ok(DrainResponse { in_flight: 5 }),
        }
    }

    fn readiness(&self) -> Readiness {
        Readiness::Ready
    }
}

/// Operator API of a fake node on a loopback port.
struct OperatorServer {
    addr: SocketAddr,
    handle: ServerHandle,
    kv: MemoryKv,
}

impl OperatorServer {
    fn start() -> OperatorServer {
        let token = |name: &str, role, token| OperatorToken {
            name: name.parse().unwrap(),
            role,
            hash: TokenHash::new(token),
        };
        let kv = MemoryKv::new();
        let api = Arc::new(OperatorApi {
            store: Arc::new(ConfigStore::new(Arc::new(kv.clone()))),
            current: Arc::new(CurrentConfig::new()),
            node: Arc::new(FakeNode),
            tokens: vec![
                token("rosa", Role::Read, READ_TOKEN),
                token("mair", Role::Change, CHANGE_TOKEN),
            ],
            registry: Registry::new(),
        });
        let server = HttpServer::new(move || App::new().configure(api.clone().configure()))
            .workers(1)
            .disable_signals()
            .bind("127.0.0.1:0")
            .unwrap();
        let addr = server.addrs()[0];
        let server = server.run();
        let handle = server.handle();
        actix_rt::spawn(server);
        OperatorServer { addr, handle, kv }
    }

    async fn call(&self, token: &str, args: &[&str], stdin: &str) -> Output {
        let server = format!("http://{}", self.addr);
        let global_args = ["lycheelatch", "--server", &server, "--token", token];
        call(&[&global_args, args].concat(), stdin).await
    }

    async fn change(&self, args: &[&str], stdin: &Value) -> Output {
        self.call(CHANGE_TOKEN, args, &stdin.to_string()).await
    }

    async fn read(&self, args: &[&str]) -> Output {
        self.call(READ_TOKEN, args, "").await
    }
}

async fn call(args: &[&str], stdin: &str) -> Output {
    let matches = command().try_get_matches_from(args).unwrap();
    run(&matches, &mut Cursor::new(stdin.to_owned())).await
}

fn service(max_queue_ms: u64) -> Value {
    let limits = json!({ "max_queue_ms": max_queue_ms });
    json!({ "services": [{ "name": "archeb-app", "kind": "plain", "limits": limits }] })
}

#[actix_rt::test]
async fn apply_get_history_audit_diff() {
    let server = OperatorServer::start();
    let output = server.change(&["apply", "-f", "-"], &service(100)).await;
    assert_eq!((output.code, &*output.stderr), (Code::Done, ""));
    assert_eq!(output.stdout, "+ services[archeb-app]\napplied at revision 1\n");

    let output = server.change(&["diff", "-f", "-"], &service(100)).await;
    assert_eq!((output.code, &*output.stdout), (Code::Done, ""));
    let output = server.call(READ_TOKEN, &["diff", "-f", "-"], &service(200).to_string()).await;
    assert_eq!(output.code, Code::Differs);
    assert_eq!(output.stdout, "~ services[archeb-app].limits.max_queue_ms: 100 -> 200\n");
    let output = server.change(&["apply", "-f", "-", "--dry-run"], &service(200)).await;
    assert!(output.stdout.ends_with("would be applied at revision 2\n"));
    server.change(&["apply", "-f", "-", "--expect-revision", "1"], &service(200)).await;

    let output = server.read(&["get"]).await;
    assert!(output.stdout.contains("services  archeb-app  plain\n"), "{}", output.stdout);
    assert!(output.stdout.ends_with("revision 2\n"));
    let output = server.read(&["history", "--limit", "1"]).await;
    assert!(output.stdout.contains("mair  ~services[archeb-app]\nmore: --before 2\n"));
    let output = server.read(&["audit", "--author", "mair", "--limit", "1"]).await;
    assert!(output.stdout.starts_with("revision 2  20"), "{}", output.stdout);
    assert!(output.stdout.contains("  ~ services[archeb-app].limits.max_queue_ms: 100 -> 200\n"));
    let output = server.read(&["diff", "--from", "0", "--to", "2"]).await;
    assert_eq!((output.code, &*output.stdout), (Code::Differs, "+ services[archeb-app]\n"));
    server.handle.stop(false).await;
}

#[actix_rt::test]
async fn get_json_can_be_applied_again() {
    let server = OperatorServer::start();
    let token = json!([{ "token": "a-token-of-the-workspace" }]);
    let document = json!({ "workspaces": [{ "name": "caerwen", "tokens": token }] });
    server.change(&["apply", "-f", "-"], &document).await;
    let output = server.read(&["get", "workspaces", "-o", "json"]).await;
    assert!(!output.stdout.contains("a-token-of-the-workspace"));
    let answer: Value = serde_json::from_str(&output.stdout).unwrap();
    let output = server.change(&["apply", "-f", "-"], &answer["document"]).await;
    assert_eq!(output.stdout, "nothing to change at revision 1\n");
    let output = server.change(&["check", "-"], &answer["document"]).await;
    assert_eq!(output.stdout, "a configuration of 1 objects, no errors\n");
    server.handle.stop(false).await;
}

#[actix_rt::test]
async fn delete_conflict_lists_intervening_changes() {
    let server = OperatorServer::start();
    server.change(&["apply", "-f", "-"], &service(1)).await;
    let args = ["delete", "services", "archeb-app", "--expect-revision", "0"];
    let output = server.change(&args, &Value::Null).await;
    assert_eq!(output.code, Code::Conflict);
    assert!(output.stderr.contains("expects revision 0, and the latest is 1"));
    assert!(output.stderr.contains("  + services[archeb-app]\n"), "{}", output.stderr);
    let output = server.change(&["delete", "services", "archeb-app"], &Value::Null).await;
    assert_eq!(output.stdout, "- services[archeb-app]\napplied at revision 2\n");
    server.handle.stop(false).await;
}

#[actix_rt::test]
async fn apply_invalid_lists_every_error() {
    let server = OperatorServer::start();
    let document = json!({ "services": [{ "name": "a b", "kind": "plain", "x": 1 }] });
    let output = server.change(&["apply", "-f", "-"], &document).await;
    assert_eq!(output.code, Code::Invalid);
    assert!(output.stderr.contains("services[0].name \"a b\""), "{}", output.stderr);
    assert!(output.stderr.contains("services[0].x \"1\""), "{}", output.stderr);
    server.handle.stop(false).await;
}

#[actix_rt::test]
async fn apply_lost_response_is_recovered_by_retry() {
    let server = OperatorServer::start();
    // The compare-and-swap takes effect, but its response is lost and the next three
    // calls of the node to the key-value store are refused, so the node reports an
    // unknown outcome.
    server.kv.faults.script([Fault::None, Fault::LoseResponse]);
    server.kv.faults.script(std::iter::repeat_n(Fault::Refuse, 3));
    let output = server.change(&["apply", "-f", "-"], &service(1)).await;
    assert_eq!(output.code, Code::Done, "{}", output.stderr);
    let output = server.read(&["history"]).await;
    assert_eq!(output.stdout.lines().count(), 2, "one change");
    server.handle.stop(false).await;
}

/// Sends a change to a node that returns these responses in turn; returns the number of attempts.
async fn apply_with_responses(answers: Vec<Result<ChangeEffect, ProblemKind>>) -> (Output, usize) {
    let answers = Arc::new(Mutex::new(answers.into_iter()));
    let ids = Arc::new(Mutex::new(Vec::new()));
    let (next, seen) = (answers.clone(), ids.clone());
    let server = HttpServer::new(move || {
        let (next, seen) = (next.clone(), seen.clone());
        let apply = move |body: web::Json<Value>| {
            seen.lock().unwrap().push(body["options"]["change_id"].clone());
            let answer = next.lock().unwrap().next().unwrap();
            let answer = answer.map_err(|kind| Problem::new(kind, "scripted failure"));
            let answer = answer.map(|effect| {
                web::Json(ChangeResponse { effect, revision: Revision(1), changes: Vec::new() })
            });
            async move { answer }
        };
        App::new().route("/v1/apply", web::post().to(apply))
    });
    let server = server.workers(1).disable_signals().bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", server.addrs()[0]);
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    let args = ["lycheelatch", "--server", &url, "--token", CHANGE_TOKEN, "apply", "-f", "-"];
    let output = call(&args, &service(1).to_string()).await;
    handle.stop(false).await;
    let ids = ids.lock().unwrap();
    assert!(ids.iter().all(|id| *id == ids[0]), "every attempt must have the same id");
    (output, ids.len())
}

#[actix_rt::test]
async fn apply_unknown_outcome_is_retried() {
    use ProblemKind::{Conflict, OutcomeUnknown, Unavailable};

    let answers = vec![Err(OutcomeUnknown), Ok(ChangeEffect::AlreadyApplied)];
    let (output, attempts) = apply_with_responses(answers).await;
    assert_eq!((output.code, attempts), (Code::Done, 2));
    let answers = vec![Err(OutcomeUnknown), Err(Conflict)];
    let (output, attempts) = apply_with_responses(answers).await;
    assert_eq!((output.code, attempts), (Code::Conflict, 2));
    // Even if later attempts had no effect, the first may still have been applied.
    let answers = vec![Err(OutcomeUnknown), Err(Unavailable), Err(Unavailable)];
    let (output, attempts) = apply_with_responses(answers).await;
    assert_eq!((output.code, attempts), (Code::OutcomeUnknown, 3));
    assert!(output.stderr.contains("--change-id "));
    let (output, attempts) = apply_with_responses(vec![Err(Unavailable)]).await;
    assert_eq!((output.code, attempts), (Code::Unavailable, 1));
}

#[actix_rt::test]
async fn call_without_role_or_object() {
    let server = OperatorServer::start();
    let output = server.call(READ_TOKEN, &["apply", "-f", "-"], "{}").await;
    assert_eq!(output.code, Code::Refused);
    let output = server.call("not-a-token", &["get"], "").await;
    assert_eq!(output.code, Code::Refused);
    let output = server.read(&["get", "services", "no-such"]).await;
    assert_eq!(output.code, Code::NotFound);
    server.handle.stop(false).await;
}

#[actix_rt::test]
async fn call_refused_connection_is_not_sent() {
    // A bound socket that does not listen reserves the port, so that no other test can use it.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let url = format!("http://{}", socket.local_addr().unwrap());
    let global_args = ["lycheelatch", "--server", &url, "--token", CHANGE_TOKEN];
    let output = call(&[&global_args[..], &["get"]].concat(), "").await;
    assert_eq!(output.code, Code::Unavailable);
    let output = call(&[&global_args[..], &["apply", "-f", "-"]].concat(), "{}").await;
    assert_eq!(output.code, Code::Unavailable, "must not be sent: {}", output.stderr);
}

#[actix_rt::test]
async fn node_subcommands() {
    let server = OperatorServer::start();
    let output = server.read(&["status"]).await;
    for part in ["entry-1", "ceredigion", "suspect", "runner-7", "leaving"] {
        assert!(output.stdout.contains(part), "{}", output.stdout);
    }
    let output = server.read(&["route", "gwehydd-llm", "--labels", "tier=gold"]).await;
    assert!(output.stdout.contains("yes      preferred by gold-first"), "{}", output.stdout);
    assert!(output.stdout.ends_with("goes to runner-7, by revision 4\n"));
    let output = server.read(&["route", "no-such"]).await;
    assert_eq!(output.code, Code::NotFound);
    let output = server.change(&["drain", "--upstream", "runner-7"], &Value::Null).await;
    assert_eq!(output.stdout, "draining, 5 in flight\n");
    let output = server.read(&["version"]).await;
    assert!(output.stdout.contains("node 0."), "{}", output.stdout);
    server.handle.stop(false).await;
}

#[actix_rt::test]
async fn check_files() {
    let output = call(&["lycheelatch", "check", "-"], &service(1).to_string()).await;
    assert_eq!(output.code, Code::Done);
    let bad = json!({ "rules": [{ "name": "r", "service": "no-such", "effect": "prefer" }] });
    let output = call(&["lycheelatch", "check", "-"], &bad.to_string()).await;
    assert_eq!(output.code, Code::Invalid);
    assert!(output.stderr.contains("rules[r].service \"no-such\""));
    let output = call(&["lycheelatch", "check", "-"], "{\"node\": 7}").await;
    assert_eq!(output.code, Code::Invalid);
    let output = call(&["lycheelatch", "check", "no-such-file.json"], "").await;
    assert_eq!(output.code, Code::Usage);
    assert!(output.stderr.contains("no-such-file.json"));
}

#[actix_rt::test]
async fn check_warnings_fail_only_if_strict() {
    let document = json!({ "rules": [
        { "name": "r", "requests": "tier,!tier", "effect": "prefer" }
    ] });
    let output = call(&["lycheelatch", "check", "-"], &document.to_string()).await;
    assert_eq!(output.code, Code::Done);
    let warning = "warning: rules[r].requests matches nothing: its requirements exclude each other";
    assert_eq!(output.stdout, format!("a configuration of 1 objects, no errors\n{warning}\n"));
    let output = call(&["lycheelatch", "check", "--strict", "-"], &document.to_string()).await;
    assert_eq!(output.code, Code::Invalid);
    let args = ["lycheelatch", "-o", "json", "check", "-"];
    let report: Value =
        serde_json::from_str(&call(&args, &document.to_string()).await.stdout).unwrap();
    assert_eq!(report["warnings"][0]["field"], "rules[r].requests");
}

#[actix_rt::test]
async fn check_in_force_shows_differences() {
    let server = OperatorServer::start();
    let output = server.change(&["check", "--in-force", "-"], &service(1)).await;
    assert_eq!(output.code, Code::Done, "{}", output.stderr);
    assert!(output.stdout.ends_with("+ services[archeb-app]\n"), "{}", output.stdout);
    server.change(&["apply", "-f", "-"], &service(1)).await;
    let output = server.change(&["check", "--in-force", "-"], &service(1)).await;
    assert!(output.stdout.ends_with("nothing differs from the configuration in force\n"));
    server.handle.stop(false).await;
}

#[actix_rt::test]
async fn check_settings_and_token_hashes() {
    let settings = |hash: &str| {
        json!({
            "zone": "aberteifi",
            "region": "ceredigion",
            "callers": { "listen": "127.0.0.1:8080" },
            "operators": {
                "listen": "127.0.0.1:8081",
                "tokens": [{ "name": "mair", "role": "change", "hash": hash }]
            },
            "platform": {
                "key_value": { "url": "http://127.0.0.1:8500" },
                "instances": { "url": "http://127.0.0.1:8600" }
            }
        })
        .to_string()
    };
    let hash = String::from(TokenHash::new(CHANGE_TOKEN));
    let output = call(&["lycheelatch", "check", "-"], &settings(&hash)).await;
    assert_eq!((output.code, &*output.stderr), (Code::Done, ""));
    let output = call(&["lycheelatch", "check", "-"], &settings(CHANGE_TOKEN)).await;
    assert_eq!(output.code, Code::Invalid);
    assert!(output.stderr.contains("operators.tokens[0].hash \"(hidden)\""));
}

#[actix_rt::test]
async fn check_example_in_documentation() {
    let page = include_str!("../docs/operating/configuration.md");
    let example = page.split("```json\n").nth(1).unwrap().split("```").next().unwrap();
    let output = call(&["lycheelatch", "check", "-"], example).await;
    assert_eq!((output.code, &*output.stderr), (Code::Done, ""));
    assert_eq!(output.stdout, "a configuration of 6 objects, no errors\n");
}

#[actix_rt::test]
async fn hash_token_matches_and_hides_token() {
    let output = call(&["lycheelatch", "hash-token"], "a-token-of-16-bytes\n").await;
    let hash = TokenHash::try_from(output.stdout.trim().to_owned()).unwrap();
    assert!(hash.matches("a-token-of-16-bytes"));
    let output = call(&["lycheelatch", "hash-token"], "too-short\n").await;
    assert_eq!(output.code, Code::Usage);
    assert!(!output.stderr.contains("too-short"));
}

#[actix_rt::test]
async fn call_without_settings() {
    let output = call(&["lycheelatch", "get"], "").await;
    assert_eq!(output.code, Code::Usage);
    let output = call(&["lycheelatch", "--server", "10.0.0.7", "--token", "t", "get"], "").await;
    assert!(output.stderr.contains("server \"10.0.0.7\""), "{}", output.stderr);
    let output = call(&["lycheelatch", "version"], "").await;
    assert!(output.stdout.ends_with("node not asked\n"));
}

#[actix_rt::test]
async fn completions_list_subcommands() {
    for shell in ["bash", "zsh", "fish"] {
        let output = call(&["lycheelatch", "completions", shell], "").await;
        assert!(output.stdout.contains("history"));
    }
}

#[test]
fn command_is_consistent() {
    command().debug_assert();
}

/// Log lines of two nodes, with the prefix that a log collector adds.
const LOG: &str = r#"12:00 node-2 {"time_ms":1040,"node":"node-2","event":"send_ended","request":"id-1","upstream":"r-2","candidates":3,"expected_ms":90,"runner_up":"r-1","runner_up_ms":120,"uncached_tokens":800,"fetched_tokens":0,"running_here":1,"running_elsewhere":4,"elapsed_ms":400,"end":"answered"}
12:00 node-2 {"time_ms":1900,"node":"node-2","event":"request_ended","request":"id-1","route":"letters","workspace":"ws","reason":"answered","status":200,"sends":1,"elapsed_ms":1300,"config_version":7}
12:00 node-1 {"time_ms":1000,"node":"node-1","event":"quota_refused","request":"id-2","workspace":"ws","cost":13000,"limit":400000,"excess":800,"subwindow_ms":8000,"own":[1,2,3,4],"heard":[5,6,7,8],"unheard_nodes":2,"unmet_nodes":0,"nodes":75,"retry_after_ms":300}
12:00 node-1 {"time_ms":1000,"node":"node-1","event":"request_refused","request":"id-2","reason":"over_quota","status":429,"retry_after_ms":300,"config_version":7}
12:00 node-2 {"time_ms":1040,"node":"node-2","event":"send_ended","request":"id-3","upstream":"r-2","candidates":3,"expected_ms":100,"runner_up":null,"runner_up_ms":null,"uncached_tokens":800,"fetched_tokens":0,"running_here":1,"running_elsewhere":4,"elapsed_ms":400,"end":"answered","speed_percent":55,"stated_percent":250}
12:00 node-2 {"time_ms":1900,"node":"node-2","event":"request_ended","request":"id-3","route":"letters","workspace":"ws","reason":"answered","status":200,"sends":1,"elapsed_ms":1300,"config_version":7}
not a line of ours
"#;

fn explain(args: &[&str]) -> Output {
    let matches = command().get_matches_from([&["lycheelatch", "explain"], args].concat());
    actix_web::rt::System::new().block_on(run(&matches, &mut Cursor::new(LOG)))
}

#[test]
fn explain_why_tells_the_learnt_speed_of_a_slow_upstream() {
    let why = explain(&["id-3", "--why"]).stdout;
    assert!(why.ends_with("it took 220% of the usual time, 55% were learnt\n"), "{why}");
    let timeline = explain(&["id-3"]).stdout;
    let learnt = "learnt to take 55% of the usual time, it stated 250%";
    assert!(timeline.contains(learnt), "{timeline}");
}

#[test]
fn explain_request_in_order() {
    let output = explain(&["id-1"]);
    assert_eq!(output.code, Code::Done);
    let lines: Vec<_> = output.stdout.lines().collect();
    assert!(lines[0].starts_with("+0 ms node-2: sent to r-2 of 3"), "{}", lines[0]);
    assert!(lines[1].starts_with("+860 ms node-2: ended with 200"), "{}", lines[1]);
}

#[test]
fn explain_why_late_response() {
    let output = explain(&["--why", "id-1"]);
    assert_eq!(output.stdout, "r-2 gave its first event after 400 ms, 90 ms were expected\n");
}

#[test]
fn explain_why_refused() {
    let output = explain(&["--why", "id-2"]);
    assert!(output.stdout.starts_with("the workspace was over its limit"), "{}", output.stdout);
}

#[test]
fn explain_shows_limit_that_refused() {
    let output = explain(&["id-2"]);
    assert!(output.stdout.contains("limit 400000 of ws exceeded by 800 within 8000 ms"));
    assert!(output.stdout.contains("use of nodes not heard from assumed"), "{}", output.stdout);
}

#[test]
fn explain_unknown_request_is_not_found() {
    assert_eq!(explain(&["id-9"]).code, Code::NotFound);
}

/// Log lines on two roll-outs: one by two leaders and a node alone, and a rejected one.
const ROLLOUT_LOG: &str = r#"x {"time_ms":1000,"event":"rollout_ordered","service":"looms","to":"v2","duration_ms":12000,"order":41}
x {"time_ms":1010,"event":"rollout_ordered","service":"looms","to":"v2","duration_ms":12000,"order":41}
x {"time_ms":500,"event":"rollout_step","service":"looms","to":"v1","phase":"completed","canary_share":1.0,"sent":9000,"sent_to_canary":700,"failed_stable":1,"failed_canary":1,"answered_stable":8299,"answered_canary":699,"reason":null,"since_order_ms":11600}
x {"time_ms":1200,"event":"rollout_step","service":"looms","to":"v2","phase":"canary","canary_share":0.08,"sent":60,"sent_to_canary":3,"failed_stable":0,"failed_canary":0,"answered_stable":57,"answered_canary":3,"reason":null,"since_order_ms":200}
x {"time_ms":4000,"event":"rollout_step","service":"looms","to":"v2","phase":"rolled_back","canary_share":0.0,"sent":900,"sent_to_canary":48,"failed_stable":3,"failed_canary":14,"answered_stable":849,"answered_canary":34,"reason":{"failures":{"route":"orders"}},"since_order_ms":3000}
x {"time_ms":4050,"event":"rollout_step","service":"looms","to":"v2","phase":"canary","canary_share":0.05,"sent":40,"sent_to_canary":9,"failed_stable":0,"failed_canary":7,"answered_stable":31,"answered_canary":2,"reason":{"failures":{"route":null}},"since_order_ms":3050}
x {"time_ms":2000,"event":"rollout_rejected","service":"sheds","reason":"service: is not in the configuration"}
x {"time_ms":2000,"event":"rollout_step","service":"broken"}
"#;

fn rollout(args: &[&str]) -> Output {
    let matches = command().get_matches_from([&["lycheelatch"], args].concat());
    actix_web::rt::System::new().block_on(run(&matches, &mut Cursor::new(ROLLOUT_LOG)))
}

#[test]
fn rollout_list_latest_of_each_service() {
    let output = rollout(&["rollout", "list"]);
    assert_eq!(output.code, Code::Done, "{}", output.stderr);
    let lines: Vec<Vec<_>> =
        output.stdout.lines().map(|line| line.split_whitespace().collect()).collect();
    assert_eq!(lines.len(), 3, "{}", output.stdout);
    assert_eq!(lines[1], ["looms", "v2", "rolled", "back", "0.0%", "900", "48", "3000", "ms"]);
    assert_eq!(lines[2], ["sheds", "-", "rejected", "-", "-", "-", "-"]);
}

#[test]
fn rollout_show_counts_by_version() {
    let output = rollout(&["rollout", "show", "looms"]);
    assert!(output.stdout.starts_with("looms to v2: rolled back\n"), "{}", output.stdout);
    assert!(output.stdout.contains("more often than the old one on route orders"));
    let last: Vec<_> = output.stdout.lines().last().unwrap().split_whitespace().collect();
    assert_eq!(last, ["v2", "48", "34", "14"]);
}

#[test]
fn rollout_show_json() {
    let output = rollout(&["--output", "json", "rollout", "show", "looms"]);
    let state: Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(state["state"], "rolled back");
    assert_eq!(state["step"]["sent_to_canary"], 48);
    assert_eq!(state["step"]["reason"], json!({"failures": {"route": "orders"}}));
}

#[test]
fn rollout_explain_course_and_cause() {
    let output = rollout(&["rollout", "explain", "looms"]);
    let lines: Vec<_> = output.stdout.lines().collect();
    assert_eq!(lines.len(), 5, "{}", output.stdout);
    assert!(lines[0].starts_with("+0 ms: version v2 ordered within 12000 ms"), "{}", lines[0]);
    assert!(lines[2].starts_with("+3000 ms: rolled back"), "{}", lines[2]);
    assert_eq!(lines[4], "cause: it fails more often than the old one on route orders");
    let rejected = rollout(&["rollout", "explain", "sheds"]);
    assert!(rejected.stdout.ends_with("cause: service: is not in the configuration\n"));
}

#[test]
fn rollout_unknown_service_is_not_found() {
    let output = rollout(&["rollout", "show", "nets"]);
    assert_eq!(output.code, Code::NotFound);
    assert_eq!(
        output.stderr,
        "lycheelatch: no line about a roll-out of service nets in the logs\n"
    );
}
