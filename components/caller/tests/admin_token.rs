//! Guards against operators' routes that answer others, and that refuse operators.
#![allow(clippy::unwrap_used)]

mod support;

use cyclamengrade_caller::Options;
use googletest::prelude::*;
use support::{Running, options};

const TOKEN: &str = "0123456789abcdef";

const ROUTES: [&str; 4] =
    ["/admin/config", "/admin/config/history", "/admin/upstreams", "/admin/none"];

async fn status(server: &Running, path: &str, headers: &str) -> u16 {
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\r\n");
    server.send(request.as_bytes()).await.status
}

/// With a token in the settings, nobody without it is answered, not even on a loopback address or
/// with a client's token; the other routes stay as they are.
#[gtest]
#[tokio::test]
async fn token_asked() {
    let options = Options { admin_token: Some(TOKEN.into()), ..options() };
    let server = Running::start_on("127.0.0.1:0", options, Vec::new(), Vec::new()).await;
    for path in ROUTES {
        for token in ["", "secret", "0123456789abcde", "0123456789abcdeg", "0123456789abcdef0"] {
            let headers = format!("authorization: Bearer {token}\r\n");
            expect_that!(status(&server, path, &headers).await, eq(401), "{path} {token}");
        }
        expect_that!(status(&server, path, "").await, eq(401), "{path}");
        let headers = format!("authorization: Bearer {TOKEN}\r\n");
        let expected = if path == "/admin/none" { 404 } else { 200 };
        expect_that!(status(&server, path, &headers).await, eq(expected), "{path}");
    }
    let change = br#"{"expected_revision":7,"change_id":"c","author":"me","document":{"a":1}}"#;
    let answer = server.post("/admin/config", "", change).await;
    expect_that!((answer.status, answer.kind()), eq(&(401, "unauthorized".to_owned())));
    expect_that!(answer.json()["error"]["not_run"].as_bool(), some(eq(true)));
    expect_that!(server.seen.changes.lock().unwrap().is_empty(), eq(true));
    for path in ["/livez", "/metrics"] {
        expect_that!(status(&server, path, "").await, eq(200), "{path}");
    }
}

/// Without a token in the settings, callers on any loopback address are answered.
#[gtest]
#[tokio::test]
async fn loopback_only() {
    for address in ["127.0.0.1:0", "127.9.8.7:0"] {
        let server = Running::start_on(address, options(), Vec::new(), Vec::new()).await;
        for path in &ROUTES[..3] {
            expect_that!(status(&server, path, "").await, eq(200), "{address} {path}");
        }
    }
}

/// Without a token in the settings, callers elsewhere are refused whatever they send; with one, the
/// address does not matter.
#[gtest]
fn addresses() {
    let open = options();
    let closed = Options { admin_token: Some(TOKEN.into()), ..options() };
    for (address, loopback) in [
        ("127.0.0.1", true),
        ("127.9.8.7", true),
        ("::1", true),
        ("::ffff:127.0.0.1", true),
        ("10.60.1.11", false),
        ("128.0.0.1", false),
        ("0.0.0.0", false),
        ("fe80::1", false),
        ("::ffff:10.60.1.11", false),
    ] {
        let caller = address.parse().unwrap();
        for token in [None, Some(""), Some(TOKEN)] {
            expect_that!(open.admits_operator(caller, token), eq(loopback), "{address} {token:?}");
            let known = token == Some(TOKEN);
            expect_that!(closed.admits_operator(caller, token), eq(known), "{address} {token:?}");
        }
    }
}
