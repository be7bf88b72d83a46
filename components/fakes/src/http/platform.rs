//! Serves fakes of the platform's services over HTTP.

use std::{io, sync::Arc, time::Duration};

use actix_web::{HttpResponse, web};
use bytes::Bytes;
use lycheelatch_prelude::{InstanceId, ModelName, ModelVersion, Sequence};
use lycheelatch_provider::{
    CasOutcome, Cloud, CloudError, InstanceList, KeyValue, KvError, KvKey, LeaseId, Version,
    WatchIndex, WatchResult, WeightStore, wire,
};
use serde::Deserialize;

use crate::http::server::{HttpServerHandle, serve};

/// Services of the platform to serve.
#[derive(Clone)]
pub struct ServedPlatform {
    /// Key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// Instance list.
    pub instances: Arc<dyn InstanceList>,
    /// Cloud API, if it is served.
    pub cloud: Option<Arc<dyn Cloud>>,
    /// Weight store, if it is served.
    pub weights: Option<Arc<dyn WeightStore>>,
}

/// Serves the platform's services on one port; fails if it can't be bound.
///
/// The instance list is served below `/list`, the cloud API below `/cloud`, the
/// weight store below `/weights` and the key-value service at the root.
pub fn serve_platform(platform: ServedPlatform) -> io::Result<HttpServerHandle> {
    let data = web::Data::new(platform);
    serve(move |app| {
        app.app_data(data.clone())
            .app_data(web::PayloadConfig::new(2 << 20))
            .route("/v1/kv/{key:.*}", web::get().to(kv_get))
            .route("/v1/kv/{key:.*}", web::put().to(kv_put))
            .route("/v1/kv/{key:.*}", web::delete().to(kv_delete))
            .route("/v1/session/create", web::put().to(session_create))
            .route("/v1/session/renew/{id}", web::put().to(session_renew))
            .route("/v1/session/destroy/{id}", web::put().to(session_destroy))
            .route("/list/v1/instances", web::get().to(list_instances))
            .route("/cloud/v1/offers", web::get().to(cloud_offers))
            .route("/cloud/v1/instances", web::get().to(cloud_list))
            .route("/cloud/v1/instances", web::post().to(cloud_start))
            .route("/cloud/v1/instances/{id}", web::delete().to(cloud_stop))
            .route("/cloud/v1/reclaims", web::get().to(cloud_reclaims))
            .route("/weights/v1/models/{model}/versions/{version}", web::get().to(weight_info));
    })
}

type Platform = web::Data<ServedPlatform>;

#[derive(Deserialize)]
struct KvQuery {
    recurse: Option<String>,
    index: Option<u64>,
    wait: Option<String>,
    cas: Option<u64>,
    acquire: Option<String>,
}

fn kv_error_response(err: KvError) -> HttpResponse {
    match err {
        KvError::Unavailable { .. } | KvError::Throttled => {
            HttpResponse::TooManyRequests().finish()
        }
        KvError::LeaseEnded => HttpResponse::InternalServerError().body("invalid session"),
        KvError::TooLarge { .. } => HttpResponse::PayloadTooLarge().finish(),
        err => HttpResponse::GatewayTimeout().body(err.to_string()),
    }
}

fn kv_response(index: WatchIndex, entries: Vec<lycheelatch_provider::Entry>) -> HttpResponse {
    let wire: Vec<_> = entries.into_iter().map(wire::KvEntryWire::from).collect();
    let mut response = if wire.is_empty() { HttpResponse::NotFound() } else { HttpResponse::Ok() };
    response.insert_header(("X-Consul-Index", index.0.to_string())).json(wire)
}

fn write_response(result: Result<CasOutcome, KvError>) -> HttpResponse {
    match result {
        Ok(outcome) => HttpResponse::Ok().json(outcome == CasOutcome::Written),
        Err(err) => kv_error_response(err),
    }
}

/// Parses a duration such as `250ms` or `10s`; returns zero if it is invalid.
fn parse_wait(text: &str) -> Duration {
    let ms = match text.strip_suffix("ms") {
        Some(ms) => ms.parse().ok(),
        None => text.strip_suffix('s').and_then(|s| s.parse::<u64>().ok()).map(|s| s * 1000),
    };
    Duration::from_millis(ms.unwrap_or(0))
}

async fn kv_get(
    platform: Platform,
    key: web::Path<String>,
    query: web::Query<KvQuery>,
) -> HttpResponse {
    let key = KvKey::new(&key);
    let kv = &platform.kv;
    let result = match (&query.index, &query.recurse) {
        (Some(index), _) => {
            let wait = parse_wait(query.wait.as_deref().unwrap_or_default());
            kv.watch(&key, WatchIndex(*index), wait).await
        }
        (None, Some(_)) => {
            kv.list(&key).await.map(|entries| WatchResult { index: WatchIndex(1), entries })
        }
        (None, None) => kv.get(&key).await.map(|entry| WatchResult {
            index: WatchIndex(1),
            entries: entry.into_iter().collect(),
        }),
    };
    match result {
        Ok(watched) => kv_response(watched.index, watched.entries),
        Err(err) => kv_error_response(err),
    }
}

