//! Refuses upstream entries whose address belongs to a node or to the platform.
//!
//! Requests that are sent there would come back as those of a caller, or change the platform.

use std::net::SocketAddr;

use lycheelatch_prelude::InvalidValue;

use crate::{Gateway, UpstreamEntry, event_log::log_event, node_event::NodeEvent};

/// Why an address is refused.
const TAKEN: &str = "belongs to a node or to the platform";

impl Gateway {
    /// Returns an entry if its address may be an upstream's.
    pub(crate) fn check_entry(&self, entry: UpstreamEntry) -> Result<UpstreamEntry, InvalidValue> {
        let known = self.directory.get(&entry.id);
        let is_unchanged = known.is_some_and(|up| up.entry.borrow().address == entry.address);
        if !is_unchanged && self.is_taken(entry.address) {
            return Err(InvalidValue::new("address", &entry.address.to_string(), TAKEN));
        }
        Ok(entry)
    }

    /// Removes the upstreams at addresses of nodes that were not known when their entries came.
    pub(crate) fn remove_at_taken_addresses(&self) {
        for id in self.directory.remove_at(|address| self.is_taken(address)) {
            let reason = format!("address: {TAKEN}");
            log_event(&NodeEvent::EntryRejected { key: id.as_str(), reason: &reason });
        }
    }

    /// Returns whether an address belongs to this node, to another node or to the platform.
    fn is_taken(&self, address: SocketAddr) -> bool {
        let settings = &self.settings;
        let own = [settings.callers, settings.readiness, settings.peers, settings.metrics];
        let platform = [settings.store, settings.platform_api];
        if own.contains(&address) || platform.contains(&address) {
            return true;
        }
        // All nodes use the same ports.
        let is_node_port = own.iter().any(|own| own.port() == address.port());
        self.peers.borrow().has_address(address, is_node_port)
    }
}
