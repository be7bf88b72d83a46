//! Which upstreams hold which prefixes: a guess that decays.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, Hasher},
};

use crate::{BlockHash, prefix::BLOCK_TOKENS};

/// Upstreams that are remembered for one block.
const HOLDERS: usize = 3;

/// Distinct next blocks from which a block is taken for a shared beginning.
const SHARED_CHILDREN: u32 = 4;

/// Uses of a block below which it is not taken for a shared beginning.
const SHARED_USES: u32 = 4;

/// Share of one upstream's fair part of the prompts from which a beginning is shared.
const SHARED_PART: f64 = 0.5;

/// Prompts after which uses count half.
const HALVING_PROMPTS: u32 = 8192;

/// Blocks that are remembered in each of two generations.
const GENERATION_BLOCKS: usize = 57_344;

/// Sizes of a cache after which a block counts as dropped though no event said so.
///
/// Other nodes' use of a block keeps it in the cache and causes no event.
const TOLD_LIFETIMES: u64 = 8;

/// Tokens in one unit of a cache's clock.
const CLOCK_UNIT: u64 = 64;

/// Passes hashes through that are uniform already.
#[derive(Debug, Default, Clone)]
struct PassHasher(u64);

impl Hasher for PassHasher {
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

type Blocks = HashMap<BlockHash, Entry, BuildHasherDefault<PassHasher>>;

/// Cache of one upstream, as its own clock of stored tokens.
///
/// An engine drops what was used longest ago, so a block is there as long as
/// fewer tokens were stored after it than fit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CacheClock {
    /// Number of this upstream's stay in its slot, and of its cache clearings.
    pub(crate) epoch: u32,
    stored_tokens: u64,
    total_tokens: u64,
    /// Whether the engine tells which blocks it drops.
    is_told: bool,
}

impl CacheClock {
    /// Creates the clock of an empty cache.
    pub(crate) fn new(epoch: u32, total_tokens: u64) -> CacheClock {
        CacheClock { epoch, stored_tokens: 0, total_tokens, is_told: false }
    }

    /// Notes that the engine tells which blocks it drops.
    pub(crate) fn set_told(&mut self) {
        self.is_told = true;
    }

    /// Counts tokens that entered the cache.
    pub(crate) fn advance(&mut self, tokens: u64) {
        self.stored_tokens += tokens;
    }

    /// Ages the cache by a part of its size, for events that were missed.
    pub(crate) fn advance_part(&mut self, part: u64) {
        self.stored_tokens += self.total_tokens / part;
    }

    /// Sets the tokens that fit.
    pub(crate) fn set_total(&mut self, tokens: u64) {
        self.total_tokens = tokens;
    }

    /// Returns the tokens that fit.
    pub(crate) fn total_tokens(&self) -> u64 {
        self.total_tokens
    }

    fn stamp(&self) -> u32 {
        (self.stored_tokens / CLOCK_UNIT) as u32
    }

    fn holds(&self, holder: &Holder) -> bool {
        let age = u64::from(self.stamp().wrapping_sub(holder.stamp)) * CLOCK_UNIT;
        let lifetime = if self.is_told { TOLD_LIFETIMES } else { 1 } * self.total_tokens;
        holder.epoch == self.epoch && age < lifetime
    }
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    slot: u32,
    epoch: u32,
    stamp: u32,
}

const NO_HOLDER: Holder = Holder { slot: u32::MAX, epoch: 0, stamp: 0 };

#[derive(Debug, Clone, Copy)]
struct Entry {
    holders: [Holder; HOLDERS],
    /// One bit for each sixty-fourth of the hashes of next blocks.
    children: u64,
    /// Prompts that began with this block, halved from time to time.
    uses: u16,
    /// Number of halvings that `uses` has seen, modulo 65536.
    halvings: u16,
}

impl Default for Entry {
    fn default() -> Entry {
        Entry { holders: [NO_HOLDER; HOLDERS], children: 0, uses: 0, halvings: 0 }
    }
}

impl Entry {
    fn uses(&self, halvings: u16) -> u32 {
        let behind = u32::from(halvings.wrapping_sub(self.halvings));
        u32::from(self.uses).checked_shr(behind).unwrap_or(0)
    }

