//! Daemons with batch work around one table, without threads or real time.
#![allow(dead_code, clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cyclamengrade_control::{
    job::{
        Chunk, ChunkState, Job, State,
        dispatch::{Action, ChunkId, Dispatch, Input, Run, RunId, RunOutcome, Settings},
        job_key, open_key,
    },
    lease::{self, Keeper},
    store::{Call, CallId, Reply, Row, Transaction},
    time::Time,
};

pub const LEASE: Duration = Duration::from_secs(10);
pub const MARGIN: Duration = Duration::from_secs(5);
pub const DEPLOYMENT: &str = "wording-llm";
pub const JOB: &str = "batch-1";

/// Table and objects, which check on each write that final rows stay final.
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

    /// Items with a committed result, each with whether it succeeded.
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

    /// Cancels the job; returns whether it was open.
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

/// What a daemon waits for.
#[derive(Clone, Debug)]
pub enum Mail {
    Lease(Call),
    Call(CallId, Call, Time),
    Load(ChunkId, Vec<u32>),
    Store(ChunkId, String, Vec<(u32, bool)>),
}

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect and the reply is lost.
    Lost,
    /// It takes no effect.
    Refused,
    /// The reply is lost, and it takes effect later.
    Late,
}

/// One process of a daemon.
pub struct Process {
    pub dispatch: Dispatch,
    keeper: Keeper,
    pub mail: Vec<Mail>,
    pub runs: BTreeMap<RunId, Run>,
    results: BTreeMap<(String, u32), bool>,
    pub paused: bool,
    pub drained: bool,
    /// Origin of its monotonic clock, which no other daemon knows.
    origin: Duration,
    until: Time,
    failing: bool,
}

