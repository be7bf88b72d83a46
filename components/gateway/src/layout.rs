//! Keys and value formats of the store's entries that operators and upstreams write.

use lycheelatch_prelude::{InvalidValue, UpstreamId};

use crate::{TableSource, UpstreamEntry};

/// Keys and value formats of the entries that operators and upstreams write to the store.
pub trait StoreLayout {
    /// Returns the key of the configuration.
    fn config_key(&self) -> &'static str;

    /// Returns the prefix of the keys that operators write.
    fn operator_prefix(&self) -> &'static str;

    /// Returns the prefix of the keys that upstreams write.
    fn upstream_prefix(&self) -> &'static str;

    /// Parses a configuration.
    fn parse_config(&self, value: &[u8]) -> Result<TableSource, InvalidValue>;

    /// Parses an upstream's entry.
    fn parse_upstream(&self, id: &UpstreamId, value: &[u8]) -> Result<UpstreamEntry, InvalidValue>;
}

/// Prefix of the keys that the gateway nodes write.
pub(crate) const OWN_PREFIX: &str = "lycheelatch/";
