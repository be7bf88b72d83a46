//! Assembles and starts a node.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use actix_web::{dev::ServerHandle, rt};
use lycheelatch_claims::{Claims, ClaimsConfig};
use lycheelatch_config::{ConfigStore, CurrentConfig};
use lycheelatch_operator::OperatorApi;
use lycheelatch_peers::{IdentityCheck, PeerLink, PeersConfig, Pem, QuicLink, TlsFiles};
use lycheelatch_prelude::NodeId;
use lycheelatch_provider::CallClass;
use lycheelatch_proxy::{
    AdmitByPolicy, HttpConnect, LoadControl, PlaceByPolicy, Proxy, ProxyMetrics, ProxyParts,
    Registry, RetryByPolicy, exchange_crash_evidence, node_seed, poll_engines, report_failures,
};
use lycheelatch_settings::Settings;
use tokio::{sync::Notify, task::JoinHandle};

use crate::{
    Health, StartError, callers,
    clients::Clients,
    cluster::{Cluster, ClusterDeps},
    config_task,
    control::Control,
    operators, registry_task,
};

/// A running node.
pub struct Node {
    pub(crate) id: NodeId,
    callers: SocketAddr,
    operators: SocketAddr,
    pub(crate) health: Arc<Health>,
    pub(crate) proxy: Arc<Proxy>,
    current: Arc<CurrentConfig>,
    pub(crate) link: Option<Arc<QuicLink>>,
    pub(crate) servers: Vec<ServerHandle>,
    pub(crate) tasks: Vec<JoinHandle<()>>,
    stop_requested: Arc<Notify>,
    pub(crate) notice: Duration,
    pub(crate) cluster: Option<Cluster>,
}

/// Returns the settings of the links to other nodes, or `None` for a node without peers.
pub fn peers_config(settings: &Settings) -> Option<PeersConfig> {
    let peers = settings.peers.as_ref()?;
    Some(PeersConfig {
        node: settings.node.clone().unwrap_or_else(new_node_id),
        cluster: peers.cluster.clone(),
        bind: peers.listen,
        advertise: Some(peers.advertise),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        seeds: peers.seeds.clone(),
        tls: TlsFiles {
            authorities: Pem::File(peers.ca_file.clone()),
            certificate: Pem::File(peers.certificate_file.clone()),
            key: Pem::File(peers.key_file.clone()),
        },
        identity: IdentityCheck::default(),
    })
}

fn new_node_id() -> NodeId {
    let id = format!("node-{}", lycheelatch_prelude::RequestId::new_unique());
    id.parse().expect("a valid name")
}

