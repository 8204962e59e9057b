//! Serves the requests on one connection of a caller.

use std::{
    convert::Infallible,
    future::Future,
    pin::{Pin, pin},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use cyclamengrade_control::relay::route::Limits;
use cyclamengrade_telemetry::event;
use hyper::{
    Request, Response, StatusCode, Version,
    body::{Body as _, Frame, Incoming, SizeHint},
    header::CONTENT_LENGTH,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncRead, AsyncWrite, AsyncWriteExt, DuplexStream},
    net::TcpStream,
    time::timeout,
};

use crate::{
    body::{Body, Truncated},
    connection::watch::{Fault, InFlight, Stream, Watch},
};

mod watch;

/// Time within which the first request on a connection arrives that was accepted before the relay drains.
/// Callers open a connection to send a request, and may have done so.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// Smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// The transport of a connection.
pub trait Socket: AsyncRead + AsyncWrite + Unpin {
    /// Sets whether closing the connection resets it and discards what was not delivered.
    fn reset_on_close(&self, is_resetting: bool);
}

impl Socket for TcpStream {
    #[expect(deprecated, reason = "only a linger time above zero blocks a thread")]
    fn reset_on_close(&self, is_resetting: bool) {
        // Without the option, the end of the response cannot be marked otherwise.
        let _ = self.set_linger(is_resetting.then_some(Duration::ZERO));
    }
}

/// A connection in memory, which cannot be reset.
impl Socket for DuplexStream {
    fn reset_on_close(&self, _: bool) {}
}

/// Serves requests until the connection ends. Once `draining` completes, the request in flight is the
/// last one.
pub async fn serve<T, S, F>(
    socket: T,
    limits: Limits,
    service: S,
    draining: impl Future<Output = ()>,
) where
    T: Socket,
    S: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let watch = Watch::new();
    let request_watch = watch.clone();
    let service = service_fn(|request| {
        let in_flight = request_watch.begin_request();
        let version = request.version();
        let response = service(request);
        async move {
            let response = response.await;
            if version < Version::HTTP_11 && !has_length(&response) {
                in_flight.begin_unmarked();
            }
            Ok::<_, Infallible>(response.map(|body| Tracked { body, in_flight }))
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timeout also covers the time between two requests, so it is the longer of the
        // two limits. The watch enforces the timeout of a request head.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(Stream::new(socket, watch.clone())), service);
    let mut draining = pin!(async {
        draining.await;
        // A response says that the connection is closed after it.
        let _ = timeout(FIRST_REQUEST_TIME, watch.wait_for_request()).await;
    });
    let mut is_draining = false;
    let fault = loop {
        tokio::select! {
            biased;
            // An error of the connection is reported by the requests on it.
            _ = &mut connection => return,
            fault = watch.wait_for_fault(&limits) => break fault,
            () = &mut draining, if !is_draining => {
                is_draining = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
        }
    };
    let refusal = refuse(connection.into_parts().io.into_inner(), fault);
    // The caller may read neither its responses nor the refusal.
    let _ = timeout(limits.idle_timeout, refusal).await;
}

fn has_length(response: &Response<Body>) -> bool {
    response.headers().contains_key(CONTENT_LENGTH) || response.body().size_hint().exact().is_some()
}

/// The body of a response, whose request is in flight until the body was sent or dropped.
struct Tracked {
    body: Body,
    in_flight: InFlight,
}

impl hyper::body::Body for Tracked {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if frame.is_none() {
            self.in_flight.complete();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Closes a refused connection, with an error response if the caller reads responses.
async fn refuse<T: Socket>(mut stream: Stream<T>, fault: Fault) {
    let status = match fault {
        Fault::Stalled => StatusCode::REQUEST_TIMEOUT,
        Fault::Ambiguous => StatusCode::BAD_REQUEST,
        Fault::Absent => {
            event!(ConnectionRefused, reason:? = fault);
            return;
        }
    };
    event!(ConnectionRefused, reason:? = fault, status = status.as_u16());
    let response = format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
    // The caller may have closed the connection.
    let _ = stream.write_all(response.as_bytes()).await;
    let _ = stream.shutdown().await;
}