async fn kv_put(
    platform: Platform,
    key: web::Path<String>,
    query: web::Query<KvQuery>,
    body: Bytes,
) -> HttpResponse {
    let key = KvKey::new(&key);
    if let Some(session) = &query.acquire {
        let lease = LeaseId(session.as_str().into());
        return write_response(platform.kv.acquire(&key, body, &lease).await);
    }
    let Some(cas) = query.cas else { return HttpResponse::BadRequest().finish() };
    let expected = (cas > 0).then_some(Version(cas));
    write_response(platform.kv.compare_and_swap(&key, expected, body).await)
}

async fn kv_delete(
    platform: Platform,
    key: web::Path<String>,
    query: web::Query<KvQuery>,
) -> HttpResponse {
    let Some(cas) = query.cas else { return HttpResponse::BadRequest().finish() };
    write_response(platform.kv.delete(&KvKey::new(&key), Version(cas)).await)
}

async fn session_create(platform: Platform, session: web::Json<wire::SessionWire>) -> HttpResponse {
    match platform.kv.grant_lease(parse_wait(&session.ttl)).await {
        Ok(lease) => HttpResponse::Ok()
            .json(wire::SessionWire { id: lease.0.as_ref().to_owned(), ..Default::default() }),
        Err(err) => kv_error_response(err),
    }
}

async fn session_renew(platform: Platform, id: web::Path<String>) -> HttpResponse {
    match platform.kv.renew_lease(&LeaseId(id.as_str().into())).await {
        Ok(()) => HttpResponse::Ok().json(Vec::<wire::SessionWire>::new()),
        Err(KvError::LeaseEnded) => HttpResponse::NotFound().finish(),
        Err(err) => kv_error_response(err),
    }
}

async fn session_destroy(platform: Platform, id: web::Path<String>) -> HttpResponse {
    match platform.kv.revoke_lease(&LeaseId(id.as_str().into())).await {
        Ok(()) => HttpResponse::Ok().json(true),
        Err(err) => kv_error_response(err),
    }
}

async fn list_instances(platform: Platform) -> HttpResponse {
    match platform.instances.list().await {
        Ok(listed) => {
            let instances = listed.into_iter().map(wire::ListedInstanceWire::from).collect();
            HttpResponse::Ok().json(wire::InstanceListWire { instances })
        }
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

fn cloud_response<T: serde::Serialize>(result: Result<T, CloudError>) -> HttpResponse {
    match result {
        Ok(body) => HttpResponse::Ok().json(body),
        Err(CloudError::NoCapacity { .. }) => HttpResponse::Conflict().finish(),
        Err(CloudError::Unavailable { .. }) => HttpResponse::TooManyRequests().finish(),
        Err(err) => HttpResponse::GatewayTimeout().body(err.to_string()),
    }
}

fn require_cloud(platform: &Platform) -> Result<&Arc<dyn Cloud>, CloudError> {
    let missing = || CloudError::Unavailable { reason: "the cloud API is not served".into() };
    platform.cloud.as_ref().ok_or_else(missing)
}

async fn cloud_offers(platform: Platform) -> HttpResponse {
    let offers = async { require_cloud(&platform)?.offers().await }.await;
    cloud_response(offers.map(|o| o.into_iter().map(wire::OfferWire::from).collect::<Vec<_>>()))
}

async fn cloud_list(platform: Platform) -> HttpResponse {
    let list = async { require_cloud(&platform)?.list().await }.await;
    cloud_response(list.map(|l| l.into_iter().map(wire::InstanceWire::from).collect::<Vec<_>>()))
}

async fn cloud_start(
    platform: Platform,
    start: web::Json<wire::StartInstanceWire>,
) -> HttpResponse {
    let start = start.into_inner().into();
    let started = async {
        let cloud = require_cloud(&platform)?;
        let id = cloud.start(&start).await?;
        let found = cloud.list().await?.into_iter().find(|instance| instance.id == id);
        found.ok_or(CloudError::InvalidResponse {
            reason: "the started instance is not listed".into(),
        })
    };
    cloud_response(started.await.map(wire::InstanceWire::from))
}

async fn cloud_stop(platform: Platform, id: web::Path<InstanceId>) -> HttpResponse {
    cloud_response(async { require_cloud(&platform)?.stop(&id).await }.await)
}

#[derive(Deserialize)]
struct ReclaimQuery {
    after: u64,
    wait_ms: u64,
}

async fn cloud_reclaims(platform: Platform, query: web::Query<ReclaimQuery>) -> HttpResponse {
    let wait = Duration::from_millis(query.wait_ms);
    let notices =
        async { require_cloud(&platform)?.reclaim_notices(Sequence(query.after), wait).await }
            .await;
    let to_wire = |n: Vec<_>| n.into_iter().map(wire::ReclaimNoticeWire::from).collect::<Vec<_>>();
    cloud_response(notices.map(to_wire))
}

async fn weight_info(
    platform: Platform,
    path: web::Path<(ModelName, ModelVersion)>,
) -> HttpResponse {
    let Some(weights) = &platform.weights else { return HttpResponse::NotFound().finish() };
    match weights.info(&path.0, &path.1).await {
        Ok(info) => HttpResponse::Ok().json(wire::WeightInfoWire::from(info)),
        Err(_) => HttpResponse::NotFound().finish(),
    }
}
