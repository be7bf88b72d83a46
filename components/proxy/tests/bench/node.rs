//! Nodes in memory.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use actix_http::Request;
use actix_web::{App, body::BoxBody, dev::ServiceResponse, test};
use futures_util::future::LocalBoxFuture;
use lycheelatch_claims::{Claims, ClaimsConfig};
use lycheelatch_config::{Service, Snapshot, TokenHash, Workspace};
use lycheelatch_fakes::{MemoryKv, MemoryNet};
use lycheelatch_peers::{MemberState, PeerLink};
use lycheelatch_platform::{ListedInstance, ListedState, Purchase};
use lycheelatch_prelude::{NodeId, Revision, ServiceName};
use lycheelatch_proxy::{
    AdmitInFlight, CallerLimits, Connect, HandoverReport, LeastInFlight, Proxy, ProxyMetrics,
    ProxyParts, Registry, RetryFixed, Target, configure,
};
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::bench::{DESK, MODEL, MemoryEngine, TOKEN};

/// Time between two looks at the requests that are still open.
const STOP_POLL: Duration = Duration::from_millis(10);

type Serve = Box<dyn Fn(Request) -> LocalBoxFuture<'static, ServiceResponse<BoxBody>>>;

/// One node.
pub(crate) struct TestNode {
    pub(crate) id: NodeId,
    pub(crate) proxy: Arc<Proxy>,
    net: MemoryNet,
    serve: Serve,
}

/// What the nodes share.
pub(crate) struct Bench {
    pub(crate) net: MemoryNet,
    pub(crate) kv: MemoryKv,
    pub(crate) engines: Vec<MemoryEngine>,
    config: Arc<Snapshot>,
}

struct ConnectMemory(Vec<MemoryEngine>);

impl Connect for ConnectMemory {
    fn connect(&self, _service: &Service, listed: &ListedInstance) -> Target {
        Target::Engine(Arc::new(self.0[listed.addr.port() as usize].clone()))
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
        services: BTreeMap::from([service(MODEL, "model"), service(DESK, "plain")]),
        workspaces: BTreeMap::from([(workspace.name.clone(), workspace)]),
        rules: BTreeMap::new(),
    }
}

fn listed(at: usize) -> ListedInstance {
    ListedInstance {
        instance: format!("i-{at}").parse().unwrap(),
        upstream: format!("runner-{at}").parse().unwrap(),
        service: MODEL.parse().unwrap(),
        addr: SocketAddr::from(([127, 0, 0, 1], at as u16)),
        zone: "lima-a".parse().unwrap(),
        region: "lima".parse().unwrap(),
        class: "small".parse().unwrap(),
        purchase: Purchase::OnDemand,
        state: ListedState::Live,
        labels: Default::default(),
    }
}

impl Bench {
    /// Creates engines with this time between two tokens.
    pub(crate) fn new(engines: usize, interval: Duration) -> Bench {
        let engines = (0..engines).map(|_| MemoryEngine::new(interval)).collect();
        let config = Arc::new(snapshot());
        Bench { net: MemoryNet::new(), kv: MemoryKv::new(), engines, config }
    }

    /// Starts a node.
    pub(crate) async fn node(&self, name: &str) -> Rc<TestNode> {
        let id: NodeId = name.parse().unwrap();
        let link = self.net.join(id.clone(), "lima-a".parse().unwrap(), "lima".parse().unwrap());
        let proxy = self.proxy(link.clone());
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

    fn proxy(&self, link: Arc<dyn PeerLink>) -> Arc<Proxy> {
        let connect = Arc::new(ConnectMemory(self.engines.clone()));
        let registry = Arc::new(Registry::new(connect));
        registry.update(&self.config, (0..self.engines.len()).map(listed).collect());
        let kv = Arc::new(self.kv.clone());
        let config = self.config.clone();
        Arc::new(Proxy::new(ProxyParts {
            config: Arc::new(move || config.clone()),
            registry: registry.clone(),
            claims: Arc::new(Claims::with_peers(kv, ClaimsConfig::default(), link)),
            admit: Arc::new(AdmitInFlight::new(registry.clone())),
            place: Arc::new(LeastInFlight::new(registry)),
            retry: Arc::new(RetryFixed),
            metrics: ProxyMetrics::new(&prometheus::Registry::new()).unwrap(),
            max_kept_answer_bytes: 64 << 20,
        }))
    }
}

impl TestNode {
    /// Serves one request.
    pub(crate) async fn serve(&self, req: Request) -> ServiceResponse<BoxBody> {
        (self.serve)(req).await
    }

    /// Says that the node is about to stop; the others hear of it at once.
    pub(crate) fn start_leaving(&self) {
        self.proxy.start_leaving();
        self.net.set_state(&self.id, MemberState::Leaving);
    }

    /// Stops in good order within `notice`; returns how many requests were cut off.
    pub(crate) async fn stop(&self, notice: Duration) -> (HandoverReport, i64) {
        let ends = Instant::now() + notice;
        self.start_leaving();
        self.proxy.stop_accepting();
        let report = self.proxy.hand_over(ends).await;
        while self.proxy.open_requests() > 0 && Instant::now() < ends {
            sleep(STOP_POLL).await;
        }
        let cut_off = self.proxy.open_requests();
        self.die();
        (report, cut_off)
    }

    /// Ends at once: the other nodes reach it no more.
    pub(crate) fn die(&self) {
        self.net.set_state(&self.id, MemberState::Dead);
        let link = self.proxy_members();
        for other in link.into_iter().filter(|other| *other != self.id) {
            self.net.cut(&other, &self.id);
            self.net.cut(&self.id, &other);
        }
    }

    fn proxy_members(&self) -> Vec<NodeId> {
        let observer: NodeId = "observer".parse().unwrap();
        let link = self.net.join(observer.clone(), "z".parse().unwrap(), "r".parse().unwrap());
        self.net.set_state(&observer, MemberState::Dead);
        link.members().0.keys().filter(|id| **id != observer).cloned().collect()
    }
}
