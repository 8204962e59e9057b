//! Retry decisions and the retry budget.

use std::time::Duration;

use crate::{
    time::Time,
    traffic::{Outcome, Refusal},
};

/// Maximum number of attempts per request, including the first.
pub const MAX_ATTEMPTS: usize = 3;
/// Attempts in the budget of a deployment without successes so far. Lets a deployment with little
/// traffic survive the loss of one upstream.
const INITIAL_BUDGET: f64 = 2.0;
/// Time in which a budget below `INITIAL_BUDGET` regains one attempt.
const RECOVERY_TIME: Duration = Duration::from_secs(60);
/// Maximum number of attempts in the budget. At a share of 5%, the last 400 successes fill it.
const MAX_BUDGET: f64 = 20.0;
/// Attempts in the budget that hedges may use only for overdue requests.
const HEDGE_RESERVE: f64 = 4.0;
/// Attempts in the budget that probes may not use, so that they remain for retries and hedges.
const PROBE_RESERVE: f64 = 2.0;

/// Budget for the retries, hedges and probes of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: f64,
    level: f64,
    recovered_at: Time,
    denied: u64,
}

impl RetryBudget {
    /// Creates a budget that earns `share` of an attempt with each success.
    pub const fn new(share: f64) -> Self {
        Self { share, level: INITIAL_BUDGET, recovered_at: Time(0), denied: 0 }
    }

    /// Records a success, which earns a share of an attempt.
    pub fn record_success(&mut self) {
        self.level = (self.level + self.share).min(MAX_BUDGET);
    }

    /// Spends an attempt on a retry; returns false when the budget is exhausted.
    pub fn try_retry(&mut self, now: Time) -> bool {
        let earned = now.since(self.recovered_at).as_secs_f64() / RECOVERY_TIME.as_secs_f64();
        self.recovered_at = self.recovered_at.max(now);
        if self.level < INITIAL_BUDGET && self.share > 0.0 {
            self.level = (self.level + earned).min(INITIAL_BUDGET);
        }
        let enough = self.try_spend(1.0);
        self.denied += u64::from(!enough);
        enough
    }

    /// Returns the number of attempts in the budget.
    pub const fn level(&self) -> f64 {
        self.level
    }

    /// Returns how many retries were denied because the budget was exhausted.
    pub const fn denied(&self) -> u64 {
        self.denied
    }

    /// Spends an attempt on a hedge; returns false when the budget does not allow it. Only a
    /// request that `is_overdue`, waiting longer than the usual tail latency, may use
    /// `HEDGE_RESERVE`.
    pub fn try_hedge(&mut self, is_overdue: bool) -> bool {
        let reserve = if is_overdue { 0.0 } else { HEDGE_RESERVE };
        self.level >= 1.0 + reserve && self.try_spend(1.0)
    }

    /// Spends an attempt on a probe; returns false when the budget does not allow it.
    pub fn try_probe(&mut self) -> bool {
        self.level >= 1.0 + PROBE_RESERVE && self.try_spend(1.0)
    }

    fn try_spend(&mut self, cost: f64) -> bool {
        let enough = self.level >= cost;
        if enough {
            self.level -= cost;
        }
        enough
    }
}

/// State of a request whose last running attempt ended without an answer.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Whether part of the answer has reached the caller.
    pub delivered: bool,
    /// Whether a partial answer can be continued by another attempt.
    pub resumable: bool,
    /// Number of attempts so far.
    pub attempts: usize,
    /// Whether the deadline has passed.
    pub expired: bool,
}

impl RetryContext {
    /// Returns why the request must not be retried, or `None` when a retry is allowed within the
    /// budget.
    pub const fn refusal(&self) -> Option<Refusal> {
        let not_run = matches!(self.outcome, Outcome::NotRun);
        if !not_run && !self.idempotent {
            Some(Refusal::OutcomeUnknown)
        } else if self.expired {
            Some(Refusal::Expired)
        } else if self.attempts >= MAX_ATTEMPTS || (self.delivered && !self.resumable) {
            Some(Refusal::GivenUp)
        } else {
            None
        }
    }
}
