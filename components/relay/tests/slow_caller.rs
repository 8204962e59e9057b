//! Callers that read their responses slowly, with a head behind their request that is refused.

use std::{future::pending, time::Duration};

use cyclamengrade_control::relay::route::Limits;
use cyclamengrade_relay::{body::Body, connection};
use googletest::prelude::*;
use hyper::{Request, Response, body::Incoming, header::CONTENT_LENGTH};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex},
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

/// Sends a request with `last` behind it, and reads nothing for a while. Returns the response up to
/// its end, and what follows it.
async fn exchange(last: &str, pause: Duration) -> Result<(usize, String)> {
    let (mut caller, relay) = duplex(PIPE_BYTES);
    let limits =
        Limits { head_timeout: HEAD_TIMEOUT, idle_timeout: IDLE_TIMEOUT, ..Limits::default() };
    tokio::spawn(connection::serve(relay, limits, answer, pending()));
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
