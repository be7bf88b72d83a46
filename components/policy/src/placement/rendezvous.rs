//! Rendezvous hashing: the order of upstreams that a key gives.

use crate::bits::BitSet;

/// Upstreams of the order that are looked at.
pub(crate) const CHOICES: usize = 3;

/// Groups of the upstreams of one service.
const GROUPS: usize = 64;

/// Most eligible upstreams that are all ranked; beyond, only some groups are.
const MAX_SCANNED: usize = 512;

/// Odd multiplier that mixes a key with an upstream's seed.
const MIX: u64 = 0x9E37_79B9_7F4A_7C15;

/// The first positions of a key's order, best first.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Order {
    best: [(u64, usize); CHOICES],
    len: usize,
}

impl Order {
    fn offer(&mut self, rank: u64, position: usize) {
        if self.len == CHOICES && rank <= self.best[CHOICES - 1].0 {
            return;
        }
        let at = self.best[..self.len].iter().position(|(r, _)| rank > *r).unwrap_or(self.len);
        self.len = (self.len + 1).min(CHOICES);
        self.best[at..self.len].rotate_right(1);
        self.best[at] = (rank, position);
    }

    /// Returns the positions, best first.
    pub(crate) fn positions(&self) -> impl Iterator<Item = usize> {
        self.best[..self.len].iter().map(|(_, position)| *position)
    }
}

/// An upstream in its group.
#[derive(Debug, Clone, Copy)]
struct Member {
    seed: u64,
    position: u32,
}

/// The upstreams of one service in groups by their seeds, so that a large
/// service need not be scanned as a whole.
#[derive(Debug)]
pub(crate) struct Groups(Vec<Vec<Member>>);

impl Default for Groups {
    fn default() -> Groups {
        Groups(vec![Vec::new(); GROUPS])
    }
}

impl Groups {
    /// Takes an upstream in.
    pub(crate) fn put(&mut self, seed: u64, position: usize) {
        self.group(seed).push(Member { seed, position: position as u32 });
    }

    /// Removes the upstream at a position; the one with `last_seed` at `last` takes its place.
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

    /// Returns the bytes of the groups.
    pub(crate) fn bytes(&self) -> usize {
        self.0.iter().map(|group| group.capacity() * size_of::<Member>()).sum()
    }

    fn group(&mut self, seed: u64) -> &mut Vec<Member> {
        &mut self.0[seed as usize % GROUPS]
    }

    /// Returns the first eligible position in each of the first groups of a key's order.
    fn first_choices(&self, key: u64, eligible: &BitSet) -> Order {
        let mut groups = Order::default();
        for group in 0..GROUPS {
            groups.offer(rank(key, xxhash_rust::xxh3::xxh3_64(&[group as u8])), group);
        }
        let mut order = Order::default();
        for (place, group) in groups.positions().enumerate() {
            let members = self.0[group].iter();
            let members = members.filter(|member| eligible.get(member.position as usize));
            let best = members.max_by_key(|member| rank(key, member.seed));
            if let Some(best) = best {
                order.offer(u64::MAX - place as u64, best.position as usize);
            }
        }
        order
    }
}

/// Returns the first of the eligible positions in the order of `key`.
///
/// `weight` gives the factor on a position's share, if any differ.
pub(crate) fn first_choices(
    key: u64,
    seeds: &[u64],
    groups: &Groups,
    eligible: &BitSet,
    weight: Option<&dyn Fn(usize) -> f64>,
) -> Order {
    let is_large = eligible.count() > MAX_SCANNED;
    if weight.is_none() && is_large {
        return groups.first_choices(key, eligible);
    }
    let mut order = Order::default();
    for position in eligible.iter() {
        let rank = rank(key, seeds[position]);
        let rank = weight.map_or(rank, |weight| weighted(rank, weight(position)));
        order.offer(rank, position);
    }
    order
}

fn rank(key: u64, seed: u64) -> u64 {
    let wide = u128::from(key ^ seed) * u128::from(MIX);
    let folded = (wide >> 64) as u64 ^ wide as u64;
    folded.wrapping_mul(MIX).rotate_left(32) ^ folded
}

/// Turns a uniform rank into one that wins in proportion to the weight.
fn weighted(rank: u64, weight: f64) -> u64 {
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
            groups.put(*seed, i);
        }
        Setup { seeds, groups, eligible }
    }

    fn order(key: u64, setup: &Setup, weight: Option<&dyn Fn(usize) -> f64>) -> Order {
        let key = xxhash_rust::xxh3::xxh3_64(&key.to_le_bytes());
        first_choices(key, &setup.seeds, &setup.groups, &setup.eligible, weight)
    }

    fn first(key: u64, setup: &Setup) -> usize {
        order(key, setup, None).positions().next().unwrap()
    }

    #[test]
    fn first_choices_even() {
        let setup = setup(100);
        let mut hits = vec![0; 100];
        (0..100_000).for_each(|key| hits[first(key, &setup)] += 1);
        assert!(hits.iter().all(|n| (850..1150).contains(n)), "{hits:?}");
    }

    #[test]
    fn first_choices_large_service_near_even() {
        let setup = setup(2000);
        let mut hits = vec![0; 2000];
        (0..200_000).for_each(|key| hits[first(key, &setup)] += 1);
        assert!(hits.iter().all(|n| (30..250).contains(n)), "{hits:?}");
        let distinct: std::collections::HashSet<usize> =
            order(1, &setup, None).positions().collect();
        assert_eq!(distinct.len(), CHOICES);
    }

    #[test]
    fn first_choices_move_only_what_left() {
        for n in [100, 2000] {
            let mut setup = setup(n);
            let before: Vec<_> = (0..10_000).map(|key| first(key, &setup)).collect();
            setup.eligible.set(17, false);
            for (key, old) in before.into_iter().enumerate() {
                let new = first(key as u64, &setup);
                assert!(old == 17 || new == old);
            }
        }
    }

    #[test]
    fn groups_swap_remove_keeps_others() {
        let mut setup = setup(2000);
        let before: Vec<_> = (0..1000).map(|key| first(key, &setup)).collect();
        setup.groups.swap_remove((setup.seeds[17], 17), (setup.seeds[1999], 1999));
        setup.seeds.swap_remove(17);
        setup.eligible.set(1999, false);
        for (key, old) in before.into_iter().enumerate() {
            let new = first(key as u64, &setup);
            let moved = old == 1999 && new == 17;
            assert!(old == 17 || moved || new == old);
        }
    }

    #[test]
    fn first_choices_follow_weight() {
        let setup = setup(10);
        let weight = |position| if position == 0 { 0.5 } else { 1.0 };
        let hits = (0..100_000)
            .filter(|key| order(*key, &setup, Some(&weight)).positions().next() == Some(0));
        let share = hits.count() as f64 / 100_000.0;
        assert!((share - 0.5 / 9.5).abs() < 0.005, "{share}");
    }
}
