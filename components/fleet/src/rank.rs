//! Selects the nodes that try to acquire the lease of a service shard.

use lycheelatch_peers::Members;
use lycheelatch_prelude::{NodeId, ServiceName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of nodes that try to acquire the lease of one service shard.
const CANDIDATES_PER_SHARD: usize = 2;

/// Returns whether `node` is a candidate for the lease of the service's shard.
pub fn is_candidate(node: &NodeId, service: &ServiceName, members: &Members) -> bool {
    let seed = xxh3_64_with_seed(service.as_str().as_bytes(), 0);
    let rank = |id: &NodeId| xxh3_64_with_seed(id.as_str().as_bytes(), seed);
    let own = rank(node);
    let others = members.usable().filter(|member| member.id != *node);
    others.filter(|member| rank(&member.id) > own).count() < CANDIDATES_PER_SHARD
}
