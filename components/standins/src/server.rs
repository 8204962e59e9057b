//! HTTP server of the stand-ins, which also injects faults into connections.

use std::{
    convert::Infallible,
    future::Future,
    io,
    pin::Pin,
    process,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto::Builder,
};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::mpsc,
};

use crate::faults::{ReplyLost, Switches};

/// Exit code of a process that ends itself because of an injected fault.
pub const FAULT_EXIT_CODE: i32 = 86;

/// Body of a stand-in's response.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// A response, or an error that closes the connection without one.
pub type Answer = Result<Response<Body>, ReplyLost>;

/// Request handling of one kind of stand-in.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request. Requests to `/_faults` do not reach the handler.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Answer> + Send;
}

/// Serves connections until the process ends. Requests to `/_faults` are answered here; all others
/// go to the handler.
pub async fn serve<H: Handler>(listener: TcpListener, switches: Arc<Switches>, handler: Arc<H>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let connection = switches.register_connection();
        let socket = Socket { stream, connection, switches: Arc::clone(&switches) };
        let switches = Arc::clone(&switches);
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let switches = Arc::clone(&switches);
                let handler = Arc::clone(&handler);
                async move {
                    match request.uri().path() {
                        "/_faults" => Ok(handle_faults(request, &switches, connection).await),
                        _ => handler.handle(request).await,
                    }
                }
            });
            let builder = Builder::new(TokioExecutor::new());
            // Callers that disconnect during a response are normal in fault tests.
            let _closed = builder.serve_connection(TokioIo::new(socket), service).await;
        });
    }
}

async fn handle_faults(
    request: Request<Incoming>,
    switches: &Switches,
    connection: u64,
) -> Response<Body> {
    if request.method() == Method::GET {
        return json(StatusCode::OK, &switches.report());
    }
    match read_json::<Value>(request).await.and_then(|value| switches.update(&value, connection)) {
        Ok(faults) => json(StatusCode::OK, &faults),
        Err(message) => error(StatusCode::BAD_REQUEST, &message),
    }
}

/// Reads a request body and parses it as JSON.
pub async fn read_json<T: serde::de::DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, String> {
    let body = request.into_body().collect().await.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| error.to_string())
}

/// Builds a response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = bytes(status, body.into());
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Builds an error response whose JSON body has the message in `error.message`.
pub fn error(status: StatusCode, message: &str) -> Response<Body> {
    json(status, &json!({"error": {"message": message}}))
}

/// Builds a response with these bytes as its body.
pub fn bytes(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(body).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Builds a response that streams each received text as one server-sent event.
pub fn events(receiver: mpsc::UnboundedReceiver<String>) -> Response<Body> {
    let frames = stream::unfold(receiver, |mut receiver| async {
        let event = receiver.recv().await?;
        let frame = Frame::data(Bytes::from(format!("data: {event}\n\n")));
        Some((Ok::<_, Infallible>(frame), receiver))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

/// A TCP stream that injects the faults of its connection: `silent` and `die_after_bytes`.
struct Socket {
    stream: TcpStream,
    connection: u64,
    switches: Arc<Switches>,
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if self.switches.is_silent(self.connection) {
            // A silent connection hides received bytes and also the end of the stream.
            buffer.set_filled(filled);
            return Poll::Pending;
        }
        result
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.switches.is_silent(self.connection) {
            return Poll::Ready(Ok(buffer.len()));
        }
        let (allowed, end) = self.switches.count_bytes(buffer.len());
        let result = Pin::new(&mut self.stream).poll_write(context, &buffer[..allowed]);
        if end {
            process::exit(FAULT_EXIT_CODE);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
