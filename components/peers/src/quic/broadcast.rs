//! Forwards broadcast messages to the overlay neighbours.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use lycheelatch_prelude::NodeId;
use tokio::{task::spawn_local, time::timeout};

use super::{
    Shared, connection,
    wire::{BroadcastHeader, UniHeader, encode},
};

/// Timeout for sending a message to one neighbour.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of the broadcast messages waiting to be sent, in bytes; more are dropped.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

/// Sends a message to every neighbour except its origin and the node that forwarded it.
pub(crate) fn forward(
    shared: &Arc<Shared>,
    header: &BroadcastHeader,
    payload: &Bytes,
    from: Option<&NodeId>,
) {
    let frame = encode(&UniHeader::Broadcast(header.clone()), payload);
    let neighbours = shared.neighbours.load_full();
    for to in neighbours.iter().filter(|id| Some(*id) != from && **id != header.origin) {
        send(shared, to.clone(), frame.clone());
    }
}

fn send(shared: &Arc<Shared>, to: NodeId, frame: Bytes) {
    let queued = shared.queued_bytes.fetch_add(frame.len(), Ordering::Relaxed);
    if queued + frame.len() > MAX_QUEUED_BYTES {
        shared.queued_bytes.fetch_sub(frame.len(), Ordering::Relaxed);
        shared.metrics.broadcasts_dropped.inc();
        return;
    }
    let shared = shared.clone();
    spawn_local(async move {
        let sent = timeout(SEND_TIMEOUT, write_frame(&shared, &to, &frame)).await;
        shared.queued_bytes.fetch_sub(frame.len(), Ordering::Relaxed);
        match sent.ok().flatten() {
            Some(()) => shared.metrics.count_message("out", "spread"),
            None => log::debug!("peers: failed to forward a broadcast to {to}"),
        }
    });
}

/// Writes a frame and waits until the peer has acknowledged all of it.
async fn write_frame(shared: &Arc<Shared>, to: &NodeId, frame: &Bytes) -> Option<()> {
    let peer = connection::working_connection(shared, to, None).await.ok()?;
    let mut tx = peer.conn.open_uni().await.ok()?;
    tx.write_all(frame).await.ok()?;
    tx.finish().ok()?;
    tx.stopped().await.ok()?;
    Some(())
}
