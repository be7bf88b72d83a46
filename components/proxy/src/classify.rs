//! Resolves the service of a request and the settings that apply to it.

use async_trait::async_trait;
use lycheelatch_config::{Service, ServiceKind};
use lycheelatch_prelude::{Idempotency, InvalidValue};

use crate::{Filter, FilterDecision, Record, Refusal, RefusalReason, RequestKind};

/// Determines the service, labels, deadline and idempotency of a request.
pub(crate) struct Classify;

#[async_trait(?Send)]
impl Filter for Classify {
    async fn apply(&self, rec: &mut Record) -> Result<FilterDecision, Refusal> {
        let service = find_service(rec)?;
        check_access(rec, &service)?;
        check_body(rec, &service)?;
        rec.deadline = Some(rec.head.arrived + service.limits.timeout(rec.head.timeout));
        rec.idempotency = idempotency(rec);
        let mut labels = rec.workspace().labels.clone();
        for (key, value) in rec.head.labels.iter() {
            labels.insert(key.clone(), value.clone());
        }
        rec.labels = labels;
        rec.service = Some(service);
        Ok(FilterDecision::Continue)
    }
}

fn find_service(rec: &Record) -> Result<Service, Refusal> {
    let unknown = || Refusal::not_run(RefusalReason::UnknownService(rec.service_name.clone()));
    let service = rec.config.services.get(rec.service_name.as_str()).ok_or_else(unknown)?;
    let kind_matches = match rec.kind {
        RequestKind::Model { .. } => service.kind == ServiceKind::Model,
        RequestKind::Plain { .. } => service.kind == ServiceKind::Plain,
    };
    if kind_matches { Ok(service.clone()) } else { Err(unknown()) }
}

fn check_access(rec: &Record, service: &Service) -> Result<(), Refusal> {
    let workspace = rec.workspace();
    if workspace.services.is_empty() || workspace.services.contains(&service.name) {
        return Ok(());
    }
    let (workspace, service) = (workspace.name.clone(), service.name.clone());
    Err(Refusal::not_run(RefusalReason::Forbidden { workspace, service }))
}

fn check_body(rec: &Record, service: &Service) -> Result<(), Refusal> {
    let limit = service.limits.max_body_bytes;
    if rec.body.as_ref().is_some_and(|body| body.len() > limit) {
        return Err(Refusal::not_run(RefusalReason::BodyTooLarge(limit)));
    }
    Ok(())
}

fn idempotency(rec: &Record) -> Idempotency {
    if rec.head.key.is_some() {
        return Idempotency::NonIdempotent;
    }
    if let Some(idempotency) = rec.head.idempotent {
        return idempotency;
    }
    match &rec.kind {
        RequestKind::Model { .. } => Idempotency::Idempotent,
        RequestKind::Plain { method, .. } => match method.as_ref() {
            "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" => Idempotency::Idempotent,
            _ => Idempotency::NonIdempotent,
        },
    }
}

/// Fields of a model request that affect its processing.
#[derive(Debug, Clone, Default, PartialEq, serde::Deserialize)]
#[serde(default)]
pub(crate) struct ModelFields {
    pub(crate) model: Option<String>,
    pub(crate) stream: bool,
    pub(crate) n: Option<u64>,
    pub(crate) max_tokens: Option<u64>,
    pub(crate) logprobs: Option<serde_json::Value>,
    pub(crate) tools: Option<serde_json::Value>,
}

impl ModelFields {
    /// Parses the body of a model request.
    pub(crate) fn read(body: &[u8]) -> Result<ModelFields, InvalidValue> {
        let fields: ModelFields = serde_json::from_slice(body)
            .map_err(|err| InvalidValue::new("body", "", format!("is not a request: {err}")))?;
        if fields.model.is_none() {
            return Err(InvalidValue::new("model", "", "is missing"));
        }
        Ok(fields)
    }

    /// Returns whether the response is a single text, which can be resumed in the middle.
    pub(crate) fn is_single_text(&self) -> bool {
        let is_unset = |value: &Option<serde_json::Value>| {
            value.as_ref().is_none_or(|v| v.is_null() || *v == serde_json::Value::Bool(false))
        };
        self.n.is_none_or(|n| n <= 1) && is_unset(&self.logprobs) && is_unset(&self.tools)
    }
}
