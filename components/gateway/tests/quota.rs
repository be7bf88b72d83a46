//! Cluster-wide quotas with delayed reports, network partitions and restarts.

use std::time::Duration;

use lycheelatch_gateway::{
    Charge, Crowd, PeerUsage, Priority, ProcessAge, Quota, QuotaTerms, SlidingCounter,
    SubwindowUsage, admits, assumed_usage, remaining, retry_after, window_limit,
};
use lycheelatch_settings::QuotaTolerance;
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(8);
const QUOTA: Quota = Quota { per_second: 1000, burst: 1000, plain_tokens: Some(1) };

/// A limit that a few long prompts a second come near.
const SMALL_QUOTA: Quota = Quota { per_second: 47_000, burst: 47_000, plain_tokens: Some(200) };

const TOLERANCE: QuotaTolerance = QuotaTolerance { overage: 0.1, slack: 190_000 };

fn terms(quota: &Quota) -> QuotaTerms<'_> {
    QuotaTerms { quota, window: WINDOW, tolerance: TOLERANCE }
}

fn charge(cost: u64, priority: u8) -> Charge {
    Charge { cost, priority: Priority(priority) }
}

/// No other requests.
const ALONE: Crowd = Crowd { refused: 0, draw: 0.0 };

/// Interval at which nodes report their usage to each other.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// A simulated node.
#[derive(Clone, Default)]
struct Node {
    count: SlidingCounter,
    /// Last usage reported since its start.
    reported_usage: Option<SubwindowUsage>,
    started: Option<Instant>,
}

/// Lets every node use as much as it may for 24 s; returns the ticks and amounts admitted.
fn flood(
    nodes: usize,
    is_partitioned: impl Fn(u32) -> bool,
    restart_at: Option<u32>,
) -> Vec<(u32, u64)> {
    let start = Instant::now() + Duration::from_secs(60);
    let mut cluster = vec![Node::default(); nodes];
    let mut admitted = Vec::new();
    for tick in 0..120_u32 {
        let now = start + REPORT_INTERVAL * tick;
        if restart_at == Some(tick) {
            cluster = vec![Node { started: Some(now), ..Node::default() }; nodes];
        }
        for at in 0..nodes {
            let others = others(&cluster, at, is_partitioned(tick));
            let age = cluster[at]
                .started
                .map_or(ProcessAge::FirstStart, |since| ProcessAge::Restarted(now - since));
            let own = cluster[at].count.subwindow_sums(WINDOW, now);
            let left = remaining(&QUOTA, WINDOW, own, others, age);
            // All nodes see the same remainder, so each uses only its share of it.
            let taken = left / nodes as u64;
            cluster[at].count.add(taken, now);
            admitted.push((tick, taken));
        }
        for node in &mut cluster {
            let age = node
                .started
                .map_or(ProcessAge::FirstStart, |since| ProcessAge::Restarted(now - since));
            let mut reported_usage = assumed_usage(&QUOTA, WINDOW, nodes as u32, age);
            reported_usage += node.count.subwindow_sums(WINDOW, now);
            node.reported_usage = Some(reported_usage);
        }
    }
    admitted
}

fn others(cluster: &[Node], own: usize, is_partitioned: bool) -> PeerUsage {
    let half = cluster.len() / 2;
    let is_reachable = |at: &usize| !is_partitioned || (*at < half) == (own < half);
    let all: Vec<usize> = (0..cluster.len()).filter(|at| *at != own).collect();
    let mut reported = SubwindowUsage::default();
    for reported_usage in
        all.iter().filter(|at| is_reachable(at)).filter_map(|at| cluster[*at].reported_usage)
    {
        reported += reported_usage;
    }
    let unseen = all.iter().filter(|at| cluster[**at].reported_usage.is_none()).count() as u32;
    let silent = all.iter().filter(|at| !is_reachable(at)).count() as u32;
    let nodes = cluster.len() as u32;
    let refused = 0;
    PeerUsage { reported, refused, silent_nodes: silent, unseen_nodes: unseen, nodes }
}

fn max_in_window(admitted: &[(u32, u64)]) -> u64 {
    let ticks = (WINDOW.as_millis() / REPORT_INTERVAL.as_millis()) as u32;
    let sum = |from: u32| -> u64 {
        admitted.iter().filter(|(at, _)| (from..from + ticks).contains(at)).map(|(_, n)| n).sum()
    };
    (0..120).map(sum).max().unwrap_or(0)
}

#[test]
fn remaining_holds_over_all_nodes() {
    let most = max_in_window(&flood(6, |_| false, None));
    assert!(most <= window_limit(&QUOTA, WINDOW) * 11 / 10, "{most}");
}

