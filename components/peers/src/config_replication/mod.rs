//! Replication of the configuration to all nodes.
//!
//! Two watchers per availability zone watch the key-value service. A node that
//! reads a new revision there, or accepts a change itself, broadcasts the
//! revision as a delta. Each node also pulls newer revisions from a neighbour
//! every two seconds, which recovers lost messages. A starting node is ready
//! once it has the highest revision that its peers know, or has read the
//! configuration from the key-value service.

mod bootstrap;
mod delta_log;
mod metrics;
mod watch_store;
mod watchers;
mod wire;

use std::{
    sync::{
        Arc, Mutex, PoisonError, Weak,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use lycheelatch_config::{ConfigStore, CurrentConfig, Delta, Snapshot};
use lycheelatch_prelude::{NodeId, Revision};
use prometheus::Registry;
use rand::{Rng, seq::IndexedRandom};
use tokio::{
    sync::{Notify, watch},
    task::{JoinHandle, spawn_local},
    time::{sleep, timeout},
};

pub use self::watchers::watchers;
use self::{
    delta_log::DeltaLog,
    metrics::Metrics,
    wire::{EncodedDelta, Message, Response},
};
use crate::{Member, MemberState, PeerError, PeerHandler, PeerLink, Topic, overlay};

/// Interval between pulls from a neighbour.
const PULL_INTERVAL: Duration = Duration::from_secs(2);
/// Delay before a missing delta is pulled, since it may still arrive by broadcast.
const GAP_PULL_DELAY: Duration = Duration::from_millis(60);
/// Timeout of a pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Value of the `source` label for revisions received from peers.
const FROM_PEER: &str = "peer";
/// Value of the `source` label for revisions read from the key-value service.
const FROM_STORE: &str = "store";

/// Keeps the configuration of one node up to date.
pub struct ConfigReplicator {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

/// State shared by the tasks and the handler.
struct Shared {
    link: Arc<dyn PeerLink>,
    store: Arc<ConfigStore>,
    current: Arc<CurrentConfig>,
    metrics: Metrics,
    delta_log: Mutex<DeltaLog>,
    /// Highest revision received from a peer.
    highest_from_peers: AtomicU64,
    ready: watch::Sender<bool>,
    pull_now: Notify,
}

impl ConfigReplicator {
    /// Starts replicating the configuration; must be called within an actix arbiter.
    ///
    /// # Errors
    /// Fails if metrics with the same names are already registered.
    pub fn start(
        link: Arc<dyn PeerLink>,
        store: Arc<ConfigStore>,
        current: Arc<CurrentConfig>,
        registry: &Registry,
    ) -> Result<ConfigReplicator, prometheus::Error> {
        let shared = Arc::new(Shared {
            metrics: Metrics::new(registry)?,
            link,
            store,
            current,
            delta_log: Mutex::default(),
            highest_from_peers: AtomicU64::new(0),
            ready: watch::Sender::new(false),
            pull_now: Notify::new(),
        });
        let handler = Handler(Arc::downgrade(&shared));
        shared.link.register(Topic::Config, Arc::new(handler));
        let tasks = vec![
            spawn_local(broadcast_changes(shared.clone())),
            spawn_local(pull_from_neighbours(shared.clone())),
            spawn_local(watch_store::run(shared.clone())),
            spawn_local(bootstrap::run(shared.clone())),
        ];
        Ok(ConfigReplicator { shared, tasks })
    }

    /// Returns whether this node has the latest revision that could be determined at its start.
    pub fn is_ready(&self) -> bool {
        *self.shared.ready.borrow()
    }

    /// Returns a receiver that is notified when this node becomes ready.
    pub fn watch_ready(&self) -> watch::Receiver<bool> {
        self.shared.ready.subscribe()
    }
}

impl Drop for ConfigReplicator {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Logs each applied revision and broadcasts those that were not received from a peer.
async fn broadcast_changes(shared: Arc<Shared>) {
    let mut revisions = shared.current.subscribe();
    let mut before = shared.current.get();
    shared.metrics.revision.set(before.revision.0 as i64);
    while revisions.changed().await.is_ok() {
        let after = shared.current.get();
        if after.revision <= before.revision {
            continue;
        }
        let delta = EncodedDelta::from(&Delta::between(&before, &after));
        shared.delta_log().push(delta.clone());
        shared.metrics.revision.set(after.revision.0 as i64);
        if after.revision.0 > shared.highest_from_peers.load(Ordering::SeqCst) {
            log::info!("config: broadcasting revision {}", after.revision);
            shared.link.broadcast(Topic::Config, wire::encode(&Message::Delta(delta)));
        }
        before = after;
    }
}

/// Pulls from a neighbour periodically, and shortly after a gap in the deltas is detected.
async fn pull_from_neighbours(shared: Arc<Shared>) {
    loop {
        let interval = PULL_INTERVAL.mul_f64(rand::rng().random_range(0.8..1.2));
        if timeout(interval, shared.pull_now.notified()).await.is_ok() {
            sleep(GAP_PULL_DELAY.mul_f64(rand::rng().random_range(0.5..1.5))).await;
        }
        let neighbour = shared.neighbours().choose(&mut rand::rng()).cloned();
        if let Some(id) = neighbour {
            let _counted = shared.pull(&id).await;
        }
    }
}

impl Shared {
    fn delta_log(&self) -> std::sync::MutexGuard<'_, DeltaLog> {
        self.delta_log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the overlay neighbours of this node.
    fn neighbours(&self) -> Vec<NodeId> {
        let members = self.link.members();
        let Some(local) = members.0.get(self.link.local()) else { return Vec::new() };
        let live = |m: &&Member| m.state != MemberState::Dead;
        overlay::neighbours(local, members.0.values().filter(live))
    }

    fn set_ready(&self) {
        let changed = self.ready.send_if_modified(|ready| !std::mem::replace(ready, true));
        if changed {
            self.metrics.ready.set(1);
            log::info!("config: ready at revision {}", self.current.revision());
        }
    }

    /// Pulls newer revisions from a peer and applies them.
    ///
    /// Returns the peer's revision, or none if the peer is not ready.
    async fn pull(&self, peer: &NodeId) -> Result<Option<Revision>, PeerError> {
        let have = self.current.revision();
        let msg = wire::encode(&Message::Pull { have });
        let response = self.link.call(peer, Topic::Config, msg, PULL_TIMEOUT).await;
        let pulled = response.and_then(|bytes| self.apply_response(&bytes));
        let result = match &pulled {
            Ok(Some(revision)) if *revision > have => "newer",
            Ok(Some(_)) => "same",
            Ok(None) => "unknown",
            Err(err) => {
                log::debug!("config: pull from {peer}: {err}");
                "failed"
            }
        };
        self.metrics.pulls.with_label_values(&[result]).inc();
        pulled
    }

    fn apply_response(&self, bytes: &[u8]) -> Result<Option<Revision>, PeerError> {
        match wire::decode::<Response>(bytes)? {
            Response::NotReady => Ok(None),
            Response::NotNewer(revision) => Ok(Some(revision)),
            Response::Deltas(deltas) => {
                for delta in &deltas {
                    self.apply_delta_from_peer(delta)?;
                }
                Ok(deltas.last().map(|delta| delta.to))
            }
            Response::Snapshot(bytes) => {
                let snapshot = Snapshot::decode(&bytes).map_err(bad_message)?;
                let revision = snapshot.revision;
                self.advance(snapshot, FROM_PEER);
                Ok(Some(revision))
            }
        }
    }

    /// Applies a delta if it starts at the current revision, and requests a pull if there is a gap.
    fn apply_delta_from_peer(&self, delta: &EncodedDelta) -> Result<(), PeerError> {
        let current = self.current.get();
        if delta.to <= current.revision {
            return Ok(());
        }
        if delta.from != current.revision {
            self.pull_now.notify_one();
            return Ok(());
        }
        let delta = Delta::try_from(delta).map_err(bad_message)?;
        let snapshot = current.apply_delta(&delta).map_err(bad_message)?;
        self.advance(snapshot, FROM_PEER);
        Ok(())
    }

    /// Applies a snapshot if its revision is higher than the current one.
    fn advance(&self, snapshot: Snapshot, source: &str) {
        let revision = snapshot.revision;
        if source == FROM_PEER {
            self.highest_from_peers.fetch_max(revision.0, Ordering::SeqCst);
            self.store.raise_min_revision(revision);
        }
        if self.current.advance(snapshot) {
            self.metrics.advances.with_label_values(&[source]).inc();
            log::debug!("config: applied revision {revision} from {source}");
        }
    }

    fn respond_to_pull(&self, have: Revision) -> Response {
        if !*self.ready.borrow() {
            return Response::NotReady;
        }
        let current = self.current.get();
        if have >= current.revision {
            if have > current.revision {
                self.pull_now.notify_one();
            }
            return Response::NotNewer(current.revision);
        }
        let log = self.delta_log();
        let is_current = log.latest() == Some(current.revision);
        match log.since(have).filter(|_| is_current) {
            Some(deltas) => Response::Deltas(deltas),
            None => Response::full(&current),
        }
    }
}

/// Handles messages of [`Topic::Config`].
struct Handler(Weak<Shared>);

#[async_trait(?Send)]
impl PeerHandler for Handler {
    async fn handle(&self, _from: &NodeId, msg: Bytes) -> Result<Bytes, PeerError> {
        let stopped = || PeerError::Rejected { reason: "the node is shutting down".into() };
        let shared = self.0.upgrade().ok_or_else(stopped)?;
        match wire::decode::<Message>(&msg)? {
            Message::Delta(delta) => {
                shared.apply_delta_from_peer(&delta)?;
                Ok(Bytes::new())
            }
            Message::Pull { have } => Ok(wire::encode(&shared.respond_to_pull(have))),
        }
    }
}

fn bad_message(err: lycheelatch_config::DeltaError) -> PeerError {
    PeerError::BadMessage { reason: err.to_string().into() }
}
