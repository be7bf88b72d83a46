//! Fakes of the users' platform on loopback: store, duty calls and upstreams, and an HTTP client.

mod behavior;
mod client;
mod crash;
mod documents;
mod process;
mod response_text;
mod store;
mod upstream;

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

pub use behavior::Behavior;
pub use client::{Response, call, closes_within, prompt_headers, read_response, request, send_raw};
pub use crash::{Crash, CrashEnd, CrashPoint, CrashRule, CrashSignal};
pub use documents::{WorkspaceLimit, config_document, upstream_entry};
pub use process::{ListenerOwner, UpstreamProcess, serve_as_process};
pub use response_text::echo_event;
pub use store::{DutyCall, FakeStore, StoreCopy, StoreMode};
pub use upstream::{ECHO_EVENTS, ExecutedRequest, ReceivedRequest, ScriptedUpstream};

/// Time limit for a response.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// API key of the only workspace.
pub const API_KEY: &str = "key-1";

/// Returns a loopback address with port 0, for which the operating system assigns a port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
