//! A priced day with reclaim waves, minute by minute.
//!
//! Three ways to buy serve the same load. A minute in which the instances that
//! run do not carry the load misses the latency target.

use std::time::Duration;

use lycheelatch_config::{ClassCapacity, FleetSpec};
use lycheelatch_fleet::{InstanceKind, Mix, NeedWindow, StartBackoff, choices, decide, judge};
use lycheelatch_prelude::Labels;
use lycheelatch_provider::{Offer, Purchase};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

const ZONES: [&str; 4] = ["lima-a", "lima-b", "lima-c", "lima-d"];
const MINUTES: u64 = 24 * 60;

/// Minutes from the start of an instance until it serves.
const START_MINUTES: u64 = 4;

/// Minutes of the day at which a zone's reclaimable instances are taken.
const WAVES: [(u64, usize); 4] = [(130, 0), (615, 2), (640, 0), (1_110, 3)];

/// Minutes after a wave for which the zone refuses reclaimable starts.
const REFUSED_MINUTES: u64 = 45;

/// Load at the peak of the day, in tokens a second.
const PEAK: f64 = 9_000.0;

/// How instances are bought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Way {
    /// The decision of this package.
    Planned,
    /// The same decision with on-demand instances only.
    OnDemandOnly,
    /// The cheapest reclaimable kind, as many as carry the load.
    CheapestReclaimable,
}

/// What a day cost.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Day {
    /// Price of the day.
    pub(crate) price: f64,
    /// Minutes in which the load was not carried.
    pub(crate) missed_minutes: u64,
    /// Starts that were refused.
    pub(crate) refused: u64,
    /// Instances that were started.
    pub(crate) started: u64,
}

struct Running {
    kind: InstanceKind,
    serves_from: u64,
}

pub(crate) fn spec(way: Way) -> FleetSpec {
    let class = |name: &str, units_per_second| ClassCapacity {
        class: name.parse().unwrap(),
        units_per_second,
    };
    FleetSpec {
        classes: vec![class("small", 1_000.0), class("large", 2_100.0)],
        min_instances: 2,
        max_instances: 100,
        max_reclaimable_percent: if way == Way::OnDemandOnly { 0 } else { 100 },
        labels: Labels::default(),
    }
}

/// Prices: reclaimable at 25 to 45 % of on-demand, changing by zone and hour.
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

/// Buys a day's instances in one way.
pub(crate) fn run(way: Way) -> Day {
    let spec = spec(way);
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(7);
    let (mut need, mut backoff) = (NeedWindow::default(), StartBackoff::default());
    let (mut day, mut running): (Day, Vec<Running>) = (Day::default(), Vec::new());
    for minute in 0..MINUTES {
        let now = start + Duration::from_secs(minute * 60);
        let (offers, load) = (offers(minute), load(minute, &mut rng));
        if let Some((_, zone)) = WAVES.iter().find(|(at, _)| *at == minute) {
            running.retain(|r| !is_reclaimed(&r.kind, *zone));
        }
        let present = mix_of(&running);
        let need = need.update(now, load);
        let changes = match way {
            Way::CheapestReclaimable => follow_cheapest(load, &spec, &offers, &present),
            _ => {
                let changes = decide(now, need, &spec, &offers, &present, &backoff);
                (changes.start, changes.stop)
            }
        };
        for (kind, count) in &changes.0 {
            for _ in 0..*count {
                if !backoff.may_try(now, kind) {
                    break;
                }
                if is_refused(kind, minute) {
                    day.refused += 1;
                    backoff.refuse(now, kind, &mut rng);
                    break;
                }
                backoff.accept(kind);
                day.started += 1;
                let serves_from = if minute == 0 { 0 } else { minute + START_MINUTES };
                running.push(Running { kind: kind.clone(), serves_from });
            }
        }
        stop(&mut running, &changes.1, minute);
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

/// Buys only the cheapest reclaimable kind of now, as many as carry the load.
fn follow_cheapest(load: f64, spec: &FleetSpec, offers: &[Offer], present: &Mix) -> (Mix, Mix) {
    let choices = choices(spec, offers, |_| u32::MAX);
    let per_unit = |c: &lycheelatch_fleet::Choice| c.price / c.units;
    let reclaimable = choices.iter().filter(|c| c.kind.purchase == Purchase::Reclaimable);
    let cheapest = reclaimable.min_by(|a, b| per_unit(a).total_cmp(&per_unit(b))).unwrap();
    let units_of = |kind: &InstanceKind| choices.iter().find(|c| c.kind == *kind).unwrap().units;
    let units: f64 = present.iter().map(|(kind, n)| units_of(kind) * f64::from(*n)).sum();
    let lack = ((load * 1.1 - units) / cheapest.units).ceil();
    if lack > 0.0 {
        return (Mix::from([(cheapest.kind.clone(), lack as u32)]), Mix::new());
    }
    let spare = ((units - load * 1.3) / cheapest.units).floor().max(0.0) as u32;
    let stop = present.iter().next().map(|(kind, n)| (kind.clone(), spare.min(*n)));
    (Mix::new(), stop.into_iter().collect())
}

fn stop(running: &mut Vec<Running>, stop: &Mix, minute: u64) {
    // Nothing stops while something else is still starting.
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
    day: &mut Day,
    spec: &FleetSpec,
    offers: &[Offer],
    running: &[Running],
    minute: u64,
    load: f64,
) {
    let choices = choices(spec, offers, |_| u32::MAX);
    day.price += judge(&mix_of(running), &choices).price / 60.0;
    let units_of = |kind: &InstanceKind| choices.iter().find(|c| c.kind == *kind).unwrap().units;
    let serving = running.iter().filter(|r| r.serves_from <= minute);
    let units: f64 = serving.map(|r| units_of(&r.kind)).sum();
    day.missed_minutes += u64::from(units < load);
}

fn mix_of(running: &[Running]) -> Mix {
    let mut mix = Mix::new();
    for r in running {
        *mix.entry(r.kind.clone()).or_default() += 1;
    }
    mix
}
