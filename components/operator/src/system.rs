//! Endpoints for the node's state, metrics and health.

use actix_web::{HttpRequest, HttpResponse, Responder, http::header::ContentType, web};
use prometheus::TextEncoder;

use crate::{
    ControlError, DrainTarget, OperatorApi, Problem, ProblemKind, Readiness, Role, RouteQuery,
    VersionResponse, body::read_body,
};

type Api = web::Data<OperatorApi>;

pub(crate) async fn status(api: Api, req: HttpRequest) -> impl Responder {
    api.authorize(&req, Role::Read)?;
    Ok::<_, Problem>(web::Json(api.node.status().await))
}

pub(crate) async fn route(api: Api, req: HttpRequest, body: web::Payload) -> impl Responder {
    api.authorize(&req, Role::Read)?;
    let query: RouteQuery = read_body(body).await?;
    Ok::<_, Problem>(web::Json(api.node.route(&query).await?))
}

pub(crate) async fn drain(api: Api, req: HttpRequest, body: web::Payload) -> impl Responder {
    let operator = api.authorize(&req, Role::Change)?;
    let target: DrainTarget = read_body(body).await?;
    log::info!("operator: {operator} requested a drain of {target:?}");
    Ok::<_, Problem>(web::Json(api.node.drain(&target).await?))
}

pub(crate) async fn version(api: Api, req: HttpRequest) -> impl Responder {
    api.authorize(&req, Role::Read)?;
    Ok::<_, Problem>(web::Json(VersionResponse { version: env!("CARGO_PKG_VERSION").to_owned() }))
}

pub(crate) async fn metrics(api: Api) -> impl Responder {
    let text = TextEncoder::new().encode_to_string(&api.registry.gather());
    let text = text.map_err(|err| Problem::new(ProblemKind::Internal, err.to_string()))?;
    let response = HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text);
    Ok::<_, Problem>(response)
}

pub(crate) async fn healthz() -> impl Responder {
    HttpResponse::Ok().content_type(ContentType::plaintext()).body("ok\n")
}

pub(crate) async fn readyz(api: Api) -> impl Responder {
    match api.node.readiness() {
        Readiness::Ready => {
            HttpResponse::Ok().content_type(ContentType::plaintext()).body("ready\n")
        }
        Readiness::NotReady(reason) => HttpResponse::ServiceUnavailable()
            .content_type(ContentType::plaintext())
            .body(format!("{reason}\n")),
    }
}

pub(crate) async fn not_found(req: HttpRequest) -> HttpResponse {
    use actix_web::ResponseError;

    let detail = format!("{} {} is not an endpoint", req.method(), req.path());
    Problem::new(ProblemKind::NotFound, detail).error_response()
}

impl From<ControlError> for Problem {
    fn from(err: ControlError) -> Problem {
        let kind = match err {
            ControlError::NotFound { .. } => ProblemKind::NotFound,
            ControlError::Unavailable(_) => ProblemKind::Unavailable,
        };
        Problem::new(kind, err.to_string())
    }
}