    fn use_once(&mut self, halvings: u16) {
        self.uses = self.uses(halvings).saturating_add(1).min(u32::from(u16::MAX)) as u16;
        self.halvings = halvings;
    }

    fn touch(&mut self, slot: u32, clock: &CacheClock) {
        let at = self.holders.iter().position(|holder| holder.slot == slot);
        let at = at.unwrap_or(HOLDERS - 1);
        self.holders[..=at].rotate_right(1);
        self.holders[0] = Holder { slot, epoch: clock.epoch, stamp: clock.stamp() };
    }

    fn forget(&mut self, slot: u32) {
        for holder in &mut self.holders {
            if holder.slot == slot {
                *holder = NO_HOLDER;
            }
        }
    }
}

/// An upstream that holds a part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Match {
    pub(crate) slot: u32,
    pub(crate) blocks: usize,
}

/// Most upstreams that a look-up returns.
pub(crate) const MAX_MATCHES: usize = 8;

/// Bounded memory of the blocks that upstreams hold.
///
/// Holds two generations of blocks; the older one is dropped when the younger
/// is full, and a block that is used moves to the younger one. Its size does
/// not depend on the number of upstreams.
#[derive(Debug, Default)]
pub(crate) struct PrefixMemory {
    young: Blocks,
    old: Blocks,
    prompts: u32,
    halvings: u16,
}

impl PrefixMemory {
    /// Remembers that a prompt was sent to a slot.
    pub(crate) fn sent(&mut self, prefix: &[BlockHash], slot: u32, clock: &CacheClock) {
        self.count_prompt();
        let halvings = self.halvings;
        for (i, block) in prefix.iter().enumerate() {
            let entry = self.entry(*block);
            entry.touch(slot, clock);
            entry.use_once(halvings);
            if let Some(next) = prefix.get(i + 1) {
                entry.children |= 1 << (next.0 & 63);
            }
        }
    }

    /// Remembers that a slot stored a block.
    pub(crate) fn stored(&mut self, block: BlockHash, slot: u32, clock: &CacheClock) {
        self.entry(block).touch(slot, clock);
    }

    /// Remembers that a slot dropped a block.
    pub(crate) fn removed(&mut self, block: BlockHash, slot: u32) {
        for generation in [&mut self.young, &mut self.old] {
            if let Some(entry) = generation.get_mut(&block) {
                entry.forget(slot);
            }
        }
    }

    /// Returns the block by which a prompt keeps to one of `upstreams` upstreams.
    ///
    /// That is the first block, unless it belongs to a beginning that many
    /// different prompts share and that is more than one upstream can take;
    /// then it is the block after that beginning.
    pub(crate) fn affinity_key(&self, prefix: &[BlockHash], upstreams: usize) -> Option<BlockHash> {
        let fair_uses = f64::from(self.prompts) / upstreams.max(1) as f64;
        let min_uses = SHARED_USES.max((SHARED_PART * fair_uses) as u32);
        let mut key = prefix.first()?;
        for (i, block) in prefix.iter().enumerate() {
            let Some(entry) = self.get(*block).filter(|e| e.uses(self.halvings) >= min_uses) else {
                break;
            };
            if entry.children.count_ones() >= SHARED_CHILDREN {
                key = prefix.get(i + 1).unwrap_or(block);
            }
        }
        Some(*key)
    }

    /// Calls `found` with slots and how many blocks of the prompt they hold, the longest first.
    ///
    /// Looks at few of the blocks: the deepest known, and halves of its depth.
    pub(crate) fn matches(&self, prefix: &[BlockHash], mut found: impl FnMut(Match)) {
        let mut depth = self.known_blocks(prefix);
        while depth > 0 {
            if let Some(entry) = self.get(prefix[depth - 1]) {
                for holder in entry.holders.iter().filter(|holder| holder.slot != u32::MAX) {
                    found(Match { slot: holder.slot, blocks: depth });
                }
            }
            depth /= 2;
        }
    }

    /// Returns how many tokens of a prompt a slot holds.
    pub(crate) fn held_tokens(&self, prefix: &[BlockHash], slot: u32, clock: &CacheClock) -> u64 {
        self.held_blocks(prefix, slot, clock) as u64 * BLOCK_TOKENS
    }

