//! Claims of chunks, and the outcome of transactions on chunks.

use std::{collections::BTreeMap, time::Duration};

use super::{
    BACKOFF_MIN, ChunkId, Dispatch, Event, PendingCall,
    chunk::{CommitSet, HeldChunk},
};
use crate::{
    hash,
    job::row::{Chunk, ChunkState, Job, State, job_key},
    store::{Call, Reply, Row, Transaction},
};

/// A transaction on a chunk whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(super) struct ChunkWrite {
    pub chunk: ChunkId,
    /// The chunk's row after the transaction, by which this daemon recognises its own write.
    pub row: Chunk,
    pub kind: WriteKind,
}

/// Effect of a transaction on a chunk.
#[derive(Clone, Debug)]
pub(super) enum WriteKind {
    /// Claims the chunk; `job` is the row of the job after the transaction.
    Claim { deployment: String, job: Job },
    /// Takes the chunk over from a holder whose lease has ended.
    Takeover,
    /// Records in the chunk's row which item runs next in isolation.
    RecordCurrent,
    /// Commits results or returns the chunk; `job` is the row of the job after the transaction, and
    /// `remainder` a new chunk with the items that were not committed.
    Commit { set: CommitSet, job: Job, remainder: Option<(ChunkId, Chunk)> },
}

/// Base of the number of jobs among which daemons spread their claims after conflicts; the number
/// doubles with each conflict.
const CONFLICT_SPREAD_JOBS: usize = 2;

/// Base of the maximum delay after conflicts. The maximum doubles with each conflict up to 3.2 s,
/// the time in which several hundred daemons can write the same row one after the other.
const CONFLICT_DELAY_BASE: Duration = Duration::from_millis(50);
const MAX_CONFLICT_DOUBLINGS: u32 = 6;

impl Dispatch {
    /// Returns whether this daemon holds too few items for the streams of a deployment.
    pub(super) fn needs_items(&self, deployment: &str) -> bool {
        let streams: usize = self.usable_streams(deployment);
        let unfinished: usize = self
            .held
            .iter()
            .filter(|(id, _)| self.deployment_of(id) == Some(deployment))
            .map(|(_, held)| held.unfinished())
            .sum();
        // Holds a quarter more items than can run, so that no stream idles during a claim.
        self.drain_until.is_none() && streams > 0 && unfinished < streams + streams.div_ceil(4)
    }

    pub(super) fn deployment_of(&self, id: &ChunkId) -> Option<&str> {
        self.jobs.get(&id.job).map(|cached| cached.row.deployment.as_str())
    }

    /// Claims a chunk for each deployment that has too few items for its streams.
    pub(super) fn claim_chunks(&mut self) {
        let Some(epoch) = self.lease.epoch.filter(|_| self.holds_lease()) else { return };
        if self.now < self.claim_not_before || self.result_bytes() >= self.settings.max_result_bytes
        {
            return;
        }
        let deployments: Vec<_> = self.listings.keys().cloned().collect();
        for deployment in deployments {
            let claim_in_flight =
                self.listings.get(&deployment).is_none_or(|listing| listing.claim_in_flight);
            if claim_in_flight || !self.needs_items(&deployment) {
                continue;
            }
            if let Some(listing) = self.listings.get_mut(&deployment) {
                listing.short_of_items = true;
            }
            let id = self.choose_job(&deployment);
            let Some(id) = id.filter(|id| !self.is_writing_job(id) && self.ensure_job_current(id))
            else {
                continue;
            };
            self.claim_next_chunk(&deployment, &id, epoch);
        }
    }

    /// Returns the job whose chunk is claimed next: the first one due within the urgent window,
    /// else one of the client with the least service relative to its weight.
    fn choose_job(&mut self, deployment: &str) -> Option<String> {
        let listed = &self.listings.get(deployment)?.jobs;
        let jobs: Vec<_> = listed
            .iter()
            .filter_map(|id| self.jobs.get(id).map(|cached| (id, &cached.row)))
            .filter(|(_, job)| job.claimable())
            .collect();
        let window_ms = u64::try_from(self.settings.urgent_window.as_millis()).unwrap_or(u64::MAX);
        let is_urgent = |job: &Job| job.due_unix_ms <= self.unix_ms.saturating_add(window_ms);
        let urgent_jobs: Vec<_> = jobs.iter().filter(|(_, job)| is_urgent(job)).copied().collect();
        if !urgent_jobs.is_empty() {
            return self.pick_earliest_due(urgent_jobs);
        }
        // A client without a record starts level with the client that has the least service.
        let known =
            jobs.iter().filter_map(|(_, job)| self.normalized_service.get(&job.client).copied());
        let least = known.min_by(f64::total_cmp).unwrap_or_default();
        for (_, job) in &jobs {
            self.normalized_service.entry(job.client.clone()).or_insert(least);
        }
        let service =
            |job: &Job| self.normalized_service.get(&job.client).copied().unwrap_or(least);
        let due = |job: &Job| job.due_unix_ms;
        let (_, next) = jobs
            .iter()
            .min_by(|(_, a), (_, b)| service(a).total_cmp(&service(b)).then(due(a).cmp(&due(b))))?;
        let client = &next.client;
        self.pick_earliest_due(
            jobs.iter().filter(|(_, job)| job.client == *client).copied().collect(),
        )
    }

