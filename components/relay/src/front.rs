//! The HTTP server for callers.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Instant};

use cyclamengrade_control::relay::route::{Kind, Route};
use cyclamengrade_telemetry::{event, metrics::Handle};
use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HOST, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

use crate::{
    batch::Dispatcher,
    body::Body,
    front::watch::{Fault, Stream, Watch},
    online,
    shared::{Phase, Shared},
};

mod jobs;
mod watch;

/// Smallest buffer that the HTTP library takes, in bytes.
const SMALLEST_BUFFER: usize = 8 << 10;
/// Time to come back while this relay knows no configuration.
const UNKNOWN_RETRY: std::time::Duration = std::time::Duration::from_millis(200);

/// What every connection of callers needs.
pub struct Front {
    shared: Arc<Shared>,
    dispatcher: Arc<Dispatcher>,
}

impl Front {
    /// A server for callers.
    pub const fn new(shared: Arc<Shared>, dispatcher: Arc<Dispatcher>) -> Self {
        Self { shared, dispatcher }
    }

    /// Accepts connections until the relay drains, then waits for the requests in flight.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        connections.spawn(self.clone().connection(stream));
                    }
                    // Out of descriptors, or the caller is gone already.
                    Err(error) => {
                        event!(InternalFault, error:% = error);
                        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                    }
                },
                Some(_) = connections.join_next() => {}
                () = self.shared.wait_for_phase(Phase::Draining) => break,
            }
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    async fn connection(self: Arc<Self>, stream: TcpStream) {
        let limits = self.shared.routes.load().limits;
        // An unset option only delays small answers.
        let _ = stream.set_nodelay(true);
        let shared = self.shared.clone();
        let watch = Watch::new();
        let watched = watch.clone();
        let service = service_fn(move |request| {
            let (front, serving) = (self.clone(), watched.serve());
            async move {
                let response = front.serve(request).await;
                // The request is served until its body was sent or dropped.
                let held = response.map(|body| {
                    body.map_frame(move |frame| {
                        let _ = &serving;
                        frame
                    })
                });
                Ok::<_, Infallible>(held)
            }
        });
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // Covers the time between two requests as well, so it is the longer of the two limits.
            .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
            .max_buf_size(limits.head_bytes.max(SMALLEST_BUFFER))
            .serve_connection(TokioIo::new(Stream::new(stream, watch.clone())), service);
        let mut is_draining = false;
        let fault = loop {
            tokio::select! {
                biased;
                // How a connection ends shows in the requests on it.
                _ = &mut connection => return,
                fault = watch.fault(limits.head_timeout) => break fault,
                () = shared.wait_for_phase(Phase::Draining), if !is_draining => {
                    is_draining = true;
                    // `select!` has a `Pin` of its own in scope.
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                }
            }
        };
        refuse(connection.into_parts().io.into_inner(), fault).await;
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<Body> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let mut response =
            match self.shared.dialect.job_call(&head.method, &head.uri, &head.headers) {
                Some(call) => jobs::answer(&self.shared, &self.dispatcher, call).await,
                None => match self.route(&head) {
                    Err(status) if status == StatusCode::SERVICE_UNAVAILABLE => {
                        online::refused(UNKNOWN_RETRY)
                    }
                    Err(status) => online::empty(status),
                    Ok(route) if route.kind == Kind::Batch => {
                        jobs::submit(&self.shared, &self.dispatcher, route, head, body).await
                    }
                    Ok(route) => {
                        online::serve(self.shared.clone(), route, head, body, arrived).await
                    }
                },
            };
        if *self.shared.phase.borrow() >= Phase::Leaving {
            response
                .headers_mut()
                .insert(hyper::header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn route(&self, head: &hyper::http::request::Parts) -> Result<Arc<Route>, StatusCode> {
        let routes = self.shared.routes.load();
        if routes.is_empty() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let host = head
            .uri
            .host()
            .or_else(|| head.headers.get(HOST)?.to_str().ok())
            .ok_or(StatusCode::BAD_REQUEST)?;
        let found = routes.find(host, head.uri.path()).cloned();
        if found.is_none() {
            event!(
                RequestImproper,
                request = online::text(&head.headers, &self.shared.dialect.headers().request_id)
                    .unwrap_or_default(),
                reason = "no route",
                status = 404,
                configuration = routes.version
            );
        }
        found.ok_or(StatusCode::NOT_FOUND)
    }
}

/// Answers a connection that is refused and closes it.
async fn refuse(mut stream: Stream, fault: Fault) {
    let status = match fault {
        Fault::Stalled => StatusCode::REQUEST_TIMEOUT,
        Fault::Ambiguous => StatusCode::BAD_REQUEST,
    };
    event!(ConnectionRefused, reason:? = fault, status = status.as_u16());
    let answer = format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
    // The caller may be gone.
    let _ = stream.write_all(answer.as_bytes()).await;
    let _ = stream.shutdown().await;
}

/// Answers the load balancer: whether this relay takes new connections.
pub async fn ready(shared: Arc<Shared>, listener: TcpListener) {
    serve_small(listener, move |_| match shared.is_ready() {
        true => online::empty(StatusCode::OK),
        false => online::empty(StatusCode::SERVICE_UNAVAILABLE),
    })
    .await;
}

/// Serves the metrics.
pub async fn metrics(handle: Handle, listener: TcpListener) {
    serve_small(listener, move |_| {
        let mut response = Response::new(Body::new(handle.render()));
        let text = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(CONTENT_TYPE, text);
        response
    })
    .await;
}

/// Serves answers that need no waiting.
async fn serve_small(
    listener: TcpListener,
    answer: impl Fn(Request<Incoming>) -> Response<Body> + Clone + Send + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = answer(request);
                async move { Ok::<_, Infallible>(response) }
            });
            // The asker sees how the connection ends.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Binds a listener.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, crate::Error> {
    TcpListener::bind(address).await.map_err(|cause| crate::Error::Listen(address, cause))
}
