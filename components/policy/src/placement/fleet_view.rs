//! The upstreams as one node knows them, updated in place.

use std::collections::HashMap;

use lycheelatch_config::{PlacementRule, Service, ServiceKind};
use lycheelatch_prelude::{RegionName, ServiceName, UpstreamId, ZoneName};
use tokio::time::Instant;

use super::{Candidate, CandidateState, rendezvous::Groups, rules::WorkedRules, upstream::Known};
use crate::{
    ConcurrencyLimit,
    bits::BitSet,
    decay::MovingMean,
    ejection::{Change, MAX_EJECTED_PERCENT},
    prefix_memory::PrefixMemory,
};

/// Tokens that a request to a model service brings, before any was seen.
const USUAL_MODEL_COST: u64 = 2048;

/// Upstreams that join within this time of their service's first start at full speed.
const FIRST_JOIN_WINDOW: std::time::Duration = std::time::Duration::from_secs(5);

/// Weight of a new sample in the mean of computed prompt tokens.
const FRESH_TOKENS_GAIN: f64 = 0.02;

/// Step of the estimate of the usual time to the first byte, as a share of it.
const USUAL_TIME_STEP: f64 = 0.01;

/// Share of the answers that come faster than the usual time.
const USUAL_TIME_QUANTILE: f64 = 0.9;

/// The upstreams of one service, by position.
#[derive(Debug)]
pub(crate) struct ServiceView {
    pub(crate) service: Service,
    pub(crate) slots: Vec<u32>,
    pub(crate) seeds: Vec<u64>,
    pub(crate) groups: Groups,
    /// Live upstreams.
    pub(crate) live: BitSet,
    /// Live upstreams that are not left out for failures.
    pub(crate) usable: BitSet,
    /// Slots that are left out for failures.
    pub(crate) out: Vec<u32>,
    pub(crate) rules: WorkedRules,
    pub(crate) memory: PrefixMemory,
    /// Requests of this node in flight.
    pub(crate) requests: u32,
    pub(crate) fresh_tokens: MovingMean,
    usual_first_byte: Option<f64>,
    capacity: u64,
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
            out: Vec::new(),
            rules: WorkedRules::default(),
            memory: PrefixMemory::default(),
            requests: 0,
            fresh_tokens: MovingMean::new(FRESH_TOKENS_GAIN),
            usual_first_byte: None,
            capacity: 0,
            first_join: None,
        }
    }

    fn usual_cost(&self) -> u64 {
        match self.service.kind {
            ServiceKind::Model => USUAL_MODEL_COST,
            ServiceKind::Plain => 1,
        }
    }

    /// Returns the time, in seconds, within which most first bytes come.
    ///
    /// Learns from `secs` if it comes from an upstream where nothing waits.
    pub(crate) fn usual_first_byte(&mut self, secs: f64, learn: bool) -> f64 {
        let usual = self.usual_first_byte.get_or_insert(secs);
        if learn {
            let is_below = f64::from(secs < *usual);
            *usual *= 1.0 + USUAL_TIME_STEP * (USUAL_TIME_QUANTILE - is_below);
        }
        *usual
    }
}

/// The upstreams of all services.
///
/// Holds one record for each upstream and nothing for each pair of upstream
/// and node or upstream and workspace.
#[derive(Debug, Default)]
pub(crate) struct FleetView {
    known: Vec<Option<Known>>,
    free: Vec<u32>,
    by_id: HashMap<UpstreamId, u32>,
    services: HashMap<ServiceName, ServiceView>,
    regions: HashMap<ZoneName, RegionName>,
    stays: u32,
}

impl FleetView {
    /// Adds a service or changes its settings and rules.
    pub(crate) fn set_service(&mut self, service: &Service, rules: Vec<PlacementRule>) {
        let known = &mut self.known;
        let view = self
            .services
            .entry(service.name.clone())
            .or_insert_with(|| ServiceView::new(service.clone()));
        view.service = service.clone();
        view.rules = WorkedRules::new(rules);
        for (position, slot) in view.slots.iter().enumerate() {
            if let Some(known) = &mut known[*slot as usize] {
                known.limit.set_max_requests(service.limits.max_in_flight_per_upstream);
                view.rules.put(position, &known.candidate.labels, known.limit.requests());
            }
        }
    }

