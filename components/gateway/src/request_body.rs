//! Reading of a client's request body into memory that is taken from the budget.

use actix_http::{BoxedPayloadStream, Payload, error::PayloadError};
use bytes::Bytes;
use displaydoc::Display;
use futures_util::{Stream, StreamExt};
use lycheelatch_policy::NoRoom;

use crate::held_memory::HeldMemory;

/// Capacity of a body's buffer when its first part arrives, in bytes.
const FIRST_CAPACITY: usize = 16 * 1024;

/// Why a body was not read.
#[derive(Debug, Display)]
pub(crate) enum BodyError {
    /// the body is larger than {0} bytes
    TooLarge(usize),
    /// the body was not received completely: {0}
    Incomplete(PayloadError),
    /// no memory for the body: {0:?}
    NoRoom(NoRoom),
}

impl std::error::Error for BodyError {}

/// Reads a body of at most `max_bytes` and of `length` bytes, if that is known.
///
/// `held` grows before the body's buffer does and covers the body afterwards.
pub(crate) async fn read_request_body(
    payload: &mut Payload<BoxedPayloadStream>,
    length: Option<usize>,
    max_bytes: usize,
    held: &mut HeldMemory,
) -> Result<Bytes, BodyError> {
    read_parts(payload, length, max_bytes, held).await
}

async fn read_parts(
    parts: &mut (impl Stream<Item = Result<Bytes, PayloadError>> + Unpin),
    length: Option<usize>,
    max_bytes: usize,
    held: &mut HeldMemory,
) -> Result<Bytes, BodyError> {
    if length.is_some_and(|length| length > max_bytes) {
        return Err(BodyError::TooLarge(max_bytes));
    }
    let most = length.unwrap_or(max_bytes);
    let mut body = Vec::new();
    while let Some(part) = parts.next().await {
        let part = part.map_err(BodyError::Incomplete)?;
        let len = body.len() + part.len();
        if len > max_bytes {
            return Err(BodyError::TooLarge(max_bytes));
        }
        make_room(&mut body, len, most, held)?;
        body.extend_from_slice(&part);
    }
    Ok(Bytes::from(body))
}

/// Grows the buffer to hold `len` bytes; its capacity is doubled up to the `most` expected.
fn make_room(
    body: &mut Vec<u8>,
    len: usize,
    most: usize,
    held: &mut HeldMemory,
) -> Result<(), BodyError> {
    if len <= body.capacity() {
        return Ok(());
    }
    let doubled = (body.capacity() * 2).max(FIRST_CAPACITY).min(most).max(len);
    held.try_resize(doubled).map_err(BodyError::NoRoom)?;
    body.reserve_exact(doubled - body.len());
    Ok(())
}

#[cfg(test)]
mod tests;
