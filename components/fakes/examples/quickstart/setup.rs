//! Fakes and nodes of the quickstart.
#![allow(dead_code, reason = "other examples use only parts of it")]

use std::{collections::HashMap, error::Error, net::SocketAddr, sync::Arc, time::Duration};

use lycheelatch_config::TokenHash;
use lycheelatch_daemon::Node;
use lycheelatch_fakes::{
    EngineConfig, HttpServerHandle, MemoryCloud, MemoryInstances, MemoryKv, ServedEngine,
    ServedPlain, ServedPlatform, serve_engine, serve_plain, serve_platform,
};
use lycheelatch_peers::{CertificateAuthority, IdentityCheck, PeersConfig};
use lycheelatch_prelude::{Name, Revision, ServiceName};
use lycheelatch_provider::{Instance, InstanceState, ListedInstance, ListedState, Purchase};
use lycheelatch_settings::Settings;
use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

/// Availability zones.
pub(crate) const ZONES: [&str; 4] = ["aberteifi", "llechryd", "cenarth", "aberporth"];

/// Name of the model service.
pub(crate) const MODEL_SERVICE: &str = "gwehydd-llm";

/// Name of the order service.
pub(crate) const ORDERS_SERVICE: &str = "archeb-app";

/// API token of the only workspace.
pub(crate) const TOKEN: &str = "quickstart-token-0001";

/// API token of the operator.
const OPERATOR_TOKEN: &str = "quickstart-operator-0001";

/// Engines per availability zone.
const ENGINES_PER_ZONE: usize = 2;

