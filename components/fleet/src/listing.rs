//! What the instance list tells of leaving instances.
//!
//! The list lags and may be cut short, so that one reading proves little:
//! only what is read twice, and what does not contradict a newer notice of
//! the cloud, counts.

use std::{collections::HashMap, time::Duration};

use lycheelatch_prelude::InstanceId;
use lycheelatch_provider::{ListedInstance, ListedState};
use tokio::time::Instant;

use crate::{LeavingInstances, Standing};

/// Time by which the list may lag behind the cloud's notices.
const LIST_LAG: Duration = Duration::from_secs(60);

/// Readings without an instance after which it is gone.
const READINGS_UNTIL_GONE: u32 = 2;

/// Most instances, in percent, that may vanish in one reading that is believed.
const MAX_VANISHED_PERCENT: usize = 50;

/// Time that is assumed to be left to an instance that the list shows as leaving.
const ASSUMED_NOTICE: Duration = Duration::from_secs(3);

/// What a reading of the list tells that was not known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// The instance leaves, and no notice said so.
    Leaves {
        /// The instance.
        instance: InstanceId,
        /// Time that is assumed to be left.
        remaining: Duration,
    },
    /// The instance is gone, and no notice said so.
    Gone(InstanceId),
    /// The instance stays, against what was said of it.
    Stays(InstanceId),
}

/// Compares the readings of the list with what is known.
#[derive(Debug, Default)]
pub struct ListObserver {
    missing: HashMap<InstanceId, u32>,
}

impl ListObserver {
    /// Creates an observer that has read nothing.
    pub fn new() -> ListObserver {
        ListObserver::default()
    }

    /// Takes one reading and returns what it tells.
    pub fn observe(
        &mut self,
        now: Instant,
        list: &[ListedInstance],
        leaving: &LeavingInstances,
    ) -> Vec<Finding> {
        let mut findings = Vec::new();
        for listed in list {
            findings.extend(judge_listed(now, listed, leaving));
        }
        findings.extend(self.judge_missing(list, leaving));
        for listed in list {
            self.missing.insert(listed.instance.clone(), 0);
        }
        findings
    }

    fn judge_missing(
        &mut self,
        list: &[ListedInstance],
        leaving: &LeavingInstances,
    ) -> Vec<Finding> {
        let is_listed: std::collections::HashSet<_> = list.iter().map(|l| &l.instance).collect();
        let vanished = self.missing.keys().filter(|id| !is_listed.contains(id)).count();
        if vanished * 100 > self.missing.len() * MAX_VANISHED_PERCENT {
            log::warn!("fleet: the instance list lacks {vanished} instances; it is not believed.");
            return Vec::new();
        }
        let mut gone = Vec::new();
        self.missing.retain(|id, readings| {
            if is_listed.contains(id) {
                return true;
            }
            *readings += 1;
            let is_gone = *readings >= READINGS_UNTIL_GONE;
            if is_gone && !leaving.is_leaving(id) {
                gone.push(Finding::Gone(id.clone()));
            }
            !is_gone
        });
        gone
    }
}

fn judge_listed(
    now: Instant,
    listed: &ListedInstance,
    leaving: &LeavingInstances,
) -> Option<Finding> {
    let instance = listed.instance.clone();
    let record = leaving.record(&instance);
    let is_settled = |deadline: Instant| deadline + LIST_LAG <= now;
    match (listed.state, record) {
        (ListedState::Leaving, None) => {
            Some(Finding::Leaves { instance, remaining: ASSUMED_NOTICE })
        }
        (ListedState::Leaving, Some(r)) if r.standing == Standing::Staying => {
            let leaves = Finding::Leaves { instance, remaining: ASSUMED_NOTICE };
            is_settled(r.deadline).then_some(leaves)
        }
        (ListedState::Live, Some(r)) if r.standing == Standing::Leaving => {
            is_settled(r.deadline).then_some(Finding::Stays(instance))
        }
        _ => None,
    }
}
