//! The link between nodes over QUIC.
//!
//! A link has a thread of its own, on which its sockets, the membership and
//! all handlers run, so that a busy worker does not delay probes and a slow
//! caller does not delay handlers. A handler must not block that thread; it
//! hands longer work to an arbiter of its own. [`PeerLink::call`] may be
//! awaited on any thread of the system.

mod path;
mod seen;
mod serve;
mod spread;
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
    path::{Path, Paths},
    seen::Seen,
    traffic::Traffic,
    wire::{Answer, Hello, MAX_MESSAGE_BYTES, OneWay, Request, SpreadHeader, decode, encode},
};
use crate::{
    Destination, MemberRecord, Members, Membership, Outgoing, PeerError, PeerHandler, PeerLink,
    PeerMetrics, PeersConfig, TICK_INTERVAL, Topic,
    tls::{Identity, PeerTls, TlsError},
};

/// Time without a datagram during a call after which its connection is replaced.
const PROGRESS_DEADLINE: Duration = Duration::from_millis(500);
/// Ticks between samples of the traffic.
const TICKS_PER_SAMPLE: u32 = 10;
/// Time that the announcement of a shutdown has to leave.
const SHUTDOWN_LINGER: Duration = Duration::from_millis(250);
/// Code of connections closed because the node stops.
const CODE_STOPPED: u32 = 0;

/// Why a link did not start.
#[derive(Debug, Display)]
pub enum StartError {
    /// {0}
    Config(InvalidValue),
    /// {0}
    Tls(TlsError),
    /// the socket {addr} can't be bound: {reason}
    Bind {
        /// Address of the settings.
        addr: SocketAddr,
        /// What was seen.
        reason: String,
    },
    /// the metrics can't be registered: {0}
    Metrics(prometheus::Error),
    /// the link's thread ended
    ThreadEnded,
}

impl std::error::Error for StartError {}

/// A [`PeerLink`] over QUIC.
pub struct QuicLink {
    shared: Arc<Shared>,
    thread: ArbiterHandle,
}

/// What the tasks of one link share.
pub(crate) struct Shared {
    hello: Hello,
    endpoint: Endpoint,
    client: quinn::ClientConfig,
    identity: Identity,
    metrics: PeerMetrics,
    thread: ArbiterHandle,
    paths: Paths,
    traffic: Traffic,
    gates: Mutex<HashMap<NodeId, Arc<tokio::sync::Mutex<()>>>>,
    handlers: RwLock<HashMap<Topic, Arc<dyn PeerHandler>>>,
    membership: Mutex<Membership>,
    members: watch::Sender<Arc<Members>>,
    neighbours: ArcSwap<Vec<NodeId>>,
    seen: Mutex<Seen>,
    waiting_bytes: AtomicUsize,
}

impl QuicLink {
    /// Binds the socket, starts the link's thread and begins to join.
    ///
    /// Must be called within an actix system.
    ///
    /// # Errors
    /// Fails if a setting or a certificate can't be used or the socket can't be bound.
    pub async fn start(cfg: PeersConfig, registry: &Registry) -> Result<Arc<QuicLink>, StartError> {
        cfg.validate().map_err(StartError::Config)?;
        let tls = PeerTls::new(&cfg.tls, &cfg.cluster, &cfg.node, cfg.identity)
            .map_err(StartError::Tls)?;
        let metrics = PeerMetrics::new(registry).map_err(StartError::Metrics)?;
        let thread = Arbiter::new().handle();
        let (tx, rx) = oneshot::channel();
        let handle = thread.clone();
        thread.spawn(async move {
            let started = run(cfg, tls, metrics, handle);
            let _caller_gone = tx.send(started);
        });
        let shared = rx.await.map_err(|_| StartError::ThreadEnded)??;
        Ok(Arc::new(QuicLink { shared, thread }))
    }

