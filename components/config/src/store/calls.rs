//! Calls to the key-value service, each with a time limit.

use std::{future::Future, sync::Arc, time::Duration};

use bytes::Bytes;
use lycheelatch_provider::{
    CasOutcome, Entry, KeyValue, KvError, KvKey, Version, WatchIndex, WatchResult,
};
use tokio::time::{Instant, sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// First pause before a call is repeated; each later one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause before a call is repeated.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// The key-value service, with a time limit on each call.
#[derive(Clone)]
pub(super) struct Calls(Arc<dyn KeyValue>);

impl Calls {
    pub(super) fn new(kv: Arc<dyn KeyValue>) -> Calls {
        Calls(kv)
    }

    pub(super) async fn get(&self, key: &KvKey) -> Result<Option<Entry>, KvError> {
        limited(CALL_TIMEOUT, self.0.get(key)).await
    }

    pub(super) async fn list(&self, prefix: &KvKey) -> Result<Vec<Entry>, KvError> {
        limited(CALL_TIMEOUT, self.0.list(prefix)).await
    }

    pub(super) async fn compare_and_swap(
        &self,
        key: &KvKey,
        expected: Option<Version>,
        value: Bytes,
    ) -> Result<CasOutcome, KvError> {
        limited(CALL_TIMEOUT, self.0.compare_and_swap(key, expected, value)).await
    }

    pub(super) async fn delete(
        &self,
        key: &KvKey,
        expected: Version,
    ) -> Result<CasOutcome, KvError> {
        limited(CALL_TIMEOUT, self.0.delete(key, expected)).await
    }

    pub(super) async fn watch(
        &self,
        prefix: &KvKey,
        after: WatchIndex,
        wait: Duration,
    ) -> Result<WatchResult, KvError> {
        limited(wait + CALL_TIMEOUT, self.0.watch(prefix, after, wait)).await
    }

    /// Creates a value under a key that nobody else uses.
    pub(super) async fn create(
        &self,
        key: &KvKey,
        value: Bytes,
        mut retry: Retry,
    ) -> Result<(), KvError> {
        loop {
            match self.compare_and_swap(key, None, value.clone()).await {
                // A conflict means that an earlier call took effect: the key is ours alone.
                Ok(CasOutcome::Written | CasOutcome::Conflict) => return Ok(()),
                Err(err @ KvError::TooLarge { .. }) => return Err(err),
                Err(err) if !retry.pause().await => return Err(err),
                Err(_) => {}
            }
        }
    }

    /// Deletes a value if it is there.
    pub(super) async fn remove(&self, key: &KvKey) -> Result<(), KvError> {
        if let Some(entry) = self.get(key).await? {
            self.delete(key, entry.version).await?;
        }
        Ok(())
    }
}

async fn limited<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, KvError>>,
) -> Result<T, KvError> {
    let lost = || KvError::ResponseLost { reason: "no answer in time".into() };
    timeout(limit, call).await.unwrap_or_else(|_| Err(lost()))
}

/// Pauses between the repetitions of a call, up to a deadline.
pub(super) struct Retry {
    pause: Duration,
    deadline: Instant,
    /// Spreads the pauses of nodes that fail at the same time.
    seed: u64,
}

impl Retry {
    pub(super) fn until(deadline: Instant, seed: u64) -> Retry {
        Retry { pause: FIRST_PAUSE, deadline, seed }
    }

    /// Waits before the next repetition; returns false if the deadline comes first.
    pub(super) async fn pause(&mut self) -> bool {
        self.seed = xxh3_64(&self.seed.to_le_bytes());
        let pause = self.pause.mul_f64(0.5 + 0.5 * (self.seed as f64 / u64::MAX as f64));
        if Instant::now() + pause >= self.deadline {
            return false;
        }
        sleep(pause).await;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        true
    }
}
