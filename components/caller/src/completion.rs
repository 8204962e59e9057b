//! Completions and chat completions, whole and streamed.

use std::task::{Context, Poll};

use bytes::Bytes;
use cyclamengrade_telemetry::trace::Span;
use hyper::{HeaderMap, body::Incoming};
use tokio::sync::mpsc;

use crate::{
    Failure, Kind,
    answer::{self, Answer},
    backend::{Completion, Event},
    input::{self, Common},
    prompt::{Chat, Plain, Wanted},
    render::{Form, Renderer},
    route::Context as Server,
};

/// Events that are merged into one write at most.
const MERGED_EVENTS: usize = 64;

/// Answers a completion.
pub(crate) async fn complete(
    server: &Server,
    headers: &HeaderMap,
    span: &Span,
    body: Incoming,
    form: Form,
) -> Result<Answer, Failure> {
    let common = Common::read(headers, &*server.backend, span)?;
    let body = input::body(body, server.options.body_bytes).await?;
    let Wanted { model, prompt, max_tokens, stream } = match form {
        Form::Plain => input::json::<Plain>(&body)?.wanted()?,
        Form::Chat => input::json::<Chat>(&body)?.wanted()?,
    };
    drop(body);
    let renderer = Renderer::new(form, server.next_number(), &model);
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
    let events = server.backend.complete(call).await?;
    if stream {
        Ok(answer::events(Events::new(events, renderer)))
    } else {
        whole(events, &renderer).await
    }
}

async fn whole(mut events: mpsc::Receiver<Event>, renderer: &Renderer) -> Result<Answer, Failure> {
    let mut text = String::new();
    let mut tokens = 0;
    loop {
        match events.recv().await {
            Some(Event::Token(token)) => {
                text.push_str(&token);
                tokens += 1;
            }
            Some(Event::End { finish_reason }) => {
                return answer::json_bytes(renderer.whole(&text, &finish_reason, tokens));
            }
            Some(Event::Failed(failure)) => return Err(failure),
            None => return Err(cut_off()),
        }
    }
}

fn cut_off() -> Failure {
    Failure::ran(Kind::Internal, "the daemon gave up the answer before its end")
}

/// A completion as server-sent events.
pub(crate) struct Events {
    receiver: mpsc::Receiver<Event>,
    renderer: Renderer,
    ready: Vec<Event>,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Opening,
    Running,
    Ended,
}

impl Events {
    fn new(receiver: mpsc::Receiver<Event>, renderer: Renderer) -> Self {
        Self { receiver, renderer, ready: Vec::new(), state: State::Opening }
    }

    /// The next events, all that are ready in one part; nothing after the end.
    pub(crate) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.state == State::Ended {
            return Poll::Ready(None);
        }
        let Poll::Ready(count) = self.receiver.poll_recv_many(cx, &mut self.ready, MERGED_EVENTS)
        else {
            return Poll::Pending;
        };
        let mut out = Vec::with_capacity(256 * count.max(1));
        if self.state == State::Opening {
            self.renderer.opening(&mut out);
            self.state = State::Running;
        }
        if count == 0 {
            self.fail(&mut out, &cut_off());
        }
        for event in std::mem::take(&mut self.ready) {
            match event {
                Event::Token(text) => self.renderer.token(&mut out, &text),
                Event::End { finish_reason } => {
                    self.renderer.end(&mut out, &finish_reason);
                    self.state = State::Ended;
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

    /// Writes an error event; the end mark stays away, so the answer is not taken for a whole one.
    fn fail(&mut self, out: &mut Vec<u8>, failure: &Failure) {
        out.extend_from_slice(b"data: ");
        out.extend_from_slice(&answer::failure_json(failure));
        out.extend_from_slice(b"\n\n");
        self.state = State::Ended;
    }
}
