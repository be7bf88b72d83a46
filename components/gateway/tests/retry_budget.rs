//! The cluster-wide retry limit over nodes that don't communicate.

use std::time::Duration;

use lycheelatch_gateway::RetryBudget;
use lycheelatch_settings::RetryLimit;
use tokio::time::Instant;

const LIMIT: RetryLimit = RetryLimit { ratio: 0.2, extra: 52.0, window: Duration::from_secs(10) };

/// Returns the maximum number of retries of all nodes in a window and the requests in it.
fn flood(nodes: u32, restart_at: Option<u32>) -> (u64, u64) {
    let start = Instant::now();
    let mut budgets: Vec<RetryBudget> = (0..nodes).map(|_| RetryBudget::default()).collect();
    let mut taken = Vec::new();
    for tick in 0..300_u32 {
        let now = start + Duration::from_millis(100) * tick;
        if restart_at == Some(tick) {
            budgets = (0..nodes).map(|_| RetryBudget::default()).collect();
        }
        for budget in &mut budgets {
            budget.count_request(now);
            for _ in 0..20 {
                if budget.try_take(&LIMIT, nodes, now) {
                    taken.push(tick);
                }
            }
        }
    }
    let in_window = |from: u32| taken.iter().filter(|at| (from..from + 100).contains(at)).count();
    let most = (0..200).map(in_window).max().unwrap_or(0) as u64;
    (most, u64::from(nodes) * 100)
}

#[test]
fn try_take_holds_over_all_nodes() {
    for nodes in [1, 6, 86] {
        let (most, requests) = flood(nodes, None);
        assert!(most as f64 <= 0.2 * requests as f64 + 52.0, "{most} of {requests}");
        assert!(most > 0, "some are allowed");
    }
}

#[test]
fn try_take_holds_when_all_nodes_restart() {
    for nodes in [1, 6, 86] {
        let (most, requests) = flood(nodes, Some(150));
        assert!(most as f64 <= 0.2 * requests as f64 + 52.0, "{most} of {requests}");
    }
}
