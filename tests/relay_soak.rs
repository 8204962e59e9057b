//! Random faults, in series and overlapping, at real relay processes while callers use them.
//!
//! `SOAK_SEED=N SOAK_RUNS=M cargo test --test relay_soak -- --nocapture` runs the seeds from N on, and
//! prints what each one did.

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use cyclamengrade_standins::{
    bridge::{Fault, Faults, Harness, Job},
    client::{Call, Client},
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use tokio::time::sleep;

const RELAYS: usize = 4;
const CALLERS: u64 = 6;
/// Time in which faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(6);
/// Time between the last fault and the last new request.
const CALM_TIME: Duration = Duration::from_secs(1);
/// Seed and number of runs in CI.
const DEFAULT_SEED: u64 = 1;
const DEFAULT_RUNS: u64 = 3;

/// What callers saw, by id of the request.
#[derive(Default)]
struct Seen {
    refused: BTreeSet<String>,
    answered_once: BTreeSet<String>,
    /// Contradictions to what a relay promises.
    broken: Vec<String>,
    streams: u64,
    continued: u64,
    jobs: Vec<Job>,
}

struct Caller {
    client: Client,
    addresses: Vec<SocketAddr>,
    seen: Arc<Mutex<Seen>>,
    next_id: Arc<AtomicU64>,
    random: StdRng,
}

impl Caller {
    fn id(&self) -> String {
        format!("r-{}", self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    fn call(&mut self, route: &str, id: &str) -> Call {
        let address = self.addresses[self.random.random_range(0..self.addresses.len())];
        Call::post(address, format!("/{route}/path"))
            .with_header("host", "calls.example")
            .with_header("request-id", id)
            .with_header("deadline-ms", "4000")
            .with_body(id.to_owned())
            .with_timeout(Duration::from_secs(6))
    }

    fn note(&self, record: impl FnOnce(&mut Seen)) {
        if let Ok(mut seen) = self.seen.lock() {
            record(&mut seen);
        }
    }

    async fn run(mut self, stop: Arc<AtomicBool>) {
        while !stop.load(Ordering::Relaxed) {
            match self.random.random_range(0..10) {
                0..6 => self.stream().await,
                6..9 => self.single().await,
                _ => self.submit().await,
            }
            let pause = self.random.random_range(5..60);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Reads a stream, and continues it at another relay when it breaks off.
    async fn stream(&mut self) {
        let events = self.random.random_range(3..60);
        let (origin, mut last, mut version) = (self.id(), 0_u64, None::<String>);
        for attempt in 0..3 {
            let id = if attempt == 0 { origin.clone() } else { self.id() };
            let mut call =
                self.call("stream", &id).with_header("token-counts", format!("9,{events}"));
            if last > 0 {
                call = call
                    .with_header("last-event-id", last.to_string())
                    .with_header("resumes", origin.clone());
                self.note(|seen| seen.continued += 1);
            } else if attempt > 0 {
                // Nothing of the stream has arrived: the next attempt would be a new stream.
                return;
            }
            let Ok(mut response) = self.client.open(call).await else { continue };
            if response.status == 503 {
                self.note(|seen| _ = seen.refused.insert(id.clone()));
            }
            if response.status != 200 {
                continue;
            }
            loop {
                match response.next_event().await {
                    Ok(Some(event)) => {
                        let field = |name: &str| {
                            let line = event.lines().find_map(|line| line.strip_prefix(name));
                            line.unwrap_or_default().trim().to_owned()
                        };
                        let (found, written_by) = (field("id:"), field("event:"));
                        if found != (last + 1).to_string() {
                            let text = format!("{id}: event {found} after event {last}");
                            return self.note(|seen| seen.broken.push(text));
                        }
                        if version.get_or_insert_with(|| written_by.clone()) != &written_by {
                            let text = format!("{id}: event {found} has another version");
                            return self.note(|seen| seen.broken.push(text));
                        }
                        last += 1;
                    }
                    Ok(None) if last == events => {
                        return self.note(|seen| seen.streams += 1);
                    }
                    Ok(None) => {
                        let text = format!("{id}: ends as complete after {last} of {events}");
                        return self.note(|seen| seen.broken.push(text));
                    }
                    Err(_) => break,
                }
            }
        }
    }

    async fn single(&mut self) {
        let id = self.id();
        let route = if self.random.random_bool(0.5) { "safe" } else { "unsafe" };
        let call = self.call(route, &id);
        let Ok(reply) = self.client.send(call).await else { return };
        match reply.status {
            503 => self.note(|seen| _ = seen.refused.insert(id.clone())),
            200 if reply.text() != format!("answer to {id}") => {
                self.note(|seen| seen.broken.push(format!("{id}: another answer")));
            }
            200 if route == "unsafe" => self.note(|seen| _ = seen.answered_once.insert(id.clone())),
            _ => {}
        }
    }

    async fn submit(&mut self) {
        let id = self.id();
        let items: Vec<String> = (0..3).map(|item| format!("{id}-{item}")).collect();
        let entries = items.iter().map(|item| {
            json!({
                "Id": item, "Path": "/batch/item", "Tokens": 40, "Body": "",
                "Headers": {"Token-Counts": "10,30", "Model": "m"}
            })
        });
        let body = json!({"Items": entries.collect::<Vec<_>>()});
        let mut call = self.call("batch", &id);
        call = call.with_json(&body);
        if let Ok(reply) = self.client.send(call).await
            && reply.status == 202
        {
            self.note(|seen| seen.jobs.push(Job { id, items }));
        }
    }
}

/// Injects one random fault. Returns its name.
async fn inject(harness: &mut Harness, random: &mut StdRng) -> Result<&'static str> {
    let relay = random.random_range(0..RELAYS);
    let runner = harness.runners[random.random_range(0..harness.runners.len())].clone();
    Ok(match random.random_range(0..12) {
        0 => {
            harness.kill_relay(relay)?;
            "kill"
        }
        1 => {
            harness.terminate_relay(relay)?;
            "terminate"
        }
        2 => {
            harness.pause_relay(relay)?;
            sleep(Duration::from_millis(random.random_range(50..900))).await;
            harness.resume_relay(relay)?;
            "pause"
        }
        3 => {
            runner.crash();
            "crash"
        }
        4..=6 => {
            let cut = Fault::CutAfter(random.random_range(0..20));
            // No failures (500): two of them end a batch item for good, as its route allows.
            let faults = [cut, Fault::NotRun, Fault::WrongId, Fault::Silent];
            let fault = faults[random.random_range(0..faults.len())];
            runner.queue_faults(&[fault; 2]);
            "upstream"
        }
        7 => {
            let faults = [Fault::SecondAnswer, Fault::CutAfter(0), Fault::WrongId];
            harness.plain.queue_faults(&[faults[random.random_range(0..faults.len())]]);
            "service"
        }
        8 => {
            harness.store.set_faults(Faults { refuse: true, ..Faults::default() });
            "store refuses"
        }
        9 => {
            harness.store.set_faults(Faults { lost_replies: 3, ..Faults::default() });
            "replies lost"
        }
        10 => {
            harness.store.discard_history();
            harness.configure(json!([]));
            "configuration"
        }
        _ => {
            let state = if random.random_bool(0.5) { "ready" } else { "draining" };
            harness.store.put("servers", &runner.id, &runner.entry("model", state));
            "listing"
        }
    })
}

/// Undoes what lasts of the faults: starts relays that have ended, and lists all runners.
async fn heal(harness: &mut Harness) -> Result<()> {
    harness.store.set_faults(Faults::default());
    for runner in &harness.runners {
        harness.store.put("servers", &runner.id, &runner.entry("model", "ready"));
    }
    for relay in 0..RELAYS {
        let start = Instant::now();
        // A relay that was asked to stop ends within its grace time.
        while harness.is_running(relay)? && harness.readiness(relay).await != Some(200) {
            if start.elapsed() > Duration::from_secs(8) {
                return fail!("relay {relay} is neither ready nor ended");
            }
            sleep(Duration::from_millis(50)).await;
        }
        if !harness.is_running(relay)? {
            harness.start_relay(relay)?;
        }
        harness.await_ready(relay).await?;
    }
    Ok(())
}

/// Returns the promises that were broken according to what ran at the upstreams.
fn contradictions(harness: &Harness, seen: &Seen) -> Vec<String> {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for runner in harness.runners.iter().chain([&harness.plain]) {
        for run in runner.runs() {
            *runs.entry(run.id).or_default() += 1;
        }
    }
    let count = |id: &String| runs.get(id).copied().unwrap_or_default();
    let refused = seen.refused.iter().filter(|id| count(id) > 0);
    let refused = refused.map(|id| format!("{id} was refused as not run, and ran"));
    let once = seen.answered_once.iter().filter(|id| count(id) != 1);
    let once = once.map(|id| format!("{id} ran {} times", count(id)));
    seen.broken.iter().cloned().chain(refused).chain(once).collect()
}

async fn soak(seed: u64) -> Result<()> {
    let mut harness = Harness::start(RELAYS).await?;
    for (id, version) in [("m-3", "v1"), ("m-4", "v2"), ("m-5", "v2")] {
        let runner = harness.add_runner(id, version, "a").await?;
        harness.list(&runner, 0).await?;
    }
    let mut random = StdRng::seed_from_u64(seed);
    let (seen, stop) = (Arc::new(Mutex::new(Seen::default())), Arc::new(AtomicBool::new(false)));
    let next_id = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = Caller {
                client: Client::new(),
                addresses: (0..RELAYS).map(|relay| harness.address(relay)).collect(),
                seen: seen.clone(),
                next_id: next_id.clone(),
                random: StdRng::seed_from_u64(seed * 1_000 + number),
            };
            tokio::spawn(caller.run(stop.clone()))
        })
        .collect();
    let begin = Instant::now();
    let mut faults: BTreeMap<&str, u32> = BTreeMap::new();
    while begin.elapsed() < FAULT_TIME {
        *faults.entry(inject(&mut harness, &mut random).await?).or_default() += 1;
        sleep(Duration::from_millis(random.random_range(20..400))).await;
        if random.random_bool(0.3) {
            harness.store.set_faults(Faults::default());
        }
        for relay in 0..RELAYS {
            if random.random_bool(0.3) && !harness.is_running(relay)? {
                harness.start_relay(relay)?;
            }
        }
    }
    heal(&mut harness).await?;
    sleep(CALM_TIME).await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await?;
    }
    let seen = std::mem::take(&mut *seen.lock().map_err(|error| error.to_string()).or_fail()?);
    for job in &seen.jobs {
        let results = harness.await_results(0, job).await?;
        let mut done: Vec<&str> = Harness::complete_items(&results, 30);
        done.sort_unstable();
        let items: Vec<&str> = job.items.iter().map(String::as_str).collect();
        expect_that!(done, eq(&items), "seed {seed}: {results:?}");
        let ids: BTreeSet<Option<&str>> =
            results.iter().map(|result| result["Id"].as_str()).collect();
        expect_that!(ids.len(), eq(results.len()));
    }
    println!(
        "seed {seed}: {} streams, {} continued, {} refused, {} jobs, faults {faults:?}",
        seen.streams,
        seen.continued,
        seen.refused.len(),
        seen.jobs.len()
    );
    expect_that!(contradictions(&harness, &seen), is_empty(), "seed {seed}");
    verify_that!(seen.streams, gt(10))
}

/// Guards against promises to callers that hold under single faults and not under several at once.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn random_faults() -> Result<()> {
    let number = |name: &str, default| {
        env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
    };
    let first = number("SOAK_SEED", DEFAULT_SEED);
    for seed in first..first + number("SOAK_RUNS", DEFAULT_RUNS) {
        soak(seed).await?;
    }
    Ok(())
}
