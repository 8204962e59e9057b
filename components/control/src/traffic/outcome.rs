//! Handles progress, silence and the end of attempts, and updates the health of their upstreams.

use std::time::Duration;

use cyclamengrade_configuration::Kind;

use crate::{
    fleet::UpstreamKey,
    retry::RetryContext,
    time::Time,
    traffic::{
        active_request::RunningAttempt,
        machine::Machine,
        message::{Action, AttemptId, Outcome, Refusal, RequestId},
    },
};

/// Consecutive silence timeouts after which an attempt is given up. After the first one, its stream
/// is resumed on a fresh connection.
const MAX_SILENCES: u32 = 2;

impl Machine {
    pub(super) fn handle_first_token(
        &mut self,
        now: Time,
        id: AttemptId,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.record_progress(id) else { return };
        if !attempt.has_first_token {
            self.record_first_token(now, &attempt);
            self.cancel_slower_attempts(now, &attempt, actions);
        }
    }

    /// Records merged samples of the tokens of an attempt: their number, the time over which they
    /// arrived, and the longest gap.
    pub(super) fn handle_tokens(
        &mut self,
        now: Time,
        id: AttemptId,
        (count, elapsed, longest_gap): (u32, Duration, Duration),
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.record_progress(id) else { return };
        if !attempt.has_first_token {
            // `Input::FirstToken` was lost, so there is no sample of the time to first token.
            self.cancel_slower_attempts(now, &attempt, actions);
        }
        let Some(state) = self.upstream_states.get_mut(attempt.upstream) else { return };
        let Some(pool) = self.pools.get(state.pool) else { return };
        if let Some(gap) = elapsed.checked_div(count) {
            state.token_gap.push(gap);
            state.longest_gaps.push(longest_gap);
            if state.dispatched_here {
                state.batch_limiter.record_latency(now, gap <= pool.token_gap_target);
                self.changed_upstreams.push(attempt.upstream);
            }
        }
    }

    /// Counts a silence timeout of an attempt, and gives up the attempt of an idempotent request at
    /// `MAX_SILENCES`.
    pub(super) fn handle_silence(&mut self, now: Time, id: AttemptId, actions: &mut Vec<Action>) {
        let Some(&request) = self.attempts.get(&id) else { return };
        let Some(active) = self.active_requests.get_mut(&request) else { return };
        let idempotent = active.request.idempotent;
        let Some(attempt) = active.attempt(id) else { return };
        attempt.silences += 1;
        if attempt.silences < MAX_SILENCES || !idempotent {
            return;
        }
        let Some(attempt) = active.take(id) else { return };
        if let Some(mut active) = self.active_requests.remove(&request) {
            self.cancel_attempt(now, &mut active, &attempt, actions);
            self.active_requests.insert(request, active);
        }
        self.retry_or_refuse(now, request, Outcome::Unknown, actions);
    }

    /// Processes the end of an attempt: completes its request, retries it or refuses it.
    pub(super) fn handle_attempt_end(
        &mut self,
        now: Time,
        id: AttemptId,
        outcome: Outcome,
        delivered: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(&request) = self.attempts.get(&id) else { return };
        let Some(active) = self.active_requests.get_mut(&request) else { return };
        let Some(attempt) = active.take(id) else { return };
        // An attempt that made progress did run, whatever its connection reported at the end.
        let outcome = match outcome {
            Outcome::NotRun if attempt.has_first_token || delivered => Outcome::Failed,
            other => other,
        };
        active.delivered |= delivered;
        active.may_have_run |= outcome != Outcome::NotRun;
        let pool = active.pool;
        self.remove_attempt(now, pool, &attempt);
        match outcome {
            Outcome::Done => {
                self.record_end_without_token(now, &attempt, true);
                if let Some(pool) = self.pools.get_mut(pool) {
                    pool.budget.record_success();
                    pool.request_duration.push(now.since(attempt.started));
                }
                self.end_request(now, request, actions);
            }
            Outcome::Cancelled => {
                self.record_end_without_token(now, &attempt, false);
                // The task that serves the caller cancelled the attempt itself.
                if self
                    .active_requests
                    .get(&request)
                    .is_some_and(|active| active.running.is_empty())
                {
                    self.remove_request(request);
                }
            }
            Outcome::NotRun | Outcome::Failed | Outcome::Unknown => {
                self.record_failure(now, &attempt);
                self.retry_or_refuse(now, request, outcome, actions);
            }
        }
    }

    /// Ejects an upstream, unless more than half of the subset would then be ejected.
    pub(super) fn eject(&mut self, now: Time, key: UpstreamKey) {
        let Some(pool) = self.upstream_states.get(key).and_then(|state| self.pools.get(state.pool))
        else {
            return;
        };
        let ejected = |key: &&UpstreamKey| {
            self.upstream_states.get(**key).is_some_and(|state| state.health.is_ejected())
        };
        let ejected_count = pool.subset.iter().filter(ejected).count();
        if (ejected_count + 1) * 2 <= pool.subset.len()
            && let Some(state) = self.upstream_states.get_mut(key)
        {
            state.health.eject(now);
        }
    }