/// Maximum time until the nodes are ready or have new data.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Running nodes and fakes.
pub(crate) struct Setup {
    pub(crate) nodes: Vec<Node>,
    /// Time from the change of the configuration until it was in force on every node.
    pub(crate) in_force_after: Duration,
    listed: MemoryInstances,
    cloud: MemoryCloud,
    engines: Vec<(&'static str, ServedEngine)>,
    applications: Vec<(&'static str, ServedPlain)>,
}

impl Setup {
    /// Starts the fakes and two nodes, and applies a configuration.
    pub(crate) async fn start() -> Result<Setup, Box<dyn Error>> {
        let listed = MemoryInstances::new(Duration::ZERO);
        let cloud = MemoryCloud::new(Vec::new());
        let mut engines = Vec::new();
        let mut applications = Vec::new();
        for zone in ZONES {
            for _ in 0..ENGINES_PER_ZONE {
                let engine = serve_engine(EngineConfig::default())?;
                add_instance(&listed, &cloud, MODEL_SERVICE, zone, &engine.server)?;
                engines.push((zone, engine));
            }
            let application = serve_plain()?;
            add_instance(&listed, &cloud, ORDERS_SERVICE, zone, &application.server)?;
            applications.push((zone, application));
        }
        let platform = serve_platform(ServedPlatform {
            kv: Arc::new(MemoryKv::new()),
            instances: Arc::new(listed.clone()),
            cloud: Some(Arc::new(cloud.clone())),
            weights: None,
        })?;
        let nodes = start_nodes(&platform).await?;
        let in_force_after = apply_config(&nodes).await?;
        wait_for_upstreams(&nodes).await?;
        Ok(Setup { nodes, in_force_after, listed, cloud, engines, applications })
    }

    /// Returns the address of one instance of the order application.
    pub(crate) fn application_addr(&self) -> SocketAddr {
        self.applications[0].1.server.addr()
    }

    /// Returns the address of one engine.
    pub(crate) fn engine_addr(&self) -> SocketAddr {
        self.engines[0].1.server.addr()
    }

    /// Announces that the instances of a zone are reclaimed after `notice`.
    pub(crate) fn announce(&self, zone: &str, notice: Duration) {
        for instance in self.cloud.peek().iter().filter(|i| i.zone.as_str() == zone) {
            self.cloud.reclaim(&instance.id, notice);
        }
    }

    /// Kills the instances of a zone without waiting for running requests.
    pub(crate) async fn kill(&self, zone: &str) {
        self.listed.update(|listed| listed.retain(|listed| listed.zone.as_str() != zone));
        for (_, engine) in self.engines.iter().filter(|(at, _)| *at == zone) {
            engine.kill().await;
        }
        for (_, application) in self.applications.iter().filter(|(at, _)| *at == zone) {
            application.server.kill().await;
        }
    }

    /// Returns how often a booking was executed, over all instances.
    pub(crate) fn executions(&self, order: &str) -> u32 {
        self.all_executions().get(order).copied().unwrap_or(0)
    }

    /// Returns the number of bookings that were executed more than once.
    pub(crate) fn duplicate_executions(&self) -> usize {
        self.all_executions().values().filter(|count| **count > 1).count()
    }

    fn all_executions(&self) -> HashMap<String, u32> {
        let mut all = HashMap::new();
        for (_, application) in &self.applications {
            for (order, count) in application.executions() {
                *all.entry(order).or_default() += count;
            }
        }
        all
    }

    /// Returns the number of prompt and response tokens that engines recomputed.
    pub(crate) fn recomputed_tokens(&self) -> u64 {
        self.engines.iter().map(|(_, engine)| engine.counts().recomputed_tokens).sum()
    }

    /// Stops the nodes gracefully.
    pub(crate) async fn stop(self) {
        for node in self.nodes {
            node.stop().await;
        }
    }
}

fn add_instance(
    instances: &MemoryInstances,
    cloud: &MemoryCloud,
    service: &str,
    zone: &str,
    server: &HttpServerHandle,
) -> Result<(), Box<dyn Error>> {
    let id = format!("{service}-{}", server.addr().port());
    let listed = ListedInstance {
        instance: id.parse()?,
        upstream: id.parse()?,
        service: service.parse()?,
        addr: server.addr(),
        zone: zone.parse()?,
        region: "ceredigion".parse()?,
        class: "standard".parse()?,
        purchase: Purchase::Reclaimable,
        state: ListedState::Live,
        labels: format!("zone={zone}").parse()?,
    };
    cloud.add(Instance {
        id: listed.instance.clone(),
        service: listed.service.clone(),
        zone: listed.zone.clone(),
        class: listed.class.clone(),
        purchase: listed.purchase,
        state: InstanceState::Running,
    });
    instances.update(|all| all.push(listed));
    Ok(())
}

/// Applies the configuration through one node's operator port.
///
/// Returns the time until it was in force on every node.
async fn apply_config(nodes: &[Node]) -> Result<Duration, Box<dyn Error>> {
    let document = json!({
        "services": [
            {
                "name": MODEL_SERVICE,
                "kind": "model",
                "model": {"model": "gwehydd", "version": "1"},
            },
            {"name": ORDERS_SERVICE, "kind": "plain"},
        ],
        "workspaces": [{"name": "restorers", "tokens": [{"token": TOKEN}]}],
    });
    let started = Instant::now();
    let mut response = lycheelatch_http::client()
        .post(format!("http://{}/v1/apply", nodes[0].operators()))
        .insert_header(("authorization", format!("Bearer {OPERATOR_TOKEN}")))
        .send_json(&json!({"document": document}))
        .await
        .map_err(|err| err.to_string())?;
    if !response.status().is_success() {
        let body = response.body().await.map_err(|err| err.to_string())?;
        return Err(String::from_utf8_lossy(&body).into());
    }
    let in_force = async {
        for node in nodes {
            let mut revisions = node.config().subscribe();
            revisions.wait_for(|revision| *revision >= Revision(1)).await.ok();
        }
    };
    timeout(READY_TIMEOUT, in_force).await?;
    Ok(started.elapsed())
}

async fn start_nodes(platform: &HttpServerHandle) -> Result<Vec<Node>, Box<dyn Error>> {
    let cluster: Name = "quickstart".parse()?;
    let authority = CertificateAuthority::generate(&cluster, 1)?;
    let mut nodes: Vec<Node> = Vec::new();
    for (i, zone) in ZONES.iter().take(2).enumerate() {
        let id = format!("entry-{i}").parse()?;
        let issued = authority.issue(&id, 1)?;
        let peers = PeersConfig {
            node: id,
            cluster: cluster.clone(),
            bind: "127.0.0.1:0".parse()?,
            advertise: None,
            zone: zone.parse()?,
            region: "ceredigion".parse()?,
            seeds: nodes.iter().filter_map(Node::peer_addr).collect(),
            tls: authority.tls(&issued),
            identity: IdentityCheck::default(),
        };
        nodes.push(Node::start(settings(zone, platform)?, Some(peers)).await?);
    }
    let ready = async {
        while !nodes.iter().all(|node| node.health().is_ready()) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(READY_TIMEOUT, ready).await?;
    Ok(nodes)
}

/// Waits until every node has upstreams of all services from the instance list.
async fn wait_for_upstreams(nodes: &[Node]) -> Result<(), Box<dyn Error>> {
    let services: Vec<ServiceName> = vec![MODEL_SERVICE.parse()?, ORDERS_SERVICE.parse()?];
    let has_all = |node: &Node| {
        services.iter().all(|service| !node.proxy().registry().available(service).is_empty())
    };
    let complete = async {
        while !nodes.iter().all(has_all) {
            sleep(Duration::from_millis(2)).await;
        }
    };
    Ok(timeout(READY_TIMEOUT, complete).await?)
}

fn settings(zone: &str, platform: &HttpServerHandle) -> Result<Settings, Box<dyn Error>> {
    let base = format!("http://{}", platform.addr());
    let settings = json!({
        "zone": zone,
        "region": "ceredigion",
        "callers": {"listen": "127.0.0.1:0"},
        "operators": {
            "listen": "127.0.0.1:0",
            "tokens": [{
                "name": "quickstart",
                "role": "change",
                "hash": String::from(TokenHash::new(OPERATOR_TOKEN)),
            }],
        },
        "platform": {
            "key_value": {"url": base},
            "instances": {"url": format!("{base}/list"), "poll": "100ms"},
            "cloud": {"url": format!("{base}/cloud")},
        },
        "stop": {"notice": "1s"},
    });
    Ok(Settings::from_json(&settings.to_string())?)
}
