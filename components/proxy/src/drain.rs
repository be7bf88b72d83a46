//! Ends requests that are refused before their body was read.

use std::{io, time::Duration};

use actix_web::{
    HttpResponse,
    body::{self, BodyStream, BoxBody, MessageBody},
    http::ConnectionType,
    web,
};
use futures_util::{StreamExt, stream};
use tokio::time::timeout;

/// Bytes of a refused body that are read, so that a caller who sends no more gets its answer.
const MAX_DRAINED_BYTES: usize = 1 << 20;

/// Time for which a refused body is read.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers a request whose body was not read, or not to its end.
///
/// A short rest of the body is read first. Where more comes, the connection is
/// broken after the answer: the server would otherwise read on without bound.
pub(crate) async fn respond_after_drain(
    answer: HttpResponse,
    payload: &mut web::Payload,
) -> HttpResponse {
    match timeout(DRAIN_TIMEOUT, drain(payload)).await {
        Ok(true) => answer,
        _ => respond_and_disconnect(answer).await,
    }
}

/// Reads the rest of a body; returns whether it ended.
async fn drain(payload: &mut web::Payload) -> bool {
    let mut drained = 0;
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else { return true };
        drained += chunk.len();
        if drained > MAX_DRAINED_BYTES {
            return false;
        }
    }
    true
}

async fn respond_and_disconnect(mut answer: HttpResponse) -> HttpResponse {
    answer.head_mut().set_connection_type(ConnectionType::Close);
    let (answer, body) = answer.into_parts();
    let body = body::to_bytes(body).await.unwrap_or_default();
    let broken = Err(io::Error::from(io::ErrorKind::ConnectionAborted));
    let body = BodyStream::new(stream::iter([Ok(body), broken]));
    answer.set_body(BoxBody::new(body.boxed()))
}
