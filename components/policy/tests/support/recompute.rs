//! Conversations and long histories before engines with limited prefix memory.
//!
//! Several nodes place requests; each engine computes what its cache lacks,
//! one prompt after another, and generates beside that. Counts the tokens
//! that are computed although they were computed before.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use lycheelatch_config::{Service, ServiceKind, ServiceLimits};
use lycheelatch_policy::{
    BLOCK_TOKENS, BlockHash, Candidate, CandidateState, Observation, ObservedLoad, Placement,
    PlacementRequest, Sent,
};
use lycheelatch_prelude::{Labels, Sequence, ServiceName, UpstreamId, WorkspaceName, ZoneName};
use lycheelatch_upstream::{CacheEvent, CacheEvents, LoadReport, Role};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::clock::Schedule;

/// Prompt tokens that an engine computes in a second.
const PREFILL_TOKENS_PER_SECOND: f64 = 8000.0;

/// Time between generated tokens, and its growth with each request that runs beside.
const TOKEN_TIME: Duration = Duration::from_millis(12);
const TOKEN_TIME_PER_REQUEST: Duration = Duration::from_micros(400);

/// Tokens of an answer.
const ANSWER_TOKENS: u64 = 160;

/// Time between readings of an engine's events, and how old they are then.
const EVENTS_INTERVAL: Duration = Duration::from_secs(1);
const EVENTS_LAG: Duration = Duration::from_secs(1);

/// Share of the readings that have a gap.
const GAP_SHARE: f64 = 0.05;

/// Availability zones of the engines.
const ZONES: [&str; 3] = ["aberteifi", "llechryd", "cenarth"];

/// How an engine is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Chooser {
    /// The placement policy.
    Policy,
    /// In turn.
    RoundRobin,
    /// The fewest requests, known exactly.
    LeastLoaded,
    /// The first choice by a hash of the first block.
    Rendezvous,
    /// Knows every cache and load: the least time to the first token.
    Oracle,
}

/// What nodes hear of the engines' load, besides their own requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    /// Nothing.
    Own,
    /// Every engine's report, each second.
    Reports,
    /// The reports of this many engines, others at each node.
    Subset(usize),
    /// Digests of all engines, every so many seconds.
    Digests(u64),
}

/// Settings of one run.
#[derive(Debug, Clone)]
pub struct Setup {
    pub seed: u64,
    pub chooser: Chooser,
    pub nodes: usize,
    pub engines: usize,
    pub cache_tokens: u64,
    /// Requests a second.
    pub rate: f64,
    pub conversations: usize,
    pub histories: usize,
    /// Whether nodes read the engines' cache events.
    pub has_events: bool,
    /// What nodes hear of the engines' load.
    pub knowledge: Knowledge,
    /// When the engines of one availability zone go, if they do.
    pub zone_lost_at: Option<Duration>,
    pub run_for: Duration,
}

impl Setup {
    /// Seven nodes before nine engines, as it runs today.
    pub fn today(seed: u64, chooser: Chooser) -> Setup {
        Setup {
            seed,
            chooser,
            nodes: 7,
            engines: 9,
            cache_tokens: 60_000,
            rate: 9.0,
            conversations: 60,
            histories: 40,
            has_events: true,
            knowledge: Knowledge::Reports,
            zone_lost_at: None,
            run_for: Duration::from_secs(300),
        }
    }
}

/// What a run gave.
#[derive(Debug, Default, Clone)]
pub struct Report {
    pub requests: u64,
    pub prompt_tokens: u64,
    /// Tokens computed that some engine had computed before.
    pub recomputed: u64,
    pub first_token_ms: Vec<f64>,
    pub refused: u64,
}

