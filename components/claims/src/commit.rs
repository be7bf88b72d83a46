//! Commits operations on a shard by compare-and-swap.

use std::{
    collections::HashMap,
    future::Future,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use lycheelatch_provider::{CasOutcome, Entry, KeyValue, KvError, KvKey, Version};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    ClaimsConfig,
    jitter::Jitter,
    ops::{Op, Reply},
    record::{Record, State},
    shard::{Head, Segment, SegmentId, SegmentRef, Shard},
    wire::{CommitFailure, HeadWire, SegmentWire, WireError, decode, encode},
};

/// Minimum and maximum backoff before a commit is retried.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(4), Duration::from_millis(200));

/// Age below which an unlisted segment may belong to a commit that has not written its head yet.
const UNLISTED_GRACE: Duration = Duration::from_secs(60 * 60);

/// Locks `mutex`, ignoring poisoning.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Store of claims in the key-value service.
pub(crate) struct Store {
    kv: Arc<dyn KeyValue>,
    cfg: ClaimsConfig,
    segments_created: AtomicU64,
    jitter: Jitter,
    segment_cache: Vec<Mutex<HashMap<SegmentId, Arc<Segment>>>>,
}

/// Error of one commit attempt.
enum AttemptError {
    /// The compare-and-swap failed because another node wrote first; nothing was written.
    Conflict,
    /// Nothing was written.
    NotWritten(KvError),
    /// The write may have taken effect.
    MaybeWritten(KvError),
}

impl Store {
    pub(crate) fn new(kv: Arc<dyn KeyValue>, cfg: ClaimsConfig) -> Store {
        let segment_cache = (0..cfg.shards.max(1)).map(|_| Mutex::default()).collect();
        let jitter = Jitter::new(cfg.epoch);
        Store { kv, cfg, segments_created: AtomicU64::new(0), jitter, segment_cache }
    }

    /// Commits operations on one shard atomically, retrying until `limit`.
    pub(crate) async fn commit(
        &self,
        shard: u32,
        ops: &[Op],
        limit: Instant,
    ) -> Result<Vec<Reply>, CommitFailure> {
        let mut may_have_written = false;
        let mut backoff = BACKOFF.0;
        loop {
            let source = match self.try_commit(shard, ops).await {
                Ok(replies) => return Ok(replies),
                Err(AttemptError::Conflict) => {
                    KvError::Unavailable { reason: "conflicting writes by other nodes".into() }
                }
                Err(AttemptError::NotWritten(err)) => err,
                Err(AttemptError::MaybeWritten(err)) => {
                    may_have_written = true;
                    err
                }
            };
            let jittered = backoff.mul_f64(self.jitter.between(0.5, 1.5));
            if Instant::now() + jittered >= limit {
                return Err(CommitFailure { source, may_have_written });
            }
            sleep(jittered).await;
            backoff = (backoff * 2).min(BACKOFF.1);
        }
    }

    async fn try_commit(&self, shard: u32, ops: &[Op]) -> Result<Vec<Reply>, AttemptError> {
        let (version, head, head_bytes) = self.read_head(shard).await?;
        let segments = self.load_segments(shard, &head).await?;
        let now = self.cfg.clock.now();
        let mut state = Shard::new(&self.cfg, now, head, head_bytes, segments);
        state.evict();
        let replies = ops.iter().map(|op| state.apply(op)).collect();
        let Some(mut head) = state.into_changed_head() else {
            return Ok(replies);
        };
        let mut bytes = encode(&HeadWire::from(&head));
        if bytes.len() > self.cfg.seal_bytes {
            self.seal(shard, &mut head).await?;
            bytes = encode(&HeadWire::from(&head));
        }
        let key = head_key(shard);
        let write = self.kv.compare_and_swap(&key, version, bytes);
        match self.write(write).await? {
            CasOutcome::Written => Ok(replies),
            CasOutcome::Conflict => Err(AttemptError::Conflict),
        }
    }

    async fn read_head(&self, shard: u32) -> Result<(Option<Version>, Head, usize), AttemptError> {
        let key = head_key(shard);
        let Some(entry) = self.read(self.kv.get(&key)).await? else {
            return Ok((None, Head::default(), 0));
        };
        let head = decode::<HeadWire>(&entry.value).and_then(Head::try_from);
        let head = head.map_err(|err| invalid_value(&key, &err))?;
        Ok((Some(entry.version), head, entry.value.len()))
    }

    /// Returns the segments of a head, oldest first, reading those that are not cached.
    async fn load_segments(
        &self,
        shard: u32,
        head: &Head,
    ) -> Result<Vec<Arc<Segment>>, AttemptError> {
        let mut loaded = HashMap::with_capacity(head.segments.len());
        let mut segments = Vec::with_capacity(head.segments.len());
        for listed in &head.segments {
            let cached = lock(&self.segment_cache[shard as usize]).get(&listed.id).cloned();
            let segment = match cached {
                Some(segment) => segment,
                None => Arc::new(self.read_segment(shard, &listed.id).await?),
            };
            loaded.insert(listed.id.clone(), segment.clone());
            segments.push(segment);
        }
        *lock(&self.segment_cache[shard as usize]) = loaded;
        Ok(segments)
    }

