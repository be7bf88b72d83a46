//! Nodes that replicate the configuration over in-memory links.

use std::{collections::BTreeMap, future::Future, sync::Arc, time::Duration};

use lycheelatch_config::{Change, ConfigStore, CurrentConfig, Document, Edit};
use lycheelatch_fakes::{Fault, Faults, MemoryKv, MemoryNet};
use lycheelatch_peers::{ConfigReplicator, PeerLink};
use lycheelatch_prelude::{ChangeId, NodeId, Revision};
use prometheus::Registry;
use serde_json::json;
use tokio::time::{Instant, timeout};

/// A node under test.
pub(crate) struct Node {
    pub(crate) link: Arc<dyn PeerLink>,
    pub(crate) current: Arc<CurrentConfig>,
    pub(crate) replicator: ConfigReplicator,
    /// Faults injected into this node's calls to the key-value service.
    pub(crate) faults: Faults,
}

/// The nodes, the in-memory network and the key-value service.
pub(crate) struct Cluster {
    pub(crate) kv: MemoryKv,
    pub(crate) net: MemoryNet,
    pub(crate) nodes: BTreeMap<NodeId, Node>,
    operator: ConfigStore,
    stopped: Vec<Arc<CurrentConfig>>,
}

/// Runs a test with a paused clock.
pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    actix::System::new().block_on(async {
        tokio::time::pause();
        test.await
    })
}

impl Cluster {
    pub(crate) fn new() -> Cluster {
        let kv = MemoryKv::new();
        let operator = ConfigStore::new(Arc::new(kv.clone()));
        let stopped = Vec::new();
        Cluster { kv, net: MemoryNet::new(), nodes: BTreeMap::new(), operator, stopped }
    }

    /// Starts `count` nodes, distributed over `zones` zones, and waits until they are ready.
    pub(crate) async fn start(count: usize, zones: usize) -> Cluster {
        let mut cluster = Cluster::new();
        for n in 0..count {
            cluster.start_node(n, zones, Fault::None);
        }
        for node in cluster.nodes.values() {
            wait_ready(node, Duration::from_secs(10)).await;
        }
        cluster
    }

    /// Starts a node with `fault` injected into its calls to the key-value service.
    pub(crate) fn start_node(&mut self, n: usize, zones: usize, fault: Fault) -> NodeId {
        let id: NodeId = format!("node-{n}").parse().unwrap();
        let zone = format!("zone-{}", n % zones).parse().unwrap();
        let link = self.net.join(id.clone(), zone, "region".parse().unwrap());
        let mut kv = self.kv.clone();
        kv.faults = Faults::default();
        if fault != Fault::None {
            kv.faults.set_standing(fault);
        }
        let faults = kv.faults.clone();
        let store = Arc::new(ConfigStore::new(Arc::new(kv)));
        let current = Arc::new(CurrentConfig::new());
        let replicator =
            ConfigReplicator::start(link.clone(), store, current.clone(), &Registry::new())
                .unwrap();
        self.nodes.insert(id.clone(), Node { link, current, replicator, faults });
        id
    }

    /// Stops a node and returns its applied revision.
    pub(crate) fn stop_node(&mut self, id: &NodeId) -> Revision {
        let node = self.nodes.remove(id).unwrap();
        self.stopped.push(node.current.clone());
        node.current.revision()
    }

    /// Applies a change directly to the key-value service and returns its revision.
    pub(crate) async fn change(&self, n: u64) -> Revision {
        let doc = json!({
            "services": [{ "name": "desk", "kind": "plain", "limits": { "max_queue_ms": 1_000 + n } }]
        });
        let change = Change {
            id: ChangeId::new_unique(),
            author: "mair".parse().unwrap(),
            expected: None,
            edits: vec![Edit::Apply(Document::from_value(doc).unwrap())],
        };
        self.operator.apply(change).await.unwrap().revision
    }

    /// Waits until every node has applied `revision` and returns the time taken.
    pub(crate) async fn wait_applied(&self, revision: Revision, limit: Duration) -> Duration {
        let start = Instant::now();
        for (id, node) in &self.nodes {
            let mut revisions = node.current.subscribe();
            let waited = timeout(limit, revisions.wait_for(|r| *r >= revision)).await;
            assert!(waited.is_ok(), "{id} is at {} instead of {revision}", node.current.revision());
        }
        start.elapsed()
    }

    /// Partitions a node from all others, or reconnects it.
    pub(crate) fn set_partitioned(&self, id: &NodeId, is_partitioned: bool) {
        for other in self.nodes.keys().filter(|other| *other != id) {
            for (a, b) in [(id, other), (other, id)] {
                if is_partitioned { self.net.cut(a, b) } else { self.net.mend(a, b) }
            }
        }
    }
}

pub(crate) async fn wait_ready(node: &Node, limit: Duration) {
    let mut ready = node.replicator.watch_ready();
    let waited = timeout(limit, ready.wait_for(|ready| *ready)).await;
    assert!(waited.is_ok(), "{} is not ready", node.link.local());
}

/// The revision of each node process at the last check.
#[derive(Default)]
pub(crate) struct Revisions(BTreeMap<*const CurrentConfig, Revision>);

impl Revisions {
    /// Checks that no revision has decreased; a restarted node counts as a new process.
    pub(crate) fn check(&mut self, cluster: &Cluster) {
        for (id, node) in &cluster.nodes {
            let now = node.current.revision();
            let before = self.0.insert(Arc::as_ptr(&node.current), now).unwrap_or_default();
            assert!(before <= now, "the revision of {id} decreased from {before} to {now}");
        }
    }
}
