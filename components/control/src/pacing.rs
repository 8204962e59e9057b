//! How many batch streams an upstream carries.

use std::{collections::BTreeMap, time::Duration};

use crate::{hash, time::Time, traffic::Load};

/// Share of the slots that stays free for bursts while online work comes. At 8 slots this is one
/// slot at a quarter of the upstreams. In the model of `tests/targets.rs`, 6% lowered the batch
/// throughput from 0.91 to 0.90 of the spare slots without a gain in online latency.
const RESERVE: f64 = 0.03;
/// Time after the last online request for which the reserve stays.
const RESERVE_TIME: Duration = Duration::from_secs(5);
/// Time after a rise of online work for which the batch limit does not rise. Keeps short gaps
/// between online requests from starting streams that are paused at once. In the model, 100 ms cost
/// 4% of the batch throughput at a quarter of the slots with online work, and 14% at a half.
const HOLD: Duration = Duration::from_millis(10);
/// Streams by which the feedback raises its bound each `STEP`.
const INCREASE: f64 = 1.0;
/// Time between two raises.
const STEP: Duration = Duration::from_millis(200);
/// Time after a halving in which samples still show the state before it.
const REACTION: Duration = Duration::from_millis(500);
/// Time for which a load report counts. An upstream that is read less often is paced by notices and
/// feedback alone.
const REPORT_LIFE: Duration = Duration::from_secs(2);
/// Time after which a notice that was not repeated is forgotten.
const NOTICE_LIFE: Duration = Duration::from_secs(15);

/// Failed streams in a row after which an upstream gets no batch work for a while. Items of a dead
/// upstream would otherwise use up their attempts there.
const FAILURES: u32 = 2;
/// Time without batch work after such failures, and its bound when it doubles.
const CLOSED: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(16));

/// State of batch work at one upstream.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    batch: u32,
    limit: u32,
    bound: Option<f64>,
    raised: Time,
    halved: Option<Time>,
    notices: BTreeMap<String, (u32, Time)>,
    online: u32,
    risen: Option<Time>,
    batch_high: u32,
    online_high: u32,
    excess: u32,
    unexplained: u32,
    reported: Time,
    failures: u32,
    closed: Option<(Time, Duration)>,
}

/// What the limit depends on.
#[derive(Clone, Copy, Debug)]
pub struct Conditions<'a> {
    /// Name of the upstream.
    pub name: &'a str,
    /// Requests that the upstream can run at once; zero when it must get no batch work.
    pub slots: u32,
    /// Online requests of this daemon in flight there.
    pub own: u32,
}

impl Pace {
    /// Batch streams that run.
    pub const fn batch(&self) -> u32 {
        self.batch
    }

    /// Streams that are allowed, as last decided.
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    /// Notes that a batch stream was opened.
    pub fn started(&mut self) {
        self.batch = self.batch.saturating_add(1);
        self.batch_high = self.batch_high.max(self.batch);
    }

    /// Notes that a batch stream ended.
    pub const fn ended(&mut self) {
        self.batch = self.batch.saturating_sub(1);
    }

    /// Takes the online work of another daemon.
    pub fn notice(&mut self, now: Time, from: String, in_flight: u32) {
        if in_flight == 0 {
            self.notices.remove(&from);
        } else {
            self.notices.insert(from, (in_flight, now));
        }
    }

    /// Forgets notices of daemons that are gone, and notices that were not repeated.
    pub fn prune(&mut self, now: Time, alive: impl Fn(&str) -> bool) {
        self.notices.retain(|from, (_, at)| now.since(*at) < NOTICE_LIFE && alive(from));
    }

    /// Takes a load report. Work that neither batch nor notices explain counts as online work when
    /// two reports in a row show it, or when the upstream has a queue: one report alone may be
    /// older than the end of streams that it counts.
    pub fn report(&mut self, now: Time, load: Load) {
        let known = self.batch_high.saturating_add(self.online_high);
        let excess = load.running.saturating_add(load.queued).saturating_sub(known);
        let repeated = now.since(self.reported) < REPORT_LIFE;
        self.unexplained = if load.queued > 0 {
            excess
        } else if repeated {
            excess.min(self.excess)
        } else {
            0
        };
        self.excess = excess;
        self.reported = now;
        self.batch_high = self.batch;
        self.online_high = self.online;
    }

