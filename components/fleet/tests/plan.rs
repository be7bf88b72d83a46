//! Properties of the plan for the streams on a leaving runner.

use std::{collections::HashMap, time::Duration};

use lycheelatch_fleet::{Action, ExportLimits, Receiver, RunningStream, Step, plan};
use proptest::prelude::*;
use tokio::time::Instant;

const MB: u64 = 1_000_000;

fn stream(i: usize, prompt: u64, generated: u64, remaining_ms: u64) -> RunningStream {
    RunningStream {
        request: format!("req-{i}").parse().unwrap(),
        prompt_tokens: prompt,
        generated,
        remaining_estimate: Duration::from_millis(remaining_ms),
        kv_bytes: (prompt + generated) * MB / 8,
    }
}

fn receiver(i: usize, room_tokens: u64, room_streams: u32) -> Receiver {
    Receiver {
        id: format!("runner-{i}").parse().unwrap(),
        zone: format!("zone-{}", i % 3).parse().unwrap(),
        room_tokens,
        room_streams,
        prefill_tokens_per_second: 20_000,
    }
}

fn limits(notice_ms: u64) -> ExportLimits {
    ExportLimits {
        bytes_per_second: 2_000 * MB,
        transfer_overhead: Duration::from_millis(10),
        notice: Duration::from_millis(notice_ms),
        margin: Duration::from_millis(200),
        link_busy: Duration::ZERO,
    }
}

fn streams() -> impl Strategy<Value = Vec<RunningStream>> {
    let one = (1_u64..8_000, 0_u64..2_000, 0_u64..60_000);
    prop::collection::vec(one, 0..14).prop_map(|all| {
        let of = |(i, (prompt, generated, ms))| stream(i, prompt, generated, ms);
        all.into_iter().enumerate().map(of).collect()
    })
}

fn receivers() -> impl Strategy<Value = Vec<Receiver>> {
    let one = (0_u64..40_000, 0_u32..12);
    prop::collection::vec(one, 0..6).prop_map(|all| {
        let of = |(i, (tokens, streams))| receiver(i, tokens, streams);
        all.into_iter().enumerate().map(of).collect()
    })
}

fn transfer_secs(stream: &RunningStream, limits: &ExportLimits) -> f64 {
    limits.transfer_overhead.as_secs_f64() + stream.kv_bytes as f64 / limits.bytes_per_second as f64
}

/// Returns the minimum number of recomputed tokens, by trying every set of moves.
fn min_recomputed_brute_force(streams: &[RunningStream], limits: &ExportLimits) -> u64 {
    let budget = (limits.notice - limits.margin).as_secs_f64();
    let all: u64 = streams.iter().map(RunningStream::recompute_tokens).sum();
    let saved = (0_u32..1 << streams.len()).filter_map(|set| {
        let chosen = || (0..streams.len()).filter(|i| set >> i & 1 == 1).map(|i| &streams[i]);
        let secs: f64 = chosen().map(|s| transfer_secs(s, limits)).sum();
        (secs <= budget).then(|| chosen().map(RunningStream::recompute_tokens).sum::<u64>())
    });
    all - saved.max().unwrap_or(0)
}

