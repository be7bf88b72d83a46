//! Estimated cost of sending a request to an upstream, in milliseconds.

use lycheelatch_prelude::RegionName;
use serde::Serialize;
use tokio::time::Instant;

use super::{PlacementRequest, fleet_view::ServiceView, upstream::UpstreamView};
use crate::prefix::BLOCK_TOKENS;

/// Prompt tokens that an engine is expected to prefill per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 8.0;

/// Weight of recomputed tokens relative to waiting time.
const RECOMPUTE_WEIGHT: f64 = 2.5;

/// Estimated delay per request in flight at an upstream.
const REQUEST_MS: f64 = 2.0;

/// Estimated delay per request queued at an upstream of a plain service.
const PLAIN_WAITING_MS: f64 = 10.0;

/// Round-trip time to another availability zone.
const ZONE_MS: f64 = 6.0;

/// Round-trip time to another region.
const REGION_MS: f64 = 80.0;

/// Cost of one unit of price per hour.
const PRICE_MS: f64 = 5.0;

/// Penalty per request by which a spread label's value exceeds the least loaded value.
const SPREAD_MS: f64 = 50.0;

/// Penalty for the availability zone to avoid.
const AVOID_ZONE_MS: f64 = 1000.0;

/// Share of a prompt assumed to be cached at its first choice if no cache events arrive.
const FIRST_CHOICE_SHARE: f64 = 1.0;

/// Share of a prompt assumed to be cached at its second choice if no cache events arrive.
const SECOND_CHOICE_SHARE: f64 = 0.2;

/// Share of a prompt credited to its first choice even if cache events show that less is cached.
///
/// Keeps prompts with the same prefix on one upstream.
const FIRST_CHOICE_SHARE_WITH_EVENTS: f64 = 0.25;

/// Multiple of the mean number of requests above which a ranked choice gets no credit.
const BOUNDED_LOAD_FACTOR: f64 = 1.25;

/// Number of requests by which an upstream may exceed that multiple.
const BOUNDED_LOAD_SLACK: f64 = 2.0;

/// Terms of an upstream's score, in milliseconds; the lowest sum is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct ScoreTerms {
    /// Waiting time behind the requests at the upstream, divided by its rule weight.
    pub wait_ms: f64,
    /// Weighted time to prefill the uncached part of the prompt.
    pub recompute_ms: f64,
    /// Round-trip time to the upstream's availability zone.
    pub zone_ms: f64,
    /// Cost derived from the instance price.
    pub price_ms: f64,
    /// Penalty for the load of the upstream's label value under spread rules.
    pub spread_ms: f64,
    /// Penalty if the upstream is in the availability zone to avoid.
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

/// Rank of an upstream in the rendezvous order of a prompt's prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Affinity {
    /// First choice.
    First,
    /// Second choice.
    Second,
    /// Neither the first nor the second choice.
    None,
}

/// Score of an upstream for a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Score {
    pub(crate) terms: ScoreTerms,
    pub(crate) reused_tokens: u64,
}

/// Inputs shared by all scores for one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scoring<'a> {
    pub(crate) now: Instant,
    pub(crate) req: &'a PlacementRequest<'a>,
    pub(crate) view: &'a ServiceView,
    pub(crate) region: Option<&'a RegionName>,
    pub(crate) has_weights: bool,
}

