//! Nodes in memory.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use actix_http::Request;
use actix_web::{App, body::BoxBody, dev::ServiceResponse, test};
use futures_util::future::LocalBoxFuture;
use lycheelatch_claims::{Claims, ClaimsConfig, UnixMillis, WallClock};
use lycheelatch_config::{Service, ServiceKind, Snapshot, TokenHash, Workspace};
use lycheelatch_fakes::{MemoryKv, MemoryNet};
use lycheelatch_peers::{MemberState, PeerLink};
use lycheelatch_prelude::{NodeId, Revision, ServiceName};
use lycheelatch_provider::{ListedInstance, ListedState, Purchase};
use lycheelatch_proxy::{
    AdmitInFlight, CallerLimits, Connect, HandoverReport, LeastInFlight, Proxy, ProxyMetrics,
    ProxyParts, Registry, RetryFixed, UpstreamClient, configure,
};
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::bench::{MODEL, MemoryEngine, MemoryTransferService, TOKEN, TRANSFER_SERVICE};

/// Number of instances of the transfer service.
const TRANSFER_PROCESSES: usize = 4;

/// Seed of the faults of the transfer service.
const SEED: u64 = 20261204;

/// Interval between checks of the number of open requests.
const STOP_POLL: Duration = Duration::from_millis(10);

type Serve = Box<dyn Fn(Request) -> LocalBoxFuture<'static, ServiceResponse<BoxBody>>>;

/// A node of the cluster.
pub(crate) struct TestNode {
    pub(crate) id: NodeId,
    pub(crate) proxy: Arc<Proxy>,
    net: MemoryNet,
    serve: Serve,
}

/// Network, store and upstreams shared by the nodes.
pub(crate) struct TestCluster {
    pub(crate) net: MemoryNet,
    pub(crate) kv: MemoryKv,
    pub(crate) engines: Vec<MemoryEngine>,
    pub(crate) transfers: MemoryTransferService,
    config: Arc<Snapshot>,
}

struct ConnectMemory {
    engines: Vec<MemoryEngine>,
    transfers: MemoryTransferService,
}

impl Connect for ConnectMemory {
    fn connect(&self, service: &Service, listed: &ListedInstance) -> UpstreamClient {
        match service.kind {
            ServiceKind::Model => {
                UpstreamClient::Engine(Arc::new(self.engines[listed.addr.port() as usize].clone()))
            }
            ServiceKind::Plain => UpstreamClient::Plain(Arc::new(self.transfers.clone())),
        }
    }
}

fn service(name: &str, kind: &str) -> (ServiceName, Service) {
    let limits = json!({"max_in_flight_per_upstream": 10_000, "max_timeout_ms": 600_000});
    let service = json!({"name": name, "kind": kind, "limits": limits});
    (name.parse().unwrap(), serde_json::from_value(service).unwrap())
}

fn snapshot() -> Snapshot {
    let workspace = json!({"name": "cusco"});
    let mut workspace: Workspace = serde_json::from_value(workspace).unwrap();
    workspace.tokens.push(TokenHash::new(TOKEN));
    Snapshot {
        revision: Revision(1),
        services: BTreeMap::from([service(MODEL, "model"), service(TRANSFER_SERVICE, "plain")]),
        workspaces: BTreeMap::from([(workspace.name.clone(), workspace)]),
        rules: BTreeMap::new(),
    }
}

fn listed(service: &str, at: usize) -> ListedInstance {
    ListedInstance {
        instance: format!("i-{service}-{at}").parse().unwrap(),
        upstream: format!("{service}-{at}").parse().unwrap(),
        service: service.parse().unwrap(),
        addr: SocketAddr::from(([127, 0, 0, 1], at as u16)),
        zone: "lima-a".parse().unwrap(),
        region: "lima".parse().unwrap(),
        class: "small".parse().unwrap(),
        purchase: Purchase::OnDemand,
        state: ListedState::Live,
        labels: Default::default(),
    }
}

/// Returns a configuration with fixed clock and epoch, so that test runs are deterministic.
fn claims_config(id: &NodeId) -> ClaimsConfig {
    let epoch =
        id.as_str().bytes().fold(0u64, |epoch, byte| epoch.wrapping_mul(256) + u64::from(byte));
    let clock = WallClock::starting_at(Instant::now(), UnixMillis(1_800_000_000_000));
    ClaimsConfig { epoch, clock, ..ClaimsConfig::default() }
}

