//! Cost of a day with reclaim waves, at the latency target.

#[path = "common/day.rs"]
mod common;

use common::{PurchaseStrategy, run};

/// Maximum price of the planned day, relative to on-demand instances only.
const MAX_SHARE: f64 = 0.5;

#[test]
fn day_planned_costs_under_half_of_on_demand() {
    let (planned, on_demand) =
        (run(PurchaseStrategy::Planned), run(PurchaseStrategy::OnDemandOnly));
    assert_eq!((planned.missed_minutes, on_demand.missed_minutes), (0, 0));
    assert!(planned.price < on_demand.price * MAX_SHARE, "{planned:?} {on_demand:?}");
}

#[test]
fn day_cheapest_reclaimable_misses_the_target() {
    assert!(run(PurchaseStrategy::CheapestReclaimable).missed_minutes > 0);
}
