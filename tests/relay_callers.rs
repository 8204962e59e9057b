//! Tests of malformed, slow and pipelined HTTP/1.1 requests to a relay.

use std::time::{Duration, Instant};

use cyclamengrade_standins::bridge::Harness;
use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends bytes and reads until the relay closes the connection or the heads of `answers`
/// responses have arrived.
async fn exchange(harness: &Harness, bytes: &[u8], answers: usize) -> Result<String> {
    let mut stream = TcpStream::connect(harness.address(0)).await?;
    stream.write_all(bytes).await?;
    read(&mut stream, answers).await
}

async fn read(stream: &mut TcpStream, answers: usize) -> Result<String> {
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    while text.matches("HTTP/1.1 ").count() < answers {
        match timeout(RESPONSE_TIMEOUT, stream.read(&mut buffer)).await?? {
            0 => break,
            read => text.push_str(&String::from_utf8_lossy(&buffer[..read])),
        }
    }
    Ok(text)
}

/// Formats the head of a POST request up to its framing; `framing` holds the headers that frame the
/// body, and the body.
fn post(id: &str, framing: &str) -> String {
    format!(
        "POST /safe/x HTTP/1.1\r\nhost: calls.example\r\nrequest-id: {id}\r\ndeadline-ms: 4000\r\n\
         {framing}"
    )
}

/// Guards against a caller that occupies a connection with an incomplete request head, whether it
/// sends the part at once or a byte every 100 ms.
#[gtest]
#[tokio::test]
async fn stalled_head() -> Result<()> {
    let harness = Harness::start(1).await?;
    let start = Instant::now();
    let head = post("r-1", "");
    let text = exchange(&harness, head.as_bytes(), 1).await?;
    expect_that!(text, starts_with("HTTP/1.1 408"));
    expect_that!(start.elapsed(), le(Duration::from_millis(3_500)));

    let start = Instant::now();
    let mut stream = TcpStream::connect(harness.address(0)).await?;
    for byte in head.bytes().take(40) {
        if stream.write_all(&[byte]).await.is_err() {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    let text = read(&mut stream, 1).await.unwrap_or_default();
    expect_that!(text.is_empty() || text.starts_with("HTTP/1.1 408"), eq(true));
    expect_that!(start.elapsed(), le(Duration::from_millis(4_500)));
    verify_that!(harness.plain.runs(), is_empty())
}

/// Guards against closing a connection that has been idle for longer than the timeout of a request
/// head but for less than the idle timeout, or while a request on it takes longer than the timeout
/// of a request head.
#[gtest]
#[tokio::test]
async fn idle_connection() -> Result<()> {
    let harness = Harness::start(1).await?;
    let mut stream = TcpStream::connect(harness.address(0)).await?;
    for id in ["r-1", "r-2"] {
        stream.write_all(post(id, "content-length: 2\r\n\r\nab").as_bytes()).await?;
        let text = read(&mut stream, 1).await?;
        expect_that!(text, starts_with("HTTP/1.1 200"));
        sleep(Duration::from_millis(3_500)).await;
    }
    verify_that!(harness.plain.runs().len(), eq(2))
}

/// Guards against cutting off a stream because the head of the next request on the same connection
/// is incomplete.
#[gtest]
#[tokio::test]
async fn head_behind_stream() -> Result<()> {
    let harness = Harness::start(1).await?;
    // A stream of 360 events 9 ms apart takes longer than the timeout of a request head.
    let stream = post("s-1", "token-counts: 10,360\r\ncontent-length: 2\r\n\r\nab");
    let stream = stream.replace("/safe/", "/stream/");
    let both = format!("{stream}POST /safe/x HTTP/1.1\r\nhost:");
    let text = exchange(&harness, both.as_bytes(), 2).await?;
    expect_that!(text.matches("data:").count(), eq(360));
    verify_that!(text.contains("HTTP/1.1 408"), eq(true))
}

/// Guards against request smuggling through conflicting length headers, in the first request of a
/// connection and after a valid one.
#[gtest]
#[tokio::test]
async fn hidden_request() -> Result<()> {
    let harness = Harness::start(1).await?;
    let hidden = post("hidden", "content-length: 0\r\n\r\n");
    let framings = [
        format!("content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{hidden}"),
        format!("transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n{hidden}"),
        format!("content-length: 5\r\ncontent-length: 6\r\n\r\n0\r\n\r\n{hidden}"),
    ];
    for framing in &framings {
        let text = exchange(&harness, post("bad", framing).as_bytes(), 2).await?;
        expect_that!(text, starts_with("HTTP/1.1 400"));
        expect_that!(text.matches("HTTP/1.1").count(), eq(1));
    }
    expect_that!(harness.plain.runs(), is_empty());
    let valid = post("sound", "content-length: 2\r\n\r\nab");
    let both = format!("{valid}{}", post("bad", &framings[0]));
    let text = exchange(&harness, both.as_bytes(), 3).await?;
    expect_that!(text, starts_with("HTTP/1.1 200"));
    expect_that!(text, contains_substring("HTTP/1.1 400"));
    let runs: Vec<String> = harness.plain.runs().into_iter().map(|run| run.id).collect();
    verify_that!(runs, elements_are![eq("sound")])
}

/// Guards against refusing valid pipelined requests with a chunked body, a content length or no
/// body.
#[gtest]
#[tokio::test]
async fn pipelined() -> Result<()> {
    let harness = Harness::start(1).await?;
    let requests = [
        post("r-1", "transfer-encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nx: y\r\n\r\n"),
        post("r-2", "content-length: 2\r\n\r\nab"),
        post("r-3", "\r\n"),
    ];
    let text = exchange(&harness, requests.concat().as_bytes(), 3).await?;
    expect_that!(text.matches("HTTP/1.1 200").count(), eq(3));
    let runs: Vec<String> = harness.plain.runs().into_iter().map(|run| run.id).collect();
    verify_that!(runs, elements_are![eq("r-1"), eq("r-2"), eq("r-3")])
}
