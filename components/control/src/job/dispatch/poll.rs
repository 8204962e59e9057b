//! Polling of the table for open jobs, the jobs of held chunks, and chunks to take over.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{ChunkId, Dispatch, PendingCall};
use crate::{
    job::row::{
        Chunk, ChunkState, Job, State, chunk_prefix, job_key, job_of_open_key, open_prefix,
    },
    lease,
    store::{Call, Reply, Row},
    time::Time,
};

/// Maximum number of chunk rows in one page of a listing.
const CHUNK_PAGE_ROWS: usize = 256;

/// Time between two listings of the open jobs of a deployment that has enough items for its
/// streams.
const BUSY_LISTING_PERIOD: Duration = Duration::from_secs(5);

/// Maximum age of a cached job row that a transaction is conditional on; an older one is read again
/// first. A conflict costs a write, and the table sustains fewer writes than reads.
const JOB_ROW_MAX_AGE: Duration = Duration::from_millis(250);

/// Listing of the open jobs of a deployment.
#[derive(Clone, Debug, Default)]
pub(super) struct Listing {
    listed_at: Option<Time>,
    /// Row key after which the next page of open jobs starts; empty for the first page.
    cursor: String,
    /// Jobs of the last page in order of their due time, followed by jobs from notices received
    /// since.
    pub jobs: Vec<String>,
    /// Job whose chunks were listed last.
    last_scanned_job: Option<String>,
    pub claim_in_flight: bool,
    /// Whether there were too few items for the streams at any time since the last listing.
    pub short_of_items: bool,
}

/// The latest known row of a job.
#[derive(Clone, Debug)]
pub(super) struct CachedJob {
    pub version: u64,
    pub row: Job,
    read_at: Time,
    /// Row key after which the next page of the job's chunks starts; empty for the first page.
    chunk_cursor: String,
}

/// A chunk that this daemon does not hold and takes over once the lease of its holder has ended.
#[derive(Clone, Debug)]
pub(super) struct TakeoverCandidate {
    pub version: u64,
    pub row: Chunk,
    /// Whether a read or a transaction of a takeover is in flight.
    pub takeover_in_flight: bool,
    /// Earliest time of the takeover; set when the lease of the holder is found to have ended.
    pub not_before: Option<Time>,
}

impl Dispatch {
    /// Starts a poll when it is due: lists the open jobs of one deployment and then reads the rows
    /// of jobs and holders.
    pub(super) fn poll(&mut self) {
        if self.poll_in_flight || self.now < self.next_poll_at {
            return;
        }
        self.next_poll_at = self.now + self.settings.poll_period.max(self.failure_delay());
        self.poll_in_flight = true;
        let Some(deployment) = self.next_listing() else { return self.read_rows(None) };
        let Some(listing) = self.listings.get_mut(&deployment) else { return };
        listing.listed_at = Some(self.now);
        let (prefix, after) = (open_prefix(&deployment), listing.cursor.clone());
        let limit = self.settings.page_size;
        self.call(Call::Scan { prefix, after, limit }, PendingCall::ListOpenJobs(deployment));
    }

    /// Returns the deployment whose open jobs are listed next, if any is due. A poll lists a single
    /// deployment so that the read rate of a daemon does not grow with the number of deployments.
    fn next_listing(&self) -> Option<String> {
        if self.drain_until.is_some() {
            return None;
        }
        let due = |listing: &Listing| match listing.listed_at {
            Some(listed) if listing.short_of_items => listed,
            Some(listed) => listed + BUSY_LISTING_PERIOD,
            None => Time::default(),
        };
        let with_streams = self.listings.iter().filter(|(name, _)| self.usable_streams(name) > 0);
        let next = with_streams.min_by_key(|(_, listing)| due(listing));
        next.filter(|(_, listing)| due(listing) <= self.now).map(|(name, _)| name.clone())
    }

    pub(super) fn open_jobs_listed(&mut self, deployment: &str, reply: Reply) {
        let Reply::Rows(rows) = reply else {
            self.poll_in_flight = false;
            return;
        };
        let rows: Vec<_> = rows.into_iter().flatten().collect();
        let full = rows.len() >= self.settings.page_size;
        if let Some(listing) = self.listings.get_mut(deployment) {
            listing.cursor = match rows.last() {
                Some(last) if full => last.key.clone(),
                _ => String::new(),
            };
            listing.jobs = rows
                .iter()
                .filter_map(|row| job_of_open_key(&row.key).map(str::to_owned))
                .collect();
        }
        self.read_rows(Some(deployment));
    }

