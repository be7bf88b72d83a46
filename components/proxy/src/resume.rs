//! Takes an answer up again, at whichever node the caller comes to.

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

/// Time after which a caller asks again for an answer that still runs.
const RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// `GET /v1/requests/{id}`: the answer of an earlier request, from `Last-Event-ID` on.
pub(crate) async fn resume(
    http: HttpRequest,
    id: web::Path<String>,
    proxy: web::Data<Proxy>,
) -> HttpResponse {
    let proxy = proxy.into_inner();
    match resumed(&http, &id, proxy).await {
        Ok(answer) => answer,
        Err(refusal) => refusal.into_response(&id_or_new(http.headers())),
    }
}

async fn resumed(http: &HttpRequest, id: &str, proxy: Arc<Proxy>) -> Result<HttpResponse, Refusal> {
    let id: RequestId = id.parse()?;
    let kind = RequestKind::Model { path: "".into(), stream: true };
    let mut rec = create_record(&proxy, http.headers(), String::new(), kind)?;
    proxy.check_token(&mut rec).await?;
    let has = rec.head.last_event.unwrap_or(0);
    let kept = find(&proxy, &rec, &id, has).await?;
    let fields = ModelFields::read(&kept.body)?;
    restore(&mut rec, id, &kept, fields.stream);
    if kept.outcome == Some(Outcome::Complete) {
        return Ok(whole_again(&rec, &kept, fields.stream, has));
    }
    if !kept.is_resumable() {
        return Err(Refusal::unknown(RefusalReason::NotResumable(rec.head.id)));
    }
    if let Some(answer) = apply_filters(&proxy, &mut rec).await {
        return Ok(answer);
    }
    proxy.metrics.resumes.with_label_values(&[kept.service.as_str(), "caller"]).inc();
    go_on(proxy, rec, kept, &fields, has).await
}

/// Finds at least `has` tokens of an answer, here or at another node.
async fn find(
    proxy: &Proxy,
    rec: &Record,
    id: &RequestId,
    has: u64,
) -> Result<BufferedResponse, Refusal> {
    let workspace = &rec.workspace().name;
    let here = proxy.response_buffer.get(id).filter(|kept| kept.workspace == *workspace);
    if let Some(kept) = &here
        && proxy.running.is_running(id)
        && !kept.is_resumable()
    {
        return Err(still_running());
    }
    let is_enough = |kept: &BufferedResponse| kept.tokens.len() as u64 >= has;
    let found = match (here, proxy.link()) {
        (Some(kept), _) if is_enough(&kept) => SearchResult::Found(Box::new(kept)),
        (here, Some(link)) => search(link, &lookup_request(id, workspace), has, here).await,
        (_, None) => SearchResult::NotFound,
    };
    match found {
        SearchResult::Found(kept) if is_enough(&kept) => Ok(*kept),
        SearchResult::Running => Err(still_running()),
        SearchResult::Found(_) | SearchResult::NotFound => {
            Err(Refusal::unknown(RefusalReason::UnknownRequest(id.clone())))
        }
    }
}

fn still_running() -> Refusal {
    Refusal::unknown(RefusalReason::StillRunning).retry_after(RETRY_AFTER)
}

/// Gives the record what the first request said.
fn restore(rec: &mut Record, id: RequestId, kept: &BufferedResponse, stream: bool) {
    rec.head.id = id;
    rec.head.labels = kept.labels.clone();
    rec.head.priority = kept.priority;
    rec.head.key = None;
    rec.head.idempotent = Some(kept.idempotency);
    rec.service_name = kept.service.as_str().to_owned();
    rec.kind = RequestKind::Model { path: kept.path.clone(), stream };
    rec.body = Some(kept.body.clone());
}

/// Returns the events that a caller who has `has` tokens lacks.
fn missing_events(kept: &BufferedResponse, has: u64) -> Vec<Bytes> {
    let mut events = Vec::new();
    let mut others =
        kept.other_events.iter().filter(|event| event.preceding_tokens >= has).peekable();
    for (offset, token) in kept.tokens.iter().enumerate().skip(has as usize) {
        let offset = offset as u64;
        while let Some(other) = others.next_if(|event| event.preceding_tokens <= offset) {
            events.push(data_event(&other.data));
        }
        events.push(token_event(offset, &token.data));
    }
    events.extend(others.map(|event| data_event(&event.data)));
    events
}

fn collected(kept: &BufferedResponse) -> CompletionBuilder {
    let mut whole = CompletionBuilder::default();
    kept.tokens.iter().for_each(|token| whole.push_token(&token.text, &token.data));
    kept.other_events.iter().for_each(|event| whole.push_other(&event.data));
    whole
}

/// Answers with a finished answer.
fn whole_again(rec: &Record, kept: &BufferedResponse, stream: bool, has: u64) -> HttpResponse {
    let mut answer = HttpResponse::Ok();
    answer
        .insert_header((REQUEST_ID_HEADER, rec.id().as_str()))
        .insert_header((OUTCOME_HEADER, Outcome::Complete.as_str()));
    if !stream {
        let body = match (kept.is_one_text, kept.other_events.last()) {
            (false, Some(event)) => event.data.clone(),
            _ => collected(kept).finish(kept.path.ends_with("/chat/completions")),
        };
        return answer.content_type("application/json").body(body);
    }
    let mut events = missing_events(kept, has);
    events.push(final_event(Outcome::Complete));
    answer.content_type("text/event-stream").body(events.concat())
}

/// Goes on with an answer after its kept part.
async fn go_on(
    proxy: Arc<Proxy>,
    rec: Record,
    kept: BufferedResponse,
    fields: &ModelFields,
    has: u64,
) -> Result<HttpResponse, Refusal> {
    let ask = ModelRequest {
        path: kept.path.clone(),
        body: kept.body.clone(),
        is_one_text: true,
        max_tokens: fields.max_tokens,
    };
    let next = kept.tokens.len() as u64;
    let text = kept.tokens.iter().map(|token| token.text.as_ref()).collect();
    let (replay, before) = (missing_events(&kept, has), collected(&kept));
    proxy.response_buffer.merge(rec.id(), kept);
    match ModelCall::start(proxy.clone(), rec, ask, text, next).await {
        Ok(call) if fields.stream => Ok(relay_stream(proxy, call, replay)),
        Ok(call) => Ok(relay_buffered(&proxy, call, before).await),
        Err((mut call, refusal)) => Ok(refuse(&proxy, &mut call, refusal).await),
    }
}
