//! All upstreams as seen by the local node, updated in place.

use std::collections::HashMap;

use lycheelatch_config::{PlacementRule, Service, ServiceKind};
use lycheelatch_prelude::{RegionName, ServiceName, UpstreamId, ZoneName};
use tokio::time::Instant;

use super::{
    Candidate, CandidateState, rendezvous::Groups, rules::ResolvedRules, upstream::UpstreamView,
};
use crate::{
    ConcurrencyLimit,
    bits::BitSet,
    decay::MovingMean,
    ejection::{EjectionAction, MAX_EJECTED_PERCENT},
    prefix_index::PrefixIndex,
};

/// Assumed tokens of a request to a model service before the first one was measured.
const DEFAULT_MODEL_COST: u64 = 2048;

/// Time after a service's first upstream within which others join without a slow start.
const FIRST_JOIN_WINDOW: std::time::Duration = std::time::Duration::from_secs(5);

/// Weight of a new sample in the moving mean of uncached prompt tokens.
const UNCACHED_TOKENS_GAIN: f64 = 0.02;

/// Relative step of the quantile estimate of the time to the first byte.
const FIRST_BYTE_STEP: f64 = 0.01;

/// Quantile of the time to the first byte that is estimated.
const FIRST_BYTE_QUANTILE: f64 = 0.9;

/// The upstreams of one service.
///
/// An upstream's position is its index in `slots`, its slot its index in [`FleetView`].
#[derive(Debug)]
pub(crate) struct ServiceView {
    pub(crate) service: Service,
    /// Slots of the upstreams by position.
    pub(crate) slots: Vec<u32>,
    /// Rendezvous hashing seeds of the upstreams by position.
    pub(crate) seeds: Vec<u64>,
    pub(crate) groups: Groups,
    /// Positions of live upstreams.
    pub(crate) live: BitSet,
    /// Positions of live upstreams that are not ejected.
    pub(crate) usable: BitSet,
    /// Slots of ejected upstreams.
    pub(crate) ejected: Vec<u32>,
    pub(crate) rules: ResolvedRules,
    pub(crate) prefix_index: PrefixIndex,
    /// Requests in flight from the local node.
    pub(crate) requests: u32,
    /// Mean number of uncached prompt tokens per request.
    pub(crate) mean_uncached_tokens: MovingMean,
    /// Estimated 90th percentile of the time to the first byte, in seconds.
    first_byte_p90: Option<f64>,
    /// Sum of [`ConcurrencyLimit::capacity`] over the upstreams, in the units of the service.
    capacity: u64,
    /// Time when the first upstream was added.
    first_join: Option<Instant>,
}

impl ServiceView {
    fn new(service: Service) -> ServiceView {
        ServiceView {
            service,
            slots: Vec::new(),
            seeds: Vec::new(),
            groups: Groups::default(),
            live: BitSet::default(),
            usable: BitSet::default(),
            ejected: Vec::new(),
            rules: ResolvedRules::default(),
            prefix_index: PrefixIndex::default(),
            requests: 0,
            mean_uncached_tokens: MovingMean::new(UNCACHED_TOKENS_GAIN),
            first_byte_p90: None,
            capacity: 0,
            first_join: None,
        }
    }

    fn default_cost(&self) -> u64 {
        match self.service.kind {
            ServiceKind::Model => DEFAULT_MODEL_COST,
            ServiceKind::Plain => 1,
        }
    }

    /// Returns the estimated 90th percentile of the time to the first byte, in seconds.
    ///
    /// Updates the estimate with the sample `secs` only if `update` is set; the caller sets it if
    /// the upstream's queue was empty.
    pub(crate) fn first_byte_p90(&mut self, secs: f64, update: bool) -> f64 {
        let p90 = self.first_byte_p90.get_or_insert(secs);
        if update {
            let is_below = f64::from(secs < *p90);
            *p90 *= 1.0 + FIRST_BYTE_STEP * (FIRST_BYTE_QUANTILE - is_below);
        }
        *p90
    }
}

/// The upstreams of all services.
///
/// Its size grows with the number of upstreams only, not with that of nodes or workspaces.
#[derive(Debug, Default)]
pub(crate) struct FleetView {
    /// Upstreams by slot.
    upstreams: Vec<Option<UpstreamView>>,
    /// Unused slots.
    free_slots: Vec<u32>,
    by_id: HashMap<UpstreamId, u32>,
    services: HashMap<ServiceName, ServiceView>,
    regions: HashMap<ZoneName, RegionName>,
    /// Generation of the most recently added upstream.
    last_generation: u32,
}

