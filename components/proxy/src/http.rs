//! HTTP endpoints for callers.

use std::sync::Arc;

use actix_web::{
    HttpRequest, HttpResponse,
    http::{StatusCode, header::HeaderMap},
    web,
};
use bytes::Bytes;
use lycheelatch_claims::StoredResponse;
use lycheelatch_config::ServiceKind;
use lycheelatch_prelude::{InvalidValue, Outcome};
use serde_json::json;
use tokio::time::Instant;

use crate::{
    FilterDecision, Head, Proxy, Record, Refusal, RequestKind,
    body::read_body,
    classify::ModelFields,
    completion::CompletionBuilder,
    drain::respond_after_drain,
    head::{OUTCOME_HEADER, REQUEST_ID_HEADER, id_or_new, is_forwarded, is_listed_in_connection},
    model::{ModelCall, ModelRequest},
    plain::{ForwardedHeaders, PlainCall, RequestBody, append_headers, task_failure},
    relay::{refuse, relay_buffered, relay_stream},
    resume::resume,
    settle::settle,
};

/// Size up to which the body of a plain request is buffered, so that it can be sent again.
const MAX_REPEATABLE_BYTES: u64 = 64 * 1024;

/// Limits on requests of callers.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// Maximum size of a buffered body, in bytes; services may set a lower limit.
    pub max_body_bytes: usize,
}

/// Adds the callers' endpoints to an application.
pub fn configure(app: &mut web::ServiceConfig, proxy: Arc<Proxy>, limits: CallerLimits) {
    app.app_data(web::Data::from(proxy))
        .app_data(web::Data::new(limits))
        .route("/v1/chat/completions", web::post().to(model))
        .route("/v1/completions", web::post().to(model))
        .route("/v1/models", web::get().to(models))
        .route("/v1/requests/{id}", web::get().to(resume))
        .route("/services/{service}", web::to(plain))
        .route("/services/{service}/{path:.*}", web::to(plain))
        .default_service(web::to(unknown_path));
}

type SharedProxy = web::Data<Proxy>;
type SharedLimits = web::Data<CallerLimits>;

async fn unknown_path(http: HttpRequest) -> HttpResponse {
    let err = InvalidValue::new("path", http.path(), "is not served here");
    let mut refusal = Refusal::from(err);
    refusal.retry_after = None;
    refusal.into_response(&id_or_new(http.headers()))
}

/// Creates the record of a request with the current configuration.
pub(crate) fn create_record(
    proxy: &Proxy,
    headers: &HeaderMap,
    service: String,
    kind: RequestKind,
) -> Result<Record, Refusal> {
    let head = Head::read(headers, Instant::now())?;
    Ok(Record::new(head, (proxy.config)(), service, kind))
}

async fn model(
    http: HttpRequest,
    mut payload: web::Payload,
    proxy: SharedProxy,
    limits: SharedLimits,
) -> HttpResponse {
    let proxy = proxy.into_inner();
    match model_response(&http, &mut payload, proxy, limits.max_body_bytes).await {
        Ok(response) => response,
        Err(refusal) => {
            let response = refusal.into_response(&id_or_new(http.headers()));
            respond_after_drain(response, &mut payload).await
        }
    }
}

async fn model_response(
    http: &HttpRequest,
    payload: &mut web::Payload,
    proxy: Arc<Proxy>,
    max_body_bytes: usize,
) -> Result<HttpResponse, Refusal> {
    let path: Arc<str> = http.path().into();
    let kind = RequestKind::Model { path: path.clone(), stream: false };
    let mut rec = create_record(&proxy, http.headers(), String::new(), kind)?;
    proxy.check_token(&mut rec).await?;
    let body = read_body(payload, max_body_bytes).await?;
    let fields = ModelFields::read(&body)?;
    rec.service_name = fields.model.clone().unwrap_or_default();
    rec.kind = RequestKind::Model { path: path.clone(), stream: fields.stream };
    rec.body = Some(body.clone());
    if let Some(response) = apply_filters(&proxy, &mut rec).await {
        return Ok(response);
    }
    let req = ModelRequest {
        path,
        body,
        is_single_text: fields.is_single_text(),
        max_tokens: fields.max_tokens,
    };
    match ModelCall::start(proxy.clone(), rec, req, String::new(), 0).await {
        Ok(call) if fields.stream => Ok(relay_stream(proxy, call, Vec::new())),
        Ok(call) => Ok(relay_buffered(&proxy, call, CompletionBuilder::default()).await),
        Err((mut call, refusal)) => Ok(refuse(&proxy, &mut call, refusal).await),
    }
}

/// Applies the filters to a request; returns the response if a filter ended the request.
pub(crate) async fn apply_filters(proxy: &Proxy, rec: &mut Record) -> Option<HttpResponse> {
    match proxy.admit(rec).await {
        Ok(FilterDecision::Continue) => None,
        Ok(FilterDecision::Respond(stored)) => Some(replay(rec, stored)),
        Err(refusal) => {
            // Releases the claim if a filter after deduplication refused the request.
            settle(proxy, rec, refusal.outcome, None).await;
            Some(refusal.into_response(rec.id()))
        }
    }
}

