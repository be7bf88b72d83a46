//! The platform's store and duty calls on loopback, with faults.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, rt, web};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::any_port;

/// How the store treats calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// Answers.
    #[default]
    Up,
    /// Refuses with 503.
    Unavailable,
    /// Never answers.
    Silent,
    /// Carries writes out and never answers them.
    LoseWriteResponses,
}

#[derive(Clone)]
struct Stored {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    mode: StoreMode,
    /// Watches whose answers can't be read, from the next one on.
    corrupt_watch_responses: u32,
    revision: u64,
    items: BTreeMap<String, Stored>,
    history: Vec<Value>,
    dropped_up_to: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    duty_calls: Vec<DutyCall>,
}

/// One call that one node makes for all.
#[derive(Debug, Clone)]
pub struct DutyCall {
    /// Path of the call.
    pub path: String,
    /// Its body.
    pub body: Value,
    /// Fencing number of its sender.
    pub fence: u64,
}

/// The platform's store and duty calls on loopback.
#[derive(Clone)]
pub struct FakeStore {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

type Shared = web::Data<Mutex<State>>;

impl FakeStore {
    /// Starts the store on loopback.
    pub async fn start() -> FakeStore {
        let state = Arc::new(Mutex::new(State::default()));
        let data = web::Data::from(state.clone());
        let server = HttpServer::new(move || {
            App::new()
                .app_data(data.clone())
                .route("/-/kv-key", web::get().to(key))
                .route("/-/kv-range", web::get().to(range))
                .route("/-/kv-watch", web::get().to(watch))
                .route("/-/kv-txn", web::post().to(txn))
                .route("/-/kv-lease", web::post().to(lease))
                .route("/-/kv-keep/{id}", web::post().to(keep))
                .route("/-/kv-lease-end/{id}", web::delete().to(end))
                .default_service(web::to(duty))
        });
        let server = server.workers(1).disable_signals().bind(any_port()).unwrap();
        let address = server.addrs()[0];
        rt::spawn(server.run());
        FakeStore { address, state }
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how calls are treated from now on.
    pub fn set_mode(&self, mode: StoreMode) {
        self.state.lock().unwrap().mode = mode;
    }

    /// Spoils the answers of the next watches.
    pub fn corrupt_watch_responses(&self, count: u32) {
        self.state.lock().unwrap().corrupt_watch_responses = count;
    }

    /// Returns how many watches are still to get a spoilt answer.
    pub fn corrupt_watch_responses_left(&self) -> u32 {
        self.state.lock().unwrap().corrupt_watch_responses
    }

    /// Writes as the operator or a runner does.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes any bytes.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        use base64::Engine;
        let text = base64::engine::general_purpose::STANDARD.encode(value);
        self.state.lock().unwrap().write(key, text, 0);
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) {
        self.state.lock().unwrap().delete(key);
    }

    /// Drops the history, so that watches have to read again.
    pub fn compact(&self) {
        let mut state = self.state.lock().unwrap();
        state.dropped_up_to = state.revision;
        state.history.clear();
    }

