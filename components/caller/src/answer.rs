//! Responses and their bodies.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use cyclamengrade_telemetry::trace::Span;
use hyper::{
    Response, StatusCode,
    body::{Body, Frame, SizeHint},
    header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::Serialize;
use tokio::sync::mpsc;

use crate::{Failure, Kind, completion::Events};

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const EVENT_STREAM: HeaderValue = HeaderValue::from_static("text/event-stream");
const JSON_LINES: HeaderValue = HeaderValue::from_static("application/jsonl");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");
const NO_CACHE: HeaderValue = HeaderValue::from_static("no-cache");

/// Body of a response, with the span that ends with it.
pub(crate) struct Content {
    part: Part,
    span: Span,
}

impl Content {
    const fn new(part: Part) -> Self {
        Self { part, span: Span::absent() }
    }

    /// Sets the span that ends when the caller has the whole body or has gone away.
    pub(crate) fn set_span(&mut self, span: Span) {
        self.span = span;
    }
}

enum Part {
    /// A whole body.
    Whole(Option<Bytes>),
    /// Server-sent events of a completion.
    Events(Box<Events>),
    /// Parts that arrive over time; a failure breaks the connection off.
    Parts(mpsc::Receiver<Result<Bytes, Failure>>),
}

impl Body for Content {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        match &mut self.part {
            Part::Whole(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            Part::Events(events) => {
                events.poll(cx).map(|data| data.map(|data| Ok(Frame::data(data))))
            }
            Part::Parts(parts) => {
                parts.poll_recv(cx).map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.part, Part::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.part {
            Part::Whole(body) => SizeHint::with_exact(body.as_ref().map_or(0, Bytes::len) as u64),
            Part::Events(_) | Part::Parts(_) => SizeHint::default(),
        }
    }
}

/// A response to a caller.
pub(crate) type Answer = Response<Content>;

/// A whole body with a status and a content type.
pub(crate) fn whole(status: StatusCode, content_type: HeaderValue, body: Bytes) -> Answer {
    let mut answer = Response::new(Content::new(Part::Whole((!body.is_empty()).then_some(body))));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    answer
}

/// A JSON body with status 200.
pub(crate) fn json<T: Serialize>(value: &T) -> Result<Answer, Failure> {
    json_bytes(serde_json::to_vec(value).map_err(|error| {
        Failure::ran(Kind::Internal, format!("the answer cannot be encoded as JSON: {error}"))
    })?)
}

/// A JSON body that is already encoded, with status 200.
pub(crate) fn json_bytes(body: Vec<u8>) -> Result<Answer, Failure> {
    Ok(whole(StatusCode::OK, JSON, Bytes::from(body)))
}

/// A text body.
pub(crate) fn text(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    whole(status, TEXT, body.into())
}

/// A stream of server-sent events.
pub(crate) fn events(events: Events) -> Answer {
    let mut answer = Response::new(Content::new(Part::Events(Box::new(events))));
    answer.headers_mut().insert(CONTENT_TYPE, EVENT_STREAM);
    answer.headers_mut().insert(CACHE_CONTROL, NO_CACHE);
    answer
}

/// JSON lines that arrive over time.
pub(crate) fn lines(parts: mpsc::Receiver<Result<Bytes, Failure>>) -> Answer {
    let mut answer = Response::new(Content::new(Part::Parts(parts)));
    answer.headers_mut().insert(CONTENT_TYPE, JSON_LINES);
    answer
}

/// The answer to a request that failed.
pub(crate) fn failure(failure: &Failure) -> Answer {
    let status =
        StatusCode::from_u16(failure.kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut answer = whole(status, JSON, Bytes::from(failure_json(failure)));
    if let Some(after) = failure.retry_after {
        answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds(after)));
    }
    answer
}

/// The JSON object of a failure.
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

/// Whole seconds, rounded up: `Retry-After` has no smaller unit.
fn seconds(duration: Duration) -> u64 {
    duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}
