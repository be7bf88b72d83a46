//! At-most-once execution of requests that carry an idempotency key.
//!
//! A request is claimed by compare-and-swap before its first attempt and
//! settled once its outcome is known. Claims are sharded by the digest of their key.
//! Each shard consists of one small value in the key-value service, the head,
//! and immutable segments with older records. Concurrent claims on a shard are
//! batched into one write. Nodes forward operations to the owner of the shard,
//! so that the write rate depends on the number of shards instead of the number
//! of nodes. Correctness doesn't require nodes to agree on the owner: if they
//! disagree, only the number of writes rises.

mod clock;
mod commit;
mod config;
mod forward;
mod jitter;
mod ops;
mod queue;
mod record;
mod service;
mod shard;
mod types;
mod wire;

pub use clock::{UnixMillis, WallClock};
pub use config::ClaimsConfig;
pub use service::Claims;
pub use types::{
    BODY_NOT_KEPT_HEADER, BodyDigest, BodyHasher, ClaimDecision, ClaimError, ClaimTicket,
    Settlement, StoredResponse,
};
