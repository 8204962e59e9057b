//! Two relays in front of runners, on the stand-in of the users' platform.

use crate::{
    bridge::{Harness, Job},
    demo::Report,
    fleet::Error,
};

/// Items of the batch job.
const ITEMS: usize = 12;
/// Events of an item, enough to kill a relay before the job is done.
const ITEM_EVENTS: u64 = 200;
/// Events of a stream.
const EVENTS: u64 = 24;

/// Shows streams, plain calls, a change of the configuration, a lost relay and a planned stop.
pub async fn show(report: &mut Report) -> Result<(), Error> {
    report.line("Starting 2 relays, a store, 3 runners");
    let mut harness = Harness::start(2).await?;
    stream(&harness, report, 0).await?;
    call(&harness, report, "safe").await?;
    call(&harness, report, "unsafe").await?;
    configure(&mut harness, report).await?;

    let (job, status) = harness.submit(0, "demo-relays", ITEMS, ITEM_EVENTS).await?;
    report.check(status == 202, &format!("{ITEMS} items accepted as job {}", job.id));
    harness
        .eventually("runs of the job", async || {
            let runs = harness.runners.iter().flat_map(|runner| runner.runs());
            (runs.filter(|run| run.id.starts_with(&job.id)).count() > 1).then_some(())
        })
        .await?;
    harness.kill_relay(0)?;
    report.line("Killed vm-0 while it runs the job");
    stream(&harness, report, 1).await?;
    finish(&harness, report, &job).await?;

    let code = harness.stop_relay(1).await?;
    report.check(code == Some(0), "vm-1 ended by graceful shutdown");
    Ok(())
}

async fn stream(harness: &Harness, report: &mut Report, relay: usize) -> Result<(), Error> {
    let reply = harness.stream(relay, "stream", &format!("demo-{relay}"), EVENTS).await?;
    let events = reply.text().matches("data:").count();
    let whole = reply.status == 200 && events == EVENTS as usize;
    report.check(whole, &format!("vm-{relay} streamed {events} events"));
    Ok(())
}

async fn call(harness: &Harness, report: &mut Report, route: &str) -> Result<(), Error> {
    let reply = harness.send(harness.call(0, route, &format!("demo-{route}"))).await?;
    let runs = harness.plain.runs();
    let once = runs.iter().filter(|run| run.id == format!("demo-{route}")).count() == 1;
    report.check(reply.status == 200 && once, &format!("a call of kind {route} ran once"));
    Ok(())
}

async fn configure(harness: &mut Harness, report: &mut Report) -> Result<(), Error> {
    harness.add_route("added");
    for relay in 0..2 {
        harness
            .eventually("the added route", async || {
                let reply = harness.send(harness.call(relay, "added", "demo-added")).await.ok()?;
                (reply.status == 200).then_some(())
            })
            .await?;
    }
    report.check(true, "a new route is in force at both relays");
    Ok(())
}

async fn finish(harness: &Harness, report: &mut Report, job: &Job) -> Result<(), Error> {
    let results = harness.await_results(1, job).await?;
    let mut items = Harness::complete_items(&results, ITEM_EVENTS);
    items.sort_unstable();
    items.dedup();
    let right = items.len();
    let once = results.len() == ITEMS;
    report.check(right == ITEMS && once, &format!("{right} of {ITEMS} results are right"));
    Ok(())
}
