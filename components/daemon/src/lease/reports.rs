//! Events and metrics of the own lease.

use std::time::Duration;

use cyclamengrade_control::time::Time;
use cyclamengrade_telemetry::{event, metrics::LEASE_RENEWALS};
use metrics::counter;

/// What was reported of the own lease.
pub(super) struct Reports {
    length: Duration,
    /// End of the lease, once it was acquired.
    until: Option<Time>,
    lost: bool,
}

impl Reports {
    /// Reports of a lease of this length that is not acquired yet.
    pub const fn new(length: Duration) -> Self {
        Self { length, until: None, lost: false }
    }

    /// Reports a lease that ended without a renewal.
    pub fn check(&mut self, now: Time) {
        if self.until.is_some_and(|until| now >= until) {
            self.lost(now);
        }
    }

    /// Reports a lease that was acquired or renewed.
    pub fn held(&mut self, now: Time, until: Time) {
        if self.until.is_some() {
            let elapsed = now.since(until - self.length);
            let late = elapsed > self.length / 3;
            count(if late { "late" } else { "ok" });
            if late {
                event!(LeaseRenewedLate, elapsed_ms = milliseconds(elapsed));
            }
        }
        (self.until, self.lost) = (Some(until), false);
    }

    /// Counts a renewal that the table did not take.
    pub fn failed(&self) {
        if self.until.is_some() {
            count("failed");
        }
    }

    /// Reports that the lease is lost, once until it is held again.
    pub fn lost(&mut self, now: Time) {
        if let Some(until) = self.until
            && !std::mem::replace(&mut self.lost, true)
        {
            count("lost");
            event!(LeaseLost, elapsed_ms = milliseconds(now.since(until - self.length)));
        }
    }
}

fn count(outcome: &'static str) {
    counter!(LEASE_RENEWALS, "outcome" => outcome).increment(1);
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
