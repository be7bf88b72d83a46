//! A reverse proxy that routes opaque requests and event streams by host and path.
//!
//! A gateway node mirrors the routing table and the upstreams from the platform's
//! store, forwards request bodies unchanged, and exchanges with the other nodes the
//! usage counts that cluster-wide limits need. Header names, store keys and field
//! names are supplied by an adapter that implements [`Dialect`], [`StoreLayout`],
//! [`Store`] and [`PlatformApi`].

mod attempts;
mod cache_exchange;
mod chunk_framing;
mod client_connection;
mod clock;
mod config_view;
mod connection;
mod connection_table;
mod connections_in_use;
mod crash_evidence;
mod decision;
mod demand;
mod departures;
mod dialect;
mod directory;
mod dispatch;
mod engine_load;
mod engine_speed;
mod entry_check;
mod entry_source;
mod event_log;
mod frames;
mod gateway;
mod gossip;
mod health;
mod held_body;
mod held_memory;
mod in_flight;
mod layout;
mod leader;
#[cfg(test)]
mod leader_tests;
mod local_response;
mod members;
mod messages;
mod metrics;
mod node_event;
mod node_limits;
mod notices;
mod open_count;
mod paced_stream;
mod peer_http;
mod peers;
mod place;
mod platform_api;
mod pool;
mod process_check;
mod quota;
mod read_barrier;
mod relay;
mod report;
mod request_body;
mod resend;
mod response_cut;
mod restore;
mod retry_budget;
mod rollout;
mod rollout_counting;
mod rollout_entries;
mod rollout_leader;
mod rollout_placement;
mod rollout_report;
mod rollout_status;
mod rollout_view;
mod rollouts;
mod route_history;
mod run;
mod scale;
mod schedule;
mod send;
mod send_trace;
mod serve;
mod server;
mod size;
mod socket;
mod software_version;
mod stop_schedule;
mod stopping;
mod store;
mod store_watch;
mod stream_origin;
mod stream_record;
mod sync;
mod table;
#[cfg(test)]
mod test_support;
mod tombstones;
mod upstream_limits;
mod upstream_notices;
mod upstream_speeds;
mod usage;
mod use_history;
mod version_record;
mod view_exchange;
mod zone_usage;

pub use attempts::{Attempts, NextStep, SendOutcome};
pub use clock::{BootClock, ClusterClock, SystemBootClock};
pub use decision::Reason;
pub use demand::keep_running;
pub use dialect::{
    Dialect, ForwardParams, NamedLimit, Prompt, PromptPart, ReportedLoad, RequestInfo,
    ResponseInfo, RetryAfter,
};
pub use directory::{Directory, Upstream, UpstreamEntry};
pub use engine_load::{EngineLoad, Estimate, InFlight, PrefixChain, PrefixHash};
pub use engine_speed::{EngineSpeed, SpeedSamples};
pub use event_log::DECISION_LOG_TARGET;
pub use frames::{Frame, FrameReader, FrameTooLarge};
pub use gateway::Gateway;
pub use layout::StoreLayout;
pub use leader::{LeaderLease, Leadership};
pub use metrics::GatewayMetrics;
pub use place::{ExpectedSpeed, Placement, PlacementError, PlacementRequest, place};
pub use platform_api::{
    CapacityOrder, LeaderPermit, PlatformApi, PlatformApiError, PurchaseOption,
};
pub use quota::{
    Charge, Crowd, PeerUsage, ProcessAge, QuotaExcess, QuotaTerms, ReportedUsage, SlidingCounter,
    SubwindowUsage, admits, assumed_usage, remaining, retry_after, window_limit,
};
pub use retry_budget::RetryBudget;
pub use rollout_entries::{RolloutOrder, RolloutState, RolloutStatus};
pub use run::{PlatformParts, RunningGateway};
pub use size::{
    CapacityNeed, ServiceLoad, ZoneCapacity, ZoneTarget, plan, reclaimable_engines,
    required_engines,
};
pub use socket::{MAX_CONTROL_DELIVERY, discard_unacknowledged};
pub use store::{
    Changes, Commit, CommitOutcome, Freshness, KeyValue, LeaseId, Listing, Store, StoreEra,
    StoreError, StoreEvent, StoreRevision,
};
pub use table::{
    CallerLimits, EngineSpec, KeyedWorkspace, Priority, Quota, Route, RouteKind, RoutingTable,
    ScalingSpec, ServiceSpec, TableSource, WeightedService, Workspace,
};
pub use usage::{Usage, UsageWindow, WindowCounts};
