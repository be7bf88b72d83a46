//! Selects how many instances of each kind a service needs.
//!
//! The cheapest mix is selected that still carries the load at the latency target after the
//! loss of any one availability zone, or after a share of the reclaimable instances is
//! reclaimed at once.

use std::collections::{BTreeMap, BTreeSet};

use lycheelatch_config::FleetSpec;
use lycheelatch_prelude::{InstanceClass, ZoneName};
use lycheelatch_provider::{Offer, Purchase};

/// Largest share of the reclaimable instances, over all zones, that may be reclaimed at once.
const MAX_RECLAIMED_SHARE: f64 = 0.45;

/// Number of values tried for the capacity limit per zone.
const CAP_STEPS: u32 = 12;

/// Number of steps in which the reclaimable share is varied.
const SHARE_STEPS: u32 = 10;

/// Kind of an instance: availability zone, machine class and purchase option.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceKind {
    /// Availability zone.
    pub zone: ZoneName,
    /// Machine class.
    pub class: InstanceClass,
    /// Purchase option: on-demand or reclaimable.
    pub purchase: Purchase,
}

/// Number of instances of each kind.
pub type InstanceMix = BTreeMap<InstanceKind, u32>;

/// An instance kind that can be started.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceOption {
    /// Instance kind.
    pub kind: InstanceKind,
    /// Load that one instance can carry, in units per second.
    pub units: f64,
    /// Price per hour.
    pub price: f64,
    /// Maximum number of instances available.
    pub limit: u32,
}

impl InstanceOption {
    fn price_per_unit(&self) -> f64 {
        self.price / self.units
    }
}

/// Returns the instance kinds that a service may use, each limited to `limit_of(kind)`.
pub fn instance_options(
    spec: &FleetSpec,
    offers: &[Offer],
    limit_of: impl Fn(&InstanceKind) -> u32,
) -> Vec<InstanceOption> {
    let option = |offer: &Offer| {
        let class = spec.classes.iter().find(|c| c.class == offer.class)?;
        let (zone, purchase) = (offer.zone.clone(), offer.purchase);
        let kind = InstanceKind { zone, class: offer.class.clone(), purchase };
        let limit = limit_of(&kind).min(spec.max_instances);
        let units = class.units_per_second;
        (units > 0.0).then_some(InstanceOption { kind, units, price: offer.price_per_hour, limit })
    };
    offers.iter().filter_map(option).collect()
}

/// Capacity and cost of a mix.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MixEvaluation {
    /// Load that can be carried after the worst assumed loss, in units per second.
    pub surviving_units: f64,
    /// Price per hour.
    pub price: f64,
    /// Total number of instances.
    pub instances: u32,
    /// Number of reclaimable instances.
    pub reclaimable: u32,
}

/// Calculates the capacity and cost of a mix.
pub fn evaluate_mix(mix: &InstanceMix, options: &[InstanceOption]) -> MixEvaluation {
    let mut by_zone: BTreeMap<&ZoneName, f64> = BTreeMap::new();
    let (mut total, mut at_risk) = (0.0, 0.0);
    let mut evaluation =
        MixEvaluation { surviving_units: 0.0, price: 0.0, instances: 0, reclaimable: 0 };
    for option in options {
        let count = mix.get(&option.kind).copied().unwrap_or(0);
        let units = f64::from(count) * option.units;
        total += units;
        *by_zone.entry(&option.kind.zone).or_default() += units;
        evaluation.price += f64::from(count) * option.price;
        evaluation.instances += count;
        if option.kind.purchase == Purchase::Reclaimable {
            at_risk += units * MAX_RECLAIMED_SHARE;
            evaluation.reclaimable += count;
        }
    }
    let largest = by_zone.values().copied().fold(0.0, f64::max);
    evaluation.surviving_units = total - largest.max(at_risk);
    evaluation
}

/// Returns the cheapest mix found that carries `required` units per second.
///
/// If no mix does, returns the one with the most surviving capacity.
pub fn cheapest_mix(required: f64, spec: &FleetSpec, options: &[InstanceOption]) -> InstanceMix {
    let mut by_price: Vec<&InstanceOption> =
        options.iter().filter(|option| option.limit > 0).collect();
    by_price.sort_by(|a, b| a.price_per_unit().total_cmp(&b.price_per_unit()));
    let mut best: Option<(bool, MixEvaluation, InstanceMix)> = None;
    let mut seen = BTreeSet::new();
    for cap_step in 1..=CAP_STEPS {
        let cap = required * f64::from(cap_step) / f64::from(CAP_STEPS);
        for share_step in 0..=SHARE_STEPS {
            let share = f64::from(share_step) / f64::from(SHARE_STEPS);
            let mut mix = initial_mix(required, cap, share, spec, &by_price);
            if !seen.insert(mix.clone()) {
                continue;
            }
            add_missing(required, spec, options, &by_price, &mut mix);
            remove_surplus(required, spec, options, &by_price, &mut mix);
            let evaluation = evaluate_mix(&mix, options);
            let is_sufficient =
                evaluation.surviving_units >= required && allows_reclaimable(spec, &evaluation);
            let is_better = best.as_ref().is_none_or(|(best_is_sufficient, best, _)| {
                if is_sufficient != *best_is_sufficient {
                    return is_sufficient;
                }
                match is_sufficient {
                    true => evaluation.price < best.price,
                    false => evaluation.surviving_units > best.surviving_units,
                }
            });
            if is_better {
                best = Some((is_sufficient, evaluation, mix));
            }
        }
    }
    best.map(|(_, _, mix)| mix).unwrap_or_default()
}

