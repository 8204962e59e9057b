//! Requests that the server refuses.
#![allow(clippy::unwrap_used)]

mod support;

use googletest::prelude::*;
use support::{Running, end, post, token};

const PATH: &str = "/v1/completions";
const GOOD: &[u8] = br#"{"model":"wording-llm","prompt":"hello"}"#;

async fn server() -> Running {
    Running::start(vec![token("a"), end()]).await
}

/// Guards against malformed bodies that reach the daemon or end a connection without an answer.
#[gtest]
#[tokio::test]
async fn malformed_json() {
    let server = server().await;
    let deep = [b"{\"x\":".as_slice(), &b"[".repeat(500)].concat();
    let bodies: &[&[u8]] = &[
        b"",
        b"{",
        b"null",
        b"[]",
        b"\"text\"",
        b"{}",
        br#"{"model":"wording-llm"}"#,
        br#"{"model":7,"prompt":"hello"}"#,
        br#"{"model":"wording-llm","prompt":7}"#,
        br#"{"model":"wording-llm","prompt":["a","b"]}"#,
        br#"{"model":"wording-llm","prompt":"hello","max_tokens":"many"}"#,
        br#"{"model":"wording-llm","prompt":"hello","max_tokens":-1}"#,
        br#"{"model":"wording-llm","prompt":"hello","max_tokens":0}"#,
        br#"{"model":"wording-llm","prompt":"hello","max_tokens":99999999999}"#,
        br#"{"model":"wording-llm","prompt":"hello","n":2}"#,
        br#"{"model":"wording-llm","prompt":"hello","stream":"yes"}"#,
        br#"{"model":"wording-llm","prompt":"hello"} x"#,
        &deep,
    ];
    for body in bodies {
        for path in [PATH, "/v1/chat/completions"] {
            let answer = server.post(path, "", body).await;
            expect_that!(answer.status, eq(400), "{}", String::from_utf8_lossy(body));
            expect_that!(answer.kind(), eq("invalid"));
            expect_that!(answer.json()["error"]["not_run"].as_bool(), some(eq(true)));
        }
    }
    for body in [
        br#"{"model":"wording-llm","messages":[]}"#.as_slice(),
        br#"{"model":"wording-llm","messages":[{"role":"user"}]}"#,
        br#"{"model":"wording-llm","messages":[{"role":"user","content":5}]}"#,
        br#"{"model":"wording-llm","messages":"hello"}"#,
    ] {
        expect_that!(server.post("/v1/chat/completions", "", body).await.status, eq(400));
    }
    expect_that!(server.seen.completions.lock().unwrap().len(), eq(0));
}

/// Guards against a body that is not UTF-8, also in a field that is not read.
#[gtest]
#[tokio::test]
async fn not_utf8() {
    let server = server().await;
    for body in [
        b"{\"model\":\"wording-llm\",\"prompt\":\"\xff\"}".as_slice(),
        b"{\"model\":\"wording-llm\",\"prompt\":\"a\",\"user\":\"\xc3\x28\"}",
        b"\xff\xfe",
    ] {
        let answer = server.post(PATH, "", body).await;
        expect_that!((answer.status, answer.kind().as_str()), eq((400, "invalid")));
    }
    let batch = "idempotency-key: k\r\n";
    let path = "/v1/batches?deployment=wording-llm";
    expect_that!(server.post(path, batch, b"\xff\n").await.status, eq(400));
    expect_that!(server.seen.submissions.lock().unwrap().len(), eq(0));
}

/// Guards against bodies that take more memory than allowed, with and without a stated length.
#[gtest]
#[tokio::test]
async fn oversized_body() {
    let server = server().await;
    let large = vec![b' '; 2_001];
    let answer = server.post(PATH, "", &large).await;
    expect_that!((answer.status, answer.kind().as_str()), eq((413, "too_large")));
    let chunked = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
        authorization: Bearer secret\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = [b"3e8\r\n".as_slice(), &[b' '; 1_000], b"\r\n"].concat();
    let answer = server.send(&[chunked.as_bytes(), &chunk.repeat(3)].concat()).await;
    expect_that!((answer.status, answer.kind().as_str()), eq((413, "too_large")));
    let path = "/v1/batches?deployment=wording-llm";
    let batch = "idempotency-key: k\r\n";
    expect_that!(server.post(path, batch, &[b'\n'; 4_001]).await.status, eq(413));
    expect_that!(server.post(path, batch, &[b'\n'; 4_000]).await.status, eq(200));
}

