//! Deterministic simulation of daemons that dispatch batch work through one shared table, without
//! threads or real time.
#![allow(dead_code, clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cyclamengrade_control::{
    job::{
        Chunk, ChunkState, Job, State,
        dispatch::{Action, ChunkId, Dispatch, Input, Outcome, Run, RunId, Settings},
        job_key, open_key,
    },
    lease,
    store::{Call, CallId, Reply, Row, Transaction},
    time::Time,
};

pub const LEASE_LENGTH: Duration = Duration::from_secs(10);
pub const LEASE_MARGIN: Duration = Duration::from_secs(5);
pub const DEPLOYMENT: &str = "wording-llm";
pub const JOB: &str = "batch-1";

/// In-memory table and object store. Each write checks that final rows are not written again.
#[derive(Default)]
pub struct Store {
    pub rows: BTreeMap<String, Row>,
    pub objects: BTreeMap<String, Vec<(u32, bool)>>,
    pub reads: u64,
    pub writes: u64,
    pub conflicts: u64,
    version: u64,
}

impl Store {
    pub fn apply(&mut self, call: &Call) -> Reply {
        match call {
            Call::Read(keys) => {
                self.reads += 1;
                Reply::Rows(keys.iter().map(|key| self.rows.get(key).cloned()).collect())
            }
            Call::Scan { prefix, after, limit } => {
                self.reads += 1;
                let rows = self.rows.range(prefix.clone()..);
                let rows = rows.take_while(|(key, _)| key.starts_with(prefix));
                let rows = rows.filter(|(key, _)| *key > after).take(*limit);
                Reply::Rows(rows.map(|(_, row)| Some(row.clone())).collect())
            }
            Call::Commit(transaction) => {
                self.writes += 1;
                self.commit(transaction)
            }
        }
    }

    fn commit(&mut self, transaction: &Transaction) -> Reply {
        let version = |key: &String| self.rows.get(key).map_or(0, |row| row.version);
        let failed = transaction.conditions.iter().filter(|(key, wanted)| version(key) != **wanted);
        let failed: Vec<_> = failed.map(|(key, _)| self.rows.get(key).cloned()).collect();
        if !failed.is_empty() {
            self.conflicts += 1;
            if std::env::var("DBG").is_ok() {
                println!("{:?}", transaction.conditions);
            }
            return Reply::Conflict(failed);
        }
        let mut versions = BTreeMap::new();
        for (key, value) in &transaction.writes {
            self.check(key);
            self.version += 1;
            let Some(value) = value else {
                self.rows.remove(key);
                versions.insert(key.clone(), 0);
                continue;
            };
            let row = Row { key: key.clone(), version: self.version, value: value.clone() };
            self.rows.insert(key.clone(), row);
            versions.insert(key.clone(), self.version);
        }
        Reply::Done(versions)
    }

    fn check(&self, key: &str) {
        let Some(row) = self.rows.get(key) else { return };
        if key.starts_with("job/") {
            let job: Job = row.decode().unwrap();
            assert_eq!(job.state, State::Open, "a final job row was written again");
        }
        if key.starts_with("chunk/") {
            let chunk: Chunk = row.decode().unwrap();
            assert_ne!(chunk.state, ChunkState::Done, "a committed chunk was written again");
        }
    }

    pub fn row<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<T> {
        self.rows.get(key).and_then(Row::decode)
    }

    pub fn job(&self) -> Job {
        self.row(&job_key(JOB)).unwrap()
    }

    pub fn chunks(&self) -> BTreeMap<u32, Chunk> {
        let prefix = format!("chunk/{JOB}/");
        let rows = self.rows.iter().filter(|(key, _)| key.starts_with(&prefix));
        rows.map(|(key, row)| (key[prefix.len()..].parse().unwrap(), row.decode().unwrap()))
            .collect()
    }

    /// Returns the items with a committed result, and whether each succeeded. Panics when an item
    /// was committed twice.
    pub fn results(&self) -> BTreeMap<u32, bool> {
        let job = self.job();
        let mut results = BTreeMap::new();
        for (number, chunk) in self.chunks() {
            if chunk.state != ChunkState::Done {
                continue;
            }
            let items = chunk.items.unwrap_or_else(|| job.items_of(number));
            let object = &self.objects[&chunk.object.expect("a committed chunk has an object")];
            let stored: Vec<_> = object.iter().map(|(item, _)| *item).collect();
            assert_eq!(stored, items, "object and row of chunk {number} differ");
            for (item, succeeded) in object {
                let twice = results.insert(*item, *succeeded).is_some();
                assert!(!twice, "item {item} was committed twice");
            }
        }
        results
    }

