//! Accepts connections and processes the messages received on them.

use std::sync::Arc;

use bytes::Bytes;
use lycheelatch_prelude::NodeId;
use quinn::{Connection, ConnectionError, Incoming, RecvStream, SendStream};
use tokio::{
    task::spawn_local,
    time::{Instant, timeout},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    Shared, broadcast, connection,
    wire::{
        BroadcastHeader, Control, MAX_MESSAGE_BYTES, Request, Response, UniHeader, decode, encode,
    },
};
use crate::{PeerError, Topic};

/// Maximum number of concurrent handshakes; further connections are refused.
const MAX_HANDSHAKES: usize = 512;

/// Accepts connections until the endpoint is closed.
pub(crate) async fn accept_connections(shared: Arc<Shared>) {
    let handshakes = Arc::new(());
    while let Some(incoming) = shared.endpoint.accept().await {
        if Arc::strong_count(&handshakes) > MAX_HANDSHAKES {
            incoming.refuse();
            continue;
        }
        let (shared, slot) = (shared.clone(), handshakes.clone());
        spawn_local(async move {
            accept(&shared, incoming).await;
            drop(slot);
        });
    }
}

async fn accept(shared: &Arc<Shared>, incoming: Incoming) {
    let addr = incoming.remote_address();
    let reject = |reason: &str| {
        shared.metrics.handshakes_failed.inc();
        log::debug!("peers: rejected a connection from {addr}: {reason}");
    };
    let conn = match incoming.accept() {
        Ok(connecting) => timeout(connection::HANDSHAKE_TIMEOUT, connecting).await,
        Err(err) => Ok(Err(err)),
    };
    let conn = match conn.unwrap_or(Err(ConnectionError::TimedOut)) {
        Ok(conn) => conn,
        Err(err) => return reject(&err.to_string()),
    };
    match connection::accept_hello(shared, &conn).await {
        Some(node) => drop(shared.register_connection(node, conn)),
        None => reject("not a node of this cluster"),
    }
}

/// Processes the messages on a connection until it is closed.
pub(crate) async fn serve(shared: Arc<Shared>, node: NodeId, conn: Connection) {
    shared.metrics.connections.inc();
    tokio::join!(
        read_datagrams(&shared, &node, &conn),
        accept_uni_streams(&shared, &node, &conn),
        accept_bi_streams(&shared, &node, &conn),
    );
    shared.connections.remove(&node, &conn);
    shared.traffic.finish(&conn, &shared.metrics);
    shared.metrics.connections.dec();
}

async fn read_datagrams(shared: &Arc<Shared>, node: &NodeId, conn: &Connection) {
    while let Ok(frame) = conn.read_datagram().await {
        handle_control(shared, node, &frame);
    }
}

fn handle_control(shared: &Arc<Shared>, node: &NodeId, frame: &Bytes) {
    let Ok((msg, _)) = decode::<Control>(frame) else { return };
    shared.metrics.count_message("in", msg.body.kind());
    let out = shared.with_membership(|m| m.handle(Instant::now(), node, msg));
    shared.send_all(out);
}

async fn accept_uni_streams(shared: &Arc<Shared>, node: &NodeId, conn: &Connection) {
    while let Ok(mut rx) = conn.accept_uni().await {
        let (shared, node) = (shared.clone(), node.clone());
        spawn_local(async move {
            let Ok(frame) = rx.read_to_end(MAX_MESSAGE_BYTES).await else { return };
            match decode::<UniHeader>(&frame.into()) {
                Ok((UniHeader::Control, payload)) => handle_control(&shared, &node, &payload),
                Ok((UniHeader::Broadcast(header), payload)) => {
                    handle_broadcast(&shared, &node, header, payload).await;
                }
                Err(err) => log::debug!("peers: invalid message from {node}: {err}"),
            }
        });
    }
}

/// Forwards a broadcast message and passes it to the topic's handler, unless it is a duplicate.
async fn handle_broadcast(
    shared: &Arc<Shared>,
    node: &NodeId,
    header: BroadcastHeader,
    payload: Bytes,
) {
    shared.metrics.count_message("in", "spread");
    if !shared.record_broadcast(broadcast_key(&header)) || header.origin == shared.hello.node {
        return;
    }
    broadcast::forward(shared, &header, &payload, Some(node));
    if let Err(err) = dispatch(shared, &header.origin, header.topic, payload).await {
        log::debug!("peers: failed to handle a broadcast from {}: {err}", header.origin);
    }
}

/// Returns the key that identifies a broadcast message.
pub(crate) fn broadcast_key(header: &BroadcastHeader) -> u64 {
    xxh3_64_with_seed(header.origin.as_str().as_bytes(), header.id)
}

async fn accept_bi_streams(shared: &Arc<Shared>, node: &NodeId, conn: &Connection) {
    while let Ok((tx, rx)) = conn.accept_bi().await {
        let (shared, node) = (shared.clone(), node.clone());
        spawn_local(async move {
            if let Err(err) = respond(&shared, &node, tx, rx).await {
                log::debug!("peers: failed to serve a call from {node}: {err}");
            }
        });
    }
}

/// Processes one request and sends the response.
async fn respond(
    shared: &Arc<Shared>,
    node: &NodeId,
    mut tx: SendStream,
    mut rx: RecvStream,
) -> Result<(), PeerError> {
    let lost =
        |reason: String| PeerError::ResponseLost { node: node.clone(), reason: reason.into() };
    let frame = rx.read_to_end(MAX_MESSAGE_BYTES).await.map_err(|err| lost(err.to_string()))?;
    let (request, payload) = decode::<Request>(&frame.into())?;
    let frame = match request {
        Request::Hello(_) => {
            return Err(PeerError::BadMessage {
                reason: "unexpected second hello on the connection".into(),
            });
        }
        Request::Echo => encode(&Response::Done, &[]),
        Request::Call(topic) => {
            shared.metrics.count_message("in", "call");
            match dispatch(shared, node, topic, payload).await {
                Ok(payload) => encode(&Response::Done, &payload),
                Err(err) => encode(&Response::from(err), &[]),
            }
        }
    };
    tx.write_all(&frame).await.map_err(|err| lost(err.to_string()))?;
    tx.finish().map_err(|err| lost(err.to_string()))
}

async fn dispatch(
    shared: &Arc<Shared>,
    from: &NodeId,
    topic: Topic,
    msg: Bytes,
) -> Result<Bytes, PeerError> {
    let handler = shared.handler(topic).ok_or(PeerError::NoHandler { topic })?;
    handler.handle(from, msg).await
}
