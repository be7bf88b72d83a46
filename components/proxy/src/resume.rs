//! Resumes a response on whichever node receives the request for it.

use std::sync::Arc;

use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use lycheelatch_prelude::{Outcome, RequestId};

use crate::{
    BufferedResponse, Proxy, Record, Refusal, RefusalReason, RequestKind,
    classify::ModelFields,
    completion::CompletionBuilder,
    head::{OUTCOME_HEADER, REQUEST_ID_HEADER, id_or_new},
    http::{apply_filters, create_record},
    locate::{SearchResult, lookup_request, search},
    model::{ModelCall, ModelRequest},
    relay::{data_event, final_event, refuse, relay_buffered, relay_stream, token_event},
};

/// `Retry-After` of a response that is still running and is not resumable.
const RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// `GET /v1/requests/{id}`: returns the response of an earlier request, from `Last-Event-ID` on.
pub(crate) async fn resume(
    http: HttpRequest,
    id: web::Path<String>,
    proxy: web::Data<Proxy>,
) -> HttpResponse {
    let proxy = proxy.into_inner();
    match try_resume(&http, &id, proxy).await {
        Ok(response) => response,
        Err(refusal) => refusal.into_response(&id_or_new(http.headers())),
    }
}

async fn try_resume(
    http: &HttpRequest,
    id: &str,
    proxy: Arc<Proxy>,
) -> Result<HttpResponse, Refusal> {
    let id: RequestId = id.parse()?;
    let kind = RequestKind::Model { path: "".into(), stream: true };
    let mut rec = create_record(&proxy, http.headers(), String::new(), kind)?;
    proxy.check_token(&mut rec).await?;
    let received = rec.head.last_event.unwrap_or(0);
    let buffered = find_buffered(&proxy, &rec, &id, received).await?;
    let fields = ModelFields::read(&buffered.body)?;
    restore_request(&mut rec, id, &buffered, fields.stream);
    if buffered.outcome == Some(Outcome::Complete) {
        return Ok(replay_complete(&rec, &buffered, fields.stream, received));
    }
    if !buffered.is_resumable() {
        return Err(Refusal::unknown(RefusalReason::NotResumable(rec.head.id)));
    }
    if let Some(response) = apply_filters(&proxy, &mut rec).await {
        return Ok(response);
    }
    proxy.metrics.resumes.with_label_values(&[buffered.service.as_str(), "caller"]).inc();
    continue_response(proxy, rec, buffered, &fields, received).await
}

/// Returns a buffered response with at least `received` tokens, from this or another node.
async fn find_buffered(
    proxy: &Proxy,
    rec: &Record,
    id: &RequestId,
    received: u64,
) -> Result<BufferedResponse, Refusal> {
    let workspace = &rec.workspace().name;
    let local = proxy.response_buffer.get(id).filter(|buffered| buffered.workspace == *workspace);
    if let Some(buffered) = &local
        && proxy.running.is_running(id)
        && !buffered.is_resumable()
    {
        return Err(still_running());
    }
    let is_enough = |buffered: &BufferedResponse| buffered.tokens.len() as u64 >= received;
    let found = match (local, proxy.link()) {
        (Some(buffered), _) if is_enough(&buffered) => SearchResult::Found(Box::new(buffered)),
        (local, Some(link)) => search(link, &lookup_request(id, workspace), received, local).await,
        (_, None) => SearchResult::NotFound,
    };
    match found {
        SearchResult::Found(buffered) if is_enough(&buffered) => Ok(*buffered),
        SearchResult::Running => Err(still_running()),
        SearchResult::Found(_) | SearchResult::NotFound => {
            Err(Refusal::unknown(RefusalReason::UnknownRequest(id.clone())))
        }
    }
}

fn still_running() -> Refusal {
    Refusal::unknown(RefusalReason::StillRunning).retry_after(RETRY_AFTER)
}

/// Sets the record to the properties of the original request.
fn restore_request(rec: &mut Record, id: RequestId, buffered: &BufferedResponse, stream: bool) {
    rec.head.id = id;
    rec.head.labels = buffered.labels.clone();
    rec.head.priority = buffered.priority;
    rec.head.key = None;
    rec.head.idempotent = Some(buffered.idempotency);
    rec.service_name = buffered.service.as_str().to_owned();
    rec.kind = RequestKind::Model { path: buffered.path.clone(), stream };
    rec.body = Some(buffered.body.clone());
}

/// Returns the events after the first `received` tokens.
fn missing_events(buffered: &BufferedResponse, received: u64) -> Vec<Bytes> {
    let mut events = Vec::new();
    let mut others =
        buffered.other_events.iter().filter(|event| event.preceding_tokens >= received).peekable();
    for (offset, token) in buffered.tokens.iter().enumerate().skip(received as usize) {
        let offset = offset as u64;
        while let Some(other) = others.next_if(|event| event.preceding_tokens <= offset) {
            events.push(data_event(&other.data));
        }
        events.push(token_event(offset, &token.data));
    }
    events.extend(others.map(|event| data_event(&event.data)));
    events
}

fn rebuild_completion(buffered: &BufferedResponse) -> CompletionBuilder {
    let mut builder = CompletionBuilder::default();
    buffered.tokens.iter().for_each(|token| builder.push_token(&token.text, &token.data));
    buffered.other_events.iter().for_each(|event| builder.push_other(&event.data));
    builder
}

/// Returns the response of a finished request.
fn replay_complete(
    rec: &Record,
    buffered: &BufferedResponse,
    stream: bool,
    received: u64,
) -> HttpResponse {
    let mut response = HttpResponse::Ok();
    response
        .insert_header((REQUEST_ID_HEADER, rec.id().as_str()))
        .insert_header((OUTCOME_HEADER, Outcome::Complete.as_str()));
    if !stream {
        let body = match (buffered.is_single_text, buffered.other_events.last()) {
            (false, Some(event)) => event.data.clone(),
            _ => rebuild_completion(buffered).finish(buffered.path.ends_with("/chat/completions")),
        };
        return response.content_type("application/json").body(body);
    }
    let mut events = missing_events(buffered, received);
    events.push(final_event(Outcome::Complete));
    response.content_type("text/event-stream").body(events.concat())
}

/// Continues a response after its buffered part.
async fn continue_response(
    proxy: Arc<Proxy>,
    rec: Record,
    buffered: BufferedResponse,
    fields: &ModelFields,
    received: u64,
) -> Result<HttpResponse, Refusal> {
    let req = ModelRequest {
        path: buffered.path.clone(),
        body: buffered.body.clone(),
        is_single_text: true,
        max_tokens: fields.max_tokens,
    };
    let next_offset = buffered.tokens.len() as u64;
    let text = buffered.tokens.iter().map(|token| token.text.as_ref()).collect();
    let (replay, builder) = (missing_events(&buffered, received), rebuild_completion(&buffered));
    proxy.response_buffer.merge(rec.id(), buffered);
    match ModelCall::start(proxy.clone(), rec, req, text, next_offset).await {
        Ok(call) if fields.stream => Ok(relay_stream(proxy, call, replay)),
        Ok(call) => Ok(relay_buffered(&proxy, call, builder).await),
        Err((mut call, refusal)) => Ok(refuse(&proxy, &mut call, refusal).await),
    }
}
