//! How long work takes at one upstream, relative to the usual of its service.
//!
//! An upstream's factor is learnt in logarithms from three sources: samples of the last seconds,
//! samples of the last minute, to which it returns when those are missing, and the figure that
//! the upstream states about itself. The stated figure counts only as far as earlier ones
//! predicted what was measured. Without samples the factor is 1, the usual of the service.

use std::time::Duration;

use tokio::time::Instant;

/// Time constant of what is learnt about the moment.
const RECENT: Duration = Duration::from_millis(1500);

/// Time constant of what is learnt about the upstream itself.
const LASTING: Duration = Duration::from_secs(30);

/// Number of samples for which the lasting value stands among the recent ones.
const LASTING_WEIGHT: f64 = 2.0;

/// Number of samples for which the usual of the service stands among the lasting ones.
const USUAL_WEIGHT: f64 = 3.0;

/// Number of samples for which "load makes no difference" stands among those under load.
const CROWDING_WEIGHT: f64 = 4.0;

/// Largest step, in logarithms, that one sample makes in the lasting value; what goes on for
/// longer moves it by its number of samples.
const MAX_LASTING_STEP: f64 = 0.7;

/// Bounds of the logarithm of a factor and of a sample.
const LOG_RANGE: (f64, f64) = (-1.6, 2.5);

/// Shares of the slots in use from which on an upstream counts as crowded, one value for each
/// step that is learnt separately.
const CROWDING_STEPS: [f64; 2] = [0.5, 0.8];

/// Share of the slots up to which the load of an upstream makes no difference.
const UNCROWDED: f64 = 0.3;

/// Time constant with which a stated figure loses its meaning.
const STATED: Duration = Duration::from_millis(600);

/// Weight of the assumption that stated figures predict nothing, as a sum of squared logarithms.
const DISTRUST: f64 = 0.6;

/// A sample of how long one request took, relative to the usual of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedSample {
    /// Logarithm of the time taken over the time that was expected at the usual speed.
    pub log_ratio: f64,
    /// Share of the upstream's slots that were in use when the request was sent.
    pub crowding: f64,
}

impl SpeedSample {
    /// Returns the sample of a request that took `measured`, where `expected` was usual.
    pub fn new(measured: Duration, expected: Duration, crowding: f64) -> SpeedSample {
        let ratio = measured.as_secs_f64().max(1e-4) / expected.as_secs_f64().max(1e-3);
        SpeedSample { log_ratio: ratio.ln().clamp(LOG_RANGE.0, LOG_RANGE.1), crowding }
    }
}

/// Weighted sum of logarithms that decays with time.
#[derive(Debug, Clone, Copy, Default)]
struct LogSum {
    weight: f32,
    sum: f32,
}

impl LogSum {
    fn decay(&mut self, by: f64) {
        self.weight *= by as f32;
        self.sum *= by as f32;
    }

    fn add(&mut self, value: f64) {
        self.weight += 1.0;
        self.sum += value as f32;
    }

    /// Returns the mean, with `prior` counted as `prior_weight` samples.
    fn mean(self, prior: f64, prior_weight: f64) -> f64 {
        (f64::from(self.sum) + prior * prior_weight) / (f64::from(self.weight) + prior_weight)
    }

    fn decayed(mut self, by: f64) -> LogSum {
        self.decay(by);
        self
    }
}

/// How well stated figures predict measured times: sums of a regression through the origin.
#[derive(Debug, Clone, Copy, Default)]
struct Trust {
    product: f32,
    square: f32,
}

impl Trust {
    /// Returns the share of a stated deviation that is believed.
    fn share(self) -> f64 {
        (f64::from(self.product) / (f64::from(self.square) + DISTRUST)).clamp(0.0, 1.0)
    }

    fn decay(&mut self, by: f64) {
        self.product *= by as f32;
        self.square *= by as f32;
    }

    fn add(&mut self, stated: f64, measured: f64) {
        self.product += (stated * measured) as f32;
        self.square += (stated * stated) as f32;
    }
}

/// A figure that an upstream stated, as a logarithm.
#[derive(Debug, Clone, Copy)]
struct Stated {
    log: f32,
    at: Instant,
}

/// Learnt speed of one upstream.
#[derive(Debug, Clone, Default)]
pub struct UpstreamSpeed {
    updated: Option<Instant>,
    recent: LogSum,
    lasting: LogSum,
    crowded: [LogSum; CROWDING_STEPS.len()],
    stated: Option<Stated>,
    usually_stated: LogSum,
    trust: Trust,
}

impl UpstreamSpeed {
    /// Returns the time that work takes here, as a multiple of the service's usual, while a share
    /// `crowding` of the slots is in use.
    pub fn factor(&self, crowding: f64, now: Instant) -> f64 {
        let log = self.level(now) + self.excess(crowding, now) + self.stated_part(now);
        log.clamp(LOG_RANGE.0, LOG_RANGE.1).exp()
    }

    /// Returns by how much one more request makes the `requests` others later, as a multiple of the
    /// service's usual time.
    pub fn delay_to_others(&self, requests: u32, slots: u32, now: Instant) -> f64 {
        let share = |requests: u32| f64::from(requests) / f64::from(slots.max(1));
        let factor = |requests: u32| self.factor(share(requests), now);
        f64::from(requests) * (factor(requests + 1) - factor(requests)).max(0.0)
    }

