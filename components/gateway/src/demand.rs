//! How many upstreams a service needs, from what callers asked lately.

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

/// Time that the demand is averaged over.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which the highest demand is kept ready for.
const PEAK_KEPT: Duration = Duration::from_secs(12);

/// Tokens a second that one engine reads when half of its time goes to other work.
const READ_PER_SECOND: f64 = 25_000.0;

/// Part of the asked tokens that caches don't save.
const UNCACHED_SHARE: f64 = 0.45;

/// Reclaimable engines for each engine's worth of demand: they are cheap, and a zone's go at once.
const RECLAIMABLE_SHARE: f64 = 3.0;

/// Fewest reclaimable engines.
const FEWEST_RECLAIMABLE: u32 = 12;

/// Time after the first upstream in which every other one has written its entry.
const SETTLE: Duration = Duration::from_millis(1600);

/// Of the engines that are found at the start, one in so many is ordered beyond them.
const FOUND_EXTRA: u32 = 3;

/// Fewest engines of any kind while there is work.
const FEWEST: u32 = 3;

/// Demand of each service over the last seconds.
#[derive(Debug, Default)]
pub(crate) struct DemandForecast {
    last: HashMap<(NodeId, ServiceName), Demand>,
    recent: BTreeMap<ServiceName, VecDeque<(Instant, Demand)>>,
    peaks: BTreeMap<ServiceName, Peak>,
    found: BTreeMap<ServiceName, Found>,
}

/// Upstreams that were there before any demand was seen.
#[derive(Debug, Clone, Copy)]
struct Found {
    upstreams: u32,
    /// When the first of them was seen.
    since: Option<Instant>,
    /// When demand was seen first.
    until: Option<Instant>,
}

/// Highest demand lately.
#[derive(Debug, Clone, Copy)]
struct Peak {
    engines: f64,
    at: Instant,
}

impl DemandForecast {
    /// Takes note of what all nodes were asked since the last call.
    pub(crate) fn observe(&mut self, gateway: &Gateway, now: Instant) {
        let own = gateway.settings.node.clone();
        for (service, demand) in gateway.arrivals.borrow().iter() {
            self.add(own.clone(), service.clone(), *demand, now);
        }
        for digest in gateway.peers.borrow().heard_digests(now) {
            for asked in &digest.demand {
                let demand = Demand {
                    requests: asked.requests,
                    read_tokens: asked.read_tokens,
                    generated_tokens: asked.generated_tokens,
                    refused: asked.refused,
                };
                self.add(digest.node.clone(), asked.service.clone(), demand, now);
            }
        }
        for recent in self.recent.values_mut() {
            while recent.front().is_some_and(|(at, _)| now - *at > WINDOW) {
                recent.pop_front();
            }
        }
    }

    fn add(&mut self, node: NodeId, service: ServiceName, total: Demand, now: Instant) {
        let before = self.last.insert((node, service.clone()), total);
        // A node that is seen for the first time, or started again, says nothing of the last seconds.
        let Some(before) = before.filter(|before| before.requests <= total.requests) else {
            return;
        };
        let since = Demand {
            requests: total.requests - before.requests,
            read_tokens: total.read_tokens.saturating_sub(before.read_tokens),
            generated_tokens: total.generated_tokens.saturating_sub(before.generated_tokens),
            refused: total.refused.saturating_sub(before.refused),
        };
        self.recent.entry(service).or_default().push_back((now, since));
    }

    /// Takes note of the upstreams that a service has.
    pub(crate) fn see(&mut self, service: &ServiceName, there: u32, now: Instant) {
        let has_demand = self.read_tokens(service) > 0;
        let new = Found { upstreams: 0, since: None, until: None };
        let found = self.found.entry(service.clone()).or_insert(new);
        if there > 0 && found.since.is_none() {
            found.since = Some(now);
        }
        if !has_demand && found.until.is_none() {
            found.upstreams = found.upstreams.max(there);
        }
        if has_demand && found.until.is_none() {
            found.until = Some(now);
        }
    }

    /// Returns how many upstreams somebody ordered before any demand was seen.
    fn found(&self, service: &ServiceName, now: Instant) -> u32 {
        let Some(found) = self.found.get(service) else { return 0 };
        let is_over = found.until.is_some_and(|since| now - since > PEAK_KEPT);
        if is_over { 0 } else { found.upstreams }
    }

    /// Returns the tokens that callers asked a service to read lately.
    fn read_tokens(&self, service: &ServiceName) -> u64 {
        let recent = self.recent.get(service);
        recent.into_iter().flatten().map(|(_, demand)| demand.read_tokens).sum()
    }

    /// Returns whether the upstreams that were there at the start have all been seen.
    fn is_settled(&self, service: &ServiceName, now: Instant) -> bool {
        let since = self.found.get(service).and_then(|found| found.since);
        since.is_some_and(|since| now - since > SETTLE)
    }

    /// Returns what a service needs; none: its upstreams are not all known yet.
    pub(crate) fn need(&mut self, service: &ServiceSpec, now: Instant) -> Option<CapacityNeed> {
        let read = self.read_tokens(&service.name);
        let per_second = read as f64 / WINDOW.as_secs_f64();
        let engines = per_second * UNCACHED_SHARE / READ_PER_SECOND;
        let peak = self.peaks.entry(service.name.clone()).or_insert(Peak { engines, at: now });
        if engines >= peak.engines || now - peak.at > PEAK_KEPT {
            *peak = Peak { engines, at: now };
        }
        let busy = peak.engines.ceil();
        let found = self.found(&service.name, now);
        let reclaimable = (busy * RECLAIMABLE_SHARE) as u32;
        let reclaimable = reclaimable.max(found + found / FOUND_EXTRA);
        self.is_settled(&service.name, now).then_some(CapacityNeed {
            reclaimable: reclaimable.max(FEWEST_RECLAIMABLE),
            required: (busy as u32).max(FEWEST),
            is_busy: read > 0,
        })
    }
}
