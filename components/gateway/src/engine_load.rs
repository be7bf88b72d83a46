//! Model of an inference engine's load: work in flight, cached prompts and speed.
//!
//! It estimates the time to the first token of a request on the engine. Times are
//! passed as arguments; nothing here does I/O.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

use crate::{
    dialect::{Prompt, PromptPart},
    engine_speed::EngineSpeed,
    table::EngineSpec,
};

/// Share by which the fixed part of the time to the first token grows until all slots are used.
const BUSY_SHARE: f64 = 0.2;

/// Time after which a prompt sent to an engine is assumed to be cached, so that other engines
/// can fetch it.
const FETCHABLE_AFTER: Duration = Duration::from_millis(600);

/// Time since its last use for which a prefix is assumed to belong to a request in flight.
const PREFIX_USE_TIME: Duration = Duration::from_secs(4);

/// Number of prefixes in use from which on those of ended requests are looked for.
const MAX_SHARED_IN_USE: usize = 64;

/// Share of the available memory that cached prompts are assumed to occupy.
const CACHE_SHARE: f64 = 0.75;

/// Hash of a prompt prefix that ends with one of the prompt's parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PrefixHash(pub u64);

/// A prompt as a chain of prefix hashes: each hash covers its part and all earlier parts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PrefixChain {
    /// Hash of each prefix and the number of tokens of its last part, in order.
    pub links: Vec<(PrefixHash, u32)>,
    /// Number of prompt tokens.
    pub input_tokens: u32,
    /// Tokens of KV cache that the request is expected to occupy at its end.
    pub memory_tokens: u64,
}

impl From<&Prompt> for PrefixChain {
    fn from(prompt: &Prompt) -> PrefixChain {
        let mut hash = 0;
        let link = |part: &PromptPart| {
            let seed = hash;
            hash = xxhash_rust::xxh3::xxh3_64_with_seed(&part.id.to_le_bytes(), seed);
            (PrefixHash(hash), part.tokens)
        };
        let links = prompt.parts.iter().map(link).collect();
        let output = prompt.expected_output_tokens.unwrap_or(prompt.max_output_tokens);
        let memory_tokens = u64::from(prompt.input_tokens) + u64::from(output);
        PrefixChain { links, input_tokens: prompt.input_tokens, memory_tokens }
    }
}

impl PrefixChain {
    /// Returns the prefixes that other requests may share: all but the complete prompt.
    pub fn shared_prefixes(&self) -> &[(PrefixHash, u32)] {
        &self.links[..self.links.len().saturating_sub(1)]
    }

    /// Returns the number of tokens of the prefixes that other requests may share.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_prefixes().iter().map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Returns the hash of the longest prefix that may be shared, for prefix affinity.
    pub fn affinity(&self) -> u64 {
        self.shared_prefixes().last().or(self.links.last()).map_or(0, |(hash, _)| hash.0)
    }
}

/// Work in flight on an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InFlight {
    /// Number of requests.
    pub requests: u32,
    /// Uncached prompt tokens of requests that have not produced their first token yet.
    pub prefill_tokens: u64,
    /// Tokens of KV cache that the requests are expected to occupy.
    pub memory_tokens: u64,
    /// Part of `memory_tokens` that belongs to shared prefixes, once for each request.
    pub shared_tokens: u64,
}

impl std::ops::AddAssign for InFlight {
    fn add_assign(&mut self, other: InFlight) {
        self.requests = self.requests.saturating_add(other.requests);
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
        self.shared_tokens = self.shared_tokens.saturating_add(other.shared_tokens);
    }
}

/// A cached prompt prefix.
#[derive(Debug, Clone, Copy)]
struct Cached {
    tokens: u32,
    since: Instant,
    used: Instant,
    uses: u32,
}

/// Estimated state of an engine.
#[derive(Debug, Default)]
pub struct EngineLoad {
    cache: HashMap<PrefixHash, Cached>,
    cached_tokens: u64,
    /// Tokens and last use of shared prefixes that requests in flight may hold.
    shared_in_use: HashMap<PrefixHash, (u32, Instant)>,
    /// Work in flight from this node.
    pub own: InFlight,
    /// Work in flight from the other nodes, as last reported.
    pub others: InFlight,
}

