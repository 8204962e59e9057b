//! Log events and metrics of this daemon's lease.

use std::time::Duration;

use cyclamengrade_control::time::Time;
use cyclamengrade_telemetry::{event, metrics::LEASE_RENEWALS};
use metrics::counter;

/// Logs and counts the renewals and the loss of the lease.
pub(super) struct Reporter {
    length: Duration,
    /// Time at which the lease ends; `None` until it is acquired.
    until: Option<Time>,
    /// Whether the current loss of the lease has been reported.
    lost: bool,
}

impl Reporter {
    /// Creates a reporter for a lease of this length that has not been acquired yet.
    pub const fn new(length: Duration) -> Self {
        Self { length, until: None, lost: false }
    }

    /// Reports the lease as lost if it has ended without a renewal.
    pub fn check_expiry(&mut self, now: Time) {
        if self.until.is_some_and(|until| now >= until) {
            self.lease_lost(now);
        }
    }

    /// Records that the lease is held until `until`, and counts a renewal. A renewal is late if its
    /// write was confirmed more than a third of the lease's length after it was sent.
    pub fn lease_held(&mut self, now: Time, until: Time) {
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

    /// Counts a failed renewal; failures to acquire the lease are not counted.
    pub fn renewal_failed(&self) {
        if self.until.is_some() {
            count("failed");
        }
    }

    /// Reports the loss of the lease, once until the lease is held again.
    pub fn lease_lost(&mut self, now: Time) {
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
