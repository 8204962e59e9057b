//! Tests of the statuses of upstreams that have run a request.

use cyclamengrade_standins::{
    bridge::{Fault, Harness},
    client::{Error, Reply},
};
use futures_util::future::try_join_all;
use googletest::prelude::*;

/// Statuses by which callers understand that their request has not run.
const PROMISES: [u16; 3] = [408, 429, 503];
/// Routes of each kind; the streams of the last two are or are not resumed.
const ROUTES: [&str; 4] = ["safe", "unsafe", "stream", "once"];

fn queue(harness: &Harness, fault: Fault, count: usize) {
    for runner in harness.runners.iter().chain([&harness.plain]) {
        runner.clear_faults();
        runner.queue_faults(&vec![fault; count]);
    }
}

async fn send(harness: &Harness, route: &str, id: &str) -> std::result::Result<Reply, Error> {
    match route {
        "stream" | "once" => harness.stream(0, route, id, 4).await,
        _ => harness.send(harness.call(0, route, id)).await,
    }
}

/// Sends a request until an upstream has run it. Upstreams that have failed are left alone for a time, in which
/// requests are refused that truly have not run.
async fn send_until_run(harness: &Harness, route: &str, id: &str) -> Result<Reply> {
    let answered = async || {
        let reply = send(harness, route, id).await.ok()?;
        match runs(harness, id) {
            0 => {
                expect_that!(reply.status, eq(503), "{id} has not run");
                None
            }
            _ => Some(reply),
        }
    };
    Ok(harness.eventually("a run", answered).await?)
}

fn runs(harness: &Harness, id: &str) -> usize {
    let runners = harness.runners.iter().chain([&harness.plain]);
    runners.flat_map(|runner| runner.runs()).filter(|run| run.id == id).count()
}

/// Checks that callers get 502, without what the upstream said, on routes of each kind, where upstreams answer with a
/// status after they have run a request.
async fn expect_withheld(status: u16) -> Result<()> {
    let harness = Harness::start(1).await?;
    for route in ROUTES {
        queue(&harness, Fault::Status(status), 8);
        let id = format!("{route}-{status}");
        let reply = send_until_run(&harness, route, &id).await?;
        expect_that!(reply.status, eq(502), "{id}");
        expect_that!(reply.headers.contains_key("retry-after"), is_false(), "{id}");
        expect_that!(reply.headers.contains_key("server-stamp"), is_false(), "{id}");
        let most = if matches!(route, "unsafe" | "once") { 1 } else { 2 };
        expect_that!(runs(&harness, &id), all!(ge(1), le(most)), "{id}");
    }
    let is_logged = !harness.events(0, "status_withheld").is_empty();
    verify_that!(is_logged, eq(PROMISES.contains(&status)))
}

/// Guards against a caller who reads that a request has not run, and when to repeat it, although an upstream ran it and
/// failed.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unstated_promises() -> Result<()> {
    try_join_all(PROMISES.map(expect_withheld)).await?;
    Ok(())
}

/// Guards against a request that may run again and is not repeated at another upstream after such a status.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_elsewhere() -> Result<()> {
    let harness = Harness::start(1).await?;
    for status in PROMISES {
        queue(&harness, Fault::Status(status), 0);
        harness.runners[0].queue_faults(&[Fault::Status(status); 8]);
        for number in 0..4 {
            let id = format!("s-{status}-{number}");
            expect_that!(send(&harness, "stream", &id).await?.status, eq(200), "{id}");
        }
    }
    Ok(())
}

/// Guards against another status of an upstream that is changed on its way to the caller.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_statuses() -> Result<()> {
    let harness = Harness::start(1).await?;
    for status in [201, 400, 404, 409, 425, 499, 500, 502, 504, 599] {
        for route in ["unsafe", "once"] {
            queue(&harness, Fault::Status(status), 8);
            let id = format!("{route}-{status}");
            let reply = send(&harness, route, &id).await?;
            expect_that!(reply.status, eq(status), "{id}");
            expect_that!(reply.headers.contains_key("server-stamp"), is_true(), "{id}");
            expect_that!(runs(&harness, &id), eq(1), "{id}");
        }
    }
    Ok(())
}

/// Guards against a status that is none, or that switches to another protocol, and that reaches a caller.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_status() -> Result<()> {
    try_join_all([0, 20, 99, 101, 600, 999, 2_000].map(expect_withheld)).await?;
    Ok(())
}

/// Guards against an item that is given up or listed with another text after such a status, or after one that says that
/// it has not run.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items() -> Result<()> {
    let harness = Harness::start(1).await?;
    for status in [0, 101, 204, 408, 429, 503, 600, 999] {
        queue(&harness, Fault::Status(status), 2);
        let (job, accepted) = harness.submit(0, &format!("j-{status}"), 3, 4).await?;
        expect_that!(accepted, eq(202));
        let results = harness.await_results(0, &job).await?;
        expect_that!(Harness::complete_items(&results, 4).len(), eq(3), "{status}");
    }
    Ok(())
}
