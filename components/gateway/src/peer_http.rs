//! HTTP requests between nodes.

use std::{net::SocketAddr, time::Duration};

use actix_http::{
    Method, Response, StatusCode, Uri,
    body::BoxBody,
    header::{HOST, HeaderMap, HeaderValue},
};
use bytes::Bytes;
use displaydoc::Display;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    connection::{Connection, ExchangeError, OutgoingRequest},
    server::empty,
};

/// Time limit of one fetch.
pub(crate) const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

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
    /// its node has not reached the store for {0} ms
    Stale(u64),
}

impl std::error::Error for FetchError {}

impl From<ExchangeError> for FetchError {
    fn from(err: ExchangeError) -> FetchError {
        FetchError::Exchange(err)
    }
}

/// Opens a connection to another node.
pub(crate) async fn connect(address: SocketAddr) -> Result<Connection, FetchError> {
    Ok(Connection::open(address, FETCH_TIMEOUT).await?)
}

/// Fetches and decodes a resource of another node.
pub(crate) async fn get<T: DeserializeOwned>(
    connection: &mut Connection,
    uri: Uri,
) -> Result<T, FetchError> {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static("node"));
    let req = OutgoingRequest { method: Method::GET, uri, headers, body: Bytes::new() };
    let head = connection.exchange(req).await?;
    if head.status != StatusCode::OK {
        return Err(FetchError::Status(head.status.as_u16()));
    }
    let body = connection.read_body(MAX_RESPONSE_BYTES).await?;
    postcard::from_bytes(&body).map_err(FetchError::Decode)
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
