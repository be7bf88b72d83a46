//! Retry budgets, also while half of the upstreams fail.

use std::sync::Arc;

use actix_web::{App, http::StatusCode, test};
use lycheelatch_claims::{Claims, ClaimsConfig};
use lycheelatch_config::{Service, ServiceKind, ServiceLimits, Snapshot, TokenHash, Workspace};
use lycheelatch_fakes::{MemoryKv, MemoryNet, ServedPlain, serve_plain};
use lycheelatch_prelude::{Labels, Revision};
use lycheelatch_provider::{ListedInstance, ListedState, Purchase};
use lycheelatch_proxy::{
    AdmitByPolicy, CallerLimits, HttpConnect, LoadControl, PlaceByPolicy, Proxy, ProxyMetrics,
    ProxyParts, Registry, RetryByPolicy,
};

/// Maximum number of retries at the upstreams per first attempt.
const MAX_RETRY_SHARE: f64 = 0.2;

const TOKEN: &str = "ichu-and-totora";

struct Setup {
    proxy: Arc<Proxy>,
    load: Arc<LoadControl>,
    metrics: prometheus::Registry,
    upstreams: Vec<ServedPlain>,
}

fn snapshot() -> Snapshot {
    let service = Service {
        name: "sack-desk".parse().unwrap(),
        kind: ServiceKind::Plain,
        limits: ServiceLimits::default(),
        latency: Default::default(),
        model: None,
        checks_fences: false,
        fleet: None,
    };
    let workspace = Workspace {
        name: "cusco".parse().unwrap(),
        tokens: vec![TokenHash::new(TOKEN)],
        weight: 100,
        services: Vec::new(),
        limits: Default::default(),
        labels: Labels::default(),
    };
    Snapshot {
        revision: Revision(1),
        services: [(service.name.clone(), service)].into(),
        workspaces: [(workspace.name.clone(), workspace)].into(),
        ..Snapshot::default()
    }
}

fn listed(n: usize, upstream: &ServedPlain) -> ListedInstance {
    ListedInstance {
        instance: format!("i-{n}").parse().unwrap(),
        upstream: format!("desk-{n}").parse().unwrap(),
        service: "sack-desk".parse().unwrap(),
        addr: upstream.server.addr(),
        zone: ["lima-a", "lima-b"][n % 2].parse().unwrap(),
        region: "lima".parse().unwrap(),
        class: "small".parse().unwrap(),
        purchase: Purchase::Reclaimable,
        state: ListedState::Live,
        labels: Labels::default(),
    }
}

fn setup(upstreams: usize) -> Setup {
    let upstreams: Vec<ServedPlain> = (0..upstreams).map(|_| serve_plain().unwrap()).collect();
    let config = Arc::new(snapshot());
    let registry = Arc::new(Registry::new(Arc::new(HttpConnect)));
    let list = upstreams.iter().enumerate().map(|(n, upstream)| listed(n, upstream)).collect();
    registry.update(&config, list);
    let load = Arc::new(LoadControl::new(registry.clone(), "lima-a".parse().unwrap(), 1));
    let metrics = prometheus::Registry::new();
    let kv = Arc::new(MemoryKv::default());
    let proxy = Arc::new(Proxy::new(ProxyParts {
        config: Arc::new(move || config.clone()),
        registry,
        claims: Arc::new(Claims::new(kv, ClaimsConfig::default())),
        admit: Arc::new(AdmitByPolicy::new(load.clone())),
        place: Arc::new(PlaceByPolicy::new(load.clone())),
        retry: Arc::new(RetryByPolicy::new(load.clone())),
        metrics: ProxyMetrics::new(&metrics).unwrap(),
        max_buffered_response_bytes: 1 << 20,
    }));
    Setup { proxy, load, metrics, upstreams }
}

/// Returns the number of attempts at upstreams of a kind: `first` or `again`.
fn attempts(setup: &Setup, kind: &str) -> f64 {
    let families = setup.metrics.gather();
    let attempts = families.iter().find(|family| family.name().contains("attempts"));
    let metrics = attempts.map(|family| family.get_metric()).unwrap_or_default();
    let of_kind = metrics.iter().filter(|m| m.get_label().iter().any(|l| l.value() == kind));
    of_kind.map(|metric| metric.get_counter().get_value()).sum()
}

macro_rules! app {
    ($setup:expr) => {{
        let proxy = $setup.proxy.clone();
        let limits = CallerLimits { max_body_bytes: 1 << 20 };
        test::init_service(
            App::new().configure(move |app| lycheelatch_proxy::configure(app, proxy, limits)),
        )
        .await
    }};
}

