//! Links between nodes: membership, spread and calls.
//!
//! [`PeerLink`] is the border. Parts that talk to their like on other nodes
//! pick a [`Topic`], encode their own wire types, and register a
//! [`PeerHandler`].

mod link;
mod member;

pub use link::{PeerError, PeerHandler, PeerLink, Topic};
pub use member::{Member, MemberState, Members};
