//! What was in use lately, such as the versions of a service or the services of a route.

use std::collections::BTreeMap;

use tokio::time::Instant;

/// Use of one item.
#[derive(Debug, Clone, Copy)]
struct ItemUse {
    /// Number of uses that have not ended.
    count: u32,
    /// When the last one ended, or a time at which one may still have lasted.
    ended_at: Instant,
}

/// Items in use at each owner, with the time at which their last use ended.
#[derive(Debug)]
pub(crate) struct UseHistory<O, I>(BTreeMap<O, BTreeMap<I, ItemUse>>);

impl<O, I> Default for UseHistory<O, I> {
    fn default() -> UseHistory<O, I> {
        UseHistory(BTreeMap::new())
    }
}

impl<O: Ord + Clone, I: Ord + Clone> UseHistory<O, I> {
    /// Counts a use that begins.
    pub(crate) fn begin(&mut self, owner: &O, item: I, now: Instant) {
        self.entry(owner, item, now).count += 1;
    }

    /// Counts a use that ends.
    pub(crate) fn end(&mut self, owner: &O, item: I, now: Instant) {
        let used = self.entry(owner, item, now);
        used.count = used.count.saturating_sub(1);
        used.ended_at = now;
    }

    /// Takes note that an item was in use until `ended_at`, before this process could see it.
    pub(crate) fn note_past(&mut self, owner: &O, item: I, ended_at: Instant) {
        let known = self.entry(owner, item, ended_at);
        known.ended_at = known.ended_at.max(ended_at);
    }

    fn entry(&mut self, owner: &O, item: I, now: Instant) -> &mut ItemUse {
        let items = self.0.entry(owner.clone()).or_default();
        items.entry(item).or_insert(ItemUse { count: 0, ended_at: now })
    }

    /// Drops the items whose use ended before a time.
    pub(crate) fn forget_before(&mut self, since: Instant) {
        for items in self.0.values_mut() {
            items.retain(|_, used| used.count > 0 || used.ended_at >= since);
        }
        self.0.retain(|_, items| !items.is_empty());
    }

    /// Returns the item of an owner, if only one was in use since a time.
    pub(crate) fn only_since(&self, owner: &O, since: Instant) -> Option<I> {
        let mut used = used_since(self.0.get(owner)?, since);
        let only = used.next()?;
        used.next().is_none().then(|| only.clone())
    }

    /// Returns whether several items of an owner were in use since a time.
    pub(crate) fn has_several_of(&self, owner: &O, since: Instant) -> bool {
        self.0.get(owner).is_some_and(|items| has_several(items, since))
    }

    /// Returns whether several items of any owner were in use since a time.
    pub(crate) fn has_several_since(&self, since: Instant) -> bool {
        self.0.values().any(|items| has_several(items, since))
    }

    /// Returns all items with the time at which their last use ended; `None` for those in use.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&O, &I, Option<Instant>)> {
        self.0.iter().flat_map(|(owner, items)| {
            items.iter().map(move |(item, used)| {
                let ended_at = (used.count == 0).then_some(used.ended_at);
                (owner, item, ended_at)
            })
        })
    }
}

/// Returns the items that were in use since a time.
fn used_since<I>(items: &BTreeMap<I, ItemUse>, since: Instant) -> impl Iterator<Item = &I> {
    let used = items.iter().filter(move |(_, used)| used.count > 0 || used.ended_at >= since);
    used.map(|(item, _)| item)
}

fn has_several<I>(items: &BTreeMap<I, ItemUse>, since: Instant) -> bool {
    items.len() > 1 && used_since(items, since).nth(1).is_some()
}
