//! Keeps configuration and upstreams as the store holds them.
//!
//! Two loops read the store, one for the operators' keys and one for the
//! upstreams'. While the store does not answer, the other nodes are asked.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use lycheelatch_prelude::UpstreamId;
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

use crate::{
    Freshness, Gateway, KeyValue, RoutingTable, Store, StoreError, StoreEvent, StoreLayout,
    StoreRevision,
    decision::{Belief, millis, note},
    tombstones::{Tombstone, Tombstones},
};

/// Longest wait of one watch; a silent connection goes unnoticed for as long.
const WATCH_WAIT: Duration = Duration::from_millis(1000);

/// Pause between two watches of the upstreams, which write often.
const GATHER: Duration = Duration::from_millis(500);

/// Pause between two looks whether another node's view is still followed.
const FOLLOW_LOOK: Duration = Duration::from_millis(50);

/// Pause after a failed call, at first and at most.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(400));

/// Time after the store's return in which lapsed entries may come back.
const RETURN_GRACE: Duration = Duration::from_millis(2000);

/// Time after which a watch without an answer was silent for all of it.
const SILENT_WATCH: Duration = WATCH_WAIT.saturating_add(Duration::from_millis(300));

/// Shortest absence of the store in which an entry can have lapsed.
const LAPSE_AFTER: Duration = Duration::from_millis(300);

/// Pause between two looks at lapsed entries.
const LAPSE_INTERVAL: Duration = Duration::from_millis(200);

/// Time without an answer after which the store counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(500);

/// A value as this node holds it, for nodes that don't read the store.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    pub(crate) value: Bytes,
    pub(crate) revision: StoreRevision,
    /// The local change that made it differ in more than its sequence number.
    pub(crate) changed: LocalChange,
}

/// Number of a change of this node's view, by its process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LocalChange(pub(crate) u64);

/// Calls of one loop to the store.
struct StoreCalls {
    name: &'static str,
    /// Since when none was answered.
    away_since: Cell<Option<Instant>>,
}

impl StoreCalls {
    fn new(name: &'static str) -> StoreCalls {
        StoreCalls { name, away_since: Cell::default() }
    }

    /// Takes note that a call sent at `sent` was answered; returns how long none was before it.
    fn answered(&self, sent: Instant) -> Option<Duration> {
        // A watch waits for changes; the store was there when it came.
        let away = sent.saturating_duration_since(self.away_since.take()?);
        note(&Belief::StoreReached { call: self.name, away_ms: millis(away) });
        Some(away)
    }

    /// Takes note that a call sent at `sent` failed.
    fn failed(&self, err: &StoreError, sent: Instant) {
        if self.away_since.get().is_some() {
            return;
        }
        note(&Belief::StoreLost { call: self.name, reason: &err.to_string() });
        // A watch that fails early was waiting until then, as it does without changes.
        let was_silent = sent.elapsed() >= SILENT_WATCH;
        self.away_since.set(Some(if was_silent { sent } else { Instant::now() }));
    }
}

