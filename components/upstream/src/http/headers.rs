//! Names of the headers between lycheelatch and an upstream.

/// Identity of the request; an upstream repeats it in its answer.
pub const REQUEST_ID: &str = "x-request-id";

/// Priority of the request: `low`, `normal` or `high`.
pub const PRIORITY: &str = "x-request-priority";

/// Time left until the caller's deadline, in milliseconds.
pub const TIMEOUT_MS: &str = "x-request-timeout-ms";

/// What became of the request, when an upstream says so: `not-run` in a refusal.
pub const OUTCOME: &str = "lycheelatch-outcome";

/// Tokens that an exported KV cache covers.
pub const KV_TOKENS: &str = "x-kv-tokens";
