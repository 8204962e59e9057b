//! Everything that the daemon tracks about one upstream.

use std::time::Duration;

use crate::{
    hash,
    pacing::BatchLimiter,
    routing::{Ewma, Health, Outstanding, SampleWindow},
    time::Time,
    traffic::{message::AttemptId, pool::PoolKey},
};

/// Number of longest-gap samples in the window.
const GAP_SAMPLES: usize = 32;
/// Silence timeout as a multiple of the larger of the high gap quantile and the high quantile of
/// the time to first token.
const SILENCE_FACTOR: f64 = 8.0;
/// Quantile of the gaps from which the silence timeout is derived.
const GAP_QUANTILE: f64 = 0.95;
/// Bounds of the silence timeout. The lower bound leaves time for TCP to retransmit a lost packet.
const SILENCE_TIMEOUT_BOUNDS: (Duration, Duration) =
    (Duration::from_secs(1), Duration::from_secs(30));
/// Silence timeout before the first gap sample.
const DEFAULT_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// State of one upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamState {
    /// Pool of the deployment that the upstream serves.
    pub pool: PoolKey,
    /// Stable hash of the upstream name.
    pub name_hash: u64,
    pub outstanding: Outstanding,
    /// Smoothed time to first token.
    pub first_token: Ewma,
    /// Smoothed time between tokens.
    pub token_gap: Ewma,
    /// Window of the longest gaps between tokens.
    pub longest_gaps: SampleWindow,
    /// Time of the last sample in `first_token`.
    pub last_sample: Option<Time>,
    /// Attempts without a first token, ordered by start.
    pub awaiting_first_token: Vec<(Time, AttemptId)>,
    /// Ejection and recovery.
    pub health: Health,
    /// Daemon that dispatches batch work to the upstream, with its rendezvous weight.
    pub dispatcher: Option<(u64, String)>,
    /// Whether this daemon dispatches batch work to the upstream.
    pub dispatched_here: bool,
    /// Limit on batch streams.
    pub batch_limiter: BatchLimiter,
    /// Last notice to the dispatcher.
    pub last_notice: LastNotice,
}

/// Last notice about an upstream that was sent to its batch dispatcher.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LastNotice {
    /// Online requests in flight that were reported.
    pub in_flight: u32,
    pub sent_at: Time,
}

impl UpstreamState {
    /// Creates the state of an upstream about which nothing is known yet.
    pub fn new(name: &str, pool: PoolKey) -> Self {
        Self {
            pool,
            name_hash: hash::stable(&[name]),
            outstanding: Outstanding::default(),
            first_token: Ewma::default(),
            token_gap: Ewma::default(),
            longest_gaps: SampleWindow::new(GAP_SAMPLES),
            last_sample: None,
            awaiting_first_token: Vec::new(),
            health: Health::default(),
            dispatcher: None,
            dispatched_here: false,
            batch_limiter: BatchLimiter::default(),
            last_notice: LastNotice::default(),
        }
    }

    /// Returns the smoothed time to first token in microseconds, or the longest current wait if
    /// that is higher.
    pub fn first_token_estimate(&self, now: Time) -> Option<f64> {
        let wait = self.longest_wait(now).map(|wait| wait.as_secs_f64() * 1e6);
        match (self.first_token.micros(), wait) {
            (Some(first), Some(wait)) => Some(first.max(wait)),
            (first, _) => first,
        }
    }

    /// Returns the longest time that an attempt has been waiting for its first token.
    pub fn longest_wait(&self, now: Time) -> Option<Duration> {
        self.awaiting_first_token.first().map(|&(started, _)| now.since(started))
    }

    /// Returns the time without progress after which a stream counts as silent. `first` is a high
    /// quantile of the time to first token in microseconds.
    pub fn silence_timeout(&self, first: Option<f64>) -> Duration {
        let gap = self.longest_gaps.quantile(GAP_QUANTILE);
        let micros = match (gap, first) {
            (Some(gap), Some(first)) => gap.max(first),
            (Some(gap), None) => gap,
            (None, _) => return DEFAULT_SILENCE_TIMEOUT,
        };
        Duration::from_micros((micros * SILENCE_FACTOR) as u64)
            .clamp(SILENCE_TIMEOUT_BOUNDS.0, SILENCE_TIMEOUT_BOUNDS.1)
    }

    /// Returns the longest silence timeout, for answers that arrive in one piece or must not be cut
    /// off.
    pub const fn max_silence_timeout() -> Duration {
        SILENCE_TIMEOUT_BOUNDS.1
    }
}