    pub fn add_job(&mut self, items: u32, chunk_items: u32) {
        self.add(JOB, "tessiture", 1_000_000, items, chunk_items);
    }

    pub fn add(&mut self, id: &str, client: &str, due_unix_ms: u64, items: u32, chunk_items: u32) {
        let job = Job {
            client: client.into(),
            deployment: DEPLOYMENT.into(),
            items,
            chunk_items,
            due_unix_ms,
            state: State::Open,
            chunks: items.div_ceil(chunk_items),
            next: 0,
            returned: Vec::new(),
            done: 0,
            succeeded: 0,
            failed: 0,
            limited: false,
        };
        let transaction = Transaction::new()
            .with_write(job_key(id), &job)
            .with_write(open_key(DEPLOYMENT, due_unix_ms, id), &serde_json::Map::new());
        self.commit(&transaction);
    }

    /// Cancels the job; returns false when it was not open.
    pub fn cancel(&mut self) -> bool {
        let job = self.job();
        if job.state != State::Open {
            return false;
        }
        let open = open_key(DEPLOYMENT, job.due_unix_ms, JOB);
        let cancelled = Job { state: State::Cancelled, ..job };
        let transaction = Transaction::new().with_write(job_key(JOB), &cancelled).with_delete(open);
        self.commit(&transaction);
        true
    }
}

/// Call of a daemon that has not been answered yet.
#[derive(Clone, Debug)]
pub enum PendingCall {
    Lease(Call),
    Call(CallId, Call, Time),
    Load(ChunkId, Vec<u32>),
    Store(ChunkId, String, Vec<(u32, bool)>),
}

/// Simulated outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call takes effect and is answered.
    Answered,
    /// The call takes effect, but the reply is lost.
    Lost,
    /// The call fails and takes no effect.
    Refused,
    /// The reply is lost, and the call takes effect later.
    Late,
}

/// Running process of a daemon.
pub struct Process {
    pub dispatch: Dispatch,
    keeper: lease::Machine,
    pub pending: Vec<PendingCall>,
    pub runs: BTreeMap<RunId, Run>,
    results: BTreeMap<(String, u32), bool>,
    pub paused: bool,
    pub drained: bool,
    /// Offset of the process's monotonic clock; it differs between processes.
    origin: Duration,
    lease_until: Time,
    lease_failing: bool,
}

/// Daemons that share one table.
pub struct World {
    pub now: Time,
    pub store: Store,
    pub daemons: Vec<Option<Process>>,
    pub late: Vec<Call>,
    pub started: Vec<(String, u32)>,
    pub item_attempts: u32,
    generation: u64,
}

impl World {
    pub fn new(daemons: usize) -> Self {
        let mut world = Self {
            now: Time::from_millis(1_000),
            store: Store::default(),
            daemons: Vec::new(),
            late: Vec::new(),
            started: Vec::new(),
            item_attempts: 3,
            generation: 0,
        };
        world.daemons.resize_with(daemons, || None);
        for daemon in 0..daemons {
            world.restart(daemon);
        }
        world
    }

    /// Starts a new process of a daemon; the state of a running one is lost.
    pub fn restart(&mut self, daemon: usize) {
        self.generation += 1;
        let name = format!("entry-{daemon}");
        let settings = Settings {
            daemon: name.clone(),
            poll_period: Duration::from_secs(1),
            page_size: 8,
            item_attempts: self.item_attempts,
            max_result_bytes: 1 << 20,
            lease: LEASE_LENGTH,
            margin: LEASE_MARGIN,
            urgent_window: Duration::from_secs(600),
        };
        let keeper = lease::Settings {
            daemon: name,
            instance: self.generation,
            length: LEASE_LENGTH,
            renewal: Duration::from_secs(3),
        };
        self.daemons[daemon] = Some(Process {
            dispatch: Dispatch::new(settings),
            keeper: lease::Machine::new(keeper),
            pending: Vec::new(),
            runs: BTreeMap::new(),
            results: BTreeMap::new(),
            paused: false,
            drained: false,
            origin: Duration::from_secs(1_000 * self.generation),
            lease_until: Time::default(),
            lease_failing: false,
        });
        self.limit(daemon, 4);
    }

