//! Starts and connects the fleet tasks of one node.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use lycheelatch_config::CurrentConfig;
use lycheelatch_peers::PeerLink;
use lycheelatch_prelude::ServiceName;
use lycheelatch_provider::{Cloud, InstanceList, KeyValue, WeightStore};
use prometheus::Registry;
use rand::Rng;
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinHandle,
    time::sleep,
};

use crate::{
    DemandSource, EngineDirectory, Evacuation, FleetMetrics, LeavingInstances, NoticeSources,
    ReclaimGossip, ReclaimPoller, RelayDeps, Shard, ShardDeps, Streams, rank::is_candidate,
};

/// Interval between two reconciliations, to which jitter is applied.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(5);

/// Dependencies of the fleet tasks.
pub struct FleetDeps {
    /// Key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// Cloud API; without it, no instance is started or stopped.
    pub cloud: Option<Arc<dyn Cloud>>,
    /// Instance list.
    pub list: Arc<dyn InstanceList>,
    /// Weight store; without it, the download rate of runners is not limited.
    pub weights: Option<Arc<dyn WeightStore>>,
    /// Link to the other nodes.
    pub link: Arc<dyn PeerLink>,
    /// Current configuration.
    pub config: Arc<CurrentConfig>,
    /// Directory of runners.
    pub directory: Arc<dyn EngineDirectory>,
    /// Load of the services; without it, the load reports of the runners are summed.
    pub demand: Option<Arc<dyn DemandSource>>,
    /// Leaving instances, shared with the proxy.
    pub leaving: LeavingInstances,
}

/// The fleet tasks of one node; they run on the thread that started them.
pub struct Fleet {
    relay: RelayDeps,
    tasks: Vec<JoinHandle<()>>,
    stop: mpsc::Sender<oneshot::Sender<()>>,
}

impl Fleet {
    /// Starts the tasks; must be called within a local task set.
    ///
    /// Returns an error if the metrics can't be registered.
    pub fn start(deps: FleetDeps, registry: &Registry) -> Result<Fleet, prometheus::Error> {
        let metrics = FleetMetrics::new(registry)?;
        let FleetDeps { kv, cloud, list, weights, link, config, directory, demand, leaving } = deps;
        let gossip = ReclaimGossip::new(leaving.clone(), link.clone());
        let streams = Streams::new();
        let sources = NoticeSources { cloud: cloud.clone(), list };
        let poller = ReclaimPoller::new(sources, leaving.clone(), gossip.clone(), metrics.clone());
        let evacuation = Evacuation::new(
            leaving.clone(),
            streams.clone(),
            directory.clone(),
            link,
            gossip.coordinator(),
        );
        let relay = RelayDeps { directory: directory.clone(), leaving: leaving.clone(), streams };
        let shard_deps = ShardDeps {
            kv,
            cloud,
            weights,
            directory,
            demand,
            leaving: leaving.clone(),
            gossip: gossip.clone(),
            metrics: metrics.clone(),
        };
        let (stop, stop_requests) = mpsc::channel(1);
        let shards = Shards { deps: shard_deps, config, shards: BTreeMap::new() };
        let tasks = vec![
            tokio::task::spawn_local(async move { poller.run().await }),
            tokio::task::spawn_local(async move { gossip.run().await }),
            tokio::task::spawn_local(async move { evacuation.run().await }),
            tokio::task::spawn_local(update_leaving_gauge(leaving, metrics)),
            tokio::task::spawn_local(shards.run(stop_requests)),
        ];
        Ok(Fleet { relay, tasks, stop })
    }

    /// Returns the dependencies of relayed streams.
    pub fn relay_deps(&self) -> RelayDeps {
        self.relay.clone()
    }

    /// Releases the leases of this node's shards; polling for reclaimed instances continues.
    pub async fn release_shards(&self) {
        let (done, is_done) = oneshot::channel();
        if self.stop.send(done).await.is_ok() {
            let _task_ended = is_done.await;
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn update_leaving_gauge(leaving: LeavingInstances, metrics: FleetMetrics) {
    let mut changes = leaving.subscribe();
    while changes.changed().await.is_ok() {
        metrics.leaving.set(i64::try_from(leaving.len()).unwrap_or(i64::MAX));
    }
}

/// The service shards of one node, whether or not their leases are held.
struct Shards {
    deps: ShardDeps,
    config: Arc<CurrentConfig>,
    shards: BTreeMap<ServiceName, Shard>,
}

impl Shards {
    async fn run(mut self, mut stop_requests: mpsc::Receiver<oneshot::Sender<()>>) {
        loop {
            let pause = RECONCILE_INTERVAL.mul_f64(rand::rng().random_range(0.8..1.2));
            tokio::select! {
                Some(done) = stop_requests.recv() => {
                    self.release_all().await;
                    let _receiver_dropped = done.send(());
                    return;
                }
                () = sleep(pause) => self.reconcile_all().await,
            }
        }
    }

    async fn reconcile_all(&mut self) {
        let snapshot = self.config.get();
        let gone = |name: &ServiceName| !snapshot.services.contains_key(name);
        for name in self.shards.keys().filter(|name| gone(name)).cloned().collect::<Vec<_>>() {
            if let Some(shard) = self.shards.remove(&name) {
                shard.release().await;
            }
        }
        let members = self.deps.gossip.members();
        for service in snapshot.services.values() {
            let name = &service.name;
            if service.model.is_none() && service.fleet.is_none() {
                continue;
            }
            let shard = self
                .shards
                .entry(name.clone())
                .or_insert_with(|| Shard::new(self.deps.clone(), name));
            shard.maintain_lease(is_candidate(self.deps.gossip.local(), name, &members)).await;
            shard.reconcile(service).await;
        }
        let held = self.shards.values().filter(|shard| shard.is_holder()).count();
        self.deps.metrics.shards_held.set(i64::try_from(held).unwrap_or(i64::MAX));
    }

    async fn release_all(&mut self) {
        for (_, shard) in std::mem::take(&mut self.shards) {
            shard.release().await;
        }
        self.deps.metrics.shards_held.set(0);
    }
}
