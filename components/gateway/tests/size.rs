//! Sizing of availability zones with a varying supply of reclaimable upstreams.

use std::{collections::BTreeMap, time::Duration};

use lycheelatch_gateway::{
    CapacityNeed, EngineSpeed, PurchaseOption, ScalingSpec, ServiceLoad, ZoneCapacity, ZoneTarget,
    keep_running, plan, reclaimable_engines, required_engines,
};
use lycheelatch_prelude::ZoneName;
use proptest::prelude::*;

fn zone(name: &str) -> ZoneName {
    name.parse().unwrap()
}

fn spec() -> ScalingSpec {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)];
    ScalingSpec {
        minimum: 1,
        maximum: 6,
        startup_time: Duration::from_secs(4),
        reclaimable_price: 0.15,
        zone_prices: prices.into_iter().map(|(name, price)| (zone(name), price)).collect(),
    }
}

fn supply(counts: [(u32, u32, bool); 4]) -> Vec<ZoneCapacity> {
    let zones = ["a", "b", "c", "d"].into_iter().zip(counts);
    zones
        .map(|(name, (on_demand, reclaimable, is_reclaimable_exhausted))| ZoneCapacity {
            zone: zone(name),
            on_demand,
            reclaimable,
            is_reclaimable_exhausted,
        })
        .collect()
}

fn total(sizes: &[ZoneTarget], purchase: PurchaseOption) -> u32 {
    sizes.iter().map(|size| size.count(purchase)).sum()
}

const NEED: CapacityNeed = CapacityNeed { reclaimable: 12, required: 4, is_busy: true };

#[test]
fn plan_spreads_reclaimable_over_zones() {
    let sizes = plan(&spec(), NEED, &supply([(0, 3, false); 4]));
    assert!(sizes.iter().all(|size| size.reclaimable == 3 && size.on_demand == 0), "{sizes:?}");
}

#[test]
fn plan_keeps_running_upstreams_in_a_zone_without_supply() {
    let sizes =
        plan(&spec(), NEED, &supply([(0, 3, true), (0, 3, true), (0, 3, true), (0, 0, true)]));
    assert_eq!(total(&sizes, PurchaseOption::Reclaimable), 9);
}

#[test]
fn plan_buys_on_demand_before_another_zone_is_reclaimed() {
    // Two zones are lost and can't be replaced; losing another one leaves three of the four
    // upstreams that are needed.
    let exhausted = supply([(0, 3, true), (0, 3, true), (0, 0, true), (0, 0, true)]);
    let sizes = plan(&spec(), NEED, &exhausted);
    assert_eq!(total(&sizes, PurchaseOption::OnDemand), 1, "{sizes:?}");
    // Only one zone is left, so all upstreams that are needed are bought on demand.
    let exhausted = supply([(0, 3, true), (0, 0, true), (0, 0, true), (0, 0, true)]);
    assert_eq!(total(&plan(&spec(), NEED, &exhausted), PurchaseOption::OnDemand), 4);
}

#[test]
fn plan_buys_in_the_cheapest_zones() {
    let exhausted = supply([(0, 0, true); 4]);
    let need = CapacityNeed { required: 2, ..NEED };
    let sizes = plan(&spec(), need, &exhausted);
    let bought: Vec<_> = sizes.iter().filter(|size| size.on_demand > 0).collect();
    assert_eq!(bought.iter().map(|size| size.zone.as_str()).collect::<Vec<_>>(), ["b", "d"]);
}

#[test]
fn plan_keeps_on_demand_until_replaced() {
    let started = supply([(3, 0, false), (2, 0, false), (2, 0, false), (2, 0, false)]);
    let sizes = plan(&spec(), NEED, &started);
    assert_eq!(total(&sizes, PurchaseOption::OnDemand), 4, "as many as the work needs are kept");
    let idle = CapacityNeed { is_busy: false, ..NEED };
    assert_eq!(total(&plan(&spec(), idle, &started), PurchaseOption::OnDemand), 0);
}

/// Returns the target over all zones of a leader that has led for a number of seconds.
fn kept_after(seconds: u64, supply: &[ZoneCapacity], purchase: PurchaseOption) -> u32 {
    let mut targets = plan(&spec(), NEED, supply);
    keep_running(&spec(), Duration::from_secs(seconds), supply, &mut targets);
    total(&targets, purchase)
}

