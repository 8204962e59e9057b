//! Test support for batch jobs and claims: daemons on an in-memory platform, and a runner that
//! follows a script.
#![allow(dead_code, clippy::unwrap_used, clippy::panic)]

use std::{
    collections::BTreeMap,
    future::Future,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use cyclamengrade_caller::backend::{Item, ItemResult, Job, JobState, Results, Submission};
use cyclamengrade_configuration::{Client, Deployment, Document, Limit};
use cyclamengrade_control::{fleet::Vm, traffic};
use cyclamengrade_daemon::{
    batch::{
        BatchLimit, Call, Cancelling, Dependencies, Dispatcher, Jobs, Outcome, Runner, Running,
        Summary, Transcript,
    },
    lease::Renewer,
    node::{Clock, Configuration},
};
use cyclamengrade_platform::{
    Boxed, Error, memory,
    table::{Commit, Row, Transaction},
};
use cyclamengrade_settings as settings;
use kameo::actor::ActorRef;
use tokio::{runtime::Handle, sync::watch, time::sleep};

pub const DEPLOYMENT: &str = "wording-llm";
pub const CLIENT: &str = "himal";

/// Time limit of a wait, long enough that only a test that hangs reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// An in-memory table that can lose the reply to one commit.
pub struct Table {
    pub memory: memory::Table,
    /// Number of commits so far, without those of leases.
    commits: AtomicI64,
    /// Number of the commit whose reply is lost; -1 for none.
    lost_commit: AtomicI64,
}

impl Table {
    pub fn new() -> Arc<Self> {
        let (commits, lost_commit) = (AtomicI64::new(0), AtomicI64::new(-1));
        Arc::new(Self { memory: memory::Table::new(), commits, lost_commit })
    }

    /// Loses the reply to the commit with this number, counted from 0, after the commit has taken
    /// effect.
    pub fn lose_reply(&self, number: i64) {
        self.lost_commit.store(number, Ordering::SeqCst);
    }

    pub fn commits(&self) -> i64 {
        self.commits.load(Ordering::SeqCst)
    }
}

impl cyclamengrade_platform::Table for Table {
    fn read(&self, keys: Vec<String>) -> Boxed<'_, Vec<Option<Row>>> {
        self.memory.read(keys)
    }

    fn scan(&self, prefix: String, after: String, limit: usize) -> Boxed<'_, Vec<Row>> {
        self.memory.scan(prefix, after, limit)
    }

    fn commit(&self, transaction: Transaction) -> Boxed<'_, Commit> {
        let is_lease = transaction.writes.iter().any(|write| write.key.starts_with("daemon/"));
        Box::pin(async move {
            let reply = self.memory.commit(transaction).await?;
            // Commits of leases are not counted, because their number depends on time.
            let number = if is_lease { -2 } else { self.commits.fetch_add(1, Ordering::SeqCst) };
            if number == self.lost_commit.load(Ordering::SeqCst) {
                return Err(Error::OutcomeUnknown("reply lost by the test".into()));
            }
            Ok(reply)
        })
    }
}

/// A step of a scripted run.
#[derive(Clone, Debug)]
pub enum Step {
    /// Appends this many tokens of the answer after those received earlier.
    Tokens(u32),
    /// Appends this many tokens, with which the answer is complete.
    LastTokens(u32),
    Pause(Duration),
    /// Waits until the run is cancelled.
    Hang,
    /// Ends the run with this outcome.
    End(Outcome),
}

type Script = dyn Fn(&Call) -> Vec<Step> + Send + Sync;

/// A runner that follows a script and records its calls.
pub struct Scripted {
    script: Box<Script>,
    pub calls: Mutex<Vec<Call>>,
    /// Whether the upstreams have crashed when a stopped run is cancelled.
    pub crashed: AtomicBool,
    /// Number of streams that are open.
    pub open: Arc<AtomicU64>,
    /// Maximum number of streams that were open at the same time.
    pub max_open: AtomicU64,
}

impl Scripted {
    pub fn new(script: impl Fn(&Call) -> Vec<Step> + Send + Sync + 'static) -> Arc<Self> {
        Arc::new(Self {
            script: Box::new(script),
            calls: Mutex::default(),
            crashed: AtomicBool::new(false),
            open: Arc::default(),
            max_open: AtomicU64::new(0),
        })
    }

    /// Creates a runner that answers every item immediately with two tokens.
    pub fn immediate() -> Arc<Self> {
        Self::new(|_| vec![Step::Tokens(2), Step::End(Outcome::Done)])
    }

