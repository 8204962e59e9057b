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
/// Silence after which a relay no longer counts as one of the fleet. Many times the spread with which
/// the relays on the other side of a cut fall silent, so that a cut never passes for single losses.
const ABSENCE_TIME: Duration = Duration::from_secs(10);
/// Silence after which a relay is absent that does not answer roll calls, because it runs an older build.
const UNANSWERED_TIME: Duration = Duration::from_secs(10);
/// Time for which a write to the store shows that a silent relay is alive. Longer than the time between
/// two roll calls in a fleet of hundreds of relays.
const STORE_SIGN_TIME: Duration = Duration::from_secs(15);

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
    /// Whether it answers roll calls, which older builds do not.
    answers_calls: bool,
    /// Newest version of its row in the store; it writes the row again to answer a roll call.
    newest_row: u64,
    /// Until when it counts as alive although it is silent, because of a write to the store.
    alive_until: Option<Time>,
    /// Whether it did not answer a roll call and has not been heard from since.
    is_missing: bool,
}

/// Sign of life of a relay after a roll call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Its messages arrive.
    Heard,
    /// Only its writes to the store arrive, or it runs a build that does not answer roll calls.
    Unreachable,
    /// It is gone.
    Missing,
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
            answers_calls: false,
            newest_row: row_version,
            alive_until: None,
            is_missing: false,
        }
    }

    /// Sets whether the relay answers roll calls.
    pub fn with_answers(self, answers_calls: bool) -> Self {
        Self { answers_calls, ..self }
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

    /// Whether the relay reaches the store, as far as it and the monitors say.
    pub fn reaches_store(&self) -> bool {
        self.store_age < REPORTED_STORE_AGE
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
            self.is_missing = false;
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
        self.is_missing = false;
    }

    /// Records that the relay said that it is shutting down. Returns whether this is new.
    pub fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Returns the newest version of its row.
    pub const fn newest_row(&self) -> u64 {
        self.newest_row
    }

    /// Whether a recent write to the store shows that the relay is alive although it was silent.
    pub fn has_store_sign(&self, now: Time) -> bool {
        self.alive_until.is_some_and(|until| now <= until)
    }

    /// Whether the relay is gone, by the last news of the time `seen`. An absent relay does not count as
    /// one of the fleet.
    pub fn is_absent(&self, now: Time, seen: Time) -> bool {
        !self.has_store_sign(now) && (self.is_missing || self.silence(seen) > ABSENCE_TIME)
    }

    /// Whether the relay counts as dead, by the last news of the time `seen`, and no write to the store
    /// says otherwise.
    fn seems_dead(&self, now: Time, seen: Time) -> bool {
        !self.has_store_sign(now) && (self.is_missing || self.silence(seen) > PEER_TIMEOUT)
    }

    /// Records that the relay wrote its row again, which is then of this version.
    pub fn record_row(&mut self, version: u64, now: Time, seen: Time) {
        self.newest_row = self.newest_row.max(version);
        if self.seems_dead(now, seen) {
            self.alive_until = Some(now + STORE_SIGN_TIME);
        }
    }

    /// Records that the relay became the owner of a job. Only a relay of an older build shows by this
    /// that it is alive; the write of one that has died may take effect later, and others answer roll
    /// calls.
    pub fn record_ownership(&mut self, now: Time, seen: Time) {
        if !self.answers_calls && self.seems_dead(now, seen) {
            self.alive_until = Some(now + STORE_SIGN_TIME);
        }
    }

    /// Records that a roll call, whose row has the version `call`, is over.
    pub fn close_call(&mut self, call: u64, now: Time) -> Presence {
        self.record_own_observation();
        let silence = now.since(self.last_heard);
        if silence <= PEER_TIMEOUT {
            return Presence::Heard;
        }
        let until = match (self.newest_row > call, self.answers_calls) {
            (true, _) => now + STORE_SIGN_TIME,
            // The write by which a relay of an older build became the owner of a job counts as well.
            (false, false) => self.last_heard + UNANSWERED_TIME,
            (false, true) => Time::default(),
        };
        self.alive_until = self.alive_until.max(Some(until));
        match self.has_store_sign(now) {
            true => Presence::Unreachable,
            false => {
                self.is_missing = true;
                Presence::Missing
            }
        }
    }

    /// Whether the relay may serve others as a broker or monitor, by the answers that this relay gets
    /// and by the last news of the monitors, of the time `seen`.
    pub fn is_responsive(&self, now: Time, seen: Time) -> bool {
        !self.leaving && self.answers(now, seen)
    }

    /// Whether the relay is neither shutting down nor silent for long, by the last news of the time `seen`. It may
    /// have missed a message of this relay.
    pub fn is_running(&self, seen: Time) -> bool {
        !self.leaving && self.silence(seen) <= PEER_TIMEOUT
    }

    /// Whether the relay answers, also while it is shutting down, by the last news of the time `seen`.
    pub fn answers(&self, now: Time, seen: Time) -> bool {
        let excluded = UNRESPONSIVE_TIME..UNRESPONSIVE_TIME + RETRY_PERIOD;
        let is_silent = self.first_miss.is_some_and(|miss| excluded.contains(&now.since(miss)));
        // A relay that died stays listed, and would be tried again after each period.
        !is_silent && self.silence(seen) <= PEER_TIMEOUT
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
            self.is_missing &= heard == self.last_heard;
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
