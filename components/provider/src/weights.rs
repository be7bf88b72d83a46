//! The weight store, which engines load models from.

use std::sync::Arc;

use async_trait::async_trait;
use displaydoc::Display;
use lycheelatch_prelude::{ModelName, ModelVersion};

/// What the weight store says of one model version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightInfo {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the model.
    pub version: ModelVersion,
    /// Size of the weights, in bytes.
    pub bytes: u64,
    /// Rate of the whole store, shared by all who load from it, in bytes a second.
    pub store_bytes_per_second: u64,
}

/// Why a call to the weight store failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum WeightStoreError {
    /// the weight store has no {model} version {version}
    NotFound {
        /// Name of the model.
        model: ModelName,
        /// Version of the model.
        version: ModelVersion,
    },
    /// the weight store can't be reached: {reason}
    Unavailable {
        /// What was seen.
        reason: Arc<str>,
    },
    /// the weight store answered with something that can't be read: {reason}
    InvalidResponse {
        /// What was seen.
        reason: Arc<str>,
    },
}

impl std::error::Error for WeightStoreError {}

/// The weight store.
#[async_trait(?Send)]
pub trait WeightStore: Send + Sync {
    /// Describes one model version.
    async fn info(
        &self,
        model: &ModelName,
        version: &ModelVersion,
    ) -> Result<WeightInfo, WeightStoreError>;
}
