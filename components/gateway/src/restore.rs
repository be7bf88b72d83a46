//! Entries of a store that came back from a copy.
//!
//! The copy lacks the last seconds: it may hold an upstream that has left since, or lack one that
//! is in use. Writers write again what was lost, within `SETTLE_TIME`; until then what this node
//! knows from before goes before what the copy may have held.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    KeyValue, StoreEra, StoreRevision, UpstreamEntry, event_log::log_event, node_event::NodeEvent,
    sync::StoreView,
};

/// Time within which upstreams write their entries again, and entries of those that left end.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Boundary between what the copy may have held and what was written since.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Restore {
    /// Era of what was known before.
    before: StoreEra,
    /// First revision that was read in the new era.
    first_read: StoreRevision,
    noticed_at: Instant,
}

impl Restore {
    /// Returns whether an entry may have been in the copy.
    fn may_be_copied(&self, revision: StoreRevision) -> bool {
        revision.era == self.first_read.era && revision.number <= self.first_read.number
    }
}

impl StoreView {
    /// Takes note of a later era than that of what was read before.
    pub(crate) fn note_era(&self, revision: StoreRevision) {
        let known = self.revision.get();
        let unsettled = self.restore.get();
        let noted = unsettled.map_or(known.era, |restore| restore.first_read.era);
        if revision.era <= noted || known == StoreRevision::ABSENT {
            return;
        }
        log_event(&NodeEvent::StoreRestored {
            at: revision.into(),
            before_era: known.era.0,
            before_revision: known.number,
        });
        let now = Instant::now();
        // Until a restore has settled, what was known before it still goes before.
        let before = unsettled.map_or(known.era, |restore| restore.before);
        let restore = Restore { before, first_read: revision, noticed_at: now };
        self.gateway.store_era.set(Some(revision.era));
        self.restore.set(Some(restore));
        self.await_registrations(now);
    }

    /// Returns whether the entries have to be read again, as their writers had the time to write
    /// them since the store came back from a copy; once for each time that it did.
    pub(crate) fn take_settled(&self) -> bool {
        let restore = self.restore.get();
        let is_settled = restore.is_some_and(|it| it.noticed_at.elapsed() >= SETTLE_TIME);
        if is_settled {
            self.restore.set(None);
        }
        is_settled
    }

    /// Applies a complete listing of the upstreams that the store returned.
    pub(crate) fn apply_store_listing(&self, mut items: Vec<KeyValue>, revision: StoreRevision) {
        if let Some(restore) = self.restore.get() {
            for item in &mut items {
                item.revision = self.revision_of_listed(item, &restore);
                if restore.may_be_copied(item.created) {
                    item.created.era = restore.before;
                }
            }
            // What was known before, and is no longer, was deleted before.
            items.retain(|item| {
                item.revision.era > restore.before || self.is_current(&item.key, item.revision)
            });
        }
        self.apply_listing(items, revision);
    }

    /// Applies a complete listing of the orders of roll-outs that the store returned.
    pub(crate) fn apply_store_orders(&self, mut items: Vec<KeyValue>, revision: StoreRevision) {
        if let Some(restore) = self.restore.get() {
            for item in items.iter_mut().filter(|item| restore.may_be_copied(item.revision)) {
                item.revision.era = restore.before;
            }
        }
        self.apply_rollout_listing(self.layout.rollout_prefix(), items, revision);
    }

    /// Returns the revision by which a listed entry is compared with what is known of its key.
    ///
    /// An entry that the copy may have held counts as written before the restore, unless it shows
    /// itself that it is later.
    fn revision_of_listed(&self, item: &KeyValue, restore: &Restore) -> StoreRevision {
        if !restore.may_be_copied(item.revision) || self.is_later_than_known(item) {
            return item.revision;
        }
        StoreRevision::new(restore.before, item.revision.number)
    }

    /// Returns whether an entry is of a later incarnation than the known one, or says first that
    /// this incarnation drains.
    fn is_later_than_known(&self, item: &KeyValue) -> bool {
        let Some(id) = self.upstream_id(&item.key) else { return false };
        let Some(known) = self.gateway.directory.get(&id) else { return false };
        let known = known.entry.borrow();
        let parsed = self.layout.parse_upstream(&id, &item.value);
        parsed.is_ok_and(|entry| is_later(&entry, &known))
    }
}

fn is_later(entry: &UpstreamEntry, known: &UpstreamEntry) -> bool {
    let is_same = entry.started_at_ms == known.started_at_ms && entry.address == known.address;
    entry.started_at_ms > known.started_at_ms || is_same && known.is_ready && !entry.is_ready
}