    /// Returns the job with the earliest due time. After conflicts, daemons spread over the first
    /// few jobs by a hash of their name.
    fn pick_earliest_due(&self, mut jobs: Vec<(&String, &Job)>) -> Option<String> {
        jobs.sort_by_key(|(_, job)| job.due_unix_ms);
        if self.claim_conflicts > 0 {
            jobs.truncate(CONFLICT_SPREAD_JOBS << self.claim_conflicts.min(MAX_CONFLICT_DOUBLINGS));
            jobs.sort_by_key(|(id, _)| hash::stable(&[&self.settings.daemon, id]));
        }
        jobs.first().map(|(id, _)| (*id).clone())
    }

    fn claim_next_chunk(&mut self, deployment: &str, id: &str, epoch: u64) {
        let Some(cached) = self.jobs.get(id) else { return };
        let mut job = cached.row.clone();
        let key = job_key(id);
        let transaction = Transaction::new().with_condition(&*key, cached.version);
        let number = match job.returned.pop() {
            Some(number) => number,
            None => {
                job.next += 1;
                job.next - 1
            }
        };
        let chunk = ChunkId { job: id.to_owned(), number };
        if cached.row.returned.is_empty() {
            let row = self.new_chunk_row(epoch);
            self.send_claim(deployment, chunk, row, job, transaction, 0);
        } else {
            // Claiming a returned chunk is conditional on its row, which must be read first.
            let row = self.new_chunk_row(epoch);
            let kind = WriteKind::Claim { deployment: deployment.to_owned(), job };
            if let Some(listing) = self.listings.get_mut(deployment) {
                listing.claim_in_flight = true;
            }
            self.resolve_write(Box::new(ChunkWrite { chunk, row, kind }));
        }
    }

    fn new_chunk_row(&self, epoch: u64) -> Chunk {
        Chunk {
            holder: self.settings.daemon.clone(),
            epoch,
            fence: 1,
            claims: 1,
            state: ChunkState::Held,
            current: None,
            attempts: BTreeMap::new(),
            object: None,
            items: None,
            split: None,
        }
    }

    fn send_claim(
        &mut self,
        deployment: &str,
        chunk: ChunkId,
        row: Chunk,
        job: Job,
        transaction: Transaction,
        version: u64,
    ) {
        let key = chunk.key();
        let transaction = transaction
            .with_condition(&*key, version)
            .with_write(key, &row)
            .with_write(job_key(&chunk.job), &job);
        if let Some(listing) = self.listings.get_mut(deployment) {
            listing.claim_in_flight = true;
        }
        let kind = WriteKind::Claim { deployment: deployment.to_owned(), job };
        self.write(transaction, ChunkWrite { chunk, row, kind });
    }

    /// Returns whether a transaction on this chunk is in flight or has an unknown outcome.
    pub(super) fn is_writing_chunk(&self, id: &ChunkId) -> bool {
        let is_on_chunk = |pending: &PendingCall| match pending {
            PendingCall::Write(write) | PendingCall::ResolveWrite(write) => write.chunk == *id,
            _ => false,
        };
        self.calls.values().any(is_on_chunk)
            || self.unresolved_writes.iter().any(|(_, write)| write.chunk == *id)
    }

    /// Returns whether a transaction on the row of this job is in flight or has an unknown outcome;
    /// another one would conflict with it.
    pub(super) fn is_writing_job(&self, job: &str) -> bool {
        let writes_job = |write: &ChunkWrite| {
            write.chunk.job == job
                && matches!(write.kind, WriteKind::Claim { .. } | WriteKind::Commit { .. })
        };
        self.unresolved_writes.iter().any(|(_, write)| writes_job(write))
            || self.calls.values().any(|pending| match pending {
                PendingCall::Write(write) | PendingCall::ResolveWrite(write) => writes_job(write),
                _ => false,
            })
    }

