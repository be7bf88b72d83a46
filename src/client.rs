//! Calls to a node's operator API.

use std::time::Duration;

use awc::{Client, ClientRequest, http::StatusCode};
use bytes::Bytes;
use lycheelatch_http::SendFailure;
use lycheelatch_operator::{ChangeAnswer, Problem, ProblemKind};
use lycheelatch_prelude::ChangeId;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::sleep;

use crate::{CliError, settings::ClientSettings};

/// Time limit of one call; a large change takes a while.
const CALL_TIMEOUT: Duration = Duration::from_secs(150);

/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// How often a change is sent before its outcome is left open.
const MAX_SENDS: u32 = 3;

/// Time between two sends of a change.
const SEND_PAUSE: Duration = Duration::from_millis(500);

/// A node's operator API.
pub(crate) struct NodeClient {
    settings: ClientSettings,
    client: Client,
}

impl NodeClient {
    pub(crate) fn new(settings: ClientSettings) -> NodeClient {
        NodeClient { settings, client: lycheelatch_http::client() }
    }

    /// Reads from `path` with the parameters that have a value.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        params: &[(&str, Option<String>)],
    ) -> Result<T, CliError> {
        let given = params.iter().filter_map(|(name, value)| Some((*name, value.as_deref()?)));
        let params: Vec<(&str, &str)> = given.collect();
        let req = self.client.get(self.url(path)).query(&params);
        let req = req.map_err(|err| self.failed(SendFailure::NotSent(err.to_string().into())))?;
        self.call(req, Bytes::new()).await
    }

    /// Sends `body` to `path`.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CliError> {
        let body = serde_json::to_vec(body).expect("requests have only serializable parts");
        let req = self.client.post(self.url(path)).content_type("application/json");
        self.call(req, body.into()).await
    }

    /// Sends a change until its outcome is known, but not more than a few times.
    pub(crate) async fn change(
        &self,
        path: &str,
        id: ChangeId,
        body: &impl Serialize,
    ) -> Result<ChangeAnswer, CliError> {
        let mut is_unknown = false;
        let mut sends = 0;
        loop {
            let err = match self.post(path, body).await {
                Ok(answer) => return Ok(answer),
                Err(err) => err,
            };
            sends += 1;
            is_unknown |= leaves_unknown(&err);
            if !is_unknown || is_definite(&err) {
                return Err(err);
            }
            if sends == MAX_SENDS {
                return Err(CliError::OutcomeUnknown { id, last: Box::new(err) });
            }
            sleep(SEND_PAUSE).await;
        }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        req: ClientRequest,
        body: Bytes,
    ) -> Result<T, CliError> {
        let req = req.bearer_auth(&self.settings.token);
        let sent = lycheelatch_http::send(req, body, CALL_TIMEOUT).await;
        let answer = sent.map_err(|failure| self.failed(failure))?;
        let status = answer.status();
        let body = lycheelatch_http::read_body(answer, MAX_ANSWER_BYTES, CALL_TIMEOUT).await;
        let body = body.map_err(|failure| self.failed(failure))?;
        if status == StatusCode::OK {
            return serde_json::from_slice(&body).map_err(|err| self.bad_answer(err));
        }
        match serde_json::from_slice::<Problem>(&body) {
            Ok(problem) => Err(CliError::Problem(Box::new(problem))),
            Err(_) => Err(self.bad_answer(format!("status {status}"))),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.settings.server)
    }

    fn failed(&self, failure: SendFailure) -> CliError {
        CliError::Send { server: self.settings.server.clone(), failure }
    }

    fn bad_answer(&self, reason: impl ToString) -> CliError {
        self.failed(SendFailure::BadAnswer(reason.to_string().into()))
    }
}

/// Returns whether a failed send may have changed the configuration, or may do so yet.
fn leaves_unknown(err: &CliError) -> bool {
    match err {
        CliError::Send { failure, .. } => failure.may_have_arrived(),
        CliError::Problem(problem) => problem.kind == ProblemKind::OutcomeUnknown,
        _ => false,
    }
}

/// Returns whether an error rules out that an earlier send took effect or will.
///
/// A conflict does: the node looks for the change first, and the expected
/// revision never comes back.
fn is_definite(err: &CliError) -> bool {
    matches!(err, CliError::Problem(problem) if problem.kind == ProblemKind::Conflict)
}
