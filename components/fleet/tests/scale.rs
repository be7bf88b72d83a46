//! Properties of the instance mix, the scaling plan and the allocation of bandwidth.

use std::time::Duration;

use lycheelatch_config::{ClassCapacity, FleetSpec};
use lycheelatch_fleet::{
    InstanceKind, InstanceMix, InstanceOption, PeakLoadWindow, StartBackoff, WeightLoad,
    allocate_rates, cheapest_mix, evaluate_mix, instance_options, plan_scaling,
};
use lycheelatch_prelude::Labels;
use lycheelatch_provider::{Offer, Purchase};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use tokio::time::Instant;

const ZONES: [&str; 4] = ["lima-a", "lima-b", "lima-c", "lima-d"];

fn spec(max_reclaimable_percent: u32) -> FleetSpec {
    let class = |name: &str, units_per_second| ClassCapacity {
        class: name.parse().unwrap(),
        units_per_second,
    };
    FleetSpec {
        classes: vec![class("small", 1_000.0), class("large", 2_200.0)],
        min_instances: 2,
        max_instances: 400,
        max_reclaimable_percent,
        labels: Labels::default(),
    }
}

fn offers(factors: &[f64]) -> Vec<Offer> {
    let mut offers = Vec::new();
    for (i, zone) in ZONES.iter().enumerate() {
        for (class, price) in [("small", 1.0), ("large", 2.0)] {
            for (purchase, share) in [(Purchase::OnDemand, 1.0), (Purchase::Reclaimable, 0.35)] {
                offers.push(Offer {
                    zone: zone.parse().unwrap(),
                    class: class.parse().unwrap(),
                    purchase,
                    price_per_hour: price * share * factors[i],
                });
            }
        }
    }
    offers
}

fn factors() -> impl Strategy<Value = Vec<f64>> {
    prop::collection::vec(0.7_f64..1.5, 4)
}

fn all_options(spec: &FleetSpec, offers: &[Offer]) -> Vec<InstanceOption> {
    instance_options(spec, offers, |_| u32::MAX)
}

/// Returns the capacity without the given zone, calculated independently of the package.
fn units_without_zone(zone: &str, mix: &InstanceMix) -> f64 {
    let units =
        |kind: &InstanceKind| if kind.class.as_str() == "small" { 1_000.0 } else { 2_200.0 };
    mix.iter().filter(|(k, _)| k.zone.as_str() != zone).map(|(k, n)| units(k) * f64::from(*n)).sum()
}

proptest! {
    #[test]
    fn cheapest_mix_survives_loss_of_any_zone(
        required in 100.0_f64..60_000.0, factors in factors(), percent in 0_u32..=100,
    ) {
        let (spec, offers) = (spec(percent), offers(&factors));
        let options = all_options(&spec, &offers);
        let mix = cheapest_mix(required, &spec, &options);
        for zone in ZONES {
            prop_assert!(units_without_zone(zone, &mix) >= required, "{mix:?}");
        }
        let evaluation = evaluate_mix(&mix, &options);
        prop_assert!(evaluation.surviving_units >= required);
        prop_assert!(evaluation.reclaimable * 100 <= evaluation.instances * percent);
        prop_assert!((spec.min_instances..=spec.max_instances).contains(&evaluation.instances));
    }

    #[test]
    fn plan_scaling_refused_zones_get_no_start(
        required in 1_000.0_f64..20_000.0, factors in factors(), refused in 0_usize..2,
    ) {
        let (now, spec, offers) = (Instant::now(), spec(100), offers(&factors));
        let (mut backoff, mut rng) = (StartBackoff::default(), StdRng::seed_from_u64(1));
        for offer in offers.iter().filter(|o| o.zone.as_str() == ZONES[refused]) {
            let (zone, class) = (offer.zone.clone(), offer.class.clone());
            backoff.record_refusal(now, &InstanceKind { zone, class, purchase: offer.purchase }, &mut rng);
        }
        let plan = plan_scaling(now, required, &spec, &offers, &InstanceMix::new(), &backoff);
        prop_assert!(plan.start.keys().all(|kind| kind.zone.as_str() != ZONES[refused]));
        prop_assert!(evaluate_mix(&plan.target, &all_options(&spec, &offers)).surviving_units >= required);
    }

    #[test]
    fn plan_scaling_keeps_its_own_target(
        required in 1_000.0_f64..20_000.0, factors in factors(), moves in prop::collection::vec(0.96_f64..1.04, 4),
    ) {
        let (now, spec, backoff) = (Instant::now(), spec(100), StartBackoff::default());
        let first = plan_scaling(now, required, &spec, &offers(&factors), &InstanceMix::new(), &backoff);
        let moved: Vec<f64> = factors.iter().zip(&moves).map(|(f, m)| f * m).collect();
        let second = plan_scaling(now, required, &spec, &offers(&moved), &first.target, &backoff);
        prop_assert!(second.start.is_empty() && second.stop.is_empty(), "{second:?}");
    }

    #[test]
    fn allocate_rates_never_exceeds_the_store(
        store in 0_u64..10_000,
        loads in prop::collection::vec((0_u64..5_000, any::<bool>(), 0.0_f64..9.0, 1_u64..3_000), 0..12),
    ) {
        let loads: Vec<WeightLoad> = loads
            .into_iter()
            .enumerate()
            .map(|(i, (bytes_left, is_warm, deficit, max))| WeightLoad {
                upstream: format!("runner-{i}").parse().unwrap(),
                bytes_left,
                is_warm,
                deficit,
                max_bytes_per_second: max,
            })
            .collect();
        let rates = allocate_rates(store, &loads);
        prop_assert!(rates.iter().sum::<u64>() <= store);
        let is_throttled = |warm: bool| loads.iter().zip(&rates).any(|(l, r)| l.is_warm == warm && *r < l.max_bytes_per_second);
        let loads_cold = loads.iter().zip(&rates).any(|(l, r)| !l.is_warm && *r > 0);
        prop_assert!(!(is_throttled(true) && loads_cold), "cold before warm");
    }
}

#[test]
fn peak_load_window_falls_late() {
    let (start, mut window) = (Instant::now(), PeakLoadWindow::default());
    let peak = window.update(start, 1_000.0);
    assert_eq!(window.update(start + Duration::from_secs(300), 100.0), peak);
    assert!(window.update(start + Duration::from_secs(1_000), 100.0) < peak);
    assert!(window.update(start + Duration::from_secs(1_001), 2_000.0) > peak);
}

#[test]
fn start_backoff_grows_and_ends() {
    let (now, mut backoff, mut rng) =
        (Instant::now(), StartBackoff::default(), StdRng::seed_from_u64(1));
    let kind = InstanceKind {
        zone: "lima-a".parse().unwrap(),
        class: "small".parse().unwrap(),
        purchase: Purchase::Reclaimable,
    };
    backoff.record_refusal(now, &kind, &mut rng);
    assert!(!backoff.may_start(now, &kind));
    assert!(backoff.may_start(now + Duration::from_secs(8), &kind));
    for _ in 0..9 {
        backoff.record_refusal(now, &kind, &mut rng);
    }
    assert!(!backoff.may_start(now + Duration::from_secs(149), &kind));
    assert!(backoff.may_start(now + Duration::from_secs(451), &kind));
    backoff.record_start(&kind);
    assert!(backoff.may_start(now, &kind));
}
