//! A simulated day with prices and reclaim waves, in steps of one minute.
//!
//! The same load is served with one of three purchase strategies. A minute in which the
//! running instances can't carry the load misses the latency target.

use std::time::Duration;

use lycheelatch_config::{ClassCapacity, FleetSpec};
use lycheelatch_fleet::{
    InstanceKind, InstanceMix, PeakLoadWindow, StartBackoff, evaluate_mix, instance_options,
    plan_scaling,
};
use lycheelatch_prelude::Labels;
use lycheelatch_provider::{Offer, Purchase};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

const ZONES: [&str; 4] = ["lima-a", "lima-b", "lima-c", "lima-d"];
const MINUTES: u64 = 24 * 60;

/// Minutes from the start of an instance until it serves requests.
const START_MINUTES: u64 = 4;

/// Reclaim waves, each as the minute of the day and the index of the zone.
const WAVES: [(u64, usize); 4] = [(130, 0), (615, 2), (640, 0), (1_110, 3)];

/// Minutes after a wave during which the zone refuses to start reclaimable instances.
const REFUSED_MINUTES: u64 = 45;

/// Peak load of the day, in tokens per second.
const PEAK: f64 = 9_000.0;

/// How instances are bought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PurchaseStrategy {
    /// The scaling plan of this package.
    Planned,
    /// The scaling plan of this package, with on-demand instances only.
    OnDemandOnly,
    /// The cheapest reclaimable kind, with as many instances as the load requires.
    CheapestReclaimable,
}

/// Result of a simulated day.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct DayResult {
    /// Price of the day.
    pub(crate) price: f64,
    /// Minutes in which the running instances could not carry the load.
    pub(crate) missed_minutes: u64,
    /// Number of refused starts.
    pub(crate) refused: u64,
    /// Number of started instances.
    pub(crate) started: u64,
}

struct Running {
    kind: InstanceKind,
    serves_from: u64,
}

pub(crate) fn spec(strategy: PurchaseStrategy) -> FleetSpec {
    let class = |name: &str, units_per_second| ClassCapacity {
        class: name.parse().unwrap(),
        units_per_second,
    };
    FleetSpec {
        classes: vec![class("small", 1_000.0), class("large", 2_100.0)],
        min_instances: 2,
        max_instances: 100,
        max_reclaimable_percent: if strategy == PurchaseStrategy::OnDemandOnly { 0 } else { 100 },
        labels: Labels::default(),
    }
}

/// Returns the offers: reclaimable prices are 25 to 45 % of on-demand, by zone and hour.
fn offers(minute: u64) -> Vec<Offer> {
    let mut offers = Vec::new();
    for (i, zone) in ZONES.iter().enumerate() {
        let hour = minute as f64 / 60.0 + i as f64 * 5.0;
        let share = 0.35 + 0.10 * (hour / 24.0 * std::f64::consts::TAU).sin();
        for (class, price) in [("small", 1.0), ("large", 2.0)] {
            for (purchase, share) in [(Purchase::OnDemand, 1.0), (Purchase::Reclaimable, share)] {
                offers.push(Offer {
                    zone: zone.parse().unwrap(),
                    class: class.parse().unwrap(),
                    purchase,
                    price_per_hour: price * share,
                });
            }
        }
    }
    offers
}

fn load(minute: u64, rng: &mut StdRng) -> f64 {
    let phase = minute as f64 / MINUTES as f64 * std::f64::consts::TAU;
    PEAK * (0.6 - 0.4 * phase.cos()) * rng.random_range(0.97..1.03)
}

