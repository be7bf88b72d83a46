//! Bodies of requests, read only after the operator is known.

use std::time::Duration;

use actix_web::web;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::{Problem, ProblemKind};

/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Longest time that an operator may take to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads a JSON body.
pub(crate) async fn read_body<T: DeserializeOwned>(payload: web::Payload) -> Result<T, Problem> {
    let malformed = |detail| Problem::new(ProblemKind::Malformed, detail);
    let body = timeout(BODY_TIMEOUT, payload.to_bytes_limited(MAX_BODY_BYTES)).await;
    let body = body.map_err(|_| malformed("body: it did not come whole within 30 s".to_owned()))?;
    let too_large = |_| {
        let detail = format!("body: it is larger than {MAX_BODY_BYTES} bytes");
        Problem::new(ProblemKind::TooLarge, detail)
    };
    let body = body.map_err(too_large)?.map_err(|err| malformed(format!("body: {err}")))?;
    serde_json::from_slice(&body).map_err(|err| malformed(format!("body: {err}")))
}
