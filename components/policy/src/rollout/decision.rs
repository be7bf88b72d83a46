//! Decides the next step of a roll-out.

use std::time::Duration;

use super::{
    RollbackReason, RolloutCounts, RolloutEvidence, RolloutLimits, RolloutPhase, RolloutStep,
    fault::{ALONE_FALSE_ALARM_RATE, FALSE_ALARM_RATE, PROMOTION_FALSE_ALARM_RATE, find_fault},
};

/// Part of the permitted exposure that is used for the comparison; the rest is left for the
/// promotion, which sends all requests to the canary before the deadline.
const COMPARISON_PART: f64 = 0.5;

/// Part of the extra requests that is used for the comparison, where few requests are expected.
const COMPARISON_EXTRA_PART: f64 = 0.3;

/// Maximum part of the permitted exposure that these extra requests add to the comparison.
const MAX_COMPARISON_EXTRA: f64 = 0.3;

/// Part of the extra requests that is planned for altogether; the rest is left for requests whose
/// counts a restarted node lost, for retries, and for messages on their way.
const PLANNED_EXTRA_PART: f64 = 0.5;

/// Earliest time of the promotion before the deadline, as a divisor of the duration.
const EARLIEST_PROMOTION: u32 = 10;

/// Latest time of the promotion before the deadline, as a divisor of the duration.
const LATEST_PROMOTION: u32 = 20;

/// Time of the completion before the deadline, as a divisor of the duration.
const COMPLETION_LEAD: u32 = 30;

/// Attempts at the canary that must have ended before it is promoted, if the traffic allows.
const MIN_ENDED: u32 = 5;

/// Multiple of [`MIN_ENDED`] that the canary's share must amount to before their absence counts.
const MIN_ENDED_MARGIN: f64 = 4.0;

/// Returns the next step of a roll-out.
///
/// The phase only moves forward. The evidence must be that of all nodes; a node that has only its
/// own asks [`find_fault_alone`].
pub fn decide(evidence: &RolloutEvidence, limits: &RolloutLimits) -> RolloutStep {
    decide_with_recent(evidence, None, limits)
}

/// Returns why a node must send nothing more to the canary by its own counts alone.
///
/// All nodes may ask this, so that the error rate of each one is smaller than that of [`decide`].
pub fn find_fault_alone(counts: &RolloutCounts, phase: RolloutPhase) -> Option<RollbackReason> {
    match phase {
        RolloutPhase::Canary | RolloutPhase::Promoting => {
            find_fault(counts, phase, ALONE_FALSE_ALARM_RATE)
        }
        RolloutPhase::Completed | RolloutPhase::RolledBack => None,
    }
}

/// Returns the next step of a roll-out; `recent` are the latest of its counts.
pub(super) fn decide_with_recent(
    evidence: &RolloutEvidence,
    recent: Option<&RolloutCounts>,
    limits: &RolloutLimits,
) -> RolloutStep {
    let find = |error_rate| {
        let find_in = |counts| find_fault(counts, evidence.phase, error_rate);
        find_in(&evidence.counts).or_else(|| recent.and_then(find_in))
    };
    match evidence.phase {
        RolloutPhase::Canary => decide_canary(evidence, limits, find),
        RolloutPhase::Promoting => decide_promoting(evidence, limits, find),
        RolloutPhase::Completed => RolloutStep::Continue { canary_share: 1.0 },
        RolloutPhase::RolledBack => RolloutStep::Continue { canary_share: 0.0 },
    }
}

fn decide_canary(
    evidence: &RolloutEvidence,
    limits: &RolloutLimits,
    find_fault: impl Fn(f64) -> Option<RollbackReason>,
) -> RolloutStep {
    if let Some(reason) = find_fault(FALSE_ALARM_RATE) {
        return RolloutStep::RollBack(reason);
    }
    if !is_promotion_due(evidence, limits) {
        return RolloutStep::Continue { canary_share: next_share(evidence, limits) };
    }
    if evidence.duration.is_zero() || lacks_evidence(evidence, limits) {
        return RolloutStep::RollBack(RollbackReason::NotEnoughEvidence);
    }
    match find_fault(PROMOTION_FALSE_ALARM_RATE) {
        Some(reason) => RolloutStep::RollBack(reason),
        None => RolloutStep::Promote,
    }
}

