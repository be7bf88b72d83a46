//! Which upstream a request goes to, and when none is worth it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use lycheelatch_prelude::{UpstreamId, ZoneName};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    EngineSpec, Rank, ServiceSpec,
    directory::Upstream,
    engine_load::{Chain, Expected},
};

/// Time by which an upstream of another availability zone must be better.
const ZONE_PENALTY_MS: f64 = 12.0;

/// Part of the age of far news that counts against an upstream there.
const FAR_NEWS_SHARE: f64 = 0.5;

/// Time that a read of a thousand shared tokens costs beyond the reading.
const READ_PENALTY_MS: f64 = 4.0;

/// Time that a fetch of a thousand tokens costs beyond the fetching.
const FETCH_PENALTY_MS: f64 = 2.6;

/// Fewest tokens that are worth a fetch.
const MIN_FETCHED_TOKENS: u32 = 1500;

/// Time by which an upstream must be better than the one that the prompt's hash prefers.
const AFFINITY_PENALTY_MS: f64 = 60.0;

/// Time that a failure share of one costs.
const FAILURE_PENALTY_MS: f64 = 2000.0;

/// Usual time of a plain request.
const PLAIN_WORK_MS: f64 = 40.0;

/// Part of the target within which the first token must be expected, by rank.
const ADMITTED_SHARE: [f64; 3] = [1.1, 1.0, 0.8];

/// Age from which a reported load says nothing.
const REPORT_AGE: Duration = Duration::from_millis(400);

/// What a request asks of placement.
pub struct PlaceAsk<'a> {
    /// Its service.
    pub service: &'a ServiceSpec,
    /// Its prompt, for a model.
    pub chain: Option<&'a Chain>,
    /// This node's availability zone.
    pub zone: &'a ZoneName,
    /// Time that news from other availability zones takes.
    pub far_news: Duration,
    /// Every upstream of the service, also those that take no new work.
    pub keepers: &'a [Rc<Upstream>],
    /// Upstreams that it was sent to already.
    pub tried: &'a [UpstreamId],
    /// Time until the answer, or its first event, is late.
    pub until_late: Duration,
    /// Its rank.
    pub rank: Rank,
}

/// The chosen upstream.
pub struct Choice {
    /// The upstream.
    pub upstream: Rc<Upstream>,
    /// What the request is expected to meet at its engine.
    pub expected: Option<Expected>,
    /// Where the engine fetches cached parts of the prompt from.
    pub fetch_from: Option<SocketAddr>,
    /// Upstreams that were looked at.
    pub candidates: usize,
    /// The second choice, and the time to the first token that was expected there.
    pub runner_up: Option<(UpstreamId, Duration)>,
}

/// Why no upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoChoice {
    /// The service has no upstream that takes work.
    NoUpstream,
    /// Every upstream is too busy; there will be room after this time.
    Busy(Duration),
}

/// Chooses the upstream where the request would be answered first.
pub fn place(
    ask: &PlaceAsk<'_>,
    candidates: &[Rc<Upstream>],
    now: Instant,
    random: f64,
) -> Result<Choice, NoChoice> {
    let untried: Vec<_> =
        candidates.iter().filter(|up| !ask.tried.contains(&up.entry.borrow().id)).collect();
    let sound: Vec<_> = untried.iter().copied().filter(|up| !up.is_ejected(now)).collect();
    // When most look unsound, the fault is not theirs alone.
    let usable = if sound.len() * 2 >= untried.len() { sound } else { untried };
    if usable.is_empty() {
        return Err(NoChoice::NoUpstream);
    }
    match ask.chain {
        Some(chain) => place_prompt(ask, chain, &usable, now),
        None => place_plain(ask, &usable, now, random),
    }
}

fn place_prompt(
    ask: &PlaceAsk<'_>,
    chain: &Chain,
    usable: &[&Rc<Upstream>],
    now: Instant,
) -> Result<Choice, NoChoice> {
    let Some(engine) = &ask.service.engine else { return Err(NoChoice::NoUpstream) };
    let preferred = preferred(chain.affinity(), usable);
    let kept_elsewhere = kept_elsewhere(ask, chain, engine, now);
    let mut best: Option<(f64, &Rc<Upstream>, Expected)> = None;
    let mut second: Option<(f64, &Rc<Upstream>, Expected)> = None;
    let mut soonest = Duration::MAX;
    for up in usable {
        let entry = up.entry.borrow();
        let load = up.load.borrow();
        let missing = kept_elsewhere.saturating_sub(load.cached_tokens(chain));
        let kept = if missing >= MIN_FETCHED_TOKENS { kept_elsewhere } else { 0 };
        let expected = load.expect(chain, engine, kept, now);
        soonest = soonest.min(expected.first_token);
        if !expected.has_room {
            continue;
        }
        let mut score = expected.first_token.as_secs_f64() * 1000.0;
        score += f64::from(expected.uncached_shared) / 1000.0 * READ_PENALTY_MS;
        score += f64::from(expected.fetched_tokens) / 1000.0 * FETCH_PENALTY_MS;
        score += up.health.borrow().failure_share() * FAILURE_PENALTY_MS;
        if entry.zone != *ask.zone {
            score += far_penalty(ask);
        }
        if entry.id != preferred {
            score += AFFINITY_PENALTY_MS;
        }
        let scored = (score, *up, expected);
        if best.as_ref().is_none_or(|(least, ..)| score < *least) {
            second = best.replace(scored);
        } else if second.as_ref().is_none_or(|(least, ..)| score < *least) {
            second = Some(scored);
        }
    }
    let allowed = ask.until_late.mul_f64(admitted_share(ask.rank));
    match best {
        Some((_, upstream, expected)) if expected.first_token <= allowed => {
            let fetch_from = match expected.fetched_tokens {
                0 => None,
                _ => keeper(ask, chain, kept_elsewhere, upstream, now),
            };
            let second = second.map(|(_, up, expected)| (up.id(), expected.first_token));
            Ok(Choice {
                upstream: upstream.clone(),
                expected: Some(expected),
                fetch_from,
                candidates: usable.len(),
                runner_up: second,
            })
        }
        Some((_, _, expected)) => Err(NoChoice::Busy(expected.first_token - allowed)),
        None => Err(NoChoice::Busy(soonest)),
    }
}

