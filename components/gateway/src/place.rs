//! Selects the upstream for a request, or rejects the request if none can serve it in time.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use lycheelatch_policy::cost_of_time;
use lycheelatch_prelude::{UpstreamId, ZoneName};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    EngineSpec, Priority, ServiceSpec,
    directory::Upstream,
    engine_load::{Estimate, PrefixChain},
    engine_speed::EngineSpeed,
};

mod plain;

use plain::place_plain;

/// Penalty for an upstream in another availability zone.
const ZONE_PENALTY_MS: f64 = 12.0;

/// Share of the cross-zone gossip lag that is added to the penalty of an upstream there.
const CROSS_ZONE_LAG_FACTOR: f64 = 0.5;

/// Penalty for uncached tokens of shared prompt parts, as a share of the time to process them;
/// requests that run beside are delayed for that time.
const PREFILL_PENALTY_SHARE: f64 = 0.2;

/// Penalty for tokens fetched from another engine, as a share of the time to process them.
const FETCH_PENALTY_SHARE: f64 = 0.13;

/// Minimum prefill time that a fetch from another engine has to save.
const MIN_FETCH_GAIN_MS: f64 = 30.0;

/// Penalty for an upstream other than the one preferred by the hash of the prompt's prefix.
const AFFINITY_PENALTY_MS: f64 = 60.0;

/// Penalty for a failure share of 1; lower shares count proportionally.
const FAILURE_PENALTY_MS: f64 = 2000.0;

/// Admission limit for the estimated time to the first token, as a multiple of the time
/// left until the latency target. Indexed by priority; the last value applies to all lower
/// priorities.
const ADMISSION_FACTORS: [f64; 3] = [1.1, 1.0, 0.8];

/// Admission limit for a request that would miss the latency target on an idle engine as well,
/// as a multiple of its time there.
const UNMEETABLE_TARGET_FACTOR: f64 = 1.5;

/// Input for the placement of a request.
pub struct PlacementRequest<'a> {
    /// Service to which the request is routed.
    pub service: &'a ServiceSpec,
    /// Usual speed of the service's engines; its fixed part is the usual time of a request to a
    /// service that is not a model.
    pub speed: EngineSpeed,
    /// Prefix hashes of the prompt, for a request to a model.
    pub chain: Option<&'a PrefixChain>,
    /// Availability zone of this node.
    pub zone: &'a ZoneName,
    /// How much older gossip state from other availability zones is than from this one.
    pub cross_zone_lag: Duration,
    /// All upstreams of the service, including those that accept no new requests: cached
    /// prompts can still be fetched from them.
    pub all_upstreams: &'a [Rc<Upstream>],
    /// Upstreams that the request was already sent to.
    pub tried: &'a [UpstreamId],
    /// Time left until the response, or its first event, misses the latency target.
    pub time_to_target: Duration,
    /// Priority of the request.
    pub priority: Priority,
}

/// What the speed of an upstream was assumed to be for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExpectedSpeed {
    /// Time that work takes there, as a multiple of the service's usual.
    pub factor: f64,
    /// Share of its slots in use.
    pub crowding: f64,
    /// Deviation of the figure that the upstream states, as a logarithm.
    pub stated: f64,
    /// Part of that deviation that was believed.
    pub believed: f64,
    /// Time until the first event, or the response, if the upstream had the usual speed.
    pub usual_time: Duration,
}

impl ExpectedSpeed {
    fn of(up: &Upstream, crowding: f64, now: Instant) -> ExpectedSpeed {
        let speed = up.speed.borrow();
        ExpectedSpeed {
            factor: speed.factor(crowding, now),
            crowding,
            stated: speed.stated_deviation(now),
            believed: speed.stated_part(now),
            usual_time: Duration::ZERO,
        }
    }

    /// Returns the time until the first event, or the response.
    pub fn expected_time(&self) -> Duration {
        self.usual_time.mul_f64(self.factor)
    }

    /// Sets the time at the usual speed from the one that is expected.
    fn with_expected(mut self, time: Duration) -> ExpectedSpeed {
        self.usual_time = time.div_f64(self.factor);
        self
    }
}

