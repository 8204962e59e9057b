//! Quotas of client accounts over all relays.
//!
//! One relay, the owner, keeps the token bucket of an account. The others ask it for a token for each request.

use std::time::Duration;

/// Limit on the requests of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    /// Thousandths of requests a second.
    pub rate_milli: u64,
    /// Requests that may come at once after a pause, in thousandths.
    pub burst_milli: u64,
}

/// Level of a bucket as its owner stated it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// In thousandths of requests.
    pub level_milli: i64,
    /// Time since the owner stated it.
    pub age: Duration,
}

/// Asks the owner of an account for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Identifies the ask among those of one start of the relay; a repeated ask has the same one.
    pub ticket: u64,
    /// Hash of the name of the account.
    pub account: u64,
    /// Number of tokens.
    pub count: u32,
    /// Limit in the configuration of the relay that asks.
    pub limit: Limit,
    /// Version of that configuration.
    pub configuration: u64,
    /// What another owner said last.
    pub report: Option<Report>,
}

/// A message about the quota of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    Ask(Ask),
    /// Answer: `count` tokens were taken from the bucket.
    Granted {
        ticket: u64,
        account: u64,
        count: u32,
        level_milli: i64,
    },
    /// Answer: the bucket is empty. The caller may retry after `wait`.
    Refused {
        ticket: u64,
        account: u64,
        wait: Duration,
        level_milli: i64,
    },
    /// Gives back tokens whose requests were not sent to an upstream.
    Return {
        account: u64,
        count: u32,
    },
}
