//! Bodies of the responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use displaydoc::Display;
use hyper::body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// Chunks of a stream that are buffered for a slow caller.
pub const MAX_BUFFERED_CHUNKS: usize = 32;

/// the response stream was truncated before its last event
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct Truncated;

impl std::error::Error for Truncated {}

/// What the sender of a streamed body passes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Chunk {
    Data(Bytes),
    /// The body is complete.
    End,
}

pub enum Body {
    /// A body that is sent in one piece; `None` if it is empty or was sent.
    Full(Option<Bytes>),
    /// A body whose chunks are sent as they arrive. A sender that is dropped before [`Chunk::End`]
    /// closes the connection, so that the caller notices that the response is truncated.
    Stream(mpsc::Receiver<Chunk>),
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
        (sender, Self::Stream(receiver))
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
            Self::Stream(receiver) => match ready!(receiver.poll_recv(context)) {
                Some(Chunk::Data(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
                Some(Chunk::End) => {
                    *body = Self::Full(None);
                    Poll::Ready(None)
                }
                None => Poll::Ready(Some(Err(Truncated))),
            },
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
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
