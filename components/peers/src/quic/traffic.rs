//! Counts the traffic of the connections.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use quinn::Connection;

use crate::PeerMetrics;

/// The open connections, each with the counters already added to the metrics.
#[derive(Default)]
pub(crate) struct Traffic(Mutex<HashMap<usize, (Connection, Counters)>>);

#[derive(Clone, Copy, Default)]
struct Counters {
    bytes: [u64; 2],
    datagrams: [u64; 2],
}

impl Traffic {
    /// Starts counting the traffic of a connection.
    pub(crate) fn start(&self, conn: &Connection) {
        let mut conns = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        conns.insert(conn.stable_id(), (conn.clone(), Counters::default()));
    }

    /// Adds the traffic since the last call to the metrics.
    pub(crate) fn sample(&self, metrics: &PeerMetrics) {
        let mut conns = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for (conn, counters) in conns.values_mut() {
            count(conn, counters, metrics);
        }
    }

    /// Adds the remaining traffic of a closed connection to the metrics.
    pub(crate) fn finish(&self, conn: &Connection, metrics: &PeerMetrics) {
        let mut conns = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((conn, mut counters)) = conns.remove(&conn.stable_id()) {
            count(&conn, &mut counters, metrics);
        }
    }
}

fn count(conn: &Connection, counters: &mut Counters, metrics: &PeerMetrics) {
    let stats = conn.stats();
    let now = Counters {
        bytes: [stats.udp_rx.bytes, stats.udp_tx.bytes],
        datagrams: [stats.udp_rx.datagrams, stats.udp_tx.datagrams],
    };
    for (i, direction) in ["in", "out"].iter().enumerate() {
        let bytes = metrics.bytes.with_label_values(&[direction]);
        bytes.inc_by(now.bytes[i].saturating_sub(counters.bytes[i]));
        let datagrams = metrics.datagrams.with_label_values(&[direction]);
        datagrams.inc_by(now.datagrams[i].saturating_sub(counters.datagrams[i]));
    }
    *counters = now;
}
