//! Handles load reports, online-work notices between daemons, and the limit on batch streams at
//! each upstream.

use std::time::Duration;

use cyclamengrade_configuration::Kind;

use crate::{
    fleet::UpstreamKey,
    pacing::Conditions,
    time::Time,
    traffic::{
        machine::Machine,
        message::{Action, Load, Outcome},
        upstream::{LastNotice, UpstreamState},
    },
};

/// Minimum time between two notices about one upstream while requests are in flight there.
const NOTICE_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which an unchanged notice is repeated. The dispatcher drops notices after 15 s.
const NOTICE_REPEAT_INTERVAL: Duration = Duration::from_secs(5);

impl Machine {
    /// Records a load report, unless it is older than the last one.
    pub(super) fn handle_load_report(&mut self, now: Time, name: &str, load: Load) {
        if let Some((key, state)) = self.state_by_name(name)
            && state.outstanding.record_report(now, load)
        {
            state.batch_limiter.record_report(now, load);
            self.changed_upstreams.push(key);
        }
    }

    /// Records that an upstream has a prompt prefix in its cache.
    pub(super) fn handle_cached_prefix(&mut self, name: &str, prefix: u64) {
        if let Some((key, state)) = self.state_by_name(name) {
            let pool = state.pool;
            if let Some(pool) = self.pools.get_mut(pool) {
                pool.cache_hints.insert(prefix, key);
            }
        }
    }

    /// Records how many online requests another daemon has in flight at an upstream.
    pub(super) fn handle_online_notice(
        &mut self,
        now: Time,
        from: String,
        name: &str,
        in_flight: u32,
    ) {
        if let Some((key, state)) = self.state_by_name(name) {
            state.batch_limiter.record_notice(now, from, in_flight);
            self.changed_upstreams.push(key);
        }
    }

    pub(super) fn handle_batch_start(&mut self, now: Time, name: &str) {
        if let Some((key, state)) = self.state_by_name(name) {
            state.batch_limiter.record_start();
            state.outstanding.record_change(now, 1);
            self.changed_upstreams.push(key);
        }
    }

    /// Records the end of a batch stream and checks its latencies against the targets of the
    /// deployment.
    pub(super) fn handle_batch_end(
        &mut self,
        now: Time,
        name: &str,
        outcome: Outcome,
        (first, gap): (Option<Duration>, Option<Duration>),
    ) {
        let Some((key, state)) = self.state_by_name(name) else { return };
        state.batch_limiter.record_end();
        state.outstanding.record_change(now, -1);
        let pool = state.pool;
        let Some(pool) = self.pools.get(pool) else { return };
        let late = first.is_some_and(|first| first > pool.first_token_target)
            || gap.is_some_and(|gap| gap > pool.token_gap_target);
        let failed = matches!(outcome, Outcome::NotRun | Outcome::Failed | Outcome::Unknown);
        if let Some(state) = self.upstream_states.get_mut(key) {
            state.batch_limiter.record_latency(now, !late && !failed);
            if failed || outcome == Outcome::Done {
                state.batch_limiter.record_outcome(now, failed);
            }
        }
        self.changed_upstreams.push(key);
    }

    /// Emits the batch limits and notices that changed for the upstreams in `changed_upstreams`.
    pub(super) fn emit_batch_updates(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.changed_upstreams.extend(self.unsent_notices.iter().copied());
        let mut changed = std::mem::take(&mut self.changed_upstreams);
        changed.sort_unstable();
        changed.dedup();
        for &key in &changed {
            self.update_batch_limit(now, key, actions);
            self.send_notice(now, key, actions);
        }
        changed.clear();
        self.changed_upstreams = changed;
    }

    /// Marks notices about ongoing work for repetition once they reach `NOTICE_REPEAT_INTERVAL`.
    pub(super) fn repeat_notices(&mut self, now: Time) {
        for (key, state) in &mut self.upstream_states {
            if state.last_notice.in_flight > 0
                && now.since(state.last_notice.sent_at) >= NOTICE_REPEAT_INTERVAL
            {
                state.last_notice = LastNotice::default();
                self.changed_upstreams.push(key);
            }
        }
    }

    fn update_batch_limit(&mut self, now: Time, key: UpstreamKey, actions: &mut Vec<Action>) {
        let usable = self.in_service(key);
        let Some(upstream) = self.fleet.upstreams.get(key) else { return };
        let Some(state) = self.upstream_states.get_mut(key) else { return };
        let unreachable = state.health.is_ejected() && state.health.failures() > 0;
        let accepts_batch =
            state.dispatched_here && usable && upstream.kind == Kind::Model && !unreachable;
        let slots = if accepts_batch { state.outstanding.slots() } else { 0 };
        let new_limit = if self.settings.naive {
            state.batch_limiter.set_limit(slots / 2)
        } else {
            let conditions =
                Conditions { name: &upstream.name, slots, own: state.outstanding.own() };
            state.batch_limiter.update(now, conditions)
        };
        if let Some(streams) = new_limit {
            actions.push(Action::BatchLimit {
                upstream: upstream.name.clone(),
                deployment: upstream.deployment.clone(),
                streams,
            });
        }
    }

    fn send_notice(&mut self, now: Time, key: UpstreamKey, actions: &mut Vec<Action>) {
        self.unsent_notices.remove(&key);
        let Some(upstream) = self.fleet.upstreams.get(key) else { return };
        let Some(state) = self.upstream_states.get_mut(key) else { return };
        let in_flight = state.outstanding.own();
        let Some((_, dispatcher)) = &state.dispatcher else { return };
        if state.dispatched_here || self.settings.naive || in_flight == state.last_notice.in_flight
        {
            return;
        }
        if state.last_notice.in_flight > 0 && now.since(state.last_notice.sent_at) < NOTICE_INTERVAL
        {
            self.unsent_notices.insert(key);
            return;
        }
        state.last_notice = LastNotice { in_flight, sent_at: now };
        actions.push(Action::Notify {
            dispatcher: dispatcher.clone(),
            upstream: upstream.name.clone(),
            in_flight,
        });
    }

    fn state_by_name(&mut self, name: &str) -> Option<(UpstreamKey, &mut UpstreamState)> {
        let &key = self.fleet.by_name.get(name)?;
        Some((key, self.upstream_states.get_mut(key)?))
    }
}
