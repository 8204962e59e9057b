//! Reads of objects from a store that marks the end of an answer with nothing but the close of its
//! connection.

use std::{io, net::SocketAddr, time::Duration};

use cyclamengrade_platform::{Error, Objects, http::Client};
use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
};

const FRAMED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\nwhole";
const CUT: &str = "HTTP/1.1 200 OK\r\n\r\nwho";

/// Starts a store that sends these answers, each on a connection of its own. The receiver gets one
/// message an answer.
async fn start_store(
    answers: Vec<&'static str>,
) -> io::Result<(SocketAddr, UnboundedReceiver<()>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (sent, received) = unbounded_channel();
    tokio::spawn(async move {
        for answer in answers {
            let (mut stream, _) = listener.accept().await?;
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                stream.read_buf(&mut request).await?;
            }
            stream.write_all(answer.as_bytes()).await?;
            let _ = sent.send(());
        }
        io::Result::Ok(())
    });
    Ok((address, received))
}

/// Reads an object, and returns it with the number of answers that were sent.
async fn read(
    answers: Vec<&'static str>,
) -> Result<(std::result::Result<Option<String>, Error>, usize)> {
    let (address, mut received) = start_store(answers).await?;
    let client = Client::new(address, address, address, Duration::from_secs(5));
    let read = client.get("object".into()).await;
    let text = read.map(|found| found.map(|bytes| String::from_utf8_lossy(&bytes).into_owned()));
    let mut count = 0;
    while received.try_recv().is_ok() {
        count += 1;
    }
    Ok((text, count))
}

/// Guards against a part of an object that counts as all of it, because the store closed the
/// connection early.
#[gtest]
#[tokio::test]
async fn cut_object() -> Result<()> {
    let (text, _) = read(vec![CUT, UNFRAMED, UNFRAMED]).await?;
    expect_that!(text, ok(some(eq("whole"))));
    let (text, _) = read(vec![UNFRAMED, CUT, UNFRAMED, UNFRAMED]).await?;
    expect_that!(text, ok(some(eq("whole"))));
    let (text, _) = read(vec![CUT, FRAMED]).await?;
    verify_that!(text, ok(some(eq("whole"))))
}

/// Guards against objects that cannot be read because nothing marks their ends, and against further
/// reads of those whose ends are marked.
#[gtest]
#[tokio::test]
async fn whole_object() -> Result<()> {
    let (text, count) = read(vec![UNFRAMED, UNFRAMED]).await?;
    expect_that!(text, ok(some(eq("whole"))));
    expect_that!(count, eq(2));
    let (text, count) = read(vec![FRAMED, FRAMED]).await?;
    expect_that!(text, ok(some(eq("whole"))));
    verify_that!(count, eq(1))
}

/// Guards against endless reads of an object that differs each time.
#[gtest]
#[tokio::test]
async fn unsteady_object() -> Result<()> {
    let (text, _) = read([CUT, UNFRAMED].repeat(10)).await?;
    verify_that!(text, err(matches_pattern!(Error::Unreachable(_))))
}