#[test]
fn keep_running_holds_what_a_predecessor_ordered() {
    // The predecessor knew that no reclaimable upstreams are to be had in two of the zones.
    let supply = supply([(2, 0, false), (2, 0, false), (0, 4, false), (0, 4, false)]);
    let planned = plan(&spec(), NEED, &supply);
    assert_eq!(total(&planned, PurchaseOption::OnDemand), 0, "the rest seems to be enough");
    let on_demand_after = |seconds| kept_after(seconds, &supply, PurchaseOption::OnDemand);
    assert_eq!((on_demand_after(0), on_demand_after(5), on_demand_after(6)), (4, 4, 0));
}

#[test]
fn keep_running_holds_reclaimable_until_the_demand_is_known() {
    let supply = supply([(0, 6, false); 4]);
    let reclaimable_after = |seconds| kept_after(seconds, &supply, PurchaseOption::Reclaimable);
    assert_eq!((reclaimable_after(0), reclaimable_after(5), reclaimable_after(6)), (24, 24, 12));
}

#[test]
fn plan_at_the_maximum_keeps_running_on_demand() {
    // A new leader doesn't know yet that no reclaimable upstreams are available.
    let need = CapacityNeed { reclaimable: 24, required: 4, is_busy: true };
    let sizes = plan(&spec(), need, &supply([(1, 0, false); 4]));
    assert_eq!(total(&sizes, PurchaseOption::OnDemand), 4, "{sizes:?}");
    assert!(sizes.iter().all(|size| size.on_demand + size.reclaimable <= 6), "{sizes:?}");
}

#[test]
fn required_engines_follow_the_speed_of_the_engines() {
    let load = ServiceLoad { prefill_per_second: 500_000.0, ..ServiceLoad::default() };
    let required = |prefill_tokens_per_ms| {
        let speed = EngineSpeed { first_token_ms: 25.0, prefill_tokens_per_ms };
        required_engines(&load, 32, speed).ceil()
    };
    assert_eq!((required(50.0), required(150.0), required(500.0)), (25.0, 9.0, 3.0));
}

#[test]
fn required_engines_have_free_slots() {
    let load = ServiceLoad { in_flight: 320, ..ServiceLoad::default() };
    assert_eq!(required_engines(&load, 32, EngineSpeed::default()), 20.0);
    let rejecting = ServiceLoad { rejected_share: 0.5, ..load };
    assert_eq!(required_engines(&rejecting, 32, EngineSpeed::default()), 30.0);
}

#[test]
fn reclaimable_engines_survive_the_loss_of_two_zones() {
    for zones in 3..8 {
        for required in 1..40 {
            let count = reclaimable_engines(f64::from(required), zones);
            let per_zone = count / u32::try_from(zones).unwrap();
            assert!(count - 2 * per_zone >= required, "{required} in {zones} zones: {count}");
        }
    }
}

/// Counts of one zone: both kinds together don't exceed the maximum.
fn zone_counts() -> impl Strategy<Value = (u32, u32, bool)> {
    let counts = (0_u32..7).prop_flat_map(|on_demand| (Just(on_demand), 0..=6 - on_demand));
    (counts, any::<bool>()).prop_map(|((on_demand, spot), is_reclaimable_exhausted)| {
        (on_demand, spot, is_reclaimable_exhausted)
    })
}

proptest! {
    #[test]
    fn plan_keeps_to_limits(
        counts in prop::array::uniform4(zone_counts()),
        reclaimable in 0_u32..40,
        required in 0_u32..12,
        is_busy in any::<bool>(),
    ) {
        let supply = supply(counts);
        let sizes = plan(&spec(), CapacityNeed { reclaimable, required, is_busy }, &supply);
        let ready: u32 = supply.iter().map(|zone| zone.reclaimable).sum();
        let running: u32 = supply.iter().map(|zone| zone.on_demand).sum();
        if is_busy {
            let min_on_demand = required.saturating_sub(ready).min(running);
            prop_assert!(total(&sizes, PurchaseOption::OnDemand) >= min_on_demand, "{sizes:?}");
        }
        let by_zone: BTreeMap<_, _> = sizes.iter().map(|size| (&size.zone, size)).collect();
        for zone in &supply {
            let size = by_zone[&zone.zone];
            if !zone.is_reclaimable_exhausted {
                let both = size.on_demand + size.reclaimable;
                prop_assert!((1..=6).contains(&both), "{size:?}");
            } else {
                prop_assert_eq!(size.reclaimable, zone.reclaimable);
            }
        }
    }
}
