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
    AttemptHandle, AttemptResult, BLOCK_TOKENS, BlockHash, Candidate, CandidateState, ObservedLoad,
    Placement, PlacementRequest,
};
use lycheelatch_prelude::{Labels, Sequence, ServiceName, UpstreamId, WorkspaceName, ZoneName};
use lycheelatch_upstream::{CacheEvent, CacheEvents, LoadReport, Role};
use rand::{Rng, SeedableRng, rngs::SmallRng};

mod engine;
mod traffic;

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
    sent: Option<AttemptHandle>,
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
