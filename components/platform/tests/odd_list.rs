//! Tests of lists of vms with entries that other writers left.

use std::{net::SocketAddr, time::Duration};

use cyclamengrade_platform::{Vms, http::Client};
use googletest::prelude::*;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Starts a server that answers the first call with a list.
async fn serve(list: &Value) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let body = list.to_string();
    let length = body.len();
    let answer =
        format!("HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: {length}\r\n\r\n{body}");
    tokio::spawn(async move {
        let Ok((mut stream, _)) = listener.accept().await else { return };
        let mut request = vec![0; 4_096];
        // A caller that closes its connection needs no answer.
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(answer.as_bytes()).await;
    });
    Ok(address)
}

/// Guards against a list that is not followed any more because one of its entries is odd.
#[gtest]
#[tokio::test]
async fn odd_entries() -> Result<()> {
    let good = json!({
        "name": "good", "address": "127.0.0.1:80", "data_centre": "a", "service": "lm", "leaving": false
    });
    let mut odd = vec![Value::Null, json!(5), json!([]), json!({})];
    for (field, value) in [
        ("address", json!("127.0.0.1:99999")),
        ("address", json!("127.0.0.1:0")),
        ("address", json!("0.0.0.0:80")),
        ("name", json!(7)),
        ("name", json!("")),
        ("service", Value::Null),
        ("service", json!("")),
        ("leaving", json!("no")),
        ("leaving", json!(1e300)),
    ] {
        let mut entry = good.clone();
        entry["name"] = json!("odd");
        entry[field] = value;
        odd.push(entry);
    }
    for entry in odd {
        let address = serve(&json!({"vms": [entry, good]})).await?;
        let client = Client::new(address, address, address, Duration::from_secs(5));
        let listed = client.list(None).await;
        let names = listed.map(|listed| {
            let vms = listed.map(|(_, vms)| vms).unwrap_or_default();
            vms.into_iter().map(|vm| vm.name).collect::<Vec<_>>()
        });
        expect_that!(names, ok(contains(eq("good"))), "{entry}");
    }
    Ok(())
}
