//! Links over QUIC on the loopback interface.

mod common;
mod link;
mod relay;
mod seeds;
mod silent;
