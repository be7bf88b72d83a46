//! Gives and takes what nodes hold of the store.
//!
//! In a large availability zone a few nodes read the store and the others
//! follow them. A node that the store turns away asks the others too.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use actix_http::{
    Method, Request, Response, StatusCode, Uri,
    body::BoxBody,
    header::{HOST, HeaderMap, HeaderValue},
};
use bytes::Bytes;
use displaydoc::Display;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, timeout};

#[cfg(test)]
mod tests;

use crate::{
    Gateway, KeyValue, StoreRevision,
    connection::{Connection, ExchangeError, Outgoing},
    decision::{Belief, note},
    server::empty,
    sync::{Held, LocalChange, StoreView},
    tombstones::Tombstone,
};

/// Path of what a node holds; its query says what the other node has.
const VIEW_PATH: &str = "/view";

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Time between two questions to other nodes.
const ASK_INTERVAL: Duration = Duration::from_millis(400);

/// Time limit of one question.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest time that an answer waits for a change.
const CHANGE_WAIT: Duration = Duration::from_millis(700);

/// Age from which another node's view is not taken over.
const MAX_AGE: Duration = Duration::from_millis(1600);

/// Nodes of an availability zone that read the store themselves.
const READERS: usize = 2;

/// Fewest other nodes of the availability zone for some to follow.
const MIN_NEAR: usize = 4;

/// Time for which a node reads the store itself after it could not follow.
const READ_SELF: Duration = Duration::from_secs(4);

/// Largest view that is read, in bytes.
const MAX_VIEW_BYTES: usize = 16 << 20;

#[derive(Debug, Serialize, Deserialize)]
struct ValueWire {
    key: String,
    value: Vec<u8>,
    revision: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct GoneWire {
    key: String,
    revision: u64,
}

/// What a node holds of the store, or what changed of it.
#[derive(Debug, Serialize, Deserialize)]
struct ViewWire {
    incarnation: u64,
    /// The last change that is in it.
    change: u64,
    /// Whether it is everything; else what changed.
    is_whole: bool,
    /// Time since the store answered, in milliseconds.
    age_ms: u64,
    revision: u64,
    config: Option<ValueWire>,
    upstreams: Vec<ValueWire>,
    gone: Vec<GoneWire>,
}

/// What another node has of this one's view.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Cursor {
    incarnation: u64,
    change: LocalChange,
}

impl Cursor {
    fn query(self) -> String {
        format!("{VIEW_PATH}?incarnation={}&change={}", self.incarnation, self.change.0)
    }

    /// Reads the query of a request; one that can't be read asks for everything.
    fn from_query(query: &str) -> Cursor {
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).and_then(|(_, value)| value.parse().ok())
        };
        let (incarnation, change) = (number("incarnation"), number("change"));
        match (incarnation, change) {
            (Some(incarnation), Some(change)) => {
                Cursor { incarnation, change: LocalChange(change) }
            }
            _ => Cursor::default(),
        }
    }
}

/// Why another node's view could not be read.
#[derive(Debug, Display)]
enum AskError {
    /// {0}
    Exchange(ExchangeError),
    /// status {0}
    Status(u16),
    /// it can't be decoded: {0}
    Decode(postcard::Error),
    /// no answer in time
    Silent,
    /// its node has not reached the store for {0} ms
    Old(u64),
}

impl std::error::Error for AskError {}

impl From<ExchangeError> for AskError {
    fn from(err: ExchangeError) -> AskError {
        AskError::Exchange(err)
    }
}

impl From<ValueWire> for KeyValue {
    fn from(wire: ValueWire) -> KeyValue {
        let revision = StoreRevision(wire.revision);
        KeyValue { key: wire.key.into(), value: wire.value.into(), revision, created: revision }
    }
}

fn value_wire(key: &str, held: &Held) -> ValueWire {
    ValueWire { key: key.to_owned(), value: held.value.to_vec(), revision: held.revision.0 }
}

