//! Exchange of views of the store between nodes.
//!
//! In a large availability zone a few nodes read the store and the others
//! follow them. A node that can't reach the store reads other nodes' views.

use std::{net::SocketAddr, pin::pin, rc::Rc, sync::Arc, time::Duration};

use actix_http::{Request, Response, StatusCode, Uri, body::BoxBody};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, timeout};

#[cfg(test)]
mod tests;

use crate::{
    Gateway, KeyValue, StoreRevision,
    cache_exchange::{CACHES_PATH, engine_caches},
    connection::Connection,
    entry_source::EntrySource,
    event_log::{log_event, millis},
    messages::RevisionWire,
    node_event::NodeEvent,
    peer_http::{FETCH_TIMEOUT, FetchError, Fetched, connect, encoded, get, query_value},
    server::empty,
    stream_origin::{ORIGIN_PATH, answer_origin},
    sync::{CachedEntry, LocalChange, StoreView},
    tombstones::Tombstone,
    upstream_speeds::update_speed_metric,
};

/// Path of a node's view; the query holds the requesting node's cursor.
const VIEW_PATH: &str = "/view";

/// Prefix of all keys.
const ALL_KEYS: &str = "";

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Time between two fetches from other nodes.
const FETCH_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum time that a response waits for a change.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum number of nodes in an availability zone that read the store directly.
const MAX_READERS: usize = 2;

/// Minimum number of other live nodes in the availability zone for a node to follow one of them.
const MIN_NODES_TO_FOLLOW: usize = 2;

/// Nodes of an availability zone per node that reads the store directly.
const NODES_PER_READER: usize = 3;

/// Time for which a node reads the store directly after it failed to follow another.
const RETRY_FOLLOW_AFTER: Duration = Duration::from_secs(4);

/// Share of the time within which a change must be in force after which a node that lacks a
/// configuration reads it from another node.
const MAX_BEHIND_SHARE: f64 = 0.4;

#[derive(Debug, Serialize, Deserialize)]
struct ValueWire {
    key: String,
    value: Vec<u8>,
    revision: RevisionWire,
    created: RevisionWire,
}

#[derive(Debug, Serialize, Deserialize)]
struct TombstoneWire {
    key: String,
    revision: RevisionWire,
}

/// A node's view of the store, or its changes.
#[derive(Debug, Serialize, Deserialize)]
struct ViewWire {
    incarnation: u64,
    /// The last change that is included.
    change: u64,
    /// Whether it is the complete view; otherwise it has only the changes after the cursor.
    is_complete: bool,
    /// Time since the last response of the store, in milliseconds.
    age_ms: u64,
    revision: RevisionWire,
    config: Option<ValueWire>,
    upstreams: Vec<ValueWire>,
    tombstones: Vec<TombstoneWire>,
    /// Orders and statuses of roll-outs.
    rollouts: Vec<ValueWire>,
}

/// Position up to which another node has this node's view.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Cursor {
    incarnation: u64,
    change: LocalChange,
}

impl Cursor {
    fn query(self) -> String {
        format!("{VIEW_PATH}?incarnation={}&change={}", self.incarnation, self.change.0)
    }

    /// Parses the query of a request; a malformed one requests the complete view.
    fn from_query(query: &str) -> Cursor {
        let number = |name: &str| query_value(query, name).and_then(|value| value.parse().ok());
        let (incarnation, change) = (number("incarnation"), number("change"));
        match (incarnation, change) {
            (Some(incarnation), Some(change)) => {
                Cursor { incarnation, change: LocalChange(change) }
            }
            _ => Cursor::default(),
        }
    }
}

/// The age of a view includes the time of its transfer.
impl From<Fetched<ViewWire>> for ViewWire {
    fn from(fetched: Fetched<ViewWire>) -> ViewWire {
        let Fetched { resource: wire, transfer_time } = fetched;
        let age_ms = wire.age_ms.saturating_add(millis(transfer_time));
        ViewWire { age_ms, ..wire }
    }
}

impl From<ValueWire> for KeyValue {
    fn from(wire: ValueWire) -> KeyValue {
        KeyValue {
            key: wire.key.into(),
            value: wire.value.into(),
            revision: wire.revision.into(),
            created: wire.created.into(),
        }
    }
}

fn value_wire(key: &str, cached: &CachedEntry) -> ValueWire {
    ValueWire {
        key: key.to_owned(),
        value: cached.value.to_vec(),
        revision: cached.revision.into(),
        created: cached.created.into(),
    }
}

