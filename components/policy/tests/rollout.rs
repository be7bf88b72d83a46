//! Decisions of roll-outs: cases, simulated roll-outs and arbitrary sequences of responses.

mod support;

use std::time::Duration;

use lycheelatch_policy::{
    ExposureGate, RollbackReason, RolloutCounts, RolloutEvidence, RolloutPhase, RolloutStep,
    decide_rollout, find_fault_alone, loaded_canaries,
};
use proptest::prelude::*;
use support::rollout::{Fault, Setup, counts, limits, play, route_name};

const DURATION: Duration = Duration::from_secs(12);

fn decide_at(counts: RolloutCounts, phase: RolloutPhase, since_order_ms: u64) -> RolloutStep {
    let evidence = RolloutEvidence {
        counts,
        since_order: Duration::from_millis(since_order_ms),
        duration: DURATION,
        phase,
        in_flight_at_stable: 0,
    };
    decide_rollout(&evidence, &limits())
}

fn is_equal(a: &RolloutStep, b: &RolloutStep) -> bool {
    match (a, b) {
        (RolloutStep::Continue { canary_share: a }, RolloutStep::Continue { canary_share: b }) => {
            (a - b).abs() < 1e-9
        }
        _ => a == b,
    }
}

fn failures_on_route() -> RolloutStep {
    RolloutStep::RollBack(RollbackReason::Failures { route: Some(route_name(0)) })
}

#[test]
fn decide_table_of_cases() {
    use RolloutPhase::{Canary, Completed, Promoting, RolledBack};
    let share = |canary_share| RolloutStep::Continue { canary_share };
    // Half of the permitted exposure, and at first the greatest part of the extra requests.
    let nothing_known = share(0.05 + 0.03);
    let after_half = |sent: f64| share(0.05 + 50.0 * 0.3 / (2.0 * sent));
    let good = || counts((3000, 12), (170, 1));
    let bad = || counts((3000, 12), (60, 20));
    let cases = [
        ("nothing known", RolloutCounts::default(), Canary, 0, nothing_known),
        ("good, time left", good(), Canary, 6_000, after_half(3170.0)),
        ("good, before the deadline", good(), Canary, 11_400, RolloutStep::Promote),
        ("good, after the deadline", good(), Canary, 13_000, RolloutStep::Promote),
        ("bad", bad(), Canary, 2_000, failures_on_route()),
        ("bad, after the deadline", bad(), Canary, 13_000, failures_on_route()),
        ("one failure of three", counts((100, 0), (3, 1)), Canary, 600, {
            share(0.05 + 50.0 * 0.3 / (20.0 * 103.0))
        }),
        ("both fail often", counts((3000, 420), (170, 26)), Canary, 6_000, after_half(3170.0)),
        ("both fail always", counts((3000, 3000), (170, 170)), Canary, 6_000, after_half(3170.0)),
        ("stable fails more", counts((3000, 900), (170, 2)), Canary, 6_000, after_half(3170.0)),
        ("over the bound", counts((900, 2), (150, 0)), Canary, 3_000, share(0.0)),
        ("promoted, time left", good(), Promoting, 11_500, share(1.0)),
        ("promoted, time up", good(), Promoting, 11_600, RolloutStep::Complete),
        ("promoted, then bad", counts((3000, 12), (300, 60)), Promoting, 11_700, {
            failures_on_route()
        }),
        ("completed stays so", bad(), Completed, 11_900, share(1.0)),
        ("rolled back stays so", good(), RolledBack, 11_400, share(0.0)),
        ("no answers", counts((3000, 12), (0, 0)), Canary, 11_400, {
            RolloutStep::RollBack(RollbackReason::NotEnoughEvidence)
        }),
        ("hardly any traffic", counts((20, 0), (1, 0)), Canary, 11_400, RolloutStep::Promote),
    ];
    for (case, counts, phase, since_order_ms, expected) in cases {
        assert!(is_equal(&decide_at(counts, phase, since_order_ms), &expected), "{case}");
    }
}

#[test]
fn decide_no_duration_is_rolled_back() {
    let evidence = RolloutEvidence {
        counts: counts((3000, 12), (170, 1)),
        since_order: Duration::ZERO,
        duration: Duration::ZERO,
        phase: RolloutPhase::Canary,
        in_flight_at_stable: 0,
    };
    let step = decide_rollout(&evidence, &limits());
    assert_eq!(step, RolloutStep::RollBack(RollbackReason::NotEnoughEvidence));
}

/// Plays roll-outs with seeds of their own and returns how many were rolled back.
fn count_rolled_back(setup: &Setup, seeds: u64) -> usize {
    let rolled_back = |seed| {
        let report = play(&Setup { seed, ..setup.clone() });
        let is_ended = report.rolled_back.is_some() || report.completed_at <= Some(DURATION);
        assert!(is_ended, "seed {seed}: {report:?}");
        assert!(report.keeps_exposure(&setup.limits), "seed {seed}: {report:?}");
        if setup.canary.is_some() {
            assert!(report.keeps_rollback_time(&setup.limits), "seed {seed}: {report:?}");
        }
        report.rolled_back.is_some()
    };
    (0..seeds).filter(|seed| rolled_back(*seed)).count()
}

#[test]
fn play_good_versions_complete() {
    for (rate, usual_failures) in [(100.0, 0.004), (300.0, 0.004), (700.0, 0.004), (300.0, 0.14)] {
        let setup = Setup { rate, usual_failures, ..Setup::default() };
        // The stated error rates add up to 0.055: more than 5 of 25 have a probability of 0.003.
        assert!(count_rolled_back(&setup, 25) <= 5, "{rate} {usual_failures}");
    }
}

