//! The request pipeline between callers and upstreams.
//!
//! A request's [`Record`] passes through the filters accept, authenticate,
//! classify, deduplicate and admit; then it is placed, dispatched, relayed
//! and settled. Decisions that vary stand behind the traits [`Filter`],
//! [`Place`] and [`Connect`].

mod accept;
mod admit;
mod answers;
mod attempt;
mod authenticate;
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
mod resume;
mod running;
mod settle;

pub use admit::{AdmitInFlight, Permit};
pub use answers::{Answers, KeptAnswer, KeptEvent, KeptToken};
pub use attempt::{Retry, RetryAsk, RetryFixed};
pub use connect::{Connect, HttpConnect, Target};
pub use deduplicate::Deduplicate;
pub use error::{Refusal, RefusalReason};
pub use evacuate::{RegistryDirectory, StreamEvacuator};
pub use filter::{Filter, Flow};
pub use handover::HandoverReport;
pub use head::Head;
pub use http::{CallerLimits, configure};
pub use load::{
    AdmitByPolicy, LoadControl, PlaceByPolicy, RetryByPolicy, poll_engines, seed_of, tell_homes,
};
pub use metrics::ProxyMetrics;
pub use place::{Attempt, LeastInFlight, Observation, Place, PlaceAsk, Placed};
pub use proxy::{ConfigSource, Proxy, ProxyParts};
pub use record::{Record, RequestKind};
pub use registry::{Registry, Upstream};
pub use running::{RunningStream, RunningStreams, StreamCommand};
