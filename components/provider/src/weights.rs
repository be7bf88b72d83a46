//! Interface to the weight store, from which engines load model weights.

use std::sync::Arc;

use async_trait::async_trait;
use displaydoc::Display;
use lycheelatch_prelude::{ModelName, ModelVersion};

/// Description of one model version in the weight store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightInfo {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the model.
    pub version: ModelVersion,
    /// Size of the weights, in bytes.
    pub bytes: u64,
    /// Total bandwidth of the store, shared by all readers, in bytes per second.
    pub store_bytes_per_second: u64,
}

/// Error of a call to the weight store.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum WeightStoreError {
    /// the weight store has no {model} version {version}
    NotFound {
        /// Name of the model.
        model: ModelName,
        /// Version of the model.
        version: ModelVersion,
    },
    /// failed to reach the weight store: {reason}
    Unavailable {
        /// Cause of the error.
        reason: Arc<str>,
    },
    /// invalid response from the weight store: {reason}
    InvalidResponse {
        /// Cause of the error.
        reason: Arc<str>,
    },
}

impl std::error::Error for WeightStoreError {}

/// Weight store of the platform.
#[async_trait(?Send)]
pub trait WeightStore: Send + Sync {
    /// Returns the description of one model version.
    async fn info(
        &self,
        model: &ModelName,
        version: &ModelVersion,
    ) -> Result<WeightInfo, WeightStoreError>;
}
