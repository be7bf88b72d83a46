//! Leader election with a lease in the store.
//!
//! The leader's key is attached to the lease. The leader counts the lease's
//! time from the sending of a renewal, by a clock that advances while the
//! machine is suspended, and checks it right before each action. A new leader
//! waits for the last calls of its predecessor, and a node that led before waits for a whole
//! lease after its own last action, so that leaders never alternate within one lease.

use std::{cell::Cell, rc::Rc, time::Duration};

use lycheelatch_prelude::{Fence, NodeId};
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    BootClock, Commit, CommitOutcome, Gateway, LeaderPermit, LeaseId, Store, StoreEra, StoreError,
    StoreRevision,
    event_log::{log_event, millis},
    layout::OWN_PREFIX,
    node_event::NodeEvent,
};

/// Renewals in the lease's time to live.
const RENEWALS_PER_TTL: u32 = 3;

/// Divisor of the time to live; the quotient is the least time before a new leader's first action,
/// in which calls of its predecessor may still arrive.
const TAKEOVER_DIVISOR: u32 = 3;

/// Divisor of the time to live; the quotient is the margin before the lease's end in which the
/// leader does not act.
const MARGIN_DIVISOR: u32 = 8;

/// Time between two checks whether a leader is live.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Pause after a read of the store that found the leader's key.
const HELD_BACKOFF: Duration = Duration::from_millis(1200);

/// Nodes that read the store in one interval while no leader is live.
const POLLING_NODES: u64 = 12;

/// Number of distinct values of the jitter.
const JITTER_STEPS: u64 = 1024;

/// Bits of a fencing number that hold the revision; the bits above hold the era.
const FENCE_REVISION_BITS: u32 = 40;

/// Largest era that a fencing number holds, so that receivers may read it as a float.
const MAX_FENCE_ERA: u64 = (1 << 13) - 1;

/// Age of the cluster below which no lease of an earlier leader can have ended.
const FIRST_LEASE_PERIOD: Duration = Duration::from_millis(2500);

/// Validity of a node's leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderLease {
    /// Fencing number, which grows with each leader.
    pub fence: Fence,
    /// Time since the machine's boot from which the leader may act.
    pub valid_from: Duration,
    /// Time since the machine's boot from which the leader may not act any more.
    pub valid_until: Duration,
}

impl LeaderLease {
    /// Returns the lease of a node that became the leader at `now`, with no validity yet.
    ///
    /// Calls arrive at most `max_delivery` after they were sent. The node may not act within `ttl`
    /// and a margin after its own last action, since another node may have acted in between. The
    /// same holds after `era_since`, by which the store's era had begun: a copy of the store may
    /// lack a lease that its holder still relies on. All times are since the machine's boot.
    pub fn acquired(
        fence: Fence,
        now: Duration,
        last_action: Option<Duration>,
        era_since: Option<Duration>,
        ttl: Duration,
        max_delivery: Duration,
    ) -> LeaderLease {
        let margin = ttl / MARGIN_DIVISOR;
        // The predecessor did not act in the margin before the end of its lease.
        let last_arrival = max_delivery.saturating_sub(margin);
        let after_predecessor = now + last_arrival.max(ttl / TAKEOVER_DIVISOR);
        // Its own last call may have taken longer to arrive than the next one will.
        let own_arrival = max_delivery.max(margin);
        let after_own = last_action.map_or(Duration::ZERO, |at| at + ttl + own_arrival);
        let after_restore = era_since.map_or(Duration::ZERO, |at| at + ttl + last_arrival);
        let valid_from = after_predecessor.max(after_own).max(after_restore);
        LeaderLease { fence, valid_from, valid_until: Duration::ZERO }
    }

    /// Returns whether the leader may act at a time since the machine's boot.
    pub fn is_valid_at(&self, now: Duration) -> bool {
        self.valid_from <= now && now < self.valid_until
    }

    /// Extends the lease after a renewal that was sent at `sent` was confirmed.
    pub fn extend(&mut self, sent: Duration, ttl: Duration) {
        let until = sent + ttl - ttl / MARGIN_DIVISOR;
        self.valid_until = self.valid_until.max(until);
    }
}

