//! Callers that read their responses slowly, with a request behind them that the relay refuses.

use std::time::Duration;

use cyclamengrade_standins::bridge::Harness;
use googletest::prelude::*;
use tokio::{
    io::AsyncReadExt,
    net::{TcpSocket, TcpStream},
    time::sleep,
};

/// Body of a request, which its response repeats.
const BODY_BYTES: usize = 1_000_000;
/// Requests on one connection. Their responses exceed the memory of the kernel for a connection.
const REQUESTS: usize = 8;
const RECEIVE_BUFFER_BYTES: u32 = 256 << 10;
/// Bytes that a slow caller reads at once.
const READ_BYTES: usize = 100_000;
/// Time between two reads of a slow caller.
const READ_INTERVAL: Duration = Duration::from_millis(15);
/// A head with two lengths.
const AMBIGUOUS: &str = "POST /safe/x HTTP/1.1\r\nhost: calls.example\r\nrequest-id: bad\r\n\
                         content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";

/// Status of a response, and how much of its body arrived.
type Reply = (String, usize);

fn post(number: usize, body_bytes: usize) -> String {
    format!(
        "POST /safe/x HTTP/1.1\r\nhost: calls.example\r\nrequest-id: r-{number}\r\n\
         deadline-ms: 4000\r\ncontent-length: {body_bytes}\r\n\r\n{}",
        "x".repeat(body_bytes)
    )
}

/// Sends requests behind one another, and reads slowly until the relay closes the connection.
async fn exchange(harness: &Harness, requests: &str) -> Result<Vec<Reply>> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let mut stream = socket.connect(harness.address(0)).await?;
    let (mut sent, mut received) = (0, Vec::new());
    loop {
        sent += stream.try_write(&requests.as_bytes()[sent..]).unwrap_or(0);
        if sent == requests.len() && read(&mut stream, &mut received).await? == 0 {
            return Ok(replies(&received));
        }
        if sent < requests.len() {
            let mut buffer = vec![0; READ_BYTES];
            let read = stream.try_read(&mut buffer).unwrap_or(0);
            received.extend_from_slice(&buffer[..read]);
        }
        sleep(READ_INTERVAL).await;
    }
}

async fn read(stream: &mut TcpStream, received: &mut Vec<u8>) -> Result<usize> {
    let mut buffer = vec![0; READ_BYTES];
    let read = stream.read(&mut buffer).await?;
    received.extend_from_slice(&buffer[..read]);
    Ok(read)
}

fn replies(received: &[u8]) -> Vec<Reply> {
    let text = String::from_utf8_lossy(received);
    let responses = text.split("HTTP/1.1 ").skip(1);
    responses
        .map(|response| {
            let (head, body) = response.split_once("\r\n\r\n").unwrap_or((response, ""));
            (head.chars().take(3).collect(), body.len())
        })
        .collect()
}

/// Guards against the head of a refusal in the middle of a response, when the caller reads slowly and
/// an ambiguous head follows its requests.
#[gtest]
#[tokio::test]
async fn ambiguous_head() -> Result<()> {
    let harness = Harness::start(1).await?;
    // The first size shifts the point at which the kernel takes no more bytes.
    for first in [100_000, 400_000, 700_000, 1_000_000] {
        let sizes = [first].into_iter().chain([BODY_BYTES; REQUESTS - 1]);
        let requests: String =
            sizes.clone().enumerate().map(|(number, bytes)| post(number, bytes)).collect();
        let mut expected: Vec<Reply> =
            sizes.map(|bytes| ("200".into(), "answer to ".len() + bytes)).collect();
        expected.push(("400".into(), 0));
        let replies = exchange(&harness, &(requests + AMBIGUOUS)).await?;
        expect_that!(replies, eq(&expected), "first body of {first} bytes");
    }
    Ok(())
}
