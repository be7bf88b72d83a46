//! [`PeerLink`] over QUIC.
//!
//! A link has its own thread, which runs its sockets, the membership and all
//! handlers, so that a busy worker does not delay probes and a slow caller does
//! not delay handlers. A handler must not block this thread; it runs longer work
//! on another arbiter. [`PeerLink::call`] may be awaited on any thread of the
//! actix system.

mod broadcast;
mod connection;
mod dedup;
mod serve;
mod traffic;
mod wire;

use std::{
    collections::HashMap,
    convert::Infallible,
    future::pending,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError, RwLock, atomic::AtomicUsize},
    time::Duration,
};

use actix::{Arbiter, ArbiterHandle};
use arc_swap::ArcSwap;
use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;
use lycheelatch_prelude::{InvalidValue, NodeId};
use prometheus::Registry;
use quinn::{Connection, Endpoint, EndpointConfig, TokioRuntime, VarInt};
use tokio::{
    sync::{oneshot, watch},
    task::spawn_local,
    time::{Instant, MissedTickBehavior, interval, sleep, timeout, timeout_at},
};

use self::{
    connection::{ConnectionPool, PeerConnection},
    dedup::RecentIds,
    traffic::Traffic,
    wire::{
        BroadcastHeader, Hello, MAX_MESSAGE_BYTES, Request, Response, UniHeader, decode, encode,
    },
};
use crate::{
    Destination, MemberRecord, Members, Membership, Outgoing, PeerError, PeerHandler, PeerLink,
    PeerMetrics, PeersConfig, TICK_INTERVAL, Topic,
    tls::{Identity, PeerTls, TlsError},
};

/// Time without a received datagram during a call after which its connection is replaced.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of ticks between updates of the traffic metrics.
const TICKS_PER_SAMPLE: u32 = 10;
/// Time to wait for the announcement of a shutdown to be sent.
const SHUTDOWN_LINGER: Duration = Duration::from_millis(250);
/// QUIC application error code for connections closed because the node shuts down.
const CODE_STOPPED: u32 = 0;

/// Error from starting a link.
#[derive(Debug, Display)]
pub enum StartError {
    /// {0}
    Config(InvalidValue),
    /// {0}
    Tls(TlsError),
    /// failed to bind the socket {addr}: {reason}
    Bind {
        /// Address from the settings.
        addr: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// failed to register the metrics: {0}
    Metrics(prometheus::Error),
    /// the link's thread terminated during startup
    ThreadEnded,
}

impl std::error::Error for StartError {}

/// A [`PeerLink`] over QUIC.
pub struct QuicLink {
    shared: Arc<Shared>,
    thread: ArbiterHandle,
}

/// State shared by the tasks of one link.
pub(crate) struct Shared {
    hello: Hello,
    endpoint: Endpoint,
    client: quinn::ClientConfig,
    identity: Identity,
    metrics: PeerMetrics,
    thread: ArbiterHandle,
    connections: ConnectionPool,
    traffic: Traffic,
    dial_locks: Mutex<HashMap<NodeId, Arc<tokio::sync::Mutex<()>>>>,
    handlers: RwLock<HashMap<Topic, Arc<dyn PeerHandler>>>,
    membership: Mutex<Membership>,
    members: watch::Sender<Arc<Members>>,
    neighbours: ArcSwap<Vec<NodeId>>,
    recent_broadcasts: Mutex<RecentIds>,
    queued_bytes: AtomicUsize,
}

impl QuicLink {
    /// Binds the socket, starts the link's thread and starts to join the cluster.
    ///
    /// Must be called within an actix system.
    ///
    /// # Errors
    /// Fails if a setting or a certificate is invalid or the socket can't be bound.
    pub async fn start(cfg: PeersConfig, registry: &Registry) -> Result<Arc<QuicLink>, StartError> {
        cfg.validate().map_err(StartError::Config)?;
        let tls = PeerTls::new(&cfg.tls, &cfg.cluster, &cfg.node, cfg.identity)
            .map_err(StartError::Tls)?;
        let metrics = PeerMetrics::new(registry).map_err(StartError::Metrics)?;
        let thread = Arbiter::new().handle();
        let (tx, rx) = oneshot::channel();
        let thread_handle = thread.clone();
        thread.spawn(async move {
            let started = run(cfg, tls, metrics, thread_handle);
            let _caller_gone = tx.send(started);
        });
        let shared = rx.await.map_err(|_| StartError::ThreadEnded)??;
        Ok(Arc::new(QuicLink { shared, thread }))
    }

