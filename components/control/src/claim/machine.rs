//! State machine of the claims, without the handling of replies.
//!
//! It takes requests for claims, and batches the due writes and reads into calls of the table.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Action, Decision, Input, Outcome, RequestId, Row, Settings, State,
    entry::{Entry, Phase},
};
use crate::{
    lease::{self, Observer},
    store::{Call, CallId, Reply, Transaction},
    time::Time,
};

/// Maximum number of claims in one transaction.
const MAX_CLAIMS_PER_TRANSACTION: usize = 64;

/// Time until the next attempt while the table is unavailable.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time between two reads of other holders' leases.
const WATCH_PERIOD: Duration = Duration::from_secs(1);

/// Time between two reads of a claim that was abandoned after a lost reply.
const RECHECK_PERIOD: Duration = Duration::from_secs(5);
/// Time for which such a claim is read again. Its write may still be applied late, and other
/// daemons would then find the claim running until this daemon ends.
const RECHECK_DURATION: Duration = Duration::from_secs(60);

/// Purpose of a call in flight.
#[derive(Clone, Debug)]
pub(super) enum Pending {
    /// Writes the rows of these claims.
    Write(BTreeSet<String>),
    /// Reads the rows of these claims, whose last write has an unknown result.
    ReadRows(BTreeSet<String>),
    /// Reads the leases of the holders of watched claims.
    ReadLeases,
}

/// A running claim of another holder that a request here has asked for. It is marked as
/// `outcome_unknown` if its holder ends before `until`.
#[derive(Clone, Debug)]
pub(super) struct Watched {
    pub version: u64,
    pub row: Row,
    pub until: Time,
}

/// State machine of the claims of one daemon.
pub struct Claims {
    pub(super) settings: Settings,
    pub(super) now: Time,
    pub(super) epoch: Option<u64>,
    pub(super) lease_until: Time,
    pub(super) entries: BTreeMap<String, Entry>,
    /// Keys of the claims that are part of the call in flight.
    pub(super) in_flight: BTreeSet<String>,
    /// Keys of the claims whose row must be read before the next write.
    pub(super) unresolved: BTreeSet<String>,
    pub(super) watched: BTreeMap<String, Watched>,
    /// Claims that were abandoned after a lost reply: by key, the digest, the time of the next read
    /// and the time of the last one.
    rechecks: BTreeMap<String, (String, Time, Time)>,
    pub(super) observer: Observer,
    retry_at: Time,
    next_lease_read: Time,
    lease_read_in_flight: bool,
    call_in_flight: bool,
    calls: BTreeMap<CallId, Pending>,
    next_call: u64,
    next_attempt: u64,
    pub(super) actions: Vec<Action>,
}

impl Claims {
    /// Creates the claims of a daemon that has no lease yet.
    pub const fn new(settings: Settings) -> Self {
        let observer = Observer::new(settings.lease, settings.margin);
        Self {
            settings,
            now: Time(0),
            epoch: None,
            lease_until: Time(0),
            entries: BTreeMap::new(),
            in_flight: BTreeSet::new(),
            unresolved: BTreeSet::new(),
            watched: BTreeMap::new(),
            rechecks: BTreeMap::new(),
            observer,
            retry_at: Time(0),
            next_lease_read: Time(0),
            lease_read_in_flight: false,
            call_in_flight: false,
            calls: BTreeMap::new(),
            next_call: 0,
            next_attempt: 0,
            actions: Vec::new(),
        }
    }

