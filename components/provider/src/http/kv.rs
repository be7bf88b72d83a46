//! The key-value service in the documented shape of Consul's KV and session API.

use std::time::Duration;

use actix_web::http::{Method, StatusCode};
use async_trait::async_trait;
use bytes::Bytes;
use lycheelatch_http::SendFailure;

use crate::{
    CasOutcome, Entry, KeyValue, KvError, KvKey, LeaseId, Version, WatchIndex, WatchResult,
    check_value_size,
    http::{
        endpoint::{Answer, Endpoint, escape},
        wire::{KvEntryWire, SessionWire},
    },
};

/// The key-value service over HTTP.
pub struct HttpKeyValue(Endpoint);

impl HttpKeyValue {
    /// Creates a client.
    pub fn new(endpoint: Endpoint) -> HttpKeyValue {
        HttpKeyValue(endpoint)
    }

    async fn write(&self, method: Method, path: &str, body: Bytes) -> Result<CasOutcome, KvError> {
        let answer = self.0.call(method, path, body).await?;
        match answer.ok_json::<bool>()? {
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
    let parts: Vec<_> = key.as_str().split('/').map(escape).collect();
    format!("/v1/kv/{}", parts.join("/"))
}

fn entries_of(answer: &Answer) -> Result<Vec<Entry>, KvError> {
    if answer.status == StatusCode::NOT_FOUND {
        return Ok(Vec::new());
    }
    let wire: Vec<KvEntryWire> = answer.ok_json()?;
    wire.into_iter().map(Entry::try_from).collect()
}

fn session_path(call: &str, lease: &LeaseId) -> String {
    format!("/v1/session/{call}/{}", escape(&lease.0))
}

#[async_trait(?Send)]
impl KeyValue for HttpKeyValue {
    async fn get(&self, key: &KvKey) -> Result<Option<Entry>, KvError> {
        let path = format!("{}?consistent", key_path(key));
        let answer = self.0.call(Method::GET, &path, Bytes::new()).await?;
        Ok(entries_of(&answer)?.into_iter().next())
    }

    async fn list(&self, prefix: &KvKey) -> Result<Vec<Entry>, KvError> {
        let path = format!("{}?recurse&consistent", key_path(prefix));
        let answer = self.0.call(Method::GET, &path, Bytes::new()).await?;
        entries_of(&answer)
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
        let answer = self.0.send_json(Method::PUT, "/v1/session/create", &session).await?;
        let session: SessionWire = answer.ok_json()?;
        Ok(LeaseId(session.id.into()))
    }

    async fn renew_lease(&self, lease: &LeaseId) -> Result<(), KvError> {
        let answer = self.0.call(Method::PUT, &session_path("renew", lease), Bytes::new()).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Err(KvError::LeaseEnded),
            status if status.is_success() => Ok(()),
            _ => Err(answer.bad_status().into()),
        }
    }

    async fn revoke_lease(&self, lease: &LeaseId) -> Result<(), KvError> {
        let path = session_path("destroy", lease);
        let answer = self.0.call(Method::PUT, &path, Bytes::new()).await?;
        if answer.status.is_success() { Ok(()) } else { Err(answer.bad_status().into()) }
    }

    async fn acquire(
        &self,
        key: &KvKey,
        value: Bytes,
        lease: &LeaseId,
    ) -> Result<CasOutcome, KvError> {
        check_value_size(key, &value)?;
        let path = format!("{}?acquire={}", key_path(key), escape(&lease.0));
        let answer = self.0.call(Method::PUT, &path, value).await?;
        // The service says "invalid session" with status 500.
        if answer.status == StatusCode::INTERNAL_SERVER_ERROR
            && answer.body.windows(15).any(|part| part == b"invalid session")
        {
            return Err(KvError::LeaseEnded);
        }
        match answer.ok_json::<bool>()? {
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
        let answer = self.0.call_waiting(Method::GET, &path, Bytes::new(), wait).await?;
        let entries = entries_of(&answer)?;
        let index = answer.index.ok_or_else(|| KvError::InvalidResponse {
            reason: "the header X-Consul-Index is missing".into(),
        })?;
        // An index that went backwards means that the service was restored: start over.
        let index = if index < after.0 { 0 } else { index };
        Ok(WatchResult { index: WatchIndex(index), entries })
    }
}
