//! Work of one daemon on batch jobs: claims chunks, runs their items, commits their results.

mod chunk;
mod claim;
mod commit;
mod message;
mod poll;
mod start;
mod takeover;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

pub use self::message::{Action, ChunkId, End, Input, Note, Run, RunId, Settings};
use self::{
    chunk::Held,
    claim::Write,
    poll::{Listing, Suspect, View},
    start::Slot,
};
use super::row::State;
use crate::{
    lease::Observer,
    store::{Call, CallId, Reply},
    time::Time,
};

/// Claims after which a chunk runs one item at a time, so that a death is charged to one item.
pub const ISOLATION_CLAIMS: u32 = 3;

/// First delay after a failed call of the platform; doubles up to `BACKOFF_MAX`.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// What a call was for.
#[derive(Clone, Debug)]
enum Pending {
    /// The first page of open jobs of a deployment.
    Page(String),
    /// Rows of jobs and daemons, after a page of this deployment.
    Rows(Option<String>),
    /// A page of the chunks of a job.
    Chunks { job: String, after: String },
    /// The row of a job.
    Refresh(String),
    /// The row of a chunk, before it is taken over.
    Suspect(ChunkId),
    /// A transaction.
    Write(Box<Write>),
    /// The rows that a transaction touched, after a conflict or a lost reply.
    Resolve(Box<Write>),
    /// The rows of the held chunks after the lease had lapsed.
    Verify,
}

/// The own lease as the keeper reports it.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    epoch: Option<u64>,
    until: Time,
    /// The table is down, so nobody can take over work.
    failing: bool,
    /// The lease lapsed, and the held chunks have not been read since.
    lapsed: bool,
    /// Another process runs under this name.
    superseded: bool,
}

/// The state machine of a daemon's batch work.
pub struct Dispatch {
    settings: Settings,
    now: Time,
    unix_ms: u64,
    lease: Lease,
    slots: BTreeMap<String, Slot>,
    /// Deployments with the jobs that they list.
    listings: BTreeMap<String, Listing>,
    poll_next: Time,
    polling: bool,
    /// Jobs whose row is being read.
    refreshing: BTreeSet<String>,
    refresh_after: Time,
    views: BTreeMap<String, View>,
    held: BTreeMap<ChunkId, Held>,
    runs: BTreeMap<RunId, start::Place>,
    suspects: BTreeMap<ChunkId, Suspect>,
    observer: Observer,
    weights: BTreeMap<String, u32>,
    /// Items claimed for a client, divided by its weight.
    service: BTreeMap<String, f64>,
    calls: BTreeMap<CallId, Pending>,
    /// Transactions whose outcome must be read again at a later time.
    unresolved: Vec<(Time, Box<Write>)>,
    backoff: Duration,
    claim_after: Time,
    /// Claims in a row that met a change by another daemon.
    conflicts: u32,
    verifying: bool,
    drain: Option<Time>,
    drained: bool,
    next_call: u64,
    next_run: u64,
    actions: Vec<Action>,
}

impl Dispatch {
    /// A dispatcher without lease and limits, which does nothing until it gets both.
    pub fn new(settings: Settings) -> Self {
        let observer = Observer::new(settings.lease, settings.margin);
        Self {
            settings,
            now: Time::default(),
            unix_ms: 0,
            lease: Lease::default(),
            slots: BTreeMap::new(),
            listings: BTreeMap::new(),
            poll_next: Time::default(),
            polling: false,
            refreshing: BTreeSet::new(),
            refresh_after: Time::default(),
            views: BTreeMap::new(),
            held: BTreeMap::new(),
            runs: BTreeMap::new(),
            suspects: BTreeMap::new(),
            observer,
            weights: BTreeMap::new(),
            service: BTreeMap::new(),
            calls: BTreeMap::new(),
            unresolved: Vec::new(),
            backoff: BACKOFF_MIN,
            claim_after: Time::default(),
            conflicts: 0,
            verifying: false,
            drain: None,
            drained: false,
            next_call: 0,
            next_run: 0,
            actions: Vec::new(),
        }
    }

