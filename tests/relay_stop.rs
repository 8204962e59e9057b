//! Tests of requests that arrive while a relay stops as planned.

use std::{io, net::SocketAddr, time::Duration};

use cyclamengrade_standins::bridge::{Fault, Harness};
use futures_util::future::join_all;
use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Time after which a relay that was asked to stop accepts no more connections.
const LEAVE_TIME: Duration = Duration::from_millis(300);
const CALLERS: usize = 60;

/// What a caller got for a request that it wrote on an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Got {
    Answer,
    /// The connection was closed or reset without an answer.
    Nothing,
}

/// Writes a request on a connection that is open and reads the beginning of the answer.
async fn exchange(mut stream: TcpStream, id: &str) -> io::Result<Got> {
    let head = format!(
        "POST /safe/path HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\n\
         Content-Length: 4\r\n\r\nbody"
    );
    if stream.write_all(head.as_bytes()).await.is_err() {
        return Ok(Got::Nothing);
    }
    let mut answer = [0; 12];
    let read = timeout(Duration::from_secs(5), stream.read_exact(&mut answer)).await?;
    Ok(if read.is_ok() { Got::Answer } else { Got::Nothing })
}

async fn connect(address: SocketAddr) -> io::Result<Vec<TcpStream>> {
    let mut streams = Vec::new();
    for _ in 0..CALLERS {
        streams.push(TcpStream::connect(address).await?);
    }
    Ok(streams)
}

/// Guards against requests that are reset without an answer, on connections that the system has accepted
/// for a relay which then stops accepting them. The relay is suspended at that moment, as on a busy vm.
#[gtest]
#[tokio::test]
async fn queued_connections() -> Result<()> {
    let harness = Harness::start(2).await?;
    harness.terminate_relay(0)?;
    sleep(LEAVE_TIME / 2).await;
    harness.pause_relay(0)?;
    sleep(LEAVE_TIME).await;
    let streams = connect(harness.address(0)).await?;
    let answers = streams
        .into_iter()
        .enumerate()
        .map(async |(number, stream)| exchange(stream, &format!("q-{number}")).await);
    let (answers, resumed) = tokio::join!(join_all(answers), async {
        sleep(Duration::from_millis(50)).await;
        harness.resume_relay(0)
    });
    resumed?;
    let answers = answers.into_iter().collect::<io::Result<Vec<_>>>()?;
    verify_that!(answers, each(eq(&Got::Answer)))
}

/// Guards against requests that are reset without an answer, on connections that a relay accepted just
/// before it closes the idle ones.
#[gtest]
#[tokio::test]
async fn accepted_connections() -> Result<()> {
    let harness = Harness::start(2).await?;
    harness.terminate_relay(0)?;
    sleep(LEAVE_TIME - Duration::from_millis(50)).await;
    let streams = connect(harness.address(0)).await?;
    sleep(Duration::from_millis(100)).await;
    let answers = streams
        .into_iter()
        .enumerate()
        .map(async |(number, stream)| exchange(stream, &format!("a-{number}")).await);
    let answers = join_all(answers).await.into_iter().collect::<io::Result<Vec<_>>>()?;
    verify_that!(answers, each(eq(&Got::Answer)))
}

/// Guards against requests without an answer while callers send to a relay without a pause, each on a new
/// connection, until it accepts no more.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn steady_callers() -> Result<()> {
    let harness = Harness::start(2).await?;
    let address = harness.address(0);
    let callers = (0..CALLERS).map(|caller| {
        tokio::spawn(async move {
            let mut answers = Vec::new();
            for number in 0.. {
                // The connection was not opened, or the relay has gone.
                let Ok(stream) = TcpStream::connect(address).await else { break };
                answers.push(exchange(stream, &format!("s-{caller}-{number}")).await);
            }
            answers
        })
    });
    let callers: Vec<_> = callers.collect();
    sleep(LEAVE_TIME).await;
    harness.terminate_relay(0)?;
    for caller in callers {
        for answer in caller.await? {
            expect_that!(answer, ok(eq(&Got::Answer)));
        }
    }
    Ok(())
}

