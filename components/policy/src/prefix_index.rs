//! Estimates which upstreams have which prompt prefixes cached.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, Hasher},
};

use crate::{BlockHash, prefix::BLOCK_TOKENS};

/// Maximum number of upstreams recorded per block.
const MAX_HOLDERS: usize = 3;

/// Minimum number of distinct next blocks of a shared prefix.
const MIN_SHARED_CHILDREN: u32 = 4;

/// Minimum number of uses of a block in a shared prefix.
const MIN_SHARED_USES: u32 = 4;

/// Minimum uses of a shared prefix relative to the mean number of prompts per upstream.
const SHARED_LOAD_FACTOR: f64 = 0.5;

/// Number of prompts after which the use counts are halved.
const HALVING_PROMPTS: u32 = 8192;

/// Maximum number of blocks in each of the two generations.
const GENERATION_BLOCKS: usize = 57_344;

/// Block lifetime in multiples of the cache size if the engine reports evictions.
///
/// Requests of other nodes can keep a block in the cache without causing an event, so blocks
/// outlive one turnover of the cache.
const LIFETIME_WITH_EVENTS: u64 = 8;

/// Tokens per unit of a cache clock.
const CLOCK_UNIT: u64 = 64;

/// Hasher that returns its input, for keys that are uniform hashes.
#[derive(Debug, Default, Clone)]
struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 << 8) | u64::from(*byte);
        }
    }

    fn write_u64(&mut self, n: u64) {
        self.0 = n;
    }
}

type Blocks = HashMap<BlockHash, Entry, BuildHasherDefault<IdentityHasher>>;

/// Prefix cache of one upstream, modelled as a clock that counts stored tokens.
///
/// Engines evict the least recently used blocks, so a block stays cached until as many tokens as
/// fit have been stored after it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CacheClock {
    /// Changes when the cache is cleared or the slot is reused, which invalidates older entries.
    pub(crate) epoch: u32,
    stored_tokens: u64,
    total_tokens: u64,
    /// Whether the engine reports evicted blocks.
    reports_evictions: bool,
}

impl CacheClock {
    /// Creates the clock of an empty cache.
    pub(crate) fn new(epoch: u32, total_tokens: u64) -> CacheClock {
        CacheClock { epoch, stored_tokens: 0, total_tokens, reports_evictions: false }
    }

    /// Records that the engine reports evicted blocks.
    pub(crate) fn set_reports_evictions(&mut self) {
        self.reports_evictions = true;
    }

    /// Advances the clock by tokens stored in the cache.
    pub(crate) fn advance(&mut self, tokens: u64) {
        self.stored_tokens += tokens;
    }

    /// Advances the clock by `1 / divisor` of the cache size, to account for missed events.
    pub(crate) fn advance_fraction(&mut self, divisor: u64) {
        self.stored_tokens += self.total_tokens / divisor;
    }

    /// Sets the cache size in tokens.
    pub(crate) fn set_total(&mut self, tokens: u64) {
        self.total_tokens = tokens;
    }

    /// Returns the cache size in tokens.
    pub(crate) fn total_tokens(&self) -> u64 {
        self.total_tokens
    }

    fn stamp(&self) -> u32 {
        (self.stored_tokens / CLOCK_UNIT) as u32
    }

    /// Returns whether a block of a holder is still expected in the cache.
    fn has_cached(&self, holder: &Holder) -> bool {
        let age = u64::from(self.stamp().wrapping_sub(holder.stamp)) * CLOCK_UNIT;
        let lifetime =
            if self.reports_evictions { LIFETIME_WITH_EVENTS } else { 1 } * self.total_tokens;
        holder.epoch == self.epoch && age < lifetime
    }
}

/// An upstream that stored a block or was sent a prompt with it.
#[derive(Debug, Clone, Copy)]
struct Holder {
    slot: u32,
    epoch: u32,
    /// Cache clock at the last use of the block.
    stamp: u32,
}

const NO_HOLDER: Holder = Holder { slot: u32::MAX, epoch: 0, stamp: 0 };

#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Upstreams that are expected to have the block cached, most recent first.
    holders: [Holder; MAX_HOLDERS],
    /// Bitmap of the next blocks seen, indexed by the low 6 bits of their hashes.
    children: u64,
    /// Number of prompts that contained this block, halved periodically.
    uses: u16,
    /// Number of halvings applied to `uses`, modulo 65536.
    halvings: u16,
}

impl Default for Entry {
    fn default() -> Entry {
        Entry { holders: [NO_HOLDER; MAX_HOLDERS], children: 0, uses: 0, halvings: 0 }
    }
}

impl Entry {
    fn uses(&self, halvings: u16) -> u32 {
        let behind = u32::from(halvings.wrapping_sub(self.halvings));
        u32::from(self.uses).checked_shr(behind).unwrap_or(0)
    }

    fn increment_uses(&mut self, halvings: u16) {
        self.uses = self.uses(halvings).saturating_add(1).min(u32::from(u16::MAX)) as u16;
        self.halvings = halvings;
    }

