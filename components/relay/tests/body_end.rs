//! Ends of streamed responses, as callers see them.

use std::future::{pending, ready};

use bytes::Bytes;
use cyclamengrade_control::relay::route::Limits;
use cyclamengrade_relay::{
    body::{Body, Chunk},
    connection,
};
use googletest::prelude::*;
use http_body_util::BodyExt;
use hyper::{Request, Response, body::Incoming};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, duplex},
    sync::mpsc::unbounded_channel,
};

const EVENT: Bytes = Bytes::from_static(b"id: 1\ndata: piece 1\n\n");

/// Guards against a response that counts as complete because nothing sends its rest any more.
#[gtest]
#[tokio::test]
async fn dropped_sender() -> Result<()> {
    let (sender, body) = Body::stream();
    drop(sender);
    expect_that!(body.collect().await, err(anything()));

    let (sender, body) = Body::stream();
    sender.send(Chunk::Data(EVENT)).await?;
    drop(sender);
    verify_that!(body.collect().await, err(anything()))
}

/// Guards against a response that counts as complete because the task that sends it panicked or was
/// aborted.
#[gtest]
#[tokio::test]
async fn ended_task() -> Result<()> {
    let (sender, body) = Body::stream();
    let task = tokio::spawn(async move {
        let _ = sender.send(Chunk::Data(EVENT)).await;
        std::panic::resume_unwind(Box::new("the task ends"));
    });
    expect_that!(task.await, err(anything()));
    expect_that!(body.collect().await, err(anything()));

    let (sender, body) = Body::stream();
    let task = tokio::spawn(async move {
        let _sender = sender;
        pending::<()>().await;
    });
    task.abort();
    verify_that!(body.collect().await, err(anything()))
}

/// Guards against a complete response that counts as truncated.
#[gtest]
#[tokio::test]
async fn marked_end() -> Result<()> {
    let (sender, body) = Body::stream();
    sender.send(Chunk::Data(EVENT)).await?;
    sender.send(Chunk::End).await?;
    drop(sender);
    verify_that!(body.collect().await?.to_bytes(), eq(&EVENT))
}

/// Returns what a caller receives when the sender of its response is dropped after an event.
async fn receive(request: &str) -> Result<String> {
    let (mut caller, relay) = duplex(1_024);
    let (sent, mut senders) = unbounded_channel();
    let answer = move |_: Request<Incoming>| {
        let (sender, body) = Body::stream();
        let _ = sent.send(sender);
        ready(Response::new(body))
    };
    tokio::spawn(connection::serve(relay, Limits::default(), answer, pending()));
    caller.write_all(request.as_bytes()).await?;
    let sender = senders.recv().await.or_fail()?;
    sender.send(Chunk::Data(EVENT)).await?;
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"piece 1\n\n\r\n") {
        assert_that!(caller.read_buf(&mut bytes).await?, gt(0));
    }
    drop(sender);
    caller.read_to_end(&mut bytes).await?;
    Ok(String::from_utf8(bytes)?)
}

/// Guards against a truncated response with the mark of a complete one, on a connection that stays
/// open and on one that the caller wants closed.
#[gtest]
#[tokio::test]
async fn truncated_chunks() -> Result<()> {
    for headers in ["", "connection: close\r\n"] {
        let request = format!("GET /x HTTP/1.1\r\nhost: calls.example\r\n{headers}\r\n");
        let text = receive(&request).await?;
        expect_that!(text, contains_substring("transfer-encoding: chunked"), "{headers}");
        expect_that!(text, not(ends_with("0\r\n\r\n")), "{headers}");
    }
    Ok(())
}