/// Time from the stop signal until the relays of the harness are killed.
const GRACE: Duration = Duration::from_secs(4);
/// Events of a stream that takes almost as long.
const LONG: u64 = 420;
const LATE_CALLERS: usize = 4;

/// Begins the head of a request for a stream, or for a plain response, on open connections.
async fn begin_heads(harness: &Harness, route: &str) -> io::Result<Vec<TcpStream>> {
    let mut streams = Vec::new();
    for _ in 0..LATE_CALLERS {
        let mut stream = TcpStream::connect(harness.address(0)).await?;
        let head = format!("POST /{route}/path HTTP/1.1\r\nHost: calls.example\r\n");
        stream.write_all(head.as_bytes()).await?;
        streams.push(stream);
    }
    Ok(streams)
}

/// Ends a head and reads all of the response.
async fn end_head(mut stream: TcpStream, id: &str) -> io::Result<String> {
    let rest = format!(
        "Request-Id: {id}\r\nDeadline-Ms: 5000\r\nModel: m\r\nToken-Counts: 10,{LONG}\r\n\
         Content-Length: 4\r\n\r\nbody"
    );
    stream.write_all(rest.as_bytes()).await?;
    let mut response = Vec::new();
    // A connection that is reset has no answer, or a part of one.
    let _ = timeout(2 * GRACE, stream.read_to_end(&mut response)).await?;
    Ok(String::from_utf8_lossy(&response).into_owned())
}

async fn end_heads(streams: Vec<TcpStream>, name: &str) -> Result<Vec<String>> {
    let ends = streams
        .into_iter()
        .enumerate()
        .map(async |(number, stream)| end_head(stream, &format!("{name}-{number}")).await);
    Ok(join_all(ends).await.into_iter().collect::<io::Result<Vec<_>>>()?)
}

/// Guards against requests that arrive late in a planned stop, are passed on although they may last longer
/// than the relay, and are cut without an answer when it exits.
#[gtest]
#[tokio::test]
async fn late_requests() -> Result<()> {
    for route in ["once", "unsafe"] {
        let harness = Harness::start(2).await?;
        harness.plain.queue_faults(&[Fault::Silent; LATE_CALLERS]);
        let streams = begin_heads(&harness, route).await?;
        harness.terminate_relay(0)?;
        sleep(GRACE / 2).await;
        let responses = end_heads(streams, route).await?;
        expect_that!(responses, each(starts_with("HTTP/1.1 503")), "{route}");
        expect_that!(responses, each(contains_substring("retry-after")), "{route}");
        let runs = harness.runners.iter().chain([&harness.plain]).map(|runner| runner.runs().len());
        expect_that!(runs.sum::<usize>(), eq(0), "{route}");
    }
    Ok(())
}

/// Guards against a request that is still under way at the end of a planned stop and gets no final answer.
#[gtest]
#[tokio::test]
async fn final_answers() -> Result<()> {
    let harness = Harness::start(2).await?;
    harness.plain.queue_faults(&[Fault::Silent; LATE_CALLERS]);
    let streams = begin_heads(&harness, "unsafe").await?;
    sleep(Duration::from_millis(100)).await;
    harness.terminate_relay(0)?;
    let responses = end_heads(streams, "final").await?;
    expect_that!(harness.plain.runs().len(), eq(LATE_CALLERS));
    // They may have run.
    verify_that!(responses, each(starts_with("HTTP/1.1 504")))
}

/// Guards against the refusal of short requests while the load balancer still sends new connections.
#[gtest]
#[tokio::test]
async fn short_requests() -> Result<()> {
    let harness = Harness::start(2).await?;
    harness.terminate_relay(0)?;
    sleep(LEAVE_TIME / 3).await;
    for route in ["safe", "unsafe"] {
        let reply = harness.send(harness.call(0, route, &format!("short-{route}"))).await?;
        expect_that!(reply.status, eq(200), "{route}");
    }
    expect_that!(harness.stream(0, "once", "short-once", 4).await?.status, eq(200));
    Ok(())
}
