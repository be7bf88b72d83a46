//! Links over real QUIC on loopback.

mod common;
mod link;
mod relay;
mod seeds;
mod silent;
