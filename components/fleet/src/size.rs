//! How many instances of which kind a service needs.
//!
//! The instances must carry the load at the latency target after any one
//! availability zone is lost, and after a share of the reclaimable ones is
//! taken at once, at the least price.

use std::collections::{BTreeMap, BTreeSet};

use lycheelatch_config::FleetSpec;
use lycheelatch_prelude::{InstanceClass, ZoneName};
use lycheelatch_provider::{Offer, Purchase};

/// Share of the reclaimable instances that may go at once, over all zones.
const RECLAIMED_AT_ONCE: f64 = 0.45;

/// Steps in which the largest zone's capacity is tried.
const CAP_STEPS: u32 = 12;

/// Steps in which the reclaimable share is tried.
const SHARE_STEPS: u32 = 10;

/// Kind of an instance: where it runs, what it is and how it is paid for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceKind {
    /// Availability zone.
    pub zone: ZoneName,
    /// Machine class.
    pub class: InstanceClass,
    /// How it is paid for.
    pub purchase: Purchase,
}

/// Instances of each kind.
pub type Mix = BTreeMap<InstanceKind, u32>;

/// A kind that can be bought.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The kind.
    pub kind: InstanceKind,
    /// Load that one instance carries, in units a second.
    pub units: f64,
    /// Price of one hour.
    pub price: f64,
    /// Most instances that can be had.
    pub limit: u32,
}

impl Choice {
    fn price_per_unit(&self) -> f64 {
        self.price / self.units
    }
}

/// Returns the kinds that a service may buy, with the limit that `limit_of` gives each.
pub fn choices(
    spec: &FleetSpec,
    offers: &[Offer],
    limit_of: impl Fn(&InstanceKind) -> u32,
) -> Vec<Choice> {
    let choice = |offer: &Offer| {
        let class = spec.classes.iter().find(|c| c.class == offer.class)?;
        let (zone, purchase) = (offer.zone.clone(), offer.purchase);
        let kind = InstanceKind { zone, class: offer.class.clone(), purchase };
        let limit = limit_of(&kind).min(spec.max_instances);
        let units = class.units_per_second;
        (units > 0.0).then_some(Choice { kind, units, price: offer.price_per_hour, limit })
    };
    offers.iter().filter_map(choice).collect()
}

/// What a mix carries and costs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Verdict {
    /// Load that is carried after the worst loss, in units a second.
    pub carried: f64,
    /// Price of one hour.
    pub price: f64,
    /// Instances.
    pub instances: u32,
    /// Reclaimable instances.
    pub reclaimable: u32,
}

/// Judges a mix.
pub fn judge(mix: &Mix, choices: &[Choice]) -> Verdict {
    let mut by_zone: BTreeMap<&ZoneName, f64> = BTreeMap::new();
    let (mut total, mut at_risk) = (0.0, 0.0);
    let mut verdict = Verdict { carried: 0.0, price: 0.0, instances: 0, reclaimable: 0 };
    for choice in choices {
        let count = mix.get(&choice.kind).copied().unwrap_or(0);
        let units = f64::from(count) * choice.units;
        total += units;
        *by_zone.entry(&choice.kind.zone).or_default() += units;
        verdict.price += f64::from(count) * choice.price;
        verdict.instances += count;
        if choice.kind.purchase == Purchase::Reclaimable {
            at_risk += units * RECLAIMED_AT_ONCE;
            verdict.reclaimable += count;
        }
    }
    let largest = by_zone.values().copied().fold(0.0, f64::max);
    verdict.carried = total - largest.max(at_risk);
    verdict
}

/// Returns the cheapest mix found that carries `need`, or the largest where none does.
pub fn cheapest_mix(need: f64, spec: &FleetSpec, choices: &[Choice]) -> Mix {
    let mut order: Vec<&Choice> = choices.iter().filter(|choice| choice.limit > 0).collect();
    order.sort_by(|a, b| a.price_per_unit().total_cmp(&b.price_per_unit()));
    let mut best: Option<(bool, Verdict, Mix)> = None;
    let mut seen = BTreeSet::new();
    for cap_step in 1..=CAP_STEPS {
        let cap = need * f64::from(cap_step) / f64::from(CAP_STEPS);
        for share_step in 0..=SHARE_STEPS {
            let share = f64::from(share_step) / f64::from(SHARE_STEPS);
            let mut mix = fill(need, cap, share, spec, &order);
            if !seen.insert(mix.clone()) {
                continue;
            }
            complete(need, spec, choices, &order, &mut mix);
            trim(need, spec, choices, &order, &mut mix);
            let verdict = judge(&mix, choices);
            let carries = verdict.carried >= need && allows(spec, &verdict);
            let is_better = best.as_ref().is_none_or(|(best_carries, best, _)| {
                if carries != *best_carries {
                    return carries;
                }
                match carries {
                    true => verdict.price < best.price,
                    false => verdict.carried > best.carried,
                }
            });
            if is_better {
                best = Some((carries, verdict, mix));
            }
        }
    }
    best.map(|(_, _, mix)| mix).unwrap_or_default()
}