fn replay(rec: &Record, stored: StoredResponse) -> HttpResponse {
    let status = StatusCode::from_u16(stored.status).unwrap_or_default();
    let outcome = if status.is_server_error() { Outcome::Failed } else { Outcome::Complete };
    let mut response = HttpResponse::build(status);
    append_headers(&mut response, &stored.headers);
    response
        .insert_header((REQUEST_ID_HEADER, rec.id().as_str()))
        .insert_header((OUTCOME_HEADER, outcome.as_str()))
        .insert_header(("lycheelatch-replayed", "true"));
    response.body(stored.body)
}

async fn plain(
    http: HttpRequest,
    mut payload: web::Payload,
    proxy: SharedProxy,
    limits: SharedLimits,
) -> HttpResponse {
    let proxy = proxy.into_inner();
    let request = read_plain_request(&http, &mut payload, &proxy, limits.max_body_bytes).await;
    let (mut rec, body) = match request {
        Ok(request) => request,
        Err(refusal) => {
            let response = refusal.into_response(&id_or_new(http.headers()));
            return respond_after_drain(response, &mut payload).await;
        }
    };
    if let Some(response) = apply_filters(&proxy, &mut rec).await {
        return if body.is_none() {
            respond_after_drain(response, &mut payload).await
        } else {
            response
        };
    }
    let body = body
        .unwrap_or_else(|| RequestBody::Stream { length: content_length(http.headers()), payload });
    let id = rec.id().clone();
    let has_claim = rec.claim.is_some();
    let call = PlainCall::new(proxy, rec, forwarded_headers(http.headers()), body);
    if !has_claim {
        return call.run().await;
    }
    // A call with a claim continues after its caller disconnects: its response can be replayed.
    let task = actix_web::rt::spawn(call.run());
    task.await.unwrap_or_else(|_| task_failure().into_response(&id))
}

/// Creates the record of a plain request; a body that is too long to buffer is left unread.
async fn read_plain_request(
    http: &HttpRequest,
    payload: &mut web::Payload,
    proxy: &Proxy,
    max_body_bytes: usize,
) -> Result<(Record, Option<RequestBody>), Refusal> {
    let service = http.match_info().get("service").unwrap_or_default().to_owned();
    let kind =
        RequestKind::Plain { method: http.method().as_str().into(), path: upstream_path(http) };
    let mut rec = create_record(proxy, http.headers(), service, kind)?;
    proxy.check_token(&mut rec).await?;
    let length = content_length(http.headers());
    let is_short = length.is_some_and(|length| length <= MAX_REPEATABLE_BYTES);
    let is_empty = length.is_none() && !http.headers().contains_key("transfer-encoding");
    if is_empty {
        rec.body = Some(Bytes::new());
        return Ok((rec, Some(RequestBody::Whole(Bytes::new()))));
    }
    if !is_short && rec.head.key.is_none() {
        return Ok((rec, None));
    }
    let body = read_body(payload, max_body_bytes).await?;
    rec.body = Some(body.clone());
    Ok((rec, Some(RequestBody::Whole(body))))
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get("content-length")?.to_str().ok()?.parse().ok()
}

/// Returns the path and query for the service, without the `/services/NAME` prefix.
fn upstream_path(http: &HttpRequest) -> Arc<str> {
    let path = http.uri().path();
    let path = path.strip_prefix("/services/").unwrap_or(path);
    let path = path.find('/').map_or("/", |slash| &path[slash..]);
    match http.uri().query() {
        Some(query) => format!("{path}?{query}").into(),
        None => path.into(),
    }
}

fn forwarded_headers(headers: &HeaderMap) -> ForwardedHeaders {
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name) && !is_listed_in_connection(headers, name))
        .map(|(name, value)| (name.as_str().into(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}

async fn models(http: HttpRequest, proxy: SharedProxy) -> HttpResponse {
    let kind = RequestKind::Model { path: http.path().into(), stream: false };
    let result = async {
        let mut rec = create_record(&proxy, http.headers(), String::new(), kind)?;
        proxy.check_token(&mut rec).await?;
        Ok::<_, Refusal>(rec)
    };
    let rec = match result.await {
        Ok(rec) => rec,
        Err(refusal) => return refusal.into_response(&id_or_new(http.headers())),
    };
    let allowed = &rec.workspace().services;
    let models: Vec<_> = rec
        .config
        .services
        .values()
        .filter(|service| service.kind == ServiceKind::Model)
        .filter(|service| allowed.is_empty() || allowed.contains(&service.name))
        .map(|service| json!({"id": service.name, "object": "model", "owned_by": "lycheelatch"}))
        .collect();
    HttpResponse::Ok()
        .insert_header((REQUEST_ID_HEADER, rec.id().as_str()))
        .insert_header((OUTCOME_HEADER, Outcome::Complete.as_str()))
        .json(json!({"object": "list", "data": models}))
}