fn recomputed(streams: &[RunningStream], steps: &[Step]) -> u64 {
    let cost: HashMap<_, _> =
        streams.iter().map(|s| (s.request.clone(), s.recompute_tokens())).collect();
    let resumed = steps.iter().filter(|s| matches!(s.action, Action::Resume { .. }));
    resumed.map(|s| cost[&s.request]).sum()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn plan_covers_each_stream_once(streams in streams(), receivers in receivers(), ms in 0_u64..6_000) {
        let steps = plan(Instant::now(), &streams, &limits(ms), &receivers);
        let mut planned: Vec<_> = steps.iter().map(|s| s.request.clone()).collect();
        let mut given: Vec<_> = streams.iter().map(|s| s.request.clone()).collect();
        planned.sort();
        given.sort();
        prop_assert_eq!(planned, given);
    }

    #[test]
    fn plan_moves_end_in_time(streams in streams(), receivers in receivers(), ms in 0_u64..6_000) {
        let (now, limits) = (Instant::now(), limits(ms));
        let by_request: HashMap<_, _> = streams.iter().map(|s| (s.request.clone(), s)).collect();
        let end = now + limits.notice.saturating_sub(limits.margin);
        let mut free = now;
        let steps = plan(now, &streams, &limits, &receivers);
        for step in steps.iter().filter(|s| matches!(s.action, Action::Move { .. })) {
            prop_assert!(step.start >= free, "transfers overlap");
            free = step.start + Duration::from_secs_f64(
                transfer_secs(by_request[&step.request], &limits),
            );
        }
        prop_assert!(free <= end + Duration::from_millis(1));
    }

    #[test]
    fn plan_keeps_within_receivers_room(streams in streams(), receivers in receivers(), ms in 0_u64..6_000) {
        let by_request: HashMap<_, _> = streams.iter().map(|s| (s.request.clone(), s)).collect();
        let steps = plan(Instant::now(), &streams, &limits(ms), &receivers);
        for receiver in &receivers {
            let taken: Vec<_> = steps
                .iter()
                .filter(|s| matches!(&s.action, Action::Move { to } | Action::Resume { to } if *to == receiver.id))
                .map(|s| by_request[&s.request].recompute_tokens())
                .collect();
            prop_assert!(taken.iter().sum::<u64>() <= receiver.room_tokens);
            prop_assert!(taken.len() <= receiver.room_streams as usize);
        }
    }

    #[test]
    fn plan_with_room_is_within_a_fifth_of_the_best(
        streams in streams(), ms in 300_u64..6_000,
    ) {
        let limits = limits(ms);
        let long: Vec<_> = streams
            .into_iter()
            .map(|s| RunningStream { remaining_estimate: Duration::from_secs(600), ..s })
            .collect();
        let steps = plan(Instant::now(), &long, &limits, &[receiver(0, u64::MAX / 2, 1_000)]);
        let best = min_recomputed_brute_force(&long, &limits);
        let own = recomputed(&long, &steps);
        prop_assert!(own as f64 <= best as f64 * 1.2, "{own} against {best}");
    }
}

#[test]
fn plan_costliest_first() {
    let streams = [stream(0, 100, 0, 60_000), stream(1, 6_000, 0, 60_000)];
    let steps = plan(Instant::now(), &streams, &limits(3_000), &[receiver(0, 100_000, 9)]);
    assert_eq!(steps[0].request, streams[1].request);
    assert!(matches!(steps[0].action, Action::Move { .. }));
    assert!(steps[0].start < steps[1].start);
}

#[test]
fn plan_short_stream_finishes() {
    let streams = [stream(0, 6_000, 0, 1_000)];
    let steps = plan(Instant::now(), &streams, &limits(3_000), &[receiver(0, 100_000, 9)]);
    assert_eq!(steps[0].action, Action::Finish);
}

#[test]
fn plan_without_receiver_waits() {
    let streams = [stream(0, 6_000, 0, 60_000)];
    let steps = plan(Instant::now(), &streams, &limits(3_000), &[]);
    assert_eq!(steps[0].action, Action::Wait);
}

#[test]
fn plan_spreads_resumes_over_receivers() {
    let streams: Vec<_> = (0..30).map(|i| stream(i, 1_000, 0, 60_000)).collect();
    let receivers: Vec<_> = (0..3).map(|i| receiver(i, 1_000_000, 100)).collect();
    let no_bandwidth = ExportLimits { bytes_per_second: 1, ..limits(3_000) };
    let steps = plan(Instant::now(), &streams, &no_bandwidth, &receivers);
    for receiver in &receivers {
        let to_it = |s: &&Step| s.action == Action::Resume { to: receiver.id.clone() };
        assert_eq!(steps.iter().filter(to_it).count(), 10);
    }
}
