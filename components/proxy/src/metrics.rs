//! Metrics of the request path.

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry};

/// Bucket bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12, 10.24];

/// Metrics of the request path.
#[derive(Clone)]
pub struct ProxyMetrics {
    /// Requests by service, workspace and outcome.
    pub requests: IntCounterVec,
    /// Attempts at upstreams by service and kind: first attempt or retry.
    pub attempts: IntCounterVec,
    /// Time to the first token or byte by service, in seconds.
    pub first_byte: HistogramVec,
    /// Tokens relayed by service.
    pub tokens: IntCounterVec,
    /// Responses resumed at another upstream, by service and cause.
    pub resumes: IntCounterVec,
    /// Requests that are not settled.
    pub open: IntGauge,
}

impl ProxyMetrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &Registry) -> Result<ProxyMetrics, prometheus::Error> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let first_byte = HistogramVec::new(
            HistogramOpts::new(
                "lycheelatch_first_byte_seconds",
                "Time to the first token or byte of an answer.",
            )
            .buckets(LATENCY_BUCKETS_SECONDS.to_vec()),
            &["service"],
        )?;
        registry.register(Box::new(first_byte.clone()))?;
        let open = IntGauge::new("lycheelatch_open_requests", "Requests that are not settled.")?;
        registry.register(Box::new(open.clone()))?;
        Ok(ProxyMetrics {
            requests: counter(
                "lycheelatch_requests_total",
                "Requests that were settled.",
                &["service", "workspace", "outcome"],
            )?,
            attempts: counter(
                "lycheelatch_attempts_total",
                "Attempts at upstreams.",
                &["service", "kind"],
            )?,
            first_byte,
            tokens: counter("lycheelatch_tokens_total", "Tokens that were relayed.", &["service"])?,
            resumes: counter(
                "lycheelatch_resumes_total",
                "Answers that went on at another upstream.",
                &["service", "cause"],
            )?,
            open,
        })
    }
}
