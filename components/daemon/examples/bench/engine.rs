//! Fake engine that sends one token per write and uses as little CPU time as possible.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep_until},
};

/// Response to a poll of the load.
const LOAD: &str = r#"{"sequence":1,"age_ms":0,"running":0,"queued":0,"slots":10000,"models":["m@1"],"leaving":false}"#;

/// Starts an engine on the current runtime that sends a token every `gap`.
pub async fn start(gap: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            socket.set_nodelay(true).unwrap();
            tokio::spawn(serve(socket, gap));
        }
    });
    address
}

async fn serve(mut socket: TcpStream, gap: Duration) -> Option<()> {
    let mut buffer = Vec::new();
    loop {
        let (head, body) = read_request(&mut socket, &mut buffer).await?;
        if head.starts_with("POST /v1/completions") {
            let count = body.split("\"max_tokens\":").nth(1)?.split([',', '}']).next()?;
            send_stream(&mut socket, count.parse().ok()?, gap).await?;
        } else {
            let body = if head.starts_with("GET /v1/load") { LOAD } else { r#"{"events":[]}"# };
            let length = body.len();
            let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
            socket.write_all(response.as_bytes()).await.ok()?;
        }
    }
}

/// Sends the events of a completion, in chunks.
async fn send_stream(socket: &mut TcpStream, tokens: u32, gap: Duration) -> Option<()> {
    let mut out = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
        transfer-encoding: chunked\r\n\r\n"
        .to_vec();
    let mut next = Instant::now();
    for index in 0..tokens {
        if !gap.is_zero() {
            next += gap;
            sleep_until(next).await;
        }
        let event = format!("data: {{\"index\":{index},\"text\":\" word{index}\"}}\n\n");
        out.extend_from_slice(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
        socket.write_all(&out).await.ok()?;
        out.clear();
    }
    let event = format!(
        "data: {{\"index\":{tokens},\"text\":\"\",\"finish_reason\":\"stop\"}}\n\ndata: [DONE]\n\n"
    );
    let chunk = format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len());
    socket.write_all(chunk.as_bytes()).await.ok()
}

/// Reads the head and the body of a request; `None` when the connection is closed.
async fn read_request(socket: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, String)> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8(buffer[..end].to_vec()).ok()?;
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "))
                .map_or(0, |length| length.parse().unwrap_or(0));
            if buffer.len() >= end + 4 + length {
                let body = String::from_utf8(buffer[end + 4..end + 4 + length].to_vec()).ok()?;
                buffer.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        if socket.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}
