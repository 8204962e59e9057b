//! Reading open jobs, the own jobs, and the chunks of other daemons.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{ChunkId, Dispatch, Pending};
use crate::{
    job::row::{Chunk, ChunkState, Job, State, chunk_prefix, job_key, open_id, open_prefix},
    lease,
    store::{Call, Reply, Row},
    time::Time,
};

/// Rows of a job's chunks in one page.
const CHUNK_PAGE: usize = 256;

/// Time between two listings of a deployment whose streams have enough items.
const BUSY_PERIOD: Duration = Duration::from_secs(5);

/// Age up to which a job's row is used for a transaction without reading it again. A conflict costs
/// a write, and the table takes fewer writes than reads.
const FRESH: Duration = Duration::from_millis(250);

/// The open jobs of a deployment.
#[derive(Clone, Debug, Default)]
pub(super) struct Listing {
    listed_at: Option<Time>,
    /// Key after which the next page of open jobs starts.
    after: String,
    /// Jobs of the last page in order of due time, and jobs of notices since.
    pub listed: Vec<String>,
    /// Job whose chunks were read last.
    scanned: Option<String>,
    /// Whether a claim is in flight.
    pub claiming: bool,
    /// Whether streams lacked items at any time since the last listing.
    pub lacking: bool,
}

/// A job as last seen.
#[derive(Clone, Debug)]
pub(super) struct View {
    pub version: u64,
    pub row: Job,
    seen: Time,
    /// Key of the chunk after which the next page of chunks starts.
    after: String,
}

/// A chunk of another holder.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    pub version: u64,
    pub row: Chunk,
    /// Whether a takeover is in flight.
    pub taking: bool,
    /// When this daemon takes it over, once its holder counts as gone.
    pub not_before: Option<Time>,
}

impl Dispatch {
    /// Lists one deployment in turn and reads the own jobs, when that is due.
    pub(super) fn poll(&mut self) {
        if self.polling || self.now < self.poll_next {
            return;
        }
        self.poll_next = self.now + self.settings.poll.max(self.failure_delay());
        self.polling = true;
        let Some(deployment) = self.turn() else { return self.read_rows(None) };
        let Some(listing) = self.listings.get_mut(&deployment) else { return };
        listing.listed_at = Some(self.now);
        let (prefix, after) = (open_prefix(&deployment), listing.after.clone());
        let limit = self.settings.page;
        self.call(Call::Scan { prefix, after, limit }, Pending::Page(deployment));
    }

    /// The deployment that is listed next. One listing in each poll keeps the reads of a daemon
    /// independent of the number of deployments.
    fn turn(&self) -> Option<String> {
        if self.drain.is_some() {
            return None;
        }
        let due = |listing: &Listing| match listing.listed_at {
            Some(listed) if listing.lacking => listed,
            Some(listed) => listed + BUSY_PERIOD,
            None => Time::default(),
        };
        let with_streams = self.listings.iter().filter(|(name, _)| self.streams(name) > 0);
        let next = with_streams.min_by_key(|(_, listing)| due(listing));
        next.filter(|(_, listing)| due(listing) <= self.now).map(|(name, _)| name.clone())
    }

    pub(super) fn paged(&mut self, deployment: &str, reply: Reply) {
        let Reply::Rows(rows) = reply else {
            self.polling = false;
            return;
        };
        let rows: Vec<_> = rows.into_iter().flatten().collect();
        let full = rows.len() >= self.settings.page;
        if let Some(listing) = self.listings.get_mut(deployment) {
            listing.after = match rows.last() {
                Some(last) if full => last.key.clone(),
                _ => String::new(),
            };
            listing.listed =
                rows.iter().filter_map(|row| open_id(&row.key).map(str::to_owned)).collect();
        }
        self.read_rows(Some(deployment));
    }

