//! Counts the bytes on connections.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use quinn::Connection;

use crate::PeerMetrics;

/// Bytes and datagrams of each connection that were counted already.
#[derive(Default)]
pub(crate) struct Traffic(Mutex<HashMap<usize, (Connection, Counted)>>);

#[derive(Clone, Copy, Default)]
struct Counted {
    bytes: [u64; 2],
    datagrams: [u64; 2],
}

impl Traffic {
    /// Starts to count a connection.
    pub(crate) fn start(&self, conn: &Connection) {
        let mut conns = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        conns.insert(conn.stable_id(), (conn.clone(), Counted::default()));
    }

    /// Counts what came since the last call.
    pub(crate) fn sample(&self, metrics: &PeerMetrics) {
        let mut conns = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for (conn, counted) in conns.values_mut() {
            count(conn, counted, metrics);
        }
    }

    /// Counts the rest of a connection that ended.
    pub(crate) fn end(&self, conn: &Connection, metrics: &PeerMetrics) {
        let mut conns = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((conn, mut counted)) = conns.remove(&conn.stable_id()) {
            count(&conn, &mut counted, metrics);
        }
    }
}

fn count(conn: &Connection, counted: &mut Counted, metrics: &PeerMetrics) {
    let stats = conn.stats();
    let now = Counted {
        bytes: [stats.udp_rx.bytes, stats.udp_tx.bytes],
        datagrams: [stats.udp_rx.datagrams, stats.udp_tx.datagrams],
    };
    for (i, direction) in ["in", "out"].iter().enumerate() {
        let bytes = metrics.bytes.with_label_values(&[direction]);
        bytes.inc_by(now.bytes[i].saturating_sub(counted.bytes[i]));
        let datagrams = metrics.datagrams.with_label_values(&[direction]);
        datagrams.inc_by(now.datagrams[i].saturating_sub(counted.datagrams[i]));
    }
    *counted = now;
}
