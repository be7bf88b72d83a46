//! Shares the weight store's rate among the runners that load from it.

use lycheelatch_prelude::UpstreamId;

/// One runner that has weights to load.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Identity of the runner.
    pub upstream: UpstreamId,
    /// Bytes still to load.
    pub bytes_left: u64,
    /// Whether the runner holds the base model already.
    pub is_warm: bool,
    /// Load that its service can't carry now, in units a second.
    pub deficit: f64,
    /// Highest rate of the runner, in bytes a second.
    pub max_bytes_per_second: u64,
}

/// Returns the rate of each load, in the order given, in bytes a second.
///
/// Warm runners come before cold ones, greater need before lesser, and what
/// is loaded soonest first: one runner that serves is worth more than two
/// that are half loaded.
pub fn share_rate(store_bytes_per_second: u64, loads: &[Load]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..loads.len()).collect();
    order.sort_by(|&a, &b| {
        let (a, b) = (&loads[a], &loads[b]);
        let by_warmth = b.is_warm.cmp(&a.is_warm);
        let by_need = by_warmth.then(b.deficit.total_cmp(&a.deficit));
        let by_rest = by_need.then(a.bytes_left.cmp(&b.bytes_left));
        by_rest.then_with(|| a.upstream.cmp(&b.upstream))
    });
    let mut left = store_bytes_per_second;
    let mut rates = vec![0; loads.len()];
    for i in order {
        let rate = loads[i].max_bytes_per_second.min(left);
        rates[i] = rate;
        left -= rate;
    }
    rates
}
