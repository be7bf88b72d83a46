//! Pool of idle connections to an upstream.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use tokio::time::Instant;

use crate::{
    connection::{Connection, ExchangeError},
    connections_in_use::{ConnectionCounts, InUse},
};

/// Idle time after which a connection is not reused, if the upstream announces no timeout.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Share of the announced idle timeout within which a connection is reused.
const ANNOUNCED_SHARE: f64 = 0.6;

/// Idle time after which a connection is not reused for requests that must not run twice,
/// since it is unknown whether a request ran if the connection fails after sending.
const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_millis(1500);

/// Maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Timeout for opening a connection.
const OPEN_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after its last use in which an idle connection is taken to have been open.
const RECENTLY_USED: Duration = Duration::from_secs(2);

/// Pool of idle connections to an upstream; the most recently used one is reused first.
#[derive(Default)]
pub(crate) struct Pool {
    idle: RefCell<Vec<Connection>>,
    in_use: InUse,
}

impl Pool {
    /// Returns a usable idle connection, or opens a new one.
    pub(crate) async fn take(
        &self,
        address: SocketAddr,
        may_repeat: bool,
    ) -> Result<Connection, ExchangeError> {
        let mut connection = match self.take_idle(may_repeat) {
            Some(connection) => connection,
            None => Connection::open(address, OPEN_TIMEOUT).await?,
        };
        connection.in_use = Some(self.in_use.add(connection.opened_at));
        Ok(connection)
    }

    /// Returns the number of connections in use that were opened before `time`.
    pub(crate) fn in_use_before(&self, time: Instant) -> usize {
        self.in_use.opened_before(time)
    }

    /// Counts the idle connections that were opened before `time`, and closes those that have ended.
    pub(crate) fn idle_before(&self, time: Instant) -> ConnectionCounts {
        let mut counts = ConnectionCounts::default();
        self.idle.borrow_mut().retain(|connection| {
            let is_alive = connection.is_alive();
            let is_older = connection.opened_at < time;
            let is_recent = connection.idle_since + RECENTLY_USED > time;
            counts.open += usize::from(is_older && is_alive);
            counts.ended += usize::from(is_older && !is_alive && is_recent);
            is_alive
        });
        counts
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

    /// Returns a connection to the pool, or closes it if it can't be reused.
    pub(crate) fn put(&self, mut connection: Connection) {
        connection.in_use = None;
        if !connection.is_reusable() {
            return;
        }
        connection.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

fn max_idle(connection: &Connection) -> Duration {
    connection.keep_alive().map_or(MAX_IDLE, |announced| announced.mul_f64(ANNOUNCED_SHARE))
}
