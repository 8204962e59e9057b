//! Ejection of a slow or unreachable upstream from regular selection, and its readmission.

use std::time::Duration;

use crate::time::Time;

/// Slow answers in a row that eject an upstream.
const SLOW_ANSWERS: u32 = 2;
/// Time after a lost hedge or a failed attempt for which other upstreams are preferred. Without it,
/// the load of a slow upstream falls until its score is the best again.
const SUSPICION: Duration = Duration::from_secs(15);
/// Failed attempts in a row that eject an upstream. One refused connection can be a full backlog.
const FAILURES: u32 = 2;
/// Good answers in a row that end the return of an upstream.
const GOOD: u32 = 5;
/// Time to the first probe. Noisy neighbours last for moments, so a long ejection wastes capacity.
const FIRST_BACKOFF: Duration = Duration::from_secs(4);
/// Longest time between two probes.
const LONGEST_BACKOFF: Duration = Duration::from_secs(30);
/// Lateness of a probe after which a regular request serves as one. It may be slow, so these must
/// stay far below one request in a hundred.
const OVERDUE: Duration = Duration::from_secs(20);
/// Probes in a row that may lose against a regular attempt. An upstream that is a little slower
/// than the best ones loses every race although it is good, so the next probe runs alone.
const RACES: u32 = 1;
/// Time in service after which the next ejection starts with the first backoff again.
const FORGIVEN: Duration = Duration::from_secs(30);

/// How an upstream takes part in the selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Takes requests.
    Regular,
    /// Gets single probe requests from this time on.
    Ejected(Time),
    /// Takes one request more at a time than good answers since the probe.
    Returning(u32),
}

/// Health of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    phase: Phase,
    since: Time,
    slow_answers: u32,
    failures: u32,
    backoff: Duration,
    probing: bool,
    suspected: Option<Time>,
    failed: Time,
    lost: u32,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            phase: Phase::Regular,
            since: Time::default(),
            slow_answers: 0,
            failures: 0,
            backoff: FIRST_BACKOFF,
            probing: false,
            suspected: None,
            failed: Time::default(),
            lost: 0,
        }
    }
}

impl Health {
    /// How the upstream takes part in the selection.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the upstream is out of regular selection.
    pub const fn is_ejected(&self) -> bool {
        matches!(self.phase, Phase::Ejected(_))
    }

    /// Start of the phase; attempts that started earlier say nothing about it.
    pub const fn since(&self) -> Time {
        self.since
    }

    /// Failed attempts in a row.
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Failed attempts in a row that lower the upstream's rank. After a while it is tried again.
    pub fn penalty(&self, now: Time) -> u32 {
        if now.since(self.failed) < SUSPICION { self.failures } else { 0 }
    }

    /// Whether the upstream takes another request beside `in_flight`.
    pub const fn has_room(&self, in_flight: u32) -> bool {
        match self.phase {
            Phase::Regular => true,
            Phase::Ejected(_) => false,
            Phase::Returning(good) => in_flight <= good,
        }
    }

    /// Takes an answer; true when the upstream should be ejected.
    pub fn answer(&mut self, now: Time, slow: bool) -> bool {
        self.failures = 0;
        match (self.phase, slow) {
            (Phase::Ejected(_), _) => false,
            (Phase::Returning(_), true) => true,
            (Phase::Returning(good), false) => {
                let good = good + 1;
                if good >= GOOD {
                    self.enter(now, Phase::Regular);
                } else {
                    self.phase = Phase::Returning(good);
                }
                false
            }
            (Phase::Regular, true) => {
                self.slow_answers += 1;
                self.slow_answers >= SLOW_ANSWERS
            }
            (Phase::Regular, false) => {
                self.slow_answers = 0;
                if now.since(self.since) > FORGIVEN {
                    self.backoff = FIRST_BACKOFF;
                }
                false
            }
        }
    }

    /// Takes the loss of an attempt against its own hedge; true when the upstream should be
    /// ejected. It counts as two slow answers: most attempts that are hedged still win.
    pub fn loss(&mut self, now: Time) -> bool {
        self.suspected = Some(now);
        self.answer(now, true) || self.answer(now, true)
    }

    /// Whether other upstreams are preferred since a recent loss.
    pub fn is_suspected(&self, now: Time) -> bool {
        self.suspected.is_some_and(|at| now.since(at) < SUSPICION)
    }

    /// Takes a failed attempt; true when the upstream should be ejected.
    pub fn failure(&mut self, now: Time) -> bool {
        self.failed = now;
        self.failures = self.failures.saturating_add(1);
        !self.is_ejected() && self.failures >= FAILURES
    }

    /// Takes the upstream out of regular selection.
    pub fn eject(&mut self, now: Time) {
        self.enter(now, Phase::Ejected(now + self.backoff));
        self.backoff = (self.backoff * 2).min(LONGEST_BACKOFF);
    }

    /// Whether a probe beside a regular attempt is due.
    pub fn probe_due(&self, now: Time) -> bool {
        matches!(self.phase, Phase::Ejected(until) if until <= now) && !self.probing
    }

    /// Whether a request should serve as a probe alone, with a hedge when it is slow.
    pub fn trial_due(&self, now: Time) -> bool {
        self.lost >= RACES && self.probe_due(now)
    }

    /// Whether a probe is so late that any request must serve as one. Other probes need idempotent
    /// requests and budget, which may be missing.
    pub fn probe_overdue(&self, now: Time) -> bool {
        matches!(self.phase, Phase::Ejected(until) if until + OVERDUE <= now) && !self.probing
    }

    /// Notes that a probe was sent.
    pub const fn probe(&mut self) {
        self.probing = true;
    }

    /// Takes the result of a probe.
    pub fn probed(&mut self, now: Time, good: bool) {
        if !std::mem::take(&mut self.probing) || !self.is_ejected() {
            return;
        }
        if good {
            self.failures = 0;
            self.lost = 0;
            self.enter(now, Phase::Returning(0));
        } else {
            self.lost = if self.lost >= RACES { 0 } else { self.lost + 1 };
            self.eject(now);
        }
    }

    fn enter(&mut self, now: Time, phase: Phase) {
        self.phase = phase;
        self.since = now;
        self.slow_answers = 0;
        self.probing = false;
    }
}