    /// Reads the rows of held and newly listed jobs, and the lease rows of the holders of takeover
    /// candidates.
    fn read_rows(&mut self, deployment: Option<&str>) {
        let mut jobs: BTreeSet<_> = self.held.keys().map(|id| id.job.clone()).collect();
        if let Some(listing) = deployment.and_then(|name| self.listings.get(name)) {
            let unknown = listing.jobs.iter().filter(|job| !self.jobs.contains_key(*job));
            jobs.extend(unknown.cloned());
        }
        jobs.extend(deployment.and_then(|name| self.next_exhausted_job(name)));
        let mut keys: Vec<_> = jobs.iter().map(|job| job_key(job)).collect();
        let holders: BTreeSet<_> = self
            .takeover_candidates
            .values()
            .map(|candidate| candidate.row.holder.clone())
            .collect();
        self.observer.retain(|daemon| holders.contains(daemon));
        keys.extend(holders.iter().map(|daemon| lease::key(daemon)));
        let deployment = deployment.map(str::to_owned);
        if keys.is_empty() {
            return self.finish_poll(deployment);
        }
        self.call(Call::Read(keys), PendingCall::ReadJobsAndLeases(deployment));
    }

    pub(super) fn jobs_and_leases_read(
        &mut self,
        deployment: Option<String>,
        sent: Time,
        reply: Reply,
    ) {
        let Reply::Rows(rows) = reply else {
            self.poll_in_flight = false;
            return;
        };
        let rows = Reply::Rows(rows).rows();
        for row in rows.values().filter(|row| row.key.starts_with("job/")) {
            self.cache_job(row);
        }
        let holders: BTreeSet<_> = self
            .takeover_candidates
            .values()
            .map(|candidate| candidate.row.holder.clone())
            .collect();
        for holder in holders {
            self.observer.record_read(sent, self.now, &holder, rows.get(&lease::key(&holder)));
        }
        self.finish_poll(deployment);
    }

    /// Finishes a poll, and lists the chunks of a job if there were too few items for the streams.
    fn finish_poll(&mut self, deployment: Option<String>) {
        self.poll_in_flight = false;
        self.evict_jobs();
        let leased = self.holds_lease();
        let Some(deployment) = deployment else { return };
        let Some(listing) = self.listings.get_mut(&deployment) else { return };
        if std::mem::take(&mut listing.short_of_items) && leased {
            self.list_chunks(deployment);
        }
    }

    /// Caches the row of a job unless a newer version is cached.
    pub(super) fn cache_job(&mut self, row: &Row) {
        let (Some(id), Some(job)) = (row.key.strip_prefix("job/"), row.decode::<Job>()) else {
            return;
        };
        let read_at = self.now;
        match self.jobs.get_mut(id) {
            Some(cached) if cached.version > row.version => {}
            Some(cached) => {
                (cached.version, cached.row, cached.read_at) = (row.version, job, read_at)
            }
            None => {
                let cached = CachedJob {
                    version: row.version,
                    row: job,
                    read_at,
                    chunk_cursor: String::new(),
                };
                self.jobs.insert(id.to_owned(), cached);
            }
        }
    }

    /// Caches the job row that a transaction of this daemon wrote.
    pub(super) fn cache_written_job(&mut self, id: &str, job: Job, version: Option<u64>) {
        if let (Some(version), Some(cached)) = (version, self.jobs.get_mut(id))
            && cached.version < version
        {
            (cached.version, cached.row, cached.read_at) = (version, job, self.now);
        }
    }

    /// Returns whether the cached row of a job is at most [`JOB_ROW_MAX_AGE`] old; starts reading
    /// it otherwise.
    pub(super) fn ensure_job_current(&mut self, job: &str) -> bool {
        if self
            .jobs
            .get(job)
            .is_some_and(|cached| self.now.since(cached.read_at) <= JOB_ROW_MAX_AGE)
        {
            return true;
        }
        if self.now >= self.refresh_not_before && self.refreshing_jobs.insert(job.to_owned()) {
            self.call(Call::Read(vec![job_key(job)]), PendingCall::RefreshJob(job.to_owned()));
        }
        false
    }

    /// Marks the cached row of a job as outdated, so that it is read before the next transaction.
    pub(super) fn invalidate_job(&mut self, job: &str) {
        if let Some(cached) = self.jobs.get_mut(job) {
            cached.read_at = Time::default();
        }
    }

    pub(super) fn job_refreshed(&mut self, job: &str, reply: Reply) {
        self.refreshing_jobs.remove(job);
        let Reply::Rows(rows) = reply else {
            self.refresh_not_before = self.now + self.backoff;
            return;
        };
        for row in Reply::Rows(rows).rows().values() {
            self.cache_job(row);
        }
        // A job from a notice can be claimed without waiting for the next listing.
        let Some(cached) = self.jobs.get(job) else { return };
        if let Some(listing) = self.listings.get_mut(&cached.row.deployment)
            && !listing.jobs.iter().any(|listed| listed == job)
        {
            listing.jobs.push(job.to_owned());
        }
    }

