//! A stand-in order application over HTTP.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, Mutex},
};

use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures_util::stream;
use lycheelatch_upstream::headers;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    Fault, Faults,
    http::server::{HttpServerHandle, serve},
};

/// A stand-in order application; clones of one ledger count together.
#[derive(Clone)]
pub struct ServedPlain {
    /// The server.
    pub server: HttpServerHandle,
    /// Faults to show on bookings.
    pub faults: Faults,
    ledger: Ledger,
}

/// Executions of each booking, by the booking's name.
type Ledger = Arc<Mutex<HashMap<String, u32>>>;

struct Shared {
    faults: Faults,
    ledger: Ledger,
}

impl ServedPlain {
    /// Returns how often each booking was executed.
    pub fn executions(&self) -> HashMap<String, u32> {
        self.ledger.lock().unwrap().clone()
    }
}

/// Starts a stand-in order application.
///
/// `POST /orders/{name}` executes a booking, `GET /stock` reads, `/echo`
/// returns the body of the request and `/echo-headers` its headers.
pub fn serve_plain() -> io::Result<ServedPlain> {
    let (faults, ledger) = (Faults::default(), Ledger::default());
    let data = web::Data::new(Shared { faults: faults.clone(), ledger: ledger.clone() });
    let server = serve(move |app| {
        app.app_data(data.clone())
            .app_data(web::PayloadConfig::new(64 << 20))
            .route("/orders/{name}", web::post().to(book))
            .route("/stock", web::get().to(stock))
            .route("/echo", web::to(echo))
            .route("/echo-headers", web::to(echo_headers));
    })?;
    Ok(ServedPlain { server, faults, ledger })
}

async fn book(
    http: HttpRequest,
    shared: web::Data<Shared>,
    name: web::Path<String>,
) -> HttpResponse {
    let name = name.into_inner();
    match shared.faults.next() {
        Fault::None => {}
        Fault::Refuse => {
            return HttpResponse::ServiceUnavailable()
                .insert_header((headers::OUTCOME, "not-run"))
                .finish();
        }
        Fault::Slow(delay) => sleep(delay).await,
        Fault::LoseResponse => {
            execute(&shared, &name);
            return broken_answer();
        }
        Fault::SlowThenLoseResponse(delay) => {
            sleep(delay).await;
            execute(&shared, &name);
            return broken_answer();
        }
        Fault::Silent => std::future::pending().await,
    }
    let count = execute(&shared, &name);
    let mut answer = HttpResponse::Created();
    if let Some(id) = http.headers().get(headers::REQUEST_ID) {
        answer.insert_header((headers::REQUEST_ID, id.clone()));
    }
    answer.json(json!({"order": name, "executions": count}))
}

fn execute(shared: &Shared, name: &str) -> u32 {
    let mut ledger = shared.ledger.lock().unwrap();
    let count = ledger.entry(name.to_owned()).or_default();
    *count += 1;
    *count
}

fn broken_answer() -> HttpResponse {
    let broken = Err::<Bytes, _>(io::Error::from(io::ErrorKind::ConnectionReset));
    HttpResponse::Created().streaming(stream::iter([broken]))
}

async fn stock(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(json!({"orders": shared.ledger.lock().unwrap().len()}))
}

async fn echo(body: web::Payload) -> HttpResponse {
    HttpResponse::Ok().streaming(body)
}

async fn echo_headers(http: HttpRequest) -> HttpResponse {
    let headers: HashMap<_, _> = http
        .headers()
        .iter()
        .map(|(name, value)| (name.as_str(), String::from_utf8_lossy(value.as_bytes())))
        .collect();
    HttpResponse::Ok().json(headers)
}