    pub(super) fn write(&mut self, transaction: Transaction, write: ChunkWrite) {
        if let Some(held) = self.held.get_mut(&write.chunk) {
            held.busy = true;
        }
        self.call(Call::Commit(transaction), PendingCall::Write(Box::new(write)));
    }

    /// Reads the rows that a transaction wrote to find out its outcome.
    pub(super) fn resolve_write(&mut self, write: Box<ChunkWrite>) {
        let mut keys = vec![write.chunk.key(), job_key(&write.chunk.job)];
        if let WriteKind::Commit { remainder: Some((remainder, _)), .. } = &write.kind {
            keys.push(remainder.key());
        }
        self.call(Call::Read(keys), PendingCall::ResolveWrite(write));
    }

    pub(super) fn write_answered(&mut self, write: Box<ChunkWrite>, reply: Reply) {
        match reply {
            Reply::Done(versions) => {
                let version = |key: &str| versions.get(key).copied();
                let chunk = version(&write.chunk.key()).unwrap_or_default();
                let job = version(&job_key(&write.chunk.job));
                self.write_applied(*write, chunk, job, &versions);
            }
            Reply::Failed => self.write_not_applied(*write, true),
            Reply::Conflict(rows) => self.handle_conflict(write, rows),
            Reply::Unknown | Reply::Rows(_) => self.resolve_write(write),
        }
    }

    /// Handles a conflict with a write of another daemon. The rows need not be read when the reply
    /// contains the job's row and no chunk row that this daemon may have written.
    fn handle_conflict(&mut self, write: Box<ChunkWrite>, rows: Vec<Option<Row>>) {
        let (job, chunk) = (job_key(&write.chunk.job), write.chunk.key());
        let rows = Reply::Conflict(rows).rows();
        let claim = matches!(write.kind, WriteKind::Claim { .. });
        let not_own = rows
            .get(&chunk)
            .is_none_or(|row| claim && row.decode::<Chunk>().as_ref() != Some(&write.row));
        match rows.get(&job).filter(|_| not_own) {
            Some(row) => {
                self.cache_job(row);
                self.write_not_applied(*write, false);
            }
            None => self.resolve_write(write),
        }
    }

    pub(super) fn write_resolved(&mut self, write: Box<ChunkWrite>, reply: Reply) {
        if !matches!(reply, Reply::Rows(_)) {
            self.unresolved_writes.push((self.now + self.backoff, write));
            return;
        }
        let rows = reply.rows();
        if let Some(row) = rows.get(&job_key(&write.chunk.job)) {
            self.cache_job(row);
        }
        let current = rows.get(&write.chunk.key());
        let (version, chunk) = match current {
            Some(row) => (row.version, row.decode::<Chunk>()),
            None => (0, None),
        };
        if chunk.as_ref() == Some(&write.row) {
            let mut versions = BTreeMap::new();
            // The remainder may have been taken over since, in which case its row differs.
            if let WriteKind::Commit { remainder: Some((remainder, expected)), .. } = &write.kind
                && let Some(row) = rows.get(&remainder.key())
                && row.decode::<Chunk>().as_ref() == Some(expected)
            {
                versions.insert(remainder.key(), row.version);
            }
            self.write_applied(*write, version, None, &versions);
        } else if let (WriteKind::Claim { deployment, .. }, Some(chunk)) = (&write.kind, &chunk)
            && chunk.state == ChunkState::Returned
        {
            let deployment = deployment.clone();
            self.claim_returned(&deployment, write.chunk, version, chunk);
        } else if self.held.get(&write.chunk).is_some_and(|held| held.version != version) {
            self.drop_chunk(&write.chunk);
        } else {
            self.write_not_applied(*write, false);
        }
    }

    /// Claims a returned chunk whose row has been read.
    fn claim_returned(&mut self, deployment: &str, id: ChunkId, version: u64, row: &Chunk) {
        if let Some(listing) = self.listings.get_mut(deployment) {
            listing.claim_in_flight = false;
        }
        let Some(epoch) = self.lease.epoch.filter(|_| self.holds_lease()) else { return };
        let Some(cached) = self.jobs.get(&id.job) else { return };
        let position = cached.row.returned.iter().position(|number| *number == id.number);
        let Some(position) = position else { return };
        if cached.row.state != State::Open || self.drain_until.is_some() {
            return;
        }
        let mut job = cached.row.clone();
        job.returned.remove(position);
        let transaction = Transaction::new().with_condition(job_key(&id.job), cached.version);
        // The previous holder returned the chunk instead of crashing, so the number of claims
        // stays.
        let row = Chunk { claims: row.claims, ..self.row_after_takeover(row, epoch) };
        self.send_claim(deployment, id, row, job, transaction, version);
    }

