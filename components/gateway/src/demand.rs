//! Forecast of the upstreams that a service needs, from its recent demand.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use lycheelatch_prelude::{NodeId, ServiceName};
use tokio::time::Instant;

use crate::{
    EngineSpeed, ServiceSpec,
    gateway::{Demand, Gateway},
    schedule::LEADER_INTERVAL,
    size::{
        CapacityNeed, ServiceLoad, ZoneCapacity, ZoneTarget, reclaimable_engines, required_engines,
    },
    table::ScalingSpec,
};

/// Time over which the demand is averaged.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after which a leader knows the recent demand of all nodes.
const DEMAND_KNOWN_AFTER: Duration = WINDOW.saturating_add(LEADER_INTERVAL.saturating_mul(2));

/// Time for which capacity for the peak demand is kept.
const PEAK_HOLD_TIME: Duration = Duration::from_secs(12);

/// Time after the first upstream's entry by which all running upstreams have written theirs.
const DISCOVERY_TIME: Duration = Duration::from_millis(1600);

/// Divisor of the number of initial engines; the quotient is ordered in addition to them.
const INITIAL_EXTRA_DIVISOR: u32 = 3;

/// Keeps running upstreams while a new leader, which has led for `led_for`, lacks information.
///
/// It does not know where reclaimable upstreams can be had; its predecessor may have ordered
/// on-demand ones because there were none. And it learns the demand of all nodes only from then on.
pub fn keep_running(
    spec: &ScalingSpec,
    led_for: Duration,
    capacity: &[ZoneCapacity],
    targets: &mut [ZoneTarget],
) {
    for (zone, target) in capacity.iter().zip(targets) {
        if led_for < spec.startup_time.max(DEMAND_KNOWN_AFTER) {
            target.on_demand = target.on_demand.max(zone.on_demand);
        }
        if led_for < DEMAND_KNOWN_AFTER {
            target.reclaimable = target.reclaimable.max(zone.reclaimable);
        }
    }
}

/// Recent demand of each service over all nodes, and the need that follows from it.
#[derive(Debug, Default)]
pub(crate) struct DemandForecast {
    last_totals: HashMap<(NodeId, ServiceName), Demand>,
    recent: BTreeMap<ServiceName, VecDeque<(Instant, Demand)>>,
    peaks: BTreeMap<ServiceName, Peak>,
    initial: BTreeMap<ServiceName, InitialUpstreams>,
}

/// Upstreams that ran before the first demand.
#[derive(Debug, Clone, Copy)]
struct InitialUpstreams {
    upstreams: u32,
    /// When the first upstream was seen.
    first_seen: Option<Instant>,
    /// When the first demand was seen.
    first_demand: Option<Instant>,
}

/// Peak of the recent demand, as a number of engines.
#[derive(Debug, Clone, Copy)]
struct Peak {
    engines: f64,
    at: Instant,
}

impl DemandForecast {
    /// Records the demand of all nodes since the last call.
    pub(crate) fn observe(&mut self, gateway: &Gateway, now: Instant) {
        let own = gateway.settings.node.clone();
        for (service, demand) in gateway.demand.borrow().iter() {
            self.record_total(own.clone(), service.clone(), *demand, now);
        }
        for digest in gateway.peers.borrow().live_digests(now) {
            for reported in &digest.demand {
                let demand = Demand {
                    requests: reported.requests,
                    prompt_tokens: reported.prompt_tokens,
                    prefill_tokens: reported.prefill_tokens,
                    refused: reported.refused,
                    speed: reported.speed,
                };
                self.record_total(digest.node.clone(), reported.service.clone(), demand, now);
            }
        }
        for recent in self.recent.values_mut() {
            while recent.front().is_some_and(|(at, _)| now - *at > WINDOW) {
                recent.pop_front();
            }
        }
    }

    fn record_total(&mut self, node: NodeId, service: ServiceName, total: Demand, now: Instant) {
        let previous = self.last_totals.insert((node, service.clone()), total);
        // Without an earlier total of the same process, the recent demand is not known.
        let Some(previous) = previous.filter(|previous| previous.requests <= total.requests) else {
            return;
        };
        let delta = Demand {
            requests: total.requests - previous.requests,
            prompt_tokens: total.prompt_tokens.saturating_sub(previous.prompt_tokens),
            prefill_tokens: total.prefill_tokens.saturating_sub(previous.prefill_tokens),
            refused: total.refused.saturating_sub(previous.refused),
            speed: total.speed,
        };
        self.recent.entry(service).or_default().push_back((now, delta));
    }

