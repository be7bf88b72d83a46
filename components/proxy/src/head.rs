//! Request headers of callers.

use std::{fmt, time::Duration};

use actix_web::http::header::{HeaderMap, HeaderName};
use lycheelatch_prelude::{
    Attempt, Idempotency, IdempotencyKey, InvalidValue, Labels, Priority, RequestId,
};
use tokio::time::Instant;

/// Header with the ID of a request.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with the outcome of a request.
pub(crate) const OUTCOME_HEADER: &str = "lycheelatch-outcome";

const LABELS_HEADER: &str = "lycheelatch-labels";
const IDEMPOTENT_HEADER: &str = "lycheelatch-idempotent";
const TIMEOUT_HEADER: &str = "lycheelatch-timeout-ms";
const ATTEMPT_HEADER: &str = "lycheelatch-attempt";
const PRIORITY_HEADER: &str = "lycheelatch-priority";
const KEY_HEADER: &str = "idempotency-key";
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Prefix of headers reserved for lycheelatch, which are not forwarded.
const OWN_PREFIX: &str = "lycheelatch-";

/// Hop-by-hop headers and headers that lycheelatch handles itself, which are not forwarded.
const NOT_FORWARDED: [&str; 15] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];

/// Values of the request headers.
#[derive(Clone)]
pub struct Head {
    /// ID of the request.
    pub id: RequestId,
    /// Arrival time of the request.
    pub arrived: Instant,
    /// Bearer token.
    pub token: Option<String>,
    /// Labels set by the caller.
    pub labels: Labels,
    /// Whether the request may run more than once, if the caller declares it.
    pub idempotent: Option<Idempotency>,
    /// Idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Timeout set by the caller.
    pub timeout: Option<Duration>,
    /// Attempt number set by the caller.
    pub attempt: Attempt,
    /// Priority set by the caller.
    pub priority: Priority,
    /// Number of tokens that the caller has received, when it resumes a response.
    pub last_event: Option<u64>,
    /// Whether the caller set the request ID.
    pub is_id_from_caller: bool,
}

impl fmt::Debug for Head {
    /// Omits the token, which must not be logged.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Head")
            .field("id", &self.id)
            .field("labels", &self.labels)
            .field("idempotent", &self.idempotent)
            .field("key", &self.key)
            .field("timeout", &self.timeout)
            .field("attempt", &self.attempt)
            .field("priority", &self.priority)
            .field("last_event", &self.last_event)
            .finish_non_exhaustive()
    }
}

impl Head {
    /// Parses the headers of a request.
    pub fn read(headers: &HeaderMap, now: Instant) -> Result<Head, InvalidValue> {
        let caller_id: Option<RequestId> = parse(headers, REQUEST_ID_HEADER)?;
        Ok(Head {
            is_id_from_caller: caller_id.is_some(),
            id: caller_id.unwrap_or_else(RequestId::new_unique),
            arrived: now,
            token: bearer(headers)?,
            labels: parse(headers, LABELS_HEADER)?.unwrap_or_default(),
            idempotent: header_text(headers, IDEMPOTENT_HEADER)?
                .map(parse_idempotent)
                .transpose()?,
            key: parse(headers, KEY_HEADER)?,
            timeout: header_text(headers, TIMEOUT_HEADER)?.map(parse_timeout).transpose()?,
            attempt: parse(headers, ATTEMPT_HEADER)?.unwrap_or_default(),
            priority: header_text(headers, PRIORITY_HEADER)?
                .map(parse_priority)
                .transpose()?
                .unwrap_or_default(),
            last_event: header_text(headers, LAST_EVENT_HEADER)?
                .map(parse_last_event)
                .transpose()?,
        })
    }
}

/// Returns the request ID set by the caller, or a new one if it is missing or invalid.
pub(crate) fn id_or_new(headers: &HeaderMap) -> RequestId {
    parse(headers, REQUEST_ID_HEADER).ok().flatten().unwrap_or_else(RequestId::new_unique)
}

/// Returns whether a header is forwarded between caller and upstream.
pub(crate) fn is_forwarded(name: &HeaderName) -> bool {
    !NOT_FORWARDED.contains(&name.as_str()) && !name.as_str().starts_with(OWN_PREFIX)
}