    /// Takes a latency sample of any stream at the upstream.
    pub fn feedback(&mut self, now: Time, within_target: bool) {
        let recent = self.halved.is_some_and(|at| now.since(at) < REACTION);
        if !within_target && !recent {
            let current = self.bound.unwrap_or(f64::MAX).min(f64::from(self.limit.max(1)));
            self.bound = Some((current / 2.0).max(1.0));
            self.halved = Some(now);
            self.raised = now;
        }
    }

    /// Takes the end of a batch stream that failed, or that brought its whole answer.
    pub fn outcome(&mut self, now: Time, failed: bool) {
        if !failed {
            (self.failures, self.closed) = (0, None);
            return;
        }
        self.failures = self.failures.saturating_add(1);
        let is_open = self.closed.is_none_or(|(until, _)| until <= now);
        if self.failures >= FAILURES && is_open {
            let time = self.closed.map_or(CLOSED.0, |(_, time)| (time * 2).min(CLOSED.1));
            self.closed = Some((now + time, time));
        }
    }

    /// Decides the limit; returns it when it changed.
    pub fn update(&mut self, now: Time, conditions: Conditions<'_>) -> Option<u32> {
        self.observe(now, conditions.own);
        self.raise(now, conditions.slots);
        let limit = self.decide(now, conditions);
        (limit != std::mem::replace(&mut self.limit, limit)).then_some(limit)
    }

    /// Sets the limit; returns it when it changed.
    pub fn fix(&mut self, limit: u32) -> Option<u32> {
        (limit != std::mem::replace(&mut self.limit, limit)).then_some(limit)
    }

    fn observe(&mut self, now: Time, own: u32) {
        let noticed: u32 = self.notices.values().map(|&(in_flight, _)| in_flight).sum();
        let online = own.saturating_add(noticed);
        if online > self.online {
            self.risen = Some(now);
        }
        self.online = online;
        self.online_high = self.online_high.max(online);
    }

    fn raise(&mut self, now: Time, slots: u32) {
        if let Some(bound) = self.bound
            && now.since(self.raised) >= STEP
        {
            self.raised = now;
            let raised = bound + INCREASE;
            self.bound = (raised < f64::from(slots)).then_some(raised);
        }
    }

    fn decide(&self, now: Time, conditions: Conditions<'_>) -> u32 {
        let fresh = now.since(self.reported) < REPORT_LIFE;
        let unexplained = if fresh { self.unexplained } else { 0 };
        let online = self.online.saturating_add(unexplained);
        let free = conditions.slots.saturating_sub(online);
        let bound = match self.closed {
            Some((until, _)) if now < until => 0,
            // One stream shows whether the upstream is back.
            Some(_) => 1,
            None => self.bound.map_or(u32::MAX, |bound| bound as u32),
        };
        let used = self.risen.is_some_and(|at| now.since(at) < RESERVE_TIME) || online > 0;
        let reserve = if used { reserve(conditions) } else { 0 };
        let target = free.saturating_sub(reserve).min(bound);
        if target <= self.limit {
            // Running streams may use the reserve; they end at their own pace.
            target.max(self.batch.min(free).min(bound)).min(self.limit)
        } else if self.risen.is_none_or(|at| now.since(at) >= HOLD) {
            target
        } else {
            self.limit
        }
    }
}

/// Whole slots; the fraction becomes a slot at that share of the upstreams.
fn reserve(conditions: Conditions<'_>) -> u32 {
    let fraction = (hash::stable(&[conditions.name]) >> 11) as f64 / (1_u64 << 53) as f64;
    (f64::from(conditions.slots) * RESERVE + fraction) as u32
}