impl Report {
    /// Returns a percentile of the time to the first token, in milliseconds.
    pub fn percentile(&self, percent: f64) -> f64 {
        let mut sorted = self.first_token_ms.clone();
        sorted.sort_by(f64::total_cmp);
        let at = (sorted.len() as f64 * percent / 100.0) as usize;
        sorted.get(at.min(sorted.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
    }
}

enum Event {
    Arrive,
    Computed { engine: usize, life: u32 },
    Generated { call: usize },
    Events,
    EventsCome { engine: usize, events: CacheEvents, load: (u32, u32) },
    ZoneLost,
}

/// A source of prompts that share beginnings.
struct Talk {
    system: u64,
    blocks: Vec<BlockHash>,
    is_history: bool,
}

struct Call {
    node: usize,
    engine: usize,
    arrived: Duration,
    sent: Option<Sent>,
    prompt: Vec<BlockHash>,
    fresh_tokens: u64,
    first_token: Duration,
}

#[derive(Default)]
struct Engine {
    gone: bool,
    life: u32,
    /// Blocks with the time of their last use.
    cache: HashMap<BlockHash, u64>,
    uses: u64,
    /// Calls whose prompts wait to be computed, the first being computed.
    prefill: std::collections::VecDeque<usize>,
    generating: u32,
    events: Vec<CacheEvent>,
    last: u64,
}

impl Engine {
    fn held(&self, prompt: &[BlockHash]) -> usize {
        prompt.iter().take_while(|block| self.cache.contains_key(*block)).count()
    }

    fn store(&mut self, prompt: &[BlockHash], max_blocks: usize) {
        self.uses += 1;
        let new: Vec<u64> =
            prompt.iter().filter(|b| !self.cache.contains_key(*b)).map(|b| b.0).collect();
        // Later blocks count as older, so that a prefix outlives what follows it.
        for (depth, block) in prompt.iter().enumerate() {
            self.cache.insert(*block, (self.uses << 12) - depth as u64);
        }
        if !new.is_empty() {
            self.events.push(CacheEvent::Stored { blocks: new });
        }
        let over = self.cache.len().saturating_sub(max_blocks);
        if over > 0 {
            let mut oldest: Vec<(u64, BlockHash)> =
                self.cache.iter().map(|(block, used)| (*used, *block)).collect();
            oldest.sort_unstable_by_key(|(used, _)| *used);
            let blocks: Vec<u64> = oldest[..over].iter().map(|(_, block)| block.0).collect();
            for block in &blocks {
                self.cache.remove(&BlockHash(*block));
            }
            self.events.push(CacheEvent::Removed { blocks });
        }
    }
}

struct Run {
    setup: Setup,
    schedule: Schedule<Event>,
    rng: SmallRng,
    placements: Vec<Placement>,
    engines: Vec<Engine>,
    calls: Vec<Call>,
    talks: Vec<Talk>,
    next_block: u64,
    computed: HashSet<BlockHash>,
    turn: usize,
    report: Report,
    service: ServiceName,
    workspace: WorkspaceName,
    ids: Vec<UpstreamId>,
    zones: Vec<ZoneName>,
    labels: Labels,
}

/// Runs one setup to its end.
pub fn run(setup: Setup) -> Report {
    let mut run = Run::new(setup);
    run.schedule.after(Duration::ZERO, Event::Arrive);
    run.schedule.after(EVENTS_INTERVAL, Event::Events);
    if let Some(at) = run.setup.zone_lost_at {
        run.schedule.after(at, Event::ZoneLost);
    }
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
        let service: ServiceName = "sack-model".parse().unwrap();
        let ids: Vec<UpstreamId> =
            (0..setup.engines).map(|i| format!("engine-{i}").parse().unwrap()).collect();
        let zones: Vec<ZoneName> = ZONES.iter().map(|zone| zone.parse().unwrap()).collect();
        let schedule = Schedule::new();
        let now = schedule.now();
        let placement = |n: usize| {
            let mut placement = Placement::new(setup.seed * 100 + n as u64);
            placement.set_service(&model_service(&service), Vec::new());
            for (i, id) in ids.iter().enumerate() {
                placement.put(now, &service, candidate(id, &zones[i % zones.len()]));
            }
            placement
        };
        let mut run = Run {
            placements: (0..setup.nodes).map(placement).collect(),
            engines: (0..setup.engines).map(|_| Engine::default()).collect(),
            rng: SmallRng::seed_from_u64(setup.seed),
            calls: Vec::new(),
            talks: Vec::new(),
            next_block: 0,
            computed: HashSet::new(),
            turn: 0,
            report: Report::default(),
            workspace: "cusco".parse().unwrap(),
            labels: Labels::default(),
            schedule,
            service,
            ids,
            zones,
            setup,
        };
        for n in 0..run.setup.conversations {
            let talk = run.conversation(n as u64 % 4);
            run.talks.push(talk);
        }
        for n in 0..run.setup.histories {
            let talk = run.history(n as u64 % 2);
            run.talks.push(talk);
        }
        run
    }

    fn fresh_block(&mut self) -> BlockHash {
        self.next_block += 1;
        BlockHash(mix(self.setup.seed ^ mix(self.next_block)))
    }

    /// A shared system prompt of two blocks, and what the conversation adds.
    fn conversation(&mut self, system: u64) -> Talk {
        let mut blocks = vec![BlockHash(mix(system + 1)), BlockHash(mix(system + 101))];
        blocks.push(self.fresh_block());
        Talk { system, blocks, is_history: false }
    }

    /// A shared system prompt of two blocks, and a long history of 16 to 48 blocks.
    fn history(&mut self, system: u64) -> Talk {
        let mut blocks = vec![BlockHash(mix(system + 1001)), BlockHash(mix(system + 1101))];
        for _ in 0..self.rng.random_range(16..48) {
            let block = self.fresh_block();
            blocks.push(block);
        }
        Talk { system, blocks, is_history: true }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Computed { engine, life } => self.computed(engine, life),
            Event::Generated { call } => self.generated(call),
            Event::Events => self.read_events(),
            Event::EventsCome { engine, events, load } => self.events_come(engine, &events, load),
            Event::ZoneLost => self.zone_lost(),
        }
    }

