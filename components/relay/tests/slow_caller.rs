//! Callers that read their responses slowly, with a head behind their request that is refused.

use std::{
    future::{pending, ready},
    time::Duration,
};

use bytes::Bytes;
use cyclamengrade_control::relay::route::Limits;
use cyclamengrade_relay::{
    body::{Body, Chunk, EventBudget},
    connection,
    memory::Budget,
};
use googletest::prelude::*;
use hyper::{Request, Response, body::Incoming, header::CONTENT_LENGTH};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex},
    sync::mpsc::{Sender, unbounded_channel},
    time::{sleep, timeout},
};

/// Bytes that the connection takes from the relay before the caller reads any.
const PIPE_BYTES: usize = 1_024;
const BODY_BYTES: usize = 100_000;
const HEAD_TIMEOUT: Duration = Duration::from_millis(100);
const IDLE_TIMEOUT: Duration = Duration::from_millis(600);
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

const REQUEST: &str = "GET /x HTTP/1.1\r\nhost: calls.example\r\n\r\n";
/// A head with two lengths.
const AMBIGUOUS: &str = "POST /x HTTP/1.1\r\nhost: calls.example\r\ncontent-length: 5\r\n\
                         transfer-encoding: chunked\r\n\r\n";
/// A head that never ends.
const STALLED: &str = "POST /x HTTP/1.1\r\nhost:";

async fn answer(_: Request<Incoming>) -> Response<Body> {
    let mut response = Response::new(Body::new(vec![b'x'; BODY_BYTES]));
    response.headers_mut().insert(CONTENT_LENGTH, BODY_BYTES.into());
    response
}

const fn limits() -> Limits {
    Limits {
        head_bytes: 16 << 10,
        body_bytes: 1 << 20,
        head_timeout: HEAD_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
    }
}

/// Sends a request with `last` behind it, and reads nothing for a while. Returns the size of the body
/// of the response that arrives, and what follows it.
async fn exchange(last: &str, pause: Duration) -> Result<(usize, String)> {
    let (mut caller, relay) = duplex(PIPE_BYTES);
    tokio::spawn(connection::serve(relay, limits(), answer, pending()));
    caller.write_all(format!("{REQUEST}{last}").as_bytes()).await?;
    sleep(pause).await;
    let text = timeout(TEST_TIMEOUT, read_all(caller)).await??;
    let (head, rest) = text.split_once("\r\n\r\n").or_fail()?;
    expect_that!(head, starts_with("HTTP/1.1 200"));
    let body = rest.bytes().take_while(|byte| *byte == b'x').count();
    Ok((body, rest[body..].to_owned()))
}

async fn read_all(mut caller: DuplexStream) -> Result<String> {
    let mut text = String::new();
    caller.read_to_string(&mut text).await?;
    Ok(text)
}

/// Guards against the head of a refusal in the middle of a response, when an ambiguous head follows.
#[gtest]
#[tokio::test]
async fn ambiguous_head() -> Result<()> {
    let (body, rest) = exchange(AMBIGUOUS, HEAD_TIMEOUT).await?;
    expect_that!(body, eq(BODY_BYTES));
    verify_that!(rest, starts_with("HTTP/1.1 400"))
}

/// Guards against the head of a refusal in the middle of a response, when the next head stalls.
#[gtest]
#[tokio::test]
async fn stalled_head() -> Result<()> {
    let (body, rest) = exchange(STALLED, HEAD_TIMEOUT * 3).await?;
    expect_that!(body, eq(BODY_BYTES));
    verify_that!(rest, starts_with("HTTP/1.1 408"))
}

/// Guards against a caller that reads nothing and occupies a connection for longer than the idle
/// timeout, and against a refusal in the middle of its response.
#[gtest]
#[tokio::test]
async fn absent_caller() -> Result<()> {
    for last in [AMBIGUOUS, STALLED] {
        let (body, rest) = exchange(last, IDLE_TIMEOUT * 2).await?;
        expect_that!(body, lt(PIPE_BYTES), "{last}");
        expect_that!(rest, eq(""), "{last}");
    }
    Ok(())
}

