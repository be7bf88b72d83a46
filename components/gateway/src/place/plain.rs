//! Selects the upstream for a request to a service that is not a model.

use std::{rc::Rc, time::Duration};

use lycheelatch_policy::{UpstreamCost, choose_upstream};
use tokio::time::Instant;

use super::{ExpectedSpeed, Placement, PlacementError, PlacementRequest, penalty_ms};
use crate::{directory::Upstream, schedule};

/// Age above which a load reported by an upstream is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(400);

/// Selects an upstream of a service that is not a model.
pub(super) fn place_plain(
    req: &PlacementRequest<'_>,
    usable: &[&Rc<Upstream>],
    now: Instant,
    random: f64,
) -> Result<Placement, PlacementError> {
    let usual = usual_factor(usable, now);
    let loads: Vec<_> = usable.iter().map(|up| PlainLoad::of(req, up, usual, now)).collect();
    let costs: Vec<_> = loads.iter().map(|load| load.cost).collect();
    let best = choose_upstream(&costs, random).ok_or(PlacementError::NoUpstream)?;
    let (upstream, load) = (usable[best], &loads[best]);
    if load.wait > req.time_to_target {
        return Err(PlacementError::Busy(load.wait - req.time_to_target));
    }
    Ok(Placement {
        upstream: upstream.clone(),
        speed: load.speed.with_expected(load.time_at_slot + load.wait),
        estimate: None,
        fetch_from: None,
        candidates: usable.len(),
        runner_up: None,
    })
}

/// Returns the mean factor of the upstreams of which something is known, for the others, so that
/// these are tried; at most the usual of the service.
fn usual_factor(usable: &[&Rc<Upstream>], now: Instant) -> f64 {
    let known = usable.iter().filter(|up| !up.speed.borrow().is_unknown());
    let logs: Vec<_> = known.map(|up| up.speed.borrow().factor(0.0, now).ln()).collect();
    let mean = (logs.iter().sum::<f64>() / logs.len().max(1) as f64).exp();
    mean.min(1.0)
}

/// What a request to an upstream that is not a model has to expect.
struct PlainLoad {
    speed: ExpectedSpeed,
    /// Time that the request takes once it has a slot.
    time_at_slot: Duration,
    /// Time until it has a slot.
    wait: Duration,
    cost: UpstreamCost,
}

impl PlainLoad {
    fn of(req: &PlacementRequest<'_>, up: &Upstream, usual_factor: f64, now: Instant) -> PlainLoad {
        let slots = up.entry.borrow().slots.max(1);
        let requests = requests_at(up, req.speed.first_token_ms, now);
        let crowding = f64::from(requests) / f64::from(slots);
        let mut speed = ExpectedSpeed::of(up, crowding, now);
        if up.speed.borrow().is_unknown() {
            speed.factor = usual_factor;
        }
        let alone_ms = req.speed.first_token_ms * speed.factor;
        let delay = up.speed.borrow().delay_to_others(requests, slots, now);
        let ahead = (requests + 1).saturating_sub(slots);
        let wait_ms = f64::from(ahead) / f64::from(slots) * alone_ms;
        PlainLoad {
            speed,
            time_at_slot: Duration::from_secs_f64(alone_ms / 1000.0),
            wait: Duration::from_secs_f64(wait_ms / 1000.0),
            cost: UpstreamCost {
                alone_ms,
                requests,
                slots,
                delay_to_others_ms: delay * req.speed.first_token_ms,
                penalty_ms: penalty_ms(req, up),
            },
        }
    }
}

/// Returns the number of requests at an upstream: the count of all nodes, or the load that
/// the upstream reported recently if that is higher.
///
/// If a request takes less time than the counts are old, those of other nodes are smoothed.
fn requests_at(up: &Upstream, alone_ms: f64, now: Instant) -> u32 {
    let elsewhere = match Duration::from_secs_f64(alone_ms / 1000.0) < schedule::INTERVAL {
        true => up.smoothed_elsewhere.get().get(),
        false => up.running_elsewhere.get(),
    };
    let counted = up.running.get() + elsewhere;
    let reported =
        up.reported_load.get().filter(|(_, at)| now.duration_since(*at) < MAX_REPORT_AGE);
    reported.map_or(counted, |(load, _)| counted.max(load.waiting + load.running.min(load.slots)))
}
