//! Local view of the store: the configuration and the registered upstreams.
//!
//! `store_watch` reads the changes of all keys. While the store is unreachable,
//! `view_exchange` reads the view of other nodes.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use lycheelatch_prelude::{InvalidValue, UpstreamId};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, timeout},
};

use crate::{
    Gateway, KeyValue, Store, StoreError, StoreLayout, StoreRevision,
    event_log::{log_event, millis},
    node_event::NodeEvent,
    read_barrier::FollowedStore,
    restore::Restore,
    tombstones::{Tombstone, Tombstones},
};

/// Maximum wait of one watch; a stalled connection is detected only after it.
pub(crate) const WATCH_WAIT: Duration = Duration::from_millis(1000);

/// Time from a call until its response is applied, at most, if it does not wait.
const RESPONSE_TIME: Duration = Duration::from_millis(300);

/// Divisor of the time within which a change must be in force; the quotient is the pause between
/// two watches, which batches the upstreams' frequent writes.
const INTERVALS_PER_BOUND: u32 = 4;

/// Name of the calls in the log.
const WATCH_CALL: &str = "watch";

/// Time after the store's recovery within which upstreams whose leases ended during the outage may
/// register again.
const RECOVERY_GRACE: Duration = Duration::from_millis(2000);

/// Minimum duration of a failed watch that counts as an outage from its start.
const SILENT_WATCH_TIME: Duration = WATCH_WAIT.saturating_add(Duration::from_millis(300));

/// Shortest outage of the store in which an upstream's lease can have ended.
const MIN_OUTAGE: Duration = Duration::from_millis(300);

/// Time without a response after which the store counts as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(500);

/// Cached value of a key, also for nodes that follow this one.
#[derive(Debug, Clone)]
pub(crate) struct CachedEntry {
    pub(crate) value: Bytes,
    pub(crate) revision: StoreRevision,
    /// Revision of the key's creation.
    pub(crate) created: StoreRevision,
    /// The last local change that altered more than the entry's sequence number.
    pub(crate) changed: LocalChange,
}

/// Sequence number of a change of this node's view, within one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LocalChange(pub(crate) u64);

/// Status of the calls to the store.
#[derive(Default)]
struct StoreCallStatus {
    /// Start of the current outage.
    failing_since: Cell<Option<Instant>>,
}

impl StoreCallStatus {
    /// Records the success of a call sent at `sent`; returns the length of the outage that it ends.
    fn record_success(&self, sent: Instant) -> Option<Duration> {
        // A watch waits for changes, so the store was reachable when the call arrived.
        let outage = sent.saturating_duration_since(self.failing_since.take()?);
        log_event(&NodeEvent::StoreRecovered { call: WATCH_CALL, outage_ms: millis(outage) });
        Some(outage)
    }

    /// Records the failure of a call sent at `sent`.
    fn record_failure(&self, err: &StoreError, sent: Instant) {
        if self.failing_since.get().is_some() {
            return;
        }
        log_event(&NodeEvent::StoreUnreachable { call: WATCH_CALL, reason: &err.to_string() });
        // A watch waits while nothing changes, so until an early failure the store was reachable.
        let was_silent = sent.elapsed() >= SILENT_WATCH_TIME;
        self.failing_since.set(Some(if was_silent { sent } else { Instant::now() }));
    }
}

