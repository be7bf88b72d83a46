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

/// Shortest and longest pause before a commit is tried again.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(4), Duration::from_millis(200));

/// Time that a segment outside its head's list may belong to a write in flight.
const UNLISTED_GRACE: Duration = Duration::from_secs(60 * 60);

/// Locks `mutex`, also after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The claims in the key-value service.
pub(crate) struct Store {
    kv: Arc<dyn KeyValue>,
    cfg: ClaimsConfig,
    segments_made: AtomicU64,
    jitter: Jitter,
    cached: Vec<Mutex<HashMap<SegmentId, Arc<Segment>>>>,
}

/// Why one try at a commit failed.
enum TryError {
    /// Another node wrote first, and nothing was written.
    Conflict,
    /// Nothing was written.
    Refused(KvError),
    /// The write may have taken effect.
    Lost(KvError),
}

impl Store {
    /// Creates a store.
    pub(crate) fn new(kv: Arc<dyn KeyValue>, cfg: ClaimsConfig) -> Store {
        let cached = (0..cfg.shards.max(1)).map(|_| Mutex::default()).collect();
        let jitter = Jitter::new(cfg.epoch);
        Store { kv, cfg, segments_made: AtomicU64::new(0), jitter, cached }
    }

    /// Commits operations on one shard, all or none, until `limit`.
    pub(crate) async fn commit(
        &self,
        shard: u32,
        ops: &[Op],
        limit: Instant,
    ) -> Result<Vec<Reply>, CommitFailure> {
        let mut may_have_written = false;
        let mut pause = BACKOFF.0;
        loop {
            let source = match self.try_commit(shard, ops).await {
                Ok(replies) => return Ok(replies),
                Err(TryError::Conflict) => {
                    KvError::Unavailable { reason: "other nodes wrote first".into() }
                }
                Err(TryError::Refused(err)) => err,
                Err(TryError::Lost(err)) => {
                    may_have_written = true;
                    err
                }
            };
            let jittered = pause.mul_f64(self.jitter.between(0.5, 1.5));
            if Instant::now() + jittered >= limit {
                return Err(CommitFailure { source, may_have_written });
            }
            sleep(jittered).await;
            pause = (pause * 2).min(BACKOFF.1);
        }
    }

