//! Public interface of claims.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use lycheelatch_peers::{PeerLink, Topic};
use lycheelatch_prelude::{IdempotencyKey, NodeId, RequestId, ServiceName, WorkspaceName};
use lycheelatch_provider::KeyValue;
use tokio::time::{Instant, sleep};

use crate::{
    BodyDigest, ClaimDecision, ClaimError, ClaimTicket, ClaimsConfig, Settlement, UnixMillis,
    commit::Store,
    forward::{self, Forwarded},
    jitter::Jitter,
    ops::{Op, OpKind, Reply},
    queue::Queue,
    record::{Claimant, KeyDigest, TicketId},
    wire::CommitFailure,
};

/// Interval between retries of pending settlements.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between retries of pending settlements during shutdown.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum and maximum delay that clients are asked to wait before a retry.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// Claims of idempotency keys, shared by all threads of a node.
///
/// [`Claims::claim`] and [`Claims::settle`] must run inside a `LocalSet`, which
/// every `actix` thread provides.
#[derive(Clone)]
pub struct Claims(Arc<Inner>);

struct Inner {
    cfg: ClaimsConfig,
    link: Option<Arc<dyn PeerLink>>,
    queues: Arc<[Arc<Queue>]>,
    store: Arc<Store>,
    jitter: Jitter,
    tickets: AtomicU64,
}

impl Claims {
    /// Creates claims that this node always commits itself.
    pub fn new(kv: Arc<dyn KeyValue>, cfg: ClaimsConfig) -> Claims {
        Claims::build(kv, cfg, None)
    }

    /// Creates claims that nodes forward to the owner of the shard.
    pub fn with_peers(kv: Arc<dyn KeyValue>, cfg: ClaimsConfig, link: Arc<dyn PeerLink>) -> Claims {
        let claims = Claims::build(kv, cfg, Some(link.clone()));
        let handler =
            forward::Handler { queues: claims.0.queues.clone(), max_wait: claims.0.cfg.max_wait };
        link.register(Topic::Claims, Arc::new(handler));
        claims
    }

    fn build(kv: Arc<dyn KeyValue>, cfg: ClaimsConfig, link: Option<Arc<dyn PeerLink>>) -> Claims {
        let store = Arc::new(Store::new(kv, cfg.clone()));
        let queue = |shard| Arc::new(Queue::new(shard, store.clone(), cfg.clone()));
        let queues = (0..cfg.shards.max(1)).map(queue).collect();
        let jitter = Jitter::new(!cfg.epoch);
        let tickets = AtomicU64::new(0);
        Claims(Arc::new(Inner { cfg, link, queues, store, jitter, tickets }))
    }

    /// Claims `key` for a request that must end within `deadline`.
    ///
    /// Dropping the future withdraws the claim. After an error the request must
    /// not be executed; if the claim was recorded, it is withdrawn.
    ///
    /// # Errors
    ///
    /// Returns an error if the claim can't be recorded in time, if the store is full or if the
    /// claim was withdrawn.
    pub async fn claim(
        &self,
        workspace: &WorkspaceName,
        service: &ServiceName,
        key: &IdempotencyKey,
        body: BodyDigest,
        request: &RequestId,
        deadline: Duration,
    ) -> Result<ClaimDecision, ClaimError> {
        let started = Instant::now();
        let wait = deadline.min(self.0.cfg.max_wait);
        let key = KeyDigest::of(workspace, service, key);
        let claimant = self.0.new_claimant(body, deadline);
        let mut withdrawal = WithdrawOnDrop { inner: &self.0, key, claimant, is_armed: true };
        let op = Op { key, claimant, kind: OpKind::Claim };
        let result = self.0.submit(&op, started + wait).await;
        let is_late = started.elapsed() > wait;
        let reply = match result {
            Ok(Reply::Acquired) if is_late => {
                return Err(ClaimError::Timeout { ms: wait.as_millis() as u64 });
            }
            Ok(reply) => {
                withdrawal.is_armed = false;
                reply
            }
            Err(failure) => {
                withdrawal.is_armed = failure.may_have_written;
                log::warn!(
                    "claims: failed to record the claim of request {request}: {}",
                    failure.source
                );
                return Err(ClaimError::Unavailable { source: failure.source });
            }
        };
        self.0.decide(reply, key, claimant)
    }

    /// Settles a claim.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimError::Deferred`] if the settlement can't be recorded yet;
    /// it is then retried in the background.
    pub async fn settle(&self, ticket: ClaimTicket, result: Settlement) -> Result<(), ClaimError> {
        let ClaimTicket { key, claimant } = ticket;
        let result = match result {
            Settlement::Finished(response) => {
                Settlement::Finished(response.limited_to(self.0.cfg.max_response_bytes))
            }
            other => other,
        };
        let op = Op { key, claimant, kind: OpKind::Settle(result) };
        let mut requeue = RequeueOnDrop { inner: &self.0, op: Some(op.clone()) };
        match self.0.submit(&op, Instant::now() + self.0.cfg.max_wait).await {
            Ok(_settled) => {
                requeue.op = None;
                Ok(())
            }
            Err(failure) => {
                log::warn!("claims: failed to record a settlement, will retry: {}", failure.source);
                Err(ClaimError::Deferred)
            }
        }
    }

    /// Returns the number of settlements that are not recorded yet.
    pub fn pending_settlements(&self) -> usize {
        self.0.queues.iter().map(|queue| queue.detached_count()).sum()
    }

