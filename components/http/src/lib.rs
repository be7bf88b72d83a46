//! Per-thread HTTP client whose errors state whether a request may have arrived.
//!
//! Connections are pooled per thread. A connection returns to the pool only
//! after its response was read completely: dropping a response early closes the
//! connection, so that late data can't be read as the response to another request.

mod client;
mod failure;
mod transport;

pub use client::{
    MAX_CONNECTIONS_PER_HOST, build_client, client, read_body, read_json, send, send_sized,
};
pub use failure::SendFailure;
pub use transport::SocketSetup;
