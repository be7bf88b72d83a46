//! State of a fake engine: counters, prefix cache, KV cache and orders.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use lycheelatch_prelude::{Fence, RequestId};
use lycheelatch_upstream::{LoadReport, LoadedModel, Role};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Words of a prompt per block of the prefix cache; a word counts as one token.
const BLOCK_WORDS: usize = 16;

/// Configuration of a fake engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Prefill time of 1000 prompt tokens.
    pub prefill_per_1000: Duration,
    /// Interval between two tokens.
    pub token_interval: Duration,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Limit of concurrent requests; further ones are refused with status 429.
    pub max_running: usize,
    /// Whether an order with an outdated fencing number is refused.
    pub checks_fences: bool,
    /// Whether KV cache exports never get a response.
    pub export_hangs: bool,
}

impl Default for EngineConfig {
    fn default() -> EngineConfig {
        EngineConfig {
            prefill_per_1000: Duration::from_millis(20),
            token_interval: Duration::from_millis(5),
            cache_blocks: 4096,
            max_running: 256,
            checks_fences: true,
            export_hangs: false,
        }
    }
}

/// Counters of a fake engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Requests that were started.
    pub started: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Calls to cancel a request.
    pub cancelled: u64,
    /// Prompt and response tokens that were recomputed for resumed requests.
    pub recomputed_tokens: u64,
    /// Prompt tokens, computed or cached.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub generated_tokens: u64,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) cfg: EngineConfig,
    pub(crate) counts: EngineCounts,
    pub(crate) running: usize,
    pub(crate) fence: Fence,
    pub(crate) models: Vec<LoadedModel>,
    pub(crate) role: Role,
    /// Tokens of imported KV cache, by request.
    pub(crate) kv: HashMap<RequestId, u64>,
    cached: HashSet<u64>,
    /// Cached blocks, oldest first.
    cache_order: VecDeque<u64>,
    /// Computed prompt and response tokens of the running requests.
    computed: HashMap<RequestId, u64>,
}

impl EngineState {
    pub(crate) fn new(cfg: EngineConfig) -> EngineState {
        EngineState {
            cfg,
            counts: EngineCounts::default(),
            running: 0,
            fence: Fence(0),
            models: Vec::new(),
            role: Role::default(),
            kv: HashMap::new(),
            cached: HashSet::new(),
            cache_order: VecDeque::new(),
            computed: HashMap::new(),
        }
    }

    /// Starts a request and returns how many tokens have to be prefilled.
    pub(crate) fn start(&mut self, id: &RequestId, prompt: &str, delivered: u64) -> u64 {
        self.counts.started += 1;
        self.running += 1;
        let words = prompt.split_whitespace().count() as u64;
        let required = words + delivered;
        self.counts.prompt_tokens += words;
        let cached = match self.kv.remove(id) {
            Some(tokens) => tokens.min(required),
            None => self.cached_words(prompt),
        };
        let missing = required - cached;
        if delivered > 0 {
            self.counts.recomputed_tokens += missing;
        }
        self.insert_prompt(prompt);
        self.computed.insert(id.clone(), required);
        missing
    }

    pub(crate) fn token_generated(&mut self, id: &RequestId) {
        self.counts.generated_tokens += 1;
        if let Some(tokens) = self.computed.get_mut(id) {
            *tokens += 1;
        }
    }

    pub(crate) fn finish(&mut self, id: &RequestId) {
        self.running -= 1;
        self.computed.remove(id);
    }

    /// Returns the number of tokens in the KV cache of a running request.
    pub(crate) fn computed(&self, id: &RequestId) -> Option<u64> {
        self.computed.get(id).copied()
    }

    pub(crate) fn load_report(&self) -> LoadReport {
        LoadReport {
            running: self.running as u32,
            waiting: 0,
            cache_used_tokens: (self.cached.len() * BLOCK_WORDS) as u64,
            cache_total_tokens: (self.cfg.cache_blocks * BLOCK_WORDS) as u64,
            tokens_per_second: self.running as f64 / self.cfg.token_interval.as_secs_f64(),
            role: self.role,
            models: self.models.clone(),
        }
    }

    fn cached_words(&self, prompt: &str) -> u64 {
        let blocks = block_hashes(prompt);
        let cached = blocks.iter().take_while(|block| self.cached.contains(block)).count();
        (cached * BLOCK_WORDS) as u64
    }

    fn insert_prompt(&mut self, prompt: &str) {
        for block in block_hashes(prompt) {
            if self.cached.insert(block) {
                self.cache_order.push_back(block);
            }
        }
        while self.cached.len() > self.cfg.cache_blocks {
            let Some(oldest) = self.cache_order.pop_front() else { return };
            self.cached.remove(&oldest);
        }
    }
}

fn block_hashes(prompt: &str) -> Vec<u64> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut hash = 0;
    words
        .chunks_exact(BLOCK_WORDS)
        .map(|block| {
            hash = xxh3_64_with_seed(block.join(" ").as_bytes(), hash);
            hash
        })
        .collect()
}

/// Returns the text of one response token; it is the same on every engine.
pub(crate) fn token_text(prompt: &str, offset: u64) -> String {
    let hash = xxh3_64_with_seed(&offset.to_le_bytes(), xxh3_64(prompt.as_bytes()));
    format!(" w{:04x}", hash & 0xffff)
}
