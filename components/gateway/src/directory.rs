//! Registered upstreams, with this node's connections and load estimates.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use lycheelatch_policy::{SmoothedCount, UpstreamLimit, UpstreamSpeed};
use lycheelatch_prelude::{ServiceName, UpstreamId, ZoneName};
use tokio::time::Instant;

use crate::{
    StoreRevision,
    connections_in_use::ConnectionCounts,
    dialect::ReportedLoad,
    engine_load::EngineLoad,
    event_log::log_event,
    health::Health,
    node_event::NodeEvent,
    pool::Pool,
    process_check::{CutResponses, UpstreamView},
    software_version::VersionHistory,
    upstream_speeds::UpstreamKey,
};

/// Entry that an upstream registers in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Identifier.
    pub id: UpstreamId,
    /// Its service.
    pub service: ServiceName,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub is_ready: bool,
    /// Whether the cloud provider may reclaim it.
    pub is_reclaimable: bool,
    /// Time until its announced shutdown, if any.
    pub shutdown_in: Option<Duration>,
    /// Start of this incarnation, in milliseconds since the Unix epoch.
    pub started_at_ms: Option<u64>,
    /// Version of the service that it runs, if it names one.
    pub version: Option<Arc<str>>,
}

/// One upstream.
pub struct Upstream {
    /// Its latest entry in the store.
    pub entry: RefCell<UpstreamEntry>,
    /// Requests of this node that are in flight at it.
    pub running: Cell<u32>,
    /// Requests of the other nodes that are in flight at it, by their latest reports.
    pub running_elsewhere: Cell<u32>,
    /// The same, smoothed over the latest reports.
    pub(crate) smoothed_elsewhere: Cell<SmoothedCount>,
    /// Its latest reported load, and the time of the report.
    pub reported_load: Cell<Option<(ReportedLoad, Instant)>>,
    /// Limit that it names.
    pub(crate) limit: RefCell<UpstreamLimit>,
    /// Estimated load and cache contents of its engine.
    pub load: RefCell<EngineLoad>,
    /// How long work takes there, relative to the usual of its service.
    pub speed: RefCell<UpstreamSpeed>,
    /// Response statistics for outlier ejection.
    pub(crate) health: RefCell<Health>,
    pub(crate) pool: Pool,
    /// Responses that it cut off.
    pub(crate) cuts: CutResponses,
    revision: Cell<StoreRevision>,
    /// Revision at which it registered.
    created: StoreRevision,
    is_removed: Cell<bool>,
}

impl Upstream {
    fn new(entry: UpstreamEntry, revision: StoreRevision, created: StoreRevision) -> Upstream {
        Upstream {
            entry: RefCell::new(entry),
            running: Cell::new(0),
            running_elsewhere: Cell::new(0),
            smoothed_elsewhere: Cell::default(),
            reported_load: Cell::new(None),
            limit: RefCell::default(),
            load: RefCell::default(),
            speed: RefCell::default(),
            health: RefCell::default(),
            pool: Pool::default(),
            cuts: CutResponses::default(),
            revision: Cell::new(revision),
            created,
            is_removed: Cell::new(false),
        }
    }

    /// Takes the upstream out of use, after it left the directory.
    fn retire(&self) {
        self.is_removed.set(true);
        self.pool.clear();
    }

    /// Returns the upstream's identifier.
    pub fn id(&self) -> UpstreamId {
        self.entry.borrow().id.clone()
    }

    /// Returns whether it had registered by a revision.
    pub(crate) fn is_registered_by(&self, revision: StoreRevision) -> bool {
        self.created <= revision
    }

    /// Returns its short identifier in messages between nodes.
    pub(crate) fn key(&self) -> UpstreamKey {
        UpstreamKey::from(&self.entry.borrow().id)
    }

    /// Returns whether outlier ejection excludes it from new requests at the moment.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.health.borrow().is_ejected(now)
    }

    /// Returns whether it is registered and accepts new requests.
    pub fn accepts_requests(&self) -> bool {
        !self.is_removed.get() && self.entry.borrow().is_ready
    }
}

impl UpstreamView for Upstream {
    fn address(&self) -> SocketAddr {
        self.entry.borrow().address
    }

    fn cuts(&self) -> &CutResponses {
        &self.cuts
    }

    fn connections_before(&self, time: Instant) -> ConnectionCounts {
        let idle = self.pool.idle_before(time);
        ConnectionCounts {
            open: self.pool.in_use_before(time) + idle.open,
            ended: self.cuts.ended_at(time) + idle.ended,
        }
    }

    fn is_replaced(&self) -> bool {
        // One that had said that it leaves has ended for that reason.
        self.is_removed.get() && self.entry.borrow().is_ready
    }
}

/// Registered upstreams, by identifier.
#[derive(Default)]
pub struct Directory {
    upstreams: RefCell<BTreeMap<UpstreamId, Rc<Upstream>>>,
    by_key: RefCell<HashMap<UpstreamKey, Rc<Upstream>>>,
    /// Versions of the registered upstreams, and of those that left lately.
    pub(crate) versions: RefCell<VersionHistory>,
}

