//! Texts of responses as an upstream sends them.

/// Header that every response to a request that ran has.
pub(super) const SIGNATURE: &str = "Lycheelatch-Server-Signature: s.1\r\n";

/// Returns a complete response.
pub(super) fn response(status: u16, id: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\nLycheelatch-Request-Id: {id}\r\n{headers}\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Returns a response whose body is delimited by the close of the connection.
pub(super) fn close_delimited(id: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nLycheelatch-Request-Id: {id}\r\n{SIGNATURE}\r\n{body}")
}

/// Returns the head of a stream in chunks.
pub(super) fn event_stream_head(id: &str, headers: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nLycheelatch-Request-Id: {id}\r\n{headers}\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// Returns the start of a stream with events with these IDs.
pub(super) fn events(id: &str, ids: &[u64]) -> String {
    let mut text = event_stream_head(id, SIGNATURE);
    for id in ids {
        let event = event(*id);
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    text
}

/// Returns the text of one event of [`Behavior::Events`](super::Behavior::Events).
pub(super) fn event(id: u64) -> String {
    format!("id: {id}\ndata: e{id}\n\n")
}

/// Returns the text of one event of [`Behavior::Echo`](super::Behavior::Echo).
pub fn echo_event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id}-{number}\n\n")
}
