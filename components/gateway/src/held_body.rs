//! A response body that keeps its request open and its memory taken until it has been written.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;

use crate::{client_connection::OpenRequest, held_memory::HeldMemory};

/// Size of the parts in which a body is passed to the connection's buffer, in bytes.
const PART_BYTES: usize = 16 * 1024;

/// A response body of a client's request.
pub(crate) struct HeldBody {
    body: BoxBody,
    part: Bytes,
    _memory: HeldMemory,
    _request: OpenRequest,
}

impl HeldBody {
    pub(crate) fn new(body: BoxBody, memory: HeldMemory, request: OpenRequest) -> HeldBody {
        HeldBody { body, part: Bytes::new(), _memory: memory, _request: request }
    }

    fn next_part(&mut self) -> Bytes {
        self.part.split_to(PART_BYTES.min(self.part.len()))
    }
}

impl MessageBody for HeldBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let this = &mut *self;
        if !this.part.is_empty() {
            return Poll::Ready(Some(Ok(this.next_part())));
        }
        let polled = Pin::new(&mut this.body).poll_next(cx);
        polled.map_ok(|bytes| {
            this.part = bytes;
            this.next_part()
        })
    }
}
