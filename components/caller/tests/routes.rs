//! Routes for batch jobs, services, administration and the list of models.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use googletest::prelude::*;
use support::TestServer;

async fn server() -> TestServer {
    TestServer::start(Vec::new()).await
}

/// Guards against batch jobs that reach the backend with other parameters than the caller sent, or
/// without required ones.
#[gtest]
#[tokio::test]
async fn batches() {
    let server = server().await;
    let input = b"{\"id\":\"a\",\"prompt\":\"b\",\"max_tokens\":1}\n";
    let path = "/v1/batches?due_s=60&deployment=wording%2Dllm";
    let response = server.post(path, "idempotency-key: k\r\n", input).await;
    expect_that!(response.json()["state"].as_str(), some(eq("open")));
    let submission = server.recorded.submissions.lock().unwrap().remove(0);
    expect_that!(submission.client, eq("himal"));
    expect_that!(submission.key, eq("k"));
    expect_that!(submission.deployment, eq("wording-llm"));
    expect_that!(submission.due, eq(Duration::from_secs(60)));
    expect_that!(&*submission.input, eq(input.as_slice()));

    expect_that!(server.get("/v1/batches/j1").await.json()["id"].as_str(), some(eq("j1")));
    expect_that!(server.get("/v1/batches/j1/results").await.text(), eq("{\"id\":\"a\"}\n"));
    let response = server.post("/v1/batches/j1/cancel", "", b"").await;
    expect_that!(response.json()["state"].as_str(), some(eq("cancelled")));
    for (path, headers) in [
        (path, ""),
        ("/v1/batches", "idempotency-key: k\r\n"),
        ("/v1/batches?deployment=a&due_s=0", "idempotency-key: k\r\n"),
        ("/v1/batches?deployment=a&due_s=x", "idempotency-key: k\r\n"),
    ] {
        expect_that!(server.post(path, headers, input).await.status, eq(400), "{path}");
    }
}

/// Guards against truncated batch results that look complete when the backend reports a failure, and when
/// it ends without a last word.
#[gtest]
#[tokio::test]
async fn truncated_results() {
    use tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    };
    let server = server().await;
    for job in ["broken", "dropped"] {
        let mut socket = TcpStream::connect(server.address).await.unwrap();
        let request = format!(
            "GET /v1/batches/{job}/results HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             authorization: Bearer secret\r\n\r\n"
        );
        socket.write_all(request.as_bytes()).await.unwrap();
        let mut received = Vec::new();
        let _ = socket.read_to_end(&mut received).await;
        let response = String::from_utf8(received).unwrap();
        // The last chunk of the transfer encoding is missing.
        expect_that!(response, not(ends_with("0\r\n\r\n")), "{job}");
    }
}

/// Guards against batch input that exceeds the shared memory budget, and against memory that is not
/// freed when a caller disconnects during its upload.
#[gtest]
#[tokio::test]
async fn batch_memory() {
    use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};
    let server = server().await;
    let path = "/v1/batches?deployment=wording-llm";
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer secret\r\n\
         idempotency-key: k\r\ncontent-length: 4000\r\n\r\n"
    );
    let mut slow = TcpStream::connect(server.address).await.unwrap();
    slow.write_all(&[head.as_bytes(), &[b'\n'; 3_000]].concat()).await.unwrap();
    let mut refused = None;
    for _ in 0..500 {
        let response = server.post(path, "idempotency-key: k\r\n", &[b'\n'; 4_000]).await;
        if response.status != 200 {
            refused = Some(response);
            break;
        }
        sleep(Duration::from_millis(5)).await;
    }
    let response = refused.unwrap();
    expect_that!((response.status, response.kind().as_str()), eq((503, "overloaded")));
    expect_that!(response.head, contains_substring("retry-after"));
    drop(slow);
    for _ in 0..500 {
        if server.post(path, "idempotency-key: k\r\n", &[b'\n'; 4_000]).await.status == 200 {
            return;
        }
        sleep(Duration::from_millis(5)).await;
    }
    expect_that!("memory of a caller that disconnected", eq("freed"));
}

/// Guards against service calls that lose their path, query, headers, body or response.
#[gtest]
#[tokio::test]
async fn services() {
    let server = server().await;
    let headers = "idempotency-key: k\r\nx-idempotent: false\r\ncontent-type: image/png\r\n";
    let response = server.post("/v1/services/print-relay/a/b?c=d%20e", headers, b"\x89\xff").await;
    expect_that!((response.status, response.text()), eq((418, "teapot")));
    expect_that!(response.head, contains_substring("content-type: text/plain"));
    let call = server.recorded.calls.lock().unwrap().remove(0);
    expect_that!(call.deployment, eq("print-relay"));
    expect_that!(call.path, eq("/a/b?c=d%20e"));
    expect_that!(&*call.body, eq(b"\x89\xff".as_slice()));
    expect_that!(call.content_type.as_deref(), some(eq("image/png")));
    expect_that!(call.idempotency_key.as_deref(), some(eq("k")));
    expect_that!(call.idempotent, some(eq(false)));
    server.post("/v1/services/print-relay", "", b"").await;
    expect_that!(server.recorded.calls.lock().unwrap().remove(0).path, eq("/"));
}

/// Guards against administration routes that lose a field of the request or of the response.
#[gtest]
#[tokio::test]
async fn admin() {
    let server = server().await;
    expect_that!(server.get("/admin/config").await.json()["revision"].as_u64(), some(eq(7)));
    let change = br#"{"expected_revision":7,"change_id":"c","author":"me","document":{"a":1}}"#;
    let response = server.post("/admin/config", "", change).await;
    expect_that!(response.json()["revision"].as_u64(), some(eq(8)));
    let change = server.recorded.changes.lock().unwrap().remove(0);
    expect_that!(change.expected_revision, eq(7));
    expect_that!(change.document["a"].as_u64(), some(eq(1)));
    expect_that!(server.post("/admin/config", "", b"{}").await.status, eq(400));
    expect_that!(server.get("/admin/config/history?limit=5").await.text(), eq("[]"));
    expect_that!(server.get("/admin/config/history?limit=0").await.status, eq(400));
    expect_that!(server.get("/admin/upstreams").await.text(), eq("[]"));
    expect_that!(server.get("/metrics").await.text(), eq("requests_total 1\n"));
}

/// Guards against listing plain services as models.
#[gtest]
#[tokio::test]
async fn models() {
    let document = server().await.get("/v1/models").await.json();
    expect_that!(document["data"].as_array().map(Vec::len), some(eq(1)));
    expect_that!(document["data"][0]["id"].as_str(), some(eq("wording-llm")));
}