    /// Handles an input.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        self.now = now;
        self.lease.lapsed |= self.lease.epoch.is_some() && now >= self.lease.until;
        match input {
            Input::Tick { unix_ms } => self.tick(unix_ms),
            Input::Lease { epoch, until } => self.leased(epoch, until),
            Input::LeaseFailing => self.lease.failing = true,
            Input::Superseded => self.supersede(),
            Input::Limit { upstream, deployment, streams } => {
                self.limit(upstream, deployment, streams);
            }
            Input::Weights(weights) => self.weights = weights,
            Input::Reply { call, sent, reply } => self.reply(call, sent, reply),
            Input::Loaded { chunk, missing } => self.loaded(&chunk, missing),
            Input::Stored { chunk, ok } => self.stored(&chunk, ok),
            Input::Ended { run, end } => self.ended(run, end),
            Input::Notice { job } => self.notice(&job),
            Input::Drain { until } => self.drain = Some(until),
        }
        self.plan();
        std::mem::take(&mut self.actions)
    }

    /// Chunks that this daemon holds.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Whether this daemon holds a chunk.
    pub fn holds(&self, chunk: &ChunkId) -> bool {
        self.held.contains_key(chunk)
    }

    /// Attempts charged to an item of a held chunk.
    pub fn attempts(&self, job: &str, item: u32) -> Option<u32> {
        let first = ChunkId { job: job.to_owned(), number: 0 };
        let held = self.held.range(first..).take_while(|(id, _)| id.job == job);
        held.filter_map(|(_, held)| held.items.get(&item)).map(|item| item.attempts).next()
    }

    /// Items that run now.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Bytes of results that wait to be committed.
    pub fn result_bytes(&self) -> u64 {
        self.held.values().map(Held::bytes).sum()
    }

    fn tick(&mut self, unix_ms: u64) {
        self.unix_ms = unix_ms;
        self.poll();
        let now = self.now;
        let due: Vec<_> = self.unresolved.extract_if(.., |(time, _)| *time <= now).collect();
        for (_, write) in due {
            self.resolve(write);
        }
    }

    fn leased(&mut self, epoch: u64, until: Time) {
        if self.lease.superseded {
            return;
        }
        self.lease.epoch = Some(epoch);
        self.lease.until = until;
        self.lease.failing = false;
        if self.now >= until {
            self.lease.lapsed = true;
        } else if self.lease.lapsed && !self.verifying {
            self.verify();
        }
    }

    /// Reads the held chunks, some of which another daemon may have taken over.
    fn verify(&mut self) {
        let keys: Vec<_> = self.held.keys().map(ChunkId::key).collect();
        if keys.is_empty() {
            self.lease.lapsed = false;
            return;
        }
        self.verifying = true;
        self.call(Call::Read(keys), Pending::Verify);
    }

    fn verified(&mut self, reply: Reply) {
        self.verifying = false;
        let Reply::Rows(rows) = reply else { return };
        let rows = Reply::Rows(rows).rows();
        let lost: Vec<_> = self
            .held
            .iter()
            .filter(|(id, held)| {
                // Versions rise, so a lower one was read before an own write took effect.
                let newer = rows.get(&id.key()).is_some_and(|row| row.version > held.version);
                newer && !self.writing(id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.drop_chunk(&id);
        }
        if self.now < self.lease.until {
            self.lease.lapsed = false;
        }
    }

    fn supersede(&mut self) {
        self.lease = Lease { superseded: true, ..Lease::default() };
        for id in self.held.keys().cloned().collect::<Vec<_>>() {
            self.drop_chunk(&id);
        }
    }

    /// Whether the lease allows to start work and to claim.
    fn leased_now(&self) -> bool {
        self.lease.epoch.is_some() && !self.lease.lapsed && self.now < self.lease.until
    }

    fn reply(&mut self, call: CallId, sent: Time, reply: Reply) {
        let Some(pending) = self.calls.remove(&call) else { return };
        if matches!(reply, Reply::Failed | Reply::Unknown) {
            self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
        } else {
            self.backoff = BACKOFF_MIN;
        }
        match pending {
            Pending::Page(deployment) => self.paged(&deployment, reply),
            Pending::Rows(deployment) => self.rows(deployment, sent, reply),
            Pending::Chunks { job, after } => self.chunks(&job, &after, reply),
            Pending::Refresh(job) => self.refreshed(&job, reply),
            Pending::Suspect(chunk) => self.confirmed(&chunk, reply),
            Pending::Write(write) => self.wrote(write, reply),
            Pending::Resolve(write) => self.resolved(write, reply),
            Pending::Verify => self.verified(reply),
        }
    }

    fn call(&mut self, request: Call, pending: Pending) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, pending);
        self.actions.push(Action::Call { call, request });
    }

    /// Gives up a chunk that belongs to somebody else now or whose job has ended.
    fn drop_chunk(&mut self, id: &ChunkId) {
        let Some(held) = self.held.remove(id) else { return };
        for run in held.runs() {
            self.stop(run, false);
        }
        let items = held.items.keys().copied().collect();
        self.actions.push(Action::Forget { job: id.job.clone(), items });
        self.note(Note::Lost { chunk: id.clone() });
    }

    fn note(&mut self, note: Note) {
        self.actions.push(Action::Note(note));
    }

    /// Decides what to do after each input.
    fn plan(&mut self) {
        self.drop_ended_jobs();
        self.stop_for_drain();
        self.settle();
        self.start();
        self.claim();
        self.take_over();
        if self.drain.is_some() && !self.drained && self.idle() {
            self.drained = true;
            self.actions.push(Action::Drained);
        }
    }

    fn idle(&self) -> bool {
        let writing =
            |pending: &Pending| matches!(pending, Pending::Write(_) | Pending::Resolve(_));
        self.held.is_empty() && self.unresolved.is_empty() && !self.calls.values().any(writing)
    }

    fn stop_for_drain(&mut self) {
        if self.drain.is_some_and(|until| self.now >= until) {
            for run in self.runs.keys().copied().collect::<Vec<_>>() {
                self.stop(run, true);
            }
        }
    }

    fn drop_ended_jobs(&mut self) {
        let ended = |view: Option<&View>| view.is_some_and(|view| view.row.state != State::Open);
        let lost: Vec<_> =
            self.held.keys().filter(|id| ended(self.views.get(&id.job))).cloned().collect();
        for id in lost {
            self.drop_chunk(&id);
        }
    }
}
