//! Metrics of the replication of the configuration.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of one node's replication of the configuration.
#[derive(Clone)]
pub(crate) struct Metrics {
    /// Applied revision.
    pub(crate) revision: IntGauge,
    /// 1 if the node has the latest revision known at its start, otherwise 0.
    pub(crate) ready: IntGauge,
    /// Applied revisions, by source.
    pub(crate) advances: IntCounterVec,
    /// Pulls from peers, by result.
    pub(crate) pulls: IntCounterVec,
    /// Watches of the key-value service, by result.
    pub(crate) watches: IntCounterVec,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub(crate) fn new(registry: &Registry) -> Result<Metrics, prometheus::Error> {
        let counters =
            |name: &str, help: &str, label| IntCounterVec::new(Opts::new(name, help), &[label]);
        let metrics = Metrics {
            revision: IntGauge::new(
                "lycheelatch_config_revision",
                "Revision of the configuration in force.",
            )?,
            ready: IntGauge::new(
                "lycheelatch_config_ready",
                "Whether this node knows the highest revision.",
            )?,
            advances: counters(
                "lycheelatch_config_advances_total",
                "Revisions put in force, by source.",
                "source",
            )?,
            pulls: counters(
                "lycheelatch_config_pulls_total",
                "Questions to peers for newer revisions, by result.",
                "result",
            )?,
            watches: counters(
                "lycheelatch_config_watches_total",
                "Watches of the key-value service, by result.",
                "result",
            )?,
        };
        registry.register(Box::new(metrics.revision.clone()))?;
        registry.register(Box::new(metrics.ready.clone()))?;
        registry.register(Box::new(metrics.advances.clone()))?;
        registry.register(Box::new(metrics.pulls.clone()))?;
        registry.register(Box::new(metrics.watches.clone()))?;
        Ok(metrics)
    }
}
