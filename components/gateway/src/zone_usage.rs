//! Usage of workspaces in other availability zones, as sums instead of single nodes' counts.
//!
//! In a large cluster a node hears from each node of other zones only every few seconds. A few
//! nodes of each zone therefore send the sum of their zone to a few nodes of every other zone,
//! and these pass on the sum of all zones but their own within their zone.

use std::{collections::BTreeMap, time::Duration};

use lycheelatch_prelude::{WorkspaceName, ZoneName};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    quota::{ReportedUsage, SubwindowUsage},
    schedule::INTERVAL,
};

#[cfg(test)]
mod tests;

/// Age from which a sum is not used.
const MAX_AGE: Duration = Duration::from_millis(1500);

/// Age of the counts in a sum when it arrives: they were told within a zone, added up and passed on
/// in one interval each, and wait for half of each on average.
const DELAY: Duration = INTERVAL.saturating_mul(2);

/// Usage of workspaces, summed over a number of nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UsageSum {
    /// Number of nodes whose counts are included.
    pub(crate) nodes: u32,
    pub(crate) used: BTreeMap<WorkspaceName, ReportedUsage>,
}

impl UsageSum {
    /// Adds the counts of one node or the sum of several.
    pub(crate) fn add<'a>(
        &mut self,
        nodes: u32,
        used: impl Iterator<Item = (&'a WorkspaceName, &'a ReportedUsage)>,
    ) {
        self.nodes = self.nodes.saturating_add(nodes);
        for (name, more) in used {
            let sum = self.used.entry(name.clone()).or_default();
            sum.admitted += more.admitted;
            sum.refused = sum.refused.saturating_add(more.refused);
        }
    }
}

/// The latest sums that this node received.
#[derive(Debug, Default)]
pub(crate) struct ZoneUsageTable {
    by_zone: BTreeMap<ZoneName, (Instant, UsageSum)>,
    /// Sum of all other zones, as another node of this zone passed it on.
    other_zones: Option<(Instant, UsageSum)>,
}

impl ZoneUsageTable {
    /// Records the sum of another zone.
    pub(crate) fn record_zone(&mut self, zone: ZoneName, sum: UsageSum, now: Instant) {
        self.by_zone.insert(zone, (now, sum));
    }

    /// Records the sum of all other zones.
    pub(crate) fn record_other_zones(&mut self, sum: UsageSum, now: Instant) {
        self.other_zones = Some((now, sum));
    }

    /// Returns the sum of all other zones, if this node has received those of all `zones`.
    pub(crate) fn sum_to_pass_on(&self, zones: usize, now: Instant) -> Option<UsageSum> {
        let fresh = self.by_zone.values().filter(|(at, _)| now - *at < MAX_AGE);
        let mut total = UsageSum::default();
        let mut count = 0;
        for (_, sum) in fresh {
            count += 1;
            total.add(sum.nodes, sum.used.iter());
        }
        (count > 0 && count >= zones).then_some(total)
    }

    /// Returns a workspace's usage in all other zones, estimated for now, and the number of nodes
    /// that it covers.
    pub(crate) fn in_other_zones(
        &self,
        workspace: &WorkspaceName,
        window: Duration,
        now: Instant,
    ) -> Option<(u32, ReportedUsage)> {
        let (at, sum) = self.other_zones.as_ref()?;
        let age = now - *at;
        if age >= MAX_AGE {
            return None;
        }
        let used = sum.used.get(workspace).copied().unwrap_or_default();
        let admitted: SubwindowUsage = used.admitted.extrapolate(age + DELAY, window);
        Some((sum.nodes, ReportedUsage { admitted, ..used }))
    }
}
