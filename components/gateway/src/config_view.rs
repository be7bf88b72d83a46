//! Applies the store's entry of the configuration.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::Serialize;

use crate::{
    RoutingTable, StoreRevision,
    decision::{NodeEvent, log_event, millis},
    sync::{CachedEntry, StoreView},
};

/// Where an entry of the store was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum EntrySource {
    /// The store itself.
    Store,
    /// The view of the node at this address.
    Node(SocketAddr),
}

impl StoreView {
    /// Applies a configuration, unless the cached one is at least as new.
    pub(crate) fn apply_config(&self, value: Bytes, revision: StoreRevision, source: EntrySource) {
        let cached_revision = self.config.borrow().as_ref().map(|cached| cached.revision);
        if let Some(cached) = cached_revision
            && cached >= revision
        {
            if cached > revision {
                log_event(&NodeEvent::ConfigSkipped {
                    source,
                    revision: revision.0,
                    cached_revision: cached.0,
                });
            }
            return;
        }
        match self.layout.parse_config(&value) {
            Ok(parsed) => self.put_in_force(RoutingTable::from(parsed), revision, source),
            Err(err) => log_event(&NodeEvent::ConfigRejected {
                source,
                revision: revision.0,
                reason: &err.to_string(),
            }),
        }
        let changed = self.next_change();
        *self.config.borrow_mut() = Some(CachedEntry { value, revision, changed });
        self.announce_change(changed);
    }

    fn put_in_force(&self, table: RoutingTable, revision: StoreRevision, source: EntrySource) {
        let version = table.version;
        if self.gateway.set_table(table) {
            log_event(&NodeEvent::ConfigApplied {
                version,
                source,
                revision: revision.0,
                age_ms: millis(self.age()),
            });
        }
    }
}
