//! Keys and value formats of the store's entries that operators and upstreams write.

use bytes::Bytes;
use lycheelatch_prelude::{InvalidValue, ServiceName, UpstreamId};

use crate::{RolloutOrder, RolloutStatus, TableSource, UpstreamEntry};

/// Keys and value formats of the entries that operators and upstreams write to the store.
pub trait StoreLayout {
    /// Returns the key of the configuration.
    fn config_key(&self) -> &'static str;

    /// Returns the prefix of the keys that operators write.
    fn operator_prefix(&self) -> &'static str;

    /// Returns the prefix of the keys that upstreams write.
    fn upstream_prefix(&self) -> &'static str;

    /// Returns the prefix of the orders of roll-outs; the service's name follows.
    fn rollout_prefix(&self) -> &'static str;

    /// Returns the prefix of the roll-outs' statuses; the service's name follows.
    fn rollout_status_prefix(&self) -> &'static str;

    /// Parses a configuration.
    fn parse_config(&self, value: &[u8]) -> Result<TableSource, InvalidValue>;

    /// Parses an upstream's entry.
    fn parse_upstream(&self, id: &UpstreamId, value: &[u8]) -> Result<UpstreamEntry, InvalidValue>;

    /// Parses the order of a service's roll-out.
    fn parse_rollout(
        &self,
        service: &ServiceName,
        value: &[u8],
    ) -> Result<RolloutOrder, InvalidValue>;

    /// Parses the status of a roll-out.
    fn parse_rollout_status(&self, value: &[u8]) -> Result<RolloutStatus, InvalidValue>;

    /// Encodes the status of a roll-out.
    fn encode_rollout_status(&self, status: &RolloutStatus) -> Bytes;
}

/// Prefix of the keys that the gateway nodes write.
pub(crate) const OWN_PREFIX: &str = "lycheelatch/";