    /// Reads the rows of held and newly listed jobs, and of the observed daemons.
    fn read_rows(&mut self, deployment: Option<&str>) {
        let mut jobs: BTreeSet<_> = self.held.keys().map(|id| id.job.clone()).collect();
        if let Some(listing) = deployment.and_then(|name| self.listings.get(name)) {
            let unknown = listing.listed.iter().filter(|job| !self.views.contains_key(*job));
            jobs.extend(unknown.cloned());
        }
        jobs.extend(deployment.and_then(|name| self.next_exhausted(name)));
        let mut keys: Vec<_> = jobs.iter().map(|job| job_key(job)).collect();
        let holders: BTreeSet<_> =
            self.suspects.values().map(|suspect| suspect.row.holder.clone()).collect();
        self.observer.retain(|daemon| holders.contains(daemon));
        keys.extend(holders.iter().map(|daemon| lease::key(daemon)));
        let deployment = deployment.map(str::to_owned);
        if keys.is_empty() {
            return self.polled(deployment);
        }
        self.call(Call::Read(keys), Pending::Rows(deployment));
    }

    pub(super) fn rows(&mut self, deployment: Option<String>, sent: Time, reply: Reply) {
        let Reply::Rows(rows) = reply else {
            self.polling = false;
            return;
        };
        let rows = Reply::Rows(rows).rows();
        for row in rows.values().filter(|row| row.key.starts_with("job/")) {
            self.saw_job(row);
        }
        let holders: BTreeSet<_> =
            self.suspects.values().map(|suspect| suspect.row.holder.clone()).collect();
        for holder in holders {
            self.observer.record_read(sent, self.now, &holder, rows.get(&lease::key(&holder)));
        }
        self.polled(deployment);
    }

    /// Ends a poll, and reads the chunks of a job if streams lacked items.
    fn polled(&mut self, deployment: Option<String>) {
        self.polling = false;
        self.forget_views();
        let leased = self.leased_now();
        let Some(deployment) = deployment else { return };
        let Some(listing) = self.listings.get_mut(&deployment) else { return };
        if std::mem::take(&mut listing.lacking) && leased {
            self.scan_chunks(deployment);
        }
    }

    /// Takes over the row of a job unless a newer one is known.
    pub(super) fn saw_job(&mut self, row: &Row) {
        let (Some(id), Some(job)) = (row.key.strip_prefix("job/"), row.decode::<Job>()) else {
            return;
        };
        let seen = self.now;
        match self.views.get_mut(id) {
            Some(view) if view.version > row.version => {}
            Some(view) => (view.version, view.row, view.seen) = (row.version, job, seen),
            None => {
                let view = View { version: row.version, row: job, seen, after: String::new() };
                self.views.insert(id.to_owned(), view);
            }
        }
    }

    /// Takes over the row that an own transaction left behind.
    pub(super) fn set_job(&mut self, id: &str, job: Job, version: Option<u64>) {
        if let (Some(version), Some(view)) = (version, self.views.get_mut(id))
            && view.version < version
        {
            (view.version, view.row, view.seen) = (version, job, self.now);
        }
    }

    /// Whether the row of a job was seen a moment ago; reads it otherwise.
    pub(super) fn fresh(&mut self, job: &str) -> bool {
        if self.views.get(job).is_some_and(|view| self.now.since(view.seen) <= FRESH) {
            return true;
        }
        if self.now >= self.refresh_after && self.refreshing.insert(job.to_owned()) {
            self.call(Call::Read(vec![job_key(job)]), Pending::Refresh(job.to_owned()));
        }
        false
    }

    /// Lets the row of a job be read again before the next transaction.
    pub(super) fn outdate(&mut self, job: &str) {
        if let Some(view) = self.views.get_mut(job) {
            view.seen = Time::default();
        }
    }

    pub(super) fn refreshed(&mut self, job: &str, reply: Reply) {
        self.refreshing.remove(job);
        let Reply::Rows(rows) = reply else {
            self.refresh_after = self.now + self.backoff;
            return;
        };
        for row in Reply::Rows(rows).rows().values() {
            self.saw_job(row);
        }
        // A job of a notice is claimed without waiting for the next listing.
        let Some(view) = self.views.get(job) else { return };
        if let Some(listing) = self.listings.get_mut(&view.row.deployment)
            && !listing.listed.iter().any(|listed| listed == job)
        {
            listing.listed.push(job.to_owned());
        }
    }

