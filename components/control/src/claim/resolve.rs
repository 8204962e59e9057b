//! Handling of the table's replies: results of writes, rows that were read again, and other
//! holders' leases.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    Action, Decision, Row, State,
    entry::{Entry, Phase},
    machine::{Claims, Watched},
};
use crate::{
    lease,
    store::{self, Reply},
    time::Time,
};

/// Time for which another holder's claim is watched, as a multiple of the time after which a holder
/// that does not renew its lease is considered dead.
const WATCH_EXPIRY_FACTOR: u32 = 3;

impl Claims {
    pub(super) fn handle_write_reply(&mut self, group: BTreeSet<String>, reply: Reply) {
        match reply {
            Reply::Done(versions) => {
                for key in group {
                    let version = versions.get(&key).copied().unwrap_or_default();
                    self.write_applied(&key, version);
                }
            }
            Reply::Conflict(rows) => self.handle_conflict(group, rows),
            Reply::Failed => {
                self.retry_later();
                for key in group {
                    self.refuse_waiting(&key);
                }
            }
            Reply::Unknown | Reply::Rows(_) => {
                for key in &group {
                    let entry = self.entries.get(key);
                    let claiming = entry.filter(|entry| {
                        matches!(entry.phase, Phase::Claim | Phase::Abandon) && entry.row.is_some()
                    });
                    if let Some(digest) = claiming.map(|entry| entry.digest.clone()) {
                        self.schedule_recheck(key, digest);
                    }
                }
                self.unresolved.extend(group);
            }
        }
    }

    /// Handles a write that was not applied because a condition failed. `rows` are the current rows
    /// of the failed conditions. Claims whose condition is known to have held are written again, the
    /// others are read first.
    fn handle_conflict(&mut self, group: BTreeSet<String>, rows: Vec<Option<store::Row>>) {
        // A failed condition on a row that does not exist cannot be attributed to a key, and a
        // failed condition on a daemon's row says nothing about the row of the claim.
        let complete =
            rows.iter().all(|row| row.as_ref().is_some_and(|row| row.key.starts_with("claim/")));
        let rows = Reply::Conflict(rows).rows();
        for row in rows.values() {
            // A holder that was considered dead has renewed its lease.
            if let Some(daemon) = row.key.strip_prefix("daemon/") {
                self.observer.record_read(self.now, self.now, daemon, Some(row));
            }
        }
        for key in group {
            match rows.get(&key) {
                Some(row) => self.resolve(&key, Some(row)),
                None if complete => self.write_rolled_back(&key),
                None => {
                    self.unresolved.insert(key);
                }
            }
        }
    }

    /// Handles a write that was not applied because of another row in the same transaction.
    fn write_rolled_back(&mut self, key: &str) {
        let Some(entry) = self.entries.get(key) else { return };
        // The write was the claim itself, which has been abandoned in the meantime.
        if entry.phase == Phase::Abandon && entry.row.is_some() {
            self.row_deleted(key);
        } else {
            self.abandon(key);
        }
    }

    pub(super) fn handle_rows_reply(&mut self, group: BTreeSet<String>, reply: Reply) {
        if !matches!(reply, Reply::Rows(_)) {
            self.retry_later();
            for key in group {
                self.refuse_waiting(&key);
            }
            return;
        }
        let rows = reply.rows();
        for key in group {
            self.unresolved.remove(&key);
            self.resolve(&key, rows.get(&key));
        }
    }

    /// Refuses the waiting requests because the table is unavailable. Outcomes are written later.
    fn refuse_waiting(&mut self, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        for (id, _) in std::mem::take(&mut entry.waiting) {
            self.answer(id, Decision::Refused);
        }
        self.abandon(key);
    }

