//! Periodic work: baselines, rates, deadlines, stuck upstreams and hedges.

use std::time::Duration;

use crate::{
    retry::MAX_ATTEMPTS,
    routing::{LatencyBaseline, LoadBaseline},
    time::Time,
    traffic::{
        machine::Machine,
        message::{Action, AttemptId, Refusal, RequestId},
        pool::PoolKey,
        selection::Choice,
    },
};

/// Interval at which the latency and load baselines are recomputed.
const BASELINE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which rates and demand are updated.
const RATE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a sample counts in the median, as a multiple of the median itself, within
/// `SAMPLE_LIFE_BOUNDS`. Old samples are left out, so that a slowdown of the whole deployment moves
/// the median before single upstreams seem slow in comparison.
const SAMPLE_LIFE_FACTOR: f64 = 10.0;
const SAMPLE_LIFE_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(5));
/// Upstreams with fresh samples that the median needs. With fewer, old samples count as well.
const MIN_FRESH_PEERS: usize = 3;
/// Quantile of the time to first token from which the hedge delay is derived. The retry budget
/// limits how many hedges are sent. In the model of `tests/targets.rs` with upstreams that are slow
/// for 20 s at a time, a quantile of 0.97 gives a p99 of 1.6 times the p99 without slow upstreams,
/// and 0.92 one of 1.4 times.
const HEDGE_QUANTILE: f64 = 0.92;
/// Wait for a first token, as a multiple of the hedge delay, after which a request is overdue and
/// its hedge may use the reserve of the budget.
const OVERDUE_HEDGE_FACTOR: f64 = 1.3;

