//! Responses to completions, streamed and complete, and the graceful shutdown of the server.
#![allow(clippy::unwrap_used)]

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use cyclamengrade_caller::{Failure, Kind, backend::Event};
use googletest::prelude::*;
use serde_json::Value;
use support::{HANG_TIMEOUT, Response, TestServer, end, post, token};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

const COMPLETIONS: &str = "/v1/completions";
const CHAT_COMPLETIONS: &str = "/v1/chat/completions";
const STREAM_BODY: &[u8] = br#"{"model":"wording-llm","prompt":"hello","stream":true}"#;

/// Parses the data of all server-sent events except the final `[DONE]`.
fn event_documents(response: &Response) -> Vec<Value> {
    let events = response.text().split("\n\n").filter(|event| !event.is_empty());
    events
        .map(|event| event.strip_prefix("data: ").unwrap())
        .filter(|data| *data != "[DONE]")
        .map(|data| serde_json::from_str(data).unwrap())
        .collect()
}

/// Guards against text that is changed on the way to the caller, for example by wrong JSON escapes.
#[gtest]
#[tokio::test]
async fn exact_text() {
    let parts = ["a\"b\\", "\n\r\t\u{0}\u{1f}\u{7f}", "\u{e9}\u{1F600}\u{2028}", "", "</script>"];
    let text = parts.concat();
    let mut events: Vec<_> = parts.iter().map(|part| token(part)).collect();
    events.push(end());
    let server = TestServer::start(events).await;

    let response =
        server.post(COMPLETIONS, "", br#"{"model":"wording-llm","prompt":"hello"}"#).await;
    let document = response.json();
    expect_that!(response.status, eq(200));
    expect_that!(document["choices"][0]["text"].as_str(), some(eq(&text)));
    expect_that!(document["choices"][0]["finish_reason"].as_str(), some(eq("stop")));
    expect_that!(document["usage"]["completion_tokens"].as_u64(), some(eq(5)));

    let response = server.post(COMPLETIONS, "", STREAM_BODY).await;
    expect_that!(response.head, contains_substring("content-type: text/event-stream"));
    expect_that!(response.text(), ends_with("\n\ndata: [DONE]\n\n"));
    let streamed: String = event_documents(&response)
        .iter()
        .map(|document| document["choices"][0]["text"].as_str().unwrap().to_owned())
        .collect();
    expect_that!(streamed, eq(&text));

    let chat = br#"{"model":"wording-llm","messages":[{"role":"user","content":"hello"}]}"#;
    let document = server.post(CHAT_COMPLETIONS, "", chat).await.json();
    expect_that!(document["choices"][0]["message"]["content"].as_str(), some(eq(&text)));
    let chat = br#"{"model":"wording-llm","stream":true,
        "messages":[{"role":"user","content":[{"type":"text","text":"hello"}]}]}"#;
    let documents = event_documents(&server.post(CHAT_COMPLETIONS, "", chat).await);
    expect_that!(documents[0]["choices"][0]["delta"]["role"].as_str(), some(eq("assistant")));
    let streamed: String = documents
        .iter()
        .filter_map(|document| document["choices"][0]["delta"]["content"].as_str())
        .collect();
    expect_that!(streamed, eq(&text));
    let prompts: Vec<_> = server
        .recorded
        .completions
        .lock()
        .unwrap()
        .iter()
        .map(|call| call.prompt.clone())
        .collect();
    expect_that!(prompts[2..], each(eq("user: hello\nassistant:")));
}

/// Guards against request headers that are not passed to the backend.
#[gtest]
#[tokio::test]
async fn headers_reach_backend() {
    let server = TestServer::start(vec![token("a"), end()]).await;
    let trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";
    let headers = format!(
        "x-deadline-ms: 18446744073709551615\r\nx-idempotent: false\r\n\
         idempotency-key: k1\r\ntraceparent: {trace}\r\n"
    );
    expect_that!(server.post(COMPLETIONS, &headers, STREAM_BODY).await.status, eq(200));
    let call = server.recorded.completions.lock().unwrap()[0].clone();
    expect_that!(call.client, eq("himal"));
    expect_that!(call.deadline, some(eq(Duration::from_millis(u64::MAX))));
    expect_that!(call.idempotent, some(eq(false)));
    expect_that!(call.idempotency_key.as_deref(), some(eq("k1")));
    expect_that!(call.traceparent.as_deref(), some(eq(trace)));
}

