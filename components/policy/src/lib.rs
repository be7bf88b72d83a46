//! Request-handling policies of a gateway node: admission control, concurrency limits, retries,
//! placement and request outcomes.
//!
//! The policies do no I/O and read no clock: callers pass the current time and report events.

mod admission;
mod bits;
mod connection_limits;
mod crash_suspects;
mod decay;
mod ejection;
mod fair_queue;
mod limit;
mod load_digest;
mod memory_budget;
mod outcome;
mod placement;
mod prefix;
mod prefix_index;
mod retry;
mod retry_budget;
mod retry_detector;
mod rollout;
mod upstream_choice;
mod upstream_limit;
mod upstream_notices;
mod upstream_speed;

pub use admission::{
    Admission, AdmissionDecision, AdmissionRequest, Dequeued, Permit, Refusal, RefusalReason,
    Ticket,
};
pub use connection_limits::{CloseReason, ConnectionLimits, ConnectionPhase, ConnectionProgress};
pub use crash_suspects::{
    AnsweredPart, Crash, CrashEvidence, CrashReport, CrashSuspects, CrashVerdict, PartId,
    ProcessSigns, ProcessState, ResponseStage, SuspectPart,
};
pub use ejection::{EjectionAction, OutlierEjection};
pub use fair_queue::{FairQueue, QueuedRequest};
pub use limit::{CompletionStatus, ConcurrencyLimit};
pub use load_digest::{DigestError, LoadDigest, ObservedLoad, report_home};
pub use memory_budget::{MemoryBudget, NoRoom};
pub use outcome::{
    AttemptEvent, AttemptNumber, LifecycleState, LifecycleStep, RequestEvent, RequestLifecycle,
};
pub use placement::{
    Affinity, AttemptHandle, AttemptResult, Candidate, CandidateState, Choice, Explanation,
    Placement, PlacementError, PlacementRequest, ScoreTerms, ScoredUpstream,
};
pub use prefix::{BLOCK_BYTES, BLOCK_TOKENS, BlockHash, MAX_BLOCKS, prefix_blocks};
pub use retry::{FailedAttempt, NoRetryReason, RetryContext, RetryDecision, RetryPolicy};
pub use retry_budget::RetryBudget;
pub use retry_detector::{Fingerprint, RetryDetector, fingerprint_home};
pub use rollout::{
    ALONE_FALSE_ALARM_RATE, CanaryOutcome, ExposureGate, FALSE_ALARM_RATE, LATENCY_CLASSES,
    LatencyClass, PROMOTION_FALSE_ALARM_RATE, RollbackReason, RolloutCounts, RolloutEvidence,
    RolloutJudge, RolloutLimits, RolloutPhase, RolloutStep, RouteCounts, Track, TrackCounts,
    decide as decide_rollout, find_fault_alone, loaded_canaries,
};
pub use upstream_choice::{SmoothedCount, UpstreamCost, choose_upstream, cost_of_time};
pub use upstream_limit::{HeardLimit, LimitSharers, UpstreamLimit};
pub use upstream_notices::{TimeToSend, UpstreamNotice, UpstreamNotices, UpstreamStart};
pub use upstream_speed::{SpeedSample, UpstreamSpeed};
