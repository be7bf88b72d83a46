//! Connections to peers, established on demand and replaced when nothing is received on them.

use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use lycheelatch_prelude::NodeId;
use quinn::{Connection, Endpoint, VarInt};
use tokio::time::{Instant, timeout};

use super::{
    Shared,
    wire::{Hello, MAX_HEADER_BYTES, Request, decode, encode},
};
use crate::PeerError;

/// Timeout of a handshake, including the exchange of [`Hello`].
pub(crate) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a received datagram after which a connection is checked before it is used.
const MAX_UNCHECKED_IDLE: Duration = Duration::from_secs(10);
/// Timeout of the check whether a connection works.
const ECHO_TIMEOUT: Duration = Duration::from_millis(400);
/// QUIC application error code for connections closed because the peer's identity was rejected.
const CODE_IDENTITY_REJECTED: u32 = 1;

/// A connection to a peer.
#[derive(Clone)]
pub(crate) struct PeerConnection {
    pub(crate) conn: Connection,
    last_received: Arc<Mutex<LastReceived>>,
}

/// Number of datagrams received on a connection, and when a check first saw this number.
struct LastReceived {
    datagrams: u64,
    at: Instant,
}

impl PeerConnection {
    fn new(conn: Connection) -> PeerConnection {
        let datagrams = conn.stats().udp_rx.datagrams;
        let last_received = LastReceived { datagrams, at: Instant::now() };
        PeerConnection { conn, last_received: Arc::new(Mutex::new(last_received)) }
    }

    /// Returns whether the connection is open.
    fn is_open(&self) -> bool {
        self.conn.close_reason().is_none()
    }

    /// Returns the number of datagrams received so far.
    pub(crate) fn received(&self) -> u64 {
        self.conn.stats().udp_rx.datagrams
    }

    /// Returns whether a datagram arrived so recently that the connection probably works.
    pub(crate) fn is_recently_active(&self) -> bool {
        self.idle_time() < MAX_UNCHECKED_IDLE
    }

    /// Returns the time since the last check that saw a new datagram.
    fn idle_time(&self) -> Duration {
        let now = Instant::now();
        let received = self.received();
        let mut last_received = self.last_received.lock().unwrap_or_else(PoisonError::into_inner);
        if received != last_received.datagrams {
            *last_received = LastReceived { datagrams: received, at: now };
        }
        now.saturating_duration_since(last_received.at)
    }
}

/// The current connection to each peer.
#[derive(Default)]
pub(crate) struct ConnectionPool(Mutex<HashMap<NodeId, PeerConnection>>);

impl ConnectionPool {
    /// Returns the open connection to a peer.
    pub(crate) fn get(&self, id: &NodeId) -> Option<PeerConnection> {
        let connections = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        connections.get(id).filter(|peer| peer.is_open()).cloned()
    }

    /// Adds a connection and replaces an earlier one to the same peer.
    pub(crate) fn insert(&self, id: NodeId, conn: Connection) -> PeerConnection {
        let peer = PeerConnection::new(conn);
        let mut connections = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        connections.insert(id, peer.clone());
        peer
    }

    /// Removes a closed connection unless it has been replaced already.
    pub(crate) fn remove(&self, id: &NodeId, conn: &Connection) {
        let mut connections = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if connections.get(id).is_some_and(|p| p.conn.stable_id() == conn.stable_id()) {
            connections.remove(id);
        }
    }
}

/// Returns a connection to `node` that probably works.
///
/// A connection that has been idle for long is checked first, because a middlebox
/// such as a NAT may have dropped its state and messages would be lost.
pub(crate) async fn working_connection(
    shared: &Arc<Shared>,
    node: &NodeId,
    addr: Option<SocketAddr>,
) -> Result<PeerConnection, PeerError> {
    let Some(peer) = shared.connections.get(node) else {
        return dial_node(shared, node, addr, false).await;
    };
    if peer.is_recently_active() || echo(&peer.conn).await {
        return Ok(peer);
    }
    replace(shared, node, addr).await
}

/// Replaces a connection on which nothing is received by one from a new socket.
///
/// A middlebox that dropped the state of the old connection identifies flows by
/// their addresses, so a new connection from the same socket could fail as well.
pub(crate) async fn replace(
    shared: &Arc<Shared>,
    node: &NodeId,
    addr: Option<SocketAddr>,
) -> Result<PeerConnection, PeerError> {
    let had_one = shared.connections.get(node).is_some();
    let peer = dial_node(shared, node, addr, true).await?;
    if had_one {
        shared.metrics.connections_replaced.inc();
        log::info!("peers: replaced the unresponsive connection to {node}");
    }
    Ok(peer)
}

