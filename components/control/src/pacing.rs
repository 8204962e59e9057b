//! Limit on the batch streams at an upstream. Batch work uses the slots that online work leaves
//! free, and backs off when latencies miss their targets (additive increase, multiplicative
//! decrease: AIMD).

use std::{collections::BTreeMap, time::Duration};

use crate::{hash, time::Time, traffic::Load};

/// Share of the slots that is reserved for bursts while an upstream serves online requests. At 8
/// slots this is one slot at a quarter of the upstreams. In the model of `tests/targets.rs`, 6%
/// lowers the batch throughput from 0.91 to 0.90 of the spare slots without a gain in online
/// latency.
const RESERVED_SHARE: f64 = 0.03;
/// Time for which the reserve is kept after online work last increased.
const RESERVE_DURATION: Duration = Duration::from_secs(5);
/// Time after an increase of online work for which the batch limit is not raised, so that short
/// gaps between online requests do not start streams that are paused immediately. In the model, 100
/// ms costs 4% of the batch throughput when online work uses a quarter of the slots, and 14% when
/// it uses half.
const INCREASE_HOLD: Duration = Duration::from_millis(10);
/// Streams by which the AIMD bound grows in each `INCREASE_INTERVAL`.
const INCREASE_STREAMS: f64 = 1.0;
/// Interval between two increases of the AIMD bound.
const INCREASE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after a decrease during which samples may still show the latency before it.
const DECREASE_COOLDOWN: Duration = Duration::from_millis(500);
/// Time for which a load report is used. For an upstream that is polled less often, the limit
/// depends on the known online requests and on latency samples alone.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// Time after which another daemon's notice of its online requests expires unless it is repeated.
const NOTICE_TTL: Duration = Duration::from_secs(15);

/// Consecutive failed streams after which batch work at an upstream is suspended. Otherwise items
/// would use up their attempts at an upstream that is down.
const FAILURES_TO_SUSPEND: u32 = 2;
/// First suspension of batch work, and the longest one as it doubles.
const SUSPENSION_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(16));

/// Limits the number of batch streams at one upstream.
#[derive(Clone, Debug, Default)]
pub struct BatchLimiter {
    streams: u32,
    limit: u32,
    /// Bound on the streams after missed latency targets; `None` while it does not apply.
    aimd_bound: Option<f64>,
    last_adjustment: Time,
    last_decrease: Option<Time>,
    /// Online requests of other daemons by daemon name, and the time of the notice.
    notices: BTreeMap<String, (u32, Time)>,
    /// Known online requests at the upstream: own ones and those in notices.
    online: u32,
    online_rose_at: Option<Time>,
    /// Most batch streams since the last report.
    peak_streams: u32,
    /// Most known online requests since the last report.
    peak_online: u32,
    /// Requests in the last report beyond the known ones.
    excess: u32,
    /// Part of `excess` that counts as online work.
    unattributed: u32,
    last_report_at: Time,
    failures: u32,
    /// End and length of the last suspension since a stream completed.
    suspension: Option<(Time, Duration)>,
}

/// Inputs of a limit decision.
#[derive(Clone, Copy, Debug)]
pub struct Conditions<'a> {
    /// Name of the upstream.
    pub name: &'a str,
    /// Requests that the upstream can run concurrently; zero when it must not receive batch work.
    pub slots: u32,
    /// Online requests that this daemon has in flight at the upstream.
    pub own: u32,
}

impl BatchLimiter {
    /// Returns the number of open batch streams.
    pub const fn streams(&self) -> u32 {
        self.streams
    }

    /// Returns the limit as of the last update.
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    /// Records that a batch stream was opened.
    pub fn record_start(&mut self) {
        self.streams = self.streams.saturating_add(1);
        self.peak_streams = self.peak_streams.max(self.streams);
    }

    /// Records that a batch stream ended.
    pub const fn record_end(&mut self) {
        self.streams = self.streams.saturating_sub(1);
    }

    /// Records the online requests that another daemon has in flight at the upstream.
    pub fn record_notice(&mut self, now: Time, from: String, in_flight: u32) {
        if in_flight == 0 {
            self.notices.remove(&from);
        } else {
            self.notices.insert(from, (in_flight, now));
        }
    }

    /// Removes notices that expired, and those of daemons that are not alive.
    pub fn prune_notices(&mut self, now: Time, alive: impl Fn(&str) -> bool) {
        self.notices.retain(|from, (_, at)| now.since(*at) < NOTICE_TTL && alive(from));
    }

