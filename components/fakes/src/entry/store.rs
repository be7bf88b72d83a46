//! Fake of the platform's store and duty calls on loopback, with fault injection.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use actix_web::{
    App, HttpRequest, HttpResponse, HttpServer,
    dev::Service,
    http::header::{HeaderName, HeaderValue},
    rt, web,
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::any_port;

/// Number of items on a page of a listing.
const PAGE_ITEMS: usize = 50;

/// How the store handles calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// Handles calls without faults.
    #[default]
    Up,
    /// Refuses calls with status 503.
    Unavailable,
    /// Responds to no call for 60 s, then with status 503.
    Silent,
    /// Applies transactions, but delays their responses by 60 s.
    LoseWriteResponses,
}

/// Header that counts how often the store came back from a copy.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");

#[derive(Clone)]
struct StoredItem {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    mode: StoreMode,
    /// Number of coming watch responses that are corrupted.
    corrupt_watch_responses: u32,
    /// How often the store came back from a copy.
    era: u64,
    contents: Contents,
    compacted_revision: u64,
    duty_calls: Vec<DutyCall>,
    refuses_orders: bool,
}

/// What a copy of the store holds.
#[derive(Clone, Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, StoredItem>,
    history: Vec<Value>,
    leases: HashMap<u64, (Instant, Duration)>,
}

/// A copy of the store, from which it can be restored later.
#[derive(Clone)]
pub struct StoreCopy(Contents);

/// A call that only the node holding the duty lease makes.
#[derive(Debug, Clone)]
pub struct DutyCall {
    /// Request path.
    pub path: String,
    /// Request body.
    pub body: Value,
    /// Fencing number of the sender.
    pub fence: u64,
    /// Name of the sender.
    pub holder: String,
    /// When it arrived.
    pub at: Instant,
}

/// Fake of the platform's store, which also records duty calls; clones share their state.
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
            let state = data.clone();
            App::new()
                .app_data(data.clone())
                .wrap_fn(move |req, service| {
                    let response = service.call(req);
                    let state = state.clone();
                    async move {
                        let mut response = response.await?;
                        let era = state.lock().unwrap().era;
                        response.headers_mut().insert(ERA_HEADER, HeaderValue::from(era));
                        Ok(response)
                    }
                })
                .route("/-/kv-key", web::get().to(get_key))
                .route("/-/kv-range", web::get().to(get_range))
                .route("/-/kv-watch", web::get().to(watch))
                .route("/-/kv-txn", web::post().to(txn))
                .route("/-/kv-lease", web::post().to(grant_lease))
                .route("/-/kv-keep/{id}", web::post().to(renew_lease))
                .route("/-/kv-lease-end/{id}", web::delete().to(end_lease))
                .default_service(web::to(record_duty_call))
        });
        let server = server.workers(1).disable_signals().bind(any_port()).unwrap();
        let address = server.addrs()[0];
        rt::spawn(server.run());
        FakeStore { address, state }
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how later calls are handled.
    pub fn set_mode(&self, mode: StoreMode) {
        self.state.lock().unwrap().mode = mode;
    }

    /// Corrupts the responses of the next `count` watches.
    pub fn corrupt_watch_responses(&self, count: u32) {
        self.state.lock().unwrap().corrupt_watch_responses = count;
    }

    /// Returns how many coming watch responses will be corrupted.
    pub fn corrupt_watch_responses_left(&self) -> u32 {
        self.state.lock().unwrap().corrupt_watch_responses
    }

    /// Writes a JSON value without a lease.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes bytes without a lease.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        use base64::Engine;
        let text = base64::engine::general_purpose::STANDARD.encode(value);
        self.state.lock().unwrap().contents.write(key, text, 0);
    }

    /// Writes a value whose encoded text is `text`, which need not be base64.
    pub fn put_encoded(&self, key: &str, text: &str) {
        self.state.lock().unwrap().contents.write(key, text.to_owned(), 0);
    }

    /// Returns the JSON value of a key, if there is one.
    pub fn value(&self, key: &str) -> Option<Value> {
        use base64::Engine;
        let text = self.state.lock().unwrap().contents.items.get(key)?.value.clone();
        let bytes = base64::engine::general_purpose::STANDARD.decode(text).unwrap();
        Some(serde_json::from_slice(&bytes).unwrap())
    }

    /// Returns the revision of a key's last change, if it exists.
    pub fn key_revision(&self, key: &str) -> Option<u64> {
        self.state.lock().unwrap().contents.items.get(key).map(|item| item.revision)
    }

    /// Returns the JSON values below a prefix, by key.
    pub fn values(&self, prefix: &str) -> Vec<(String, Value)> {
        let keys: Vec<_> = self.state.lock().unwrap().contents.items.keys().cloned().collect();
        let keys = keys.into_iter().filter(|key| key.starts_with(prefix));
        keys.filter_map(|key| self.value(&key).map(|value| (key, value))).collect()
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) {
        self.state.lock().unwrap().contents.delete(key);
    }

    /// Drops the change history, so that watches from older revisions fail with status 410.
    pub fn compact(&self) {
        let mut state = self.state.lock().unwrap();
        state.compacted_revision = state.contents.revision;
        state.contents.history.clear();
    }

    /// Copies what the store holds now.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.lock().unwrap().contents.clone())
    }

    /// Replaces what the store holds by an earlier copy, and begins a new era.
    ///
    /// Leases of the copy run on from then; those granted since the copy are gone.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.state.lock().unwrap();
        state.contents = copy.0.clone();
        state.era += 1;
        state.compacted_revision = state.compacted_revision.min(state.contents.revision);
        let now = Instant::now();
        for (expires_at, ttl) in state.contents.leases.values_mut() {
            *expires_at = now + *ttl;
        }
    }

    /// Returns the store's revision.
    pub fn revision(&self) -> u64 {
        self.state.lock().unwrap().contents.revision
    }

    /// Refuses orders of upstreams from now on, as none are to be had.
    pub fn refuse_orders(&self) {
        self.state.lock().unwrap().refuses_orders = true;
    }

    /// Returns the received duty calls.
    pub fn duty_calls(&self) -> Vec<DutyCall> {
        self.state.lock().unwrap().duty_calls.clone()
    }
}

