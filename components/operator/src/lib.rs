//! The operators' API over HTTP.
