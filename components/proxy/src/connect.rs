//! Clients of upstreams.

use std::sync::Arc;

use lycheelatch_config::{Service, ServiceKind};
use lycheelatch_provider::ListedInstance;
use lycheelatch_upstream::{Engine, HttpEngine, HttpPlainService, PlainService, UpstreamTimeouts};

/// A client of one upstream.
#[derive(Clone)]
pub enum UpstreamClient {
    /// A model engine.
    Engine(Arc<dyn Engine>),
    /// An instance of a plain service.
    Plain(Arc<dyn PlainService>),
}

/// Creates clients of upstreams.
pub trait Connect: Send + Sync {
    /// Creates a client of the instance `listed`, which belongs to `service`.
    fn connect(&self, service: &Service, listed: &ListedInstance) -> UpstreamClient;
}

/// Creates HTTP clients.
pub struct HttpConnect;

impl Connect for HttpConnect {
    fn connect(&self, service: &Service, listed: &ListedInstance) -> UpstreamClient {
        let timeouts = UpstreamTimeouts {
            silence: std::time::Duration::from_millis(service.limits.silence_ms),
            ..UpstreamTimeouts::default()
        };
        match service.kind {
            ServiceKind::Model => {
                UpstreamClient::Engine(Arc::new(HttpEngine::new(listed.addr, timeouts)))
            }
            ServiceKind::Plain => {
                UpstreamClient::Plain(Arc::new(HttpPlainService::new(listed.addr, timeouts)))
            }
        }
    }
}
