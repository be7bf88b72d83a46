//! Fit of how fast a service's engines produce the first token, from observed requests.
//!
//! The time to the first token is modelled as a fixed part plus the prompt tokens to be
//! processed divided by a rate. The fit uses sums that can be added, so that the nodes of a
//! cluster share their observations.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Factor by which earlier observations lose weight with each new one.
const DECAY: f64 = 0.998;

/// Largest observation that is recorded, as a multiple of the time that the fit predicts. An
/// engine that fails or is overloaded says little about the speed of the others.
const MAX_RATIO: f64 = 4.0;

/// Weight of each of the two observations that stand for the speed assumed at the start.
const PRIOR_WEIGHT: f64 = 1.0;

/// Prompt tokens, in thousands, of the second observation that is assumed at the start.
const PRIOR_TOKENS: f64 = 5.0;

/// Speed that is assumed at the start.
const PRIOR: EngineSpeed = EngineSpeed { first_token_ms: 25.0, prefill_tokens_per_ms: 50.0 };

/// Lower bound of the fitted fixed part.
const MIN_FIRST_TOKEN_MS: f64 = 1.0;

/// Bounds of the fitted rate, in prompt tokens per millisecond.
const RATE_RANGE: (f64, f64) = (0.5, 5000.0);

/// Speed of the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpeed {
    /// Time to the first token of a request without prompt tokens to be processed.
    pub first_token_ms: f64,
    /// Prompt tokens that an engine processes per millisecond.
    pub prefill_tokens_per_ms: f64,
}

impl Default for EngineSpeed {
    fn default() -> EngineSpeed {
        PRIOR
    }
}

impl EngineSpeed {
    /// Returns the time to process a number of prompt tokens, in milliseconds.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.prefill_tokens_per_ms
    }

    /// Returns the speed of an engine where work takes `factor` times as long.
    pub fn slowed(&self, factor: f64) -> EngineSpeed {
        EngineSpeed {
            first_token_ms: self.first_token_ms * factor,
            prefill_tokens_per_ms: self.prefill_tokens_per_ms / factor,
        }
    }

    fn first_token_after_ms(&self, tokens: f64) -> f64 {
        self.first_token_ms + self.prefill_ms(tokens)
    }
}

/// Weighted sums over observed requests; x is thousands of prompt tokens, y is milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct SpeedSamples {
    weight: f32,
    x: f32,
    y: f32,
    xx: f32,
    xy: f32,
}

impl std::ops::AddAssign for SpeedSamples {
    fn add_assign(&mut self, other: SpeedSamples) {
        self.weight += other.weight;
        self.x += other.x;
        self.y += other.y;
        self.xx += other.xx;
        self.xy += other.xy;
    }
}

impl SpeedSamples {
    /// Records the time to the first token of a request that had `prefill_tokens` to be
    /// processed before it, its own included.
    pub fn record(&mut self, prefill_tokens: u64, first_token: Duration) {
        let tokens = prefill_tokens as f64;
        let limit = self.fit().first_token_after_ms(tokens) * MAX_RATIO;
        let ms = (first_token.as_secs_f64() * 1000.0).min(limit);
        self.decay();
        self.add(1.0, tokens / 1000.0, ms);
    }

    fn decay(&mut self) {
        for sum in [&mut self.weight, &mut self.x, &mut self.y, &mut self.xx, &mut self.xy] {
            *sum *= DECAY as f32;
        }
    }

    fn add(&mut self, weight: f64, x: f64, y: f64) {
        self.weight += weight as f32;
        self.x += (weight * x) as f32;
        self.y += (weight * y) as f32;
        self.xx += (weight * x * x) as f32;
        self.xy += (weight * x * y) as f32;
    }

    /// Returns the speed that fits the observations best.
    pub fn fit(&self) -> EngineSpeed {
        let mut all = *self;
        all.add(PRIOR_WEIGHT, 0.0, PRIOR.first_token_ms);
        let tokens = PRIOR_TOKENS * 1000.0;
        all.add(PRIOR_WEIGHT, PRIOR_TOKENS, PRIOR.first_token_after_ms(tokens));
        let weight = f64::from(all.weight);
        let (mean_x, mean_y) = (f64::from(all.x) / weight, f64::from(all.y) / weight);
        let variance = f64::from(all.xx) / weight - mean_x * mean_x;
        let covariance = f64::from(all.xy) / weight - mean_x * mean_y;
        let ms_per_thousand = covariance / variance.max(f64::EPSILON);
        let rate = 1000.0 / ms_per_thousand.max(1000.0 / RATE_RANGE.1);
        let rate = rate.clamp(RATE_RANGE.0, RATE_RANGE.1);
        let first_token_ms = mean_y - mean_x * 1000.0 / rate;
        EngineSpeed {
            first_token_ms: first_token_ms.max(MIN_FIRST_TOKEN_MS),
            prefill_tokens_per_ms: rate,
        }
    }
}
