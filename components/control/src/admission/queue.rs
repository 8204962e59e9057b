//! Requests that wait for an upstream, the earliest deadline first.

use std::{collections::BTreeSet, time::Duration};

use crate::{time::Time, traffic::RequestId};

/// Bounds of the time after which a refused caller may come back.
const RETRY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));
/// Weight of the last second in the smoothed rate.
const NEW_SAMPLE: f64 = 0.3;

/// Waiting requests of one deployment.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeSet<(Time, RequestId)>,
    ends: u32,
    rate: f64,
}

impl Queue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether a request that comes now can be served before its deadline.
    pub fn accepts(&self, now: Time, deadline: Time, most: usize) -> bool {
        let before = self.waiting.range(..(deadline, RequestId(u64::MAX))).count();
        self.len() < most && self.wait(before + 1).is_none_or(|wait| now + wait < deadline)
    }

    /// Adds a request.
    pub fn push(&mut self, deadline: Time, request: RequestId) {
        self.waiting.insert((deadline, request));
    }

    /// The request that is next.
    pub fn first(&self) -> Option<RequestId> {
        self.waiting.first().map(|&(_, request)| request)
    }

    /// Takes a request out.
    pub fn remove(&mut self, deadline: Time, request: RequestId) -> bool {
        self.waiting.remove(&(deadline, request))
    }

    /// Requests that will not be served before their deadline.
    pub fn unservable(&self, now: Time) -> Vec<RequestId> {
        let entries = self.waiting.iter().enumerate();
        entries
            .filter(|&(at, &(deadline, _))| {
                deadline <= now || self.wait(at).is_some_and(|wait| now + wait >= deadline)
            })
            .map(|(_, &(_, request))| request)
            .collect()
    }

    /// Notes that a request of the deployment ended at an upstream.
    pub const fn ended(&mut self) {
        self.ends = self.ends.saturating_add(1);
    }

    /// Ends a second of the rate measurement.
    pub fn second(&mut self) {
        self.rate += NEW_SAMPLE * (f64::from(self.ends) - self.rate);
        self.ends = 0;
    }

    /// When a caller that is refused may come back.
    pub fn retry_after(&self) -> Duration {
        self.wait(self.len() + 1).unwrap_or(Duration::from_secs(1)).clamp(RETRY.0, RETRY.1)
    }

    /// Time until `count` requests have left, once the rate is known.
    fn wait(&self, count: usize) -> Option<Duration> {
        let rate = self.rate.max(f64::from(self.ends));
        (rate >= 1.0).then(|| Duration::from_secs_f64(count as f64 / rate))
    }
}
