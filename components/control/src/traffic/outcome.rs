//! Progress and end of attempts.

use std::time::Duration;

use cyclamengrade_configuration::Kind;

use crate::{
    fleet::UpstreamKey,
    retry::Case,
    time::Time,
    traffic::{
        flight::Try,
        machine::Machine,
        message::{Action, AttemptId, Outcome, Refusal, RequestId},
    },
};

/// Silences in a row after which an attempt is lost. After the first one its stream is resumed on
/// a fresh connection.
const SILENCES: u32 = 2;

impl Machine {
    /// Takes the first token of an attempt.
    pub(super) fn first_token(&mut self, now: Time, id: AttemptId, actions: &mut Vec<Action>) {
        let Some(attempt) = self.progress(id) else { return };
        if !attempt.progressed {
            self.learn(now, &attempt);
            self.win(now, &attempt, actions);
        }
    }

    /// Takes merged samples of the tokens of an attempt: their number, the time over which they
    /// arrived, and the longest gap.
    pub(super) fn tokens(
        &mut self,
        now: Time,
        id: AttemptId,
        (count, elapsed, longest_gap): (u32, Duration, Duration),
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.progress(id) else { return };
        if !attempt.progressed {
            // The report of the first token was lost, and with it the time.
            self.win(now, &attempt, actions);
        }
        let Some(node) = self.nodes.get_mut(attempt.upstream) else { return };
        let Some(pool) = self.pools.get(node.pool) else { return };
        if let Some(gap) = elapsed.checked_div(count) {
            node.gap.push(gap);
            node.gaps.push(longest_gap);
            if node.mine {
                node.pace.feedback(now, gap <= pool.gap_target);
                self.touched.push(attempt.upstream);
            }
        }
    }

    /// Takes the silence of an attempt.
    pub(super) fn silent(&mut self, now: Time, id: AttemptId, actions: &mut Vec<Action>) {
        let Some(&request) = self.attempts.get(&id) else { return };
        let Some(flight) = self.flights.get_mut(&request) else { return };
        let idempotent = flight.request.idempotent;
        let Some(attempt) = flight.attempt(id) else { return };
        attempt.silences += 1;
        if attempt.silences < SILENCES || !idempotent {
            return;
        }
        let Some(attempt) = flight.take(id) else { return };
        if let Some(mut flight) = self.flights.remove(&request) {
            self.cancel(now, &mut flight, &attempt, actions);
            self.flights.insert(request, flight);
        }
        self.lost(now, request, Outcome::Unknown, actions);
    }

    /// Takes the end of an attempt.
    pub(super) fn ended(
        &mut self,
        now: Time,
        id: AttemptId,
        outcome: Outcome,
        delivered: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(&request) = self.attempts.get(&id) else { return };
        let Some(flight) = self.flights.get_mut(&request) else { return };
        let Some(attempt) = flight.take(id) else { return };
        // An attempt that made progress ran, whatever its connection reported at the end.
        let outcome = match outcome {
            Outcome::NotRun if attempt.progressed || delivered => Outcome::Failed,
            other => other,
        };
        flight.delivered |= delivered;
        flight.may_have_run |= outcome != Outcome::NotRun;
        let pool = flight.pool;
        self.release(now, pool, &attempt);
        match outcome {
            Outcome::Done => {
                self.judge(now, &attempt, true);
                if let Some(pool) = self.pools.get_mut(pool) {
                    pool.budget.success();
                    pool.duration.push(now.since(attempt.started));
                }
                self.abandoned(now, request, actions);
            }
            Outcome::Cancelled => {
                self.judge(now, &attempt, false);
                // The task that serves the caller has ended its work by itself.
                if self.flights.get(&request).is_some_and(|flight| flight.running.is_empty()) {
                    self.finish(request);
                }
            }
            Outcome::NotRun | Outcome::Failed | Outcome::Unknown => {
                self.fail(now, &attempt);
                self.lost(now, request, outcome, actions);
            }
        }
    }

    /// Takes an upstream out of regular selection, unless half of its deployment is out.
    pub(super) fn eject(&mut self, now: Time, key: UpstreamKey) {
        let Some(pool) = self.nodes.get(key).and_then(|node| self.pools.get(node.pool)) else {
            return;
        };
        let ejected =
            |key: &&UpstreamKey| self.nodes.get(**key).is_some_and(|node| node.health.is_ejected());
        let out = pool.subset.iter().filter(ejected).count();
        if (out + 1) * 2 <= pool.subset.len()
            && let Some(node) = self.nodes.get_mut(key)
        {
            node.health.eject(now);
        }
    }

