//! State of one upstream.

use std::time::Duration;

use crate::{
    hash,
    pacing::Pace,
    routing::{Health, Outstanding, Smoothed, Window},
    time::Time,
    traffic::{message::AttemptId, pool::PoolKey},
};

/// Samples of the longest gap between tokens that are kept.
const GAPS: usize = 32;
/// Silence timeout as a multiple of the high quantile of the gaps.
const SILENCE: f64 = 8.0;
/// Quantile of the gaps from which the silence timeout is taken.
const QUANTILE: f64 = 0.95;
/// Bounds of the silence timeout. The lower one allows for a lost packet that TCP sends again.
const SILENCE_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// Silence timeout before the first gap is known.
const SILENCE_UNKNOWN: Duration = Duration::from_secs(10);

/// One upstream.
#[derive(Clone, Debug)]
pub(super) struct Node {
    /// Deployment that it serves.
    pub pool: PoolKey,
    /// Stable hash of its name.
    pub hash: u64,
    /// Outstanding work.
    pub work: Outstanding,
    /// Time to first token.
    pub first: Smoothed,
    /// Time between tokens.
    pub gap: Smoothed,
    /// Longest gaps.
    pub gaps: Window,
    /// When its last first token arrived.
    pub sampled: Option<Time>,
    /// Attempts without a first token, in order of start.
    pub waiting: Vec<(Time, AttemptId)>,
    /// Part in the selection.
    pub health: Health,
    /// Daemon that dispatches batch work there, with its weight.
    pub dispatcher: Option<(u64, String)>,
    /// Whether this daemon dispatches batch work there.
    pub mine: bool,
    /// Batch work.
    pub pace: Pace,
    /// What the dispatcher was notified of last.
    pub notified: Notified,
}

/// What the dispatcher of an upstream was notified of last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Notified {
    /// Requests in flight.
    pub in_flight: u32,
    /// When.
    pub at: Time,
}

impl Node {
    /// An upstream about which nothing is known.
    pub fn new(name: &str, pool: PoolKey) -> Self {
        Self {
            pool,
            hash: hash::stable(&[name]),
            work: Outstanding::default(),
            first: Smoothed::default(),
            gap: Smoothed::default(),
            gaps: Window::new(GAPS),
            sampled: None,
            waiting: Vec::new(),
            health: Health::default(),
            dispatcher: None,
            mine: false,
            pace: Pace::default(),
            notified: Notified::default(),
        }
    }

    /// Time to first token in microseconds, raised by the oldest attempt that waits for one.
    pub fn first(&self, now: Time) -> Option<f64> {
        let wait = self.oldest(now).map(|wait| wait.as_secs_f64() * 1e6);
        match (self.first.micros(), wait) {
            (Some(first), Some(wait)) => Some(first.max(wait)),
            (first, _) => first,
        }
    }

    /// Longest wait of an attempt for its first token.
    pub fn oldest(&self, now: Time) -> Option<Duration> {
        self.waiting.first().map(|&(started, _)| now.since(started))
    }

    /// Time without progress after which a stream is silent.
    pub fn silence(&self, first: Option<f64>) -> Duration {
        let gap = self.gaps.quantile(QUANTILE);
        let micros = match (gap, first) {
            (Some(gap), Some(first)) => gap.max(first),
            (Some(gap), None) => gap,
            (None, _) => return SILENCE_UNKNOWN,
        };
        Duration::from_micros((micros * SILENCE) as u64).clamp(SILENCE_BOUNDS.0, SILENCE_BOUNDS.1)
    }

    /// Longest silence timeout, for answers that come in one piece.
    pub const fn longest_silence() -> Duration {
        SILENCE_BOUNDS.1
    }
}
