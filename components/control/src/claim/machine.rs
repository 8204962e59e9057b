//! The state machine of the claims.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Action, Begun, Input, Outcome, RequestId, Row, Settings, State,
    entry::{Entry, Phase},
};
use crate::{
    lease::{self, Observer},
    store::{Call, CallId, Reply, Transaction},
    time::Time,
};

/// Most claims in one transaction.
const GROUP: usize = 64;

/// Time between two attempts while the table is down.
const RETRY: Duration = Duration::from_millis(500);

/// Time between two reads of the leases of other holders.
const WATCH_PERIOD: Duration = Duration::from_secs(1);

/// Time between two reads of a claim that was given up after a lost reply, and how long it is read.
/// Its write may still take effect, and others would find the claim running until this daemon ends.
const DOUBT_PERIOD: Duration = Duration::from_secs(5);
const DOUBT: Duration = Duration::from_secs(60);

/// What a call was for.
#[derive(Clone, Debug)]
pub(super) enum Pending {
    /// Writes of these claims.
    Write(BTreeSet<String>),
    /// Rows of these claims, after a lost reply.
    Look(BTreeSet<String>),
    /// Rows of daemons and of the claims that they hold.
    Watch,
}

/// A claim of another holder that a request asked for.
#[derive(Clone, Debug)]
pub(super) struct Watched {
    pub version: u64,
    pub row: Row,
    pub until: Time,
}

/// The claims that this daemon works on.
pub struct Claims {
    pub(super) settings: Settings,
    pub(super) now: Time,
    pub(super) epoch: Option<u64>,
    pub(super) until: Time,
    pub(super) entries: BTreeMap<String, Entry>,
    /// Claims that are part of a call in flight.
    pub(super) busy: BTreeSet<String>,
    /// Claims whose row must be read before the next write.
    pub(super) unsure: BTreeSet<String>,
    pub(super) watched: BTreeMap<String, Watched>,
    /// Claims that were given up after a lost reply, with their digest, the time of the next read
    /// and of the last one.
    doubtful: BTreeMap<String, (String, Time, Time)>,
    pub(super) observer: Observer,
    retry_at: Time,
    watch_at: Time,
    watching: bool,
    writing: bool,
    calls: BTreeMap<CallId, Pending>,
    next_call: u64,
    next_attempt: u64,
    pub(super) actions: Vec<Action>,
}

impl Claims {
    /// Claims of a daemon that has no lease yet.
    pub const fn new(settings: Settings) -> Self {
        let observer = Observer::new(settings.lease, settings.margin);
        Self {
            settings,
            now: Time(0),
            epoch: None,
            until: Time(0),
            entries: BTreeMap::new(),
            busy: BTreeSet::new(),
            unsure: BTreeSet::new(),
            watched: BTreeMap::new(),
            doubtful: BTreeMap::new(),
            observer,
            retry_at: Time(0),
            watch_at: Time(0),
            watching: false,
            writing: false,
            calls: BTreeMap::new(),
            next_call: 0,
            next_attempt: 0,
            actions: Vec::new(),
        }
    }