    fn arrive(&mut self) {
        let gap = -self.rng.random_range(f64::EPSILON..1.0_f64).ln() / self.setup.rate;
        self.schedule.after(Duration::from_secs_f64(gap), Event::Arrive);
        let prompt = self.prompt();
        self.report.requests += 1;
        self.report.prompt_tokens += prompt.len() as u64 * BLOCK_TOKENS;
        let arrived = self.schedule.elapsed();
        self.send(prompt, arrived);
    }

    /// Returns the next turn of a conversation, or a question about a history.
    fn prompt(&mut self) -> Vec<BlockHash> {
        let at = self.rng.random_range(0..self.talks.len());
        let added = self.fresh_block();
        if self.talks[at].is_history {
            let question = [self.talks[at].blocks.as_slice(), &[added]];
            return question.concat();
        }
        if self.talks[at].blocks.len() > 24 {
            let system = self.talks[at].system;
            self.talks[at] = self.conversation(system);
        }
        self.talks[at].blocks.push(added);
        self.talks[at].blocks.clone()
    }

    fn send(&mut self, prompt: Vec<BlockHash>, arrived: Duration) {
        let node = self.rng.random_range(0..self.setup.nodes);
        let now = self.schedule.now();
        let req = PlacementRequest {
            service: &self.service,
            workspace: &self.workspace,
            labels: &self.labels,
            zone_of_caller: &self.zones[node % self.zones.len()],
            prefix: &prompt,
            prompt_tokens: prompt.len() as u64 * BLOCK_TOKENS,
            expected_tokens: ANSWER_TOKENS,
            exclude: &[],
            avoid_zone: None,
            may_try: true,
            may_exceed: true,
        };
        let (engine, sent) = if self.setup.chooser == Chooser::Policy {
            let placement = &mut self.placements[node];
            let Ok(choice) = placement.choose(now, &req) else {
                self.report.refused += 1;
                return;
            };
            let sent = placement.started(now, &choice.upstream, &req);
            (self.ids.iter().position(|id| *id == choice.upstream).unwrap(), sent)
        } else {
            (self.choose_baseline(&prompt), None)
        };
        let call = self.calls.len();
        let zero = Duration::ZERO;
        let fresh_tokens = 0;
        self.calls.push(Call {
            node,
            engine,
            arrived,
            sent,
            prompt,
            fresh_tokens,
            first_token: zero,
        });
        self.engines[engine].prefill.push_back(call);
        if self.engines[engine].prefill.len() == 1 {
            self.compute(engine);
        }
    }

