//! Jitter for delays.

use std::sync::atomic::{AtomicU64, Ordering};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Source of pseudo-random numbers that differ between processes and calls.
pub(crate) struct Jitter {
    seed: u64,
    calls: AtomicU64,
}

impl Jitter {
    pub(crate) fn new(seed: u64) -> Jitter {
        Jitter { seed, calls: AtomicU64::new(0) }
    }

    /// Returns a number between `low` and `high`, inclusive.
    pub(crate) fn between(&self, low: f64, high: f64) -> f64 {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        let hash = xxh3_64_with_seed(&call.to_le_bytes(), self.seed);
        low + (high - low) * (hash as f64 / u64::MAX as f64)
    }
}
