//! HTTP calls to the platform's services.

use std::{error::Error as _, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, StatusCode,
    header::{CONTENT_TYPE, IF_NONE_MATCH},
};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tokio::time::{Instant, sleep, timeout_at};

use crate::Error;

/// Idle connections kept for each of the three services.
const IDLE_CONNECTIONS: usize = 16;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Repetitions of a call that the platform refused because of its rate limit.
const LIMITED_RETRIES: u32 = 3;

/// Pause before the first repetition; doubled for each further one.
const LIMITED_PAUSE: Duration = Duration::from_millis(50);

/// Slowest transfer that is waited for: large objects extend the timeout by their size.
const MIN_BYTES_PER_S: u64 = 16 << 20;

/// Whether a call changes something at the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It changes nothing.
    Read,
    /// It writes.
    Write,
}

impl Effect {
    /// The error of a call whose reply did not arrive after the connection was made.
    fn without_reply(self, cause: impl Into<String>) -> Error {
        match self {
            Self::Read => Error::Unreachable(cause.into()),
            Self::Write => Error::Unknown(cause.into()),
        }
    }
}

/// One call, which may be sent several times.
pub struct Call {
    /// Whether it writes.
    pub effect: Effect,
    /// Method.
    pub method: Method,
    /// Address of the service.
    pub address: SocketAddr,
    /// Path and query.
    pub path: String,
    /// Entity tag that the resource must not have.
    pub tag: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// Status, headers and body of an answer.
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Connections to the platform's services.
#[derive(Clone, Debug)]
pub struct Transport {
    pool: Pool<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Transport {
    /// A transport whose calls take at most `timeout`, their repetitions included.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout / 2));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .build(connector);
        Self { pool, timeout }
    }

    /// The same connections with another timeout.
    pub fn with_timeout(&self, timeout: Duration) -> Self {
        Self { pool: self.pool.clone(), timeout }
    }

    /// Makes a call and repeats it after a rate limit.
    ///
    /// # Errors
    ///
    /// The service gave no usable answer within the timeout.
    pub async fn call(&self, call: Call) -> Result<Answer, Error> {
        let call = &call;
        let transfer = Duration::from_secs(call.body.len() as u64 / MIN_BYTES_PER_S);
        let deadline = Instant::now() + self.timeout + transfer;
        let mut pause = LIMITED_PAUSE;
        for _ in 0..LIMITED_RETRIES {
            match self.attempt(call, deadline).await {
                Err(Error::Limited) if Instant::now() + pause < deadline => sleep(pause).await,
                result => return result,
            }
            pause *= 2;
        }
        self.attempt(call, deadline).await
    }

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
            Err(_) => return Err(call.effect.without_reply(format!("{address} timed out"))),
            Ok(Err(error)) => {
                let cause = error.source().map_or_else(|| error.to_string(), ToString::to_string);
                let cause = format!("{address}: {cause}");
                return Err(match error.is_connect() {
                    true => Error::Unreachable(cause),
                    false => call.effect.without_reply(cause),
                });
            }
            Ok(Ok(response)) => response,
        };
        let (head, body) = response.into_parts();
        match head.status {
            StatusCode::TOO_MANY_REQUESTS => return Err(Error::Limited),
            StatusCode::SERVICE_UNAVAILABLE => {
                return Err(Error::Unreachable(format!("{address} is out of service")));
            }
            status if status.is_server_error() => {
                return Err(call.effect.without_reply(format!("{address} answered {status}")));
            }
            _ => {}
        }
        match timeout_at(self.body_deadline(&head.headers, deadline), body.collect()).await {
            Ok(Ok(body)) => {
                Ok(Answer { status: head.status, headers: head.headers, body: body.to_bytes() })
            }
            Ok(Err(error)) => Err(call.effect.without_reply(format!("{address}: {error}"))),
            Err(_) => Err(call.effect.without_reply(format!("{address} timed out"))),
        }
    }

    fn body_deadline(&self, headers: &HeaderMap, deadline: Instant) -> Instant {
        let length = headers
            .get(hyper::header::CONTENT_LENGTH)
            .and_then(|length| length.to_str().ok()?.parse::<u64>().ok())
            .unwrap_or(0);
        deadline + Duration::from_secs(length / MIN_BYTES_PER_S)
    }
}

impl Answer {
    /// The error of an answer with an unexpected status.
    pub fn unexpected(&self) -> Error {
        let body = String::from_utf8_lossy(&self.body[..self.body.len().min(200)]).into_owned();
        Error::Protocol(format!("status {}: {body}", self.status))
    }
}

/// Text for a path or the value of a query; every byte outside the unreserved set and the slash is
/// percent-encoded (RFC 3986, section 2).
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
