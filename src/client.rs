//! Client of a node's operator API.

use std::time::Duration;

use awc::{Client, ClientRequest, http::StatusCode};
use bytes::Bytes;
use lycheelatch_http::SendFailure;
use lycheelatch_operator::{ChangeResponse, Problem, ProblemKind};
use lycheelatch_prelude::ChangeId;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::sleep;

use crate::{CliError, settings::ClientSettings};

/// Time limit of one call, long enough for large changes.
const CALL_TIMEOUT: Duration = Duration::from_secs(150);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Number of times that a change of unknown outcome is sent before giving up.
const MAX_ATTEMPTS: u32 = 3;

/// Delay between two attempts to send a change.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Client of a node's operator API.
pub(crate) struct NodeClient {
    settings: ClientSettings,
    client: Client,
}

impl NodeClient {
    pub(crate) fn new(settings: ClientSettings) -> NodeClient {
        NodeClient { settings, client: lycheelatch_http::client() }
    }

    /// Sends a GET request to `path` with the parameters that have a value.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        params: &[(&str, Option<String>)],
    ) -> Result<T, CliError> {
        let present = params.iter().filter_map(|(name, value)| Some((*name, value.as_deref()?)));
        let params: Vec<(&str, &str)> = present.collect();
        let req = self.client.get(self.url(path)).query(&params);
        let req =
            req.map_err(|err| self.send_error(SendFailure::NotSent(err.to_string().into())))?;
        self.call(req, Bytes::new()).await
    }

    /// Sends a POST request with `body` as JSON to `path`.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CliError> {
        let body = serde_json::to_vec(body).expect("request types are serializable");
        let req = self.client.post(self.url(path)).content_type("application/json");
        self.call(req, body.into()).await
    }

    /// Sends a change, up to `MAX_ATTEMPTS` times while its outcome is unknown.
    pub(crate) async fn change(
        &self,
        path: &str,
        id: ChangeId,
        body: &impl Serialize,
    ) -> Result<ChangeResponse, CliError> {
        let mut may_be_applied = false;
        let mut attempts = 0;
        loop {
            let err = match self.post(path, body).await {
                Ok(response) => return Ok(response),
                Err(err) => err,
            };
            attempts += 1;
            may_be_applied |= may_have_been_applied(&err);
            if !may_be_applied || excludes_earlier_attempts(&err) {
                return Err(err);
            }
            if attempts == MAX_ATTEMPTS {
                return Err(CliError::OutcomeUnknown { id, last: Box::new(err) });
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        req: ClientRequest,
        body: Bytes,
    ) -> Result<T, CliError> {
        let req = req.bearer_auth(&self.settings.token);
        let sent = lycheelatch_http::send(req, body, CALL_TIMEOUT).await;
        let response = sent.map_err(|failure| self.send_error(failure))?;
        let status = response.status();
        let body = lycheelatch_http::read_body(response, MAX_RESPONSE_BYTES, CALL_TIMEOUT).await;
        let body = body.map_err(|failure| self.send_error(failure))?;
        if status == StatusCode::OK {
            return serde_json::from_slice(&body).map_err(|err| self.invalid_response(err));
        }
        match serde_json::from_slice::<Problem>(&body) {
            Ok(problem) => Err(CliError::Problem(Box::new(problem))),
            Err(_) => Err(self.invalid_response(format!("status {status}"))),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.settings.server)
    }

    fn send_error(&self, failure: SendFailure) -> CliError {
        CliError::Send { server: self.settings.server.clone(), failure }
    }

    fn invalid_response(&self, reason: impl ToString) -> CliError {
        self.send_error(SendFailure::BadAnswer(reason.to_string().into()))
    }
}

/// Returns whether a failed attempt may have changed the configuration, or may still do so.
fn may_have_been_applied(err: &CliError) -> bool {
    match err {
        CliError::Send { failure, .. } => failure.may_have_arrived(),
        CliError::Problem(problem) => problem.kind == ProblemKind::OutcomeUnknown,
        _ => false,
    }
}

/// Returns whether an error proves that no earlier attempt took or will take effect.
///
/// A conflict does: the node checks first whether the change was already
/// applied, and the expected revision can't become the latest one again.
fn excludes_earlier_attempts(err: &CliError) -> bool {
    matches!(err, CliError::Problem(problem) if problem.kind == ProblemKind::Conflict)
}