fn far_penalty(ask: &PlaceAsk<'_>) -> f64 {
    ZONE_PENALTY_MS + ask.far_news.as_secs_f64() * 1000.0 * FAR_NEWS_SHARE
}

/// Returns the tokens of a prompt that can be fetched from an engine.
fn kept_elsewhere(ask: &PlaceAsk<'_>, chain: &Chain, engine: &EngineSpec, now: Instant) -> u32 {
    if engine.moved_tokens_per_ms.is_none() {
        return 0;
    }
    let kept = ask.keepers.iter().map(|up| up.load.borrow().kept_tokens(chain, now));
    kept.max().filter(|tokens| *tokens >= MIN_FETCHED_TOKENS).unwrap_or(0)
}

/// Returns an engine that keeps so many tokens of a prompt, best in the zone that fetches them.
///
/// Transfers of one engine run one after another, so that requests are spread over all of them.
fn keeper(
    ask: &PlaceAsk<'_>,
    chain: &Chain,
    tokens: u32,
    to: &Upstream,
    now: Instant,
) -> Option<SocketAddr> {
    let zone = to.entry.borrow().zone.clone();
    let request = chain.links.last().map_or(0, |(hash, _)| hash.0);
    let keepers =
        ask.keepers.iter().filter(|up| up.load.borrow().kept_tokens(chain, now) >= tokens);
    let rank = |up: &&Rc<Upstream>| {
        let entry = up.entry.borrow();
        (entry.zone == zone, xxh3_64_with_seed(entry.id.as_str().as_bytes(), request))
    };
    keepers.max_by_key(rank).map(|up| up.entry.borrow().address)
}

fn admitted_share(rank: Rank) -> f64 {
    let at = usize::from(rank.0).min(ADMITTED_SHARE.len() - 1);
    ADMITTED_SHARE[at]
}

/// Returns the upstream with the highest hash: every node prefers the same one.
fn preferred(affinity: u64, usable: &[&Rc<Upstream>]) -> UpstreamId {
    let weight =
        |up: &&&Rc<Upstream>| xxh3_64_with_seed(up.entry.borrow().id.as_str().as_bytes(), affinity);
    let best = usable.iter().max_by_key(weight).expect("not empty");
    best.entry.borrow().id.clone()
}

fn place_plain(
    ask: &PlaceAsk<'_>,
    usable: &[&Rc<Upstream>],
    now: Instant,
    random: f64,
) -> Result<Choice, NoChoice> {
    let cost = |up: &Rc<Upstream>| plain_cost(ask, up, now);
    let start = (random * usable.len() as f64) as usize;
    let in_turn = usable.iter().cycle().skip(start).take(usable.len());
    let best = in_turn.min_by(|a, b| cost(a).total_cmp(&cost(b))).expect("not empty");
    let wait = plain_wait(best, now);
    if wait > ask.until_late {
        return Err(NoChoice::Busy(wait - ask.until_late));
    }
    Ok(Choice {
        upstream: (*best).clone(),
        expected: None,
        fetch_from: None,
        candidates: usable.len(),
        runner_up: None,
    })
}

fn plain_cost(ask: &PlaceAsk<'_>, up: &Rc<Upstream>, now: Instant) -> f64 {
    let entry = up.entry.borrow();
    let mut cost = f64::from(busy(up, now)) / f64::from(entry.slots.max(1)) * PLAIN_WORK_MS;
    cost += up.health.borrow().failure_share() * FAILURE_PENALTY_MS;
    if entry.zone != *ask.zone {
        cost += far_penalty(ask);
    }
    cost
}

/// Returns the requests at an upstream: what nodes count, or what it said lately if that is more.
fn busy(up: &Upstream, now: Instant) -> u32 {
    let counted = up.running.get() + up.running_elsewhere.get();
    let said = up.reported_load.get().filter(|(_, at)| now.duration_since(*at) < REPORT_AGE);
    said.map_or(counted, |(load, _)| counted.max(load.waiting + load.running.min(load.slots)))
}

fn plain_wait(up: &Upstream, now: Instant) -> Duration {
    let slots = up.entry.borrow().slots.max(1);
    let ahead = (busy(up, now) + 1).saturating_sub(slots);
    Duration::from_secs_f64(f64::from(ahead) / f64::from(slots) * PLAIN_WORK_MS / 1000.0)
}
