//! HTTP calls to the platform's services, with connection pooling, timeouts and retries after a
//! rate limit.

use std::{error::Error as _, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Method, Request, StatusCode,
    header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, IF_NONE_MATCH, TRANSFER_ENCODING},
};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tokio::time::{Instant, sleep, timeout_at};

use crate::Error;

/// Limit on the body of an answer: an object of 8 MiB, the largest that the platform keeps, with a margin.
const MAX_ANSWER_BYTES: usize = 9 << 20;
/// Maximum number of idle connections that are kept for each service.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

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

/// Connection pool for calls to the platform's services. Clones share the connections.
#[derive(Clone, Debug)]
pub struct Transport {
    pool: Pool<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Transport {
    /// Creates a transport. `timeout` bounds one call, including its retries after a rate limit;
    /// time for the transfer of a large body is added to it. Connecting may take half of it.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout / 2));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        Self { pool, timeout }
    }

    /// Returns a transport with the same connections and another timeout.
    pub fn with_timeout(&self, timeout: Duration) -> Self {
        Self { pool: self.pool.clone(), timeout }
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

    /// Sends a call once.
    async fn attempt(&self, call: &Call, deadline: Instant) -> Result<Answer, Error> {
        let address = call.address;
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{address}{}", call.path))
            .header(CONTENT_TYPE, "application/json");
        if let Some(tag) = &call.tag {
            request = request.header(IF_NONE_MATCH, tag);
        }
        let request = request
            .body(Full::new(call.body.clone()))
            .map_err(|error| Error::Unreachable(format!("{}: {error}", call.path)))?;
        let response = match timeout_at(deadline, self.pool.request(request)).await {
            Err(_) => return Err(call.effect.unconfirmed_error(format!("{address} timed out"))),
            Ok(Err(error)) => {
                let cause = error.source().map_or_else(|| error.to_string(), ToString::to_string);
                let cause = format!("{address}: {cause}");
                return Err(match error.is_connect() {
                    true => Error::Unreachable(cause),
                    false => call.effect.unconfirmed_error(cause),
                });
            }
            Ok(Ok(response)) => response,
        };
        let (head, body) = response.into_parts();
        match head.status {
            StatusCode::TOO_MANY_REQUESTS => return Err(Error::RateLimited),
            StatusCode::SERVICE_UNAVAILABLE => {
                return Err(Error::Unreachable(format!("{address} answered {}", head.status)));
            }
            status if status.is_server_error() => {
                return Err(call.effect.unconfirmed_error(format!("{address} answered {status}")));
            }
            _ => {}
        }
        let limited = Limited::new(body, MAX_ANSWER_BYTES);
        match timeout_at(self.body_deadline(&head.headers, deadline), limited.collect()).await {
            Ok(Ok(body)) => {
                let has_marked_end = has_marked_end(&head.headers);
                let (status, headers, body) = (head.status, head.headers, body.to_bytes());
                Ok(Answer { status, headers, body, has_marked_end })
            }
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Error::Protocol(format!(
                "the answer of {address} exceeds {MAX_ANSWER_BYTES} bytes"
            ))),
            Ok(Err(error)) => Err(call.effect.unconfirmed_error(format!("{address}: {error}"))),
            Err(_) => Err(call.effect.unconfirmed_error(format!("{address} timed out"))),
        }
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

impl Answer {
    /// Returns the error of an answer with an unexpected status, with the first 200 bytes of its
    /// body.
    pub fn unexpected(&self) -> Error {
        let body = String::from_utf8_lossy(&self.body[..self.body.len().min(200)]).into_owned();
        Error::Protocol(format!("unexpected status {}: {body}", self.status))
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
