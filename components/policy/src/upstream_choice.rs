//! Choice between upstreams of a service by the time that a request is expected to take there.
//!
//! Many nodes choose by nearly the same figures, a moment old. If all took the lowest one, they
//! would meet at the same upstream. So those that differ by less than what the figures can tell
//! apart are chosen at random.

/// Difference of two expected times, as a share of the lower one, at which the higher one is
/// chosen 1/e times as often.
const SPREAD: f64 = 0.05;

/// Expected time of a request at an upstream with `requests` others and `slots` slots, if a
/// request alone takes `alone`.
///
/// Requests beyond the slots wait for one. Below, each one makes it likelier that a slot is taken
/// by those that this node doesn't know of yet.
pub fn crowded_time(alone: f64, requests: u32, slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    let ahead = f64::from(requests);
    let waiting = (ahead + 1.0 - slots).max(0.0) / slots;
    alone * (1.0 + ahead / slots + waiting)
}

/// Returns the index of one of the lowest costs, or `None` without costs; `random` is from 0 to 1.
pub fn pick_lowest(costs: &[f64], random: f64) -> Option<usize> {
    let lowest = costs.iter().copied().min_by(f64::total_cmp)?;
    let scale = (lowest.abs() * SPREAD).max(f64::EPSILON);
    let weights: Vec<_> = costs.iter().map(|cost| (-(cost - lowest) / scale).exp()).collect();
    let mut left = weights.iter().sum::<f64>() * random;
    for (at, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return Some(at);
        }
    }
    costs.iter().position(|cost| *cost == lowest)
}
