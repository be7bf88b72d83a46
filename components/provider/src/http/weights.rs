//! HTTP client of the weight store.

use actix_web::http::{Method, StatusCode};
use async_trait::async_trait;
use bytes::Bytes;
use lycheelatch_http::SendFailure;
use lycheelatch_prelude::{ModelName, ModelVersion};

use crate::{
    WeightInfo, WeightStore, WeightStoreError,
    http::{
        endpoint::{Endpoint, percent_encode},
        wire::WeightInfoWire,
    },
};

/// Client of the weight store over HTTP and JSON.
pub struct HttpWeightStore(Endpoint);

impl HttpWeightStore {
    /// Creates a client.
    pub fn new(endpoint: Endpoint) -> HttpWeightStore {
        HttpWeightStore(endpoint)
    }
}

impl From<SendFailure> for WeightStoreError {
    fn from(err: SendFailure) -> WeightStoreError {
        match err {
            SendFailure::BadAnswer(reason) => WeightStoreError::InvalidResponse { reason },
            err => WeightStoreError::Unavailable { reason: err.to_string().into() },
        }
    }
}

#[async_trait(?Send)]
impl WeightStore for HttpWeightStore {
    async fn info(
        &self,
        model: &ModelName,
        version: &ModelVersion,
    ) -> Result<WeightInfo, WeightStoreError> {
        let model_part = percent_encode(model.as_str());
        let path = format!("/v1/models/{model_part}/versions/{}", percent_encode(version.as_str()));
        let response = self.0.call(Method::GET, &path, Bytes::new()).await?;
        if response.status == StatusCode::NOT_FOUND {
            let (model, version) = (model.clone(), version.clone());
            return Err(WeightStoreError::NotFound { model, version });
        }
        let wire: WeightInfoWire = response.success_json()?;
        Ok(wire.into())
    }
}
