//! A connection to an upstream that another relay carries.
//!
//! The bytes to the upstream are the body of a request to that relay, and those from the upstream the body
//! of its response, both in chunks. So the close of the connection by the upstream is marked, and differs
//! from the end of the relay between.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, Bytes};
use cyclamengrade_control::relay::broker::Class;
use hyper::{
    Method, Request, StatusCode, Uri,
    body::{Body as _, Incoming},
    client::conn::http1,
    header::{HOST, HeaderName, HeaderValue},
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    task::JoinHandle,
    time::timeout,
};
use tokio_util::sync::PollSender;

use crate::{
    body::{Body, Chunk},
    link::set_options,
};

/// Path of the request to carry a connection.
pub const PATH: &str = "/v1/upstream-connection";
/// Header of that request with the id of the upstream.
pub const UPSTREAM: HeaderName = HeaderName::from_static("x-upstream");
/// Header of that request that is present if the connection is for a batch item.
pub const BATCH: HeaderName = HeaderName::from_static("x-batch");
/// Limit on the bytes of a connection between two relays that wait in the process.
pub const BUFFER_BYTES: usize = 16 << 10;
/// Timeout for the answer of another relay, which opens a connection.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);

/// Why another relay does not carry a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decline {
    /// It has no connection to the upstream either.
    Unreachable,
    /// It carries no more connections, has lost its own links, stops, or does not know the upstream.
    Busy,
    /// It does not answer.
    Silent,
}

impl Decline {
    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Busy => "busy",
            Self::Silent => "silent",
        }
    }
}

/// A connection to an upstream that another relay carries. Dropping it closes the connection.
pub struct Tunnel {
    incoming: Incoming,
    /// Received bytes that were not read yet.
    received: Bytes,
    outgoing: PollSender<Chunk>,
    _task: Task,
}

impl Tunnel {
    /// Asks the relay at `address` for a connection to an upstream.
    ///
    /// # Errors
    ///
    /// Returns why the relay does not carry the connection.
    pub async fn open(address: SocketAddr, upstream: &str, class: Class) -> Result<Self, Decline> {
        let opened = timeout(ANSWER_TIMEOUT, Self::request(address, upstream, class)).await;
        opened.unwrap_or(Err(Decline::Silent))
    }

    async fn request(address: SocketAddr, upstream: &str, class: Class) -> Result<Self, Decline> {
        let stream = TcpStream::connect(address).await.map_err(|_| Decline::Silent)?;
        set_options(&stream);
        let (mut sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| Decline::Silent)?;
        let task = Task(tokio::spawn(async move {
            // The bodies on the connection report its error.
            let _ = connection.await;
        }));
        let (outgoing, body) = Body::stream();
        let request = head(address, upstream, class, body).ok_or(Decline::Busy)?;
        let response = sender.send_request(request).await.map_err(|_| Decline::Silent)?;
        match response.status() {
            StatusCode::OK => Ok(Self {
                incoming: response.into_body(),
                received: Bytes::new(),
                outgoing: PollSender::new(outgoing),
                _task: task,
            }),
            StatusCode::BAD_GATEWAY => Err(Decline::Unreachable),
            _ => Err(Decline::Busy),
        }
    }
}

fn head(address: SocketAddr, upstream: &str, class: Class, body: Body) -> Option<Request<Body>> {
    let mut request = Request::new(body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(PATH);
    let host = HeaderValue::from_str(&address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    request.headers_mut().insert(UPSTREAM, HeaderValue::from_str(upstream).ok()?);
    if class == Class::Batch {
        request.headers_mut().insert(BATCH, HeaderValue::from_static("1"));
    }
    Some(request)
}

/// A task that ends when this is dropped.
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl AsyncRead for Tunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.received.is_empty() {
            match ready!(Pin::new(&mut self.incoming).poll_frame(context)) {
                None => return Poll::Ready(Ok(())),
                Some(Err(error)) => return Poll::Ready(Err(io::Error::other(error))),
                Some(Ok(frame)) => self.received = frame.into_data().unwrap_or_default(),
            }
        }
        let length = self.received.len().min(buffer.remaining());
        buffer.put_slice(&self.received[..length]);
        self.received.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Tunnel {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let closed = |_| io::Error::from(io::ErrorKind::BrokenPipe);
        ready!(self.outgoing.poll_reserve(context)).map_err(closed)?;
        let chunk = Chunk::Data(Bytes::copy_from_slice(bytes));
        self.outgoing.send_item(chunk).map_err(closed)?;
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Each chunk is sent as it is written.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The upstream need not tell a closed connection from one that was dropped.
        self.outgoing.close();
        Poll::Ready(Ok(()))
    }
}