/// This node's view of the store.
pub(crate) struct StoreView {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) store: Rc<dyn Store>,
    pub(crate) layout: Rc<dyn StoreLayout>,
    pub(crate) config: RefCell<Option<CachedEntry>>,
    pub(crate) upstreams: RefCell<BTreeMap<Arc<str>, CachedEntry>>,
    /// Orders and statuses of roll-outs.
    pub(crate) rollouts: RefCell<BTreeMap<Arc<str>, CachedEntry>>,
    pub(crate) revision: Cell<StoreRevision>,
    /// Random number that is drawn at the start of the process; scope of the change numbers.
    pub(crate) incarnation: u64,
    pub(crate) tombstones: RefCell<Tombstones>,
    changes: watch::Sender<LocalChange>,
    /// Whether another node's view is followed instead of the store.
    pub(crate) is_following: Cell<bool>,
    last_success: Cell<Option<Instant>>,
    last_failure: Cell<Option<Instant>>,
    calls: StoreCallStatus,
    pending_removals: RefCell<BTreeMap<Arc<str>, StoreRevision>>,
    /// Entries that name no upstream, with the reasons.
    rejected: RefCell<BTreeMap<Arc<str>, InvalidValue>>,
    /// End of the last outage of the store that was long enough for leases to end.
    recovered_at: Cell<Option<Instant>>,
    /// First revision that was read after the recovery; later deletions are not due to the outage.
    revision_at_recovery: Cell<Option<StoreRevision>>,
    /// The last time that the store came back from a copy, until its entries have settled.
    pub(crate) restore: Cell<Option<Restore>>,
    /// Revision of the last configuration that was refused.
    pub(crate) rejected_config: Cell<Option<StoreRevision>>,
    /// Ends the pause between two watches.
    read_soon: Notify,
}

impl FollowedStore for StoreView {
    fn complete_up_to(&self) -> Option<StoreRevision> {
        // The entries of a store that came back from a copy have to settle first.
        let is_complete = !self.is_following.get() && self.restore.get().is_none();
        is_complete.then(|| self.revision.get())
    }

    fn read_soon(&self) {
        self.read_soon.notify_one();
    }
}

impl StoreView {
    pub(crate) fn new(
        gateway: Rc<Gateway>,
        store: Rc<dyn Store>,
        layout: Rc<dyn StoreLayout>,
    ) -> StoreView {
        StoreView {
            gateway,
            store,
            layout,
            config: RefCell::default(),
            upstreams: RefCell::default(),
            rollouts: RefCell::default(),
            revision: Cell::default(),
            incarnation: rand::random(),
            tombstones: RefCell::default(),
            changes: watch::Sender::new(LocalChange(0)),
            is_following: Cell::new(false),
            last_success: Cell::default(),
            last_failure: Cell::default(),
            calls: StoreCallStatus::default(),
            pending_removals: RefCell::default(),
            rejected: RefCell::default(),
            recovered_at: Cell::default(),
            revision_at_recovery: Cell::default(),
            restore: Cell::default(),
            rejected_config: Cell::default(),
            read_soon: Notify::new(),
        }
    }

    /// Returns the last change of this view.
    pub(crate) fn last_change(&self) -> LocalChange {
        *self.changes.borrow()
    }

    /// Returns a receiver of the last change of this view.
    pub(crate) fn subscribe(&self) -> watch::Receiver<LocalChange> {
        self.changes.subscribe()
    }

    /// Returns whether a key was removed at a revision or later.
    pub(crate) fn is_deleted(&self, key: &str, revision: StoreRevision) -> bool {
        self.tombstones.borrow().covers(key, revision)
    }

    /// Tells the receivers of changes that the view was changed.
    pub(crate) fn announce_change(&self, change: LocalChange) {
        self.changes.send_replace(change);
    }

    /// Forgets why an entry was rejected.
    pub(crate) fn forget_rejected(&self, key: &str) {
        self.rejected.borrow_mut().remove(key);
    }

    pub(crate) fn next_change(&self) -> LocalChange {
        LocalChange(self.last_change().0 + 1)
    }

    /// Sets the time since the last response of the store, as another node reported it.
    pub(crate) fn set_age(&self, age: Duration) {
        self.last_success.set(Instant::now().checked_sub(age));
    }

    /// Returns the time since the last response of the store.
    pub(crate) fn age(&self) -> Duration {
        self.last_success.get().map_or(Duration::MAX, |at| at.elapsed())
    }

    /// Returns the pause between two watches.
    pub(crate) fn read_interval(&self) -> Duration {
        self.gateway.settings.change_bound / INTERVALS_PER_BOUND
    }

