//! Clients of the platform, from settings.

use std::sync::Arc;

use lycheelatch_platform::{
    Cloud, Endpoint, HttpCloud, HttpInstanceList, HttpKeyValue, HttpWeightStore, InstanceList,
    KeyValue, WeightStore,
};
use lycheelatch_settings::{EndpointSettings, PlatformSettings};

/// Clients of the platform's services.
#[derive(Clone)]
pub(crate) struct Clients {
    pub(crate) kv: Arc<dyn KeyValue>,
    pub(crate) instances: Arc<dyn InstanceList>,
    pub(crate) cloud: Option<Arc<dyn Cloud>>,
    pub(crate) weights: Option<Arc<dyn WeightStore>>,
}

fn endpoint(cfg: &EndpointSettings) -> Endpoint {
    Endpoint::new(&cfg.url, cfg.timeout)
}

impl Clients {
    pub(crate) fn new(cfg: &PlatformSettings) -> Clients {
        let cloud = cfg.cloud.as_ref().map(endpoint).map(HttpCloud::new);
        let weights = cfg.weights.as_ref().map(endpoint).map(HttpWeightStore::new);
        Clients {
            kv: Arc::new(HttpKeyValue::new(endpoint(&cfg.key_value.endpoint))),
            instances: Arc::new(HttpInstanceList::new(endpoint(&cfg.instances))),
            cloud: cloud.map(|cloud| Arc::new(cloud) as Arc<dyn Cloud>),
            weights: weights.map(|weights| Arc::new(weights) as Arc<dyn WeightStore>),
        }
    }
}