#[test]
fn remaining_holds_in_a_network_partition() {
    let most = max_in_window(&flood(6, |tick| tick > 20, None));
    assert!(most <= window_limit(&QUOTA, WINDOW) * 11 / 10, "{most}");
}

#[test]
fn remaining_holds_when_all_nodes_restart() {
    for restart_at in [30, 45, 60] {
        let most = max_in_window(&flood(6, |_| false, Some(restart_at)));
        assert!(most <= window_limit(&QUOTA, WINDOW) * 125 / 100, "{most} after {restart_at}");
    }
}

#[test]
fn remaining_after_a_restart_suffices_for_normal_usage() {
    // A workspace that uses 0.55 of its limit must not be refused after a restart.
    let limit = window_limit(&QUOTA, WINDOW) as f64;
    let start = Instant::now();
    let mut used = SlidingCounter::default();
    for ms in (500..8000).step_by(100) {
        let now = start + Duration::from_millis(ms);
        let others = PeerUsage { unseen_nodes: 5, nodes: 6, ..PeerUsage::default() };
        let age = ProcessAge::Restarted(Duration::from_millis(ms));
        let left = remaining(&QUOTA, WINDOW, used.subwindow_sums(WINDOW, now), others, age);
        let step = 0.55 * limit * 0.1 / 8.0;
        assert!(left as f64 >= step, "refused {ms} ms after the start");
        used.add(step as u64, now);
    }
}

#[test]
fn remaining_at_first_start_assumes_no_usage() {
    let others = PeerUsage { unseen_nodes: 5, nodes: 6, ..PeerUsage::default() };
    let left = remaining(&QUOTA, WINDOW, SubwindowUsage::default(), others, ProcessAge::FirstStart);
    assert_eq!(left, window_limit(&QUOTA, WINDOW / 8));
}

#[test]
fn extrapolate_continues_at_the_latest_rate() {
    let usage = SubwindowUsage([100, 150, 200, 300]);
    // The shortest subwindow of 8 s is 1 s, so the rate is 100 per second. In half a second, half
    // of what was used between 1 and 2 s before leaves the subwindow of 2 s, and so on.
    assert_eq!(
        usage.extrapolate(Duration::from_millis(500), WINDOW),
        SubwindowUsage([150, 175, 238, 338])
    );
}

#[test]
fn extrapolate_of_steady_usage_stays_at_the_limit() {
    let steady = SubwindowUsage([1000, 2000, 4000, 8000]);
    for age_ms in [0, 200, 400, 800] {
        let now = steady.extrapolate(Duration::from_millis(age_ms), WINDOW);
        assert_eq!(now.0[1..], steady.0[1..], "{age_ms} ms");
    }
    // Beyond the shortest subwindow, the estimate errs on the safe side.
    let now = steady.extrapolate(Duration::from_millis(1500), WINDOW);
    assert!(now.0.iter().zip(steady.0).all(|(now, true_usage)| *now >= true_usage), "{now:?}");
}

#[test]
fn extrapolate_of_rising_usage_does_not_fall_below_the_truth() {
    // One second at four times the rate of the seven before; it continues at that rate.
    let rising = SubwindowUsage([4000, 5000, 7000, 11_000]);
    for age_ms in [200_u64, 400, 800] {
        let now = rising.extrapolate(Duration::from_millis(age_ms), WINDOW);
        let true_whole = 11_000 + 3 * age_ms;
        assert_eq!(now.0[3], true_whole, "{age_ms} ms");
    }
}

#[test]
fn admits_large_request_when_nothing_was_used() {
    let others = PeerUsage { nodes: 6, ..PeerUsage::default() };
    let large = window_limit(&QUOTA, WINDOW / 8) * 2;
    let pass = |own: SubwindowUsage| {
        let terms = QuotaTerms { tolerance: QuotaTolerance::default(), ..terms(&QUOTA) };
        admits(terms, own, others, ProcessAge::FirstStart, charge(large, 0), ALONE).is_ok()
    };
    assert!(pass(SubwindowUsage::default()));
    assert!(!pass(SubwindowUsage([1, 1, 1, 1])));
}

/// A request of a workspace whose whole load comes to one node.
#[derive(Clone, Copy)]
struct Arrival {
    at_ms: u64,
    charge: Charge,
}

/// Returns a minute of long prompts, short ones and plain calls, `rate` times the usual number.
fn mixed_load(seed: u64, rate: f64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for at_ms in 0..60_000 {
        let kinds = [(0.6, 6_000..40_000, 2), (1.6, 500..3_000, 0), (1.0, 200..201, 2)];
        for (per_second, costs, priority) in kinds {
            if random.random_bool(per_second * rate / 1000.0) {
                let cost = random.random_range(costs);
                arrivals.push(Arrival { at_ms, charge: charge(cost, priority) });
            }
        }
    }
    arrivals
}

