//! Quotas of client accounts over all relays.
//!
//! One relay, the owner, keeps the token bucket of an account. The others ask it for a token for each request.
//! A relay that gets no answer admits a small share of the requests by itself.

mod claim;
mod client;
mod ledger;
mod share;

use std::{net::SocketAddr, time::Duration};

pub use self::{
    claim::{Claims, Outcome, Response, Standing},
    client::{BLOCK_TIME, Client, Decision},
    ledger::Ledger,
    share::Shares,
};

/// Longest time after which a refused caller is told to retry.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Part of the latency objective within which callers over their quota retry, so that the rest is left for the
/// response.
const OBJECTIVE_DIVISOR: u32 = 2;
/// Time in which the requests of an account are counted.
const WINDOW: Duration = Duration::from_secs(5);
/// Time by which requests of one account may overtake each other on their way to the owner, or wait as
/// tokens at a relay.
const JITTER: Duration = Duration::from_millis(100);
/// Tokens beyond the burst, for small accounts whose requests arrive closer together than they were sent.
const EXTRA_TOKENS: f64 = 2.0;
/// Part of the excess beyond the tolerance with which a bucket starts whose earlier grants are not known, so that
/// several starts in a window stay within the excess.
const START_DIVISOR: f64 = 4.0;
/// Part of the requests in a window that may be run in excess of the quota, and their number for small accounts.
const EXCESS: (f64, f64) = (0.1, 20.0);

/// Limit on the requests of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    /// Thousandths of requests a second.
    pub rate_milli: u64,
    /// Requests that may come at once after a pause, in thousandths.
    pub burst_milli: u64,
}

impl Limit {
    /// Returns the number of requests a second.
    pub fn rate(self) -> f64 {
        self.rate_milli as f64 / 1_000.0
    }

    /// Returns the number of requests that may come at once; at least one, or none could ever come.
    pub fn burst(self) -> f64 {
        (self.burst_milli as f64 / 1_000.0).max(1.0)
    }

    /// Returns the number of tokens that the bucket of an owner holds.
    pub fn capacity(self) -> f64 {
        self.burst() + self.tolerance()
    }

    /// Returns how many requests a window may have beyond the rate and the burst.
    pub fn excess(self) -> f64 {
        let (part, number) = EXCESS;
        part * (self.rate() * WINDOW.as_secs_f64() + self.burst_milli as f64 / 1_000.0) + number
    }

    /// Returns the part of the excess that owners use, so that requests within the quota are not refused
    /// because they arrive unevenly.
    fn tolerance(self) -> f64 {
        self.rate() * JITTER.as_secs_f64() + EXTRA_TOKENS
    }

    /// Returns the part of the excess that relays without an owner use.
    fn spare(self) -> f64 {
        self.excess() - self.tolerance()
    }

    /// Returns the level of a bucket of which only the grants in the time `memory` are known. Before it, an earlier
    /// owner may have used up the quota.
    fn certain_level(self, memory: Duration) -> f64 {
        (self.spare() / START_DIVISOR + self.gain(memory)).min(self.capacity())
    }

    /// Returns the time in which the bucket gains tokens.
    fn time_for(self, tokens: f64) -> Duration {
        let seconds = (tokens / self.rate()).clamp(0.0, MAX_WAIT.as_secs_f64());
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT)
    }

    /// Returns the tokens gained in a time.
    fn gain(self, time: Duration) -> f64 {
        self.rate() * time.as_secs_f64()
    }
}

/// Returns the time after which a caller over its quota may retry, from the time `wait` that the owner stated.
///
/// The bucket gains tokens all the time, so a caller that comes back within its latency objective can still be
/// served in time. One that comes back later takes its token from a request that could be. An objective of zero
/// is none.
pub fn retry_after(wait: Duration, objective: Duration) -> Duration {
    if objective.is_zero() { wait } else { wait.min(objective / OBJECTIVE_DIVISOR) }
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

/// Level of a bucket for the relay that owns the account next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handover {
    /// Hash of the name of the account.
    pub account: u64,
    /// Limit of the bucket.
    pub limit: Limit,
    /// Version of the configuration that has the limit.
    pub configuration: u64,
    pub report: Report,
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
    /// Answer of an owner that is shutting down and grants no more tokens. `report` is the level at which it
    /// stopped; `None` if it knows none.
    Closed {
        ticket: u64,
        account: u64,
        report: Option<Report>,
    },
    /// Tells the relay that owns an account next the level of its bucket.
    Handover(Handover),
    /// Asks another relay to stop granting tokens of an account, which the sender does from now on.
    Claim {
        ticket: u64,
        account: u64,
    },
    /// Answer to a claim: the sender grants no tokens of the account any more.
    Yielded {
        ticket: u64,
        account: u64,
        /// Level of the bucket, if the sender granted tokens of it or heard of its level lately.
        report: Option<Report>,
        /// Time for which the sender remembers its grants, which is the time since its start.
        memory: Duration,
    },
    /// Answer to an ask or a claim: the relay `holder` grants the tokens of the account.
    Moved {
        ticket: u64,
        account: u64,
        holder: SocketAddr,
    },
}
