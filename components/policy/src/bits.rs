//! Growable bit set.

const WORD_BITS: usize = u64::BITS as usize;

/// A set of indices, stored as one bit each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct BitSet(Vec<u64>);

impl BitSet {
    /// Inserts or removes an index.
    pub(crate) fn set(&mut self, index: usize, is_member: bool) {
        if index / WORD_BITS >= self.0.len() {
            self.0.resize(index / WORD_BITS + 1, 0);
        }
        let bit = 1 << (index % WORD_BITS);
        if is_member {
            self.0[index / WORD_BITS] |= bit;
        } else {
            self.0[index / WORD_BITS] &= !bit;
        }
    }

    /// Returns whether the set contains an index.
    pub(crate) fn get(&self, index: usize) -> bool {
        self.0.get(index / WORD_BITS).is_some_and(|word| word & (1 << (index % WORD_BITS)) != 0)
    }

    /// Copies `other` into this set, reusing the allocation.
    pub(crate) fn copy_from(&mut self, other: &BitSet) {
        self.0.clear();
        self.0.extend_from_slice(&other.0);
    }

    /// Removes the indices that are not in `other`.
    pub(crate) fn intersect_with(&mut self, other: &BitSet) {
        for (i, word) in self.0.iter_mut().enumerate() {
            *word &= other.0.get(i).copied().unwrap_or(0);
        }
    }

    /// Returns whether the two sets have an index in common.
    pub(crate) fn intersects(&self, other: &BitSet) -> bool {
        self.0.iter().zip(&other.0).any(|(a, b)| a & b != 0)
    }

    /// Returns the number of indices in the set.
    pub(crate) fn count(&self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// Returns the first index at or after `start`, wrapping around at the end.
    pub(crate) fn next_from(&self, start: usize) -> Option<usize> {
        let words = self.0.len();
        if words == 0 {
            return None;
        }
        let first = (start / WORD_BITS) % words;
        let head = self.0[first] & (u64::MAX << (start % WORD_BITS));
        if head != 0 {
            return Some(first * WORD_BITS + head.trailing_zeros() as usize);
        }
        (1..=words)
            .map(|i| (first + i) % words)
            .find(|i| self.0[*i] != 0)
            .map(|i| i * WORD_BITS + self.0[i].trailing_zeros() as usize)
    }

    /// Returns the indices in ascending order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = usize> {
        self.0.iter().enumerate().flat_map(|(i, word)| {
            let mut remaining = *word;
            std::iter::from_fn(move || {
                if remaining == 0 {
                    return None;
                }
                let bit = remaining.trailing_zeros() as usize;
                remaining &= remaining - 1;
                Some(i * WORD_BITS + bit)
            })
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn set(indices: &[usize]) -> BitSet {
        let mut bits = BitSet::default();
        for index in indices {
            bits.set(*index, true);
        }
        bits
    }

    #[test]
    fn iter_in_order() {
        let bits = set(&[300, 3, 64, 63]);
        assert_eq!(bits.iter().collect::<Vec<_>>(), [3, 63, 64, 300]);
        assert_eq!(bits.count(), 4);
    }

    #[test]
    fn next_from_wraps_around() {
        let bits = set(&[3, 64]);
        assert_eq!(bits.next_from(0), Some(3));
        assert_eq!(bits.next_from(4), Some(64));
        assert_eq!(bits.next_from(65), Some(3));
        assert_eq!(BitSet::default().next_from(5), None);
    }

    #[test]
    fn intersect_with_shorter_set() {
        let mut bits = set(&[3, 300]);
        assert!(bits.intersects(&set(&[3])));
        bits.intersect_with(&set(&[3]));
        assert_eq!(bits.iter().collect::<Vec<_>>(), [3]);
    }
}
