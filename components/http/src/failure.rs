//! Errors of sending a request.

use std::sync::Arc;

use actix_web::error::ParseError;
use awc::error::{ConnectError, PayloadError, SendRequestError};
use displaydoc::Display;

/// Why a request has no usable response.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SendFailure {
    /// not sent: {0}
    NotSent(Arc<str>),
    /// sent in part or whole, then the connection broke: {0}
    Broken(Arc<str>),
    /// sent, and no answer for {0} ms
    Silent(u64),
    /// answered with something that can't be read: {0}
    BadAnswer(Arc<str>),
}

impl std::error::Error for SendFailure {}

impl SendFailure {
    /// Returns whether a byte of the request may have arrived.
    pub fn may_have_arrived(&self) -> bool {
        !matches!(self, SendFailure::NotSent(_))
    }
}

impl From<SendRequestError> for SendFailure {
    fn from(err: SendRequestError) -> SendFailure {
        let reason: Arc<str> = err.to_string().into();
        match err {
            // A disconnect may be detected while the request is being written.
            SendRequestError::Connect(ConnectError::Disconnected) => SendFailure::Broken(reason),
            SendRequestError::Connect(ConnectError::Io(_)) => SendFailure::NotSent(reason),
            SendRequestError::Connect(_) | SendRequestError::Url(_) => SendFailure::NotSent(reason),
            SendRequestError::Response(ParseError::Io(_) | ParseError::Incomplete) => {
                SendFailure::Broken(reason)
            }
            SendRequestError::Response(_) => SendFailure::BadAnswer(reason),
            _ => SendFailure::Broken(reason),
        }
    }
}

impl From<PayloadError> for SendFailure {
    fn from(err: PayloadError) -> SendFailure {
        SendFailure::Broken(err.to_string().into())
    }
}