/// Returns the changes of a view after a cursor, or the complete view if they are not available.
fn view_wire(view: &StoreView, cursor: Cursor) -> ViewWire {
    let tombstones = view.tombstones.borrow();
    let is_complete = cursor.incarnation != view.incarnation || cursor.change < tombstones.oldest();
    let after = if is_complete { LocalChange(0) } else { cursor.change };
    let is_new = |cached: &CachedEntry| is_complete || cached.changed > after;
    let upstreams = view.upstreams.borrow();
    let tombstone_wire = |(key, tombstone): (&str, Tombstone)| TombstoneWire {
        key: key.to_owned(),
        revision: tombstone.revision.into(),
    };
    ViewWire {
        incarnation: view.incarnation,
        change: view.last_change().0,
        is_complete,
        age_ms: u64::try_from(view.age().as_millis()).unwrap_or(u64::MAX),
        revision: view.revision.get().into(),
        config: view
            .config
            .borrow()
            .as_ref()
            .filter(|cached| is_new(cached))
            .map(|cached| value_wire("", cached)),
        upstreams: upstreams
            .iter()
            .filter(|(_, cached)| is_new(cached))
            .map(|(key, cached)| value_wire(key, cached))
            .collect(),
        tombstones: tombstones.after(after).map(tombstone_wire).collect(),
        rollouts: view
            .rollouts
            .borrow()
            .iter()
            .filter(|(_, cached)| is_new(cached))
            .map(|(key, cached)| value_wire(key, cached))
            .collect(),
    }
}

/// Handles requests for this node's view and its metrics.
pub(crate) async fn handle_request(
    gateway: Rc<Gateway>,
    view: Rc<StoreView>,
    req: Request,
) -> Response<BoxBody> {
    match req.path() {
        VIEW_PATH => {
            let cursor = Cursor::from_query(req.uri().query().unwrap_or_default());
            wait_for_change(&view, cursor).await;
            encoded("view", &view_wire(&view, cursor))
        }
        ORIGIN_PATH => answer_origin(&gateway, req.uri().query().unwrap_or_default()).await,
        CACHES_PATH => encoded("caches", &engine_caches(&gateway)),
        METRICS_PATH => metrics(&gateway),
        _ => empty(StatusCode::NOT_FOUND),
    }
}

/// Waits for a change after another node's cursor.
async fn wait_for_change(view: &StoreView, cursor: Cursor) {
    if cursor.incarnation != view.incarnation {
        return;
    }
    let mut changes = view.subscribe();
    let changed = changes.wait_for(|last| *last > cursor.change);
    if timeout(LONG_POLL_TIMEOUT, changed).await.is_err() {
        log::trace!("peers: view unchanged within the wait");
    }
}