    /// Returns the address that the socket is bound to.
    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.shared.endpoint.local_addr().ok()
    }

    /// Replaces the seeds that were found beside those of the settings.
    pub fn set_discovered_seeds(&self, seeds: Vec<SocketAddr>) {
        self.shared.with_membership(|m| m.set_discovered_seeds(Instant::now(), seeds));
    }

    /// Returns a receiver that is told of each change of the members.
    pub fn watch_members(&self) -> watch::Receiver<Arc<Members>> {
        self.shared.members.subscribe()
    }

    /// Returns the metrics of this link.
    pub fn metrics(&self) -> &PeerMetrics {
        &self.shared.metrics
    }

    /// Announces that this node stops in good order; it goes on to answer.
    pub async fn leave(&self) {
        log::info!("peers: {} is leaving", self.shared.hello.node);
        self.shared.with_membership(|m| m.leave(Instant::now()));
        sleep(SHUTDOWN_LINGER).await;
    }

    /// Announces that this node is gone and closes its connections.
    pub async fn shutdown(&self) {
        let out = self.shared.with_membership(|m| m.shutdown());
        let shared = self.shared.clone();
        self.thread.spawn(async move { shared.send_all(out) });
        sleep(SHUTDOWN_LINGER).await;
        self.shared.endpoint.close(VarInt::from_u32(CODE_STOPPED), b"stopped");
        let _closed_or_late = timeout(SHUTDOWN_LINGER, self.shared.endpoint.wait_idle()).await;
        self.abort();
    }

    /// Stops the link's thread and tells nobody, as a crash would.
    pub fn abort(&self) {
        self.thread.stop();
    }

    /// Returns a working connection to a node.
    async fn path_to(&self, node: &NodeId, deadline: Instant) -> Result<Path, PeerError> {
        if let Some(path) = self.shared.paths.get(node).filter(Path::is_trusted) {
            return Ok(path);
        }
        let (tx, rx) = oneshot::channel();
        let (shared, id) = (self.shared.clone(), node.clone());
        self.thread.spawn(async move {
            let _caller_gone = tx.send(path::working_path(&shared, &id, None).await);
        });
        let failed =
            |reason: &str| PeerError::Connect { node: node.clone(), reason: reason.into() };
        match timeout_at(deadline, rx).await {
            Ok(Ok(path)) => path,
            Ok(Err(_)) => Err(failed("the link has stopped")),
            Err(_) => Err(failed("no connection in time")),
        }
    }

    /// Replaces the connection of a call on which nothing arrives, for later calls.
    ///
    /// The call itself waits on, since its message may have been taken.
    async fn watch_progress(&self, node: &NodeId, path: &Path) -> Infallible {
        let before = path.received();
        sleep(PROGRESS_DEADLINE).await;
        if path.received() == before {
            let (shared, id) = (self.shared.clone(), node.clone());
            self.thread.spawn(async move {
                let _later_calls_try_again = path::replace(&shared, &id, None).await;
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

/// Sends a frame on a stream of its own and returns the answer.
async fn exchange(conn: &Connection, frame: Bytes) -> Result<Bytes, String> {
    let (mut tx, mut rx) = conn.open_bi().await.map_err(|err| err.to_string())?;
    tx.write_all(&frame).await.map_err(|err| err.to_string())?;
    tx.finish().map_err(|err| err.to_string())?;
    let answer = rx.read_to_end(MAX_MESSAGE_BYTES).await.map_err(|err| err.to_string())?;
    Ok(answer.into())
}

/// Starts a link on the thread that it is to run on.
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
        paths: Paths::default(),
        traffic: Traffic::default(),
        gates: Mutex::default(),
        handlers: RwLock::default(),
        members: watch::Sender::new(membership.members()),
        neighbours: ArcSwap::new(membership.neighbours()),
        membership: Mutex::new(membership),
        seen: Mutex::default(),
        waiting_bytes: AtomicUsize::new(0),
    });
    log::info!("peers: {} listens on {bound}", shared.hello.node);
    spawn_local(serve::accept_connections(shared.clone()));
    spawn_local(run_membership(shared.clone()));
    Ok(shared)
}

/// Lets the membership's time pass.
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
            shared.drop_unused_gates();
        }
    }
}

