//! Second part of the demo: two relays in front of runners, on the stand-in of the users' platform.

use crate::{
    bridge::{Harness, Job},
    demo::Report,
    fleet::Error,
};

/// Number of items in the batch job.
const ITEMS: usize = 12;
/// Number of events of a batch item: enough that the job is still running when the relay is killed.
const EVENTS_PER_ITEM: u64 = 200;
/// Number of events of a stream.
const EVENTS_PER_STREAM: u64 = 24;

/// Checks streams, plain calls, a change of the configuration, the loss of a relay and a graceful
/// shutdown.
pub async fn run(report: &mut Report) -> Result<(), Error> {
    report.print("Starting 2 relays, a store, 3 runners");
    let mut harness = Harness::start(2).await?;
    check_stream(&harness, report, 0).await?;
    check_call(&harness, report, "safe").await?;
    check_call(&harness, report, "unsafe").await?;
    check_added_route(&mut harness, report).await?;

    let (job, status) = harness.submit(0, "demo-relays", ITEMS, EVENTS_PER_ITEM).await?;
    report.check(status == 202, &format!("{ITEMS} items accepted as job {}", job.id));
    harness
        .eventually("runs of the job", async || {
            let runs = harness.runners.iter().flat_map(|runner| runner.runs());
            (runs.filter(|run| run.id.starts_with(&job.id)).count() > 1).then_some(())
        })
        .await?;
    harness.kill_relay(0)?;
    report.print("Killed vm-0 while it was running the job");
    check_stream(&harness, report, 1).await?;
    check_results(&harness, report, &job).await?;

    let code = harness.stop_relay(1).await?;
    report.check(code == Some(0), "vm-1 ended by graceful shutdown");
    Ok(())
}

async fn check_stream(harness: &Harness, report: &mut Report, relay: usize) -> Result<(), Error> {
    let reply =
        harness.stream(relay, "stream", &format!("demo-{relay}"), EVENTS_PER_STREAM).await?;
    let events = reply.text().matches("data:").count();
    let complete = reply.status == 200 && events == EVENTS_PER_STREAM as usize;
    report.check(complete, &format!("vm-{relay} streamed {events} events"));
    Ok(())
}

async fn check_call(harness: &Harness, report: &mut Report, route: &str) -> Result<(), Error> {
    let reply = harness.send(harness.call(0, route, &format!("demo-{route}"))).await?;
    let runs = harness.plain.runs();
    let once = runs.iter().filter(|run| run.id == format!("demo-{route}")).count() == 1;
    report.check(reply.status == 200 && once, &format!("a call to route {route} ran once"));
    Ok(())
}

async fn check_added_route(harness: &mut Harness, report: &mut Report) -> Result<(), Error> {
    harness.add_route("added");
    for relay in 0..2 {
        harness
            .eventually("the added route", async || {
                let reply = harness.send(harness.call(relay, "added", "demo-added")).await.ok()?;
                (reply.status == 200).then_some(())
            })
            .await?;
    }
    report.check(true, "an added route is in effect at both relays");
    Ok(())
}

async fn check_results(harness: &Harness, report: &mut Report, job: &Job) -> Result<(), Error> {
    let results = harness.await_results(1, job).await?;
    let mut items = Harness::complete_items(&results, EVENTS_PER_ITEM);
    items.sort_unstable();
    items.dedup();
    let correct = items.len();
    let count_matches = results.len() == ITEMS;
    report.check(
        correct == ITEMS && count_matches,
        &format!("{correct} of {ITEMS} results are correct"),
    );
    Ok(())
}
