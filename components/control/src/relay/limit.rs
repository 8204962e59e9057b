//! Limits that upstreams name on the requests that they take from all relays together.
//!
//! Each relay learns of a limit from its own responses, and tells the brokers. Responses may be
//! reordered on the way, so each piece of news has the time for which it is known to hold, and the
//! latest one counts.

use crate::time::Time;

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
        if news.known_at < self.known_at {
            return false;
        }
        let is_changed = news.rate != self.rate;
        *self = news;
        is_changed
    }
}