    /// Notes that an attempt makes progress; returns its state before.
    fn progress(&mut self, id: AttemptId) -> Option<Try> {
        let flight = self.flights.get_mut(self.attempts.get(&id)?)?;
        flight.may_have_run = true;
        let attempt = flight.attempt(id)?;
        let before = *attempt;
        attempt.progressed = true;
        attempt.silences = 0;
        Some(before)
    }

    /// Learns from the time to the first token.
    fn learn(&mut self, now: Time, attempt: &Try) {
        let sample = now.since(attempt.started);
        let Some(node) = self.nodes.get_mut(attempt.upstream) else { return };
        let Some(pool) = self.pools.get_mut(node.pool) else { return };
        node.first.push(sample);
        node.sampled = Some(now);
        let late = pool.typical.is_slow(sample);
        let slow = late && pool.is_overtaken(attempt.started);
        if !late {
            pool.quick(attempt.started);
        }
        if !node.health.is_ejected() {
            pool.firsts.push(sample);
        }
        if node.mine {
            node.pace.feedback(now, sample <= pool.first_target);
        }
        if attempt.probe {
            node.health.probed(now, !late);
            if !node.health.is_ejected() {
                // Samples from before the ejection say nothing about the upstream now.
                node.first.set(pool.typical.first);
            }
        } else if attempt.started >= node.health.since() && node.health.answer(now, slow) {
            self.eject(now, attempt.upstream);
        }
    }

    /// Cancels the attempts that run beside the one with the first token.
    fn win(&mut self, now: Time, winner: &Try, actions: &mut Vec<Action>) {
        let Some(&request) = self.attempts.get(&winner.id) else { return };
        let Some(mut flight) = self.flights.remove(&request) else { return };
        if let Some(node) = self.nodes.get_mut(winner.upstream) {
            node.waiting.retain(|&(_, id)| id != winner.id);
        }
        if let Some(pool) = self.pools.get_mut(flight.pool) {
            pool.pending.remove(&(winner.started, winner.id));
        }
        let (winners, losers): (Vec<_>, Vec<_>) =
            flight.running.drain(..).partition(|attempt| attempt.id == winner.id);
        flight.running = winners;
        for loser in losers {
            self.cancel(now, &mut flight, &loser, actions);
            self.learn_loss(now, winner, &loser);
        }
        self.flights.insert(request, flight);
    }

    /// Learns from an attempt that lost: its first token would have come later than now, though it
    /// started sooner than its hedge.
    fn learn_loss(&mut self, now: Time, winner: &Try, loser: &Try) {
        let Some(node) = self.nodes.get_mut(loser.upstream) else { return };
        if loser.probe || loser.started >= winner.started {
            return;
        }
        let waited = now.since(loser.started).as_secs_f64() * 1e6;
        if node.first.micros().is_none_or(|first| waited > first) {
            node.first.set(Some(waited));
            node.sampled = Some(now);
        }
        if loser.started >= node.health.since() && node.health.loss(now) {
            self.eject(now, loser.upstream);
        }
    }

    /// Takes the end of an attempt that had no first token as the result of a probe, or as a sign
    /// that the upstream answers.
    fn judge(&mut self, now: Time, attempt: &Try, good: bool) {
        if let Some(node) = self.nodes.get_mut(attempt.upstream)
            && !attempt.progressed
        {
            if attempt.probe {
                node.health.probed(now, good);
            } else if good {
                node.health.answer(now, false);
            }
        }
    }

    fn fail(&mut self, now: Time, attempt: &Try) {
        let Some(node) = self.nodes.get_mut(attempt.upstream) else { return };
        if attempt.probe {
            node.health.probed(now, false);
        }
        if node.health.failure(now) {
            self.eject(now, attempt.upstream);
        }
    }

    /// Dispatches a request again, or refuses it, when its last running attempt is lost.
    fn lost(&mut self, now: Time, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&id) else { return };
        if !flight.running.is_empty() {
            return;
        }
        let Some(pool) = self.pools.get_mut(flight.pool) else { return };
        let case = Case {
            outcome,
            idempotent: flight.request.idempotent,
            delivered: flight.delivered,
            resumable: pool.kind == Kind::Model,
            attempts: flight.tried.len(),
            expired: flight.deadline <= now,
        };
        match case.refusal() {
            Some(refusal) => self.give_up(now, id, refusal, actions),
            None if self.settings.naive || pool.budget.retry(now) => {
                self.start(now, id, Refusal::GivenUp, actions);
            }
            None => self.give_up(now, id, Refusal::GivenUp, actions),
        }
    }
}