    /// Retries pending settlements until none is left or `deadline` has passed.
    ///
    /// Called before a node shuts down; returns the number of settlements left.
    pub async fn drain(&self, deadline: Instant) -> usize {
        while self.pending_settlements() > 0 && Instant::now() < deadline {
            self.0.queues.iter().for_each(|queue| queue.ensure_commit_task());
            sleep(DRAIN_INTERVAL).await;
        }
        self.pending_settlements()
    }

    /// Retries pending settlements and removes expired claims periodically; never returns.
    ///
    /// Runs on one thread of each node.
    pub async fn maintain(&self) {
        let mut next_cleanup = Instant::now() + self.0.cfg.cleanup_interval;
        loop {
            sleep(RETRY_INTERVAL).await;
            self.0.queues.iter().for_each(|queue| queue.ensure_commit_task());
            if Instant::now() >= next_cleanup {
                self.remove_expired().await;
                next_cleanup = Instant::now() + self.0.cfg.cleanup_interval;
            }
        }
    }

    /// Removes expired claims from the shards that this node owns.
    pub async fn remove_expired(&self) {
        for shard in 0..self.0.queues.len() as u32 {
            if self.0.remote_owner(shard).is_some() {
                continue;
            }
            let limit = Instant::now() + self.0.cfg.max_wait;
            let committed = self.0.store.commit(shard, &[], limit).await;
            let removed = match committed {
                Ok(_) => self.0.store.delete_unlisted_segments(shard).await,
                Err(failure) => Err(failure),
            };
            if let Err(failure) = removed {
                log::warn!(
                    "claims: failed to remove expired claims from shard {shard}: {}",
                    failure.source
                );
            }
        }
    }
}

impl Inner {
    fn new_claimant(&self, body: BodyDigest, deadline: Duration) -> Claimant {
        let sequence = self.tickets.fetch_add(1, Ordering::Relaxed);
        let created = self.cfg.clock.now();
        let ticket = TicketId { epoch: self.cfg.epoch, sequence };
        Claimant { ticket, body, created, deadline: created.after(deadline.min(self.cfg.ttl)) }
    }

    fn queue(&self, key: KeyDigest) -> &Arc<Queue> {
        let shard = key.shard(self.queues.len() as u32);
        &self.queues[shard as usize]
    }

    fn remote_owner(&self, shard: u32) -> Option<NodeId> {
        forward::remote_owner(self.link.as_deref()?, shard)
    }

    /// Commits an operation, through the owner of the shard if that is another node.
    async fn submit(&self, op: &Op, limit: Instant) -> Result<Reply, CommitFailure> {
        let shard = op.key.shard(self.queues.len() as u32);
        let mut may_have_written = false;
        if let (Some(link), Some(owner)) = (&self.link, self.remote_owner(shard)) {
            let left = limit.saturating_duration_since(Instant::now());
            match forward::forward(&**link, &owner, op, left / 2).await {
                Forwarded::Replied(result) => return result,
                Forwarded::NotDelivered => {}
                Forwarded::ReplyLost => {
                    log::debug!("claims: {}", forward::reply_lost(&owner).source);
                    may_have_written = true;
                }
            }
        }
        let result = self.queue(op.key).submit(op.clone(), limit).await;
        result.map_err(|mut failure| {
            failure.may_have_written |= may_have_written;
            failure
        })
    }

    fn decide(
        &self,
        reply: Reply,
        key: KeyDigest,
        claimant: Claimant,
    ) -> Result<ClaimDecision, ClaimError> {
        match reply {
            Reply::Acquired => Ok(ClaimDecision::Acquired(ClaimTicket { key, claimant })),
            Reply::Running(deadline) => {
                Ok(ClaimDecision::Running { retry_after: self.retry_after(deadline) })
            }
            Reply::Finished(response) => Ok(ClaimDecision::Finished(response)),
            Reply::BodyMismatch => Ok(ClaimDecision::BodyMismatch),
            Reply::OutcomeUnknown => Ok(ClaimDecision::OutcomeUnknown),
            Reply::Full => Err(ClaimError::Full),
            Reply::Withdrawn | Reply::Settled => Err(ClaimError::Withdrawn),
        }
    }

    /// Returns a jittered delay before the retry of a request whose key is claimed until `deadline`.
    fn retry_after(&self, deadline: UnixMillis) -> Duration {
        let left = deadline.since(self.cfg.clock.now()).clamp(RETRY_AFTER.0, RETRY_AFTER.1);
        left.mul_f64(self.jitter.between(0.5, 1.0)).max(RETRY_AFTER.0)
    }
}

/// Withdraws a claim on drop, unless it has been decided.
struct WithdrawOnDrop<'a> {
    inner: &'a Inner,
    key: KeyDigest,
    claimant: Claimant,
    is_armed: bool,
}

impl Drop for WithdrawOnDrop<'_> {
    fn drop(&mut self) {
        if !self.is_armed {
            return;
        }
        let kind = OpKind::Settle(Settlement::NotRun);
        self.inner.queue(self.key).push_detached(Op {
            key: self.key,
            claimant: self.claimant,
            kind,
        });
    }
}

/// Queues a settlement for retry on drop, unless it has been recorded.
struct RequeueOnDrop<'a> {
    inner: &'a Inner,
    op: Option<Op>,
}

impl Drop for RequeueOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(op) = self.op.take() {
            self.inner.queue(op.key).push_detached(op);
        }
    }
}
