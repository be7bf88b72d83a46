//! Who may do what on the operator port.

use actix_web::http::header::{AUTHORIZATION, HeaderMap};
use lycheelatch_config::TokenHash;
use lycheelatch_prelude::OperatorName;
use serde::{Deserialize, Serialize};

use crate::Problem;

/// What an operator may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Look at everything.
    Read,
    /// Look at everything and change it.
    Change,
}

/// Token of one operator, as settings give it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorToken {
    /// Name of the operator, as the audit trail shows it.
    pub name: OperatorName,
    /// What the operator may do.
    pub role: Role,
    /// Salted hash of the token.
    pub hash: TokenHash,
}

/// Returns the operator whose token a request carries, if the role allows `needed`.
///
/// Compares with every token, so that the time does not tell which matched.
pub(crate) fn authorize(
    tokens: &[OperatorToken],
    headers: &HeaderMap,
    needed: Role,
) -> Result<OperatorName, Problem> {
    let given = bearer_token(headers).ok_or_else(Problem::unauthenticated)?;
    let mut found = None;
    for token in tokens {
        if token.hash.matches(given) {
            found = Some(token);
        }
    }
    match found {
        Some(token) if token.role >= needed => Ok(token.name.clone()),
        Some(token) => Err(Problem::forbidden(&token.name)),
        None => Err(Problem::unauthenticated()),
    }
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let (scheme, token) = headers.get(AUTHORIZATION)?.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}
