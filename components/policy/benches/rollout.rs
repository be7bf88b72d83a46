//! Duration of counting responses, of merging the counts of all nodes, and of deciding, with ten
//! roll-outs at once among 200 services.
#![allow(missing_docs)]

use std::{collections::BTreeMap, hint::black_box, sync::Arc, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use lycheelatch_policy::{
    ExposureGate, LATENCY_CLASSES, RolloutCounts, RolloutEvidence, RolloutJudge, RolloutLimits,
    RolloutPhase, RouteCounts, TrackCounts, decide_rollout,
};

const SERVICES: usize = 200;
const ROLLOUTS: usize = 10;
const ROUTES: usize = 4;

const LIMITS: RolloutLimits =
    RolloutLimits { max_exposure: 0.1, extra_requests: 50, rollback_time: Duration::from_secs(5) };

fn track(answers: u32) -> TrackCounts {
    let mut answered = [0; LATENCY_CLASSES];
    for (class, number) in answered.iter_mut().enumerate() {
        *number = answers / (1 + class.abs_diff(6) as u32).pow(2);
    }
    TrackCounts { failed: answers / 250, answered }
}

fn counts(scale: u32) -> RolloutCounts {
    let route = RouteCounts { stable: track(20 * scale), canary: track(scale) };
    let routes = (0..ROUTES).map(|n| (format!("route-{n}").into(), route));
    RolloutCounts {
        sent: 84 * u64::from(scale),
        sent_to_canary: 4 * u64::from(scale),
        routes: routes.collect(),
    }
}

fn add(sum: &mut TrackCounts, counts: &TrackCounts) {
    sum.failed += counts.failed;
    for (sum, number) in sum.answered.iter_mut().zip(counts.answered) {
        *sum += number;
    }
}

fn merge(nodes: &[RolloutCounts]) -> RolloutCounts {
    let mut sum = RolloutCounts::default();
    for counts in nodes {
        sum.sent += counts.sent;
        sum.sent_to_canary += counts.sent_to_canary;
        for (name, counts) in &counts.routes {
            let route = sum.routes.entry(name.clone()).or_default();
            add(&mut route.stable, &counts.stable);
            add(&mut route.canary, &counts.canary);
        }
    }
    sum
}

fn evidence(counts: RolloutCounts) -> RolloutEvidence {
    RolloutEvidence {
        counts,
        since_order: Duration::from_secs(6),
        duration: Duration::from_secs(12),
        phase: RolloutPhase::Canary,
        in_flight_at_stable: 40,
    }
}

/// One request: looks the service up, asks the gate, and counts the response.
fn count(c: &mut Criterion) {
    let services: Vec<Arc<str>> = (0..SERVICES).map(|n| format!("service-{n}").into()).collect();
    let rollouts = services.iter().take(ROLLOUTS);
    let mut rollouts: BTreeMap<Arc<str>, (ExposureGate, RolloutCounts)> = rollouts
        .enumerate()
        .map(|(n, name)| (name.clone(), (ExposureGate::new(n as u64), counts(10))))
        .collect();
    let route: Arc<str> = "route-2".into();
    let mut n = 0;
    c.bench_function("rollout/count", |b| {
        b.iter(|| {
            n += 1;
            let Some((gate, counts)) = rollouts.get_mut(&services[n % SERVICES]) else { return };
            let to_canary = gate.admit(0.05);
            counts.sent += 1;
            let of_route = counts.routes.entry(route.clone()).or_default();
            let track = if to_canary { &mut of_route.canary } else { &mut of_route.stable };
            track.answered[n % LATENCY_CLASSES] += 1;
        });
    });
}

/// One step of the leader: merges the counts of all nodes and decides, for all roll-outs.
fn step(c: &mut Criterion) {
    let mut group = c.benchmark_group("rollout/step");
    for nodes in [39, 195, 390] {
        let of_nodes: Vec<_> = (0..nodes).map(|_| counts(2)).collect();
        let mut judges = vec![RolloutJudge::default(); ROLLOUTS];
        group.bench_function(BenchmarkId::from_parameter(nodes), |b| {
            b.iter(|| {
                for judge in &mut judges {
                    black_box(judge.decide(&evidence(merge(&of_nodes)), &LIMITS));
                }
            });
        });
    }
    group.finish();
    let evidence = evidence(counts(300));
    c.bench_function("rollout/decide", |b| b.iter(|| decide_rollout(&evidence, &LIMITS)));
}

criterion_group!(benches, count, step);
criterion_main!(benches);
