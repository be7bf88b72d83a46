//! Metrics of the communication between nodes.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};

use crate::{MemberState, Members};

/// Upper bounds of the histogram buckets for round-trip times, in seconds.
const RTT_BUCKETS: [f64; 10] = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5];

/// Metrics of one node's link.
#[derive(Clone)]
pub struct PeerMetrics {
    /// Bytes in UDP datagrams, by direction.
    pub bytes: IntCounterVec,
    /// UDP datagrams, by direction.
    pub datagrams: IntCounterVec,
    /// Messages, by direction and kind.
    pub messages: IntCounterVec,
    /// Members, by state.
    pub members: IntGaugeVec,
    /// Open connections to peers.
    pub connections: IntGauge,
    /// Connections replaced because nothing was received on them.
    pub connections_replaced: IntCounter,
    /// Handshakes that were rejected or failed.
    pub handshakes_failed: IntCounter,
    /// Broadcast messages dropped because the send queue was full.
    pub broadcasts_dropped: IntCounter,
    /// Round-trip time of connections when a membership message is sent, in seconds.
    pub probe_rtt: Histogram,
}

impl PeerMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    /// Fails if metrics with the same names are already registered.
    pub fn new(registry: &Registry) -> Result<PeerMetrics, prometheus::Error> {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        let metrics = PeerMetrics {
            bytes: counters(
                "lycheelatch_peer_bytes_total",
                "Bytes in UDP datagrams between nodes.",
                &["direction"],
            )?,
            datagrams: counters(
                "lycheelatch_peer_datagrams_total",
                "UDP datagrams between nodes.",
                &["direction"],
            )?,
            messages: counters(
                "lycheelatch_peer_messages_total",
                "Messages between nodes.",
                &["direction", "kind"],
            )?,
            members: IntGaugeVec::new(
                Opts::new("lycheelatch_members", "Members as this node sees them."),
                &["state"],
            )?,
            connections: IntGauge::new(
                "lycheelatch_peer_connections",
                "Open connections to other nodes.",
            )?,
            connections_replaced: IntCounter::new(
                "lycheelatch_peer_connections_replaced_total",
                "Connections replaced because they had gone silent.",
            )?,
            handshakes_failed: IntCounter::new(
                "lycheelatch_peer_handshakes_failed_total",
                "Handshakes that were refused or failed.",
            )?,
            broadcasts_dropped: IntCounter::new(
                "lycheelatch_peer_spread_dropped_total",
                "Spread messages dropped because too many were waiting.",
            )?,
            probe_rtt: Histogram::with_opts(
                HistogramOpts::new(
                    "lycheelatch_peer_probe_rtt_seconds",
                    "Round trip of connections to probed members.",
                )
                .buckets(RTT_BUCKETS.to_vec()),
            )?,
        };
        metrics.register(registry)?;
        Ok(metrics)
    }

    fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        registry.register(Box::new(self.bytes.clone()))?;
        registry.register(Box::new(self.datagrams.clone()))?;
        registry.register(Box::new(self.messages.clone()))?;
        registry.register(Box::new(self.members.clone()))?;
        registry.register(Box::new(self.connections.clone()))?;
        registry.register(Box::new(self.connections_replaced.clone()))?;
        registry.register(Box::new(self.handshakes_failed.clone()))?;
        registry.register(Box::new(self.broadcasts_dropped.clone()))?;
        registry.register(Box::new(self.probe_rtt.clone()))
    }

    /// Counts a message by direction (`in` or `out`) and kind.
    pub(crate) fn count_message(&self, direction: &str, kind: &str) {
        self.messages.with_label_values(&[direction, kind]).inc();
    }

    /// Sets the number of members in each state.
    pub(crate) fn set_members(&self, members: &Members) {
        let states = [
            (MemberState::Alive, "alive"),
            (MemberState::Suspect, "suspect"),
            (MemberState::Leaving, "leaving"),
            (MemberState::Dead, "dead"),
        ];
        for (state, label) in states {
            let count = members.0.values().filter(|m| m.state == state).count();
            self.members.with_label_values(&[label]).set(count as i64);
        }
    }
}
