//! Relays the pieces of a model's answer to the caller.

use std::{io, sync::Arc};

use actix_web::HttpResponse;
use bytes::Bytes;
use futures_util::{Stream, stream};
use lycheelatch_claims::StoredResponse;
use lycheelatch_prelude::Outcome;
use serde_json::json;

use crate::{
    Kind, Proxy, Refusal,
    head::{OUTCOME_HEADER, REQUEST_ID_HEADER},
    model::{ModelCall, Piece},
    settle::settle,
    whole::WholeAnswer,
};

/// Relays a stream of events as it comes.
///
/// The outcome stands in a comment before the end, since the headers go out
/// before it is known. A stream that ends without it is broken.
pub(crate) fn relay_stream(proxy: Arc<Proxy>, call: ModelCall, replay: Vec<Bytes>) -> HttpResponse {
    let mut answer = HttpResponse::Ok();
    answer
        .content_type("text/event-stream")
        .insert_header(("cache-control", "no-store"))
        .insert_header((REQUEST_ID_HEADER, call.rec.id().as_str()))
        .insert_header((OUTCOME_HEADER, Outcome::Unknown.as_str()));
    let relay = Relay { proxy, call, replay: replay.into_iter(), sent: Vec::new(), ended: false };
    answer.streaming(relay.into_stream())
}

struct Relay {
    proxy: Arc<Proxy>,
    call: ModelCall,
    /// Events to send before those of the call.
    replay: std::vec::IntoIter<Bytes>,
    /// Events that were sent, kept where a claim needs the whole answer.
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
            Ok(Piece::Token { offset, data, .. }) => {
                Some(Ok(self.keep(token_event(offset, &data))))
            }
            Ok(Piece::Other(data)) => Some(Ok(self.keep(data_event(&data)))),
            Ok(Piece::Done) => Some(Ok(self.end().await)),
            Ok(Piece::HandedOver) => {
                self.ended = true;
                self.call.set_handed_over();
                Some(Err(io::ErrorKind::ConnectionAborted.into()))
            }
            Err(refusal) => Some(Ok(self.end_broken(&refusal).await)),
        }
    }

    fn keep(&mut self, event: Bytes) -> Bytes {
        if self.call.rec.claim.is_some() {
            self.sent.push(event.clone());
        }
        event
    }

    async fn end(&mut self) -> Bytes {
        self.ended = true;
        let end = closing_event(Outcome::Complete);
        self.call.set_settled(Outcome::Complete);
        let answer = self.call.rec.claim.is_some().then(|| {
            self.sent.push(end.clone());
            stored_answer("text/event-stream", self.sent.concat().into())
        });
        settle(&self.proxy, &mut self.call.rec, Outcome::Complete, answer).await;
        end
    }

    async fn end_broken(&mut self, refusal: &Refusal) -> Bytes {
        self.ended = true;
        self.call.set_settled(refusal.outcome);
        settle(&self.proxy, &mut self.call.rec, refusal.outcome, None).await;
        broken_event(refusal)
    }
}

/// Returns the event of one token; its id counts the tokens up to and with it.
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

/// Returns the end of a whole stream.
pub(crate) fn closing_event(outcome: Outcome) -> Bytes {
    format!(": {OUTCOME_HEADER}: {outcome}\n\ndata: [DONE]\n\n").into()
}

fn broken_event(refusal: &Refusal) -> Bytes {
    let error = json!({
        "error": {
            "message": refusal.reason.to_string(),
            "type": "lycheelatch",
            "code": refusal.outcome.as_str(),
        }
    });
    format!(": {OUTCOME_HEADER}: {}\n\nevent: error\ndata: {error}\n\n", refusal.outcome).into()
}

fn stored_answer(content_type: &'static str, body: Bytes) -> StoredResponse {
    let content_type = Bytes::from_static(content_type.as_bytes());
    StoredResponse { status: 200, headers: vec![("content-type".into(), content_type)], body }
}

/// Collects the whole answer and returns it.
pub(crate) async fn relay_whole(
    proxy: &Proxy,
    mut call: ModelCall,
    before: WholeAnswer,
) -> HttpResponse {
    match collect(&mut call, before).await {
        Ok(Some(body)) => {
            call.set_settled(Outcome::Complete);
            let stored = stored_answer("application/json", body.clone());
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

/// Settles a call that has no answer and returns the refusal.
pub(crate) async fn refuse(proxy: &Proxy, call: &mut ModelCall, refusal: Refusal) -> HttpResponse {
    call.set_settled(refusal.outcome);
    settle(proxy, &mut call.rec, refusal.outcome, None).await;
    refusal.into_response(call.rec.id())
}

async fn collect(call: &mut ModelCall, mut whole: WholeAnswer) -> Result<Option<Bytes>, Refusal> {
    let Kind::Model { path, .. } = &call.rec.kind else { return Ok(None) };
    let is_chat = path.ends_with("/chat/completions");
    let mut passed_on = None;
    loop {
        match call.next().await? {
            Piece::Token { text, data, .. } => whole.push_token(&text, &data),
            // An answer that is not one text comes from the engine in one piece.
            Piece::Other(data) if !call.is_one_text() => passed_on = Some(data),
            Piece::Other(data) => whole.push_other(&data),
            Piece::HandedOver => return Ok(None),
            Piece::Done => return Ok(Some(passed_on.unwrap_or_else(|| whole.finish(is_chat)))),
        }
    }
}
