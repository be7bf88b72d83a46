//! Applies the store's entry of the configuration.

use bytes::Bytes;
use lycheelatch_prelude::InvalidValue;

use crate::{
    RoutingTable, StoreRevision, TableSource,
    entry_source::EntrySource,
    event_log::{log_event, millis},
    node_event::{NodeEvent, RevisionLine},
    sync::{CachedEntry, StoreView},
};

impl StoreView {
    /// Applies a configuration, unless the one in force has the same or a higher version.
    ///
    /// The version decides, not the revision: the store may come back from a copy with an older
    /// configuration, and one that is invalid takes no place.
    pub(crate) fn apply_config(&self, value: Bytes, revision: StoreRevision, source: EntrySource) {
        if self.config.borrow().as_ref().is_some_and(|cached| cached.value == value) {
            return;
        }
        match self.layout.parse_config(&value) {
            Ok(parsed) => self.put_in_force(parsed, value, revision, source),
            Err(err) => self.log_rejected_config(&err, revision, source),
        }
    }

    fn put_in_force(
        &self,
        parsed: TableSource,
        value: Bytes,
        revision: StoreRevision,
        source: EntrySource,
    ) {
        let version = parsed.version;
        let at = RevisionLine::from(revision);
        if !self.gateway.set_table(RoutingTable::from(parsed)) {
            let in_force = self.gateway.table().map_or(0, |table| table.version);
            log_event(&NodeEvent::ConfigSkipped { version, in_force, source, at });
            return;
        }
        log_event(&NodeEvent::ConfigApplied { version, source, at, age_ms: millis(self.age()) });
        let changed = self.next_change();
        *self.config.borrow_mut() =
            Some(CachedEntry { value, revision, created: revision, changed });
        self.announce_change(changed);
    }

    /// Logs why a configuration is refused, once for each revision.
    fn log_rejected_config(
        &self,
        err: &InvalidValue,
        revision: StoreRevision,
        source: EntrySource,
    ) {
        if self.rejected_config.replace(Some(revision)) != Some(revision) {
            let reason = &err.to_string();
            log_event(&NodeEvent::ConfigRejected { source, at: revision.into(), reason });
        }
    }
}