    /// Records the number of upstreams that a service has.
    pub(crate) fn observe_upstreams(&mut self, service: &ServiceName, count: u32, now: Instant) {
        let has_demand = self.prompt_tokens(service) > 0;
        let new = InitialUpstreams { upstreams: 0, first_seen: None, first_demand: None };
        let initial = self.initial.entry(service.clone()).or_insert(new);
        if count > 0 && initial.first_seen.is_none() {
            initial.first_seen = Some(now);
        }
        if !has_demand && initial.first_demand.is_none() {
            initial.upstreams = initial.upstreams.max(count);
        }
        if has_demand && initial.first_demand.is_none() {
            initial.first_demand = Some(now);
        }
    }

    /// Returns the number of upstreams that ran before the first demand.
    fn initial_upstreams(&self, service: &ServiceName, now: Instant) -> u32 {
        let Some(initial) = self.initial.get(service) else { return 0 };
        let is_expired = initial.first_demand.is_some_and(|at| now - at > PEAK_HOLD_TIME);
        if is_expired { 0 } else { initial.upstreams }
    }

    /// Returns the prompt tokens of a service's recent requests.
    fn prompt_tokens(&self, service: &ServiceName) -> u64 {
        self.recent(service).map(|demand| demand.prompt_tokens).sum()
    }

    fn recent(&self, service: &ServiceName) -> impl Iterator<Item = &Demand> {
        self.recent.get(service).into_iter().flatten().map(|(_, demand)| demand)
    }

    /// Returns the recent load of a service with `in_flight` requests at its engines.
    fn load(&self, service: &ServiceName, in_flight: u32) -> ServiceLoad {
        let prefill: u64 = self.recent(service).map(|demand| demand.prefill_tokens).sum();
        let requests: u64 = self.recent(service).map(|demand| demand.requests).sum();
        let rejected: u64 = self.recent(service).map(|demand| demand.refused).sum();
        ServiceLoad {
            prefill_per_second: prefill as f64 / WINDOW.as_secs_f64(),
            in_flight,
            rejected_share: (rejected as f64 / requests.max(1) as f64).min(1.0),
        }
    }

    /// Returns whether all upstreams that ran at the start have been discovered.
    fn is_discovered(&self, service: &ServiceName, now: Instant) -> bool {
        let first_seen = self.initial.get(service).and_then(|initial| initial.first_seen);
        first_seen.is_some_and(|at| now - at > DISCOVERY_TIME)
    }

    /// Returns the peak of the required engines, with `engines` as the latest value.
    fn peak(&mut self, service: &ServiceName, engines: f64, now: Instant) -> f64 {
        let peak = self.peaks.entry(service.clone()).or_insert(Peak { engines, at: now });
        if engines >= peak.engines || now - peak.at > PEAK_HOLD_TIME {
            *peak = Peak { engines, at: now };
        }
        peak.engines
    }

    /// Returns the upstreams that a model service needs, or `None` while its running upstreams
    /// are being discovered.
    pub(crate) fn need(
        &mut self,
        service: &ServiceSpec,
        scaling: &ScalingSpec,
        engines: EngineState,
        now: Instant,
    ) -> Option<CapacityNeed> {
        let slots = service.engine.as_ref().map_or(1, |engine| engine.slots);
        let load = self.load(&service.name, engines.in_flight);
        let engines = required_engines(&load, slots, engines.speed);
        let initial = self.initial_upstreams(&service.name, now);
        let required = match initial {
            0 => self.peak(&service.name, engines, now),
            // The prompts of the first requests are in no cache yet, so this is no peak to hold.
            _ => engines.min(f64::from(initial)),
        };
        let reclaimable = reclaimable_engines(required, scaling.zone_prices.len());
        let reclaimable = reclaimable.max(initial + initial / INITIAL_EXTRA_DIVISOR);
        self.is_discovered(&service.name, now).then_some(CapacityNeed {
            reclaimable,
            required: required.ceil() as u32,
            is_busy: self.prompt_tokens(&service.name) > 0,
        })
    }
}

/// Current state of a service's engines.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineState {
    /// Requests in flight at all engines.
    pub(crate) in_flight: u32,
    pub(crate) speed: EngineSpeed,
}
