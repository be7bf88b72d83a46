//! Fake of an order application over HTTP.

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

/// Fake order application; clones share their execution counts.
#[derive(Clone)]
pub struct ServedPlain {
    /// Server of the application.
    pub server: HttpServerHandle,
    /// Faults to inject into bookings.
    pub faults: Faults,
    executions: Executions,
}

/// Number of executions by booking name.
type Executions = Arc<Mutex<HashMap<String, u32>>>;

struct Shared {
    faults: Faults,
    executions: Executions,
}

impl ServedPlain {
    /// Returns the number of executions by booking name.
    pub fn executions(&self) -> HashMap<String, u32> {
        self.executions.lock().unwrap().clone()
    }
}

/// Starts a fake order application; fails if the port can't be bound.
///
/// `POST /orders/{name}` executes a booking, `GET /stock` returns the number
/// of bookings, `/echo` returns the request's body and `/echo-headers` its headers.
pub fn serve_plain() -> io::Result<ServedPlain> {
    let (faults, executions) = (Faults::default(), Executions::default());
    let data = web::Data::new(Shared { faults: faults.clone(), executions: executions.clone() });
    let server = serve(move |app| {
        app.app_data(data.clone())
            .app_data(web::PayloadConfig::new(64 << 20))
            .route("/orders/{name}", web::post().to(book))
            .route("/stock", web::get().to(stock))
            .route("/echo", web::to(echo))
            .route("/echo-headers", web::to(echo_headers));
    })?;
    Ok(ServedPlain { server, faults, executions })
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
            return truncated_response();
        }
        Fault::SlowThenLoseResponse(delay) => {
            sleep(delay).await;
            execute(&shared, &name);
            return truncated_response();
        }
        Fault::Silent => std::future::pending().await,
    }
    let count = execute(&shared, &name);
    let mut response = HttpResponse::Created();
    if let Some(id) = http.headers().get(headers::REQUEST_ID) {
        response.insert_header((headers::REQUEST_ID, id.clone()));
    }
    response.json(json!({"order": name, "executions": count}))
}

fn execute(shared: &Shared, name: &str) -> u32 {
    let mut executions = shared.executions.lock().unwrap();
    let count = executions.entry(name.to_owned()).or_default();
    *count += 1;
    *count
}

fn truncated_response() -> HttpResponse {
    let broken = Err::<Bytes, _>(io::Error::from(io::ErrorKind::ConnectionReset));
    HttpResponse::Created().streaming(stream::iter([broken]))
}

async fn stock(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(json!({"orders": shared.executions.lock().unwrap().len()}))
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
