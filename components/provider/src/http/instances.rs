//! HTTP client of the instance list.

use actix_web::http::Method;
use async_trait::async_trait;
use bytes::Bytes;
use lycheelatch_http::SendFailure;

use crate::{
    InstanceList, InstanceListError, ListedInstance,
    http::{endpoint::Endpoint, wire::InstanceListWire},
};

/// Client of the instance list over HTTP and JSON.
pub struct HttpInstanceList(Endpoint);

impl HttpInstanceList {
    /// Creates a client.
    pub fn new(endpoint: Endpoint) -> HttpInstanceList {
        HttpInstanceList(endpoint)
    }
}

impl From<SendFailure> for InstanceListError {
    fn from(err: SendFailure) -> InstanceListError {
        match err {
            SendFailure::BadAnswer(reason) => InstanceListError::InvalidResponse { reason },
            err => InstanceListError::Unavailable { reason: err.to_string().into() },
        }
    }
}

#[async_trait(?Send)]
impl InstanceList for HttpInstanceList {
    async fn list(&self) -> Result<Vec<ListedInstance>, InstanceListError> {
        let response = self.0.call(Method::GET, "/v1/instances", Bytes::new()).await?;
        let wire: InstanceListWire = response.success_json()?;
        Ok(wire.instances.into_iter().map(ListedInstance::from).collect())
    }
}
