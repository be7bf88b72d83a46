//! HTTP client of the key-value service, which has the KV and session API of Consul.

use std::time::Duration;

use actix_web::http::{Method, StatusCode};
use async_trait::async_trait;
use bytes::Bytes;
use lycheelatch_http::SendFailure;

use crate::{
    CasOutcome, Entry, KeyValue, KvError, KvKey, LeaseId, Version, WatchIndex, WatchResult,
    check_value_size,
    http::{
        endpoint::{Endpoint, Response, percent_encode},
        wire::{KvEntryWire, SessionWire},
    },
};

/// Client of the key-value service over HTTP.
pub struct HttpKeyValue(Endpoint);

impl HttpKeyValue {
    /// Creates a client.
    pub fn new(endpoint: Endpoint) -> HttpKeyValue {
        HttpKeyValue(endpoint)
    }

    async fn write(&self, method: Method, path: &str, body: Bytes) -> Result<CasOutcome, KvError> {
        let response = self.0.call(method, path, body).await?;
        match response.success_json::<bool>()? {
            true => Ok(CasOutcome::Written),
            false => Ok(CasOutcome::Conflict),
        }
    }
}

impl From<SendFailure> for KvError {
    fn from(err: SendFailure) -> KvError {
        match err {
            SendFailure::NotSent(reason) => KvError::Unavailable { reason },
            SendFailure::BadAnswer(reason) => KvError::InvalidResponse { reason },
            err => KvError::ResponseLost { reason: err.to_string().into() },
        }
    }
}

fn key_path(key: &KvKey) -> String {
    let parts: Vec<_> = key.as_str().split('/').map(percent_encode).collect();
    format!("/v1/kv/{}", parts.join("/"))
}

fn parse_entries(response: &Response) -> Result<Vec<Entry>, KvError> {
    if response.status == StatusCode::NOT_FOUND {
        return Ok(Vec::new());
    }
    let wire: Vec<KvEntryWire> = response.success_json()?;
    wire.into_iter().map(Entry::try_from).collect()
}

fn session_path(call: &str, lease: &LeaseId) -> String {
    format!("/v1/session/{call}/{}", percent_encode(&lease.0))
}

#[async_trait(?Send)]
impl KeyValue for HttpKeyValue {
    async fn get(&self, key: &KvKey) -> Result<Option<Entry>, KvError> {
        let path = format!("{}?consistent", key_path(key));
        let response = self.0.call(Method::GET, &path, Bytes::new()).await?;
        Ok(parse_entries(&response)?.into_iter().next())
    }

    async fn list(&self, prefix: &KvKey) -> Result<Vec<Entry>, KvError> {
        let path = format!("{}?recurse&consistent", key_path(prefix));
        let response = self.0.call(Method::GET, &path, Bytes::new()).await?;
        parse_entries(&response)
    }

    async fn compare_and_swap(
        &self,
        key: &KvKey,
        expected: Option<Version>,
        value: Bytes,
    ) -> Result<CasOutcome, KvError> {
        check_value_size(key, &value)?;
        let cas = expected.map_or(0, |version| version.0);
        self.write(Method::PUT, &format!("{}?cas={cas}", key_path(key)), value).await
    }

    async fn delete(&self, key: &KvKey, expected: Version) -> Result<CasOutcome, KvError> {
        let path = format!("{}?cas={}", key_path(key), expected.0);
        self.write(Method::DELETE, &path, Bytes::new()).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        let session = SessionWire::with_ttl(ttl);
        let response = self.0.send_json(Method::PUT, "/v1/session/create", &session).await?;
        let session: SessionWire = response.success_json()?;
        Ok(LeaseId(session.id.into()))
    }

    async fn renew_lease(&self, lease: &LeaseId) -> Result<(), KvError> {
        let response =
            self.0.call(Method::PUT, &session_path("renew", lease), Bytes::new()).await?;
        match response.status {
            StatusCode::NOT_FOUND => Err(KvError::LeaseEnded),
            status if status.is_success() => Ok(()),
            _ => Err(response.unexpected_status().into()),
        }
    }

    async fn revoke_lease(&self, lease: &LeaseId) -> Result<(), KvError> {
        let path = session_path("destroy", lease);
        let response = self.0.call(Method::PUT, &path, Bytes::new()).await?;
        if response.status.is_success() { Ok(()) } else { Err(response.unexpected_status().into()) }
    }

    async fn acquire(
        &self,
        key: &KvKey,
        value: Bytes,
        lease: &LeaseId,
    ) -> Result<CasOutcome, KvError> {
        check_value_size(key, &value)?;
        let path = format!("{}?acquire={}", key_path(key), percent_encode(&lease.0));
        let response = self.0.call(Method::PUT, &path, value).await?;
        // The service reports an expired session by status 500 and "invalid session" in the body.
        if response.status == StatusCode::INTERNAL_SERVER_ERROR
            && response.body.windows(15).any(|part| part == b"invalid session")
        {
            return Err(KvError::LeaseEnded);
        }
        match response.success_json::<bool>()? {
            true => Ok(CasOutcome::Written),
            false => Ok(CasOutcome::Conflict),
        }
    }

    async fn watch(
        &self,
        prefix: &KvKey,
        after: WatchIndex,
        wait: Duration,
    ) -> Result<WatchResult, KvError> {
        let ms = wait.as_millis();
        let path = format!("{}?recurse&index={}&wait={ms}ms", key_path(prefix), after.0);
        let response = self.0.call_long_poll(Method::GET, &path, Bytes::new(), wait).await?;
        let entries = parse_entries(&response)?;
        let index = response.index.ok_or_else(|| KvError::InvalidResponse {
            reason: "missing header X-Consul-Index".into(),
        })?;
        // An index that decreased means that the service was restored from a backup, so the watch
        // restarts at 0.
        let index = if index < after.0 { 0 } else { index };
        Ok(WatchResult { index: WatchIndex(index), entries })
    }
}