    /// Returns the address that the socket is bound to.
    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.shared.endpoint.local_addr().ok()
    }

    /// Replaces the discovered seeds, which are used in addition to those in the settings.
    pub fn set_discovered_seeds(&self, seeds: Vec<SocketAddr>) {
        self.shared.with_membership(|m| m.set_discovered_seeds(Instant::now(), seeds));
    }

    /// Returns a receiver that is notified of each change of the members.
    pub fn watch_members(&self) -> watch::Receiver<Arc<Members>> {
        self.shared.members.subscribe()
    }

    /// Returns the metrics of this link.
    pub fn metrics(&self) -> &PeerMetrics {
        &self.shared.metrics
    }

    /// Announces that this node is shutting down gracefully; it still processes messages.
    pub async fn leave(&self) {
        log::info!("peers: {} is leaving", self.shared.hello.node);
        self.shared.with_membership(|m| m.leave(Instant::now()));
        sleep(SHUTDOWN_LINGER).await;
    }

    /// Announces that this node has left, closes its connections and stops the link.
    pub async fn shutdown(&self) {
        let out = self.shared.with_membership(|m| m.shutdown());
        let shared = self.shared.clone();
        self.thread.spawn(async move { shared.send_all(out) });
        sleep(SHUTDOWN_LINGER).await;
        self.shared.endpoint.close(VarInt::from_u32(CODE_STOPPED), b"stopped");
        let _closed_or_late = timeout(SHUTDOWN_LINGER, self.shared.endpoint.wait_idle()).await;
        self.abort();
    }

    /// Stops the link's thread without notifying other nodes, like a crash.
    pub fn abort(&self) {
        self.thread.stop();
    }

    /// Returns a working connection to a node.
    async fn connection_to(
        &self,
        node: &NodeId,
        deadline: Instant,
    ) -> Result<PeerConnection, PeerError> {
        if let Some(peer) =
            self.shared.connections.get(node).filter(PeerConnection::is_recently_active)
        {
            return Ok(peer);
        }
        let (tx, rx) = oneshot::channel();
        let (shared, id) = (self.shared.clone(), node.clone());
        self.thread.spawn(async move {
            let _caller_gone = tx.send(connection::working_connection(&shared, &id, None).await);
        });
        let failed =
            |reason: &str| PeerError::Connect { node: node.clone(), reason: reason.into() };
        match timeout_at(deadline, rx).await {
            Ok(Ok(peer)) => peer,
            Ok(Err(_)) => Err(failed("the link has been stopped")),
            Err(_) => Err(failed("connecting timed out")),
        }
    }

    /// Replaces the connection of a call for later calls if nothing is received on it.
    ///
    /// The call itself keeps waiting, since the peer may have received its message.
    async fn replace_if_stalled(&self, node: &NodeId, peer: &PeerConnection) -> Infallible {
        let before = peer.received();
        sleep(STALL_TIMEOUT).await;
        if peer.received() == before {
            let (shared, id) = (self.shared.clone(), node.clone());
            self.thread.spawn(async move {
                let _later_calls_try_again = connection::replace(&shared, &id, None).await;
            });
        }
        pending().await
    }
}

impl Drop for QuicLink {
    fn drop(&mut self) {
        self.thread.stop();
    }
}

/// Sends a frame on a new stream and returns the response.
async fn exchange(conn: &Connection, frame: Bytes) -> Result<Bytes, String> {
    let (mut tx, mut rx) = conn.open_bi().await.map_err(|err| err.to_string())?;
    tx.write_all(&frame).await.map_err(|err| err.to_string())?;
    tx.finish().map_err(|err| err.to_string())?;
    let response = rx.read_to_end(MAX_MESSAGE_BYTES).await.map_err(|err| err.to_string())?;
    Ok(response.into())
}

