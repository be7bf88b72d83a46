//! The request pipeline between callers and upstreams.