/// Estimate for a request on an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Estimated time to the first token.
    pub time_to_first_token: Duration,
    /// The same if the engine had no other work.
    pub time_without_queue: Duration,
    /// Prompt tokens to be processed before the first token, those of other requests included.
    pub prefill_tokens: u64,
    /// Prompt tokens that are neither cached nor fetched.
    pub uncached_tokens: u32,
    /// Part of `uncached_tokens` that belongs to shared prefixes.
    pub uncached_shared: u32,
    /// Tokens to be fetched from another engine.
    pub fetched_tokens: u32,
    /// Whether the engine has a free slot and enough memory.
    pub has_capacity: bool,
}

impl EngineLoad {
    /// Returns the work in flight from all nodes.
    pub fn total(&self) -> InFlight {
        let mut total = self.own;
        total += self.others;
        total
    }

    /// Returns the length of the longest cached prefix of a prompt, in tokens.
    pub fn cached_tokens(&self, chain: &PrefixChain) -> u32 {
        let is_cached = |link: &&(PrefixHash, u32)| self.cache.contains_key(&link.0);
        chain.links.iter().take_while(is_cached).map(|(_, tokens)| tokens).sum()
    }

    /// Returns the length of the longest prefix of a prompt that other engines can fetch from
    /// this one, in tokens.
    pub fn fetchable_tokens(&self, chain: &PrefixChain, now: Instant) -> u32 {
        let is_fetchable = |link: &&(PrefixHash, u32)| {
            let cached = self.cache.get(&link.0);
            cached.is_some_and(|cached| now.duration_since(cached.since) >= FETCHABLE_AFTER)
        };
        chain.links.iter().take_while(is_fetchable).map(|(_, tokens)| tokens).sum()
    }

    /// Estimates a request on this engine, if a prefix of `fetchable` tokens can be fetched from
    /// another engine.
    pub fn estimate(
        &self,
        chain: &PrefixChain,
        engine: &EngineSpec,
        speed: EngineSpeed,
        fetchable: u32,
        now: Instant,
    ) -> Estimate {
        let own = self.cached_tokens(chain);
        let fetched_tokens = fetchable.saturating_sub(own);
        let cached = own + fetched_tokens;
        let shared: u32 = chain.shared_prefixes().iter().map(|(_, tokens)| tokens).sum();
        let uncached_tokens = chain.input_tokens.saturating_sub(cached);
        let total = self.total();
        let prefill_tokens = total.prefill_tokens.saturating_add(u64::from(uncached_tokens));
        let busy = f64::from(total.requests) / f64::from(engine.slots.max(1)) * BUSY_SHARE;
        let fixed = speed.first_token_ms * (1.0 + busy);
        let ms = speed.prefill_ms(prefill_tokens as f64) + fixed;
        let own_prefill = speed.prefill_ms(f64::from(uncached_tokens));
        let ms_without_queue = own_prefill + speed.first_token_ms;
        let has_capacity =
            total.requests < engine.slots && self.has_memory(chain, engine.memory_tokens, now);
        let fetch = f64::from(fetched_tokens) / engine.transfer_tokens_per_ms.unwrap_or(f64::MAX);
        Estimate {
            time_to_first_token: Duration::from_secs_f64((ms + fetch) / 1000.0),
            time_without_queue: Duration::from_secs_f64((ms_without_queue + fetch) / 1000.0),
            prefill_tokens,
            uncached_tokens,
            uncached_shared: shared.saturating_sub(cached),
            fetched_tokens,
            has_capacity,
        }
    }

    /// Returns whether the engine's memory holds a request beside those in flight.
    ///
    /// Requests that share a prefix occupy it once. Which requests of other nodes do is not known,
    /// but together they occupy no more than all prefixes that were used lately.
    fn has_memory(&self, chain: &PrefixChain, capacity: u64, now: Instant) -> bool {
        let total = self.total();
        if total.memory_tokens.saturating_add(chain.memory_tokens) <= capacity {
            return true;
        }
        let is_in_use = |used: &Instant| now.saturating_duration_since(*used) < PREFIX_USE_TIME;
        let in_use = self.shared_in_use.values().filter(|(_, used)| is_in_use(used));
        let in_use: u64 = in_use.map(|(tokens, _)| u64::from(*tokens)).sum();
        let is_new = |hash| !self.shared_in_use.get(hash).is_some_and(|(_, used)| is_in_use(used));
        let new_prefixes = chain.shared_prefixes().iter().filter(|(hash, _)| is_new(hash));
        let new_prefixes: u64 = new_prefixes.map(|(_, tokens)| u64::from(*tokens)).sum();
        let unshared = total.memory_tokens.saturating_sub(total.shared_tokens);
        let alone = chain.memory_tokens.saturating_sub(chain.shared_tokens());
        let needed = unshared + total.shared_tokens.min(in_use) + alone + new_prefixes;
        needed <= capacity
    }