impl FleetView {
    /// Adds a service or changes its settings and rules.
    pub(crate) fn set_service(&mut self, service: &Service, rules: Vec<PlacementRule>) {
        let upstreams = &mut self.upstreams;
        let view = self
            .services
            .entry(service.name.clone())
            .or_insert_with(|| ServiceView::new(service.clone()));
        view.service = service.clone();
        view.rules = ResolvedRules::new(rules);
        for (position, slot) in view.slots.iter().enumerate() {
            if let Some(upstream) = &mut upstreams[*slot as usize] {
                upstream.limit.set_max_requests(service.limits.max_in_flight_per_upstream);
                view.rules.put(position, &upstream.candidate.labels, upstream.limit.requests());
            }
        }
    }

    /// Removes a service and its upstreams.
    pub(crate) fn remove_service(&mut self, service: &ServiceName) {
        let ids: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .flatten()
            .filter(|upstream| upstream.service == *service)
            .map(|upstream| upstream.candidate.id.clone())
            .collect();
        for id in ids {
            self.remove(&id);
        }
        self.services.remove(service);
    }

    /// Returns the names of the services.
    pub(crate) fn service_names(&self) -> Vec<ServiceName> {
        self.services.keys().cloned().collect()
    }

    /// Adds or updates an upstream; returns false if the service does not exist.
    pub(crate) fn put(&mut self, now: Instant, service: &ServiceName, new: Candidate) -> bool {
        if !self.services.contains_key(service) {
            return false;
        }
        if let Some(slot) = self.slot(&new.id) {
            if self.can_update(slot, service, &new) {
                let id = new.id.clone();
                self.update(slot, |upstream| upstream.candidate = new);
                self.refresh(&id);
                return true;
            }
            let id = new.id.clone();
            self.remove(&id);
        }
        self.insert(now, service, new);
        true
    }

    /// Returns whether an upstream can be updated in place, which keeps its learned state.
    fn can_update(&self, slot: u32, service: &ServiceName, new: &Candidate) -> bool {
        let upstream = self.upstream(slot);
        upstream.service == *service && upstream.candidate.labels == new.labels
    }

    fn insert(&mut self, now: Instant, service: &ServiceName, new: Candidate) {
        self.last_generation += 1;
        let generation = self.last_generation;
        let Some(view) = self.services.get_mut(service) else {
            return;
        };
        self.regions.insert(new.zone.clone(), new.region.clone());
        let first_join = *view.first_join.get_or_insert(now);
        let needs_slow_start = now.saturating_duration_since(first_join) > FIRST_JOIN_WINDOW;
        let max_requests = view.service.limits.max_in_flight_per_upstream;
        let limit = ConcurrencyLimit::new(view.default_cost(), max_requests, needs_slow_start);
        let mut upstream = UpstreamView::new(new, service.clone(), generation, limit);
        upstream.position = view.slots.len();
        let slot = self.free_slots.pop().unwrap_or(self.upstreams.len() as u32);
        view.slots.push(slot);
        view.seeds.push(upstream.seed);
        view.groups.insert(upstream.seed, upstream.position);
        view.rules.put(upstream.position, &upstream.candidate.labels, 0);
        let id = upstream.candidate.id.clone();
        self.by_id.insert(id.clone(), slot);
        if slot as usize == self.upstreams.len() {
            self.upstreams.push(Some(upstream));
        } else {
            self.upstreams[slot as usize] = Some(upstream);
        }
        self.refresh(&id);
    }

    /// Removes an upstream.
    pub(crate) fn remove(&mut self, id: &UpstreamId) {
        let Some(slot) = self.by_id.remove(id) else {
            return;
        };
        let Some(upstream) = self.upstreams[slot as usize].take() else {
            return;
        };
        self.free_slots.push(slot);
        let Some(view) = self.services.get_mut(&upstream.service) else {
            return;
        };
        let (position, last) = (upstream.position, view.slots.len() - 1);
        view.capacity -= upstream.limit.capacity(view.usable.get(position));
        view.requests -= upstream.limit.requests();
        view.ejected.retain(|other| *other != slot);
        let last_seed = view.seeds[last];
        view.groups.swap_remove((upstream.seed, position), (last_seed, last));
        view.slots.swap_remove(position);
        view.seeds.swap_remove(position);
        view.rules.swap_remove(position, last, upstream.limit.requests());
        for bits in [&mut view.live, &mut view.usable] {
            bits.set(position, bits.get(last));
            bits.set(last, false);
        }
        if let Some(moved) = view.slots.get(position)
            && let Some(moved) = &mut self.upstreams[*moved as usize]
        {
            moved.position = position;
        }
    }

    /// Changes whether an upstream takes new work.
    pub(crate) fn set_state(&mut self, id: &UpstreamId, state: CandidateState) {
        if let Some(slot) = self.slot(id) {
            self.update(slot, |upstream| upstream.candidate.state = state);
            self.refresh(id);
        }
    }

