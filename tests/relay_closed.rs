//! Responses of upstreams whose end is marked by nothing but the close of their connection.

use std::time::Duration;

use cyclamengrade_standins::{
    bridge::{Fault, Faults, Harness, Run, Runner},
    client::{Client, Reply},
};
use googletest::prelude::*;
use tokio::time::sleep;

/// Longer than an upstream takes to start again, and than a call for changes of the list waits.
const PAUSE: Duration = Duration::from_millis(1_700);
/// Time from the crash of an upstream until its next start is listed.
const RELIST_DELAY: Duration = Duration::from_millis(1_300);

/// Returns the text of the first events of a stream.
fn events(count: u64) -> String {
    (1..=count).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect()
}

/// Starts relays before two upstreams whose responses have neither length nor chunks.
async fn start_unframed() -> Result<Harness> {
    let harness = Harness::start(1).await?;
    for runner in harness.runners.iter().chain([&harness.plain]) {
        runner.omit_framing();
    }
    Ok(harness)
}

fn is_complete(reply: &Reply, count: u64) -> bool {
    reply.status == 200 && reply.text() == events(count)
}

/// Guards against a stream that ends as complete before its last event, because the upstream closed
/// its connection early.
#[gtest]
#[tokio::test]
async fn cut_stream() -> Result<()> {
    let harness = Harness::start(1).await?;
    for runner in &harness.runners {
        runner.queue_faults(&[Fault::CloseAfter(4)]);
    }
    let reply = harness.stream(0, "stream", "s-1", 12).await?;
    verify_that!(reply.text(), eq(&events(12)))
}

/// Guards against a stream that ends as complete when its upstream is killed between two events.
#[gtest]
#[tokio::test]
async fn killed_stream() -> Result<()> {
    let harness = start_unframed().await?;
    let call = harness.call(0, "stream", "s-1").with_header("token-counts", "10,40");
    let mut response = Client::new().open(call).await?;
    let mut text = String::new();
    while let Some(event) = response.next_event().await? {
        text += &event;
        if text == events(4) {
            let serving = harness.runners.iter().find(|runner| !runner.runs().is_empty());
            serving.or_fail()?.crash();
        }
    }
    verify_that!(text, eq(&events(40)))
}

/// Guards against a stream that ends as complete when all of its upstreams are killed under it.
#[gtest]
#[tokio::test]
async fn killed_twice() -> Result<()> {
    let harness = Harness::start(1).await?;
    for runner in &harness.runners {
        runner.queue_faults(&[Fault::KilledAfter(4)]);
    }
    let reply = harness.stream(0, "stream", "s-1", 12).await;
    verify_that!(reply, err(anything()))
}

/// Guards against a stream without any event that counts as complete.
#[gtest]
#[tokio::test]
async fn empty_stream() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.runners[0].queue_faults(&[Fault::CloseAfter(0)]);
    harness.runners[1].queue_faults(&[Fault::CloseAfter(0)]);
    for number in 0..4 {
        let reply = harness.stream(0, "stream", &format!("s-{number}"), 3).await?;
        // Both attempts may meet the fault.
        expect_that!(reply.status == 502 || is_complete(&reply, 3), eq(true), "{reply:?}");
    }
    Ok(())
}

/// Guards against complete streams that are refused or repeated because nothing marks their ends.
#[gtest]
#[tokio::test]
async fn whole_streams() -> Result<()> {
    let harness = start_unframed().await?;
    for (number, route) in ["stream", "once", "stream", "once"].into_iter().enumerate() {
        let reply = harness.stream(0, route, &format!("s-{number}"), 6).await?;
        expect_that!(reply.status, eq(200));
        expect_that!(reply.text(), eq(&events(6)), "route {route}");
    }
    let runs: Vec<_> = harness.runners.iter().flat_map(|runner| runner.runs()).collect();
    let new = runs.iter().filter(|run| run.after.is_none());
    expect_that!(new.count(), eq(4));
    // Only the end of a resumable stream is confirmed by another run.
    verify_that!(runs.len(), eq(6))
}

/// Guards against a stream that may not be sent again and ends as complete although its upstream was
/// killed.
#[gtest]
#[tokio::test]
async fn killed_once() -> Result<()> {
    let harness = Harness::start(1).await?;
    for runner in &harness.runners {
        runner.queue_faults(&[Fault::KilledAfter(4)]);
    }
    let reply = harness.stream(0, "once", "s-1", 12).await;
    expect_that!(reply, err(anything()));
    let runs: usize = harness.runners.iter().map(|runner| runner.runs().len()).sum();
    verify_that!(runs, eq(1))
}

