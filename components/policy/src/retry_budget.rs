//! Retry budget: limits retries to a share of the fresh requests.

use std::time::Duration;

use tokio::time::Instant;

use crate::decay::DecayingSum;

/// Time constant over which retries are compared with fresh requests.
///
/// With a longer window, the budget accumulated over many seconds could be spent
/// at once just after the fresh traffic has dropped.
const BUDGET_WINDOW: Duration = Duration::from_millis(500);

/// Time constant over which the minimum number of retries is counted.
const MIN_RETRIES_WINDOW: Duration = Duration::from_secs(10);

/// Retries that are allowed in each window regardless of the share, so that a workspace with little
/// traffic can retry at all.
const MIN_RETRIES: f64 = 2.0;

/// Retry budget of a service, or of one workspace at a service.
///
/// Costs are in units of the service: requests of a plain service, tokens of a
/// model service. Retries by callers and by the proxy use the same budget.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    fresh_cost: DecayingSum,
    retry_cost: DecayingSum,
    retry_count: DecayingSum,
}

impl RetryBudget {
    /// Creates a budget that allows retries up to `percent` of the cost of the fresh requests.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget {
            share: f64::from(percent) / 100.0,
            fresh_cost: DecayingSum::new(BUDGET_WINDOW),
            retry_cost: DecayingSum::new(BUDGET_WINDOW),
            retry_count: DecayingSum::new(MIN_RETRIES_WINDOW),
        }
    }

    /// Changes the percentage; the recorded requests are kept.
    pub fn set_percent(&mut self, percent: u32) {
        self.share = f64::from(percent) / 100.0;
    }

    /// Records an admitted fresh request.
    pub fn count_fresh(&mut self, now: Instant, cost: u64) {
        self.fresh_cost.add(now, cost as f64);
    }

    /// Records an admitted retry.
    pub fn count_retry(&mut self, now: Instant, cost: u64) {
        self.retry_cost.add(now, cost as f64);
        self.retry_count.add(now, 1.0);
    }

    /// Returns whether the share of the fresh requests allows a retry.
    pub fn allows(&self, now: Instant, cost: u64) -> bool {
        self.share > 0.0
            && self.retry_cost.get(now) + cost as f64 <= self.share * self.fresh_cost.get(now)
    }

    /// Returns whether a retry is allowed by the share or by the minimum number of retries.
    pub fn allows_with_minimum(&self, now: Instant, cost: u64) -> bool {
        self.allows(now, cost)
            || (self.share > 0.0 && self.retry_count.get(now) + 1.0 <= MIN_RETRIES + 1e-3)
    }

    /// Returns the rate at which fresh requests refill the budget, in units per second.
    pub fn refill_per_second(&self, now: Instant) -> f64 {
        self.share * self.fresh_cost.per_second(now)
    }
}

/// The budgets of a service and of one of its workspaces; a retry needs both.
pub(crate) struct BudgetPair<'a> {
    pub(crate) service: &'a mut RetryBudget,
    pub(crate) workspace: &'a mut RetryBudget,
}

impl BudgetPair<'_> {
    /// Records a fresh request in both budgets.
    pub(crate) fn count_fresh(&mut self, now: Instant, cost: u64) {
        self.service.count_fresh(now, cost);
        self.workspace.count_fresh(now, cost);
    }

    /// Withdraws a retry from both budgets, or from neither.
    pub(crate) fn try_withdraw(&mut self, now: Instant, cost: u64) -> bool {
        if !self.allows(now, cost) {
            return false;
        }
        self.service.count_retry(now, cost);
        self.workspace.count_retry(now, cost);
        true
    }

    /// Returns whether both budgets allow a retry.
    pub(crate) fn allows(&self, now: Instant, cost: u64) -> bool {
        let service = self.service.allows_with_minimum(now, cost);
        service && self.workspace.allows_with_minimum(now, cost)
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
        assert!(!budget.allows_with_minimum(now, 1));
    }

    #[test]
    fn allows_with_minimum_few_in_a_window() {
        let now = Instant::now();
        let mut budget = RetryBudget::new(10);
        budget.count_fresh(now, 1);
        for _ in 0..MIN_RETRIES as u32 {
            assert!(budget.allows_with_minimum(now, 1));
            budget.count_retry(now, 1);
        }
        assert!(!budget.allows_with_minimum(now, 1));
        assert!(budget.allows_with_minimum(now + 10 * MIN_RETRIES_WINDOW, 1));
    }

    #[test]
    fn allows_shrinks_with_fresh_traffic() {
        let now = Instant::now();
        let mut budget = RetryBudget::new(10);
        budget.count_fresh(now, 1000);
        let later = now + 5 * BUDGET_WINDOW;
        assert!(spend(&mut budget, later) <= 1);
    }
}
