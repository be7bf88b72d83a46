//! Placement rules, worked out against the upstreams of one service.

use std::collections::HashMap;

use lycheelatch_config::{Effect, PlacementRule};
use lycheelatch_prelude::{LabelValue, Labels};

use crate::bits::BitSet;

/// Load of each value of a spread rule's label.
#[derive(Debug, Default)]
struct Spread {
    values: HashMap<Option<LabelValue>, usize>,
    value_of: Vec<usize>,
    requests: Vec<u32>,
    upstreams: Vec<u32>,
}

impl Spread {
    fn value_index(&mut self, value: Option<LabelValue>) -> usize {
        let next = self.requests.len();
        let index = *self.values.entry(value).or_insert(next);
        if index == next {
            self.requests.push(0);
            self.upstreams.push(0);
        }
        index
    }

    fn fewest(&self) -> u32 {
        let used = self.requests.iter().zip(&self.upstreams).filter(|(_, n)| **n > 0);
        used.map(|(requests, _)| *requests).min().unwrap_or(0)
    }
}

/// One rule and the positions of the upstreams that it selects.
#[derive(Debug)]
pub(crate) struct WorkedRule {
    pub(crate) rule: PlacementRule,
    selected: BitSet,
    spread: Option<Spread>,
}

impl WorkedRule {
    fn new(rule: PlacementRule) -> WorkedRule {
        let spread = matches!(rule.effect, Effect::Spread { .. }).then(Spread::default);
        WorkedRule { rule, selected: BitSet::default(), spread }
    }

    /// Returns whether the rule selects the upstream at a position.
    pub(crate) fn selects(&self, position: usize) -> bool {
        self.selected.get(position)
    }

    /// Returns by how many requests the label value of a position is ahead of the least used one.
    pub(crate) fn ahead(&self, position: usize) -> u32 {
        let Some(spread) = self.spread.as_ref().filter(|_| self.selects(position)) else {
            return 0;
        };
        spread.requests[spread.value_of[position]] - spread.fewest()
    }

    fn put(&mut self, position: usize, labels: &Labels, requests: u32) {
        let is_selected = self.rule.upstreams.matches(labels);
        self.selected.set(position, is_selected);
        let (Some(spread), Effect::Spread { key }) = (&mut self.spread, &self.rule.effect) else {
            return;
        };
        let index = spread.value_index(labels.get(key.as_str()).cloned());
        spread.value_of.resize(spread.value_of.len().max(position + 1), 0);
        spread.value_of[position] = index;
        spread.upstreams[index] += 1;
        spread.requests[index] += requests;
    }

    /// Removes the upstream at a position; the one at `last` takes its place.
    fn swap_remove(&mut self, position: usize, last: usize, requests: u32) {
        self.selected.set(position, self.selected.get(last));
        self.selected.set(last, false);
        if let Some(spread) = &mut self.spread {
            let index = spread.value_of[position];
            spread.upstreams[index] -= 1;
            spread.requests[index] = spread.requests[index].saturating_sub(requests);
            spread.value_of.swap_remove(position);
        }
    }
}

/// The rules of one service, in the order of their names.
#[derive(Debug, Default)]
pub(crate) struct WorkedRules(Vec<WorkedRule>);

impl WorkedRules {
    /// Takes rules that have seen no upstream yet.
    pub(crate) fn new(rules: impl IntoIterator<Item = PlacementRule>) -> WorkedRules {
        WorkedRules(rules.into_iter().map(WorkedRule::new).collect())
    }

    /// Takes in the upstream at the next position, with its requests in flight.
    pub(crate) fn put(&mut self, position: usize, labels: &Labels, requests: u32) {
        for rule in &mut self.0 {
            rule.put(position, labels, requests);
        }
    }

    /// Removes the upstream at a position; the one at `last` takes its place.
    pub(crate) fn swap_remove(&mut self, position: usize, last: usize, requests: u32) {
        for rule in &mut self.0 {
            rule.swap_remove(position, last, requests);
        }
    }

    /// Returns the rules that apply to a request.
    pub(crate) fn of<'a>(
        &'a self,
        labels: &'a Labels,
    ) -> impl Iterator<Item = &'a WorkedRule> + Clone {
        self.0.iter().filter(|worked| worked.rule.requests.matches(labels))
    }

    /// Keeps the positions that every require rule for a request selects.
    pub(crate) fn keep_required(&self, labels: &Labels, eligible: &mut BitSet) {
        for worked in self.of(labels).filter(|worked| worked.rule.effect == Effect::Require) {
            eligible.keep_common(&worked.selected);
        }
    }

    /// Keeps the positions that a prefer rule selects, as long as some are left.
    pub(crate) fn keep_preferred(&self, labels: &Labels, eligible: &mut BitSet) {
        for worked in self.of(labels).filter(|worked| worked.rule.effect == Effect::Prefer) {
            if eligible.meets(&worked.selected) {
                eligible.keep_common(&worked.selected);
            }
        }
    }

    /// Returns whether a weight rule applies to a request.
    pub(crate) fn has_weights(&self, labels: &Labels) -> bool {
        self.of(labels).any(|worked| matches!(worked.rule.effect, Effect::Weight { .. }))
    }

    /// Returns the factor on the share of the upstream at a position.
    pub(crate) fn weight(&self, labels: &Labels, position: usize) -> f64 {
        let selecting = self.of(labels).filter(|worked| worked.selects(position));
        selecting
            .filter_map(|worked| match worked.rule.effect {
                Effect::Weight { percent } => Some(f64::from(percent) / 100.0),
                _ => None,
            })
            .product()
    }

    /// Counts a request that was sent to a position, or that ended there.
    pub(crate) fn count(&mut self, position: usize, started: bool) {
        for spread in self.0.iter_mut().filter_map(|worked| worked.spread.as_mut()) {
            let requests = &mut spread.requests[spread.value_of[position]];
            *requests = if started { *requests + 1 } else { requests.saturating_sub(1) };
        }
    }
}