    /// Waits between two watches, unless the view is needed up to date.
    pub(crate) async fn pause(&self) {
        if timeout(self.read_interval(), self.read_soon.notified()).await.is_ok() {
            log::trace!("store: read without a pause");
        }
    }

    /// Returns the time from a write until it is read, if the store answers.
    pub(crate) fn max_read_delay(&self) -> Duration {
        self.read_interval() + RESPONSE_TIME
    }

    /// Returns the age that the view of a node whose calls succeed does not exceed.
    pub(crate) fn max_age(&self) -> Duration {
        self.read_interval() + WATCH_WAIT + RESPONSE_TIME
    }

    /// Returns whether a call to the store failed recently and its last response is too old.
    pub(crate) fn is_store_unreachable(&self) -> bool {
        let failed = self.last_failure.get();
        failed.is_some_and(|at| at.elapsed() < 2 * WATCH_WAIT) && self.age() > UNREACHABLE_AFTER
    }

    pub(crate) fn record_success(&self, sent: Instant) {
        let now = Instant::now();
        if self.calls.record_success(sent).is_some_and(|outage| outage > MIN_OUTAGE) {
            self.await_registrations(now);
        }
        self.last_success.set(Some(now));
    }

    /// Lets upstreams that are missing register again within the grace period.
    pub(crate) fn await_registrations(&self, now: Instant) {
        self.recovered_at.set(Some(now));
        self.revision_at_recovery.set(None);
    }

    /// Records the failure of a call sent at `sent`.
    pub(crate) fn record_failure(&self, err: &StoreError, sent: Instant) {
        self.calls.record_failure(err, sent);
        self.last_failure.set(Some(Instant::now()));
    }

    /// Returns whether upstreams that are missing at a revision may register again soon.
    fn may_be_registered_again(&self, revision: StoreRevision) -> bool {
        let is_in_grace = self.recovered_at.get().is_some_and(|at| at.elapsed() < RECOVERY_GRACE);
        is_in_grace && self.revision_at_recovery.get().is_none_or(|at| revision <= at)
    }

    /// Raises the revision up to which the store was read; records the first one after a recovery.
    pub(crate) fn advance_revision(&self, revision: StoreRevision) {
        let latest = self.revision.get().max(revision);
        self.revision.set(latest);
        self.gateway.store_era.set(Some(latest.era));
        if self.revision_at_recovery.get().is_none() {
            self.revision_at_recovery.set(Some(revision));
        }
    }

    /// Applies an upstream's entry, unless the cached entry or tombstone is at least as new.
    pub(crate) fn apply_upstream(&self, item: KeyValue) {
        let KeyValue { key, value, revision, created } = item;
        let key = &key;
        let mut upstreams = self.upstreams.borrow_mut();
        let is_up_to_date = upstreams.get(key).is_some_and(|cached| cached.revision >= revision);
        if is_up_to_date || self.tombstones.borrow().covers(key, revision) {
            return;
        }
        self.cancel_removal(key);
        let Some(id) = self.upstream_id(key) else { return };
        let before = self.gateway.directory.get(&id).map(|up| up.entry.borrow().clone());
        let parsed = self.layout.parse_upstream(&id, &value);
        match parsed.and_then(|entry| self.gateway.check_entry(entry)) {
            Ok(entry) => {
                self.rejected.borrow_mut().remove(key);
                self.gateway.directory.put_created(entry, revision, created);
            }
            Err(err) => {
                self.log_rejected(key, &err);
                self.gateway.directory.remove(&id, revision);
            }
        }
        let after = self.gateway.directory.get(&id).map(|up| up.entry.borrow().clone());
        let was_ready = before.as_ref().is_some_and(|entry| entry.is_ready);
        if was_ready && !after.as_ref().is_some_and(|entry| entry.is_ready) {
            self.announce_departure(id, revision);
        }
        let previous = upstreams.get(key).filter(|_| before == after);
        let changed = previous.map_or_else(|| self.next_change(), |cached| cached.changed);
        upstreams.insert(key.clone(), CachedEntry { value, revision, created, changed });
        drop(upstreams);
        if changed > self.last_change() {
            self.changes.send_replace(changed);
        }
    }