/// Returns the requests that are admitted and those that are refused.
fn admit_all(arrivals: &[Arrival]) -> (Vec<Arrival>, Vec<Arrival>) {
    let start = Instant::now();
    let others = PeerUsage { nodes: 75, ..PeerUsage::default() };
    let mut used = SlidingCounter::default();
    let mut refused = SlidingCounter::default();
    let mut random = StdRng::seed_from_u64(1);
    arrivals.iter().partition(|arrival| {
        let now = start + Duration::from_millis(arrival.at_ms);
        let own = used.subwindow_sums(WINDOW, now);
        let age = ProcessAge::FirstStart;
        let crowd = Crowd {
            refused: refused.subwindow_sums(WINDOW, now).shortest(),
            draw: random.random(),
        };
        let terms = terms(&SMALL_QUOTA);
        let is_admitted = admits(terms, own, others, age, arrival.charge, crowd).is_ok();
        let count = if is_admitted { &mut used } else { &mut refused };
        count.add(arrival.charge.cost, now);
        is_admitted
    })
}

#[test]
fn admits_long_prompts_of_a_small_workspace_below_its_limit() {
    for seed in 0..20 {
        let (_, refused) = admit_all(&mixed_load(seed, 1.0));
        assert!(refused.is_empty(), "{} refused with seed {seed}", refused.len());
    }
}

#[test]
fn admits_important_and_small_requests_first_beyond_the_limit() {
    for seed in 0..5 {
        let (admitted, refused) = admit_all(&mixed_load(seed, 7.0));
        let share = |is_kind: fn(&Charge) -> bool| {
            let count =
                |of: &[Arrival]| of.iter().filter(|one| is_kind(&one.charge)).count() as f64;
            count(&refused) / (count(&refused) + count(&admitted))
        };
        let long = share(|charge| charge.cost >= 6_000);
        let short = share(|charge| charge.priority == Priority(0));
        let plain = share(|charge| charge.cost == 200);
        assert!(long > 0.5, "{long}");
        assert!(short < 0.1 && plain == 0.0, "{short} {plain}");
    }
}

#[test]
fn admits_no_more_than_limit_and_tolerance_in_any_window() {
    let (admitted, _) = admit_all(&mixed_load(3, 7.0));
    let window_ms = WINDOW.as_millis() as u64;
    let used_from = |from: u64| -> u64 {
        let is_in = |one: &&Arrival| (from..from + window_ms).contains(&one.at_ms);
        admitted.iter().filter(is_in).map(|one| one.charge.cost).sum()
    };
    let most = admitted.iter().map(|one| used_from(one.at_ms)).max().unwrap();
    let limit = window_limit(&SMALL_QUOTA, WINDOW);
    assert!(most > limit * 9 / 10, "the limit is used: {most}");
    assert!(most <= limit + limit / 10 + TOLERANCE.slack, "{most}");
}

/// A limit of a large workspace, for which the slack is negligible.
const LARGE_QUOTA: Quota = Quota { per_second: 600_000, burst: 600_000, plain_tokens: Some(200) };

/// Intervals after which the usage of another availability zone is known.
const CROSS_ZONE_INTERVALS: usize = 3;

