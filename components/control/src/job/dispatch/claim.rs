//! Claims, takeovers, and the outcome of transactions.

use std::{collections::BTreeMap, time::Duration};

use super::{
    BACKOFF_MIN, ChunkId, Dispatch, Note, Pending,
    chunk::{Cut, Held},
};
use crate::{
    hash,
    job::row::{Chunk, ChunkState, Job, State, job_key},
    store::{Call, Reply, Row, Transaction},
};

/// A transaction on a chunk, for as long as its outcome is not known.
#[derive(Clone, Debug)]
pub(super) struct Write {
    pub chunk: ChunkId,
    /// The chunk's row after the transaction, by which this daemon recognises its own write.
    pub row: Chunk,
    pub kind: Kind,
}

/// What a transaction does.
#[derive(Clone, Debug)]
pub(super) enum Kind {
    /// Claims the chunk and leaves the job's row like this.
    Claim { deployment: String, job: Job },
    /// Takes the chunk over from a holder that is gone.
    Takeover,
    /// Records the item that runs next in isolation.
    Mark,
    /// Commits or hands back; leaves the job's row like this, and a new chunk with the rest.
    Commit { cut: Cut, job: Job, rest: Option<(ChunkId, Chunk)> },
}

/// Jobs among which daemons spread after conflicts; doubles with each conflict.
const SPREAD: usize = 2;

/// Longest delay after no conflict, which doubles with each conflict up to 3.2 s: the time in which
/// several hundred daemons can write one row after the other.
const CONFLICT_DELAY: Duration = Duration::from_millis(50);
const CONFLICT_DOUBLINGS: u32 = 6;

impl Dispatch {
    /// Whether more items of a deployment could run than are at hand.
    pub(super) fn wants_work(&self, deployment: &str) -> bool {
        let streams: usize = self.streams(deployment);
        let at_hand: usize = self
            .held
            .iter()
            .filter(|(id, _)| self.deployment(id) == Some(deployment))
            .map(|(_, held)| held.unfinished())
            .sum();
        // A quarter more than can run, so that slots are not idle during a claim.
        self.drain.is_none() && streams > 0 && at_hand < streams + streams.div_ceil(4)
    }

    pub(super) fn deployment(&self, id: &ChunkId) -> Option<&str> {
        self.views.get(&id.job).map(|view| view.row.deployment.as_str())
    }

    /// Claims chunks for deployments with room.
    pub(super) fn claim(&mut self) {
        let Some(epoch) = self.lease.epoch.filter(|_| self.leased_now()) else { return };
        if self.now < self.claim_after || self.result_bytes() >= self.settings.memory_bytes {
            return;
        }
        let deployments: Vec<_> = self.listings.keys().cloned().collect();
        for deployment in deployments {
            let claiming = self.listings.get(&deployment).is_none_or(|listing| listing.claiming);
            if claiming || !self.wants_work(&deployment) {
                continue;
            }
            if let Some(listing) = self.listings.get_mut(&deployment) {
                listing.lacking = true;
            }
            let id = self.choose(&deployment);
            let Some(id) = id.filter(|id| !self.writing_job(id) && self.fresh(id)) else {
                continue;
            };
            self.claim_from(&deployment, &id, epoch);
        }
    }

