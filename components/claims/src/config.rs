//! Settings of the claims.

use std::time::Duration;

use rand::Rng;

use crate::WallClock;

/// Settings of the claims; all nodes must have the same number of shards.
#[derive(Debug, Clone)]
pub struct ClaimsConfig {
    /// Number of shards.
    pub shards: u32,
    /// Time between two commits of one shard by one node, beyond a short burst.
    pub commit_interval: Duration,
    /// Longest wait for one call to the key-value service.
    pub kv_timeout: Duration,
    /// Longest wait for a claim or a settlement.
    pub max_wait: Duration,
    /// Time that a settled key is remembered, if the store has room for it.
    pub ttl: Duration,
    /// Time that a key is remembered in any case; new claims are refused rather.
    pub min_ttl: Duration,
    /// Time beyond a request's deadline until it counts as unresolved.
    pub grace: Duration,
    /// Largest answer that is kept with its body, headers included, in bytes.
    pub max_answer_bytes: usize,
    /// Size of a shard's head from which records move to a segment, in bytes.
    pub seal_bytes: usize,
    /// Largest size of all claims in the key-value service, in bytes.
    pub max_store_bytes: u64,
    /// Time between two cleanings of a shard.
    pub clean_interval: Duration,
    /// Random number of this process, which no other one has.
    pub epoch: u64,
    /// Clock that the records are stamped by.
    pub clock: WallClock,
}

impl ClaimsConfig {
    /// Returns the largest size of one shard, in bytes.
    pub(crate) fn max_shard_bytes(&self) -> u64 {
        self.max_store_bytes / u64::from(self.shards.max(1))
    }
}

impl Default for ClaimsConfig {
    fn default() -> ClaimsConfig {
        ClaimsConfig {
            shards: 16,
            commit_interval: Duration::from_millis(100),
            kv_timeout: Duration::from_millis(500),
            max_wait: Duration::from_secs(3),
            ttl: Duration::from_secs(24 * 60 * 60),
            min_ttl: Duration::from_secs(15 * 60),
            grace: Duration::from_secs(5),
            max_answer_bytes: 2048,
            seal_bytes: 64 * 1024,
            max_store_bytes: 128_000_000,
            clean_interval: Duration::from_secs(10 * 60),
            epoch: rand::rng().random(),
            clock: WallClock::system(),
        }
    }
}
