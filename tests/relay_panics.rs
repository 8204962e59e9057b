//! Tests of a relay in this process some of whose tasks end by a panic.
#![allow(clippy::panic)]

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use cyclamengrade_bridge::{Client, Platform};
use cyclamengrade_control::relay::{route, selector::Upstream};
use cyclamengrade_platform::{
    Boxed, Table,
    table::{Commit, Row, Transaction},
};
use cyclamengrade_relay::{
    Error, Parts,
    dialect::{Dialect, Headers, Item, JobCall, Page, Sources},
};
use cyclamengrade_settings::Relay;
use cyclamengrade_standins::{
    bridge::{Fault, Harness},
    client::Call,
};
use googletest::prelude::*;
use hyper::{HeaderMap, Method, Uri, body::Bytes};
use serde_json::{Value, json};
use tokio::time::sleep;

/// First part of the prompt of a request that ends the task that reads it.
const FATAL: &str = "fatal";
/// First parts of the prompts of items: one whose first start panics, and one whose first run does.
const FATAL_START: &str = "start";
const FATAL_RUN: &str = "run";
/// Key of the entry of an upstream that ends the task that reads it.
const FATAL_ENTRY: &str = "m-fatal";

/// The dialect of the users' platform, with panics.
struct Faulty {
    inner: Platform,
    /// How often the prompts of the two items were read.
    starts: AtomicU32,
    runs: AtomicU32,
}

impl Dialect for Faulty {
    fn headers(&self) -> &Headers {
        self.inner.headers()
    }

    fn sources(&self) -> &Sources {
        self.inner.sources()
    }

    fn configuration(&self, value: &Value) -> std::result::Result<route::Table, String> {
        self.inner.configuration(value)
    }

    fn key_scheme(&self) -> &'static str {
        self.inner.key_scheme()
    }

    fn shared_parts(&self, headers: &HeaderMap) -> Vec<String> {
        let parts = self.inner.shared_parts(headers);
        match parts.first().map(String::as_str) {
            Some(FATAL) => panic!("a request"),
            Some(FATAL_START) if self.starts.fetch_add(1, Ordering::SeqCst) == 0 => {
                panic!("a start")
            }
            // The first time, the run has not begun.
            Some(FATAL_RUN) if self.runs.fetch_add(1, Ordering::SeqCst) == 1 => panic!("a run"),
            _ => parts,
        }
    }

    fn stated_tokens(&self, headers: &HeaderMap) -> u32 {
        self.inner.stated_tokens(headers)
    }

    fn upstream(&self, id: &str, value: &Value) -> std::result::Result<Upstream, String> {
        if id == FATAL_ENTRY {
            panic!("an entry");
        }
        self.inner.upstream(id, value)
    }

    fn job_call(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> Option<JobCall> {
        self.inner.job_call(method, uri, headers)
    }

    fn read_job(&self, body: &[u8]) -> std::result::Result<Vec<Item>, String> {
        self.inner.read_job(body)
    }

    fn write_page(&self, page: &Page) -> Bytes {
        self.inner.write_page(page)
    }
}

/// A logger that drops all lines.
struct Sink;

impl log::Log for Sink {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, _: &log::Record<'_>) {}

    fn flush(&self) {}
}

/// A table whose next write panics on request.
struct Fragile {
    inner: Client,
    is_broken: Arc<AtomicBool>,
}

impl Table for Fragile {
    fn read(&self, keys: Vec<String>) -> Boxed<'_, Vec<Option<Row>>> {
        self.inner.read(keys)
    }

    fn scan(&self, prefix: String, after: String, limit: usize) -> Boxed<'_, Vec<Row>> {
        self.inner.scan(prefix, after, limit)
    }

    fn commit(&self, transaction: Transaction) -> Boxed<'_, Commit> {
        if self.is_broken.swap(false, Ordering::SeqCst) {
            panic!("a write");
        }
        self.inner.commit(transaction)
    }
}

/// A relay in a thread of this process.
struct Local {
    address: SocketAddr,
    is_broken: Arc<AtomicBool>,
    thread: JoinHandle<std::result::Result<(), Error>>,
    path: PathBuf,
}