impl Node {
    /// Starts a node, with links to other nodes if `peers` is given.
    ///
    /// Must be called within an actix system.
    pub async fn start(settings: Settings, peers: Option<PeersConfig>) -> Result<Node, StartError> {
        let metrics = prometheus::Registry::new();
        let health = Arc::new(Health::default());
        let current = Arc::new(CurrentConfig::new());
        let id = peers.as_ref().map(|cfg| cfg.node.clone());
        let id = id.or_else(|| settings.node.clone()).unwrap_or_else(new_node_id);
        let link = match peers {
            Some(cfg) => Some(QuicLink::start(cfg, &metrics).await.map_err(StartError::Peers)?),
            None => None,
        };
        let clients = Clients::new(&settings.platform, &metrics)?;
        let claims = Arc::new(new_claims(&clients, link.clone()));
        let registry = Arc::new(Registry::new(Arc::new(HttpConnect)));
        let seed = node_seed(&id);
        let load = Arc::new(LoadControl::new(registry.clone(), settings.zone.clone(), seed));
        let proxy = new_proxy(&settings, &current, &claims, &registry, &load, &metrics)?;
        if let Some(link) = &link {
            proxy.join_peers(link.clone() as Arc<dyn PeerLink>);
            load.join_peers(link.clone() as Arc<dyn PeerLink>);
        }
        let store = Arc::new(ConfigStore::new(clients.budget.for_class(CallClass::Configuration)));
        let stop_requested = Arc::new(Notify::new());
        let api = Arc::new(OperatorApi {
            store: store.clone(),
            current: current.clone(),
            node: Arc::new(Control {
                id: id.clone(),
                zone: settings.zone.clone(),
                region: settings.region.clone(),
                health: health.clone(),
                current: current.clone(),
                proxy: proxy.clone(),
                load: load.clone(),
                link: link.clone().map(|link| link as Arc<dyn PeerLink>),
                kv: clients.budget.for_class(CallClass::Configuration),
                stop_requested: stop_requested.clone(),
            }),
            tokens: operators::tokens(&settings.operators)?,
            registry: metrics.clone(),
        });
        let (caller_server, callers) =
            callers::serve(&settings.callers, &settings.stop, proxy.clone())?;
        let (operator_server, operators) = operators::serve(&settings.operators, api)?;
        let servers = vec![caller_server.handle(), operator_server.handle()];
        rt::spawn(caller_server);
        rt::spawn(operator_server);
        let mut tasks = vec![
            rt::spawn(registry_task::poll(
                clients.instances.clone(),
                registry,
                current.clone(),
                health.clone(),
                settings.platform.instances.poll,
            )),
            rt::spawn(async move { claims.maintain().await }),
            rt::spawn(poll_engines(load.clone(), id.clone())),
            rt::spawn(exchange_crash_evidence(load.crashes.clone())),
            rt::spawn(report_failures(load)),
        ];
        let cluster = match &link {
            Some(link) => Some(Cluster::start(ClusterDeps {
                link: link.clone(),
                clients: &clients,
                store,
                current: current.clone(),
                proxy: proxy.clone(),
                health: health.clone(),
                metrics: &metrics,
            })?),
            None => {
                let watch = config_task::watch(store, current.clone(), health.clone());
                tasks.push(rt::spawn(watch));
                None
            }
        };
        log::info!("node: {id} listens on {callers} for callers and on {operators} for operators");
        Ok(Node {
            id,
            callers,
            operators,
            health,
            proxy,
            current,
            link,
            servers,
            tasks,
            stop_requested,
            notice: settings.stop.notice,
            cluster,
        })
    }

    /// Returns the identity of the node.
    pub fn id(&self) -> &NodeId {
        &self.id
    }

    /// Returns the address of the callers' port.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address of the operators' port.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Waits until an operator requests the shutdown of the node.
    pub async fn stop_requested(&self) {
        self.stop_requested.notified().await;
    }

    /// Returns the readiness of the node.
    pub fn health(&self) -> &Arc<Health> {
        &self.health
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<CurrentConfig> {
        &self.current
    }

    /// Returns the proxy that serves callers' requests.
    pub fn proxy(&self) -> &Arc<Proxy> {
        &self.proxy
    }

    /// Returns the local address of the links to other nodes, if there are any.
    pub fn peer_addr(&self) -> Option<SocketAddr> {
        self.link.as_ref()?.local_addr()
    }
}

fn new_proxy(
    settings: &Settings,
    current: &Arc<CurrentConfig>,
    claims: &Arc<Claims>,
    registry: &Arc<Registry>,
    load: &Arc<LoadControl>,
    metrics: &prometheus::Registry,
) -> Result<Arc<Proxy>, StartError> {
    let current = current.clone();
    let max_kept_bytes = settings.callers.max_kept_answer_bytes;
    Ok(Arc::new(Proxy::new(ProxyParts {
        config: Arc::new(move || current.get()),
        registry: registry.clone(),
        claims: claims.clone(),
        admit: Arc::new(AdmitByPolicy::new(load.clone())),
        place: Arc::new(PlaceByPolicy::new(load.clone())),
        retry: Arc::new(RetryByPolicy::new(load.clone())),
        metrics: ProxyMetrics::new(metrics)?,
        max_buffered_response_bytes: usize::try_from(max_kept_bytes).unwrap_or(usize::MAX),
    })))
}

fn new_claims(clients: &Clients, link: Option<Arc<QuicLink>>) -> Claims {
    let (kv, cfg) = (clients.budget.for_class(CallClass::Claims), ClaimsConfig::default());
    match link {
        Some(link) => Claims::with_peers(kv, cfg, link as Arc<dyn PeerLink>),
        None => Claims::new(kv, cfg),
    }
}
