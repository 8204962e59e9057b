//! Liveness of the relays, as a few of them observe it for all.
//!
//! Each relay reports its state to a few monitors. They answer with the relays that are not well,
//! so that the traffic of a relay does not grow with the number of relays while all are well.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    relay::{owner::PEER_TIMEOUT, shard},
    time::Time,
};

/// Silence from which a monitor reports a relay.
const REPORTED_SILENCE: Duration = Duration::from_millis(900);
/// Time without contact to the store from which a monitor reports a relay.
const REPORTED_STORE_AGE: Duration = Duration::from_millis(1_500);
/// Time without an answer to several messages after which others serve in place of a relay. A vm whose
/// processor time is used up may pause for a tenth of a second.
const UNRESPONSIVE_TIME: Duration = Duration::from_millis(250);
/// Time after which a relay that did not answer is tried again.
const RETRY_PERIOD: Duration = Duration::from_secs(2);

/// State that a relay reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Name of the relay.
    pub name: String,
    /// Sequence number, which increases with every report of one start of the relay.
    pub sequence: u64,
    /// Time since it last received an answer from the store.
    pub store_age: Duration,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether it has lost most of its links to upstreams.
    pub cut_off: bool,
    /// Whether it asks the receiver, as a monitor, for the state of the other relays.
    pub wants_news: bool,
}

/// A relay that a monitor reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exception {
    /// Hash of the relay's name.
    pub relay: u32,
    /// Time since the monitor heard from it.
    pub silence: Duration,
    /// Time since it reached the store when the monitor last heard from it.
    pub store_age: Duration,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether it has lost most of its links to upstreams.
    pub cut_off: bool,
}

/// What is known of another relay.
#[derive(Clone, Debug)]
pub struct Health {
    /// Hash of its name.
    relay: u32,
    /// Version of its row in the store.
    row_version: u64,
    /// Sequence number of its newest report to this relay.
    sequence: u64,
    /// When it was last heard from, by this relay or a monitor.
    last_heard: Time,
    /// When this relay itself last heard from it.
    reported_at: Time,
    store_age: Duration,
    leaving: bool,
    cut_off: bool,
    /// Whether a regular message to it has not been answered yet.
    awaits_answer: bool,
    /// Time of the first message since its last answer that it did not answer in time.
    first_miss: Option<Time>,
}

impl Health {
    /// Creates the health of a relay whose row, of this version, was just read.
    pub fn new(name: &str, row_version: u64, now: Time) -> Self {
        Self {
            relay: shard::name_id(name),
            row_version,
            sequence: 0,
            last_heard: now,
            reported_at: now,
            store_age: Duration::ZERO,
            leaving: false,
            cut_off: false,
            awaits_answer: false,
            first_miss: None,
        }
    }

    /// Returns the hash of the relay's name.
    pub const fn relay(&self) -> u32 {
        self.relay
    }

    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the relay has lost most of its links to upstreams.
    pub const fn is_cut_off(&self) -> bool {
        self.cut_off
    }

    pub const fn store_age(&self) -> Duration {
        self.store_age
    }

    /// Returns the time since the relay was last heard from at the time `seen`, the time of the last
    /// news from a monitor. Without news, nothing is known of other relays, and their silence does
    /// not grow.
    pub fn silence(&self, seen: Time) -> Duration {
        seen.since(self.last_heard)
    }

    /// Records a report of the relay itself. Returns whether it is new.
    pub fn record_status(&mut self, status: &Status, now: Time) -> bool {
        let is_new = status.sequence > self.sequence;
        if is_new {
            self.sequence = status.sequence;
            self.store_age = status.store_age;
            self.leaving |= status.leaving;
            self.cut_off = status.cut_off;
            self.last_heard = now;
            self.reported_at = now;
        }
        is_new
    }

    /// Records that a regular message was sent to the relay. The previous one should have been
    /// answered by now.
    pub fn record_report(&mut self, now: Time) {
        if std::mem::replace(&mut self.awaits_answer, true) {
            self.record_miss(now);
        }
    }

    /// Records that the relay did not answer a message in time.
    pub fn record_miss(&mut self, now: Time) {
        let is_retried = |miss: &Time| now.since(*miss) < UNRESPONSIVE_TIME + RETRY_PERIOD;
        self.first_miss = self.first_miss.filter(is_retried).or(Some(now));
    }

    /// Records an answer of the relay.
    pub fn record_answer(&mut self, now: Time) {
        self.awaits_answer = false;
        self.first_miss = None;
        self.last_heard = now;
    }

    /// Whether the relay may serve others as a broker or monitor, by the answers that this relay gets
    /// and by the last news of the monitors, of the time `seen`.
    pub fn is_responsive(&self, now: Time, seen: Time) -> bool {
        let excluded = UNRESPONSIVE_TIME..UNRESPONSIVE_TIME + RETRY_PERIOD;
        let is_silent = self.first_miss.is_some_and(|miss| excluded.contains(&now.since(miss)));
        // A relay that died stays listed, and would be tried again after each period.
        !self.leaving && !is_silent && self.silence(seen) <= PEER_TIMEOUT
    }

    /// Returns the report of a monitor on the relay, or `None` if the relay is well.
    ///
    /// A relay that has never reported to this monitor may have died before the monitor started. The
    /// monitor knows nothing of it, which the longest silence expresses.
    pub fn exception(&self, now: Time) -> Option<Exception> {
        let silence = match self.sequence {
            0 => Duration::MAX,
            _ => now.since(self.reported_at),
        };
        let is_well = silence < REPORTED_SILENCE
            && self.store_age < REPORTED_STORE_AGE
            && !self.leaving
            && !self.cut_off;
        let Self { relay, store_age, leaving, cut_off, .. } = *self;
        (!is_well).then_some(Exception { relay, silence, store_age, leaving, cut_off })
    }

    /// Records what this relay observes as a monitor itself.
    pub fn record_own_observation(&mut self) {
        self.last_heard = self.last_heard.max(self.reported_at);
    }

    /// Returns the time since this relay itself heard from the relay.
    pub const fn own_silence(&self, now: Time) -> Duration {
        now.since(self.reported_at)
    }

    /// Records what a monitor that knows the rows up to `fleet_version` says of the relay.
    /// `exception` is `None` if the relay is well. Returns whether the relay began to leave.
    pub fn record_news(
        &mut self,
        exception: Option<&Exception>,
        fleet_version: u64,
        now: Time,
    ) -> bool {
        if self.row_version > fleet_version {
            // The monitor does not know this start of the relay.
            return false;
        }
        let was_leaving = self.leaving;
        let heard = now - exception.map_or(Duration::ZERO, |exception| exception.silence);
        if heard >= self.last_heard {
            self.last_heard = heard;
            self.store_age = exception.map_or(Duration::ZERO, |exception| exception.store_age);
            self.leaving |= exception.is_some_and(|exception| exception.leaving);
            self.cut_off = exception.is_some_and(|exception| exception.cut_off);
        }
        self.leaving && !was_leaving
    }
}

/// Indexes the reports of a monitor by relay.
pub fn by_relay(exceptions: &[Exception]) -> BTreeMap<u32, &Exception> {
    exceptions.iter().map(|exception| (exception.relay, exception)).collect()
}
