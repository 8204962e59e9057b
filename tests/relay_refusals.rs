//! Refusals and other marks on kept connections that are no answers to the request on them.

use std::time::Duration;

use cyclamengrade_standins::{
    bridge::{Answer, Fault, Harness, Mark, Moment, Naming, Repeated},
    client::Reply,
};
use googletest::prelude::*;
use tokio::time::sleep;

/// Time after which a response that is repeated on an idle connection has arrived.
const IDLE_TIME: Duration = Duration::from_millis(150);
/// Interval between two requests while an upstream is not used.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Starts a relay whose only upstream of the plain routes injects the faults.
async fn start_plain(faults: &[Fault]) -> Result<Harness> {
    let harness = Harness::start(1).await?;
    harness.plain.queue_faults(faults);
    Ok(harness)
}

fn repeated(repeated: Repeated) -> [Fault; 1] {
    [Fault::Repeated(repeated)]
}

/// Returns the ways to repeat a response.
fn namings(answer: Answer) -> [Repeated; 3] {
    let namings = [Naming::Both, Naming::First, Naming::Neither];
    namings.map(|naming| Repeated::new(answer).with_naming(naming))
}

/// Returns how often a request ran at all runners.
fn count_runs(harness: &Harness, id: &str) -> usize {
    let runners = harness.runners.iter().chain([&harness.plain]);
    runners.flat_map(|runner| runner.runs()).filter(|run| run.id == id).count()
}

async fn send_unsafe(harness: &Harness, id: &str) -> Result<Reply> {
    Ok(harness.send(harness.call(0, "unsafe", id)).await?)
}

/// Sends requests that may run once, and checks that those are refused that did not run.
async fn check_refusals(harness: &Harness, count: u64) -> Result<()> {
    for number in 0..count {
        let id = format!("r-{number}");
        let reply = send_unsafe(harness, &id).await?;
        expect_that!(reply.status == 503, eq(count_runs(harness, &id) == 0), "{id}: {reply:?}");
    }
    Ok(())
}

/// Guards against a request that has run and is reported as not run, because the upstream wrote an
/// earlier refusal once more.
#[gtest]
#[tokio::test]
async fn repeated_refusal() -> Result<()> {
    for refusal in namings(Answer::NotRun) {
        let harness = start_plain(&repeated(refusal)).await?;
        check_refusals(&harness, 4).await?;
        expect_that!(count_runs(&harness, "r-0"), eq(0), "{refusal:?}");
    }
    Ok(())
}

/// Guards against a request that fails because of an earlier refusal without an id, which another
/// connection does not repeat.
#[gtest]
#[tokio::test]
async fn closed_connection() -> Result<()> {
    let refusal = Repeated::new(Answer::NotRun).with_naming(Naming::Neither);
    let harness = start_plain(&repeated(refusal)).await?;
    expect_that!(send_unsafe(&harness, "r-1").await?.status, eq(503));
    for id in ["r-2", "r-3"] {
        expect_that!(send_unsafe(&harness, id).await?.status, eq(200), "{id}");
    }
    Ok(())
}

/// Guards against a request that has run and is reported as not run, because the upstream wrote an
/// earlier 421 once more.
#[gtest]
#[tokio::test]
async fn repeated_misdirection() -> Result<()> {
    for refusal in namings(Answer::Misdirected) {
        let harness = start_plain(&repeated(refusal)).await?;
        expect_that!(send_unsafe(&harness, "r-0").await?.status, eq(503));
        // The upstream is not used for a while.
        for number in 1.. {
            let id = format!("r-{number}");
            let reply = send_unsafe(&harness, &id).await?;
            let runs = count_runs(&harness, &id);
            expect_that!(reply.status == 503, eq(runs == 0), "{refusal:?} {id}: {reply:?}");
            if runs > 0 {
                break;
            }
            sleep(POLL_PERIOD).await;
        }
    }
    Ok(())
}

/// Guards against a request that runs at two upstreams, because the first one wrote an earlier refusal
/// once more.
#[gtest]
#[tokio::test]
async fn second_run() -> Result<()> {
    for refusal in namings(Answer::NotRun) {
        let harness = Harness::start(1).await?;
        for runner in &harness.runners {
            runner.queue_faults(&repeated(refusal));
        }
        for number in 0..16 {
            let id = format!("s-{number}");
            harness.stream(0, "once", &id, 2).await?;
            expect_that!(count_runs(&harness, &id), le(1), "{refusal:?} {id}");
        }
    }
    Ok(())
}

