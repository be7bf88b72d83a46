//! Responds to requests that are refused before their body has been read.

use std::{io, time::Duration};

use actix_web::{
    HttpResponse,
    body::{self, BodyStream, BoxBody, MessageBody},
    http::ConnectionType,
    web,
};
use futures_util::{StreamExt, stream};
use tokio::time::timeout;

/// Maximum number of bytes read from a refused body.
///
/// A caller that sends no more than this receives its response on an intact connection.
const MAX_DRAINED_BYTES: usize = 1 << 20;

/// Time limit for reading a refused body.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Responds to a request whose body has not been read completely.
///
/// The rest of the body is read first, within limits. If it exceeds them, the connection is
/// aborted after the response: the server would otherwise keep reading without bound.
pub(crate) async fn respond_after_drain(
    response: HttpResponse,
    payload: &mut web::Payload,
) -> HttpResponse {
    match timeout(DRAIN_TIMEOUT, drain(payload)).await {
        Ok(true) => response,
        _ => respond_and_disconnect(response).await,
    }
}

/// Reads the rest of a body; returns whether its end was reached.
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

async fn respond_and_disconnect(mut response: HttpResponse) -> HttpResponse {
    response.head_mut().set_connection_type(ConnectionType::Close);
    let (response, body) = response.into_parts();
    let body = body::to_bytes(body).await.unwrap_or_default();
    let aborted = Err(io::Error::from(io::ErrorKind::ConnectionAborted));
    let body = BodyStream::new(stream::iter([Ok(body), aborted]));
    response.set_body(BoxBody::new(body.boxed()))
}
