//! Configuration of claims.

use std::time::Duration;

use rand::Rng;

use crate::WallClock;

/// Configuration of claims; the number of shards must be the same on all nodes.
#[derive(Debug, Clone)]
pub struct ClaimsConfig {
    /// Number of shards.
    pub shards: u32,
    /// Minimum average time between commits of one node to one shard, beyond a short burst.
    pub commit_interval: Duration,
    /// Timeout of one call to the key-value service.
    pub kv_timeout: Duration,
    /// Timeout of a claim or a settlement.
    pub max_wait: Duration,
    /// Retention period of a key that was not released, while the store has room for it.
    pub ttl: Duration,
    /// Guaranteed retention period of a key; a full store refuses new claims within it.
    pub min_ttl: Duration,
    /// Time after a request's deadline before the outcome of an unsettled claim is unknown.
    pub grace: Duration,
    /// Maximum size of a response that is stored with its headers and body, in bytes.
    pub max_response_bytes: usize,
    /// Size of a shard's head above which its records are moved to a segment, in bytes.
    pub seal_bytes: usize,
    /// Maximum size of all claims in the key-value service, in bytes.
    pub max_store_bytes: u64,
    /// Interval between removals of expired claims.
    pub cleanup_interval: Duration,
    /// Random number that is unique to this process.
    pub epoch: u64,
    /// Clock for the timestamps of records.
    pub clock: WallClock,
}

impl ClaimsConfig {
    /// Returns the maximum size of one shard, in bytes.
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
            max_response_bytes: 2048,
            seal_bytes: 64 * 1024,
            max_store_bytes: 128_000_000,
            cleanup_interval: Duration::from_secs(10 * 60),
            epoch: rand::rng().random(),
            clock: WallClock::system(),
        }
    }
}
