//! Ejection of slow or unreachable upstreams from regular selection, and their readmission.

use std::time::Duration;

use crate::time::Time;

/// Consecutive slow answers after which an upstream is ejected.
const SLOW_ANSWERS_TO_EJECT: u32 = 2;
/// Time for which other upstreams are preferred after a failed attempt or an attempt that lost
/// against its hedge. Without it, the load of a slow upstream falls until its score is the best
/// again.
const SUSPICION_PERIOD: Duration = Duration::from_secs(15);
/// Consecutive failed attempts after which an upstream is ejected. A single refused connection may
/// be caused by a full backlog.
const FAILURES_TO_EJECT: u32 = 2;
/// Consecutive good answers after which a returning upstream is back in regular service.
const GOOD_ANSWERS_TO_RECOVER: u32 = 5;
/// Time from the ejection to the first probe. Noisy neighbours are usually short-lived, so a long
/// ejection wastes capacity.
const INITIAL_BACKOFF: Duration = Duration::from_secs(4);
/// Longest time between two probes.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Delay of a due probe after which any request is used as the probe. Such requests may be slow,
/// so they must stay far below one request in a hundred.
const PROBE_OVERDUE: Duration = Duration::from_secs(20);
/// Consecutive probes that may lose against the regular attempt beside them. An upstream that is
/// slightly slower than the best ones loses every such race although it is healthy, so the next
/// probe runs alone.
const MAX_LOST_RACES: u32 = 1;
/// Time in regular service after which the backoff is reset.
const BACKOFF_RESET_TIME: Duration = Duration::from_secs(30);

/// Phase of an upstream with respect to selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Accepts requests.
    Regular,
    /// Receives no requests, except for single probes from this time on.
    Ejected(Time),
    /// Ramps up after a successful probe: accepts one more concurrent request than this number of
    /// good answers.
    Returning(u32),
}

/// Health of one upstream, tracked for outlier ejection.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    phase: Phase,
    phase_start: Time,
    slow_answers: u32,
    failures: u32,
    backoff: Duration,
    probing: bool,
    last_hedge_loss: Option<Time>,
    last_failure: Time,
    lost_races: u32,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            phase: Phase::Regular,
            phase_start: Time::default(),
            slow_answers: 0,
            failures: 0,
            backoff: INITIAL_BACKOFF,
            probing: false,
            last_hedge_loss: None,
            last_failure: Time::default(),
            lost_races: 0,
        }
    }
}

impl Health {
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the upstream is excluded from regular selection.
    pub const fn is_ejected(&self) -> bool {
        matches!(self.phase, Phase::Ejected(_))
    }

    /// Returns the start of the current phase. Results of attempts that started earlier do not
    /// count in it.
    pub const fn phase_start(&self) -> Time {
        self.phase_start
    }

    /// Returns the number of consecutive failed attempts.
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the consecutive failed attempts that count against the score of the upstream; zero
    /// once `SUSPICION_PERIOD` has passed since the last failure, so that the upstream is tried
    /// again.
    pub fn penalty(&self, now: Time) -> u32 {
        if now.since(self.last_failure) < SUSPICION_PERIOD { self.failures } else { 0 }
    }

    /// Whether the upstream accepts another request beside `in_flight`.
    pub const fn has_room(&self, in_flight: u32) -> bool {
        match self.phase {
            Phase::Regular => true,
            Phase::Ejected(_) => false,
            Phase::Returning(good) => in_flight <= good,
        }
    }

    /// Records an answer; returns true when the upstream should be ejected.
    pub fn record_answer(&mut self, now: Time, slow: bool) -> bool {
        self.failures = 0;
        match (self.phase, slow) {
            (Phase::Ejected(_), _) => false,
            (Phase::Returning(_), true) => true,
            (Phase::Returning(good), false) => {
                let good = good + 1;
                if good >= GOOD_ANSWERS_TO_RECOVER {
                    self.enter(now, Phase::Regular);
                } else {
                    self.phase = Phase::Returning(good);
                }
                false
            }
            (Phase::Regular, true) => {
                self.slow_answers += 1;
                self.slow_answers >= SLOW_ANSWERS_TO_EJECT
            }
            (Phase::Regular, false) => {
                self.slow_answers = 0;
                if now.since(self.phase_start) > BACKOFF_RESET_TIME {
                    self.backoff = INITIAL_BACKOFF;
                }
                false
            }
        }
    }

    /// Records that an attempt lost against its own hedge; returns true when the upstream should be
    /// ejected. A loss counts as two slow answers, because most hedged attempts still win.
    pub fn record_hedge_loss(&mut self, now: Time) -> bool {
        self.last_hedge_loss = Some(now);
        self.record_answer(now, true) || self.record_answer(now, true)
    }

    /// Whether other upstreams are preferred because of a recent loss against a hedge.
    pub fn is_suspected(&self, now: Time) -> bool {
        self.last_hedge_loss.is_some_and(|at| now.since(at) < SUSPICION_PERIOD)
    }

    /// Records a failed attempt; returns true when the upstream should be ejected.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.last_failure = now;
        self.failures = self.failures.saturating_add(1);
        !self.is_ejected() && self.failures >= FAILURES_TO_EJECT
    }

    /// Ejects the upstream and doubles the backoff of the next ejection.
    pub fn eject(&mut self, now: Time) {
        self.enter(now, Phase::Ejected(now + self.backoff));
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Whether a probe beside a regular attempt is due.
    pub fn probe_due(&self, now: Time) -> bool {
        matches!(self.phase, Phase::Ejected(until) if until <= now) && !self.probing
    }

    /// Whether an idempotent request should be used as a probe without a regular attempt beside it.
    /// It is hedged when it is slow.
    pub fn solo_probe_due(&self, now: Time) -> bool {
        self.lost_races >= MAX_LOST_RACES && self.probe_due(now)
    }

    /// Whether a due probe is so late that any request must be used for it. Other probes need
    /// idempotent requests and retry budget, which may be missing.
    pub fn probe_overdue(&self, now: Time) -> bool {
        matches!(self.phase, Phase::Ejected(until) if until + PROBE_OVERDUE <= now) && !self.probing
    }

    /// Records that a probe was sent.
    pub const fn record_probe_sent(&mut self) {
        self.probing = true;
    }

    /// Records the result of a probe: readmits the upstream if it is good, and ejects it again
    /// otherwise.
    pub fn record_probe_result(&mut self, now: Time, good: bool) {
        if !std::mem::take(&mut self.probing) || !self.is_ejected() {
            return;
        }
        if good {
            self.failures = 0;
            self.lost_races = 0;
            self.enter(now, Phase::Returning(0));
        } else {
            self.lost_races =
                if self.lost_races >= MAX_LOST_RACES { 0 } else { self.lost_races + 1 };
            self.eject(now);
        }
    }

    fn enter(&mut self, now: Time, phase: Phase) {
        self.phase = phase;
        self.phase_start = now;
        self.slow_answers = 0;
        self.probing = false;
    }
}
