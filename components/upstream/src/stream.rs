//! Reads a streamed completion token by token.

use std::{
    future::poll_fn,
    net::SocketAddr,
    task::{Context, Poll},
    time::Duration,
};

use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    Error, Execution, Token,
    event::Decoder,
    pool::{PooledConnection, connection_error},
};

/// Maximum wait for the end of the body after the last chunk; then the connection is closed instead
/// of being reused.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(200);

/// Result of reading from a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Tokens were added, and the completion has not ended.
    Tokens,
    /// The completion has ended; its last tokens may have been added.
    End {
        /// `stop` if the model ended the text, `length` if it reached `max_tokens`.
        finish_reason: String,
    },
}

/// A streamed completion. Dropping it before its end closes the connection.
pub struct Stream {
    address: SocketAddr,
    /// Absent once the body has ended or failed.
    open: Option<(PooledConnection, Incoming)>,
    decoder: Decoder,
}

impl Stream {
    pub(crate) fn new(body: Incoming, connection: PooledConnection, resume_from: u32) -> Self {
        Self {
            address: connection.address(),
            open: Some((connection, body)),
            decoder: Decoder::new(resume_from),
        }
    }

    /// Returns the position of the next token in the completion, from 0.
    pub const fn position(&self) -> u32 {
        self.decoder.next_index()
    }

    /// Waits for the next tokens and appends all that are ready to `tokens`.
    ///
    /// The tokens are in order and without gaps. A body that ends before the last chunk is an
    /// error, so a truncated completion is never taken for a complete one. Tokens may have been
    /// appended even when an error is returned.
    pub async fn next(&mut self, tokens: &mut Vec<Token>) -> Result<Progress, Error> {
        poll_fn(|cx| self.poll_next(cx, tokens)).await
    }

    /// Polls for the next tokens like [`Stream::next`], for callers that poll several streams.
    pub fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
        tokens: &mut Vec<Token>,
    ) -> Poll<Result<Progress, Error>> {
        let before = tokens.len();
        loop {
            if let Some(finish_reason) = self.decoder.finish_reason() {
                let finish_reason = finish_reason.to_owned();
                self.release_connection(cx);
                return Poll::Ready(Ok(Progress::End { finish_reason }));
            }
            let Some((connection, body)) = &mut self.open else {
                return Poll::Ready(Err(self.truncated()));
            };
            match connection.poll_frame(cx, body) {
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
                    return Poll::Ready(Err(connection_error(
                        self.address,
                        &cause,
                        Execution::Started,
                    )));
                }
                Poll::Ready(None) => {
                    self.close();
                    return Poll::Ready(Err(self.truncated()));
                }
            }
        }
    }

    fn truncated(&self) -> Error {
        Error::Broken {
            address: self.address.to_string(),
            cause: "the response ended before the last chunk of the completion".to_owned(),
            execution: Execution::Started,
        }
    }

    fn close(&mut self) {
        self.open = None;
    }

    /// Returns the connection to the pool once the rest of the body has been read, if necessary in
    /// a background task.
    fn release_connection(&mut self, cx: &mut Context<'_>) {
        let Some((mut connection, mut body)) = self.open.take() else { return };
        if let Poll::Ready(None) = connection.poll_frame(cx, &mut body) {
            connection.release();
            return;
        }
        tokio::spawn(async move {
            let body_end = poll_fn(|cx| {
                loop {
                    match connection.poll_frame(cx, &mut body) {
                        Poll::Ready(Some(Ok(_))) => {}
                        Poll::Ready(Some(Err(_))) => return Poll::Ready(false),
                        Poll::Ready(None) => return Poll::Ready(true),
                        Poll::Pending => return Poll::Pending,
                    }
                }
            });
            if timeout(BODY_END_TIMEOUT, body_end).await == Ok(true) {
                connection.release();
            }
        });
    }
}
