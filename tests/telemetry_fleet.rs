//! Checks log lines and metrics of running daemons against the catalogues of events and metrics.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    time::Duration,
};

use cyclamengrade_standins::{
    client::Call,
    fleet::{Completion, Fleet, Harness, Job, JobState, Plan, items},
};
use cyclamengrade_telemetry::{event::Event, metrics};
use googletest::prelude::*;
use serde_json::Value;

/// Fields that every numbered event has.
const COMMON_FIELDS: [&str; 5] = ["time", "level", "event", "name", "message"];

/// Returns the names in backticks.
fn backticked_names(text: &str) -> BTreeSet<&str> {
    text.split('`').skip(1).step_by(2).collect()
}

/// Returns the names of the labels of a series, without `le`, the bucket bound of histograms.
fn label_names(series: &str) -> Vec<&str> {
    let Some((_, rest)) = series.split_once('{') else { return Vec::new() };
    let names = rest.split("=\"").filter_map(|part| part.rsplit(['{', ',', '"']).next());
    names.filter(|name| !["", "le", "}"].contains(name) && !name.contains('}')).collect()
}

/// Runs one job to its end and cancels another one, both submitted to the first daemon.
async fn run_jobs(fleet: &Fleet) -> Result<()> {
    let due = Duration::from_secs(600);
    let reply = fleet.submit(0, "job-1", due, &items("a", 70, 3)).await.or_fail()?;
    let job = reply.json::<Job>().or_fail()?;
    fleet
        .eventually("the end of the job", async || {
            let job = fleet.job(0, &job.id).await.ok()?;
            (job.state == JobState::Completed).then_some(())
        })
        .await
        .or_fail()?;
    let reply = fleet.submit(0, "job-2", due, &items("b", 70, 1_000)).await.or_fail()?;
    let job = fleet.cancel(0, &reply.json::<Job>().or_fail()?.id).await.or_fail()?;
    verify_that!(job.state, eq(JobState::Cancelled))
}

