//! Refusal of malformed, oversized and unauthorized requests.
#![allow(clippy::unwrap_used)]

mod support;

use googletest::prelude::*;
use support::{TestServer, end, post, token};

const COMPLETIONS: &str = "/v1/completions";
const VALID_BODY: &[u8] = br#"{"model":"wording-llm","prompt":"hello"}"#;

async fn server() -> TestServer {
    TestServer::start(vec![token("a"), end()]).await
}

/// Guards against malformed bodies that reach the backend or close the connection without a
/// response.
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
        for path in [COMPLETIONS, "/v1/chat/completions"] {
            let response = server.post(path, "", body).await;
            expect_that!(response.status, eq(400), "{}", String::from_utf8_lossy(body));
            expect_that!(response.kind(), eq("invalid"));
            expect_that!(response.json()["error"]["not_run"].as_bool(), some(eq(true)));
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
    expect_that!(server.recorded.completions.lock().unwrap().len(), eq(0));
}

/// Guards against accepting a body that is not UTF-8, even if only an ignored field is affected.
#[gtest]
#[tokio::test]
async fn not_utf8() {
    let server = server().await;
    for body in [
        b"{\"model\":\"wording-llm\",\"prompt\":\"\xff\"}".as_slice(),
        b"{\"model\":\"wording-llm\",\"prompt\":\"a\",\"user\":\"\xc3\x28\"}",
        b"\xff\xfe",
    ] {
        let response = server.post(COMPLETIONS, "", body).await;
        expect_that!((response.status, response.kind().as_str()), eq((400, "invalid")));
    }
    let batch = "idempotency-key: k\r\n";
    let path = "/v1/batches?deployment=wording-llm";
    expect_that!(server.post(path, batch, b"\xff\n").await.status, eq(400));
    expect_that!(server.recorded.submissions.lock().unwrap().len(), eq(0));
}

/// Guards against reading a body beyond its size limit, with and without the header Content-Length.
#[gtest]
#[tokio::test]
async fn oversized_body() {
    let server = server().await;
    let large = vec![b' '; 2_001];
    let response = server.post(COMPLETIONS, "", &large).await;
    expect_that!((response.status, response.kind().as_str()), eq((413, "too_large")));
    let chunked = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
        authorization: Bearer secret\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = [b"3e8\r\n".as_slice(), &[b' '; 1_000], b"\r\n"].concat();
    let response = server.send(&[chunked.as_bytes(), &chunk.repeat(3)].concat()).await;
    expect_that!((response.status, response.kind().as_str()), eq((413, "too_large")));
    let path = "/v1/batches?deployment=wording-llm";
    let batch = "idempotency-key: k\r\n";
    expect_that!(server.post(path, batch, &[b'\n'; 4_001]).await.status, eq(413));
    expect_that!(server.post(path, batch, &[b'\n'; 4_000]).await.status, eq(200));
}

/// Guards against an invalid or huge Content-Length, with which the server might wait forever or
/// panic.
#[gtest]
#[tokio::test]
async fn invalid_content_length() {
    let server = server().await;
    for length in ["-1", "x", "18446744073709551616"] {
        let request =
            format!("POST {COMPLETIONS} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
        expect_that!(server.send(request.as_bytes()).await.status, eq(400));
    }
    // hyper itself refuses the largest lengths, with status 431.
    for (length, status) in [("18446744073709551614", 431), ("1000000000000000000", 413)] {
        let request = format!(
            "POST {COMPLETIONS} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer secret\r\n\
             content-length: {length}\r\n\r\n"
        );
        expect_that!(server.send(request.as_bytes()).await.status, eq(status));
    }
}

/// Guards against header sections beyond their size limit.
#[gtest]
#[tokio::test]
async fn oversized_header() {
    let server = server().await;
    let header = format!("x-filler: {}\r\n", "a".repeat(2_000));
    let response = server.post(COMPLETIONS, &header, VALID_BODY).await;
    expect_that!((response.status, response.kind().as_str()), eq((413, "too_large")));
    // hyper itself refuses header sections that exceed its read buffer, with status 431.
    let header = format!("x-filler: {}\r\n", "a".repeat(20_000));
    expect_that!(server.post(COMPLETIONS, &header, VALID_BODY).await.status, eq(431));
    let many: String = (0..2_000).map(|number| format!("x-{number}: 1\r\n")).collect();
    expect_that!(server.post(COMPLETIONS, &many, VALID_BODY).await.status, eq(431));
}

/// Guards against serving requests without a valid bearer token.
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
        for path in
            [COMPLETIONS, "/v1/chat/completions", "/v1/batches", "/v1/services/print-relay/a"]
        {
            let request = format!(
                "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{header}\
                 content-length: {}\r\n\r\n",
                VALID_BODY.len()
            );
            let response = server.send(&[request.as_bytes(), VALID_BODY].concat()).await;
            expect_that!((response.status, response.kind().as_str()), eq((401, "unauthorized")));
        }
    }
    expect_that!(server.recorded.completions.lock().unwrap().len(), eq(0));
}

