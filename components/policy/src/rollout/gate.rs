//! Keeps the canary's share of the requests on one node.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Decides for each request of one node whether it may go to the canary.
///
/// Of each run of `1 / share` requests one goes to the canary, at a place that the seed determines.
/// `n` requests thus send `share * n` rounded up or down, and `share * n` on average also if a node
/// gets only a few requests or restarts. Over `k` nodes with seeds of their own, the sum exceeds
/// `share` of all requests by more than `x` with a probability below `exp(-2 x² / k)` (Hoeffding's
/// inequality), without any message between them.
#[derive(Debug, Clone)]
pub struct ExposureGate {
    seed: u64,
    /// Number of the current run.
    run: u64,
    /// Elapsed part of the current run.
    elapsed: f64,
    /// Whether the run's request went to the canary.
    is_spent: bool,
}

impl ExposureGate {
    /// Creates a gate; nodes, services and starts of a node must have different seeds.
    pub fn new(seed: u64) -> ExposureGate {
        ExposureGate { seed, run: 0, elapsed: 0.0, is_spent: false }
    }

    /// Counts an attempt at the service, a retry or a resumed stream too, and returns whether it
    /// may go to the canary.
    ///
    /// If it then goes to the stable track nonetheless, [`ExposureGate::refund`] must be called.
    pub fn admit(&mut self, canary_share: f64) -> bool {
        if canary_share >= 1.0 {
            return true;
        }
        if canary_share.is_nan() || canary_share <= 0.0 {
            return false;
        }
        self.elapsed += canary_share;
        let is_admitted = !self.is_spent && self.elapsed >= self.position();
        self.is_spent |= is_admitted;
        if self.elapsed >= 1.0 {
            self.elapsed -= 1.0;
            self.run += 1;
            self.is_spent = false;
        }
        is_admitted
    }

    /// Notes that an admitted attempt didn't go to the canary: the next one may, in this run.
    pub fn refund(&mut self) {
        self.is_spent = false;
    }

    /// Returns the place of the current run's request, above 0 and up to 1.
    fn position(&self) -> f64 {
        let hash = xxh3_64_with_seed(&self.run.to_le_bytes(), self.seed);
        1.0 - (hash >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Returns over how many canary upstreams the canary's share is spread, so that each bears at
/// least the load of a stable one and a fault that shows only under load shows.
///
/// At least one is returned unless there is none.
pub fn loaded_canaries(stable: usize, canaries: usize, share: f64) -> usize {
    if share >= 1.0 || stable == 0 {
        return canaries;
    }
    let equal_load = (stable as f64 * share / (1.0 - share)).floor();
    (equal_load as usize).clamp(1, canaries.max(1)).min(canaries)
}
