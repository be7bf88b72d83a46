//! Retries as a share of fresh traffic.

use std::time::Duration;

use tokio::time::Instant;

use crate::decay::DecayingSum;

/// Time over which retries are weighed against fresh traffic.
///
/// A longer one would let the unused share of many seconds out at once, when
/// fresh traffic has just fallen.
const BUDGET_WINDOW: Duration = Duration::from_millis(500);

/// Time over which the retries of a quiet workspace are counted.
const QUIET_WINDOW: Duration = Duration::from_secs(10);

/// Retries that a quiet workspace may make each window, whatever its share.
const QUIET_RETRIES: f64 = 2.0;

/// Budget of the retries of one service, or of one workspace at it.
///
/// Work is counted in the units of the service's limits: requests of a plain
/// service, tokens of a model service. Retries of callers and of the proxy
/// itself draw on the same budget.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    fresh: DecayingSum,
    retried: DecayingSum,
    retries: DecayingSum,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries for each hundred fresh requests.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget {
            share: f64::from(percent) / 100.0,
            fresh: DecayingSum::new(BUDGET_WINDOW),
            retried: DecayingSum::new(BUDGET_WINDOW),
            retries: DecayingSum::new(QUIET_WINDOW),
        }
    }

    /// Changes the share and keeps what was counted.
    pub fn set_percent(&mut self, percent: u32) {
        self.share = f64::from(percent) / 100.0;
    }

    /// Counts fresh work that was let through.
    pub fn count_fresh(&mut self, now: Instant, cost: u64) {
        self.fresh.add(now, cost as f64);
    }

    /// Counts a retry that was let through.
    pub fn count_retry(&mut self, now: Instant, cost: u64) {
        self.retried.add(now, cost as f64);
        self.retries.add(now, 1.0);
    }

    /// Returns whether the share of fresh traffic allows a retry.
    pub fn allows(&self, now: Instant, cost: u64) -> bool {
        self.share > 0.0 && self.retried.get(now) + cost as f64 <= self.share * self.fresh.get(now)
    }

    /// Returns whether a retry is allowed, for a workspace so quiet that its share is below one.
    pub fn allows_quiet(&self, now: Instant, cost: u64) -> bool {
        self.allows(now, cost)
            || (self.share > 0.0 && self.retries.get(now) + 1.0 <= QUIET_RETRIES + 1e-3)
    }

    /// Returns the rate of retried work that fresh traffic pays for, in units a second.
    pub fn refill_per_second(&self, now: Instant) -> f64 {
        self.share * self.fresh.per_second(now)
    }
}

/// The two budgets that a retry needs: its service's and its workspace's.
pub(crate) struct BudgetPair<'a> {
    pub(crate) service: &'a mut RetryBudget,
    pub(crate) workspace: &'a mut RetryBudget,
}

impl BudgetPair<'_> {
    /// Counts fresh work in both.
    pub(crate) fn count_fresh(&mut self, now: Instant, cost: u64) {
        self.service.count_fresh(now, cost);
        self.workspace.count_fresh(now, cost);
    }

    /// Draws a retry from both, or from neither.
    pub(crate) fn try_retry(&mut self, now: Instant, cost: u64) -> bool {
        if !self.allows(now, cost) {
            return false;
        }
        self.service.count_retry(now, cost);
        self.workspace.count_retry(now, cost);
        true
    }

    /// Returns whether both allow a retry.
    pub(crate) fn allows(&self, now: Instant, cost: u64) -> bool {
        let service = self.service.allows_quiet(now, cost);
        service && self.workspace.allows_quiet(now, cost)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spend(budget: &mut RetryBudget, now: Instant) -> u32 {
        let mut retries = 0;
        while budget.allows(now, 1) {
            budget.count_retry(now, 1);
            retries += 1;
        }
        retries
    }

    #[test]
    fn allows_share_of_fresh() {
        let now = Instant::now();
        let mut budget = RetryBudget::new(10);
        for _ in 0..1000 {
            budget.count_fresh(now, 1);
        }
        assert_eq!(spend(&mut budget, now), 100);
    }

    #[test]
    fn allows_nothing_at_zero_percent() {
        let now = Instant::now();
        let mut budget = RetryBudget::new(0);
        budget.count_fresh(now, 1000);
        assert!(!budget.allows_quiet(now, 1));
    }

    #[test]
    fn allows_quiet_workspace_few_in_a_window() {
        let now = Instant::now();
        let mut budget = RetryBudget::new(10);
        budget.count_fresh(now, 1);
        for _ in 0..QUIET_RETRIES as u32 {
            assert!(budget.allows_quiet(now, 1));
            budget.count_retry(now, 1);
        }
        assert!(!budget.allows_quiet(now, 1));
        assert!(budget.allows_quiet(now + 10 * QUIET_WINDOW, 1));
    }

    #[test]
    fn allows_follows_fresh_traffic_down() {
        let now = Instant::now();
        let mut budget = RetryBudget::new(10);
        budget.count_fresh(now, 1000);
        let later = now + 5 * BUDGET_WINDOW;
        assert!(spend(&mut budget, later) <= 1);
    }
}