/// Simulates a day with one purchase strategy.
pub(crate) fn run(strategy: PurchaseStrategy) -> DayResult {
    let spec = spec(strategy);
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(7);
    let (mut peak_load, mut backoff) = (PeakLoadWindow::default(), StartBackoff::default());
    let (mut day, mut running): (DayResult, Vec<Running>) = (DayResult::default(), Vec::new());
    for minute in 0..MINUTES {
        let now = start + Duration::from_secs(minute * 60);
        let (offers, load) = (offers(minute), load(minute, &mut rng));
        if let Some((_, zone)) = WAVES.iter().find(|(at, _)| *at == minute) {
            running.retain(|r| !is_reclaimed(&r.kind, *zone));
        }
        let present = mix_of(&running);
        let required = peak_load.update(now, load);
        let plan = match strategy {
            PurchaseStrategy::CheapestReclaimable => plan_cheapest(load, &spec, &offers, &present),
            _ => {
                let plan = plan_scaling(now, required, &spec, &offers, &present, &backoff);
                (plan.start, plan.stop)
            }
        };
        for (kind, count) in &plan.0 {
            for _ in 0..*count {
                if !backoff.may_start(now, kind) {
                    break;
                }
                if is_refused(kind, minute) {
                    day.refused += 1;
                    backoff.record_refusal(now, kind, &mut rng);
                    break;
                }
                backoff.record_start(kind);
                day.started += 1;
                let serves_from = if minute == 0 { 0 } else { minute + START_MINUTES };
                running.push(Running { kind: kind.clone(), serves_from });
            }
        }
        stop(&mut running, &plan.1, minute);
        account(&mut day, &spec, &offers, &running, minute, load);
    }
    day
}

fn is_reclaimed(kind: &InstanceKind, zone: usize) -> bool {
    kind.zone.as_str() == ZONES[zone] && kind.purchase == Purchase::Reclaimable
}

fn is_refused(kind: &InstanceKind, minute: u64) -> bool {
    let is_after = |at: u64| (at..at + REFUSED_MINUTES).contains(&minute);
    WAVES.iter().any(|(at, zone)| is_after(*at) && is_reclaimed(kind, *zone))
}

/// Buys only the kind that is cheapest now, with as many instances as the load requires.
fn plan_cheapest(
    load: f64,
    spec: &FleetSpec,
    offers: &[Offer],
    present: &InstanceMix,
) -> (InstanceMix, InstanceMix) {
    let options = instance_options(spec, offers, |_| u32::MAX);
    let per_unit = |c: &lycheelatch_fleet::InstanceOption| c.price / c.units;
    let reclaimable = options.iter().filter(|c| c.kind.purchase == Purchase::Reclaimable);
    let cheapest = reclaimable.min_by(|a, b| per_unit(a).total_cmp(&per_unit(b))).unwrap();
    let units_of = |kind: &InstanceKind| options.iter().find(|c| c.kind == *kind).unwrap().units;
    let units: f64 = present.iter().map(|(kind, n)| units_of(kind) * f64::from(*n)).sum();
    let missing = ((load * 1.1 - units) / cheapest.units).ceil();
    if missing > 0.0 {
        return (InstanceMix::from([(cheapest.kind.clone(), missing as u32)]), InstanceMix::new());
    }
    let spare = ((units - load * 1.3) / cheapest.units).floor().max(0.0) as u32;
    let stop = present.iter().next().map(|(kind, n)| (kind.clone(), spare.min(*n)));
    (InstanceMix::new(), stop.into_iter().collect())
}

fn stop(running: &mut Vec<Running>, stop: &InstanceMix, minute: u64) {
    // Nothing is stopped while another instance is still starting.
    if running.iter().any(|r| r.serves_from > minute) {
        return;
    }
    for (kind, count) in stop {
        for _ in 0..*count {
            if let Some(at) = running.iter().position(|r| r.kind == *kind) {
                running.swap_remove(at);
            }
        }
    }
}

fn account(
    day: &mut DayResult,
    spec: &FleetSpec,
    offers: &[Offer],
    running: &[Running],
    minute: u64,
    load: f64,
) {
    let options = instance_options(spec, offers, |_| u32::MAX);
    day.price += evaluate_mix(&mix_of(running), &options).price / 60.0;
    let units_of = |kind: &InstanceKind| options.iter().find(|c| c.kind == *kind).unwrap().units;
    let serving = running.iter().filter(|r| r.serves_from <= minute);
    let units: f64 = serving.map(|r| units_of(&r.kind)).sum();
    day.missed_minutes += u64::from(units < load);
}

fn mix_of(running: &[Running]) -> InstanceMix {
    let mut mix = InstanceMix::new();
    for r in running {
        *mix.entry(r.kind.clone()).or_default() += 1;
    }
    mix
}