    fn write_not_applied(&mut self, write: ChunkWrite, failed: bool) {
        let ChunkWrite { chunk, kind, .. } = write;
        let conflicts = match &kind {
            WriteKind::Claim { .. } => {
                self.claim_conflicts += u32::from(!failed);
                self.claim_conflicts
            }
            _ => self.held.get_mut(&chunk).map_or(0, |held| {
                held.conflicts += u32::from(!failed);
                held.conflicts
            }),
        };
        let delay = match failed {
            true => self.backoff,
            // The conflict returned the current row, so an immediate retry is likely to succeed.
            false if conflicts <= 1 => Duration::ZERO,
            false => {
                self.invalidate_job(&chunk.job);
                self.conflict_delay(conflicts)
            }
        };
        match kind {
            WriteKind::Claim { deployment, .. } => {
                self.claim_not_before = self.now + delay;
                if let Some(listing) = self.listings.get_mut(&deployment) {
                    listing.claim_in_flight = false;
                }
            }
            WriteKind::Takeover => {
                self.takeover_candidates.remove(&chunk);
            }
            WriteKind::RecordCurrent | WriteKind::Commit { .. } => {
                if let Some(held) = self.held.get_mut(&chunk) {
                    held.busy = false;
                    held.retry_at = self.now + delay;
                }
            }
        }
    }

    /// Returns the delay after a number of consecutive conflicts, with a jitter that differs
    /// between daemons.
    fn conflict_delay(&self, conflicts: u32) -> Duration {
        let max_delay = CONFLICT_DELAY_BASE * (1 << conflicts.min(MAX_CONFLICT_DOUBLINGS));
        let hash = hash::stable(&[&self.settings.daemon, &self.next_call.to_string()]);
        Duration::from_micros(hash % u64::try_from(max_delay.as_micros()).unwrap_or(u64::MAX))
    }

    fn write_applied(
        &mut self,
        write: ChunkWrite,
        version: u64,
        job_version: Option<u64>,
        versions: &BTreeMap<String, u64>,
    ) {
        let ChunkWrite { chunk: id, row, kind } = write;
        match kind {
            WriteKind::Claim { deployment, job } => {
                if let Some(listing) = self.listings.get_mut(&deployment) {
                    listing.claim_in_flight = false;
                }
                self.claim_conflicts = 0;
                let items = row.items.clone().unwrap_or_else(|| job.items_of(id.number));
                let weight = self.weights.get(&job.client).copied().unwrap_or(1).max(1);
                #[expect(
                    clippy::cast_precision_loss,
                    reason = "chunks have at most thousands of items"
                )]
                let service = items.len() as f64 / f64::from(weight);
                *self.normalized_service.entry(job.client.clone()).or_default() += service;
                self.cache_written_job(&id.job, job, job_version);
                self.emit(Event::Claimed { chunk: id.clone(), fence: row.fence });
                self.add_held_chunk(id, version, row, items);
            }
            WriteKind::Takeover => {
                let candidate = self.takeover_candidates.remove(&id);
                let holder = candidate.map(|candidate| candidate.row.holder).unwrap_or_default();
                self.emit(Event::TakenOver { chunk: id.clone(), fence: row.fence, holder });
                let job = self.jobs.get(&id.job).map(|cached| cached.row.items_of(id.number));
                let items = row.items.clone().or(job).unwrap_or_default();
                self.add_held_chunk(id, version, row, items);
            }
            WriteKind::RecordCurrent => self.current_item_recorded(&id, version, row),
            WriteKind::Commit { set, job, remainder } => {
                self.emit_commit_events(&id, &set, &job);
                self.cache_written_job(&id.job, job, job_version);
                let remainder = remainder.map(|(id, row)| {
                    let version = versions.get(&id.key()).copied().unwrap_or_default();
                    (id, version, row)
                });
                self.chunk_committed(&id, &set, remainder);
            }
        }
    }

    fn add_held_chunk(&mut self, id: ChunkId, version: u64, row: Chunk, items: Vec<u32>) {
        if self.lease.superseded {
            return;
        }
        let held = HeldChunk::new(self.now, version, row, items);
        self.held.insert(id.clone(), held);
        self.load_items(&id);
    }

    /// Returns the current backoff after failed calls; zero while the platform answers.
    pub(super) fn failure_delay(&self) -> Duration {
        if self.backoff > BACKOFF_MIN { self.backoff } else { Duration::ZERO }
    }
}
