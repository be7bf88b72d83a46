//! Target numbers of upstreams of a service per availability zone.
//!
//! Reclaimable upstreams cost a fraction of the price, but all of a zone may be
//! reclaimed at once. After the loss of one zone, the others must still carry
//! the load; on-demand upstreams fill the gap that reclaimable ones leave.

use lycheelatch_prelude::ZoneName;

use crate::{EngineSpeed, PurchaseOption, table::ScalingSpec};

/// Share of an engine's time that may be spent on prompts; the rest is left for the requests that
/// are being answered.
const PREFILL_SHARE: f64 = 0.4;

/// Share of an engine's slots that may be used on average.
const SLOT_SHARE: f64 = 0.5;

/// Minimum number of engines while there is demand, so that one may fail.
const MIN_ENGINES: f64 = 2.0;

/// Availability zones that may be reclaimed before replacements have started.
const LOST_ZONES: usize = 2;

/// Load of a model service over all nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceLoad {
    /// Prompt tokens per second that engines have to process.
    pub prefill_per_second: f64,
    /// Requests in flight at engines.
    pub in_flight: u32,
    /// Number of requests rejected for lack of capacity per request of a caller, at most 1.
    pub rejected_share: f64,
}

/// Returns the number of engines that carry a load within the latency targets.
pub fn required_engines(load: &ServiceLoad, slots: u32, speed: EngineSpeed) -> f64 {
    let prefill_share = speed.prefill_ms(load.prefill_per_second) / 1000.0;
    let for_prefill = prefill_share / PREFILL_SHARE;
    let for_slots = f64::from(load.in_flight) / (f64::from(slots.max(1)) * SLOT_SHARE);
    let engines = for_prefill.max(for_slots) * (1.0 + load.rejected_share);
    engines.max(MIN_ENGINES)
}

/// Returns the number of reclaimable engines, evenly spread over `zones`, of which the required
/// ones are left when `LOST_ZONES` of the zones have been reclaimed.
pub fn reclaimable_engines(required: f64, zones: usize) -> u32 {
    let remaining_zones = zones.saturating_sub(LOST_ZONES).max(1);
    let per_zone = (required / remaining_zones as f64).ceil();
    per_zone as u32 * u32::try_from(zones).unwrap_or(u32::MAX)
}

/// Current upstreams of a service in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneCapacity {
    /// The zone.
    pub zone: ZoneName,
    /// On-demand upstreams that accept requests.
    pub on_demand: u32,
    /// Reclaimable upstreams that accept requests.
    pub reclaimable: u32,
    /// Whether the cloud provider currently has no more reclaimable instances in the zone.
    pub is_reclaimable_exhausted: bool,
}

/// Target numbers of upstreams of a service in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneTarget {
    /// The zone.
    pub zone: ZoneName,
    /// On-demand upstreams.
    pub on_demand: u32,
    /// Reclaimable upstreams.
    pub reclaimable: u32,
}

impl ZoneTarget {
    /// Returns the target for a purchase option.
    pub fn count(&self, purchase: PurchaseOption) -> u32 {
        match purchase {
            PurchaseOption::OnDemand => self.on_demand,
            PurchaseOption::Reclaimable => self.reclaimable,
        }
    }
}

/// Upstreams that a service needs over all zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapacityNeed {
    /// Reclaimable upstreams, as far as they are available.
    pub reclaimable: u32,
    /// Minimum number of upstreams of both purchase options that the load requires.
    pub required: u32,
    /// Whether there is demand now.
    pub is_busy: bool,
}

/// Returns the target of each zone.
pub fn plan(spec: &ScalingSpec, need: CapacityNeed, capacity: &[ZoneCapacity]) -> Vec<ZoneTarget> {
    let mut targets: Vec<_> = capacity
        .iter()
        .map(|zone| ZoneTarget { zone: zone.zone.clone(), on_demand: 0, reclaimable: 0 })
        .collect();
    let zones_by_price = zones_by_price(spec, capacity);
    assign_reclaimable(spec, need.reclaimable, capacity, &zones_by_price, &mut targets);
    let assigned: u32 = targets.iter().map(|target| target.reclaimable).sum();
    // When reclaimable upstreams can't be replaced, the load must fit without the largest zone.
    let is_reclaimable_exhausted = capacity.iter().any(|zone| zone.is_reclaimable_exhausted);
    let largest_zone = targets.iter().map(|target| target.reclaimable).max().unwrap_or(0);
    let assigned = if is_reclaimable_exhausted { assigned - largest_zone } else { assigned };
    assign_on_demand(spec, need.required.saturating_sub(assigned), &zones_by_price, &mut targets);
    if need.is_busy {
        keep_until_replaced(spec, need, capacity, &mut targets);
    }
    targets
}

/// Returns the indexes of the zones, cheapest first.
fn zones_by_price(spec: &ScalingSpec, capacity: &[ZoneCapacity]) -> Vec<usize> {
    let price = |at: &usize| spec.zone_prices.get(&capacity[*at].zone).copied().unwrap_or(1.0);
    let mut order: Vec<_> = (0..capacity.len()).collect();
    order.sort_by(|a, b| price(a).total_cmp(&price(b)));
    order
}

/// Spreads reclaimable upstreams evenly over the zones where they are available; in the other zones
/// the running ones are kept.
fn assign_reclaimable(
    spec: &ScalingSpec,
    total: u32,
    capacity: &[ZoneCapacity],
    zones_by_price: &[usize],
    targets: &mut [ZoneTarget],
) {
    let mut assigned = 0;
    for (zone, target) in capacity.iter().zip(&mut *targets) {
        target.reclaimable =
            if zone.is_reclaimable_exhausted { zone.reclaimable } else { spec.minimum };
        assigned += target.reclaimable;
    }
    let available: Vec<_> = zones_by_price
        .iter()
        .copied()
        .filter(|&at| !capacity[at].is_reclaimable_exhausted)
        .collect();
    while assigned < total {
        let before = assigned;
        for &at in &available {
            if assigned < total && targets[at].reclaimable < spec.maximum {
                targets[at].reclaimable += 1;
                assigned += 1;
            }
        }
        if assigned == before {
            return;
        }
    }
}

/// Spreads on-demand upstreams over the zones below their maximum, cheapest first.
fn assign_on_demand(
    spec: &ScalingSpec,
    count: u32,
    zones_by_price: &[usize],
    targets: &mut [ZoneTarget],
) {
    let mut assigned = 0;
    while assigned < count {
        let has_room = |at: &&usize| {
            let target = &targets[**at];
            target.on_demand + target.reclaimable < spec.maximum
        };
        let fewest = |at: &&usize| targets[**at].on_demand;
        let Some(&at) = zones_by_price.iter().filter(has_room).min_by_key(fewest) else { return };
        targets[at].on_demand += 1;
        assigned += 1;
    }
}

/// Keeps running on-demand upstreams until reclaimable ones have replaced them.
fn keep_until_replaced(
    spec: &ScalingSpec,
    need: CapacityNeed,
    capacity: &[ZoneCapacity],
    targets: &mut [ZoneTarget],
) {
    let ready: u32 = capacity.iter().map(|zone| zone.reclaimable).sum();
    let mut missing = need.required.saturating_sub(ready);
    for (zone, target) in capacity.iter().zip(targets) {
        let kept = zone.on_demand.min(missing).max(target.on_demand);
        missing = missing.saturating_sub(kept);
        target.on_demand = kept;
        // Both purchase options share the maximum, and running upstreams take precedence.
        let room = spec.maximum.saturating_sub(kept);
        target.reclaimable = target.reclaimable.min(room.max(zone.reclaimable));
    }
}