/// Returns what changed of a view after a cursor, or everything.
fn view_wire(view: &StoreView, cursor: Cursor) -> ViewWire {
    let tombstones = view.tombstones.borrow();
    let is_whole = cursor.incarnation != view.incarnation || cursor.change < tombstones.oldest();
    let after = if is_whole { LocalChange(0) } else { cursor.change };
    let is_new = |held: &Held| is_whole || held.changed > after;
    let upstreams = view.upstreams.borrow();
    let gone = |(key, gone): (&str, Tombstone)| GoneWire {
        key: key.to_owned(),
        revision: gone.revision.0,
    };
    ViewWire {
        incarnation: view.incarnation,
        change: view.last_change().0,
        is_whole,
        age_ms: u64::try_from(view.age().as_millis()).unwrap_or(u64::MAX),
        revision: view.revision.get().0,
        config: view
            .config
            .borrow()
            .as_ref()
            .filter(|held| is_new(held))
            .map(|held| value_wire("", held)),
        upstreams: upstreams
            .iter()
            .filter(|(_, held)| is_new(held))
            .map(|(key, held)| value_wire(key, held))
            .collect(),
        gone: tombstones.after(after).map(gone).collect(),
    }
}

/// Answers other nodes and whoever reads the metrics.
pub(crate) async fn handle_request(
    gateway: Rc<Gateway>,
    view: Rc<StoreView>,
    req: Request,
) -> Response<BoxBody> {
    match req.path() {
        VIEW_PATH => {
            let cursor = Cursor::from_query(req.uri().query().unwrap_or_default());
            wait_for_change(&view, cursor).await;
            match postcard::to_stdvec(&view_wire(&view, cursor)) {
                Ok(body) => Response::ok().set_body(BoxBody::new(Bytes::from(body))),
                Err(err) => {
                    log::error!("peers: the view can't be encoded: {err}");
                    empty(StatusCode::INTERNAL_SERVER_ERROR)
                }
            }
        }
        METRICS_PATH => metrics(&gateway),
        _ => empty(StatusCode::NOT_FOUND),
    }
}

/// Waits for a change that another node does not have yet.
async fn wait_for_change(view: &StoreView, cursor: Cursor) {
    if cursor.incarnation != view.incarnation {
        return;
    }
    let mut changes = view.subscribe();
    let changed = changes.wait_for(|last| *last > cursor.change);
    if timeout(CHANGE_WAIT, changed).await.is_err() {
        log::trace!("peers: no change to tell");
    }
}

