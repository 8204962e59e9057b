//! Takeovers of chunks from holders whose lease has ended.

use std::time::Duration;

use super::{
    ChunkId, Dispatch, ISOLATION_CLAIMS, PendingCall,
    claim::{ChunkWrite, WriteKind},
};
use crate::{
    hash,
    job::row::{Chunk, ChunkState},
    lease,
    store::{Call, Reply, Transaction},
};

/// Time over which daemons spread their attempts to take over the same chunk.
const TAKEOVER_SPREAD: Duration = Duration::from_secs(1);

impl Dispatch {
    /// Starts a takeover when there are too few items for the streams. Takeovers run one at a time,
    /// because a single chunk may suffice.
    pub(super) fn start_takeover(&mut self) {
        if !self.holds_lease()
            || self.takeover_candidates.values().any(|candidate| candidate.takeover_in_flight)
        {
            return;
        }
        let ids: Vec<_> = self
            .takeover_candidates
            .keys()
            .filter(|id| !self.held.contains_key(id))
            .filter(|id| self.deployment_of(id).is_some_and(|name| self.needs_items(name)))
            .cloned()
            .collect();
        for id in ids {
            if self.lease_state(&id) == lease::State::Live {
                continue;
            }
            let spread = u64::try_from(TAKEOVER_SPREAD.as_micros()).unwrap_or(u64::MAX);
            let delay = hash::stable(&[&self.settings.daemon, &id.key()]) % spread;
            let now = self.now;
            let Some(candidate) = self.takeover_candidates.get_mut(&id) else { continue };
            let not_before =
                *candidate.not_before.get_or_insert(now + Duration::from_micros(delay));
            if now >= not_before {
                candidate.takeover_in_flight = true;
                return self.call(Call::Read(vec![id.key()]), PendingCall::ConfirmTakeover(id));
            }
        }
    }

    /// Returns what is known about the lease of the chunk's holder.
    fn lease_state(&self, id: &ChunkId) -> lease::State {
        let Some(candidate) = self.takeover_candidates.get(id) else { return lease::State::Live };
        let row = &candidate.row;
        let own = row.holder == self.settings.daemon && Some(row.epoch) <= self.lease.epoch;
        match self.observer.lease_state(&row.holder, row.epoch) {
            // The row names this daemon, which does not hold the chunk: the chunk belongs to an
            // earlier process, or its claim was given up after a lost reply.
            _ if own => lease::State::Ended,
            state => state,
        }
    }

    /// Takes the chunk over if the row, read once more, has not changed; another daemon may have
    /// been faster.
    pub(super) fn takeover_confirmed(&mut self, id: &ChunkId, reply: Reply) {
        let Some(candidate) = self.takeover_candidates.get_mut(id) else { return };
        candidate.takeover_in_flight = false;
        let Reply::Rows(rows) = reply else {
            candidate.not_before = Some(self.now + self.backoff);
            return;
        };
        let version = rows.into_iter().flatten().next().map_or(0, |row| row.version);
        if version != candidate.version {
            self.takeover_candidates.remove(id);
            return;
        }
        let row = candidate.row.clone();
        let Some(epoch) = self.lease.epoch.filter(|_| self.holds_lease()) else { return };
        let mut transaction = Transaction::new().with_condition(id.key(), version);
        match self.lease_state(id) {
            lease::State::Live => return,
            lease::State::Ended => {}
            lease::State::Expired(version) => {
                transaction = transaction.with_condition(lease::key(&row.holder), version);
            }
        }
        let row = self.row_after_takeover(&row, epoch);
        let transaction = transaction.with_write(id.key(), &row);
        if let Some(candidate) = self.takeover_candidates.get_mut(id) {
            candidate.takeover_in_flight = true;
        }
        self.write(transaction, ChunkWrite { chunk: id.clone(), row, kind: WriteKind::Takeover });
    }

    /// Returns the row of a chunk after a takeover. In isolation, the item that was running is
    /// charged an attempt.
    pub(super) fn row_after_takeover(&self, row: &Chunk, epoch: u64) -> Chunk {
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
