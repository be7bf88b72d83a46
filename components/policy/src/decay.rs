//! Exponentially decaying statistics.

use std::time::Duration;

use tokio::time::Instant;

/// A sum whose samples decay exponentially with age.
#[derive(Debug, Clone)]
pub(crate) struct DecayingSum {
    value: f64,
    updated: Option<Instant>,
    time_constant: Duration,
}

impl DecayingSum {
    /// Creates an empty sum; a sample decays to 1/e of its value within `time_constant`.
    pub(crate) fn new(time_constant: Duration) -> DecayingSum {
        DecayingSum { value: 0.0, updated: None, time_constant }
    }

    /// Returns the decayed sum at `now`.
    pub(crate) fn get(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated).as_secs_f64();
        self.value * (-age / self.time_constant.as_secs_f64()).exp()
    }

    /// Adds a sample.
    pub(crate) fn add(&mut self, now: Instant, sample: f64) {
        self.value = self.get(now) + sample;
        self.updated = Some(now);
    }

    /// Returns the recent rate of the samples per second.
    pub(crate) fn per_second(&self, now: Instant) -> f64 {
        self.get(now) / self.time_constant.as_secs_f64()
    }
}

/// An exponentially weighted moving average.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MovingMean {
    value: Option<f64>,
    gain: f64,
}

impl MovingMean {
    /// Creates a mean without samples; each new sample has the weight `gain`.
    pub(crate) fn new(gain: f64) -> MovingMean {
        MovingMean { value: None, gain }
    }

    /// Adds a sample.
    pub(crate) fn add(&mut self, sample: f64) {
        self.value = Some(match self.value {
            None => sample,
            Some(mean) => mean + self.gain * (sample - mean),
        });
    }

    /// Returns the mean, or `default` before the first sample.
    pub(crate) fn get_or(&self, default: f64) -> f64 {
        self.value.unwrap_or(default)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn decaying_sum_decays() {
        let now = Instant::now();
        let mut sum = DecayingSum::new(Duration::from_secs(10));
        sum.add(now, 100.0);
        assert!((sum.per_second(now) - 10.0).abs() < 1e-9);
        assert!(sum.get(now + Duration::from_secs(10)) < 37.0);
        assert!(sum.get(now + Duration::from_secs(100)) < 0.01);
    }

    #[test]
    fn moving_mean_weights_new_samples() {
        let mut mean = MovingMean::new(0.5);
        assert_eq!(mean.get_or(3.0), 3.0);
        mean.add(1.0);
        mean.add(2.0);
        assert_eq!(mean.get_or(3.0), 1.5);
    }
}
