//! Admission, dispatch and end of online requests.

use std::time::Duration;

use cyclamengrade_configuration::{Kind, Limit};

use crate::{
    admission,
    fleet::UpstreamKey,
    time::Time,
    traffic::{
        flight::{Flight, Try},
        machine::Machine,
        message::{Action, Attempt, AttemptId, Refusal, Request, RequestId},
        node::Node,
        pool::PoolKey,
        selection::Choice,
    },
};

/// Time after which a caller may come back when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Machine {
    /// Admits a request and dispatches it, or lets it wait.
    pub(super) fn arrived(&mut self, now: Time, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if self.flights.contains_key(&id) || self.recent.contains(id) {
            return;
        }
        let refusal = match self.pool_names.get(&request.deployment).copied() {
            None => Some((Refusal::Unavailable, RETRY_AFTER)),
            Some(_) if request.deadline.is_some_and(|deadline| deadline <= now) => {
                Some((Refusal::Expired, RETRY_AFTER))
            }
            Some(pool) => match self.admit(now, pool, &request) {
                Err(retry_after) => Some((Refusal::Limited, retry_after)),
                Ok(()) => {
                    let flight = Flight::new(now, request, pool);
                    self.deadlines.insert((flight.deadline, id));
                    self.flights.insert(id, flight);
                    None
                }
            },
        };
        if let Some((refusal, retry_after)) = refusal {
            self.recent.insert(id);
            actions.push(Action::Refuse { request: id, refusal, not_run: true, retry_after });
        } else {
            self.start(now, id, Refusal::Unavailable, actions);
        }
    }

    /// Dispatches the next attempt of a request, lets it wait for an upstream, or refuses it.
    pub(super) fn start(
        &mut self,
        now: Time,
        id: RequestId,
        absent: Refusal,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get(&id) else { return };
        let others_wait = self.pools.get(flight.pool).is_some_and(|pool| !pool.queue.is_empty());
        if others_wait || !self.try_start(now, id, absent, actions) {
            self.wait(now, id, actions);
        }
    }

    /// Dispatches waiting requests as far as upstreams have room.
    pub(super) fn pump(&mut self, now: Time, actions: &mut Vec<Action>) {
        let waiting: Vec<PoolKey> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.queue.is_empty())
            .map(|(key, _)| key)
            .collect();
        for key in waiting {
            while let Some(id) = self.pools.get(key).and_then(|pool| pool.queue.first()) {
                let tried = self.flights.get(&id).is_some_and(|flight| !flight.tried.is_empty());
                let absent = if tried { Refusal::GivenUp } else { Refusal::Unavailable };
                if !self.try_start(now, id, absent, actions) {
                    break;
                }
            }
        }
    }

    /// Ends the work of a request whose caller went away.
    pub(super) fn abandoned(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        match self.finish(id) {
            Some(mut flight) => self.cancel_all(now, &mut flight, actions),
            None => self.recent.insert(id),
        }
    }

    /// Refuses a request and cancels what still runs for it.
    pub(super) fn give_up(
        &mut self,
        now: Time,
        id: RequestId,
        refusal: Refusal,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut flight) = self.finish(id) else { return };
        self.cancel_all(now, &mut flight, actions);
        let retry_after =
            self.pools.get(flight.pool).map_or(RETRY_AFTER, |pool| pool.queue.retry_after());
        let not_run = !flight.may_have_run;
        actions.push(Action::Refuse { request: id, refusal, not_run, retry_after });
    }

    /// Takes a request out of all state; its running attempts remain with the caller.
    pub(super) fn finish(&mut self, id: RequestId) -> Option<Flight> {
        let flight = self.flights.remove(&id)?;
        self.deadlines.remove(&(flight.deadline, id));
        self.recent.insert(id);
        if let Some(pool) = self.pools.get_mut(flight.pool) {
            if flight.queued {
                pool.queue.remove(flight.deadline, id);
            }
            if let Some(account) = pool.accounts.get_mut(&flight.request.client) {
                account.release();
            }
        }
        Some(flight)
    }

    /// Sends an attempt to an upstream.
    pub(super) fn send(
        &mut self,
        now: Time,
        flight: &mut Flight,
        upstream: UpstreamKey,
        probe: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(node) = self.nodes.get_mut(upstream) else { return };
        let Some(pool) = self.pools.get_mut(flight.pool) else { return };
        let id = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        node.work.start(now);
        node.waiting.push((now, id));
        if probe {
            node.health.probe();
        }
        pool.pending.insert((now, id));
        // An answer in one piece, or one that must not be cut off, has no gaps to judge by.
        let silence = if pool.kind == Kind::Model && flight.request.idempotent {
            node.silence(pool.typical.high)
        } else {
            Node::longest_silence()
        };
        flight.running.push(Try {
            id,
            upstream,
            started: now,
            progressed: false,
            silences: 0,
            probe,
        });
        flight.tried.push(upstream);
        self.attempts.insert(id, flight.request.id);
        self.touched.push(upstream);
        actions.push(Action::Dispatch(Attempt {
            request: flight.request.id,
            id,
            upstream,
            silence,
        }));
    }

    /// Ends the bookkeeping of an attempt.
    pub(super) fn release(&mut self, now: Time, pool: PoolKey, attempt: &Try) {
        self.attempts.remove(&attempt.id);
        if let Some(node) = self.nodes.get_mut(attempt.upstream) {
            node.work.end(now);
            node.waiting.retain(|&(_, id)| id != attempt.id);
        }
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.pending.remove(&(attempt.started, attempt.id));
            pool.queue.ended();
        }
        self.touched.push(attempt.upstream);
    }

    /// Cancels one attempt; a probe that did not finish counts as lost.
    pub(super) fn cancel(
        &mut self,
        now: Time,
        flight: &mut Flight,
        attempt: &Try,
        actions: &mut Vec<Action>,
    ) {
        self.release(now, flight.pool, attempt);
        flight.may_have_run = true;
        if attempt.probe
            && let Some(node) = self.nodes.get_mut(attempt.upstream)
        {
            node.health.probed(now, false);
        }
        actions.push(Action::Cancel { attempt: attempt.id, request: flight.request.id });
    }

    fn cancel_all(&mut self, now: Time, flight: &mut Flight, actions: &mut Vec<Action>) {
        for attempt in std::mem::take(&mut flight.running) {
            self.cancel(now, flight, &attempt, actions);
        }
    }

    /// False when every upstream is full.
    fn try_start(
        &mut self,
        now: Time,
        id: RequestId,
        absent: Refusal,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(mut flight) = self.flights.remove(&id) else { return true };
        let choice = self.choose(now, &flight);
        let (upstream, probe) = match choice {
            Choice::Upstream(key) => (Some(key), false),
            Choice::Probe(key) => (Some(key), true),
            Choice::Full | Choice::Absent => (None, false),
        };
        if let Some(upstream) = upstream {
            if flight.queued
                && let Some(pool) = self.pools.get_mut(flight.pool)
            {
                pool.queue.remove(flight.deadline, id);
                flight.queued = false;
            }
            let first = flight.tried.is_empty();
            self.send(now, &mut flight, upstream, probe, actions);
            if first && !probe {
                self.send_probe(now, &mut flight, actions);
            }
        }
        self.flights.insert(id, flight);
        if choice == Choice::Absent {
            self.give_up(now, id, absent, actions);
        }
        choice != Choice::Full
    }

    /// Sends a second attempt to an ejected upstream. Against a regular attempt a slow upstream
    /// loses without harm to the caller.
    fn send_probe(&mut self, now: Time, flight: &mut Flight, actions: &mut Vec<Action>) {
        if self.settings.naive || !flight.request.idempotent {
            return;
        }
        if let Some(key) = self.probe_due(now, flight)
            && self.pools.get_mut(flight.pool).is_some_and(|pool| pool.budget.probe())
        {
            flight.hedged = true;
            self.send(now, flight, key, true, actions);
        }
    }

    fn wait(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        let Some(pool) = self.pools.get_mut(flight.pool) else { return };
        if pool.queue.accepts(now, flight.deadline, self.settings.queue) {
            flight.queued = true;
            pool.queue.push(flight.deadline, id);
        } else {
            self.give_up(now, id, Refusal::Overloaded, actions);
        }
    }

    fn admit(&mut self, now: Time, pool: PoolKey, request: &Request) -> Result<(), Duration> {
        let Some(pool) = self.pools.get_mut(pool) else { return Ok(()) };
        let limits = self.document.clients.get(&request.client).map(|client| &client.limits);
        let limit: Option<&Limit> =
            limits.and_then(|limits| limits.get(&pool.name).or_else(|| limits.get("*")));
        if !pool.accounts.contains_key(&request.client) {
            let key = (pool.name.clone(), request.client.clone());
            let others = self.demand.get(&key).copied().unwrap_or_default();
            pool.account(&request.client).set_others(others);
        }
        let members = admission::Members { own: &self.settings.daemon, names: &self.members };
        let name = pool.name.clone();
        pool.account(&request.client).admit(now, limit, (&request.client, &name), members)
    }
}
