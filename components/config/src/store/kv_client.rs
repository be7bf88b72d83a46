//! Client of the key-value service, with timeouts and retries.

use std::{future::Future, sync::Arc, time::Duration};

use bytes::Bytes;
use lycheelatch_provider::{
    CasOutcome, Entry, KeyValue, KvError, KvKey, Version, WatchIndex, WatchResult,
};
use tokio::time::{Instant, sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before the first retry; doubles with each further retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum delay before a retry.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Client of the key-value service with a timeout on each call.
#[derive(Clone)]
pub(super) struct KvClient(Arc<dyn KeyValue>);

impl KvClient {
    pub(super) fn new(kv: Arc<dyn KeyValue>) -> KvClient {
        KvClient(kv)
    }

    pub(super) async fn get(&self, key: &KvKey) -> Result<Option<Entry>, KvError> {
        with_timeout(CALL_TIMEOUT, self.0.get(key)).await
    }

    pub(super) async fn list(&self, prefix: &KvKey) -> Result<Vec<Entry>, KvError> {
        with_timeout(CALL_TIMEOUT, self.0.list(prefix)).await
    }

    pub(super) async fn compare_and_swap(
        &self,
        key: &KvKey,
        expected: Option<Version>,
        value: Bytes,
    ) -> Result<CasOutcome, KvError> {
        with_timeout(CALL_TIMEOUT, self.0.compare_and_swap(key, expected, value)).await
    }

    pub(super) async fn delete(
        &self,
        key: &KvKey,
        expected: Version,
    ) -> Result<CasOutcome, KvError> {
        with_timeout(CALL_TIMEOUT, self.0.delete(key, expected)).await
    }

    pub(super) async fn watch(
        &self,
        prefix: &KvKey,
        after: WatchIndex,
        wait: Duration,
    ) -> Result<WatchResult, KvError> {
        with_timeout(wait + CALL_TIMEOUT, self.0.watch(prefix, after, wait)).await
    }

    /// Creates a value under a unique key, with retries.
    pub(super) async fn create(
        &self,
        key: &KvKey,
        value: Bytes,
        mut backoff: Backoff,
    ) -> Result<(), KvError> {
        loop {
            match self.compare_and_swap(key, None, value.clone()).await {
                // The key is unique, so a conflict means that an earlier attempt took effect.
                Ok(CasOutcome::Written | CasOutcome::Conflict) => return Ok(()),
                Err(err @ KvError::TooLarge { .. }) => return Err(err),
                Err(err) if !backoff.wait().await => return Err(err),
                Err(_) => {}
            }
        }
    }

    /// Deletes a value if it exists.
    pub(super) async fn delete_if_exists(&self, key: &KvKey) -> Result<(), KvError> {
        if let Some(entry) = self.get(key).await? {
            self.delete(key, entry.version).await?;
        }
        Ok(())
    }
}

async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, KvError>>,
) -> Result<T, KvError> {
    let timed_out = || {
        let reason = format!("the call timed out after {} ms", limit.as_millis());
        KvError::ResponseLost { reason: reason.into() }
    };
    timeout(limit, call).await.unwrap_or_else(|_| Err(timed_out()))
}

/// Exponential backoff with jitter between the retries of a call, up to a deadline.
pub(super) struct Backoff {
    delay: Duration,
    deadline: Instant,
    /// State of the jitter, which spreads the retries of nodes that fail at the same time.
    seed: u64,
}

impl Backoff {
    pub(super) fn until(deadline: Instant, seed: u64) -> Backoff {
        Backoff { delay: INITIAL_BACKOFF, deadline, seed }
    }

    /// Waits before the next retry; returns false if that would exceed the deadline.
    pub(super) async fn wait(&mut self) -> bool {
        self.seed = xxh3_64(&self.seed.to_le_bytes());
        let delay = self.delay.mul_f64(0.5 + 0.5 * (self.seed as f64 / u64::MAX as f64));
        if Instant::now() + delay >= self.deadline {
            return false;
        }
        sleep(delay).await;
        self.delay = (self.delay * 2).min(MAX_BACKOFF);
        true
    }
}
