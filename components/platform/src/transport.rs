//! HTTP calls to the platform's services, with connection pooling, timeouts and retries after a
//! rate limit.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Method, Request, StatusCode,
    header::{
        CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderValue, IF_NONE_MATCH,
        TRANSFER_ENCODING,
    },
};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    Error,
    pool::{Connection, Pool},
};

/// Limit on the body of an answer: an object of 8 MiB, the largest that the platform keeps, with a margin.
const MAX_ANSWER_BYTES: usize = 9 << 20;
/// Maximum number of retries of a call that the platform refused because of its rate limit.
const MAX_RATE_LIMIT_RETRIES: u32 = 3;

/// Maximum number of reads of an object until two of them bring the same.
const MAX_OBJECT_READS: u32 = 4;

/// Backoff before the first retry, doubled for each further one.
const INITIAL_RATE_LIMIT_BACKOFF: Duration = Duration::from_millis(50);

/// Transfer rate below which a call may time out. A body extends the timeout by its size divided by
/// this rate, so that large objects have enough time.
const MIN_TRANSFER_BYTES_PER_S: u64 = 16 << 20;

/// Whether a call changes state at the platform. An unconfirmed write has an unknown outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Read,
    Write,
}

impl Effect {
    /// Returns the error of a call that may have reached the service but was not confirmed.
    fn unconfirmed_error(self, cause: impl Into<String>) -> Error {
        match self {
            Self::Read => Error::Unreachable(cause.into()),
            Self::Write => Error::OutcomeUnknown(cause.into()),
        }
    }
}

/// A call, which may be sent several times because of retries.
#[derive(Clone, Debug)]
pub struct Call {
    /// Whether the call writes.
    pub effect: Effect,
    pub method: Method,
    /// Address of the service.
    pub address: SocketAddr,
    /// Path and query.
    pub path: String,
    /// Value of the `If-None-Match` header: an entity tag that the resource must not have, or `*`
    /// if it must not exist.
    pub tag: Option<String>,
    pub body: Bytes,
}

/// An HTTP response with its whole body.
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Whether a length or chunks mark the end of the body. Otherwise it ends with its connection,
    /// which a service that is killed closes as well.
    pub has_marked_end: bool,
}

/// Which connections a call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reuse {
    Any,
    /// A connection does not deliver two equal answers.
    UniqueAnswers,
    /// Each call opens a connection.
    Never,
}

/// Client for calls to the platform's services. Clones share the connections.
///
/// A faulty service may write an answer once more on a connection that is kept, and nothing in an
/// answer names its call. So a connection is kept only after a successful answer, never after a
/// refusal.
#[derive(Clone, Debug)]
pub struct Transport {
    pool: Arc<Pool>,
    reuse: Reuse,
    timeout: Duration,
}

impl Transport {
    /// Creates a transport. `timeout` bounds one call, including its retries after a rate limit;
    /// time for the transfer of a large body is added to it. Connecting may take half of it.
    pub fn new(timeout: Duration) -> Self {
        Self { pool: Arc::default(), reuse: Reuse::Any, timeout }
    }

    /// Returns a transport with the same connections and another timeout.
    pub fn with_timeout(&self, timeout: Duration) -> Self {
        Self { timeout, ..self.clone() }
    }

    /// Takes an answer for a repetition if its connection has delivered the same one before. For
    /// services whose answers bear a version or a time.
    pub fn with_unique_answers(self) -> Self {
        Self { reuse: Reuse::UniqueAnswers, ..self }
    }

    /// Opens a connection for each call. For services whose answers are alike.
    pub fn with_new_connections(self) -> Self {
        Self { reuse: Reuse::Never, ..self }
    }

