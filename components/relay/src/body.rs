//! Bodies of the responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use displaydoc::Display;
use hyper::body::{Frame, SizeHint};
use tokio::sync::mpsc;

use crate::memory::{Budget, Reservation};

/// Chunks of a stream that are buffered for a slow caller.
pub const MAX_BUFFERED_CHUNKS: usize = 32;

/// the response stream was truncated before its last event
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct Truncated;

impl std::error::Error for Truncated {}

/// Largest event whose memory is not reserved. Nearly all events are smaller.
pub const MAX_UNRESERVED_BYTES: usize = 1 << 10;
/// Memory for the reserved events of one stream that wait for its caller: two of the largest.
const WAITING_EVENT_BYTES: u64 = 256 << 10;

/// Memory of one event that waits for its caller.
#[derive(Debug)]
pub struct EventMemory {
    _stream: Reservation,
    _all: Reservation,
}

/// Memory for the events of one stream that wait for its caller, so that one slow caller does not hold the
/// memory for the events of all.
#[derive(Debug)]
pub struct EventBudget {
    stream: Budget,
    all: Budget,
}

impl EventBudget {
    /// Creates the budget of a stream within the one of all streams.
    pub fn new(all: Budget) -> Self {
        Self { stream: Budget::new(WAITING_EVENT_BYTES), all }
    }

    /// Returns the chunk of an event, once there is memory for it if it is large.
    pub async fn reserve(&self, event: Bytes) -> Chunk {
        if event.len() <= MAX_UNRESERVED_BYTES {
            return Chunk::Data(event);
        }
        let stream = self.stream.acquire(event.len()).await;
        let all = self.all.acquire(event.len()).await;
        Chunk::Reserved(event, EventMemory { _stream: stream, _all: all })
    }
}

/// What the sender of a streamed body passes on.
#[derive(Debug)]
pub enum Chunk {
    Data(Bytes),
    /// A chunk whose memory is reserved until the caller has taken it.
    Reserved(Bytes, EventMemory),
    /// The body is complete.
    End,
}

pub enum Body {
    /// A body that is sent in one piece; `None` if it is empty or was sent.
    Full(Option<Bytes>),
    /// A body whose chunks are sent as they arrive. A sender that is dropped before [`Chunk::End`]
    /// closes the connection, so that the caller notices that the response is truncated.
    Stream {
        receiver: mpsc::Receiver<Chunk>,
        /// Memory of the chunk that was passed on last. It is being written until the next one is asked
        /// for.
        written: Option<EventMemory>,
    },
}

impl Body {
    /// Creates a body that is sent in one piece.
    pub fn new(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    pub const fn empty() -> Self {
        Self::Full(None)
    }

    /// Creates a body that streams the chunks passed to the returned sender, up to [`Chunk::End`].
    pub fn stream() -> (mpsc::Sender<Chunk>, Self) {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        (sender, Self::Stream { receiver, written: None })
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let body = self.get_mut();
        match body {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream { receiver, written } => {
                *written = None;
                match ready!(receiver.poll_recv(context)) {
                    Some(Chunk::Data(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
                    Some(Chunk::Reserved(data, memory)) => {
                        *written = Some(memory);
                        Poll::Ready(Some(Ok(Frame::data(data))))
                    }
                    Some(Chunk::End) => {
                        *body = Self::Full(None);
                        Poll::Ready(None)
                    }
                    None => Poll::Ready(Some(Err(Truncated))),
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream { .. } => SizeHint::default(),
        }
    }
}