    /// Returns the identities of all upstreams.
    pub(crate) fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.by_id.keys()
    }

    /// Returns the slot of an upstream.
    pub(crate) fn slot(&self, id: &UpstreamId) -> Option<u32> {
        self.by_id.get(id).copied()
    }

    /// Returns the slot of an attempt if its upstream has not been removed since.
    pub(crate) fn current_slot(&self, slot: u32, generation: u32) -> Option<u32> {
        let upstream = self.upstreams.get(slot as usize)?.as_ref()?;
        (upstream.generation == generation).then_some(slot)
    }

    /// Returns the upstream in a slot that is in use.
    pub(crate) fn upstream(&self, slot: u32) -> &UpstreamView {
        self.upstreams[slot as usize].as_ref().expect("a slot of a service is in use")
    }

    /// Returns the upstream in a slot if it belongs to `service`.
    pub(crate) fn upstream_of_service(
        &self,
        slot: u32,
        service: &ServiceName,
    ) -> Option<&UpstreamView> {
        let upstream = self.upstreams.get(slot as usize)?.as_ref()?;
        (upstream.service == *service).then_some(upstream)
    }

    /// Returns the upstreams of a service.
    pub(crate) fn service(&self, service: &ServiceName) -> Option<&ServiceView> {
        self.services.get(service)
    }

    /// Returns the upstream in a slot and the view of its service.
    pub(crate) fn view_and_upstream(
        &mut self,
        slot: u32,
    ) -> Option<(&mut ServiceView, &mut UpstreamView)> {
        let upstream = self.upstreams[slot as usize].as_mut()?;
        let view = self.services.get_mut(&upstream.service)?;
        Some((view, upstream))
    }

    /// Returns the work that the upstreams of a service accept at once, in its units.
    pub(crate) fn capacity(&self, service: &ServiceName) -> u64 {
        self.services.get(service).map_or(0, |view| view.capacity)
    }

    /// Changes an upstream and updates the capacity and request count of its service.
    pub(crate) fn update(&mut self, slot: u32, change: impl FnOnce(&mut UpstreamView)) {
        let Some((view, upstream)) = self.view_and_upstream(slot) else {
            return;
        };
        let is_usable = view.usable.get(upstream.position);
        view.capacity -= upstream.limit.capacity(is_usable);
        view.requests -= upstream.limit.requests();
        change(upstream);
        view.capacity += upstream.limit.capacity(is_usable);
        view.requests += upstream.limit.requests();
    }

    /// Records whether an attempt succeeded, and ejects or reinstates the upstream accordingly.
    pub(crate) fn record_result(&mut self, now: Instant, slot: u32, ok: bool) {
        let Some((view, upstream)) = self.view_and_upstream(slot) else {
            return;
        };
        let id = upstream.candidate.id.clone();
        match upstream.ejection.record_result(now, ok) {
            EjectionAction::None => return,
            EjectionAction::Eject => {
                let cap = view.live.count() * MAX_EJECTED_PERCENT / 100;
                if view.ejected.len() >= cap {
                    return;
                }
                upstream.ejection.eject(now);
                view.ejected.push(slot);
            }
            EjectionAction::Restore => {
                view.ejected.retain(|other| *other != slot);
                self.update(slot, |upstream| upstream.limit.enter_slow_start());
            }
        }
        self.refresh(&id);
    }

    /// Recomputes whether an upstream is live and usable.
    fn refresh(&mut self, id: &UpstreamId) {
        let Some((view, upstream)) = self.slot(id).and_then(|slot| self.view_and_upstream(slot))
        else {
            return;
        };
        let is_live = upstream.candidate.state == CandidateState::Live;
        let is_usable = is_live && !upstream.ejection.is_ejected();
        let was_usable = view.usable.get(upstream.position);
        view.live.set(upstream.position, is_live);
        view.usable.set(upstream.position, is_usable);
        view.capacity -= upstream.limit.capacity(was_usable);
        view.capacity += upstream.limit.capacity(is_usable);
    }

    /// Returns the region of an availability zone if any upstream has been there.
    pub(crate) fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// Returns the memory used by the upstreams in bytes, without names and labels.
    pub(crate) fn bytes(&self) -> usize {
        let records = self.upstreams.capacity() * size_of::<Option<UpstreamView>>();
        let ids = self.by_id.capacity() * (size_of::<(UpstreamId, u32)>() + 1);
        let views = self.services.values().map(|view| {
            let arrays = view.slots.capacity() * 4 + view.seeds.capacity() * 8;
            arrays + view.groups.bytes() + view.prefix_index.bytes()
        });
        records + ids + views.sum::<usize>()
    }
}
