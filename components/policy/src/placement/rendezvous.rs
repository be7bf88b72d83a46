//! Rendezvous hashing: ranks upstreams by a hash of a key and their identity.

use crate::bits::BitSet;

/// Number of best ranked upstreams returned for a key.
pub(crate) const RANKED_POSITIONS: usize = 3;

/// Number of groups into which the upstreams of a service are divided.
const GROUP_COUNT: usize = 64;

/// Maximum number of eligible upstreams that are all ranked.
///
/// Above it, only the members of the best ranked groups are ranked.
const MAX_SCANNED: usize = 512;

/// Odd multiplier of the hash that combines a key with an upstream's seed.
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Best ranked positions for a key, best first.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RankedPositions {
    best: [(u64, usize); RANKED_POSITIONS],
    len: usize,
}

impl RankedPositions {
    fn insert(&mut self, rank: u64, position: usize) {
        if self.len == RANKED_POSITIONS && rank <= self.best[RANKED_POSITIONS - 1].0 {
            return;
        }
        let at = self.best[..self.len].iter().position(|(r, _)| rank > *r).unwrap_or(self.len);
        self.len = (self.len + 1).min(RANKED_POSITIONS);
        self.best[at..self.len].rotate_right(1);
        self.best[at] = (rank, position);
    }

    /// Returns the positions, best first.
    pub(crate) fn positions(&self) -> impl Iterator<Item = usize> {
        self.best[..self.len].iter().map(|(_, position)| *position)
    }
}

/// A member of a group.
#[derive(Debug, Clone, Copy)]
struct Member {
    seed: u64,
    position: u32,
}

/// The upstreams of one service, grouped by seed.
///
/// Choosing a group first avoids ranking every upstream of a large service.
#[derive(Debug)]
pub(crate) struct Groups(Vec<Vec<Member>>);

impl Default for Groups {
    fn default() -> Groups {
        Groups(vec![Vec::new(); GROUP_COUNT])
    }
}

impl Groups {
    /// Adds an upstream.
    pub(crate) fn insert(&mut self, seed: u64, position: usize) {
        self.group(seed).push(Member { seed, position: position as u32 });
    }

    /// Removes the upstream at a position and moves the one with `last_seed` at `last` there.
    pub(crate) fn swap_remove(
        &mut self,
        (seed, position): (u64, usize),
        (last_seed, last): (u64, usize),
    ) {
        self.group(seed).retain(|member| member.position as usize != position);
        for member in self.group(last_seed) {
            if member.position as usize == last {
                member.position = position as u32;
            }
        }
    }

    /// Returns the memory used by the groups, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.0.iter().map(|group| group.capacity() * size_of::<Member>()).sum()
    }

    fn group(&mut self, seed: u64) -> &mut Vec<Member> {
        &mut self.0[seed as usize % GROUP_COUNT]
    }

    /// Returns the best ranked eligible position in each of the best ranked groups for a key.
    fn top_ranked(&self, key: u64, eligible: &BitSet) -> RankedPositions {
        let mut groups = RankedPositions::default();
        for group in 0..GROUP_COUNT {
            groups.insert(rank(key, xxhash_rust::xxh3::xxh3_64(&[group as u8])), group);
        }
        let mut order = RankedPositions::default();
        for (place, group) in groups.positions().enumerate() {
            let members = self.0[group].iter();
            let members = members.filter(|member| eligible.get(member.position as usize));
            let best = members.max_by_key(|member| rank(key, member.seed));
            if let Some(best) = best {
                order.insert(u64::MAX - place as u64, best.position as usize);
            }
        }
        order
    }
}

/// Returns the best ranked eligible positions for `key`.
///
/// `weight` returns the weight of a position; `None` if all weights are equal.
pub(crate) fn top_ranked(
    key: u64,
    seeds: &[u64],
    groups: &Groups,
    eligible: &BitSet,
    weight: Option<&dyn Fn(usize) -> f64>,
) -> RankedPositions {
    let is_large = eligible.count() > MAX_SCANNED;
    if weight.is_none() && is_large {
        return groups.top_ranked(key, eligible);
    }
    let mut order = RankedPositions::default();
    for position in eligible.iter() {
        let rank = rank(key, seeds[position]);
        let rank = weight.map_or(rank, |weight| weighted_rank(rank, weight(position)));
        order.insert(rank, position);
    }
    order
}

