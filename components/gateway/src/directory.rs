//! The upstreams that this node knows.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use lycheelatch_prelude::{ServiceName, UpstreamId, ZoneName};
use tokio::time::Instant;

use crate::{
    StoreRevision,
    decision::{Belief, note},
    dialect::ReportedLoad,
    engine_load::EngineLoad,
    health::Health,
    pool::Pool,
};

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Identity.
    pub id: UpstreamId,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub is_ready: bool,
    /// Whether the cloud may take it back.
    pub is_reclaimable: bool,
    /// Time until it goes, if it knows.
    pub shutdown_in: Option<Duration>,
    /// Start of this incarnation, in milliseconds since 1970.
    pub started_at_ms: Option<u64>,
}

/// One upstream.
pub struct Upstream {
    /// What it says of itself.
    pub entry: RefCell<UpstreamEntry>,
    /// Requests of this node that it runs.
    pub running: Cell<u32>,
    /// Requests of the other nodes, as they said last.
    pub running_elsewhere: Cell<u32>,
    /// Load that it reported last.
    pub reported_load: Cell<Option<(ReportedLoad, Instant)>>,
    /// What is believed of its engine.
    pub load: RefCell<EngineLoad>,
    /// Whether its answers are good.
    pub(crate) health: RefCell<Health>,
    pub(crate) pool: Pool,
    revision: Cell<StoreRevision>,
    gone: Cell<bool>,
}

impl Upstream {
    fn new(entry: UpstreamEntry, revision: StoreRevision) -> Upstream {
        Upstream {
            entry: RefCell::new(entry),
            running: Cell::new(0),
            running_elsewhere: Cell::new(0),
            reported_load: Cell::new(None),
            load: RefCell::default(),
            health: RefCell::default(),
            pool: Pool::default(),
            revision: Cell::new(revision),
            gone: Cell::new(false),
        }
    }

    /// Returns the identity.
    pub fn id(&self) -> UpstreamId {
        self.entry.borrow().id.clone()
    }

    /// Returns whether it gets no work for a while, by answers that this node or others had.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.health.borrow().is_ejected(now)
    }

    /// Returns whether it takes new requests.
    pub fn accepts_requests(&self) -> bool {
        !self.gone.get() && self.entry.borrow().is_ready
    }
}

/// The upstreams that this node knows, by identity.
#[derive(Default)]
pub struct Directory {
    upstreams: RefCell<BTreeMap<UpstreamId, Rc<Upstream>>>,
}

impl Directory {
    /// Takes over what an upstream wrote; an older entry replaces nothing.
    pub fn put(&self, entry: UpstreamEntry, revision: StoreRevision) {
        let mut upstreams = self.upstreams.borrow_mut();
        if let Some(known) = upstreams.get(&entry.id) {
            if revision <= known.revision.get() {
                return;
            }
            if is_same_incarnation(&known.entry.borrow(), &entry) {
                if known.entry.borrow().is_ready && !entry.is_ready {
                    note(&Belief::UpstreamDrains { upstream: &entry.id, revision: revision.0 });
                }
                known.revision.set(revision);
                known.entry.replace(entry);
                return;
            }
        }
        note(&Belief::UpstreamCame {
            upstream: &entry.id,
            service: &entry.service,
            address: entry.address,
        });
        let upstream = Rc::new(Upstream::new(entry, revision));
        if let Some(before) = upstreams.insert(upstream.id(), upstream) {
            before.gone.set(true);
            before.pool.clear();
        }
    }

    /// Removes an upstream, unless a newer entry is known.
    pub fn remove(&self, id: &UpstreamId, revision: StoreRevision) {
        let mut upstreams = self.upstreams.borrow_mut();
        let is_older = upstreams.get(id).is_some_and(|known| known.revision.get() < revision);
        if is_older && let Some(gone) = upstreams.remove(id) {
            note(&Belief::UpstreamGone { upstream: id, revision: revision.0 });
            gone.gone.set(true);
            gone.pool.clear();
        }
    }

    /// Returns an upstream.
    pub fn get(&self, id: &UpstreamId) -> Option<Rc<Upstream>> {
        self.upstreams.borrow().get(id).cloned()
    }

    /// Returns every upstream.
    pub fn all(&self) -> Vec<Rc<Upstream>> {
        self.upstreams.borrow().values().cloned().collect()
    }

    /// Returns the upstreams of a service, leaving or not.
    pub fn for_service(&self, service: &ServiceName) -> Vec<Rc<Upstream>> {
        let upstreams = self.upstreams.borrow();
        upstreams.values().filter(|up| up.entry.borrow().service == *service).cloned().collect()
    }

    /// Returns the upstreams of a service that take new requests.
    pub fn available(&self, service: &ServiceName) -> Vec<Rc<Upstream>> {
        self.for_service(service).into_iter().filter(|up| up.accepts_requests()).collect()
    }
}

fn is_same_incarnation(known: &UpstreamEntry, entry: &UpstreamEntry) -> bool {
    known.address == entry.address
        && known.service == entry.service
        && known.started_at_ms == entry.started_at_ms
}
