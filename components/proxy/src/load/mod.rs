//! Admission, placement and retries by the policies of `lycheelatch-policy`.

mod admit;
mod crashes;
mod engine_check;
mod failure_reports;
mod place;
mod poll;
mod prompt;
mod retry;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use lycheelatch_config::Snapshot;
use lycheelatch_peers::PeerLink;
use lycheelatch_policy::{
    Admission, Candidate, CandidateState, Dequeued, Explanation, Permit, Placement,
    PlacementRequest, Refusal, Ticket,
};
use lycheelatch_prelude::{Revision, ServiceName, UpstreamId, ZoneName};
use lycheelatch_upstream::{CacheEvents, LoadReport};
use tokio::{sync::oneshot, time::Instant};

use crate::{Registry, Upstream};

pub use admit::AdmitByPolicy;
pub use crashes::{CrashWatch, exchange_crash_evidence};
pub use failure_reports::report_failures;
pub use place::PlaceByPolicy;
pub use poll::{node_seed, poll_engines};
pub(crate) use prompt::Prompt;
pub use retry::RetryByPolicy;

/// Price per hour of an instance with unknown price.
const UNKNOWN_PRICE: f64 = 0.0;

/// Sends the admission decision to a queued request.
type DecisionSender = oneshot::Sender<Result<Permit, Refusal>>;

/// State of the policies, with the queued requests that wait for a decision.
struct State {
    admission: Admission,
    placement: Placement,
    waiting: HashMap<Ticket, DecisionSender>,
    synced: Option<(Revision, u64, usize)>,
}

/// Load control of a node: state shared by its admission, placement and retries.
pub struct LoadControl {
    registry: Arc<Registry>,
    zone: ZoneName,
    nodes: AtomicUsize,
    link: OnceLock<Arc<dyn PeerLink>>,
    state: Mutex<State>,
    /// Evidence of crashes.
    pub crashes: Arc<CrashWatch>,
}

impl LoadControl {
    /// Creates the load control of a node in `zone`; `seed` initialises its random choices.
    pub fn new(registry: Arc<Registry>, zone: ZoneName, seed: u64) -> LoadControl {
        LoadControl {
            registry,
            zone,
            nodes: AtomicUsize::new(1),
            link: OnceLock::new(),
            state: Mutex::new(State {
                admission: Admission::new(seed),
                placement: Placement::new(seed),
                waiting: HashMap::new(),
                synced: None,
            }),
            crashes: Arc::default(),
        }
    }

    /// Sets the number of nodes among which the rate limits of workspaces are divided.
    pub fn set_nodes(&self, nodes: usize) {
        self.nodes.store(nodes.max(1), Ordering::Relaxed);
    }

    /// Applies a load report of an upstream.
    pub fn apply_load_report(&self, id: &UpstreamId, report: &LoadReport) {
        let now = Instant::now();
        let mut state = self.lock();
        state.placement.apply_load_report(id, now, report);
        state.process_queue(now);
    }

    /// Applies cache events of an upstream.
    pub fn apply_cache_events(&self, id: &UpstreamId, events: &CacheEvents) {
        self.lock().placement.apply_cache_events(id, Instant::now(), events);
    }

    /// Explains the placement of a request without starting an attempt.
    pub fn explain(&self, config: &Snapshot, req: &PlacementRequest<'_>) -> Explanation {
        let mut state = self.lock();
        self.sync(&mut state, config, Instant::now());
        state.placement.explain(Instant::now(), req)
    }

    /// Returns the availability zone of the node.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // After a panic while the lock was held, counts may be slightly wrong but stay usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the policies if the configuration, the upstreams or the number of nodes changed.
    fn sync(&self, state: &mut State, config: &Snapshot, now: Instant) {
        let nodes = self.nodes.load(Ordering::Relaxed);
        let synced = Some((config.revision, self.registry.version(), nodes));
        let is_older = state.synced.is_some_and(|(revision, ..)| config.revision < revision);
        if state.synced == synced || is_older {
            return;
        }
        state.admission.configure(config, nodes);
        state.placement.configure(config);
        let mut removed = state.placement.upstreams();
        for upstream in self.registry.all() {
            removed.remove(upstream.id());
            state.placement.put(now, &upstream.listed.service, self.candidate(&upstream));
        }
        for id in removed {
            state.placement.remove(&id);
        }
        state.synced = synced;
        state.update_capacities(config.services.keys());
        state.process_queue(now);
    }

    fn candidate(&self, upstream: &Upstream) -> Candidate {
        let listed = &upstream.listed;
        let is_leaving = self.registry.is_leaving(upstream);
        Candidate {
            id: listed.upstream.clone(),
            zone: listed.zone.clone(),
            region: listed.region.clone(),
            labels: listed.labels.clone(),
            price_per_hour: UNKNOWN_PRICE,
            reclaimable: listed.purchase == lycheelatch_provider::Purchase::Reclaimable,
            state: if is_leaving { CandidateState::Leaving } else { CandidateState::Live },
        }
    }
}

impl State {
    /// Sends the decisions on queued requests that can be admitted or must be dropped.
    fn process_queue(&mut self, now: Instant) {
        let services = self.admission.waiting_services();
        self.update_capacities(services.iter());
        while let Some(dequeued) = self.admission.dequeue(now) {
            let (ticket, result) = match dequeued {
                Dequeued::Admitted(ticket, permit) => (ticket, Ok(permit)),
                Dequeued::Dropped(ticket, refusal) => (ticket, Err(refusal)),
            };
            let undelivered = match self.waiting.remove(&ticket) {
                Some(tx) => tx.send(result),
                None => Err(result),
            };
            if let Err(Ok(permit)) = undelivered {
                let outcome = lycheelatch_prelude::Outcome::NotRun;
                self.admission.release(permit, now, outcome);
            }
        }
    }

    fn update_capacities<'a>(&mut self, services: impl Iterator<Item = &'a ServiceName>) {
        for service in services {
            let units = self.placement.capacity(service);
            self.admission.set_capacity(service, units);
        }
    }
}
