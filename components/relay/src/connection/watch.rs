//! Watches a caller's connection for request heads that arrive too slowly or state the length of
//! the body ambiguously.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, ready},
    time::Duration,
};

use cyclamengrade_control::relay::framing::Framing;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::Notify,
    time::{Instant, sleep_until},
};

use crate::shared::lock;

/// Why a connection is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A request head did not arrive within the timeout.
    Stalled,
    /// A request head has both a `Content-Length` and a `Transfer-Encoding`.
    Ambiguous,
}

struct State {
    framing: Framing,
    /// When the head that is arriving began.
    head_started: Option<Instant>,
    /// Number of requests in flight.
    in_flight: usize,
    is_ambiguous: bool,
}

/// State of a connection, shared by its [`Stream`] and the requests on it.
pub struct Watch {
    state: Mutex<State>,
    changed: Notify,
}

/// Counts a request as in flight until dropped.
pub struct InFlight(Arc<Watch>);

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.in_flight -= 1;
        // The head of a pipelined request was not read while the previous request was in flight, so
        // its timeout begins only now.
        state.head_started = state.head_started.map(|_| Instant::now());
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
            is_ambiguous: false,
        };
        Arc::new(Self { state: Mutex::new(state), changed: Notify::new() })
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> InFlight {
        lock(&self.state).in_flight += 1;
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

    /// Waits until the connection has to be refused and no request on it is in flight, and returns
    /// the reason.
    pub async fn wait_for_fault(&self, head_timeout: Duration) -> Fault {
        loop {
            let (head_started, is_ambiguous) = {
                let state = lock(&self.state);
                let is_idle = state.in_flight == 0;
                (state.head_started.filter(|_| is_idle), state.is_ambiguous && is_idle)
            };
            if is_ambiguous {
                return Fault::Ambiguous;
            }
            let Some(started) = head_started else {
                self.changed.notified().await;
                continue;
            };
            let deadline = started + head_timeout;
            if deadline <= Instant::now() {
                return Fault::Stalled;
            }
            tokio::select! {
                () = sleep_until(deadline) => {}
                () = self.changed.notified() => {}
            }
        }
    }
}

/// A stream that reports the bytes it reads to a [`Watch`].
pub struct Stream<T> {
    inner: T,
    watch: Arc<Watch>,
}

impl<T> Stream<T> {
    pub const fn new(inner: T, watch: Arc<Watch>) -> Self {
        Self { inner, watch }
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

impl<T: AsyncWrite + Unpin> AsyncWrite for Stream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
