//! How a scripted upstream handles a request.

use super::response_text::SIGNATURE;

/// How an upstream handles one request.
#[derive(Debug, Clone)]
pub enum Behavior {
    /// Sends a complete response with a signature.
    Respond(u16, String),
    /// Sends a complete response with these header lines besides the request's ID.
    RespondWith {
        /// Status code.
        status: u16,
        /// Header lines, each with its end.
        headers: String,
        /// Body.
        body: String,
    },
    /// Sends this text, in which `{id}` stands for the request's ID, then resets the connection.
    Cut(String),
    /// Sends a body that is delimited by the close of the connection.
    CloseDelimited(String),
    /// Sends such a body, but resets the connection instead of closing it.
    CloseDelimitedReset(String),
    /// Resets the connection without a response.
    Reset,
    /// Responds with this status and the header that marks the request as not executed.
    NotExecuted(u16),
    /// Sends a response with another request's ID first, then the response with this body.
    StaleResponseFirst(String),
    /// Responds with this body (the request's ID if empty), then sends a surplus response.
    ExtraResponse(String),
    /// Sends a response without a signature.
    Unsigned,
    /// Sends events with these IDs, then ends the stream.
    Events(Vec<u64>),
    /// Sends events with these IDs and then this text, in a body that is delimited by the close of
    /// the connection.
    CloseDelimitedEvents(Vec<u64>, String),
    /// Sends events with these IDs and a part of another one, then resets the connection.
    TruncatedEvents(Vec<u64>),
    /// Sends the first event of [`Behavior::Echo`] and a part of a second one, then resets the
    /// connection.
    TruncatedEcho,
    /// Sends this text, in which `{id}` stands for the request's ID, then the other one without end.
    Endless {
        /// Sent once.
        start: String,
        /// Sent again and again.
        repeated: String,
    },
    /// Sends events with these IDs, then a byte now and then, without end.
    StallingEvents(Vec<u64>),
    /// Responds that the request was not executed, with a body of which a byte is sent now and then.
    EndlessRefusal,
    /// Never responds.
    Hang,
    /// Waits for 1.1 s, then continues as [`Behavior::Echo`].
    DelayedEcho,
    /// Responds with the request's ID; on streaming paths, with events that contain it and follow
    /// the `last-event-id` of the request.
    Echo,
}

impl Behavior {
    /// Sends this text as a whole event stream, with its length.
    pub fn event_text(events: String) -> Behavior {
        let headers = format!("{SIGNATURE}Content-Type: text/event-stream\r\n");
        Behavior::RespondWith { status: 200, headers, body: events }
    }
}
