//! Spread of the configuration: a few nodes watch, the rest learn from peers.
//!
//! Two watchers per availability zone wait on the key-value service. Whoever
//! learns of a revision there, or accepts a change itself, spreads it as a
//! delta. Each node also asks a neighbour for newer revisions every few
//! seconds, which makes up for lost messages. A node that starts is ready
//! once it has the highest revision that its peers know, or what the
//! key-value service holds.

mod join;
mod log;
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
    log::DeltaLog,
    metrics::Metrics,
    wire::{Answer, EncodedDelta, Message},
};
use crate::{Member, MemberState, PeerError, PeerHandler, PeerLink, Topic, overlay};

/// Time between questions to a neighbour for newer revisions.
const PULL_INTERVAL: Duration = Duration::from_secs(2);
/// Pause before a missing delta is asked for, since it may be under way.
const GAP_PAUSE: Duration = Duration::from_millis(60);
/// Time that one question to a peer may take.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Where a revision came from, as a metrics label.
const FROM_PEER: &str = "peer";
/// Where a revision came from, as a metrics label.
const FROM_STORE: &str = "store";

/// Keeps the configuration of one node at the latest revision.
pub struct ConfigReplicator {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

/// What the tasks and the handler share.
struct Shared {
    link: Arc<dyn PeerLink>,
    store: Arc<ConfigStore>,
    current: Arc<CurrentConfig>,
    metrics: Metrics,
    log: Mutex<DeltaLog>,
    /// Highest revision that a peer sent.
    from_peers: AtomicU64,
    ready: watch::Sender<bool>,
    pull_now: Notify,
}

impl ConfigReplicator {
    /// Starts to follow the configuration; must be called within an actix arbiter.
    ///
    /// # Errors
    /// Fails if `registry` holds metrics of the same names.
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
            log: Mutex::default(),
            from_peers: AtomicU64::new(0),
            ready: watch::Sender::new(false),
            pull_now: Notify::new(),
        });
        let handler = Handler(Arc::downgrade(&shared));
        shared.link.register(Topic::Config, Arc::new(handler));
        let tasks = vec![
            spawn_local(announce(shared.clone())),
            spawn_local(pull_from_neighbours(shared.clone())),
            spawn_local(watch_store::run(shared.clone())),
            spawn_local(join::run(shared.clone())),
        ];
        Ok(ConfigReplicator { shared, tasks })
    }

    /// Returns whether this node has the highest revision that was to be known when it started.
    pub fn is_ready(&self) -> bool {
        *self.shared.ready.borrow()
    }

    /// Returns a receiver that is told when this node becomes ready.
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

/// Notes each new revision in the log, and spreads those that no peer sent.
async fn announce(shared: Arc<Shared>) {
    let mut revisions = shared.current.subscribe();
    let mut before = shared.current.get();
    shared.metrics.revision.set(before.revision.0 as i64);
    while revisions.changed().await.is_ok() {
        let after = shared.current.get();
        if after.revision <= before.revision {
            continue;
        }
        let delta = EncodedDelta::from(&Delta::between(&before, &after));
        shared.log().push(delta.clone());
        shared.metrics.revision.set(after.revision.0 as i64);
        if after.revision.0 > shared.from_peers.load(Ordering::SeqCst) {
            ::log::info!("config: spreading revision {}", after.revision);
            shared.link.broadcast(Topic::Config, wire::encode(&Message::Delta(delta)));
        }
        before = after;
    }
}

/// Asks a neighbour for newer revisions now and then, and soon after a gap.
async fn pull_from_neighbours(shared: Arc<Shared>) {
    loop {
        let interval = PULL_INTERVAL.mul_f64(rand::rng().random_range(0.8..1.2));
        if timeout(interval, shared.pull_now.notified()).await.is_ok() {
            sleep(GAP_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5))).await;
        }
        let picked = shared.neighbours().choose(&mut rand::rng()).cloned();
        if let Some(id) = picked {
            let _counted = shared.pull(&id).await;
        }
    }
}