/// What this node holds of the store.
pub(crate) struct StoreView {
    gateway: Rc<Gateway>,
    store: Rc<dyn Store>,
    layout: Rc<dyn StoreLayout>,
    pub(crate) config: RefCell<Option<Held>>,
    pub(crate) upstreams: RefCell<BTreeMap<Arc<str>, Held>>,
    pub(crate) revision: Cell<StoreRevision>,
    /// Drawn at the start of the process; numbers of changes hold within it.
    pub(crate) incarnation: u64,
    pub(crate) tombstones: RefCell<Tombstones>,
    changes: watch::Sender<LocalChange>,
    /// Whether another node's view is followed in place of the store.
    pub(crate) is_following: Cell<bool>,
    last_answer: Cell<Option<Instant>>,
    last_failure: Cell<Option<Instant>>,
    config_calls: StoreCalls,
    upstream_calls: StoreCalls,
    lapsed: RefCell<BTreeMap<Arc<str>, StoreRevision>>,
    /// When the store came back after an absence.
    returned: Cell<Option<Instant>>,
    /// Revision of the store at its return; later deletions are no lapses.
    revision_at_return: Cell<Option<StoreRevision>>,
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
            revision: Cell::default(),
            incarnation: rand::random(),
            tombstones: RefCell::default(),
            changes: watch::Sender::new(LocalChange(0)),
            is_following: Cell::new(false),
            last_answer: Cell::default(),
            last_failure: Cell::default(),
            config_calls: StoreCalls::new("configuration"),
            upstream_calls: StoreCalls::new("upstreams"),
            lapsed: RefCell::default(),
            returned: Cell::default(),
            revision_at_return: Cell::default(),
        }
    }

    /// Returns what requests share.
    #[cfg(test)]
    pub(crate) fn gateway(&self) -> &Gateway {
        &self.gateway
    }

    /// Returns the last change of this view.
    pub(crate) fn last_change(&self) -> LocalChange {
        *self.changes.borrow()
    }

    /// Tells of every further change of this view.
    pub(crate) fn subscribe(&self) -> watch::Receiver<LocalChange> {
        self.changes.subscribe()
    }

    fn next_change(&self) -> LocalChange {
        LocalChange(self.last_change().0 + 1)
    }

    /// Takes note that the store answered a node this long ago.
    pub(crate) fn answered_before(&self, age: Duration) {
        self.last_answer.set(Instant::now().checked_sub(age));
    }

    /// Returns the time since the store answered last.
    pub(crate) fn age(&self) -> Duration {
        self.last_answer.get().map_or(Duration::MAX, |at| at.elapsed())
    }

    /// Returns whether the store has been silent for long.
    pub(crate) fn is_cut_off(&self) -> bool {
        let failed = self.last_failure.get();
        failed.is_some_and(|at| at.elapsed() < 2 * WATCH_WAIT) && self.age() > LOST_AFTER
    }

    fn config_answered(&self, sent: Instant) {
        self.config_calls.answered(sent);
        self.last_answer.set(Some(Instant::now()));
    }

    fn upstreams_answered(&self, sent: Instant) {
        let now = Instant::now();
        if self.upstream_calls.answered(sent).is_some_and(|away| away > LAPSE_AFTER) {
            self.returned.set(Some(now));
            self.revision_at_return.set(None);
        }
        self.last_answer.set(Some(now));
    }

    /// Takes note that a call sent at `sent` failed.
    fn failed(&self, calls: &StoreCalls, err: &StoreError, sent: Instant) {
        calls.failed(err, sent);
        self.last_failure.set(Some(Instant::now()));
    }

    /// Returns whether entries that are missing at a revision may come back.
    fn may_come_back(&self, revision: StoreRevision) -> bool {
        let is_soon = self.returned.get().is_some_and(|at| at.elapsed() < RETURN_GRACE);
        is_soon && self.revision_at_return.get().is_none_or(|at| revision <= at)
    }

    /// Takes note of the first revision that was read after the store's return.
    fn read_up_to(&self, revision: StoreRevision) {
        self.revision.set(self.revision.get().max(revision));
        if self.revision_at_return.get().is_none() {
            self.revision_at_return.set(Some(revision));
        }
    }

    /// Takes over the configuration, unless a newer one is held.
    pub(crate) fn take_config(&self, value: Bytes, revision: StoreRevision) {
        let is_known = self.config.borrow().as_ref().is_some_and(|held| held.revision >= revision);
        if is_known {
            return;
        }
        match self.layout.parse_config(&value) {
            Ok(source) => self.gateway.set_table(RoutingTable::from(source)),
            Err(err) => {
                note(&Belief::ConfigRefused { revision: revision.0, reason: &err.to_string() })
            }
        }
        let changed = self.next_change();
        *self.config.borrow_mut() = Some(Held { value, revision, changed });
        self.changes.send_replace(changed);
    }

    /// Takes over an upstream's entry, unless a newer one is held.
    pub(crate) fn take_upstream(&self, key: &Arc<str>, value: Bytes, revision: StoreRevision) {
        let mut upstreams = self.upstreams.borrow_mut();
        let is_known = upstreams.get(key).is_some_and(|held| held.revision >= revision);
        if is_known || self.tombstones.borrow().covers(key, revision) {
            return;
        }
        self.lapsed.borrow_mut().remove(key);
        let Some(id) = self.upstream_id(key) else { return };
        let before = self.gateway.directory.get(&id).map(|up| up.entry.borrow().clone());
        match self.layout.parse_upstream(&id, &value) {
            Ok(entry) => self.gateway.directory.put(entry, revision),
            Err(err) => {
                note(&Belief::EntryRefused { key, reason: &err.to_string() });
                self.gateway.directory.remove(&id, revision);
            }
        }
        let after = self.gateway.directory.get(&id).map(|up| up.entry.borrow().clone());
        let known = upstreams.get(key).filter(|_| before == after);
        let changed = known.map_or_else(|| self.next_change(), |held| held.changed);
        upstreams.insert(key.clone(), Held { value, revision, changed });
        drop(upstreams);
        if changed > self.last_change() {
            self.changes.send_replace(changed);
        }
    }

    fn upstream_id(&self, key: &str) -> Option<UpstreamId> {
        let id = key.strip_prefix(self.layout.upstream_prefix())?;
        id.parse().map_err(|err| log::warn!("directory: {err}")).ok()
    }

    /// Removes an upstream, or waits whether it comes back after the store was away.
    pub(crate) fn drop_upstream(&self, key: &Arc<str>, revision: StoreRevision) {
        if self.may_come_back(revision) {
            self.lapsed.borrow_mut().insert(key.clone(), revision);
            return;
        }
        self.remove_upstream(key, revision);
    }

    /// Removes an upstream that is gone at a revision.
    pub(crate) fn remove_upstream(&self, key: &Arc<str>, revision: StoreRevision) {
        let is_newer =
            self.upstreams.borrow().get(key).is_some_and(|held| held.revision >= revision);
        if is_newer || self.tombstones.borrow().covers(key, revision) {
            return;
        }
        self.upstreams.borrow_mut().remove(key);
        let changed = self.next_change();
        self.tombstones.borrow_mut().put(key.clone(), Tombstone { revision, changed });
        if let Some(id) = self.upstream_id(key) {
            self.gateway.directory.remove(&id, revision);
        }
        self.changes.send_replace(changed);
    }

    /// Returns whether an entry is held, or newer than all that was read.
    ///
    /// Any other one was gone by then.
    pub(crate) fn may_hold(&self, key: &str, revision: StoreRevision) -> bool {
        revision > self.revision.get() || self.upstreams.borrow().contains_key(key)
    }

    /// Removes the upstreams that did not come back.
    fn drop_lapsed(&self) {
        if self.returned.get().is_some_and(|at| at.elapsed() < RETURN_GRACE) {
            return;
        }
        for (key, revision) in self.lapsed.take() {
            self.remove_upstream(&key, revision);
        }
    }

    /// Takes over a whole listing of upstreams.
    pub(crate) fn take_upstreams(&self, items: Vec<KeyValue>, revision: StoreRevision) {
        let listed: BTreeSet<_> = items.iter().map(|item| item.key.clone()).collect();
        for item in items {
            self.take_upstream(&item.key, item.value, item.revision);
        }
        let held: Vec<_> = self.upstreams.borrow().keys().cloned().collect();
        for key in held.iter().filter(|key| !listed.contains(*key)) {
            self.drop_upstream(key, revision);
        }
        self.read_up_to(revision);
        self.gateway.set_upstreams_known();
    }
}