    /// Returns the factor of the upstream itself, without what holds for the moment only.
    pub fn lasting_factor(&self, now: Instant) -> f64 {
        self.lasting_level(now).exp()
    }

    /// Returns the share of its slots up to which the upstream takes on work well: beyond it,
    /// all work gets later by more than there is more of it.
    pub fn useful_share(&self, now: Instant) -> f64 {
        let ends = CROWDING_STEPS.into_iter().chain([1.0]);
        let starts = [0.0].into_iter().chain(CROWDING_STEPS);
        let rates = ends.zip(starts).map(|(end, start)| (end, end / self.excess(start, now).exp()));
        let best = rates.max_by(|(_, a), (_, b)| a.total_cmp(b));
        best.map_or(1.0, |(share, _)| share)
    }

    /// Records a request that was answered; `foreseen` is its value of [`Self::stated_part`] when
    /// it was sent, 0 for a sample of another node.
    pub fn record(&mut self, sample: SpeedSample, foreseen: f64, now: Instant) {
        self.decay(now);
        let excess = self.excess(sample.crowding, now);
        let rest = sample.log_ratio - excess - foreseen;
        if let Some(at) = step(sample.crowding) {
            self.crowded[at].add(sample.log_ratio - foreseen - self.level(now));
        }
        let lasting = self.lasting_level(now);
        self.lasting.add(lasting + (rest - lasting).clamp(-MAX_LASTING_STEP, MAX_LASTING_STEP));
        self.recent.add(rest);
    }

    /// Records a request that has had no answer for a time that `sample` gives, if that is longer
    /// than what is expected here.
    pub fn record_overdue(&mut self, sample: SpeedSample, now: Instant) -> bool {
        let is_overdue = sample.log_ratio > self.factor(sample.crowding, now).ln();
        if is_overdue {
            self.record(sample, 0.0, now);
        }
        is_overdue
    }

    /// Records the figure that the upstream states, 1 for its usual speed.
    pub fn record_stated(&mut self, figure: f64, now: Instant) {
        if !figure.is_finite() || figure <= 0.0 {
            return;
        }
        self.decay(now);
        let log = figure.ln().clamp(LOG_RANGE.0, LOG_RANGE.1);
        self.usually_stated.add(log);
        self.stated = Some(Stated { log: log as f32, at: now });
    }

    /// Compares a stated deviation with what was measured of a request sent under it.
    pub fn compare_stated(&mut self, deviation: f64, sample: SpeedSample, now: Instant) {
        self.decay(now);
        let measured = sample.log_ratio - self.excess(sample.crowding, now) - self.level(now);
        self.trust.add(deviation, measured);
    }

    /// Returns by how much the stated figure deviates from the usual one, as a logarithm that
    /// fades with the figure's age.
    pub fn stated_deviation(&self, now: Instant) -> f64 {
        let Some(stated) = self.stated else { return 0.0 };
        let age = now.saturating_duration_since(stated.at).as_secs_f64();
        let fresh = (-age / STATED.as_secs_f64()).exp();
        (f64::from(stated.log) - self.usually_stated.mean(0.0, USUAL_WEIGHT)) * fresh
    }

    /// Returns the part of the factor's logarithm that comes from the stated figure.
    pub fn stated_part(&self, now: Instant) -> f64 {
        self.stated_deviation(now) * self.trust.share()
    }

    /// Returns whether nothing is known.
    pub fn is_unknown(&self) -> bool {
        self.updated.is_none()
    }

    fn age(&self, now: Instant) -> f64 {
        self.updated.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64())
    }

    fn lasting_level(&self, now: Instant) -> f64 {
        self.lasting.decayed(remaining(self.age(now), LASTING)).mean(0.0, USUAL_WEIGHT)
    }

    fn level(&self, now: Instant) -> f64 {
        let recent = self.recent.decayed(remaining(self.age(now), RECENT));
        recent.mean(self.lasting_level(now), LASTING_WEIGHT)
    }

    /// Returns by how much work takes longer at a load, as a logarithm that never falls with it.
    ///
    /// Between two steps it rises evenly: a count is a moment old, and the load goes up and down.
    fn excess(&self, crowding: f64, now: Instant) -> f64 {
        let by = remaining(self.age(now), LASTING);
        let (mut from, mut reached) = (UNCROWDED, 0.0);
        for (step, sum) in CROWDING_STEPS.into_iter().zip(&self.crowded) {
            let at_step = sum.decayed(by).mean(0.0, CROWDING_WEIGHT).max(reached);
            if crowding < step {
                let part = ((crowding - from) / (step - from)).max(0.0);
                return reached + (at_step - reached) * part;
            }
            (from, reached) = (step, at_step);
        }
        reached
    }

    fn decay(&mut self, now: Instant) {
        let age = self.age(now);
        let (recent, lasting) = (remaining(age, RECENT), remaining(age, LASTING));
        self.recent.decay(recent);
        self.lasting.decay(lasting);
        self.crowded.iter_mut().for_each(|sum| sum.decay(lasting));
        self.usually_stated.decay(lasting);
        self.trust.decay(lasting);
        self.updated = Some(self.updated.map_or(now, |at| at.max(now)));
    }
}

/// Returns the share of a sum that remains after a time.
fn remaining(age: f64, time_constant: Duration) -> f64 {
    (-age / time_constant.as_secs_f64()).exp()
}

/// Returns the highest crowding step that a load has reached.
fn step(crowding: f64) -> Option<usize> {
    CROWDING_STEPS.iter().rposition(|from| crowding >= *from)
}
