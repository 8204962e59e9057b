//! Requests that arrive while the server stops.
#![allow(clippy::unwrap_used)]

mod support;

use std::{io::Write, net};

use googletest::prelude::*;
use support::{Response, TestServer, end, post, token};
use tokio::net::TcpStream;

const BODY: &[u8] = br#"{"model":"wording-llm","prompt":"hello"}"#;

/// Connects without giving the server, which runs on this thread, the time to accept.
fn connect(server: &TestServer) -> Vec<net::TcpStream> {
    (0..8).map(|_| net::TcpStream::connect(server.address).unwrap()).collect()
}

async fn statuses(streams: Vec<net::TcpStream>) -> Vec<u16> {
    let mut statuses = Vec::new();
    for mut stream in streams {
        stream.write_all(&post("/v1/completions", "", BODY)).unwrap();
        stream.set_nonblocking(true).unwrap();
        let mut stream = TcpStream::from_std(stream).unwrap();
        statuses.push(Response::read(&mut stream).await.status);
    }
    statuses
}

/// Guards against requests that are reset without an answer, on connections that the system has accepted
/// for a server which then stops accepting them.
#[gtest]
#[tokio::test]
async fn queued_connections() -> Result<()> {
    let mut server = TestServer::start(vec![token("a"), end()]).await;
    let streams = connect(&server);
    server.stop.take().unwrap().send(()).unwrap();
    expect_that!(statuses(streams).await, each(eq(&200)));
    verify_that!(server.served.await?, eq(true))
}

/// Guards against requests that are reset without an answer, on connections that the server accepted just
/// before it closes the idle ones.
#[gtest]
#[tokio::test]
async fn accepted_connections() -> Result<()> {
    let mut server = TestServer::start(vec![token("a"), end()]).await;
    let streams = connect(&server);
    // The server accepts them.
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    server.stop.take().unwrap().send(()).unwrap();
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    expect_that!(statuses(streams).await, each(eq(&200)));
    verify_that!(server.served.await?, eq(true))
}
