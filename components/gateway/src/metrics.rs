//! Prometheus metrics of a gateway.

use prometheus::{
    GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, exponential_buckets,
};

use crate::event_log::EVENTS;

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
    /// Phase of roll-outs by service: 0 canary, 1 promoting, 2 completed, 3 rolled back.
    pub rollout_phase: IntGaugeVec,
    /// Share of this node's requests for the canary, by service.
    pub rollout_share: GaugeVec,
    /// Share of this node's requests that the canary got since the order, by service.
    pub rollout_exposure: GaugeVec,
    /// Memory kept for clients' requests and responses, in bytes.
    pub client_memory: IntGauge,
    /// Connections that the node closed because of their client, by listener and reason.
    pub closed_connections: IntCounterVec,
}

impl GatewayMetrics {
    /// Creates the metrics and registers them; fails if one is already registered.
    pub fn new(registry: &Registry) -> Result<GatewayMetrics, prometheus::Error> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = GaugeVec::new(Opts::new(name, help), &["service"])?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let rollout_phase = IntGaugeVec::new(
            Opts::new(
                "lycheelatch_gateway_rollout_phase",
                "Phase of the service's roll-out: 0 canary, 1 promoting, 2 completed, 3 rolled back",
            ),
            &["service"],
        )?;
        registry.register(Box::new(rollout_phase.clone()))?;
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
        let client_memory = IntGauge::new(
            "lycheelatch_gateway_client_memory_bytes",
            "Memory kept for clients' requests and responses",
        )?;
        registry.register(Box::new(client_memory.clone()))?;
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
            rollout_phase,
            rollout_share: gauge(
                "lycheelatch_gateway_rollout_canary_share",
                "Share of this node's requests to the service that the canary gets",
            )?,
            rollout_exposure: gauge(
                "lycheelatch_gateway_rollout_exposure",
                "Share of this node's requests to the service that the canary got since the order",
            )?,
            client_memory,
            closed_connections: counter(
                "lycheelatch_gateway_closed_connections_total",
                "Connections that the node closed because of their client, by listener and reason",
                &["listener", "reason"],
            )?,
        })
    }
}
