//! Tests of the upstream client against a server that plays back scripted responses.
#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cyclamengrade_upstream::{
    Client, Error, Execution, Options, Progress, ServiceRequest, StreamRequest, Token, wire,
};
use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
};

/// Response to one request: byte strings that are written one after the other.
type Parts = Vec<&'static [u8]>;

/// Accepts one connection per script and answers its requests from the script.
///
/// Sends each request to the returned receiver, with the number of its connection. At the end of
/// its script, a connection is closed, or kept open without a response if `hold` is set.
async fn start_server(
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
                    let Some(request) = read_request(&mut socket).await else { return };
                    seen.send((number, request)).unwrap();
                    for part in parts {
                        socket.write_all(part).await.unwrap();
                        tokio::task::yield_now().await;
                    }
                }
                if hold {
                    let _ = read_request(&mut socket).await;
                }
            });
        }
        // The listener is dropped here, so further connections are refused.
    });
    (address, requests)
}

async fn read_request(socket: &mut TcpStream) -> Option<String> {
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

const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn client() -> Client {
    Client::new(Options { call_timeout: Duration::from_secs(5), ..Options::default() })
}

fn stream_request(resume_from: u32) -> StreamRequest<'static> {
    let body = wire::Completion {
        model: "m".into(),
        prompt: "hello".into(),
        max_tokens: 8,
        resume_from,
        ..wire::Completion::default()
    };
    StreamRequest { stream_id: "s-1", body, traceparent: Some("00-a"), new_connection: false }
}

/// Reads a stream to its end; returns the tokens and the final result.
async fn read_stream(
    client: &Client,
    address: SocketAddr,
    resume_from: u32,
) -> (Vec<Token>, Result<Progress, Error>) {
    let mut tokens = Vec::new();
    let mut stream = match client.open(address, stream_request(resume_from)).await {
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

fn stopped() -> Result<Progress, Error> {
    Ok(Progress::End { finish_reason: "stop".into() })
}

fn texts(tokens: &[Token]) -> Vec<&str> {
    tokens.iter().map(|token| token.text.as_str()).collect()
}

fn json_response(body: &str) -> &'static [u8] {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    (head + body).into_bytes().leak()
}

fn http_chunk(data: &str) -> &'static [u8] {
    format!("{:x}\r\n{data}\r\n", data.len()).into_bytes().leak()
}