    /// The job whose chunk is claimed next: one close to due, else one of the client that received
    /// least relative to its weight.
    fn choose(&mut self, deployment: &str) -> Option<String> {
        let listed = &self.listings.get(deployment)?.listed;
        let jobs: Vec<_> = listed
            .iter()
            .filter_map(|id| self.views.get(id).map(|view| (id, &view.row)))
            .filter(|(_, job)| job.claimable())
            .collect();
        let urgent = u64::try_from(self.settings.urgent.as_millis()).unwrap_or(u64::MAX);
        let close = |job: &Job| job.due_unix_ms <= self.unix_ms.saturating_add(urgent);
        let first: Vec<_> = jobs.iter().filter(|(_, job)| close(job)).copied().collect();
        if !first.is_empty() {
            return self.pick(first);
        }
        // A client without a record starts level with the one that received least.
        let known = jobs.iter().filter_map(|(_, job)| self.service.get(&job.client).copied());
        let least = known.min_by(f64::total_cmp).unwrap_or_default();
        for (_, job) in &jobs {
            self.service.entry(job.client.clone()).or_insert(least);
        }
        let service = |job: &Job| self.service.get(&job.client).copied().unwrap_or(least);
        let due = |job: &Job| job.due_unix_ms;
        let (_, next) = jobs
            .iter()
            .min_by(|(_, a), (_, b)| service(a).total_cmp(&service(b)).then(due(a).cmp(&due(b))))?;
        let client = &next.client;
        self.pick(jobs.iter().filter(|(_, job)| job.client == *client).copied().collect())
    }

    /// The job that is due first. After conflicts with other daemons, one of the first few that
    /// differs from daemon to daemon.
    fn pick(&self, mut jobs: Vec<(&String, &Job)>) -> Option<String> {
        jobs.sort_by_key(|(_, job)| job.due_unix_ms);
        if self.conflicts > 0 {
            jobs.truncate(SPREAD << self.conflicts.min(CONFLICT_DOUBLINGS));
            jobs.sort_by_key(|(id, _)| hash::stable(&[&self.settings.daemon, id]));
        }
        jobs.first().map(|(id, _)| (*id).clone())
    }

    fn claim_from(&mut self, deployment: &str, id: &str, epoch: u64) {
        let Some(view) = self.views.get(id) else { return };
        let mut job = view.row.clone();
        let key = job_key(id);
        let transaction = Transaction::new().with_condition(&*key, view.version);
        let number = match job.returned.pop() {
            Some(number) => number,
            None => {
                job.next += 1;
                job.next - 1
            }
        };
        let chunk = ChunkId { job: id.to_owned(), number };
        if view.row.returned.is_empty() {
            let row = self.fresh_row(epoch);
            self.send_claim(deployment, chunk, row, job, transaction, 0);
        } else {
            // The row of a returned chunk must be read first.
            let row = self.fresh_row(epoch);
            let kind = Kind::Claim { deployment: deployment.to_owned(), job };
            if let Some(listing) = self.listings.get_mut(deployment) {
                listing.claiming = true;
            }
            self.resolve(Box::new(Write { chunk, row, kind }));
        }
    }

