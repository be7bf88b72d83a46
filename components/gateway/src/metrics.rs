//! Prometheus metrics of a gateway.

use prometheus::{
    GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    exponential_buckets,
};

use crate::decision::EVENTS;

/// Prometheus metrics of a gateway.
#[derive(Clone)]
pub struct GatewayMetrics {
    /// Registry that the metrics are registered with.
    pub registry: Registry,
    /// Responses to callers, by reason.
    pub answers: IntCounterVec,
    /// Attempts to send a request to an upstream, by outcome.
    pub sends: IntCounterVec,
    /// Responses whose connection the upstream closed before their end, by stage.
    pub cut_responses: IntCounterVec,
    /// Calls to the store, by call and result.
    pub store_calls: IntCounterVec,
    /// Log lines dropped because the reader of the log was too slow.
    pub unwritten_lines: IntCounter,
    /// Time from the arrival of a request to the first byte of its response, in seconds.
    pub first_byte: Histogram,
    /// Learnt speed of a service's upstreams: quantiles of the time that work takes there, relative
    /// to the service's usual.
    pub upstream_speed: GaugeVec,
    /// Version of the current configuration.
    pub config_version: IntGauge,
}

impl GatewayMetrics {
    /// Creates the metrics and registers them; fails if one is already registered.
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
        let unwritten_lines = IntCounter::new(
            "lycheelatch_gateway_unwritten_log_lines_total",
            "Lines of the log that were dropped because its reader was too slow",
        )?;
        registry.register(Box::new(unwritten_lines.clone()))?;
        let opts = Opts::new(
            "lycheelatch_gateway_upstream_speed_factor",
            "Time that work takes at upstreams relative to the service's usual, by quantile",
        );
        let upstream_speed = GaugeVec::new(opts, &["service", "quantile"])?;
        registry.register(Box::new(upstream_speed.clone()))?;
        registry.register(Box::new(EVENTS.clone()))?;
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
            cut_responses: counter(
                "lycheelatch_gateway_cut_responses_total",
                "Responses whose connection the upstream closed before their end, by stage",
                &["stage"],
            )?,
            store_calls: counter(
                "lycheelatch_gateway_store_calls_total",
                "Calls to the store by call and result",
                &["call", "result"],
            )?,
            unwritten_lines,
            upstream_speed,
            first_byte,
            config_version,
        })
    }
}
