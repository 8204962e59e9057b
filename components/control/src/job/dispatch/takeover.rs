//! Takeovers of chunks whose holder is gone.

use std::time::Duration;

use super::{
    ChunkId, Dispatch, ISOLATION_CLAIMS, Pending,
    claim::{Kind, Write},
};
use crate::{
    hash,
    job::row::{Chunk, ChunkState},
    lease::{self, LeaseState},
    store::{Call, Reply, Transaction},
};

/// Time over which daemons spread their takeovers of one chunk.
const SPREAD: Duration = Duration::from_secs(1);

impl Dispatch {
    /// Starts a takeover when streams lack items. One at a time, because the chunk that it brings
    /// may be enough.
    pub(super) fn take_over(&mut self) {
        if !self.leased_now() || self.suspects.values().any(|suspect| suspect.taking) {
            return;
        }
        let ids: Vec<_> = self
            .suspects
            .keys()
            .filter(|id| !self.held.contains_key(id))
            .filter(|id| self.deployment(id).is_some_and(|name| self.wants_work(name)))
            .cloned()
            .collect();
        for id in ids {
            if self.lease_state(&id) == LeaseState::Live {
                continue;
            }
            let spread = u64::try_from(SPREAD.as_micros()).unwrap_or(u64::MAX);
            let delay = hash::stable(&[&self.settings.daemon, &id.key()]) % spread;
            let now = self.now;
            let Some(suspect) = self.suspects.get_mut(&id) else { continue };
            let not_before = *suspect.not_before.get_or_insert(now + Duration::from_micros(delay));
            if now >= not_before {
                suspect.taking = true;
                return self.call(Call::Read(vec![id.key()]), Pending::Suspect(id));
            }
        }
    }

    fn lease_state(&self, id: &ChunkId) -> LeaseState {
        let Some(suspect) = self.suspects.get(id) else { return LeaseState::Live };
        let row = &suspect.row;
        let own = row.holder == self.settings.daemon && Some(row.epoch) <= self.lease.epoch;
        match self.observer.lease_state(&row.holder, row.epoch) {
            // A chunk of this process that it does not work on: its claim was given up when the
            // reply was lost.
            _ if own => LeaseState::Ended,
            verdict => verdict,
        }
    }

    /// The chunk was read once more, because another daemon may have been faster.
    pub(super) fn confirmed(&mut self, id: &ChunkId, reply: Reply) {
        let Some(suspect) = self.suspects.get_mut(id) else { return };
        suspect.taking = false;
        let Reply::Rows(rows) = reply else {
            suspect.not_before = Some(self.now + self.backoff);
            return;
        };
        let version = rows.into_iter().flatten().next().map_or(0, |row| row.version);
        if version != suspect.version {
            self.suspects.remove(id);
            return;
        }
        let row = suspect.row.clone();
        let Some(epoch) = self.lease.epoch.filter(|_| self.leased_now()) else { return };
        let mut transaction = Transaction::new().with_condition(id.key(), version);
        match self.lease_state(id) {
            LeaseState::Live => return,
            LeaseState::Ended => {}
            LeaseState::Expired(version) => {
                transaction = transaction.with_condition(lease::key(&row.holder), version);
            }
        }
        let row = self.taken(&row, epoch);
        let transaction = transaction.with_write(id.key(), &row);
        if let Some(suspect) = self.suspects.get_mut(id) {
            suspect.taking = true;
        }
        self.write(transaction, Write { chunk: id.clone(), row, kind: Kind::Takeover });
    }

    /// The row of a chunk after a takeover.
    pub(super) fn taken(&self, row: &Chunk, epoch: u64) -> Chunk {
        let mut taken = Chunk {
            holder: self.settings.daemon.clone(),
            epoch,
            fence: row.fence + 1,
            claims: row.claims + 1,
            state: ChunkState::Held,
            current: None,
            ..row.clone()
        };
        if let Some(item) = row.current.filter(|_| row.claims >= ISOLATION_CLAIMS) {
            *taken.attempts.entry(item).or_default() += 1;
        }
        taken
    }
}
