//! Answers to completions, whole and streamed.
#![allow(clippy::unwrap_used)]

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use cyclamengrade_caller::{Failure, Kind, backend::Event};
use googletest::prelude::*;
use serde_json::Value;
use support::{Answer, LONG, Running, end, post, token};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

const PLAIN: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";
const STREAMED: &[u8] = br#"{"model":"wording-llm","prompt":"hello","stream":true}"#;

/// The JSON documents of the events, the end mark excluded.
fn documents(answer: &Answer) -> Vec<Value> {
    let events = answer.text().split("\n\n").filter(|event| !event.is_empty());
    events
        .map(|event| event.strip_prefix("data: ").unwrap())
        .filter(|data| *data != "[DONE]")
        .map(|data| serde_json::from_str(data).unwrap())
        .collect()
}

/// Guards against text that is changed on its way, as by wrong escapes.
#[gtest]
#[tokio::test]
async fn exact_text() {
    let parts = ["a\"b\\", "\n\r\t\u{0}\u{1f}\u{7f}", "\u{e9}\u{1F600}\u{2028}", "", "</script>"];
    let text = parts.concat();
    let mut events: Vec<_> = parts.iter().map(|part| token(part)).collect();
    events.push(end());
    let server = Running::start(events).await;

    let answer = server.post(PLAIN, "", br#"{"model":"wording-llm","prompt":"hello"}"#).await;
    let document = answer.json();
    expect_that!(answer.status, eq(200));
    expect_that!(document["choices"][0]["text"].as_str(), some(eq(&text)));
    expect_that!(document["choices"][0]["finish_reason"].as_str(), some(eq("stop")));
    expect_that!(document["usage"]["completion_tokens"].as_u64(), some(eq(5)));

    let answer = server.post(PLAIN, "", STREAMED).await;
    expect_that!(answer.head, contains_substring("content-type: text/event-stream"));
    expect_that!(answer.text(), ends_with("\n\ndata: [DONE]\n\n"));
    let streamed: String = documents(&answer)
        .iter()
        .map(|document| document["choices"][0]["text"].as_str().unwrap().to_owned())
        .collect();
    expect_that!(streamed, eq(&text));

    let chat = br#"{"model":"wording-llm","messages":[{"role":"user","content":"hello"}]}"#;
    let document = server.post(CHAT, "", chat).await.json();
    expect_that!(document["choices"][0]["message"]["content"].as_str(), some(eq(&text)));
    let chat = br#"{"model":"wording-llm","stream":true,
        "messages":[{"role":"user","content":[{"type":"text","text":"hello"}]}]}"#;
    let documents = documents(&server.post(CHAT, "", chat).await);
    expect_that!(documents[0]["choices"][0]["delta"]["role"].as_str(), some(eq("assistant")));
    let streamed: String = documents
        .iter()
        .filter_map(|document| document["choices"][0]["delta"]["content"].as_str())
        .collect();
    expect_that!(streamed, eq(&text));
    let prompts: Vec<_> =
        server.seen.completions.lock().unwrap().iter().map(|call| call.prompt.clone()).collect();
    expect_that!(prompts[2..], each(eq("user: hello\nassistant:")));
}

/// Guards against headers that do not reach the daemon.
#[gtest]
#[tokio::test]
async fn headers_passed_on() {
    let server = Running::start(vec![token("a"), end()]).await;
    let trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";
    let headers = format!(
        "x-deadline-ms: 18446744073709551615\r\nx-idempotent: false\r\n\
         idempotency-key: k1\r\ntraceparent: {trace}\r\n"
    );
    expect_that!(server.post(PLAIN, &headers, STREAMED).await.status, eq(200));
    let call = server.seen.completions.lock().unwrap()[0].clone();
    expect_that!(call.client, eq("himal"));
    expect_that!(call.deadline, some(eq(Duration::from_millis(u64::MAX))));
    expect_that!(call.idempotent, some(eq(false)));
    expect_that!(call.idempotency_key.as_deref(), some(eq("k1")));
    expect_that!(call.traceparent.as_deref(), some(eq(trace)));
}

