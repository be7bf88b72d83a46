//! Reads a request body within limits on size and time.

use std::time::Duration;

use actix_web::web;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use lycheelatch_prelude::InvalidValue;
use tokio::time::{Instant, timeout_at};

use crate::{Refusal, RefusalReason};

/// Time limit for a caller to send a body that is buffered.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads a body of at most `max_bytes` into memory.
pub(crate) async fn read_body(
    payload: &mut web::Payload,
    max_bytes: usize,
) -> Result<Bytes, Refusal> {
    let deadline = Instant::now() + BODY_TIMEOUT;
    let mut buf = BytesMut::new();
    loop {
        let chunk = timeout_at(deadline, payload.next()).await;
        let chunk = chunk.map_err(|_| Refusal::not_run(RefusalReason::BodyTimeout))?;
        let Some(chunk) = chunk else { return Ok(buf.freeze()) };
        let chunk = chunk.map_err(|err| InvalidValue::new("body", "", err.to_string()))?;
        if buf.len() + chunk.len() > max_bytes {
            return Err(Refusal::not_run(RefusalReason::BodyTooLarge(max_bytes)));
        }
        buf.extend_from_slice(&chunk);
    }
}
