//! Selects which instances to start and stop, damping changes of the load.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use lycheelatch_config::FleetSpec;
use lycheelatch_provider::Offer;
use rand::Rng;
use tokio::time::Instant;

use crate::size::{
    InstanceKind, InstanceMix, InstanceOption, allows_reclaimable, cheapest_mix, evaluate_mix,
    instance_options,
};

/// Time window over which the peak load is taken.
const PEAK_WINDOW: Duration = Duration::from_secs(600);

/// Headroom over the peak load, which covers a rise of the load while instances start.
const LOAD_HEADROOM: f64 = 1.1;

/// The present mix is kept while it costs at most this many times the cheapest one.
const MAX_PRICE_RATIO: f64 = 1.1;

/// Initial backoff after a refused start.
const MIN_BACKOFF: Duration = Duration::from_secs(5);

/// Maximum backoff after refused starts.
const MAX_BACKOFF: Duration = Duration::from_secs(300);

/// Sliding-window maximum of a service's load, so that a fall of the load takes effect late.
#[derive(Debug, Default)]
pub struct PeakLoadWindow {
    /// Load samples that no later sample exceeds, in descending order.
    peaks: VecDeque<(Instant, f64)>,
}

impl PeakLoadWindow {
    /// Adds a load sample and returns the capacity to plan for, in units per second.
    pub fn update(&mut self, now: Instant, load: f64) -> f64 {
        while self.peaks.back().is_some_and(|(_, peak)| *peak <= load) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, load));
        while self.peaks.front().is_some_and(|(at, _)| *at + PEAK_WINDOW < now) {
            self.peaks.pop_front();
        }
        self.peaks.front().map_or(load, |(_, peak)| *peak) * LOAD_HEADROOM
    }
}

/// Backoff of instance kinds whose starts were refused recently.
#[derive(Debug, Default)]
pub struct StartBackoff {
    refused: HashMap<InstanceKind, (Instant, Duration)>,
}

impl StartBackoff {
    /// Records a refused start; the backoff doubles, with random jitter.
    pub fn record_refusal(&mut self, now: Instant, kind: &InstanceKind, rng: &mut impl Rng) {
        let earlier = self.refused.get(kind).map(|(_, pause)| *pause);
        let pause = earlier.map_or(MIN_BACKOFF, |pause| (pause * 2).min(MAX_BACKOFF));
        let jittered = pause.mul_f64(rng.random_range(0.5..1.5));
        self.refused.insert(kind.clone(), (now + jittered, pause));
    }

    /// Records a successful start.
    pub fn record_start(&mut self, kind: &InstanceKind) {
        self.refused.remove(kind);
    }

    /// Returns whether the backoff of this kind has elapsed.
    pub fn may_start(&self, now: Instant, kind: &InstanceKind) -> bool {
        self.refused.get(kind).is_none_or(|(until, _)| *until <= now)
    }
}

/// Target mix and the changes that lead to it, by instance kind.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ScalingPlan {
    /// Instances that should run.
    pub target: InstanceMix,
    /// Instances to start.
    pub start: InstanceMix,
    /// Instances to stop; empty while any start is outstanding.
    pub stop: InstanceMix,
}

/// Plans starts and stops, given the present instances that are not leaving.
pub fn plan_scaling(
    now: Instant,
    required: f64,
    spec: &FleetSpec,
    offers: &[Offer],
    present: &InstanceMix,
    backoff: &StartBackoff,
) -> ScalingPlan {
    let limit_of = |kind: &InstanceKind| match backoff.may_start(now, kind) {
        true => u32::MAX,
        // Instances of a kind with refused starts may still be kept.
        false => present.get(kind).copied().unwrap_or(0),
    };
    let options = instance_options(spec, offers, limit_of);
    let cheapest = cheapest_mix(required, spec, &options);
    let target = match may_keep_present(required, spec, &options, present, &cheapest) {
        true => present.clone(),
        false => cheapest,
    };
    let start = difference(&target, present);
    // Nothing is stopped before its replacement has been started.
    let stop = if start.is_empty() { difference(present, &target) } else { InstanceMix::new() };
    ScalingPlan { target, start, stop }
}

fn may_keep_present(
    required: f64,
    spec: &FleetSpec,
    options: &[InstanceOption],
    present: &InstanceMix,
    cheapest: &InstanceMix,
) -> bool {
    let is_offered = |kind: &InstanceKind| options.iter().any(|option| option.kind == *kind);
    let (current, cheapest_evaluation) =
        (evaluate_mix(present, options), evaluate_mix(cheapest, options));
    let is_within_limits = current.instances >= spec.min_instances
        && current.instances <= spec.max_instances
        && allows_reclaimable(spec, &current);
    let are_all_offered = present.keys().all(is_offered);
    are_all_offered
        && is_within_limits
        && current.surviving_units >= required
        && current.price <= cheapest_evaluation.price * MAX_PRICE_RATIO
}

fn difference(a: &InstanceMix, b: &InstanceMix) -> InstanceMix {
    let surplus = |(kind, count): (&InstanceKind, &u32)| {
        let more = count.saturating_sub(b.get(kind).copied().unwrap_or(0));
        (more > 0).then(|| (kind.clone(), more))
    };
    a.iter().filter_map(surplus).collect()
}