/// Returns whether the mix respects the service's limit on reclaimable instances.
pub(crate) fn allows_reclaimable(spec: &FleetSpec, evaluation: &MixEvaluation) -> bool {
    evaluation.reclaimable * 100 <= evaluation.instances * spec.max_reclaimable_percent
}

/// Buys the cheapest kinds up to `cap` units per zone, with `share` of the units reclaimable.
fn initial_mix(
    required: f64,
    cap: f64,
    share: f64,
    spec: &FleetSpec,
    by_price: &[&InstanceOption],
) -> InstanceMix {
    let total = (required + cap).max(required / (1.0 - MAX_RECLAIMED_SHARE * share));
    let mut builder =
        MixBuilder { mix: InstanceMix::new(), by_zone: BTreeMap::new(), instances: 0 };
    let max_reclaimable = spec.max_instances * spec.max_reclaimable_percent / 100;
    builder.add(total * share, cap, max_reclaimable, Purchase::Reclaimable, by_price);
    builder.add(total * (1.0 - share), cap, spec.max_instances, Purchase::OnDemand, by_price);
    builder.mix
}

struct MixBuilder<'a> {
    mix: InstanceMix,
    by_zone: BTreeMap<&'a ZoneName, f64>,
    instances: u32,
}

impl<'a> MixBuilder<'a> {
    fn add(
        &mut self,
        mut units: f64,
        cap: f64,
        max_instances: u32,
        purchase: Purchase,
        by_price: &[&'a InstanceOption],
    ) {
        for option in by_price.iter().filter(|option| option.kind.purchase == purchase) {
            let in_zone = self.by_zone.entry(&option.kind.zone).or_default();
            // One instance may exceed the cap; otherwise small services would get none.
            let room = ((cap - *in_zone) / option.units).ceil().max(0.0);
            let wanted = (units / option.units).ceil().max(0.0);
            let left = max_instances.saturating_sub(self.instances).min(option.limit);
            let count = (room.min(wanted) as u32).min(left);
            *in_zone += f64::from(count) * option.units;
            units -= f64::from(count) * option.units;
            self.instances += count;
            *self.mix.entry(option.kind.clone()).or_default() += count;
        }
    }
}

/// Adds instances outside the largest zone until the load and the minimum count are met.
fn add_missing(
    required: f64,
    spec: &FleetSpec,
    options: &[InstanceOption],
    by_price: &[&InstanceOption],
    mix: &mut InstanceMix,
) {
    for _ in 0..spec.max_instances {
        let evaluation = evaluate_mix(mix, options);
        let is_enough =
            evaluation.surviving_units >= required && evaluation.instances >= spec.min_instances;
        if is_enough || evaluation.instances >= spec.max_instances {
            return;
        }
        let largest = largest_zone(mix, by_price);
        let may_add = |option: &&&InstanceOption| {
            let is_allowed = option.kind.purchase == Purchase::OnDemand
                || (evaluation.reclaimable + 1) * 100
                    <= (evaluation.instances + 1) * spec.max_reclaimable_percent;
            let count = mix.get(&option.kind).copied().unwrap_or(0);
            is_allowed && count < option.limit && Some(&option.kind.zone) != largest.as_ref()
        };
        let Some(option) = by_price.iter().find(may_add) else {
            return;
        };
        *mix.entry(option.kind.clone()).or_default() += 1;
    }
}

fn largest_zone(mix: &InstanceMix, by_price: &[&InstanceOption]) -> Option<ZoneName> {
    let mut by_zone: BTreeMap<&ZoneName, f64> = BTreeMap::new();
    for option in by_price {
        let count = mix.get(&option.kind).copied().unwrap_or(0);
        *by_zone.entry(&option.kind.zone).or_default() += f64::from(count) * option.units;
    }
    let largest = by_zone.into_iter().max_by(|a, b| a.1.total_cmp(&b.1))?;
    (largest.1 > 0.0).then(|| largest.0.clone())
}

/// Removes surplus instances, the most expensive kinds first.
fn remove_surplus(
    required: f64,
    spec: &FleetSpec,
    options: &[InstanceOption],
    by_price: &[&InstanceOption],
    mix: &mut InstanceMix,
) {
    if evaluate_mix(mix, options).surviving_units < required {
        return;
    }
    for option in by_price.iter().rev() {
        loop {
            let count = mix.get(&option.kind).copied().unwrap_or(0);
            if count == 0 {
                break;
            }
            mix.insert(option.kind.clone(), count - 1);
            let evaluation = evaluate_mix(mix, options);
            let is_enough = evaluation.surviving_units >= required
                && evaluation.instances >= spec.min_instances;
            if !is_enough || !allows_reclaimable(spec, &evaluation) {
                mix.insert(option.kind.clone(), count);
                break;
            }
        }
    }
    mix.retain(|_, count| *count > 0);
}
