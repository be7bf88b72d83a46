//! Chooses the upstream for each request.

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
    BlockHash, CompletionStatus,
    bits::BitSet,
    prefix::{BLOCK_TOKENS, event_blocks},
    prefix_index::{CacheClock, MAX_MATCHES},
};
use fleet_view::{FleetView, ServiceView};
use rendezvous::{RANKED_POSITIONS, top_ranked};
use score::{Score, Scoring};

/// Maximum number of upstreams of a service that are all scored for each request.
const MAX_FULL_SCAN: usize = 48;

/// Random upstreams of a large service that are scored besides those found by prefix.
const RANDOM_SAMPLES: usize = 6;

/// Maximum number of upstreams that are scored for one request to a large service.
const MAX_SCORED: usize = MAX_MATCHES + RANKED_POSITIONS + RANDOM_SAMPLES;

/// Divisor of the cache size that gives the assumed number of tokens stored in an event gap.
const GAP_CACHE_DIVISOR: u64 = 8;

/// Multiple of the 90th percentile of the time to the first byte above which an answer is late.
const LATE_FACTOR: f64 = 2.0;

/// Minimum prompt tokens that an engine is expected to prefill per second.
const MIN_PREFILL_TOKENS_PER_SECOND: f64 = 4000.0;

/// Chooses upstreams by the operators' rules, then by prefix cache content, load, price and
/// network distance.
///
/// Its state grows with the number of upstreams and of recent prompts on the local node, not with
/// the number of nodes.
#[derive(Debug)]
pub struct Placement {
    fleet: FleetView,
    eligible: BitSet,
    preferred: BitSet,
    rng: SmallRng,
}

