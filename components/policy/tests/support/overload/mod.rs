//! Simulation in virtual time of several nodes with shared upstreams under a metastable overload.
//!
//! Arrivals are open-loop. An upstream has a fixed number of slots and an
//! unbounded queue, and also processes requests that the caller has abandoned.
//! Callers retry immediately.

use std::{collections::HashMap, time::Duration};

use lycheelatch_config::{Service, ServiceKind, ServiceLimits, WorkspaceLimits};
use lycheelatch_policy::{
    Admission, AdmissionDecision, AdmissionRequest, AttemptHandle, AttemptResult, Candidate,
    CandidateState, Dequeued, FailedAttempt, Fingerprint, Permit, Placement, PlacementRequest,
    Refusal, RetryContext, RetryDecision, RetryPolicy, Ticket, fingerprint_home,
};
use lycheelatch_prelude::{
    Attempt, Idempotency, Labels, NodeId, Outcome, Priority, RequestId, ServiceName, UpstreamId,
    WorkspaceName, ZoneName,
};
use lycheelatch_upstream::{LoadReport, Reached, Role};
use rand::{Rng, SeedableRng, rngs::SmallRng};

mod node;
mod upstream;

use super::clock::Schedule;

/// One-way network delay between a caller and a node.
const CALLER_DELAY: Duration = Duration::from_millis(1);

/// One-way network delay between a node and an upstream.
const UPSTREAM_DELAY: Duration = Duration::from_millis(2);

/// Interval between the load reports of an upstream, and their age on arrival.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const REPORT_LAG: Duration = Duration::from_millis(500);

/// One-way network delay between nodes.
const PEER_DELAY: Duration = Duration::from_millis(2);

/// Time for which a baseline avoids an upstream after a failed request.
const BASELINE_EJECTION_TIME: Duration = Duration::from_secs(1);

/// Availability zones of the upstreams.
const ZONES: [&str; 4] = ["lima-a", "lima-b", "lima-c", "lima-d"];

/// Strategy of the nodes for choosing upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// The policies of this crate.
    Policy,
    /// No limits; upstreams in rotation.
    RoundRobin,
    /// No limits; the upstream with the fewest requests in flight from this node.
    LeastLoaded,
    /// No limits; the upstream chosen by rendezvous hashing of the request.
    Rendezvous,
}

/// Failure mode of the upstreams that triggers the overload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trigger {
    /// Open connections break and new connections are refused.
    Crash,
    /// Requests get no response.
    Unresponsive,
}

/// How retries by callers can be detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryMarking {
    /// By the attempt number that callers send.
    AttemptNumber,
    /// By the fingerprint of the body; its home node is notified of failures and queried.
    Fingerprint,
    /// By the fingerprint of the body; each node knows only its own failures.
    LocalFingerprint,
}

/// Delay of callers before a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDelay {
    /// Callers retry immediately.
    Immediate,
    /// Callers wait for the `Retry-After` time.
    RetryAfter,
}

/// Parameters of one simulation.
#[derive(Debug, Clone)]
pub struct Setup {
    pub seed: u64,
    pub strategy: Strategy,
    pub trigger: Trigger,
    pub retry_marking: RetryMarking,
    pub retry_delay: RetryDelay,
    pub nodes: usize,
    pub upstreams: usize,
    pub slots: usize,
    pub mean_service: Duration,
    /// Arrival rate of each workspace, in requests per second.
    pub rates: Vec<f64>,
    pub max_retries: u32,
    pub timeout: Duration,
    pub trigger_at: Duration,
    pub trigger_for: Duration,
    pub run_for: Duration,
    /// Factor on the arrival rate of the first workspace, and the second from which it applies.
    pub surge: (f64, u64),
}

impl Setup {
    /// Returns the reference scenario: 80% utilization, half of the upstreams down for 20 s.
    pub fn outage(seed: u64, strategy: Strategy) -> Setup {
        Setup {
            seed,
            strategy,
            trigger: Trigger::Crash,
            retry_marking: RetryMarking::AttemptNumber,
            retry_delay: RetryDelay::Immediate,
            nodes: 7,
            upstreams: 8,
            slots: 24,
            mean_service: Duration::from_millis(150),
            rates: vec![204.8; 5],
            max_retries: 5,
            timeout: Duration::from_secs(2),
            trigger_at: Duration::from_secs(15),
            trigger_for: Duration::from_secs(20),
            run_for: Duration::from_secs(60),
            surge: (1.0, 0),
        }
    }

    /// Returns the capacity of one upstream, in requests per second.
    pub fn upstream_rate(&self) -> f64 {
        self.slots as f64 / self.mean_service.as_secs_f64()
    }

    fn failing_upstreams(&self) -> usize {
        if self.trigger_for.is_zero() { 0 } else { self.upstreams / 2 }
    }
}

/// Counters of one second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Second {
    pub arrived: u32,
    /// Requests completed at the first attempt, by the second of their arrival.
    pub fresh_completed: u32,
    /// Requests completed at any attempt, by the second of their arrival.
    pub completed: u32,
    /// Requests completed at the first attempt, by the second of their completion.
    pub fresh_goodput: u32,
    /// First attempts sent to upstreams.
    pub fresh_sent: u32,
    /// Retries by callers and by nodes sent to upstreams.
    pub retries_sent: u32,
    pub refused: u32,
}