fn metrics(gateway: &Gateway) -> Response<BoxBody> {
    let families = gateway.metrics.registry.gather();
    match prometheus::TextEncoder::new().encode_to_string(&families) {
        Ok(text) => Response::ok().set_body(BoxBody::new(text)),
        Err(err) => {
            log::error!("metrics: can't be encoded: {err}");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Follows a reader of the availability zone in place of the store, where there is one.
pub(crate) async fn follow_reader(gateway: Rc<Gateway>, view: Rc<StoreView>) {
    let mut followed: Option<Followed> = None;
    loop {
        let Some(address) = reader(&gateway) else {
            stop_following(&view, &mut followed);
            sleep(ASK_INTERVAL).await;
            continue;
        };
        match follow_once(&view, address, &mut followed).await {
            Ok(()) => {
                if !view.is_following.replace(true) {
                    note(&Belief::Follows { reader: address });
                }
            }
            Err(err) => {
                note(&Belief::ReadsItself { reason: &err.to_string() });
                stop_following(&view, &mut followed);
                sleep(READ_SELF.mul_f64(0.5 + rand::random::<f64>())).await;
            }
        }
    }
}

/// A node whose view is followed.
struct Followed {
    address: SocketAddr,
    cursor: Cursor,
    connection: Connection,
}

fn stop_following(view: &StoreView, followed: &mut Option<Followed>) {
    *followed = None;
    view.is_following.set(false);
}

/// Returns the node to follow; none: this node reads the store itself.
fn reader(gateway: &Gateway) -> Option<SocketAddr> {
    if !gateway.is_informed() {
        return None;
    }
    let near = gateway.peers.borrow().near(&gateway.settings.zone, Instant::now());
    if near.len() < MIN_NEAR {
        return None;
    }
    let own = &gateway.settings.node;
    let before = near.iter().filter(|(id, _)| id < own).count();
    if before < READERS {
        return None;
    }
    let choice = usize::from(own.as_str().bytes().last().unwrap_or(0)) % READERS;
    near.get(choice).map(|(_, address)| *address)
}

async fn follow_once(
    view: &StoreView,
    address: SocketAddr,
    followed: &mut Option<Followed>,
) -> Result<(), AskError> {
    let mut current = match followed.take().filter(|known| known.address == address) {
        Some(known) => known,
        None => {
            let connection = Connection::open(address, ASK_TIMEOUT).await?;
            Followed { address, cursor: Cursor::default(), connection }
        }
    };
    let asked = timeout(CHANGE_WAIT + ASK_TIMEOUT, ask(&mut current.connection, current.cursor));
    let wire = asked.await.map_err(|_| AskError::Silent)??;
    if wire.age_ms > u64::try_from(MAX_AGE.as_millis()).unwrap_or(u64::MAX) {
        return Err(AskError::Old(wire.age_ms));
    }
    current.cursor = Cursor { incarnation: wire.incarnation, change: LocalChange(wire.change) };
    view.answered_before(Duration::from_millis(wire.age_ms));
    take(view, wire);
    *followed = Some(current);
    Ok(())
}

/// Asks other nodes for what they hold while the store does not answer.
pub(crate) async fn fetch_during_outage(gateway: Rc<Gateway>, view: Rc<StoreView>) {
    loop {
        sleep(ASK_INTERVAL).await;
        if !view.is_cut_off() {
            continue;
        }
        let heard = gateway.peers.borrow().heard_addresses(Instant::now());
        let asked = heard.choose(&mut rand::rng()).copied();
        let seed = gateway.seeds().choose(&mut rand::rng()).copied();
        let Some(address) = asked.or(seed) else { continue };
        match timeout(ASK_TIMEOUT, ask_once(address)).await {
            Ok(Ok(wire)) => take(&view, wire),
            Ok(Err(err)) => log::debug!("peers: {address} did not say what it holds: {err}"),
            Err(_) => log::debug!("peers: {address} did not say what it holds in time"),
        }
    }
}

async fn ask_once(address: SocketAddr) -> Result<ViewWire, AskError> {
    let mut connection = Connection::open(address, ASK_TIMEOUT).await?;
    ask(&mut connection, Cursor::default()).await
}

async fn ask(connection: &mut Connection, cursor: Cursor) -> Result<ViewWire, AskError> {
    let uri = Uri::try_from(cursor.query()).unwrap_or(Uri::from_static(VIEW_PATH));
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static("node"));
    let req = Outgoing { method: Method::GET, uri, headers, body: Bytes::new() };
    let head = connection.exchange(req).await?;
    if head.status != StatusCode::OK {
        return Err(AskError::Status(head.status.as_u16()));
    }
    let body = connection.whole_body(MAX_VIEW_BYTES).await?;
    postcard::from_bytes(&body).map_err(AskError::Decode)
}

fn take(view: &StoreView, wire: ViewWire) {
    if let Some(config) = wire.config {
        view.take_config(config.value.into(), StoreRevision(config.revision));
    }
    let is_fresh = Duration::from_millis(wire.age_ms) <= MAX_AGE;
    let revision = StoreRevision(wire.revision);
    if wire.is_whole && is_fresh && revision >= view.revision.get() {
        view.take_upstreams(wire.upstreams.into_iter().map(KeyValue::from).collect(), revision);
        return;
    }
    let items = wire.upstreams.into_iter().map(KeyValue::from);
    for item in items.filter(|item| view.may_hold(&item.key, item.revision)) {
        view.take_upstream(&item.key, item.value, item.revision);
    }
    for gone in wire.gone {
        let key: Arc<str> = gone.key.into();
        view.remove_upstream(&key, StoreRevision(gone.revision));
    }
}
