//! Decisions as plain functions: admission, limits, retries, placement, outcomes.

mod admission;
mod decay;
mod fair_queue;
mod retry;
mod retry_budget;
mod retry_sense;

pub use admission::{Admission, Admit, Ask, Permit, Refusal, RefusalReason, Ticket, Turn};
pub use fair_queue::{FairQueue, Waiting};
pub use retry::{FailedTry, GiveUp, RetryDecision, RetryPolicy, TryContext};
pub use retry_budget::RetryBudget;
pub use retry_sense::{Fingerprint, RetrySense};
