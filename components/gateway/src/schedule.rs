//! How often nodes tell each other their state.

use std::time::Duration;

/// Time between two datagrams to each node of a small cluster.
pub(crate) const INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of nodes in the own availability zone that get a datagram in one round.
pub(crate) const MAX_SAME_ZONE_PER_ROUND: usize = 24;

/// Maximum number of nodes in other availability zones that get a datagram in one round.
pub(crate) const MAX_OTHER_ZONES_PER_ROUND: usize = 12;

/// Rounds between two complete digests to a leader in another availability zone.
pub(crate) const LEADER_ROUNDS: u64 = 5;

/// Time between two complete digests to a leader in another availability zone.
pub(crate) const LEADER_INTERVAL: Duration = INTERVAL.saturating_mul(LEADER_ROUNDS as u32);

/// Returns the time between two datagrams from a node of another availability zone.
pub(crate) fn cross_zone_interval(other_nodes: usize) -> Duration {
    let rounds = other_nodes.div_ceil(MAX_OTHER_ZONES_PER_ROUND).max(1);
    INTERVAL * u32::try_from(rounds).unwrap_or(u32::MAX)
}