impl TestCluster {
    /// Creates a cluster with engines that generate a token per `interval`.
    pub(crate) fn new(engines: usize, interval: Duration) -> TestCluster {
        let engines = (0..engines).map(|_| MemoryEngine::new(interval)).collect();
        let config = Arc::new(snapshot());
        TestCluster {
            net: MemoryNet::new(),
            kv: MemoryKv::new(),
            engines,
            transfers: MemoryTransferService::new(SEED),
            config,
        }
    }

    /// Starts a node.
    pub(crate) async fn node(&self, name: &str) -> Rc<TestNode> {
        let id: NodeId = name.parse().unwrap();
        let link = self.net.join(id.clone(), "lima-a".parse().unwrap(), "lima".parse().unwrap());
        self.node_on(id, link).await
    }

    /// Starts a node with a given link to its peers.
    pub(crate) async fn node_on(&self, id: NodeId, link: Arc<dyn PeerLink>) -> Rc<TestNode> {
        let proxy = self.proxy(&id, link.clone());
        proxy.join_peers(link);
        let limits = CallerLimits { max_body_bytes: 1 << 20 };
        let app = {
            let proxy = proxy.clone();
            App::new().configure(|app| configure(app, proxy, limits))
        };
        let service = Rc::new(test::init_service(app).await);
        let serve: Serve = Box::new(move |req| {
            let service = service.clone();
            Box::pin(async move { test::call_service(&*service, req).await })
        });
        Rc::new(TestNode { id, proxy, net: self.net.clone(), serve })
    }

    fn proxy(&self, id: &NodeId, link: Arc<dyn PeerLink>) -> Arc<Proxy> {
        let (engines, transfers) = (self.engines.clone(), self.transfers.clone());
        let connect = Arc::new(ConnectMemory { engines, transfers });
        let registry = Arc::new(Registry::new(connect));
        let runners = (0..self.engines.len()).map(|at| listed(MODEL, at));
        let transfer_processes = (0..TRANSFER_PROCESSES).map(|at| listed(TRANSFER_SERVICE, at));
        registry.update(&self.config, runners.chain(transfer_processes).collect());
        let kv = Arc::new(self.kv.clone());
        let config = self.config.clone();
        Arc::new(Proxy::new(ProxyParts {
            config: Arc::new(move || config.clone()),
            registry: registry.clone(),
            claims: Arc::new(Claims::with_peers(kv, claims_config(id), link)),
            admit: Arc::new(AdmitInFlight::new(registry.clone())),
            place: Arc::new(LeastInFlight::new(registry)),
            retry: Arc::new(RetryFixed),
            metrics: ProxyMetrics::new(&prometheus::Registry::new()).unwrap(),
            max_buffered_response_bytes: 64 << 20,
        }))
    }
}

impl TestNode {
    /// Serves one request.
    pub(crate) async fn serve(&self, req: Request) -> ServiceResponse<BoxBody> {
        (self.serve)(req).await
    }

    /// Announces that the node is leaving; its peers receive this immediately.
    pub(crate) fn start_leaving(&self) {
        self.proxy.start_leaving();
        self.net.set_state(&self.id, MemberState::Leaving);
    }

    /// Stops gracefully within `notice`; returns the handover report and the number of requests
    /// that were cut off.
    pub(crate) async fn stop(&self, notice: Duration) -> (HandoverReport, i64) {
        let deadline = Instant::now() + notice;
        self.start_leaving();
        self.proxy.stop_accepting();
        let report = self.proxy.hand_over(deadline).await;
        while self.proxy.open_requests() > 0 && Instant::now() < deadline {
            sleep(STOP_POLL).await;
        }
        let cut_off = self.proxy.open_requests();
        self.kill();
        (report, cut_off)
    }

    /// Terminates the node immediately, so that its peers can't reach it.
    pub(crate) fn kill(&self) {
        self.net.set_state(&self.id, MemberState::Dead);
        let members = self.member_ids();
        for other in members.into_iter().filter(|other| *other != self.id) {
            self.net.cut(&other, &self.id);
            self.net.cut(&self.id, &other);
        }
    }

    fn member_ids(&self) -> Vec<NodeId> {
        let observer: NodeId = "observer".parse().unwrap();
        let link = self.net.join(observer.clone(), "z".parse().unwrap(), "r".parse().unwrap());
        self.net.set_state(&observer, MemberState::Dead);
        link.members().0.keys().filter(|id| **id != observer).cloned().collect()
    }
}