/// Guards against a connection that stays open because its caller reads the response but not the
/// refusal behind it.
#[gtest]
#[tokio::test]
async fn unread_refusal() -> Result<()> {
    // The response fits, and less than the refusal behind it.
    let (mut caller, relay) = duplex(BODY_BYTES + 100);
    let served = tokio::spawn(connection::serve(relay, limits(), answer, pending()));
    caller.write_all(format!("{REQUEST}{AMBIGUOUS}").as_bytes()).await?;
    timeout(IDLE_TIMEOUT * 3, served).await??;
    let text = read_all(caller).await?;
    verify_that!(text, contains_substring("xHTTP/1.1 400"))
}

/// Guards against an upstream that is occupied for as long as the caller of its stream reads nothing.
#[gtest]
#[tokio::test]
async fn absent_stream() -> Result<()> {
    let (mut caller, relay) = duplex(PIPE_BYTES);
    let (sent, mut senders) = unbounded_channel();
    let answer = move |_: Request<Incoming>| {
        let (sender, body) = Body::stream();
        let _ = sent.send(sender);
        ready(Response::new(body))
    };
    tokio::spawn(connection::serve(relay, limits(), answer, pending()));
    caller.write_all(REQUEST.as_bytes()).await?;
    let sender = senders.recv().await.or_fail()?;
    let events =
        async { while sender.send(Chunk::Data(Bytes::from(vec![b'x'; 500]))).await.is_ok() {} };
    timeout(IDLE_TIMEOUT * 3, events).await?;
    Ok(())
}

/// Size of a large event.
const LARGE_BYTES: usize = 60 << 10;
/// Most memory for the events of one caller: two of the largest events.
const CALLER_BYTES: usize = 256 << 10;
/// Memory for the events of all callers.
const ALL_BYTES: usize = 1 << 20;

/// Passes large events to a caller that takes none, and returns their number.
async fn fill(budget: &EventBudget, sender: &Sender<Chunk>) -> usize {
    let mut events = 0;
    let event = || Bytes::from(vec![b'x'; LARGE_BYTES]);
    let send = async || sender.send(budget.reserve(event()).await).await;
    while let Ok(Ok(())) = timeout(Duration::from_millis(50), send()).await {
        events += 1;
    }
    events
}

/// Guards against large events that fill the memory while their callers do not read: as many as fit into a
/// number of events, whatever their size.
#[gtest]
#[tokio::test]
async fn large_events() -> Result<()> {
    let all = Budget::new(ALL_BYTES as u64);
    let (mut events, mut bodies) = (0, Vec::new());
    for _ in 0..8 {
        let (sender, body) = Body::stream();
        let count = fill(&EventBudget::new(all.clone()), &sender).await;
        expect_that!(count * LARGE_BYTES, le(CALLER_BYTES));
        events += count;
        bodies.push((sender, body));
    }
    expect_that!(events * LARGE_BYTES, le(ALL_BYTES));
    // What the caller takes makes room.
    drop(bodies);
    let (sender, _body) = Body::stream();
    verify_that!(fill(&EventBudget::new(all), &sender).await, gt(0))
}

/// Guards against small events that wait for the memory that large ones of other callers hold.
#[gtest]
#[tokio::test]
async fn small_events() -> Result<()> {
    let all = Budget::new(64 << 10);
    let (large, _large_body) = Body::stream();
    fill(&EventBudget::new(all.clone()), &large).await;
    let (sender, _body) = Body::stream();
    let budget = EventBudget::new(all);
    let send = async { sender.send(budget.reserve(Bytes::from_static(b"id: 1\n\n")).await).await };
    verify_that!(timeout(Duration::from_millis(50), send).await?, ok(anything()))
}