    /// Reads a job that was accepted or cancelled just now.
    pub(super) fn notice(&mut self, job: &str) {
        let used = self.held.keys().any(|id| id.job == job)
            || self.listings.keys().any(|name| self.streams(name) > 0);
        if used && self.refreshing.insert(job.to_owned()) {
            self.call(Call::Read(vec![job_key(job)]), Pending::Refresh(job.to_owned()));
        }
    }

    /// Forgets jobs that are neither listed nor held.
    fn forget_views(&mut self) {
        let held: BTreeSet<_> = self.held.keys().map(|id| &id.job).collect();
        let listed: BTreeSet<_> = self.listings.values().flat_map(|list| &list.listed).collect();
        self.views.retain(|id, view| {
            held.contains(id) || (listed.contains(id) && view.row.state == State::Open)
        });
        let views = &self.views;
        self.suspects.retain(|id, _| views.contains_key(&id.job));
    }

    /// The next listed job in turn that has nothing to claim, but unfinished chunks of others.
    fn next_exhausted(&self, deployment: &str) -> Option<String> {
        let listing = self.listings.get(deployment).filter(|listing| listing.lacking)?;
        let exhausted = |id: &&String| {
            self.views.get(*id).is_some_and(|view| {
                let own = self.held.keys().filter(|held| held.job == **id).count();
                let foreign = (view.row.chunks - view.row.done) as usize > own;
                view.row.state == State::Open && !view.row.claimable() && foreign
            })
        };
        let candidates: BTreeSet<&String> = listing.listed.iter().filter(exhausted).collect();
        let last = listing.scanned.as_ref();
        let next = candidates.iter().find(|id| Some(**id) > last).copied();
        next.or(candidates.first().copied()).cloned()
    }

    /// Reads chunks of a job that has none to claim, one job in turn.
    fn scan_chunks(&mut self, deployment: String) {
        if let Some(listing) = self.listings.get_mut(&deployment) {
            listing.lacking = true;
        }
        let job = self.next_exhausted(&deployment);
        let Some(listing) = self.listings.get_mut(&deployment) else { return };
        listing.lacking = false;
        let claimable = |id: &String| self.views.get(id).is_some_and(|view| view.row.claimable());
        if listing.listed.iter().any(claimable) {
            listing.after.clear();
        }
        let Some(job) = job else { return };
        listing.scanned = Some(job.clone());
        let after = self.views.get(&job).map(|view| view.after.clone()).unwrap_or_default();
        let request =
            Call::Scan { prefix: chunk_prefix(&job), after: after.clone(), limit: CHUNK_PAGE };
        self.call(request, Pending::Chunks { job, after });
    }

    pub(super) fn chunks(&mut self, job: &str, after: &str, reply: Reply) {
        let Reply::Rows(rows) = reply else { return };
        let rows: Vec<_> = rows.into_iter().flatten().collect();
        let last = rows.last().filter(|_| rows.len() >= CHUNK_PAGE).map(|row| row.key.clone());
        let mut seen = BTreeMap::new();
        for row in &rows {
            let number = row.key.rsplit('/').next().and_then(|number| number.parse().ok());
            let (Some(number), Some(chunk)) = (number, row.decode::<Chunk>()) else { continue };
            if chunk.state == ChunkState::Held {
                let id = ChunkId { job: job.to_owned(), number };
                seen.insert(
                    id,
                    Suspect { version: row.version, row: chunk, taking: false, not_before: None },
                );
            }
        }
        if let Some(view) = self.views.get_mut(job) {
            view.after = last.clone().unwrap_or_default();
        }
        let covered = |key: &str| key > after && last.as_deref().is_none_or(|last| key <= last);
        // Chunks that have changed since are looked at anew; the others keep their times.
        self.suspects.retain(|id, suspect| {
            let same = |seen: &Suspect| seen.version == suspect.version;
            id.job != job || suspect.taking || !covered(&id.key()) || seen.get(id).is_some_and(same)
        });
        for (id, suspect) in seen {
            let own = self.held.contains_key(&id) || self.writing(&id);
            if !own {
                self.suspects.entry(id).or_insert(suspect);
            }
        }
    }
}
