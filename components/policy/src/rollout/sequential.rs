//! Sequential tests that compare how often an event occurs at the two tracks.
//!
//! The statistic is an e-value: its expectation is at most 1 while the canary is no worse than
//! the stable track, at any number of requests at which it is looked at. By Ville's inequality it
//! reaches `1 / error rate` with at most that error rate, however often it is looked at. It is a
//! mixture of likelihood ratios (mixture sequential probability ratio test).

/// Occurrences of an event among requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Occurrences {
    pub(super) events: u32,
    pub(super) requests: u32,
}

/// Occurrences of the same event at both tracks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Comparison {
    pub(super) stable: Occurrences,
    pub(super) canary: Occurrences,
}

impl Comparison {
    /// Returns the log likelihood ratio of "events are `ratio` times as frequent at the canary"
    /// to "they are as frequent at both tracks".
    ///
    /// It is conditioned on the number of events: each falls to the canary with the canary's share
    /// of the requests if the tracks are equal. What strikes both tracks therefore cancels out.
    fn log_ratio(&self, ratio: f64) -> f64 {
        let canary = f64::from(self.canary.requests);
        let stable = f64::from(self.stable.requests);
        if canary == 0.0 || stable == 0.0 {
            return 0.0;
        }
        let scale = (canary + stable) / (ratio * canary + stable);
        f64::from(self.canary.events) * (ratio * scale).ln()
            + f64::from(self.stable.events) * scale.ln()
    }
}

/// Returns the log e-value against "no stratum has events more often at the canary".
///
/// `ratios` are the alternatives: by what factor events are more frequent at the canary.
pub(super) fn log_excess(strata: &[Comparison], ratios: &[f64]) -> f64 {
    let of_ratio = |ratio: &f64| strata.iter().map(|stratum| stratum.log_ratio(*ratio)).sum();
    log_mean_exp(ratios.iter().map(of_ratio))
}

/// Returns the log e-value against "the event occurs at most at the rate `tolerated`".
pub(super) fn log_over_rate(occurrences: Occurrences, tolerated: f64, rates: &[f64]) -> f64 {
    let events = f64::from(occurrences.events);
    let others = f64::from(occurrences.requests.saturating_sub(occurrences.events));
    log_mean_exp(rates.iter().map(|rate| {
        events * (rate / tolerated).ln() + others * ((1.0 - rate) / (1.0 - tolerated)).ln()
    }))
}

/// Returns the logarithm of the mean of the exponentials.
pub(super) fn log_mean_exp(logs: impl Iterator<Item = f64> + Clone) -> f64 {
    let max = logs.clone().fold(f64::NEG_INFINITY, f64::max);
    if !max.is_finite() {
        return max;
    }
    let (sum, number) = logs.fold((0.0, 0.0), |(sum, n), log| (sum + (log - max).exp(), n + 1.0));
    max + (sum / number).ln()
}
