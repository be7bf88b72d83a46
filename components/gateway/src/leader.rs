//! Which node makes the calls that one node makes for all.
//!
//! The holder has a key under a lease. It counts the lease from the moment at
//! which a renewal was sent, by the clock that goes on while the machine is
//! suspended, and looks at it right before each act. A new holder waits until
//! the holder before can't act any more.

use std::{cell::Cell, rc::Rc, time::Duration};

use lycheelatch_prelude::{Fence, NodeId};
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    BootClock, Commit, CommitOutcome, Gateway, LeaseId, Store, StoreError, StoreRevision,
    decision::{Belief, millis, note},
    layout::OWN_PREFIX,
};

/// Part of the lease within which it is renewed.
const RENEW_SHARE: u32 = 3;

/// Part of the lease before whose end the holder stops to act.
const MARGIN_SHARE: u32 = 8;

/// Pause between two looks whether the holder is heard.
const LOOK_INTERVAL: Duration = Duration::from_millis(300);

/// Pause after a look at the store that found the key held.
const HELD_PAUSE: Duration = Duration::from_millis(1200);

/// Nodes that look at the store in one interval while no holder is heard.
const LOOKING_NODES: u64 = 12;

/// Number of different pauses between two looks.
const SPREAD_STEPS: u64 = 1024;

/// Age of the whole system below which no lease of an earlier holder can have ended.
const EARLY: Duration = Duration::from_millis(2500);

/// What one node knows of its holding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderLease {
    /// Number that grows with each holder.
    pub fence: Fence,
    /// Time since the machine's start from which the holder acts.
    pub valid_from: Duration,
    /// Time since the machine's start at which the holder stops to act.
    pub valid_until: Duration,
}

impl LeaderLease {
    /// Returns whether the holder may act at a time since the machine's start.
    pub fn is_valid_at(&self, now: Duration) -> bool {
        self.valid_from <= now && now < self.valid_until
    }

    /// Takes note of a renewal that was sent at `sent` and confirmed.
    pub fn extend(&mut self, sent: Duration, ttl: Duration) {
        let until = sent + ttl - ttl / MARGIN_SHARE;
        self.valid_until = self.valid_until.max(until);
    }
}

/// Whether this node holds the duties.
pub struct Leadership {
    boot: Rc<dyn BootClock>,
    holding: Cell<Option<LeaderLease>>,
}

impl Leadership {
    /// Creates a node that holds nothing.
    pub fn new(boot: Rc<dyn BootClock>) -> Leadership {
        Leadership { boot, holding: Cell::new(None) }
    }

    /// Returns the fencing number, if this node may act right now.
    pub fn fence(&self) -> Option<Fence> {
        let holding = self.holding.get()?;
        holding.is_valid_at(self.boot.elapsed()).then_some(holding.fence)
    }

    /// Returns whether this node holds the key, though it may not act yet.
    pub fn holds_lease(&self) -> bool {
        self.holding.get().is_some_and(|holding| self.boot.elapsed() < holding.valid_until)
    }
}

fn holder_key() -> String {
    format!("{OWN_PREFIX}holder")
}

/// Tries to hold the duties, and renews what it holds, until the task is dropped.
pub(crate) async fn run_election(
    gateway: Rc<Gateway>,
    store: Rc<dyn Store>,
    leader: Rc<Leadership>,
) {
    let ttl = gateway.settings.duty_lease.max(gateway.settings.shortest_lease);
    let started = leader.boot.elapsed();
    let node = &gateway.settings.node;
    for look in 0_u64.. {
        sleep(LOOK_INTERVAL.mul_f64(spread(node, look))).await;
        if !is_turn(&gateway, look) {
            continue;
        }
        let is_first = gateway.settings.is_first_start
            && leader.boot.elapsed().saturating_sub(started) < EARLY;
        match acquire(&*store, &leader, node, ttl, is_first).await {
            Ok(Some((lease, holding))) => {
                hold(&gateway, &*store, &leader, lease, holding, ttl).await;
            }
            Ok(None) => sleep(HELD_PAUSE).await,
            Err(err) => log::info!("leader: not acquired: {err}"),
        }
    }
}

