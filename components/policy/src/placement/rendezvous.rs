//! Rendezvous hashing: the order of upstreams that a key gives.

use crate::bits::BitSet;

/// Upstreams of the order that are looked at.
pub(crate) const CHOICES: usize = 3;

/// Odd multiplier that mixes a key with an upstream's seed.
const MIX: u64 = 0x9E37_79B9_7F4A_7C15;

/// The first positions of a key's order, best first.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Order {
    best: [(u64, usize); CHOICES],
    len: usize,
}

impl Order {
    fn new() -> Order {
        Order { best: [(0, 0); CHOICES], len: 0 }
    }

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

/// Returns the first of the eligible positions in the order of `key`.
///
/// `weight` gives the factor on a position's share, if any differ.
pub(crate) fn first_choices(
    key: u64,
    seeds: &[u64],
    eligible: &BitSet,
    weight: Option<&dyn Fn(usize) -> f64>,
) -> Order {
    let mut order = Order::new();
    if let Some(weight) = weight {
        for position in eligible.iter() {
            order.offer(weighted(rank(key, seeds[position]), weight(position)), position);
        }
        return order;
    }
    for (word, seeds) in eligible.words().iter().zip(seeds.chunks(u64::BITS as usize)).enumerate() {
        let (bits, seeds) = seeds;
        for (i, seed) in seeds.iter().enumerate() {
            if bits & (1 << i) != 0 {
                order.offer(rank(key, *seed), word * u64::BITS as usize + i);
            }
        }
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

    fn setup(n: usize) -> (Vec<u64>, BitSet) {
        let seeds = (0..n as u64).map(|i| xxhash_rust::xxh3::xxh3_64(&i.to_le_bytes())).collect();
        let mut eligible = BitSet::default();
        (0..n).for_each(|i| eligible.set(i, true));
        (seeds, eligible)
    }

    fn first(key: u64, seeds: &[u64], eligible: &BitSet) -> usize {
        let key = xxhash_rust::xxh3::xxh3_64(&key.to_le_bytes());
        first_choices(key, seeds, eligible, None).positions().next().unwrap()
    }

    #[test]
    fn first_choices_even() {
        let (seeds, eligible) = setup(100);
        let mut hits = vec![0; 100];
        (0..100_000).for_each(|key| hits[first(key, &seeds, &eligible)] += 1);
        assert!(hits.iter().all(|n| (850..1150).contains(n)), "{hits:?}");
    }

    #[test]
    fn first_choices_move_only_what_left() {
        let (seeds, mut eligible) = setup(100);
        let before: Vec<_> = (0..10_000).map(|key| first(key, &seeds, &eligible)).collect();
        eligible.set(17, false);
        for (key, old) in before.into_iter().enumerate() {
            let new = first(key as u64, &seeds, &eligible);
            assert!(old == 17 || new == old);
        }
    }

    #[test]
    fn first_choices_follow_weight() {
        let (seeds, eligible) = setup(10);
        let weight = |position| if position == 0 { 0.5 } else { 1.0 };
        let hits = (0..100_000_u64).filter(|key| {
            let key = xxhash_rust::xxh3::xxh3_64(&key.to_le_bytes());
            first_choices(key, &seeds, &eligible, Some(&weight)).positions().next() == Some(0)
        });
        let share = hits.count() as f64 / 100_000.0;
        assert!((share - 0.5 / 9.5).abs() < 0.005, "{share}");
    }
}
