//! Values that operators and upstreams write to the store.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::API_KEY;

/// Rate limit of the only workspace; 0 means no limit.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkspaceLimit {
    /// Tokens per second.
    pub rate: u64,
    /// Burst size in tokens.
    pub burst: u64,
}

/// Returns a configuration with a route of each kind to the service `svc`.
///
/// The path prefixes are `/safe/`, `/once/`, `/stream/` and `/resume/`; a request has at most
/// two attempts.
pub fn config_document(version: u64, limit: WorkspaceLimit) -> Value {
    json!({
        "version": version,
        "routes": [
            route("safe", "safe", false),
            route("once", "unsafe", false),
            route("stream", "streaming", false),
            route("resume", "streaming", true),
        ],
        "services": [{"name": "svc", "health_path": "/health", "connection_limit": 100,
            "protocol": "h1", "tls": false,
            "engine": {"slots": 8, "kv_cache_tokens": 500_000}}],
        "limits": {"header_bytes": 16384, "body_bytes": 4096, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
        "tenants": [{"name": "ws", "api_keys": [API_KEY], "unit": "tokens", "plain_tokens": 200,
            "rate_per_s": limit.rate, "burst": limit.burst}]
    })
}

fn route(name: &str, kind: &str, resumes: bool) -> Value {
    json!({
        "name": name, "host": "shop.example", "path_prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": 1500, "target_latency_ms": 600, "priority": 1, "service": "svc",
        "max_attempts": 2, "public": false, "session_affinity": false,
        "stream_resumption": resumes, "gap_target_ms": 400
    })
}

/// Returns the store entry of an upstream.
pub fn upstream_entry(address: SocketAddr, state: &str) -> Value {
    json!({"service": "svc", "address": address.to_string(), "zone": "zone-a", "version": "v1",
        "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": 1})
}