    /// Returns the duty calls that came.
    pub fn duty_calls(&self) -> Vec<DutyCall> {
        self.state.lock().unwrap().duty_calls.clone()
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let stored = Stored { value, revision, created, lease };
        self.history.push(item_json(key, &stored));
        self.items.insert(key.to_owned(), stored);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let gone = json!({"key": key, "revision": self.revision, "deleted": true});
            self.history.push(gone);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| *until <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in held {
            self.delete(&key);
        }
    }
}

fn item_json(key: &str, item: &Stored) -> Value {
    json!({"key": key, "value": item.value, "revision": item.revision, "created": item.created,
        "lease": item.lease})
}

/// Applies the mode; returns the answer of a call that is not served.
async fn gate(state: &Shared) -> Option<HttpResponse> {
    let mode = {
        let mut state = state.lock().unwrap();
        state.expire();
        state.mode
    };
    match mode {
        StoreMode::Up | StoreMode::LoseWriteResponses => None,
        StoreMode::Unavailable => Some(HttpResponse::ServiceUnavailable().finish()),
        StoreMode::Silent => {
            sleep(Duration::from_secs(60)).await;
            Some(HttpResponse::ServiceUnavailable().finish())
        }
    }
}

/// Answers a write, unless its answer is lost.
async fn answer_write(state: &Shared, answer: HttpResponse) -> HttpResponse {
    if state.lock().unwrap().mode == StoreMode::LoseWriteResponses {
        sleep(Duration::from_secs(60)).await;
    }
    answer
}

type Query = web::Query<HashMap<String, String>>;

async fn key(state: Shared, query: Query) -> HttpResponse {
    if let Some(refused) = gate(&state).await {
        return refused;
    }
    let state = state.lock().unwrap();
    let key = &query["key"];
    match state.items.get(key) {
        Some(item) => HttpResponse::Ok().json(item_json(key, item)),
        None => HttpResponse::NotFound().json(json!({"store_revision": state.revision})),
    }
}

async fn range(state: Shared, query: Query) -> HttpResponse {
    if let Some(refused) = gate(&state).await {
        return refused;
    }
    let state = state.lock().unwrap();
    let prefix = &query["path_prefix"];
    let items = state.items.iter().filter(|(key, _)| key.starts_with(prefix.as_str()));
    let items: Vec<Value> = items.map(|(key, item)| item_json(key, item)).collect();
    HttpResponse::Ok()
        .json(json!({"items": items, "more_pages": false, "store_revision": state.revision}))
}

async fn watch(state: Shared, query: Query) -> HttpResponse {
    if let Some(refused) = gate(&state).await {
        return refused;
    }
    let after: u64 = query["after"].parse().unwrap();
    let wait = Duration::from_millis(query["wait_ms"].parse().unwrap());
    let ends = Instant::now() + wait;
    loop {
        {
            let mut state = state.lock().unwrap();
            state.expire();
            if after < state.dropped_up_to {
                return HttpResponse::Gone().finish();
            }
            let prefix = &query["path_prefix"];
            let is_new = |event: &&Value| {
                event["revision"].as_u64().unwrap() > after
                    && event["key"].as_str().unwrap().starts_with(prefix.as_str())
            };
            let events: Vec<&Value> = state.history.iter().filter(is_new).collect();
            if !events.is_empty() || Instant::now() >= ends {
                if state.corrupt_watch_responses > 0 {
                    state.corrupt_watch_responses -= 1;
                    return HttpResponse::Ok().body("{\"events\": [");
                }
                let body = json!({"events": events, "store_revision": state.revision});
                return HttpResponse::Ok().json(body);
            }
        }
        sleep(Duration::from_millis(5)).await;
    }
}

async fn txn(state: Shared, body: web::Json<Value>) -> HttpResponse {
    if let Some(refused) = gate(&state).await {
        return refused;
    }
    let answer = {
        let mut state = state.lock().unwrap();
        let holds = |expected: &Value| {
            let key = expected["key"].as_str().unwrap();
            let revision = state.items.get(key).map_or(0, |item| item.revision);
            expected["revision"].as_u64() == Some(revision)
        };
        if !body["expected_revision"].as_array().unwrap().iter().all(holds) {
            HttpResponse::PreconditionFailed().json(json!({"items": []}))
        } else {
            for write in body["writes"].as_array().unwrap() {
                let value = write["value"].as_str().unwrap().to_owned();
                let lease = write["lease"].as_u64().unwrap_or(0);
                state.write(write["key"].as_str().unwrap(), value, lease);
            }
            HttpResponse::Ok().json(json!({"revision": state.revision}))
        }
    };
    answer_write(&state, answer).await
}

async fn lease(state: Shared, body: web::Json<Value>) -> HttpResponse {
    if let Some(refused) = gate(&state).await {
        return refused;
    }
    let ttl_ms = body["ttl_ms"].as_u64().unwrap();
    let id = {
        let mut state = state.lock().unwrap();
        let ttl = Duration::from_millis(ttl_ms);
        let id = 1000 + u64::try_from(state.leases.len()).unwrap() + state.revision * 100;
        state.leases.insert(id, (Instant::now() + ttl, ttl));
        id
    };
    HttpResponse::Ok().json(json!({"lease": id, "ttl_ms": ttl_ms}))
}

async fn keep(state: Shared, id: web::Path<u64>) -> HttpResponse {
    if let Some(refused) = gate(&state).await {
        return refused;
    }
    let mut state = state.lock().unwrap();
    match state.leases.get_mut(&id) {
        Some((until, ttl)) => {
            *until = Instant::now() + *ttl;
            HttpResponse::Ok().json(json!({"ttl_ms": ttl.as_millis()}))
        }
        None => HttpResponse::NotFound().finish(),
    }
}

async fn end(state: Shared, id: web::Path<u64>) -> HttpResponse {
    if let Some(refused) = gate(&state).await {
        return refused;
    }
    state.lock().unwrap().end_lease(*id);
    HttpResponse::Ok().finish()
}

async fn duty(state: Shared, req: HttpRequest, body: web::Json<Value>) -> HttpResponse {
    let fence = req.headers().get("lycheelatch-fencing-token").unwrap();
    let fence = fence.to_str().unwrap().parse().unwrap();
    let mut state = state.lock().unwrap();
    let path = req.path().to_owned();
    state.duty_calls.push(DutyCall { path, body: body.into_inner(), fence });
    HttpResponse::Ok().finish()
}