    pub fn kill(&mut self, daemon: usize) {
        self.daemons[daemon] = None;
    }

    pub fn process(&mut self, daemon: usize) -> &mut Process {
        self.daemons[daemon].as_mut().expect("the daemon runs")
    }

    /// Sets the total batch-stream limit of the daemon, split over its two upstreams.
    pub fn limit(&mut self, daemon: usize, streams: u32) {
        for (index, streams) in [streams.div_ceil(2), streams / 2].into_iter().enumerate() {
            let upstream = format!("runner-{daemon}-{index}");
            let deployment = DEPLOYMENT.to_owned();
            self.input(daemon, Input::Limit { upstream, deployment, streams });
        }
    }

    /// Passes an input to the dispatcher of a daemon, if it is running and not paused.
    pub fn input(&mut self, daemon: usize, input: Input) {
        let now = self.now;
        let Some(process) = self.daemons[daemon].as_mut().filter(|process| !process.paused) else {
            return;
        };
        let now = now + process.origin;
        for action in process.dispatch.handle(now, input) {
            match action {
                Action::Call { call, request } => {
                    process.pending.push(PendingCall::Call(call, request, now))
                }
                Action::Load { chunk, items } => {
                    process.pending.push(PendingCall::Load(chunk, items))
                }
                Action::Store { chunk, key, items } => {
                    let results = &process.results;
                    let result = |item: &u32| results.get(&(chunk.job.clone(), *item)).copied();
                    let content = items
                        .iter()
                        .map(|item| (*item, result(item).expect("a stored item has a result")))
                        .collect();
                    process.pending.push(PendingCall::Store(chunk, key, content));
                }
                Action::Start(run) => {
                    assert!(
                        now < process.lease_until || process.lease_failing,
                        "an item started after the lease had ended"
                    );
                    self.started.push((run.job.clone(), run.item));
                    process.runs.insert(run.id, run);
                }
                Action::Stop { run, .. } => {
                    process.runs.remove(&run);
                }
                Action::Fail { job, item, .. } => {
                    process.results.insert((job, item), false);
                }
                Action::Discard { job, items } => {
                    process.results.retain(|(of, item), _| *of != job || !items.contains(item));
                }
                Action::Drained => process.drained = true,
                Action::Event(_) => {}
            }
        }
    }

    /// Passes an input to the lease keeper of a daemon, if it is running and not paused.
    pub fn lease(&mut self, daemon: usize, input: lease::Input) {
        let now = self.now;
        let Some(process) = self.daemons[daemon].as_mut().filter(|process| !process.paused) else {
            return;
        };
        for action in process.keeper.handle(now + process.origin, input) {
            let process = self.daemons[daemon].as_mut().unwrap();
            match action {
                lease::Action::Call(call) => process.pending.push(PendingCall::Lease(call)),
                lease::Action::Held { epoch, until } => {
                    (process.lease_until, process.lease_failing) = (until, false);
                    self.input(daemon, Input::Lease { epoch, until });
                }
                lease::Action::Failing => {
                    process.lease_failing = true;
                    self.input(daemon, Input::LeaseFailing);
                }
                lease::Action::Superseded => self.input(daemon, Input::Superseded),
                lease::Action::Released => {}
            }
        }
    }

