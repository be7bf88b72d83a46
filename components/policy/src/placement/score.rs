//! What it costs to send a request to one upstream, in milliseconds.

use lycheelatch_prelude::RegionName;
use serde::Serialize;
use tokio::time::Instant;

use super::{PlacementRequest, fleet_view::ServiceView, upstream::Known};
use crate::prefix::BLOCK_TOKENS;

/// Prompt tokens that an engine computes in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 8.0;

/// Weight of computing tokens again against waiting.
const RECOMPUTE_WEIGHT: f64 = 2.5;

/// Delay by each request that an upstream has already.
const REQUEST_MS: f64 = 2.0;

/// Delay by each request that waits at an upstream of a plain service.
const PLAIN_WAITING_MS: f64 = 10.0;

/// Round trip to another availability zone.
const ZONE_MS: f64 = 6.0;

/// Round trip to another region.
const REGION_MS: f64 = 80.0;

/// Worth of one unit of price per hour.
const PRICE_MS: f64 = 5.0;

/// Delay for each request that the value of a spread label is ahead.
const SPREAD_MS: f64 = 50.0;

/// Delay for an availability zone that is better avoided.
const AVOID_ZONE_MS: f64 = 1000.0;

/// Part of a prompt expected at its first choice, when nothing tells what it holds.
const FIRST_CHOICE_HELD: f64 = 1.0;

/// Part of a prompt expected at its second choice.
const SECOND_CHOICE_HELD: f64 = 0.2;

/// Part of a prompt that draws it to its first choice, when its cache is known.
const FIRST_CHOICE_DRAW: f64 = 0.25;

/// Requests above the mean from which the first choice has no pull.
const BOUNDED_LOAD_FACTOR: f64 = 1.25;

/// Requests that every upstream may have before its load is bounded.
const BOUNDED_LOAD_SLACK: f64 = 2.0;

/// Terms of one upstream's score, in milliseconds; the lowest sum is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct ScoreTerms {
    /// Wait behind the requests there, divided by the rules' weight.
    pub wait_ms: f64,
    /// Time to compute the part of the prompt that is not held there.
    pub recompute_ms: f64,
    /// Round trip.
    pub zone_ms: f64,
    /// Price of the instance.
    pub price_ms: f64,
    /// Load of the upstream's value of a spread rule's label.
    pub spread_ms: f64,
    /// Availability zone that is better avoided.
    pub avoid_ms: f64,
}

impl ScoreTerms {
    /// Returns the sum of the terms.
    pub fn total(&self) -> f64 {
        self.wait_ms
            + self.recompute_ms
            + self.zone_ms
            + self.price_ms
            + self.spread_ms
            + self.avoid_ms
    }
}

/// Place of an upstream in the order that a prompt's prefix gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Affinity {
    /// First choice.
    First,
    /// Second choice.
    Second,
    /// No choice.
    None,
}

/// Score of one upstream for a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Score {
    pub(crate) terms: ScoreTerms,
    pub(crate) reused_tokens: u64,
}

/// What all scores for one request have in common.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scoring<'a> {
    pub(crate) now: Instant,
    pub(crate) req: &'a PlacementRequest<'a>,
    pub(crate) view: &'a ServiceView,
    pub(crate) region: Option<&'a RegionName>,
    pub(crate) has_weights: bool,
}

impl Scoring<'_> {
    /// Scores one upstream; one that can't hold a part of the prompt is not looked up.
    pub(crate) fn score(
        &self,
        slot: u32,
        known: &Known,
        affinity: Affinity,
        may_hold: bool,
    ) -> Score {
        let held = match may_hold {
            true => self.view.memory.held_tokens(self.req.prefix, slot, &known.cache),
            false => 0,
        };
        let held = held.min(self.req.prompt_tokens);
        let pull = self.pull(known, affinity, held);
        let terms = ScoreTerms {
            wait_ms: self.wait_ms(known),
            recompute_ms: (self.req.prompt_tokens as f64 - pull).max(0.0) * RECOMPUTE_WEIGHT
                / PREFILL_TOKENS_PER_MS,
            zone_ms: self.zone_ms(known),
            price_ms: known.candidate.price_per_hour * PRICE_MS,
            spread_ms: f64::from(self.ahead(known)) * SPREAD_MS,
            avoid_ms: self.avoid_ms(known),
        };
        Score { terms, reused_tokens: held }
    }

    /// Returns the tokens that count as held: what is remembered, or expected by the prefix order.
    fn pull(&self, known: &Known, affinity: Affinity, held: u64) -> f64 {
        let covered = (self.req.prefix.len() as u64 * BLOCK_TOKENS).min(self.req.prompt_tokens);
        let part = match affinity {
            Affinity::None => 0.0,
            _ if self.is_over_bound(known) => 0.0,
            Affinity::First if known.has_events(self.now) => FIRST_CHOICE_DRAW,
            Affinity::First => FIRST_CHOICE_HELD,
            Affinity::Second if known.has_events(self.now) => 0.0,
            Affinity::Second => SECOND_CHOICE_HELD,
        };
        (covered as f64 * part).max(held as f64)
    }

    fn is_over_bound(&self, known: &Known) -> bool {
        let mean = f64::from(self.view.requests) / self.view.slots.len().max(1) as f64;
        let bound = BOUNDED_LOAD_FACTOR * mean + BOUNDED_LOAD_SLACK;
        f64::from(known.limit.requests()) > bound
    }

    fn wait_ms(&self, known: &Known) -> f64 {
        let fresh_tokens = self.view.fresh_tokens.get_or(0.0);
        let ahead_tokens = known.prefilling as f64 + self.others_ahead(known, fresh_tokens);
        let prefill = ahead_tokens / PREFILL_TOKENS_PER_MS;
        let waiting = match self.req.prompt_tokens {
            0 => known.others_waiting(self.now) * PLAIN_WAITING_MS,
            _ => 0.0,
        };
        let wait = prefill + waiting + known.requests(self.now) * REQUEST_MS;
        match self.has_weights {
            true => wait / self.view.rules.weight(self.req.labels, known.position).max(1e-3),
            false => wait,
        }
    }

    /// Returns the prompt tokens of other nodes that are still to be computed.
    ///
    /// The engine has gone on since its report; what waited briefly is done by now.
    fn others_ahead(&self, known: &Known, fresh_tokens: f64) -> f64 {
        let waited = known.others_waiting(self.now) * fresh_tokens;
        let done = known.report_age(self.now).as_secs_f64() * 1000.0 * PREFILL_TOKENS_PER_MS;
        (waited - done).max(0.0)
    }

    fn zone_ms(&self, known: &Known) -> f64 {
        if known.candidate.zone == *self.req.local_zone {
            return 0.0;
        }
        match self.region {
            Some(region) if *region != known.candidate.region => REGION_MS,
            _ => ZONE_MS,
        }
    }

    fn ahead(&self, known: &Known) -> u32 {
        let rules = self.view.rules.of(self.req.labels);
        rules.map(|worked| worked.ahead(known.position)).sum()
    }

    fn avoid_ms(&self, known: &Known) -> f64 {
        match self.req.avoid_zone {
            Some(zone) if *zone == known.candidate.zone => AVOID_ZONE_MS,
            _ => 0.0,
        }
    }
}
