//! Batch dispatcher of a daemon: claims chunks of jobs, runs their items and commits the results.
//!
//! A chunk is a part of a job's items that one daemon at a time holds, under its lease and a
//! fencing number.

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

pub use self::message::{Action, ChunkId, Event, Input, Outcome, Run, RunId, Settings};
use self::{
    chunk::HeldChunk,
    claim::ChunkWrite,
    poll::{CachedJob, Listing, TakeoverCandidate},
    start::UpstreamState,
};
use super::row::State;
use crate::{
    lease::Observer,
    store::{Call, CallId, Reply},
    time::Time,
};

/// Number of claims from which a chunk runs one item at a time, so that a crash of the holder is
/// charged to a single item.
pub const ISOLATION_CLAIMS: u32 = 3;

/// Delay after the first failed call to the platform; doubles with each further failure up to
/// [`BACKOFF_MAX`].
const BACKOFF_MIN: Duration = Duration::from_millis(200);
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Purpose of a call in flight.
#[derive(Clone, Debug)]
enum PendingCall {
    /// Lists a page of the open jobs of a deployment.
    ListOpenJobs(String),
    /// Reads job rows and the lease rows of holders; follows a listing of this deployment, if any.
    ReadJobsAndLeases(Option<String>),
    /// Lists a page of the chunks of a job.
    ListChunks { job: String, after: String },
    /// Reads the row of a job.
    RefreshJob(String),
    /// Reads the row of a chunk again before it is taken over.
    ConfirmTakeover(ChunkId),
    /// Commits a transaction.
    Write(Box<ChunkWrite>),
    /// Reads the rows that a transaction wrote, after a conflict or a lost reply.
    ResolveWrite(Box<ChunkWrite>),
    /// Reads the rows of the held chunks after the lease has lapsed.
    VerifyHeldChunks,
}

/// State of this daemon's lease, from the inputs that report it.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    epoch: Option<u64>,
    until: Time,
    /// The lease cannot be renewed because the table is down. Other daemons need the table for a
    /// takeover, so held items keep running.
    failing: bool,
    /// The lease has lapsed and the held chunks have not been verified since.
    lapsed: bool,
    /// Another process with this daemon's name has started.
    superseded: bool,
}

/// State machine that runs a daemon's share of the batch jobs.
pub struct Dispatch {
    settings: Settings,
    now: Time,
    unix_ms: u64,
    lease: Lease,
    upstreams: BTreeMap<String, UpstreamState>,
    /// Open jobs by deployment.
    listings: BTreeMap<String, Listing>,
    next_poll_at: Time,
    poll_in_flight: bool,
    /// Jobs whose row is being read again.
    refreshing_jobs: BTreeSet<String>,
    refresh_not_before: Time,
    jobs: BTreeMap<String, CachedJob>,
    held: BTreeMap<ChunkId, HeldChunk>,
    runs: BTreeMap<RunId, start::ActiveRun>,
    takeover_candidates: BTreeMap<ChunkId, TakeoverCandidate>,
    observer: Observer,
    weights: BTreeMap<String, u32>,
    /// Number of items claimed for each client, divided by the weight of the client.
    normalized_service: BTreeMap<String, f64>,
    calls: BTreeMap<CallId, PendingCall>,
    /// Transactions whose outcome is unknown, with the time at which their rows are read again.
    unresolved_writes: Vec<(Time, Box<ChunkWrite>)>,
    backoff: Duration,
    claim_not_before: Time,
    /// Number of consecutive claims that conflicted with a write of another daemon.
    claim_conflicts: u32,
    verifying: bool,
    drain_until: Option<Time>,
    drained: bool,
    next_call: u64,
    next_run: u64,
    actions: Vec<Action>,
}

