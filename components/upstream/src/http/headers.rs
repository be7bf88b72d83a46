//! Names of the headers exchanged with upstreams.

/// Identity of the request; an upstream returns it in its response.
pub const REQUEST_ID: &str = "x-request-id";

/// Priority of the request: `low`, `normal` or `high`.
pub const PRIORITY: &str = "x-request-priority";

/// Time left until the caller's deadline, in milliseconds.
pub const TIMEOUT_MS: &str = "x-request-timeout-ms";

/// Outcome of the request reported by an upstream: `not-run` in a refusal.
pub const OUTCOME: &str = "lycheelatch-outcome";

/// Number of tokens covered by an exported KV cache.
pub const KV_TOKENS: &str = "x-kv-tokens";
