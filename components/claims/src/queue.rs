//! Group commit: batches the queued operations on a shard into one write.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
};

use lycheelatch_provider::KvError;
use tokio::{
    sync::oneshot,
    task::spawn_local,
    time::{Instant, sleep_until, timeout_at},
};

use crate::{
    ClaimsConfig,
    commit::{Store, lock},
    ops::{Op, Reply},
    wire::CommitFailure,
};

/// Maximum size of the operations in one commit, in bytes.
const MAX_BATCH_BYTES: usize = 128 * 1024;

/// Number of commits of an idle shard that may follow each other without delay.
const COMMIT_BURST: u32 = 4;

/// Maximum number of queued operations without a caller, per shard.
const MAX_DETACHED: usize = 10_000;

/// Maximum number of queued operations with a caller, per shard.
const MAX_WAITING: usize = 4096;

type CommitResult = Result<Reply, CommitFailure>;

/// Operation with the channel to the caller that awaits the reply.
type Waiting = (Op, oneshot::Sender<CommitResult>);

/// Queue of the operations on one shard that are to be committed.
///
/// Callers on any thread add operations. The first caller spawns a task on its
/// own thread, which commits the operations of all callers until none is waiting.
pub(crate) struct Queue {
    shard: u32,
    store: Arc<Store>,
    cfg: ClaimsConfig,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    waiting: VecDeque<Waiting>,
    detached: VecDeque<Op>,
    /// Number of detached operations in the commit in progress.
    detached_in_commit: usize,
    is_committing: bool,
    /// Time at which the full burst of commits is available again.
    burst_full_at: Option<Instant>,
}

impl Queue {
    /// Creates an empty queue.
    pub(crate) fn new(shard: u32, store: Arc<Store>, cfg: ClaimsConfig) -> Queue {
        Queue { shard, store, cfg, state: Mutex::default() }
    }

    /// Commits an operation in a batch with other queued operations, until `limit`.
    pub(crate) async fn submit(self: &Arc<Self>, op: Op, limit: Instant) -> CommitResult {
        loop {
            let (tx, rx) = oneshot::channel();
            if !self.push_waiting((op.clone(), tx)) {
                return Err(CommitFailure { source: KvError::Throttled, may_have_written: false });
            }
            self.ensure_commit_task();
            match timeout_at(limit, rx).await {
                Ok(Ok(result)) => return result,
                // The thread of the commit task ended. Operations are idempotent, so submit again.
                Ok(Err(_)) => {}
                Err(_) => {
                    let source = KvError::ResponseLost {
                        reason: "the operation was not committed before its deadline".into(),
                    };
                    return Err(CommitFailure { source, may_have_written: true });
                }
            }
        }
    }

    /// Adds an operation unless the queue is full; returns whether it was added.
    fn push_waiting(&self, waiting: Waiting) -> bool {
        let mut state = lock(&self.state);
        let has_room = state.waiting.len() < MAX_WAITING;
        if has_room {
            state.waiting.push_back(waiting);
        }
        has_room
    }

    /// Adds an operation without a caller; it is retried until it is committed.
    pub(crate) fn push_detached(&self, op: Op) {
        let mut state = lock(&self.state);
        if state.detached.len() == MAX_DETACHED {
            log::warn!(
                "claims: shard {}: dropped the oldest of {} pending settlements, the queue is full",
                self.shard,
                MAX_DETACHED
            );
            state.detached.pop_front();
        }
        state.detached.push_back(op);
    }

    /// Returns the number of queued operations without a caller, those being committed included.
    pub(crate) fn detached_count(&self) -> usize {
        let state = lock(&self.state);
        state.detached.len() + state.detached_in_commit
    }

    /// Spawns the commit task if operations are queued and no task is running.
    pub(crate) fn ensure_commit_task(self: &Arc<Self>) {
        let mut state = lock(&self.state);
        let is_idle = state.waiting.is_empty() && state.detached.is_empty();
        if state.is_committing || is_idle {
            return;
        }
        state.is_committing = true;
        drop(state);
        spawn_local(CommitTask { queue: self.clone(), has_ended: false }.run());
    }

    fn take_detached(&self, bytes: &mut usize) -> Vec<Op> {
        let mut state = lock(&self.state);
        let mut detached = Vec::new();
        while *bytes < MAX_BATCH_BYTES {
            let Some(op) = state.detached.pop_front() else { break };
            *bytes += op.bytes();
            detached.push(op);
        }
        state.detached_in_commit = detached.len();
        detached
    }

