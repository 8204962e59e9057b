//! Responses to callers and their bodies.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use cyclamengrade_telemetry::trace::Span;
use hyper::{
    StatusCode,
    body::{Body, Frame, SizeHint},
    header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::Serialize;
use tokio::sync::mpsc;

use crate::{Failure, Kind, backend::Results, completion::EventStream};

const APPLICATION_JSON: HeaderValue = HeaderValue::from_static("application/json");
const TEXT_EVENT_STREAM: HeaderValue = HeaderValue::from_static("text/event-stream");
const APPLICATION_JSONL: HeaderValue = HeaderValue::from_static("application/jsonl");
/// Content type of the Prometheus text format, also used for the health checks.
const PROMETHEUS_TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");
const NO_CACHE: HeaderValue = HeaderValue::from_static("no-cache");

/// Body of a response, together with the span of the request, which ends with the body.
pub(crate) struct ResponseBody {
    content: Content,
    span: Span,
}

impl ResponseBody {
    const fn new(content: Content) -> Self {
        Self { content, span: Span::absent() }
    }

    /// Sets the span that ends when the body has been sent or the caller has closed the connection.
    pub(crate) fn set_span(&mut self, span: Span) {
        self.span = span;
    }
}

enum Content {
    /// Complete body; absent if it is empty or has been sent.
    Full(Option<Bytes>),
    /// Server-sent events of a completion.
    Events(Box<EventStream>),
    /// Results that arrive over time. A failure breaks the connection, so that the truncated body
    /// does not look complete.
    Results(mpsc::Receiver<Results>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        match &mut self.content {
            Content::Full(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            Content::Events(events) => {
                events.poll(cx).map(|data| data.map(|data| Ok(Frame::data(data))))
            }
            Content::Results(results) => match ready!(results.poll_recv(cx)) {
                Some(Results::Lines(lines)) => Poll::Ready(Some(Ok(Frame::data(lines)))),
                Some(Results::End) => {
                    self.content = Content::Full(None);
                    Poll::Ready(None)
                }
                Some(Results::Failed(failure)) => Poll::Ready(Some(Err(failure))),
                None => Poll::Ready(Some(Err(Failure::may_have_run(
                    Kind::Internal,
                    "the daemon stopped the results before their end",
                )))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(body) => SizeHint::with_exact(body.as_ref().map_or(0, Bytes::len) as u64),
            Content::Events(_) | Content::Results(_) => SizeHint::default(),
        }
    }
}

pub(crate) type Response = hyper::Response<ResponseBody>;

/// Creates a response with a complete body.
pub(crate) fn full(status: StatusCode, content_type: HeaderValue, body: Bytes) -> Response {
    let mut response =
        Response::new(ResponseBody::new(Content::Full((!body.is_empty()).then_some(body))));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Creates a response with status 200 and a value encoded as JSON.
pub(crate) fn json<T: Serialize>(value: &T) -> Result<Response, Failure> {
    json_bytes(serde_json::to_vec(value).map_err(|error| {
        Failure::may_have_run(
            Kind::Internal,
            format!("the response cannot be encoded as JSON: {error}"),
        )
    })?)
}

/// Creates a response with status 200 and a body that is already encoded as JSON.
pub(crate) fn json_bytes(body: Vec<u8>) -> Result<Response, Failure> {
    Ok(full(StatusCode::OK, APPLICATION_JSON, Bytes::from(body)))
}

/// Creates a response with a plain text body.
pub(crate) fn text(status: StatusCode, body: impl Into<Bytes>) -> Response {
    full(status, PROMETHEUS_TEXT, body.into())
}

/// Creates a response that streams the server-sent events of a completion.
pub(crate) fn events(events: EventStream) -> Response {
    let mut response = Response::new(ResponseBody::new(Content::Events(Box::new(events))));
    response.headers_mut().insert(CONTENT_TYPE, TEXT_EVENT_STREAM);
    response.headers_mut().insert(CACHE_CONTROL, NO_CACHE);
    response
}

/// Creates a response that streams JSON lines.
pub(crate) fn json_lines(results: mpsc::Receiver<Results>) -> Response {
    let mut response = Response::new(ResponseBody::new(Content::Results(results)));
    response.headers_mut().insert(CONTENT_TYPE, APPLICATION_JSONL);
    response
}

/// Creates the response to a failed request.
pub(crate) fn failure(failure: &Failure) -> Response {
    let status =
        StatusCode::from_u16(failure.kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = full(status, APPLICATION_JSON, Bytes::from(failure_json(failure)));
    if let Some(after) = failure.retry_after {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(whole_seconds(after)));
    }
    response
}

/// Renders the JSON object that describes a failure.
pub(crate) fn failure_json(failure: &Failure) -> Vec<u8> {
    #[derive(Serialize)]
    struct Document<'a> {
        error: Error<'a>,
    }
    #[derive(Serialize)]
    struct Error<'a> {
        kind: &'static str,
        message: &'a str,
        not_run: bool,
        #[serde(skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<u64>,
    }
    let document = Document {
        error: Error {
            kind: failure.kind.name(),
            message: &failure.message,
            not_run: failure.not_run,
            retry_after_ms: failure
                .retry_after
                .map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX)),
        },
    };
    serde_json::to_vec(&document).unwrap_or_default()
}

/// Rounds up to whole seconds, the only unit of the header `Retry-After`.
fn whole_seconds(duration: Duration) -> u64 {
    duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}