/// Daemons around one table.
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

    /// Starts a daemon anew; a process that runs is lost.
    pub fn restart(&mut self, daemon: usize) {
        self.generation += 1;
        let name = format!("entry-{daemon}");
        let settings = Settings {
            daemon: name.clone(),
            poll_period: Duration::from_secs(1),
            page_size: 8,
            item_attempts: self.item_attempts,
            max_result_bytes: 1 << 20,
            lease: LEASE,
            margin: MARGIN,
            urgent_window: Duration::from_secs(600),
        };
        let keeper = lease::Settings {
            daemon: name,
            instance: self.generation,
            length: LEASE,
            renewal: Duration::from_secs(3),
        };
        self.daemons[daemon] = Some(Process {
            dispatch: Dispatch::new(settings),
            keeper: Keeper::new(keeper),
            mail: Vec::new(),
            runs: BTreeMap::new(),
            results: BTreeMap::new(),
            paused: false,
            drained: false,
            origin: Duration::from_secs(1_000 * self.generation),
            until: Time::default(),
            failing: false,
        });
        self.limit(daemon, 4);
    }

    pub fn kill(&mut self, daemon: usize) {
        self.daemons[daemon] = None;
    }

    pub fn process(&mut self, daemon: usize) -> &mut Process {
        self.daemons[daemon].as_mut().expect("the daemon runs")
    }

    /// Sets the streams of the daemon's two upstreams together.
    pub fn limit(&mut self, daemon: usize, streams: u32) {
        for (index, streams) in [streams.div_ceil(2), streams / 2].into_iter().enumerate() {
            let upstream = format!("runner-{daemon}-{index}");
            let deployment = DEPLOYMENT.to_owned();
            self.input(daemon, Input::Limit { upstream, deployment, streams });
        }
    }

    /// Passes an input to a daemon that runs and is not paused.
    pub fn input(&mut self, daemon: usize, input: Input) {
        let now = self.now;
        let Some(process) = self.daemons[daemon].as_mut().filter(|process| !process.paused) else {
            return;
        };
        let now = now + process.origin;
        for action in process.dispatch.handle(now, input) {
            match action {
                Action::Call { call, request } => process.mail.push(Mail::Call(call, request, now)),
                Action::Load { chunk, items } => process.mail.push(Mail::Load(chunk, items)),
                Action::Store { chunk, key, items } => {
                    let results = &process.results;
                    let result = |item: &u32| results.get(&(chunk.job.clone(), *item)).copied();
                    let content = items
                        .iter()
                        .map(|item| (*item, result(item).expect("a stored item has a result")))
                        .collect();
                    process.mail.push(Mail::Store(chunk, key, content));
                }
                Action::Start(run) => {
                    assert!(
                        now < process.until || process.failing,
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

    /// Passes an input to the keeper of a daemon's lease.
    pub fn lease(&mut self, daemon: usize, input: lease::Input) {
        let now = self.now;
        let Some(process) = self.daemons[daemon].as_mut().filter(|process| !process.paused) else {
            return;
        };
        for action in process.keeper.handle(now + process.origin, input) {
            let process = self.daemons[daemon].as_mut().unwrap();
            match action {
                lease::Action::Call(call) => process.mail.push(Mail::Lease(call)),
                lease::Action::Held { epoch, until } => {
                    (process.until, process.failing) = (until, false);
                    self.input(daemon, Input::Lease { epoch, until });
                }
                lease::Action::Failing => {
                    process.failing = true;
                    self.input(daemon, Input::LeaseFailing);
                }
                lease::Action::Superseded => self.input(daemon, Input::Superseded),
                lease::Action::Released => {}
            }
        }
    }

    /// Time passes; every daemon that runs notices it.
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

    /// Handles a daemon's waiting piece of mail.
    pub fn deliver(&mut self, daemon: usize, index: usize, fate: Fate) {
        let Some(process) = self.daemons[daemon].as_mut().filter(|process| !process.paused) else {
            return;
        };
        if process.mail.is_empty() {
            return;
        }
        let mail = process.mail.remove(index % process.mail.len());
        match mail {
            Mail::Lease(call) => {
                let reply = self.call(call, fate);
                self.lease(daemon, lease::Input::Reply(reply));
            }
            Mail::Call(id, call, sent) => {
                let reply = self.call(call, fate);
                self.input(daemon, Input::Reply { call: id, sent, reply });
            }
            Mail::Load(chunk, _) => {
                let missing = (fate == Fate::Answered).then(Vec::new);
                self.input(daemon, Input::Loaded { chunk, missing });
            }
            Mail::Store(chunk, key, content) => {
                if fate != Fate::Refused {
                    self.store.objects.entry(key).or_insert(content);
                }
                self.input(daemon, Input::Stored { chunk, ok: fate == Fate::Answered });
            }
        }
    }

    fn call(&mut self, call: Call, fate: Fate) -> Reply {
        let write = matches!(call, Call::Commit(_));
        match fate {
            Fate::Answered => self.store.apply(&call),
            Fate::Lost if write => {
                self.store.apply(&call);
                Reply::Unknown
            }
            Fate::Late if write => {
                self.late.push(call);
                Reply::Unknown
            }
            _ => Reply::Failed,
        }
    }

    /// A transaction that was under way for long takes effect now, if its conditions hold.
    pub fn apply_late(&mut self, index: usize) {
        if !self.late.is_empty() {
            let call = self.late.remove(index % self.late.len());
            self.store.apply(&call);
        }
    }

    /// Ends a run of a daemon.
    pub fn end(&mut self, daemon: usize, index: usize, end: RunOutcome) {
        let Some(process) = self.daemons[daemon].as_mut().filter(|process| !process.paused) else {
            return;
        };
        if process.runs.is_empty() {
            return;
        }
        let id = *process.runs.keys().nth(index % process.runs.len()).unwrap();
        let run = process.runs.remove(&id).unwrap();
        if let RunOutcome::Answered(_) | RunOutcome::Rejected(_) = end {
            process.results.insert((run.job, run.item), matches!(end, RunOutcome::Answered(_)));
        }
        self.input(daemon, Input::Ended { run: id, outcome: end });
    }

    /// Delivers all mail without faults and lets each run end as `end` says, for some time.
    pub fn run(&mut self, time: Duration, mut end: impl FnMut(&Run) -> Option<RunOutcome>) {
        let until = self.now + time;
        while self.now < until {
            for daemon in 0..self.daemons.len() {
                self.drain_mail(daemon);
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

    /// Delivers a daemon's mail until none waits.
    pub fn drain_mail(&mut self, daemon: usize) {
        let waits = |world: &Self| {
            world.daemons[daemon]
                .as_ref()
                .is_some_and(|process| !process.paused && !process.mail.is_empty())
        };
        while waits(self) {
            self.deliver(daemon, 0, Fate::Answered);
        }
    }

    /// Runs without faults and with an answer for each run.
    pub fn run_well(&mut self, time: Duration) {
        self.run(time, |_| Some(RunOutcome::Answered(8)));
    }

    /// Checks what must hold when the job has ended.
    pub fn check_end(&self) {
        let job = self.store.job();
        let results = self.store.results();
        assert_ne!(
            job.state,
            State::Open,
            "the job came to no end: {job:?}, {:?}",
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
