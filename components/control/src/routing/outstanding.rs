//! Work at an upstream: its last report, corrected for what this daemon did since.

use std::{collections::VecDeque, time::Duration};

use crate::{time::Time, traffic::Load};

/// Starts and ends that are kept for the correction. Reports arrive every 500 ms, and one daemon
/// sends a few requests a second to one upstream; older entries count as reported.
const EVENTS: usize = 256;

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
    pub fn estimate(&self) -> u32 {
        let reported = self.report.map_or(0, |load| load.running.saturating_add(load.queued));
        let known = if self.report.is_some() { self.drift } else { 0 };
        reported.saturating_add_signed(known).max(self.own)
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
