//! At-most-once execution of requests that carry an idempotency key.
//!
//! A request is claimed by compare-and-swap before its first attempt and
//! settled after it. Claims are spread over shards by the digest of their key;
//! each shard is one small value of the key-value service with older records
//! in immutable segments beside it. Claims that come in together are committed
//! in one write. Nodes send theirs to one node a shard so that the writes grow
//! with the shards and not with the nodes; nothing but the number of writes
//! depends on the nodes' agreeing which one that is.

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
