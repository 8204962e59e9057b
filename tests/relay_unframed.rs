//! Callers of HTTP/1.0, whose streams end with their connections.

use std::time::Duration;

use cyclamengrade_standins::bridge::{Fault, Harness};
use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Requests a stream of `events` events.
async fn open(harness: &Harness, events: u64) -> Result<TcpStream> {
    let mut stream = TcpStream::connect(harness.address(0)).await?;
    let head = format!(
        "POST /stream/x HTTP/1.0\r\nhost: calls.example\r\nrequest-id: s-1\r\ndeadline-ms: 4000\r\n\
         token-counts: 10,{events}\r\ncontent-length: 2\r\n\r\nab"
    );
    stream.write_all(head.as_bytes()).await?;
    Ok(stream)
}

/// Reads to an orderly end of the connection.
async fn read_all(mut stream: TcpStream) -> Result<String> {
    let mut text = String::new();
    timeout(RESPONSE_TIMEOUT, stream.read_to_string(&mut text)).await??;
    Ok(text)
}

/// Guards against a complete stream whose connection is reset.
#[gtest]
#[tokio::test]
async fn whole_stream() -> Result<()> {
    let harness = Harness::start(1).await?;
    let text = read_all(open(&harness, 12).await?).await?;
    expect_that!(text, starts_with("HTTP/1.0 200"));
    expect_that!(text, ends_with("id: 12\ndata: piece 12\n\n"));
    verify_that!(text.to_lowercase(), not(contains_substring("transfer-encoding")))
}

/// Guards against a stream that looks complete to its caller because the connection is closed in order
/// when no upstream can resume it.
#[gtest]
#[tokio::test]
async fn broken_stream() -> Result<()> {
    let harness = Harness::start(1).await?;
    for runner in &harness.runners {
        runner.queue_faults(&[Fault::CutAfter(4), Fault::CutAfter(4)]);
    }
    let text = read_all(open(&harness, 30).await?).await;
    verify_that!(text, err(anything()))
}

/// Guards against a stream that looks complete to its caller because its relay was killed.
#[gtest]
#[tokio::test]
async fn killed_relay() -> Result<()> {
    let mut harness = Harness::start(1).await?;
    let mut stream = open(&harness, 300).await?;
    let mut bytes = vec![0; 512];
    assert_that!(timeout(RESPONSE_TIMEOUT, stream.read(&mut bytes)).await??, gt(0));
    harness.kill_relay(0)?;
    verify_that!(read_all(stream).await, err(anything()))
}
