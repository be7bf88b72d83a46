//! Placement rules, resolved against the upstreams of one service.

use std::collections::HashMap;

use lycheelatch_config::{Effect, PlacementRule};
use lycheelatch_prelude::{LabelValue, Labels};

use crate::bits::BitSet;

/// Requests in flight for each value of a spread rule's label.
#[derive(Debug, Default)]
struct Spread {
    /// Index of each label value; `None` stands for upstreams without the label.
    values: HashMap<Option<LabelValue>, usize>,
    /// Index of the label value of the upstream at each position.
    value_of: Vec<usize>,
    /// Requests in flight by value index.
    requests: Vec<u32>,
    /// Number of upstreams by value index.
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

    fn min_requests(&self) -> u32 {
        let used = self.requests.iter().zip(&self.upstreams).filter(|(_, n)| **n > 0);
        used.map(|(requests, _)| *requests).min().unwrap_or(0)
    }
}

/// A rule and the positions of the upstreams that it selects.
#[derive(Debug)]
pub(crate) struct ResolvedRule {
    pub(crate) rule: PlacementRule,
    selected: BitSet,
    spread: Option<Spread>,
}

impl ResolvedRule {
    fn new(rule: PlacementRule) -> ResolvedRule {
        let spread = matches!(rule.effect, Effect::Spread { .. }).then(Spread::default);
        ResolvedRule { rule, selected: BitSet::default(), spread }
    }

    /// Returns whether the rule selects the upstream at a position.
    pub(crate) fn selects(&self, position: usize) -> bool {
        self.selected.get(position)
    }

    /// Returns how many more requests in flight the label value of a position has than the least
    /// loaded one.
    pub(crate) fn spread_excess(&self, position: usize) -> u32 {
        let Some(spread) = self.spread.as_ref().filter(|_| self.selects(position)) else {
            return 0;
        };
        spread.requests[spread.value_of[position]] - spread.min_requests()
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

    /// Removes the upstream at a position and moves the one at `last` there.
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
pub(crate) struct ResolvedRules(Vec<ResolvedRule>);

impl ResolvedRules {
    /// Creates the rules without upstreams.
    pub(crate) fn new(rules: impl IntoIterator<Item = PlacementRule>) -> ResolvedRules {
        ResolvedRules(rules.into_iter().map(ResolvedRule::new).collect())
    }

    /// Adds the upstream at the next position, with its requests in flight.
    pub(crate) fn put(&mut self, position: usize, labels: &Labels, requests: u32) {
        for rule in &mut self.0 {
            rule.put(position, labels, requests);
        }
    }

    /// Removes the upstream at a position and moves the one at `last` there.
    pub(crate) fn swap_remove(&mut self, position: usize, last: usize, requests: u32) {
        for rule in &mut self.0 {
            rule.swap_remove(position, last, requests);
        }
    }

    /// Returns the rules that apply to a request.
    pub(crate) fn applicable<'a>(
        &'a self,
        labels: &'a Labels,
    ) -> impl Iterator<Item = &'a ResolvedRule> + Clone {
        self.0.iter().filter(|resolved| resolved.rule.requests.matches(labels))
    }

    /// Retains the positions that are selected by every require rule applicable to a request.
    pub(crate) fn retain_required(&self, labels: &Labels, eligible: &mut BitSet) {
        for resolved in
            self.applicable(labels).filter(|resolved| resolved.rule.effect == Effect::Require)
        {
            eligible.intersect_with(&resolved.selected);
        }
    }

    /// Applies each prefer rule in order, unless it would leave no position.
    pub(crate) fn retain_preferred(&self, labels: &Labels, eligible: &mut BitSet) {
        for resolved in
            self.applicable(labels).filter(|resolved| resolved.rule.effect == Effect::Prefer)
        {
            if eligible.intersects(&resolved.selected) {
                eligible.intersect_with(&resolved.selected);
            }
        }
    }

    /// Returns whether a weight rule applies to a request.
    pub(crate) fn has_weights(&self, labels: &Labels) -> bool {
        self.applicable(labels)
            .any(|resolved| matches!(resolved.rule.effect, Effect::Weight { .. }))
    }

    /// Returns the product of the weights of the upstream at a position, 1.0 without any.
    pub(crate) fn weight(&self, labels: &Labels, position: usize) -> f64 {
        let selecting = self.applicable(labels).filter(|resolved| resolved.selects(position));
        selecting
            .filter_map(|resolved| match resolved.rule.effect {
                Effect::Weight { percent } => Some(f64::from(percent) / 100.0),
                _ => None,
            })
            .product()
    }

    /// Records that a request at a position started or ended.
    pub(crate) fn record_request(&mut self, position: usize, started: bool) {
        for spread in self.0.iter_mut().filter_map(|resolved| resolved.spread.as_mut()) {
            let requests = &mut spread.requests[spread.value_of[position]];
            *requests = if started { *requests + 1 } else { requests.saturating_sub(1) };
        }
    }
}
