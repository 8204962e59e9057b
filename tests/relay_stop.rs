//! Tests of requests that arrive while a relay stops as planned.

use std::{io, net::SocketAddr, time::Duration};

use cyclamengrade_standins::bridge::Harness;
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
