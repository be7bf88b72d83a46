//! Routed requests: opaque calls and event streams by host and path.
//!
//! A gateway keeps the routing table and the upstreams as the platform's store
//! holds them, forwards requests unchanged, and shares with the other nodes
//! what limits need. Names of headers, keys and fields come from an adapter:
//! [`Dialect`], [`Layout`], [`Store`] and [`DutyCalls`].

mod answer;
mod attempts;
mod clock;
mod cloud;
mod connection;
mod decision;
mod demand;
mod directory;
mod dispatch;
#[cfg(test)]
mod duty_tests;
mod engine_load;
mod facts;
mod frames;
mod gateway;
mod gossip;
mod health;
mod layout;
mod leader;
mod members;
mod metrics;
mod neighbours;
mod peers;
mod place;
mod pool;
mod quota;
mod relay;
mod report;
mod retry_budget;
mod run;
mod scale;
mod send;
mod serve;
mod server;
mod size;
mod store;
mod sync;
mod table;
#[cfg(test)]
mod test_support;
mod tombstones;
mod usage;

pub use attempts::{Attempts, Next, SendEnd};
pub use clock::{BootClock, MachineClock, TrueTime};
pub use cloud::{DutyCalls, DutyError, Purchase, SizeOrder};
pub use decision::{DECISIONS, Reason};
pub use directory::{Directory, Upstream, UpstreamEntry};
pub use engine_load::{Chain, ChainHash, EngineLoad, Expected, InFlight};
pub use facts::{AnswerFacts, Dialect, Forwarded, Prompt, PromptPart, ReportedLoad, RequestFacts};
pub use frames::{Frame, FrameReader, FrameTooLarge};
pub use gateway::Gateway;
pub use layout::Layout;
pub use leader::{Holding, Leader};
pub use metrics::GatewayMetrics;
pub use place::{Choice, NoChoice, PlaceAsk, place};
pub use quota::{
    Age, OthersUse, PartUse, SlidingCount, assumed_use, may_pass, retry_after, room, window_limit,
};
pub use retry_budget::RetryBudget;
pub use run::{PlatformParts, RunningGateway};
pub use size::{Need, ZoneSize, ZoneSupply, plan};
pub use store::{
    Changes, Commit, Committed, Freshness, Item, Listing, Store, StoreError, StoreEvent,
    StoreLease, StoreRevision,
};
pub use table::{
    CallerLimits, EngineSpec, KeyedWorkspace, Quota, Rank, Route, RouteKind, RoutingTable,
    ScalingSpec, ServiceSpec, Share, TableSource, Workspace,
};
pub use usage::{Usage, UsageWindow, WindowCounts};
