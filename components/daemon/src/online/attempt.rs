//! Concurrent attempts of one completion at different upstreams.

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

type StreamFuture = Pin<Box<dyn Future<Output = Result<Stream, Error>> + Send>>;

enum State {
    /// The request was sent, or waits for a connection.
    Opening(StreamFuture),
    Streaming(Box<Stream>),
}

/// Attempt that runs at one upstream.
pub(super) struct Attempt {
    pub(super) dispatch: Dispatch,
    /// Version of the model that was requested; `None` if any may answer.
    pub(super) version: Option<String>,
    stream_id: String,
    state: State,
    span: Span,
    /// Time at which the attempt started or at which its last token arrived.
    pub(super) last_progress: Instant,
    /// Samples of the tokens of the attempt; `None` before the first token.
    pub(super) samples: Option<Samples>,
    /// Number of silence timeouts since the last token.
    pub(super) silences: u32,
}

impl Attempt {
    /// Returns the time at which the next silence timeout expires.
    ///
    /// The second timeout is twice as long as the first one, so that the reopened stream, or the
    /// original one of a non-idempotent request, has time to make progress.
    pub(super) fn silence_deadline(&self) -> Instant {
        self.last_progress + self.dispatch.silence_timeout * (1 + 2 * self.silences.min(1))
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

/// Attempts of one completion that are in flight. Those that are left when the list is dropped are
/// cancelled.
pub(super) struct Attempts {
    client: Client,
    request: wire::Completion,
    span: Span,
    /// Random number that makes the stream IDs of this process unique among all processes.
    process_nonce: u64,
    /// Whether each attempt opens a new connection.
    new_connections: bool,
    in_flight: Vec<Attempt>,
}

impl Attempts {
    pub(super) const fn new(
        client: Client,
        request: wire::Completion,
        span: Span,
        process_nonce: u64,
        new_connections: bool,
    ) -> Self {
        Self { client, request, span, process_nonce, new_connections, in_flight: Vec::new() }
    }

    pub(super) fn in_flight(&self) -> &[Attempt] {
        &self.in_flight
    }

    pub(super) fn get_mut(&mut self, index: usize) -> &mut Attempt {
        &mut self.in_flight[index]
    }

    /// Starts an attempt whose first token is the one with the index `resume_from`.
    pub(super) fn start(&mut self, dispatch: Dispatch, version: Option<String>, resume_from: u32) {
        let stream_id = format!("{:016x}-{:x}", self.process_nonce, dispatch.id.0);
        let mut span = self.span.child("attempt");
        if span.is_sampled() {
            span.set("upstream", dispatch.upstream.clone());
        }
        let body =
            wire::Completion { version: version.clone(), resume_from, ..self.request.clone() };
        let state = self.open_stream(&dispatch, &stream_id, &span, body, self.new_connections);
        self.in_flight.push(Attempt {
            dispatch,
            version,
            stream_id,
            state,
            span,
            last_progress: Instant::now(),
            samples: None,
            silences: 0,
        });
    }

    /// Opens the stream of a silent attempt again on a new connection, which closes the previous
    /// connection, and closes the idle connections to its upstream.
    pub(super) fn reopen(&mut self, index: usize, resume_from: u32) {
        let attempt = &self.in_flight[index];
        self.client.close_idle(attempt.dispatch.address);
        let version = attempt.version.clone();
        let body = wire::Completion { version, resume_from, ..self.request.clone() };
        let state =
            self.open_stream(&attempt.dispatch, &attempt.stream_id, &attempt.span, body, true);
        self.in_flight[index].state = state;
    }

    fn open_stream(
        &self,
        dispatch: &Dispatch,
        stream_id: &str,
        span: &Span,
        body: wire::Completion,
        new_connection: bool,
    ) -> State {
        let client = self.client.clone();
        let address = dispatch.address;
        let stream_id = stream_id.to_owned();
        let traceparent = span.traceparent();
        State::Opening(Box::pin(async move {
            let traceparent = traceparent.as_deref();
            client
                .open(
                    address,
                    StreamRequest { stream_id: &stream_id, body, traceparent, new_connection },
                )
                .await
        }))
    }

    /// Polls the attempts; ready once one of them makes progress or fails. Its tokens are added to
    /// `tokens`.
    pub(super) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
        tokens: &mut Vec<Token>,
    ) -> Poll<(usize, Result<Progress, Error>)> {
        for (index, attempt) in self.in_flight.iter_mut().enumerate() {
            if let Poll::Ready(result) = attempt.poll(cx, tokens) {
                return Poll::Ready((index, result));
            }
        }
        Poll::Pending
    }

    /// Cancels all attempts but one, which then has the index 0.
    pub(super) fn keep_only(&mut self, index: usize) {
        let kept = self.in_flight.swap_remove(index);
        self.cancel_all();
        self.in_flight.push(kept);
    }

    /// Cancels an attempt if it is still in flight.
    pub(super) fn cancel(&mut self, id: AttemptId) {
        if let Some(index) = self.in_flight.iter().position(|attempt| attempt.dispatch.id == id) {
            self.cancel_at(index);
        }
    }

    /// Cancels the attempt at an index and returns it.
    pub(super) fn cancel_at(&mut self, index: usize) -> Attempt {
        let attempt = self.in_flight.swap_remove(index);
        self.cancel_upstream(&attempt);
        attempt
    }

    pub(super) fn cancel_all(&mut self) {
        for attempt in std::mem::take(&mut self.in_flight) {
            self.cancel_upstream(&attempt);
        }
    }

    /// Removes an attempt that has ended, without cancelling it.
    pub(super) fn remove(&mut self, index: usize) -> Attempt {
        self.in_flight.swap_remove(index)
    }

    /// Asks the upstream to cancel the stream, because it may detect a closed connection only much
    /// later.
    fn cancel_upstream(&self, attempt: &Attempt) {
        // Fails only while the runtime stops, which closes the connections anyway.
        let Ok(runtime) = Handle::try_current() else { return };
        let client = self.client.clone();
        let address = attempt.dispatch.address;
        let stream_id = attempt.stream_id.clone();
        runtime.spawn(async move {
            if let Err(error) = client.cancel(address, &stream_id).await {
                log::debug!("failed to cancel stream {stream_id} at {address}: {error}");
            }
        });
    }
}

impl Drop for Attempts {
    fn drop(&mut self) {
        self.cancel_all();
    }
}
