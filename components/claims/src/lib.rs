//! At-most-once execution of requests that carry an idempotency key.