    fn choose_baseline(&mut self, prompt: &[BlockHash]) -> usize {
        let live: Vec<usize> = (0..self.engines.len()).filter(|e| !self.engines[*e].gone).collect();
        self.turn += 1;
        let load = |e: usize| self.engines[e].prefill.len() + self.engines[e].generating as usize;
        match self.setup.chooser {
            Chooser::LeastLoaded => {
                let turn = self.turn;
                let key = |e: &usize| (load(*e), (*e + turn) % self.engines.len());
                *live.iter().min_by_key(|e| key(e)).unwrap()
            }
            Chooser::Rendezvous => {
                let key = prompt.get(2).unwrap_or(&prompt[0]).0;
                *live.iter().max_by_key(|e| mix(key ^ mix(**e as u64 + 7))).unwrap()
            }
            Chooser::Oracle => {
                let cost = |e: usize| {
                    let ahead: u64 = self.engines[e]
                        .prefill
                        .iter()
                        .map(|call| self.missing(e, &self.calls[*call].prompt))
                        .sum();
                    let own = self.missing(e, prompt) as f64;
                    1.5 * own + ahead as f64 + load(e) as f64 * 16.0
                };
                *live.iter().min_by(|a, b| cost(**a).total_cmp(&cost(**b))).unwrap()
            }
            _ => live[self.turn % live.len()],
        }
    }

    fn missing(&self, engine: usize, prompt: &[BlockHash]) -> u64 {
        (prompt.len() - self.engines[engine].held(prompt)) as u64 * BLOCK_TOKENS
    }

    /// Begins to compute the prompt at the head of an engine's queue.
    fn compute(&mut self, engine: usize) {
        let Some(call) = self.engines[engine].prefill.front().copied() else {
            return;
        };
        let prompt = &self.calls[call].prompt;
        let held = self.engines[engine].held(prompt);
        let again = prompt[held..].iter().filter(|block| self.computed.contains(*block)).count();
        self.report.recomputed += again as u64 * BLOCK_TOKENS;
        let fresh_tokens = (prompt.len() - held) as u64 * BLOCK_TOKENS;
        self.calls[call].fresh_tokens = fresh_tokens;
        let secs = fresh_tokens as f64 / PREFILL_TOKENS_PER_SECOND;
        let life = self.engines[engine].life;
        let time = Duration::from_secs_f64(secs) + Duration::from_millis(5);
        self.schedule.after(time, Event::Computed { engine, life });
    }

    fn computed(&mut self, engine: usize, life: u32) {
        if self.engines[engine].life != life {
            return;
        }
        let Some(call) = self.engines[engine].prefill.pop_front() else {
            return;
        };
        let elapsed = self.schedule.elapsed();
        let prompt = self.calls[call].prompt.clone();
        self.computed.extend(prompt.iter().copied());
        let max_blocks = (self.setup.cache_tokens / BLOCK_TOKENS) as usize;
        let state = &mut self.engines[engine];
        state.store(&prompt, max_blocks);
        state.generating += 1;
        let each = TOKEN_TIME + TOKEN_TIME_PER_REQUEST * state.generating;
        self.schedule.after(each * ANSWER_TOKENS as u32, Event::Generated { call });
        let state = &mut self.calls[call];
        state.first_token = elapsed - state.arrived;
        self.report.first_token_ms.push(state.first_token.as_secs_f64() * 1000.0);
        if let Some(sent) = &mut state.sent {
            self.placements[state.node].first_token(sent);
        }
        self.compute(engine);
    }

