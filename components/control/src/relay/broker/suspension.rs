//! Upstreams that relays report as failed, and their careful readmission.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    relay::broker::{Holder, Ticket},
    time::Time,
};

/// Time without new grants after the first failure; doubled for each further failure.
const MIN_SUSPENSION: Duration = Duration::from_millis(300);
/// Longest time without new grants.
const MAX_SUSPENSION: Duration = Duration::from_secs(4);
/// Doublings after which a suspension exceeds [`MAX_SUSPENSION`].
const MAX_DOUBLINGS: u32 = 4;
/// Time after the end of a probe in which its relay may report a failure.
const REPORT_DELAY: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
struct Suspension {
    failures: u32,
    until: Time,
    /// The only request at the upstream, which shows whether it works again.
    probe: Option<(Holder, Ticket)>,
    /// Whether a probe has ended since the last failure.
    was_probed: bool,
}

/// Suspensions by upstream.
///
/// A failed upstream has only free slots. Without a suspension that outlasts the reports of single
/// relays, it would attract requests of one relay after the other.
#[derive(Debug, Default)]
pub struct Suspensions {
    reported: BTreeSet<u32>,
    by_upstream: BTreeMap<u32, Suspension>,
}

impl Suspensions {
    /// Replaces the upstreams that relays report as failed.
    pub fn set_reported(&mut self, reported: BTreeSet<u32>, now: Time) {
        for upstream in reported.difference(&self.reported) {
            let suspension = self.by_upstream.entry(*upstream).or_insert(Suspension {
                failures: 0,
                until: now,
                probe: None,
                was_probed: false,
            });
            let doublings = suspension.failures.min(MAX_DOUBLINGS);
            let time = (MIN_SUSPENSION * 2_u32.pow(doublings)).min(MAX_SUSPENSION);
            suspension.failures += 1;
            suspension.until = now + time;
            suspension.probe = None;
            suspension.was_probed = false;
        }
        self.reported = reported;
    }

    /// Drops the upstreams that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(u32) -> bool) {
        self.by_upstream.retain(|upstream, _| is_listed(*upstream));
        self.reported.retain(|upstream| is_listed(*upstream));
    }

    /// Whether an upstream gets no further request now.
    pub fn is_suspended(&self, upstream: u32, now: Time) -> bool {
        let found = self.by_upstream.get(&upstream);
        self.reported.contains(&upstream)
            || found.is_some_and(|suspension| suspension.until > now || suspension.probe.is_some())
    }

    /// Records a grant. The first one after a suspension is a probe; a grant after a probe without a
    /// failure ends the suspension.
    pub fn record_grant(&mut self, upstream: u32, holder: Holder, ticket: Ticket) {
        let Some(suspension) = self.by_upstream.get_mut(&upstream) else { return };
        if suspension.was_probed {
            self.by_upstream.remove(&upstream);
        } else {
            suspension.probe.get_or_insert((holder, ticket));
        }
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, upstream: u32, holder: Holder, ticket: Ticket, now: Time) {
        let Some(suspension) = self.by_upstream.get_mut(&upstream) else { return };
        if suspension.probe == Some((holder, ticket)) {
            suspension.probe = None;
            suspension.was_probed = true;
            suspension.until = suspension.until.max(now + REPORT_DELAY);
        }
    }
}
