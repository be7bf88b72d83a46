//! Sends spread messages on to the neighbours.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use lycheelatch_prelude::NodeId;
use tokio::{task::spawn_local, time::timeout};

use super::{
    Shared, path,
    wire::{OneWay, SpreadHeader, encode},
};

/// Time that sending to one neighbour may take.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes of spread messages that wait to be sent; more are dropped.
const MAX_WAITING_BYTES: usize = 4 * 1024 * 1024;

/// Sends a message to every neighbour but its origin and the node that it came from.
pub(crate) fn forward(
    shared: &Arc<Shared>,
    header: &SpreadHeader,
    payload: &Bytes,
    from: Option<&NodeId>,
) {
    let frame = encode(&OneWay::Spread(header.clone()), payload);
    let neighbours = shared.neighbours.load_full();
    for to in neighbours.iter().filter(|id| Some(*id) != from && **id != header.origin) {
        send(shared, to.clone(), frame.clone());
    }
}

fn send(shared: &Arc<Shared>, to: NodeId, frame: Bytes) {
    let waiting = shared.waiting_bytes.fetch_add(frame.len(), Ordering::Relaxed);
    if waiting + frame.len() > MAX_WAITING_BYTES {
        shared.waiting_bytes.fetch_sub(frame.len(), Ordering::Relaxed);
        shared.metrics.dropped.inc();
        return;
    }
    let shared = shared.clone();
    spawn_local(async move {
        let sent = timeout(SEND_TIMEOUT, write(&shared, &to, &frame)).await;
        shared.waiting_bytes.fetch_sub(frame.len(), Ordering::Relaxed);
        match sent.ok().flatten() {
            Some(()) => shared.metrics.count("out", "spread"),
            None => log::debug!("peers: spread message did not reach {to}"),
        }
    });
}

/// Writes a frame and waits until the peer has all of it.
async fn write(shared: &Arc<Shared>, to: &NodeId, frame: &Bytes) -> Option<()> {
    let path = path::working_path(shared, to, None).await.ok()?;
    let mut tx = path.conn.open_uni().await.ok()?;
    tx.write_all(frame).await.ok()?;
    tx.finish().ok()?;
    tx.stopped().await.ok()?;
    Some(())
}
