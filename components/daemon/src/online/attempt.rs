//! The attempts of one completion that run at the same time.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
    time::Instant,
};

use cyclamengrade_control::traffic::AttemptId;
use cyclamengrade_telemetry::trace::Span;
use cyclamengrade_upstream::{Client, Error, Progress, Stream, StreamRequest, Token, wire};
use tokio::runtime::Handle;

use super::{actor::Dispatch, session::Samples};

type Opening = Pin<Box<dyn Future<Output = Result<Stream, Error>> + Send>>;

enum State {
    Opening(Opening),
    Streaming(Box<Stream>),
}

/// One attempt at one upstream.
pub(super) struct Attempt {
    pub(super) dispatch: Dispatch,
    stream_id: String,
    state: State,
    span: Span,
    /// When the attempt began, or when its last token arrived.
    pub(super) progress: Instant,
    /// Samples of its tokens; absent before the first one.
    pub(super) samples: Option<Samples>,
    /// Times that the attempt was silent since its last token.
    pub(super) silences: u32,
}

impl Attempt {
    /// When the attempt counts as silent.
    ///
    /// After the first time it gets twice as long, to reopen the stream or to answer after all.
    pub(super) fn silent_at(&self) -> Instant {
        self.progress + self.dispatch.silence * (1 + 2 * self.silences.min(1))
    }

    fn poll(
        &mut self,
        cx: &mut Context<'_>,
        tokens: &mut Vec<Token>,
    ) -> Poll<Result<Progress, Error>> {
        loop {
            match &mut self.state {
                State::Opening(opening) => match opening.as_mut().poll(cx) {
                    Poll::Ready(Ok(stream)) => self.state = State::Streaming(Box::new(stream)),
                    Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                    Poll::Pending => return Poll::Pending,
                },
                State::Streaming(stream) => return stream.poll_next(cx, tokens),
            }
        }
    }
}

/// The attempts of one completion.
pub(super) struct Attempts {
    client: Client,
    request: wire::Completion,
    span: Span,
    /// Distinguishes the streams of this process from those of all others.
    scope: u64,
    /// Whether each attempt gets a new connection.
    fresh: bool,
    list: Vec<Attempt>,
}

impl Attempts {
    pub(super) const fn new(
        client: Client,
        request: wire::Completion,
        span: Span,
        scope: u64,
        fresh: bool,
    ) -> Self {
        Self { client, request, span, scope, fresh, list: Vec::new() }
    }

    pub(super) fn list(&self) -> &[Attempt] {
        &self.list
    }

    pub(super) fn get_mut(&mut self, index: usize) -> &mut Attempt {
        &mut self.list[index]
    }

    /// Starts an attempt that goes on after the tokens received so far.
    pub(super) fn start(&mut self, dispatch: Dispatch, version: Option<String>, received: u32) {
        self.request.version = version;
        let stream_id = format!("{:016x}-{:x}", self.scope, dispatch.id.0);
        let mut span = self.span.child("attempt");
        if span.is_sampled() {
            span.set("upstream", dispatch.upstream.clone());
        }
        let state = self.opening(&dispatch, &stream_id, &span, received, self.fresh);
        self.list.push(Attempt {
            dispatch,
            stream_id,
            state,
            span,
            progress: Instant::now(),
            samples: None,
            silences: 0,
        });
    }

    /// Opens the stream of a silent attempt again on a fresh connection and closes the old one.
    pub(super) fn reopen(&mut self, index: usize, received: u32) {
        let attempt = &self.list[index];
        self.client.close_idle(attempt.dispatch.address);
        let state =
            self.opening(&attempt.dispatch, &attempt.stream_id, &attempt.span, received, true);
        self.list[index].state = state;
    }

    fn opening(
        &self,
        dispatch: &Dispatch,
        stream_id: &str,
        span: &Span,
        received: u32,
        fresh: bool,
    ) -> State {
        let client = self.client.clone();
        let address = dispatch.address;
        let body = wire::Completion { resume_from: received, ..self.request.clone() };
        let stream_id = stream_id.to_owned();
        let traceparent = span.traceparent();
        State::Opening(Box::pin(async move {
            let traceparent = traceparent.as_deref();
            client
                .open(
                    address,
                    StreamRequest {
                        stream_id: &stream_id,
                        body,
                        traceparent,
                        new_connection: fresh,
                    },
                )
                .await
        }))
    }

    /// Polls until an attempt makes progress or fails.
    pub(super) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
        tokens: &mut Vec<Token>,
    ) -> Poll<(usize, Result<Progress, Error>)> {
        for (index, attempt) in self.list.iter_mut().enumerate() {
            if let Poll::Ready(result) = attempt.poll(cx, tokens) {
                return Poll::Ready((index, result));
            }
        }
        Poll::Pending
    }

    /// Cancels all attempts but one.
    pub(super) fn keep_only(&mut self, index: usize) {
        let winner = self.list.swap_remove(index);
        self.cancel_all();
        self.list.push(winner);
    }

    /// Cancels one attempt if it still runs.
    pub(super) fn cancel(&mut self, id: AttemptId) {
        if let Some(index) = self.list.iter().position(|attempt| attempt.dispatch.id == id) {
            self.cancel_at(index);
        }
    }

    /// Cancels one attempt and returns it.
    pub(super) fn cancel_at(&mut self, index: usize) -> Attempt {
        let attempt = self.list.swap_remove(index);
        self.stop(&attempt);
        attempt
    }

    /// Cancels all attempts.
    pub(super) fn cancel_all(&mut self) {
        for attempt in std::mem::take(&mut self.list) {
            self.stop(&attempt);
        }
    }

    /// Removes an attempt that has ended by itself.
    pub(super) fn remove(&mut self, index: usize) -> Attempt {
        self.list.swap_remove(index)
    }

    /// Tells the upstream to stop; closing the connection alone may go unnoticed for long.
    fn stop(&self, attempt: &Attempt) {
        // Absent only while the runtime stops, which closes the connections.
        let Ok(runtime) = Handle::try_current() else { return };
        let client = self.client.clone();
        let address = attempt.dispatch.address;
        let stream_id = attempt.stream_id.clone();
        runtime.spawn(async move {
            if let Err(error) = client.cancel(address, &stream_id).await {
                log::debug!("stream {stream_id} cannot be cancelled: {error}");
            }
        });
    }
}

impl Drop for Attempts {
    fn drop(&mut self) {
        self.cancel_all();
    }
}
