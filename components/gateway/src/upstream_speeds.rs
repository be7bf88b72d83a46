//! Records samples of the upstreams' speed: from own requests, from the figures that upstreams
//! state, and from other nodes.
//!
//! A node sees a small share of an upstream's answers, so each sample goes to the other nodes in
//! the next datagrams.

use std::collections::BTreeMap;

use lycheelatch_policy::SpeedSample;
use lycheelatch_prelude::{ServiceName, UpstreamId};
use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

use crate::{dialect::ReportedLoad, directory::Upstream, gateway::Gateway, place::ExpectedSpeed};

#[cfg(test)]
mod tests;

/// Steps of an encoded logarithm for a factor of e.
const LOG_STEPS: f64 = 32.0;

/// Steps of an encoded share of the slots.
const SHARE_STEPS: f64 = 16.0;

/// Percent of the usual time for one step of an encoded stated figure.
const STATED_STEP: f64 = 4.0;

/// Maximum number of samples that wait to be sent; later ones are left out.
const MAX_WAITING: usize = 24;

/// Age up to which a stated figure is passed on.
const MAX_STATED_AGE: Duration = Duration::from_millis(400);

/// Quantiles of the learnt speeds in the metric, with their labels.
const QUANTILES: [(f64, &str); 3] = [(0.1, "0.1"), (0.5, "0.5"), (0.9, "0.9")];

/// Hash of an upstream's identifier, short enough for each sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct UpstreamKey(u32);

impl From<&UpstreamId> for UpstreamKey {
    fn from(id: &UpstreamId) -> UpstreamKey {
        UpstreamKey(xxh3_64(id.as_str().as_bytes()) as u32)
    }
}

/// Sample of an upstream's speed in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SpeedNotice {
    upstream: UpstreamKey,
    log_ratio: i8,
    crowding: u8,
    /// Figure that the upstream stated last; 0 if it stated none.
    stated: u8,
}

impl SpeedNotice {
    fn new(upstream: UpstreamKey, sample: SpeedSample, stated: Option<f64>) -> SpeedNotice {
        let percent = stated.unwrap_or(0.0) * 100.0;
        SpeedNotice {
            upstream,
            log_ratio: (sample.log_ratio * LOG_STEPS).round() as i8,
            crowding: (sample.crowding * SHARE_STEPS).round() as u8,
            stated: (percent / STATED_STEP).round() as u8,
        }
    }

    fn stated(&self) -> Option<f64> {
        (self.stated > 0).then(|| f64::from(self.stated) * STATED_STEP / 100.0)
    }
}

impl From<&SpeedNotice> for SpeedSample {
    fn from(notice: &SpeedNotice) -> SpeedSample {
        SpeedSample {
            log_ratio: f64::from(notice.log_ratio) / LOG_STEPS,
            crowding: f64::from(notice.crowding) / SHARE_STEPS,
        }
    }
}

/// Records the load that an upstream reports in an answer.
pub(crate) fn record_reported_load(upstream: &Upstream, load: ReportedLoad, now: Instant) {
    upstream.reported_load.set(Some((load, now)));
    if let Some(percent) = load.work_time_percent {
        upstream.speed.borrow_mut().record_stated(f64::from(percent) / 100.0, now);
    }
}

/// Records how long a request took at an upstream, and keeps the sample for the other nodes.
pub(crate) fn record_answer_time(
    gateway: &Gateway,
    upstream: &Upstream,
    expected: ExpectedSpeed,
    measured: Duration,
    now: Instant,
) {
    let sample = SpeedSample::new(measured, expected.usual_time, expected.crowding);
    let mut speed = upstream.speed.borrow_mut();
    speed.compare_stated(expected.stated, sample, now);
    speed.record(sample, expected.believed, now);
    drop(speed);
    let rest = SpeedSample { log_ratio: sample.log_ratio - expected.believed, ..sample };
    keep_for_others(gateway, upstream, rest, now);
}

/// Records that a request to an upstream ended without an answer after a time.
pub(crate) fn record_missing_answer(
    gateway: &Gateway,
    upstream: &Upstream,
    expected: ExpectedSpeed,
    waited: Duration,
    now: Instant,
) {
    let sample = SpeedSample::new(waited, expected.usual_time, expected.crowding);
    if upstream.speed.borrow_mut().record_overdue(sample, now) {
        keep_for_others(gateway, upstream, sample, now);
    }
}

fn keep_for_others(gateway: &Gateway, upstream: &Upstream, sample: SpeedSample, now: Instant) {
    let mut waiting = gateway.speed_notices.borrow_mut();
    if waiting.len() >= MAX_WAITING {
        return;
    }
    let reported = upstream.reported_load.get();
    let recent = reported.filter(|(_, at)| now.duration_since(*at) < MAX_STATED_AGE);
    let percent = recent.and_then(|(load, _)| load.work_time_percent);
    let stated = percent.map(|percent| f64::from(percent) / 100.0);
    waiting.push(SpeedNotice::new(upstream.key(), sample, stated));
}

/// Updates the metric of learnt speeds: a few quantiles for each service, so that the number of
/// series does not grow with that of upstreams.
pub(crate) fn update_speed_metric(gateway: &Gateway, now: Instant) {
    let mut factors: BTreeMap<ServiceName, Vec<f64>> = BTreeMap::new();
    for upstream in gateway.directory.all() {
        let speed = upstream.speed.borrow();
        if !speed.is_unknown() {
            let service = upstream.entry.borrow().service.clone();
            factors.entry(service).or_default().push(speed.factor(0.0, now));
        }
    }
    for (service, mut factors) in factors {
        factors.sort_by(f64::total_cmp);
        for (quantile, label) in QUANTILES {
            let at = ((factors.len() - 1) as f64 * quantile).round() as usize;
            let gauge = &gateway.metrics.upstream_speed;
            gauge.with_label_values(&[service.as_str(), label]).set(factors[at]);
        }
    }
}

/// Takes over the samples of another node.
pub(crate) fn handle_speed_notices(gateway: &Gateway, notices: &[SpeedNotice], now: Instant) {
    for notice in notices {
        let Some(upstream) = gateway.directory.get_by_key(notice.upstream) else { continue };
        let mut speed = upstream.speed.borrow_mut();
        speed.record(notice.into(), 0.0, now);
        if let Some(stated) = notice.stated() {
            speed.record_stated(stated, now);
        }
    }
}