    /// Makes a call, and retries it with exponential backoff while the service refuses it because
    /// of its rate limit.
    ///
    /// # Errors
    ///
    /// The service was unreachable, did not answer within the timeout, or answered 429 or a status
    /// from 500 on.
    pub async fn call(&self, call: Call) -> Result<Answer, Error> {
        let call = &call;
        let transfer = Duration::from_secs(call.body.len() as u64 / MIN_TRANSFER_BYTES_PER_S);
        let deadline = Instant::now() + self.timeout + transfer;
        let mut backoff = INITIAL_RATE_LIMIT_BACKOFF;
        for _ in 0..MAX_RATE_LIMIT_RETRIES {
            match self.attempt(call, deadline).await {
                Err(Error::RateLimited) if Instant::now() + backoff < deadline => {
                    sleep(backoff).await
                }
                result => return result,
            }
            backoff *= 2;
        }
        self.attempt(call, deadline).await
    }

    /// Reads an object that never changes. It has no syntax that would show a missing part, so that an
    /// answer whose end is not marked counts only when the one before it has the same content.
    ///
    /// # Errors
    ///
    /// A call failed as described for [`Self::call`], or no two successive answers were the same.
    pub async fn read_object(&self, call: Call) -> Result<Answer, Error> {
        let mut previous = None;
        for _ in 0..MAX_OBJECT_READS {
            let answer = self.call(call.clone()).await?;
            if answer.has_marked_end
                || answer.status != StatusCode::OK
                || previous.as_ref() == Some(&answer.body)
            {
                return Ok(answer);
            }
            previous = Some(answer.body);
        }
        Err(Error::Unreachable(format!("{}: {} is cut off", call.address, call.path)))
    }

