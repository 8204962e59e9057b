//! Answers on kept connections that belong to earlier calls.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use cyclamengrade_platform::{
    Error, Objects, http,
    transport::{Call, Effect, Transport},
};
use googletest::prelude::*;
use hyper::{Method, StatusCode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Starts a service that answers the calls on all connections with these texts in this order. On a
/// connection that is kept, it writes the previous answer once more before the next one.
async fn start_service(answers: Vec<String>) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        let mut answers = answers.into_iter();
        while let Ok((stream, _)) = listener.accept().await {
            // An I/O error ends the connection, and the service goes on with the next one.
            let _ = serve(stream, &mut answers).await;
        }
    });
    Ok(address)
}

async fn serve(
    mut stream: TcpStream,
    answers: &mut impl Iterator<Item = String>,
) -> io::Result<()> {
    let mut previous = String::new();
    let mut bytes = [0; 4_096];
    while stream.read(&mut bytes).await? > 0 {
        let Some(answer) = answers.next() else { return Ok(()) };
        stream.write_all(format!("{previous}{answer}").as_bytes()).await?;
        previous = answer;
    }
    Ok(())
}

fn answer(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

fn transport() -> Transport {
    Transport::new(Duration::from_secs(2))
}

fn call(address: SocketAddr, effect: Effect) -> Call {
    let method = if effect == Effect::Write { Method::POST } else { Method::GET };
    Call { effect, method, address, path: "/call".into(), tag: None, body: Bytes::new() }
}

/// Guards against a write that has taken effect and counts as refused, because the service wrote an
/// earlier refusal once more.
#[gtest]
#[tokio::test]
async fn repeated_refusal() -> Result<()> {
    for status in ["503 Service Unavailable", "412 Precondition Failed", "404 Not Found"] {
        let answers = vec![answer(status, "{}"), answer("200 OK", "{\"Ver\":7}")];
        let address = start_service(answers).await?;
        let transport = transport();
        // The first call is refused.
        let _ = transport.call(call(address, Effect::Write)).await;
        let second = transport.call(call(address, Effect::Write)).await.or_fail()?;
        expect_that!(second.status, eq(StatusCode::OK), "{status}");
    }
    Ok(())
}

/// Guards against a write that counts as done, because the service wrote the answer to an earlier write
/// once more.
#[gtest]
#[tokio::test]
async fn repeated_write() -> Result<()> {
    let answers = vec![answer("200 OK", "{\"Ver\":7}"), answer("503 Service Unavailable", "")];
    let address = start_service(answers).await?;
    let transport = transport().with_unique_answers();
    transport.call(call(address, Effect::Write)).await.or_fail()?;
    let second = transport.call(call(address, Effect::Write)).await;
    verify_that!(second.err(), some(matches_pattern!(Error::OutcomeUnknown(_))))
}

/// Guards against rows of an earlier read that are taken for those of the current one.
#[gtest]
#[tokio::test]
async fn repeated_read() -> Result<()> {
    let answers = ["{\"Ver\":7}", "{\"Ver\":8}", "{\"Ver\":9}"];
    let address = start_service(answers.map(|body| answer("200 OK", body)).into()).await?;
    let transport = transport().with_unique_answers();
    transport.call(call(address, Effect::Read)).await.or_fail()?;
    let second = transport.call(call(address, Effect::Read)).await.or_fail()?;
    verify_that!(second.body.as_ref(), eq(b"{\"Ver\":9}".as_slice()))
}

/// Guards against an answer without content that is taken for the answer to another call.
#[gtest]
#[tokio::test]
async fn empty_answers() -> Result<()> {
    let answers = vec![answer("201 Created", ""), answer("412 Precondition Failed", "")];
    let address = start_service(answers).await?;
    let transport = transport().with_new_connections();
    let first = transport.call(call(address, Effect::Write)).await.or_fail()?;
    let second = transport.call(call(address, Effect::Write)).await.or_fail()?;
    expect_that!(first.status, eq(StatusCode::CREATED));
    verify_that!(second.status, eq(StatusCode::PRECONDITION_FAILED))
}

/// Guards against the content of another object, because the object store wrote an earlier answer once
/// more.
#[gtest]
#[tokio::test]
async fn repeated_object() -> Result<()> {
    let answers = vec![answer("200 OK", "first"), answer("200 OK", "second")];
    let address = start_service(answers).await?;
    let client = http::Client::new(address, address, address, Duration::from_secs(2));
    expect_that!(client.get("a".into()).await.or_fail()?, some(eq("first")));
    verify_that!(client.get("b".into()).await.or_fail()?, some(eq("second")))
}
