//! Decisions as plain functions: admission, limits, retries, placement, outcomes.
