//! How many upstreams of a service each availability zone shall have.
//!
//! Reclaimable upstreams cost a fraction, and all of a zone go at once. What is
//! left of them after the loss of one zone must carry the work; on-demand ones
//! fill what reclaimable ones can't.

use lycheelatch_prelude::ZoneName;

use crate::{PurchaseOption, table::ScalingSpec};

/// What one availability zone has of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneCapacity {
    /// The zone.
    pub zone: ZoneName,
    /// On-demand upstreams that take work.
    pub on_demand: u32,
    /// Reclaimable upstreams that take work.
    pub reclaimable: u32,
    /// Whether the cloud has no reclaimable ones there at the moment.
    pub is_reclaimable_exhausted: bool,
}

/// What one availability zone shall have of a service.
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
    /// Returns the count of one kind.
    pub fn of(&self, purchase: PurchaseOption) -> u32 {
        match purchase {
            PurchaseOption::OnDemand => self.on_demand,
            PurchaseOption::Reclaimable => self.reclaimable,
        }
    }
}

/// What a service needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapacityNeed {
    /// Reclaimable upstreams, where they are to be had.
    pub reclaimable: u32,
    /// Upstreams without which the work isn't carried; on-demand ones fill the gap.
    pub required: u32,
    /// Whether there is work now.
    pub is_busy: bool,
}

/// Returns what each zone shall have.
pub fn plan(spec: &ScalingSpec, need: CapacityNeed, supply: &[ZoneCapacity]) -> Vec<ZoneTarget> {
    let mut sizes: Vec<_> = supply
        .iter()
        .map(|zone| ZoneTarget { zone: zone.zone.clone(), on_demand: 0, reclaimable: 0 })
        .collect();
    let by_price = by_price(spec, supply);
    give_reclaimable(spec, need.reclaimable, supply, &by_price, &mut sizes);
    let given: u32 = sizes.iter().map(|size| size.reclaimable).sum();
    // When reclaimable ones can't be replaced, the next zone to go must not be missed.
    let is_reclaimable_exhausted = supply.iter().any(|zone| zone.is_reclaimable_exhausted);
    let at_risk = sizes.iter().map(|size| size.reclaimable).max().unwrap_or(0);
    let given = if is_reclaimable_exhausted { given - at_risk } else { given };
    give_on_demand(spec, need.required.saturating_sub(given), &by_price, &mut sizes);
    if need.is_busy {
        keep_until_replaced(spec, need, supply, &mut sizes);
    }
    sizes
}

/// Returns the positions of the zones, cheapest first.
fn by_price(spec: &ScalingSpec, supply: &[ZoneCapacity]) -> Vec<usize> {
    let price = |at: &usize| spec.zone_prices.get(&supply[*at].zone).copied().unwrap_or(1.0);
    let mut order: Vec<_> = (0..supply.len()).collect();
    order.sort_by(|a, b| price(a).total_cmp(&price(b)));
    order
}

/// Spreads reclaimable upstreams over the zones that have them; a dry zone keeps its own.
fn give_reclaimable(
    spec: &ScalingSpec,
    total: u32,
    supply: &[ZoneCapacity],
    by_price: &[usize],
    sizes: &mut [ZoneTarget],
) {
    let mut given = 0;
    for (zone, size) in supply.iter().zip(&mut *sizes) {
        size.reclaimable =
            if zone.is_reclaimable_exhausted { zone.reclaimable } else { spec.minimum };
        given += size.reclaimable;
    }
    let open: Vec<_> =
        by_price.iter().copied().filter(|&at| !supply[at].is_reclaimable_exhausted).collect();
    while given < total {
        let before = given;
        for &at in &open {
            if given < total && sizes[at].reclaimable < spec.maximum {
                sizes[at].reclaimable += 1;
                given += 1;
            }
        }
        if given == before {
            return;
        }
    }
}

/// Gives on-demand upstreams, in the cheapest zones that have room.
fn give_on_demand(spec: &ScalingSpec, wanted: u32, by_price: &[usize], sizes: &mut [ZoneTarget]) {
    let mut given = 0;
    while given < wanted {
        let has_room = |at: &&usize| {
            let size = &sizes[**at];
            size.on_demand + size.reclaimable < spec.maximum
        };
        let fewest = |at: &&usize| sizes[**at].on_demand;
        let Some(&at) = by_price.iter().filter(has_room).min_by_key(fewest) else { return };
        sizes[at].on_demand += 1;
        given += 1;
    }
}

/// Keeps on-demand upstreams that run until reclaimable ones have taken their place.
fn keep_until_replaced(
    spec: &ScalingSpec,
    need: CapacityNeed,
    supply: &[ZoneCapacity],
    sizes: &mut [ZoneTarget],
) {
    let ready: u32 = supply.iter().map(|zone| zone.reclaimable).sum();
    let mut missing = need.required.saturating_sub(ready);
    for (zone, size) in supply.iter().zip(sizes) {
        let kept = zone.on_demand.min(missing).max(size.on_demand);
        missing = missing.saturating_sub(kept);
        size.on_demand = kept;
        // Both kinds share the maximum, and what runs goes before what is only ordered.
        let room = spec.maximum.saturating_sub(kept);
        size.reclaimable = size.reclaimable.min(room.max(zone.reclaimable));
    }
}
