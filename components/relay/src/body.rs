//! Bodies of answers to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use displaydoc::Display;
use hyper::body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// Chunks of a stream that wait for a slow caller.
const STREAM_CHUNKS: usize = 32;

/// the stream ended before its last event
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct Broken;

impl std::error::Error for Broken {}

/// Body of an answer.
pub enum Body {
    /// All bytes.
    Whole(Option<Bytes>),
    /// Chunks that arrive over time. An error closes the connection, so that the caller sees that
    /// the answer is not whole.
    Stream(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl Body {
    /// A body of all these bytes.
    pub fn new(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// An empty body.
    pub const fn empty() -> Self {
        Self::Whole(None)
    }

    /// A body whose chunks come through the sender.
    pub fn stream() -> (mpsc::Sender<Result<Bytes, Broken>>, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_CHUNKS);
        (sender, Self::Stream(receiver))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(receiver) => {
                receiver.poll_recv(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
