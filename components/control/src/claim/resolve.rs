//! Outcomes of the writes, and rows of other holders.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    Action, Begun, Row, State,
    entry::{Entry, Phase},
    machine::{Claims, Watched},
};
use crate::{
    lease::{self, Verdict},
    store::{self, Reply},
    time::Time,
};

/// A claim of another holder is watched for this many times the time after which a silent holder
/// counts as gone.
const WATCH_FACTOR: u32 = 3;

impl Claims {
    pub(super) fn wrote(&mut self, group: BTreeSet<String>, reply: Reply) {
        match reply {
            Reply::Done(versions) => {
                for key in group {
                    let version = versions.get(&key).copied().unwrap_or_default();
                    self.written(&key, version);
                }
            }
            Reply::Conflict(rows) => self.conflicted(group, rows),
            Reply::Failed => {
                self.retry_later();
                for key in group {
                    self.refuse(&key);
                }
            }
            Reply::Unknown | Reply::Rows(_) => {
                for key in &group {
                    let entry = self.entries.get(key);
                    let claims = entry.filter(|entry| {
                        matches!(entry.phase, Phase::Claim | Phase::GiveUp) && entry.row.is_some()
                    });
                    if let Some(digest) = claims.map(|entry| entry.digest.clone()) {
                        self.give_up(key, digest);
                    }
                }
                self.unsure.extend(group);
            }
        }
    }

    /// The rows that did not have the expected version are known; the others are written again.
    fn conflicted(&mut self, group: BTreeSet<String>, rows: Vec<Option<store::Row>>) {
        // Which condition failed is known only for rows that exist, and the condition on a
        // daemon's row says nothing of the claim.
        let complete =
            rows.iter().all(|row| row.as_ref().is_some_and(|row| row.key.starts_with("claim/")));
        let rows = Reply::Conflict(rows).rows();
        for row in rows.values() {
            // A holder that counted as gone has renewed its lease.
            if let Some(daemon) = row.key.strip_prefix("daemon/") {
                self.observer.saw(self.now, self.now, daemon, Some(row));
            }
        }
        for key in group {
            match rows.get(&key) {
                Some(row) => self.resolve(&key, Some(row)),
                None if complete => self.restore(&key),
                None => {
                    self.unsure.insert(key);
                }
            }
        }
    }

    /// A write took no effect because of another row; its claim is as before.
    fn restore(&mut self, key: &str) {
        let Some(entry) = self.entries.get(key) else { return };
        // The write was the claim that was given up since.
        if entry.phase == Phase::GiveUp && entry.row.is_some() {
            self.deleted(key);
        } else {
            self.abandon(key);
        }
    }

    pub(super) fn looked(&mut self, group: BTreeSet<String>, reply: Reply) {
        if !matches!(reply, Reply::Rows(_)) {
            self.retry_later();
            for key in group {
                self.refuse(&key);
            }
            return;
        }
        let rows = reply.rows();
        for key in group {
            self.unsure.remove(&key);
            self.resolve(&key, rows.get(&key));
        }
    }

    /// The table is down: the waiting requests are refused; writes of outcomes stay.
    fn refuse(&mut self, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        for (id, _) in std::mem::take(&mut entry.waiting) {
            self.answer(id, Begun::Refused);
        }
        self.abandon(key);
    }

