//! Spread of waiting times.

use std::sync::atomic::{AtomicU64, Ordering};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Gives numbers that differ between processes and calls.
pub(crate) struct Jitter {
    seed: u64,
    calls: AtomicU64,
}

impl Jitter {
    /// Creates a source that differs from those with other seeds.
    pub(crate) fn new(seed: u64) -> Jitter {
        Jitter { seed, calls: AtomicU64::new(0) }
    }

    /// Returns a number from `low` to `high`.
    pub(crate) fn between(&self, low: f64, high: f64) -> f64 {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        let hash = xxh3_64_with_seed(&call.to_le_bytes(), self.seed);
        low + (high - low) * (hash as f64 / u64::MAX as f64)
    }
}