impl Shared {
    fn log(&self) -> std::sync::MutexGuard<'_, DeltaLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the members that this node asks.
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
            ::log::info!("config: ready at revision {}", self.current.revision());
        }
    }

    /// Asks a peer for newer revisions and puts them in force.
    ///
    /// Returns the peer's revision, or none if the peer knows none.
    async fn pull(&self, peer: &NodeId) -> Result<Option<Revision>, PeerError> {
        let have = self.current.revision();
        let msg = wire::encode(&Message::Pull { have });
        let answer = self.link.call(peer, Topic::Config, msg, PULL_TIMEOUT).await;
        let answer = answer.and_then(|bytes| self.take_answer(&bytes));
        let result = match &answer {
            Ok(Some(revision)) if *revision > have => "newer",
            Ok(Some(_)) => "same",
            Ok(None) => "unknown",
            Err(err) => {
                ::log::debug!("config: pull from {peer}: {err}");
                "failed"
            }
        };
        self.metrics.pulls.with_label_values(&[result]).inc();
        answer
    }

    fn take_answer(&self, bytes: &[u8]) -> Result<Option<Revision>, PeerError> {
        match wire::decode::<Answer>(bytes)? {
            Answer::Unknown => Ok(None),
            Answer::NotNewer(revision) => Ok(Some(revision)),
            Answer::Deltas(deltas) => {
                for delta in &deltas {
                    self.take_delta(delta)?;
                }
                Ok(deltas.last().map(|delta| delta.to))
            }
            Answer::Snapshot(bytes) => {
                let snapshot = Snapshot::decode(&bytes).map_err(bad_message)?;
                let revision = snapshot.revision;
                self.advance(snapshot, FROM_PEER);
                Ok(Some(revision))
            }
        }
    }

    /// Puts in force what a delta leads to, if it applies here.
    fn take_delta(&self, delta: &EncodedDelta) -> Result<(), PeerError> {
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

    /// Puts a snapshot in force unless its revision is not higher.
    fn advance(&self, snapshot: Snapshot, source: &str) {
        let revision = snapshot.revision;
        if source == FROM_PEER {
            self.from_peers.fetch_max(revision.0, Ordering::SeqCst);
            self.store.expect_at_least(revision);
        }
        if self.current.advance(snapshot) {
            self.metrics.advances.with_label_values(&[source]).inc();
            ::log::debug!("config: revision {revision} is in force, from {source}");
        }
    }

    fn answer_pull(&self, have: Revision) -> Answer {
        if !*self.ready.borrow() {
            return Answer::Unknown;
        }
        let current = self.current.get();
        if have >= current.revision {
            if have > current.revision {
                self.pull_now.notify_one();
            }
            return Answer::NotNewer(current.revision);
        }
        let log = self.log();
        let is_current = log.latest() == Some(current.revision);
        match log.since(have).filter(|_| is_current) {
            Some(deltas) => Answer::Deltas(deltas),
            None => Answer::whole(&current),
        }
    }
}

/// Takes messages of peers about the configuration.
struct Handler(Weak<Shared>);

#[async_trait(?Send)]
impl PeerHandler for Handler {
    async fn handle(&self, _from: &NodeId, msg: Bytes) -> Result<Bytes, PeerError> {
        let stopped = || PeerError::Refused { reason: "the node is stopping".into() };
        let shared = self.0.upgrade().ok_or_else(stopped)?;
        match wire::decode::<Message>(&msg)? {
            Message::Delta(delta) => {
                shared.take_delta(&delta)?;
                Ok(Bytes::new())
            }
            Message::Pull { have } => Ok(wire::encode(&shared.answer_pull(have))),
        }
    }
}

fn bad_message(err: lycheelatch_config::DeltaError) -> PeerError {
    PeerError::BadMessage { reason: err.to_string().into() }
}