    /// Forgets a service and its upstreams.
    pub(crate) fn remove_service(&mut self, service: &ServiceName) {
        let ids: Vec<UpstreamId> = self
            .known
            .iter()
            .flatten()
            .filter(|known| known.service == *service)
            .map(|known| known.candidate.id.clone())
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

    /// Adds an upstream, or changes what is known of it; false if there is no such service.
    pub(crate) fn put(&mut self, now: Instant, service: &ServiceName, new: Candidate) -> bool {
        if !self.services.contains_key(service) {
            return false;
        }
        if let Some(slot) = self.slot(&new.id) {
            if self.is_same(slot, service, &new) {
                let id = new.id.clone();
                self.change(slot, |known| known.candidate = new);
                self.refresh(&id);
                return true;
            }
            let id = new.id.clone();
            self.remove(&id);
        }
        self.insert(now, service, new);
        true
    }

    fn is_same(&self, slot: u32, service: &ServiceName, new: &Candidate) -> bool {
        let known = self.known(slot);
        known.service == *service && known.candidate.labels == new.labels
    }

    fn insert(&mut self, now: Instant, service: &ServiceName, new: Candidate) {
        self.stays += 1;
        let stay = self.stays;
        let Some(view) = self.services.get_mut(service) else {
            return;
        };
        self.regions.insert(new.zone.clone(), new.region.clone());
        let first_join = *view.first_join.get_or_insert(now);
        let is_fresh = now.saturating_duration_since(first_join) > FIRST_JOIN_WINDOW;
        let max_requests = view.service.limits.max_in_flight_per_upstream;
        let limit = ConcurrencyLimit::new(view.usual_cost(), max_requests, is_fresh);
        let mut known = Known::new(new, service.clone(), stay, limit);
        known.position = view.slots.len();
        let slot = self.free.pop().unwrap_or(self.known.len() as u32);
        view.slots.push(slot);
        view.seeds.push(known.seed);
        view.groups.put(known.seed, known.position);
        view.rules.put(known.position, &known.candidate.labels, 0);
        let id = known.candidate.id.clone();
        self.by_id.insert(id.clone(), slot);
        if slot as usize == self.known.len() {
            self.known.push(Some(known));
        } else {
            self.known[slot as usize] = Some(known);
        }
        self.refresh(&id);
    }

    /// Forgets an upstream.
    pub(crate) fn remove(&mut self, id: &UpstreamId) {
        let Some(slot) = self.by_id.remove(id) else {
            return;
        };
        let Some(known) = self.known[slot as usize].take() else {
            return;
        };
        self.free.push(slot);
        let Some(view) = self.services.get_mut(&known.service) else {
            return;
        };
        let (position, last) = (known.position, view.slots.len() - 1);
        view.capacity -= known.limit.capacity(view.usable.get(position));
        view.requests -= known.limit.requests();
        view.out.retain(|other| *other != slot);
        let last_seed = view.seeds[last];
        view.groups.swap_remove((known.seed, position), (last_seed, last));
        view.slots.swap_remove(position);
        view.seeds.swap_remove(position);
        view.rules.swap_remove(position, last, known.limit.requests());
        for bits in [&mut view.live, &mut view.usable] {
            bits.set(position, bits.get(last));
            bits.set(last, false);
        }
        if let Some(moved) = view.slots.get(position)
            && let Some(moved) = &mut self.known[*moved as usize]
        {
            moved.position = position;
        }
    }

    /// Changes whether an upstream takes new work.
    pub(crate) fn set_state(&mut self, id: &UpstreamId, state: CandidateState) {
        if let Some(slot) = self.slot(id) {
            self.change(slot, |known| known.candidate.state = state);
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

    /// Returns the slot of an attempt, if its upstream is still there.
    pub(crate) fn slot_of_stay(&self, slot: u32, stay: u32) -> Option<u32> {
        let known = self.known.get(slot as usize)?.as_ref()?;
        (known.stay == stay).then_some(slot)
    }

    /// Returns what is known of the upstream in a slot that is in use.
    pub(crate) fn known(&self, slot: u32) -> &Known {
        self.known[slot as usize].as_ref().expect("a slot of a service is in use")
    }

    /// Returns what is known of the upstream in a slot, if it belongs to a service.
    pub(crate) fn known_in(&self, slot: u32, service: &ServiceName) -> Option<&Known> {
        let known = self.known.get(slot as usize)?.as_ref()?;
        (known.service == *service).then_some(known)
    }

    /// Returns the upstreams of a service.
    pub(crate) fn service(&self, service: &ServiceName) -> Option<&ServiceView> {
        self.services.get(service)
    }

    /// Returns the view of the service of a slot.
    pub(crate) fn view_of(&mut self, slot: u32) -> Option<(&mut ServiceView, &mut Known)> {
        let known = self.known[slot as usize].as_mut()?;
        let view = self.services.get_mut(&known.service)?;
        Some((view, known))
    }

    /// Returns the work that the usable upstreams of a service take at once.
    pub(crate) fn capacity(&self, service: &ServiceName) -> u64 {
        self.services.get(service).map_or(0, |view| view.capacity)
    }

    /// Changes what is known of an upstream and keeps the service's capacity in step.
    pub(crate) fn change(&mut self, slot: u32, change: impl FnOnce(&mut Known)) {
        let Some((view, known)) = self.view_of(slot) else {
            return;
        };
        let is_usable = view.usable.get(known.position);
        view.capacity -= known.limit.capacity(is_usable);
        view.requests -= known.limit.requests();
        change(known);
        view.capacity += known.limit.capacity(is_usable);
        view.requests += known.limit.requests();
    }

    /// Records an answer or a failure and leaves the upstream out, or takes it back.
    pub(crate) fn observe(&mut self, now: Instant, slot: u32, ok: bool) {
        let Some((view, known)) = self.view_of(slot) else {
            return;
        };
        let id = known.candidate.id.clone();
        match known.ejection.observe(now, ok) {
            Change::None => return,
            Change::Eject => {
                let cap = view.live.count() * MAX_EJECTED_PERCENT / 100;
                if view.out.len() >= cap {
                    return;
                }
                known.ejection.eject(now);
                view.out.push(slot);
            }
            Change::Return => {
                view.out.retain(|other| *other != slot);
                self.change(slot, |known| known.limit.start_slowly());
            }
        }
        self.refresh(&id);
    }

    /// Works out anew whether an upstream is used.
    fn refresh(&mut self, id: &UpstreamId) {
        let Some((view, known)) = self.slot(id).and_then(|slot| self.view_of(slot)) else {
            return;
        };
        let is_live = known.candidate.state == CandidateState::Live;
        let is_usable = is_live && !known.ejection.is_out();
        let was_usable = view.usable.get(known.position);
        view.live.set(known.position, is_live);
        view.usable.set(known.position, is_usable);
        view.capacity -= known.limit.capacity(was_usable);
        view.capacity += known.limit.capacity(is_usable);
    }

    /// Returns the region of an availability zone, if an upstream was ever there.
    pub(crate) fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// Returns the bytes that the records of the upstreams take, without names and labels.
    pub(crate) fn bytes(&self) -> usize {
        let records = self.known.capacity() * size_of::<Option<Known>>();
        let ids = self.by_id.capacity() * (size_of::<(UpstreamId, u32)>() + 1);
        let views = self.services.values().map(|view| {
            let arrays = view.slots.capacity() * 4 + view.seeds.capacity() * 8;
            arrays + view.groups.bytes() + view.memory.bytes()
        });
        records + ids + views.sum::<usize>()
    }
}
