//! What a node does together with the others: configuration, seeds, fleet.

use std::sync::Arc;

use actix_web::rt;
use lycheelatch_config::{ConfigStore, CurrentConfig};
use lycheelatch_fleet::{Fleet, FleetDeps, LeavingInstances};
use lycheelatch_peers::{ConfigReplicator, KvSeeds, PeerLink, QuicLink, SeedDiscovery, SeedSource};
use lycheelatch_provider::CallClass;
use lycheelatch_proxy::{EvacuateStreams, Proxy, RegistryDirectory};
use tokio::task::JoinHandle;

use crate::{Health, clients::Clients, config_task};

/// What the cluster's parts of a node work with.
pub(crate) struct ClusterDeps<'a> {
    pub(crate) link: Arc<QuicLink>,
    pub(crate) clients: &'a Clients,
    pub(crate) store: Arc<ConfigStore>,
    pub(crate) current: Arc<CurrentConfig>,
    pub(crate) proxy: Arc<Proxy>,
    pub(crate) health: Arc<Health>,
    pub(crate) metrics: &'a prometheus::Registry,
}

/// What a node does together with the others, until it is dropped.
pub(crate) struct Cluster {
    fleet: Fleet,
    _spread: ConfigReplicator,
    _seeds: SeedDiscovery,
    tasks: Vec<JoinHandle<()>>,
}

impl Cluster {
    /// Starts the parts; call it within an actix system.
    pub(crate) fn start(deps: ClusterDeps<'_>) -> Result<Cluster, prometheus::Error> {
        let link = deps.link.clone() as Arc<dyn PeerLink>;
        let spread =
            ConfigReplicator::start(link.clone(), deps.store, deps.current.clone(), deps.metrics)?;
        let leaving = LeavingInstances::new();
        let fleet = Fleet::start(
            FleetDeps {
                kv: deps.clients.budget.for_class(CallClass::Leases),
                cloud: deps.clients.cloud.clone(),
                list: deps.clients.instances.clone(),
                weights: deps.clients.weights.clone(),
                link,
                config: deps.current,
                directory: Arc::new(RegistryDirectory::of(&deps.proxy)),
                demand: None,
                leaving: leaving.clone(),
            },
            deps.metrics,
        )?;
        let evacuate = EvacuateStreams::new(deps.proxy, fleet.relay_deps().streams, leaving);
        let members = deps.link.watch_members();
        let tasks = vec![
            rt::spawn(async move { evacuate.run().await }),
            rt::spawn(config_task::share_budget(members, deps.clients.budget.clone())),
            rt::spawn(config_task::await_ready(spread.watch_ready(), deps.health)),
        ];
        let seeds_kv = deps.clients.budget.for_class(CallClass::Registration);
        let sources: Vec<Arc<dyn SeedSource>> = vec![Arc::new(KvSeeds(seeds_kv.clone()))];
        let seeds = SeedDiscovery::start(deps.link, sources, seeds_kv);
        Ok(Cluster { fleet, _spread: spread, _seeds: seeds, tasks })
    }

    /// Hands on the decisions that this node makes for services.
    pub(crate) async fn hand_on(&self) {
        self.fleet.release_shards().await;
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
