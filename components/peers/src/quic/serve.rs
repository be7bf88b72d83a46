//! What arrives on the connections from peers.

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
    Shared, path, spread,
    wire::{Answer, Control, MAX_MESSAGE_BYTES, OneWay, Request, SpreadHeader, decode, encode},
};
use crate::{PeerError, Topic};

/// Handshakes under way at once; more are refused.
const MAX_HANDSHAKES: usize = 512;

/// Takes connections in until the endpoint is closed.
pub(crate) async fn accept_connections(shared: Arc<Shared>) {
    let handshakes = Arc::new(());
    while let Some(incoming) = shared.endpoint.accept().await {
        if Arc::strong_count(&handshakes) > MAX_HANDSHAKES {
            incoming.refuse();
            continue;
        }
        let (shared, slot) = (shared.clone(), handshakes.clone());
        spawn_local(async move {
            take_in(&shared, incoming).await;
            drop(slot);
        });
    }
}

async fn take_in(shared: &Arc<Shared>, incoming: Incoming) {
    let addr = incoming.remote_address();
    let refused = |reason: &str| {
        shared.metrics.refused.inc();
        log::debug!("peers: refused a connection from {addr}: {reason}");
    };
    let conn = match incoming.accept() {
        Ok(connecting) => timeout(path::HANDSHAKE_TIMEOUT, connecting).await,
        Err(err) => Ok(Err(err)),
    };
    let conn = match conn.unwrap_or(Err(ConnectionError::TimedOut)) {
        Ok(conn) => conn,
        Err(err) => return refused(&err.to_string()),
    };
    match path::welcome(shared, &conn).await {
        Some(node) => drop(shared.adopt(node, conn)),
        None => refused("not a node of this cluster"),
    }
}

/// Serves a connection until it ends.
pub(crate) async fn serve(shared: Arc<Shared>, node: NodeId, conn: Connection) {
    shared.metrics.connections.inc();
    tokio::join!(
        take_datagrams(&shared, &node, &conn),
        take_one_way(&shared, &node, &conn),
        take_two_way(&shared, &node, &conn),
    );
    shared.paths.remove(&node, &conn);
    shared.traffic.end(&conn, &shared.metrics);
    shared.metrics.connections.dec();
}

async fn take_datagrams(shared: &Arc<Shared>, node: &NodeId, conn: &Connection) {
    while let Ok(frame) = conn.read_datagram().await {
        take_control(shared, node, &frame);
    }
}

fn take_control(shared: &Arc<Shared>, node: &NodeId, frame: &Bytes) {
    let Ok((msg, _)) = decode::<Control>(frame) else { return };
    shared.metrics.count("in", msg.body.kind());
    let out = shared.with_membership(|m| m.handle(Instant::now(), node, msg));
    shared.send_all(out);
}

async fn take_one_way(shared: &Arc<Shared>, node: &NodeId, conn: &Connection) {
    while let Ok(mut rx) = conn.accept_uni().await {
        let (shared, node) = (shared.clone(), node.clone());
        spawn_local(async move {
            let Ok(frame) = rx.read_to_end(MAX_MESSAGE_BYTES).await else { return };
            match decode::<OneWay>(&frame.into()) {
                Ok((OneWay::Control, payload)) => take_control(&shared, &node, &payload),
                Ok((OneWay::Spread(header), payload)) => {
                    take_spread(&shared, &node, header, payload).await;
                }
                Err(err) => log::debug!("peers: from {node}: {err}"),
            }
        });
    }
}

/// Forwards a spread message and hands it to the topic, the first time that it is seen.
async fn take_spread(shared: &Arc<Shared>, node: &NodeId, header: SpreadHeader, payload: Bytes) {
    shared.metrics.count("in", "spread");
    if !shared.note_spread(spread_key(&header)) || header.origin == shared.hello.node {
        return;
    }
    spread::forward(shared, &header, &payload, Some(node));
    if let Err(err) = handle(shared, &header.origin, header.topic, payload).await {
        log::debug!("peers: spread message of {}: {err}", header.origin);
    }
}

/// Returns the number that stands for a spread message.
pub(crate) fn spread_key(header: &SpreadHeader) -> u64 {
    xxh3_64_with_seed(header.origin.as_str().as_bytes(), header.id)
}

async fn take_two_way(shared: &Arc<Shared>, node: &NodeId, conn: &Connection) {
    while let Ok((tx, rx)) = conn.accept_bi().await {
        let (shared, node) = (shared.clone(), node.clone());
        spawn_local(async move {
            if let Err(err) = answer(&shared, &node, tx, rx).await {
                log::debug!("peers: call of {node}: {err}");
            }
        });
    }
}

/// Answers one request.
async fn answer(
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
        Request::Hello(_) => return Err(PeerError::BadMessage { reason: "a second hello".into() }),
        Request::Echo => encode(&Answer::Done, &[]),
        Request::Call(topic) => {
            shared.metrics.count("in", "call");
            match handle(shared, node, topic, payload).await {
                Ok(payload) => encode(&Answer::Done, &payload),
                Err(err) => encode(&Answer::from(err), &[]),
            }
        }
    };
    tx.write_all(&frame).await.map_err(|err| lost(err.to_string()))?;
    tx.finish().map_err(|err| lost(err.to_string()))
}

async fn handle(
    shared: &Arc<Shared>,
    from: &NodeId,
    topic: Topic,
    msg: Bytes,
) -> Result<Bytes, PeerError> {
    let handler = shared.handler(topic).ok_or(PeerError::NoHandler { topic })?;
    handler.handle(from, msg).await
}