/// Starts the link's endpoint and tasks; must run on the link's thread.
fn run(
    cfg: PeersConfig,
    tls: PeerTls,
    metrics: PeerMetrics,
    thread: ArbiterHandle,
) -> Result<Arc<Shared>, StartError> {
    let bind_error =
        |err: std::io::Error| StartError::Bind { addr: cfg.bind, reason: err.to_string() };
    let socket = std::net::UdpSocket::bind(cfg.bind).map_err(bind_error)?;
    let bound = socket.local_addr().map_err(bind_error)?;
    let endpoint =
        Endpoint::new(EndpointConfig::default(), Some(tls.server), socket, Arc::new(TokioRuntime))
            .map_err(bind_error)?;
    let record = MemberRecord {
        id: cfg.node.clone(),
        addr: cfg.advertise.unwrap_or(bound),
        zone: cfg.zone,
        region: cfg.region,
        incarnation: Default::default(),
        leaving: false,
    };
    let hello = Hello { node: record.id.clone() };
    let membership = Membership::new(record, cfg.seeds, Instant::now(), rand::random());
    let shared = Arc::new(Shared {
        hello,
        endpoint,
        client: tls.client,
        identity: tls.identity,
        metrics,
        thread,
        connections: ConnectionPool::default(),
        traffic: Traffic::default(),
        dial_locks: Mutex::default(),
        handlers: RwLock::default(),
        members: watch::Sender::new(membership.members()),
        neighbours: ArcSwap::new(membership.neighbours()),
        membership: Mutex::new(membership),
        recent_broadcasts: Mutex::default(),
        queued_bytes: AtomicUsize::new(0),
    });
    log::info!("peers: {} is listening on {bound}", shared.hello.node);
    spawn_local(serve::accept_connections(shared.clone()));
    spawn_local(run_membership(shared.clone()));
    Ok(shared)
}

/// Calls [`Membership::tick`] periodically.
async fn run_membership(shared: Arc<Shared>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0_u32;
    loop {
        ticks.tick().await;
        let out = shared.with_membership(|m| m.tick(Instant::now()));
        shared.send_all(out);
        count = count.wrapping_add(1);
        if count.is_multiple_of(TICKS_PER_SAMPLE) {
            shared.traffic.sample(&shared.metrics);
            shared.remove_unused_dial_locks();
        }
    }
}

impl Shared {
    /// Runs `step` on the membership and publishes changes of the members.
    fn with_membership<T>(&self, step: impl FnOnce(&mut Membership) -> T) -> T {
        let mut membership = self.membership.lock().unwrap_or_else(PoisonError::into_inner);
        let result = step(&mut membership);
        let members = membership.members();
        let old = self.members.borrow().clone();
        if !Arc::ptr_eq(&members, &old) {
            log_changes(&old, &members);
            self.metrics.set_members(&members);
            self.neighbours.store(membership.neighbours());
            self.members.send_replace(members);
        }
        result
    }

    /// Sends membership messages; must run on the link's thread.
    fn send_all(self: &Arc<Self>, out: Vec<Outgoing>) {
        for outgoing in out {
            self.metrics.count_message("out", outgoing.msg.body.kind());
            let open = match &outgoing.to {
                Destination::Node(id, _) if !outgoing.new_connection => self.connections.get(id),
                _ => None,
            };
            let frame = encode(&outgoing.msg, &[]);
            match open {
                Some(peer) => self.send_on(&peer, frame),
                None => self.connect_and_send(outgoing, frame),
            }
        }
    }

    /// Sends a frame over an open connection, as a datagram if it fits.
    fn send_on(&self, peer: &PeerConnection, frame: Bytes) {
        self.metrics.probe_rtt.observe(peer.conn.rtt().as_secs_f64());
        let fits = peer.conn.max_datagram_size().is_some_and(|max| frame.len() <= max);
        if fits {
            let _best_effort = peer.conn.send_datagram(frame);
            return;
        }
        let conn = peer.conn.clone();
        spawn_local(async move {
            let Ok(mut tx) = conn.open_uni().await else { return };
            let frame = encode(&UniHeader::Control, &frame);
            if tx.write_all(&frame).await.is_ok() {
                let _already_closed = tx.finish();
            }
        });
    }

