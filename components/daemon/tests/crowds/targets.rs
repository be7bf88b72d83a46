//! Where a crowd sends its requests.

use std::net::SocketAddr;

use lycheelatch_fakes::entry::{API_KEY, request};

use crate::node::Bed;

/// Deadline of requests, in milliseconds: longer than a test holds its crowd.
const DEADLINE_MS: &str = "20000";

/// A listener of a node and a path there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Target {
    Route,
    UnknownRoute,
    UnknownKey,
    Readiness,
    Peers,
    Metrics,
}

impl Target {
    pub(crate) const ALL: &[Target] = &[
        Target::Route,
        Target::UnknownRoute,
        Target::UnknownKey,
        Target::Readiness,
        Target::Peers,
        Target::Metrics,
    ];

    pub(crate) const WITHOUT_UPSTREAM: &[Target] = &[
        Target::UnknownRoute,
        Target::UnknownKey,
        Target::Readiness,
        Target::Peers,
        Target::Metrics,
    ];

    pub(crate) fn address(self, bed: &Bed) -> SocketAddr {
        match self {
            Target::Route | Target::UnknownRoute | Target::UnknownKey => bed.callers,
            Target::Readiness => bed.readiness,
            Target::Peers => bed.peers,
            Target::Metrics => bed.metrics,
        }
    }

    fn path(self) -> &'static str {
        match self {
            Target::Route | Target::UnknownKey => "/once/",
            Target::UnknownRoute => "/unknown/",
            Target::Readiness => "/",
            Target::Peers => "/view",
            Target::Metrics => "/metrics",
        }
    }

    /// Returns the head of a request with further header lines, without the empty line after it.
    pub(crate) fn head(self, method: &str, id: &str, framing: &str) -> String {
        let text = request(method, self.path(), id, "", "");
        let text = text.replace("3000", DEADLINE_MS).replace("Content-Length: 0\r\n", framing);
        let text = text.strip_suffix("\r\n").unwrap_or(&text).to_owned();
        match self {
            Target::UnknownKey => text.replace(API_KEY, "another-key"),
            _ => text,
        }
    }
}