    async fn try_commit(&self, shard: u32, ops: &[Op]) -> Result<Vec<Reply>, TryError> {
        let (version, head, head_bytes) = self.read_head(shard).await?;
        let segments = self.load_segments(shard, &head).await?;
        let now = self.cfg.clock.now();
        let mut state = Shard::new(&self.cfg, now, head, head_bytes, segments);
        state.clean();
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
            CasOutcome::Conflict => Err(TryError::Conflict),
        }
    }

    async fn read_head(&self, shard: u32) -> Result<(Option<Version>, Head, usize), TryError> {
        let key = head_key(shard);
        let Some(entry) = self.read(self.kv.get(&key)).await? else {
            return Ok((None, Head::default(), 0));
        };
        let head = decode::<HeadWire>(&entry.value).and_then(Head::try_from);
        let head = head.map_err(|err| unreadable(&key, &err))?;
        Ok((Some(entry.version), head, entry.value.len()))
    }

    /// Returns the segments of a head, oldest first; reads those that are not cached.
    async fn load_segments(&self, shard: u32, head: &Head) -> Result<Vec<Arc<Segment>>, TryError> {
        let mut loaded = HashMap::with_capacity(head.segments.len());
        let mut segments = Vec::with_capacity(head.segments.len());
        for listed in &head.segments {
            let cached = lock(&self.cached[shard as usize]).get(&listed.id).cloned();
            let segment = match cached {
                Some(segment) => segment,
                None => Arc::new(self.read_segment(shard, &listed.id).await?),
            };
            loaded.insert(listed.id.clone(), segment.clone());
            segments.push(segment);
        }
        *lock(&self.cached[shard as usize]) = loaded;
        Ok(segments)
    }

    async fn read_segment(&self, shard: u32, id: &SegmentId) -> Result<Segment, TryError> {
        let key = segment_key(shard, id);
        let Some(entry) = self.read(self.kv.get(&key)).await? else {
            // The head has moved on, or the segment is lost: reading the head again tells.
            let reason = format!("segment {key} is missing").into();
            return Err(TryError::Refused(KvError::InvalidResponse { reason }));
        };
        let segment = decode::<SegmentWire>(&entry.value).and_then(Segment::try_from);
        segment.map_err(|err| unreadable(&key, &err))
    }

    /// Moves records of a head to a new segment, the unsettled ones last.
    async fn seal(&self, shard: u32, head: &mut Head) -> Result<(), TryError> {
        let is_settled = |record: &Record| record.state != State::Claimed;
        let mut sealed: Vec<Record> =
            head.records.values().filter(|record| is_settled(record)).cloned().collect();
        if sealed.len() < head.records.len() / 2 {
            sealed = head.records.values().cloned().collect();
        }
        sealed.sort_unstable_by_key(|record| (record.claimant.created, record.key));
        let bytes = encode(&SegmentWire::new(&sealed, self.cfg.clock.now()));
        let count = self.segments_made.fetch_add(1, Ordering::Relaxed);
        let listed = SegmentRef {
            id: format!("{:016x}-{count}", self.cfg.epoch).into(),
            bytes: bytes.len() as u64,
            keep_until: latest(&sealed, |record| record.keep_until(&self.cfg)),
            expires: latest(&sealed, |record| record.expires(&self.cfg)),
        };
        let key = segment_key(shard, &listed.id);
        let write = self.kv.compare_and_swap(&key, None, bytes);
        match self.write(write).await {
            Ok(CasOutcome::Written) => {}
            Ok(CasOutcome::Conflict) => return Err(TryError::Conflict),
            // The head, which alone counts, is not written yet.
            Err(TryError::Lost(err)) => return Err(TryError::Refused(err)),
            Err(err) => return Err(err),
        }
        sealed.iter().for_each(|record| drop(head.records.remove(&record.key)));
        let segment: Segment = sealed.into_iter().map(|record| (record.key, record)).collect();
        lock(&self.cached[shard as usize]).insert(listed.id.clone(), Arc::new(segment));
        head.segments.push(listed);
        Ok(())
    }

    /// Deletes the segments of a shard that its head no longer lists.
    pub(crate) async fn sweep(&self, shard: u32) -> Result<(), CommitFailure> {
        let result = self.try_sweep(shard).await;
        result.map_err(|err| {
            let source = match err {
                TryError::Conflict => {
                    KvError::Unavailable { reason: "other nodes wrote first".into() }
                }
                TryError::Refused(err) | TryError::Lost(err) => err,
            };
            CommitFailure { source, may_have_written: true }
        })
    }

    async fn try_sweep(&self, shard: u32) -> Result<(), TryError> {
        // Segments first: one that is written afterwards is not looked at.
        let entries = self.read(self.kv.list(&segment_key(shard, &"".into()))).await?;
        let (_, head, _) = self.read_head(shard).await?;
        for entry in entries {
            let is_listed =
                head.segments.iter().any(|listed| segment_key(shard, &listed.id) == entry.key);
            if !is_listed && self.is_old(&entry) {
                self.write(self.kv.delete(&entry.key, entry.version)).await?;
            }
        }
        Ok(())
    }

    fn is_old(&self, entry: &Entry) -> bool {
        let written = decode::<SegmentWire>(&entry.value).map(|segment| segment.written());
        written.is_ok_and(|written| self.cfg.clock.now().since(written) > UNLISTED_GRACE)
    }

    async fn read<T>(&self, call: impl Future<Output = Result<T, KvError>>) -> Result<T, TryError> {
        match timeout(self.cfg.kv_timeout, call).await {
            Ok(result) => result.map_err(TryError::Refused),
            Err(_) => Err(TryError::Refused(self.silent())),
        }
    }

    async fn write<T>(
        &self,
        call: impl Future<Output = Result<T, KvError>>,
    ) -> Result<T, TryError> {
        match timeout(self.cfg.kv_timeout, call).await {
            Ok(Ok(outcome)) => Ok(outcome),
            Ok(Err(err)) if err.may_have_written() => Err(TryError::Lost(err)),
            Ok(Err(err)) => Err(TryError::Refused(err)),
            Err(_) => Err(TryError::Lost(self.silent())),
        }
    }

    fn silent(&self) -> KvError {
        let reason = format!("no answer in {} ms", self.cfg.kv_timeout.as_millis()).into();
        KvError::ResponseLost { reason }
    }
}

fn latest(records: &[Record], time: impl Fn(&Record) -> crate::UnixMillis) -> crate::UnixMillis {
    records.iter().map(time).max().unwrap_or_default()
}

fn unreadable(key: &KvKey, err: &WireError) -> TryError {
    TryError::Refused(KvError::InvalidResponse { reason: format!("{key}: {err}").into() })
}

fn head_key(shard: u32) -> KvKey {
    KvKey::new(&format!("lycheelatch/claims/{shard:03}/head"))
}

fn segment_key(shard: u32, id: &SegmentId) -> KvKey {
    KvKey::new(&format!("lycheelatch/claims/{shard:03}/segments/{id}"))
}
