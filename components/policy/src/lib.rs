//! Decisions as plain functions: admission, limits, retries, placement, outcomes.

mod admission;
mod bits;
mod decay;
mod ejection;
mod fair_queue;
mod limit;
mod load_digest;
mod outcome;
mod placement;
mod prefix;
mod prefix_index;
mod retry;
mod retry_budget;
mod retry_sense;

pub use admission::{Admission, Admit, Ask, Permit, Refusal, RefusalReason, Ticket, Turn};
pub use ejection::{Change, OutlierEjection};
pub use fair_queue::{FairQueue, Waiting};
pub use limit::{ConcurrencyLimit, Pace};
pub use load_digest::{DigestError, LoadDigest, ObservedLoad, report_home};
pub use outcome::{AttemptEvent, AttemptNumber, LifeState, LifeStep, RequestEvent, RequestLife};
pub use placement::{
    Affinity, AttemptHandle, AttemptResult, Candidate, CandidateState, Choice, Explanation,
    Placement, PlacementError, PlacementRequest, ScoreTerms, ScoredUpstream,
};
pub use prefix::{BLOCK_BYTES, BLOCK_TOKENS, BlockHash, MAX_BLOCKS, prefix_blocks};
pub use retry::{FailedTry, GiveUp, RetryDecision, RetryPolicy, TryContext};
pub use retry_budget::RetryBudget;
pub use retry_sense::{Fingerprint, RetrySense, sense_home};
