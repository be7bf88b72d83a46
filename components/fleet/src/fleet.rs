//! Puts the parts of the fleet together for one node.

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
    Demand, EngineDirectory, Evacuation, FleetMetrics, LeavingInstances, NoticeSources,
    ReclaimGossip, ReclaimListener, RelayDeps, Shard, ShardDeps, Streams, rank::is_candidate,
};

/// Time between two rounds of the shards, before it is spread at random.
const ROUND: Duration = Duration::from_secs(5);

/// What the fleet of one node needs.
pub struct FleetDeps {
    /// The key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// The cloud API; without one, nothing is started or stopped.
    pub cloud: Option<Arc<dyn Cloud>>,
    /// The instance list.
    pub list: Arc<dyn InstanceList>,
    /// The weight store; without one, runners load as fast as they can.
    pub weights: Option<Arc<dyn WeightStore>>,
    /// The link to the other nodes.
    pub link: Arc<dyn PeerLink>,
    /// The configuration in force.
    pub config: Arc<CurrentConfig>,
    /// The runners.
    pub directory: Arc<dyn EngineDirectory>,
    /// The load of the services; without it, the runners' reports are added up.
    pub demand: Option<Arc<dyn Demand>>,
    /// The instances that leave, shared with the proxy.
    pub leaving: LeavingInstances,
}

/// The fleet's part of one node; its tasks run on the thread that started it.
pub struct Fleet {
    relay: RelayDeps,
    tasks: Vec<JoinHandle<()>>,
    stop: mpsc::Sender<oneshot::Sender<()>>,
}

impl Fleet {
    /// Starts the tasks of the fleet; call it within a local task set.
    pub fn start(deps: FleetDeps, registry: &Registry) -> Result<Fleet, prometheus::Error> {
        let metrics = FleetMetrics::new(registry)?;
        let FleetDeps { kv, cloud, list, weights, link, config, directory, demand, leaving } = deps;
        let spread = ReclaimGossip::new(leaving.clone(), link.clone());
        let streams = Streams::new();
        let sources = NoticeSources { cloud: cloud.clone(), list };
        let listener =
            ReclaimListener::new(sources, leaving.clone(), spread.clone(), metrics.clone());
        let evacuation = Evacuation::new(
            leaving.clone(),
            streams.clone(),
            directory.clone(),
            link,
            spread.coordinator(),
        );
        let relay = RelayDeps { directory: directory.clone(), leaving: leaving.clone(), streams };
        let shard_deps = ShardDeps {
            kv,
            cloud,
            weights,
            directory,
            demand,
            leaving: leaving.clone(),
            spread: spread.clone(),
            metrics: metrics.clone(),
        };
        let (stop, stopped) = mpsc::channel(1);
        let shards = Shards { deps: shard_deps, config, shards: BTreeMap::new() };
        let tasks = vec![
            tokio::task::spawn_local(async move { listener.run().await }),
            tokio::task::spawn_local(async move { spread.run().await }),
            tokio::task::spawn_local(async move { evacuation.run().await }),
            tokio::task::spawn_local(count_leaving(leaving, metrics)),
            tokio::task::spawn_local(shards.run(stopped)),
        ];
        Ok(Fleet { relay, tasks, stop })
    }

    /// Returns what a relay needs to move its stream between runners.
    pub fn relay_deps(&self) -> RelayDeps {
        self.relay.clone()
    }

    /// Hands this node's shards on; reclaims are still listened for.
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

async fn count_leaving(leaving: LeavingInstances, metrics: FleetMetrics) {
    let mut changes = leaving.subscribe();
    while changes.changed().await.is_ok() {
        metrics.leaving.set(i64::try_from(leaving.len()).unwrap_or(i64::MAX));
    }
}

/// The service shards of one node, held or not.
struct Shards {
    deps: ShardDeps,
    config: Arc<CurrentConfig>,
    shards: BTreeMap<ServiceName, Shard>,
}

impl Shards {
    async fn run(mut self, mut stopped: mpsc::Receiver<oneshot::Sender<()>>) {
        loop {
            let pause = ROUND.mul_f64(rand::rng().random_range(0.8..1.2));
            tokio::select! {
                Some(done) = stopped.recv() => {
                    self.release_all().await;
                    let _nobody_waits = done.send(());
                    return;
                }
                () = sleep(pause) => self.round().await,
            }
        }
    }

    async fn round(&mut self) {
        let snapshot = self.config.get();
        let gone = |name: &ServiceName| !snapshot.services.contains_key(name);
        for name in self.shards.keys().filter(|name| gone(name)).cloned().collect::<Vec<_>>() {
            if let Some(shard) = self.shards.remove(&name) {
                shard.release().await;
            }
        }
        let members = self.deps.spread.members();
        for service in snapshot.services.values() {
            let name = &service.name;
            if service.model.is_none() && service.fleet.is_none() {
                continue;
            }
            let shard = self
                .shards
                .entry(name.clone())
                .or_insert_with(|| Shard::new(self.deps.clone(), name));
            shard.keep_lease(is_candidate(self.deps.spread.local(), name, &members)).await;
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
