//! The stand-ins and nodes of the quickstart.
#![allow(dead_code, reason = "other examples use parts of it")]

use std::{collections::HashMap, error::Error, net::SocketAddr, sync::Arc, time::Duration};

use lycheelatch_config::{Change, ConfigStore, Document, Edit};
use lycheelatch_daemon::Node;
use lycheelatch_fakes::{
    EngineConfig, HttpServerHandle, MemoryCloud, MemoryInstances, MemoryKv, ServedEngine,
    ServedPlain, ServedPlatform, serve_engine, serve_plain, serve_platform,
};
use lycheelatch_peers::{CertificateAuthority, IdentityCheck, PeersConfig};
use lycheelatch_platform::{Instance, InstanceState, ListedInstance, ListedState, Purchase};
use lycheelatch_prelude::{ChangeId, Name};
use lycheelatch_settings::Settings;
use serde_json::json;
use tokio::time::{sleep, timeout};

/// Availability zones.
pub(crate) const ZONES: [&str; 4] = ["aberteifi", "llechryd", "cenarth", "aberporth"];

/// The model service.
pub(crate) const MODEL_SERVICE: &str = "gwehydd-llm";

/// The orders application.
pub(crate) const ORDERS_SERVICE: &str = "archeb-app";

/// Token of the only workspace.
pub(crate) const TOKEN: &str = "quickstart-token-0001";

/// Runners in each zone.
const RUNNERS_PER_ZONE: usize = 2;

/// Longest time until the nodes are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Everything that the quickstart runs.
pub(crate) struct Setup {
    pub(crate) nodes: Vec<Node>,
    listed: MemoryInstances,
    cloud: MemoryCloud,
    engines: Vec<(&'static str, ServedEngine)>,
    applications: Vec<(&'static str, ServedPlain)>,
}

impl Setup {
    /// Starts the stand-ins and two nodes, and applies a configuration.
    pub(crate) async fn start() -> Result<Setup, Box<dyn Error>> {
        let listed = MemoryInstances::new(Duration::ZERO);
        let cloud = MemoryCloud::new(Vec::new());
        let mut engines = Vec::new();
        let mut applications = Vec::new();
        for zone in ZONES {
            for _ in 0..RUNNERS_PER_ZONE {
                let engine = serve_engine(EngineConfig::default())?;
                add(&listed, &cloud, MODEL_SERVICE, zone, &engine.server)?;
                engines.push((zone, engine));
            }
            let application = serve_plain()?;
            add(&listed, &cloud, ORDERS_SERVICE, zone, &application.server)?;
            applications.push((zone, application));
        }
        let kv = MemoryKv::new();
        let platform = serve_platform(ServedPlatform {
            kv: Arc::new(kv.clone()),
            instances: Arc::new(listed.clone()),
            cloud: Some(Arc::new(cloud.clone())),
            weights: None,
        })?;
        apply_config(&kv).await?;
        let nodes = start_nodes(&platform).await?;
        Ok(Setup { nodes, listed, cloud, engines, applications })
    }

    /// Returns the address of one process of the orders application.
    pub(crate) fn application_addr(&self) -> SocketAddr {
        self.applications[0].1.server.addr()
    }

    /// Announces that the reclaimable instances of a zone go.
    pub(crate) fn announce(&self, zone: &str, notice: Duration) {
        for instance in self.cloud.peek().iter().filter(|i| i.zone.as_str() == zone) {
            self.cloud.reclaim(&instance.id, notice);
        }
    }

    /// Ends the instances of a zone, without regard to what runs there.
    pub(crate) async fn kill(&self, zone: &str) {
        self.listed.update(|listed| listed.retain(|listed| listed.zone.as_str() != zone));
        for (_, engine) in self.engines.iter().filter(|(at, _)| *at == zone) {
            engine.kill().await;
        }
        for (_, application) in self.applications.iter().filter(|(at, _)| *at == zone) {
            application.server.kill().await;
        }
    }

    /// Returns how often a booking was executed anywhere.
    pub(crate) fn executions(&self, order: &str) -> u32 {
        self.all_executions().get(order).copied().unwrap_or(0)
    }

    /// Returns how many bookings were executed more than once.
    pub(crate) fn doubled(&self) -> usize {
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

    /// Returns how many tokens engines computed although they had been computed before.
    pub(crate) fn recomputed_tokens(&self) -> u64 {
        self.engines.iter().map(|(_, engine)| engine.counts().recomputed_tokens).sum()
    }

    /// Stops the nodes in good order.
    pub(crate) async fn stop(self) {
        for node in self.nodes {
            node.stop().await;
        }
    }
}

fn add(
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

async fn apply_config(kv: &MemoryKv) -> Result<(), Box<dyn Error>> {
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
    let document = Document::from_value(document).map_err(|errors| format!("{errors:?}"))?;
    let change = Change {
        id: ChangeId::new_unique(),
        author: "quickstart".parse()?,
        expected: None,
        edits: vec![Edit::Apply(document)],
    };
    let store = ConfigStore::new(Arc::new(kv.clone()));
    store.apply(change).await.map_err(|err| format!("{err:?}"))?;
    Ok(())
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

fn settings(zone: &str, platform: &HttpServerHandle) -> Result<Settings, Box<dyn Error>> {
    let base = format!("http://{}", platform.addr());
    let settings = json!({
        "zone": zone,
        "region": "ceredigion",
        "callers": {"listen": "127.0.0.1:0"},
        "operators": {"listen": "127.0.0.1:0"},
        "platform": {
            "key_value": {"url": base},
            "instances": {"url": format!("{base}/list"), "poll": "100ms"},
            "cloud": {"url": format!("{base}/cloud")},
        },
        "stop": {"notice": "1s"},
    });
    Ok(Settings::from_json(&settings.to_string())?)
}
