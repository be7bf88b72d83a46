//! Chooses the upstream that a request goes to.

mod candidate;
mod explain;
mod fleet_view;
mod rendezvous;
mod rules;
mod score;
mod upstream;

use std::{collections::HashSet, time::Duration};

use lycheelatch_config::{PlacementRule, Service, ServiceKind, Snapshot};
use lycheelatch_prelude::{ServiceName, UpstreamId};
use lycheelatch_upstream::{CacheEvent, CacheEvents, LoadReport};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

pub use candidate::{
    AttemptHandle, AttemptResult, Candidate, CandidateState, Choice, PlacementError,
    PlacementRequest,
};
pub use explain::{Explanation, ScoredUpstream};
pub use score::{Affinity, ScoreTerms};

use crate::{
    BlockHash, Pace,
    bits::BitSet,
    prefix::{BLOCK_TOKENS, event_blocks},
    prefix_memory::{CacheClock, MAX_MATCHES},
};
use fleet_view::{FleetView, ServiceView};
use rendezvous::{CHOICES, first_choices};
use score::{Score, Scoring};

/// Most upstreams of a service that are all scored.
const FULL_SCAN: usize = 48;

/// Upstreams that are scored besides the ones that a prefix speaks for.
const RANDOM_PICKS: usize = 6;

/// Most upstreams that are scored for one request of a large service.
const MAX_SCORED: usize = MAX_MATCHES + CHOICES + RANDOM_PICKS;

/// Part of a cache that may have changed in a gap between cache events.
const GAP_PART: u64 = 8;

/// Multiple of the usual time to the first byte that counts as late.
const LATE_FACTOR: f64 = 2.0;

/// Prompt tokens that an engine computes in a second, at the least.
const MIN_PREFILL_TOKENS_PER_SECOND: f64 = 4000.0;

/// Chooses upstreams by the operators' rules, then by what the caches hold,
/// the load, the price and the way.
///
/// Its state grows with the upstreams and with the prompts that this node has
/// seen lately, never with the number of nodes.
#[derive(Debug)]
pub struct Placement {
    fleet: FleetView,
    eligible: BitSet,
    preferred: BitSet,
    rng: SmallRng,
}

