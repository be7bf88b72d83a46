//! Relays the response events of a model call to the caller.

use std::{io, sync::Arc};

use actix_web::HttpResponse;
use bytes::Bytes;
use futures_util::{Stream, stream};
use lycheelatch_claims::StoredResponse;
use lycheelatch_prelude::Outcome;
use serde_json::json;

use crate::{
    Proxy, Refusal, RequestKind,
    completion::CompletionBuilder,
    head::{OUTCOME_HEADER, REQUEST_ID_HEADER},
    model::{ModelCall, ResponseEvent},
    settle::settle,
};

/// Relays the events as a server-sent event stream.
///
/// The outcome is sent in an SSE comment before the end of the stream, since the headers are sent
/// before it is known. A stream that ends without this comment is incomplete.
pub(crate) fn relay_stream(proxy: Arc<Proxy>, call: ModelCall, replay: Vec<Bytes>) -> HttpResponse {
    let mut response = HttpResponse::Ok();
    response
        .content_type("text/event-stream")
        .insert_header(("cache-control", "no-store"))
        .insert_header((REQUEST_ID_HEADER, call.rec.id().as_str()))
        .insert_header((OUTCOME_HEADER, Outcome::Unknown.as_str()));
    let relay = Relay { proxy, call, replay: replay.into_iter(), sent: Vec::new(), ended: false };
    response.streaming(relay.into_stream())
}

struct Relay {
    proxy: Arc<Proxy>,
    call: ModelCall,
    /// Buffered events that are sent before those of the call.
    replay: std::vec::IntoIter<Bytes>,
    /// Events sent so far; collected only if the request has a claim, which stores the response.
    sent: Vec<Bytes>,
    ended: bool,
}

impl Relay {
    fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> {
        stream::unfold(self, |mut relay| async move {
            let chunk = relay.next_chunk().await?;
            Some((chunk, relay))
        })
    }

    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        if self.ended {
            return None;
        }
        if let Some(event) = self.replay.next() {
            return Some(Ok(event));
        }
        match self.call.next().await {
            Ok(ResponseEvent::Token { offset, data, .. }) => {
                Some(Ok(self.record_sent(token_event(offset, &data))))
            }
            Ok(ResponseEvent::Other(data)) => Some(Ok(self.record_sent(data_event(&data)))),
            Ok(ResponseEvent::Done) => Some(Ok(self.end().await)),
            Ok(ResponseEvent::HandedOver) => {
                self.ended = true;
                self.call.set_handed_over();
                Some(Err(io::ErrorKind::ConnectionAborted.into()))
            }
            Err(refusal) => Some(Ok(self.end_with_error(&refusal).await)),
        }
    }

    fn record_sent(&mut self, event: Bytes) -> Bytes {
        if self.call.rec.claim.is_some() {
            self.sent.push(event.clone());
        }
        event
    }

    async fn end(&mut self) -> Bytes {
        self.ended = true;
        let end = final_event(Outcome::Complete);
        self.call.set_settled(Outcome::Complete);
        let response = self.call.rec.claim.is_some().then(|| {
            self.sent.push(end.clone());
            stored_response("text/event-stream", self.sent.concat().into())
        });
        settle(&self.proxy, &mut self.call.rec, Outcome::Complete, response).await;
        end
    }

    async fn end_with_error(&mut self, refusal: &Refusal) -> Bytes {
        self.ended = true;
        self.call.set_settled(refusal.outcome);
        settle(&self.proxy, &mut self.call.rec, refusal.outcome, None).await;
        error_event(refusal)
    }
}

/// Returns the event of a token; its id is the number of tokens up to and including it.
pub(crate) fn token_event(offset: u64, data: &[u8]) -> Bytes {
    let mut event = format!("id: {}\ndata: ", offset + 1).into_bytes();
    event.extend_from_slice(data);
    event.extend_from_slice(b"\n\n");
    event.into()
}

/// Returns an event without an id.
pub(crate) fn data_event(data: &[u8]) -> Bytes {
    [b"data: ".as_slice(), data, b"\n\n"].concat().into()
}

/// Returns the end of a complete stream.
pub(crate) fn final_event(outcome: Outcome) -> Bytes {
    format!(": {OUTCOME_HEADER}: {outcome}\n\ndata: [DONE]\n\n").into()
}

fn error_event(refusal: &Refusal) -> Bytes {
    let error = json!({
        "error": {
            "message": refusal.reason.to_string(),
            "type": "lycheelatch",
            "code": refusal.outcome.as_str(),
        }
    });
    format!(": {OUTCOME_HEADER}: {}\n\nevent: error\ndata: {error}\n\n", refusal.outcome).into()
}

fn stored_response(content_type: &'static str, body: Bytes) -> StoredResponse {
    let content_type = Bytes::from_static(content_type.as_bytes());
    StoredResponse { status: 200, headers: vec![("content-type".into(), content_type)], body }
}

/// Buffers the complete response and returns it.
pub(crate) async fn relay_buffered(
    proxy: &Proxy,
    mut call: ModelCall,
    builder: CompletionBuilder,
) -> HttpResponse {
    match collect(&mut call, builder).await {
        Ok(Some(body)) => {
            call.set_settled(Outcome::Complete);
            let stored = stored_response("application/json", body.clone());
            settle(proxy, &mut call.rec, Outcome::Complete, Some(stored)).await;
            HttpResponse::Ok()
                .content_type("application/json")
                .insert_header((REQUEST_ID_HEADER, call.rec.id().as_str()))
                .insert_header((OUTCOME_HEADER, Outcome::Complete.as_str()))
                .body(body)
        }
        Ok(None) => {
            call.set_handed_over();
            let refusal = Refusal::unknown(crate::RefusalReason::Stopping);
            refusal.into_response(call.rec.id())
        }
        Err(refusal) => refuse(proxy, &mut call, refusal).await,
    }
}

/// Settles a refused call and returns the refusal as response.
pub(crate) async fn refuse(proxy: &Proxy, call: &mut ModelCall, refusal: Refusal) -> HttpResponse {
    call.set_settled(refusal.outcome);
    settle(proxy, &mut call.rec, refusal.outcome, None).await;
    refusal.into_response(call.rec.id())
}

async fn collect(
    call: &mut ModelCall,
    mut builder: CompletionBuilder,
) -> Result<Option<Bytes>, Refusal> {
    let RequestKind::Model { path, .. } = &call.rec.kind else { return Ok(None) };
    let is_chat = path.ends_with("/chat/completions");
    let mut engine_body = None;
    loop {
        match call.next().await? {
            ResponseEvent::Token { text, data, .. } => builder.push_token(&text, &data),
            // Unless the response is a single text, the engine is not asked for a stream and
            // returns the complete body in one event.
            ResponseEvent::Other(data) if !call.is_single_text() => engine_body = Some(data),
            ResponseEvent::Other(data) => builder.push_other(&data),
            ResponseEvent::HandedOver => return Ok(None),
            ResponseEvent::Done => {
                return Ok(Some(engine_body.unwrap_or_else(|| builder.finish(is_chat))));
            }
        }
    }
}
