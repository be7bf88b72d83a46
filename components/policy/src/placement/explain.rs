//! Explains a placement decision.

use lycheelatch_prelude::{Name, UpstreamId, ZoneName};
use serde::Serialize;
use tokio::time::Instant;

use super::{
    Affinity, CandidateState, Placement, PlacementError, PlacementRequest, ScoreTerms, affinity,
    choices, scoring,
};
use crate::bits::BitSet;

/// Maximum number of upstreams listed in an explanation.
const MAX_LISTED: usize = 100;

/// Evaluation of one upstream for a request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ScoredUpstream {
    /// Identity of the upstream.
    pub upstream: UpstreamId,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Whether the upstream takes new work.
    pub state: CandidateState,
    /// Whether the upstream is ejected because of recent failures.
    pub ejected: bool,
    /// Rules applicable to the request that select the upstream, in order.
    pub selected_by: Vec<Name>,
    /// Whether the upstream is eligible: live, not excluded, and selected by every require rule.
    pub allowed: bool,
    /// Whether the upstream is among those that the prefer rules keep.
    pub preferred: bool,
    /// Whether its concurrency limit admits another request.
    pub has_room: bool,
    /// Work in flight from this node, in the units of the service.
    pub in_flight: u64,
    /// Limit on the work in flight from this node, in the units of the service.
    pub limit: u64,
    /// Rank of the upstream in the rendezvous order of the prompt's prefix.
    pub affinity: Affinity,
    /// Prompt tokens expected in its prefix cache.
    pub reused_tokens_expected: u64,
    /// Terms of its score.
    pub terms: ScoreTerms,
    /// Sum of the terms, in milliseconds.
    pub total_ms: f64,
}

/// Explanation of a placement decision.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Explanation {
    /// Upstream that would be chosen.
    pub choice: Option<UpstreamId>,
    /// Reason if none would be chosen.
    pub error: Option<PlacementError>,
    /// Rules applicable to the request, in order.
    pub rules: Vec<Name>,
    /// Number of upstreams of the service.
    pub upstreams: usize,
    /// Evaluated upstreams, best first.
    pub scored: Vec<ScoredUpstream>,
}

impl Placement {
    /// Explains which upstream a request would be sent to, without sending it.
    ///
    /// Scores every upstream of the service, whereas [`Placement::choose`] samples a large one.
    pub fn explain(&self, now: Instant, req: &PlacementRequest<'_>) -> Explanation {
        let Some(view) = self.fleet.service(req.service) else {
            return Explanation::of_error(PlacementError::NoUpstream);
        };
        let (allowed, preferred) = self.eligible_sets(req);
        let scoring = scoring(now, req, view, &self.fleet);
        let (first, second) = choices(&scoring, &preferred);
        let mut scored: Vec<ScoredUpstream> = (0..view.slots.len())
            .map(|position| {
                let slot = view.slots[position];
                let upstream = self.fleet.upstream(slot);
                let affinity = affinity(position, first, second);
                let score = scoring.score(slot, upstream, affinity, true);
                ScoredUpstream {
                    upstream: upstream.candidate.id.clone(),
                    zone: upstream.candidate.zone.clone(),
                    state: upstream.candidate.state,
                    ejected: upstream.ejection.is_ejected(),
                    selected_by: view
                        .rules
                        .applicable(req.labels)
                        .filter(|resolved| resolved.selects(position))
                        .map(|resolved| resolved.rule.name.clone())
                        .collect(),
                    allowed: allowed.get(position),
                    preferred: preferred.get(position),
                    has_room: upstream.limit.has_capacity(),
                    in_flight: upstream.limit.in_flight(),
                    limit: upstream.limit.units(),
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
        let rules =
            view.rules.applicable(req.labels).map(|resolved| resolved.rule.name.clone()).collect();
        scored.truncate(MAX_LISTED);
        Explanation { choice, error, rules, upstreams: view.slots.len(), scored }
    }

    /// Returns the positions of the eligible and of the preferred upstreams.
    fn eligible_sets(&self, req: &PlacementRequest<'_>) -> (BitSet, BitSet) {
        let mut allowed = BitSet::default();
        let mut preferred = BitSet::default();
        let Some(view) = self.fleet.service(req.service) else {
            return (allowed, preferred);
        };
        let is_excluded = |position: usize| {
            req.exclude.contains(&self.fleet.upstream(view.slots[position]).candidate.id)
        };
        for candidates in [&view.usable, &view.live] {
            allowed.copy_from(candidates);
            view.rules.retain_required(req.labels, &mut allowed);
            if allowed.count() > 0 {
                break;
            }
        }
        for position in (0..view.slots.len()).filter(|position| is_excluded(*position)) {
            allowed.set(position, false);
        }
        preferred.copy_from(&allowed);
        view.rules.retain_preferred(req.labels, &mut preferred);
        (allowed, preferred)
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