/// Connects to a node with a known ID.
pub(crate) async fn dial_node(
    shared: &Arc<Shared>,
    node: &NodeId,
    addr: Option<SocketAddr>,
    new_socket: bool,
) -> Result<PeerConnection, PeerError> {
    let known = || shared.members.borrow().0.get(node).map(|m| m.addr);
    let addr = addr.or_else(known).ok_or(PeerError::NotMember { node: node.clone() })?;
    let lock = shared.dial_lock(node);
    let _one_at_a_time = lock.lock().await;
    if let Some(peer) = shared.connections.get(node).filter(|_| !new_socket) {
        return Ok(peer);
    }
    let (found, peer) = dial(shared, addr, Some(node), new_socket).await?;
    debug_assert_eq!(&found, node);
    Ok(peer)
}

/// Connects to an address and returns the ID of the node there.
pub(crate) async fn dial(
    shared: &Arc<Shared>,
    addr: SocketAddr,
    expected: Option<&NodeId>,
    new_socket: bool,
) -> Result<(NodeId, PeerConnection), PeerError> {
    let failed = |reason: String| {
        shared.metrics.handshakes_failed.inc();
        log::debug!("peers: failed to connect to {addr}: {reason}");
        let node = expected.unwrap_or(&shared.hello.node).clone();
        PeerError::Connect { node, reason: reason.into() }
    };
    let endpoint = match new_socket {
        true => client_endpoint(shared, addr).map_err(|err| failed(err.to_string()))?,
        false => shared.endpoint.clone(),
    };
    let client = shared.client.clone();
    let connecting = endpoint
        .connect_with(client, addr, &shared.identity.server_name())
        .map_err(|err| failed(err.to_string()))?;
    let handshake = async {
        let conn = connecting.await.map_err(|err| err.to_string())?;
        let hello = exchange_hello(shared, &conn).await?;
        Ok((conn, hello))
    };
    let (conn, hello) = match timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(done)) => done,
        Ok(Err(reason)) => return Err(failed(reason)),
        Err(_) => return Err(failed("the handshake timed out".to_owned())),
    };
    let is_expected = expected.is_none_or(|id| *id == hello.node);
    if !is_expected || !shared.identity.allows(&conn, &hello.node) {
        conn.close(VarInt::from_u32(CODE_IDENTITY_REJECTED), b"not the node that it should be");
        return Err(failed(format!("the identity of node {} was rejected", hello.node)));
    }
    let peer = shared.register_connection(hello.node.clone(), conn);
    Ok((hello.node, peer))
}

/// Sends the identity of this node and returns the one that the peer claims.
async fn exchange_hello(shared: &Arc<Shared>, conn: &Connection) -> Result<Hello, String> {
    let (mut tx, mut rx) = conn.open_bi().await.map_err(|err| err.to_string())?;
    let frame = encode(&Request::Hello(shared.hello.clone()), &[]);
    tx.write_all(&frame).await.map_err(|err| err.to_string())?;
    tx.finish().map_err(|err| err.to_string())?;
    let response = rx.read_to_end(MAX_HEADER_BYTES).await.map_err(|err| err.to_string())?;
    let (hello, _) = decode::<Hello>(&response.into()).map_err(|err| err.to_string())?;
    Ok(hello)
}

/// Checks the identity of a node that connected, and sends the identity of this node.
pub(crate) async fn accept_hello(shared: &Arc<Shared>, conn: &Connection) -> Option<NodeId> {
    let handshake = async {
        let (mut tx, mut rx) = conn.accept_bi().await.ok()?;
        let frame = rx.read_to_end(MAX_HEADER_BYTES).await.ok()?;
        let Ok((Request::Hello(hello), _)) = decode::<Request>(&frame.into()) else { return None };
        if !shared.identity.allows(conn, &hello.node) || hello.node == shared.hello.node {
            return None;
        }
        tx.write_all(&encode(&shared.hello, &[])).await.ok()?;
        tx.finish().ok()?;
        Some(hello.node)
    };
    let node = timeout(HANDSHAKE_TIMEOUT, handshake).await.ok().flatten();
    if node.is_none() {
        conn.close(VarInt::from_u32(CODE_IDENTITY_REJECTED), b"not a node of this cluster");
    }
    node
}

/// Checks a connection by an echo request and returns whether it works.
async fn echo(conn: &Connection) -> bool {
    let exchange = async {
        let (mut tx, mut rx) = conn.open_bi().await.ok()?;
        tx.write_all(&encode(&Request::Echo, &[])).await.ok()?;
        tx.finish().ok()?;
        rx.read_to_end(MAX_HEADER_BYTES).await.ok()
    };
    timeout(ECHO_TIMEOUT, exchange).await.ok().flatten().is_some()
}

fn client_endpoint(shared: &Arc<Shared>, to: SocketAddr) -> std::io::Result<Endpoint> {
    let bound = shared.endpoint.local_addr()?.ip();
    let any = match to.ip() {
        IpAddr::V4(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
        IpAddr::V6(_) => IpAddr::V6(Ipv6Addr::UNSPECIFIED),
    };
    let ip = if bound.is_ipv4() == to.is_ipv4() { bound } else { any };
    Endpoint::client(SocketAddr::new(ip, 0))
}
