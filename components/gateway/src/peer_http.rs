//! HTTP requests between nodes.

use std::{net::SocketAddr, time::Duration};

use actix_http::{
    Method, Response, StatusCode, Uri,
    body::BoxBody,
    header::{HOST, HeaderMap, HeaderValue},
};
use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::{Instant, timeout};

use crate::{
    connection::{Connection, ExchangeError, OutgoingRequest},
    server::empty,
};

/// Time limit for a connection, for the head of a response, and for each further part of it.
pub(crate) const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Time limit for the whole body of a response, also if it makes progress.
const MAX_BODY_TIME: Duration = Duration::from_secs(3);

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Why something could not be fetched from another node.
#[derive(Debug, Display)]
pub(crate) enum FetchError {
    /// {0}
    Exchange(ExchangeError),
    /// status {0}
    Status(u16),
    /// it can't be decoded: {0}
    Decode(postcard::Error),
    /// no answer in time
    Timeout,
    /// its response is too large
    TooLarge,
    /// its node has not reached the store for {0} ms
    Stale(u64),
}

impl std::error::Error for FetchError {}

impl From<ExchangeError> for FetchError {
    fn from(err: ExchangeError) -> FetchError {
        FetchError::Exchange(err)
    }
}

/// Returns the value of a parameter in a request's query.
pub(crate) fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Opens a connection to another node.
pub(crate) async fn connect(address: SocketAddr) -> Result<Connection, FetchError> {
    Ok(Connection::open(address, FETCH_TIMEOUT).await?)
}

/// A resource of another node.
pub(crate) struct Fetched<T> {
    pub(crate) resource: T,
    /// Time that its body took to arrive.
    pub(crate) transfer_time: Duration,
}

/// Fetches and decodes a resource of another node, which may hold its response back for `wait`.
///
/// A body that is large for the link may take its time as long as it makes progress; begun anew, it
/// would take as long again.
pub(crate) async fn get<T: DeserializeOwned>(
    connection: &mut Connection,
    uri: Uri,
    wait: Duration,
) -> Result<Fetched<T>, FetchError> {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static("node"));
    let req = OutgoingRequest { method: Method::GET, uri, headers, body: Bytes::new() };
    let head = timeout(wait + FETCH_TIMEOUT, connection.exchange(req)).await;
    let head = head.map_err(|_| FetchError::Timeout)??;
    if head.status != StatusCode::OK {
        return Err(FetchError::Status(head.status.as_u16()));
    }
    let began = Instant::now();
    let body = timeout(MAX_BODY_TIME, read_body(connection)).await;
    let body = body.map_err(|_| FetchError::Timeout)??;
    let resource = postcard::from_bytes(&body).map_err(FetchError::Decode)?;
    Ok(Fetched { resource, transfer_time: began.elapsed() })
}

/// Reads a body whose parts each arrive in time.
async fn read_body(connection: &mut Connection) -> Result<Bytes, FetchError> {
    let mut body = BytesMut::new();
    loop {
        let chunk = timeout(FETCH_TIMEOUT, connection.next_chunk()).await;
        let Some(chunk) = chunk.map_err(|_| FetchError::Timeout)?? else {
            return Ok(body.freeze());
        };
        if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
            return Err(FetchError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
}

/// Returns a response with an encoded resource.
pub(crate) fn encoded<T: Serialize>(name: &str, resource: &T) -> Response<BoxBody> {
    match postcard::to_stdvec(resource) {
        Ok(body) => Response::ok().set_body(BoxBody::new(Bytes::from(body))),
        Err(err) => {
            log::error!("peers: failed to encode the {name}: {err}");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