    /// Records a load report. Load beyond the known batch streams and online requests counts as
    /// online work when two consecutive reports show it, or when the upstream has a queue. A single
    /// report is not enough, because it may still count streams that have ended since.
    pub fn record_report(&mut self, now: Time, load: Load) {
        let known = self.peak_streams.saturating_add(self.peak_online);
        let excess = load.running.saturating_add(load.queued).saturating_sub(known);
        let repeated = now.since(self.last_report_at) < REPORT_TTL;
        self.unattributed = if load.queued > 0 {
            excess
        } else if repeated {
            excess.min(self.excess)
        } else {
            0
        };
        self.excess = excess;
        self.last_report_at = now;
        self.peak_streams = self.streams;
        self.peak_online = self.online;
    }

    /// Records whether a latency sample of a stream at the upstream met its target, and halves the
    /// AIMD bound if not.
    pub fn record_latency(&mut self, now: Time, within_target: bool) {
        let recent = self.last_decrease.is_some_and(|at| now.since(at) < DECREASE_COOLDOWN);
        if !within_target && !recent {
            let current = self.aimd_bound.unwrap_or(f64::MAX).min(f64::from(self.limit.max(1)));
            self.aimd_bound = Some((current / 2.0).max(1.0));
            self.last_decrease = Some(now);
            self.last_adjustment = now;
        }
    }

    /// Records that a batch stream failed or completed. Batch work is suspended after
    /// `FAILURES_TO_SUSPEND` consecutive failures.
    pub fn record_outcome(&mut self, now: Time, failed: bool) {
        if !failed {
            (self.failures, self.suspension) = (0, None);
            return;
        }
        self.failures = self.failures.saturating_add(1);
        let not_suspended = self.suspension.is_none_or(|(until, _)| until <= now);
        if self.failures >= FAILURES_TO_SUSPEND && not_suspended {
            let duration = self.suspension.map_or(SUSPENSION_BOUNDS.0, |(_, duration)| {
                (duration * 2).min(SUSPENSION_BOUNDS.1)
            });
            self.suspension = Some((now + duration, duration));
        }
    }

    /// Updates the limit; returns it if it changed.
    pub fn update(&mut self, now: Time, conditions: Conditions<'_>) -> Option<u32> {
        self.update_online(now, conditions.own);
        self.raise_aimd_bound(now, conditions.slots);
        let limit = self.compute_limit(now, conditions);
        (limit != std::mem::replace(&mut self.limit, limit)).then_some(limit)
    }

    /// Sets the limit; returns it if it changed.
    pub fn set_limit(&mut self, limit: u32) -> Option<u32> {
        (limit != std::mem::replace(&mut self.limit, limit)).then_some(limit)
    }

    fn update_online(&mut self, now: Time, own: u32) {
        let noticed: u32 = self.notices.values().map(|&(in_flight, _)| in_flight).sum();
        let online = own.saturating_add(noticed);
        if online > self.online {
            self.online_rose_at = Some(now);
        }
        self.online = online;
        self.peak_online = self.peak_online.max(online);
    }

    fn raise_aimd_bound(&mut self, now: Time, slots: u32) {
        if let Some(bound) = self.aimd_bound
            && now.since(self.last_adjustment) >= INCREASE_INTERVAL
        {
            self.last_adjustment = now;
            let raised = bound + INCREASE_STREAMS;
            self.aimd_bound = (raised < f64::from(slots)).then_some(raised);
        }
    }

    fn compute_limit(&self, now: Time, conditions: Conditions<'_>) -> u32 {
        let fresh = now.since(self.last_report_at) < REPORT_TTL;
        let unattributed = if fresh { self.unattributed } else { 0 };
        let online = self.online.saturating_add(unattributed);
        let free = conditions.slots.saturating_sub(online);
        let bound = match self.suspension {
            Some((until, _)) if now < until => 0,
            // After a suspension, a single stream tests whether the upstream has recovered.
            Some(_) => 1,
            None => self.aimd_bound.map_or(u32::MAX, |bound| bound as u32),
        };
        let has_online_work =
            self.online_rose_at.is_some_and(|at| now.since(at) < RESERVE_DURATION) || online > 0;
        let reserve = if has_online_work { reserved_slots(conditions) } else { 0 };
        let desired = free.saturating_sub(reserve).min(bound);
        if desired <= self.limit {
            // Open streams may occupy the reserve until they end by themselves.
            desired.max(self.streams.min(free).min(bound)).min(self.limit)
        } else if self.online_rose_at.is_none_or(|at| now.since(at) >= INCREASE_HOLD) {
            desired
        } else {
            self.limit
        }
    }
}

/// Returns the number of reserved slots. The fractional part is reserved as a whole slot at the
/// corresponding share of the upstreams, selected by the hash of their names.
fn reserved_slots(conditions: Conditions<'_>) -> u32 {
    let fraction = (hash::stable(&[conditions.name]) >> 11) as f64 / (1_u64 << 53) as f64;
    (f64::from(conditions.slots) * RESERVED_SHARE + fraction) as u32
}
