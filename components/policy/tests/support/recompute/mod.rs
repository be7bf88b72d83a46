//! Simulates conversations and questions about long histories on engines with small prefix caches.
//!
//! Several nodes place requests. Each engine prefills the uncached part of one prompt after
//! another and generates answers concurrently. Counts the tokens that are prefilled although an
//! engine has prefilled them before.

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

/// Prompt tokens that an engine prefills per second.
const PREFILL_TOKENS_PER_SECOND: f64 = 8000.0;

/// Time between generated tokens, without concurrent requests.
const TOKEN_TIME: Duration = Duration::from_millis(12);

/// Increase of the time between generated tokens per concurrent request.
const TOKEN_TIME_PER_REQUEST: Duration = Duration::from_micros(400);

/// Answer length in tokens.
const ANSWER_TOKENS: u64 = 160;

/// Interval between polls of an engine's events.
const EVENTS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Delay between a poll and the delivery of its events.
const EVENTS_DELAY: Duration = Duration::from_secs(1);

/// Probability that a poll has a gap.
const GAP_PROBABILITY: f64 = 0.05;

/// Availability zones of the engines.
const ZONES: [&str; 3] = ["aberteifi", "llechryd", "cenarth"];

/// Strategy that chooses an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Chooser {
    /// The placement policy.
    Policy,
    /// All engines in turn.
    RoundRobin,
    /// The engine with the fewest requests, by exact counts.
    LeastLoaded,
    /// The first choice of rendezvous hashing on the third block, the first one that is not shared.
    Rendezvous,
    /// The engine with the least prefill work, by exact cache contents and loads.
    Oracle,
}

/// Information on the engines' load that nodes get, besides their own requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadInfo {
    /// None.
    LocalOnly,
    /// Reports of every engine, once per second.
    Reports,
    /// Reports of this many engines, a different subset at each node.
    Subset(usize),
    /// Digests of all engines at this interval, in seconds.
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
    /// Requests per second.
    pub rate: f64,
    pub conversations: usize,
    pub histories: usize,
    /// Whether nodes receive the engines' cache events.
    pub has_cache_events: bool,
    /// Information on the engines' load that nodes get.
    pub load_info: LoadInfo,
    /// When the engines of one availability zone are lost, if at all.
    pub zone_lost_at: Option<Duration>,
    pub run_for: Duration,
}

impl Setup {
    /// Returns a setup of seven nodes and nine engines.
    pub fn small(seed: u64, chooser: Chooser) -> Setup {
        Setup {
            seed,
            chooser,
            nodes: 7,
            engines: 9,
            cache_tokens: 60_000,
            rate: 9.0,
            conversations: 60,
            histories: 40,
            has_cache_events: true,
            load_info: LoadInfo::Reports,
            zone_lost_at: None,
            run_for: Duration::from_secs(300),
        }
    }
}

/// Results of a run.
#[derive(Debug, Default, Clone)]
pub struct Report {
    pub requests: u64,
    pub prompt_tokens: u64,
    /// Prefilled tokens that some engine had prefilled before.
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
    PrefillDone { engine: usize, incarnation: u32 },
    AnswerDone { call: usize },
    PollEvents,
    EventsDelivered { engine: usize, events: CacheEvents, load: (u32, u32) },
    ZoneLost,
}

/// A source of prompts with a common prefix.
struct PromptSource {
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
    uncached_tokens: u64,
    first_token: Duration,
}

#[derive(Default)]
struct Engine {
    is_lost: bool,
    incarnation: u32,
    /// Cached blocks with the order of their last use.
    cache: HashMap<BlockHash, u64>,
    uses: u64,
    /// Calls whose prompts are queued; the first one is being prefilled.
    prefill: std::collections::VecDeque<usize>,
    generating: u32,
    events: Vec<CacheEvent>,
    /// Sequence number of the last event.
    last: u64,
}

impl Engine {
    fn cached_blocks(&self, prompt: &[BlockHash]) -> usize {
        prompt.iter().take_while(|block| self.cache.contains_key(*block)).count()
    }

    fn store(&mut self, prompt: &[BlockHash], max_blocks: usize) {
        self.uses += 1;
        let new: Vec<u64> =
            prompt.iter().filter(|b| !self.cache.contains_key(*b)).map(|b| b.0).collect();
        // Later blocks count as older, so that blocks are evicted before the prefix they extend.
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
    sources: Vec<PromptSource>,
    next_block: u64,
    /// Blocks that any engine has prefilled.
    prefilled: HashSet<BlockHash>,
    round_robin: usize,
    report: Report,
    service: ServiceName,
    workspace: WorkspaceName,
    ids: Vec<UpstreamId>,
    zones: Vec<ZoneName>,
    labels: Labels,
}

/// Runs a setup to its end.
pub fn run(setup: Setup) -> Report {
    let mut run = Run::new(setup);
    run.schedule.after(Duration::ZERO, Event::Arrive);
    run.schedule.after(EVENTS_POLL_INTERVAL, Event::PollEvents);
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
