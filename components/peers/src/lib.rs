//! Links between nodes: membership, spread and calls.
//!
//! [`PeerLink`] is the border. Parts that talk to their like on other nodes
//! pick a [`Topic`], encode their own wire types, and register a
//! [`PeerHandler`]. [`QuicLink`] is the link over QUIC, with the
//! [`Membership`] state machine in it.

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