    /// Handles an input.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        self.now = now;
        match input {
            Input::Begin { id, key, digest } => self.begin(id, key, digest),
            Input::Finish { key, outcome } => self.finish(key, outcome),
            Input::Reply { call, sent, reply } => self.reply(call, sent, reply),
            Input::Lease { epoch, until } => (self.epoch, self.until) = (Some(epoch), until),
            Input::Superseded => self.epoch = None,
            Input::Tick => {
                self.expire();
                self.watch();
                self.doubt();
            }
        }
        self.flush();
        std::mem::take(&mut self.actions)
    }

    /// Claims whose outcome is not in the table yet.
    pub fn open(&self) -> usize {
        self.entries.len()
    }

    /// Whether the lease is held.
    pub(super) fn leased(&self) -> bool {
        self.epoch.is_some() && self.now < self.until
    }

    pub(super) fn answer(&mut self, id: RequestId, begun: Begun) {
        self.actions.push(Action::Answer { id, begun });
    }

    fn begin(&mut self, id: RequestId, key: String, digest: String) {
        if !self.leased() {
            return self.answer(id, Begun::Refused);
        }
        let deadline = self.now + self.settings.timeout;
        if let Some(entry) = self.entries.get_mut(&key) {
            let begun = match &entry.phase {
                _ if entry.digest != digest => Begun::Conflict,
                Phase::Claim | Phase::GiveUp | Phase::MarkUnknown { .. } => {
                    entry.waiting.push((id, deadline));
                    return;
                }
                Phase::Granted | Phase::Record(Outcome::NotRun) => Begun::InProgress,
                Phase::Record(Outcome::Done(answer)) => Begun::Done(answer.clone()),
                Phase::Record(Outcome::Unknown) => Begun::OutcomeUnknown,
            };
            return self.answer(id, begun);
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

    /// Refuses requests that waited too long.
    fn expire(&mut self) {
        let now = self.now;
        let mut refused = Vec::new();
        for entry in self.entries.values_mut() {
            let late = entry.waiting.extract_if(.., |(_, deadline)| *deadline <= now);
            refused.extend(late.map(|(id, _)| id));
        }
        for id in refused {
            self.answer(id, Begun::Refused);
        }
        for key in self.entries.keys().cloned().collect::<Vec<_>>() {
            self.abandon(&key);
        }
    }

    /// Gives up a claim for which nobody waits any more.
    pub(super) fn abandon(&mut self, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if entry.phase != Phase::Claim || !entry.waiting.is_empty() {
            return;
        }
        if self.busy.contains(key) || self.unsure.contains(key) {
            entry.phase = Phase::GiveUp;
        } else {
            self.entries.remove(key);
        }
    }

    /// Makes the writes and reads that wait, unless one is in flight.
    fn flush(&mut self) {
        if self.now < self.retry_at || self.writing {
            return;
        }
        let unsure: BTreeSet<_> =
            self.unsure.iter().filter(|key| !self.busy.contains(*key)).cloned().collect();
        if !unsure.is_empty() {
            self.writing = true;
            self.busy.extend(unsure.iter().cloned());
            let keys = unsure.iter().cloned().collect();
            return self.call(Call::Read(keys), Pending::Look(unsure));
        }
        let ready = self.entries.iter().filter(|(_, entry)| entry.phase.writes());
        let group: BTreeSet<_> = ready.map(|(key, _)| key.clone()).take(GROUP).collect();
        let mut transaction = Transaction::new();
        for key in &group {
            transaction = self.write(transaction, key);
        }
        if !transaction.conditions.is_empty() {
            self.writing = true;
            self.busy.extend(group.iter().cloned());
            self.call(Call::Commit(transaction), Pending::Write(group));
        }
    }

    /// Adds the write of a claim to a transaction.
    fn write(&mut self, transaction: Transaction, key: &str) -> Transaction {
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
            Phase::Record(Outcome::NotRun) | Phase::GiveUp | Phase::Granted => None,
        };
        entry.row.clone_from(&row);
        match row {
            Some(row) => transaction.with_write(key, &row),
            None => transaction.with_delete(key),
        }
    }

    fn call(&mut self, request: Call, pending: Pending) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, pending);
        self.actions.push(Action::Call { call, request });
    }

    fn reply(&mut self, call: CallId, sent: Time, reply: Reply) {
        match self.calls.remove(&call) {
            Some(Pending::Write(group)) => {
                self.writing = false;
                self.busy.retain(|key| !group.contains(key));
                self.wrote(group, reply);
            }
            Some(Pending::Look(group)) => {
                self.writing = false;
                self.busy.retain(|key| !group.contains(key));
                self.looked(group, reply);
            }
            Some(Pending::Watch) => {
                self.watching = false;
                self.saw(sent, reply);
            }
            None => {}
        }
    }

    /// Remembers a claim that was given up after a lost reply.
    pub(super) fn give_up(&mut self, key: &str, digest: String) {
        let (next, last) = (self.now + DOUBT_PERIOD, self.now + DOUBT);
        self.doubtful.insert(key.to_owned(), (digest, next, last));
    }

    /// Reads given-up claims again and deletes those whose write came late.
    fn doubt(&mut self) {
        let now = self.now;
        for (key, (digest, next, _)) in &mut self.doubtful {
            if *next > now || self.entries.contains_key(key) {
                continue;
            }
            *next = now + DOUBT_PERIOD;
            let entry = Entry {
                digest: digest.clone(),
                version: 0,
                row: None,
                phase: Phase::GiveUp,
                waiting: Vec::new(),
            };
            self.entries.insert(key.clone(), entry);
            self.unsure.insert(key.clone());
        }
        // After the last read, so that a paused daemon also makes one.
        self.doubtful.retain(|_, (_, _, last)| *last > now);
    }

    pub(super) fn retry_later(&mut self) {
        self.retry_at = self.now + RETRY;
    }

    /// Reads the leases of the holders of watched claims.
    fn watch(&mut self) {
        let now = self.now;
        self.watched.retain(|_, watched| watched.until > now);
        let holders: BTreeSet<_> =
            self.watched.values().map(|watched| watched.row.holder.clone()).collect();
        self.observer.retain(|daemon| holders.contains(daemon));
        if holders.is_empty() || self.watching || now < self.watch_at {
            return;
        }
        self.watch_at = now + WATCH_PERIOD;
        self.watching = true;
        let keys = holders.iter().map(|daemon| lease::key(daemon)).collect();
        self.call(Call::Read(keys), Pending::Watch);
    }
}
