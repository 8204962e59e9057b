//! Limits that upstreams name on the requests that they take from all relays together.
//!
//! Each relay learns of a limit from its own responses, and tells the brokers. Responses may be
//! reordered on the way, so each piece of news has the time for which it is known to hold, and the
//! latest one counts.

use std::{collections::BTreeMap, time::Duration};

use crate::time::Time;

/// Time in which the requests that an upstream takes may arrive at once after a pause.
const BURST_TIME: Duration = Duration::from_secs(1);
/// Smallest rate at which requests are sent, so that the end of a limit is noticed.
const MIN_RATE: Rate = Rate(100);
/// Time for which the end of a limit is told to the other relays. They are told everything at least
/// once within it.
const ENDED_TIME: Duration = Duration::from_secs(10);

/// Requests a second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(pub u32);

impl Rate {
    /// Parses a decimal number of requests a second. Returns `None` if the text is not one.
    pub fn parse(text: &str) -> Option<Self> {
        let per_second: f64 = text.trim().parse().ok()?;
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        // A float that is too large becomes the largest integer.
        is_valid.then_some(Self((per_second * 1_000.0) as u32))
    }

    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

/// What is known of the limit of one start of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    /// `None` if the upstream takes any number of requests.
    pub rate: Option<Rate>,
    /// When the upstream last said so.
    ///
    /// For a named limit, this is when the response arrived. For the lack of one, it is when the request
    /// was sent, so that a delayed response does not end a limit that was named after it was written.
    pub known_at: Time,
}

impl Limit {
    /// Takes over news, unless they are older than what is known. Returns whether the rate changed.
    pub fn update(&mut self, news: Self) -> bool {
        // An upstream without a limit says so in every response; only the end of a limit is news.
        let is_repeated = self.rate.is_none() && news.rate.is_none();
        if news.known_at < self.known_at || is_repeated {
            return false;
        }
        let is_changed = news.rate != self.rate;
        *self = news;
        is_changed
    }

    /// Whether other relays have to be told: the upstream names a limit, or has recently ceased to.
    pub fn is_news(&self, now: Time) -> bool {
        let has_ended = self.known_at != Time::default();
        self.rate.is_some() || (has_ended && now.since(self.known_at) < ENDED_TIME)
    }
}

/// News of the limit of an upstream in a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct News {
    /// Short id of the upstream.
    pub upstream: u32,
    pub rate: Option<Rate>,
    /// Time since [`Limit::known_at`].
    pub age: Duration,
}

impl News {
    pub fn new(upstream: u32, limit: Limit, now: Time) -> Self {
        Self { upstream, rate: limit.rate, age: now.since(limit.known_at) }
    }

    pub fn limit(&self, now: Time) -> Limit {
        Limit { rate: self.rate, known_at: now - self.age }
    }
}

/// Token bucket of an upstream with a limit.
#[derive(Clone, Debug)]
struct Bucket {
    limit: Limit,
    /// Requests that may be sent now. Negative after requests that nobody granted.
    tokens: f64,
    filled_at: Time,
}

impl Bucket {
    fn rate(&self) -> Option<Rate> {
        self.limit.rate.map(|rate| rate.max(MIN_RATE))
    }

    /// Returns the most tokens that the bucket holds; `None` without a limit.
    fn capacity(&self) -> Option<f64> {
        Some((self.rate()?.per_second() * BURST_TIME.as_secs_f64()).max(1.0))
    }

    /// Returns the tokens at a time; `None` without a limit.
    fn tokens(&self, now: Time) -> Option<f64> {
        let gained = now.since(self.filled_at).as_secs_f64() * self.rate()?.per_second();
        Some((self.tokens + gained).min(self.capacity()?))
    }

    /// Adds tokens, or takes some if `change` is negative. The bucket owes at most what it can hold, so
    /// that requests which nobody granted do not block the upstream for long.
    fn add(&mut self, now: Time, change: f64) {
        if let Some((tokens, capacity)) = self.tokens(now).zip(self.capacity()) {
            self.tokens = (tokens + change).max(-capacity);
            self.filled_at = now;
        }
    }
}

/// The limits of upstreams as a broker keeps them.
///
/// A bucket starts empty: an earlier broker may have just granted what it would hold.
#[derive(Clone, Debug, Default)]
pub struct Buckets {
    by_upstream: BTreeMap<u32, Bucket>,
}

impl Buckets {
    /// Takes over news of a limit.
    pub fn update(&mut self, now: Time, news: &News) {
        let limit = news.limit(now);
        match self.by_upstream.get_mut(&news.upstream) {
            Some(bucket) => {
                // What was gained so far counts at the former rate.
                bucket.add(now, 0.0);
                let was_limited = bucket.limit.rate.is_some();
                if bucket.limit.update(limit) && !was_limited {
                    bucket.tokens = 0.0;
                    bucket.filled_at = now;
                }
            }
            None if limit.rate.is_some() => {
                let bucket = Bucket { limit, tokens: 0.0, filled_at: now };
                self.by_upstream.insert(news.upstream, bucket);
            }
            None => {}
        }
    }

    /// Empties the buckets after a time in which another broker may have granted what they gained.
    pub fn empty(&mut self, now: Time) {
        for bucket in self.by_upstream.values_mut() {
            bucket.add(now, 0.0);
            bucket.tokens = bucket.tokens.min(0.0);
        }
    }

    /// Drops the upstreams that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(u32) -> bool) {
        self.by_upstream.retain(|upstream, _| is_listed(*upstream));
    }

    /// Drops limits that ended long ago.
    pub fn remove_ended(&mut self, now: Time) {
        self.by_upstream.retain(|_, bucket| bucket.limit.is_news(now));
    }

    /// Returns how many requests may be sent to an upstream now; `None` without a limit.
    pub fn available(&self, upstream: u32, now: Time) -> Option<u32> {
        let tokens = self.by_upstream.get(&upstream)?.tokens(now)?;
        // Negative numbers become zero.
        Some(tokens as u32)
    }

    /// Returns the rate at which requests may be sent to an upstream; `None` without a limit.
    pub fn rate(&self, upstream: u32) -> Option<Rate> {
        self.by_upstream.get(&upstream)?.rate()
    }

    /// Counts a request that is sent to an upstream.
    pub fn take(&mut self, upstream: u32, now: Time) {
        if let Some(bucket) = self.by_upstream.get_mut(&upstream) {
            bucket.add(now, -1.0);
        }
    }

    /// Takes back the count of a request that was not sent.
    pub fn put_back(&mut self, upstream: u32, now: Time) {
        if let Some(bucket) = self.by_upstream.get_mut(&upstream) {
            bucket.add(now, 1.0);
        }
    }

    /// Returns what is known of all limits, for the other relays.
    pub fn news(&self, now: Time) -> Vec<News> {
        let buckets = self.by_upstream.iter();
        buckets.map(|(upstream, bucket)| News::new(*upstream, bucket.limit, now)).collect()
    }
}
