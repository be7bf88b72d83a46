//! Creates the clients of the platform's services from the settings.

use std::sync::Arc;

use lycheelatch_provider::{
    Cloud, Endpoint, HttpCloud, HttpInstanceList, HttpKeyValue, HttpWeightStore, InstanceList,
    KvCallBudget, KvCallLimits, WeightStore,
};
use lycheelatch_settings::{EndpointSettings, PlatformSettings};

/// Clients of the platform's services.
#[derive(Clone)]
pub(crate) struct Clients {
    pub(crate) budget: Arc<KvCallBudget>,
    pub(crate) instances: Arc<dyn InstanceList>,
    pub(crate) cloud: Option<Arc<dyn Cloud>>,
    pub(crate) weights: Option<Arc<dyn WeightStore>>,
}

fn endpoint(cfg: &EndpointSettings) -> Endpoint {
    Endpoint::new(&cfg.url, cfg.timeout)
}

impl Clients {
    pub(crate) fn new(
        cfg: &PlatformSettings,
        metrics: &prometheus::Registry,
    ) -> Result<Clients, prometheus::Error> {
        let kv = HttpKeyValue::new(endpoint(&cfg.key_value.endpoint));
        let limits = KvCallLimits {
            writes_per_second: f64::from(cfg.key_value.writes_per_second),
            reads_per_second: f64::from(cfg.key_value.reads_per_second),
            ..KvCallLimits::default()
        };
        let cloud = cfg.cloud.as_ref().map(endpoint).map(HttpCloud::new);
        let weights = cfg.weights.as_ref().map(endpoint).map(HttpWeightStore::new);
        Ok(Clients {
            budget: KvCallBudget::new(Arc::new(kv), limits, metrics)?,
            instances: Arc::new(HttpInstanceList::new(endpoint(&cfg.instances))),
            cloud: cloud.map(|cloud| Arc::new(cloud) as Arc<dyn Cloud>),
            weights: weights.map(|weights| Arc::new(weights) as Arc<dyn WeightStore>),
        })
    }
}
