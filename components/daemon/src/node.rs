//! One node, from its start to its stop.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use actix_web::{dev::ServerHandle, rt};
use lycheelatch_claims::{Claims, ClaimsConfig};
use lycheelatch_config::{ConfigStore, CurrentConfig};
use lycheelatch_peers::{IdentityCheck, PeerLink, PeersConfig, Pem, QuicLink, TlsFiles};
use lycheelatch_prelude::NodeId;
use lycheelatch_proxy::{
    AdmitByPolicy, HttpConnect, LoadControl, PlaceByPolicy, Proxy, ProxyMetrics, ProxyParts,
    Registry, RetryByPolicy, poll_engines, seed_of,
};
use lycheelatch_settings::Settings;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::{Health, StartError, callers, clients::Clients, config_task, registry_task};

/// Time between two looks at the requests that are still open.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Part of the notice for which a node that is no longer ready goes on to accept.
const ACCEPT_SHARE: u32 = 10;

/// Longest time for which a node that is no longer ready goes on to accept.
const MAX_ACCEPT: Duration = Duration::from_secs(3);

/// One running node.
pub struct Node {
    id: NodeId,
    callers: SocketAddr,
    health: Arc<Health>,
    proxy: Arc<Proxy>,
    current: Arc<CurrentConfig>,
    link: Option<Arc<QuicLink>>,
    servers: Vec<ServerHandle>,
    tasks: Vec<JoinHandle<()>>,
    notice: Duration,
}

/// Returns the settings of the links to other nodes.
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
    /// Starts a node; `peers` links it to others.
    ///
    /// Must be called within an actix system.
    pub async fn start(settings: Settings, peers: Option<PeersConfig>) -> Result<Node, StartError> {
        let metrics = prometheus::Registry::new();
        let health = Arc::new(Health::default());
        let current = Arc::new(CurrentConfig::new());
        let clients = Clients::new(&settings.platform);
        let id = peers.as_ref().map(|cfg| cfg.node.clone());
        let id = id.or_else(|| settings.node.clone()).unwrap_or_else(new_node_id);
        let link = match peers {
            Some(cfg) => Some(QuicLink::start(cfg, &metrics).await.map_err(StartError::Peers)?),
            None => None,
        };
        let claims = Arc::new(claims_of(&clients, link.clone()));
        let registry = Arc::new(Registry::new(Arc::new(HttpConnect)));
        let seed = seed_of(&id);
        let load = Arc::new(LoadControl::new(registry.clone(), settings.zone.clone(), seed));
        let proxy = Arc::new(Proxy::new(ProxyParts {
            config: {
                let current = current.clone();
                Arc::new(move || current.get())
            },
            registry: registry.clone(),
            claims: claims.clone(),
            admit: Arc::new(AdmitByPolicy::new(load.clone())),
            place: Arc::new(PlaceByPolicy::new(load.clone())),
            retry: Arc::new(RetryByPolicy::new(load.clone())),
            metrics: ProxyMetrics::new(&metrics)?,
            max_kept_answer_bytes: usize::try_from(settings.callers.max_kept_answer_bytes)
                .unwrap_or(usize::MAX),
        }));
        let (server, callers) = callers::serve(&settings.callers, &settings.stop, proxy.clone())?;
        let handle = server.handle();
        rt::spawn(server);
        let tasks = vec![
            rt::spawn(config_task::watch(
                ConfigStore::new(clients.kv.clone()),
                current.clone(),
                health.clone(),
            )),
            rt::spawn(registry_task::poll(
                clients.instances.clone(),
                registry,
                current.clone(),
                health.clone(),
                settings.platform.instances.poll,
            )),
            rt::spawn(async move { claims.maintain().await }),
            rt::spawn(poll_engines(load, id.clone())),
        ];
        log::info!("node: {id} serves callers on {callers}");
        Ok(Node {
            id,
            callers,
            health,
            proxy,
            current,
            link,
            servers: vec![handle],
            tasks,
            notice: settings.stop.notice,
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

    /// Returns whether the node takes traffic.
    pub fn health(&self) -> &Arc<Health> {
        &self.health
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<CurrentConfig> {
        &self.current
    }

    /// Returns the request path.
    pub fn proxy(&self) -> &Arc<Proxy> {
        &self.proxy
    }

    /// Returns the address of the links to other nodes.
    pub fn peer_addr(&self) -> Option<SocketAddr> {
        self.link.as_ref()?.local_addr()
    }

    /// Stops in good order within the notice.
    pub async fn stop(self) {
        let ends = Instant::now() + self.notice;
        self.health.set_stopping();
        if let Some(link) = &self.link {
            link.leave().await;
        }
        // The balancer goes on to send requests until it has seen the node as not ready.
        sleep((self.notice / ACCEPT_SHARE).min(MAX_ACCEPT)).await;
        self.proxy.stop_accepting();
        while self.proxy.open_requests() > 0 && Instant::now() < ends {
            sleep(STOP_POLL).await;
        }
        let left = self.proxy.open_requests();
        if left > 0 {
            log::warn!("node: {left} requests are cut off by the stop");
        }
        for server in &self.servers {
            server.stop(left == 0).await;
        }
        for task in &self.tasks {
            task.abort();
        }
        if let Some(link) = &self.link {
            link.shutdown().await;
        }
        log::info!("node: {} has stopped", self.id);
    }
}

fn claims_of(clients: &Clients, link: Option<Arc<QuicLink>>) -> Claims {
    let (kv, cfg) = (clients.kv.clone(), ClaimsConfig::default());
    match link {
        Some(link) => Claims::with_peers(kv, cfg, link as Arc<dyn PeerLink>),
        None => Claims::new(kv, cfg),
    }
}
