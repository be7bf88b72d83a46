//! Which spread messages have been here already.

use std::collections::HashSet;

/// Messages remembered at least; twice as many at most.
const GENERATION: usize = 8 * 1024;

/// Two generations of message numbers, of which the older one is dropped.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    young: HashSet<u64>,
    old: HashSet<u64>,
}

impl Seen {
    /// Notes a message and returns whether it is new here.
    pub(crate) fn insert(&mut self, id: u64) -> bool {
        if self.old.contains(&id) || !self.young.insert(id) {
            return false;
        }
        if self.young.len() >= GENERATION {
            self.old = std::mem::take(&mut self.young);
        }
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn insert_remembers_a_generation() {
        let mut seen = Seen::default();
        for id in 0..3 * GENERATION as u64 {
            assert!(seen.insert(id));
            assert!(!seen.insert(id.saturating_sub(GENERATION as u64 - 1)));
        }
        assert!(seen.young.len() + seen.old.len() <= 2 * GENERATION);
    }
}
