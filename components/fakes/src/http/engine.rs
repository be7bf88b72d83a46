//! Fake model engine over HTTP.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures_util::{Stream, stream};
use lycheelatch_prelude::{Fence, RequestId, Sequence};
use lycheelatch_upstream::{
    CacheEvents, Order, OrderKind, headers,
    wire::{ResumeWire, StaleFenceWire},
};
use serde::Deserialize;
use serde_json::json;
use tokio::time::sleep;

use crate::http::{
    engine_state::{EngineConfig, EngineCounts, EngineState, token_text},
    server::{HttpServerHandle, serve},
};

/// Response length in tokens when the request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Bytes of exported KV cache per token.
const KV_BYTES_PER_TOKEN: usize = 64;

/// Fake model engine that is served over HTTP.
#[derive(Clone)]
pub struct ServedEngine {
    /// Server of the engine.
    pub server: HttpServerHandle,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<EngineState>,
    is_killed: AtomicBool,
}

impl ServedEngine {
    /// Returns the engine's counters.
    pub fn counts(&self) -> EngineCounts {
        self.shared.state.lock().unwrap().counts
    }

    /// Returns the text of the response to a prompt; it is the same on every engine.
    pub fn expected_text(prompt: &str, tokens: u64) -> String {
        (0..tokens).map(|offset| token_text(prompt, offset)).collect()
    }

    /// Interrupts all running responses and stops the server.
    pub async fn kill(&self) {
        self.shared.is_killed.store(true, Ordering::Relaxed);
        self.server.kill().await;
    }
}

/// Starts a fake engine; fails if the port can't be bound.
pub fn serve_engine(cfg: EngineConfig) -> io::Result<ServedEngine> {
    let state = Mutex::new(EngineState::new(cfg));
    let shared = Arc::new(Shared { state, is_killed: AtomicBool::new(false) });
    let data = web::Data::from(shared.clone());
    let server = serve(move |app| {
        app.app_data(data.clone())
            .app_data(web::PayloadConfig::new(64 << 20))
            .app_data(web::JsonConfig::default().limit(64 << 20))
            .route("/v1/chat/completions", web::post().to(generate))
            .route("/v1/completions", web::post().to(generate))
            .route("/v1/load", web::get().to(load))
            .route("/v1/cache/events", web::get().to(cache_events))
            .route("/v1/orders", web::post().to(order))
            .route("/v1/requests/{id}/cancel", web::post().to(cancel))
            .route("/v1/requests/{id}/kv", web::get().to(export_kv))
            .route("/v1/requests/{id}/kv", web::put().to(import_kv));
    })?;
    Ok(ServedEngine { server, shared })
}

#[derive(Deserialize)]
struct GenerateWire {
    #[serde(default)]
    messages: Vec<MessageWire>,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    resume: Option<ResumeWire>,
}

#[derive(Deserialize)]
struct MessageWire {
    content: String,
}

impl GenerateWire {
    fn prompt_text(&self) -> String {
        match &self.prompt {
            Some(prompt) => prompt.clone(),
            None => self.messages.iter().map(|m| m.content.as_str()).collect::<Vec<_>>().join("\n"),
        }
    }
}

/// State of a response that is being generated.
struct Generation {
    shared: Arc<Shared>,
    id: RequestId,
    prompt: String,
    is_chat: bool,
    next: u64,
    end: u64,
    done: bool,
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.shared.state.lock().unwrap().finish(&self.id);
    }
}