/// Guards against a truncated completion that looks complete when the backend reports a failure.
#[gtest]
#[tokio::test]
async fn failure_after_first_token() {
    let failure = Failure::may_have_run(Kind::UpstreamFailed, "gone")
        .with_retry_after(Duration::from_secs(1));
    let server = TestServer::start(vec![token("a"), Event::Failed(failure)]).await;
    let response = server.post(COMPLETIONS, "", STREAM_BODY).await;
    expect_that!(response.status, eq(200));
    expect_that!(response.text(), not(contains_substring("[DONE]")));
    let documents = event_documents(&response);
    expect_that!(documents.len(), eq(2));
    expect_that!(documents[1]["error"]["kind"].as_str(), some(eq("upstream_failed")));
    expect_that!(documents[1]["error"]["not_run"].as_bool(), some(eq(false)));
    expect_that!(documents[1]["error"]["retry_after_ms"].as_u64(), some(eq(1_000)));

    let response =
        server.post(COMPLETIONS, "", br#"{"model":"wording-llm","prompt":"hello"}"#).await;
    expect_that!((response.status, response.kind().as_str()), eq((502, "upstream_failed")));
}

/// Guards against a truncated completion that looks complete when the backend drops its channel
/// without an end event.
#[gtest]
#[tokio::test]
async fn channel_closed_early() {
    let server = TestServer::start_with(vec![token("a")], vec![token("b")]).await;
    drop(server.release);
    let mut socket = TcpStream::connect(server.address).await.unwrap();
    socket.write_all(&post(COMPLETIONS, "", STREAM_BODY)).await.unwrap();
    let response = Response::read(&mut socket).await;
    expect_that!(response.text(), not(contains_substring("[DONE]")));
    expect_that!(response.text(), contains_substring(r#""kind":"internal""#));
}

/// Guards against a completion that keeps running after the caller has closed its connection,
/// before or during the response.
#[gtest]
#[tokio::test]
async fn caller_disconnects() {
    let server = TestServer::start(vec![token("a")]).await;
    let bodies: [&[u8]; 2] = [STREAM_BODY, br#"{"model":"wording-llm","prompt":"hello"}"#];
    for (count, body) in bodies.into_iter().enumerate() {
        let mut socket = TcpStream::connect(server.address).await.unwrap();
        socket.write_all(&post(COMPLETIONS, "", body)).await.unwrap();
        if count == 0 {
            let mut part = [0; 64];
            expect_that!(socket.read(&mut part).await.unwrap(), gt(0));
        } else {
            timeout(HANG_TIMEOUT, async {
                while server.recorded.completions.lock().unwrap().len() < 2 {
                    sleep(Duration::from_millis(2)).await;
                }
            })
            .await
            .unwrap();
        }
        drop(socket);
        timeout(HANG_TIMEOUT, async {
            while server.recorded.dropped.load(Ordering::SeqCst) <= count {
                sleep(Duration::from_millis(2)).await;
            }
        })
        .await
        .unwrap();
    }
}

/// Guards against a graceful shutdown that cuts off a request in flight or keeps idle connections
/// open.
#[gtest]
#[tokio::test]
async fn graceful_shutdown() {
    let mut server = TestServer::start_with(vec![token("a")], vec![token("b"), end()]).await;
    let mut idle = TcpStream::connect(server.address).await.unwrap();
    idle.write_all(b"GET /livez HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
    let mut part = [0; 1_024];
    expect_that!(idle.read(&mut part).await.unwrap(), gt(0));
    let mut socket = TcpStream::connect(server.address).await.unwrap();
    let request = String::from_utf8(post(COMPLETIONS, "", STREAM_BODY)).unwrap();
    let request = request.replace("connection: close\r\n", "");
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    while !String::from_utf8_lossy(&received).contains(r#""text":"a""#) {
        let count = socket.read(&mut part).await.unwrap();
        expect_that!(count, gt(0));
        received.extend_from_slice(&part[..count]);
    }
    server.stop.take().unwrap().send(()).unwrap();
    // The idle connection is closed immediately, the other one after its response.
    expect_that!(timeout(HANG_TIMEOUT, idle.read(&mut part)).await.unwrap().unwrap(), eq(0));
    expect_that!(TcpStream::connect(server.address).await, err(anything()));
    server.release.take().unwrap().send(()).unwrap();
    timeout(HANG_TIMEOUT, socket.read_to_end(&mut received)).await.unwrap().unwrap();
    expect_that!(Response::parse(&received).text(), ends_with("data: [DONE]\n\n"));
    expect_that!(timeout(HANG_TIMEOUT, server.served).await.unwrap().unwrap(), eq(true));
}

/// Guards against callers that keep their connections to a daemon that is about to shut down.
#[gtest]
#[tokio::test]
async fn not_ready() {
    let server = TestServer::start(vec![token("a"), end()]).await;
    expect_that!(server.get("/readyz").await.status, eq(200));
    server.recorded.not_ready.store(true, Ordering::SeqCst);
    expect_that!(server.get("/readyz").await.status, eq(503));
    expect_that!(server.get("/livez").await.status, eq(200));
    // The request does not ask for `connection: close`, so the server must.
    let response = server.send(b"GET /livez HTTP/1.1\r\nhost: x\r\n\r\n").await;
    expect_that!(response.head, contains_substring("connection: close"));
}
