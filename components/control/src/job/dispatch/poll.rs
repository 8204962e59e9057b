//! Reading open jobs, the own jobs, and the chunks of other daemons.

use std::collections::{BTreeMap, BTreeSet};

use super::{ChunkId, Dispatch, Pending};
use crate::{
    job::row::{Chunk, ChunkState, Job, State, chunk_prefix, job_key, open_id, open_prefix},
    lease,
    store::{Call, Reply, Row},
    time::Time,
};

/// Rows of a job's chunks in one page.
const CHUNK_PAGE: usize = 256;

/// Reading of a deployment's jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct Poll {
    next: Time,
    in_flight: bool,
    /// Key after which the next page of open jobs starts.
    after: String,
    /// Jobs of the last page in order of due time.
    pub listed: Vec<String>,
    /// Job whose chunks were read last.
    scanned: Option<String>,
    /// Whether a claim is in flight.
    pub claiming: bool,
    /// Whether streams lacked items at any time since the last poll.
    pub lacking: bool,
}

/// A job as last seen.
#[derive(Clone, Debug)]
pub(super) struct View {
    pub version: u64,
    pub row: Job,
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
}

impl Dispatch {
    /// Starts the polls that are due.
    pub(super) fn poll(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .polls
            .iter()
            .filter(|(_, poll)| !poll.in_flight && now >= poll.next)
            .map(|(deployment, _)| deployment.clone())
            .collect();
        for deployment in due {
            // A daemon that has enough items at this moment needs to know of new jobs, too.
            let wants = self.drain.is_none() && self.streams(&deployment) > 0;
            let period = self.settings.poll.max(self.failure_delay());
            let Some(poll) = self.polls.get_mut(&deployment) else { continue };
            poll.next = now + period;
            poll.in_flight = true;
            if wants {
                let (prefix, after) = (open_prefix(&deployment), poll.after.clone());
                let limit = self.settings.page;
                self.call(Call::Scan { prefix, after, limit }, Pending::Page(deployment));
            } else {
                self.read_rows(&deployment);
            }
        }
    }

    pub(super) fn paged(&mut self, deployment: &str, reply: Reply) {
        let Reply::Rows(rows) = reply else { return self.polled(deployment) };
        let rows: Vec<_> = rows.into_iter().flatten().collect();
        let full = rows.len() >= self.settings.page;
        if let Some(poll) = self.polls.get_mut(deployment) {
            poll.after = match rows.last() {
                Some(last) if full => last.key.clone(),
                _ => String::new(),
            };
            poll.listed =
                rows.iter().filter_map(|row| open_id(&row.key).map(str::to_owned)).collect();
        }
        self.read_rows(deployment);
    }

    /// Reads the rows of the listed and held jobs and of the observed daemons.
    fn read_rows(&mut self, deployment: &str) {
        let listed = self.polls.get(deployment).map(|poll| poll.listed.clone()).unwrap_or_default();
        let own = |id: &&ChunkId| {
            self.views.get(&id.job).is_none_or(|view| view.row.deployment == deployment)
        };
        let mut jobs: BTreeSet<_> = self.held.keys().filter(own).map(|id| id.job.clone()).collect();
        if self.drain.is_none() && self.streams(deployment) > 0 {
            jobs.extend(listed);
        }
        let mut keys: Vec<_> = jobs.iter().map(|job| job_key(job)).collect();
        let holders: BTreeSet<_> =
            self.suspects.values().map(|suspect| suspect.row.holder.clone()).collect();
        self.observer.retain(|daemon| holders.contains(daemon));
        keys.extend(holders.iter().map(|daemon| lease::key(daemon)));
        if keys.is_empty() {
            return self.polled(deployment);
        }
        self.call(Call::Read(keys), Pending::Rows(deployment.to_owned()));
    }

    pub(super) fn rows(&mut self, deployment: &str, sent: Time, reply: Reply) {
        let Reply::Rows(rows) = reply else { return self.polled(deployment) };
        let rows = Reply::Rows(rows).rows();
        for row in rows.values() {
            if row.key.starts_with("job/") {
                self.saw_job(row);
            }
        }
        let holders: BTreeSet<_> =
            self.suspects.values().map(|suspect| suspect.row.holder.clone()).collect();
        for holder in holders {
            self.observer.saw(sent, self.now, &holder, rows.get(&lease::key(&holder)));
        }
        self.forget_views();
        self.scan_chunks(deployment);
    }

