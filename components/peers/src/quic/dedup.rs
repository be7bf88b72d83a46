//! Detection of duplicate broadcast messages.

use std::collections::HashSet;

/// Minimum number of keys remembered; the maximum is twice this.
const GENERATION: usize = 8 * 1024;

/// Keys of recent messages in two generations, of which the older is dropped when the newer is
/// full.
#[derive(Debug, Default)]
pub(crate) struct RecentIds {
    current: HashSet<u64>,
    previous: HashSet<u64>,
}

impl RecentIds {
    /// Records a key and returns whether it is new.
    pub(crate) fn insert(&mut self, id: u64) -> bool {
        if self.previous.contains(&id) || !self.current.insert(id) {
            return false;
        }
        if self.current.len() >= GENERATION {
            self.previous = std::mem::take(&mut self.current);
        }
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn insert_detects_duplicates_within_a_generation() {
        let mut recent = RecentIds::default();
        for id in 0..3 * GENERATION as u64 {
            assert!(recent.insert(id));
            assert!(!recent.insert(id.saturating_sub(GENERATION as u64 - 1)));
        }
        assert!(recent.current.len() + recent.previous.len() <= 2 * GENERATION);
    }
}