fn look_up(attempt: u32, n: u32) -> test::TestRequest {
    test::TestRequest::get()
        .uri("/services/sack-desk/stock")
        .insert_header(("authorization", format!("Bearer {TOKEN}")))
        .insert_header(("lycheelatch-attempt", attempt.to_string()))
        .insert_header(("x-request-id", format!("look-up-{n}-{attempt}")))
}

#[actix_web::test]
async fn proxy_retries_stay_within_budget_when_half_of_upstreams_fail() {
    let setup = setup(6);
    let app = app!(setup);
    for n in 0..100 {
        let response = test::call_service(&app, look_up(1, n).to_request()).await;
        assert_eq!(response.status(), StatusCode::OK);
    }
    for upstream in &setup.upstreams[..3] {
        upstream.server.kill().await;
    }
    let mut done = 0;
    for n in 100..400 {
        let response = test::call_service(&app, look_up(1, n).to_request()).await;
        done += u32::from(response.status() == StatusCode::OK);
    }
    let (first, again) = (attempts(&setup, "first"), attempts(&setup, "again"));
    assert!(again > 0.0, "no retry was made, so the budget was not tested");
    assert!(again <= MAX_RETRY_SHARE * first, "{again} retries of {first}");
    assert!(done >= 290, "the remaining upstreams completed {done} of 300 requests");
}

#[actix_web::test]
async fn caller_retries_stay_within_budget() {
    let setup = setup(2);
    let app = app!(setup);
    for n in 0..100 {
        test::call_service(&app, look_up(1, n).to_request()).await;
    }
    let mut done = 0;
    for n in 0..500 {
        let response = test::call_service(&app, look_up(2, n).to_request()).await;
        match response.status() {
            StatusCode::OK => done += 1,
            _ => {
                assert!(response.headers().contains_key("retry-after"));
                assert_eq!(response.headers().get("lycheelatch-outcome").unwrap(), "not-run");
            }
        }
    }
    assert!(done > 0, "no retry was admitted within the budget");
    assert!(f64::from(done) <= MAX_RETRY_SHARE * 100.0, "{done} retries of 100 fresh requests");
}

/// A request without attempt number and ID, whose retry is detected only by its body.
fn undeclared(n: u32) -> test::TestRequest {
    test::TestRequest::put()
        .uri("/services/sack-desk/echo")
        .insert_header(("authorization", format!("Bearer {TOKEN}")))
        .set_payload(format!("lot {n}"))
}

/// Lets 40 undeclared requests fail at one node and returns how many of their retries run at
/// another node.
async fn count_undeclared_retries_run(is_connected: bool) -> u32 {
    let net = MemoryNet::new();
    let (failing, healthy) = (setup(1), setup(1));
    for (name, node) in [("node-a", &failing), ("node-b", &healthy)] {
        let (id, zone) = (name.parse().unwrap(), "lima-a".parse().unwrap());
        node.load.join_peers(net.join(id, zone, "lima".parse().unwrap()));
    }
    if !is_connected {
        net.cut(&"node-a".parse().unwrap(), &"node-b".parse().unwrap());
        net.cut(&"node-b".parse().unwrap(), &"node-a".parse().unwrap());
    }
    let (first, second) = (app!(failing), app!(healthy));
    for n in 1000..1020 {
        let response = test::call_service(&second, undeclared(n).to_request()).await;
        assert_eq!(response.status(), StatusCode::OK);
    }
    failing.upstreams[0].server.kill().await;
    for n in 0..40 {
        let response = test::call_service(&first, undeclared(n).to_request()).await;
        assert_ne!(
            response.status(),
            StatusCode::OK,
            "a request succeeded after the node's only upstream ended"
        );
    }
    failing.load.report_failures().await;
    let mut done = 0;
    for n in 0..40 {
        let response = test::call_service(&second, undeclared(n).to_request()).await;
        done += u32::from(response.status() == StatusCode::OK);
    }
    let response = test::call_service(&second, undeclared(500).to_request()).await;
    assert_eq!(response.status(), StatusCode::OK, "a first attempt was refused");
    done
}

#[actix_web::test]
async fn undeclared_retries_are_detected_at_another_node() {
    let done = count_undeclared_retries_run(true).await;
    assert!(done <= 6, "{done} of 40 undeclared retries ran, which exceeds the budget");
}

#[actix_web::test]
async fn undeclared_retries_run_when_home_node_is_unreachable() {
    assert_eq!(count_undeclared_retries_run(false).await, 40);
}