impl Dispatch {
    /// Creates a dispatcher, which stays idle until it has received a lease and a stream limit.
    pub fn new(settings: Settings) -> Self {
        let observer = Observer::new(settings.lease, settings.margin);
        Self {
            settings,
            now: Time::default(),
            unix_ms: 0,
            lease: Lease::default(),
            upstreams: BTreeMap::new(),
            listings: BTreeMap::new(),
            next_poll_at: Time::default(),
            poll_in_flight: false,
            refreshing_jobs: BTreeSet::new(),
            refresh_not_before: Time::default(),
            jobs: BTreeMap::new(),
            held: BTreeMap::new(),
            runs: BTreeMap::new(),
            takeover_candidates: BTreeMap::new(),
            observer,
            weights: BTreeMap::new(),
            normalized_service: BTreeMap::new(),
            calls: BTreeMap::new(),
            unresolved_writes: Vec::new(),
            backoff: BACKOFF_MIN,
            claim_not_before: Time::default(),
            claim_conflicts: 0,
            verifying: false,
            drain_until: None,
            drained: false,
            next_call: 0,
            next_run: 0,
            actions: Vec::new(),
        }
    }

    /// Handles an input and returns the resulting actions in order.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        self.now = now;
        self.lease.lapsed |= self.lease.epoch.is_some() && now >= self.lease.until;
        match input {
            Input::Tick { unix_ms } => self.tick(unix_ms),
            Input::Lease { epoch, until } => self.lease_renewed(epoch, until),
            Input::LeaseFailing => self.lease.failing = true,
            Input::Superseded => self.superseded(),
            Input::Limit { upstream, deployment, streams } => {
                self.set_limit(upstream, deployment, streams);
            }
            Input::Weights(weights) => self.weights = weights,
            Input::Reply { call, sent, reply } => self.handle_reply(call, sent, reply),
            Input::Loaded { chunk, missing } => self.items_loaded(&chunk, missing),
            Input::Stored { chunk, ok } => self.results_stored(&chunk, ok),
            Input::Ended { run, outcome } => self.run_ended(run, outcome),
            Input::StoppedAtCrash { job, item, alone } => self.charge_attempt(&job, item, alone),
            Input::Notice { job } => self.handle_notice(&job),
            Input::Drain { until } => self.drain_until = Some(until),
        }
        self.advance();
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of chunks that this daemon holds.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Returns whether this daemon holds a chunk.
    pub fn holds(&self, chunk: &ChunkId) -> bool {
        self.held.contains_key(chunk)
    }

    /// Returns the number of attempts charged to an item; `None` when no held chunk contains it.
    pub fn attempts(&self, job: &str, item: u32) -> Option<u32> {
        let first = ChunkId { job: job.to_owned(), number: 0 };
        let mut held = self.held.range(first..).take_while(|(id, _)| id.job == job);
        held.find_map(|(_, held)| held.items.get(&item)).map(|item| item.attempts)
    }

    /// Returns the number of running items.
    pub fn running_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns the size in bytes of the results that are not committed yet.
    pub fn result_bytes(&self) -> u64 {
        self.held.values().map(HeldChunk::bytes).sum()
    }

    fn tick(&mut self, unix_ms: u64) {
        self.unix_ms = unix_ms;
        self.poll();
        let now = self.now;
        let due: Vec<_> = self.unresolved_writes.extract_if(.., |(time, _)| *time <= now).collect();
        for (_, write) in due {
            self.resolve_write(write);
        }
    }

    fn lease_renewed(&mut self, epoch: u64, until: Time) {
        if self.lease.superseded {
            return;
        }
        self.lease.epoch = Some(epoch);
        self.lease.until = until;
        self.lease.failing = false;
        if self.now >= until {
            self.lease.lapsed = true;
        } else if self.lease.lapsed && !self.verifying {
            self.verify_held_chunks();
        }
    }

    /// Reads the rows of the held chunks, since other daemons may have taken some of them over.
    fn verify_held_chunks(&mut self) {
        let keys: Vec<_> = self.held.keys().map(ChunkId::key).collect();
        if keys.is_empty() {
            self.lease.lapsed = false;
            return;
        }
        self.verifying = true;
        self.call(Call::Read(keys), PendingCall::VerifyHeldChunks);
    }