/// Guards against a length that lies, with which the server would wait for ever or panic.
#[gtest]
#[tokio::test]
async fn wrong_length() {
    let server = server().await;
    for length in ["-1", "x", "18446744073709551616"] {
        let request =
            format!("POST {PATH} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
        expect_that!(server.send(request.as_bytes()).await.status, eq(400));
    }
    // The HTTP library refuses the largest lengths by itself.
    for (length, status) in [("18446744073709551614", 431), ("1000000000000000000", 413)] {
        let request = format!(
            "POST {PATH} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer secret\r\n\
             content-length: {length}\r\n\r\n"
        );
        expect_that!(server.send(request.as_bytes()).await.status, eq(status));
    }
}

/// Guards against header sections that take more memory than allowed.
#[gtest]
#[tokio::test]
async fn large_header() {
    let server = server().await;
    let header = format!("x-filler: {}\r\n", "a".repeat(2_000));
    let answer = server.post(PATH, &header, GOOD).await;
    expect_that!((answer.status, answer.kind().as_str()), eq((413, "too_large")));
    // The HTTP library refuses sections beyond its buffer by itself.
    let header = format!("x-filler: {}\r\n", "a".repeat(20_000));
    expect_that!(server.post(PATH, &header, GOOD).await.status, eq(431));
    let many: String = (0..2_000).map(|number| format!("x-{number}: 1\r\n")).collect();
    expect_that!(server.post(PATH, &many, GOOD).await.status, eq(431));
}

/// Guards against callers without a valid token.
#[gtest]
#[tokio::test]
async fn unknown_token() {
    let server = server().await;
    for header in [
        "",
        "authorization: Bearer wrong\r\n",
        "authorization: Bearer\r\n",
        "authorization: Basic secret\r\n",
        "authorization: \u{fc}\r\n",
    ] {
        for path in [PATH, "/v1/chat/completions", "/v1/batches", "/v1/services/print-relay/a"] {
            let request = format!(
                "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{header}\
                 content-length: {}\r\n\r\n",
                GOOD.len()
            );
            let answer = server.send(&[request.as_bytes(), GOOD].concat()).await;
            expect_that!((answer.status, answer.kind().as_str()), eq((401, "unauthorized")));
        }
    }
    expect_that!(server.seen.completions.lock().unwrap().len(), eq(0));
}

/// Guards against headers that are taken for something else than they say.
#[gtest]
#[tokio::test]
async fn wrong_headers() {
    let server = server().await;
    for header in [
        "x-deadline-ms: soon\r\n",
        "x-deadline-ms: -5\r\n",
        "x-idempotent: maybe\r\n",
        "idempotency-key: \r\n",
        "idempotency-key: a\r\nidempotency-key: b\r\n",
        "x-idempotent: true\r\nx-idempotent: false\r\n",
    ] {
        let answer = server.post(PATH, header, GOOD).await;
        expect_that!((answer.status, answer.kind().as_str()), eq((400, "invalid")), "{header}");
    }
    let answer = server.post(PATH, "x-deadline-ms: 0\r\n", GOOD).await;
    expect_that!((answer.status, answer.kind().as_str()), eq((504, "expired")));
    expect_that!(server.seen.completions.lock().unwrap().len(), eq(0));
}

/// Guards against a refusal without the time after which to retry.
#[gtest]
#[tokio::test]
async fn unknown_model() {
    let server = server().await;
    let answer = server.post(PATH, "", br#"{"model":"nothing","prompt":"hello"}"#).await;
    expect_that!((answer.status, answer.kind().as_str()), eq((404, "not_found")));
    expect_that!(answer.json()["error"]["not_run"].as_bool(), some(eq(true)));
    expect_that!(answer.json()["error"]["retry_after_ms"].as_u64(), some(eq(1_500)));
    expect_that!(answer.head, contains_substring("retry-after: 2"));
}

/// Guards against paths and methods that fall through to another route.
#[gtest]
#[tokio::test]
async fn unknown_route() {
    let server = server().await;
    for path in ["/", "/v1", "/v1/completions/", "/v1/batches/a/b/c", "/admin", "/v1/services"] {
        let answer = server.get(path).await;
        expect_that!((answer.status, answer.kind().as_str()), eq((404, "not_found")), "{path}");
    }
    expect_that!(server.get(PATH).await.status, eq(404));
    expect_that!(server.post("/v1/batches/%ff/cancel", "", b"").await.status, eq(400));
    expect_that!(server.post("/v1/batches/%4/cancel", "", b"").await.status, eq(400));
}

/// Guards against bytes that are no HTTP and end the process or block others.
#[gtest]
#[tokio::test]
async fn no_http() {
    let server = server().await;
    for garbage in
        [b"\0\0\0\0\r\n\r\n".as_slice(), b"GET\r\n\r\n", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\nxx"]
    {
        let mut socket = tokio::net::TcpStream::connect(server.address).await.unwrap();
        tokio::io::AsyncWriteExt::write_all(&mut socket, garbage).await.unwrap();
    }
    let answer = server.send(&post(PATH, "", GOOD)).await;
    expect_that!(answer.status, eq(200));
}