/// The result of placement.
pub struct Placement {
    /// Selected upstream.
    pub upstream: Rc<Upstream>,
    /// Speed that the selected upstream was assumed to have.
    pub speed: ExpectedSpeed,
    /// Estimate for the selected engine, for a request to a model.
    pub estimate: Option<Estimate>,
    /// Engine from which cached parts of the prompt are to be fetched.
    pub fetch_from: Option<SocketAddr>,
    /// Number of upstreams that were considered.
    pub candidates: usize,
    /// Second-best upstream and its estimated time to the first token.
    pub runner_up: Option<(UpstreamId, Duration)>,
}

/// Why no upstream was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementError {
    /// The service has no upstream that accepts requests.
    NoUpstream,
    /// Every upstream is overloaded; contains the estimated time until one has capacity.
    Busy(Duration),
}

/// Selects the upstream with the lowest estimated latency plus penalties.
///
/// `random`, from 0 to 1, determines which upstreams of a service that is not a model are
/// compared.
pub fn place(
    req: &PlacementRequest<'_>,
    candidates: &[Rc<Upstream>],
    now: Instant,
    random: f64,
) -> Result<Placement, PlacementError> {
    let untried: Vec<_> =
        candidates.iter().filter(|up| !req.tried.contains(&up.entry.borrow().id)).collect();
    let healthy: Vec<_> = untried.iter().copied().filter(|up| !up.is_ejected(now)).collect();
    // If most upstreams are ejected, the cause is probably not the upstreams themselves.
    let usable = if healthy.len() * 2 >= untried.len() { healthy } else { untried };
    if usable.is_empty() {
        return Err(PlacementError::NoUpstream);
    }
    match req.chain {
        Some(chain) => place_prompt(req, chain, &usable, now),
        None => place_plain(req, &usable, now, random),
    }
}

/// Selects an engine for a request to a model.
fn place_prompt(
    req: &PlacementRequest<'_>,
    chain: &PrefixChain,
    usable: &[&Rc<Upstream>],
    now: Instant,
) -> Result<Placement, PlacementError> {
    let Some(engine) = &req.service.engine else { return Err(PlacementError::NoUpstream) };
    let preferred = preferred_upstream(req, chain.affinity(), usable);
    let fetchable = fetchable_tokens(req, chain, engine, now);
    let mut best: Option<(f64, &Rc<Upstream>, Estimate, ExpectedSpeed)> = None;
    let mut runner_up: Option<(f64, &Rc<Upstream>, Estimate, ExpectedSpeed)> = None;
    let mut soonest = Duration::MAX;
    let target_ms = millis(req.time_to_target);
    for up in usable {
        let entry = up.entry.borrow();
        let load = up.load.borrow();
        let missing = fetchable.saturating_sub(load.cached_tokens(chain));
        let is_worthwhile = req.speed.prefill_ms(f64::from(missing)) >= MIN_FETCH_GAIN_MS;
        let fetchable_here = if is_worthwhile { fetchable } else { 0 };
        let crowding = f64::from(load.total().requests) / f64::from(engine.slots.max(1));
        let speed = ExpectedSpeed::of(up, crowding, now);
        let at_speed = req.speed.slowed(speed.factor);
        let estimate = load.estimate(chain, engine, at_speed, fetchable_here, now);
        soonest = soonest.min(estimate.time_to_first_token);
        if !estimate.has_capacity {
            continue;
        }
        let mut score = cost_of_time(millis(estimate.time_to_first_token), speed.factor, target_ms);
        let read_again = req.speed.prefill_ms(f64::from(estimate.uncached_shared));
        let fetched = req.speed.prefill_ms(f64::from(estimate.fetched_tokens));
        score += read_again * PREFILL_PENALTY_SHARE + fetched * FETCH_PENALTY_SHARE;
        score += penalty_ms(req, up);
        if preferred.as_ref() != Some(&entry.id) {
            score += AFFINITY_PENALTY_MS;
        }
        let scored = (score, *up, estimate, speed);
        if best.as_ref().is_none_or(|(required, ..)| score < *required) {
            runner_up = best.replace(scored);
        } else if runner_up.as_ref().is_none_or(|(required, ..)| score < *required) {
            runner_up = Some(scored);
        }
    }
    let max_time = req.time_to_target.mul_f64(admission_factor(req.priority));
    match best {
        Some((_, upstream, estimate, speed)) if is_admissible(&estimate, max_time) => {
            let fetch_from = match estimate.fetched_tokens {
                0 => None,
                _ => fetch_source(req, chain, fetchable, upstream, now),
            };
            let runner_up =
                runner_up.map(|(_, up, estimate, _)| (up.id(), estimate.time_to_first_token));
            Ok(Placement {
                upstream: upstream.clone(),
                speed: speed.with_expected(estimate.time_to_first_token),
                estimate: Some(estimate),
                fetch_from,
                candidates: usable.len(),
                runner_up,
            })
        }
        Some((_, _, estimate, _)) => {
            Err(PlacementError::Busy(estimate.time_to_first_token - max_time))
        }
        None => Err(PlacementError::Busy(soonest)),
    }
}