    /// Handles a write that was applied and gave the row this version.
    fn write_applied(&mut self, key: &str, version: u64) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.version = version;
        match &entry.phase {
            Phase::Claim => self.grant(key),
            Phase::Record(_) => self.outcome_recorded(key),
            Phase::MarkUnknown { .. } => {
                self.actions.push(Action::MarkedUnknown { key: key.to_owned() });
                self.answer_all(key, &Decision::OutcomeUnknown);
            }
            // The applied write was either the claim, which was abandoned while the write was in
            // flight and is still to be deleted, or the deletion itself.
            Phase::Abandon if entry.row.is_some() => {}
            Phase::Abandon => self.row_deleted(key),
            Phase::Granted => {}
        }
    }

    /// Lets the first waiting request run and answers the others with `InProgress`. Without a lease
    /// or a waiting request, abandons the claim.
    fn grant(&mut self, key: &str) {
        let (leased, until) = (self.holds_lease(), self.lease_until);
        let Some(entry) = self.entries.get_mut(key) else { return };
        if !leased || entry.waiting.is_empty() {
            entry.phase = Phase::Abandon;
            for (id, _) in std::mem::take(&mut entry.waiting) {
                self.answer(id, Decision::Refused);
            }
            return;
        }
        entry.phase = Phase::Granted;
        let waiting = std::mem::take(&mut entry.waiting);
        for (index, (id, _)) in waiting.into_iter().enumerate() {
            let decision = if index == 0 { Decision::Run { until } } else { Decision::InProgress };
            self.answer(id, decision);
        }
    }

    fn outcome_recorded(&mut self, key: &str) {
        self.entries.remove(key);
        self.actions.push(Action::Recorded { key: key.to_owned() });
    }

    /// Answers all waiting requests and removes the claim.
    fn answer_all(&mut self, key: &str, decision: &Decision) {
        let Some(entry) = self.entries.remove(key) else { return };
        for (id, _) in entry.waiting {
            self.answer(id, decision.clone());
        }
    }

    /// Handles the deletion of the row. Requests that arrived in the meantime claim it again.
    fn row_deleted(&mut self, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        (entry.version, entry.row, entry.phase) = (0, None, Phase::Claim);
        self.abandon(key);
    }

    /// Continues a claim from its current row, which is known after a conflict or a read.
    fn resolve(&mut self, key: &str, current: Option<&store::Row>) {
        let Some(entry) = self.entries.get(key) else { return };
        let version = current.map_or(0, |row| row.version);
        let row = current.and_then(|row| row.decode::<Row>());
        if current.is_some() && row.is_none() {
            // No daemon of this release writes a row that cannot be decoded. The request must not
            // run again.
            return self.answer_all(key, &Decision::OutcomeUnknown);
        }
        if row == entry.row {
            return self.write_applied(key, version);
        }
        match entry.phase.clone() {
            Phase::Claim | Phase::MarkUnknown { .. } => self.decide(key, version, row),
            Phase::Record(_) => self.retry_record(key, version, row),
            Phase::Abandon => {
                let own = row
                    .as_ref()
                    .is_some_and(|row| self.is_own(row) && self.is_running_attempt(key, row));
                if let (true, Some(entry)) = (own, self.entries.get_mut(key)) {
                    (entry.version, entry.row) = (version, row);
                } else {
                    self.row_deleted(key);
                }
            }
            Phase::Granted => {}
        }
    }

    /// Returns whether this process wrote the row, and not an earlier process of this daemon.
    fn is_own(&self, row: &Row) -> bool {
        row.holder == self.settings.daemon && Some(row.epoch) == self.epoch
    }

    fn is_running_attempt(&self, key: &str, row: &Row) -> bool {
        row.state == State::Running
            && self.entries.get(key).is_some_and(|entry| entry.digest == row.digest)
    }

    /// Writes an outcome again if this process still holds the claim.
    fn retry_record(&mut self, key: &str, version: u64, row: Option<Row>) {
        let held = row.as_ref().is_some_and(|row| row.state == State::Running && self.is_own(row));
        match self.entries.get_mut(key).filter(|_| held) {
            Some(entry) => (entry.version, entry.row) = (version, row),
            // Another daemon has marked the claim as unknown, or the deletion was applied.
            None => self.outcome_recorded(key),
        }
    }

    /// Decides what the waiting requests are told, from the existing row of their claim.
    fn decide(&mut self, key: &str, version: u64, row: Option<Row>) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let Some(row) = row else {
            (entry.version, entry.row, entry.phase) = (0, None, Phase::Claim);
            return self.abandon(key);
        };
        if row.digest != entry.digest {
            return self.answer_all(key, &Decision::Conflict);
        }
        match (row.state, &row.answer) {
            (State::Done, Some(answer)) => self.answer_all(key, &Decision::Done(answer.clone())),
            (State::Done, None) | (State::Unknown, _) => {
                self.answer_all(key, &Decision::OutcomeUnknown)
            }
            (State::Running, _) if self.is_own(&row) => {
                // The row is from an abandoned attempt of this process, whose write was applied
                // late. Its request never ran, because the entry of a claim whose request runs is
                // in another phase.
                let Some(entry) = self.entries.get_mut(key) else { return };
                (entry.version, entry.row, entry.phase) = (version, Some(row), Phase::Claim);
                self.abandon(key);
            }
            (State::Running, _) => self.decide_running(key, version, row),
        }
    }

    fn decide_running(&mut self, key: &str, version: u64, row: Row) {
        let own_earlier_process = row.holder == self.settings.daemon;
        let daemon = match self.observer.lease_state(&row.holder, row.epoch) {
            _ if own_earlier_process => None,
            lease::State::Ended => None,
            lease::State::Expired(version) => Some((row.holder.clone(), version)),
            lease::State::Live => {
                self.answer_all(key, &Decision::InProgress);
                let watch = (self.settings.lease + self.settings.margin) * WATCH_EXPIRY_FACTOR;
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

    /// Records the leases of other holders, and marks the watched claims of dead holders as
    /// unknown.
    pub(super) fn handle_leases_reply(&mut self, sent: Time, reply: Reply) {
        if !matches!(reply, Reply::Rows(_)) {
            return;
        }
        let rows = reply.rows();
        let holders: BTreeSet<_> =
            self.watched.values().map(|watched| watched.row.holder.clone()).collect();
        for holder in holders {
            self.observer.record_read(sent, self.now, &holder, rows.get(&lease::key(&holder)));
        }
        let mut ended = BTreeMap::new();
        for (key, watched) in &self.watched {
            let row = &watched.row;
            if self.observer.lease_state(&row.holder, row.epoch) != lease::State::Live
                && !self.entries.contains_key(key)
            {
                ended.insert(key.clone(), watched.clone());
            }
        }
        for (key, Watched { version, row, .. }) in ended {
            let entry = Entry {
                digest: row.digest.clone(),
                version,
                row: None,
                phase: Phase::Claim,
                waiting: Vec::new(),
            };
            self.entries.insert(key.clone(), entry);
            self.decide_running(&key, version, row);
        }
    }
}
