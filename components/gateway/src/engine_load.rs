//! What is believed of one engine: work in flight, cached prompts and speed.
//!
//! A decision asks one question of it: when would a request get its first
//! token here. Times are taken as arguments; nothing here does I/O.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

use crate::{
    dialect::{Prompt, PromptPart},
    table::EngineSpec,
};

/// Prompt tokens that an engine of usual speed reads in a millisecond.
const READ_TOKENS_PER_MS: f64 = 50.0;

/// Time of one step of an engine with nothing to read.
const STEP_MS: f64 = 7.0;

/// Fixed time before the first token.
const FIRST_TOKEN_MS: f64 = 18.0;

/// Weight of a new measurement in the engine's slowness.
const SLOWNESS_WEIGHT: f64 = 0.15;

/// Bounds of the slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.6, 12.0);

/// Time in which a slow engine that is not used is taken for half as slow.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(4);

/// Time by which an engine has read a prompt that it was sent, so that others can fetch it.
const READ_BY_THEN: Duration = Duration::from_millis(600);

/// Share of the memory that cached prompts are believed to keep.
const CACHE_SHARE: f64 = 0.75;

/// Identity of a prompt up to one of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChainHash(pub u64);

/// A prompt with the identity of each of its beginnings.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Chain {
    /// Each beginning, with the tokens of its last part.
    pub links: Vec<(ChainHash, u32)>,
    /// All tokens to read.
    pub input_tokens: u32,
    /// Most tokens of the request in memory.
    pub memory_tokens: u64,
}

impl From<&Prompt> for Chain {
    fn from(prompt: &Prompt) -> Chain {
        let mut hash = 0;
        let link = |part: &PromptPart| {
            let seed = hash;
            hash = xxhash_rust::xxh3::xxh3_64_with_seed(&part.id.to_le_bytes(), seed);
            (ChainHash(hash), part.tokens)
        };
        let links = prompt.parts.iter().map(link).collect();
        let output = prompt.expected_output_tokens.unwrap_or(prompt.max_output_tokens);
        let memory_tokens = u64::from(prompt.input_tokens) + u64::from(output);
        Chain { links, input_tokens: prompt.input_tokens, memory_tokens }
    }
}

impl Chain {
    /// Returns the beginnings that other requests may share.
    pub fn shared(&self) -> &[(ChainHash, u32)] {
        &self.links[..self.links.len().saturating_sub(1)]
    }

    /// Returns the identity that requests of the same kind share, for a stable choice.
    pub fn affinity(&self) -> u64 {
        self.shared().last().or(self.links.last()).map_or(0, |(hash, _)| hash.0)
    }
}

/// Work that nodes have in flight at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InFlight {
    /// Requests.
    pub requests: u32,
    /// Tokens of requests without a first token that are still to be read.
    pub unread_tokens: u64,
    /// Tokens that the requests hold in memory.
    pub memory_tokens: u64,
}

impl std::ops::AddAssign for InFlight {
    fn add_assign(&mut self, other: InFlight) {
        self.requests += other.requests;
        self.unread_tokens += other.unread_tokens;
        self.memory_tokens += other.memory_tokens;
    }
}

/// A cached beginning of a prompt.
#[derive(Debug, Clone, Copy)]
struct Cached {
    tokens: u32,
    since: Instant,
    used: Instant,
}

/// What is believed of one engine.
#[derive(Debug)]
pub struct EngineLoad {
    cache: HashMap<ChainHash, Cached>,
    cached_tokens: u64,
    slowness: f64,
    measured: Option<Instant>,
    /// Work of this node.
    pub own: InFlight,
    /// Work of the other nodes, as they said last.
    pub others: InFlight,
}

impl Default for EngineLoad {
    fn default() -> EngineLoad {
        EngineLoad {
            cache: HashMap::new(),
            cached_tokens: 0,
            slowness: 1.0,
            measured: None,
            own: InFlight::default(),
            others: InFlight::default(),
        }
    }
}

/// What a request would meet at an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Expected {
    /// Time to the first token.
    pub first_token: Duration,
    /// Tokens that would be read.
    pub uncached_tokens: u32,
    /// Tokens of shared parts that would be read.
    pub uncached_shared: u32,
    /// Tokens that would be fetched from another engine.
    pub fetched_tokens: u32,
    /// Whether there is a slot and memory.
    pub has_room: bool,
}

impl EngineLoad {
    /// Returns the work of all nodes.
    pub fn total(&self) -> InFlight {
        let mut total = self.own;
        total += self.others;
        total
    }