    fn touch(&mut self, slot: u32, clock: &CacheClock) {
        let at = self.holders.iter().position(|holder| holder.slot == slot);
        let at = at.unwrap_or(MAX_HOLDERS - 1);
        self.holders[..=at].rotate_right(1);
        self.holders[0] = Holder { slot, epoch: clock.epoch, stamp: clock.stamp() };
    }

    fn remove_holder(&mut self, slot: u32) {
        for holder in &mut self.holders {
            if holder.slot == slot {
                *holder = NO_HOLDER;
            }
        }
    }
}

/// An upstream that may have a prefix of a prompt cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Match {
    pub(crate) slot: u32,
    pub(crate) blocks: usize,
}

/// Number of scored positions reserved for upstreams found by a prefix lookup.
pub(crate) const MAX_MATCHES: usize = 8;

/// Bounded index from prompt blocks to the upstreams that have them cached.
///
/// Keeps two generations of blocks. A used block moves to the young generation. When that is full,
/// it replaces the old generation, whose blocks are discarded. The size does not depend on the
/// number of upstreams.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    young: Blocks,
    old: Blocks,
    prompts: u32,
    halvings: u16,
}

impl PrefixIndex {
    /// Records that a prompt was sent to a slot.
    pub(crate) fn record_prompt(&mut self, prefix: &[BlockHash], slot: u32, clock: &CacheClock) {
        self.count_prompt();
        let halvings = self.halvings;
        for (i, block) in prefix.iter().enumerate() {
            let entry = self.entry(*block);
            entry.touch(slot, clock);
            entry.increment_uses(halvings);
            if let Some(next) = prefix.get(i + 1) {
                entry.children |= 1 << (next.0 & 63);
            }
        }
    }

    /// Records that a slot stored a block.
    pub(crate) fn record_stored(&mut self, block: BlockHash, slot: u32, clock: &CacheClock) {
        self.entry(block).touch(slot, clock);
    }

    /// Records that a slot evicted a block.
    pub(crate) fn record_evicted(&mut self, block: BlockHash, slot: u32) {
        for generation in [&mut self.young, &mut self.old] {
            if let Some(entry) = generation.get_mut(&block) {
                entry.remove_holder(slot);
            }
        }
    }

    /// Returns the block whose hash selects one of `upstreams` upstreams for a prompt.
    ///
    /// That is the first block, unless it belongs to a prefix that many different prompts share
    /// and whose load exceeds one upstream's share. Then it is the block after that prefix.
    pub(crate) fn affinity_key(&self, prefix: &[BlockHash], upstreams: usize) -> Option<BlockHash> {
        let mean_prompts = f64::from(self.prompts) / upstreams.max(1) as f64;
        let min_uses = MIN_SHARED_USES.max((SHARED_LOAD_FACTOR * mean_prompts) as u32);
        let mut key = prefix.first()?;
        for (i, block) in prefix.iter().enumerate() {
            let Some(entry) = self.get(*block).filter(|e| e.uses(self.halvings) >= min_uses) else {
                break;
            };
            if entry.children.count_ones() >= MIN_SHARED_CHILDREN {
                key = prefix.get(i + 1).unwrap_or(block);
            }
        }
        Some(*key)
    }

    /// Calls `f` with slots that may have a prefix of the prompt cached, the longest one first.
    ///
    /// Looks up few of the blocks: the deepest indexed one, then repeatedly half its depth.
    pub(crate) fn for_each_match(&self, prefix: &[BlockHash], mut f: impl FnMut(Match)) {
        let mut depth = self.indexed_blocks(prefix);
        while depth > 0 {
            if let Some(entry) = self.get(prefix[depth - 1]) {
                for holder in entry.holders.iter().filter(|holder| holder.slot != u32::MAX) {
                    f(Match { slot: holder.slot, blocks: depth });
                }
            }
            depth /= 2;
        }
    }

    /// Returns the number of prompt tokens that a slot is expected to have cached.
    pub(crate) fn cached_tokens(&self, prefix: &[BlockHash], slot: u32, clock: &CacheClock) -> u64 {
        self.cached_blocks(prefix, slot, clock) as u64 * BLOCK_TOKENS
    }

    /// Returns the number of prompt blocks that a slot is expected to have cached, by bisection.
    fn cached_blocks(&self, prefix: &[BlockHash], slot: u32, clock: &CacheClock) -> usize {
        let is_cached = |block: &BlockHash| {
            self.get(*block).is_some_and(|entry| {
                entry.holders.iter().any(|holder| holder.slot == slot && clock.has_cached(holder))
            })
        };
        let deepest = prefix.partition_point(is_cached);
        // A frequent block may no longer list this slot among its holders, so deeper blocks are
        // checked too.
        if deepest > 0 || prefix.is_empty() {
            return deepest;
        }
        let mut depth = self.indexed_blocks(prefix);
        while depth > 0 && !is_cached(&prefix[depth - 1]) {
            depth /= 2;
        }
        depth
    }

