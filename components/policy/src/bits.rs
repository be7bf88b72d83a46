//! A set of positions as bits.

/// Positions in one word.
const WORD: usize = u64::BITS as usize;

/// A set of positions; one bit each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct BitSet(Vec<u64>);

impl BitSet {
    /// Puts a position in or out.
    pub(crate) fn set(&mut self, at: usize, is_in: bool) {
        if at / WORD >= self.0.len() {
            self.0.resize(at / WORD + 1, 0);
        }
        let bit = 1 << (at % WORD);
        if is_in {
            self.0[at / WORD] |= bit;
        } else {
            self.0[at / WORD] &= !bit;
        }
    }

    /// Returns whether a position is in.
    pub(crate) fn get(&self, at: usize) -> bool {
        self.0.get(at / WORD).is_some_and(|word| word & (1 << (at % WORD)) != 0)
    }

    /// Becomes equal to `other` without giving its memory back.
    pub(crate) fn copy_from(&mut self, other: &BitSet) {
        self.0.clear();
        self.0.extend_from_slice(&other.0);
    }

    /// Keeps the positions that are in `other` too.
    pub(crate) fn keep_common(&mut self, other: &BitSet) {
        for (i, word) in self.0.iter_mut().enumerate() {
            *word &= other.0.get(i).copied().unwrap_or(0);
        }
    }

    /// Returns whether any position is in both sets.
    pub(crate) fn meets(&self, other: &BitSet) -> bool {
        self.0.iter().zip(&other.0).any(|(a, b)| a & b != 0)
    }

    /// Returns how many positions are in.
    pub(crate) fn count(&self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// Returns the first position in the set from `start` on, going round at the end.
    pub(crate) fn next_from(&self, start: usize) -> Option<usize> {
        let words = self.0.len();
        if words == 0 {
            return None;
        }
        let first = (start / WORD) % words;
        let head = self.0[first] & (u64::MAX << (start % WORD));
        if head != 0 {
            return Some(first * WORD + head.trailing_zeros() as usize);
        }
        (1..=words)
            .map(|i| (first + i) % words)
            .find(|i| self.0[*i] != 0)
            .map(|i| i * WORD + self.0[i].trailing_zeros() as usize)
    }

    /// Returns the positions in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = usize> {
        self.0.iter().enumerate().flat_map(|(i, word)| {
            let mut rest = *word;
            std::iter::from_fn(move || {
                if rest == 0 {
                    return None;
                }
                let at = rest.trailing_zeros() as usize;
                rest &= rest - 1;
                Some(i * WORD + at)
            })
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn set(positions: &[usize]) -> BitSet {
        let mut bits = BitSet::default();
        for at in positions {
            bits.set(*at, true);
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
    fn next_from_goes_round() {
        let bits = set(&[3, 64]);
        assert_eq!(bits.next_from(0), Some(3));
        assert_eq!(bits.next_from(4), Some(64));
        assert_eq!(bits.next_from(65), Some(3));
        assert_eq!(BitSet::default().next_from(5), None);
    }

    #[test]
    fn keep_common_of_shorter() {
        let mut bits = set(&[3, 300]);
        assert!(bits.meets(&set(&[3])));
        bits.keep_common(&set(&[3]));
        assert_eq!(bits.iter().collect::<Vec<_>>(), [3]);
    }
}