    /// Returns how many times longer than usual the engine takes.
    pub fn slowness(&self, now: Instant) -> f64 {
        let Some(measured) = self.measured else { return self.slowness };
        let idle = now.saturating_duration_since(measured).as_secs_f64();
        let halves = idle / SLOWNESS_HALF_LIFE.as_secs_f64();
        if self.slowness > 1.0 {
            1.0 + (self.slowness - 1.0) * 0.5_f64.powf(halves)
        } else {
            self.slowness
        }
    }

    /// Returns the tokens of a prompt that are cached, from its start.
    pub fn cached_tokens(&self, chain: &Chain) -> u32 {
        let is_cached = |link: &&(ChainHash, u32)| self.cache.contains_key(&link.0);
        chain.links.iter().take_while(is_cached).map(|(_, tokens)| tokens).sum()
    }

    /// Returns the tokens of a prompt that other engines can fetch from here, from its start.
    pub fn kept_tokens(&self, chain: &Chain, now: Instant) -> u32 {
        let is_read = |link: &&(ChainHash, u32)| {
            let cached = self.cache.get(&link.0);
            cached.is_some_and(|cached| now.duration_since(cached.since) >= READ_BY_THEN)
        };
        chain.links.iter().take_while(is_read).map(|(_, tokens)| tokens).sum()
    }

    /// Returns what a request would meet; `kept` tokens may be fetched from another engine.
    pub fn expect(&self, chain: &Chain, engine: &EngineSpec, kept: u32, now: Instant) -> Expected {
        let own = self.cached_tokens(chain);
        let fetched_tokens = kept.saturating_sub(own);
        let cached = own + fetched_tokens;
        let shared: u32 = chain.shared().iter().map(|(_, tokens)| tokens).sum();
        let uncached_tokens = chain.input_tokens.saturating_sub(cached);
        let total = self.total();
        let to_read = total.unread_tokens as f64 + f64::from(uncached_tokens);
        let step = STEP_MS + f64::from(total.requests) * 0.05;
        let ms = (to_read / READ_TOKENS_PER_MS + step + FIRST_TOKEN_MS) * self.slowness(now);
        let has_room = total.requests < engine.slots
            && total.memory_tokens + chain.memory_tokens <= engine.memory_tokens;
        let fetch = f64::from(fetched_tokens) / engine.moved_tokens_per_ms.unwrap_or(f64::MAX);
        Expected {
            first_token: Duration::from_secs_f64((ms + fetch) / 1000.0),
            uncached_tokens,
            uncached_shared: shared.saturating_sub(cached),
            fetched_tokens,
            has_room,
        }
    }

    /// Takes note of a request that is sent; returns the work to give back later.
    pub fn sent(&mut self, chain: &Chain, expected: &Expected) -> InFlight {
        let work = InFlight {
            requests: 1,
            unread_tokens: u64::from(expected.uncached_tokens),
            memory_tokens: chain.memory_tokens,
        };
        self.own += work;
        work
    }

    /// Takes note of the first token: the prompt has been read.
    pub fn first_token(&mut self, work: &mut InFlight) {
        self.own.unread_tokens = self.own.unread_tokens.saturating_sub(work.unread_tokens);
        work.unread_tokens = 0;
    }

    /// Takes note of the end of a request.
    pub fn ended(&mut self, work: InFlight) {
        self.own.requests = self.own.requests.saturating_sub(work.requests);
        self.own.unread_tokens = self.own.unread_tokens.saturating_sub(work.unread_tokens);
        self.own.memory_tokens = self.own.memory_tokens.saturating_sub(work.memory_tokens);
    }

    /// Compares the time to a first token with what was expected.
    pub fn measured(&mut self, expected: Duration, seen: Duration, now: Instant) {
        let current = self.slowness(now);
        let ratio = seen.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let implied = (ratio * current).clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness = current + SLOWNESS_WEIGHT * (implied - current);
        self.measured = Some(now);
    }

    /// Takes note of prompts that the engine has read, by any node.
    pub fn remember(&mut self, links: &[(ChainHash, u32)], memory_tokens: u64, now: Instant) {
        for &(hash, tokens) in links {
            if let Some(known) = self.cache.get_mut(&hash) {
                known.used = now;
                continue;
            }
            self.cache.insert(hash, Cached { tokens, since: now, used: now });
            self.cached_tokens += u64::from(tokens);
        }
        self.evict(memory_tokens);
    }

    /// Forgets the least recently used prompts beyond the memory.
    fn evict(&mut self, memory_tokens: u64) {
        let running = self.total().memory_tokens;
        let room = memory_tokens.saturating_sub(running / 2) as f64 * CACHE_SHARE;
        while self.cached_tokens as f64 > room {
            let oldest = self.cache.iter().min_by_key(|(_, cached)| cached.used);
            let Some((&hash, &Cached { tokens, .. })) = oldest else { return };
            self.cache.remove(&hash);
            self.cached_tokens = self.cached_tokens.saturating_sub(u64::from(tokens));
        }
    }
}
