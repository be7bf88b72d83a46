//! The request pipeline between callers and upstreams.
//!
//! A [`Record`] of each request passes through authentication, classification,
//! deduplication and admission. Then the request is placed, sent to an upstream,
//! relayed and settled. Steps with several implementations are defined by the
//! traits [`Filter`], [`Place`], [`Retry`] and [`Connect`].

mod admit;
mod attempt;
mod authenticate;
mod body;
mod classify;
mod completion;
mod connect;
mod deduplicate;
mod drain;
mod error;
mod evacuate;
mod filter;
mod handover;
mod head;
mod http;
mod load;
mod locate;
mod metrics;
mod model;
mod peer_messages;
mod place;
mod plain;
mod proxy;
mod record;
mod registry;
mod relay;
mod response_buffer;
mod resume;
mod running;
mod settle;

pub use admit::{AdmitInFlight, Permit};
pub use attempt::{FailedAttempt, Retry, RetryFixed};
pub use connect::{Connect, HttpConnect, UpstreamClient};
pub use deduplicate::Deduplicate;
pub use error::{Refusal, RefusalReason};
pub use evacuate::{RegistryDirectory, StreamEvacuator};
pub use filter::{Filter, FilterDecision};
pub use handover::HandoverReport;
pub use head::Head;
pub use http::{CallerLimits, configure};
pub use load::{
    AdmitByPolicy, CrashWatch, LoadControl, PlaceByPolicy, RetryByPolicy, exchange_crash_evidence,
    node_seed, poll_engines, report_failures,
};
pub use metrics::ProxyMetrics;
pub use place::{Attempt, AttemptResult, LeastInFlight, Place, PlaceRequest, PlacedAttempt};
pub use proxy::{ConfigSource, Proxy, ProxyParts};
pub use record::{Record, RequestKind};
pub use registry::{Registry, Upstream};
pub use response_buffer::{BufferedEvent, BufferedResponse, BufferedToken, ResponseBuffer};
pub use running::{RunningStream, RunningStreams, StreamCommand};
