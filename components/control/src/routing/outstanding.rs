//! Work at an upstream: its last report, corrected for what this daemon did since.

use std::{collections::VecDeque, time::Duration};

use crate::{time::Time, traffic::Load};

/// Starts and ends that are kept for the correction. Reports arrive every 500 ms, and one daemon
/// sends a few requests a second to one upstream; older entries count as reported.
const EVENTS: usize = 256;

/// Time in which the weight of a report halves. With thousands of upstreams a daemon reads each one
/// only every half minute, and an old report says nothing about the load now.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Outstanding work of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Outstanding {
    report: Option<Load>,
    measured: Time,
    events: VecDeque<(Time, i32)>,
    drift: i32,
    own: u32,
}

impl Outstanding {
    /// Takes a report; false when it is older than the last one.
    pub fn report(&mut self, now: Time, load: Load) -> bool {
        let measured = now - Duration::from_millis(u64::from(load.age_ms));
        if self.report.is_some() && measured < self.measured {
            return false;
        }
        self.measured = measured;
        self.report = Some(load);
        while self.events.front().is_some_and(|&(at, _)| at < measured) {
            self.forget();
        }
        true
    }

    /// The last report.
    pub const fn last(&self) -> Option<Load> {
        self.report
    }

    /// Notes that this daemon started an online request.
    pub fn start(&mut self, now: Time) {
        self.own += 1;
        self.shift(now, 1);
    }

    /// Notes that an online request of this daemon ended.
    pub fn end(&mut self, now: Time) {
        self.own = self.own.saturating_sub(1);
        self.shift(now, -1);
    }

    /// Notes that this daemon started (1) or ended (-1) other work there.
    pub fn shift(&mut self, now: Time, change: i32) {
        if self.events.len() == EVENTS {
            self.forget();
        }
        self.events.push_back((now, change));
        self.drift += change;
    }

    /// Online requests of this daemon in flight.
    pub const fn own(&self) -> u32 {
        self.own
    }

    /// Requests that run or wait at the upstream, at least this daemon's own.
    pub fn estimate(&self, now: Time) -> f64 {
        let Some(load) = self.report else { return f64::from(self.own) };
        let reported = load.running.saturating_add(load.queued);
        let others = reported.saturating_add_signed(self.drift).saturating_sub(self.own);
        let age = now.since(self.measured).as_secs_f64() / HALF_LIFE.as_secs_f64();
        f64::from(self.own) + f64::from(others) * (-age).exp2()
    }

    /// Requests that can run at once; zero before the first report.
    pub fn slots(&self) -> u32 {
        self.report.map_or(0, |load| load.slots)
    }

    fn forget(&mut self) {
        if let Some((_, change)) = self.events.pop_front() {
            self.drift -= change;
        }
    }
}