    /// Returns how many blocks of a prompt a slot holds, found by halving.
    fn held_blocks(&self, prefix: &[BlockHash], slot: u32, clock: &CacheClock) -> usize {
        let holds = |block: &BlockHash| {
            self.get(*block).is_some_and(|entry| {
                entry.holders.iter().any(|holder| holder.slot == slot && clock.holds(holder))
            })
        };
        let deepest = prefix.partition_point(holds);
        // A popular block may have forgotten an early holder: look above it too.
        if deepest > 0 || prefix.is_empty() {
            return deepest;
        }
        let known = self.known_blocks(prefix);
        let mut depth = known;
        while depth > 0 && !holds(&prefix[depth - 1]) {
            depth /= 2;
        }
        depth
    }

    /// Returns the bytes of all remembered blocks.
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

    fn known_blocks(&self, prefix: &[BlockHash]) -> usize {
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
    fn held_tokens_longest_prefix() {
        let mut memory = PrefixMemory::default();
        let clock = CacheClock::new(1, 100_000);
        let prompt = chain(1, 20);
        memory.sent(&prompt[..7], 3, &clock);
        assert_eq!(memory.held_tokens(&prompt, 3, &clock), 7 * BLOCK_TOKENS);
        assert_eq!(memory.held_tokens(&prompt, 4, &clock), 0);
    }

    #[test]
    fn held_tokens_decay_as_cache_fills() {
        let mut memory = PrefixMemory::default();
        let mut clock = CacheClock::new(1, 10_000);
        let prompt = chain(1, 4);
        memory.sent(&prompt, 3, &clock);
        clock.advance(9_000);
        assert!(memory.held_tokens(&prompt, 3, &clock) > 0);
        clock.advance(2_000);
        assert_eq!(memory.held_tokens(&prompt, 3, &clock), 0);
    }

    #[test]
    fn held_tokens_forgotten_with_epoch() {
        let mut memory = PrefixMemory::default();
        let clock = CacheClock::new(1, 10_000);
        let prompt = chain(1, 4);
        memory.sent(&prompt, 3, &clock);
        assert_eq!(memory.held_tokens(&prompt, 3, &CacheClock::new(2, 10_000)), 0);
    }

    #[test]
    fn removed_shortens() {
        let mut memory = PrefixMemory::default();
        let clock = CacheClock::new(1, 100_000);
        let prompt = chain(1, 8);
        memory.sent(&prompt, 3, &clock);
        memory.removed(prompt[5], 3);
        memory.removed(prompt[6], 3);
        memory.removed(prompt[7], 3);
        assert_eq!(memory.held_tokens(&prompt, 3, &clock), 5 * BLOCK_TOKENS);
    }

    #[test]
    fn affinity_key_after_shared_beginning() {
        let mut memory = PrefixMemory::default();
        let clock = CacheClock::new(1, 1_000_000);
        let shared = chain(1, 3);
        let prompts: Vec<Vec<BlockHash>> =
            (10..40).map(|seed| shared.iter().copied().chain(chain(seed, 5)).collect()).collect();
        assert_eq!(memory.affinity_key(&prompts[0], 9), Some(shared[0]));
        for prompt in &prompts {
            memory.sent(prompt, 3, &clock);
        }
        assert_eq!(memory.affinity_key(&prompts[0], 9), Some(prompts[0][3]));
        assert_eq!(memory.affinity_key(&[], 9), None);
    }

    #[test]
    fn affinity_key_long_history_stays_whole() {
        let mut memory = PrefixMemory::default();
        let clock = CacheClock::new(1, 1_000_000);
        let histories: Vec<_> = (0..40).map(|seed| chain(seed, 20)).collect();
        for question in 0..10 {
            for history in &histories {
                let tail = chain(1000 + question, 2);
                let prompt: Vec<_> = history.iter().copied().chain(tail).collect();
                memory.sent(&prompt, 3, &clock);
            }
        }
        assert_eq!(memory.affinity_key(&histories[7], 9), Some(histories[7][0]));
    }

    #[test]
    fn entry_size_is_bounded() {
        let mut memory = PrefixMemory::default();
        let clock = CacheClock::new(1, 1_000_000);
        for seed in 0..40_000 {
            memory.sent(&chain(seed, 8), 3, &clock);
        }
        assert!(memory.young.len() + memory.old.len() <= 2 * GENERATION_BLOCKS);
    }
}
