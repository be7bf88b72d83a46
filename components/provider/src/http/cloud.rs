//! HTTP client of the cloud API.

use std::time::Duration;

use actix_web::http::{Method, StatusCode};
use async_trait::async_trait;
use bytes::Bytes;
use lycheelatch_http::SendFailure;
use lycheelatch_prelude::{InstanceId, Sequence};

use crate::{
    Cloud, CloudError, Instance, Offer, ReclaimNotice, StartInstance,
    http::{
        endpoint::{Endpoint, percent_encode},
        wire::{InstanceWire, OfferWire, ReclaimNoticeWire, StartInstanceWire},
    },
};

/// Client of the cloud API over HTTP and JSON.
pub struct HttpCloud(Endpoint);

impl HttpCloud {
    /// Creates a client.
    pub fn new(endpoint: Endpoint) -> HttpCloud {
        HttpCloud(endpoint)
    }
}

impl From<SendFailure> for CloudError {
    fn from(err: SendFailure) -> CloudError {
        match err {
            SendFailure::NotSent(reason) => CloudError::Unavailable { reason },
            SendFailure::BadAnswer(reason) => CloudError::InvalidResponse { reason },
            err => CloudError::ResponseLost { reason: err.to_string().into() },
        }
    }
}

#[async_trait(?Send)]
impl Cloud for HttpCloud {
    async fn offers(&self) -> Result<Vec<Offer>, CloudError> {
        let response = self.0.call(Method::GET, "/v1/offers", Bytes::new()).await?;
        let wire: Vec<OfferWire> = response.success_json()?;
        Ok(wire.into_iter().map(Offer::from).collect())
    }

    async fn start(&self, req: &StartInstance) -> Result<InstanceId, CloudError> {
        let wire = StartInstanceWire::from(req);
        let response = self.0.send_json(Method::POST, "/v1/instances", &wire).await?;
        if response.status == StatusCode::CONFLICT {
            let (class, zone) = (req.class.clone(), req.zone.clone());
            return Err(CloudError::NoCapacity { class, zone });
        }
        let wire: InstanceWire = response.success_json()?;
        Ok(wire.id)
    }

    async fn stop(&self, id: &InstanceId) -> Result<(), CloudError> {
        let path = format!("/v1/instances/{}", percent_encode(id.as_str()));
        let response = self.0.call(Method::DELETE, &path, Bytes::new()).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(()),
            status if status.is_success() => Ok(()),
            _ => Err(response.unexpected_status().into()),
        }
    }

    async fn list(&self) -> Result<Vec<Instance>, CloudError> {
        let response = self.0.call(Method::GET, "/v1/instances", Bytes::new()).await?;
        let wire: Vec<InstanceWire> = response.success_json()?;
        Ok(wire.into_iter().map(Instance::from).collect())
    }

    async fn reclaim_notices(
        &self,
        after: Sequence,
        wait: Duration,
    ) -> Result<Vec<ReclaimNotice>, CloudError> {
        let path = format!("/v1/reclaims?after={after}&wait_ms={}", wait.as_millis());
        let response = self.0.call_long_poll(Method::GET, &path, Bytes::new(), wait).await?;
        let wire: Vec<ReclaimNoticeWire> = response.success_json()?;
        Ok(wire.into_iter().map(ReclaimNotice::from).collect())
    }
}