/// Guards against lost tokens when an event arrives in several reads, or when the engine uses
/// comments, other fields or CRLF line ends, which the event format allows.
#[gtest]
#[tokio::test]
async fn split_events() {
    let parts = vec![
        CHUNKED_HEAD,
        http_chunk(": comment\n\ndata: {\"index\":0,\"te"),
        http_chunk(
            "xt\":\"a\\u00e9\\\"\"}\r\n\r\nevent: x\ndata:{\"index\":1,\"text\":\"b\"}\n\nda",
        ),
        http_chunk("ta: {\"index\":2,\"text\":\"\",\"finish_reason\":null,\"more\":[1]}\n\n"),
        http_chunk(
            "data: {\"index\":3,\"text\":\"c\",\"finish_reason\":\"stop\"}\n\ndata: [DONE]\n\n",
        ),
        LAST_CHUNK,
    ];
    let (address, mut requests) = start_server(vec![vec![parts]], true).await;
    let (tokens, result) = read_stream(&client(), address, 0).await;
    expect_that!(result, eq(&stopped()));
    expect_that!(texts(&tokens), elements_are![eq(&"a\u{e9}\""), eq(&"b"), eq(&""), eq(&"c")]);
    let (_, request) = requests.recv().await.unwrap();
    expect_that!(request, contains_substring("x-stream-id: s-1"));
    expect_that!(request, contains_substring("traceparent: 00-a"));
    expect_that!(request, contains_substring(r#""stream":true"#));
}

/// Guards against a completion that is truncated, has a gap or is malformed, and is taken for a
/// complete one.
#[gtest]
#[tokio::test]
async fn invalid_stream() {
    let first = http_chunk("data: {\"index\":0,\"text\":\"a\"}\n\n");
    let cases: Vec<(Parts, Execution)> = vec![
        (vec![CHUNKED_HEAD, first], Execution::Started),
        (vec![CHUNKED_HEAD, first, LAST_CHUNK], Execution::Started),
        (vec![CHUNKED_HEAD, first, http_chunk("data: [DONE]\n\n"), LAST_CHUNK], Execution::Started),
        (
            vec![CHUNKED_HEAD, first, http_chunk("data: {\"index\":2,\"text\":\"c\"}\n\n")],
            Execution::Started,
        ),
        (vec![CHUNKED_HEAD, first, http_chunk("data: {\"index\":1,\"te\n\n")], Execution::Started),
        (vec![CHUNKED_HEAD, first, http_chunk("data: \u{0}\n\n")], Execution::Started),
        (vec![CHUNKED_HEAD, first, b"zz\r\n"], Execution::Started),
        (vec![b"HTTP/1.1 2"], Execution::Unknown),
        (vec![b""], Execution::Unknown),
    ];
    for (parts, execution) in cases {
        let shown = parts.iter().map(|part| String::from_utf8_lossy(part)).collect::<String>();
        let (address, _requests) = start_server(vec![vec![parts]], false).await;
        let (tokens, result) = read_stream(&client(), address, 0).await;
        expect_that!(
            result.clone().map_err(|error| error.execution()),
            err(eq(&execution)),
            "{shown:?}"
        );
        expect_that!(tokens.len(), le(1));
    }
}

/// Guards against duplicate tokens when an engine resumes a stream from an earlier position than
/// requested.
#[gtest]
#[tokio::test]
async fn resumed_stream() {
    let repeated =
        (1..5).map(|index| format!("data: {{\"index\":{index},\"text\":\"t{index}\"}}\n\n"));
    let parts = vec![
        CHUNKED_HEAD,
        http_chunk(&repeated.collect::<String>()),
        http_chunk("data: {\"index\":5,\"text\":\"\",\"finish_reason\":\"stop\"}\n\n"),
        LAST_CHUNK,
    ];
    let (address, mut requests) = start_server(vec![vec![parts]], true).await;
    let (tokens, result) = read_stream(&client(), address, 3).await;
    expect_that!(result, eq(&stopped()));
    expect_that!(texts(&tokens), elements_are![eq(&"t3"), eq(&"t4")]);
    expect_that!(requests.recv().await.unwrap().1, contains_substring(r#""resume_from":3"#));
}

/// Guards against an error that reports a request as not executed when it may have been, which
/// would let a non-idempotent request run twice.
#[gtest]
#[tokio::test]
async fn execution_of_failed_requests() {
    let refused = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let (_, result) = read_stream(&client(), refused, 0).await;
    expect_that!(result.unwrap_err().execution(), eq(Execution::NotStarted));
    let cases: [(&'static [u8], Execution); 6] = [
        (b"HTTP/1.1 503 X\r\ncontent-length: 4\r\n\r\nfull", Execution::NotStarted),
        (b"HTTP/1.1 429 X\r\ncontent-length: 0\r\n\r\n", Execution::NotStarted),
        (b"HTTP/1.1 404 X\r\ncontent-length: 0\r\n\r\n", Execution::NotStarted),
        (b"HTTP/1.1 500 X\r\ncontent-length: 0\r\n\r\n", Execution::Unknown),
        (b"HTTP/1.1 502 X\r\ncontent-length: 0\r\n\r\n", Execution::Unknown),
        (b"HTTP/1.1 408 X\r\ncontent-length: 0\r\n\r\n", Execution::Unknown),
    ];
    for (response, execution) in cases {
        let (address, _requests) = start_server(vec![vec![vec![response]]], false).await;
        let error = read_stream(&client(), address, 0).await.1.unwrap_err();
        expect_that!(error.execution(), eq(execution), "{error}");
    }
}

/// Guards against opening a connection for each request, and against using a connection that the
/// server has closed.
#[gtest]
#[tokio::test]
async fn connection_reuse() {
    let load = json_response(
        r#"{"sequence":1,"age_ms":0,"running":2,"queued":3,"slots":4,"models":[],"leaving":false}"#,
    );
    // The first connection closes after three requests.
    let script = vec![vec![vec![load]; 3], vec![vec![load]]];
    let (address, mut requests) = start_server(script, false).await;
    let client = client();
    expect_that!(client.load(address).await, ok(field!(&wire::Load.slots, eq(4))));
    expect_that!(client.load(address).await, ok(anything()));
    expect_that!(client.load(address).await, ok(anything()));
    // The client may not have noticed yet that the server has closed the connection.
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

/// Guards against opening a connection for each stream.
#[gtest]
#[tokio::test]
async fn connection_reuse_after_stream() {
    let event = http_chunk("data: {\"index\":0,\"text\":\"a\",\"finish_reason\":\"stop\"}\n\n");
    let stream = vec![CHUNKED_HEAD, event, LAST_CHUNK];
    let (address, mut requests) = start_server(vec![vec![stream; 100]; 100], true).await;
    let client = client();
    // The end of the body may arrive after the last chunk, and only then is the connection idle.
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..100 {
        expect_that!(read_stream(&client, address, 0).await.1, eq(&stopped()));
        if !used.insert(requests.recv().await.unwrap().0) {
            return;
        }
    }
    expect_that!("connections that carried a stream", eq("reused"));
}

/// Guards against sending a request on an idle connection although it asks for a new one, or
/// although `close_idle` was called because a connection to the upstream stopped responding.
#[gtest]
#[tokio::test]
async fn new_connection() {
    let event = http_chunk("data: {\"index\":0,\"text\":\"a\",\"finish_reason\":\"stop\"}\n\n");
    let whole: &[u8] = [CHUNKED_HEAD, event, LAST_CHUNK].concat().leak();
    let script = vec![vec![vec![whole], vec![whole]], vec![vec![whole]], vec![vec![whole]]];
    let (address, mut requests) = start_server(script, true).await;
    let client = client();
    let open = async |new_connection| {
        let request = StreamRequest { new_connection, ..stream_request(0) };
        let mut stream = client.open(address, request).await.unwrap();
        let mut tokens = Vec::new();
        while let Ok(Progress::Tokens) = stream.next(&mut tokens).await {}
    };
    open(false).await;
    open(true).await;
    client.close_idle(address);
    open(false).await;
    for connection in 0..3 {
        expect_that!(requests.recv().await.unwrap().0, eq(connection));
    }
}

/// Guards against a call of a plain service without what the service needs, and against one on a connection
/// that has carried another.
#[gtest]
#[tokio::test]
async fn service_connections() {
    const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let (address, mut requests) = start_server(vec![vec![vec![OK], vec![OK]]; 3], true).await;
    let client = client();
    let request = ServiceRequest {
        path: "/a?b=c",
        body: &Bytes::from_static(b"b"),
        content_type: Some("text/plain"),
        idempotency_key: Some("k1"),
        traceparent: None,
    };
    for connection in 0..3 {
        expect_that!(client.call_service(address, request).await, ok(anything()));
        let (number, request) = requests.recv().await.unwrap();
        expect_that!(number, eq(connection));
        expect_that!(request, starts_with("POST /a?b=c HTTP/1.1"));
        expect_that!(request, contains_substring("idempotency-key: k1"));
        expect_that!(request, contains_substring("content-type: text/plain"));
    }
}

/// Guards against orders without a fencing number, and against a cancellation that fails because
/// the engine does not know the stream.
#[gtest]
#[tokio::test]
async fn orders_and_cancellations() {
    const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
    const NOT_FOUND: &[u8] = b"HTTP/1.1 404 X\r\ncontent-length: 0\r\n\r\n";
    const CONFLICT: &[u8] = b"HTTP/1.1 409 X\r\ncontent-length: 3\r\n\r\nold";
    let events = json_response(r#"{"events":[{"number":9,"prefix":"0f","stored":true}]}"#);
    // A connection is not used again after a refusal.
    let script = vec![vec![vec![OK], vec![CONFLICT]], vec![vec![NOT_FOUND]], vec![vec![events]]];
    let (address, mut requests) = start_server(script, true).await;
    let client = client();
    let order = wire::Order { models: vec!["m@2".into()] };
    expect_that!(client.order(address, 7, &order).await, ok(anything()));
    let error = client.order(address, 6, &order).await.unwrap_err();
    expect_that!(error.to_string(), ends_with("refused the request with status 409: old"));
    expect_that!(client.cancel(address, "s-1").await, ok(anything()));
    let events = client.cache_events(address, 8).await.unwrap();
    expect_that!(events.events[0].number, eq(9));
    let request_lines = [
        (0, "PUT /v1/orders "),
        (0, "PUT /v1/orders "),
        (1, "DELETE /v1/streams/s-1 "),
        (2, "GET /v1/cache-events?after=8 "),
    ];
    for (number, (connection, request_line)) in request_lines.into_iter().enumerate() {
        let (seen, request) = requests.recv().await.unwrap();
        expect_that!(seen, eq(connection));
        expect_that!(request, starts_with(request_line));
        if number == 0 {
            expect_that!(request, contains_substring("x-fencing-number: 7"));
        }
    }
}

/// Guards against sharing an idle connection between runtimes: the runtime that opened it polls its
/// socket, so the other one would have to wait for it.
#[gtest]
#[tokio::test]
async fn runtimes_share_no_connection() {
    const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
    let script = vec![vec![vec![OK], vec![OK]], vec![vec![OK], vec![OK]]];
    let (address, mut requests) = start_server(script, true).await;
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

const UNMARKED_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nhalf";

async fn call_service(address: SocketAddr) -> std::result::Result<Bytes, Error> {
    let request = ServiceRequest {
        path: "/x",
        body: &Bytes::new(),
        content_type: None,
        idempotency_key: None,
        traceparent: None,
    };
    client().call_service(address, request).await.map(|response| response.body)
}

/// Guards against a part of a response that counts as all of it, because the service was killed while
/// it wrote a response whose end nothing marks.
#[gtest]
#[tokio::test]
async fn killed_service() -> Result<()> {
    // The server refuses connections after the last script has begun.
    let (address, _requests) = start_server(vec![vec![vec![UNMARKED_RESPONSE]]], false).await;
    let started = matches_pattern!(Error::Broken { execution: eq(&Execution::Started), .. });
    verify_that!(call_service(address).await, err(started))
}

/// Guards against a complete response that counts as cut because nothing marks its end.
#[gtest]
#[tokio::test]
async fn unmarked_response() -> Result<()> {
    let scripts = vec![vec![vec![UNMARKED_RESPONSE]], Vec::new()];
    let (address, _requests) = start_server(scripts, false).await;
    verify_that!(call_service(address).await, ok(eq("half")))
}

/// Guards against a response whose head ends early, at a service that lives on, being taken for a complete
/// one without a body.
#[gtest]
#[tokio::test]
async fn short_head() -> Result<()> {
    let scripts = vec![vec![vec![b"HTTP/1.1 200 OK\r\n\r\n".as_slice()]], Vec::new()];
    let (address, _requests) = start_server(scripts, false).await;
    let started = matches_pattern!(Error::Broken { execution: eq(&Execution::Started), .. });
    verify_that!(call_service(address).await, err(started))
}

const REFUSED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 4\r\n\r\nfull";

/// Guards against a request that has run and counts as refused, because the upstream wrote an earlier
/// refusal once more on a kept connection.
#[gtest]
#[tokio::test]
async fn repeated_refusal() {
    let tokens = vec![
        REFUSED,
        CHUNKED_HEAD,
        http_chunk(
            "data: {\"index\":0,\"text\":\"a\",\"finish_reason\":\"stop\"}\n\ndata: [DONE]\n\n",
        ),
        LAST_CHUNK,
    ];
    let first = vec![vec![REFUSED], tokens.clone()];
    let second = vec![tokens[1..].to_vec()];
    let (address, _requests) = start_server(vec![first, second], true).await;
    let client = client();
    let (_, refused) = read_stream(&client, address, 0).await;
    expect_that!(refused, err(matches_pattern!(Error::Refused { status: eq(&503), .. })));
    let (tokens, result) = read_stream(&client, address, 0).await;
    expect_that!(result, eq(&stopped()));
    expect_that!(texts(&tokens), elements_are![eq(&"a")]);
}

/// Guards against a call of a plain service that has run and counts as refused for the same reason.
#[gtest]
#[tokio::test]
async fn repeated_service_refusal() {
    let first = vec![vec![REFUSED], vec![REFUSED, json_response("{}")]];
    let second = vec![vec![json_response("{}")]];
    let (address, _requests) = start_server(vec![first, second], true).await;
    let (client, body) = (client(), Bytes::new());
    let request = ServiceRequest {
        path: "/call",
        body: &body,
        content_type: None,
        idempotency_key: None,
        traceparent: None,
    };
    expect_that!(client.call_service(address, request).await.unwrap().status, eq(503));
    expect_that!(client.call_service(address, request).await.unwrap().status, eq(200));
}

/// Guards against the response to another call of a plain service that is taken for the one to the
/// current call, because the service wrote it once more on a kept connection.
#[gtest]
#[tokio::test]
async fn repeated_service_response() {
    let (first, second) = (json_response("{\"a\":1}"), json_response("{\"b\":1}"));
    let script = vec![vec![vec![first], vec![first, second]], vec![vec![second]]];
    let (address, _requests) = start_server(script, true).await;
    let (client, body) = (client(), Bytes::new());
    let request = ServiceRequest {
        path: "/call",
        body: &body,
        content_type: None,
        idempotency_key: None,
        traceparent: None,
    };
    client.call_service(address, request).await.unwrap();
    let response = client.call_service(address, request).await;
    // An error is right as well.
    expect_that!(response.is_ok_and(|response| response.body.as_ref() == b"{\"a\":1}"), eq(false));
}
