//! A proxy on a TCP socket with fake upstreams.
#![allow(dead_code, reason = "each test binary uses only some of these items")]

use std::{net::SocketAddr, sync::Arc};

use actix_web::{App, HttpServer, rt};
use awc::{ClientRequest, ClientResponse};
use bytes::Bytes;
use lycheelatch_claims::{Claims, ClaimsConfig};
use lycheelatch_config::{Document, Edit, Snapshot, plan};
use lycheelatch_fakes::{MemoryKv, ServedEngine, ServedPlain};
use lycheelatch_provider::{ListedInstance, ListedState, Purchase};
use lycheelatch_proxy::{
    AdmitInFlight, CallerLimits, HttpConnect, LeastInFlight, Proxy, ProxyMetrics, ProxyParts,
    Registry, RetryFixed, configure,
};
use serde_json::{Value, json};

/// Token of the workspace `restorers`.
pub(crate) const TOKEN: &str = "token-of-the-tests";

/// Maximum size of a request body that the proxy buffers, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;

/// Time for which a refused connection stays open, so that the caller can read the response.
const DISCONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(200);

/// A proxy with its dependencies.
pub(crate) struct Fixture {
    pub(crate) addr: SocketAddr,
    pub(crate) proxy: Arc<Proxy>,
    pub(crate) kv: MemoryKv,
    config: Arc<Snapshot>,
    listed: Vec<ListedInstance>,
}

impl Fixture {
    /// Starts a proxy without upstreams.
    pub(crate) fn start() -> Fixture {
        let config = Arc::new(config());
        let kv = MemoryKv::new();
        let registry = Arc::new(Registry::new(Arc::new(HttpConnect)));
        let current = config.clone();
        let proxy = Arc::new(Proxy::new(ProxyParts {
            config: Arc::new(move || current.clone()),
            registry: registry.clone(),
            claims: Arc::new(Claims::new(Arc::new(kv.clone()), ClaimsConfig::default())),
            admit: Arc::new(AdmitInFlight::new(registry.clone())),
            place: Arc::new(LeastInFlight::new(registry)),
            retry: Arc::new(RetryFixed),
            metrics: ProxyMetrics::new(&prometheus::Registry::new()).unwrap(),
            max_buffered_response_bytes: 1 << 20,
        }));
        let addr = serve(proxy.clone());
        Fixture { addr, proxy, kv, config, listed: Vec::new() }
    }

    /// Adds a fake engine in a zone.
    pub(crate) fn add_engine(&mut self, zone: &str, engine: &ServedEngine) {
        self.add("model-a", zone, engine.server.addr());
    }

    /// Adds a fake plain service in a zone.
    pub(crate) fn add_plain(&mut self, zone: &str, application: &ServedPlain) {
        self.add("orders", zone, application.server.addr());
    }

    /// Adds an upstream.
    pub(crate) fn add(&mut self, service: &str, zone: &str, addr: SocketAddr) {
        let id = format!("{service}-{}", self.listed.len());
        self.listed.push(ListedInstance {
            instance: id.parse().unwrap(),
            upstream: id.parse().unwrap(),
            service: service.parse().unwrap(),
            addr,
            zone: zone.parse().unwrap(),
            region: "r1".parse().unwrap(),
            class: "standard".parse().unwrap(),
            purchase: Purchase::Reclaimable,
            state: ListedState::Live,
            labels: format!("zone={zone}").parse().unwrap(),
        });
        self.proxy.registry().update(&self.config, self.listed.clone());
    }

    /// Returns a request to the proxy with the token of the workspace.
    pub(crate) fn call(&self, method: &str, path: &str) -> ClientRequest {
        let method = actix_web::http::Method::from_bytes(method.as_bytes()).unwrap();
        lycheelatch_http::client()
            .request(method, format!("http://{}{path}", self.addr))
            .insert_header(("authorization", format!("Bearer {TOKEN}")))
    }

    /// Sends a completion request and returns the complete response.
    pub(crate) async fn complete(&self, body: Value) -> ReceivedResponse {
        receive(self.call("POST", "/v1/chat/completions").send_json(&body).await.unwrap()).await
    }
}

/// A response with its body.
#[derive(Debug)]
pub(crate) struct ReceivedResponse {
    pub(crate) status: u16,
    pub(crate) outcome: String,
    pub(crate) retry_after: Option<u64>,
    pub(crate) request_id: Option<String>,
    /// The body; none if the connection broke.
    pub(crate) body: Option<Bytes>,
}

impl ReceivedResponse {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(self.body.as_deref().unwrap_or_default()).unwrap_or_default()
    }
}

/// Reads a response with its body.
pub(crate) async fn receive<S>(mut response: ClientResponse<S>) -> ReceivedResponse
where
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
    ReceivedResponse {
        status: response.status().as_u16(),
        outcome: header("lycheelatch-outcome").unwrap_or_default(),
        retry_after: header("retry-after").and_then(|value| value.parse().ok()),
        request_id: header("x-request-id"),
        body: response.body().limit(16 << 20).await.ok(),
    }
}

fn serve(proxy: Arc<Proxy>) -> SocketAddr {
    let limits = CallerLimits { max_body_bytes: MAX_BODY_BYTES };
    let app = move || {
        let proxy = proxy.clone();
        App::new().configure(|app| configure(app, proxy, limits))
    };
    let server = HttpServer::new(app)
        .workers(1)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .disable_signals()
        .bind(("127.0.0.1", 0))
        .unwrap();
    let addr = server.addrs()[0];
    rt::spawn(server.run());
    addr
}

fn config() -> Snapshot {
    let document = json!({
        "services": [
            {
                "name": "model-a",
                "kind": "model",
                "model": {"model": "a", "version": "1"},
                "limits": {"silence_ms": 1000},
            },
            {"name": "orders", "kind": "plain", "limits": {"silence_ms": 1000}},
            {"name": "closed", "kind": "plain"},
        ],
        "workspaces": [
            {
                "name": "restorers",
                "tokens": [{"token": TOKEN}],
                "services": ["model-a", "orders"],
            },
        ],
    });
    let document = Document::from_value(document).unwrap();
    plan(&Snapshot::default(), &[Edit::Apply(document)]).unwrap().snapshot
}