fn rank(key: u64, seed: u64) -> u64 {
    let wide = u128::from(key ^ seed) * u128::from(HASH_MULTIPLIER);
    let folded = (wide >> 64) as u64 ^ wide as u64;
    folded.wrapping_mul(HASH_MULTIPLIER).rotate_left(32) ^ folded
}

/// Maps a uniform rank to one that is the highest with a probability proportional to the weight.
fn weighted_rank(rank: u64, weight: f64) -> u64 {
    if weight <= 0.0 {
        return 0;
    }
    let uniform = (rank as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    (uniform.powf(1.0 / weight) * u64::MAX as f64) as u64
}

#[cfg(test)]
mod tests {
    use super::*;

    struct Setup {
        seeds: Vec<u64>,
        groups: Groups,
        eligible: BitSet,
    }

    fn setup(n: usize) -> Setup {
        let seeds: Vec<u64> =
            (0..n as u64).map(|i| xxhash_rust::xxh3::xxh3_64(&i.to_le_bytes())).collect();
        let (mut eligible, mut groups) = (BitSet::default(), Groups::default());
        for (i, seed) in seeds.iter().enumerate() {
            eligible.set(i, true);
            groups.insert(*seed, i);
        }
        Setup { seeds, groups, eligible }
    }

    fn order(key: u64, setup: &Setup, weight: Option<&dyn Fn(usize) -> f64>) -> RankedPositions {
        let key = xxhash_rust::xxh3::xxh3_64(&key.to_le_bytes());
        top_ranked(key, &setup.seeds, &setup.groups, &setup.eligible, weight)
    }

    fn best(key: u64, setup: &Setup) -> usize {
        order(key, setup, None).positions().next().unwrap()
    }

    #[test]
    fn top_ranked_even() {
        let setup = setup(100);
        let mut hits = vec![0; 100];
        (0..100_000).for_each(|key| hits[best(key, &setup)] += 1);
        assert!(hits.iter().all(|n| (850..1150).contains(n)), "{hits:?}");
    }

    #[test]
    fn top_ranked_large_service_near_even() {
        let setup = setup(2000);
        let mut hits = vec![0; 2000];
        (0..200_000).for_each(|key| hits[best(key, &setup)] += 1);
        assert!(hits.iter().all(|n| (30..250).contains(n)), "{hits:?}");
        let distinct: std::collections::HashSet<usize> =
            order(1, &setup, None).positions().collect();
        assert_eq!(distinct.len(), RANKED_POSITIONS);
    }

    #[test]
    fn top_ranked_removed_upstream_moves_only_its_keys() {
        for n in [100, 2000] {
            let mut setup = setup(n);
            let before: Vec<_> = (0..10_000).map(|key| best(key, &setup)).collect();
            setup.eligible.set(17, false);
            for (key, old) in before.into_iter().enumerate() {
                let new = best(key as u64, &setup);
                assert!(old == 17 || new == old);
            }
        }
    }

    #[test]
    fn groups_swap_remove_keeps_other_ranks() {
        let mut setup = setup(2000);
        let before: Vec<_> = (0..1000).map(|key| best(key, &setup)).collect();
        setup.groups.swap_remove((setup.seeds[17], 17), (setup.seeds[1999], 1999));
        setup.seeds.swap_remove(17);
        setup.eligible.set(1999, false);
        for (key, old) in before.into_iter().enumerate() {
            let new = best(key as u64, &setup);
            let moved = old == 1999 && new == 17;
            assert!(old == 17 || moved || new == old);
        }
    }

    #[test]
    fn top_ranked_proportional_to_weight() {
        let setup = setup(10);
        let weight = |position| if position == 0 { 0.5 } else { 1.0 };
        let hits = (0..100_000)
            .filter(|key| order(*key, &setup, Some(&weight)).positions().next() == Some(0));
        let share = hits.count() as f64 / 100_000.0;
        assert!((share - 0.5 / 9.5).abs() < 0.005, "{share}");
    }
}