/// Result of a simulation.
#[derive(Debug, Default)]
pub struct Report {
    pub seconds: Vec<Second>,
    /// Times from the first attempt to the response, for each workspace, in milliseconds.
    pub latencies: Vec<Vec<f64>>,
    /// Retries of refused requests after the `Retry-After` time.
    pub delayed_retries: u32,
    /// Requests of those retries that completed.
    pub delayed_retries_completed: u32,
    /// Admitted requests for which placement found no upstream.
    pub placement_failures: u32,
    /// Refusals before the trigger, by reason.
    pub refusals_before_trigger: HashMap<String, u32>,
}

impl Report {
    /// Sums a counter over the seconds `from..to`.
    pub fn sum(&self, from: u64, to: u64, count: impl Fn(&Second) -> u32) -> f64 {
        let seconds = &self.seconds[from as usize..(to as usize).min(self.seconds.len())];
        seconds.iter().map(|second| f64::from(count(second))).sum()
    }

    /// Returns the maximum ratio of retries to first attempts at the upstreams within one second.
    pub fn worst_retry_share(&self) -> f64 {
        let share = |s: &Second| f64::from(s.retries_sent) / f64::from(s.fresh_sent.max(1));
        self.seconds.iter().map(share).fold(0.0, f64::max)
    }

    /// Returns a percentile of the latencies of a range of workspaces, in milliseconds.
    pub fn percentile(&self, workspaces: std::ops::Range<usize>, percent: f64) -> f64 {
        let mut sorted = self.latencies[workspaces].concat();
        sorted.sort_by(f64::total_cmp);
        let at = (sorted.len() as f64 * percent / 100.0) as usize;
        sorted.get(at.min(sorted.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
    }
}

enum Event {
    NewRequest { workspace: usize },
    RequestAtNode { request: usize, attempt: u32 },
    NodeWakeup { node: usize },
    CallAtUpstream { call: usize },
    Served { upstream: usize, call: usize, epoch: u32 },
    CallEnded { call: usize, error: Option<Reached> },
    CallerTimeout { request: usize, attempt: u32 },
    CallTimeout { call: usize },
    TriggerStarts,
    TriggerEnds,
    SendReports,
    ReportsAtNode { node: usize, loads: Vec<(u32, u32)> },
    FailureAtHome { home: usize, fingerprint: Fingerprint },
    HomeReplied { request: usize, attempt: u32, node: usize },
    RequestRefused { request: usize, attempt: u32, retry_after: Duration },
}

struct Request {
    workspace: usize,
    arrived: Duration,
    attempt: u32,
    completed: bool,
    /// Whether the current attempt was delayed by `Retry-After`.
    is_delayed_retry: bool,
    /// Call and queue ticket of the current attempt.
    call: Option<usize>,
    ticket: Option<(usize, Ticket)>,
}

struct Call {
    request: usize,
    attempt: u32,
    node: usize,
    upstream: usize,
    attempts: u32,
    sent_at: Duration,
    sent: Option<AttemptHandle>,
    permit: Option<Permit>,
    open: bool,
}

struct Node {
    admission: Admission,
    placement: Placement,
    waiting: HashMap<Ticket, (usize, u32)>,
    wake_at: Option<tokio::time::Instant>,
    next_upstream: usize,
    in_flight: Vec<u32>,
    ejected_until: Vec<Duration>,
}

struct Upstream {
    queue: std::collections::VecDeque<usize>,
    running: Vec<usize>,
    is_down: bool,
    /// Incremented by each outage, to ignore events from before it.
    epoch: u32,
}

/// A simulation in progress.
pub struct Simulation {
    setup: Setup,
    schedule: Schedule<Event>,
    rng: SmallRng,
    requests: Vec<Request>,
    calls: Vec<Call>,
    nodes: Vec<Node>,
    upstreams: Vec<Upstream>,
    report: Report,
    service: ServiceName,
    workspaces: Vec<WorkspaceName>,
    node_ids: Vec<NodeId>,
    upstream_ids: Vec<UpstreamId>,
    zones: Vec<ZoneName>,
    labels: Labels,
}

/// Runs a simulation to its end.
pub fn run(setup: Setup) -> Report {
    let mut simulation = Simulation::new(setup);
    simulation.start();
    while let Some(event) = simulation.schedule.next() {
        if simulation.schedule.elapsed() > simulation.setup.run_for {
            break;
        }
        simulation.handle(event);
    }
    simulation.report
}

/// Simulates five equal workspaces at 50% utilization without a surge, and again with the first
/// workspace at ten times its rate.
pub fn fairness(seed: u64) -> (Report, Report) {
    let base = Setup::outage(seed, Strategy::Policy);
    let rate = 0.5 * base.upstream_rate() * base.upstreams as f64 / base.rates.len() as f64;
    let steady = Setup {
        trigger_for: Duration::ZERO,
        run_for: Duration::from_secs(40),
        rates: vec![rate; base.rates.len()],
        surge: (1.0, 10),
        ..base
    };
    let surge = Setup { surge: (10.0, 10), ..steady.clone() };
    (run(steady), run(surge))
}
