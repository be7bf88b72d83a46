//! Limits of workspaces over nodes that hear each other late, not at all, or start again.

use std::time::Duration;

use lycheelatch_gateway::{
    Age, OthersUse, PartUse, Quota, SlidingCount, assumed_use, may_pass, room, window_limit,
};
use proptest::prelude::*;
use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(8);
const QUOTA: Quota = Quota { per_second: 1000, burst: 1000, plain_tokens: Some(1) };

/// Time between two rounds in which nodes hear each other.
const NEWS: Duration = Duration::from_millis(200);

/// One node of the model.
#[derive(Clone, Default)]
struct Node {
    count: SlidingCount,
    /// What it said last, since it started.
    said: Option<PartUse>,
    started: Option<Instant>,
}

/// Lets nodes ask for as much as they can for some seconds; returns each pass.
fn flood(nodes: usize, is_split: impl Fn(u32) -> bool, restart_at: Option<u32>) -> Vec<(u32, u64)> {
    let start = Instant::now() + Duration::from_secs(60);
    let mut fleet = vec![Node::default(); nodes];
    let mut passed = Vec::new();
    for tick in 0..120_u32 {
        let now = start + NEWS * tick;
        if restart_at == Some(tick) {
            fleet = vec![Node { started: Some(now), ..Node::default() }; nodes];
        }
        for at in 0..nodes {
            let others = others(&fleet, at, is_split(tick));
            let age = fleet[at].started.map_or(Age::FirstStart, |since| Age::Since(now - since));
            let own = fleet[at].count.parts(WINDOW, now);
            let room = room(&QUOTA, WINDOW, own, others, age);
            // Each node takes at most its share of what it sees, since all see the same.
            let taken = room / nodes as u64;
            fleet[at].count.add(taken, now);
            passed.push((tick, taken));
        }
        for node in &mut fleet {
            let age = node.started.map_or(Age::FirstStart, |since| Age::Since(now - since));
            let mut said = assumed_use(&QUOTA, WINDOW, nodes as u32, age);
            said += node.count.parts(WINDOW, now);
            node.said = Some(said);
        }
    }
    passed
}

fn others(fleet: &[Node], own: usize, is_split: bool) -> OthersUse {
    let half = fleet.len() / 2;
    let is_heard = |at: &usize| !is_split || (*at < half) == (own < half);
    let all: Vec<usize> = (0..fleet.len()).filter(|at| *at != own).collect();
    let mut heard = PartUse::default();
    for said in all.iter().filter(|at| is_heard(at)).filter_map(|at| fleet[*at].said) {
        heard += said;
    }
    let unmet = all.iter().filter(|at| fleet[**at].said.is_none()).count() as u32;
    let unheard = all.iter().filter(|at| !is_heard(at)).count() as u32;
    let nodes = fleet.len() as u32;
    OthersUse { heard, unheard_nodes: unheard, unmet_nodes: unmet, nodes }
}

fn most_in_window(passed: &[(u32, u64)]) -> u64 {
    let ticks = (WINDOW.as_millis() / NEWS.as_millis()) as u32;
    let sum = |from: u32| -> u64 {
        passed.iter().filter(|(at, _)| (from..from + ticks).contains(at)).map(|(_, n)| n).sum()
    };
    (0..120).map(sum).max().unwrap_or(0)
}

#[test]
fn room_holds_over_nodes_that_hear_each_other() {
    let most = most_in_window(&flood(6, |_| false, None));
    assert!(most <= window_limit(&QUOTA, WINDOW) * 11 / 10, "{most}");
}

#[test]
fn room_holds_when_halves_do_not_hear_each_other() {
    let most = most_in_window(&flood(6, |tick| tick > 20, None));
    assert!(most <= window_limit(&QUOTA, WINDOW) * 11 / 10, "{most}");
}

#[test]
fn room_holds_when_all_nodes_start_again() {
    for restart_at in [30, 45, 60] {
        let most = most_in_window(&flood(6, |_| false, Some(restart_at)));
        assert!(most <= window_limit(&QUOTA, WINDOW) * 125 / 100, "{most} after {restart_at}");
    }
}

#[test]
fn room_after_a_start_carries_usual_use() {
    // A workspace that uses 0.55 of its limit must not be refused after a start.
    let limit = window_limit(&QUOTA, WINDOW) as f64;
    let start = Instant::now();
    let mut used = SlidingCount::default();
    for ms in (500..8000).step_by(100) {
        let now = start + Duration::from_millis(ms);
        let others = OthersUse { unmet_nodes: 5, nodes: 6, ..OthersUse::default() };
        let age = Age::Since(Duration::from_millis(ms));
        let left = room(&QUOTA, WINDOW, used.parts(WINDOW, now), others, age);
        let step = 0.55 * limit * 0.1 / 8.0;
        assert!(left as f64 >= step, "refused {ms} ms after the start");
        used.add(step as u64, now);
    }
}

#[test]
fn room_of_first_start_assumes_nothing() {
    let others = OthersUse { unmet_nodes: 5, nodes: 6, ..OthersUse::default() };
    let left = room(&QUOTA, WINDOW, PartUse::default(), others, Age::FirstStart);
    assert_eq!(left, window_limit(&QUOTA, WINDOW / 8));
}

#[test]
fn after_goes_on_at_the_latest_rate() {
    let told = PartUse([100, 150, 200, 300]);
    // The shortest part of 8 s is 1 s: 100 a second.
    assert_eq!(told.after(Duration::from_millis(500), WINDOW), PartUse([150, 200, 250, 350]));
}

#[test]
fn may_pass_large_request_when_nothing_was_used() {
    let others = OthersUse { nodes: 6, ..OthersUse::default() };
    let large = window_limit(&QUOTA, WINDOW / 8) * 2;
    let pass = |own: PartUse| may_pass(&QUOTA, WINDOW, own, others, Age::FirstStart, large);
    assert!(pass(PartUse::default()));
    assert!(!pass(PartUse([1, 1, 1, 1])));
}

proptest! {
    #[test]
    fn sum_slides(amounts in prop::collection::vec((0_u64..2000, 0_u64..100), 1..60)) {
        let start = Instant::now();
        let mut now = start;
        let mut count = SlidingCount::default();
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
            // An interval counts from its start, so an amount may leave up to 250 ms early.
            prop_assert!(sum >= within(250), "{sum} {}", within(250));
            let all_within: u64 =
                all.iter().filter(|(at, _)| now - *at <= WINDOW).map(|(_, n)| n).sum();
            prop_assert!(sum <= all_within);
        }
    }
}
