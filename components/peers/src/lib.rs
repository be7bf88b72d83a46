//! Communication between nodes: membership, broadcasts and calls.
//!
//! [`PeerLink`] is the public interface. A component that exchanges messages
//! with the same component on other nodes chooses a [`Topic`], encodes its own
//! wire types and registers a [`PeerHandler`]. [`QuicLink`] implements the
//! interface over QUIC and runs the [`Membership`] state machine.

mod authority;
mod config;
mod config_replication;
mod link;
mod member;
mod membership;
mod metrics;
mod overlay;
mod quic;
mod seeds;
mod tls;

pub use authority::{AuthorityError, CertificateAuthority, IssuedCertificate};
pub use config::{IdentityCheck, PeersConfig, Pem, TlsFiles};
pub use config_replication::{ConfigReplicator, watchers};
pub use link::{PeerError, PeerHandler, PeerLink, Topic};
pub use member::{Member, MemberState, Members};
pub use membership::{
    Destination, MemberDigest, MemberRecord, Membership, Message, MessageBody, Outgoing,
    TICK_INTERVAL, Update,
};
pub use metrics::PeerMetrics;
pub use quic::{QuicLink, StartError};
pub use seeds::{InstanceListSeeds, KvSeeds, SeedDiscovery, SeedError, SeedSource};
pub use tls::TlsError;