    /// Returns the memory used by the index, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let of = |blocks: &Blocks| blocks.capacity() * (size_of::<(BlockHash, Entry)>() + 1);
        of(&self.young) + of(&self.old)
    }

    fn count_prompt(&mut self) {
        self.prompts += 1;
        if self.prompts >= HALVING_PROMPTS {
            self.prompts /= 2;
            self.halvings = self.halvings.wrapping_add(1);
        }
    }

    /// Returns the number of leading blocks that are in the index.
    fn indexed_blocks(&self, prefix: &[BlockHash]) -> usize {
        prefix.partition_point(|block| self.get(*block).is_some())
    }

    fn get(&self, block: BlockHash) -> Option<&Entry> {
        self.young.get(&block).or_else(|| self.old.get(&block))
    }

    fn entry(&mut self, block: BlockHash) -> &mut Entry {
        if self.young.len() >= GENERATION_BLOCKS && !self.young.contains_key(&block) {
            std::mem::swap(&mut self.young, &mut self.old);
            self.young.clear();
        }
        let old = &mut self.old;
        self.young.entry(block).or_insert_with(|| old.remove(&block).unwrap_or_default())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn chain(seed: u64, len: u64) -> Vec<BlockHash> {
        (0..len).map(|i| BlockHash((seed * 1000 + i).wrapping_mul(0x9E37_79B9_7F4A_7C15))).collect()
    }

    #[test]
    fn cached_tokens_longest_prefix() {
        let mut index = PrefixIndex::default();
        let clock = CacheClock::new(1, 100_000);
        let prompt = chain(1, 20);
        index.record_prompt(&prompt[..7], 3, &clock);
        assert_eq!(index.cached_tokens(&prompt, 3, &clock), 7 * BLOCK_TOKENS);
        assert_eq!(index.cached_tokens(&prompt, 4, &clock), 0);
    }

    #[test]
    fn cached_tokens_expire_as_cache_fills() {
        let mut index = PrefixIndex::default();
        let mut clock = CacheClock::new(1, 10_000);
        let prompt = chain(1, 4);
        index.record_prompt(&prompt, 3, &clock);
        clock.advance(9_000);
        assert!(index.cached_tokens(&prompt, 3, &clock) > 0);
        clock.advance(2_000);
        assert_eq!(index.cached_tokens(&prompt, 3, &clock), 0);
    }

    #[test]
    fn cached_tokens_invalid_in_other_epoch() {
        let mut index = PrefixIndex::default();
        let clock = CacheClock::new(1, 10_000);
        let prompt = chain(1, 4);
        index.record_prompt(&prompt, 3, &clock);
        assert_eq!(index.cached_tokens(&prompt, 3, &CacheClock::new(2, 10_000)), 0);
    }

    #[test]
    fn record_evicted_shortens_cached_prefix() {
        let mut index = PrefixIndex::default();
        let clock = CacheClock::new(1, 100_000);
        let prompt = chain(1, 8);
        index.record_prompt(&prompt, 3, &clock);
        index.record_evicted(prompt[5], 3);
        index.record_evicted(prompt[6], 3);
        index.record_evicted(prompt[7], 3);
        assert_eq!(index.cached_tokens(&prompt, 3, &clock), 5 * BLOCK_TOKENS);
    }

    #[test]
    fn affinity_key_after_shared_prefix() {
        let mut index = PrefixIndex::default();
        let clock = CacheClock::new(1, 1_000_000);
        let shared = chain(1, 3);
        let prompts: Vec<Vec<BlockHash>> =
            (10..40).map(|seed| shared.iter().copied().chain(chain(seed, 5)).collect()).collect();
        assert_eq!(index.affinity_key(&prompts[0], 9), Some(shared[0]));
        for prompt in &prompts {
            index.record_prompt(prompt, 3, &clock);
        }
        assert_eq!(index.affinity_key(&prompts[0], 9), Some(prompts[0][3]));
        assert_eq!(index.affinity_key(&[], 9), None);
    }

    #[test]
    fn affinity_key_long_history_is_first_block() {
        let mut index = PrefixIndex::default();
        let clock = CacheClock::new(1, 1_000_000);
        let histories: Vec<_> = (0..40).map(|seed| chain(seed, 20)).collect();
        for question in 0..10 {
            for history in &histories {
                let tail = chain(1000 + question, 2);
                let prompt: Vec<_> = history.iter().copied().chain(tail).collect();
                index.record_prompt(&prompt, 3, &clock);
            }
        }
        assert_eq!(index.affinity_key(&histories[7], 9), Some(histories[7][0]));
    }

    #[test]
    fn entry_count_is_bounded() {
        let mut index = PrefixIndex::default();
        let clock = CacheClock::new(1, 1_000_000);
        for seed in 0..40_000 {
            index.record_prompt(&chain(seed, 8), 3, &clock);
        }
        assert!(index.young.len() + index.old.len() <= 2 * GENERATION_BLOCKS);
    }
}
