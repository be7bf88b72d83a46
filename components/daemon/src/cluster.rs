//! Components that work with the other nodes: configuration replication, seeds and fleet.

use std::sync::Arc;

use actix_web::rt;
use lycheelatch_config::{ConfigStore, CurrentConfig};
use lycheelatch_fleet::{Fleet, FleetDeps, LeavingInstances};
use lycheelatch_peers::{ConfigReplicator, KvSeeds, PeerLink, QuicLink, SeedDiscovery, SeedSource};
use lycheelatch_provider::CallClass;
use lycheelatch_proxy::{Proxy, RegistryDirectory, StreamEvacuator};
use tokio::task::JoinHandle;

use crate::{Health, clients::Clients, config_task};

/// Dependencies of [`Cluster`].
pub(crate) struct ClusterDeps<'a> {
    pub(crate) link: Arc<QuicLink>,
    pub(crate) clients: &'a Clients,
    pub(crate) store: Arc<ConfigStore>,
    pub(crate) current: Arc<CurrentConfig>,
    pub(crate) proxy: Arc<Proxy>,
    pub(crate) health: Arc<Health>,
    pub(crate) metrics: &'a prometheus::Registry,
}

/// Components that work with the other nodes; they stop when this is dropped.
pub(crate) struct Cluster {
    fleet: Fleet,
    _replicator: ConfigReplicator,
    _seeds: SeedDiscovery,
    tasks: Vec<JoinHandle<()>>,
}

impl Cluster {
    /// Starts the components; must be called within an actix system.
    pub(crate) fn start(deps: ClusterDeps<'_>) -> Result<Cluster, prometheus::Error> {
        let link = deps.link.clone() as Arc<dyn PeerLink>;
        let replicator =
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
                directory: Arc::new(RegistryDirectory::from_proxy(&deps.proxy)),
                demand: None,
                leaving: leaving.clone(),
            },
            deps.metrics,
        )?;
        let evacuate = StreamEvacuator::new(deps.proxy, fleet.relay_deps().streams, leaving);
        let members = deps.link.watch_members();
        let tasks = vec![
            rt::spawn(async move { evacuate.run().await }),
            rt::spawn(config_task::share_budget(members, deps.clients.budget.clone())),
            rt::spawn(config_task::await_ready(replicator.watch_ready(), deps.health)),
        ];
        let seeds_kv = deps.clients.budget.for_class(CallClass::Registration);
        let sources: Vec<Arc<dyn SeedSource>> = vec![Arc::new(KvSeeds(seeds_kv.clone()))];
        let seeds = SeedDiscovery::start(deps.link, sources, seeds_kv);
        Ok(Cluster { fleet, _replicator: replicator, _seeds: seeds, tasks })
    }

    /// Releases the leases of the fleet shards that this node holds.
    pub(crate) async fn release_shards(&self) {
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
