//! Authentication and authorization of operators by bearer token.

use actix_web::http::header::{AUTHORIZATION, HeaderMap};
use lycheelatch_config::TokenHash;
use lycheelatch_prelude::OperatorName;
use serde::{Deserialize, Serialize};

use crate::Problem;

/// Access level of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Read-only access.
    Read,
    /// Read and write access.
    Change,
}

/// One operator's token, as configured in the settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorToken {
    /// Name of the operator, as recorded in the audit trail.
    pub name: OperatorName,
    /// Access level of the operator.
    pub role: Role,
    /// Salted hash of the token.
    pub hash: TokenHash,
}

/// Returns the operator whose bearer token is in `headers`, if the role includes `required`.
///
/// Checks every token even after a match, so that the response time does not
/// reveal which token matched.
pub(crate) fn authorize(
    tokens: &[OperatorToken],
    headers: &HeaderMap,
    required: Role,
) -> Result<OperatorName, Problem> {
    let presented = bearer_token(headers).ok_or_else(Problem::unauthenticated)?;
    let mut matched = None;
    for token in tokens {
        if token.hash.matches(presented) {
            matched = Some(token);
        }
    }
    match matched {
        Some(token) if token.role >= required => Ok(token.name.clone()),
        Some(token) => Err(Problem::forbidden(&token.name)),
        None => Err(Problem::unauthenticated()),
    }
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let (scheme, token) = headers.get(AUTHORIZATION)?.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}