/// Guards against events with undeclared fields or numbers, against metrics with undeclared names
/// or labels, and against lines that are not JSON.
#[gtest]
#[tokio::test]
async fn catalogues_hold() -> Result<()> {
    let settings = serde_json::json!({ "telemetry": { "log_level": "debug", "trace_share": 1.0 } });
    let plan = Plan::new(2, 2, 1).with_settings(&settings);
    let mut fleet = Fleet::start(plan).await.or_fail()?;
    let answer = fleet.complete(0, &Completion::new("Label: wool", 8)).await.or_fail()?;
    expect_that!(answer.complete, eq(true));
    fleet.call_service(1, "key-1", Duration::from_secs(20)).await.or_fail()?;
    run_jobs(&fleet).await?;

    // The gauges of the deployments are updated every 2 s.
    let text = fleet
        .eventually("metrics with gauges of the deployments", async || {
            let mut text = String::new();
            for daemon in &fleet.daemons {
                let call = Call::get(daemon.address, "/metrics");
                text += &fleet.client.send(call).await.ok()?.text();
            }
            (text.contains("retry_budget{") && text.contains("lease_renewals_total{"))
                .then_some(text)
        })
        .await
        .or_fail()?;
    fleet.kill_daemon(1).or_fail()?;
    for series in [
        "jobs_total{state=\"accepted\"} 2",
        "jobs_total{state=\"completed\"} 1",
        "jobs_total{state=\"cancelled\"} 1",
        "chunks_total{outcome=\"claimed\"}",
        "chunks_total{outcome=\"committed\"}",
        "claims_total{outcome=\"ok\"} 1",
        "lease_renewals_total{outcome=",
        "batch_items_total{",
        "batch_streams{",
        "batch_stream_limit{",
        "requests_queued{",
        "retry_budget{",
    ] {
        expect_that!(text.lines().any(|line| line.starts_with(series)), eq(true), "{series}");
    }
    let declared: BTreeMap<_, _> =
        metrics::ALL.iter().map(|metric| (metric.name, metric.labels)).collect();
    let mut seen = 0;
    for line in text.lines().filter(|line| !line.starts_with('#') && !line.is_empty()) {
        let series = line.rsplit_once(' ').or_fail()?.0;
        let name = series.split('{').next().or_fail()?;
        let name = ["_bucket", "_sum", "_count"]
            .iter()
            .find_map(|suffix| name.strip_suffix(suffix))
            .unwrap_or(name);
        let Some(known) = declared.get(name) else {
            add_failure!("{name} is not declared");
            continue;
        };
        for label in label_names(series) {
            let fits = known.split(", ").any(|known| known == label);
            expect_that!(fits, eq(true), "{series}: {label}");
        }
        seen += 1;
    }
    expect_that!(seen, gt(20));

    let code = fleet.stop_daemon(0).await.or_fail()?;
    expect_that!(code, some(eq(0)));
    let mut numbers = BTreeSet::new();
    for entry in fs::read_dir(fleet.folder()).or_fail()? {
        let path = entry.or_fail()?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if !name.starts_with("entry-") || !name.ends_with(".log") {
            continue;
        }
        let text = fs::read_to_string(path).or_fail()?;
        // The last line of the killed daemon may be incomplete.
        let killed = name.starts_with("entry-2");
        let end = if killed { text.rfind('\n').unwrap_or_default() } else { text.len() };
        for line in text[..end].lines() {
            let value: Value = serde_json::from_str(line).or_fail()?;
            let Some(number) = value["event"].as_u64() else { continue };
            let event = Event::ALL.iter().find(|event| u64::from(event.number()) == number);
            let event = event.or_fail()?;
            numbers.insert(number);
            let known = backticked_names(event.description());
            for field in value.as_object().or_fail()?.keys() {
                let fits = COMMON_FIELDS.contains(&field.as_str())
                    || known.contains(field.as_str())
                    || *event == Event::SpanEnded;
                expect_that!(fits, eq(true), "{line}: {field}");
            }
        }
    }
    for event in [
        Event::Starting,
        Event::Ready,
        Event::Leaving,
        Event::Stopped,
        Event::JobAccepted,
        Event::JobCompleted,
        Event::JobCancelled,
        Event::ChunkClaimed,
        Event::ChunkCommitted,
        Event::SpanEnded,
    ] {
        expect_that!(numbers, contains(eq(&u64::from(event.number()))));
    }
    Ok(())
}

/// Returns the numbers of the events that a daemon has logged so far.
fn logged_events(fleet: &Fleet, daemon: usize) -> BTreeSet<u64> {
    let path = fleet.folder().join(format!("{}.1.log", fleet.daemons[daemon].name));
    let text = fs::read_to_string(path).unwrap();
    let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines.filter_map(|line| line["event"].as_u64()).collect()
}

/// Guards against a daemon that resumes after its lease has expired and does not log the lost lease
/// and the lost chunks, and against takeovers that are not logged.
#[gtest]
#[tokio::test]
async fn paused_holder() -> Result<()> {
    let harness = Harness::start().await?;
    let fleet = &harness.fleet;
    let job = harness.ledger.submit(fleet, 1, "job-1", &items("a", 300, 40)).await?;
    fleet
        .eventually("a chunk of the daemon that is paused", async || {
            let rows = fleet.rows("chunk/").await.ok()?;
            let held = |row: &Value| row["holder"] == "entry-1" && row["state"] == "held";
            rows.iter().any(|row| held(&row.value)).then_some(())
        })
        .await?;
    fleet.process(0)?.pause()?;
    fleet
        .eventually("the end of the job without the paused daemon", async || {
            let job = fleet.job(1, &job.id).await.ok()?;
            (job.state == JobState::Completed).then_some(())
        })
        .await?;
    fleet.process(0)?.resume()?;
    let wanted = [Event::LeaseLost, Event::ChunkCommitLost].map(|event| event.number().into());
    fleet
        .eventually("the events of the resumed daemon", async || {
            let found = logged_events(fleet, 0);
            wanted.iter().all(|number| found.contains(number)).then_some(())
        })
        .await?;
    expect_that!(logged_events(fleet, 1), contains(eq(&u64::from(Event::ChunkTakenOver.number()))));
    harness.verify(1).await.or_fail()
}
