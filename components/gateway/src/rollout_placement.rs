//! Selects upstreams during roll-outs.

use std::rc::Rc;

use lycheelatch_policy::{RolloutPhase, Track, loaded_canaries};
use lycheelatch_prelude::ServiceName;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    Gateway,
    directory::Upstream,
    place::{Placement, PlacementError, PlacementRequest, place},
    rollout::Rollout,
};

#[cfg(test)]
mod tests;

/// Upstreams that an attempt may be sent to.
enum Permitted {
    /// All of these alike.
    Any(Vec<Rc<Upstream>>),
    /// The canary, or the stable track if the canary has no room.
    CanaryFirst { canary: Vec<Rc<Upstream>>, stable: Vec<Rc<Upstream>> },
}

/// Selects an upstream among those that a roll-out of the service permits.
///
/// The canary is never a substitute for a stable track without room.
pub(crate) fn place_permitted(
    gateway: &Gateway,
    req: &PlacementRequest<'_>,
    candidates: Vec<Rc<Upstream>>,
    now: Instant,
    random: f64,
) -> Result<Placement, PlacementError> {
    let service = &req.service.name;
    match permitted(gateway, service, req.all_upstreams, candidates) {
        Permitted::Any(upstreams) => place(req, &upstreams, now, random),
        Permitted::CanaryFirst { canary, stable } => {
            place(req, &canary, now, random).or_else(|_| {
                if let Some(rollout) = gateway.rollouts.borrow_mut().get_mut(service) {
                    rollout.refund();
                }
                place(req, &stable, now, random)
            })
        }
    }
}

fn permitted(
    gateway: &Gateway,
    service: &ServiceName,
    all: &[Rc<Upstream>],
    candidates: Vec<Rc<Upstream>>,
) -> Permitted {
    let mut rollouts = gateway.rollouts.borrow_mut();
    let Some(rollout) = rollouts.get_mut(service) else { return Permitted::Any(candidates) };
    if rollout.phase() == RolloutPhase::Completed {
        return Permitted::Any(without_replaced(rollout, candidates));
    }
    let track = |up: &Rc<Upstream>| rollout.track_of(up);
    let has_stable = all.iter().any(|up| track(up) == Track::Stable);
    let (canary, stable): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|up| track(up) == Track::Canary);
    match rollout.phase() {
        RolloutPhase::Completed | RolloutPhase::RolledBack => Permitted::Any(stable),
        // Nothing is replaced where all upstreams run the new version and always have.
        _ if !has_stable && rollout.counts().sent == rollout.counts().sent_to_canary => {
            Permitted::Any(canary)
        }
        RolloutPhase::Promoting if canary.is_empty() => Permitted::Any(stable),
        RolloutPhase::Promoting if rollout.canary_share() > 0.0 => Permitted::Any(canary),
        _ if canary.is_empty() || !rollout.admit_to_canary() => Permitted::Any(stable),
        _ => {
            let share = rollout.canary_share();
            let seed = rollout.order.number;
            let count = loaded_canaries(stable.len(), canary.len(), share);
            Permitted::CanaryFirst { canary: first_by_hash(canary, count, seed), stable }
        }
    }
}

/// Returns the candidates that a completed roll-out did not replace, or all if there is no other.
fn without_replaced(rollout: &Rollout, candidates: Vec<Rc<Upstream>>) -> Vec<Rc<Upstream>> {
    let (replaced, left): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|up| rollout.replaced(up));
    if left.is_empty() { replaced } else { left }
}

/// Returns `count` of the upstreams, the same ones on all nodes.
fn first_by_hash(mut upstreams: Vec<Rc<Upstream>>, count: usize, seed: u64) -> Vec<Rc<Upstream>> {
    if count < upstreams.len() {
        upstreams
            .sort_by_key(|up| xxh3_64_with_seed(up.entry.borrow().id.as_str().as_bytes(), seed));
        upstreams.truncate(count);
    }
    upstreams
}
