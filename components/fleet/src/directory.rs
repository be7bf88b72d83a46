//! Access to the runners known to this node.

use std::sync::Arc;

use lycheelatch_prelude::{InstanceId, ServiceName, UpstreamId, ZoneName};
use lycheelatch_upstream::Engine;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{LeavingInstances, Receiver};

/// Maximum number of receivers for the streams of one runner.
const MAX_RECEIVERS: usize = 32;

/// A runner and its free capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Runner {
    /// Identity of the runner.
    pub upstream: UpstreamId,
    /// Instance on which it runs.
    pub instance: InstanceId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Free KV cache capacity, in tokens.
    pub room_tokens: u64,
    /// Number of additional streams that it can accept.
    pub room_streams: u32,
    /// Prefill rate, in prompt tokens per second.
    pub prefill_tokens_per_second: u64,
    /// KV cache export rate, in bytes per second.
    pub export_bytes_per_second: u64,
}

/// Looks up runners and their engines.
pub trait EngineDirectory: Send + Sync {
    /// Returns the engine of a runner, if known.
    fn engine(&self, upstream: &UpstreamId) -> Option<Arc<dyn Engine>>;

    /// Returns the runners of a service, including leaving ones.
    fn runners(&self, service: &ServiceName) -> Vec<Runner>;
}

/// Returns the receivers for the streams of a leaving runner, with its share of their capacity.
///
/// Other leaving runners of the service are planned at the same time without coordination: each
/// uses a subset of the receivers, selected by rendezvous hashing, and a share of their capacity.
pub fn receivers_for(
    from: &InstanceId,
    runners: &[Runner],
    leaving: &LeavingInstances,
) -> Vec<Receiver> {
    let (gone, mut staying): (Vec<_>, Vec<_>) =
        runners.iter().partition(|runner| leaving.is_leaving(&runner.instance));
    let seed = xxh3_64_with_seed(from.as_str().as_bytes(), 0);
    staying.sort_by_key(|runner| xxh3_64_with_seed(runner.upstream.as_str().as_bytes(), seed));
    let survivors = staying.len().max(1);
    staying.truncate(MAX_RECEIVERS);
    let sharers = (gone.len().max(1) * staying.len()).div_ceil(survivors).max(1);
    staying.into_iter().map(|runner| receiver_share(runner, sharers)).collect()
}

fn receiver_share(runner: &Runner, sharers: usize) -> Receiver {
    let streams = u32::try_from(sharers).unwrap_or(u32::MAX);
    Receiver {
        id: runner.upstream.clone(),
        zone: runner.zone.clone(),
        room_tokens: runner.room_tokens / sharers as u64,
        room_streams: runner.room_streams / streams,
        prefill_tokens_per_second: runner.prefill_tokens_per_second / sharers as u64,
    }
}