    /// Sends a call once, or once more on a new connection if it reads and the answer may be a
    /// repetition.
    async fn attempt(&self, call: &Call, deadline: Instant) -> Result<Answer, Error> {
        let mut connection = match self.reuse {
            Reuse::Any | Reuse::UniqueAnswers => self.pool.take(call.address),
            Reuse::Never => None,
        };
        loop {
            let is_kept = connection.is_some();
            let connection = match connection.take() {
                Some(connection) => connection,
                None => self.connect(call.address).await?,
            };
            match self.exchange(call, connection, deadline).await {
                Ok(answer) => return Ok(answer),
                // The service had closed the connection, or the answer may be one to another call.
                Err(Failure::NotSent(_)) if is_kept => {}
                Err(Failure::Repeated) if call.effect == Effect::Read => {}
                Err(failure) => return Err(failure.into_error(call)),
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, Error> {
        let opened = Connection::open(address, self.timeout / 2).await;
        opened.map_err(|cause| Error::Unreachable(format!("{address}: {cause}")))
    }

    /// Makes a call on a connection, and keeps the connection if another call may use it.
    async fn exchange(
        &self,
        call: &Call,
        mut connection: Connection,
        deadline: Instant,
    ) -> Result<Answer, Failure> {
        let request = request(call)?;
        // A connection that has just delivered an answer needs a moment for the next call.
        match timeout_at(deadline, connection.sender.ready()).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return Err(Failure::NotSent(error.to_string())),
            Err(_) => return Err(Failure::NotSent("timed out".into())),
        }
        let sending = connection.sender.try_send_request(request);
        let response = match timeout_at(deadline, sending).await {
            Err(_) => return Err(Failure::Unconfirmed("timed out".into())),
            Ok(Err(mut error)) => {
                let is_sent = error.take_message().is_none();
                let cause = error.into_error().to_string();
                return Err(match is_sent {
                    true => Failure::Unconfirmed(cause),
                    false => Failure::NotSent(cause),
                });
            }
            Ok(Ok(response)) => response,
        };
        let (head, body) = response.into_parts();
        match head.status {
            StatusCode::TOO_MANY_REQUESTS => return Err(Failure::RateLimited),
            StatusCode::SERVICE_UNAVAILABLE => {
                return Err(Failure::Refused(format!("answered {}", head.status)));
            }
            status if status.is_server_error() => {
                return Err(Failure::Unconfirmed(format!("answered {status}")));
            }
            _ => {}
        }
        let limited = Limited::new(body, MAX_ANSWER_BYTES);
        let collected = limited.collect();
        let body = match timeout_at(self.body_deadline(&head.headers, deadline), collected).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(Failure::TooLarge),
            Ok(Err(error)) => return Err(Failure::Unconfirmed(error.to_string())),
            Err(_) => return Err(Failure::Unconfirmed("timed out".into())),
        };
        let is_repeated = connection.record_body(&body);
        if is_repeated && self.reuse == Reuse::UniqueAnswers {
            return Err(Failure::Repeated);
        }
        let is_success = head.status.is_success() || head.status == StatusCode::NOT_MODIFIED;
        if is_success && self.reuse != Reuse::Never && !is_closing(&head.headers) {
            self.pool.keep(connection);
        }
        let has_marked_end = has_marked_end(&head.headers);
        Ok(Answer { status: head.status, headers: head.headers, body, has_marked_end })
    }

    /// Extends the deadline by the time that the transfer of the body of an answer may take.
    fn body_deadline(&self, headers: &HeaderMap, deadline: Instant) -> Instant {
        let length = headers
            .get(CONTENT_LENGTH)
            .and_then(|length| length.to_str().ok()?.parse::<u64>().ok())
            .unwrap_or(0);
        deadline + Duration::from_secs(length / MIN_TRANSFER_BYTES_PER_S)
    }
}

/// Whether a length or chunks mark the end of a body (RFC 9112, section 6.3).
fn has_marked_end(headers: &HeaderMap) -> bool {
    let is_chunked = |value: &HeaderValue| {
        value.to_str().is_ok_and(|codings| {
            codings
                .rsplit(',')
                .next()
                .is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
        })
    };
    match headers.get_all(TRANSFER_ENCODING).iter().next_back() {
        Some(last) => is_chunked(last),
        None => headers.contains_key(CONTENT_LENGTH),
    }
}

/// Why a call on one connection failed.
enum Failure {
    /// The connection was closed before the call was sent.
    NotSent(String),
    /// The service refused the call without any effect.
    Refused(String),
    RateLimited,
    /// The call may have reached the service.
    Unconfirmed(String),
    /// The answer may be one to an earlier call.
    Repeated,
    /// The answer exceeds [`MAX_ANSWER_BYTES`].
    TooLarge,
}

impl Failure {
    fn into_error(self, call: &Call) -> Error {
        let address = call.address;
        match self {
            Self::NotSent(cause) | Self::Refused(cause) => {
                Error::Unreachable(format!("{address}: {cause}"))
            }
            Self::RateLimited => Error::RateLimited,
            Self::Unconfirmed(cause) => {
                call.effect.unconfirmed_error(format!("{address}: {cause}"))
            }
            Self::TooLarge => {
                Error::Protocol(format!("the answer of {address} exceeds {MAX_ANSWER_BYTES} bytes"))
            }
            Self::Repeated => {
                call.effect.unconfirmed_error(format!("{address} repeated an earlier answer"))
            }
        }
    }
}

fn request(call: &Call) -> Result<Request<Full<Bytes>>, Failure> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(HOST, call.address.to_string())
        .header(CONTENT_TYPE, "application/json");
    if let Some(tag) = &call.tag {
        request = request.header(IF_NONE_MATCH, tag);
    }
    request
        .body(Full::new(call.body.clone()))
        .map_err(|error| Failure::NotSent(format!("{}: {error}", call.path)))
}

/// Whether the service closes the connection after this answer.
fn is_closing(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut values = values.filter_map(|value| value.to_str().ok());
    values.any(|value| value.to_ascii_lowercase().contains("close"))
}

impl Answer {
    /// Returns the error of an answer with an unexpected status, with the first 200 bytes of its
    /// body.
    pub fn unexpected(&self) -> Error {
        let body = String::from_utf8_lossy(&self.body[..self.body.len().min(200)]).into_owned();
        let text = format!("unexpected status {}: {body}", self.status);
        // A timeout says nothing of the content of the call.
        match self.status.is_client_error() && self.status != StatusCode::REQUEST_TIMEOUT {
            true => Error::Rejected(text),
            false => Error::Protocol(text),
        }
    }
}

/// Percent-encodes a text for a path or the value of a query parameter. Every byte is encoded
/// except the unreserved characters of RFC 3986, section 2.3, and the slash.
pub fn encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b'/' => {
                encoded.push(char::from(byte));
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
