//! The HTTP client and functions to send requests and read responses.

use std::time::Duration;

use actix_rt::net::TcpStream;
use actix_web::body::MessageBody;
use awc::{Client, ClientRequest, ClientResponse, Connector, body::BoxBody, error::PayloadError};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::{
    SendFailure,
    transport::{self, SocketSetup},
};

/// Maximum number of connections to one host per thread.
pub const MAX_CONNECTIONS_PER_HOST: usize = 4096;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Shorter than the keep-alive time of common servers, so that a server does not close an idle
/// connection first.
const KEEP_ALIVE: Duration = Duration::from_secs(4);

thread_local! {
    static CLIENT: Client = build_client(TcpStream::set_zero_linger);
}

/// Creates a client with its own connections, whose sockets get the options of `setup`.
pub fn build_client(setup: SocketSetup) -> Client {
    let connector = Connector::new()
        .connector(transport::connector(setup))
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(KEEP_ALIVE)
        .limit(MAX_CONNECTIONS_PER_HOST);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// Returns the client of the current thread.
///
/// Its connections are reset when they are closed, also by the end of the process, so that the
/// kernel does not deliver the rest of a request that was given up.
pub fn client() -> Client {
    CLIENT.with(Clone::clone)
}

/// Sends a request and returns the response once its head has arrived.
///
/// Fails with [`SendFailure::Silent`] if the head does not arrive within `limit`.
pub async fn send(
    req: ClientRequest,
    body: Bytes,
    limit: Duration,
) -> Result<ClientResponse, SendFailure> {
    send_sized(req, body, limit).await
}

/// Sends a request like [`send`], with any type of body.
pub async fn send_sized<B: MessageBody + 'static>(
    req: ClientRequest,
    body: B,
    limit: Duration,
) -> Result<ClientResponse, SendFailure> {
    let sent = timeout(limit, req.send_body(BoxBody::new(body))).await;
    let response = sent.map_err(|_| SendFailure::Silent(millis(limit)))?;
    response.map_err(SendFailure::from)
}

/// Reads a body.
///
/// Fails if the body is larger than `max_bytes` or does not end within `limit`.
pub async fn read_body<S>(body: S, max_bytes: usize, limit: Duration) -> Result<Bytes, SendFailure>
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
{
    let read = timeout(limit, collect(body, max_bytes)).await;
    read.map_err(|_| SendFailure::Silent(millis(limit)))?
}

async fn collect<S>(body: S, max_bytes: usize) -> Result<Bytes, SendFailure>
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
{
    let mut body = std::pin::pin!(body);
    let mut buf = BytesMut::new();
    while let Some(chunk) = body.next().await {
        buf.extend_from_slice(&chunk?);
        if buf.len() > max_bytes {
            let reason = format!("the body is larger than {max_bytes} bytes");
            return Err(SendFailure::BadAnswer(reason.into()));
        }
    }
    Ok(buf.freeze())
}

/// Reads and parses a JSON body.
///
/// Fails if the body is larger than `max_bytes`, does not end within `limit` or is not valid JSON.
pub async fn read_json<T: DeserializeOwned, S>(
    body: S,
    max_bytes: usize,
    limit: Duration,
) -> Result<T, SendFailure>
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
{
    let body = read_body(body, max_bytes, limit).await?;
    serde_json::from_slice(&body).map_err(|err| SendFailure::BadAnswer(err.to_string().into()))
}

fn millis(limit: Duration) -> u64 {
    u64::try_from(limit.as_millis()).unwrap_or(u64::MAX)
}