    /// Drops the chunks that another daemon has taken over.
    fn held_chunks_verified(&mut self, reply: Reply) {
        self.verifying = false;
        let Reply::Rows(rows) = reply else { return };
        let rows = Reply::Rows(rows).rows();
        let lost: Vec<_> = self
            .held
            .iter()
            .filter(|(id, held)| {
                // Versions only increase, so a lower one was read before a write of this daemon
                // took effect.
                let newer = rows.get(&id.key()).is_some_and(|row| row.version > held.version);
                newer && !self.is_writing_chunk(id)
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

    fn superseded(&mut self) {
        self.lease = Lease { superseded: true, ..Lease::default() };
        for id in self.held.keys().cloned().collect::<Vec<_>>() {
            self.drop_chunk(&id);
        }
    }

    /// Returns whether the lease is valid, so that this daemon may claim chunks and start items.
    fn holds_lease(&self) -> bool {
        self.lease.epoch.is_some() && !self.lease.lapsed && self.now < self.lease.until
    }

    fn handle_reply(&mut self, call: CallId, sent: Time, reply: Reply) {
        let Some(pending) = self.calls.remove(&call) else { return };
        if matches!(reply, Reply::Failed | Reply::Unknown) {
            self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
        } else {
            self.backoff = BACKOFF_MIN;
        }
        match pending {
            PendingCall::ListOpenJobs(deployment) => self.open_jobs_listed(&deployment, reply),
            PendingCall::ReadJobsAndLeases(deployment) => {
                self.jobs_and_leases_read(deployment, sent, reply)
            }
            PendingCall::ListChunks { job, after } => self.chunks_listed(&job, &after, reply),
            PendingCall::RefreshJob(job) => self.job_refreshed(&job, reply),
            PendingCall::ConfirmTakeover(chunk) => self.takeover_confirmed(&chunk, reply),
            PendingCall::Write(write) => self.write_answered(write, reply),
            PendingCall::ResolveWrite(write) => self.write_resolved(write, reply),
            PendingCall::VerifyHeldChunks => self.held_chunks_verified(reply),
        }
    }

    fn call(&mut self, request: Call, pending: PendingCall) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, pending);
        self.actions.push(Action::Call { call, request });
    }

    /// Drops a chunk that another daemon has taken over or whose job has ended, and stops its runs.
    fn drop_chunk(&mut self, id: &ChunkId) {
        let Some(held) = self.held.remove(id) else { return };
        for run in held.runs() {
            self.stop_run(run, false);
        }
        let items = held.items.keys().copied().collect();
        self.actions.push(Action::Discard { job: id.job.clone(), items });
        self.emit(Event::Lost { chunk: id.clone() });
    }

    fn emit(&mut self, event: Event) {
        self.actions.push(Action::Event(event));
    }

    /// Derives the next actions from the current state; called after each input.
    fn advance(&mut self) {
        self.drop_ended_jobs();
        self.enforce_drain_deadline();
        self.advance_commits();
        self.start_items();
        self.claim_chunks();
        self.start_takeover();
        if self.drain_until.is_some() && !self.drained && self.is_drained() {
            self.drained = true;
            self.actions.push(Action::Drained);
        }
    }

    /// Returns whether no chunk is held and no transaction is in flight or has an unknown outcome.
    fn is_drained(&self) -> bool {
        let writing = |pending: &PendingCall| {
            matches!(pending, PendingCall::Write(_) | PendingCall::ResolveWrite(_))
        };
        self.held.is_empty()
            && self.unresolved_writes.is_empty()
            && !self.calls.values().any(writing)
    }

    /// Stops all runs once the drain deadline has passed.
    fn enforce_drain_deadline(&mut self) {
        if self.drain_until.is_some_and(|until| self.now >= until) {
            for run in self.runs.keys().copied().collect::<Vec<_>>() {
                self.stop_run(run, true);
            }
        }
    }

    fn drop_ended_jobs(&mut self) {
        let ended = |cached: Option<&CachedJob>| {
            cached.is_some_and(|cached| cached.row.state != State::Open)
        };
        let lost: Vec<_> =
            self.held.keys().filter(|id| ended(self.jobs.get(&id.job))).cloned().collect();
        for id in lost {
            self.drop_chunk(&id);
        }
    }
}
