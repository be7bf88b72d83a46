//! Clients of the platform, from settings.

use std::sync::Arc;

use lycheelatch_platform::{Endpoint, HttpInstanceList, HttpKeyValue, InstanceList, KeyValue};
use lycheelatch_settings::{EndpointSettings, PlatformSettings};

/// Clients of the platform's services.
#[derive(Clone)]
pub(crate) struct Clients {
    pub(crate) kv: Arc<dyn KeyValue>,
    pub(crate) instances: Arc<dyn InstanceList>,
}

fn endpoint(cfg: &EndpointSettings) -> Endpoint {
    Endpoint::new(&cfg.url, cfg.timeout)
}

impl Clients {
    pub(crate) fn new(cfg: &PlatformSettings) -> Clients {
        Clients {
            kv: Arc::new(HttpKeyValue::new(endpoint(&cfg.key_value.endpoint))),
            instances: Arc::new(HttpInstanceList::new(endpoint(&cfg.instances))),
        }
    }
}
