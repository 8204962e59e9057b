//! Load reports, notices between daemons, and the number of batch streams.

use std::time::Duration;

use cyclamengrade_configuration::Kind;

use crate::{
    fleet::UpstreamKey,
    pacing::Conditions,
    time::Time,
    traffic::{
        machine::Machine,
        message::{Action, Load, Outcome},
        node::{Node, Notified},
    },
};

/// Time between two notices about one upstream while work is in flight there.
const NOTICE_PERIOD: Duration = Duration::from_millis(25);
/// Time after which a notice is repeated. The dispatcher forgets notices after 15 s.
const NOTICE_REPEAT: Duration = Duration::from_secs(5);

impl Machine {
    /// Takes a load report.
    pub(super) fn loaded(&mut self, now: Time, name: &str, load: Load) {
        if let Some((key, node)) = self.node(name)
            && node.work.report(now, load)
        {
            node.pace.report(now, load);
            self.touched.push(key);
        }
    }

    /// Takes an announcement of a cached prefix.
    pub(super) fn cached(&mut self, name: &str, prefix: u64) {
        if let Some((key, node)) = self.node(name) {
            let pool = node.pool;
            if let Some(pool) = self.pools.get_mut(pool) {
                pool.hints.insert(prefix, key);
            }
        }
    }

    /// Takes the online work of another daemon at an upstream.
    pub(super) fn noticed(&mut self, now: Time, from: String, name: &str, in_flight: u32) {
        if let Some((key, node)) = self.node(name) {
            node.pace.notice(now, from, in_flight);
            self.touched.push(key);
        }
    }

    /// Takes the start of a batch stream.
    pub(super) fn batch_started(&mut self, now: Time, name: &str) {
        if let Some((key, node)) = self.node(name) {
            node.pace.started();
            node.work.shift(now, 1);
            self.touched.push(key);
        }
    }

    /// Takes the end of a batch stream.
    pub(super) fn batch_ended(
        &mut self,
        now: Time,
        name: &str,
        outcome: Outcome,
        (first, gap): (Option<Duration>, Option<Duration>),
    ) {
        let Some((key, node)) = self.node(name) else { return };
        node.pace.ended();
        node.work.shift(now, -1);
        let pool = node.pool;
        let Some(pool) = self.pools.get(pool) else { return };
        let late = first.is_some_and(|first| first > pool.first_target)
            || gap.is_some_and(|gap| gap > pool.gap_target);
        let failed = matches!(outcome, Outcome::NotRun | Outcome::Failed | Outcome::Unknown);
        if let Some(node) = self.nodes.get_mut(key) {
            node.pace.feedback(now, !late && !failed);
            if failed || outcome == Outcome::Done {
                node.pace.outcome(now, failed);
            }
        }
        self.touched.push(key);
    }

    /// Sends notices and batch limits that changed.
    pub(super) fn settle(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.touched.extend(self.unsent_notices.iter().copied());
        let mut touched = std::mem::take(&mut self.touched);
        touched.sort_unstable();
        touched.dedup();
        for &key in &touched {
            self.pace(now, key, actions);
            self.notify(now, key, actions);
        }
        touched.clear();
        self.touched = touched;
    }

    /// Repeats notices about work that goes on.
    pub(super) fn repeat_notices(&mut self, now: Time) {
        for (key, node) in &mut self.nodes {
            if node.notified.in_flight > 0 && now.since(node.notified.at) >= NOTICE_REPEAT {
                node.notified = Notified::default();
                self.touched.push(key);
            }
        }
    }

    fn pace(&mut self, now: Time, key: UpstreamKey, actions: &mut Vec<Action>) {
        let usable = self.in_service(key);
        let Some(upstream) = self.fleet.upstreams.get(key) else { return };
        let Some(node) = self.nodes.get_mut(key) else { return };
        let unreachable = node.health.is_ejected() && node.health.failures() > 0;
        let open = node.mine && usable && upstream.kind == Kind::Model && !unreachable;
        let slots = if open { node.work.slots() } else { 0 };
        let changed = if self.settings.naive {
            node.pace.fix(slots / 2)
        } else {
            let conditions = Conditions { name: &upstream.name, slots, own: node.work.own() };
            node.pace.update(now, conditions)
        };
        if let Some(streams) = changed {
            actions.push(Action::BatchLimit {
                upstream: upstream.name.clone(),
                deployment: upstream.deployment.clone(),
                streams,
            });
        }
    }

    fn notify(&mut self, now: Time, key: UpstreamKey, actions: &mut Vec<Action>) {
        self.unsent_notices.remove(&key);
        let Some(upstream) = self.fleet.upstreams.get(key) else { return };
        let Some(node) = self.nodes.get_mut(key) else { return };
        let in_flight = node.work.own();
        let Some((_, dispatcher)) = &node.dispatcher else { return };
        if node.mine || self.settings.naive || in_flight == node.notified.in_flight {
            return;
        }
        if node.notified.in_flight > 0 && now.since(node.notified.at) < NOTICE_PERIOD {
            self.unsent_notices.insert(key);
            return;
        }
        node.notified = Notified { in_flight, at: now };
        actions.push(Action::Notify {
            dispatcher: dispatcher.clone(),
            upstream: upstream.name.clone(),
            in_flight,
        });
    }

    fn node(&mut self, name: &str) -> Option<(UpstreamKey, &mut Node)> {
        let &key = self.fleet.by_name.get(name)?;
        Some((key, self.nodes.get_mut(key)?))
    }
}
