//! Several nodes before shared upstreams, in virtual time, under a metastable overload.
//!
//! Arrivals are open-loop. An upstream has slots and an endless queue, and
//! works on what its caller has given up. Callers retry at once.

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

/// One way between a caller and a node.
const CALLER_DELAY: Duration = Duration::from_millis(1);

/// One way between a node and an upstream.
const UPSTREAM_DELAY: Duration = Duration::from_millis(2);

/// Time between an upstream's reports, and how old they are when they come.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const REPORT_LAG: Duration = Duration::from_millis(500);

/// One way between nodes.
const PEER_DELAY: Duration = Duration::from_millis(2);

/// Time for which a baseline leaves an upstream out that refused a connection.
const BASELINE_LEFT_OUT: Duration = Duration::from_secs(1);

/// Availability zones of the upstreams.
const ZONES: [&str; 4] = ["lima-a", "lima-b", "lima-c", "lima-d"];

/// How nodes treat requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// The policies of this crate.
    Policy,
    /// No limit, upstreams in turn.
    RoundRobin,
    /// No limit, the upstream with the fewest own requests.
    LeastLoaded,
    /// No limit, the upstream that a hash of the request gives.
    Rendezvous,
}

/// How an upstream goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trigger {
    /// Connections break and new ones are refused.
    Crash,
    /// Nothing answers any more.
    Silence,
}

/// By what callers let a retry be known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Marks {
    /// The attempt's number.
    Attempt,
    /// Nothing, so that the body's digest is all there is; its home is told and asked.
    Digest,
    /// Nothing, and each node knows only what failed there.
    DigestAlone,
}

/// Whether callers wait as a refusal tells them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Patience {
    /// They retry at once.
    None,
    /// They wait for the `Retry-After`.
    Waits,
}

/// Settings of one run.
#[derive(Debug, Clone)]
pub struct Setup {
    pub seed: u64,
    pub strategy: Strategy,
    pub trigger: Trigger,
    pub marks: Marks,
    pub patience: Patience,
    pub nodes: usize,
    pub upstreams: usize,
    pub slots: usize,
    pub mean_service: Duration,
    /// Work that arrives each second, for each workspace.
    pub rates: Vec<f64>,
    pub max_retries: u32,
    pub timeout: Duration,
    pub trigger_at: Duration,
    pub trigger_for: Duration,
    pub run_for: Duration,
    /// Factor on the first workspace's rate, and the second from which it counts.
    pub surge: (f64, u64),
}

impl Setup {
    /// The day itself: 80 of 100 in use, half the upstreams gone for 20 s.
    pub fn the_day(seed: u64, strategy: Strategy) -> Setup {
        Setup {
            seed,
            strategy,
            trigger: Trigger::Crash,
            marks: Marks::Attempt,
            patience: Patience::None,
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

    /// Work that one upstream gets done each second.
    pub fn upstream_rate(&self) -> f64 {
        self.slots as f64 / self.mean_service.as_secs_f64()
    }

    fn half(&self) -> usize {
        if self.trigger_for.is_zero() { 0 } else { self.upstreams / 2 }
    }
}

/// Counts of one second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Second {
    pub arrived: u32,
    /// Work done at its first attempt, by the second of its arrival.
    pub fresh_done: u32,
    /// Work done at any attempt, by the second of its arrival.
    pub done: u32,
    /// Work done at its first attempt, by the second of its end.
    pub fresh_goodput: u32,
    /// Fresh requests that came to upstreams.
    pub fresh_sent: u32,
    /// Retries, of callers and of nodes, that came to upstreams.
    pub retried_sent: u32,
    pub refused: u32,
}

/// What a run gave.
#[derive(Debug, Default)]
pub struct Report {
    pub seconds: Vec<Second>,
    /// Times from first sending to the answer, for each workspace, in milliseconds.
    pub latencies: Vec<Vec<f64>>,
    /// Refused requests that came back as told, and those of them that ran.
    pub came_back: u32,
    pub came_back_done: u32,
    pub placement_full: u32,
    /// Refusals before the trigger, by reason.
    pub early_refusals: HashMap<String, u32>,
}

impl Report {
    /// Sums a count over the seconds from `from` to before `to`.
    pub fn sum(&self, from: u64, to: u64, count: impl Fn(&Second) -> u32) -> f64 {
        let seconds = &self.seconds[from as usize..(to as usize).min(self.seconds.len())];
        seconds.iter().map(|second| f64::from(count(second))).sum()
    }

