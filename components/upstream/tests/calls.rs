//! Calls of engines and services against a scripted socket.
#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cyclamengrade_upstream::{Call, Client, Error, Open, Options, Progress, Ran, Token, wire};
use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
};

/// What one request on a connection gets: the parts of its answer, written one by one.
type Parts = Vec<&'static [u8]>;

/// Serves each connection with its script; sends the heads of the requests that arrive. The
/// connection is closed after its script, or kept open without an answer when told so.
async fn server(
    connections: Vec<Vec<Parts>>,
    hold: bool,
) -> (SocketAddr, mpsc::UnboundedReceiver<(usize, String)>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (seen, requests) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        for (number, script) in connections.into_iter().enumerate() {
            let (mut socket, _) = listener.accept().await.unwrap();
            let seen = seen.clone();
            tokio::spawn(async move {
                for parts in script {
                    let Some(request) = read(&mut socket).await else { return };
                    seen.send((number, request)).unwrap();
                    for part in parts {
                        socket.write_all(part).await.unwrap();
                        tokio::task::yield_now().await;
                    }
                }
                if hold {
                    let _ = read(&mut socket).await;
                }
            });
        }
        // Later connections are refused.
    });
    (address, requests)
}

async fn read(socket: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut part = [0; 1_024];
    loop {
        let count = socket.read(&mut part).await.ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&part[..count]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some(end) = text.find("\r\n\r\n") else { continue };
        let length = text
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .map_or(0, |length| length.parse().unwrap());
        if bytes.len() >= end + 4 + length {
            return Some(text);
        }
    }
}

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const LAST: &[u8] = b"0\r\n\r\n";

fn client() -> Client {
    Client::new(Options { call: Duration::from_secs(5), ..Options::default() })
}

fn open(resume_from: u32) -> Open<'static> {
    let body = wire::Completion {
        model: "m".into(),
        prompt: "hello".into(),
        max_tokens: 8,
        resume_from,
        ..wire::Completion::default()
    };
    Open { stream_id: "s-1", body, traceparent: Some("00-a"), fresh: false }
}

async fn whole(
    client: &Client,
    address: SocketAddr,
    resume_from: u32,
) -> (Vec<Token>, Result<Progress, Error>) {
    let mut tokens = Vec::new();
    let mut stream = match client.open(address, open(resume_from)).await {
        Ok(stream) => stream,
        Err(error) => return (tokens, Err(error)),
    };
    loop {
        match stream.next(&mut tokens).await {
            Ok(Progress::Tokens) => {}
            end => return (tokens, end),
        }
    }
}

fn end() -> Result<Progress, Error> {
    Ok(Progress::End { finish_reason: "stop".into() })
}

fn texts(tokens: &[Token]) -> Vec<&str> {
    tokens.iter().map(|token| token.text.as_str()).collect()
}

fn json(body: &str) -> &'static [u8] {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    (head + body).into_bytes().leak()
}

fn chunk(data: &str) -> &'static [u8] {
    format!("{:x}\r\n{data}\r\n", data.len()).into_bytes().leak()
}

