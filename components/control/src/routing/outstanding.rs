//! Estimate of the outstanding requests at an upstream: its last load report, corrected by what
//! this daemon started and ended since.

use std::{collections::VecDeque, time::Duration};

use crate::{time::Time, traffic::Load};

/// Maximum number of starts and ends kept for the correction; older ones are assumed to be in the
/// last report. Reports arrive every 500 ms, and one daemon sends only a few requests per second to
/// one upstream.
const MAX_EVENTS: usize = 256;

/// Load baseline of the upstreams of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct LoadBaseline {
    /// Mean number of requests per upstream that are not online requests of this daemon.
    pub others: f64,
    /// Mean duration of a request. A report is out of date after about this time.
    pub request_duration: Duration,
}

impl Default for LoadBaseline {
    fn default() -> Self {
        Self { others: 0.0, request_duration: Duration::from_secs(1) }
    }
}

/// Outstanding requests at one upstream.
#[derive(Clone, Debug, Default)]
pub struct Outstanding {
    last_report: Option<Load>,
    measured_at: Time,
    /// Starts (1) and ends (-1) of requests and batch streams of this daemon since the last report.
    events: VecDeque<(Time, i32)>,
    /// Sum of `events`.
    net_change: i32,
    /// Online requests that this daemon has in flight at the upstream.
    own: u32,
}

impl Outstanding {
    /// Records a load report; returns false and ignores the report when it is older than the last
    /// one.
    pub fn record_report(&mut self, now: Time, load: Load) -> bool {
        let measured_at = now - Duration::from_millis(u64::from(load.age_ms));
        if self.last_report.is_some() && measured_at < self.measured_at {
            return false;
        }
        self.measured_at = measured_at;
        self.last_report = Some(load);
        while self.events.front().is_some_and(|&(at, _)| at < measured_at) {
            self.drop_oldest_event();
        }
        true
    }

    pub const fn last_report(&self) -> Option<Load> {
        self.last_report
    }

    /// Records that this daemon started an online request.
    pub fn record_start(&mut self, now: Time) {
        self.own += 1;
        self.record_change(now, 1);
    }

    /// Records that an online request of this daemon ended.
    pub fn record_end(&mut self, now: Time) {
        self.own = self.own.saturating_sub(1);
        self.record_change(now, -1);
    }

    /// Records that this daemon started (1) or ended (-1) a request or batch stream at the
    /// upstream.
    pub fn record_change(&mut self, now: Time, change: i32) {
        if self.events.len() == MAX_EVENTS {
            self.drop_oldest_event();
        }
        self.events.push_back((now, change));
        self.net_change += change;
    }

    /// Returns the number of online requests that this daemon has in flight at the upstream.
    pub const fn own(&self) -> u32 {
        self.own
    }

    /// Returns the requests that are not online requests of this daemon, according to the corrected
    /// last report, and the age of that report.
    pub fn others(&self, now: Time) -> Option<(f64, Duration)> {
        let load = self.last_report?;
        let reported = load.running.saturating_add(load.queued);
        let others = reported.saturating_add_signed(self.net_change).saturating_sub(self.own);
        Some((f64::from(others), now.since(self.measured_at)))
    }

    /// Returns the estimated number of requests that run or wait at the upstream. As the report
    /// ages, the load of others in it is gradually replaced by the mean over the upstreams.
    pub fn estimate(&self, now: Time, baseline: LoadBaseline) -> f64 {
        let own = f64::from(self.own);
        let Some((others, age)) = self.others(now) else { return own };
        let weight = (-age.as_secs_f64() / baseline.request_duration.as_secs_f64().max(1e-3)).exp();
        own + baseline.others + (others - baseline.others) * weight
    }

    /// Returns how many requests the upstream can run concurrently; zero before the first report.
    pub fn slots(&self) -> u32 {
        self.last_report.map_or(0, |load| load.slots)
    }

    fn drop_oldest_event(&mut self) {
        if let Some((_, change)) = self.events.pop_front() {
            self.net_change -= change;
        }
    }
}
