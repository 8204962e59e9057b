//! Routes for completions and chat completions, with streamed and complete responses.

use std::task::{Context, Poll};

use bytes::Bytes;
use cyclamengrade_telemetry::trace::Span;
use hyper::{HeaderMap, body::Incoming};
use tokio::sync::mpsc;

use crate::{
    Failure, Kind,
    backend::{Completion, Event},
    extract::{self, CommonHeaders},
    render::{Endpoint, Renderer},
    request_body::{ChatCompletionBody, CompletionBody, Parameters},
    response::{self, Response},
    route::ServerState,
};

/// Maximum number of events that are sent in one body frame.
const MAX_EVENTS_PER_FRAME: usize = 64;

/// Handles `POST /v1/completions` and `POST /v1/chat/completions`.
pub(crate) async fn complete(
    state: &ServerState,
    headers: &HeaderMap,
    span: &Span,
    body: Incoming,
    endpoint: Endpoint,
) -> Result<Response, Failure> {
    let common = CommonHeaders::parse(headers, &*state.backend, span)?;
    let body = extract::body(body, state.options.max_body_bytes).await?;
    let Parameters { model, prompt, max_tokens, stream } = match endpoint {
        Endpoint::Completions => extract::json::<CompletionBody>(&body)?.into_parameters()?,
        Endpoint::ChatCompletions => {
            extract::json::<ChatCompletionBody>(&body)?.into_parameters()?
        }
    };
    drop(body);
    let renderer = Renderer::new(endpoint, state.next_response_number(), &model);
    let call = Completion {
        client: common.client,
        deployment: model,
        prompt,
        max_tokens,
        deadline: common.deadline,
        idempotent: common.idempotent,
        idempotency_key: common.idempotency_key,
        traceparent: common.traceparent,
    };
    let events = state.backend.complete(call).await?;
    if stream {
        Ok(response::events(EventStream::new(events, renderer)))
    } else {
        complete_response(events, &renderer).await
    }
}

/// Waits for the end of a completion and returns it as one JSON object.
async fn complete_response(
    mut events: mpsc::Receiver<Event>,
    renderer: &Renderer,
) -> Result<Response, Failure> {
    let mut text = String::new();
    let mut tokens = 0;
    loop {
        match events.recv().await {
            Some(Event::Token(token)) => {
                text.push_str(&token);
                tokens += 1;
            }
            Some(Event::End { finish_reason }) => {
                return response::json_bytes(renderer.complete(&text, &finish_reason, tokens));
            }
            Some(Event::Failed(failure)) => return Err(failure),
            None => return Err(channel_closed()),
        }
    }
}

fn channel_closed() -> Failure {
    Failure::may_have_run(Kind::Internal, "the daemon stopped the completion before its end")
}

/// Renders the events of a completion as server-sent events.
pub(crate) struct EventStream {
    receiver: mpsc::Receiver<Event>,
    renderer: Renderer,
    /// Buffer of received events, empty between two polls.
    received: Vec<Event>,
    phase: Phase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    NotStarted,
    Running,
    Ended,
}

impl EventStream {
    fn new(receiver: mpsc::Receiver<Event>, renderer: Renderer) -> Self {
        Self { receiver, renderer, received: Vec::new(), phase: Phase::NotStarted }
    }

    /// Polls for the next body frame, which holds all events that are ready. Returns `None` after
    /// the end.
    pub(crate) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.phase == Phase::Ended {
            return Poll::Ready(None);
        }
        let Poll::Ready(count) =
            self.receiver.poll_recv_many(cx, &mut self.received, MAX_EVENTS_PER_FRAME)
        else {
            return Poll::Pending;
        };
        let mut out = Vec::with_capacity(256 * count.max(1));
        if self.phase == Phase::NotStarted {
            self.renderer.role_event(&mut out);
            self.phase = Phase::Running;
        }
        if count == 0 {
            self.fail(&mut out, &channel_closed());
        }
        for event in std::mem::take(&mut self.received) {
            match event {
                Event::Token(text) => self.renderer.token_event(&mut out, &text),
                Event::End { finish_reason } => {
                    self.renderer.end_events(&mut out, &finish_reason);
                    self.phase = Phase::Ended;
                    break;
                }
                Event::Failed(failure) => {
                    self.fail(&mut out, &failure);
                    break;
                }
            }
        }
        Poll::Ready(Some(Bytes::from(out)))
    }

    /// Writes an error event without the final `[DONE]`, so that the completion does not look
    /// complete.
    fn fail(&mut self, out: &mut Vec<u8>, failure: &Failure) {
        out.extend_from_slice(b"data: ");
        out.extend_from_slice(&response::failure_json(failure));
        out.extend_from_slice(b"\n\n");
        self.phase = Phase::Ended;
    }
}
