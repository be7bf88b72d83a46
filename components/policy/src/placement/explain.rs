//! Explains where a request would go, and why.

use lycheelatch_prelude::{Name, UpstreamId, ZoneName};
use serde::Serialize;
use tokio::time::Instant;

use super::{
    Affinity, CandidateState, Placement, PlacementError, PlacementRequest, ScoreTerms, affinity,
    choices, scoring,
};
use crate::bits::BitSet;

/// Most upstreams that an explanation lists.
const MAX_LISTED: usize = 100;

/// One upstream and what was found about it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ScoredUpstream {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it takes new work.
    pub state: CandidateState,
    /// Whether it is left out because it failed lately.
    pub ejected: bool,
    /// Rules for the request that select it, in order.
    pub selected_by: Vec<Name>,
    /// Whether it may be used: live, not excluded, and every require rule selects it.
    pub allowed: bool,
    /// Whether the prefer rules leave it in.
    pub preferred: bool,
    /// Whether its limit leaves room for the request.
    pub has_room: bool,
    /// Work in flight there from this node, in the units of the service.
    pub in_flight: u64,
    /// Limit of that work.
    pub limit: u64,
    /// Place in the order that the prompt's prefix gives.
    pub affinity: Affinity,
    /// Tokens of the prompt that it is expected to hold.
    pub reused_tokens_expected: u64,
    /// Terms of its score.
    pub terms: ScoreTerms,
    /// Sum of the terms, in milliseconds.
    pub total_ms: f64,
}

/// Where a request would go, and why.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Explanation {
    /// Upstream that would be chosen.
    pub choice: Option<UpstreamId>,
    /// Why none would be.
    pub error: Option<PlacementError>,
    /// Rules that apply to the request, in order.
    pub rules: Vec<Name>,
    /// How many upstreams the service has.
    pub upstreams: usize,
    /// The upstreams, those that would be taken first at the front.
    pub scored: Vec<ScoredUpstream>,
}

impl Placement {
    /// Explains where a request would go, without sending it and without random picks.
    pub fn explain(&self, now: Instant, req: &PlacementRequest<'_>) -> Explanation {
        let Some(view) = self.fleet.service(req.service) else {
            return Explanation::of_error(PlacementError::NoUpstream);
        };
        let (allowed, preferred) = self.explained_sets(req);
        let scoring = scoring(now, req, view, &self.fleet);
        let (first, second) = choices(&scoring, &preferred);
        let mut scored: Vec<ScoredUpstream> = (0..view.slots.len())
            .map(|position| {
                let slot = view.slots[position];
                let known = self.fleet.known(slot);
                let affinity = affinity(position, first, second);
                let score = scoring.score(slot, known, affinity, true);
                ScoredUpstream {
                    upstream: known.candidate.id.clone(),
                    zone: known.candidate.zone.clone(),
                    state: known.candidate.state,
                    ejected: known.ejection.is_out(),
                    selected_by: view
                        .rules
                        .of(req.labels)
                        .filter(|worked| worked.selects(position))
                        .map(|worked| worked.rule.name.clone())
                        .collect(),
                    allowed: allowed.get(position),
                    preferred: preferred.get(position),
                    has_room: known.limit.has_room(),
                    in_flight: known.limit.in_flight(),
                    limit: known.limit.units(),
                    affinity,
                    reused_tokens_expected: score.reused_tokens,
                    terms: score.terms,
                    total_ms: score.terms.total(),
                }
            })
            .collect();
        scored.sort_by(|a, b| {
            let key = |s: &ScoredUpstream| (!(s.allowed && s.has_room), !s.preferred);
            key(a).cmp(&key(b)).then_with(|| a.total_ms.total_cmp(&b.total_ms))
        });
        let best = scored.first().filter(|first| first.allowed && first.has_room);
        let error = match best {
            Some(_) => None,
            None if view.live.count() == 0 => Some(PlacementError::NoUpstream),
            None if allowed.count() == 0 => Some(PlacementError::NoMatch),
            None => Some(PlacementError::Full),
        };
        let choice = best.map(|best| best.upstream.clone());
        let rules = view.rules.of(req.labels).map(|worked| worked.rule.name.clone()).collect();
        scored.truncate(MAX_LISTED);
        Explanation { choice, error, rules, upstreams: view.slots.len(), scored }
    }

    fn explained_sets(&self, req: &PlacementRequest<'_>) -> (BitSet, BitSet) {
        let mut copy = (BitSet::default(), BitSet::default());
        let Some(view) = self.fleet.service(req.service) else {
            return copy;
        };
        let excluded = |position: usize| {
            req.exclude.contains(&self.fleet.known(view.slots[position]).candidate.id)
        };
        for usable in [&view.usable, &view.live] {
            copy.0.copy_from(usable);
            view.rules.keep_required(req.labels, &mut copy.0);
            if copy.0.count() > 0 {
                break;
            }
        }
        for position in (0..view.slots.len()).filter(|position| excluded(*position)) {
            copy.0.set(position, false);
        }
        copy.1.copy_from(&copy.0);
        view.rules.keep_preferred(req.labels, &mut copy.1);
        copy
    }
}

impl Explanation {
    fn of_error(error: PlacementError) -> Explanation {
        Explanation {
            choice: None,
            error: Some(error),
            rules: Vec::new(),
            upstreams: 0,
            scored: Vec::new(),
        }
    }
}