/// Guards against a refusal that counts because other responses arrived between it and its repetition.
#[gtest]
#[tokio::test]
async fn late_refusal() -> Result<()> {
    for refusal in namings(Answer::NotRun) {
        let harness = start_plain(&repeated(refusal.with_moment(Moment::Later))).await?;
        check_refusals(&harness, 6).await?;
    }
    Ok(())
}

/// Guards against a refusal that arrives while its connection is idle and counts for the next request.
#[gtest]
#[tokio::test]
async fn idle_refusal() -> Result<()> {
    for refusal in namings(Answer::NotRun) {
        let harness = start_plain(&repeated(refusal.with_moment(Moment::Idle))).await?;
        expect_that!(send_unsafe(&harness, "r-1").await?.status, eq(503));
        sleep(IDLE_TIME).await;
        expect_that!(send_unsafe(&harness, "r-2").await?.status, eq(200), "{refusal:?}");
        expect_that!(count_runs(&harness, "r-2"), eq(1), "{refusal:?}");
    }
    Ok(())
}

/// Guards against a run of an item that is broken off, because the upstream wrote the refusal of an
/// earlier run, which has the same id, once more.
#[gtest]
#[tokio::test]
async fn refused_item() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.unlist(&harness.runners[1], 0).await?;
    harness.runners[0].queue_faults(&repeated(Repeated::new(Answer::NotRun)));
    let (job, _) = harness.submit(0, "j-1", 1, 3).await?;
    let results = harness.await_results(0, &job).await?;
    expect_that!(Harness::complete_items(&results, 3).len(), eq(1));
    verify_that!(harness.runners[0].runs().len(), eq(1))
}

/// Guards against an item that is abandoned before its last attempt, because the upstream wrote the
/// error of an earlier one once more.
#[gtest]
#[tokio::test]
async fn failed_item() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.unlist(&harness.runners[1], 0).await?;
    harness.runners[0].queue_faults(&repeated(Repeated::new(Answer::Failed)));
    let (job, _) = harness.submit(0, "j-1", 1, 3).await?;
    let results = harness.await_results(0, &job).await?;
    expect_that!(Harness::complete_items(&results, 3).len(), eq(1), "{results:?}");
    verify_that!(harness.runners[0].runs().len(), eq(2))
}

/// Guards against a limit that comes into force through a response to an earlier request.
#[gtest]
#[tokio::test]
async fn repeated_limit() -> Result<()> {
    for refusal in namings(Answer::NotRun) {
        let harness = start_plain(&repeated(refusal.with_mark(Mark::Limit))).await?;
        for id in ["r-1", "r-2"] {
            send_unsafe(&harness, id).await?;
        }
        expect_that!(harness.events(0, "upstream_limited"), is_empty(), "{refusal:?}");
        for id in ["r-3", "r-4", "r-5"] {
            expect_that!(send_unsafe(&harness, id).await?.status, eq(200), "{refusal:?}");
        }
    }
    Ok(())
}

/// Guards against an upstream that gets no more requests because a response to an earlier request says
/// that it is leaving.
#[gtest]
#[tokio::test]
async fn repeated_leaving() -> Result<()> {
    for refusal in namings(Answer::NotRun) {
        let harness = start_plain(&repeated(refusal.with_mark(Mark::Leaving))).await?;
        for id in ["r-1", "r-2"] {
            send_unsafe(&harness, id).await?;
        }
        expect_that!(harness.events(0, "upstream_leaving"), is_empty(), "{refusal:?}");
        expect_that!(send_unsafe(&harness, "r-3").await?.status, eq(200), "{refusal:?}");
    }
    Ok(())
}

/// Guards against a new connection after each refusal, although the refusals bear the ids of their
/// requests.
#[gtest]
#[tokio::test]
async fn kept_connection() -> Result<()> {
    let harness = start_plain(&[Fault::NotRun; 4]).await?;
    for number in 0..4 {
        expect_that!(send_unsafe(&harness, &format!("r-{number}")).await?.status, eq(503));
    }
    expect_that!(send_unsafe(&harness, "r-5").await?.status, eq(200));
    verify_that!(harness.plain.connections(), eq(1))
}
