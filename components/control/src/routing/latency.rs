//! Latency estimators for an upstream, and the baseline of its peers.

use std::time::Duration;

/// Weight of a new sample in the moving average.
const EWMA_WEIGHT: f64 = 0.25;
/// Minimum difference from the median that counts as slow, so that scheduling noise does not matter
/// for services that answer within a millisecond.
const MIN_DIFFERENCE_US: f64 = 10_000.0;
/// Multiple of the median of the peers above which a time to first token counts as slow.
const SLOW_FACTOR: f64 = 3.0;
/// Bounds of the hedge delay as multiples of the median. Without the upper bound, the quantile
/// would rise to the latency of the slow upstreams when a fifth of them is slow.
const HEDGE_FACTOR_BOUNDS: (f64, f64) = (1.5, 3.0);
/// Multiple of the hedge delay after which a waiting request marks its upstream as stuck.
const STUCK_FACTOR: f64 = 2.0;

/// Exponentially weighted moving average of durations, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ewma(Option<f64>);

impl Ewma {
    pub fn push(&mut self, sample: Duration) {
        let sample = micros(sample);
        self.0 = Some(self.0.map_or(sample, |value| value + EWMA_WEIGHT * (sample - value)));
    }

    /// Returns the average in microseconds, or `None` before the first sample.
    pub const fn micros(self) -> Option<f64> {
        self.0
    }

    /// Returns the average as a duration, or `None` before the first sample.
    pub fn duration(self) -> Option<Duration> {
        self.0.map(duration)
    }

    /// Replaces the average.
    pub const fn set(&mut self, micros: Option<f64>) {
        self.0 = micros;
    }
}

/// Sliding window of the most recent duration samples.
#[derive(Clone, Debug)]
pub struct SampleWindow {
    samples: Vec<u32>,
    next_index: usize,
    capacity: usize,
}

impl SampleWindow {
    /// Creates a window that holds up to `capacity` samples.
    pub const fn new(capacity: usize) -> Self {
        Self { samples: Vec::new(), next_index: 0, capacity }
    }

    /// Adds a sample, replacing the oldest one when the window is full.
    pub fn push(&mut self, sample: Duration) {
        let sample = u32::try_from(sample.as_micros()).unwrap_or(u32::MAX);
        if self.samples.len() < self.capacity {
            self.samples.push(sample);
        } else {
            self.samples[self.next_index] = sample;
        }
        self.next_index = (self.next_index + 1) % self.capacity;
    }

    /// Returns a quantile of the samples in microseconds. `quantile` is between 0 and 1.
    pub fn quantile(&self, quantile: f64) -> Option<f64> {
        if self.samples.is_empty() {
            return None;
        }
        let mut sorted = self.samples.clone();
        let index = ((sorted.len() - 1) as f64 * quantile).round() as usize;
        Some(f64::from(*sorted.select_nth_unstable(index).1))
    }
}

/// Latency baseline of the upstreams of one deployment, against which single upstreams are
/// compared.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyBaseline {
    /// Median over the upstreams of the time to first token.
    pub first_token_us: Option<f64>,
    /// High quantile of the time to first token over all requests.
    pub first_token_tail_us: Option<f64>,
    /// Median over the upstreams of the time between tokens.
    pub token_gap_us: Option<f64>,
}

impl LatencyBaseline {
    /// Whether a time to first token is slow compared to the median.
    pub fn is_slow(&self, first: Duration) -> bool {
        self.first_token_us.is_some_and(|median| {
            micros(first) > (median * SLOW_FACTOR).max(median + MIN_DIFFERENCE_US)
        })
    }

    /// Returns the wait for a first token after which a hedge is worth its cost.
    pub fn hedge_delay(&self) -> Option<Duration> {
        let median = self.first_token_us?;
        let high = self.first_token_tail_us.unwrap_or(median * HEDGE_FACTOR_BOUNDS.1);
        Some(duration(high.clamp(median * HEDGE_FACTOR_BOUNDS.0, median * HEDGE_FACTOR_BOUNDS.1)))
    }

    /// Returns the median wait for a first token.
    pub fn median_delay(&self) -> Option<Duration> {
        self.first_token_us.map(duration)
    }

    /// Returns the wait for a first token after which other upstreams are preferred.
    pub fn suspect_delay(&self) -> Option<Duration> {
        Some(duration((self.first_token_us? * HEDGE_FACTOR_BOUNDS.0).max(MIN_DIFFERENCE_US)))
    }

    /// Returns the wait for a first token after which the upstream counts as stuck.
    pub fn stuck_delay(&self) -> Option<Duration> {
        let delay = micros(self.hedge_delay()?);
        Some(duration((delay * STUCK_FACTOR).max(self.first_token_us? + MIN_DIFFERENCE_US)))
    }

    /// Returns the latency of an upstream relative to the baseline: the mean of the ratios for the
    /// time to first token and for the time between tokens.
    pub fn relative_latency(&self, first: Option<f64>, gap: Option<f64>) -> f64 {
        let ratio = |value: Option<f64>, median: Option<f64>| match (value, median) {
            (Some(value), Some(median)) if median > 0.0 => Some((value / median).clamp(0.1, 100.0)),
            _ => None,
        };
        match (ratio(first, self.first_token_us), ratio(gap, self.token_gap_us)) {
            (Some(first), Some(gap)) => f64::midpoint(first, gap),
            (Some(ratio), None) | (None, Some(ratio)) => ratio,
            (None, None) => 1.0,
        }
    }

    /// Returns the lower median.
    pub fn median(values: &mut [f64]) -> Option<f64> {
        if values.is_empty() {
            return None;
        }
        let index = (values.len() - 1) / 2;
        Some(*values.select_nth_unstable_by(index, f64::total_cmp).1)
    }
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

fn duration(micros: f64) -> Duration {
    Duration::from_micros(micros as u64)
}