    /// Records that an attempt makes progress, and returns its previous state.
    fn record_progress(&mut self, id: AttemptId) -> Option<RunningAttempt> {
        let active = self.active_requests.get_mut(self.attempts.get(&id)?)?;
        active.may_have_run = true;
        let attempt = active.attempt(id)?;
        let before = *attempt;
        attempt.has_first_token = true;
        attempt.silences = 0;
        Some(before)
    }

    /// Records the time to first token of an attempt and updates the health of its upstream.
    fn record_first_token(&mut self, now: Time, attempt: &RunningAttempt) {
        let sample = now.since(attempt.started);
        let Some(state) = self.upstream_states.get_mut(attempt.upstream) else { return };
        let Some(pool) = self.pools.get_mut(state.pool) else { return };
        state.first_token.push(sample);
        state.last_sample = Some(now);
        let late = pool.latency_baseline.is_slow(sample);
        let slow = late && pool.is_overtaken(attempt.started);
        if !late {
            pool.record_timely_first_token(attempt.started);
        }
        if !state.health.is_ejected() {
            pool.first_token_samples.push(sample);
        }
        if state.dispatched_here {
            state.batch_limiter.record_latency(now, sample <= pool.first_token_target);
        }
        if attempt.probe {
            state.health.record_probe_result(now, !late);
            if !state.health.is_ejected() {
                // Samples from before the ejection are out of date.
                state.first_token.set(pool.latency_baseline.first_token_us);
            }
        } else if attempt.started >= state.health.phase_start()
            && state.health.record_answer(now, slow)
        {
            self.eject(now, attempt.upstream);
        }
    }

    /// Cancels the other attempts of the request once one has its first token.
    fn cancel_slower_attempts(
        &mut self,
        now: Time,
        winner: &RunningAttempt,
        actions: &mut Vec<Action>,
    ) {
        let Some(&request) = self.attempts.get(&winner.id) else { return };
        let Some(mut active) = self.active_requests.remove(&request) else { return };
        if let Some(state) = self.upstream_states.get_mut(winner.upstream) {
            state.awaiting_first_token.retain(|&(_, id)| id != winner.id);
        }
        if let Some(pool) = self.pools.get_mut(active.pool) {
            pool.awaiting_first_token.remove(&(winner.started, winner.id));
        }
        let (winners, losers): (Vec<_>, Vec<_>) =
            active.running.drain(..).partition(|attempt| attempt.id == winner.id);
        active.running = winners;
        for loser in losers {
            self.cancel_attempt(now, &mut active, &loser, actions);
            self.record_hedge_loss(now, winner, &loser);
        }
        self.active_requests.insert(request, active);
    }

    /// Updates the upstream of an attempt that lost against its own hedge. The attempt started
    /// earlier than the hedge, and its time to first token is at least its wait so far.
    fn record_hedge_loss(&mut self, now: Time, winner: &RunningAttempt, loser: &RunningAttempt) {
        let Some(state) = self.upstream_states.get_mut(loser.upstream) else { return };
        if loser.probe || loser.started >= winner.started {
            return;
        }
        let waited = now.since(loser.started).as_secs_f64() * 1e6;
        if state.first_token.micros().is_none_or(|first| waited > first) {
            state.first_token.set(Some(waited));
            state.last_sample = Some(now);
        }
        if loser.started >= state.health.phase_start() && state.health.record_hedge_loss(now) {
            self.eject(now, loser.upstream);
        }
    }

    /// Records the end of an attempt that had no first token: as the result of a probe, or, when
    /// `good`, as a fast answer.
    fn record_end_without_token(&mut self, now: Time, attempt: &RunningAttempt, good: bool) {
        if let Some(state) = self.upstream_states.get_mut(attempt.upstream)
            && !attempt.has_first_token
        {
            if attempt.probe {
                state.health.record_probe_result(now, good);
            } else if good {
                state.health.record_answer(now, false);
            }
        }
    }

    fn record_failure(&mut self, now: Time, attempt: &RunningAttempt) {
        let Some(state) = self.upstream_states.get_mut(attempt.upstream) else { return };
        if attempt.probe {
            state.health.record_probe_result(now, false);
        }
        if state.health.record_failure(now) {
            self.eject(now, attempt.upstream);
        }
    }

    /// Retries or refuses a request once none of its attempts is running any more.
    fn retry_or_refuse(
        &mut self,
        now: Time,
        id: RequestId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.active_requests.get(&id) else { return };
        if !active.running.is_empty() {
            return;
        }
        let Some(pool) = self.pools.get_mut(active.pool) else { return };
        let context = RetryContext {
            outcome,
            idempotent: active.request.idempotent,
            delivered: active.delivered,
            resumable: pool.kind == Kind::Model,
            attempts: active.tried.len(),
            expired: active.deadline <= now,
        };
        match context.refusal() {
            Some(refusal) => self.refuse(now, id, refusal, actions),
            None if self.settings.naive || pool.budget.try_retry(now) => {
                self.dispatch_or_queue(now, id, Refusal::GivenUp, actions);
            }
            None => self.refuse(now, id, Refusal::GivenUp, actions),
        }
    }
}