impl Placement {
    /// Creates a placement that knows no service; `seed` decides its random picks.
    pub fn new(seed: u64) -> Placement {
        Placement {
            fleet: FleetView::default(),
            eligible: BitSet::default(),
            preferred: BitSet::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes the services and rules of a configuration.
    pub fn configure(&mut self, snapshot: &Snapshot) {
        for name in self.fleet.service_names() {
            if !snapshot.services.contains_key(&name) {
                self.fleet.remove_service(&name);
            }
        }
        for service in snapshot.services.values() {
            let rules = snapshot.rules_of(&service.name).cloned().collect();
            self.set_service(service, rules);
        }
    }

    /// Adds a service or changes its settings and rules.
    pub fn set_service(&mut self, service: &Service, rules: Vec<PlacementRule>) {
        self.fleet.set_service(service, rules);
    }

    /// Adds an upstream, or changes what is known of it; false if the service is unknown.
    pub fn put(&mut self, now: Instant, service: &ServiceName, candidate: Candidate) -> bool {
        self.fleet.put(now, service, candidate)
    }

    /// Returns the identities of all upstreams.
    pub fn upstreams(&self) -> HashSet<UpstreamId> {
        self.fleet.ids().cloned().collect()
    }

    /// Forgets an upstream.
    pub fn remove(&mut self, id: &UpstreamId) {
        self.fleet.remove(id);
    }

    /// Changes whether an upstream takes new work.
    pub fn set_state(&mut self, id: &UpstreamId, state: CandidateState) {
        self.fleet.set_state(id, state);
    }

    /// Takes an upstream's load report in.
    pub fn apply_load_report(&mut self, id: &UpstreamId, now: Instant, report: &LoadReport) {
        if let Some(slot) = self.fleet.slot(id) {
            self.fleet.change(slot, |known| known.report(now, report));
        }
    }

    /// Takes in the load of an upstream as another node told it, in requests.
    pub fn apply_load_digest(&mut self, id: &UpstreamId, now: Instant, running: u32, waiting: u32) {
        if let Some(slot) = self.fleet.slot(id) {
            self.fleet
                .change(slot, |known| known.digest(now, f64::from(running), f64::from(waiting)));
        }
    }

    /// Takes an upstream's cache events in; they come late and with gaps.
    pub fn apply_cache_events(&mut self, id: &UpstreamId, now: Instant, events: &CacheEvents) {
        let Some((slot, (view, known))) =
            self.fleet.slot(id).and_then(|slot| Some((slot, self.fleet.view_of(slot)?)))
        else {
            return;
        };
        known.heard_events(now);
        if events.gap {
            known.cache.advance_part(GAP_PART);
        }
        for event in &events.events {
            match event {
                CacheEvent::Cleared => known.clear_cache(),
                CacheEvent::Stored { .. } => {
                    for block in event_blocks(event) {
                        known.cache.advance(BLOCK_TOKENS);
                        view.memory.stored(BlockHash(*block), slot, &known.cache);
                    }
                }
                CacheEvent::Removed { .. } => {
                    for block in event_blocks(event) {
                        view.memory.removed(BlockHash(*block), slot);
                    }
                }
            }
        }
    }

    /// Chooses the upstream for a request.
    pub fn choose(
        &mut self,
        now: Instant,
        req: &PlacementRequest<'_>,
    ) -> Result<Choice, PlacementError> {
        if let Some(slot) = self.due_trial(now, req) {
            self.fleet.change(slot, |known| known.ejection.begin_trial(now));
            return Ok(self.choice(slot, 0, true));
        }
        self.find_eligible(req)?;
        let (slot, score) = self
            .best(now, req, true)
            .or_else(|| self.best(now, req, false))
            .ok_or(PlacementError::Full)?;
        Ok(self.choice(slot, score.reused_tokens, false))
    }

    /// Returns whether a request of this cost finds any upstream with room.
    pub fn has_live_upstream(&self, service: &ServiceName) -> bool {
        self.fleet.service(service).is_some_and(|view| view.live.count() > 0)
    }

    /// Returns the work that the upstreams of a service take at once, for
    /// [`Admission::set_capacity`](crate::Admission::set_capacity).
    pub fn capacity(&self, service: &ServiceName) -> u64 {
        self.fleet.capacity(service)
    }

    /// Returns the requests in flight at an upstream from this node.
    pub fn in_flight(&self, id: &UpstreamId) -> u32 {
        self.fleet.slot(id).map_or(0, |slot| self.fleet.known(slot).limit.requests())
    }

    /// Counts a request that is sent to an upstream; none if the upstream is gone.
    pub fn start_attempt(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        req: &PlacementRequest<'_>,
    ) -> Option<AttemptHandle> {
        let slot = self.fleet.slot(upstream)?;
        let cost = req.cost();
        self.fleet.change(slot, |known| known.limit.start(cost));
        let (view, known) = self.fleet.view_of(slot)?;
        view.rules.count(known.position, true);
        let held = view.memory.held_tokens(req.prefix, slot, &known.cache);
        let fresh_tokens = req.prompt_tokens.saturating_sub(held);
        view.fresh_tokens.add(fresh_tokens as f64);
        known.prefilling += fresh_tokens;
        known.cached(now, fresh_tokens);
        view.memory.sent(req.prefix, slot, &known.cache);
        let stay = known.stay;
        Some(AttemptHandle { slot, stay, cost, fresh_tokens, is_prefilling: true })
    }

    /// Notes that the first token of an answer came: its prompt is computed.
    pub fn record_first_token(&mut self, sent: &mut AttemptHandle) {
        if !std::mem::replace(&mut sent.is_prefilling, false) {
            return;
        }
        if let Some(slot) = self.fleet.slot_of_stay(sent.slot, sent.stay) {
            let tokens = sent.fresh_tokens;
            self.fleet.change(slot, |known| known.prefilling -= tokens);
        }
    }

    /// Counts a request that ended without telling anything of the upstream.
    pub fn abandon_attempt(&mut self, mut sent: AttemptHandle) {
        self.record_first_token(&mut sent);
        let Some(slot) = self.fleet.slot_of_stay(sent.slot, sent.stay) else {
            return;
        };
        if let Some((view, known)) = self.fleet.view_of(slot) {
            view.rules.count(known.position, false);
        }
        self.fleet.change(slot, |known| known.limit.abandon(sent.cost));
    }

    /// Counts a request that ended and learns from how it went.
    pub fn finish_attempt(&mut self, mut sent: AttemptHandle, now: Instant, seen: AttemptResult) {
        self.record_first_token(&mut sent);
        let Some(slot) = self.fleet.slot_of_stay(sent.slot, sent.stay) else {
            return;
        };
        let Some((view, known)) = self.fleet.view_of(slot) else {
            return;
        };
        view.rules.count(known.position, false);
        known.cached(now, seen.generated_tokens);
        let pace = pace(view, &sent, &seen, known.is_quiet(now));
        self.fleet.change(slot, |known| known.limit.finish(now, sent.cost, pace));
        self.fleet.observe(now, slot, seen.succeeded);
    }

    /// Returns the bytes that the knowledge of the upstreams takes, without names and labels.
    pub fn bytes(&self) -> usize {
        self.fleet.bytes()
    }

    fn choice(&self, slot: u32, reused_tokens_expected: u64, is_trial: bool) -> Choice {
        let candidate = &self.fleet.known(slot).candidate;
        let (upstream, zone) = (candidate.id.clone(), candidate.zone.clone());
        Choice { upstream, zone, reused_tokens_expected, is_trial }
    }

    /// Returns an upstream that failed lately and is due to be tried by one request.
    fn due_trial(&self, now: Instant, req: &PlacementRequest<'_>) -> Option<u32> {
        if !req.allow_trial || !req.exclude.is_empty() {
            return None;
        }
        let view = self.fleet.service(req.service)?;
        let is_allowed = |position| {
            let mut rules = view.rules.of(req.labels);
            rules.all(|worked| {
                worked.rule.effect != lycheelatch_config::Effect::Require
                    || worked.selects(position)
            })
        };
        view.out.iter().copied().find(|slot| {
            let known = self.fleet.known(*slot);
            known.ejection.is_trial_due(now)
                && view.live.get(known.position)
                && is_allowed(known.position)
        })
    }

    /// Works out which upstreams may be used.
    fn find_eligible(&mut self, req: &PlacementRequest<'_>) -> Result<(), PlacementError> {
        let view = self.fleet.service(req.service).ok_or(PlacementError::NoUpstream)?;
        if view.live.count() == 0 {
            return Err(PlacementError::NoUpstream);
        }
        self.eligible.copy_from(&view.usable);
        view.rules.keep_required(req.labels, &mut self.eligible);
        if self.eligible.count() == 0 {
            // Rather one that failed lately than none.
            self.eligible.copy_from(&view.live);
            view.rules.keep_required(req.labels, &mut self.eligible);
        }
        for id in req.exclude {
            if let Some(slot) = self.fleet.slot(id)
                && self.fleet.known(slot).service == *req.service
            {
                self.eligible.set(self.fleet.known(slot).position, false);
            }
        }
        if self.eligible.count() == 0 {
            return Err(PlacementError::NoMatch);
        }
        self.preferred.copy_from(&self.eligible);
        view.rules.keep_preferred(req.labels, &mut self.preferred);
        Ok(())
    }

    /// Returns the best upstream with room, among the preferred or all eligible ones.
    fn best(
        &mut self,
        now: Instant,
        req: &PlacementRequest<'_>,
        preferred: bool,
    ) -> Option<(u32, Score)> {
        let eligible = if preferred { &self.preferred } else { &self.eligible };
        let view = self.fleet.service(req.service)?;
        let scoring = scoring(now, req, view, &self.fleet);
        let (first, second) = choices(&scoring, eligible);
        let affinity = |position| affinity(position, first, second);
        if view.slots.len() <= FULL_SCAN {
            let all = eligible.iter().map(|position| (position, true));
            return best_of(&scoring, &self.fleet, all, affinity);
        }
        let mut picks = Picks::default();
        view.memory.matches(req.prefix, |found| {
            if let Some(known) = self.fleet.known_in(found.slot, req.service) {
                picks.add(known.position, eligible);
            }
        });
        first.into_iter().chain(second).for_each(|position| picks.add(position, eligible));
        picks.informed = picks.len;
        for _ in 0..RANDOM_PICKS {
            let start = self.rng.random_range(0..view.slots.len());
            if let Some(position) = eligible.next_from(start) {
                picks.add(position, eligible);
            }
        }
        if let Some(best) = best_of(&scoring, &self.fleet, picks.iter(), affinity) {
            return Some(best);
        }
        let start = self.rng.random_range(0..view.slots.len());
        let mut round = (start..view.slots.len()).chain(0..start);
        let with_room = round.find(|position| {
            let known = self.fleet.known(view.slots[*position]);
            eligible.get(*position) && known.limit.has_room()
        });
        let with_room = with_room.into_iter().map(|position| (position, true));
        best_of(&scoring, &self.fleet, with_room, affinity)
    }
}

fn affinity(position: usize, first: Option<usize>, second: Option<usize>) -> Affinity {
    match Some(position) {
        position if position == first => Affinity::First,
        position if position == second => Affinity::Second,
        _ => Affinity::None,
    }
}

/// Returns the upstream with the lowest score among those with room.
///
/// Each position comes with whether it may hold a part of the prompt.
fn best_of(
    scoring: &Scoring<'_>,
    fleet: &FleetView,
    positions: impl Iterator<Item = (usize, bool)>,
    affinity: impl Fn(usize) -> Affinity,
) -> Option<(u32, Score)> {
    let mut best: Option<(u32, Score)> = None;
    for (position, may_hold) in positions {
        let slot = scoring.view.slots[position];
        let known = fleet.known(slot);
        if !known.limit.has_room() && !scoring.req.may_exceed_limit {
            continue;
        }
        let score = scoring.score(slot, known, affinity(position), may_hold);
        if best.as_ref().is_none_or(|(_, b)| score.terms.total() < b.terms.total()) {
            best = Some((slot, score));
        }
    }
    best
}

/// Positions to be scored, each once.
#[derive(Debug, Default)]
struct Picks {
    positions: [usize; MAX_SCORED],
    len: usize,
    /// How many of the first ones may hold a part of the prompt.
    informed: usize,
}

impl Picks {
    fn add(&mut self, position: usize, eligible: &BitSet) {
        let is_new = !self.positions[..self.len].contains(&position);
        if self.len < MAX_SCORED && is_new && eligible.get(position) {
            self.positions[self.len] = position;
            self.len += 1;
        }
    }

    fn iter(&self) -> impl Iterator<Item = (usize, bool)> {
        let positions = self.positions[..self.len].iter().copied();
        positions.enumerate().map(|(i, position)| (position, i < self.informed))
    }
}

fn scoring<'a>(
    now: Instant,
    req: &'a PlacementRequest<'a>,
    view: &'a ServiceView,
    fleet: &'a FleetView,
) -> Scoring<'a> {
    let region = fleet.region_of(req.local_zone);
    Scoring { now, req, view, region, has_weights: view.rules.has_weights(req.labels) }
}