/// Whether this node is the leader.
pub struct Leadership {
    boot: Rc<dyn BootClock>,
    lease: Cell<Option<LeaderLease>>,
    /// Time since the machine's boot at which this node last could have acted as the leader.
    last_action: Cell<Option<Duration>>,
    /// Longest time from the sending of a leader's call to its arrival.
    max_delivery: Duration,
    /// Latest era of the store that is known, and the time since the machine's boot by which it
    /// had begun.
    era: Cell<Option<(StoreEra, Duration)>>,
}

impl Leadership {
    /// Creates the state of a node that is not the leader, whose calls arrive at most
    /// `max_delivery` after they were sent.
    pub fn new(boot: Rc<dyn BootClock>, max_delivery: Duration) -> Leadership {
        // An earlier process on this machine may have acted until now.
        let last_action = Cell::new(Some(boot.elapsed()));
        Leadership { boot, lease: Cell::new(None), last_action, max_delivery, era: Cell::new(None) }
    }

    /// Takes note that the store is in an era, or in a later one.
    fn observe_era(&self, era: StoreEra) {
        if self.era.get().is_none_or(|(known, _)| era > known) {
            self.era.set(Some((era, self.boot.elapsed())));
        }
    }

    /// Returns the latest known era of the store; the first one if none is known.
    pub(crate) fn era(&self) -> StoreEra {
        self.era.get().map(|(era, _)| era).unwrap_or_default()
    }

    /// Returns the fencing number, if this node is the leader and may act now.
    pub fn fence(&self) -> Option<Fence> {
        let lease = self.lease.get()?;
        let now = self.boot.elapsed();
        if !lease.is_valid_at(now) {
            return None;
        }
        self.last_action.set(Some(now));
        Some(lease.fence)
    }

    /// Returns the right to make the leader's calls, if this node is the leader and may act now.
    pub fn permit(self: &Rc<Self>) -> Option<Rc<dyn LeaderPermit>> {
        let fence = self.fence()?;
        Some(Rc::new(CurrentTerm { leader: self.clone(), fence }))
    }

    /// Returns whether this node holds the leader's lease, also while it may not act yet.
    pub fn holds_lease(&self) -> bool {
        self.lease.get().is_some_and(|lease| self.boot.elapsed() < lease.valid_until)
    }
}

/// One term of this node as the leader.
struct CurrentTerm {
    leader: Rc<Leadership>,
    fence: Fence,
}

impl LeaderPermit for CurrentTerm {
    fn fence(&self) -> Fence {
        self.fence
    }

    fn is_valid(&self) -> bool {
        self.leader.fence() == Some(self.fence)
    }
}

/// Returns the fencing number of a leader whose key was created at a revision.
///
/// It grows also when the store comes back from a copy and gives out its revisions again.
fn fence_at(created: StoreRevision) -> Fence {
    let era = created.era.0.min(MAX_FENCE_ERA);
    Fence(era << FENCE_REVISION_BITS | created.number & ((1 << FENCE_REVISION_BITS) - 1))
}

fn leader_key() -> String {
    format!("{OWN_PREFIX}holder")
}

/// Tries to become the leader, and renews the lease while it is, until the task is dropped.
pub(crate) async fn run_election(
    gateway: Rc<Gateway>,
    store: Rc<dyn Store>,
    leader: Rc<Leadership>,
) {
    let ttl = gateway.settings.leader_lease.max(gateway.settings.min_lease);
    let started = leader.boot.elapsed();
    let node = &gateway.settings.node;
    for attempt in 0_u64.. {
        sleep(POLL_INTERVAL.mul_f64(jitter(node, attempt))).await;
        if let Some(era) = gateway.store_era.get() {
            leader.observe_era(era);
        }
        if !should_poll(&gateway, attempt) {
            continue;
        }
        let is_first_lease = gateway.settings.is_first_start
            && leader.boot.elapsed().saturating_sub(started) < FIRST_LEASE_PERIOD;
        match acquire(&*store, &leader, node, ttl, is_first_lease).await {
            Ok(Some((lease_id, lease))) => {
                lead(&gateway, &*store, &leader, lease_id, lease, ttl).await;
            }
            Ok(None) => sleep(HELD_BACKOFF).await,
            Err(err) => log::info!("leader: lease not acquired: {err}"),
        }
    }
}

