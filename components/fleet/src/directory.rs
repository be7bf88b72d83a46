//! The runners that this node knows, as the parts of the fleet need them.

use std::sync::Arc;

use lycheelatch_prelude::{InstanceId, ServiceName, UpstreamId, ZoneName};
use lycheelatch_upstream::Engine;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{LeavingInstances, Receiver};

/// Most receivers among which the streams of one runner are spread.
const MAX_RECEIVERS: usize = 32;

/// One runner with its room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Runner {
    /// Identity of the runner.
    pub upstream: UpstreamId,
    /// Instance that it runs on.
    pub instance: InstanceId,
    /// Availability zone it runs in.
    pub zone: ZoneName,
    /// Tokens of KV cache that are free.
    pub room_tokens: u64,
    /// Streams that it can take beside its own.
    pub room_streams: u32,
    /// Prompt tokens that it computes a second.
    pub prefill_tokens_per_second: u64,
    /// Rate at which it exports KV cache, in bytes a second.
    pub export_bytes_per_second: u64,
}

/// Gives access to the runners.
pub trait EngineDirectory: Send + Sync {
    /// Returns the engine of a runner.
    fn engine(&self, upstream: &UpstreamId) -> Option<Arc<dyn Engine>>;

    /// Returns the runners of a service, leaving ones included.
    fn runners(&self, service: &ServiceName) -> Vec<Runner>;
}

/// Returns the receivers for the streams of a leaving runner, with its share of their room.
///
/// Other leaving runners of the service plan at the same time without asking:
/// each takes a subset by rendezvous hashing and a share of the room there.
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
    staying.into_iter().map(|runner| share_of(runner, sharers)).collect()
}

fn share_of(runner: &Runner, sharers: usize) -> Receiver {
    let streams = u32::try_from(sharers).unwrap_or(u32::MAX);
    Receiver {
        id: runner.upstream.clone(),
        zone: runner.zone.clone(),
        room_tokens: runner.room_tokens / sharers as u64,
        room_streams: runner.room_streams / streams,
        prefill_tokens_per_second: runner.prefill_tokens_per_second / sharers as u64,
    }
}
