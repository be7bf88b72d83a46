//! Several nodes before shared upstreams, in virtual time, under a metastable overload.
//!
//! Arrivals are open-loop. An upstream has slots and an endless queue, and
//! works on what its caller has given up. Callers retry at once.

use std::{collections::HashMap, time::Duration};

use lycheelatch_config::{Service, ServiceKind, ServiceLimits, WorkspaceLimits};
use lycheelatch_policy::{
    Admission, Admit, Ask, Candidate, CandidateState, FailedTry, Fingerprint, Observation, Permit,
    Placement, PlacementRequest, Refusal, RetryDecision, RetryPolicy, Sent, Ticket, TryContext,
    Turn, sense_home,
};
use lycheelatch_prelude::{
    Attempt, Idempotency, Labels, NodeId, Outcome, Priority, RequestId, ServiceName, UpstreamId,
    WorkspaceName, ZoneName,
};
use lycheelatch_upstream::{LoadReport, Reached, Role};
use rand::{Rng, SeedableRng, rngs::SmallRng};

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
    sent: Option<Sent>,
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

impl Run {
    fn new(setup: Setup) -> Run {
        let service: ServiceName = "sack-desk".parse().unwrap();
        let ids: Vec<UpstreamId> =
            (0..setup.upstreams).map(|i| format!("desk-{i}").parse().unwrap()).collect();
        let zones: Vec<ZoneName> = ZONES.iter().map(|zone| zone.parse().unwrap()).collect();
        let workspaces: Vec<WorkspaceName> =
            (0..setup.rates.len()).map(|i| format!("store-{i}").parse().unwrap()).collect();
        let schedule = Schedule::new();
        let now = schedule.now();
        let node = |n: usize| {
            let mut node = Node {
                admission: Admission::new(setup.seed * 100 + n as u64),
                placement: Placement::new(setup.seed * 100 + n as u64),
                waiting: HashMap::new(),
                wake_at: None,
                turn: n,
                in_flight: vec![0; setup.upstreams],
                left_out: vec![Duration::ZERO; setup.upstreams],
            };
            let config = service_config(&service);
            node.admission.set_service(&service, config.limits.clone());
            for workspace in &workspaces {
                let limits = WorkspaceLimits::default();
                node.admission.set_workspace(workspace, 100, &limits, setup.nodes);
            }
            node.placement.set_service(&config, Vec::new());
            for (i, id) in ids.iter().enumerate() {
                node.placement.put(now, &service, candidate(id, &zones[i % zones.len()]));
            }
            node.admission.set_capacity(&service, node.placement.capacity(&service));
            node
        };
        let upstream =
            |_| Upstream { queue: Default::default(), busy: Vec::new(), gone: false, life: 0 };
        let seconds = setup.run_for.as_secs() as usize + 1;
        Run {
            nodes: (0..setup.nodes).map(node).collect(),
            node_ids: (0..setup.nodes).map(|n| format!("node-{n}").parse().unwrap()).collect(),
            upstreams: (0..setup.upstreams).map(upstream).collect(),
            report: Report {
                seconds: vec![Second::default(); seconds],
                latencies: vec![Vec::new(); setup.rates.len()],
                ..Report::default()
            },
            rng: SmallRng::seed_from_u64(setup.seed),
            work: Vec::new(),
            calls: Vec::new(),
            labels: Labels::default(),
            schedule,
            service,
            workspaces,
            ids,
            zones,
            setup,
        }
    }

