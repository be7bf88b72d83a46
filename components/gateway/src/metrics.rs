//! Counters and histograms of a gateway.

use prometheus::{
    Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, exponential_buckets,
};

/// Counters and histograms of a gateway.
#[derive(Clone)]
pub struct GatewayMetrics {
    /// Where they are registered.
    pub registry: Registry,
    /// Answers to callers, by reason.
    pub answers: IntCounterVec,
    /// Sends to upstreams, by end.
    pub sends: IntCounterVec,
    /// Calls to the store, by call and result.
    pub store_calls: IntCounterVec,
    /// Decision log lines, by fate.
    pub log_lines: IntCounterVec,
    /// Time to the first byte of an answer, in seconds.
    pub first_byte: Histogram,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
}

impl GatewayMetrics {
    /// Registers the metrics.
    pub fn new(registry: &Registry) -> Result<GatewayMetrics, prometheus::Error> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let buckets = exponential_buckets(0.005, 2.0, 12)?;
        let opts = HistogramOpts::new(
            "lycheelatch_gateway_first_byte_seconds",
            "Time from a request's head to the first byte of its answer",
        );
        let first_byte = Histogram::with_opts(opts.buckets(buckets))?;
        registry.register(Box::new(first_byte.clone()))?;
        let config_version = IntGauge::new(
            "lycheelatch_gateway_config_version",
            "Version of the configuration in force",
        )?;
        registry.register(Box::new(config_version.clone()))?;
        Ok(GatewayMetrics {
            registry: registry.clone(),
            answers: counter(
                "lycheelatch_gateway_answers_total",
                "Answers to callers by reason",
                &["reason"],
            )?,
            sends: counter(
                "lycheelatch_gateway_sends_total",
                "Sends to upstreams by end",
                &["end"],
            )?,
            store_calls: counter(
                "lycheelatch_gateway_store_calls_total",
                "Calls to the store by call and result",
                &["call", "result"],
            )?,
            log_lines: counter(
                "lycheelatch_gateway_log_lines_total",
                "Lines of the decision log by fate",
                &["fate"],
            )?,
            first_byte,
            config_version,
        })
    }
}
