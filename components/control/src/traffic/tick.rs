//! What depends on the time that passes.

use std::time::Duration;

use crate::{
    retry::ATTEMPTS,
    routing::{Typical, Usual},
    time::Time,
    traffic::{
        machine::Machine,
        message::{Action, AttemptId, Refusal, RequestId},
        pool::PoolKey,
        selection::Choice,
    },
};

/// Time between two computations of the medians.
const TYPICAL_PERIOD: Duration = Duration::from_millis(50);
/// Time between two measurements of rates and demand.
const SECOND: Duration = Duration::from_secs(1);
/// Time for which a sample is compared with the peers, as a multiple of the median, and its
/// bounds. A change of the whole service must move the median before it looks like slow upstreams.
const FRESH: f64 = 10.0;
const FRESH_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(5));
/// Upstreams with fresh samples that are needed for a median; with fewer, old samples count.
const FRESH_PEERS: usize = 3;
/// Share of first tokens that come before a second attempt is considered. The budget decides how
/// many are made. In the model of `tests/targets.rs`, 97% let the p99 with upstreams that are slow
/// for 20 s rise to 1.6 times the even one, 92% to 1.4 times.
const TAIL: f64 = 0.92;
/// Wait as a multiple of the hedge delay after which the reserve of the budget may be used.
const STUCK_HEDGE: f64 = 1.3;

impl Machine {
    /// Takes the passing of time.
    pub(super) fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now.since(self.periods.typical) >= TYPICAL_PERIOD {
            self.periods.typical = now;
            self.measure(now);
        }
        if now.since(self.periods.second) >= SECOND {
            self.periods.second = now;
            self.second(now);
        }
        self.expire(now, actions);
        if !self.settings.naive {
            self.refuse_unservable(now, actions);
            let keys: Vec<_> = self.pools.keys().collect();
            for key in keys {
                self.watch(now, key, actions);
            }
        }
        self.touched.extend_from_slice(&self.mine);
    }

    fn measure(&mut self, now: Time) {
        for pool in self.pools.values_mut() {
            let fresh = pool.typical.first.unwrap_or_default() * FRESH;
            let fresh = Duration::from_micros(fresh as u64).clamp(FRESH_BOUNDS.0, FRESH_BOUNDS.1);
            let (mut recent, mut all, mut gaps) = (Vec::new(), Vec::new(), Vec::new());
            let (mut others, mut reports) = (0.0, 0);
            for node in pool.subset.iter().filter_map(|&key| self.nodes.get(key)) {
                if let Some((work, _)) = node.work.others(now) {
                    others += work;
                    reports += 1;
                }
                gaps.extend(node.gap.micros());
                let Some(first) = node.first(now) else { continue };
                all.push(first);
                let is_late = pool.typical.stuck_delay() < node.oldest(now);
                if is_late || node.sampled.is_some_and(|at| now.since(at) <= fresh) {
                    recent.push(first);
                }
            }
            pool.usual = Usual {
                others: others / f64::from(reports.max(1)),
                duration: pool.duration.duration().unwrap_or(pool.usual.duration),
            };
            let firsts = if recent.len() < FRESH_PEERS { &mut all } else { &mut recent };
            pool.typical = Typical {
                first: Typical::median(firsts),
                high: pool.firsts.quantile(TAIL),
                gap: Typical::median(&mut gaps),
            };
        }
    }

    fn second(&mut self, now: Time) {
        for pool in self.pools.values_mut() {
            pool.queue.second();
            for account in pool.accounts.values_mut() {
                account.second();
            }
            pool.accounts.retain(|_, account| !account.is_idle());
        }
        for node in self.nodes.values_mut() {
            node.pace.prune(now, |_| true);
        }
        self.repeat_notices(now);
    }

    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(&(deadline, id)) = self.deadlines.first()
            && deadline <= now
        {
            let Some(flight) = self.flights.get(&id) else {
                self.deadlines.pop_first();
                continue;
            };
            let ran = flight.may_have_run || !flight.running.is_empty();
            let unknown = ran && !flight.request.idempotent;
            let refusal = if unknown { Refusal::OutcomeUnknown } else { Refusal::Expired };
            self.give_up(now, id, refusal, actions);
        }
    }

    fn refuse_unservable(&mut self, now: Time, actions: &mut Vec<Action>) {
        let unservable: Vec<RequestId> =
            self.pools.values().flat_map(|pool| pool.queue.unservable(now)).collect();
        for id in unservable {
            self.give_up(now, id, Refusal::Overloaded, actions);
        }
    }

    /// Ejects upstreams that are stuck, and sends second attempts of slow requests.
    fn watch(&mut self, now: Time, key: PoolKey, actions: &mut Vec<Action>) {
        let Some(pool) = self.pools.get(key) else { return };
        let Some(hedge_delay) = pool.typical.hedge_delay() else { return };
        let stuck_delay = pool.typical.stuck_delay().unwrap_or(hedge_delay);
        // A probe alone must not cost its caller more than the usual tail.
        let probe_delay = pool.typical.median_delay().unwrap_or(hedge_delay);
        let late: Vec<AttemptId> = pool
            .pending
            .iter()
            .take_while(|&&(started, _)| now.since(started) >= probe_delay)
            .map(|&(_, id)| id)
            .collect();
        for id in late {
            let Some(&request) = self.attempts.get(&id) else { continue };
            let attempt = self.flights.get_mut(&request).and_then(|flight| flight.attempt(id));
            let Some(attempt) = attempt.copied() else { continue };
            if now.since(attempt.started) >= stuck_delay
                && self.pools.get(key).is_some_and(|pool| pool.is_overtaken(attempt.started))
                && let Some(node) = self.nodes.get(attempt.upstream)
                && !node.health.is_ejected()
                && attempt.started >= node.health.since()
            {
                self.eject(now, attempt.upstream);
            }
            let is_stuck = now.since(attempt.started) >= hedge_delay.mul_f64(STUCK_HEDGE);
            if attempt.probe || now.since(attempt.started) >= hedge_delay {
                self.hedge(now, request, is_stuck || attempt.probe, actions);
            }
        }
    }

    fn hedge(&mut self, now: Time, id: RequestId, is_stuck: bool, actions: &mut Vec<Action>) {
        let fits = self.flights.get(&id).is_some_and(|flight| {
            let may_run_again = flight.request.idempotent && flight.tried.len() < ATTEMPTS;
            may_run_again && !flight.hedged && flight.running.len() == 1
        });
        if !fits {
            return;
        }
        let Some(mut flight) = self.flights.remove(&id) else { return };
        if let Choice::Upstream(upstream) = self.choose(now, &flight)
            && self.nodes.get(upstream).is_some_and(|node| !node.health.is_ejected())
            && self.pools.get_mut(flight.pool).is_some_and(|pool| pool.budget.hedge(is_stuck))
        {
            flight.hedged = true;
            self.send(now, &mut flight, upstream, false, actions);
        }
        self.flights.insert(id, flight);
    }
}
