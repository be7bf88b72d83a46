//! Limits how often the same state is sent to a node that seems to lack it.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tokio::time::Instant;

/// Minimum time between two copies of the state to one node.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// When a state was last sent to each node.
#[derive(Debug, Default)]
pub(crate) struct ResendTimes {
    sent: HashMap<SocketAddr, Instant>,
}

impl ResendTimes {
    /// Returns whether the state may be sent to a node now, and if so records that it is.
    pub(crate) fn try_send(&mut self, to: SocketAddr, now: Instant) -> bool {
        self.sent.retain(|_, at| now.saturating_duration_since(*at) < RESEND_INTERVAL);
        if self.sent.contains_key(&to) {
            return false;
        }
        self.sent.insert(to, now);
        true
    }
}