    fn generated(&mut self, call: usize) {
        let state = &mut self.calls[call];
        let engine = state.engine;
        if self.engines[engine].gone {
            return;
        }
        self.engines[engine].generating -= 1;
        let seen = Observation {
            ok: true,
            latency: self.schedule.elapsed() - state.arrived,
            first_token: Some(state.first_token),
            tokens: ANSWER_TOKENS,
        };
        if let Some(sent) = state.sent.take() {
            self.placements[state.node].finished(sent, self.schedule.now(), seen);
        }
    }

    fn read_events(&mut self) {
        self.schedule.after(EVENTS_INTERVAL, Event::Events);
        for engine in 0..self.engines.len() {
            let gap = self.rng.random_bool(GAP_SHARE);
            let state = &mut self.engines[engine];
            let mut events = std::mem::take(&mut state.events);
            state.last += events.len() as u64;
            if gap {
                events.truncate(events.len() / 2);
            }
            let load = (state.generating, state.prefill.len() as u32);
            let events = CacheEvents { last: Sequence(state.last), gap, events };
            self.schedule.after(EVENTS_LAG, Event::EventsCome { engine, events, load });
        }
    }

    fn events_come(&mut self, engine: usize, events: &CacheEvents, load: (u32, u32)) {
        if self.engines[engine].gone {
            return;
        }
        let now = self.schedule.now();
        let report = LoadReport {
            running: load.0,
            waiting: load.1,
            cache_used_tokens: 0,
            cache_total_tokens: self.setup.cache_tokens,
            tokens_per_second: 0.0,
            role: Role::Mixed,
            models: Vec::new(),
        };
        for node in 0..self.setup.nodes {
            self.hear_load(node, engine, &report);
            if self.setup.has_events {
                self.placements[node].cache_events(&self.ids[engine], now, events);
            }
        }
    }

    /// Tells a node of an engine's load, as far as it hears of it.
    fn hear_load(&mut self, node: usize, engine: usize, report: &LoadReport) {
        let (now, id) = (self.schedule.now(), &self.ids[engine]);
        let placement = &mut self.placements[node];
        match self.setup.knowledge {
            Knowledge::Own => {}
            Knowledge::Reports => placement.report(id, now, report),
            Knowledge::Subset(size) => {
                let first = node * size;
                let place =
                    (engine + self.setup.engines - first % self.setup.engines) % self.setup.engines;
                if place < size {
                    placement.report(id, now, report);
                }
            }
            Knowledge::Digests(seconds) => {
                if self.schedule.elapsed().as_secs().is_multiple_of(seconds) {
                    let seen = ObservedLoad::new(report.running, report.waiting).rounded();
                    placement.digest(id, now, seen.running, seen.waiting);
                }
            }
        }
    }

    /// The engines of the first availability zone go; their requests start again elsewhere.
    fn zone_lost(&mut self) {
        let lost: Vec<usize> = (0..self.engines.len()).step_by(self.zones.len()).collect();
        for engine in lost {
            let state = &mut self.engines[engine];
            state.gone = true;
            state.life += 1;
            let calls: Vec<usize> = state.prefill.drain(..).collect();
            for placement in &mut self.placements {
                placement.set_state(&self.ids[engine], CandidateState::Leaving);
            }
            for call in calls {
                let (prompt, arrived) = (self.calls[call].prompt.clone(), self.calls[call].arrived);
                self.send(prompt, arrived);
            }
        }
    }
}

fn mix(n: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&n.to_le_bytes())
}

fn model_service(name: &ServiceName) -> Service {
    Service {
        name: name.clone(),
        kind: ServiceKind::Model,
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
        region: "ceredigion".parse().unwrap(),
        labels: Labels::default(),
        price_per_hour: 2.0,
        reclaimable: true,
        state: CandidateState::Live,
    }
}
