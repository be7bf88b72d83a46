//! Connections to peers: dialled when needed, replaced when silent.

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

/// Time that a handshake may take, the exchange of names included.
pub(crate) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a datagram after which a connection is tried before it is used.
const TRUSTED_IDLE: Duration = Duration::from_secs(10);
/// Time that a try of a connection may take.
const ECHO_TIMEOUT: Duration = Duration::from_millis(400);
/// Code of a connection closed because the other end is not who it should be.
const CODE_STRANGER: u32 = 1;

/// One connection to a peer.
#[derive(Clone)]
pub(crate) struct Path {
    pub(crate) conn: Connection,
    heard: Arc<Mutex<Heard>>,
}

/// When datagrams last arrived on a connection, as far as was looked.
struct Heard {
    datagrams: u64,
    at: Instant,
}

impl Path {
    fn new(conn: Connection) -> Path {
        let datagrams = conn.stats().udp_rx.datagrams;
        let heard = Heard { datagrams, at: Instant::now() };
        Path { conn, heard: Arc::new(Mutex::new(heard)) }
    }

    /// Returns whether the connection has not ended.
    fn is_open(&self) -> bool {
        self.conn.close_reason().is_none()
    }

    /// Returns how many datagrams arrived so far.
    pub(crate) fn received(&self) -> u64 {
        self.conn.stats().udp_rx.datagrams
    }

    /// Returns whether something arrived so lately that the connection is likely to work.
    pub(crate) fn is_trusted(&self) -> bool {
        self.silence() < TRUSTED_IDLE
    }

    /// Returns how long nothing arrived, at most.
    fn silence(&self) -> Duration {
        let now = Instant::now();
        let received = self.received();
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        if received != heard.datagrams {
            *heard = Heard { datagrams: received, at: now };
        }
        now.saturating_duration_since(heard.at)
    }
}

/// The connection in use to each peer.
#[derive(Default)]
pub(crate) struct Paths(Mutex<HashMap<NodeId, Path>>);

impl Paths {
    /// Returns the open connection to a peer.
    pub(crate) fn get(&self, id: &NodeId) -> Option<Path> {
        let paths = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        paths.get(id).filter(|path| path.is_open()).cloned()
    }

    /// Puts a connection in use, in place of an earlier one.
    pub(crate) fn insert(&self, id: NodeId, conn: Connection) -> Path {
        let path = Path::new(conn);
        let mut paths = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        paths.insert(id, path.clone());
        path
    }

    /// Drops a connection that ended, unless another one took its place.
    pub(crate) fn remove(&self, id: &NodeId, conn: &Connection) {
        let mut paths = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if paths.get(id).is_some_and(|p| p.conn.stable_id() == conn.stable_id()) {
            paths.remove(id);
        }
    }
}

/// Returns a connection to `node` that is likely to work.
///
/// A connection on which nothing arrived for long is tried first, so that no
/// message is lost on one that something between the two ends has forgotten.
pub(crate) async fn working_path(
    shared: &Arc<Shared>,
    node: &NodeId,
    addr: Option<SocketAddr>,
) -> Result<Path, PeerError> {
    let Some(path) = shared.paths.get(node) else {
        return dial_node(shared, node, addr, false).await;
    };
    if path.is_trusted() || echo(&path.conn).await {
        return Ok(path);
    }
    replace(shared, node, addr).await
}

/// Replaces a silent connection by one from a new socket.
///
/// What lost track of the old connection knows it by its two addresses, so
/// that a new connection over the same socket could be lost as well.
pub(crate) async fn replace(
    shared: &Arc<Shared>,
    node: &NodeId,
    addr: Option<SocketAddr>,
) -> Result<Path, PeerError> {
    let had_one = shared.paths.get(node).is_some();
    let path = dial_node(shared, node, addr, true).await?;
    if had_one {
        shared.metrics.replaced.inc();
        log::info!("peers: replaced the silent connection to {node}");
    }
    Ok(path)
}

/// Connects to a node whose identity is known.
pub(crate) async fn dial_node(
    shared: &Arc<Shared>,
    node: &NodeId,
    addr: Option<SocketAddr>,
    new_socket: bool,
) -> Result<Path, PeerError> {
    let known = || shared.members.borrow().0.get(node).map(|m| m.addr);
    let addr = addr.or_else(known).ok_or(PeerError::NotMember { node: node.clone() })?;
    let gate = shared.dial_gate(node);
    let _one_at_a_time = gate.lock().await;
    if let Some(path) = shared.paths.get(node).filter(|_| !new_socket) {
        return Ok(path);
    }
    let (found, path) = dial(shared, addr, Some(node), new_socket).await?;
    debug_assert_eq!(&found, node);
    Ok(path)
}

/// Connects to an address and finds out who is there.
pub(crate) async fn dial(
    shared: &Arc<Shared>,
    addr: SocketAddr,
    expected: Option<&NodeId>,
    new_socket: bool,
) -> Result<(NodeId, Path), PeerError> {
    let failed = |reason: String| {
        shared.metrics.refused.inc();
        log::debug!("peers: no connection to {addr}: {reason}");
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
        let hello = greet(shared, &conn).await?;
        Ok((conn, hello))
    };
    let (conn, hello) = match timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(done)) => done,
        Ok(Err(reason)) => return Err(failed(reason)),
        Err(_) => return Err(failed("no handshake in time".to_owned())),
    };
    let is_expected = expected.is_none_or(|id| *id == hello.node);
    if !is_expected || !shared.identity.allows(&conn, &hello.node) {
        conn.close(VarInt::from_u32(CODE_STRANGER), b"not the node that it should be");
        return Err(failed(format!("{} is there and may not speak for it", hello.node)));
    }
    let path = shared.adopt(hello.node.clone(), conn);
    Ok((hello.node, path))
}

/// Says who this node is and returns who the other end says that it is.
async fn greet(shared: &Arc<Shared>, conn: &Connection) -> Result<Hello, String> {
    let (mut tx, mut rx) = conn.open_bi().await.map_err(|err| err.to_string())?;
    let frame = encode(&Request::Hello(shared.hello.clone()), &[]);
    tx.write_all(&frame).await.map_err(|err| err.to_string())?;
    tx.finish().map_err(|err| err.to_string())?;
    let answer = rx.read_to_end(MAX_HEADER_BYTES).await.map_err(|err| err.to_string())?;
    let (hello, _) = decode::<Hello>(&answer.into()).map_err(|err| err.to_string())?;
    Ok(hello)
}

/// Takes the name of a node that connected, and gives this node's.
pub(crate) async fn welcome(shared: &Arc<Shared>, conn: &Connection) -> Option<NodeId> {
    let greeting = async {
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
    let node = timeout(HANDSHAKE_TIMEOUT, greeting).await.ok().flatten();
    if node.is_none() {
        conn.close(VarInt::from_u32(CODE_STRANGER), b"not a node of this cluster");
    }
    node
}

/// Returns whether a connection works, asked by a message of its own.
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
