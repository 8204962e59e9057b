//! Tests of the relays that are left, or that start, after most of the fleet is lost for good.

use std::time::Duration;

use cyclamengrade_standins::bridge::{Harness, Job};
use googletest::prelude::*;
use serde_json::{Value, json};
use tokio::time::sleep;

const EVENTS: u64 = 20;
const ITEMS: usize = 2;
/// Time in which all relays learn of each other.
const CONTACT_TIME: Duration = Duration::from_secs(3);

async fn accept(harness: &Harness, relay: usize, id: &str) -> Result<Job> {
    let (job, status) = harness.submit(relay, id, ITEMS, EVENTS).await?;
    verify_that!(status, eq(202))?;
    Ok(job)
}

/// Submits a job to each relay, and kills all but the last `left` ones once they are accepted.
async fn lose_relays(harness: &mut Harness, left: usize) -> Result<Vec<Job>> {
    sleep(CONTACT_TIME).await;
    let relays = harness.relays();
    let mut jobs = Vec::new();
    for relay in 0..relays {
        jobs.push(accept(harness, relay, &format!("job-{relay}")).await?);
    }
    let lost: Vec<usize> = (0..relays - left).collect();
    harness.kill_relays(&lost)?;
    Ok(jobs)
}

async fn expect_done(harness: &Harness, relay: usize, jobs: &[Job]) -> Result<()> {
    for job in jobs {
        let results = harness.await_results(relay, job).await?;
        expect_that!(Harness::complete_items(&results, EVENTS).len(), eq(ITEMS), "{}", job.id);
    }
    Ok(())
}

/// Guards against a relay that is left alone, takes its own silence for a lost link, and runs neither
/// the jobs of the lost relays nor its own.
#[gtest]
#[tokio::test]
async fn last_relay() -> Result<()> {
    let mut harness = Harness::start(8).await?;
    let mut jobs = lose_relays(&mut harness, 1).await?;
    jobs.push(accept(&harness, 7, "late").await?);
    expect_done(&harness, 7, &jobs).await
}

/// Guards against the relays that are left waiting for monitors and brokers that are gone.
#[gtest]
#[tokio::test]
async fn few_relays() -> Result<()> {
    let mut harness = Harness::start(12).await?;
    let jobs = lose_relays(&mut harness, 2).await?;
    expect_done(&harness, 11, &jobs).await
}

/// Guards against relays that are lost one after the other and count, once they are more than those
/// that are left, as a sign of a lost link.
#[gtest]
#[tokio::test]
async fn one_by_one() -> Result<()> {
    let mut harness = Harness::start(6).await?;
    sleep(CONTACT_TIME).await;
    let mut jobs = Vec::new();
    for relay in 0..5 {
        jobs.push(accept(&harness, relay, &format!("job-{relay}")).await?);
        harness.kill_relay(relay)?;
        sleep(Duration::from_secs(2)).await;
    }
    expect_done(&harness, 5, &jobs).await
}

/// Guards against a new relay that trusts the rows of relays that were lost before it started.
#[gtest]
#[tokio::test]
async fn new_relay() -> Result<()> {
    let mut harness = Harness::start(6).await?;
    let jobs = lose_relays(&mut harness, 0).await?;
    harness.add_relay(6)?;
    harness.await_ready(6).await?;
    expect_done(&harness, 6, &jobs).await
}

/// Number of relays in [`list_silent`].
const SILENT: usize = 5;

/// Lists relays whose datagrams do not arrive, as if this one were cut off from them. Later calls write their
/// rows again. Older builds do not state `answers_calls`.
fn list_silent(harness: &Harness, answers_calls: Option<bool>) {
    for number in 0..SILENT {
        let mut row =
            json!({"address": "127.0.0.1:9", "incarnation": number + 1, "capacity": 1_000});
        if let Some(answers_calls) = answers_calls {
            row["answers_calls"] = json!(answers_calls);
        }
        let name = format!("silent-{number}");
        harness.store.put_row("fleet", "members", &name, row.to_string().as_bytes());
    }
}

/// Returns how many relays were unreachable, and how many missing, at the end of each roll call.
fn closed_calls(harness: &Harness) -> Vec<(u64, u64)> {
    let count = |line: &Value, name: &str| line[name].as_u64().unwrap_or_default();
    let lines = harness.events(0, "roll_call_closed");
    lines.iter().map(|line| (count(line, "unreachable"), count(line, "missing"))).collect()
}

/// Guards against a relay that is cut off from the others and takes them for dead, though the store shows
/// that they are alive.
#[gtest]
#[tokio::test]
async fn cut_off() -> Result<()> {
    let harness = Harness::start(1).await?;
    list_silent(&harness, Some(true));
    for calls in 1..=2 {
        harness
            .eventually("a roll call", async || {
                (harness.events(0, "roll_called").len() >= calls).then_some(())
            })
            .await?;
        sleep(Duration::from_millis(500)).await;
        list_silent(&harness, Some(true));
        harness
            .eventually("its end", async || (closed_calls(&harness).len() >= calls).then_some(()))
            .await?;
    }
    verify_that!(closed_calls(&harness), each(eq(&(SILENT as u64, 0))))
}

/// Guards against relays of an older build, which do not answer, counting as dead at once, and against
/// their counting as alive for ever.
#[gtest]
#[tokio::test]
async fn older_build() -> Result<()> {
    let harness = Harness::start(1).await?;
    list_silent(&harness, None);
    harness
        .eventually("a missing relay", async || {
            closed_calls(&harness).iter().any(|(_, missing)| *missing > 0).then_some(())
        })
        .await?;
    let calls = closed_calls(&harness);
    expect_that!(calls.first(), some(eq(&(SILENT as u64, 0))));
    verify_that!(calls.last(), some(eq(&(0, SILENT as u64))))
}