impl Generation {
    fn chunk(&self, text: &str) -> serde_json::Value {
        let choice = match self.is_chat {
            true => json!({"index": 0, "delta": {"content": text}, "finish_reason": null}),
            false => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        json!({"id": self.id.as_str(), "object": "chat.completion.chunk", "choices": [choice]})
    }

    async fn next_event(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.done {
            return None;
        }
        if self.next == self.end {
            self.done = true;
            return Some(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
        }
        let interval = self.shared.state.lock().unwrap().cfg.token_interval;
        sleep(interval).await;
        if self.shared.is_killed.load(Ordering::Relaxed) {
            self.done = true;
            return Some(Err(io::ErrorKind::ConnectionReset.into()));
        }
        self.shared.state.lock().unwrap().token_generated(&self.id);
        let chunk = self.chunk(&token_text(&self.prompt, self.next));
        let event = format!("id: {}\ndata: {chunk}\n\n", self.next);
        self.next += 1;
        Some(Ok(event.into()))
    }
}

fn events(generation: Generation) -> impl Stream<Item = Result<Bytes, io::Error>> {
    stream::unfold(generation, |mut generation| async move {
        let event = generation.next_event().await?;
        Some((event, generation))
    })
}

async fn generate(
    http: HttpRequest,
    shared: web::Data<Shared>,
    body: web::Json<GenerateWire>,
) -> HttpResponse {
    let id = request_id(&http);
    let prompt = body.prompt_text();
    let delivered = body.resume.as_ref().map_or(0, |resume| resume.offset);
    let Some((missing_tokens, prefill_per_1000)) = try_start(&shared, &id, &prompt, delivered)
    else {
        return HttpResponse::TooManyRequests().insert_header(("retry-after", "1")).finish();
    };
    let generation = Generation {
        shared: shared.into_inner(),
        id: id.clone(),
        prompt,
        is_chat: http.path().ends_with("/chat/completions"),
        next: delivered,
        end: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        done: false,
    };
    sleep(prefill_per_1000.mul_f64(missing_tokens as f64 / 1000.0)).await;
    if !body.stream {
        return complete_response(generation).await;
    }
    HttpResponse::Ok()
        .insert_header((headers::REQUEST_ID, id.as_str()))
        .content_type("text/event-stream")
        .streaming(events(generation))
}

fn try_start(
    shared: &Shared,
    id: &RequestId,
    prompt: &str,
    delivered: u64,
) -> Option<(u64, std::time::Duration)> {
    let mut state = shared.state.lock().unwrap();
    if state.running >= state.cfg.max_running {
        state.counts.refused += 1;
        return None;
    }
    Some((state.start(id, prompt, delivered), state.cfg.prefill_per_1000))
}

async fn complete_response(mut generation: Generation) -> HttpResponse {
    let prompt = generation.prompt.clone();
    let (id, end) = (generation.id.clone(), generation.end);
    while let Some(event) = generation.next_event().await {
        if event.is_err() {
            return HttpResponse::InternalServerError().finish();
        }
    }
    let text = ServedEngine::expected_text(&prompt, end);
    let message = json!({"role": "assistant", "content": text});
    let choice = json!({"index": 0, "message": message, "text": text, "finish_reason": "stop"});
    HttpResponse::Ok()
        .insert_header((headers::REQUEST_ID, id.as_str()))
        .json(json!({"id": id.as_str(), "object": "chat.completion", "choices": [choice]}))
}

fn request_id(http: &HttpRequest) -> RequestId {
    let given = http.headers().get(headers::REQUEST_ID).and_then(|value| value.to_str().ok());
    given.and_then(|id| id.parse().ok()).unwrap_or_else(RequestId::new_unique)
}

async fn load(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.state.lock().unwrap().load_report())
}

async fn cache_events() -> HttpResponse {
    HttpResponse::Ok().json(CacheEvents { last: Sequence(0), gap: false, events: Vec::new() })
}

async fn order(shared: web::Data<Shared>, order: web::Json<Order>) -> HttpResponse {
    let mut state = shared.state.lock().unwrap();
    if state.cfg.checks_fences && order.fence < state.fence {
        return HttpResponse::Conflict().json(StaleFenceWire { seen: state.fence });
    }
    state.fence = Fence(state.fence.0.max(order.fence.0));
    match order.into_inner().kind {
        OrderKind::Models { models, .. } => state.models = models,
        OrderKind::Role { role } => state.role = role,
    }
    HttpResponse::Ok().finish()
}

async fn cancel(shared: web::Data<Shared>, _id: web::Path<RequestId>) -> HttpResponse {
    shared.state.lock().unwrap().counts.cancelled += 1;
    HttpResponse::Ok().finish()
}

async fn export_kv(shared: web::Data<Shared>, id: web::Path<RequestId>) -> HttpResponse {
    if shared.state.lock().unwrap().cfg.export_hangs {
        std::future::pending::<()>().await;
    }
    let Some(tokens) = shared.state.lock().unwrap().computed(&id) else {
        return HttpResponse::NotFound().finish();
    };
    let body = vec![0_u8; tokens as usize * KV_BYTES_PER_TOKEN];
    HttpResponse::Ok().insert_header((headers::KV_TOKENS, tokens.to_string())).body(body)
}

async fn import_kv(
    http: HttpRequest,
    shared: web::Data<Shared>,
    id: web::Path<RequestId>,
    _body: Bytes,
) -> HttpResponse {
    let tokens = http.headers().get(headers::KV_TOKENS).and_then(|value| value.to_str().ok());
    let Some(tokens) = tokens.and_then(|tokens| tokens.parse().ok()) else {
        return HttpResponse::BadRequest().finish();
    };
    shared.state.lock().unwrap().kv.insert(id.into_inner(), tokens);
    HttpResponse::Ok().finish()
}