impl Contents {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let stored = StoredItem { value, revision, created, lease };
        self.history.push(item_json(key, &stored));
        self.items.insert(key.to_owned(), stored);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = json!({"key": key, "revision": self.revision, "deleted": true});
            self.history.push(event);
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (expires_at, _))| *expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
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

fn item_json(key: &str, item: &StoredItem) -> Value {
    json!({"key": key, "value": item.value, "revision": item.revision, "created": item.created,
        "lease": item.lease})
}

/// Expires leases and applies the mode; returns a response if the call is refused.
async fn check_mode(state: &Shared) -> Option<HttpResponse> {
    let mode = {
        let mut state = state.lock().unwrap();
        state.contents.expire_leases();
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

/// Returns the response to a write, delayed by 60 s in [`StoreMode::LoseWriteResponses`].
async fn respond_to_write(state: &Shared, response: HttpResponse) -> HttpResponse {
    if state.lock().unwrap().mode == StoreMode::LoseWriteResponses {
        sleep(Duration::from_secs(60)).await;
    }
    response
}

type Query = web::Query<HashMap<String, String>>;

async fn get_key(state: Shared, query: Query) -> HttpResponse {
    if let Some(refused) = check_mode(&state).await {
        return refused;
    }
    let state = &state.lock().unwrap().contents;
    let key = &query["key"];
    match state.items.get(key) {
        Some(item) => HttpResponse::Ok().json(item_json(key, item)),
        None => HttpResponse::NotFound().json(json!({"store_revision": state.revision})),
    }
}

async fn get_range(state: Shared, query: Query) -> HttpResponse {
    if let Some(refused) = check_mode(&state).await {
        return refused;
    }
    let state = &state.lock().unwrap().contents;
    let prefix = &query["path_prefix"];
    let after = query.get("after").map_or("", String::as_str);
    let items = state.items.iter().filter(|(key, _)| key.starts_with(prefix.as_str()));
    let mut rest = items.filter(|(key, _)| key.as_str() > after);
    let page = rest.by_ref().take(PAGE_ITEMS).map(|(key, item)| item_json(key, item));
    let items: Vec<Value> = page.collect();
    let more_pages = rest.next().is_some();
    let revision = state.revision;
    HttpResponse::Ok()
        .json(json!({"items": items, "more_pages": more_pages, "store_revision": revision}))
}

async fn watch(state: Shared, query: Query) -> HttpResponse {
    if let Some(refused) = check_mode(&state).await {
        return refused;
    }
    let after: u64 = query["after"].parse().unwrap();
    let wait = Duration::from_millis(query["wait_ms"].parse().unwrap());
    let deadline = Instant::now() + wait;
    loop {
        {
            let mut state = state.lock().unwrap();
            state.contents.expire_leases();
            if after < state.compacted_revision || after > state.contents.revision {
                return HttpResponse::Gone().finish();
            }
            let prefix = &query["path_prefix"];
            let is_new = |event: &&Value| {
                event["revision"].as_u64().unwrap() > after
                    && event["key"].as_str().unwrap().starts_with(prefix.as_str())
            };
            let events: Vec<&Value> = state.contents.history.iter().filter(is_new).collect();
            if !events.is_empty() || Instant::now() >= deadline {
                if state.corrupt_watch_responses > 0 {
                    state.corrupt_watch_responses -= 1;
                    return HttpResponse::Ok().body("{\"events\": [");
                }
                let body = json!({"events": events, "store_revision": state.contents.revision});
                return HttpResponse::Ok().json(body);
            }
        }
        sleep(Duration::from_millis(5)).await;
    }
}

async fn txn(state: Shared, body: web::Json<Value>) -> HttpResponse {
    if let Some(refused) = check_mode(&state).await {
        return refused;
    }
    let response = {
        let state = &mut state.lock().unwrap().contents;
        let matches = |expected: &Value| {
            let key = expected["key"].as_str().unwrap();
            let revision = state.items.get(key).map_or(0, |item| item.revision);
            expected["revision"].as_u64() == Some(revision)
        };
        if !body["expected_revision"].as_array().unwrap().iter().all(matches) {
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
    respond_to_write(&state, response).await
}

async fn grant_lease(state: Shared, body: web::Json<Value>) -> HttpResponse {
    if let Some(refused) = check_mode(&state).await {
        return refused;
    }
    let ttl_ms = body["ttl_ms"].as_u64().unwrap();
    let id = {
        let state = &mut state.lock().unwrap().contents;
        let ttl = Duration::from_millis(ttl_ms);
        let id = 1000 + u64::try_from(state.leases.len()).unwrap() + state.revision * 100;
        state.leases.insert(id, (Instant::now() + ttl, ttl));
        id
    };
    HttpResponse::Ok().json(json!({"lease": id, "ttl_ms": ttl_ms}))
}

async fn renew_lease(state: Shared, id: web::Path<u64>) -> HttpResponse {
    if let Some(refused) = check_mode(&state).await {
        return refused;
    }
    let state = &mut state.lock().unwrap().contents;
    match state.leases.get_mut(&id) {
        Some((expires_at, ttl)) => {
            *expires_at = Instant::now() + *ttl;
            HttpResponse::Ok().json(json!({"ttl_ms": ttl.as_millis()}))
        }
        None => HttpResponse::NotFound().finish(),
    }
}

async fn end_lease(state: Shared, id: web::Path<u64>) -> HttpResponse {
    if let Some(refused) = check_mode(&state).await {
        return refused;
    }
    state.lock().unwrap().contents.end_lease(*id);
    HttpResponse::Ok().finish()
}

async fn record_duty_call(state: Shared, req: HttpRequest, body: web::Json<Value>) -> HttpResponse {
    let header = |name: &str| req.headers().get(name).unwrap().to_str().unwrap().to_owned();
    let fence = header("lycheelatch-fencing-token").parse().unwrap();
    let holder = header("lycheelatch-duty-holder");
    let mut state = state.lock().unwrap();
    let path = req.path().to_owned();
    let is_refused = state.refuses_orders && path == "/scale";
    let call = DutyCall { path, body: body.into_inner(), fence, holder, at: Instant::now() };
    state.duty_calls.push(call);
    if is_refused { HttpResponse::Conflict().finish() } else { HttpResponse::Ok().finish() }
}
