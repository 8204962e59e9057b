//! A streamed completion.

use std::{
    future::poll_fn,
    net::SocketAddr,
    task::{Context, Poll},
    time::Duration,
};

use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    Error, Ran, Token,
    event::Decoder,
    pool::{Lease, broken},
};

/// Longest wait for the end of the body after the last chunk.
const REST_TIMEOUT: Duration = Duration::from_millis(200);

/// What a read of a stream brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Tokens were added.
    Tokens,
    /// The answer is whole; tokens may have been added.
    End {
        /// `stop` or `length`.
        finish_reason: String,
    },
}

/// A streamed completion; dropping it before its end closes the connection.
pub struct Stream {
    address: SocketAddr,
    /// Absent once the body has ended or failed.
    open: Option<(Lease, Incoming)>,
    decoder: Decoder,
}

impl Stream {
    pub(crate) fn new(body: Incoming, lease: Lease, resume_from: u32) -> Self {
        Self {
            address: lease.address(),
            open: Some((lease, body)),
            decoder: Decoder::new(resume_from),
        }
    }

    /// Position of the next token.
    pub const fn position(&self) -> u32 {
        self.decoder.next()
    }

    /// Waits for the next tokens and adds all that are ready to `tokens`.
    ///
    /// The tokens are in order and without gaps. A body that ends before the last chunk is an
    /// error, so an answer that was cut off is never taken for a whole one. Tokens may have been
    /// added also when an error is returned.
    pub async fn next(&mut self, tokens: &mut Vec<Token>) -> Result<Progress, Error> {
        poll_fn(|cx| self.poll_next(cx, tokens)).await
    }

    /// Like `next`, for callers that poll several streams.
    pub fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
        tokens: &mut Vec<Token>,
    ) -> Poll<Result<Progress, Error>> {
        let before = tokens.len();
        loop {
            if let Some(finish_reason) = self.decoder.finish_reason() {
                let finish_reason = finish_reason.to_owned();
                self.finish(cx);
                return Poll::Ready(Ok(Progress::End { finish_reason }));
            }
            let Some((lease, body)) = &mut self.open else {
                return Poll::Ready(Err(self.cut_off()));
            };
            match lease.poll_frame(cx, body) {
                Poll::Pending if tokens.len() > before => return Poll::Ready(Ok(Progress::Tokens)),
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => {
                    let Some(data) = frame.data_ref() else { continue };
                    if let Err(cause) = self.decoder.push(data, tokens) {
                        self.close();
                        return Poll::Ready(Err(Error::Protocol {
                            address: self.address.to_string(),
                            cause,
                        }));
                    }
                }
                Poll::Ready(Some(Err(cause))) => {
                    self.close();
                    return Poll::Ready(Err(broken(self.address, &cause, Ran::Yes)));
                }
                Poll::Ready(None) => {
                    self.close();
                    return Poll::Ready(Err(self.cut_off()));
                }
            }
        }
    }

    fn cut_off(&self) -> Error {
        Error::Broken {
            address: self.address.to_string(),
            cause: "the answer ended before its last chunk".to_owned(),
            ran: Ran::Yes,
        }
    }

    fn close(&mut self) {
        self.open = None;
    }

    /// Returns the connection to the pool once the rest of the body has been read.
    fn finish(&mut self, cx: &mut Context<'_>) {
        let Some((mut lease, mut body)) = self.open.take() else { return };
        if let Poll::Ready(None) = lease.poll_frame(cx, &mut body) {
            lease.give_back();
            return;
        }
        tokio::spawn(async move {
            let rest = poll_fn(|cx| {
                loop {
                    match lease.poll_frame(cx, &mut body) {
                        Poll::Ready(Some(Ok(_))) => {}
                        Poll::Ready(Some(Err(_))) => return Poll::Ready(false),
                        Poll::Ready(None) => return Poll::Ready(true),
                        Poll::Pending => return Poll::Pending,
                    }
                }
            });
            if timeout(REST_TIMEOUT, rest).await == Ok(true) {
                lease.give_back();
            }
        });
    }
}
