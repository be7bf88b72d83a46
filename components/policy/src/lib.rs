//! Decisions as plain functions: admission, limits, retries, placement, outcomes.

mod outcome;

pub use outcome::{
    AttemptEvent, AttemptNumber, LifeState, LifeStep, MAX_ATTEMPTS, RequestEvent, RequestLife,
};