/// Returns whether this node reads the store in this interval.
///
/// About `POLLING_NODES` nodes read it per interval, whatever the size of the cluster.
fn should_poll(gateway: &Gateway, attempt: u64) -> bool {
    let zone = &gateway.settings.zone;
    if gateway.is_stopping() || gateway.peers.borrow().has_live_leader(zone, Instant::now()) {
        return false;
    }
    let intervals = (u64::from(gateway.nodes()) / POLLING_NODES).max(1);
    poll_hash(&gateway.settings.node, attempt).is_multiple_of(intervals)
}

/// Acts as the leader until the lease is lost or the node stops.
async fn lead(
    gateway: &Gateway,
    store: &dyn Store,
    leader: &Leadership,
    lease_id: LeaseId,
    lease: LeaderLease,
    ttl: Duration,
) {
    let fence = lease.fence.0;
    let valid_in = lease.valid_from.saturating_sub(leader.boot.elapsed());
    log_event(&NodeEvent::LeadershipAcquired { fence, acts_in_ms: millis(valid_in) });
    leader.lease.set(Some(lease));
    gateway.is_leader.set(true);
    renew_until_lost(gateway, store, leader, lease_id, ttl).await;
    gateway.is_leader.set(false);
    leader.lease.set(None);
    log_event(&NodeEvent::LeadershipLost { fence });
}

/// Returns a hash that differs between nodes and attempts.
fn poll_hash(node: &NodeId, attempt: u64) -> u64 {
    xxh3_64_with_seed(node.as_str().as_bytes(), attempt)
}

/// Returns a factor of 0.7 to 1.3 that differs between nodes and attempts.
fn jitter(node: &NodeId, attempt: u64) -> f64 {
    let hash = poll_hash(node, attempt) % JITTER_STEPS;
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    let fraction = hash as f64 / JITTER_STEPS as f64;
    0.7 + 0.6 * fraction
}

/// Writes the leader's key under a new lease, unless the key exists.
async fn acquire(
    store: &dyn Store,
    leader: &Leadership,
    node: &NodeId,
    ttl: Duration,
    is_first_lease: bool,
) -> Result<Option<(LeaseId, LeaderLease)>, StoreError> {
    if store.get(&leader_key()).await?.is_some() {
        return Ok(None);
    }
    let sent = leader.boot.elapsed();
    let lease_id = store.grant(ttl).await?;
    leader.observe_era(lease_id.era);
    let commit = Commit {
        key: leader_key().into(),
        expected: StoreRevision::ABSENT,
        value: node.as_str().to_owned().into(),
        lease: Some(lease_id),
    };
    let CommitOutcome::Applied(revision) = store.commit(commit).await? else { return Ok(None) };
    let now = leader.boot.elapsed();
    let last_action = leader.last_action.get();
    let era_since = leader.era.get().map(|(_, since)| since);
    let mut lease = LeaderLease::acquired(
        fence_at(revision),
        now,
        last_action,
        era_since,
        ttl,
        leader.max_delivery,
    );
    if is_first_lease {
        lease.valid_from = now;
    }
    lease.extend(sent, ttl);
    Ok(Some((lease_id, lease)))
}

/// Renews the lease until the store says that it has ended, or the node stops.
async fn renew_until_lost(
    gateway: &Gateway,
    store: &dyn Store,
    leader: &Leadership,
    lease_id: LeaseId,
    ttl: Duration,
) {
    loop {
        sleep(ttl / RENEWALS_PER_TTL).await;
        if gateway.is_stopping() {
            leader.lease.set(None);
            if let Err(err) = store.revoke(lease_id).await {
                log::info!("leader: lease not revoked, it will expire: {err}");
            }
            return;
        }
        let sent = leader.boot.elapsed();
        match store.renew(lease_id).await {
            Ok(()) => {
                let Some(mut lease) = leader.lease.get() else { return };
                lease.extend(sent, ttl);
                leader.lease.set(Some(lease));
            }
            Err(StoreError::LeaseEnded) => return,
            Err(err) => log::info!("leader: lease not renewed: {err}"),
        }
        // The store may keep a lease through its own outage, and then nobody else can have led.
        gateway.is_leader.set(leader.holds_lease());
    }
}
