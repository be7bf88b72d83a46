//! Gives and takes what nodes hold of the store, for nodes that can't reach it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Method, Request, Response, StatusCode, Uri, body::BoxBody, header::HeaderMap};
use bytes::Bytes;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    Gateway, Item, StoreRevision,
    connection::{Connection, Outgoing},
    server::empty,
    sync::View,
};

/// Path of what a node holds.
const VIEW_PATH: &str = "/view";

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Time between two questions to other nodes.
const ASK_INTERVAL: Duration = Duration::from_millis(400);

/// Time limit of one question.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// Age from which another node's view is not taken over.
const MAX_AGE_MS: u64 = 1600;

/// Largest view that is read, in bytes.
const MAX_VIEW_BYTES: usize = 16 << 20;

#[derive(Debug, Serialize, Deserialize)]
struct ValueWire {
    key: String,
    value: Vec<u8>,
    revision: u64,
}

/// What a node holds of the store.
#[derive(Debug, Serialize, Deserialize)]
struct ViewWire {
    /// Time since the store answered, in milliseconds.
    age_ms: u64,
    revision: u64,
    config: Option<ValueWire>,
    upstreams: Vec<ValueWire>,
}

impl From<&View> for ViewWire {
    fn from(view: &View) -> ViewWire {
        let wire = |key: &str, held: &crate::sync::Held| ValueWire {
            key: key.to_owned(),
            value: held.value.to_vec(),
            revision: held.revision.0,
        };
        ViewWire {
            age_ms: u64::try_from(view.age().as_millis()).unwrap_or(u64::MAX),
            revision: view.revision.get().0,
            config: view.config.borrow().as_ref().map(|held| wire("", held)),
            upstreams: view.upstreams.borrow().iter().map(|(key, held)| wire(key, held)).collect(),
        }
    }
}

impl From<ValueWire> for Item {
    fn from(wire: ValueWire) -> Item {
        let revision = StoreRevision(wire.revision);
        Item { key: wire.key.into(), value: wire.value.into(), revision, created: revision }
    }
}

/// Answers other nodes and whoever reads the metrics.
pub(crate) async fn answer(
    gateway: Rc<Gateway>,
    view: Rc<View>,
    req: Request,
) -> Response<BoxBody> {
    match req.path() {
        VIEW_PATH => match postcard::to_stdvec(&ViewWire::from(&*view)) {
            Ok(body) => Response::ok().set_body(BoxBody::new(Bytes::from(body))),
            Err(err) => {
                log::error!("peers: the view can't be encoded: {err}");
                empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        },
        METRICS_PATH => metrics(&gateway),
        _ => empty(StatusCode::NOT_FOUND),
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

/// Asks other nodes for what they hold while the store does not answer.
pub(crate) async fn follow_others(gateway: Rc<Gateway>, view: Rc<View>) {
    loop {
        sleep(ASK_INTERVAL).await;
        if !view.is_cut_off() {
            continue;
        }
        let heard = gateway.peers.borrow().heard_addresses(Instant::now());
        let asked = heard.choose(&mut rand::rng()).copied();
        let seed = gateway.settings.seeds.choose(&mut rand::rng()).copied();
        let Some(address) = asked.or(seed) else { continue };
        match timeout(ASK_TIMEOUT, ask(address)).await {
            Ok(Ok(wire)) => take(&view, wire),
            Ok(Err(err)) => log::debug!("peers: {address} did not say what it holds: {err}"),
            Err(_) => log::debug!("peers: {address} did not say what it holds in time"),
        }
    }
}

async fn ask(address: SocketAddr) -> Result<ViewWire, Box<dyn std::error::Error>> {
    let mut connection = Connection::open(address, ASK_TIMEOUT).await?;
    let req = Outgoing {
        method: Method::GET,
        uri: Uri::from_static(VIEW_PATH),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let head = connection.exchange(req).await?;
    if head.status != StatusCode::OK {
        return Err(format!("status {}", head.status).into());
    }
    let body = connection.whole_body(MAX_VIEW_BYTES).await?;
    Ok(postcard::from_bytes(&body)?)
}

fn take(view: &View, wire: ViewWire) {
    if let Some(config) = wire.config {
        view.take_config(config.value.into(), StoreRevision(config.revision));
    }
    if wire.age_ms > MAX_AGE_MS && !wire.upstreams.is_empty() {
        for item in wire.upstreams.into_iter().map(Item::from) {
            view.take_upstream(&item.key, item.value, item.revision);
        }
        return;
    }
    let revision = StoreRevision(wire.revision);
    let items: Vec<Item> = wire.upstreams.into_iter().map(Item::from).collect();
    if revision > view.revision.get() {
        view.take_upstreams(items, revision);
    }
}
