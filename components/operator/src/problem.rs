//! Error responses as RFC 9457 problem JSON.

use std::fmt;

use actix_web::{HttpResponse, ResponseError, http::StatusCode};
use lycheelatch_config::{ApplyError, ChangeRecord, ConfigError, Conflict};
use lycheelatch_prelude::{ChangeId, InvalidValue, OperatorName, Revision};
use serde::{Deserialize, Serialize};

/// Media type of a problem.
pub const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

/// Type of a problem, by which clients distinguish errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProblemKind {
    /// The request can't be parsed.
    #[serde(rename = "urn:lycheelatch:problem:malformed")]
    Malformed,
    /// The request has no known token.
    #[serde(rename = "urn:lycheelatch:problem:unauthenticated")]
    Unauthenticated,
    /// The operator's role does not allow the operation.
    #[serde(rename = "urn:lycheelatch:problem:forbidden")]
    Forbidden,
    /// The requested resource does not exist.
    #[serde(rename = "urn:lycheelatch:problem:not-found")]
    NotFound,
    /// The configuration would not be valid.
    #[serde(rename = "urn:lycheelatch:problem:invalid")]
    Invalid,
    /// The expected revision is not the latest one.
    #[serde(rename = "urn:lycheelatch:problem:conflict")]
    Conflict,
    /// The body or the configuration exceeds the size limit.
    #[serde(rename = "urn:lycheelatch:problem:too-large")]
    TooLarge,
    /// Nothing was done, because a required service does not respond.
    #[serde(rename = "urn:lycheelatch:problem:unavailable")]
    Unavailable,
    /// The change may or may not have been applied.
    #[serde(rename = "urn:lycheelatch:problem:outcome-unknown")]
    OutcomeUnknown,
    /// Internal error.
    #[serde(rename = "urn:lycheelatch:problem:internal")]
    Internal,
}

impl ProblemKind {
    fn title(self) -> &'static str {
        match self {
            ProblemKind::Malformed => "The request can't be read",
            ProblemKind::Unauthenticated => "The request has no known operator token",
            ProblemKind::Forbidden => "The operator's role does not allow this",
            ProblemKind::NotFound => "There is no such thing",
            ProblemKind::Invalid => "The configuration would not be valid",
            ProblemKind::Conflict => "The expected revision is not the latest one",
            ProblemKind::TooLarge => "It is larger than what is taken",
            ProblemKind::Unavailable => "Nothing was done; try again later",
            ProblemKind::OutcomeUnknown => "The change may or may not have been applied",
            ProblemKind::Internal => "Something went wrong inside",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            ProblemKind::Malformed => StatusCode::BAD_REQUEST,
            ProblemKind::Unauthenticated => StatusCode::UNAUTHORIZED,
            ProblemKind::Forbidden => StatusCode::FORBIDDEN,
            ProblemKind::NotFound => StatusCode::NOT_FOUND,
            ProblemKind::Invalid => StatusCode::UNPROCESSABLE_ENTITY,
            ProblemKind::Conflict => StatusCode::CONFLICT,
            ProblemKind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ProblemKind::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            ProblemKind::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
            ProblemKind::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

/// Error response of the operator API.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// Type of the problem.
    #[serde(rename = "type")]
    pub kind: ProblemKind,
    /// Short summary, the same for every problem of this type.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Description of this occurrence.
    pub detail: String,
    /// All invalid fields.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub errors: Vec<FieldError>,
    /// Changes that conflict with a change that expects an older revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Box<ConflictInfo>>,
    /// Identity for retrying a change whose outcome is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_id: Option<ChangeId>,
}

/// One invalid field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldError {
    /// Path of the field.
    pub field: String,
    /// Submitted value, truncated if it is long.
    pub value: String,
    /// Why the value is invalid.
    pub reason: String,
}

/// Conflict of a change that expects an older revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConflictInfo {
    /// Revision that the operator expected.
    pub expected: Revision,
    /// Latest revision.
    pub latest: Revision,
    /// Changes between the two revisions, newest first.
    pub between: Vec<ChangeRecord>,
}

impl Problem {
    /// Creates a problem without field errors.
    pub fn new(kind: ProblemKind, detail: impl Into<String>) -> Problem {
        Problem {
            kind,
            title: kind.title().to_owned(),
            status: kind.status().as_u16(),
            detail: detail.into(),
            errors: Vec::new(),
            conflict: None,
            change_id: None,
        }
    }

    /// Creates a problem that lists invalid fields.
    pub fn with_errors(kind: ProblemKind, errors: Vec<InvalidValue>) -> Problem {
        let detail = format!("{} wrong fields", errors.len());
        let errors = errors.into_iter().map(FieldError::from).collect();
        Problem { errors, ..Problem::new(kind, detail) }
    }

    pub(crate) fn unauthenticated() -> Problem {
        Problem::new(ProblemKind::Unauthenticated, "send a token as Authorization: Bearer")
    }

    pub(crate) fn forbidden(operator: &OperatorName) -> Problem {
        Problem::new(ProblemKind::Forbidden, format!("{operator} may only read"))
    }
}

impl From<InvalidValue> for FieldError {
    fn from(err: InvalidValue) -> FieldError {
        FieldError { field: err.field, value: err.value, reason: err.reason }
    }
}

impl From<ConfigError> for Problem {
    fn from(err: ConfigError) -> Problem {
        let kind = match &err {
            ConfigError::Kv(_) => ProblemKind::Unavailable,
            ConfigError::InvalidStoredValue { .. } | ConfigError::RevisionRegressed { .. } => {
                ProblemKind::Internal
            }
        };
        Problem::new(kind, err.to_string())
    }
}

impl From<ApplyError> for Problem {
    fn from(err: ApplyError) -> Problem {
        let detail = err.to_string();
        match err {
            ApplyError::Invalid(errors) => Problem::with_errors(ProblemKind::Invalid, errors),
            ApplyError::Conflict(conflict) => Problem {
                conflict: Some(Box::new(conflict.into())),
                ..Problem::new(ProblemKind::Conflict, detail)
            },
            ApplyError::TooLarge { .. } => Problem::new(ProblemKind::TooLarge, detail),
            ApplyError::Contended => Problem::new(ProblemKind::Unavailable, detail),
            ApplyError::NotApplied(err) => Problem { detail, ..Problem::from(err) },
            ApplyError::OutcomeUnknown(id, _) => {
                Problem { change_id: Some(id), ..Problem::new(ProblemKind::OutcomeUnknown, detail) }
            }
        }
    }
}

impl From<Conflict> for ConflictInfo {
    fn from(conflict: Conflict) -> ConflictInfo {
        let Conflict { expected, latest, intervening } = conflict;
        ConflictInfo { expected, latest, between: intervening }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.title, self.detail)
    }
}

impl std::error::Error for Problem {}

impl ResponseError for Problem {
    fn status_code(&self) -> StatusCode {
        self.kind.status()
    }

    fn error_response(&self) -> HttpResponse {
        HttpResponse::build(self.kind.status()).content_type(PROBLEM_MEDIA_TYPE).json(self)
    }
}
