//! Routes requests by method and path, and turns failures into responses.

use std::{
    convert::Infallible,
    net::IpAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use cyclamengrade_telemetry::trace::{self, Span};
use hyper::{
    Method, Request,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
};

use crate::{
    Failure, Kind, Options, admin,
    backend::Backend,
    batch, completion,
    extract::{self, MemoryBudget},
    render::Endpoint,
    response::{self, Response},
    service,
};

const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// State that all routes share.
pub(crate) struct ServerState {
    pub(crate) backend: Arc<dyn Backend>,
    pub(crate) options: Options,
    pub(crate) batch_memory: Arc<MemoryBudget>,
    pub(crate) next_response_number: AtomicU64,
}

impl ServerState {
    /// Returns a number for the identifier of a completion, unique within this server.
    pub(crate) fn next_response_number(&self) -> u64 {
        self.next_response_number.fetch_add(1, Ordering::Relaxed)
    }
}

/// Handles one request. A failure is returned as a response with a JSON body.
pub(crate) async fn handle(
    state: Arc<ServerState>,
    caller: IpAddr,
    request: Request<Incoming>,
) -> Result<Response, Infallible> {
    let mut span = trace::start("request", extract::traceparent(request.headers()));
    if span.is_sampled() {
        span.set("method", request.method().to_string());
        span.set("path", request.uri().path().to_owned());
    }
    let mut response = match dispatch(&state, caller, request, &span).await {
        Ok(response) => response,
        Err(failure) => response::failure(&failure),
    };
    if !state.backend.ready() {
        // Makes the load balancer open its next connection to another daemon.
        response.headers_mut().insert(CONNECTION, CLOSE);
    }
    response.body_mut().set_span(span);
    Ok(response)
}

async fn dispatch(
    state: &ServerState,
    caller: IpAddr,
    request: Request<Incoming>,
    span: &Span,
) -> Result<Response, Failure> {
    check_header_size(state, &request)?;
    let (head, body) = request.into_parts();
    let (uri, headers) = (&head.uri, &head.headers);
    let segments: Vec<&str> = uri.path().split('/').skip(1).collect();
    if segments.first() == Some(&"admin") {
        admin::authorize(state, caller, headers)?;
    }
    match (&head.method, segments.as_slice()) {
        (&Method::POST, ["v1", "completions"]) => {
            completion::complete(state, headers, span, body, Endpoint::Completions).await
        }
        (&Method::POST, ["v1", "chat", "completions"]) => {
            completion::complete(state, headers, span, body, Endpoint::ChatCompletions).await
        }
        (&Method::GET, ["v1", "models"]) => admin::models(state, headers).await,
        (&Method::POST, ["v1", "batches"]) => batch::submit(state, uri, headers, body).await,
        (&Method::GET, ["v1", "batches", id]) => batch::show(state, headers, id).await,
        (&Method::GET, ["v1", "batches", id, "results"]) => {
            batch::results(state, headers, id).await
        }
        (&Method::POST, ["v1", "batches", id, "cancel"]) => batch::cancel(state, headers, id).await,
        (&Method::POST, ["v1", "services", deployment, ..]) => {
            service::call(state, uri, headers, span, body, deployment).await
        }
        (&Method::GET, ["admin", "config"]) => admin::configuration(state).await,
        (&Method::POST, ["admin", "config"]) => admin::apply(state, body).await,
        (&Method::GET, ["admin", "config", "history"]) => admin::history(state, uri).await,
        (&Method::GET, ["admin", "upstreams"]) => admin::upstreams(state).await,
        (&Method::GET, ["livez"]) => Ok(admin::live()),
        (&Method::GET, ["readyz"]) => Ok(admin::ready(state)),
        (&Method::GET, ["metrics"]) => Ok(admin::metrics(state)),
        (method, _) => {
            Err(Failure::not_run(Kind::NotFound, format!("no route for {method} {}", uri.path())))
        }
    }
}

fn check_header_size(state: &ServerState, request: &Request<Incoming>) -> Result<(), Failure> {
    let field_bytes: usize =
        request.headers().iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    let target_bytes = request.uri().path().len() + request.uri().query().map_or(0, str::len);
    let limit = state.options.max_header_bytes;
    if field_bytes + target_bytes > limit {
        let message = format!("the request target and header fields exceed {limit} bytes");
        return Err(Failure::not_run(Kind::TooLarge, message));
    }
    Ok(())
}
