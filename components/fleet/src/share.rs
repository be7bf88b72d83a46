//! Allocates the weight store's bandwidth to the runners that load weights.

use lycheelatch_prelude::UpstreamId;

/// A pending load of model weights by one runner.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightLoad {
    /// Identity of the runner.
    pub upstream: UpstreamId,
    /// Number of bytes still to load.
    pub bytes_left: u64,
    /// Whether the runner already has the base model.
    pub is_warm: bool,
    /// Load that the service currently can't carry, in units per second.
    pub deficit: f64,
    /// Maximum rate of the runner, in bytes per second.
    pub max_bytes_per_second: u64,
}

/// Returns the rate of each load in bytes per second, in the order of `loads`.
///
/// Warm runners have priority over cold ones, then larger deficits over smaller ones, then
/// shorter loads over longer ones: one serving runner is more useful than two half-loaded ones.
pub fn allocate_rates(store_bytes_per_second: u64, loads: &[WeightLoad]) -> Vec<u64> {
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
