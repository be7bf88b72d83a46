//! Whether any labels can match a selector.

use std::collections::{BTreeMap, BTreeSet};

use lycheelatch_prelude::{LabelKey, LabelValue};

use crate::{Requirement, Selector};

/// What a selector's requirements leave possible for one label.
#[derive(Debug, Default)]
struct Possible<'a> {
    must_exist: bool,
    must_be_missing: bool,
    /// Values that all `In` requirements allow; `None` without such a requirement.
    allowed: Option<BTreeSet<&'a LabelValue>>,
    excluded: BTreeSet<&'a LabelValue>,
}

impl<'a> Possible<'a> {
    fn allow(&mut self, values: &'a [LabelValue]) {
        self.must_exist = true;
        let values: BTreeSet<_> = values.iter().collect();
        let allowed = match self.allowed.take() {
            Some(allowed) => allowed.intersection(&values).copied().collect(),
            None => values,
        };
        self.allowed = Some(allowed);
    }

    fn is_any(&self) -> bool {
        if self.must_exist && self.must_be_missing {
            return false;
        }
        let Some(allowed) = &self.allowed else { return true };
        allowed.iter().any(|value| !self.excluded.contains(value))
    }
}

impl Selector {
    /// Returns whether there are labels that match.
    pub fn can_match(&self) -> bool {
        can_match(self.requirements().iter())
    }

    /// Returns whether there are labels that match this selector and another one.
    pub fn can_match_with(&self, other: &Selector) -> bool {
        can_match(self.requirements().iter().chain(other.requirements()))
    }
}

fn can_match<'a>(requirements: impl Iterator<Item = &'a Requirement>) -> bool {
    let mut labels: BTreeMap<&LabelKey, Possible<'_>> = BTreeMap::new();
    for requirement in requirements {
        match requirement {
            Requirement::In(key, values) => labels.entry(key).or_default().allow(values),
            Requirement::NotIn(key, values) => {
                labels.entry(key).or_default().excluded.extend(values);
            }
            Requirement::Exists(key) => labels.entry(key).or_default().must_exist = true,
            Requirement::Missing(key) => labels.entry(key).or_default().must_be_missing = true,
        }
    }
    labels.values().all(Possible::is_any)
}