/// Returns whether the mix holds no more reclaimable instances than the service allows.
pub(crate) fn allows(spec: &FleetSpec, verdict: &Verdict) -> bool {
    verdict.reclaimable * 100 <= verdict.instances * spec.max_reclaimable_percent
}

/// Fills the cheapest kinds up to `cap` for each zone, with `share` of the units reclaimable.
fn fill(need: f64, cap: f64, share: f64, spec: &FleetSpec, order: &[&Choice]) -> Mix {
    let total = (need + cap).max(need / (1.0 - RECLAIMED_AT_ONCE * share));
    let mut filling = Filling { mix: Mix::new(), by_zone: BTreeMap::new(), instances: 0 };
    let max_reclaimable = spec.max_instances * spec.max_reclaimable_percent / 100;
    filling.buy(total * share, cap, max_reclaimable, Purchase::Reclaimable, order);
    filling.buy(total * (1.0 - share), cap, spec.max_instances, Purchase::OnDemand, order);
    filling.mix
}

struct Filling<'a> {
    mix: Mix,
    by_zone: BTreeMap<&'a ZoneName, f64>,
    instances: u32,
}

impl<'a> Filling<'a> {
    fn buy(
        &mut self,
        mut units: f64,
        cap: f64,
        max_instances: u32,
        purchase: Purchase,
        order: &[&'a Choice],
    ) {
        for choice in order.iter().filter(|choice| choice.kind.purchase == purchase) {
            let in_zone = self.by_zone.entry(&choice.kind.zone).or_default();
            // One instance may stand over the cap, or small services had none.
            let room = ((cap - *in_zone) / choice.units).ceil().max(0.0);
            let wanted = (units / choice.units).ceil().max(0.0);
            let left = max_instances.saturating_sub(self.instances).min(choice.limit);
            let count = (room.min(wanted) as u32).min(left);
            *in_zone += f64::from(count) * choice.units;
            units -= f64::from(count) * choice.units;
            self.instances += count;
            *self.mix.entry(choice.kind.clone()).or_default() += count;
        }
    }
}

/// Adds instances outside the largest zone until the need and the least number are met.
fn complete(need: f64, spec: &FleetSpec, choices: &[Choice], order: &[&Choice], mix: &mut Mix) {
    for _ in 0..spec.max_instances {
        let verdict = judge(mix, choices);
        let is_enough = verdict.carried >= need && verdict.instances >= spec.min_instances;
        if is_enough || verdict.instances >= spec.max_instances {
            return;
        }
        let largest = largest_zone(mix, order);
        let may_add = |choice: &&&Choice| {
            let is_allowed = choice.kind.purchase == Purchase::OnDemand
                || (verdict.reclaimable + 1) * 100
                    <= (verdict.instances + 1) * spec.max_reclaimable_percent;
            let count = mix.get(&choice.kind).copied().unwrap_or(0);
            is_allowed && count < choice.limit && Some(&choice.kind.zone) != largest.as_ref()
        };
        let Some(choice) = order.iter().find(may_add) else {
            return;
        };
        *mix.entry(choice.kind.clone()).or_default() += 1;
    }
}

fn largest_zone(mix: &Mix, order: &[&Choice]) -> Option<ZoneName> {
    let mut by_zone: BTreeMap<&ZoneName, f64> = BTreeMap::new();
    for choice in order {
        let count = mix.get(&choice.kind).copied().unwrap_or(0);
        *by_zone.entry(&choice.kind.zone).or_default() += f64::from(count) * choice.units;
    }
    let largest = by_zone.into_iter().max_by(|a, b| a.1.total_cmp(&b.1))?;
    (largest.1 > 0.0).then(|| largest.0.clone())
}

/// Takes away what is not needed, the dearest first.
fn trim(need: f64, spec: &FleetSpec, choices: &[Choice], order: &[&Choice], mix: &mut Mix) {
    if judge(mix, choices).carried < need {
        return;
    }
    for choice in order.iter().rev() {
        loop {
            let count = mix.get(&choice.kind).copied().unwrap_or(0);
            if count == 0 {
                break;
            }
            mix.insert(choice.kind.clone(), count - 1);
            let verdict = judge(mix, choices);
            let is_enough = verdict.carried >= need && verdict.instances >= spec.min_instances;
            if !is_enough || !allows(spec, &verdict) {
                mix.insert(choice.kind.clone(), count);
                break;
            }
        }
    }
    mix.retain(|_, count| *count > 0);
}