impl Local {
    fn start(harness: &Harness) -> Result<Self> {
        let host = harness.store.address.ip();
        let port = |number: u16| SocketAddr::from((host, 20_000 + number));
        let settings = json!({
            "name": "vm-0", "data_centre": "a", "listen": port(0), "ready_listen": port(1),
            "metrics_listen": port(2), "peer_listen": port(3), "dialect": "bridge",
            "store": {"address": harness.store.address, "keep_s": 1}, "memory_bytes": 16 << 20,
            "stop": {"grace_s": 2.0, "leave_ms": 100}
        });
        let path = std::env::temp_dir().join(format!("relay-panics-{}.json", std::process::id()));
        fs::write(&path, settings.to_string())?;
        let settings = Relay::read(&path)?;
        // The lines of a failure read the prompt, if there is a logger.
        log::set_logger(&Sink)?;
        log::set_max_level(log::LevelFilter::Debug);
        let client = || Client::new(harness.store.address, Duration::from_secs(1));
        let is_broken = Arc::new(AtomicBool::new(false));
        let parts = Parts {
            dialect: Arc::new(Faulty {
                inner: Platform::new(),
                starts: AtomicU32::new(0),
                runs: AtomicU32::new(0),
            }),
            table: Arc::new(Fragile { inner: client(), is_broken: is_broken.clone() }),
            objects: Arc::new(client()),
            feed: Arc::new(client()),
            path: path.clone(),
            settings,
        };
        let thread = thread::spawn(move || cyclamengrade_relay::run(parts));
        Ok(Self { address: port(0), is_broken, thread, path })
    }

    /// Ends the task that writes the row of the relay, which is deleted. Returns how the relay ends.
    async fn break_down(self, harness: &Harness) -> Result<std::result::Result<(), Error>> {
        self.is_broken.store(true, Ordering::SeqCst);
        harness.store.remove_row("fleet", "members", "vm-0");
        let begin = Instant::now();
        while !self.thread.is_finished() && begin.elapsed() < Duration::from_secs(10) {
            sleep(Duration::from_millis(50)).await;
        }
        expect_that!(self.thread.is_finished(), is_true());
        fs::remove_file(&self.path)?;
        Ok(self.thread.join().unwrap_or(Ok(())))
    }
}

fn request(relay: &Local, id: &str, prompt: &str) -> Call {
    Call::post(relay.address, "/safe/path")
        .with_header("host", "calls.example")
        .with_header("request-id", id)
        .with_header("deadline-ms", "3000")
        .with_header("prompt-prefix", prompt)
}

/// Guards against a request without an answer, an item that counts as running for ever, an entry that keeps others
/// from being read, and a relay that goes on without a task that it needs, after a panic.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn isolated() -> Result<()> {
    let harness = Harness::start(0).await?;
    let fatal = harness.plain.entry("plain", "ready");
    harness.store.put("servers", FATAL_ENTRY, &fatal);
    let relay = Local::start(&harness)?;
    let serves = async || {
        let reply = harness.send(request(&relay, "first", "a:1,b:1")).await.ok()?;
        (reply.status == 200).then_some(())
    };
    harness.eventually("a served request", serves).await?;
    let reply = harness.send(request(&relay, "fatal", &format!("{FATAL}:1,b:1"))).await?;
    expect_that!(reply.status, eq(503));
    expect_that!(harness.plain.runs().iter().any(|run| run.id == "fatal"), is_false());
    expect_that!(harness.send(request(&relay, "next", "a:1,b:1")).await?.status, eq(200));
    // The first run of the item breaks off, which its task reports.
    for runner in &harness.runners {
        runner.queue_faults(&[Fault::CutAfter(2)]);
    }
    let items = [FATAL_START, FATAL_RUN].map(|part| {
        json!({
            "Id": format!("j-1-{part}"), "Path": "/batch/item", "Tokens": 14, "Body": "eA==",
            "Headers": {"Token-Counts": "10,4", "Prompt-Prefix": format!("{part}:1,b:1")}
        })
    });
    let body = json!({"Items": items});
    let submission = Call::post(relay.address, "/batch/j-1")
        .with_header("host", "calls.example")
        .with_header("request-id", "j-1")
        .with_json(&body);
    expect_that!(harness.send(submission).await?.status, eq(202));
    let results = async || {
        let page = Call::get(relay.address, "/-/lots/j-1?After=0");
        let page: Value =
            harness.send(page.with_header("host", "calls.example")).await.ok()?.json().ok()?;
        page["Results"].as_array().filter(|results| results.len() == 2).cloned()
    };
    let results = harness.eventually("the result", results).await?;
    expect_that!(Harness::complete_items(&results, 4), len(eq(2)));
    let ended = relay.break_down(&harness).await?;
    verify_that!(ended, err(matches_pattern!(Error::Task)))
}