    /// A write took effect.
    fn written(&mut self, key: &str, version: u64) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.version = version;
        match &entry.phase {
            Phase::Claim => self.grant(key),
            Phase::Record(_) => self.recorded(key),
            Phase::MarkUnknown { .. } => {
                self.actions.push(Action::MarkedUnknown { key: key.to_owned() });
                self.answer_all(key, &Begun::OutcomeUnknown);
            }
            // The write in flight was the claim when it was given up, or it was the deletion.
            Phase::GiveUp if entry.row.is_some() => {}
            Phase::GiveUp => self.deleted(key),
            Phase::Granted => {}
        }
    }

    /// Lets the first waiting request run.
    fn grant(&mut self, key: &str) {
        let (leased, until) = (self.leased(), self.until);
        let Some(entry) = self.entries.get_mut(key) else { return };
        if !leased || entry.waiting.is_empty() {
            entry.phase = Phase::GiveUp;
            for (id, _) in std::mem::take(&mut entry.waiting) {
                self.answer(id, Begun::Refused);
            }
            return;
        }
        entry.phase = Phase::Granted;
        let waiting = std::mem::take(&mut entry.waiting);
        for (index, (id, _)) in waiting.into_iter().enumerate() {
            let begun = if index == 0 { Begun::Run { until } } else { Begun::InProgress };
            self.answer(id, begun);
        }
    }

    fn recorded(&mut self, key: &str) {
        self.entries.remove(key);
        self.actions.push(Action::Recorded { key: key.to_owned() });
    }

    /// Answers all waiting requests and forgets the claim.
    fn answer_all(&mut self, key: &str, begun: &Begun) {
        let Some(entry) = self.entries.remove(key) else { return };
        for (id, _) in entry.waiting {
            self.answer(id, begun.clone());
        }
    }

    /// The row is deleted; requests that came since claim anew.
    fn deleted(&mut self, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        (entry.version, entry.row, entry.phase) = (0, None, Phase::Claim);
        self.abandon(key);
    }

    /// The row in the table is known after a conflict or a lost reply.
    fn resolve(&mut self, key: &str, current: Option<&store::Row>) {
        let Some(entry) = self.entries.get(key) else { return };
        let version = current.map_or(0, |row| row.version);
        let row = current.and_then(|row| row.decode::<Row>());
        if current.is_some() && row.is_none() {
            // Nobody here can have written it; it must not run again.
            return self.answer_all(key, &Begun::OutcomeUnknown);
        }
        if row == entry.row {
            return self.written(key, version);
        }
        match entry.phase.clone() {
            Phase::Claim | Phase::MarkUnknown { .. } => self.meet(key, version, row),
            Phase::Record(_) => self.record_again(key, version, row),
            Phase::GiveUp => {
                let own =
                    row.as_ref().is_some_and(|row| self.own(row) && self.is_attempt(key, row));
                if let (true, Some(entry)) = (own, self.entries.get_mut(key)) {
                    (entry.version, entry.row) = (version, row);
                } else {
                    self.deleted(key);
                }
            }
            Phase::Granted => {}
        }
    }

    /// Whether this process wrote the row.
    fn own(&self, row: &Row) -> bool {
        row.holder == self.settings.daemon && Some(row.epoch) == self.epoch
    }

    fn is_attempt(&self, key: &str, row: &Row) -> bool {
        row.state == State::Running
            && self.entries.get(key).is_some_and(|entry| entry.digest == row.digest)
    }

    /// Writes an outcome again, if the claim still belongs to this process.
    fn record_again(&mut self, key: &str, version: u64, row: Option<Row>) {
        let held = row.as_ref().is_some_and(|row| row.state == State::Running && self.own(row));
        match self.entries.get_mut(key).filter(|_| held) {
            Some(entry) => (entry.version, entry.row) = (version, row),
            // Another daemon has ended the claim as unknown, or the deletion took effect.
            None => self.recorded(key),
        }
    }

    /// A request wants a claim whose row is this.
    fn meet(&mut self, key: &str, version: u64, row: Option<Row>) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let Some(row) = row else {
            (entry.version, entry.row, entry.phase) = (0, None, Phase::Claim);
            return self.abandon(key);
        };
        if row.digest != entry.digest {
            return self.answer_all(key, &Begun::Conflict);
        }
        match (row.state, &row.answer) {
            (State::Done, Some(answer)) => self.answer_all(key, &Begun::Done(answer.clone())),
            (State::Done, None) | (State::Unknown, _) => {
                self.answer_all(key, &Begun::OutcomeUnknown)
            }
            (State::Running, _) if self.own(&row) => {
                // An attempt of this process that was given up and whose write came late. It never
                // ran, because a claim that runs has an entry in another phase.
                let Some(entry) = self.entries.get_mut(key) else { return };
                (entry.version, entry.row, entry.phase) = (version, Some(row), Phase::Claim);
                self.abandon(key);
            }
            (State::Running, _) => self.meet_running(key, version, row),
        }
    }

    fn meet_running(&mut self, key: &str, version: u64, row: Row) {
        let earlier = row.holder == self.settings.daemon;
        let daemon = match self.observer.verdict(&row.holder, row.epoch) {
            _ if earlier => None,
            Verdict::Ended => None,
            Verdict::Expired(version) => Some((row.holder.clone(), version)),
            Verdict::Live => {
                self.answer_all(key, &Begun::InProgress);
                let watch = (self.settings.lease + self.settings.margin) * WATCH_FACTOR;
                let watched = Watched { version, row, until: self.now + watch };
                self.watched.insert(key.to_owned(), watched);
                return;
            }
        };
        self.watched.remove(key);
        let Some(entry) = self.entries.get_mut(key) else { return };
        (entry.version, entry.row, entry.phase) =
            (version, Some(row), Phase::MarkUnknown { daemon });
    }

    /// Ends watched claims whose holder is gone.
    pub(super) fn saw(&mut self, sent: Time, reply: Reply) {
        if !matches!(reply, Reply::Rows(_)) {
            return;
        }
        let rows = reply.rows();
        let holders: BTreeSet<_> =
            self.watched.values().map(|watched| watched.row.holder.clone()).collect();
        for holder in holders {
            self.observer.saw(sent, self.now, &holder, rows.get(&lease::key(&holder)));
        }
        let mut gone = BTreeMap::new();
        for (key, watched) in &self.watched {
            let row = &watched.row;
            if self.observer.verdict(&row.holder, row.epoch) != Verdict::Live
                && !self.entries.contains_key(key)
            {
                gone.insert(key.clone(), watched.clone());
            }
        }
        for (key, Watched { version, row, .. }) in gone {
            let entry = Entry {
                digest: row.digest.clone(),
                version,
                row: None,
                phase: Phase::Claim,
                waiting: Vec::new(),
            };
            self.entries.insert(key.clone(), entry);
            self.meet_running(&key, version, row);
        }
    }
}