    fn take_waiting(&self, bytes: &mut usize) -> Vec<Waiting> {
        let mut state = lock(&self.state);
        let mut waiting = Vec::new();
        while *bytes < MAX_BATCH_BYTES {
            let Some((op, tx)) = state.waiting.pop_front() else { break };
            *bytes += op.bytes();
            waiting.push((op, tx));
        }
        waiting
    }

    /// Reserves the next commit and returns when it may start.
    fn reserve_commit(&self, now: Instant) -> Instant {
        let mut state = lock(&self.state);
        let burst_full_at = state.burst_full_at.map_or(now, |burst_full_at| burst_full_at.max(now));
        state.burst_full_at = Some(burst_full_at + self.cfg.commit_interval);
        now.max(
            burst_full_at.checked_sub(self.cfg.commit_interval * (COMMIT_BURST - 1)).unwrap_or(now),
        )
    }

    /// Commits one batch of queued operations.
    async fn commit_batch(&self) {
        let mut bytes = 0;
        let mut detached = DetachedBatch { queue: self, ops: self.take_detached(&mut bytes) };
        let waiting = self.take_waiting(&mut bytes);
        let (ops, txs): (Vec<Op>, Vec<_>) = waiting.into_iter().unzip();
        let mut batch = detached.ops.clone();
        batch.extend(ops);
        let limit = Instant::now() + self.cfg.max_wait / 2;
        match self.store.commit(self.shard, &batch, limit).await {
            Ok(replies) => {
                let replies = replies.into_iter().skip(detached.ops.len());
                detached.ops.clear();
                txs.into_iter().zip(replies).for_each(|(tx, reply)| drop(tx.send(Ok(reply))));
            }
            Err(failure) => {
                txs.into_iter().for_each(|tx| drop(tx.send(Err(failure.clone()))));
            }
        }
    }

    /// Marks the commit task as ended if no caller is waiting, and returns whether it is;
    /// detached operations remain queued for the next task.
    fn stop_if_idle(&self) -> bool {
        let mut state = lock(&self.state);
        if state.waiting.is_empty() {
            state.is_committing = false;
        }
        !state.is_committing
    }
}

/// Detached operations in a commit; returned to the queue on drop unless committed.
struct DetachedBatch<'a> {
    queue: &'a Queue,
    ops: Vec<Op>,
}

impl Drop for DetachedBatch<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.queue.state);
        state.detached_in_commit = 0;
        self.ops.drain(..).rev().for_each(|op| state.detached.push_front(op));
    }
}

/// Task that commits the operations of a queue; dropping it allows another to start.
struct CommitTask {
    queue: Arc<Queue>,
    has_ended: bool,
}

impl CommitTask {
    async fn run(mut self) {
        while !self.has_ended {
            let start = self.queue.reserve_commit(Instant::now());
            sleep_until(start).await;
            self.queue.commit_batch().await;
            self.has_ended = self.queue.stop_if_idle();
        }
    }
}

impl Drop for CommitTask {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let mut state = lock(&self.queue.state);
        state.is_committing = false;
        // Closing their channels makes the callers submit again, on their own threads.
        let waiting = std::mem::take(&mut state.waiting);
        drop(state);
        drop(waiting);
    }
}

#[cfg(test)]
mod tests {
    use futures_util::FutureExt;
    use lycheelatch_fakes::MemoryKv;

    use super::*;
    use crate::wire::{OpWire, decode};

    #[actix::test]
    async fn submit_full_queue_is_throttled() {
        let cfg = ClaimsConfig::default();
        let store = Arc::new(Store::new(Arc::new(MemoryKv::new()), cfg.clone()));
        let queue = Arc::new(Queue::new(0, store, cfg));
        let op = Op::from(decode::<OpWire>(&[1; 32]).unwrap());
        let limit = Instant::now() + std::time::Duration::from_secs(60);
        for _ in 0..MAX_WAITING {
            assert!(queue.submit(op.clone(), limit).now_or_never().is_none());
        }
        let failure = queue.submit(op, limit).now_or_never().unwrap().unwrap_err();
        assert!(!failure.may_have_written);
        assert_eq!(lock(&queue.state).waiting.len(), MAX_WAITING);
    }
}
