//! Stand-ins of the users' platform on loopback: store and duty calls, runners, callers.

mod caller;
mod documents;
mod runner;
mod store;

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

pub use caller::{Answer, call, call_raw, ends_within, read_answer, request};
pub use documents::{WorkspaceLimit, document, entry};
pub use runner::{AUTO_EVENTS, Act, Ran, Runner, Seen, auto_event};
pub use store::{DutyCall, Mode, StandInStore};

/// Time within which an answer must come.
pub const SOON: Duration = Duration::from_secs(10);

/// Key of the only workspace.
pub const KEY: &str = "key-1";

/// Returns an address whose port the operating system chooses.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