/// Guards against tokens that are lost when an event is split over several reads, and against
/// fields, comments and line ends of the event format that the engine may use.
#[gtest]
#[tokio::test]
async fn split_events() {
    let parts = vec![
        HEAD,
        chunk(": comment\n\ndata: {\"index\":0,\"te"),
        chunk("xt\":\"a\\u00e9\\\"\"}\r\n\r\nevent: x\ndata:{\"index\":1,\"text\":\"b\"}\n\nda"),
        chunk("ta: {\"index\":2,\"text\":\"\",\"finish_reason\":null,\"more\":[1]}\n\n"),
        chunk("data: {\"index\":3,\"text\":\"c\",\"finish_reason\":\"stop\"}\n\ndata: [DONE]\n\n"),
        LAST,
    ];
    let (address, mut requests) = server(vec![vec![parts]], true).await;
    let (tokens, result) = whole(&client(), address, 0).await;
    expect_that!(result, eq(&end()));
    expect_that!(texts(&tokens), elements_are![eq(&"a\u{e9}\""), eq(&"b"), eq(&""), eq(&"c")]);
    let (_, request) = requests.recv().await.unwrap();
    expect_that!(request, contains_substring("x-stream-id: s-1"));
    expect_that!(request, contains_substring("traceparent: 00-a"));
    expect_that!(request, contains_substring(r#""stream":true"#));
}

/// Guards against an answer that was cut off or has a gap and is taken for a whole one.
#[gtest]
#[tokio::test]
async fn cut_off() {
    let first = chunk("data: {\"index\":0,\"text\":\"a\"}\n\n");
    let cases: Vec<(Parts, Ran)> = vec![
        (vec![HEAD, first], Ran::Yes),
        (vec![HEAD, first, LAST], Ran::Yes),
        (vec![HEAD, first, chunk("data: [DONE]\n\n"), LAST], Ran::Yes),
        (vec![HEAD, first, chunk("data: {\"index\":2,\"text\":\"c\"}\n\n")], Ran::Yes),
        (vec![HEAD, first, chunk("data: {\"index\":1,\"te\n\n")], Ran::Yes),
        (vec![HEAD, first, chunk("data: \u{0}\n\n")], Ran::Yes),
        (vec![HEAD, first, b"zz\r\n"], Ran::Yes),
        (vec![b"HTTP/1.1 2"], Ran::Unknown),
        (vec![b""], Ran::Unknown),
    ];
    for (parts, ran) in cases {
        let shown = parts.iter().map(|part| String::from_utf8_lossy(part)).collect::<String>();
        let (address, _requests) = server(vec![vec![parts]], false).await;
        let (tokens, result) = whole(&client(), address, 0).await;
        expect_that!(result.clone().map_err(|error| error.ran()), err(eq(&ran)), "{shown:?}");
        expect_that!(tokens.len(), le(1));
    }
}

/// Guards against a resumed stream that repeats tokens which the caller already has.
#[gtest]
#[tokio::test]
async fn resumed() {
    let repeated =
        (1..5).map(|index| format!("data: {{\"index\":{index},\"text\":\"t{index}\"}}\n\n"));
    let parts = vec![
        HEAD,
        chunk(&repeated.collect::<String>()),
        chunk("data: {\"index\":5,\"text\":\"\",\"finish_reason\":\"stop\"}\n\n"),
        LAST,
    ];
    let (address, mut requests) = server(vec![vec![parts]], true).await;
    let (tokens, result) = whole(&client(), address, 3).await;
    expect_that!(result, eq(&end()));
    expect_that!(texts(&tokens), elements_are![eq(&"t3"), eq(&"t4")]);
    expect_that!(requests.recv().await.unwrap().1, contains_substring(r#""resume_from":3"#));
}

/// Guards against a statement on the run that is not certain.
#[gtest]
#[tokio::test]
async fn what_ran() {
    let refused = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let (_, result) = whole(&client(), refused, 0).await;
    expect_that!(result.unwrap_err().ran(), eq(Ran::No));
    let cases: [(&'static [u8], Ran); 6] = [
        (b"HTTP/1.1 503 X\r\ncontent-length: 4\r\n\r\nfull", Ran::No),
        (b"HTTP/1.1 429 X\r\ncontent-length: 0\r\n\r\n", Ran::No),
        (b"HTTP/1.1 404 X\r\ncontent-length: 0\r\n\r\n", Ran::No),
        (b"HTTP/1.1 500 X\r\ncontent-length: 0\r\n\r\n", Ran::Unknown),
        (b"HTTP/1.1 502 X\r\ncontent-length: 0\r\n\r\n", Ran::Unknown),
        (b"HTTP/1.1 408 X\r\ncontent-length: 0\r\n\r\n", Ran::Unknown),
    ];
    for (answer, ran) in cases {
        let (address, _requests) = server(vec![vec![vec![answer]]], false).await;
        let error = whole(&client(), address, 0).await.1.unwrap_err();
        expect_that!(error.ran(), eq(ran), "{error}");
    }
}

/// Guards against a connection for each request, and against the use of a connection that the
/// server has closed.
#[gtest]
#[tokio::test]
async fn pooled() {
    let load = json(
        r#"{"sequence":1,"age_ms":0,"running":2,"queued":3,"slots":4,"models":[],"leaving":false}"#,
    );
    // The first connection closes after three requests.
    let script = vec![vec![vec![load]; 3], vec![vec![load]]];
    let (address, mut requests) = server(script, false).await;
    let client = client();
    expect_that!(client.load(address).await, ok(field!(&wire::Load.slots, eq(4))));
    expect_that!(client.load(address).await, ok(anything()));
    expect_that!(client.load(address).await, ok(anything()));
    // The client may not have seen yet that the server has closed the connection.
    for _ in 0..1_000 {
        if client.load(address).await.is_ok() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let mut connections = Vec::new();
    while let Ok((connection, _)) = requests.try_recv() {
        connections.push(connection);
    }
    expect_that!(connections, elements_are![eq(&0), eq(&0), eq(&0), eq(&1)]);
}

/// Guards against a connection for each stream.
#[gtest]
#[tokio::test]
async fn pooled_streams() {
    let event = chunk("data: {\"index\":0,\"text\":\"a\",\"finish_reason\":\"stop\"}\n\n");
    let stream = vec![HEAD, event, LAST];
    let (address, mut requests) = server(vec![vec![stream; 100]; 100], true).await;
    let client = client();
    // The end of the body may arrive after the last chunk, and the connection is free only then.
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..100 {
        expect_that!(whole(&client, address, 0).await.1, eq(&end()));
        if !used.insert(requests.recv().await.unwrap().0) {
            return;
        }
    }
    expect_that!("a connection that carried a stream", eq("used again"));
}

/// Guards against a second run on the connection that went silent.
#[gtest]
#[tokio::test]
async fn fresh_connection() {
    const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let script = vec![vec![vec![OK], vec![OK]], vec![vec![OK]], vec![vec![OK]]];
    let (address, mut requests) = server(script, true).await;
    let client = client();
    let body = Bytes::from_static(b"b");
    let call = |fresh| Call {
        path: "/a?b=c",
        body: &body,
        content_type: Some("text/plain"),
        idempotency_key: Some("k1"),
        traceparent: None,
        fresh,
    };
    expect_that!(client.call_service(address, call(false)).await, ok(anything()));
    expect_that!(client.call_service(address, call(true)).await, ok(anything()));
    client.close_idle(address);
    expect_that!(client.call_service(address, call(false)).await, ok(anything()));
    for connection in 0..3 {
        let (number, request) = requests.recv().await.unwrap();
        expect_that!(number, eq(connection));
        expect_that!(request, starts_with("POST /a?b=c HTTP/1.1"));
        expect_that!(request, contains_substring("idempotency-key: k1"));
        expect_that!(request, contains_substring("content-type: text/plain"));
    }
}

/// Guards against orders without fencing number and cancels that fail for an unknown stream.
#[gtest]
#[tokio::test]
async fn orders_and_cancels() {
    const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
    const NONE: &[u8] = b"HTTP/1.1 404 X\r\ncontent-length: 0\r\n\r\n";
    const OLD: &[u8] = b"HTTP/1.1 409 X\r\ncontent-length: 3\r\n\r\nold";
    let events = json(r#"{"events":[{"number":9,"prefix":"0f","stored":true}]}"#);
    let script = vec![vec![vec![OK], vec![OLD], vec![NONE], vec![events]]];
    let (address, mut requests) = server(script, true).await;
    let client = client();
    let order = wire::Order { models: vec!["m@2".into()] };
    expect_that!(client.order(address, 7, &order).await, ok(anything()));
    let error = client.order(address, 6, &order).await.unwrap_err();
    expect_that!(error.to_string(), ends_with("refused the request with status 409: old"));
    expect_that!(client.cancel(address, "s-1").await, ok(anything()));
    let events = client.cache_events(address, 8).await.unwrap();
    expect_that!(events.events[0].number, eq(9));
    let heads = [
        "PUT /v1/orders ",
        "PUT /v1/orders ",
        "DELETE /v1/streams/s-1 ",
        "GET /v1/cache-events?after=8 ",
    ];
    for (number, head) in heads.into_iter().enumerate() {
        let (_, request) = requests.recv().await.unwrap();
        expect_that!(request, starts_with(head));
        if number == 0 {
            expect_that!(request, contains_substring("x-fencing-number: 7"));
        }
    }
}

/// Guards against a connection of one runtime that is used by another, whose traffic the first one
/// would then have to wait for.
#[gtest]
#[tokio::test]
async fn two_runtimes() {
    const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
    let script = vec![vec![vec![OK], vec![OK]], vec![vec![OK], vec![OK]]];
    let (address, mut requests) = server(script, true).await;
    let client = client();
    let other = client.clone();
    let first = tokio::task::spawn_blocking(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(other.cancel(address, "s-1")).unwrap();
        runtime
    });
    let first = first.await.unwrap();
    expect_that!(client.cancel(address, "s-2").await, ok(anything()));
    first.shutdown_background();
    for connection in 0..2 {
        expect_that!(requests.recv().await.unwrap().0, eq(connection));
    }
}