/// Returns whether this node looks at the store now.
///
/// However many nodes miss the holder, about as many look at once.
fn is_turn(gateway: &Gateway, look: u64) -> bool {
    let zone = &gateway.settings.zone;
    if gateway.is_stopping() || gateway.peers.borrow().hears_holder(zone, Instant::now()) {
        return false;
    }
    let turns = (u64::from(gateway.nodes()) / LOOKING_NODES).max(1);
    draw(&gateway.settings.node, look).is_multiple_of(turns)
}

/// Acts as the holder until the lease is lost or the node stops.
async fn hold(
    gateway: &Gateway,
    store: &dyn Store,
    leader: &Leadership,
    lease: LeaseId,
    holding: LeaderLease,
    ttl: Duration,
) {
    let fence = holding.fence.0;
    let acts_in = holding.valid_from.saturating_sub(leader.boot.elapsed());
    note(&Belief::DutiesWon { fence, acts_in_ms: millis(acts_in) });
    leader.holding.set(Some(holding));
    gateway.is_leader.set(true);
    keep(gateway, store, leader, lease, ttl).await;
    gateway.is_leader.set(false);
    leader.holding.set(None);
    note(&Belief::DutiesLost { fence });
}

/// Returns a number that differs between nodes and looks.
fn draw(node: &NodeId, look: u64) -> u64 {
    xxh3_64_with_seed(node.as_str().as_bytes(), look)
}

/// Returns a factor about 1 that differs between nodes and looks.
fn spread(node: &NodeId, look: u64) -> f64 {
    let drawn = draw(node, look) % SPREAD_STEPS;
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    let part = drawn as f64 / SPREAD_STEPS as f64;
    0.7 + 0.6 * part
}

/// Takes the key, if nobody holds it.
async fn acquire(
    store: &dyn Store,
    leader: &Leadership,
    node: &NodeId,
    ttl: Duration,
    is_first: bool,
) -> Result<Option<(LeaseId, LeaderLease)>, StoreError> {
    if store.get(&holder_key()).await?.is_some() {
        return Ok(None);
    }
    let sent = leader.boot.elapsed();
    let lease = store.grant(ttl).await?;
    let commit = Commit {
        key: holder_key().into(),
        expected: StoreRevision(0),
        value: node.as_str().to_owned().into(),
        lease: Some(lease),
    };
    let CommitOutcome::Applied(revision) = store.commit(commit).await? else { return Ok(None) };
    let now = leader.boot.elapsed();
    let valid_from = if is_first { now } else { now + ttl };
    let mut holding =
        LeaderLease { fence: Fence(revision.0), valid_from, valid_until: Duration::ZERO };
    holding.extend(sent, ttl);
    Ok(Some((lease, holding)))
}

/// Renews the lease until it is lost or the node stops.
async fn keep(
    gateway: &Gateway,
    store: &dyn Store,
    leader: &Leadership,
    lease: LeaseId,
    ttl: Duration,
) {
    loop {
        sleep(ttl / RENEW_SHARE).await;
        if gateway.is_stopping() {
            leader.holding.set(None);
            if let Err(err) = store.revoke(lease).await {
                log::info!("leader: the lease ends by itself: {err}");
            }
            return;
        }
        let sent = leader.boot.elapsed();
        match store.renew(lease).await {
            Ok(()) => {
                let Some(mut holding) = leader.holding.get() else { return };
                holding.extend(sent, ttl);
                leader.holding.set(Some(holding));
            }
            Err(StoreError::LeaseEnded) => return,
            Err(err) => log::info!("leader: not renewed: {err}"),
        }
        if !leader.holds_lease() {
            return;
        }
    }
}