/// Returns whether the `Connection` header lists a header as hop-by-hop.
pub(crate) fn is_listed_in_connection(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case(name.as_str()))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, InvalidValue> {
    let mut values = headers.get_all(name);
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(InvalidValue::new(name, "", "is given twice"));
    }
    let not_ascii = |_| InvalidValue::new(name, "", "must be visible ASCII text");
    value.to_str().map(Some).map_err(not_ascii)
}

fn parse<T: std::str::FromStr<Err = InvalidValue>>(
    headers: &HeaderMap,
    name: &str,
) -> Result<Option<T>, InvalidValue> {
    header_text(headers, name)?.map(str::parse).transpose()
}

fn bearer(headers: &HeaderMap) -> Result<Option<String>, InvalidValue> {
    let Some(value) = header_text(headers, "authorization")? else { return Ok(None) };
    match value.split_once(' ') {
        Some((scheme, token)) if scheme.eq_ignore_ascii_case("bearer") => {
            Ok(Some(token.trim().to_owned()))
        }
        _ => Err(InvalidValue::new("Authorization", "(hidden)", "must have the form Bearer token")),
    }
}

fn parse_idempotent(value: &str) -> Result<Idempotency, InvalidValue> {
    match value {
        "true" => Ok(Idempotency::Idempotent),
        "false" => Ok(Idempotency::NonIdempotent),
        _ => Err(InvalidValue::new("Lycheelatch-Idempotent", value, "must be true or false")),
    }
}

fn parse_timeout(value: &str) -> Result<Duration, InvalidValue> {
    match value.parse() {
        Ok(ms) if ms > 0 => Ok(Duration::from_millis(ms)),
        _ => {
            let reason = "must be a whole number of milliseconds above 0";
            Err(InvalidValue::new("Lycheelatch-Timeout-Ms", value, reason))
        }
    }
}

fn parse_priority(value: &str) -> Result<Priority, InvalidValue> {
    match value {
        "low" => Ok(Priority::Low),
        "normal" => Ok(Priority::Normal),
        "high" => Ok(Priority::High),
        _ => Err(InvalidValue::new("Lycheelatch-Priority", value, "must be low, normal or high")),
    }
}

fn parse_last_event(value: &str) -> Result<u64, InvalidValue> {
    let reason = "must be the id of an event, a whole number";
    value.parse().map_err(|_| InvalidValue::new("Last-Event-ID", value, reason))
}

#[cfg(test)]
mod tests {
    use actix_web::http::header::HeaderValue;

    use super::*;

    fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
        pairs
            .iter()
            .map(|(name, value)| {
                (HeaderName::from_static(name), HeaderValue::from_str(value).unwrap())
            })
            .collect()
    }

    #[actix_web::test]
    async fn read_whole_head() {
        let map = headers(&[
            ("authorization", "Bearer abc"),
            ("x-request-id", "r-1"),
            ("lycheelatch-labels", "tier=gold"),
            ("lycheelatch-idempotent", "false"),
            ("lycheelatch-timeout-ms", "250"),
            ("lycheelatch-attempt", "3"),
            ("idempotency-key", "order-1"),
        ]);
        let head = Head::read(&map, Instant::now()).unwrap();
        assert_eq!(head.id.as_str(), "r-1");
        assert_eq!(head.token.as_deref(), Some("abc"));
        assert_eq!(head.idempotent, Some(Idempotency::NonIdempotent));
        assert_eq!(head.timeout, Some(Duration::from_millis(250)));
        assert!(!head.attempt.is_fresh());
        assert!(!format!("{head:?}").contains("abc"));
    }

    #[actix_web::test]
    async fn read_bad_value_names_header() {
        for (name, value) in [
            ("lycheelatch-timeout-ms", "soon"),
            ("lycheelatch-attempt", "0"),
            ("lycheelatch-idempotent", "maybe"),
            ("x-request-id", "a b"),
            ("lycheelatch-labels", "x"),
        ] {
            let err = Head::read(&headers(&[(name, value)]), Instant::now()).unwrap_err();
            assert_eq!(err.value, value, "{name}");
        }
    }

    #[test]
    fn is_passed_on_own_headers_are_not() {
        assert!(!is_forwarded(&HeaderName::from_static("lycheelatch-attempt")));
        assert!(!is_forwarded(&HeaderName::from_static("authorization")));
        assert!(is_forwarded(&HeaderName::from_static("content-type")));
    }
}