/// Replays a workspace that sends `peak` times its limit for 6 s over four availability zones,
/// whose nodes learn of each other's usage with delay; returns what was admitted at which time.
fn admit_in_zones(seed: u64, peak: f64) -> Vec<(u64, u64)> {
    const ZONES: usize = 4;
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now() + Duration::from_secs(60);
    let mut counts = vec![SlidingCounter::default(); ZONES];
    let mut refusals = vec![SlidingCounter::default(); ZONES];
    // Usage of all zones and what they refused, at the end of each interval.
    let mut reports: Vec<(Instant, Vec<SubwindowUsage>, Vec<u64>)> = Vec::new();
    let mut admitted = Vec::new();
    for at_ms in 0..30_000_u64 {
        let now = start + Duration::from_millis(at_ms);
        if at_ms % REPORT_INTERVAL.as_millis() as u64 == 0 {
            let sums = counts.iter_mut().map(|count| count.subwindow_sums(WINDOW, now));
            let refused =
                refusals.iter_mut().map(|count| count.subwindow_sums(WINDOW, now).shortest());
            reports.push((now, sums.collect(), refused.collect()));
        }
        let share = if (10_000..16_000).contains(&at_ms) { peak } else { 0.55 };
        // Requests cost 10,000 tokens on average.
        if !random.random_bool(share * LARGE_QUOTA.per_second as f64 / 10_000.0 / 1000.0) {
            continue;
        }
        let priority = random.random_range(0..3);
        let request = charge(random.random_range(1_000..19_000), priority);
        let zone = random.random_range(0..ZONES);
        let mut reported = SubwindowUsage::default();
        let mut refused = 0;
        for of_zone in 0..ZONES {
            let back = if of_zone == zone { 1 } else { 1 + CROSS_ZONE_INTERVALS };
            let (at, sums, refusals) = &reports[reports.len().saturating_sub(back)];
            refused += refusals[of_zone];
            reported += sums[of_zone].extrapolate(now - *at, WINDOW);
        }
        let others = PeerUsage { reported, nodes: 60, ..PeerUsage::default() };
        let own = SubwindowUsage::default();
        let terms = terms(&LARGE_QUOTA);
        let crowd = Crowd { refused, draw: random.random() };
        if admits(terms, own, others, ProcessAge::FirstStart, request, crowd).is_ok() {
            counts[zone].add(request.cost, now);
            admitted.push((at_ms, request.cost));
        } else {
            refusals[zone].add(request.cost, now);
        }
    }
    admitted
}

#[test]
fn admits_within_the_tolerance_although_reports_are_late() {
    let limit = window_limit(&LARGE_QUOTA, WINDOW) as f64;
    for seed in 0..10 {
        for peak in [2.0, 4.0] {
            let admitted = admit_in_zones(seed, peak);
            let used_from = |from: u64| -> u64 {
                let is_in = |(at, _): &&(u64, u64)| (from..from + 8000).contains(at);
                admitted.iter().filter(is_in).map(|(_, cost)| cost).sum()
            };
            let most = admitted.iter().map(|(at, _)| used_from(*at)).max().unwrap() as f64;
            assert!(most >= limit * 0.9, "{most} of {limit} is used, seed {seed}");
            let tolerated = limit * (1.0 + TOLERANCE.overage) + TOLERANCE.slack as f64;
            assert!(most <= tolerated, "{most} of {limit}, seed {seed}");
        }
    }
}

/// Usage at the limit, evenly over the window.
const FULL: SubwindowUsage = SubwindowUsage([1125, 2250, 4500, 9000]);

#[test]
fn retry_after_is_the_time_until_usage_leaves_the_window() {
    let after = |excess, waiting, position| {
        retry_after(&QUOTA, WINDOW, FULL, excess, waiting, position).as_millis()
    };
    assert_eq!(after(225, 0, 0.0), 200);
    assert_eq!(after(225, 1125, 0.5), 700, "half of the waiting cost is ahead");
    assert_eq!(after(1, 0, 0.0), 50);
    assert_eq!(after(100_000, 0, 0.0), 8000, "by then all usage has left the window");
}

#[test]
fn retry_after_spreads_callers_over_the_capacity_that_becomes_free() {
    // Twenty callers of 100 tokens were refused within a second, at any number of nodes.
    let mut returns: Vec<_> = (0..20)
        .map(|at| retry_after(&QUOTA, WINDOW, FULL, 100, 2000, f64::from(at) / 20.0))
        .collect();
    returns.sort();
    let (first, last) = (returns[0], returns[19]);
    assert!(first < Duration::from_millis(150), "{first:?}");
    assert!(last > Duration::from_millis(1500) && last < Duration::from_secs(2), "{last:?}");
    let largest_gap = returns.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap();
    assert!(largest_gap < Duration::from_millis(120), "{largest_gap:?}");
}

proptest! {
    #[test]
    fn sum_slides(amounts in prop::collection::vec((0_u64..2000, 0_u64..100), 1..60)) {
        let start = Instant::now();
        let mut now = start;
        let mut count = SlidingCounter::default();
        let mut all = Vec::new();
        for (pause_ms, amount) in amounts {
            now += Duration::from_millis(pause_ms);
            count.add(amount, now);
            all.push((now, amount));
            let sum = count.sum(WINDOW, now);
            let within = |slack_ms: u64| -> u64 {
                let from = Duration::from_millis(slack_ms);
                all.iter().filter(|(at, _)| now - *at + from <= WINDOW).map(|(_, n)| n).sum()
            };
            // A bucket expires by its start time, so an amount may expire up to 250 ms early.
            prop_assert!(sum >= within(250), "{sum} {}", within(250));
            let all_within: u64 =
                all.iter().filter(|(at, _)| now - *at <= WINDOW).map(|(_, n)| n).sum();
            prop_assert!(sum <= all_within);
        }
    }
}