    /// Handles an input and returns the actions that follow from it.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        self.now = now;
        match input {
            Input::Begin { id, key, digest } => self.begin(id, key, digest),
            Input::Finish { key, outcome } => self.finish(key, outcome),
            Input::Reply { call, sent, reply } => self.reply(call, sent, reply),
            Input::Lease { epoch, until } => (self.epoch, self.lease_until) = (Some(epoch), until),
            Input::Superseded => self.epoch = None,
            Input::Tick => {
                self.expire_waiting();
                self.read_holder_leases();
                self.recheck_abandoned();
            }
        }
        self.flush();
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of claims whose outcome has not been recorded in the table yet.
    pub fn open_count(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn holds_lease(&self) -> bool {
        self.epoch.is_some() && self.now < self.lease_until
    }

    pub(super) fn answer(&mut self, id: RequestId, decision: Decision) {
        self.actions.push(Action::Answer { id, decision });
    }

    fn begin(&mut self, id: RequestId, key: String, digest: String) {
        if !self.holds_lease() {
            return self.answer(id, Decision::Refused);
        }
        let deadline = self.now + self.settings.timeout;
        if let Some(entry) = self.entries.get_mut(&key) {
            let decision = match &entry.phase {
                _ if entry.digest != digest => Decision::Conflict,
                Phase::Claim | Phase::Abandon | Phase::MarkUnknown { .. } => {
                    entry.waiting.push((id, deadline));
                    return;
                }
                Phase::Granted | Phase::Record(Outcome::NotRun) => Decision::InProgress,
                Phase::Record(Outcome::Done(answer)) => Decision::Done(answer.clone()),
                Phase::Record(Outcome::Unknown) => Decision::OutcomeUnknown,
            };
            return self.answer(id, decision);
        }
        let entry = Entry {
            digest,
            version: 0,
            row: None,
            phase: Phase::Claim,
            waiting: vec![(id, deadline)],
        };
        self.entries.insert(key, entry);
    }

    fn finish(&mut self, key: String, outcome: Outcome) {
        match self.entries.get_mut(&key) {
            Some(entry) if entry.phase == Phase::Granted => entry.phase = Phase::Record(outcome),
            _ => self.actions.push(Action::Recorded { key }),
        }
    }

    /// Refuses requests whose deadline has passed, and abandons claims that no request waits for.
    fn expire_waiting(&mut self) {
        let now = self.now;
        let mut refused = Vec::new();
        for entry in self.entries.values_mut() {
            let late = entry.waiting.extract_if(.., |(_, deadline)| *deadline <= now);
            refused.extend(late.map(|(id, _)| id));
        }
        for id in refused {
            self.answer(id, Decision::Refused);
        }
        for key in self.entries.keys().cloned().collect::<Vec<_>>() {
            self.abandon(&key);
        }
    }

    /// Abandons a claim that no request waits for any more. If it may have been written, its row is
    /// deleted.
    pub(super) fn abandon(&mut self, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if entry.phase != Phase::Claim || !entry.waiting.is_empty() {
            return;
        }
        if self.in_flight.contains(key) || self.unresolved.contains(key) {
            entry.phase = Phase::Abandon;
        } else {
            self.entries.remove(key);
        }
    }

    /// Sends the next call, unless one is in flight or the retry delay has not passed. Reads take
    /// precedence over writes.
    fn flush(&mut self) {
        if self.now < self.retry_at || self.call_in_flight {
            return;
        }
        let unresolved: BTreeSet<_> =
            self.unresolved.iter().filter(|key| !self.in_flight.contains(*key)).cloned().collect();
        if !unresolved.is_empty() {
            self.call_in_flight = true;
            self.in_flight.extend(unresolved.iter().cloned());
            let keys = unresolved.iter().cloned().collect();
            return self.send_call(Call::Read(keys), Pending::ReadRows(unresolved));
        }
        let ready = self.entries.iter().filter(|(_, entry)| entry.phase.needs_write());
        let group: BTreeSet<_> =
            ready.map(|(key, _)| key.clone()).take(MAX_CLAIMS_PER_TRANSACTION).collect();
        let mut transaction = Transaction::new();
        for key in &group {
            transaction = self.add_write(transaction, key);
        }
        if !transaction.conditions.is_empty() {
            self.call_in_flight = true;
            self.in_flight.extend(group.iter().cloned());
            self.send_call(Call::Commit(transaction), Pending::Write(group));
        }
    }

    /// Adds the write of a claim to a transaction.
    fn add_write(&mut self, transaction: Transaction, key: &str) -> Transaction {
        let (daemon, epoch) = (self.settings.daemon.clone(), self.epoch.unwrap_or_default());
        let attempt = self.next_attempt;
        let Some(entry) = self.entries.get_mut(key) else { return transaction };
        let mut transaction = transaction.with_condition(key, entry.version);
        let row = match &entry.phase {
            Phase::Claim => {
                self.next_attempt += 1;
                let digest = entry.digest.clone();
                let state = State::Running;
                Some(Row { holder: daemon, epoch, attempt, state, digest, answer: None })
            }
            Phase::Record(Outcome::Done(answer)) => entry.row.clone().map(|row| Row {
                state: State::Done,
                answer: Some(answer.clone()),
                ..row
            }),
            Phase::Record(Outcome::Unknown) => {
                entry.row.clone().map(|row| Row { state: State::Unknown, ..row })
            }
            Phase::MarkUnknown { daemon } => {
                if let Some((daemon, version)) = daemon {
                    transaction = transaction.with_condition(lease::key(daemon), *version);
                }
                entry.row.clone().map(|row| Row { state: State::Unknown, ..row })
            }
            Phase::Record(Outcome::NotRun) | Phase::Abandon | Phase::Granted => None,
        };
        entry.row.clone_from(&row);
        match row {
            Some(row) => transaction.with_write(key, &row),
            None => transaction.with_delete(key),
        }
    }

    fn send_call(&mut self, request: Call, pending: Pending) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, pending);
        self.actions.push(Action::Call { call, request });
    }

    fn reply(&mut self, call: CallId, sent: Time, reply: Reply) {
        match self.calls.remove(&call) {
            Some(Pending::Write(group)) => {
                self.call_in_flight = false;
                self.in_flight.retain(|key| !group.contains(key));
                self.handle_write_reply(group, reply);
            }
            Some(Pending::ReadRows(group)) => {
                self.call_in_flight = false;
                self.in_flight.retain(|key| !group.contains(key));
                self.handle_rows_reply(group, reply);
            }
            Some(Pending::ReadLeases) => {
                self.lease_read_in_flight = false;
                self.handle_leases_reply(sent, reply);
            }
            None => {}
        }
    }

    /// Schedules reads of a claim whose write may be applied late, in case it is abandoned.
    pub(super) fn schedule_recheck(&mut self, key: &str, digest: String) {
        let (next, last) = (self.now + RECHECK_PERIOD, self.now + RECHECK_DURATION);
        self.rechecks.insert(key.to_owned(), (digest, next, last));
    }

    /// Reads abandoned claims again and deletes those whose write was applied late.
    fn recheck_abandoned(&mut self) {
        let now = self.now;
        for (key, (digest, next, _)) in &mut self.rechecks {
            if *next > now || self.entries.contains_key(key) {
                continue;
            }
            *next = now + RECHECK_PERIOD;
            let entry = Entry {
                digest: digest.clone(),
                version: 0,
                row: None,
                phase: Phase::Abandon,
                waiting: Vec::new(),
            };
            self.entries.insert(key.clone(), entry);
            self.unresolved.insert(key.clone());
        }
        // Removed only after the reads above are scheduled, so that a daemon that was paused past
        // the end of the period still makes one read.
        self.rechecks.retain(|_, (_, _, last)| *last > now);
    }

    pub(super) fn retry_later(&mut self) {
        self.retry_at = self.now + RETRY_DELAY;
    }

    /// Reads the leases of the holders of watched claims.
    fn read_holder_leases(&mut self) {
        let now = self.now;
        self.watched.retain(|_, watched| watched.until > now);
        let holders: BTreeSet<_> =
            self.watched.values().map(|watched| watched.row.holder.clone()).collect();
        self.observer.retain(|daemon| holders.contains(daemon));
        if holders.is_empty() || self.lease_read_in_flight || now < self.next_lease_read {
            return;
        }
        self.next_lease_read = now + WATCH_PERIOD;
        self.lease_read_in_flight = true;
        let keys = holders.iter().map(|daemon| lease::key(daemon)).collect();
        self.send_call(Call::Read(keys), Pending::ReadLeases);
    }
}