/// Returns a duration in milliseconds.
fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// Returns whether the first token comes soon enough.
///
/// Waiting doesn't help a request whose prompt alone takes longer than `max_time`, so it is
/// admitted if little other work is ahead of it.
fn is_admissible(estimate: &Estimate, max_time: Duration) -> bool {
    let limit = match estimate.time_without_queue > max_time {
        true => estimate.time_without_queue.mul_f64(UNMEETABLE_TARGET_FACTOR),
        false => max_time,
    };
    estimate.time_to_first_token <= limit
}

fn cross_zone_penalty(req: &PlacementRequest<'_>) -> f64 {
    ZONE_PENALTY_MS + req.cross_zone_lag.as_secs_f64() * 1000.0 * CROSS_ZONE_LAG_FACTOR
}

/// Returns the maximum number of a prompt's tokens that can be fetched from any one engine.
fn fetchable_tokens(
    req: &PlacementRequest<'_>,
    chain: &PrefixChain,
    engine: &EngineSpec,
    now: Instant,
) -> u32 {
    if engine.transfer_tokens_per_ms.is_none() {
        return 0;
    }
    let tokens = req.all_upstreams.iter().map(|up| up.load.borrow().fetchable_tokens(chain, now));
    tokens.max().unwrap_or(0)
}

/// Returns an engine from which `tokens` of a prompt can be fetched, preferably in the
/// availability zone of the engine that fetches them.
///
/// An engine runs its transfers one after another, so requests are distributed over all
/// engines that hold the tokens.
fn fetch_source(
    req: &PlacementRequest<'_>,
    chain: &PrefixChain,
    tokens: u32,
    to: &Upstream,
    now: Instant,
) -> Option<SocketAddr> {
    let zone = to.entry.borrow().zone.clone();
    let request = chain.links.last().map_or(0, |(hash, _)| hash.0);
    let holders = req
        .all_upstreams
        .iter()
        .filter(|up| up.load.borrow().fetchable_tokens(chain, now) >= tokens);
    let rank = |up: &&Rc<Upstream>| {
        let entry = up.entry.borrow();
        (entry.zone == zone, xxh3_64_with_seed(entry.id.as_str().as_bytes(), request))
    };
    holders.max_by_key(rank).map(|up| up.entry.borrow().address)
}

fn admission_factor(priority: Priority) -> f64 {
    let at = usize::from(priority.0).min(ADMISSION_FACTORS.len() - 1);
    ADMISSION_FACTORS[at]
}

/// Returns the upstream with the highest hash (rendezvous hashing), so that all nodes prefer
/// the same one.
///
/// If the penalty for other availability zones outweighs the preference, the nodes of each zone
/// prefer one of their own zone.
fn preferred_upstream(
    req: &PlacementRequest<'_>,
    affinity: u64,
    usable: &[&Rc<Upstream>],
) -> Option<UpstreamId> {
    let is_zonal = cross_zone_penalty(req) > AFFINITY_PENALTY_MS;
    let is_near = |up: &&&Rc<Upstream>| !is_zonal || up.entry.borrow().zone == *req.zone;
    let weight =
        |up: &&&Rc<Upstream>| xxh3_64_with_seed(up.entry.borrow().id.as_str().as_bytes(), affinity);
    let best = usable.iter().filter(is_near).max_by_key(weight)?;
    Some(best.entry.borrow().id.clone())
}

/// Returns what is added to an upstream's time in the choice.
fn penalty_ms(req: &PlacementRequest<'_>, up: &Upstream) -> f64 {
    let failures = up.health.borrow().failure_share() * FAILURE_PENALTY_MS;
    let is_near = up.entry.borrow().zone == *req.zone;
    failures + if is_near { 0.0 } else { cross_zone_penalty(req) }
}
