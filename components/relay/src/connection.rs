//! Serves the requests on one connection of a caller.

use std::{convert::Infallible, future::Future, pin::pin};

use cyclamengrade_control::relay::route::Limits;
use cyclamengrade_telemetry::event;
use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncRead, AsyncWrite, AsyncWriteExt},
    time::timeout,
};

use crate::{
    body::Body,
    connection::watch::{Fault, Stream, Watch},
};

mod watch;

/// Smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Serves requests until the connection ends. Once `draining` completes, the request in flight is the
/// last one.
pub async fn serve<T, S, F>(
    socket: T,
    limits: Limits,
    service: S,
    draining: impl Future<Output = ()>,
) where
    T: AsyncRead + AsyncWrite + Unpin,
    S: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let watch = Watch::new();
    let request_watch = watch.clone();
    let service = service_fn(|request| {
        let in_flight = request_watch.begin_request();
        let response = service(request);
        async move {
            // The request is in flight until the response body was sent or dropped.
            let response = response.await.map(|body| {
                body.map_frame(move |frame| {
                    let _ = &in_flight;
                    frame
                })
            });
            Ok::<_, Infallible>(response)
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timeout also covers the time between two requests, so it is the longer of the
        // two limits. The watch enforces the timeout of a request head.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(Stream::new(socket, watch.clone())), service);
    let mut draining = pin!(draining);
    let mut is_draining = false;
    let fault = loop {
        tokio::select! {
            biased;
            // An error of the connection is reported by the requests on it.
            _ = &mut connection => return,
            fault = watch.wait_for_fault(&limits) => break fault,
            () = &mut draining, if !is_draining => {
                is_draining = true;
                // The full path is needed because `select!` brings another `Pin` into scope.
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
        }
    };
    let refusal = refuse(connection.into_parts().io.into_inner(), fault);
    // The caller may read neither its responses nor the refusal.
    let _ = timeout(limits.idle_timeout, refusal).await;
}

/// Closes a refused connection, with an error response if the caller reads responses.
async fn refuse<T: AsyncRead + AsyncWrite + Unpin>(mut stream: Stream<T>, fault: Fault) {
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
