//! Questions to other relays over HTTP, at their `peer_listen`.

use std::net::SocketAddr;

use http_body_util::{BodyExt, Limited};
use hyper::{
    StatusCode,
    client::conn::http1,
    header::{CONNECTION, HOST},
    http::request::Builder,
};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::{net::TcpStream, task::JoinHandle};

use crate::body::Body;

/// Sends a question on a connection of its own. Returns `None` without an answer of at most `max_bytes`
/// that can be read.
pub async fn send<T: DeserializeOwned>(
    address: SocketAddr,
    request: Builder,
    body: Body,
    max_bytes: usize,
) -> Option<T> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let _connection = Connection(tokio::spawn(async move {
        // The exchange reports the error of its connection.
        let _ = connection.await;
    }));
    let request = request.header(HOST, address.to_string()).header(CONNECTION, "close");
    let response = sender.send_request(request.body(body).ok()?).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = Limited::new(response.into_body(), max_bytes).collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

/// A task that ends when this is dropped.
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}
