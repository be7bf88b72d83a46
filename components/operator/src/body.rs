//! Reading of request bodies, which starts only after the operator is authenticated.

use std::time::Duration;

use actix_web::web;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::{Problem, ProblemKind};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Time limit for receiving a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads and parses a JSON body of at most `MAX_BODY_BYTES` within `BODY_TIMEOUT`.
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