fn decide_promoting(
    evidence: &RolloutEvidence,
    limits: &RolloutLimits,
    find_fault: impl Fn(f64) -> Option<RollbackReason>,
) -> RolloutStep {
    if let Some(reason) = find_fault(FALSE_ALARM_RATE) {
        return RolloutStep::RollBack(reason);
    }
    let left = evidence.duration.saturating_sub(evidence.since_order);
    if left <= evidence.duration / COMPLETION_LEAD {
        return RolloutStep::Complete;
    }
    // The stable track still runs: it takes over again if more requests came than were expected.
    let counts = &evidence.counts;
    let permitted = limits.max_exposure * counts.sent as f64 + f64::from(limits.extra_requests);
    let is_within = counts.sent_to_canary as f64 <= permitted;
    let canary_share = if is_within { 1.0 } else { comparison_share(evidence, limits) };
    RolloutStep::Continue { canary_share }
}

/// Returns the share of requests that the canary gets while it is compared.
fn comparison_share(evidence: &RolloutEvidence, limits: &RolloutLimits) -> f64 {
    let elapsed = evidence.since_order.as_secs_f64().max(f64::MIN_POSITIVE);
    let expected = evidence.counts.sent as f64 * evidence.duration.as_secs_f64() / elapsed;
    let extra = f64::from(limits.extra_requests) * COMPARISON_EXTRA_PART / expected.max(1.0);
    let extra = extra.min(limits.max_exposure * MAX_COMPARISON_EXTRA);
    let share = limits.max_exposure * COMPARISON_PART + extra;
    if share.is_finite() { share.clamp(0.0, 1.0) } else { 0.0 }
}

/// Returns the canary's share, which is 0 while it has got more than it may.
fn next_share(evidence: &RolloutEvidence, limits: &RolloutLimits) -> f64 {
    let counts = &evidence.counts;
    let permitted = limits.max_exposure * counts.sent as f64 + planned_extra(limits);
    let is_over = counts.sent_to_canary as f64 > permitted;
    if is_over { 0.0 } else { comparison_share(evidence, limits) }
}

/// Returns whether the bound is kept if all requests until the deadline go to the canary, or
/// whether the promotion can't wait any longer.
fn is_promotion_due(evidence: &RolloutEvidence, limits: &RolloutLimits) -> bool {
    let left = evidence.duration.saturating_sub(evidence.since_order);
    if left <= evidence.duration / LATEST_PROMOTION {
        return true;
    }
    left <= evidence.duration / EARLIEST_PROMOTION && keeps_bound(evidence, limits, left)
}

fn keeps_bound(evidence: &RolloutEvidence, limits: &RolloutLimits, left: Duration) -> bool {
    let sent = evidence.counts.sent as f64;
    let rate = sent / evidence.since_order.as_secs_f64().max(f64::MIN_POSITIVE);
    let to_come = rate * left.as_secs_f64();
    let moved = f64::from(evidence.in_flight_at_stable);
    let exposed = evidence.counts.sent_to_canary as f64 + to_come + moved;
    exposed <= limits.max_exposure * (sent + to_come) + planned_extra(limits)
}

fn planned_extra(limits: &RolloutLimits) -> f64 {
    f64::from(limits.extra_requests) * PLANNED_EXTRA_PART
}

/// Returns whether almost no attempt at the canary has ended although many should have.
fn lacks_evidence(evidence: &RolloutEvidence, limits: &RolloutLimits) -> bool {
    let counts = &evidence.counts;
    let ended: u32 = counts.routes.values().map(|route| route.canary.ended()).sum();
    let expected = counts.sent as f64 * comparison_share(evidence, limits);
    ended < MIN_ENDED && expected >= MIN_ENDED_MARGIN * f64::from(MIN_ENDED)
}
