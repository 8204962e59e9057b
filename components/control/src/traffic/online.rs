//! Admission, dispatch and completion of online requests.

use std::time::Duration;

use cyclamengrade_configuration::{Kind, Limit};

use crate::{
    admission,
    fleet::UpstreamKey,
    time::Time,
    traffic::{
        active_request::{ActiveRequest, RunningAttempt},
        machine::Machine,
        message::{Action, Attempt, AttemptId, Refusal, Request, RequestId},
        pool::PoolKey,
        selection::Choice,
        upstream::UpstreamState,
    },
};

/// Retry delay given to callers when no estimate is available.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Machine {
    /// Admits a request and dispatches or queues it, or refuses it. Ignores requests that are in
    /// flight or that finished recently.
    pub(super) fn handle_arrival(
        &mut self,
        now: Time,
        request: Request,
        actions: &mut Vec<Action>,
    ) {
        let id = request.id;
        if self.active_requests.contains_key(&id) || self.finished_requests.contains(id) {
            return;
        }
        let refusal = match self.pool_keys.get(&request.deployment).copied() {
            None => Some((Refusal::Unavailable, DEFAULT_RETRY_AFTER)),
            Some(_) if request.deadline.is_some_and(|deadline| deadline <= now) => {
                Some((Refusal::Expired, DEFAULT_RETRY_AFTER))
            }
            Some(pool) => match self.admit(now, pool, &request) {
                Err(retry_after) => Some((Refusal::Limited, retry_after)),
                Ok(()) => {
                    let active = ActiveRequest::new(now, request, pool);
                    self.deadlines.insert((active.deadline, id));
                    self.active_requests.insert(id, active);
                    None
                }
            },
        };
        if let Some((refusal, retry_after)) = refusal {
            self.finished_requests.insert(id);
            actions.push(Action::Refuse { request: id, refusal, not_run: true, retry_after });
        } else {
            self.dispatch_or_queue(now, id, Refusal::Unavailable, actions);
        }
    }

    /// Dispatches the next attempt of a request, queues it, or refuses it. `refusal_if_none`
    /// applies when no upstream is in service.
    pub(super) fn dispatch_or_queue(
        &mut self,
        now: Time,
        id: RequestId,
        refusal_if_none: Refusal,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.active_requests.get(&id) else { return };
        let others_wait = self.pools.get(active.pool).is_some_and(|pool| !pool.queue.is_empty());
        if others_wait || !self.try_dispatch(now, id, refusal_if_none, actions) {
            self.enqueue(now, id, actions);
        }
    }

    /// Dispatches queued requests while upstreams have room.
    pub(super) fn dispatch_queued(&mut self, now: Time, actions: &mut Vec<Action>) {
        let waiting: Vec<PoolKey> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.queue.is_empty())
            .map(|(key, _)| key)
            .collect();
        for key in waiting {
            while let Some(id) = self.pools.get(key).and_then(|pool| pool.queue.first()) {
                let tried =
                    self.active_requests.get(&id).is_some_and(|active| !active.tried.is_empty());
                let refusal_if_none = if tried { Refusal::GivenUp } else { Refusal::Unavailable };
                if !self.try_dispatch(now, id, refusal_if_none, actions) {
                    break;
                }
            }
        }
    }

    /// Ends a request that needs no answer any more and cancels its running attempts.
    pub(super) fn end_request(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        match self.remove_request(id) {
            Some(mut active) => self.cancel_all(now, &mut active, actions),
            None => self.finished_requests.insert(id),
        }
    }

    /// Refuses a request and cancels its running attempts.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        id: RequestId,
        refusal: Refusal,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut active) = self.remove_request(id) else { return };
        self.cancel_all(now, &mut active, actions);
        let retry_after = self
            .pools
            .get(active.pool)
            .map_or(DEFAULT_RETRY_AFTER, |pool| pool.queue.retry_after());
        let not_run = !active.may_have_run;
        actions.push(Action::Refuse { request: id, refusal, not_run, retry_after });
    }

    /// Removes a request from the state. The calling function cancels the running attempts in the
    /// returned value.
    pub(super) fn remove_request(&mut self, id: RequestId) -> Option<ActiveRequest> {
        let active = self.active_requests.remove(&id)?;
        self.deadlines.remove(&(active.deadline, id));
        self.finished_requests.insert(id);
        if let Some(pool) = self.pools.get_mut(active.pool) {
            if active.queued {
                pool.queue.remove(active.deadline, id);
            }
            if let Some(limiter) = pool.limiters.get_mut(&active.request.client) {
                limiter.release();
            }
        }
        Some(active)
    }

    /// Dispatches an attempt to an upstream.
    pub(super) fn dispatch_to(
        &mut self,
        now: Time,
        active: &mut ActiveRequest,
        upstream: UpstreamKey,
        probe: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.upstream_states.get_mut(upstream) else { return };
        let Some(pool) = self.pools.get_mut(active.pool) else { return };
        let id = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        state.outstanding.record_start(now);
        state.awaiting_first_token.push((now, id));
        if probe {
            state.health.record_probe_sent();
        }
        pool.awaiting_first_token.insert((now, id));
        // An answer that arrives in one piece has no gaps from which to derive a timeout, and the
        // attempt of a non-idempotent request must not be cut off.
        let silence_timeout = if pool.kind == Kind::Model && active.request.idempotent {
            state.silence_timeout(pool.latency_baseline.first_token_tail_us)
        } else {
            UpstreamState::max_silence_timeout()
        };
        active.running.push(RunningAttempt {
            id,
            upstream,
            started: now,
            has_first_token: false,
            silences: 0,
            probe,
        });
        active.tried.push(upstream);
        self.attempts.insert(id, active.request.id);
        self.changed_upstreams.push(upstream);
        actions.push(Action::Dispatch(Attempt {
            request: active.request.id,
            id,
            upstream,
            silence_timeout,
        }));
    }

    /// Removes an attempt from the state of its upstream and its pool.
    pub(super) fn remove_attempt(&mut self, now: Time, pool: PoolKey, attempt: &RunningAttempt) {
        self.attempts.remove(&attempt.id);
        if let Some(state) = self.upstream_states.get_mut(attempt.upstream) {
            state.outstanding.record_end(now);
            state.awaiting_first_token.retain(|&(_, id)| id != attempt.id);
        }
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.awaiting_first_token.remove(&(attempt.started, attempt.id));
            pool.queue.record_completion();
        }
        self.changed_upstreams.push(attempt.upstream);
    }

    /// Cancels an attempt. A cancelled probe counts as failed.
    pub(super) fn cancel_attempt(
        &mut self,
        now: Time,
        active: &mut ActiveRequest,
        attempt: &RunningAttempt,
        actions: &mut Vec<Action>,
    ) {
        self.remove_attempt(now, active.pool, attempt);
        active.may_have_run = true;
        if attempt.probe
            && let Some(state) = self.upstream_states.get_mut(attempt.upstream)
        {
            state.health.record_probe_result(now, false);
        }
        actions.push(Action::Cancel { attempt: attempt.id, request: active.request.id });
    }

    fn cancel_all(&mut self, now: Time, active: &mut ActiveRequest, actions: &mut Vec<Action>) {
        for attempt in std::mem::take(&mut active.running) {
            self.cancel_attempt(now, active, &attempt, actions);
        }
    }

    /// Dispatches a request if possible, and refuses it with `refusal_if_none` when no upstream is
    /// in service. Returns false when every upstream is full.
    fn try_dispatch(
        &mut self,
        now: Time,
        id: RequestId,
        refusal_if_none: Refusal,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(mut active) = self.active_requests.remove(&id) else { return true };
        let choice = self.choose(now, &active);
        let (upstream, probe) = match choice {
            Choice::Upstream(key) => (Some(key), false),
            Choice::Probe(key) => (Some(key), true),
            Choice::Full | Choice::NoneInService => (None, false),
        };
        if let Some(upstream) = upstream {
            if active.queued
                && let Some(pool) = self.pools.get_mut(active.pool)
            {
                pool.queue.remove(active.deadline, id);
                active.queued = false;
            }
            let first = active.tried.is_empty();
            self.dispatch_to(now, &mut active, upstream, probe, actions);
            if first && !probe {
                self.dispatch_probe(now, &mut active, actions);
            }
        }
        self.active_requests.insert(id, active);
        if choice == Choice::NoneInService {
            self.refuse(now, id, refusal_if_none, actions);
        }
        choice != Choice::Full
    }

    /// Sends a probe to an ejected upstream beside the regular attempt, so that a slow probe does
    /// not delay the caller.
    fn dispatch_probe(&mut self, now: Time, active: &mut ActiveRequest, actions: &mut Vec<Action>) {
        if self.settings.naive || !active.request.idempotent {
            return;
        }
        if let Some(key) = self.due_probe(now, active)
            && self.pools.get_mut(active.pool).is_some_and(|pool| pool.budget.try_probe())
        {
            active.hedged = true;
            self.dispatch_to(now, active, key, true, actions);
        }
    }

    fn enqueue(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.active_requests.get_mut(&id) else { return };
        let Some(pool) = self.pools.get_mut(active.pool) else { return };
        if pool.queue.accepts(now, active.deadline, self.settings.queue) {
            active.queued = true;
            pool.queue.push(active.deadline, id);
        } else {
            self.refuse(now, id, Refusal::Overloaded, actions);
        }
    }

    fn admit(&mut self, now: Time, pool: PoolKey, request: &Request) -> Result<(), Duration> {
        let Some(pool) = self.pools.get_mut(pool) else { return Ok(()) };
        let limits = self.document.clients.get(&request.client).map(|client| &client.limits);
        let limit: Option<&Limit> =
            limits.and_then(|limits| limits.get(&pool.name).or_else(|| limits.get("*")));
        if !pool.limiters.contains_key(&request.client) {
            let key = (pool.name.clone(), request.client.clone());
            let others = self.demand.get(&key).copied().unwrap_or_default();
            pool.limiter(&request.client).set_remote_demand(others);
        }
        let live = admission::LiveDaemons { own: &self.settings.daemon, names: &self.members };
        let name = pool.name.clone();
        pool.limiter(&request.client).admit(now, limit, (&request.client, &name), live)
    }
}
