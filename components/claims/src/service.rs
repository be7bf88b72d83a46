//! Claims as the proxy uses them.

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

/// Time between two tries at settlements that are owed.
const OWED_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two tries before a node ends.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Shortest and longest time after which a caller is to ask again.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// Claims of idempotency keys, shared by all threads of a node.
///
/// [`Claims::claim`] and [`Claims::settle`] run inside a `LocalSet`, as every
/// `actix` thread does.
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
    /// Creates claims that this node commits itself.
    pub fn new(kv: Arc<dyn KeyValue>, cfg: ClaimsConfig) -> Claims {
        Claims::build(kv, cfg, None)
    }

    /// Creates claims that one node for each shard commits for all.
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

    /// Claims `key` for a request that has `deadline` left.
    ///
    /// A caller that goes away while it waits withdraws its claim. After an
    /// error the request must not be executed; the claim, if it was recorded,
    /// is withdrawn.
    ///
    /// # Errors
    ///
    /// Fails if the claim can't be recorded; the request did not run.
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
        let mut withdrawal = Withdrawal { inner: &self.0, key, claimant, is_due: true };
        let op = Op { key, claimant, kind: OpKind::Claim };
        let result = self.0.submit(&op, started + wait).await;
        let is_late = started.elapsed() > wait;
        let reply = match result {
            Ok(Reply::Won) if is_late => {
                return Err(ClaimError::Late { ms: wait.as_millis() as u64 });
            }
            Ok(reply) => {
                withdrawal.is_due = false;
                reply
            }
            Err(failure) => {
                withdrawal.is_due = failure.may_have_written;
                log::warn!("claims: request {request} not claimed: {}", failure.source);
                return Err(ClaimError::Unavailable { source: failure.source });
            }
        };
        self.0.decide(reply, key, claimant)
    }

    /// Settles a claim.
    ///
    /// # Errors
    ///
    /// Fails with [`ClaimError::Deferred`] while the settlement can't be
    /// recorded; it is tried again until it is.
    pub async fn settle(&self, ticket: ClaimTicket, result: Settlement) -> Result<(), ClaimError> {
        let ClaimTicket { key, claimant } = ticket;
        let result = match result {
            Settlement::Finished(answer) => {
                Settlement::Finished(answer.limited_to(self.0.cfg.max_answer_bytes))
            }
            other => other,
        };
        let op = Op { key, claimant, kind: OpKind::Settle(result) };
        let mut owed = Owed { inner: &self.0, op: Some(op.clone()) };
        match self.0.submit(&op, Instant::now() + self.0.cfg.max_wait).await {
            Ok(_settled) => {
                owed.op = None;
                Ok(())
            }
            Err(failure) => {
                log::warn!("claims: settlement deferred: {}", failure.source);
                Err(ClaimError::Deferred)
            }
        }
    }

    /// Returns how many settlements are still to be recorded.
    pub fn owed(&self) -> usize {
        self.0.queues.iter().map(|queue| queue.owed()).sum()
    }

    /// Tries settlements that are owed until none is left or `ends` comes.
    ///
    /// Runs before a node ends; returns how many are left.
    pub async fn drain(&self, ends: Instant) -> usize {
        while self.owed() > 0 && Instant::now() < ends {
            self.0.queues.iter().for_each(|queue| queue.ensure_committing());
            sleep(DRAIN_INTERVAL).await;
        }
        self.owed()
    }

    /// Tries settlements that are owed and cleans shards, for ever.
    ///
    /// Runs on one thread of each node.
    pub async fn maintain(&self) {
        let mut next_clean = Instant::now() + self.0.cfg.clean_interval;
        loop {
            sleep(OWED_INTERVAL).await;
            self.0.queues.iter().for_each(|queue| queue.ensure_committing());
            if Instant::now() >= next_clean {
                self.clean().await;
                next_clean = Instant::now() + self.0.cfg.clean_interval;
            }
        }
    }

    /// Drops expired claims of the shards that this node commits for.
    pub async fn clean(&self) {
        for shard in 0..self.0.queues.len() as u32 {
            if self.0.home(shard).is_some() {
                continue;
            }
            let limit = Instant::now() + self.0.cfg.max_wait;
            let cleaned = self.0.store.commit(shard, &[], limit).await;
            let swept = match cleaned {
                Ok(_) => self.0.store.sweep(shard).await,
                Err(failure) => Err(failure),
            };
            if let Err(failure) = swept {
                log::warn!("claims: shard {shard} not cleaned: {}", failure.source);
            }
        }
    }
}

impl Inner {
    fn new_claimant(&self, body: BodyDigest, deadline: Duration) -> Claimant {
        let count = self.tickets.fetch_add(1, Ordering::Relaxed);
        let created = self.cfg.clock.now();
        let ticket = TicketId { epoch: self.cfg.epoch, count };
        Claimant { ticket, body, created, until: created.after(deadline.min(self.cfg.ttl)) }
    }

    fn queue(&self, key: KeyDigest) -> &Arc<Queue> {
        let shard = key.shard(self.queues.len() as u32);
        &self.queues[shard as usize]
    }

    fn home(&self, shard: u32) -> Option<NodeId> {
        forward::home(self.link.as_deref()?, shard)
    }

    /// Commits an operation, through the shard's node if there is another.
    async fn submit(&self, op: &Op, limit: Instant) -> Result<Reply, CommitFailure> {
        let shard = op.key.shard(self.queues.len() as u32);
        let mut may_have_written = false;
        if let (Some(link), Some(home)) = (&self.link, self.home(shard)) {
            let left = limit.saturating_duration_since(Instant::now());
            match forward::forward(&**link, &home, op, left / 2).await {
                Forwarded::Answered(result) => return result,
                Forwarded::NotSent => {}
                Forwarded::AnswerLost => {
                    log::debug!("claims: {}", forward::lost_at(&home).source);
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
            Reply::Won => Ok(ClaimDecision::Acquired(ClaimTicket { key, claimant })),
            Reply::Running(until) => {
                Ok(ClaimDecision::Running { retry_after: self.retry_after(until) })
            }
            Reply::Finished(answer) => Ok(ClaimDecision::Finished(answer)),
            Reply::Mismatch => Ok(ClaimDecision::BodyMismatch),
            Reply::Unresolved => Ok(ClaimDecision::OutcomeUnknown),
            Reply::Full => Err(ClaimError::Full),
            Reply::Withdrawn | Reply::Settled => Err(ClaimError::Withdrawn),
        }
    }

    /// Returns a spread time after which a running request may be settled.
    fn retry_after(&self, until: UnixMillis) -> Duration {
        let left = until.since(self.cfg.clock.now()).clamp(RETRY_AFTER.0, RETRY_AFTER.1);
        left.mul_f64(self.jitter.between(0.5, 1.0)).max(RETRY_AFTER.0)
    }
}

/// Withdraws a claim when its caller goes away before it is decided.
struct Withdrawal<'a> {
    inner: &'a Inner,
    key: KeyDigest,
    claimant: Claimant,
    is_due: bool,
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        if !self.is_due {
            return;
        }
        let kind = OpKind::Settle(Settlement::NotRun);
        self.inner.queue(self.key).owe(Op { key: self.key, claimant: self.claimant, kind });
    }
}

/// Keeps a settlement to be tried again if nobody waits for it any more.
struct Owed<'a> {
    inner: &'a Inner,
    op: Option<Op>,
}

impl Drop for Owed<'_> {
    fn drop(&mut self) {
        if let Some(op) = self.op.take() {
            self.inner.queue(op.key).owe(op);
        }
    }
}
