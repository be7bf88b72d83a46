//! In-memory weight store.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use async_trait::async_trait;
use lycheelatch_prelude::{ModelName, ModelVersion};
use lycheelatch_provider::{WeightInfo, WeightStore, WeightStoreError};

use crate::{Fault, Faults};

/// In-memory weight store; clones share their content.
#[derive(Clone, Default)]
pub struct MemoryWeights {
    infos: Arc<Mutex<HashMap<(ModelName, ModelVersion), WeightInfo>>>,
    /// Faults to inject; any fault makes the call fail.
    pub faults: Faults,
}

impl MemoryWeights {
    /// Creates an empty store.
    pub fn new() -> MemoryWeights {
        MemoryWeights::default()
    }

    /// Adds a model version.
    pub fn add(&self, info: WeightInfo) {
        let key = (info.model.clone(), info.version.clone());
        self.infos.lock().unwrap().insert(key, info);
    }
}

#[async_trait(?Send)]
impl WeightStore for MemoryWeights {
    async fn info(
        &self,
        model: &ModelName,
        version: &ModelVersion,
    ) -> Result<WeightInfo, WeightStoreError> {
        if self.faults.next() != Fault::None {
            return Err(WeightStoreError::Unavailable {
                reason: "injected fault: call failed".into(),
            });
        }
        let key = (model.clone(), version.clone());
        let not_found =
            || WeightStoreError::NotFound { model: model.clone(), version: version.clone() };
        self.infos.lock().unwrap().get(&key).cloned().ok_or_else(not_found)
    }
}
