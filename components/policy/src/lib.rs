//! Decisions as plain functions: admission, limits, retries, placement, outcomes.

mod outcome;

pub use outcome::{AttemptEvent, AttemptNumber, LifeState, LifeStep, RequestEvent, RequestLife};