    fn fresh_row(&self, epoch: u64) -> Chunk {
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
            listing.claiming = true;
        }
        let kind = Kind::Claim { deployment: deployment.to_owned(), job };
        self.write(transaction, Write { chunk, row, kind });
    }

    /// Whether a transaction on this chunk is in flight.
    pub(super) fn writing(&self, id: &ChunkId) -> bool {
        let this = |pending: &Pending| match pending {
            Pending::Write(write) | Pending::Resolve(write) => write.chunk == *id,
            _ => false,
        };
        self.calls.values().any(this) || self.unresolved.iter().any(|(_, write)| write.chunk == *id)
    }

    /// Whether a transaction on the row of this job is in flight; another one would conflict.
    pub(super) fn writing_job(&self, job: &str) -> bool {
        let this = |write: &Write| {
            write.chunk.job == job && matches!(write.kind, Kind::Claim { .. } | Kind::Commit { .. })
        };
        self.unresolved.iter().any(|(_, write)| this(write))
            || self.calls.values().any(|pending| match pending {
                Pending::Write(write) | Pending::Resolve(write) => this(write),
                _ => false,
            })
    }

    pub(super) fn write(&mut self, transaction: Transaction, write: Write) {
        if let Some(held) = self.held.get_mut(&write.chunk) {
            held.busy = true;
        }
        self.call(Call::Commit(transaction), Pending::Write(Box::new(write)));
    }

    /// Reads the rows that a transaction touched.
    pub(super) fn resolve(&mut self, write: Box<Write>) {
        let mut keys = vec![write.chunk.key(), job_key(&write.chunk.job)];
        if let Kind::Commit { rest: Some((rest, _)), .. } = &write.kind {
            keys.push(rest.key());
        }
        self.call(Call::Read(keys), Pending::Resolve(write));
    }

    pub(super) fn wrote(&mut self, write: Box<Write>, reply: Reply) {
        match reply {
            Reply::Done(versions) => {
                let version = |key: &str| versions.get(key).copied();
                let chunk = version(&write.chunk.key()).unwrap_or_default();
                let job = version(&job_key(&write.chunk.job));
                self.applied(*write, chunk, job, &versions);
            }
            Reply::Failed => self.not_applied(*write, true),
            Reply::Conflict(rows) => self.conflicted(write, rows),
            Reply::Unknown | Reply::Rows(_) => self.resolve(write),
        }
    }

    /// Another daemon changed a row. When the conflict shows the job's row, and no row that this
    /// daemon may have written, nothing needs to be read.
    fn conflicted(&mut self, write: Box<Write>, rows: Vec<Option<Row>>) {
        let (job, chunk) = (job_key(&write.chunk.job), write.chunk.key());
        let rows = Reply::Conflict(rows).rows();
        let claim = matches!(write.kind, Kind::Claim { .. });
        let foreign = rows
            .get(&chunk)
            .is_none_or(|row| claim && row.decode::<Chunk>().as_ref() != Some(&write.row));
        match rows.get(&job).filter(|_| foreign) {
            Some(row) => {
                self.saw_job(row);
                self.not_applied(*write, false);
            }
            None => self.resolve(write),
        }
    }

    pub(super) fn resolved(&mut self, write: Box<Write>, reply: Reply) {
        if !matches!(reply, Reply::Rows(_)) {
            self.unresolved.push((self.now + self.backoff, write));
            return;
        }
        let rows = reply.rows();
        if let Some(row) = rows.get(&job_key(&write.chunk.job)) {
            self.saw_job(row);
        }
        let current = rows.get(&write.chunk.key());
        let (version, chunk) = match current {
            Some(row) => (row.version, row.decode::<Chunk>()),
            None => (0, None),
        };
        if chunk.as_ref() == Some(&write.row) {
            let mut versions = BTreeMap::new();
            // The rest may have been taken over since; then it has another row.
            if let Kind::Commit { rest: Some((rest, expected)), .. } = &write.kind
                && let Some(row) = rows.get(&rest.key())
                && row.decode::<Chunk>().as_ref() == Some(expected)
            {
                versions.insert(rest.key(), row.version);
            }
            self.applied(*write, version, None, &versions);
        } else if let (Kind::Claim { deployment, .. }, Some(chunk)) = (&write.kind, &chunk)
            && chunk.state == ChunkState::Returned
        {
            let deployment = deployment.clone();
            self.claim_returned(&deployment, write.chunk, version, chunk);
        } else if self.held.get(&write.chunk).is_some_and(|held| held.version != version) {
            self.drop_chunk(&write.chunk);
        } else {
            self.not_applied(*write, false);
        }
    }

    /// Claims a chunk that was handed back and whose row is now known.
    fn claim_returned(&mut self, deployment: &str, id: ChunkId, version: u64, row: &Chunk) {
        if let Some(listing) = self.listings.get_mut(deployment) {
            listing.claiming = false;
        }
        let Some(epoch) = self.lease.epoch.filter(|_| self.leased_now()) else { return };
        let Some(view) = self.views.get(&id.job) else { return };
        let place = view.row.returned.iter().position(|number| *number == id.number);
        let Some(place) = place else { return };
        if view.row.state != State::Open || self.drain.is_some() {
            return;
        }
        let mut job = view.row.clone();
        job.returned.remove(place);
        let transaction = Transaction::new().with_condition(job_key(&id.job), view.version);
        // A chunk that was handed back did not kill its holder, so its claims stay.
        let row = Chunk { claims: row.claims, ..self.taken(row, epoch) };
        self.send_claim(deployment, id, row, job, transaction, version);
    }

    fn not_applied(&mut self, write: Write, failed: bool) {
        let Write { chunk, kind, .. } = write;
        let conflicts = match &kind {
            Kind::Claim { .. } => {
                self.conflicts += u32::from(!failed);
                self.conflicts
            }
            _ => self.held.get_mut(&chunk).map_or(0, |held| {
                held.conflicts += u32::from(!failed);
                held.conflicts
            }),
        };
        let delay = match failed {
            true => self.backoff,
            // The conflict showed the newest row, so one more try is likely to succeed.
            false if conflicts <= 1 => Duration::ZERO,
            false => {
                self.outdate(&chunk.job);
                self.conflict_delay(conflicts)
            }
        };
        match kind {
            Kind::Claim { deployment, .. } => {
                self.claim_after = self.now + delay;
                if let Some(listing) = self.listings.get_mut(&deployment) {
                    listing.claiming = false;
                }
            }
            Kind::Takeover => {
                self.suspects.remove(&chunk);
            }
            Kind::Mark | Kind::Commit { .. } => {
                if let Some(held) = self.held.get_mut(&chunk) {
                    held.busy = false;
                    held.retry_at = self.now + delay;
                }
            }
        }
    }

    /// Delay after a number of conflicts in a row, different from daemon to daemon.
    fn conflict_delay(&self, conflicts: u32) -> Duration {
        let most = CONFLICT_DELAY * (1 << conflicts.min(CONFLICT_DOUBLINGS));
        let hash = hash::stable(&[&self.settings.daemon, &self.next_call.to_string()]);
        Duration::from_micros(hash % u64::try_from(most.as_micros()).unwrap_or(u64::MAX))
    }

    fn applied(
        &mut self,
        write: Write,
        version: u64,
        job_version: Option<u64>,
        versions: &BTreeMap<String, u64>,
    ) {
        let Write { chunk: id, row, kind } = write;
        match kind {
            Kind::Claim { deployment, job } => {
                if let Some(listing) = self.listings.get_mut(&deployment) {
                    listing.claiming = false;
                }
                self.conflicts = 0;
                let items = row.items.clone().unwrap_or_else(|| job.items_of(id.number));
                let weight = self.weights.get(&job.client).copied().unwrap_or(1).max(1);
                #[expect(
                    clippy::cast_precision_loss,
                    reason = "chunks have at most thousands of items"
                )]
                let service = items.len() as f64 / f64::from(weight);
                *self.service.entry(job.client.clone()).or_default() += service;
                self.set_job(&id.job, job, job_version);
                self.note(Note::Claimed { chunk: id.clone(), fence: row.fence });
                self.hold(id, version, row, items);
            }
            Kind::Takeover => {
                let suspect = self.suspects.remove(&id);
                let holder = suspect.map(|suspect| suspect.row.holder).unwrap_or_default();
                self.note(Note::TakenOver { chunk: id.clone(), fence: row.fence, holder });
                let job = self.views.get(&id.job).map(|view| view.row.items_of(id.number));
                let items = row.items.clone().or(job).unwrap_or_default();
                self.hold(id, version, row, items);
            }
            Kind::Mark => self.marked(&id, version, row),
            Kind::Commit { cut, job, rest } => {
                self.note_commit(&id, &cut, &job);
                self.set_job(&id.job, job, job_version);
                let rest = rest.map(|(id, row)| {
                    let version = versions.get(&id.key()).copied().unwrap_or_default();
                    (id, version, row)
                });
                self.committed(&id, &cut, rest);
            }
        }
    }

    fn hold(&mut self, id: ChunkId, version: u64, row: Chunk, items: Vec<u32>) {
        if self.lease.superseded {
            return;
        }
        let held = Held::new(self.now, version, row, items);
        self.held.insert(id.clone(), held);
        self.load(&id);
    }

    /// Delay after failures of the platform; zero while it answers.
    pub(super) fn failure_delay(&self) -> Duration {
        if self.backoff > BACKOFF_MIN { self.backoff } else { Duration::ZERO }
    }
}
