//! What is learnt about an upstream's speed from samples, stated figures and silence.

use std::time::Duration;

use lycheelatch_policy::{SpeedSample, UpstreamSpeed};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

const USUAL: Duration = Duration::from_millis(100);

/// Load below the first crowding step.
const LIGHT: f64 = 0.2;

fn sample(ratio: f64, crowding: f64) -> SpeedSample {
    SpeedSample::new(USUAL.mul_f64(ratio), USUAL, crowding)
}

/// Records samples with noise, `per_second` of them; returns the time after the last one.
fn observe(
    speed: &mut UpstreamSpeed,
    ratio: f64,
    crowding: f64,
    (from, seconds, per_second): (Instant, u32, u32),
) -> Instant {
    let mut rng = StdRng::seed_from_u64(3);
    let mut now = from;
    for _ in 0..seconds * per_second {
        now += Duration::from_secs(1) / per_second;
        let noise = rng.random_range(-0.3_f64..0.3).exp();
        speed.record(sample(ratio * noise, crowding), 0.0, now);
    }
    now
}

#[track_caller]
fn assert_near(actual: f64, expected: f64, tolerance: f64) {
    let is_near = (actual / expected).ln().abs() < tolerance;
    assert!(is_near, "{actual} is not near {expected}");
}

#[test]
fn factor_without_samples_is_the_usual() {
    let speed = UpstreamSpeed::default();
    assert_eq!(speed.factor(LIGHT, Instant::now()), 1.0);
    assert_eq!(speed.useful_share(Instant::now()), 1.0);
    assert!(speed.is_unknown());
}

#[test]
fn factor_of_different_upstreams_is_learnt() {
    for ratio in [0.55, 1.0, 1.2, 3.0] {
        let mut speed = UpstreamSpeed::default();
        let now = observe(&mut speed, ratio, LIGHT, (Instant::now(), 20, 3));
        assert_near(speed.factor(LIGHT, now), ratio, 0.2);
    }
}

#[test]
fn factor_follows_a_change_within_two_seconds() {
    let mut speed = UpstreamSpeed::default();
    let now = observe(&mut speed, 1.0, LIGHT, (Instant::now(), 30, 4));
    let slow = observe(&mut speed, 5.0, LIGHT, (now, 2, 4));
    assert!(speed.factor(LIGHT, slow) > 2.2, "{}", speed.factor(LIGHT, slow));
    let again = observe(&mut speed, 1.0, LIGHT, (slow, 2, 4));
    assert!(speed.factor(LIGHT, again) < 1.6, "{}", speed.factor(LIGHT, again));
}

#[test]
fn factor_is_forgotten_after_silence() {
    let mut speed = UpstreamSpeed::default();
    let start = observe(&mut speed, 0.6, LIGHT, (Instant::now(), 30, 4));
    let now = observe(&mut speed, 6.0, LIGHT, (start, 2, 4));
    let soon = now + Duration::from_secs(6);
    assert!(speed.factor(LIGHT, soon) < 1.5, "the slow moment has passed");
    let late = now + Duration::from_secs(300);
    assert_near(speed.factor(LIGHT, late), 1.0, 0.05);
}

#[test]
fn factor_rises_with_the_load_that_makes_work_late() {
    let (mut early, mut even) = (UpstreamSpeed::default(), UpstreamSpeed::default());
    let mut now = Instant::now();
    for _ in 0..20 {
        observe(&mut early, 1.0, LIGHT, (now, 1, 3));
        observe(&mut even, 1.0, LIGHT, (now, 1, 3));
        observe(&mut even, 1.0, 0.9, (now, 1, 3));
        now = observe(&mut early, 3.0, 0.7, (now, 1, 3));
    }
    assert!(early.factor(0.7, now) > 1.8 * early.factor(LIGHT, now));
    assert!(early.factor(0.95, now) >= early.factor(0.7, now), "never falls with the load");
    assert_eq!(early.useful_share(now), 0.5);
    assert_near(even.factor(0.9, now), even.factor(LIGHT, now), 0.15);
    assert_eq!(even.useful_share(now), 1.0);
}

#[test]
fn record_overdue_raises_the_factor_only_of_late_requests() {
    let (mut speed, now) = (UpstreamSpeed::default(), Instant::now());
    // An upstream that fails at once leaves no sample: its answers say nothing of its work.
    assert!(!speed.record_overdue(sample(0.01, LIGHT), now));
    assert_eq!(speed.factor(LIGHT, now), 1.0);
    assert!(speed.record_overdue(sample(8.0, LIGHT), now));
    assert!(speed.factor(LIGHT, now) > 1.4);
}

/// Records requests whose stated figure alternates; the measured time follows `follows`.
fn state_and_measure(speed: &mut UpstreamSpeed, follows: impl Fn(f64) -> f64) -> Instant {
    let mut now = Instant::now();
    for at in 0..120 {
        let stated = if at % 5 == 0 { 2.5 } else { 1.0 };
        speed.record_stated(stated, now);
        let (deviation, believed) = (speed.stated_deviation(now), speed.stated_part(now));
        now += Duration::from_millis(250);
        let sample = sample(follows(stated), LIGHT);
        speed.compare_stated(deviation, sample, now);
        speed.record(sample, believed, now);
    }
    now
}

#[test]
fn stated_figure_counts_if_it_predicts() {
    let mut speed = UpstreamSpeed::default();
    let now = state_and_measure(&mut speed, |stated| stated);
    speed.record_stated(2.5, now);
    assert!(speed.factor(LIGHT, now) > 1.7, "{}", speed.factor(LIGHT, now));
    speed.record_stated(1.0, now);
    assert!(speed.factor(LIGHT, now) < 1.3, "{}", speed.factor(LIGHT, now));
}

#[test]
fn stated_figure_of_a_liar_does_not_count() {
    let mut constant = UpstreamSpeed::default();
    let now = state_and_measure(&mut constant, |_| 1.0);
    constant.record_stated(0.1, now);
    assert_near(constant.factor(LIGHT, now), 1.0, 0.25);
    let mut opposite = UpstreamSpeed::default();
    let now = state_and_measure(&mut opposite, |stated| 1.0 / stated);
    opposite.record_stated(0.1, now);
    assert!(opposite.factor(LIGHT, now) > 0.6, "{}", opposite.factor(LIGHT, now));
}

#[test]
fn record_stated_ignores_what_is_no_figure() {
    let (mut speed, now) = (UpstreamSpeed::default(), Instant::now());
    for figure in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        speed.record_stated(figure, now);
    }
    assert!(speed.is_unknown());
}