    /// Takes over the row of a job unless a newer one is known.
    pub(super) fn saw_job(&mut self, row: &Row) {
        let (Some(id), Some(job)) = (row.key.strip_prefix("job/"), row.decode::<Job>()) else {
            return;
        };
        match self.views.get_mut(id) {
            Some(view) if view.version >= row.version => {}
            Some(view) => (view.version, view.row) = (row.version, job),
            None => {
                let view = View { version: row.version, row: job, after: String::new() };
                self.views.insert(id.to_owned(), view);
            }
        }
    }

    /// Forgets jobs that are neither listed nor held.
    fn forget_views(&mut self) {
        let mut kept: BTreeSet<&String> = self.held.keys().map(|id| &id.job).collect();
        kept.extend(self.polls.values().flat_map(|poll| &poll.listed));
        let open = |id: &String, view: &View| kept.contains(id) && view.row.state == State::Open;
        let (held, suspects) = (&self.held, &mut self.suspects);
        let is_held = |job: &String| held.keys().any(|id| id.job == *job);
        let views = &mut self.views;
        views.retain(|id, view| open(id, view) || is_held(id));
        suspects.retain(|id, _| views.contains_key(&id.job));
    }

    /// Reads chunks of a listed job that has none to claim, one job at each poll in turn.
    fn scan_chunks(&mut self, deployment: &str) {
        let leased = self.leased_now();
        let Some(poll) = self.polls.get_mut(deployment) else { return };
        let lacking = std::mem::take(&mut poll.lacking);
        if !lacking || !leased {
            return self.polled(deployment);
        }
        let Some(poll) = self.polls.get(deployment) else { return };
        let exhausted = |id: &&String| {
            self.views.get(*id).is_some_and(|view| {
                let own = self.held.keys().filter(|held| held.job == **id).count();
                let foreign = (view.row.chunks - view.row.done) as usize > own;
                view.row.state == State::Open && !view.row.claimable() && foreign
            })
        };
        let candidates: BTreeSet<_> = poll.listed.iter().filter(exhausted).cloned().collect();
        let next = match &poll.scanned {
            Some(last) => candidates.range(last.clone()..).find(|id| *id != last),
            None => None,
        };
        let job = next.or(candidates.first()).cloned();
        if poll.listed.iter().any(|id| self.views.get(id).is_some_and(|view| view.row.claimable()))
            && let Some(poll) = self.polls.get_mut(deployment)
        {
            poll.after.clear();
        }
        let Some(job) = job else { return self.polled(deployment) };
        let after = self.views.get(&job).map(|view| view.after.clone()).unwrap_or_default();
        if let Some(poll) = self.polls.get_mut(deployment) {
            poll.scanned = Some(job.clone());
        }
        let request =
            Call::Scan { prefix: chunk_prefix(&job), after: after.clone(), limit: CHUNK_PAGE };
        let deployment = deployment.to_owned();
        self.call(request, Pending::Chunks { deployment, job, after });
    }

    pub(super) fn chunks(&mut self, deployment: &str, job: &str, after: &str, reply: Reply) {
        self.polled(deployment);
        let Reply::Rows(rows) = reply else { return };
        let rows: Vec<_> = rows.into_iter().flatten().collect();
        let last = rows.last().filter(|_| rows.len() >= CHUNK_PAGE).map(|row| row.key.clone());
        let mut seen = BTreeMap::new();
        for row in &rows {
            let number = row.key.rsplit('/').next().and_then(|number| number.parse().ok());
            let (Some(number), Some(chunk)) = (number, row.decode::<Chunk>()) else { continue };
            if chunk.state == ChunkState::Held {
                let id = ChunkId { job: job.to_owned(), number };
                seen.insert(id, Suspect { version: row.version, row: chunk, taking: false });
            }
        }
        if let Some(view) = self.views.get_mut(job) {
            view.after = last.clone().unwrap_or_default();
        }
        let covered = |key: &str| key > after && last.as_deref().is_none_or(|last| key <= last);
        self.suspects.retain(|id, suspect| id.job != job || suspect.taking || !covered(&id.key()));
        for (id, suspect) in seen {
            let own = self.held.contains_key(&id) || self.writing(&id);
            if !own {
                self.suspects.entry(id).or_insert(suspect);
            }
        }
    }

    fn polled(&mut self, deployment: &str) {
        if let Some(poll) = self.polls.get_mut(deployment) {
            poll.in_flight = false;
        }
    }

    /// Reads a job soon after a notice about it.
    pub(super) fn notice(&mut self, job: &str) {
        let held = self.held.keys().any(|id| id.job == job);
        let deployment = self.views.get(job).filter(|_| held).map(|view| &view.row.deployment);
        for (name, poll) in &mut self.polls {
            if deployment.is_none_or(|deployment| deployment == name) {
                poll.next = self.now;
            }
        }
        self.poll();
    }
}
