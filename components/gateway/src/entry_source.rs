//! Where entries of the store are read.

use std::net::SocketAddr;

use serde::Serialize;

/// Where an entry of the store was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum EntrySource {
    /// The store itself.
    Store,
    /// The view of the node at this address.
    Node(SocketAddr),
}