/// Guards against half of a plain body that is passed on as all of it, because its upstream was
/// killed.
#[gtest]
#[tokio::test]
async fn killed_body() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.plain.queue_faults(&[Fault::KilledAfter(0)]);
    let reply = harness.send(harness.call(0, "unsafe", "r-1")).await?;
    expect_that!(reply.status, eq(502));
    expect_that!(harness.plain.runs().len(), eq(1));
    Ok(())
}

/// Guards against half of a body or of a stream that is passed on as all of it, because the vm of the
/// killed upstream closes its listener some milliseconds after its connections.
#[gtest]
#[tokio::test]
async fn late_listener() -> Result<()> {
    let harness = Harness::start(1).await?;
    for runner in harness.runners.iter().chain([&harness.plain]) {
        runner.delay_listener(Duration::from_millis(50));
        runner.queue_faults(&[Fault::KilledAfter(4)]);
    }
    let reply = harness.send(harness.call(0, "unsafe", "r-1")).await?;
    expect_that!(reply.status, eq(502), "{}", reply.text());
    verify_that!(harness.stream(0, "once", "s-1", 12).await, err(anything()))
}

/// Guards against plain bodies that are refused because nothing marks their ends.
#[gtest]
#[tokio::test]
async fn whole_bodies() -> Result<()> {
    let harness = start_unframed().await?;
    for (number, route) in ["safe", "unsafe", "safe"].into_iter().enumerate() {
        let id = format!("r-{number}");
        let reply = harness.send(harness.call(0, route, &id)).await?;
        expect_that!(reply.status, eq(200));
        expect_that!(reply.text(), eq(&format!("answer to {id}")));
    }
    verify_that!(harness.plain.runs().len(), eq(3))
}

/// Guards against the text of a batch item that is stored as complete before its last event.
#[gtest]
#[tokio::test]
async fn cut_item() -> Result<()> {
    for fault in [Fault::CloseAfter(4), Fault::CloseAfter(0), Fault::KilledAfter(4)] {
        let harness = Harness::start(1).await?;
        harness.runners[0].queue_faults(&[fault]);
        let (job, status) = harness.submit(0, "j-1", 3, 9).await?;
        expect_that!(status, eq(202));
        let results = harness.await_results(0, &job).await?;
        expect_that!(Harness::complete_items(&results, 9).len(), eq(3), "{fault:?}: {results:?}");
    }
    Ok(())
}

/// Guards against batch items that never end at upstreams which mark the ends of no responses.
#[gtest]
#[tokio::test]
async fn whole_items() -> Result<()> {
    let harness = start_unframed().await?;
    let (job, status) = harness.submit(0, "j-1", 6, 9).await?;
    expect_that!(status, eq(202));
    let results = harness.await_results(0, &job).await?;
    verify_that!(Harness::complete_items(&results, 9).len(), eq(6))
}

/// Guards against a stream, and a text of an item, that count as complete because the upstream closed
/// their connection early and was then killed before the first event of the run that was to confirm the
/// end.
#[gtest]
#[tokio::test]
async fn killed_confirmation() -> Result<()> {
    let harness = Harness::start(1).await?;
    for runner in &harness.runners {
        runner.queue_faults(&[Fault::CloseAfter(4), Fault::KilledAfter(0)]);
    }
    let reply = harness.stream(0, "stream", "s-1", 12).await;
    expect_that!(reply.is_err() || reply.is_ok_and(|reply| is_complete(&reply, 12)), eq(true));
    let (job, status) = harness.submit(0, "j-1", 3, 9).await?;
    expect_that!(status, eq(202));
    let results = harness.await_results(0, &job).await?;
    verify_that!(Harness::complete_items(&results, 9).len(), eq(3))
}

/// Guards against a transfer coding that marks no end and counts as chunks.
#[gtest]
#[tokio::test]
async fn coded_stream() -> Result<()> {
    let harness = Harness::start(1).await?;
    for runner in &harness.runners {
        runner.queue_faults(&[Fault::CloseCoded(4)]);
    }
    let reply = harness.stream(0, "stream", "s-1", 12).await?;
    verify_that!(reply.text(), eq(&events(12)))
}

/// Guards against the closes of two upstreams that count as confirmations of each other. An upstream with
/// a limit is not asked for the rest.
#[gtest]
#[tokio::test]
async fn closes_of_two() -> Result<()> {
    for _ in 0..4 {
        let harness = Harness::start(1).await?;
        for runner in &harness.runners {
            runner.set_limit(Some(50.0));
        }
        harness.runners[0].queue_faults(&[Fault::CloseAfter(4)]);
        harness.runners[1].queue_faults(&[Fault::CloseAfter(0)]);
        let reply = harness.stream(0, "stream", "s-1", 12).await;
        let is_wrong = reply.is_ok_and(|reply| reply.status == 200 && !is_complete(&reply, 12));
        expect_that!(is_wrong, eq(false));
    }
    Ok(())
}

