//! Access to the administration routes: only operators are served, and every operator is.
#![allow(clippy::unwrap_used)]

mod support;

use cyclamengrade_caller::Options;
use googletest::prelude::*;
use support::{TestServer, options};

const TOKEN: &str = "0123456789abcdef";

const ROUTES: [&str; 4] =
    ["/admin/config", "/admin/config/history", "/admin/upstreams", "/admin/none"];

async fn status(server: &TestServer, path: &str, headers: &str) -> u16 {
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\r\n");
    server.send(request.as_bytes()).await.status
}

/// Guards against a configured admin token that is not required from loopback addresses, or for
/// which a client token or a similar token is accepted. The routes outside `/admin` need no admin
/// token.
#[gtest]
#[tokio::test]
async fn admin_token_required() {
    let options = Options { admin_token: Some(TOKEN.into()), ..options() };
    let server = TestServer::start_on("127.0.0.1:0", options, Vec::new(), Vec::new()).await;
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
    let response = server.post("/admin/config", "", change).await;
    expect_that!((response.status, response.kind()), eq(&(401, "unauthorized".to_owned())));
    expect_that!(response.json()["error"]["not_run"].as_bool(), some(eq(true)));
    expect_that!(server.recorded.changes.lock().unwrap().is_empty(), eq(true));
    for path in ["/livez", "/metrics"] {
        expect_that!(status(&server, path, "").await, eq(200), "{path}");
    }
}

/// Guards against refusing operators on loopback addresses when no admin token is configured.
#[gtest]
#[tokio::test]
async fn loopback_without_token() {
    for address in ["127.0.0.1:0", "127.9.8.7:0"] {
        let server = TestServer::start_on(address, options(), Vec::new(), Vec::new()).await;
        for path in &ROUTES[..3] {
            expect_that!(status(&server, path, "").await, eq(200), "{address} {path}");
        }
    }
}

/// Guards against serving other than loopback addresses when no admin token is configured, whatever
/// token is sent, and against checking the address when one is configured.
#[gtest]
fn operator_addresses() {
    let without_token = options();
    let with_token = Options { admin_token: Some(TOKEN.into()), ..options() };
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
            expect_that!(
                without_token.is_operator(caller, token),
                eq(loopback),
                "{address} {token:?}"
            );
            let correct = token == Some(TOKEN);
            expect_that!(with_token.is_operator(caller, token), eq(correct), "{address} {token:?}");
        }
    }
}
