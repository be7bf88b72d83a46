//! Group commit: operations on a shard that wait together are written together.

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

/// Most bytes of operations in one commit.
const MAX_BATCH_BYTES: usize = 128 * 1024;

/// Commits of a rested shard that don't wait for one another.
const COMMIT_BURST: u32 = 4;

/// Most operations that wait for a commit without a caller, for each shard.
const MAX_OWED: usize = 10_000;

/// Most operations that wait for a commit with a caller, for each shard.
const MAX_WAITING: usize = 4096;

type CommitResult = Result<Reply, CommitFailure>;

/// An operation with the caller that waits for its reply.
type Waiting = (Op, oneshot::Sender<CommitResult>);

/// The operations of one shard that wait for their commit.
///
/// Callers on any thread add to it. The first one starts a task on its own
/// thread that commits for all until nobody waits.
pub(crate) struct Queue {
    shard: u32,
    store: Arc<Store>,
    cfg: ClaimsConfig,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    waiting: VecDeque<Waiting>,
    owed: VecDeque<Op>,
    /// Owed operations in the commit that is under way.
    owed_in_commit: usize,
    is_committing: bool,
    /// Time at which the shard has its whole burst of commits again.
    rested: Option<Instant>,
}

impl Queue {
    /// Creates an empty queue.
    pub(crate) fn new(shard: u32, store: Arc<Store>, cfg: ClaimsConfig) -> Queue {
        Queue { shard, store, cfg, state: Mutex::default() }
    }

    /// Commits an operation with those that wait beside it, until `limit`.
    pub(crate) async fn submit(self: &Arc<Self>, op: Op, limit: Instant) -> CommitResult {
        loop {
            let (tx, rx) = oneshot::channel();
            if !self.push_waiting((op.clone(), tx)) {
                return Err(CommitFailure { source: KvError::Throttled, may_have_written: false });
            }
            self.ensure_committing();
            match timeout_at(limit, rx).await {
                Ok(Ok(result)) => return result,
                // The committing thread ended; committing twice is the same as once.
                Ok(Err(_)) => {}
                Err(_) => {
                    let source = KvError::ResponseLost { reason: "not committed in time".into() };
                    return Err(CommitFailure { source, may_have_written: true });
                }
            }
        }
    }

    /// Adds an operation, unless as many wait as may; returns whether it was added.
    fn push_waiting(&self, waiting: Waiting) -> bool {
        let mut state = lock(&self.state);
        let has_room = state.waiting.len() < MAX_WAITING;
        if has_room {
            state.waiting.push_back(waiting);
        }
        has_room
    }

    /// Adds an operation that nobody waits for; it is tried until it is committed.
    pub(crate) fn owe(&self, op: Op) {
        let mut state = lock(&self.state);
        if state.owed.len() == MAX_OWED {
            log::warn!("claims: shard {} dropped an owed settlement", self.shard);
            state.owed.pop_front();
        }
        state.owed.push_back(op);
    }

    /// Returns how many operations wait without a caller.
    pub(crate) fn owed(&self) -> usize {
        let state = lock(&self.state);
        state.owed.len() + state.owed_in_commit
    }

    /// Starts the committing task if operations wait and there is none.
    pub(crate) fn ensure_committing(self: &Arc<Self>) {
        let mut state = lock(&self.state);
        let is_idle = state.waiting.is_empty() && state.owed.is_empty();
        if state.is_committing || is_idle {
            return;
        }
        state.is_committing = true;
        drop(state);
        spawn_local(Committing { queue: self.clone(), has_ended: false }.run());
    }

    fn take_owed(&self, bytes: &mut usize) -> Vec<Op> {
        let mut state = lock(&self.state);
        let mut owed = Vec::new();
        while *bytes < MAX_BATCH_BYTES {
            let Some(op) = state.owed.pop_front() else { break };
            *bytes += op.bytes();
            owed.push(op);
        }
        state.owed_in_commit = owed.len();
        owed
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

    /// Returns when the next commit may start, and counts it.
    fn next_slot(&self, now: Instant) -> Instant {
        let mut state = lock(&self.state);
        let rested = state.rested.map_or(now, |rested| rested.max(now));
        state.rested = Some(rested + self.cfg.commit_interval);
        now.max(rested.checked_sub(self.cfg.commit_interval * (COMMIT_BURST - 1)).unwrap_or(now))
    }

    /// Commits what waits now.
    async fn commit_batch(&self) {
        let mut bytes = 0;
        let mut owed = TakenOwed { queue: self, ops: self.take_owed(&mut bytes) };
        let waiting = self.take_waiting(&mut bytes);
        let (ops, txs): (Vec<Op>, Vec<_>) = waiting.into_iter().unzip();
        let mut batch = owed.ops.clone();
        batch.extend(ops);
        let limit = Instant::now() + self.cfg.max_wait / 2;
        match self.store.commit(self.shard, &batch, limit).await {
            Ok(replies) => {
                let replies = replies.into_iter().skip(owed.ops.len());
                owed.ops.clear();
                txs.into_iter().zip(replies).for_each(|(tx, reply)| drop(tx.send(Ok(reply))));
            }
            Err(failure) => {
                txs.into_iter().for_each(|tx| drop(tx.send(Err(failure.clone()))));
            }
        }
    }

    /// Ends the committing task's turn if nobody waits; owed operations wait
    /// for the next one.
    fn end_if_idle(&self) -> bool {
        let mut state = lock(&self.state);
        if state.waiting.is_empty() {
            state.is_committing = false;
        }
        !state.is_committing
    }
}

/// Owed operations in a commit; those that were not committed go back.
struct TakenOwed<'a> {
    queue: &'a Queue,
    ops: Vec<Op>,
}

impl Drop for TakenOwed<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.queue.state);
        state.owed_in_commit = 0;
        self.ops.drain(..).rev().for_each(|op| state.owed.push_front(op));
    }
}

/// The task that commits for a queue; when it is dropped, another may start.
struct Committing {
    queue: Arc<Queue>,
    has_ended: bool,
}

impl Committing {
    async fn run(mut self) {
        while !self.has_ended {
            let slot = self.queue.next_slot(Instant::now());
            sleep_until(slot).await;
            self.queue.commit_batch().await;
            self.has_ended = self.queue.end_if_idle();
        }
    }
}

impl Drop for Committing {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let mut state = lock(&self.queue.state);
        state.is_committing = false;
        // Those that wait submit again, on their own threads.
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
    async fn submit_beyond_the_longest_queue_is_refused() {
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