    /// Adds a request of this node; returns its work for `remove_request`.
    pub fn add_request(&mut self, chain: &PrefixChain, estimate: &Estimate) -> InFlight {
        let work = InFlight {
            requests: 1,
            prefill_tokens: u64::from(estimate.uncached_tokens),
            memory_tokens: chain.memory_tokens,
            shared_tokens: chain.shared_tokens(),
        };
        self.own += work;
        work
    }

    /// Records that the prefill of a request is complete.
    pub fn prefill_done(&mut self, work: &mut InFlight) {
        self.own.prefill_tokens = self.own.prefill_tokens.saturating_sub(work.prefill_tokens);
        work.prefill_tokens = 0;
    }

    /// Removes a request of this node.
    pub fn remove_request(&mut self, work: InFlight) {
        self.own.requests = self.own.requests.saturating_sub(work.requests);
        self.own.prefill_tokens = self.own.prefill_tokens.saturating_sub(work.prefill_tokens);
        self.own.memory_tokens = self.own.memory_tokens.saturating_sub(work.memory_tokens);
        self.own.shared_tokens = self.own.shared_tokens.saturating_sub(work.shared_tokens);
    }

    /// Records prompt prefixes sent to the engine by any node as cached.
    pub fn record_prefixes(
        &mut self,
        links: &[(PrefixHash, u32)],
        memory_tokens: u64,
        now: Instant,
    ) {
        self.record_use(&links[..links.len().saturating_sub(1)], now);
        for &(hash, tokens) in links {
            if let Some(known) = self.cache.get_mut(&hash) {
                known.used = now;
                known.uses = known.uses.saturating_add(1);
                continue;
            }
            self.cache.insert(hash, Cached { tokens, since: now, used: now, uses: 1 });
            self.cached_tokens += u64::from(tokens);
        }
        self.evict(memory_tokens);
    }

    /// Records that a request begins with shared prefixes.
    fn record_use(&mut self, shared: &[(PrefixHash, u32)], now: Instant) {
        if self.shared_in_use.len() >= MAX_SHARED_IN_USE {
            let age = |used: Instant| now.saturating_duration_since(used);
            self.shared_in_use.retain(|_, (_, used)| age(*used) < PREFIX_USE_TIME);
        }
        self.shared_in_use.extend(shared.iter().map(|&(hash, tokens)| (hash, (tokens, now))));
    }

    /// Returns up to `max` prefixes that several requests used, most recently used last.
    pub fn shared_cache(&self, max: usize) -> Vec<(PrefixHash, u32)> {
        let shared = self.cache.iter().filter(|(_, cached)| cached.uses > 1);
        let mut shared: Vec<_> = shared.collect();
        shared.sort_by_key(|(_, cached)| cached.used);
        let surplus = shared.len().saturating_sub(max);
        shared[surplus..].iter().map(|(hash, cached)| (**hash, cached.tokens)).collect()
    }

    /// Evicts the least recently used prefixes until the rest fits the available memory.
    fn evict(&mut self, memory_tokens: u64) {
        let in_flight = self.total().memory_tokens;
        let capacity = memory_tokens.saturating_sub(in_flight / 2) as f64 * CACHE_SHARE;
        while self.cached_tokens as f64 > capacity {
            let oldest = self.cache.iter().min_by_key(|(_, cached)| cached.used);
            let Some((&hash, &Cached { tokens, .. })) = oldest else { return };
            self.cache.remove(&hash);
            self.cached_tokens = self.cached_tokens.saturating_sub(u64::from(tokens));
        }
    }
}