    async fn read_segment(&self, shard: u32, id: &SegmentId) -> Result<Segment, AttemptError> {
        let key = segment_key(shard, id);
        let Some(entry) = self.read(self.kv.get(&key)).await? else {
            // Either the head has changed since it was read or the segment is lost.
            // The retry reads the head again and tells which.
            let reason = format!("segment {key} is missing").into();
            return Err(AttemptError::NotWritten(KvError::InvalidResponse { reason }));
        };
        let segment = decode::<SegmentWire>(&entry.value).and_then(Segment::try_from);
        segment.map_err(|err| invalid_value(&key, &err))
    }

    /// Moves the settled records of a head to a new segment, or all of them if fewer than half
    /// are settled.
    async fn seal(&self, shard: u32, head: &mut Head) -> Result<(), AttemptError> {
        let is_settled = |record: &Record| record.state != State::Claimed;
        let mut sealed: Vec<Record> =
            head.records.values().filter(|record| is_settled(record)).cloned().collect();
        if sealed.len() < head.records.len() / 2 {
            sealed = head.records.values().cloned().collect();
        }
        sealed.sort_unstable_by_key(|record| (record.claimant.created, record.key));
        let bytes = encode(&SegmentWire::new(&sealed, self.cfg.clock.now()));
        let count = self.segments_created.fetch_add(1, Ordering::Relaxed);
        let listed = SegmentRef {
            id: format!("{:016x}-{count}", self.cfg.epoch).into(),
            bytes: bytes.len() as u64,
            keep_until: latest_time(&sealed, |record| record.keep_until(&self.cfg)),
            expires_at: latest_time(&sealed, |record| record.expires_at(&self.cfg)),
        };
        let key = segment_key(shard, &listed.id);
        let write = self.kv.compare_and_swap(&key, None, bytes);
        match self.write(write).await {
            Ok(CasOutcome::Written) => {}
            Ok(CasOutcome::Conflict) => return Err(AttemptError::Conflict),
            // A segment has no effect until a head lists it, and the head is not written yet.
            Err(AttemptError::MaybeWritten(err)) => return Err(AttemptError::NotWritten(err)),
            Err(err) => return Err(err),
        }
        sealed.iter().for_each(|record| drop(head.records.remove(&record.key)));
        let segment: Segment = sealed.into_iter().map(|record| (record.key, record)).collect();
        lock(&self.segment_cache[shard as usize]).insert(listed.id.clone(), Arc::new(segment));
        head.segments.push(listed);
        Ok(())
    }

    /// Deletes segments that the head of the shard no longer lists.
    pub(crate) async fn delete_unlisted_segments(&self, shard: u32) -> Result<(), CommitFailure> {
        let result = self.try_delete_unlisted_segments(shard).await;
        result.map_err(|err| {
            let source = match err {
                AttemptError::Conflict => {
                    KvError::Unavailable { reason: "conflicting writes by other nodes".into() }
                }
                AttemptError::NotWritten(err) | AttemptError::MaybeWritten(err) => err,
            };
            CommitFailure { source, may_have_written: true }
        })
    }

    async fn try_delete_unlisted_segments(&self, shard: u32) -> Result<(), AttemptError> {
        // List the segments before reading the head, so that segments written later are left out.
        let entries = self.read(self.kv.list(&segment_key(shard, &"".into()))).await?;
        let (_, head, _) = self.read_head(shard).await?;
        for entry in entries {
            let is_listed =
                head.segments.iter().any(|listed| segment_key(shard, &listed.id) == entry.key);
            if !is_listed && self.is_past_grace(&entry) {
                self.write(self.kv.delete(&entry.key, entry.version)).await?;
            }
        }
        Ok(())
    }

    fn is_past_grace(&self, entry: &Entry) -> bool {
        let written_at = decode::<SegmentWire>(&entry.value).map(|segment| segment.written_at());
        written_at.is_ok_and(|written_at| self.cfg.clock.now().since(written_at) > UNLISTED_GRACE)
    }

    async fn read<T>(
        &self,
        call: impl Future<Output = Result<T, KvError>>,
    ) -> Result<T, AttemptError> {
        match timeout(self.cfg.kv_timeout, call).await {
            Ok(result) => result.map_err(AttemptError::NotWritten),
            Err(_) => Err(AttemptError::NotWritten(self.timeout_error())),
        }
    }

    async fn write<T>(
        &self,
        call: impl Future<Output = Result<T, KvError>>,
    ) -> Result<T, AttemptError> {
        match timeout(self.cfg.kv_timeout, call).await {
            Ok(Ok(outcome)) => Ok(outcome),
            Ok(Err(err)) if err.may_have_written() => Err(AttemptError::MaybeWritten(err)),
            Ok(Err(err)) => Err(AttemptError::NotWritten(err)),
            Err(_) => Err(AttemptError::MaybeWritten(self.timeout_error())),
        }
    }

    fn timeout_error(&self) -> KvError {
        let reason = format!("no response within {} ms", self.cfg.kv_timeout.as_millis()).into();
        KvError::ResponseLost { reason }
    }
}

fn latest_time(
    records: &[Record],
    time: impl Fn(&Record) -> crate::UnixMillis,
) -> crate::UnixMillis {
    records.iter().map(time).max().unwrap_or_default()
}

fn invalid_value(key: &KvKey, err: &WireError) -> AttemptError {
    AttemptError::NotWritten(KvError::InvalidResponse { reason: format!("{key}: {err}").into() })
}

fn head_key(shard: u32) -> KvKey {
    KvKey::new(&format!("lycheelatch/claims/{shard:03}/head"))
}

fn segment_key(shard: u32, id: &SegmentId) -> KvKey {
    KvKey::new(&format!("lycheelatch/claims/{shard:03}/segments/{id}"))
}