    /// Returns the calls for the item with this prompt.
    pub fn calls_for(&self, prompt: &str) -> Vec<Call> {
        let calls = self.calls.lock().unwrap();
        calls.iter().filter(|call| call.prompt == prompt).cloned().collect()
    }

    pub fn open(&self) -> u64 {
        self.open.load(Ordering::SeqCst)
    }
}

/// Counts a stream as closed when its run ends or is dropped.
struct Stream(Arc<AtomicU64>);

impl Drop for Stream {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Runner for Scripted {
    fn cancel(&self, _: SocketAddr, _: String) -> Cancelling {
        let crashed = self.crashed.load(Ordering::SeqCst);
        Box::pin(async move { crashed })
    }

    fn run(&self, call: Call, transcript: Transcript) -> Running {
        let steps = (self.script)(&call);
        self.calls.lock().unwrap().push(call.clone());
        let open = self.open.fetch_add(1, Ordering::SeqCst) + 1;
        self.max_open.fetch_max(open, Ordering::SeqCst);
        let stream = Stream(self.open.clone());
        Box::pin(async move {
            let _stream = stream;
            let mut index = call.resume_from;
            for step in steps {
                match step {
                    Step::Tokens(count) | Step::LastTokens(count) => {
                        let tokens = (index..index + count).map(|at| token(&call.prompt, at));
                        transcript.extend(tokens, matches!(step, Step::LastTokens(_)));
                        index += count;
                    }
                    Step::Pause(time) => sleep(time).await,
                    Step::Hang => std::future::pending().await,
                    Step::End(outcome) => {
                        let first_token = Some(Duration::from_millis(1));
                        return Summary { outcome, first_token, between_tokens: None };
                    }
                }
            }
            panic!("the script has no final step");
        })
    }
}

/// Returns the token at this position of the answer to a prompt.
pub fn token(prompt: &str, index: u32) -> String {
    format!("{prompt}-{index} ")
}

/// Returns the first tokens of the answer to a prompt.
pub fn answer(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

/// Table, object store and configuration that several daemons share.
#[derive(Clone)]
pub struct Platform {
    pub table: Arc<Table>,
    pub objects: Arc<memory::Objects>,
    configuration: Arc<watch::Sender<Arc<Configuration>>>,
}

impl Platform {
    pub fn new() -> Self {
        Self::with_limit(Limit::new())
    }

    /// Creates a platform on which the client has this limit at every deployment.
    pub fn with_limit(limit: Limit) -> Self {
        let mut document = Document::default();
        document.deployments.insert(DEPLOYMENT.into(), Deployment::model("m", "1"));
        document.deployments.insert("print-relay".into(), Deployment::service());
        let client = Client::new("token-himal").with_limit("*", limit);
        document.clients.insert(CLIENT.into(), client);
        let first_revision = Configuration { revision: 1, document: Arc::new(document) };
        let configuration = Arc::new(watch::channel(Arc::new(first_revision)).0);
        Self { table: Table::new(), objects: Arc::default(), configuration }
    }

    /// Puts a configuration with another version of the model in force.
    pub fn set_model_version(&self, version: &str) {
        let current = self.configuration.borrow().clone();
        let mut document = Document::clone(&current.document);
        document.deployments.insert(DEPLOYMENT.into(), Deployment::model("m", version));
        let revision = current.revision + 1;
        let next = Configuration { revision, document: Arc::new(document) };
        self.configuration.send_replace(Arc::new(next));
    }

    pub fn jobs(&self) -> Jobs {
        let (table, objects) = (self.table.clone(), self.objects.clone());
        let configuration = self.configuration.subscribe();
        Jobs::new(table, objects, Clock::new(), settings("entry").limits, configuration)
    }

    /// Like [`Platform::jobs`], but divides jobs into chunks of this many items.
    pub fn jobs_with_chunks(&self, chunk_items: usize) -> Jobs {
        let (table, objects) = (self.table.clone(), self.objects.clone());
        let limits = settings::Limits { chunk_items, ..settings::Limits::default() };
        Jobs::new(table, objects, Clock::new(), limits, self.configuration.subscribe())
    }

    /// Starts the dispatcher and the lease of a daemon that may hold this many streams open at its
    /// upstream.
    pub async fn daemon(&self, name: &str, runner: Arc<Scripted>, streams: u32) -> Daemon {
        let settings = settings(name);
        let clock = Clock::new();
        let lease_renewer = Renewer::start(self.table.clone(), clock, name, &settings.lease);
        let upstream = format!("{name}-runner");
        let vm = Vm {
            name: upstream.clone(),
            address: "127.0.0.1:9".parse().unwrap(),
            data_centre: "ktm-a".into(),
            service: DEPLOYMENT.into(),
            leaving: false,
        };
        let notices: Arc<Mutex<Vec<traffic::Input>>> = Arc::default();
        let received = notices.clone();
        let dispatcher = Dispatcher::start(Dependencies {
            table: self.table.clone(),
            objects: self.objects.clone(),
            clock,
            runner,
            traffic: Handle::current(),
            settings,
            configuration: self.configuration.subscribe(),
            fleet: watch::channel(Arc::new(vec![vm])).1,
            lease: lease_renewer.state(),
            notify: Arc::new(move |notice| received.lock().unwrap().push(notice)),
        });
        let daemon = Daemon { dispatcher, lease_renewer, upstream, notices };
        daemon.set_limit(streams).await;
        daemon
    }

    /// Waits until a job is in this state, and returns its status.
    pub async fn wait_for_state(&self, id: &str, state: JobState) -> Job {
        let jobs = self.jobs();
        let found =
            eventually(async || jobs.job(CLIENT, id).await.ok().filter(|job| job.state == state));
        found.await
    }

    /// Returns the committed results of a job.
    pub async fn results(&self, id: &str) -> Vec<ItemResult> {
        let mut lines = self.jobs().results(CLIENT, id).await.unwrap();
        let mut results = Vec::new();
        loop {
            let content = match lines.recv().await.unwrap() {
                Results::Lines(content) => content,
                Results::End => return results,
                Results::Failed(failure) => panic!("{failure:?}"),
            };
            let lines = content.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
            results.extend(lines.map(|line| serde_json::from_slice::<ItemResult>(line).unwrap()));
        }
    }

    pub async fn submit(&self, key: &str, items: u32) -> Job {
        self.jobs().submit(submission(key, items)).await.unwrap()
    }
}

/// Dispatcher and lease of one daemon.
pub struct Daemon {
    pub dispatcher: ActorRef<Dispatcher>,
    pub lease_renewer: Renewer,
    /// Name of the daemon's only upstream.
    pub upstream: String,
    /// Inputs that the dispatcher has sent to the state machine of online traffic.
    pub notices: Arc<Mutex<Vec<traffic::Input>>>,
}

impl Daemon {
    /// Sets the maximum number of streams at the upstream.
    pub async fn set_limit(&self, streams: u32) {
        let (upstream, deployment) = (self.upstream.clone(), DEPLOYMENT.to_owned());
        self.dispatcher.tell(BatchLimit { upstream, deployment, streams }).send().await.unwrap();
    }

    /// Stops the daemon without a shutdown, like the loss of its vm. The lease is no longer
    /// renewed, because the last handle of its lease renewer is dropped.
    pub fn kill(self) {
        self.dispatcher.kill();
    }
}

/// Returns settings with a short lease, so that takeovers take little time.
pub fn settings(name: &str) -> settings::Daemon {
    serde_json::from_value(serde_json::json!({
        "name": name,
        "data_centre": "ktm-a",
        "listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "platform": { "table": "127.0.0.1:1", "objects": "127.0.0.1:1", "vms": "127.0.0.1:1" },
        "lease": { "length_ms": 2000, "renewal_ms": 400, "margin_ms": 500 },
        "limits": { "chunk_items": 8, "batch_items": 1000 },
        "timers": { "jobs_poll_ms": 100 },
    }))
    .unwrap()
}

/// Returns the input of a job with the items `item-0`, `item-1` and so on, whose prompts are equal
/// to their identifiers.
pub fn input(items: u32) -> Bytes {
    let item = |index| Item {
        id: format!("item-{index}"),
        prompt: format!("item-{index}"),
        max_tokens: 8,
    };
    let lines = (0..items).map(|index| serde_json::to_string(&item(index)).unwrap() + "\n");
    lines.collect::<String>().into()
}

pub fn submission(key: &str, items: u32) -> Submission {
    Submission {
        client: CLIENT.into(),
        key: key.into(),
        deployment: DEPLOYMENT.into(),
        due: Duration::from_secs(3600),
        input: input(items),
    }
}

/// Calls `probe` every 10 ms until it returns a value; fails after [`TEST_TIMEOUT`].
pub async fn eventually<T, F: Future<Output = Option<T>>>(mut probe: impl FnMut() -> F) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = probe().await {
            return found;
        }
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "the condition was not met within {TEST_TIMEOUT:?}"
        );
        sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the texts of results by identifier of the item.
pub fn texts(results: &[ItemResult]) -> BTreeMap<&str, Option<&str>> {
    results.iter().map(|result| (result.id.as_str(), result.text.as_deref())).collect()
}
