//! Work at an upstream: its last report, corrected for what this daemon did since.

use std::{collections::VecDeque, time::Duration};

use crate::{time::Time, traffic::Load};

/// Starts and ends that are kept for the correction. Reports arrive every 500 ms, and one daemon
/// sends a few requests a second to one upstream; older entries count as reported.
const EVENTS: usize = 256;

/// What is usual among the upstreams of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Usual {
    /// Mean work of others at one upstream.
    pub others: f64,
    /// Mean duration of a request; reports are out of date after about this time.
    pub duration: Duration,
}

impl Default for Usual {
    fn default() -> Self {
        Self { others: 0.0, duration: Duration::from_secs(1) }
    }
}

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

    /// Work of others by the last report, and its age.
    pub fn others(&self, now: Time) -> Option<(f64, Duration)> {
        let load = self.report?;
        let reported = load.running.saturating_add(load.queued);
        let others = reported.saturating_add_signed(self.drift).saturating_sub(self.own);
        Some((f64::from(others), now.since(self.measured)))
    }

    /// Requests that run or wait at the upstream, at least this daemon's own. As a report ages,
    /// what others had there is replaced by what they have at the upstreams on average.
    pub fn estimate(&self, now: Time, usual: Usual) -> f64 {
        let own = f64::from(self.own);
        let Some((others, age)) = self.others(now) else { return own };
        let weight = (-age.as_secs_f64() / usual.duration.as_secs_f64().max(1e-3)).exp();
        own + usual.others + (others - usual.others) * weight
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