/// Pauses the relay, and lets an upstream start again and be listed meanwhile.
async fn restart_unseen(harness: &Harness, runner: &Runner, service: &str) -> Result<()> {
    harness.pause_relay(0)?;
    runner.restart();
    sleep(RELIST_DELAY).await;
    harness.store.put("servers", &runner.id, &runner.entry(service, "ready"));
    sleep(PAUSE - RELIST_DELAY).await;
    harness.resume_relay(0)?;
    Ok(())
}

/// Requests a stream that cannot be resumed, and pauses its relay after four events. If `restarts`, its
/// upstream starts again meanwhile. Returns the text, and whether the response is complete.
async fn read_paused(harness: &Harness, id: &str, restarts: bool) -> Result<(String, bool)> {
    let call = harness.call(0, "once", id).with_header("token-counts", "10,40");
    let mut response = Client::new().open(call).await?;
    let mut text = String::new();
    while text != events(4) {
        text += &response.next_event().await?.or_fail()?;
    }
    let is_serving = |run: &Run| run.id == id;
    let mut runners = harness.runners.iter();
    let serving = runners.find(|runner| runner.runs().iter().any(is_serving)).or_fail()?;
    if restarts {
        restart_unseen(harness, serving, "model").await?;
    } else {
        harness.pause_relay(0)?;
        sleep(PAUSE).await;
        harness.resume_relay(0)?;
    }
    loop {
        match response.next_event().await {
            Ok(Some(event)) => text += &event,
            Ok(None) => return Ok((text, true)),
            Err(_) => return Ok((text, false)),
        }
    }
}

/// Guards against a cut stream that ends as complete, because its upstream has started again while the
/// relay was paused, and the relay does not know the next start yet.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unseen_restart() -> Result<()> {
    let harness = start_unframed().await?;
    for round in 0..3 {
        let (text, is_complete) = read_paused(&harness, &format!("s-{round}"), true).await?;
        expect_that!(text, not(eq(&events(40))), "round {round}");
        expect_that!(is_complete, eq(false), "round {round}: {text}");
    }
    Ok(())
}

/// Guards against half of a plain body that is passed on as all of it, because its upstream has started
/// again while the relay was paused.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unseen_body() -> Result<()> {
    let harness = Harness::start(1).await?;
    for round in 0..3 {
        harness.plain.queue_faults(&[Fault::HangAfter(0)]);
        let restart = async {
            let runs = async || (harness.plain.runs().len() > round).then_some(());
            harness.eventually("the request runs", runs).await?;
            restart_unseen(&harness, &harness.plain, "plain").await
        };
        let call = harness.call(0, "unsafe", &format!("r-{round}"));
        let (reply, restarted) = tokio::join!(harness.send(call), restart);
        restarted?;
        expect_that!(reply?.status, eq(502), "round {round}");
    }
    Ok(())
}

/// Guards against a cut stream that ends as complete, because its upstream has started again while the
/// relay was paused, and the store does not say so.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_restart() -> Result<()> {
    let harness = start_unframed().await?;
    harness.store.set_faults(Faults { silent_table: Some("servers"), ..Faults::default() });
    let (text, is_complete) = read_paused(&harness, "s-1", true).await?;
    expect_that!(is_complete, eq(false), "{text}");
    Ok(())
}

/// Guards against a whole stream that counts as cut because its relay was paused.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_relay() -> Result<()> {
    let harness = start_unframed().await?;
    for round in 0..3 {
        let (text, is_complete) = read_paused(&harness, &format!("s-{round}"), false).await?;
        expect_that!(text, eq(&events(40)), "round {round}");
        expect_that!(is_complete, eq(true), "round {round}");
    }
    Ok(())
}

/// Guards against a call to the store for each response without a marked end.
#[gtest]
#[tokio::test]
async fn calm_store() -> Result<()> {
    const RESPONSES: u64 = 60;
    let harness = start_unframed().await?;
    let calls = harness.store.calls();
    for number in 0..RESPONSES {
        let reply = harness.send(harness.call(0, "unsafe", &format!("r-{number}"))).await?;
        expect_that!(reply.status, eq(200));
    }
    // The relay's own calls go on.
    verify_that!(harness.store.calls() - calls, lt(RESPONSES / 3))
}