    /// Advances the time and sends a tick to every running daemon.
    pub fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        let unix_ms = 500_000 + self.now.0 / 1_000;
        for daemon in 0..self.daemons.len() {
            let drained = self.daemons[daemon].as_ref().is_some_and(|process| process.drained);
            let input = if drained { lease::Input::Release } else { lease::Input::Tick };
            self.lease(daemon, input);
            self.input(daemon, Input::Tick { unix_ms });
        }
    }

    /// Completes one pending call of a daemon with the given outcome.
    pub fn deliver(&mut self, daemon: usize, index: usize, outcome: CallOutcome) {
        let Some(process) = self.daemons[daemon].as_mut().filter(|process| !process.paused) else {
            return;
        };
        if process.pending.is_empty() {
            return;
        }
        let call = process.pending.remove(index % process.pending.len());
        match call {
            PendingCall::Lease(call) => {
                let reply = self.call(call, outcome);
                self.lease(daemon, lease::Input::Reply(reply));
            }
            PendingCall::Call(id, call, sent) => {
                let reply = self.call(call, outcome);
                self.input(daemon, Input::Reply { call: id, sent, reply });
            }
            PendingCall::Load(chunk, _) => {
                let missing = (outcome == CallOutcome::Answered).then(Vec::new);
                self.input(daemon, Input::Loaded { chunk, missing });
            }
            PendingCall::Store(chunk, key, content) => {
                if outcome != CallOutcome::Refused {
                    self.store.objects.entry(key).or_insert(content);
                }
                self.input(daemon, Input::Stored { chunk, ok: outcome == CallOutcome::Answered });
            }
        }
    }

    fn call(&mut self, call: Call, outcome: CallOutcome) -> Reply {
        let write = matches!(call, Call::Commit(_));
        match outcome {
            CallOutcome::Answered => self.store.apply(&call),
            CallOutcome::Lost if write => {
                self.store.apply(&call);
                Reply::Unknown
            }
            CallOutcome::Late if write => {
                self.late.push(call);
                Reply::Unknown
            }
            _ => Reply::Failed,
        }
    }

    /// Applies a delayed transaction, if its conditions still hold.
    pub fn apply_late(&mut self, index: usize) {
        if !self.late.is_empty() {
            let call = self.late.remove(index % self.late.len());
            self.store.apply(&call);
        }
    }

    /// Ends a run of a daemon.
    pub fn end(&mut self, daemon: usize, index: usize, end: Outcome) {
        let Some(process) = self.daemons[daemon].as_mut().filter(|process| !process.paused) else {
            return;
        };
        if process.runs.is_empty() {
            return;
        }
        let id = *process.runs.keys().nth(index % process.runs.len()).unwrap();
        let run = process.runs.remove(&id).unwrap();
        if let Outcome::Answered(_) | Outcome::Rejected(_) = end {
            process.results.insert((run.job, run.item), matches!(end, Outcome::Answered(_)));
        }
        self.input(daemon, Input::Ended { run: id, outcome: end });
    }

    /// Advances the simulation without faults for `time`; `end` decides when and how each run ends.
    pub fn run(&mut self, time: Duration, mut end: impl FnMut(&Run) -> Option<Outcome>) {
        let until = self.now + time;
        while self.now < until {
            for daemon in 0..self.daemons.len() {
                self.deliver_all(daemon);
                let Some(process) = &self.daemons[daemon] else { continue };
                let ends: Vec<_> = process.runs.values().map(|run| (run.id, end(run))).collect();
                for (id, end) in ends {
                    let Some(process) = &self.daemons[daemon] else { continue };
                    let index = process.runs.keys().position(|other| *other == id);
                    if let (Some(index), Some(end)) = (index, end) {
                        self.end(daemon, index, end);
                    }
                }
            }
            self.advance(Duration::from_millis(100));
        }
    }

    /// Answers the pending calls of a daemon until none is left.
    pub fn deliver_all(&mut self, daemon: usize) {
        let has_pending = |world: &Self| {
            world.daemons[daemon]
                .as_ref()
                .is_some_and(|process| !process.paused && !process.pending.is_empty())
        };
        while has_pending(self) {
            self.deliver(daemon, 0, CallOutcome::Answered);
        }
    }

    /// Advances the simulation without faults and answers each run.
    pub fn run_without_faults(&mut self, time: Duration) {
        self.run(time, |_| Some(Outcome::Answered(8)));
    }

    /// Checks the invariants of a job that has ended: it is not listed as open, its counts match
    /// its committed results, and a completed job has a result for each item.
    pub fn check_end(&self) {
        let job = self.store.job();
        let results = self.store.results();
        assert_ne!(
            job.state,
            State::Open,
            "the job did not end: {job:?}, {:?}",
            self.store.chunks()
        );
        let open = self.store.rows.keys().any(|key| key.starts_with("open/"));
        assert!(!open, "the job is still listed as open");
        let succeeded = results.values().filter(|succeeded| **succeeded).count();
        assert_eq!(succeeded, job.succeeded as usize);
        assert_eq!(results.len() - succeeded, job.failed as usize);
        if job.state == State::Completed {
            let items: BTreeSet<_> = (0..job.items).collect();
            assert_eq!(results.keys().copied().collect::<BTreeSet<_>>(), items);
        }
    }
}