/// Returns the first and second choice of a request's prefix.
fn choices(scoring: &Scoring<'_>, eligible: &BitSet) -> (Option<usize>, Option<usize>) {
    let view = scoring.view;
    let Some(key) = view.memory.affinity_key(scoring.req.prefix, view.slots.len()) else {
        return (None, None);
    };
    let weight = |position| view.rules.weight(scoring.req.labels, position);
    let weight: Option<&dyn Fn(usize) -> f64> = match scoring.has_weights {
        true => Some(&weight),
        false => None,
    };
    let order = first_choices(key.0, &view.seeds, &view.groups, eligible, weight);
    let mut positions = order.positions();
    (positions.next(), positions.next())
}

/// Judges an answer against the latency target of its service.
fn pace(
    view: &mut ServiceView,
    sent: &AttemptHandle,
    seen: &AttemptResult,
    is_quiet: bool,
) -> Pace {
    if !seen.succeeded {
        return Pace::Failed;
    }
    let first = seen.time_to_first_token.unwrap_or(seen.latency);
    let computing = match view.service.kind {
        ServiceKind::Model => sent.fresh_tokens as f64 / MIN_PREFILL_TOKENS_PER_SECOND,
        ServiceKind::Plain => 0.0,
    };
    let secs = (first.as_secs_f64() - computing).max(0.0);
    let usual = view.usual_first_byte(secs, is_quiet);
    let target = Duration::from_millis(view.service.latency.first_token_ms).as_secs_f64();
    if secs > target.max(LATE_FACTOR * usual) { Pace::Late } else { Pace::InTime }
}

/// Starts the knowledge of an upstream's cache again.
impl upstream::Known {
    fn clear_cache(&mut self) {
        let total = self.cache.total_tokens();
        self.cache = CacheClock::new(self.cache.epoch.wrapping_add(1 << 24), total);
    }
}