    /// Returns the largest share of retries in fresh work at the upstreams, over single seconds.
    pub fn worst_retry_share(&self) -> f64 {
        let share = |s: &Second| f64::from(s.retried_sent) / f64::from(s.fresh_sent.max(1));
        self.seconds.iter().map(share).fold(0.0, f64::max)
    }

    /// Returns a percentile of the latencies of workspaces, in milliseconds.
    pub fn percentile(&self, workspaces: std::ops::Range<usize>, percent: f64) -> f64 {
        let mut sorted = self.latencies[workspaces].concat();
        sorted.sort_by(f64::total_cmp);
        let at = (sorted.len() as f64 * percent / 100.0) as usize;
        sorted.get(at.min(sorted.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
    }
}

enum Event {
    Arrive { workspace: usize },
    AtNode { work: usize, attempt: u32 },
    NodeWakes { node: usize },
    AtUpstream { call: usize },
    Served { upstream: usize, call: usize, life: u32 },
    Answered { call: usize, error: Option<Reached> },
    CallerGone { work: usize, attempt: u32 },
    Silent { call: usize },
    TriggerStarts,
    TriggerEnds,
    Reports,
    ReportsCome { node: usize, loads: Vec<(u32, u32)> },
    AtHome { home: usize, mark: Fingerprint },
    Asked { work: usize, attempt: u32, node: usize },
    Refused { work: usize, attempt: u32, retry_after: Duration },
}

struct Work {
    workspace: usize,
    arrived: Duration,
    attempt: u32,
    done: bool,
    told_to_wait: bool,
    /// Call or ticket that the current attempt has.
    call: Option<usize>,
    ticket: Option<(usize, Ticket)>,
}

struct Call {
    work: usize,
    attempt: u32,
    node: usize,
    upstream: usize,
    tries: u32,
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
    turn: usize,
    in_flight: Vec<u32>,
    left_out: Vec<Duration>,
}

struct Upstream {
    queue: std::collections::VecDeque<usize>,
    busy: Vec<usize>,
    gone: bool,
    life: u32,
}

/// A run in progress.
pub struct Run {
    setup: Setup,
    schedule: Schedule<Event>,
    rng: SmallRng,
    work: Vec<Work>,
    calls: Vec<Call>,
    nodes: Vec<Node>,
    upstreams: Vec<Upstream>,
    report: Report,
    service: ServiceName,
    workspaces: Vec<WorkspaceName>,
    node_ids: Vec<NodeId>,
    ids: Vec<UpstreamId>,
    zones: Vec<ZoneName>,
    labels: Labels,
}

/// Runs one setup to its end.
pub fn run(setup: Setup) -> Report {
    let mut run = Run::new(setup);
    run.begin();
    while let Some(event) = run.schedule.next() {
        if run.schedule.elapsed() > run.setup.run_for {
            break;
        }
        run.handle(event);
    }
    run.report
}

/// Runs five equal workspaces at half load, and again with the first at ten times its rate.
pub fn fairness(seed: u64) -> (Report, Report) {
    let base = Setup::the_day(seed, Strategy::Policy);
    let rate = 0.5 * base.upstream_rate() * base.upstreams as f64 / base.rates.len() as f64;
    let quiet = Setup {
        trigger_for: Duration::ZERO,
        run_for: Duration::from_secs(40),
        rates: vec![rate; base.rates.len()],
        surge: (1.0, 10),
        ..base
    };
    let loud = Setup { surge: (10.0, 10), ..quiet.clone() };
    (run(quiet), run(loud))
}