impl Placement {
    /// Creates a placement without services; `seed` initializes its random number generator.
    pub fn new(seed: u64) -> Placement {
        Placement {
            fleet: FleetView::default(),
            eligible: BitSet::default(),
            preferred: BitSet::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Applies the services and rules of a configuration; removes services that it lacks.
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

    /// Adds or updates an upstream; returns false if the service does not exist.
    pub fn put(&mut self, now: Instant, service: &ServiceName, candidate: Candidate) -> bool {
        self.fleet.put(now, service, candidate)
    }

    /// Returns the identities of all upstreams.
    pub fn upstreams(&self) -> HashSet<UpstreamId> {
        self.fleet.ids().cloned().collect()
    }

    /// Removes an upstream.
    pub fn remove(&mut self, id: &UpstreamId) {
        self.fleet.remove(id);
    }

    /// Changes whether an upstream takes new work.
    pub fn set_state(&mut self, id: &UpstreamId, state: CandidateState) {
        self.fleet.set_state(id, state);
    }

    /// Applies a load report of an upstream.
    pub fn apply_load_report(&mut self, id: &UpstreamId, now: Instant, report: &LoadReport) {
        if let Some(slot) = self.fleet.slot(id) {
            self.fleet.update(slot, |upstream| upstream.apply_load_report(now, report));
        }
    }

    /// Applies an upstream's load from a digest of another node, in requests.
    pub fn apply_load_digest(&mut self, id: &UpstreamId, now: Instant, running: u32, waiting: u32) {
        if let Some(slot) = self.fleet.slot(id) {
            self.fleet.update(slot, |upstream| {
                upstream.apply_load_digest(now, f64::from(running), f64::from(waiting))
            });
        }
    }

    /// Applies an upstream's cache events, which arrive with a delay and with gaps.
    pub fn apply_cache_events(&mut self, id: &UpstreamId, now: Instant, events: &CacheEvents) {
        let Some((slot, (view, upstream))) =
            self.fleet.slot(id).and_then(|slot| Some((slot, self.fleet.view_and_upstream(slot)?)))
        else {
            return;
        };
        upstream.record_cache_events(now);
        if events.gap {
            upstream.cache.advance_fraction(GAP_CACHE_DIVISOR);
        }
        for event in &events.events {
            match event {
                CacheEvent::Cleared => upstream.clear_cache(),
                CacheEvent::Stored { .. } => {
                    for block in event_blocks(event) {
                        upstream.cache.advance(BLOCK_TOKENS);
                        view.prefix_index.record_stored(BlockHash(*block), slot, &upstream.cache);
                    }
                }
                CacheEvent::Removed { .. } => {
                    for block in event_blocks(event) {
                        view.prefix_index.record_evicted(BlockHash(*block), slot);
                    }
                }
            }
        }
    }

    /// Chooses the upstream for a request.
    ///
    /// Returns an error if the service has no live upstream, the rules allow none, or all allowed
    /// ones are at their limits.
    pub fn choose(
        &mut self,
        now: Instant,
        req: &PlacementRequest<'_>,
    ) -> Result<Choice, PlacementError> {
        if let Some(slot) = self.due_trial(now, req) {
            self.fleet.update(slot, |upstream| upstream.ejection.begin_trial(now));
            return Ok(self.make_choice(slot, 0, true));
        }
        self.find_eligible(req)?;
        let (slot, score) = self
            .best(now, req, true)
            .or_else(|| self.best(now, req, false))
            .ok_or(PlacementError::Full)?;
        Ok(self.make_choice(slot, score.reused_tokens, false))
    }

    /// Returns whether the service has a live upstream.
    pub fn has_live_upstream(&self, service: &ServiceName) -> bool {
        self.fleet.service(service).is_some_and(|view| view.live.count() > 0)
    }

    /// Returns the work that the upstreams of a service accept at once, in its units, for
    /// [`Admission::set_capacity`](crate::Admission::set_capacity).
    pub fn capacity(&self, service: &ServiceName) -> u64 {
        self.fleet.capacity(service)
    }

    /// Returns the requests in flight from the local node at an upstream.
    pub fn in_flight(&self, id: &UpstreamId) -> u32 {
        self.fleet.slot(id).map_or(0, |slot| self.fleet.upstream(slot).limit.requests())
    }

    /// Records that a request is sent to an upstream; returns `None` if there is no such upstream.
    pub fn start_attempt(
        &mut self,
        now: Instant,
        id: &UpstreamId,
        req: &PlacementRequest<'_>,
    ) -> Option<AttemptHandle> {
        let slot = self.fleet.slot(id)?;
        let cost = req.cost();
        self.fleet.update(slot, |upstream| upstream.limit.start(cost));
        let (view, upstream) = self.fleet.view_and_upstream(slot)?;
        view.rules.record_request(upstream.position, true);
        let cached = view.prefix_index.cached_tokens(req.prefix, slot, &upstream.cache);
        let uncached_tokens = req.prompt_tokens.saturating_sub(cached);
        view.mean_uncached_tokens.add(uncached_tokens as f64);
        upstream.prefill_tokens += uncached_tokens;
        upstream.advance_cache(now, uncached_tokens);
        view.prefix_index.record_prompt(req.prefix, slot, &upstream.cache);
        let generation = upstream.generation;
        Some(AttemptHandle { slot, generation, cost, uncached_tokens, is_prefilling: true })
    }

    /// Records the first token of an answer, which shows that the prompt has been prefilled.
    pub fn record_first_token(&mut self, attempt: &mut AttemptHandle) {
        if !std::mem::replace(&mut attempt.is_prefilling, false) {
            return;
        }
        if let Some(slot) = self.fleet.current_slot(attempt.slot, attempt.generation) {
            let tokens = attempt.uncached_tokens;
            self.fleet.update(slot, |upstream| upstream.prefill_tokens -= tokens);
        }
    }

    /// Records an attempt that ended without a result, such as a cancelled one.
    pub fn abandon_attempt(&mut self, mut attempt: AttemptHandle) {
        self.record_first_token(&mut attempt);
        let Some(slot) = self.fleet.current_slot(attempt.slot, attempt.generation) else {
            return;
        };
        if let Some((view, upstream)) = self.fleet.view_and_upstream(slot) {
            view.rules.record_request(upstream.position, false);
        }
        self.fleet.update(slot, |upstream| upstream.limit.abandon(attempt.cost));
    }

    /// Records the result of an attempt and adapts the upstream's limit and ejection to it.
    pub fn finish_attempt(
        &mut self,
        mut attempt: AttemptHandle,
        now: Instant,
        result: AttemptResult,
    ) {
        self.record_first_token(&mut attempt);
        let Some(slot) = self.fleet.current_slot(attempt.slot, attempt.generation) else {
            return;
        };
        let Some((view, upstream)) = self.fleet.view_and_upstream(slot) else {
            return;
        };
        view.rules.record_request(upstream.position, false);
        upstream.advance_cache(now, result.generated_tokens);
        let status = classify_completion(view, &attempt, &result, upstream.is_queue_empty(now));
        self.fleet.update(slot, |upstream| upstream.limit.finish(now, attempt.cost, status));
        self.fleet.record_result(now, slot, result.succeeded);
    }

    /// Returns the memory used for the upstreams and prefixes in bytes, without names and labels.
    pub fn bytes(&self) -> usize {
        self.fleet.bytes()
    }

    fn make_choice(&self, slot: u32, reused_tokens_expected: u64, is_trial: bool) -> Choice {
        let candidate = &self.fleet.upstream(slot).candidate;
        let (upstream, zone) = (candidate.id.clone(), candidate.zone.clone());
        Choice { upstream, zone, reused_tokens_expected, is_trial }
    }

    /// Returns an ejected upstream that is due for a trial request.
    fn due_trial(&self, now: Instant, req: &PlacementRequest<'_>) -> Option<u32> {
        if !req.allow_trial || !req.exclude.is_empty() {
            return None;
        }
        let view = self.fleet.service(req.service)?;
        let is_allowed = |position| {
            let mut rules = view.rules.applicable(req.labels);
            rules.all(|resolved| {
                resolved.rule.effect != lycheelatch_config::Effect::Require
                    || resolved.selects(position)
            })
        };
        view.ejected.iter().copied().find(|slot| {
            let upstream = self.fleet.upstream(*slot);
            upstream.ejection.is_trial_due(now)
                && view.live.get(upstream.position)
                && is_allowed(upstream.position)
        })
    }

    /// Updates the sets of eligible and preferred upstreams for a request.
    fn find_eligible(&mut self, req: &PlacementRequest<'_>) -> Result<(), PlacementError> {
        let view = self.fleet.service(req.service).ok_or(PlacementError::NoUpstream)?;
        if view.live.count() == 0 {
            return Err(PlacementError::NoUpstream);
        }
        self.eligible.copy_from(&view.usable);
        view.rules.retain_required(req.labels, &mut self.eligible);
        if self.eligible.count() == 0 {
            // An ejected upstream is better than none.
            self.eligible.copy_from(&view.live);
            view.rules.retain_required(req.labels, &mut self.eligible);
        }
        for id in req.exclude {
            if let Some(slot) = self.fleet.slot(id)
                && self.fleet.upstream(slot).service == *req.service
            {
                self.eligible.set(self.fleet.upstream(slot).position, false);
            }
        }
        if self.eligible.count() == 0 {
            return Err(PlacementError::NoMatch);
        }
        self.preferred.copy_from(&self.eligible);
        view.rules.retain_preferred(req.labels, &mut self.preferred);
        Ok(())
    }

    /// Returns the upstream with the lowest score that has room, among the preferred or all
    /// eligible ones.
    fn best(
        &mut self,
        now: Instant,
        req: &PlacementRequest<'_>,
        preferred_only: bool,
    ) -> Option<(u32, Score)> {
        let eligible = if preferred_only { &self.preferred } else { &self.eligible };
        let view = self.fleet.service(req.service)?;
        let scoring = scoring(now, req, view, &self.fleet);
        let (first, second) = choices(&scoring, eligible);
        let affinity = |position| affinity(position, first, second);
        if view.slots.len() <= MAX_FULL_SCAN {
            let all = eligible.iter().map(|position| (position, true));
            return best_of(&scoring, &self.fleet, all, affinity);
        }
        let mut candidates = ScoredPositions::default();
        view.prefix_index.for_each_match(req.prefix, |matched| {
            if let Some(upstream) = self.fleet.upstream_of_service(matched.slot, req.service) {
                candidates.add(upstream.position, eligible);
            }
        });
        first.into_iter().chain(second).for_each(|position| candidates.add(position, eligible));
        candidates.prefix_candidates = candidates.len;
        for _ in 0..RANDOM_SAMPLES {
            let start = self.rng.random_range(0..view.slots.len());
            if let Some(position) = eligible.next_from(start) {
                candidates.add(position, eligible);
            }
        }
        if let Some(best) = best_of(&scoring, &self.fleet, candidates.iter(), affinity) {
            return Some(best);
        }
        let start = self.rng.random_range(0..view.slots.len());
        let mut positions = (start..view.slots.len()).chain(0..start);
        let with_room = positions.find(|position| {
            let upstream = self.fleet.upstream(view.slots[*position]);
            eligible.get(*position) && upstream.limit.has_capacity()
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
/// Each position is paired with whether its upstream may have a part of the prompt cached.
fn best_of(
    scoring: &Scoring<'_>,
    fleet: &FleetView,
    positions: impl Iterator<Item = (usize, bool)>,
    affinity: impl Fn(usize) -> Affinity,
) -> Option<(u32, Score)> {
    let mut best: Option<(u32, Score)> = None;
    for (position, may_have_prefix) in positions {
        let slot = scoring.view.slots[position];
        let upstream = fleet.upstream(slot);
        if !upstream.limit.has_capacity() && !scoring.req.may_exceed_limit {
            continue;
        }
        let score = scoring.score(slot, upstream, affinity(position), may_have_prefix);
        if best.as_ref().is_none_or(|(_, b)| score.terms.total() < b.terms.total()) {
            best = Some((slot, score));
        }
    }
    best
}

/// Distinct positions to score.
#[derive(Debug, Default)]
struct ScoredPositions {
    positions: [usize; MAX_SCORED],
    len: usize,
    /// Number of leading positions whose upstream may have a part of the prompt cached.
    prefix_candidates: usize,
}

impl ScoredPositions {
    fn add(&mut self, position: usize, eligible: &BitSet) {
        let is_new = !self.positions[..self.len].contains(&position);
        if self.len < MAX_SCORED && is_new && eligible.get(position) {
            self.positions[self.len] = position;
            self.len += 1;
        }
    }

    fn iter(&self) -> impl Iterator<Item = (usize, bool)> {
        let positions = self.positions[..self.len].iter().copied();
        positions.enumerate().map(|(i, position)| (position, i < self.prefix_candidates))
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

/// Returns the first and second choice for a request's prefix in the rendezvous order.
fn choices(scoring: &Scoring<'_>, eligible: &BitSet) -> (Option<usize>, Option<usize>) {
    let view = scoring.view;
    let Some(key) = view.prefix_index.affinity_key(scoring.req.prefix, view.slots.len()) else {
        return (None, None);
    };
    let weight = |position| view.rules.weight(scoring.req.labels, position);
    let weight: Option<&dyn Fn(usize) -> f64> = match scoring.has_weights {
        true => Some(&weight),
        false => None,
    };
    let order = top_ranked(key.0, &view.seeds, &view.groups, eligible, weight);
    let mut positions = order.positions();
    (positions.next(), positions.next())
}

/// Compares an attempt's time to the first token with the latency target of its service.
///
/// Does not count the time to prefill the uncached part of the prompt.
fn classify_completion(
    view: &mut ServiceView,
    attempt: &AttemptHandle,
    result: &AttemptResult,
    is_queue_empty: bool,
) -> CompletionStatus {
    if !result.succeeded {
        return CompletionStatus::Failed;
    }
    let first = result.time_to_first_token.unwrap_or(result.latency);
    let prefill_secs = match view.service.kind {
        ServiceKind::Model => attempt.uncached_tokens as f64 / MIN_PREFILL_TOKENS_PER_SECOND,
        ServiceKind::Plain => 0.0,
    };
    let secs = (first.as_secs_f64() - prefill_secs).max(0.0);
    let p90 = view.first_byte_p90(secs, is_queue_empty);
    let target = Duration::from_millis(view.service.latency.first_token_ms).as_secs_f64();
    if secs > target.max(LATE_FACTOR * p90) {
        CompletionStatus::Late
    } else {
        CompletionStatus::OnTime
    }
}

impl upstream::UpstreamView {
    /// Discards all cached blocks by starting a new cache epoch.
    fn clear_cache(&mut self) {
        let total = self.cache.total_tokens();
        self.cache = CacheClock::new(self.cache.epoch.wrapping_add(1 << 24), total);
    }
}