#[test]
fn play_bad_days_take_nothing_back() {
    let days = [
        Fault::failing(1.0).from(0.3),
        Fault::failing(0.3).from(0.5),
        Fault::slow(1.0, 8.0).from(0.3),
        Fault::slow(0.3, 4.0),
        Fault::failing(0.5).on_route(1),
    ];
    for day in days {
        let setup = Setup { both: Some(day), ..Setup::default() };
        assert_eq!(count_rolled_back(&setup, 10), 0, "{day:?}");
    }
}

#[test]
fn play_bad_versions_are_rolled_back() {
    let versions = [
        Fault::failing(0.2),
        Fault::failing(1.0),
        Fault::failing(0.3).from(0.5),
        Fault::failing(0.4).on_route(2),
        Fault::slow(0.3, 4.0),
        Fault::slow(1.0, 3.0),
        Fault::slow(0.4, 5.0).from(0.5),
        Fault::slow(0.5, 4.0).on_route(0),
    ];
    for rate in [300.0, 700.0] {
        for version in versions {
            let setup = Setup { canary: Some(version), rate, ..Setup::default() };
            assert_eq!(count_rolled_back(&setup, 10), 10, "{rate} {version:?}");
        }
    }
}

#[test]
fn find_fault_alone_only_clear_faults() {
    let phase = RolloutPhase::Canary;
    assert_eq!(find_fault_alone(&counts((40, 1), (4, 2)), phase), None);
    assert_eq!(find_fault_alone(&counts((40, 40), (4, 4)), phase), None);
    let clear = counts((300, 1), (30, 12));
    let failures = RollbackReason::Failures { route: Some(route_name(0)) };
    assert_eq!(find_fault_alone(&clear, phase), Some(failures));
    assert_eq!(find_fault_alone(&clear, RolloutPhase::Completed), None);
}

#[test]
fn admit_few_requests_a_node_keep_the_share() {
    let mut to_canary = 0;
    for node in 0..390 {
        let mut gate = ExposureGate::new(node);
        to_canary += (0..3).filter(|_| gate.admit(0.055)).count();
    }
    assert!((35..=95).contains(&to_canary), "{to_canary} of 1170");
}

#[test]
fn admit_refunded_request_is_replaced() {
    let mut gate = ExposureGate::new(7);
    let first = (0..10).position(|_| gate.admit(0.1)).unwrap();
    gate.refund();
    assert!(first == 9 || gate.admit(0.1));
}

#[test]
fn loaded_canaries_bear_load_of_stable() {
    assert_eq!(loaded_canaries(140, 140, 0.055), 8);
    assert_eq!(loaded_canaries(4, 4, 0.055), 1);
    assert_eq!(loaded_canaries(140, 3, 0.055), 3);
    assert_eq!(loaded_canaries(140, 0, 0.055), 0);
    assert_eq!(loaded_canaries(140, 140, 1.0), 140);
    assert_eq!(loaded_canaries(0, 5, 0.055), 5);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn admit_any_share_exceeds_by_one_at_most(
        seed: u64,
        share in 0.0..1.0_f64,
        requests in 1..2000_usize,
    ) {
        let mut gate = ExposureGate::new(seed);
        let admitted = (0..requests).filter(|_| gate.admit(share)).count();
        prop_assert!(admitted as f64 <= share * requests as f64 + 1.0 + 1e-6);
        prop_assert!(admitted as f64 >= share * requests as f64 - 2.0);
    }

    #[test]
    fn play_any_version_keeps_the_bounds(
        seed: u64,
        nodes in 1..400_usize,
        routes in 1..6_usize,
        rate in 20.0..700.0_f64,
        failing in 0.0..=1.0_f64,
        slow in 0.0..=1.0_f64,
        slowdown in 1.0..10.0_f64,
        from in 0.0..1.0_f64,
        is_on_one_route: bool,
    ) {
        let route = is_on_one_route.then_some(0);
        let fault = Fault { failing, slow, slowdown, from, route };
        let setup = Setup { seed, nodes, routes, rate, canary: Some(fault), ..Setup::default() };
        let report = play(&setup);
        prop_assert!(report.keeps_exposure(&setup.limits), "{:?}", report);
        prop_assert!(
            report.rolled_back.is_some() || report.completed_at <= Some(DURATION),
            "{:?}", report
        );
    }

    #[test]
    fn decide_any_counts_moves_forward(
        stable in (0..5000_u32, 0.0..=1.0_f64),
        canary in (0..5000_u32, 0.0..=1.0_f64),
        since_order_ms in 0..30_000_u64,
    ) {
        let split = |(ended, failing): (u32, f64)| (ended, (f64::from(ended) * failing) as u32);
        let known = counts(split(stable), split(canary));
        for phase in [RolloutPhase::Canary, RolloutPhase::Promoting] {
            let step = decide_at(known.clone(), phase, since_order_ms);
            if let RolloutStep::Continue { canary_share } = &step {
                prop_assert!((0.0..=1.0).contains(canary_share));
            }
            let is_forward = match phase {
                RolloutPhase::Canary => step != RolloutStep::Complete,
                _ => step != RolloutStep::Promote,
            };
            prop_assert!(is_forward);
        }
        let completed = decide_at(known.clone(), RolloutPhase::Completed, since_order_ms);
        prop_assert_eq!(completed, RolloutStep::Continue { canary_share: 1.0 });
        let rolled_back = decide_at(known, RolloutPhase::RolledBack, since_order_ms);
        prop_assert_eq!(rolled_back, RolloutStep::Continue { canary_share: 0.0 });
    }
}