impl Scoring<'_> {
    /// Scores an upstream.
    ///
    /// Skips the prefix index lookup if the upstream cannot have a part of the prompt cached.
    pub(crate) fn score(
        &self,
        slot: u32,
        upstream: &UpstreamView,
        affinity: Affinity,
        may_have_prefix: bool,
    ) -> Score {
        let cached = match may_have_prefix {
            true => self.view.prefix_index.cached_tokens(self.req.prefix, slot, &upstream.cache),
            false => 0,
        };
        let cached = cached.min(self.req.prompt_tokens);
        let credited_tokens = self.credited_tokens(upstream, affinity, cached);
        let terms = ScoreTerms {
            wait_ms: self.wait_ms(upstream),
            recompute_ms: (self.req.prompt_tokens as f64 - credited_tokens).max(0.0)
                * RECOMPUTE_WEIGHT
                / PREFILL_TOKENS_PER_MS,
            zone_ms: self.zone_ms(upstream),
            price_ms: upstream.candidate.price_per_hour * PRICE_MS,
            spread_ms: f64::from(self.spread_excess(upstream)) * SPREAD_MS,
            avoid_ms: self.avoid_ms(upstream),
        };
        Score { terms, reused_tokens: cached }
    }

    /// Returns the prompt tokens credited as cached.
    ///
    /// That is the larger of the tokens found in the prefix index and the share assumed for the
    /// upstream's rank.
    fn credited_tokens(&self, upstream: &UpstreamView, affinity: Affinity, cached: u64) -> f64 {
        let covered = (self.req.prefix.len() as u64 * BLOCK_TOKENS).min(self.req.prompt_tokens);
        let share = match affinity {
            Affinity::None => 0.0,
            _ if self.is_over_bound(upstream) => 0.0,
            Affinity::First if upstream.has_events(self.now) => FIRST_CHOICE_SHARE_WITH_EVENTS,
            Affinity::First => FIRST_CHOICE_SHARE,
            Affinity::Second if upstream.has_events(self.now) => 0.0,
            Affinity::Second => SECOND_CHOICE_SHARE,
        };
        (covered as f64 * share).max(cached as f64)
    }

    fn is_over_bound(&self, upstream: &UpstreamView) -> bool {
        let mean = f64::from(self.view.requests) / self.view.slots.len().max(1) as f64;
        let bound = BOUNDED_LOAD_FACTOR * mean + BOUNDED_LOAD_SLACK;
        f64::from(upstream.limit.requests()) > bound
    }

    fn wait_ms(&self, upstream: &UpstreamView) -> f64 {
        let mean_tokens = self.view.mean_uncached_tokens.get_or(0.0);
        let queued_tokens =
            upstream.prefill_tokens as f64 + self.remote_queued_tokens(upstream, mean_tokens);
        let prefill = queued_tokens / PREFILL_TOKENS_PER_MS;
        let queued = match self.req.prompt_tokens {
            0 => upstream.remote_waiting(self.now) * PLAIN_WAITING_MS,
            _ => 0.0,
        };
        let wait = prefill + queued + upstream.requests(self.now) * REQUEST_MS;
        match self.has_weights {
            true => wait / self.view.rules.weight(self.req.labels, upstream.position).max(1e-3),
            false => wait,
        }
    }

    /// Estimates the queued prompt tokens of requests from other nodes.
    ///
    /// `mean_tokens` is the mean number of uncached tokens per request. Subtracts the tokens that
    /// the engine can have prefilled since its last load report.
    fn remote_queued_tokens(&self, upstream: &UpstreamView, mean_tokens: f64) -> f64 {
        let reported = upstream.remote_waiting(self.now) * mean_tokens;
        let done = upstream.report_age(self.now).as_secs_f64() * 1000.0 * PREFILL_TOKENS_PER_MS;
        (reported - done).max(0.0)
    }

    fn zone_ms(&self, upstream: &UpstreamView) -> f64 {
        if upstream.candidate.zone == *self.req.local_zone {
            return 0.0;
        }
        match self.region {
            Some(region) if *region != upstream.candidate.region => REGION_MS,
            _ => ZONE_MS,
        }
    }

    fn spread_excess(&self, upstream: &UpstreamView) -> u32 {
        let rules = self.view.rules.applicable(self.req.labels);
        rules.map(|resolved| resolved.spread_excess(upstream.position)).sum()
    }

    fn avoid_ms(&self, upstream: &UpstreamView) -> f64 {
        match self.req.avoid_zone {
            Some(zone) if *zone == upstream.candidate.zone => AVOID_ZONE_MS,
            _ => 0.0,
        }
    }
}