    /// Reads the row of a job that was just accepted or cancelled, if this daemon holds chunks of
    /// the job or has any streams.
    pub(super) fn handle_notice(&mut self, job: &str) {
        let relevant = self.held.keys().any(|id| id.job == job)
            || self.listings.keys().any(|name| self.usable_streams(name) > 0);
        if relevant && self.refreshing_jobs.insert(job.to_owned()) {
            self.call(Call::Read(vec![job_key(job)]), PendingCall::RefreshJob(job.to_owned()));
        }
    }

    /// Evicts cached jobs that are neither held nor listed as open, and their takeover candidates.
    fn evict_jobs(&mut self) {
        let held: BTreeSet<_> = self.held.keys().map(|id| &id.job).collect();
        let listed: BTreeSet<_> =
            self.listings.values().flat_map(|listing| &listing.jobs).collect();
        self.jobs.retain(|id, cached| {
            held.contains(id) || (listed.contains(id) && cached.row.state == State::Open)
        });
        let jobs = &self.jobs;
        self.takeover_candidates.retain(|id, _| jobs.contains_key(&id.job));
    }

    /// Returns the next listed job, in round-robin order, that has no claimable chunk but
    /// unfinished chunks that this daemon does not hold.
    fn next_exhausted_job(&self, deployment: &str) -> Option<String> {
        let listing = self.listings.get(deployment).filter(|listing| listing.short_of_items)?;
        let exhausted = |id: &&String| {
            self.jobs.get(*id).is_some_and(|cached| {
                let own = self.held.keys().filter(|held| held.job == **id).count();
                let others = (cached.row.chunks - cached.row.done) as usize > own;
                cached.row.state == State::Open && !cached.row.claimable() && others
            })
        };
        let candidates: BTreeSet<&String> = listing.jobs.iter().filter(exhausted).collect();
        let last = listing.last_scanned_job.as_ref();
        let next = candidates.iter().find(|id| Some(**id) > last).copied();
        next.or(candidates.first().copied()).cloned()
    }

    /// Lists a page of the chunks of the next job that has none to claim.
    fn list_chunks(&mut self, deployment: String) {
        // `next_exhausted_job` skips listings without this flag, and `finish_poll` has just cleared
        // it.
        if let Some(listing) = self.listings.get_mut(&deployment) {
            listing.short_of_items = true;
        }
        let job = self.next_exhausted_job(&deployment);
        let Some(listing) = self.listings.get_mut(&deployment) else { return };
        listing.short_of_items = false;
        let claimable =
            |id: &String| self.jobs.get(id).is_some_and(|cached| cached.row.claimable());
        if listing.jobs.iter().any(claimable) {
            listing.cursor.clear();
        }
        let Some(job) = job else { return };
        listing.last_scanned_job = Some(job.clone());
        let after =
            self.jobs.get(&job).map(|cached| cached.chunk_cursor.clone()).unwrap_or_default();
        let request =
            Call::Scan { prefix: chunk_prefix(&job), after: after.clone(), limit: CHUNK_PAGE_ROWS };
        self.call(request, PendingCall::ListChunks { job, after });
    }

    pub(super) fn chunks_listed(&mut self, job: &str, after: &str, reply: Reply) {
        let Reply::Rows(rows) = reply else { return };
        let rows: Vec<_> = rows.into_iter().flatten().collect();
        let last = rows.last().filter(|_| rows.len() >= CHUNK_PAGE_ROWS).map(|row| row.key.clone());
        let mut listed = BTreeMap::new();
        for row in &rows {
            let number = row.key.rsplit('/').next().and_then(|number| number.parse().ok());
            let (Some(number), Some(chunk)) = (number, row.decode::<Chunk>()) else { continue };
            if chunk.state == ChunkState::Held {
                let id = ChunkId { job: job.to_owned(), number };
                listed.insert(
                    id,
                    TakeoverCandidate {
                        version: row.version,
                        row: chunk,
                        takeover_in_flight: false,
                        not_before: None,
                    },
                );
            }
        }
        if let Some(cached) = self.jobs.get_mut(job) {
            cached.chunk_cursor = last.clone().unwrap_or_default();
        }
        let in_page = |key: &str| key > after && last.as_deref().is_none_or(|last| key <= last);
        // Candidates whose row has changed are replaced; the others keep their takeover time.
        self.takeover_candidates.retain(|id, candidate| {
            let unchanged = |listed: &TakeoverCandidate| listed.version == candidate.version;
            id.job != job
                || candidate.takeover_in_flight
                || !in_page(&id.key())
                || listed.get(id).is_some_and(unchanged)
        });
        for (id, candidate) in listed {
            let own = self.held.contains_key(&id) || self.is_writing_chunk(&id);
            if !own {
                self.takeover_candidates.entry(id).or_insert(candidate);
            }
        }
    }
}