    /// Logs why an entry is rejected, once for each reason, as upstreams write their entries often.
    pub(crate) fn log_rejected(&self, key: &Arc<str>, err: &InvalidValue) {
        let before = self.rejected.borrow_mut().insert(key.clone(), err.clone());
        if before.as_ref() != Some(err) {
            log_event(&NodeEvent::EntryRejected { key, reason: &err.to_string() });
        }
    }

    fn announce_departure(&self, id: UpstreamId, revision: StoreRevision) {
        self.gateway.departures.borrow_mut().record(id, revision, Instant::now());
    }

    pub(crate) fn upstream_id(&self, key: &str) -> Option<UpstreamId> {
        let id = key.strip_prefix(self.layout.upstream_prefix())?;
        id.parse().map_err(|err| log::warn!("directory: invalid upstream identifier: {err}")).ok()
    }

    /// Removes an entry, or delays the removal if it may be written again after an outage.
    pub(crate) fn handle_deletion(&self, key: &Arc<str>, revision: StoreRevision) {
        // The nodes write statuses themselves, and have to know what the store lacks.
        let is_status = key.starts_with(self.layout.rollout_status_prefix());
        if !is_status && self.may_be_registered_again(revision) {
            self.pending_removals.borrow_mut().insert(key.clone(), revision);
            return;
        }
        self.remove_entry(key, revision);
    }

    /// Removes the entry of a roll-out or of an upstream.
    pub(crate) fn remove_entry(&self, key: &Arc<str>, revision: StoreRevision) {
        match self.is_rollout_key(key) {
            true => self.remove_rollout(key, revision),
            false => self.remove_upstream(key, revision),
        }
    }

    /// Keeps an entry whose removal was delayed, as it was written again.
    pub(crate) fn cancel_removal(&self, key: &Arc<str>) {
        self.pending_removals.borrow_mut().remove(key);
    }

    /// Removes an upstream deleted by `revision`, unless the cached entry is at least as new.
    pub(crate) fn remove_upstream(&self, key: &Arc<str>, revision: StoreRevision) {
        let is_up_to_date =
            self.upstreams.borrow().get(key).is_some_and(|cached| cached.revision >= revision);
        if is_up_to_date || self.tombstones.borrow().covers(key, revision) {
            return;
        }
        self.upstreams.borrow_mut().remove(key);
        self.rejected.borrow_mut().remove(key);
        let changed = self.next_change();
        self.tombstones.borrow_mut().put(key.clone(), Tombstone { revision, changed });
        if let Some(id) = self.upstream_id(key) {
            self.gateway.directory.remove(&id, revision);
            self.announce_departure(id, revision);
        }
        self.changes.send_replace(changed);
    }

    /// Returns whether the key is cached, or the entry is newer than the revision read so far.
    ///
    /// Any other entry was deleted before that revision.
    pub(crate) fn is_current(&self, key: &str, revision: StoreRevision) -> bool {
        revision > self.revision.get() || self.upstreams.borrow().contains_key(key)
    }

    /// Removes the entries that were not written again within the grace period.
    pub(crate) fn finish_removals(&self) {
        if self.recovered_at.get().is_some_and(|at| at.elapsed() < RECOVERY_GRACE) {
            return;
        }
        for (key, revision) in self.pending_removals.take() {
            self.remove_entry(&key, revision);
        }
    }

    /// Applies a complete listing of the upstreams.
    pub(crate) fn apply_listing(&self, items: Vec<KeyValue>, revision: StoreRevision) {
        let listed: BTreeSet<_> = items.iter().map(|item| item.key.clone()).collect();
        for item in items {
            self.apply_upstream(item);
        }
        let cached: Vec<_> = self.upstreams.borrow().keys().cloned().collect();
        for key in cached.iter().filter(|key| !listed.contains(*key)) {
            self.handle_deletion(key, revision);
        }
        self.advance_revision(revision);
        self.gateway.set_upstreams_known();
    }
}
