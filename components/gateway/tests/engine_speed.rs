//! Fit of the engines' speed to observed times to the first token.

use std::time::Duration;

use lycheelatch_gateway::{EngineSpeed, SpeedSamples};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Records requests of engines with a given speed and up to `noise` of additional time.
fn observe(samples: &mut SpeedSamples, speed: EngineSpeed, count: u32, noise: f64) {
    let mut rng = StdRng::seed_from_u64(u64::from(count));
    for _ in 0..count {
        let tokens: u64 = rng.random_range(100..20_000);
        let ms = speed.first_token_ms + speed.prefill_ms(tokens as f64);
        let ms = ms * (1.0 + noise * rng.random::<f64>());
        samples.record(tokens, Duration::from_secs_f64(ms / 1000.0));
    }
}

fn speed(first_token_ms: f64, prefill_tokens_per_ms: f64) -> EngineSpeed {
    EngineSpeed { first_token_ms, prefill_tokens_per_ms }
}

#[track_caller]
fn assert_near(fitted: EngineSpeed, actual: EngineSpeed, tolerance: f64) {
    for tokens in [1000.0, 5000.0, 20_000.0] {
        let expected = actual.first_token_ms + actual.prefill_ms(tokens);
        let estimate = fitted.first_token_ms + fitted.prefill_ms(tokens);
        let ratio = estimate / expected;
        assert!((ratio - 1.0).abs() < tolerance, "{tokens} tokens: {fitted:?}, actual {actual:?}");
    }
}

#[test]
fn fit_without_observations_is_the_default() {
    assert_near(SpeedSamples::default().fit(), EngineSpeed::default(), 0.01);
}

#[test]
fn fit_follows_engines_of_any_speed() {
    for actual in [speed(20.0, 5.0), speed(30.0, 50.0), speed(25.0, 157.0), speed(8.0, 900.0)] {
        let mut samples = SpeedSamples::default();
        observe(&mut samples, actual, 1000, 0.0);
        assert_near(samples.fit(), actual, 0.1);
    }
}

#[test]
fn fit_bears_delayed_requests() {
    let actual = speed(25.0, 157.0);
    let mut samples = SpeedSamples::default();
    for _ in 0..300 {
        observe(&mut samples, actual, 3, 0.2);
        samples.record(1000, Duration::from_secs(20));
    }
    let fitted = samples.fit();
    let expected = 25.0 + actual.prefill_ms(10_000.0);
    let estimate = fitted.first_token_ms + fitted.prefill_ms(10_000.0);
    assert!(estimate < 4.0 * expected, "{fitted:?}");
}

#[test]
fn fit_of_several_nodes_equals_that_of_one() {
    let actual = speed(25.0, 157.0);
    let mut sum = SpeedSamples::default();
    for _ in 0..8 {
        let mut samples = SpeedSamples::default();
        observe(&mut samples, actual, 20, 0.0);
        sum += samples;
    }
    assert_near(sum.fit(), actual, 0.1);
}
