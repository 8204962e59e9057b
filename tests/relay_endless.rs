//! Upstreams that send bytes which are no answer, without end.

use std::time::{Duration, Instant};

use cyclamengrade_standins::{
    bridge::{Endless, Fault, Faults, Harness},
    client::{Call, Client, Reply},
};
use googletest::prelude::*;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    time::sleep,
};

/// Memory of the smallest vm that runs a relay, in bytes.
const MEMORY: u64 = 88 << 20;
/// Time within which the deadline of a request, 4 s here, is followed by its response.
const ANSWER_WITHIN: Duration = Duration::from_millis(4_500);
/// Requests at once: as many as the slots of one upstream.
const REQUESTS: usize = 8;

fn queue(harness: &Harness, place: Endless) {
    for runner in harness.runners.iter().chain([&harness.plain]) {
        runner.queue_faults(&[Fault::Endless(place); 2 * REQUESTS]);
    }
}

/// Sends the same request several times at once. Returns how long the slowest response took, and the
/// responses; `None` for one that broke off.
async fn send_all(call: impl Fn(usize) -> Call) -> Result<(Duration, Vec<Option<Reply>>)> {
    let begin = Instant::now();
    let calls = (0..REQUESTS).map(|number| {
        let call = call(number);
        tokio::spawn(async move { Client::new().send(call).await })
    });
    let calls: Vec<_> = calls.collect();
    let mut replies = Vec::new();
    for call in calls {
        replies.push(call.await?.ok());
    }
    Ok((begin.elapsed(), replies))
}

fn expect_bounded(harness: &Harness, elapsed: Duration) {
    expect_that!(elapsed, lt(ANSWER_WITHIN));
    expect_that!(harness.peak_memory(0), some(lt(MEMORY)));
}

/// Guards against a relay that reads a head without end until its memory is used up or its caller
/// leaves.
#[gtest]
#[tokio::test]
async fn head() -> Result<()> {
    let harness = Harness::start(1).await?;
    queue(&harness, Endless::Head);
    let (elapsed, replies) =
        send_all(|number| harness.call(0, "unsafe", &format!("r-{number}"))).await?;
    expect_that!(
        replies.iter().flatten().map(|reply| reply.status).collect::<Vec<_>>(),
        each(ge(&500))
    );
    expect_bounded(&harness, elapsed);
    Ok(())
}

/// Guards against a relay that holds whole bodies without end, many at once.
#[gtest]
#[tokio::test]
async fn body() -> Result<()> {
    let harness = Harness::start(1).await?;
    for place in [Endless::Body, Endless::SlowBody] {
        queue(&harness, place);
        let (elapsed, replies) =
            send_all(|number| harness.call(0, "safe", &format!("r-{number}"))).await?;
        let statuses: Vec<u16> = replies.iter().flatten().map(|reply| reply.status).collect();
        expect_that!(statuses, each(ge(&500)), "{place:?}");
        expect_bounded(&harness, elapsed);
    }
    Ok(())
}

/// Guards against an event, or events, without end that hold a stream beyond its deadline.
#[gtest]
#[tokio::test]
async fn stream() -> Result<()> {
    for place in [Endless::Event, Endless::SlowEvent, Endless::Events] {
        let harness = Harness::start(1).await?;
        queue(&harness, place);
        let call = |number| {
            let call = harness.call(0, "once", &format!("r-{number}"));
            call.with_header("token-counts", "10,3")
        };
        let (elapsed, replies) = send_all(call).await?;
        // A stream that has begun breaks off.
        let statuses: Vec<u16> = replies.iter().flatten().map(|reply| reply.status).collect();
        expect_that!(statuses, each(ge(&500)), "{place:?}");
        expect_bounded(&harness, elapsed);
    }
    Ok(())
}

/// Guards against batch items that are held forever, or fill the memory, at an upstream whose response
/// does not end.
#[gtest]
#[tokio::test]
async fn batch_items() -> Result<()> {
    let places = [
        Endless::Head,
        Endless::Body,
        Endless::SlowBody,
        Endless::Event,
        Endless::SlowEvent,
        Endless::Events,
    ];
    for place in places {
        let harness = Harness::start(1).await?;
        for runner in &harness.runners {
            runner.queue_faults(&[Fault::Endless(place); 2]);
        }
        let (job, status) = harness.submit(0, "j-1", 4, 3).await?;
        expect_that!(status, eq(202));
        let results = harness.await_results(0, &job).await?;
        expect_that!(Harness::complete_items(&results, 3).len(), eq(4), "{place:?}");
        expect_that!(harness.peak_memory(0), some(lt(MEMORY)), "{place:?}");
    }
    Ok(())
}

/// Guards against an answer of the store that fills the memory of a relay.
#[gtest]
#[tokio::test]
async fn store() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.store.set_faults(Faults { endless: true, ..Faults::default() });
    sleep(Duration::from_secs(4)).await;
    harness.store.set_faults(Faults::default());
    expect_that!(harness.peak_memory(0), some(lt(MEMORY)));
    harness
        .eventually("the store is followed again", async || {
            let (_, status) = harness.submit(0, "j-1", 1, 3).await.ok()?;
            (status == 202).then_some(())
        })
        .await?;
    Ok(())
}

/// Runners of the test with callers that do not read, and their slots together.
const RUNNERS: usize = 6;
const SLOTS: usize = 8 * RUNNERS;

/// Sends a request for a stream and reads nothing of the response.
async fn leave_unread(harness: &Harness, id: &str) -> Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    // The system holds little for a caller that does not read.
    socket.set_recv_buffer_size(4 << 10)?;
    let mut stream = socket.connect(harness.address(0)).await?;
    let head = format!(
        "POST /once/path HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 4000\r\nModel: m\r\nToken-Counts: 10,3\r\nContent-Length: 4\r\n\r\nbody"
    );
    stream.write_all(head.as_bytes()).await?;
    Ok(stream)
}

/// Guards against large events without end that wait for callers who do not read, fill the memory, and keep
/// the slots of the upstreams beyond the deadlines of their requests.
#[gtest]
#[tokio::test]
async fn unread_events() -> Result<()> {
    let mut harness = Harness::start(1).await?;
    for number in 2..RUNNERS {
        let runner = harness.add_runner(&format!("m-{}", number + 1), "v1", "a").await?;
        harness.list(&runner, 0).await?;
    }
    for runner in &harness.runners {
        runner.queue_faults(&[Fault::Endless(Endless::LargeEvents); SLOTS]);
    }
    let mut callers = Vec::new();
    for number in 0..SLOTS {
        callers.push(leave_unread(&harness, &format!("u-{number}")).await?);
    }
    sleep(ANSWER_WITHIN / 2).await;
    let reply = harness.send(harness.call(0, "safe", "sound")).await?;
    expect_that!(reply.status, eq(200));
    sleep(ANSWER_WITHIN / 2).await;
    expect_that!(harness.peak_memory(0), some(lt(MEMORY)));
    let ended = ["stream_broken", "request_declined", "request_ended"];
    let ended = ended.iter().map(|name| harness.events(0, name).len());
    verify_that!(ended.sum::<usize>(), ge(SLOTS))
}
