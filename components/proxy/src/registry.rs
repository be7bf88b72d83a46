//! Registry of upstreams.

use std::{
    collections::{BTreeMap, HashSet},
    sync::{
        Arc, RwLock,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use lycheelatch_config::{Service, Snapshot};
use lycheelatch_prelude::{InstanceId, ServiceName, UpstreamId};
use lycheelatch_provider::{ListedInstance, ListedState};

use crate::{Connect, UpstreamClient};

/// Upstream with its client.
pub struct Upstream {
    /// Entry of the instance list.
    pub listed: ListedInstance,
    /// Client for the upstream.
    pub client: UpstreamClient,
    in_flight: AtomicU32,
}

impl Upstream {
    /// Returns the identity of the upstream.
    pub fn id(&self) -> &UpstreamId {
        &self.listed.upstream
    }

    /// Returns the number of this node's requests in flight at the upstream.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    pub(crate) fn request_started(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn request_finished(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

type ByService = BTreeMap<ServiceName, Vec<Arc<Upstream>>>;

/// Upstreams by service.
///
/// An unchanged upstream keeps its client and counters across updates. If the instance list
/// can't be read, the previous one remains in force.
pub struct Registry {
    connect: Arc<dyn Connect>,
    by_service: ArcSwap<ByService>,
    leaving: RwLock<HashSet<InstanceId>>,
    drained: RwLock<HashSet<UpstreamId>>,
    version: AtomicU64,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new(connect: Arc<dyn Connect>) -> Registry {
        Registry {
            connect,
            by_service: ArcSwap::from_pointee(ByService::new()),
            leaving: RwLock::default(),
            drained: RwLock::default(),
            version: AtomicU64::new(0),
        }
    }

    /// Replaces the upstreams by those of a new instance list.
    pub fn update(&self, config: &Snapshot, listed: Vec<ListedInstance>) {
        let previous = self.by_service.load();
        let mut by_service = ByService::new();
        for listed in listed {
            let Some(service) = config.services.get(&listed.service) else { continue };
            let upstream = self.reuse_or_connect(&previous, service, listed);
            by_service.entry(service.name.clone()).or_default().push(upstream);
        }
        if !is_same(&previous, &by_service) {
            self.by_service.store(Arc::new(by_service));
            self.version.fetch_add(1, Ordering::Release);
        }
    }

    fn reuse_or_connect(
        &self,
        previous: &ByService,
        service: &Service,
        listed: ListedInstance,
    ) -> Arc<Upstream> {
        let existing = previous
            .get(&service.name)
            .and_then(|upstreams| upstreams.iter().find(|upstream| upstream.listed == listed));
        if let Some(existing) = existing {
            return existing.clone();
        }
        let client = self.connect.connect(service, &listed);
        Arc::new(Upstream { listed, client, in_flight: AtomicU32::new(0) })
    }

    /// Sets the instances that are leaving in addition to those marked so in the instance list.
    pub fn set_leaving(&self, leaving: HashSet<InstanceId>) {
        let mut current = self.leaving.write().unwrap();
        if *current != leaving {
            *current = leaving;
            self.version.fetch_add(1, Ordering::Release);
        }
    }

    /// Returns a number that is incremented on every change of the upstreams.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Acquire)
    }

    /// Stops sending this node's new requests to an upstream.
    pub fn drain(&self, upstream: UpstreamId) {
        self.drained.write().unwrap().insert(upstream);
        self.version.fetch_add(1, Ordering::Release);
    }

    /// Returns whether an upstream accepts no new requests.
    pub fn is_leaving(&self, upstream: &Upstream) -> bool {
        upstream.listed.state == ListedState::Leaving
            || self.leaving.read().unwrap().contains(&upstream.listed.instance)
            || self.drained.read().unwrap().contains(upstream.id())
    }

    /// Returns the upstreams of a service that accept new requests.
    pub fn available(&self, service: &ServiceName) -> Vec<Arc<Upstream>> {
        let by_service = self.by_service.load();
        let Some(upstreams) = by_service.get(service) else { return Vec::new() };
        upstreams.iter().filter(|upstream| !self.is_leaving(upstream)).cloned().collect()
    }

    /// Returns an upstream of a service, including leaving ones.
    pub fn get(&self, service: &ServiceName, id: &UpstreamId) -> Option<Arc<Upstream>> {
        let by_service = self.by_service.load();
        by_service.get(service)?.iter().find(|upstream| upstream.id() == id).cloned()
    }

    /// Returns all upstreams, including leaving ones.
    pub fn all(&self) -> Vec<Arc<Upstream>> {
        self.by_service.load().values().flatten().cloned().collect()
    }
}

/// Returns whether both maps hold the same upstreams in the same order.
fn is_same(a: &ByService, b: &ByService) -> bool {
    let is_same_list = |a: &[Arc<Upstream>], b: &[Arc<Upstream>]| {
        a.len() == b.len() && a.iter().zip(b).all(|(a, b)| Arc::ptr_eq(a, b))
    };
    a.len() == b.len() && a.iter().zip(b).all(|((a, xs), (b, ys))| a == b && is_same_list(xs, ys))
}