impl Machine {
    /// Runs the periodic work that is due.
    pub(super) fn handle_tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now.since(self.last_runs.baselines) >= BASELINE_INTERVAL {
            self.last_runs.baselines = now;
            self.update_baselines(now);
        }
        if now.since(self.last_runs.rates) >= RATE_INTERVAL {
            self.last_runs.rates = now;
            self.update_rates(now);
        }
        self.expire_requests(now, actions);
        if !self.settings.naive {
            self.refuse_unservable(now, actions);
            let keys: Vec<_> = self.pools.keys().collect();
            for key in keys {
                self.check_pending(now, key, actions);
            }
        }
        self.changed_upstreams.extend_from_slice(&self.dispatched_upstreams);
    }

    fn update_baselines(&mut self, now: Time) {
        for pool in self.pools.values_mut() {
            let sample_life =
                pool.latency_baseline.first_token_us.unwrap_or_default() * SAMPLE_LIFE_FACTOR;
            let sample_life = Duration::from_micros(sample_life as u64)
                .clamp(SAMPLE_LIFE_BOUNDS.0, SAMPLE_LIFE_BOUNDS.1);
            let (mut recent, mut all, mut gaps) = (Vec::new(), Vec::new(), Vec::new());
            let (mut others, mut reports) = (0.0, 0);
            for state in pool.subset.iter().filter_map(|&key| self.upstream_states.get(key)) {
                if let Some((requests, _)) = state.outstanding.others(now) {
                    others += requests;
                    reports += 1;
                }
                gaps.extend(state.token_gap.micros());
                let Some(first) = state.first_token_estimate(now) else { continue };
                all.push(first);
                let is_stuck = pool.latency_baseline.stuck_delay() < state.longest_wait(now);
                if is_stuck || state.last_sample.is_some_and(|at| now.since(at) <= sample_life) {
                    recent.push(first);
                }
            }
            pool.load_baseline = LoadBaseline {
                others: others / f64::from(reports.max(1)),
                request_duration: pool
                    .request_duration
                    .duration()
                    .unwrap_or(pool.load_baseline.request_duration),
            };
            let firsts = if recent.len() < MIN_FRESH_PEERS { &mut all } else { &mut recent };
            pool.latency_baseline = LatencyBaseline {
                first_token_us: LatencyBaseline::median(firsts),
                first_token_tail_us: pool.first_token_samples.quantile(HEDGE_QUANTILE),
                token_gap_us: LatencyBaseline::median(&mut gaps),
            };
        }
    }

    fn update_rates(&mut self, now: Time) {
        for pool in self.pools.values_mut() {
            pool.queue.update_rate();
            for limiter in pool.limiters.values_mut() {
                limiter.update_rate();
            }
            pool.limiters.retain(|_, limiter| !limiter.is_idle());
        }
        for state in self.upstream_states.values_mut() {
            state.batch_limiter.prune_notices(now, |_| true);
        }
        self.repeat_notices(now);
    }

    fn expire_requests(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(&(deadline, id)) = self.deadlines.first()
            && deadline <= now
        {
            let Some(active) = self.active_requests.get(&id) else {
                self.deadlines.pop_first();
                continue;
            };
            let ran = active.may_have_run || !active.running.is_empty();
            let unknown = ran && !active.request.idempotent;
            let refusal = if unknown { Refusal::OutcomeUnknown } else { Refusal::Expired };
            self.refuse(now, id, refusal, actions);
        }
    }

    fn refuse_unservable(&mut self, now: Time, actions: &mut Vec<Action>) {
        let unservable: Vec<RequestId> =
            self.pools.values().flat_map(|pool| pool.queue.unservable(now)).collect();
        for id in unservable {
            self.refuse(now, id, Refusal::Overloaded, actions);
        }
    }

    /// Ejects upstreams that are stuck, and sends hedges for slow requests.
    fn check_pending(&mut self, now: Time, key: PoolKey, actions: &mut Vec<Action>) {
        let Some(pool) = self.pools.get(key) else { return };
        let Some(hedge_delay) = pool.latency_baseline.hedge_delay() else { return };
        let stuck_delay = pool.latency_baseline.stuck_delay().unwrap_or(hedge_delay);
        // A probe without a regular attempt beside it is hedged sooner, so that its caller waits no
        // longer than the usual tail latency.
        let probe_delay = pool.latency_baseline.median_delay().unwrap_or(hedge_delay);
        let late: Vec<AttemptId> = pool
            .awaiting_first_token
            .iter()
            .take_while(|&&(started, _)| now.since(started) >= probe_delay)
            .map(|&(_, id)| id)
            .collect();
        for id in late {
            let Some(&request) = self.attempts.get(&id) else { continue };
            let attempt =
                self.active_requests.get_mut(&request).and_then(|active| active.attempt(id));
            let Some(attempt) = attempt.copied() else { continue };
            if now.since(attempt.started) >= stuck_delay
                && self.pools.get(key).is_some_and(|pool| pool.is_overtaken(attempt.started))
                && let Some(state) = self.upstream_states.get(attempt.upstream)
                && !state.health.is_ejected()
                && attempt.started >= state.health.phase_start()
            {
                self.eject(now, attempt.upstream);
            }
            let is_overdue =
                now.since(attempt.started) >= hedge_delay.mul_f64(OVERDUE_HEDGE_FACTOR);
            if attempt.probe || now.since(attempt.started) >= hedge_delay {
                self.try_hedge(now, request, is_overdue || attempt.probe, actions);
            }
        }
    }

    fn try_hedge(&mut self, now: Time, id: RequestId, is_overdue: bool, actions: &mut Vec<Action>) {
        let may_hedge = self.active_requests.get(&id).is_some_and(|active| {
            let may_run_again = active.request.idempotent && active.tried.len() < MAX_ATTEMPTS;
            may_run_again && !active.hedged && active.running.len() == 1
        });
        if !may_hedge {
            return;
        }
        let Some(mut active) = self.active_requests.remove(&id) else { return };
        if let Choice::Upstream(upstream) = self.choose(now, &active)
            && self.upstream_states.get(upstream).is_some_and(|state| !state.health.is_ejected())
            && self.pools.get_mut(active.pool).is_some_and(|pool| pool.budget.try_hedge(is_overdue))
        {
            active.hedged = true;
            self.dispatch_to(now, &mut active, upstream, false, actions);
        }
        self.active_requests.insert(id, active);
    }
}
