//! Where the store keeps what operators and upstreams write, and how it reads.

use lycheelatch_prelude::{InvalidValue, UpstreamId};

use crate::{TableSource, UpstreamEntry};

/// Keys and values that others write to the store.
pub trait StoreLayout {
    /// Returns the key of the configuration.
    fn config_key(&self) -> &'static str;

    /// Returns the prefix of the operators' keys.
    fn operator_prefix(&self) -> &'static str;

    /// Returns the prefix of the upstreams' keys.
    fn upstream_prefix(&self) -> &'static str;

    /// Reads a configuration.
    fn parse_config(&self, value: &[u8]) -> Result<TableSource, InvalidValue>;

    /// Reads an upstream's entry.
    fn parse_upstream(&self, id: &UpstreamId, value: &[u8]) -> Result<UpstreamEntry, InvalidValue>;
}

/// Prefix of the keys that this system writes.
pub(crate) const OWN_PREFIX: &str = "lycheelatch/";
