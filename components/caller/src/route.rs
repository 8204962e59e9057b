//! Paths and methods.

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
    answer::{self, Answer},
    backend::Backend,
    batch, completion,
    input::{self, Memory},
    render::Form,
    service,
};

const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// What the routes share.
pub(crate) struct Context {
    pub(crate) backend: Arc<dyn Backend>,
    pub(crate) options: Options,
    pub(crate) batch_memory: Arc<Memory>,
    pub(crate) number: AtomicU64,
}

impl Context {
    /// A number that is unique within this process.
    pub(crate) fn next_number(&self) -> u64 {
        self.number.fetch_add(1, Ordering::Relaxed)
    }
}

/// Answers one request; failures become answers too.
pub(crate) async fn answer(
    server: Arc<Context>,
    caller: IpAddr,
    request: Request<Incoming>,
) -> Result<Answer, Infallible> {
    let mut span = trace::start("request", input::traceparent(request.headers()));
    if span.is_sampled() {
        span.set("method", request.method().to_string());
        span.set("path", request.uri().path().to_owned());
    }
    let mut answer = match dispatch(&server, caller, request, &span).await {
        Ok(answer) => answer,
        Err(failure) => answer::failure(&failure),
    };
    if !server.backend.ready() {
        // The load balancer should open its next connection to another daemon.
        answer.headers_mut().insert(CONNECTION, CLOSE);
    }
    answer.body_mut().set_span(span);
    Ok(answer)
}

async fn dispatch(
    server: &Context,
    caller: IpAddr,
    request: Request<Incoming>,
    span: &Span,
) -> Result<Answer, Failure> {
    check_size(server, &request)?;
    let (head, body) = request.into_parts();
    let (uri, headers) = (&head.uri, &head.headers);
    let segments: Vec<&str> = uri.path().split('/').skip(1).collect();
    if segments.first() == Some(&"admin") {
        admin::authorize(server, caller, headers)?;
    }
    match (&head.method, segments.as_slice()) {
        (&Method::POST, ["v1", "completions"]) => {
            completion::complete(server, headers, span, body, Form::Plain).await
        }
        (&Method::POST, ["v1", "chat", "completions"]) => {
            completion::complete(server, headers, span, body, Form::Chat).await
        }
        (&Method::GET, ["v1", "models"]) => admin::models(server, headers).await,
        (&Method::POST, ["v1", "batches"]) => batch::submit(server, uri, headers, body).await,
        (&Method::GET, ["v1", "batches", id]) => batch::show(server, headers, id).await,
        (&Method::GET, ["v1", "batches", id, "results"]) => {
            batch::results(server, headers, id).await
        }
        (&Method::POST, ["v1", "batches", id, "cancel"]) => {
            batch::cancel(server, headers, id).await
        }
        (&Method::POST, ["v1", "services", deployment, ..]) => {
            service::call(server, uri, headers, span, body, deployment).await
        }
        (&Method::GET, ["admin", "config"]) => admin::configuration(server).await,
        (&Method::POST, ["admin", "config"]) => admin::apply(server, body).await,
        (&Method::GET, ["admin", "config", "history"]) => admin::history(server, uri).await,
        (&Method::GET, ["admin", "upstreams"]) => admin::upstreams(server).await,
        (&Method::GET, ["livez"]) => Ok(admin::live()),
        (&Method::GET, ["readyz"]) => Ok(admin::ready(server)),
        (&Method::GET, ["metrics"]) => Ok(admin::metrics(server)),
        (method, _) => {
            Err(Failure::not_run(Kind::NotFound, format!("no route for {method} {}", uri.path())))
        }
    }
}

fn check_size(server: &Context, request: &Request<Incoming>) -> Result<(), Failure> {
    let fields: usize =
        request.headers().iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    let target = request.uri().path().len() + request.uri().query().map_or(0, str::len);
    let limit = server.options.header_bytes;
    if fields + target > limit {
        let message = format!("the header section exceeds {limit} bytes");
        return Err(Failure::not_run(Kind::TooLarge, message));
    }
    Ok(())
}