impl Shared {
    /// Runs a step of the membership and publishes what changed.
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
            self.metrics.count("out", outgoing.msg.body.kind());
            let open = match &outgoing.to {
                Destination::Node(id, _) if !outgoing.new_connection => self.paths.get(id),
                _ => None,
            };
            let frame = encode(&outgoing.msg, &[]);
            match open {
                Some(path) => self.send_on(&path, frame),
                None => self.connect_and_send(outgoing, frame),
            }
        }
    }

    /// Sends over an open connection, by datagram if it fits one.
    fn send_on(&self, path: &Path, frame: Bytes) {
        self.metrics.probe_rtt.observe(path.conn.rtt().as_secs_f64());
        let fits = path.conn.max_datagram_size().is_some_and(|max| frame.len() <= max);
        if fits {
            let _best_effort = path.conn.send_datagram(frame);
            return;
        }
        let conn = path.conn.clone();
        spawn_local(async move {
            let Ok(mut tx) = conn.open_uni().await else { return };
            let frame = encode(&OneWay::Control, &frame);
            if tx.write_all(&frame).await.is_ok() {
                let _already_closed = tx.finish();
            }
        });
    }

    fn connect_and_send(self: &Arc<Self>, outgoing: Outgoing, frame: Bytes) {
        let shared = self.clone();
        spawn_local(async move {
            let path = match &outgoing.to {
                Destination::Addr(addr) => {
                    path::dial(&shared, *addr, None, false).await.map(|(_, path)| path)
                }
                Destination::Node(id, addr) if outgoing.new_connection => {
                    path::replace(&shared, id, *addr).await
                }
                Destination::Node(id, addr) => path::dial_node(&shared, id, *addr, false).await,
            };
            if let Ok(path) = path {
                shared.send_on(&path, frame);
            }
        });
    }

    /// Puts a connection in use and serves it on the link's thread.
    fn adopt(self: &Arc<Self>, node: NodeId, conn: Connection) -> Path {
        self.traffic.start(&conn);
        let path = self.paths.insert(node.clone(), conn.clone());
        self.thread.spawn(serve::serve(self.clone(), node, conn));
        path
    }

    /// Returns the lock that lets one task at a time connect to a node.
    fn dial_gate(&self, node: &NodeId) -> Arc<tokio::sync::Mutex<()>> {
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        gates.entry(node.clone()).or_default().clone()
    }

    fn drop_unused_gates(&self) {
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        gates.retain(|_, gate| Arc::strong_count(gate) > 1);
    }

    fn handler(&self, topic: Topic) -> Option<Arc<dyn PeerHandler>> {
        let handlers = self.handlers.read().unwrap_or_else(PoisonError::into_inner);
        handlers.get(&topic).cloned()
    }

    /// Notes a spread message and returns whether it is new here.
    fn note_spread(&self, key: u64) -> bool {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).insert(key)
    }
}

fn log_changes(old: &Members, new: &Members) {
    for member in new.0.values() {
        let before = old.0.get(&member.id).map(|m| m.state);
        if before != Some(member.state) {
            log::info!("peers: {} at {} is {:?}", member.id, member.addr, member.state);
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
        self.shared.metrics.count("out", "call");
        if !self.shared.members.borrow().0.contains_key(to) {
            return Err(PeerError::NotMember { node: to.clone() });
        }
        let path = self.path_to(to, deadline).await?;
        let lost =
            |reason: String| PeerError::ResponseLost { node: to.clone(), reason: reason.into() };
        let exchange = exchange(&path.conn, encode(&Request::Call(topic), &msg));
        let frame = tokio::select! {
            frame = timeout_at(deadline, exchange) => frame,
            never = self.watch_progress(to, &path) => match never {},
        };
        match frame {
            Err(_) => Err(lost("no answer in time".to_owned())),
            Ok(Err(reason)) => Err(lost(reason)),
            Ok(Ok(frame)) => {
                let (answer, payload) =
                    decode::<Answer>(&frame).map_err(|err| lost(err.to_string()))?;
                answer.into_result(payload)
            }
        }
    }

    fn broadcast(&self, topic: Topic, msg: Bytes) {
        let origin = self.shared.hello.node.clone();
        let header = SpreadHeader { id: rand::random(), origin, topic };
        self.shared.note_spread(serve::spread_key(&header));
        let shared = self.shared.clone();
        self.thread.spawn(async move { spread::forward(&shared, &header, &msg, None) });
    }
}
