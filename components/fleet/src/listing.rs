//! Detects leaving, missing and staying instances in the instance list.
//!
//! The list lags behind the cloud API and may be truncated. An instance therefore counts as gone
//! only after two readings without it, and the list never overrides a recent notice.

use std::{collections::HashMap, time::Duration};

use lycheelatch_prelude::InstanceId;
use lycheelatch_provider::{ListedInstance, ListedState};
use tokio::time::Instant;

use crate::{InstanceStatus, LeavingInstances};

/// Maximum lag of the list behind the notices of the cloud API.
const MAX_LIST_LAG: Duration = Duration::from_secs(60);

/// Number of consecutive readings without an instance after which it counts as gone.
const MISSED_READINGS_UNTIL_GONE: u32 = 2;

/// Maximum share of instances, in percent, that may vanish in one reading that is trusted.
const MAX_VANISHED_PERCENT: usize = 50;

/// Notice period assumed for an instance that the list shows as leaving.
const ASSUMED_NOTICE: Duration = Duration::from_secs(3);

/// Difference between the instance list and the known records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// The instance is leaving, without a notice.
    Leaving {
        /// Leaving instance.
        instance: InstanceId,
        /// Assumed time until the instance is gone.
        remaining: Duration,
    },
    /// The instance is gone, without a notice.
    Gone(InstanceId),
    /// The instance stays, contrary to its record.
    Staying(InstanceId),
}

/// Compares readings of the instance list with the known records.
#[derive(Debug, Default)]
pub struct ListObserver {
    missed_readings: HashMap<InstanceId, u32>,
}

impl ListObserver {
    /// Creates an observer without readings.
    pub fn new() -> ListObserver {
        ListObserver::default()
    }

    /// Processes one reading and returns the differences found.
    pub fn observe(
        &mut self,
        now: Instant,
        list: &[ListedInstance],
        leaving: &LeavingInstances,
    ) -> Vec<Finding> {
        let mut findings = Vec::new();
        for listed in list {
            findings.extend(check_listed(now, listed, leaving));
        }
        findings.extend(self.check_missing(list, leaving));
        for listed in list {
            self.missed_readings.insert(listed.instance.clone(), 0);
        }
        findings
    }

    fn check_missing(
        &mut self,
        list: &[ListedInstance],
        leaving: &LeavingInstances,
    ) -> Vec<Finding> {
        let listed_ids: std::collections::HashSet<_> = list.iter().map(|l| &l.instance).collect();
        let vanished = self.missed_readings.keys().filter(|id| !listed_ids.contains(id)).count();
        if vanished * 100 > self.missed_readings.len() * MAX_VANISHED_PERCENT {
            log::warn!(
                "fleet: ignoring an instance list in which {vanished} instances are missing."
            );
            return Vec::new();
        }
        let mut gone = Vec::new();
        self.missed_readings.retain(|id, readings| {
            if listed_ids.contains(id) {
                return true;
            }
            *readings += 1;
            let is_gone = *readings >= MISSED_READINGS_UNTIL_GONE;
            if is_gone && !leaving.is_leaving(id) {
                gone.push(Finding::Gone(id.clone()));
            }
            !is_gone
        });
        gone
    }
}

fn check_listed(
    now: Instant,
    listed: &ListedInstance,
    leaving: &LeavingInstances,
) -> Option<Finding> {
    let instance = listed.instance.clone();
    let record = leaving.record(&instance);
    let is_past_lag = |deadline: Instant| deadline + MAX_LIST_LAG <= now;
    match (listed.state, record) {
        (ListedState::Leaving, None) => {
            Some(Finding::Leaving { instance, remaining: ASSUMED_NOTICE })
        }
        (ListedState::Leaving, Some(r)) if r.status == InstanceStatus::Staying => {
            let leaves = Finding::Leaving { instance, remaining: ASSUMED_NOTICE };
            is_past_lag(r.deadline).then_some(leaves)
        }
        (ListedState::Live, Some(r)) if r.status == InstanceStatus::Leaving => {
            is_past_lag(r.deadline).then_some(Finding::Staying(instance))
        }
        _ => None,
    }
}
