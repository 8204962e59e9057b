//! Bounded queue of requests that wait for an upstream, ordered by earliest deadline first.

use std::{collections::BTreeSet, time::Duration};

use crate::{time::Time, traffic::RequestId};

/// Bounds of the retry delay for refused callers.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(10));
/// Weight of the last second in the smoothed completion rate.
const RATE_EWMA_WEIGHT: f64 = 0.3;

/// Waiting requests of one deployment, with the rate at which its requests complete.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeSet<(Time, RequestId)>,
    completions: u32,
    rate: f64,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether the queue has room and a request that arrives now is expected to start before its
    /// deadline.
    pub fn accepts(&self, now: Time, deadline: Time, capacity: usize) -> bool {
        let before = self.waiting.range(..(deadline, RequestId(u64::MAX))).count();
        self.len() < capacity
            && self.expected_wait(before + 1).is_none_or(|wait| now + wait < deadline)
    }

    pub fn push(&mut self, deadline: Time, request: RequestId) {
        self.waiting.insert((deadline, request));
    }

    /// Returns the request with the earliest deadline.
    pub fn first(&self) -> Option<RequestId> {
        self.waiting.first().map(|&(_, request)| request)
    }

    /// Removes a request; returns whether it was in the queue.
    pub fn remove(&mut self, deadline: Time, request: RequestId) -> bool {
        self.waiting.remove(&(deadline, request))
    }

    /// Returns the requests that are not expected to start before their deadline.
    pub fn unservable(&self, now: Time) -> Vec<RequestId> {
        let entries = self.waiting.iter().enumerate();
        entries
            .filter(|&(position, &(deadline, _))| {
                deadline <= now
                    || self.expected_wait(position).is_some_and(|wait| now + wait >= deadline)
            })
            .map(|(_, &(_, request))| request)
            .collect()
    }

    /// Records that an attempt of the deployment ended.
    pub const fn record_completion(&mut self) {
        self.completions = self.completions.saturating_add(1);
    }

    /// Updates the smoothed completion rate. Must be called once a second.
    pub fn update_rate(&mut self) {
        self.rate += RATE_EWMA_WEIGHT * (f64::from(self.completions) - self.rate);
        self.completions = 0;
    }

    /// Returns the time after which a refused caller may retry.
    pub fn retry_after(&self) -> Duration {
        self.expected_wait(self.len() + 1)
            .unwrap_or(Duration::from_secs(1))
            .clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1)
    }

    /// Returns the expected time until `count` requests have left the queue, or `None` below one
    /// completion per second.
    fn expected_wait(&self, count: usize) -> Option<Duration> {
        let rate = self.rate.max(f64::from(self.completions));
        (rate >= 1.0).then(|| Duration::from_secs_f64(count as f64 / rate))
    }
}