/// Guards against guessing the meaning of malformed or repeated headers.
#[gtest]
#[tokio::test]
async fn malformed_headers() {
    let server = server().await;
    for header in [
        "x-deadline-ms: soon\r\n",
        "x-deadline-ms: -5\r\n",
        "x-idempotent: maybe\r\n",
        "idempotency-key: \r\n",
        "idempotency-key: a\r\nidempotency-key: b\r\n",
        "x-idempotent: true\r\nx-idempotent: false\r\n",
    ] {
        let response = server.post(COMPLETIONS, header, VALID_BODY).await;
        expect_that!((response.status, response.kind().as_str()), eq((400, "invalid")), "{header}");
    }
    let response = server.post(COMPLETIONS, "x-deadline-ms: 0\r\n", VALID_BODY).await;
    expect_that!((response.status, response.kind().as_str()), eq((504, "expired")));
    expect_that!(server.recorded.completions.lock().unwrap().len(), eq(0));
}

/// Guards against a failure that loses its retry delay, or whose header Retry-After rounds 1.5 s
/// down instead of up.
#[gtest]
#[tokio::test]
async fn unknown_model() {
    let server = server().await;
    let response = server.post(COMPLETIONS, "", br#"{"model":"nothing","prompt":"hello"}"#).await;
    expect_that!((response.status, response.kind().as_str()), eq((404, "not_found")));
    expect_that!(response.json()["error"]["not_run"].as_bool(), some(eq(true)));
    expect_that!(response.json()["error"]["retry_after_ms"].as_u64(), some(eq(1_500)));
    expect_that!(response.head, contains_substring("retry-after: 2"));
}

/// Guards against unknown paths and methods that match another route.
#[gtest]
#[tokio::test]
async fn unknown_route() {
    let server = server().await;
    for path in ["/", "/v1", "/v1/completions/", "/v1/batches/a/b/c", "/admin", "/v1/services"] {
        let response = server.get(path).await;
        expect_that!((response.status, response.kind().as_str()), eq((404, "not_found")), "{path}");
    }
    expect_that!(server.get(COMPLETIONS).await.status, eq(404));
    expect_that!(server.post("/v1/batches/%ff/cancel", "", b"").await.status, eq(400));
    expect_that!(server.post("/v1/batches/%4/cancel", "", b"").await.status, eq(400));
}

/// Guards against input that is not HTTP and stops the server or blocks other connections.
#[gtest]
#[tokio::test]
async fn not_http() {
    let server = server().await;
    for garbage in
        [b"\0\0\0\0\r\n\r\n".as_slice(), b"GET\r\n\r\n", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\nxx"]
    {
        let mut socket = tokio::net::TcpStream::connect(server.address).await.unwrap();
        tokio::io::AsyncWriteExt::write_all(&mut socket, garbage).await.unwrap();
    }
    let response = server.send(&post(COMPLETIONS, "", VALID_BODY)).await;
    expect_that!(response.status, eq(200));
}