    fn begin(&mut self) {
        for workspace in 0..self.setup.rates.len() {
            self.schedule.after(Duration::ZERO, Event::Arrive { workspace });
        }
        self.schedule.after(self.setup.trigger_at, Event::TriggerStarts);
        let ends = self.setup.trigger_at + self.setup.trigger_for;
        self.schedule.after(ends, Event::TriggerEnds);
        self.schedule.after(REPORT_INTERVAL, Event::Reports);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { workspace } => self.arrive(workspace),
            Event::AtNode { work, attempt } => self.at_node(work, attempt),
            Event::NodeWakes { node } => {
                self.nodes[node].wake_at = None;
                self.turns(node);
            }
            Event::AtUpstream { call } => self.at_upstream(call),
            Event::Served { upstream, call, life } => self.served(upstream, call, life),
            Event::Answered { call, error } => self.answered(call, error),
            Event::CallerGone { work, attempt } => self.caller_gone(work, attempt),
            Event::Silent { call } => self.answered(call, Some(Reached::MayHaveRun)),
            Event::TriggerStarts => self.trigger_starts(),
            Event::TriggerEnds => self.upstreams.iter_mut().for_each(|u| u.gone = false),
            Event::Reports => self.reports(),
            Event::ReportsCome { node, loads } => self.reports_come(node, &loads),
            Event::AtHome { home, mark } => {
                let now = self.schedule.now();
                self.nodes[home].admission.sense_mut().merge(now, &[mark]);
            }
            Event::Asked { work, attempt, node } => self.offer(work, attempt, node),
            Event::Refused { work, attempt, retry_after } => {
                self.refused(work, attempt, retry_after)
            }
        }
    }

    fn second(&mut self) -> &mut Second {
        let at = self.schedule.elapsed().as_secs() as usize;
        &mut self.report.seconds[at]
    }

    fn arrive(&mut self, workspace: usize) {
        let (factor, from) = self.setup.surge;
        let surges = workspace == 0 && self.schedule.elapsed().as_secs() >= from;
        let rate = self.setup.rates[workspace] * if surges { factor } else { 1.0 };
        let gap = exponential(&mut self.rng, 1.0 / rate);
        self.schedule.after(gap, Event::Arrive { workspace });
        let arrived = self.schedule.elapsed();
        self.work.push(Work {
            workspace,
            arrived,
            attempt: 0,
            done: false,
            told_to_wait: false,
            call: None,
            ticket: None,
        });
        self.second().arrived += 1;
        self.send(self.work.len() - 1, Duration::ZERO);
    }

    /// The caller sends the next attempt.
    fn send(&mut self, work: usize, wait: Duration) {
        let state = &mut self.work[work];
        if state.attempt > self.setup.max_retries {
            return;
        }
        state.attempt += 1;
        (state.call, state.ticket) = (None, None);
        let attempt = state.attempt;
        self.schedule.after(wait + CALLER_DELAY, Event::AtNode { work, attempt });
        self.schedule.after(wait + self.setup.timeout, Event::CallerGone { work, attempt });
    }

    fn at_node(&mut self, work: usize, attempt: u32) {
        if self.work[work].told_to_wait && attempt > 1 {
            self.report.came_back += 1;
        }
        let node = self.rng.random_range(0..self.setup.nodes);
        if self.setup.strategy != Strategy::Policy {
            return self.forward_baseline(work, attempt, node);
        }
        if self.setup.marks == Marks::Digest {
            self.schedule.after(2 * PEER_DELAY, Event::Asked { work, attempt, node });
        } else {
            self.offer(work, attempt, node);
        }
    }

    fn offer(&mut self, work: usize, attempt: u32, node: usize) {
        if self.work[work].attempt != attempt {
            return;
        }
        let ask = self.ask(work, attempt);
        let now = self.schedule.now();
        match self.nodes[node].admission.offer(now, ask) {
            Admit::Run(permit) => self.dispatch(work, attempt, node, permit),
            Admit::Queued(ticket) => {
                self.nodes[node].waiting.insert(ticket, (work, attempt));
                self.work[work].ticket = Some((node, ticket));
            }
            Admit::Refused(refusal) => self.refuse(work, attempt, refusal),
        }
        self.turns(node);
    }

    fn ask(&mut self, work: usize, attempt: u32) -> Ask {
        let workspace = self.workspaces[self.work[work].workspace].clone();
        let told = self.setup.marks == Marks::Attempt;
        let fingerprint = Fingerprint::of_body(&workspace, "/", &work.to_le_bytes());
        let (home, now) = (self.home(fingerprint), self.schedule.now());
        let sense = self.nodes[home].admission.sense_mut();
        let failed_before = self.setup.marks == Marks::Digest
            && sense.is_retry(now, Attempt::FIRST, Some(fingerprint));
        Ask {
            request: RequestId::new_unique(),
            service: self.service.clone(),
            attempt: Attempt(if told { attempt } else { 1 }),
            fingerprint: Some(fingerprint),
            failed_before,
            workspace,
            deadline: self.schedule.now() + self.setup.timeout - 2 * CALLER_DELAY,
            cost_tokens: 1,
            priority: Priority::Normal,
        }
    }

    fn refuse(&mut self, work: usize, attempt: u32, refusal: Refusal) {
        self.second().refused += 1;
        if self.schedule.elapsed() < self.setup.trigger_at {
            *self.report.early_refusals.entry(refusal.reason.to_string()).or_default() += 1;
        }
        let retry_after = refusal.retry_after;
        // The home of an unmarked request is told before the caller is.
        let told = if self.setup.marks == Marks::Digest { 2 * PEER_DELAY } else { Duration::ZERO };
        let event = Event::Refused { work, attempt, retry_after };
        self.schedule.after(told + CALLER_DELAY, event);
    }

    fn refused(&mut self, work: usize, attempt: u32, retry_after: Duration) {
        if self.work[work].attempt != attempt || self.work[work].done {
            return;
        }
        let waits = self.setup.patience == Patience::Waits;
        self.work[work].told_to_wait = waits;
        self.send(work, if waits { retry_after } else { Duration::ZERO });
    }

    /// Starts and drops what waits at a node.
    fn turns(&mut self, node: usize) {
        let now = self.schedule.now();
        loop {
            let state = &mut self.nodes[node];
            state.admission.set_capacity(&self.service, state.placement.capacity(&self.service));
            let Some(turn) = state.admission.next(now) else {
                break;
            };
            match turn {
                Turn::Start(ticket, permit) => {
                    let (work, attempt) = state.waiting.remove(&ticket).unwrap();
                    self.dispatch(work, attempt, node, permit);
                }
                Turn::Drop(ticket, refusal) => {
                    let (work, attempt) = state.waiting.remove(&ticket).unwrap();
                    self.refuse(work, attempt, refusal);
                }
            }
        }
        self.tell_homes(node);
        let state = &mut self.nodes[node];
        if let Some(at) = state.admission.next_wakeup()
            && state.wake_at.is_none_or(|earlier| at < earlier)
        {
            state.wake_at = Some(at);
            self.schedule.at(at, Event::NodeWakes { node });
        }
    }

    fn dispatch(&mut self, work: usize, attempt: u32, node: usize, permit: Permit) {
        self.calls.push(Call {
            work,
            attempt,
            node,
            upstream: 0,
            tries: 0,
            sent_at: self.schedule.elapsed(),
            sent: None,
            permit: Some(permit),
            open: true,
        });
        let call = self.calls.len() - 1;
        self.work[work].call = Some(call);
        self.work[work].ticket = None;
        self.place(call, &[], None);
    }

    /// Places an attempt of a node; false if no upstream takes it.
    fn place(&mut self, call: usize, exclude: &[UpstreamId], avoid: Option<&ZoneName>) {
        let now = self.schedule.now();
        let state = &mut self.calls[call];
        let node = &mut self.nodes[state.node];
        let req = PlacementRequest {
            service: &self.service,
            workspace: &self.workspaces[self.work[state.work].workspace],
            labels: &self.labels,
            zone_of_caller: &self.zones[state.node % self.zones.len()],
            prefix: &[],
            prompt_tokens: 0,
            expected_tokens: 0,
            exclude,
            avoid_zone: avoid,
            may_try: true,
            may_exceed: state.tries > 0,
        };
        let Ok(choice) = node.placement.choose(now, &req) else {
            self.report.placement_full += 1;
            return self.settle(call, Outcome::NotRun);
        };
        state.sent = node.placement.started(now, &choice.upstream, &req);
        state.upstream = self.ids.iter().position(|id| *id == choice.upstream).unwrap();
        state.tries += 1;
        state.sent_at = self.schedule.elapsed();
        let is_retry = state.attempt > 1 || state.tries > 1;
        self.count_sent(is_retry);
        self.schedule.after(UPSTREAM_DELAY, Event::AtUpstream { call });
    }

    fn count_sent(&mut self, is_retry: bool) {
        let second = self.second();
        second.retried_sent += u32::from(is_retry);
        second.fresh_sent += u32::from(!is_retry);
    }

    fn forward_baseline(&mut self, work: usize, attempt: u32, node: usize) {
        let elapsed = self.schedule.elapsed();
        let state = &mut self.nodes[node];
        let used: Vec<usize> =
            (0..self.setup.upstreams).filter(|u| state.left_out[*u] <= elapsed).collect();
        let used = if used.is_empty() { (0..self.setup.upstreams).collect() } else { used };
        state.turn += 1;
        let upstream = match self.setup.strategy {
            Strategy::LeastLoaded => *used.iter().min_by_key(|u| state.in_flight[**u]).unwrap(),
            Strategy::Rendezvous => {
                let hash = |u: &usize| xxh((work as u64) << 16 | *u as u64);
                used.iter().copied().max_by_key(hash).unwrap()
            }
            _ => used[state.turn % used.len()],
        };
        state.in_flight[upstream] += 1;
        self.calls.push(Call {
            work,
            attempt,
            node,
            upstream,
            tries: 1,
            sent_at: elapsed,
            sent: None,
            permit: None,
            open: true,
        });
        let call = self.calls.len() - 1;
        self.work[work].call = Some(call);
        self.count_sent(attempt > 1);
        self.schedule.after(UPSTREAM_DELAY, Event::AtUpstream { call });
    }

    fn at_upstream(&mut self, call: usize) {
        let upstream = self.calls[call].upstream;
        let state = &mut self.upstreams[upstream];
        if state.gone {
            match self.setup.trigger {
                Trigger::Crash => {
                    let error = Some(Reached::NotRun);
                    self.schedule.after(UPSTREAM_DELAY, Event::Answered { call, error });
                }
                Trigger::Silence => {
                    self.schedule.after(Duration::from_secs(1), Event::Silent { call });
                }
            }
            return;
        }
        state.queue.push_back(call);
        self.serve(upstream);
    }

    fn serve(&mut self, upstream: usize) {
        let life = self.upstreams[upstream].life;
        while self.upstreams[upstream].busy.len() < self.setup.slots {
            let Some(call) = self.upstreams[upstream].queue.pop_front() else {
                return;
            };
            self.upstreams[upstream].busy.push(call);
            let time = exponential(&mut self.rng, self.setup.mean_service.as_secs_f64());
            self.schedule.after(time, Event::Served { upstream, call, life });
        }
    }

    fn served(&mut self, upstream: usize, call: usize, life: u32) {
        let state = &mut self.upstreams[upstream];
        if state.life != life {
            return;
        }
        state.busy.retain(|other| *other != call);
        self.schedule.after(UPSTREAM_DELAY, Event::Answered { call, error: None });
        self.serve(upstream);
    }

    fn trigger_starts(&mut self) {
        let half = self.setup.half();
        for state in self.upstreams.iter_mut().take(half) {
            state.gone = true;
            state.life += 1;
            for call in state.queue.drain(..).chain(state.busy.drain(..)) {
                let event = match self.setup.trigger {
                    Trigger::Crash => Event::Answered { call, error: Some(Reached::MayHaveRun) },
                    Trigger::Silence => Event::Silent { call },
                };
                let after = match self.setup.trigger {
                    Trigger::Crash => UPSTREAM_DELAY,
                    Trigger::Silence => Duration::from_secs(1),
                };
                self.schedule.after(after, event);
            }
        }
    }

    fn answered(&mut self, call: usize, error: Option<Reached>) {
        if !self.calls[call].open {
            return;
        }
        let (node, ok) = (self.calls[call].node, error.is_none());
        self.observe(call, ok);
        let Some(reached) = error else {
            return self.settle(call, Outcome::Complete);
        };
        if self.setup.strategy != Strategy::Policy {
            let upstream = self.calls[call].upstream;
            self.nodes[node].left_out[upstream] = self.schedule.elapsed() + BASELINE_LEFT_OUT;
            return self.settle(call, Outcome::Failed);
        }
        self.decide_retry(call, reached);
        self.turns(node);
    }

    fn decide_retry(&mut self, call: usize, reached: Reached) {
        let now = self.schedule.now();
        let state = &self.calls[call];
        let permit = state.permit.as_ref().unwrap();
        let node = &mut self.nodes[state.node];
        let failed = FailedTry {
            upstream: self.ids[state.upstream].clone(),
            zone: self.zones[state.upstream % self.zones.len()].clone(),
            reached,
            answered: false,
        };
        let told = if self.setup.marks == Marks::Attempt { state.attempt } else { 1 };
        let cx = TryContext {
            attempt: Attempt(told),
            retried: permit.is_retried(),
            tries: state.tries,
            idempotency: Idempotency::Idempotent,
            deadline: now + self.setup.timeout,
            expected: node.admission.run_time(&self.service),
        };
        let draw = || node.admission.draw_retry(now, permit);
        match RetryPolicy.decide(now, &failed, &cx, draw) {
            RetryDecision::Elsewhere { exclude, avoid_zone } => {
                self.place(call, &[exclude], Some(&avoid_zone));
            }
            RetryDecision::GiveUp(_) => self.settle(call, Outcome::Failed),
        }
    }

    fn observe(&mut self, call: usize, ok: bool) {
        let now = self.schedule.now();
        let state = &mut self.calls[call];
        let latency = self.schedule.elapsed() - state.sent_at;
        let seen = Observation { ok, latency, first_token: None, tokens: 0 };
        let node = &mut self.nodes[state.node];
        if let Some(sent) = state.sent.take() {
            node.placement.finished(sent, now, seen);
        }
        if self.setup.strategy != Strategy::Policy {
            node.in_flight[state.upstream] -= 1;
        }
    }

    /// Ends a call and tells its caller.
    fn settle(&mut self, call: usize, outcome: Outcome) {
        let now = self.schedule.now();
        let state = &mut self.calls[call];
        state.open = false;
        let (work, attempt, node) = (state.work, state.attempt, state.node);
        if let Some(permit) = state.permit.take() {
            self.nodes[node].admission.release(permit, now, outcome);
        }
        if outcome != Outcome::Complete {
            let retry_after = Duration::ZERO;
            let told =
                if self.setup.marks == Marks::Digest { 2 * PEER_DELAY } else { Duration::ZERO };
            self.schedule.after(told + CALLER_DELAY, Event::Refused { work, attempt, retry_after });
            return self.turns_if_policy(node);
        }
        self.complete(work, attempt);
        self.turns_if_policy(node);
    }

    fn turns_if_policy(&mut self, node: usize) {
        if self.setup.strategy == Strategy::Policy {
            self.turns(node);
        }
    }

    fn complete(&mut self, work: usize, attempt: u32) {
        let state = &mut self.work[work];
        if state.done || state.attempt != attempt {
            return;
        }
        state.done = true;
        let (arrived, workspace) = (state.arrived, state.workspace);
        if state.told_to_wait {
            self.report.came_back_done += 1;
        }
        let latency = self.schedule.elapsed() + CALLER_DELAY - arrived;
        let second = &mut self.report.seconds[arrived.as_secs() as usize];
        second.done += 1;
        if attempt == 1 {
            second.fresh_done += 1;
            if arrived.as_secs() >= self.setup.surge.1 {
                self.report.latencies[workspace].push(latency.as_secs_f64() * 1000.0);
            }
            self.second().fresh_goodput += 1;
        }
    }

    fn caller_gone(&mut self, work: usize, attempt: u32) {
        let state = &mut self.work[work];
        if state.done || state.attempt != attempt {
            return;
        }
        let now = self.schedule.now();
        if let Some((node, ticket)) = state.ticket.take() {
            self.nodes[node].admission.cancel(now, ticket);
            self.nodes[node].waiting.remove(&ticket);
        }
        if let Some(call) = state.call.take().filter(|call| self.calls[*call].open) {
            let node = self.calls[call].node;
            self.observe(call, false);
            self.calls[call].open = false;
            if let Some(permit) = self.calls[call].permit.take() {
                self.nodes[node].admission.release(permit, now, Outcome::Failed);
            }
            self.turns_if_policy(node);
        }
        self.send(work, Duration::ZERO);
    }

    fn reports(&mut self) {
        self.schedule.after(REPORT_INTERVAL, Event::Reports);
        let loads: Vec<(u32, u32)> = self
            .upstreams
            .iter()
            .map(|u| if u.gone { (0, 0) } else { (u.busy.len() as u32, u.queue.len() as u32) })
            .collect();
        for node in 0..self.setup.nodes {
            let event = Event::ReportsCome { node, loads: loads.clone() };
            self.schedule.after(REPORT_LAG, event);
        }
    }

    fn reports_come(&mut self, node: usize, loads: &[(u32, u32)]) {
        let now = self.schedule.now();
        for (id, (running, waiting)) in self.ids.iter().zip(loads) {
            if self.upstreams[self.ids.iter().position(|i| i == id).unwrap()].gone {
                continue;
            }
            let report = load_report(*running, *waiting);
            self.nodes[node].placement.report(id, now, &report);
        }
        self.turns_if_policy(node);
    }

    /// Tells the homes of failed requests.
    fn tell_homes(&mut self, node: usize) {
        if self.setup.marks != Marks::Digest {
            return;
        }
        for mark in self.nodes[node].admission.sense_mut().take_unshared(usize::MAX) {
            let home = self.home(mark);
            self.schedule.after(PEER_DELAY, Event::AtHome { home, mark });
        }
    }

    fn home(&self, mark: Fingerprint) -> usize {
        let home = sense_home(mark, &self.node_ids).unwrap();
        self.node_ids.iter().position(|id| id == home).unwrap()
    }
}

fn xxh(n: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&n.to_le_bytes())
}

fn exponential(rng: &mut SmallRng, mean_secs: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() * mean_secs)
}

fn service_config(name: &ServiceName) -> Service {
    Service {
        name: name.clone(),
        kind: ServiceKind::Plain,
        limits: ServiceLimits::default(),
        latency: Default::default(),
        model: None,
        checks_fences: false,
        fleet: None,
    }
}

fn candidate(id: &UpstreamId, zone: &ZoneName) -> Candidate {
    Candidate {
        id: id.clone(),
        zone: zone.clone(),
        region: "lima".parse().unwrap(),
        labels: Labels::default(),
        price_per_hour: 0.4,
        reclaimable: true,
        state: CandidateState::Live,
    }
}

fn load_report(running: u32, waiting: u32) -> LoadReport {
    LoadReport {
        running,
        waiting,
        cache_used_tokens: 0,
        cache_total_tokens: 0,
        tokens_per_second: 0.0,
        role: Role::Mixed,
        models: Vec::new(),
    }
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
