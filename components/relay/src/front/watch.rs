//! Watches a connection of a caller for heads that stall or are ambiguous.

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
    net::TcpStream,
    sync::Notify,
    time::{Instant, sleep_until},
};

use crate::shared::lock;

/// Why a connection is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A head took too long.
    Stalled,
    /// A head states the length of its body twice.
    Ambiguous,
}

struct State {
    framing: Framing,
    /// When the current head began, if one has.
    head: Option<Instant>,
    /// Requests that are served.
    serving: usize,
    is_ambiguous: bool,
}

/// What is known of a connection.
pub struct Watch {
    state: Mutex<State>,
    changed: Notify,
}

/// A request that is served, until its answer was sent.
pub struct Serving(Arc<Watch>);

impl Drop for Serving {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.serving -= 1;
        // A head that came behind a request was not read while that was served.
        state.head = state.head.map(|_| Instant::now());
        drop(state);
        self.0.changed.notify_one();
    }
}

impl Watch {
    /// A connection before its first request.
    pub fn new() -> Arc<Self> {
        let state = State { framing: Framing::new(), head: None, serving: 0, is_ambiguous: false };
        Arc::new(Self { state: Mutex::new(state), changed: Notify::new() })
    }

    /// Records that a request is served.
    pub fn serve(self: &Arc<Self>) -> Serving {
        lock(&self.state).serving += 1;
        Serving(self.clone())
    }

    /// Takes over bytes that arrived; returns how many of them can be served.
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
                state.head.get_or_insert_with(Instant::now);
            }
            false => state.head = None,
        }
        let is_notable = state.head.is_some() || state.is_ambiguous;
        drop(state);
        if is_notable {
            self.changed.notify_one();
        }
        usable
    }

    /// Completes when the connection is to be refused and no request on it is served.
    pub async fn fault(&self, head_timeout: Duration) -> Fault {
        loop {
            let (head, is_ambiguous) = {
                let state = lock(&self.state);
                let is_idle = state.serving == 0;
                (state.head.filter(|_| is_idle), state.is_ambiguous && is_idle)
            };
            if is_ambiguous {
                return Fault::Ambiguous;
            }
            let Some(since) = head else {
                self.changed.notified().await;
                continue;
            };
            let due = since + head_timeout;
            if due <= Instant::now() {
                return Fault::Stalled;
            }
            tokio::select! {
                () = sleep_until(due) => {}
                () = self.changed.notified() => {}
            }
        }
    }
}

/// A connection whose bytes are watched.
pub struct Stream {
    inner: TcpStream,
    watch: Arc<Watch>,
}

impl Stream {
    /// Watches a connection.
    pub const fn new(inner: TcpStream, watch: Arc<Watch>) -> Self {
        Self { inner, watch }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if lock(&self.watch.state).is_ambiguous {
            // Nothing more is read; the connection is answered and closed.
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        let arrived = buffer.filled().len() - before;
        let usable = self.watch.push(&buffer.filled()[before..]);
        buffer.set_filled(before + usable);
        // No bytes would mean the end of the connection.
        if usable == 0 && arrived > 0 { Poll::Pending } else { Poll::Ready(Ok(())) }
    }
}

impl AsyncWrite for Stream {
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
