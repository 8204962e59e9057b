//! Latency of an upstream and of its peers.

use std::time::Duration;

/// Weight of a new sample in a smoothed value.
const NEW_SAMPLE: f64 = 0.25;
/// Smallest difference to the median that counts as slow. Keeps scheduling noise of services that
/// answer within a millisecond from counting.
const NOISE_MICROS: f64 = 10_000.0;
/// A first token later than this multiple of the peers' median is slow.
const SLOW: f64 = 3.0;
/// Bounds of the hedge delay as multiples of the median. Without the upper bound, a fifth of slow
/// upstreams would move the quantile to their own latency.
const HEDGE: (f64, f64) = (1.5, 3.0);
/// A request that waits for this multiple of the hedge delay marks its upstream as slow.
const STUCK: f64 = 2.0;

/// Exponentially smoothed duration in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Smoothed(Option<f64>);

impl Smoothed {
    /// Adds a sample.
    pub fn push(&mut self, sample: Duration) {
        let sample = micros(sample);
        self.0 = Some(self.0.map_or(sample, |value| value + NEW_SAMPLE * (sample - value)));
    }

    /// The smoothed value in microseconds.
    pub const fn micros(self) -> Option<f64> {
        self.0
    }

    /// The smoothed value.
    pub fn duration(self) -> Option<Duration> {
        self.0.map(duration)
    }

    /// Sets the value.
    pub const fn set(&mut self, micros: Option<f64>) {
        self.0 = micros;
    }
}

/// The most recent samples.
#[derive(Clone, Debug)]
pub struct Window {
    samples: Vec<u32>,
    next: usize,
    size: usize,
}

impl Window {
    /// A window of `size` samples.
    pub const fn new(size: usize) -> Self {
        Self { samples: Vec::new(), next: 0, size }
    }

    /// Adds a sample; the oldest one leaves a full window.
    pub fn push(&mut self, sample: Duration) {
        let sample = u32::try_from(sample.as_micros()).unwrap_or(u32::MAX);
        if self.samples.len() < self.size {
            self.samples.push(sample);
        } else {
            self.samples[self.next] = sample;
        }
        self.next = (self.next + 1) % self.size;
    }

    /// The value that the share `quantile` of the samples does not exceed, in microseconds.
    pub fn quantile(&self, quantile: f64) -> Option<f64> {
        if self.samples.is_empty() {
            return None;
        }
        let mut sorted = self.samples.clone();
        let at = ((sorted.len() - 1) as f64 * quantile).round() as usize;
        Some(f64::from(*sorted.select_nth_unstable(at).1))
    }
}

/// Latency that is usual among the upstreams of one deployment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Typical {
    /// Median of the upstreams' time to first token, in microseconds.
    pub first: Option<f64>,
    /// High quantile of the time to first token, in microseconds.
    pub high: Option<f64>,
    /// Median of the upstreams' time between tokens, in microseconds.
    pub gap: Option<f64>,
}

impl Typical {
    /// Whether a time to first token is slow compared to the peers.
    pub fn is_slow(&self, first: Duration) -> bool {
        self.first.is_some_and(|median| micros(first) > (median * SLOW).max(median + NOISE_MICROS))
    }

    /// Wait for a first token after which a second attempt is worth its cost.
    pub fn hedge_delay(&self) -> Option<Duration> {
        let median = self.first?;
        let high = self.high.unwrap_or(median * HEDGE.1);
        Some(duration(high.clamp(median * HEDGE.0, median * HEDGE.1)))
    }

    /// Usual wait for a first token.
    pub fn median_delay(&self) -> Option<Duration> {
        self.first.map(duration)
    }

    /// Wait for a first token after which other upstreams are preferred.
    pub fn suspect_delay(&self) -> Option<Duration> {
        Some(duration((self.first? * HEDGE.0).max(NOISE_MICROS)))
    }

    /// Wait for a first token after which the upstream counts as slow.
    pub fn stuck_delay(&self) -> Option<Duration> {
        let delay = micros(self.hedge_delay()?);
        Some(duration((delay * STUCK).max(self.first? + NOISE_MICROS)))
    }

    /// Latency relative to the peers: the mean of both ratios.
    pub fn relative(&self, first: Option<f64>, gap: Option<f64>) -> f64 {
        let ratio = |value: Option<f64>, median: Option<f64>| match (value, median) {
            (Some(value), Some(median)) if median > 0.0 => Some((value / median).clamp(0.1, 100.0)),
            _ => None,
        };
        match (ratio(first, self.first), ratio(gap, self.gap)) {
            (Some(first), Some(gap)) => f64::midpoint(first, gap),
            (Some(ratio), None) | (None, Some(ratio)) => ratio,
            (None, None) => 1.0,
        }
    }

    /// The lower median of some values.
    pub fn median(values: &mut [f64]) -> Option<f64> {
        if values.is_empty() {
            return None;
        }
        let at = (values.len() - 1) / 2;
        Some(*values.select_nth_unstable_by(at, f64::total_cmp).1)
    }
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

fn duration(micros: f64) -> Duration {
    Duration::from_micros(micros as u64)
}
