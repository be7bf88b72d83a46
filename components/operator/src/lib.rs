//! HTTP API for operators: JSON over HTTP on a separate port.
//!
//! Read endpoints require the role `read`, write endpoints the role `change`.
//! `/metrics`, `/healthz` and `/readyz` require no token. Errors are RFC 9457
//! problem JSON.

mod auth;
mod body;
mod changes;
mod node;
mod params;
mod problem;
mod system;
mod wire;

use std::sync::Arc;

use actix_web::{HttpRequest, web};
use lycheelatch_config::{ConfigStore, CurrentConfig};
use lycheelatch_prelude::OperatorName;
use prometheus::Registry;

pub use auth::{OperatorToken, Role};
pub use node::{
    ControlError, DrainResponse, DrainTarget, MemberStatus, NodeControl, NodeStatus, Readiness,
    RouteCandidate, RouteExplanation, RouteQuery, UpstreamStatus,
};
pub use problem::{ConflictInfo, FieldError, PROBLEM_MEDIA_TYPE, Problem, ProblemKind};
pub use wire::{
    ApplyRequest, ChangeEffect, ChangeOptions, ChangeResponse, DeleteRequest, DiffResponse,
    ObjectsDocument, ObjectsResponse, VersionResponse,
};

/// Shared state of the endpoints.
pub struct OperatorApi {
    /// Store of the configuration and its history.
    pub store: Arc<ConfigStore>,
    /// Configuration in force on this node.
    pub current: Arc<CurrentConfig>,
    /// Access to the state and operations of the node.
    pub node: Arc<dyn NodeControl>,
    /// Tokens of the operators.
    pub tokens: Vec<OperatorToken>,
    /// Registry of the metrics that `/metrics` exports.
    pub registry: Registry,
}

impl OperatorApi {
    /// Returns a function that registers the endpoints with an application.
    pub fn configure(self: Arc<Self>) -> impl Fn(&mut web::ServiceConfig) + Clone {
        let api = web::Data::from(self);
        move |cfg| {
            cfg.app_data(api.clone())
                .route("/v1/apply", web::post().to(changes::apply))
                .route("/v1/delete", web::post().to(changes::delete))
                .route("/v1/objects", web::get().to(changes::objects))
                .route("/v1/diff", web::get().to(changes::diff))
                .route("/v1/history", web::get().to(changes::history))
                .route("/v1/audit", web::get().to(changes::audit))
                .route("/v1/status", web::get().to(system::status))
                .route("/v1/route", web::post().to(system::route))
                .route("/v1/drain", web::post().to(system::drain))
                .route("/v1/version", web::get().to(system::version))
                .route("/metrics", web::get().to(system::metrics))
                .route("/healthz", web::get().to(system::healthz))
                .route("/readyz", web::get().to(system::readyz))
                .default_service(web::to(system::not_found));
        }
    }

    fn authorize(&self, req: &HttpRequest, required: Role) -> Result<OperatorName, Problem> {
        auth::authorize(&self.tokens, req.headers(), required)
    }
}