    fn connect_and_send(self: &Arc<Self>, outgoing: Outgoing, frame: Bytes) {
        let shared = self.clone();
        spawn_local(async move {
            let peer = match &outgoing.to {
                Destination::Addr(addr) => {
                    connection::dial(&shared, *addr, None, false).await.map(|(_, peer)| peer)
                }
                Destination::Node(id, addr) if outgoing.new_connection => {
                    connection::replace(&shared, id, *addr).await
                }
                Destination::Node(id, addr) => {
                    connection::dial_node(&shared, id, *addr, false).await
                }
            };
            if let Ok(peer) = peer {
                shared.send_on(&peer, frame);
            }
        });
    }

    /// Adds a connection to the pool and serves it on the link's thread.
    fn register_connection(self: &Arc<Self>, node: NodeId, conn: Connection) -> PeerConnection {
        self.traffic.start(&conn);
        let peer = self.connections.insert(node.clone(), conn.clone());
        self.thread.spawn(serve::serve(self.clone(), node, conn));
        peer
    }

    /// Returns the lock that ensures that only one task at a time connects to a node.
    fn dial_lock(&self, node: &NodeId) -> Arc<tokio::sync::Mutex<()>> {
        let mut dial_locks = self.dial_locks.lock().unwrap_or_else(PoisonError::into_inner);
        dial_locks.entry(node.clone()).or_default().clone()
    }

    fn remove_unused_dial_locks(&self) {
        let mut dial_locks = self.dial_locks.lock().unwrap_or_else(PoisonError::into_inner);
        dial_locks.retain(|_, lock| Arc::strong_count(lock) > 1);
    }

    fn handler(&self, topic: Topic) -> Option<Arc<dyn PeerHandler>> {
        let handlers = self.handlers.read().unwrap_or_else(PoisonError::into_inner);
        handlers.get(&topic).cloned()
    }

    /// Records a broadcast message and returns whether it is seen for the first time.
    fn record_broadcast(&self, key: u64) -> bool {
        self.recent_broadcasts.lock().unwrap_or_else(PoisonError::into_inner).insert(key)
    }
}

fn log_changes(old: &Members, new: &Members) {
    for member in new.0.values() {
        let before = old.0.get(&member.id).map(|m| m.state);
        if before != Some(member.state) {
            log::info!("peers: member {} at {} is {:?}", member.id, member.addr, member.state);
        }
    }
}

#[async_trait(?Send)]
impl PeerLink for QuicLink {
    fn local(&self) -> &NodeId {
        &self.shared.hello.node
    }

    fn members(&self) -> Arc<Members> {
        self.shared.members.borrow().clone()
    }

    fn register(&self, topic: Topic, handler: Arc<dyn PeerHandler>) {
        let mut handlers = self.shared.handlers.write().unwrap_or_else(PoisonError::into_inner);
        handlers.insert(topic, handler);
    }

    async fn call(
        &self,
        to: &NodeId,
        topic: Topic,
        msg: Bytes,
        limit: Duration,
    ) -> Result<Bytes, PeerError> {
        let deadline = Instant::now() + limit;
        self.shared.metrics.count_message("out", "call");
        if !self.shared.members.borrow().0.contains_key(to) {
            return Err(PeerError::NotMember { node: to.clone() });
        }
        let peer = self.connection_to(to, deadline).await?;
        let lost =
            |reason: String| PeerError::ResponseLost { node: to.clone(), reason: reason.into() };
        let exchange = exchange(&peer.conn, encode(&Request::Call(topic), &msg));
        let frame = tokio::select! {
            frame = timeout_at(deadline, exchange) => frame,
            never = self.replace_if_stalled(to, &peer) => match never {},
        };
        match frame {
            Err(_) => Err(lost("no response in time".to_owned())),
            Ok(Err(reason)) => Err(lost(reason)),
            Ok(Ok(frame)) => {
                let (response, payload) =
                    decode::<Response>(&frame).map_err(|err| lost(err.to_string()))?;
                response.into_result(payload)
            }
        }
    }

    fn broadcast(&self, topic: Topic, msg: Bytes) {
        let origin = self.shared.hello.node.clone();
        let header = BroadcastHeader { id: rand::random(), origin, topic };
        self.shared.record_broadcast(serve::broadcast_key(&header));
        let shared = self.shared.clone();
        self.thread.spawn(async move { broadcast::forward(&shared, &header, &msg, None) });
    }
}
