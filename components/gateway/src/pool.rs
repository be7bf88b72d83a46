//! Idle connections to one upstream.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use tokio::time::Instant;

use crate::connection::{Connection, ExchangeError};

/// Idle time after which a connection is not used again, where the upstream announces none.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Part of the announced idle time for which a connection is used.
const ANNOUNCED_SHARE: f64 = 0.6;

/// Idle time after which a connection carries no request that can't be repeated.
const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_millis(1500);

/// Most idle connections that are kept.
const MAX_KEPT: usize = 64;

/// Time within which a connection must open.
const OPEN_TIMEOUT: Duration = Duration::from_millis(250);

/// Idle connections to one upstream, the last used first.
#[derive(Default)]
pub(crate) struct Pool {
    idle: RefCell<Vec<Connection>>,
}

impl Pool {
    /// Returns an idle connection that is still good, or a new one.
    pub(crate) async fn take(
        &self,
        address: SocketAddr,
        may_repeat: bool,
    ) -> Result<Connection, ExchangeError> {
        if let Some(connection) = self.take_idle(may_repeat) {
            return Ok(connection);
        }
        Connection::open(address, OPEN_TIMEOUT).await
    }

    fn take_idle(&self, may_repeat: bool) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        while let Some(mut connection) = idle.pop() {
            let age = now.duration_since(connection.idle_since);
            if age > max_idle(&connection) {
                idle.clear();
                return None;
            }
            if !may_repeat && age > MAX_IDLE_AT_MOST_ONCE {
                idle.push(connection);
                return None;
            }
            if connection.is_alive() {
                connection.is_reused = true;
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection that is clean.
    pub(crate) fn put(&self, mut connection: Connection) {
        if !connection.is_reusable() {
            return;
        }
        connection.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_KEPT {
            idle.push(connection);
        }
    }

    /// Closes every idle connection.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

fn max_idle(connection: &Connection) -> Duration {
    connection.keep_alive().map_or(MAX_IDLE, |announced| announced.mul_f64(ANNOUNCED_SHARE))
}