/// Follows the operators' keys until the task is dropped.
pub(crate) async fn watch_config(view: Rc<StoreView>) {
    let mut after = None;
    let mut backoff = BACKOFF.0;
    loop {
        wait_for_turn(&view).await;
        let sent = Instant::now();
        match config_step(&view, after).await {
            Ok(revision) => {
                view.config_answered(sent);
                after = Some(revision);
                backoff = BACKOFF.0;
            }
            Err(StoreError::Compacted) => after = None,
            Err(err) => {
                view.failed(&view.config_calls, &err, sent);
                backoff = pause(backoff).await;
            }
        }
    }
}

/// Waits while another node's view is followed.
async fn wait_for_turn(view: &StoreView) {
    while view.is_following.get() {
        sleep(FOLLOW_LOOK).await;
    }
}

async fn config_step(
    view: &StoreView,
    after: Option<StoreRevision>,
) -> Result<StoreRevision, StoreError> {
    let prefix = view.layout.operator_prefix();
    let Some(after) = after else {
        let listing = view.store.list(prefix, Freshness::Linearizable).await?;
        for item in listing.items {
            if &*item.key == view.layout.config_key() {
                view.take_config(item.value, item.revision);
            }
        }
        return Ok(listing.revision);
    };
    let changes = view.store.watch(prefix, after, WATCH_WAIT).await?;
    for event in changes.events {
        if let StoreEvent::Written(item) = event
            && &*item.key == view.layout.config_key()
        {
            view.take_config(item.value, item.revision);
        }
    }
    Ok(changes.revision.max(after))
}

/// Follows the upstreams' keys until the task is dropped.
pub(crate) async fn watch_upstreams(view: Rc<StoreView>) {
    let mut after = None;
    let mut backoff = BACKOFF.0;
    loop {
        wait_for_turn(&view).await;
        let sent = Instant::now();
        match upstreams_step(&view, after, sent).await {
            Ok(revision) => {
                after = Some(revision);
                backoff = BACKOFF.0;
                sleep(GATHER).await;
            }
            Err(StoreError::Compacted) => after = None,
            Err(err) => {
                view.failed(&view.upstream_calls, &err, sent);
                backoff = pause(backoff).await;
                // What happened meanwhile may be missing in the history.
                if backoff == BACKOFF.1 {
                    after = None;
                }
            }
        }
    }
}

async fn upstreams_step(
    view: &StoreView,
    after: Option<StoreRevision>,
    sent: Instant,
) -> Result<StoreRevision, StoreError> {
    let prefix = view.layout.upstream_prefix();
    let Some(after) = after else {
        let listing = view.store.list(prefix, Freshness::Linearizable).await?;
        view.upstreams_answered(sent);
        view.take_upstreams(listing.items, listing.revision);
        return Ok(listing.revision);
    };
    let changes = view.store.watch(prefix, after, WATCH_WAIT).await?;
    view.upstreams_answered(sent);
    for event in changes.events {
        match event {
            StoreEvent::Written(item) => view.take_upstream(&item.key, item.value, item.revision),
            StoreEvent::Deleted { key, revision } => view.drop_upstream(&key, revision),
        }
    }
    view.read_up_to(changes.revision);
    Ok(changes.revision.max(after))
}

/// Removes lapsed entries in time, until the task is dropped.
pub(crate) async fn remove_expired_entries(view: Rc<StoreView>) {
    loop {
        sleep(LAPSE_INTERVAL).await;
        view.drop_lapsed();
    }
}

async fn pause(backoff: Duration) -> Duration {
    sleep(backoff.mul_f64(0.5 + rand::random::<f64>())).await;
    (backoff * 2).min(BACKOFF.1)
}
