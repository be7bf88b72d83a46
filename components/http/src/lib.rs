//! HTTP client of each thread, with failures that say whether a request may have arrived.
//!
//! The client holds its connections for one thread. A connection goes back to
//! the pool only after the whole answer was read: dropping an answer early
//! closes its connection, so that a late answer can't reach another request.

mod client;
mod failure;
mod transport;

pub use client::{MAX_CONNECTIONS_PER_HOST, client, read_body, read_json, send, send_sized};
pub use failure::SendFailure;