fn metrics(gateway: &Gateway) -> Response<BoxBody> {
    update_speed_metric(gateway, Instant::now());
    let families = gateway.metrics.registry.gather();
    match prometheus::TextEncoder::new().encode_to_string(&families) {
        Ok(text) => Response::ok().set_body(BoxBody::new(text)),
        Err(err) => {
            log::error!("metrics: failed to encode: {err}");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Follows a node in the availability zone that reads the store, if there is one.
pub(crate) async fn follow_reader(gateway: Rc<Gateway>, view: Rc<StoreView>) {
    let mut followed: Option<FollowedNode> = None;
    loop {
        let Some(address) = node_to_follow(&gateway) else {
            stop_following(&view, &mut followed);
            sleep(FETCH_INTERVAL).await;
            continue;
        };
        match follow_or_read(&view, address, &mut followed).await {
            Ok(()) => {
                if !view.is_following.replace(true) {
                    log_event(&NodeEvent::FollowingReader { reader: address });
                }
            }
            Err(err) => {
                log_event(&NodeEvent::ReadingStore { reason: &err.to_string() });
                stop_following(&view, &mut followed);
                sleep(RETRY_FOLLOW_AFTER.mul_f64(0.5 + rand::random::<f64>())).await;
            }
        }
    }
}

/// The followed node, with the connection to it.
struct FollowedNode {
    address: SocketAddr,
    cursor: Cursor,
    connection: Connection,
}

fn stop_following(view: &StoreView, followed: &mut Option<FollowedNode>) {
    *followed = None;
    view.is_following.set(false);
}

/// Returns the node to follow, or `None` if this node reads the store directly.
fn node_to_follow(gateway: &Gateway) -> Option<SocketAddr> {
    if !gateway.is_initialized() {
        return None;
    }
    let now = Instant::now();
    let zone = &gateway.settings.zone;
    let nodes = gateway.peers.borrow().live_in_zone(zone, now);
    if nodes.len() < MIN_NODES_TO_FOLLOW {
        return None;
    }
    let readers = ((nodes.len() + 1) / NODES_PER_READER).min(MAX_READERS);
    if gateway.peers.borrow().rank_in_zone(zone, now) < readers {
        return None;
    }
    let own = &gateway.settings.node;
    let choice = usize::from(own.as_str().bytes().last().unwrap_or(0)) % readers;
    nodes.get(choice).map(|(_, address)| *address)
}

/// Fetches the followed node's changes; while a large view takes long to arrive, this node reads
/// the store itself.
async fn follow_or_read(
    view: &StoreView,
    address: SocketAddr,
    followed: &mut Option<FollowedNode>,
) -> Result<(), FetchError> {
    let mut following = pin!(follow_once(view, address, followed));
    if let Ok(result) = timeout(LONG_POLL_TIMEOUT + FETCH_TIMEOUT, &mut following).await {
        return result;
    }
    view.is_following.set(false);
    following.await
}

async fn follow_once(
    view: &StoreView,
    address: SocketAddr,
    followed: &mut Option<FollowedNode>,
) -> Result<(), FetchError> {
    let mut current = match followed.take().filter(|previous| previous.address == address) {
        Some(previous) => previous,
        None => {
            let connection = connect(address).await?;
            FollowedNode { address, cursor: Cursor::default(), connection }
        }
    };
    let fetched = fetch(&mut current.connection, current.cursor, LONG_POLL_TIMEOUT).await?;
    let sent_age_ms = fetched.resource.age_ms;
    if Duration::from_millis(sent_age_ms) > view.max_age() {
        return Err(FetchError::Stale(sent_age_ms));
    }
    let wire = ViewWire::from(fetched);
    current.cursor = Cursor { incarnation: wire.incarnation, change: LocalChange(wire.change) };
    view.set_age(Duration::from_millis(wire.age_ms));
    apply_view(view, wire, EntrySource::Node(address));
    *followed = Some(current);
    Ok(())
}

/// Fetches other nodes' views while the store is unreachable, or while other nodes have had a
/// newer configuration for some time.
pub(crate) async fn fetch_during_outage(gateway: Rc<Gateway>, view: Rc<StoreView>) {
    let mut behind_since = None;
    loop {
        sleep(FETCH_INTERVAL).await;
        let newer = node_with_newer_config(&gateway, &mut behind_since);
        if newer.is_none() && !view.is_store_unreachable() {
            continue;
        }
        let live = gateway.peers.borrow().live_addresses(Instant::now());
        let peer = live.choose(&mut rand::rng()).copied();
        let seed = gateway.seeds().choose(&mut rand::rng()).copied();
        let Some(address) = newer.or(peer).or(seed) else { continue };
        match fetch_complete_view(address).await {
            Ok(wire) => apply_view(&view, wire, EntrySource::Node(address)),
            Err(err) => log::debug!("peers: failed to fetch the view of {address}: {err}"),
        }
    }
}

/// Returns a node with a newer configuration than this one, if there has been one for longer than
/// this node's own reads of the store should take.
fn node_with_newer_config(
    gateway: &Gateway,
    behind_since: &mut Option<Instant>,
) -> Option<SocketAddr> {
    let now = Instant::now();
    let version = gateway.table().map_or(0, |table| table.version);
    let newer = gateway.peers.borrow().with_newer_config(version, now);
    // Another one each time, as one may be slow.
    let Some(address) = newer.choose(&mut rand::rng()).copied() else {
        *behind_since = None;
        return None;
    };
    let since = *behind_since.get_or_insert(now);
    let max_time = gateway.settings.change_bound.mul_f64(MAX_BEHIND_SHARE);
    (now - since >= max_time).then_some(address)
}

async fn fetch_complete_view(address: SocketAddr) -> Result<ViewWire, FetchError> {
    let mut connection = connect(address).await?;
    Ok(fetch(&mut connection, Cursor::default(), Duration::ZERO).await?.into())
}

async fn fetch(
    connection: &mut Connection,
    cursor: Cursor,
    wait: Duration,
) -> Result<Fetched<ViewWire>, FetchError> {
    let uri = Uri::try_from(cursor.query()).unwrap_or(Uri::from_static(VIEW_PATH));
    get(connection, uri, wait).await
}

fn apply_view(view: &StoreView, wire: ViewWire, source: EntrySource) {
    if let Some(config) = wire.config {
        view.apply_config(config.value.into(), config.revision.into(), source);
    }
    let is_fresh = Duration::from_millis(wire.age_ms) <= view.max_age();
    let revision = StoreRevision::from(wire.revision);
    view.note_era(revision);
    let rollouts = wire.rollouts.into_iter().map(KeyValue::from);
    let is_ahead = is_fresh && revision >= view.revision.get();
    if wire.is_complete && is_ahead {
        view.apply_rollout_listing(ALL_KEYS, rollouts.collect(), revision);
        view.apply_listing(wire.upstreams.into_iter().map(KeyValue::from).collect(), revision);
        return;
    }
    for item in rollouts.filter(|item| view.is_current_rollout(&item.key, item.revision)) {
        view.apply_rollout(&item.key, item.value, item.revision);
    }
    let items = wire.upstreams.into_iter().map(KeyValue::from);
    for item in items.filter(|item| is_ahead || view.is_current(&item.key, item.revision)) {
        view.apply_upstream(item);
    }
    for tombstone in wire.tombstones {
        let key: Arc<str> = tombstone.key.into();
        view.remove_entry(&key, tombstone.revision.into());
    }
}