/// Guards against an answer that was cut off but looks whole.
#[gtest]
#[tokio::test]
async fn failed_midway() {
    let failure =
        Failure::ran(Kind::UpstreamFailed, "gone").with_retry_after(Duration::from_secs(1));
    let server = Running::start(vec![token("a"), Event::Failed(failure)]).await;
    let answer = server.post(PLAIN, "", STREAMED).await;
    expect_that!(answer.status, eq(200));
    expect_that!(answer.text(), not(contains_substring("[DONE]")));
    let documents = documents(&answer);
    expect_that!(documents.len(), eq(2));
    expect_that!(documents[1]["error"]["kind"].as_str(), some(eq("upstream_failed")));
    expect_that!(documents[1]["error"]["not_run"].as_bool(), some(eq(false)));
    expect_that!(documents[1]["error"]["retry_after_ms"].as_u64(), some(eq(1_000)));

    let answer = server.post(PLAIN, "", br#"{"model":"wording-llm","prompt":"hello"}"#).await;
    expect_that!((answer.status, answer.kind().as_str()), eq((502, "upstream_failed")));
}

/// Guards against a daemon task that ends without saying so, which must not look like an end.
#[gtest]
#[tokio::test]
async fn channel_closed() {
    let server = Running::start_with(vec![token("a")], vec![token("b")]).await;
    drop(server.go);
    let mut socket = TcpStream::connect(server.address).await.unwrap();
    socket.write_all(&post(PLAIN, "", STREAMED)).await.unwrap();
    let answer = Answer::read(&mut socket).await;
    expect_that!(answer.text(), not(contains_substring("[DONE]")));
    expect_that!(answer.text(), contains_substring(r#""kind":"internal""#));
}

/// Guards against work that goes on for a caller that went away, before and within the answer.
#[gtest]
#[tokio::test]
async fn caller_gone() {
    let server = Running::start(vec![token("a")]).await;
    let bodies: [&[u8]; 2] = [STREAMED, br#"{"model":"wording-llm","prompt":"hello"}"#];
    for (count, body) in bodies.into_iter().enumerate() {
        let mut socket = TcpStream::connect(server.address).await.unwrap();
        socket.write_all(&post(PLAIN, "", body)).await.unwrap();
        if count == 0 {
            let mut part = [0; 64];
            expect_that!(socket.read(&mut part).await.unwrap(), gt(0));
        } else {
            timeout(LONG, async {
                while server.seen.completions.lock().unwrap().len() < 2 {
                    sleep(Duration::from_millis(2)).await;
                }
            })
            .await
            .unwrap();
        }
        drop(socket);
        timeout(LONG, async {
            while server.seen.dropped.load(Ordering::SeqCst) <= count {
                sleep(Duration::from_millis(2)).await;
            }
        })
        .await
        .unwrap();
    }
}

/// Guards against a graceful shutdown that cuts a request off or keeps idle connections open.
#[gtest]
#[tokio::test]
async fn graceful_shutdown() {
    let mut server = Running::start_with(vec![token("a")], vec![token("b"), end()]).await;
    let mut idle = TcpStream::connect(server.address).await.unwrap();
    idle.write_all(b"GET /livez HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
    let mut part = [0; 1_024];
    expect_that!(idle.read(&mut part).await.unwrap(), gt(0));
    let mut socket = TcpStream::connect(server.address).await.unwrap();
    let request = String::from_utf8(post(PLAIN, "", STREAMED)).unwrap();
    let request = request.replace("connection: close\r\n", "");
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    while !String::from_utf8_lossy(&answer).contains(r#""text":"a""#) {
        let count = socket.read(&mut part).await.unwrap();
        expect_that!(count, gt(0));
        answer.extend_from_slice(&part[..count]);
    }
    server.stop.take().unwrap().send(()).unwrap();
    // The idle connection is closed at once, the other one after its answer.
    expect_that!(timeout(LONG, idle.read(&mut part)).await.unwrap().unwrap(), eq(0));
    expect_that!(TcpStream::connect(server.address).await, err(anything()));
    server.go.take().unwrap().send(()).unwrap();
    timeout(LONG, socket.read_to_end(&mut answer)).await.unwrap().unwrap();
    expect_that!(Answer::parse(&answer).text(), ends_with("data: [DONE]\n\n"));
    expect_that!(timeout(LONG, server.served).await.unwrap().unwrap(), eq(true));
}

/// Guards against connections that stay at a daemon which is about to leave.
#[gtest]
#[tokio::test]
async fn not_ready() {
    let server = Running::start(vec![token("a"), end()]).await;
    expect_that!(server.get("/readyz").await.status, eq(200));
    server.seen.not_ready.store(true, Ordering::SeqCst);
    expect_that!(server.get("/readyz").await.status, eq(503));
    expect_that!(server.get("/livez").await.status, eq(200));
    // Without `connection: close` in the request, the server must ask for it.
    let answer = server.send(b"GET /livez HTTP/1.1\r\nhost: x\r\n\r\n").await;
    expect_that!(answer.head, contains_substring("connection: close"));
}