impl Directory {
    /// Inserts or updates an upstream that registered at this revision, unless its current entry is
    /// at least as new.
    pub fn put(&self, entry: UpstreamEntry, revision: StoreRevision) {
        self.put_created(entry, revision, revision);
    }

    /// Inserts or updates an upstream whose entry was created at a revision, unless its current
    /// entry is at least as new.
    pub(crate) fn put_created(
        &self,
        entry: UpstreamEntry,
        revision: StoreRevision,
        created: StoreRevision,
    ) {
        let mut registered_at = created;
        let mut upstreams = self.upstreams.borrow_mut();
        if let Some(current) = upstreams.get(&entry.id) {
            if revision <= current.revision.get() {
                return;
            }
            if is_same_incarnation(&current.entry.borrow(), &entry) {
                if current.entry.borrow().is_ready && !entry.is_ready {
                    log_event(&NodeEvent::UpstreamDraining {
                        upstream: &entry.id,
                        at: revision.into(),
                    });
                }
                current.revision.set(revision);
                current.entry.replace(entry);
                return;
            }
            // Another process took over the entry.
            registered_at = revision;
        }
        log_event(&NodeEvent::UpstreamAdded {
            upstream: &entry.id,
            service: &entry.service,
            address: entry.address,
        });
        self.versions.borrow_mut().add(&entry, Instant::now());
        let upstream = Rc::new(Upstream::new(entry, revision, registered_at));
        self.by_key.borrow_mut().insert(upstream.key(), upstream.clone());
        if let Some(replaced) = upstreams.insert(upstream.id(), upstream) {
            self.retire(&replaced);
        }
    }

    /// Takes an upstream out of use that is no longer registered.
    fn retire(&self, upstream: &Upstream) {
        upstream.retire();
        self.versions.borrow_mut().remove(&upstream.entry.borrow(), Instant::now());
    }

    /// Stops sending requests to an upstream whose entry at `revision` says that it is draining or
    /// gone; returns whether the upstream accepted requests until now.
    ///
    /// The entry of that revision still applies, any older one no longer does.
    pub(crate) fn mark_departed(&self, id: &UpstreamId, revision: StoreRevision) -> bool {
        let Some(upstream) = self.get(id) else { return false };
        if upstream.revision.get() >= revision || !upstream.accepts_requests() {
            return false;
        }
        log_event(&NodeEvent::UpstreamDraining { upstream: id, at: revision.into() });
        upstream.entry.borrow_mut().is_ready = false;
        upstream.revision.set(revision.before());
        true
    }

    /// Removes an upstream, unless its current entry is at least as new.
    pub fn remove(&self, id: &UpstreamId, revision: StoreRevision) {
        let mut upstreams = self.upstreams.borrow_mut();
        let is_older = upstreams.get(id).is_some_and(|current| current.revision.get() < revision);
        if is_older && let Some(removed) = upstreams.remove(id) {
            log_event(&NodeEvent::UpstreamRemoved { upstream: id, at: revision.into() });
            self.retire(&removed);
            self.by_key.borrow_mut().remove(&removed.key());
        }
    }

    /// Removes the upstreams whose address is taken by something else; returns their identifiers.
    pub(crate) fn remove_at(&self, is_taken: impl Fn(SocketAddr) -> bool) -> Vec<UpstreamId> {
        let mut upstreams = self.upstreams.borrow_mut();
        let found = upstreams.extract_if(.., |_, up| is_taken(up.entry.borrow().address));
        let removed: Vec<_> = found.collect();
        for (_, upstream) in &removed {
            self.retire(upstream);
            self.by_key.borrow_mut().remove(&upstream.key());
        }
        removed.into_iter().map(|(id, _)| id).collect()
    }

    /// Returns the upstream with an identifier.
    pub fn get(&self, id: &UpstreamId) -> Option<Rc<Upstream>> {
        self.upstreams.borrow().get(id).cloned()
    }

    /// Returns the upstream with a short identifier.
    pub(crate) fn get_by_key(&self, key: UpstreamKey) -> Option<Rc<Upstream>> {
        self.by_key.borrow().get(&key).cloned()
    }

    /// Returns all upstreams.
    pub fn all(&self) -> Vec<Rc<Upstream>> {
        self.upstreams.borrow().values().cloned().collect()
    }

    /// Returns all upstreams of a service, also those that accept no new requests.
    pub fn for_service(&self, service: &ServiceName) -> Vec<Rc<Upstream>> {
        let upstreams = self.upstreams.borrow();
        upstreams.values().filter(|up| up.entry.borrow().service == *service).cloned().collect()
    }

    /// Returns the upstreams of a service that accept new requests.
    pub fn available(&self, service: &ServiceName) -> Vec<Rc<Upstream>> {
        self.for_service(service).into_iter().filter(|up| up.accepts_requests()).collect()
    }
}

fn is_same_incarnation(current: &UpstreamEntry, entry: &UpstreamEntry) -> bool {
    current.address == entry.address
        && current.service == entry.service
        && current.started_at_ms == entry.started_at_ms
        && current.version == entry.version
}
