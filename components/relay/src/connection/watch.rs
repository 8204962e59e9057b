//! Watches a caller's connection for request heads that arrive too slowly or state the length of
//! the body ambiguously.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, ready},
};

use cyclamengrade_control::relay::{framing::Framing, route::Limits};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::{Notify, watch},
    time::{Instant, sleep_until},
};

use crate::{connection::Socket, shared::lock};

/// Why a connection is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A request head did not arrive within the timeout.
    Stalled,
    /// A request head has both a `Content-Length` and a `Transfer-Encoding`.
    Ambiguous,
    /// The caller read nothing of its response within the idle timeout.
    Absent,
}

struct State {
    framing: Framing,
    /// When the head that is arriving began.
    head_started: Option<Instant>,
    /// Number of requests in flight.
    in_flight: usize,
    /// Whether all bytes of the responses so far were written.
    is_flushed: bool,
    /// Since when the caller has read nothing of what waits for it.
    blocked_since: Option<Instant>,
    is_ambiguous: bool,
    /// Whether a response is incomplete whose end nothing but the close of the connection marks.
    is_unmarked: bool,
}

impl State {
    /// Returns the fault of the connection, with the time from which on it is one.
    fn fault(&self, limits: &Limits) -> Option<(Fault, Instant)> {
        if let Some(since) = self.blocked_since {
            return Some((Fault::Absent, since + limits.idle_timeout));
        }
        // An error response may only follow complete responses.
        if self.in_flight > 0 || !self.is_flushed {
            return None;
        }
        match self.is_ambiguous {
            true => Some((Fault::Ambiguous, Instant::now())),
            false => Some((Fault::Stalled, self.head_started? + limits.head_timeout)),
        }
    }

    /// Starts the timeout of the next head, which was not read while the previous request was served.
    fn restart_head_timeout(&mut self) {
        self.head_started = self.head_started.map(|_| Instant::now());
    }
}

/// State of a connection, shared by its [`Stream`] and the requests on it.
pub struct Watch {
    state: Mutex<State>,
    changed: Notify,
    /// Whether there has been a request.
    has_request: watch::Sender<bool>,
}

/// Counts a request as in flight until dropped.
pub struct InFlight(Arc<Watch>);

impl InFlight {
    /// Records that nothing but the close of the connection will mark the end of the response.
    pub fn begin_unmarked(&self) {
        lock(&self.0.state).is_unmarked = true;
    }

    /// Records that the response body is complete.
    pub fn complete(&self) {
        lock(&self.0.state).is_unmarked = false;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.in_flight -= 1;
        state.restart_head_timeout();
        drop(state);
        self.0.changed.notify_one();
    }
}

impl Watch {
    /// Creates the state of a connection before its first request.
    pub fn new() -> Arc<Self> {
        let state = State {
            framing: Framing::new(),
            head_started: None,
            in_flight: 0,
            is_flushed: true,
            blocked_since: None,
            is_ambiguous: false,
            is_unmarked: false,
        };
        let has_request = watch::Sender::new(false);
        Arc::new(Self { state: Mutex::new(state), changed: Notify::new(), has_request })
    }

    /// Waits for the first request on the connection, or returns at once after it.
    pub async fn wait_for_request(&self) {
        // Cannot fail: the sender is a field of `self`.
        let _ = self.has_request.subscribe().wait_for(|has_request| *has_request).await;
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> InFlight {
        let mut state = lock(&self.state);
        state.in_flight += 1;
        state.is_flushed = false;
        drop(state);
        self.has_request.send_replace(true);
        InFlight(self.clone())
    }

    /// Records bytes that arrived. Returns how many of them, from the start, belong to complete
    /// requests before an ambiguous head; all of them if there is none.
    fn push(&self, bytes: &[u8]) -> usize {
        let mut state = lock(&self.state);
        let usable = match state.framing.push(bytes) {
            Ok(()) => bytes.len(),
            Err(ambiguous) => {
                state.is_ambiguous = true;
                ambiguous.0
            }
        };
        match state.framing.is_in_head() {
            true => {
                state.head_started.get_or_insert_with(Instant::now);
            }
            false => state.head_started = None,
        }
        let should_notify = state.head_started.is_some() || state.is_ambiguous;
        drop(state);
        if should_notify {
            self.changed.notify_one();
        }
        usable
    }

    /// Records that hyper has no unwritten bytes. They belong to complete responses only if no request
    /// is in flight.
    fn record_flush(&self) {
        let mut state = lock(&self.state);
        if state.in_flight > 0 || state.is_flushed {
            return;
        }
        state.is_flushed = true;
        state.restart_head_timeout();
        drop(state);
        self.changed.notify_one();
    }

    /// Records whether the caller takes bytes that are written to it.
    fn record_write(&self, is_blocked: bool) {
        let mut state = lock(&self.state);
        state.blocked_since = is_blocked.then(|| state.blocked_since.unwrap_or_else(Instant::now));
        drop(state);
        if is_blocked {
            self.changed.notify_one();
        }
    }

    /// Waits until the connection has to be closed, and returns the reason. A fault of a request waits
    /// until all responses before it were written; a caller that does not read them is closed as
    /// [`Fault::Absent`].
    pub async fn wait_for_fault(&self, limits: &Limits) -> Fault {
        loop {
            let fault = lock(&self.state).fault(limits);
            let Some((fault, since)) = fault else {
                self.changed.notified().await;
                continue;
            };
            if since <= Instant::now() {
                return fault;
            }
            tokio::select! {
                () = sleep_until(since) => {}
                () = self.changed.notified() => {}
            }
        }
    }
}

/// A stream that reports the bytes it reads to a [`Watch`].
pub struct Stream<T> {
    inner: T,
    watch: Arc<Watch>,
    /// Whether closing the connection resets it.
    is_resetting: bool,
}

impl<T> Stream<T> {
    pub const fn new(inner: T, watch: Arc<Watch>) -> Self {
        Self { inner, watch, is_resetting: false }
    }
}

impl<T: Socket> Stream<T> {
    /// Lets the close of the connection reset it, also if the process is killed, before the first bytes
    /// of a response are written whose end nothing else marks.
    fn begin_write(&mut self) {
        if lock(&self.watch.state).is_unmarked {
            self.set_reset(true);
        }
    }

    fn set_reset(&mut self, is_resetting: bool) {
        if is_resetting != self.is_resetting {
            self.is_resetting = is_resetting;
            self.inner.reset_on_close(is_resetting);
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Stream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if lock(&self.watch.state).is_ambiguous {
            // No more bytes are read, since the connection is about to be refused.
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        let arrived = buffer.filled().len() - before;
        let usable = self.watch.push(&buffer.filled()[before..]);
        buffer.set_filled(before + usable);
        // `Ready` without any bytes would signal the end of the stream.
        if usable == 0 && arrived > 0 { Poll::Pending } else { Poll::Ready(Ok(())) }
    }
}

impl<T: Socket> AsyncWrite for Stream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin_write();
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.watch.record_write(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_flush(context))?;
        // hyper flushes its transport only when its own buffer is empty.
        self.watch.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if lock(&self.watch.state).is_unmarked {
            // An orderly close would mark the response as complete.
            return Poll::Ready(Ok(()));
        }
        self.set_reset(false);
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_write();
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.watch.record_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
