//! Whether a request runs again after an attempt, within a budget.

use std::time::Duration;

use crate::{
    time::Time,
    traffic::{Outcome, Refusal},
};

/// Attempts of one request, the first included.
pub const ATTEMPTS: usize = 3;
/// Budget of a deployment that had no successes yet. Lets a deployment with little traffic survive
/// the loss of one upstream.
const FIRST: f64 = 2.0;
/// Time in which such a deployment earns one attempt.
const TRICKLE: Duration = Duration::from_secs(60);
/// Most attempts that are saved up; successes count for about 400 requests at a share of 5%.
const MOST: f64 = 20.0;
/// Attempts that hedges of the usual tail leave for those of requests that are stuck.
const TAIL_RESERVE: f64 = 4.0;
/// Attempts that probes leave for retries and hedges.
const PROBE_RESERVE: f64 = 2.0;

/// Extra attempts that a deployment may make.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    share: f64,
    level: f64,
    seen: Time,
    denied: u64,
}

impl Budget {
    /// A budget that earns `share` of an attempt with each success.
    pub const fn new(share: f64) -> Self {
        Self { share, level: FIRST, seen: Time(0), denied: 0 }
    }

    /// Notes a success.
    pub fn success(&mut self) {
        self.level = (self.level + self.share).min(MOST);
    }

    /// Takes an attempt for a retry.
    pub fn retry(&mut self, now: Time) -> bool {
        let earned = now.since(self.seen).as_secs_f64() / TRICKLE.as_secs_f64();
        self.seen = self.seen.max(now);
        if self.level < FIRST && self.share > 0.0 {
            self.level = (self.level + earned).min(FIRST);
        }
        let enough = self.take(1.0);
        self.denied += u64::from(!enough);
        enough
    }

    /// Attempts that may be spent now.
    pub const fn level(&self) -> f64 {
        self.level
    }

    /// Retries that were not made because the budget was exhausted.
    pub const fn denied(&self) -> u64 {
        self.denied
    }

    /// Takes an attempt for a hedge; `stuck` when the request waits for longer than the usual
    /// tail.
    pub fn hedge(&mut self, stuck: bool) -> bool {
        let reserve = if stuck { 0.0 } else { TAIL_RESERVE };
        self.level >= 1.0 + reserve && self.take(1.0)
    }

    /// Takes an attempt for a probe.
    pub fn probe(&mut self) -> bool {
        self.level >= 1.0 + PROBE_RESERVE && self.take(1.0)
    }

    fn take(&mut self, cost: f64) -> bool {
        let enough = self.level >= cost;
        if enough {
            self.level -= cost;
        }
        enough
    }
}

/// What is known about a request when its last running attempt ended without an answer.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// Whether a part of the answer reached the caller.
    pub delivered: bool,
    /// Whether the answer can go on from there.
    pub resumable: bool,
    /// Attempts so far.
    pub attempts: usize,
    /// Whether the caller has stopped waiting.
    pub expired: bool,
}

impl Case {
    /// Why the request may not run again; nothing when it may, within the budget.
    pub const fn refusal(&self) -> Option<Refusal> {
        let not_run = matches!(self.outcome, Outcome::NotRun);
        if !not_run && !self.idempotent {
            Some(Refusal::OutcomeUnknown)
        } else if self.expired {
            Some(Refusal::Expired)
        } else if self.attempts >= ATTEMPTS || (self.delivered && !self.resumable) {
            Some(Refusal::GivenUp)
        } else {
            None
        }
    }
}
