//! Forecast of the upstreams that a service needs, from its recent demand.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use lycheelatch_prelude::{NodeId, ServiceName};
use tokio::time::Instant;

use crate::{
    ServiceSpec,
    gateway::{Demand, Gateway},
    size::CapacityNeed,
};

/// Time over which the demand is averaged.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which capacity for the peak demand is kept.
const PEAK_HOLD_TIME: Duration = Duration::from_secs(12);

/// Prompt tokens per second that one engine processes while decoding takes half of its time.
const PREFILL_TOKENS_PER_SECOND: f64 = 25_000.0;

/// Share of the prompt tokens that are not found in a prefix cache.
const UNCACHED_SHARE: f64 = 0.45;

/// Reclaimable engines per engine of demand. They are cheap, and all of an availability zone may be
/// reclaimed at once.
const RECLAIMABLE_FACTOR: f64 = 3.0;

/// Minimum number of reclaimable engines.
const MIN_RECLAIMABLE: u32 = 12;

/// Time after the first upstream's entry by which all running upstreams have written theirs.
const DISCOVERY_TIME: Duration = Duration::from_millis(1600);

/// Divisor of the number of initial engines; the quotient is ordered in addition to them.
const INITIAL_EXTRA_DIVISOR: u32 = 3;

/// Minimum number of engines of both purchase options while there is demand.
const MIN_ENGINES: u32 = 3;

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
                    generated_tokens: reported.generated_tokens,
                    refused: reported.refused,
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
            generated_tokens: total.generated_tokens.saturating_sub(previous.generated_tokens),
            refused: total.refused.saturating_sub(previous.refused),
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
        let recent = self.recent.get(service);
        recent.into_iter().flatten().map(|(_, demand)| demand.prompt_tokens).sum()
    }

    /// Returns whether all upstreams that ran at the start have been discovered.
    fn is_discovered(&self, service: &ServiceName, now: Instant) -> bool {
        let first_seen = self.initial.get(service).and_then(|initial| initial.first_seen);
        first_seen.is_some_and(|at| now - at > DISCOVERY_TIME)
    }

    /// Returns the upstreams that a service needs, or `None` while its running upstreams are being
    /// discovered.
    pub(crate) fn need(&mut self, service: &ServiceSpec, now: Instant) -> Option<CapacityNeed> {
        let read = self.prompt_tokens(&service.name);
        let read_per_second = read as f64 / WINDOW.as_secs_f64();
        let engines = read_per_second * UNCACHED_SHARE / PREFILL_TOKENS_PER_SECOND;
        let peak = self.peaks.entry(service.name.clone()).or_insert(Peak { engines, at: now });
        if engines >= peak.engines || now - peak.at > PEAK_HOLD_TIME {
            *peak = Peak { engines, at: now };
        }
        let peak_engines = peak.engines.ceil();
        let initial = self.initial_upstreams(&service.name, now);
        let reclaimable = (peak_engines * RECLAIMABLE_FACTOR) as u32;
        let reclaimable = reclaimable.max(initial + initial / INITIAL_EXTRA_DIVISOR);
        self.is_discovered(&service.name, now).then_some(CapacityNeed {
            reclaimable: reclaimable.max(MIN_RECLAIMABLE),
            required: (peak_engines as u32).max(MIN_ENGINES),
            is_busy: read > 0,
        })
    }
}
