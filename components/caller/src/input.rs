//! Checks of a request's headers and body.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use cyclamengrade_telemetry::trace::Span;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap,
    body::{Body, Incoming},
    header::{AUTHORIZATION, HeaderName},
};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::{Failure, Kind, backend::Backend};

/// Longest wait for the next part of a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest idempotency key, in bytes.
const KEY_BYTES: usize = 256;
/// When a caller may come back after the memory for batch input was full.
const BATCH_MEMORY_RETRY: Duration = Duration::from_secs(5);

/// A malformed request.
pub(crate) fn invalid(message: impl Into<String>) -> Failure {
    Failure::not_run(Kind::Invalid, message)
}

/// Headers that several routes share.
#[derive(Debug)]
pub(crate) struct Common {
    pub(crate) client: String,
    pub(crate) deadline: Option<Duration>,
    pub(crate) idempotent: Option<bool>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) traceparent: Option<String>,
}

impl Common {
    /// Checks the bearer token and reads the headers.
    pub(crate) fn read(
        headers: &HeaderMap,
        backend: &dyn Backend,
        span: &Span,
    ) -> Result<Self, Failure> {
        Ok(Self {
            client: client(headers, backend)?,
            deadline: deadline(headers)?,
            idempotent: idempotent(headers)?,
            idempotency_key: idempotency_key(headers)?,
            traceparent: span.traceparent(),
        })
    }
}

/// The trace context of the caller; a malformed one does not fail the request.
pub(crate) fn traceparent(headers: &HeaderMap) -> Option<&str> {
    text(headers, "traceparent").ok().flatten()
}

fn unauthorized(message: &str) -> Failure {
    Failure::not_run(Kind::Unauthorized, message)
}

/// The client that the bearer token names.
pub(crate) fn client(headers: &HeaderMap, backend: &dyn Backend) -> Result<String, Failure> {
    let token = bearer(headers)?;
    backend.client(token).ok_or_else(|| unauthorized("the bearer token belongs to no client"))
}

/// The bearer token.
pub(crate) fn bearer(headers: &HeaderMap) -> Result<&str, Failure> {
    let value = headers
        .get(AUTHORIZATION)
        .ok_or_else(|| unauthorized("the header Authorization is missing; send a bearer token"))?;
    value
        .to_str()
        .ok()
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, token)| token.trim())
        .ok_or_else(|| unauthorized("the header Authorization is not `Bearer <token>`"))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Failure> {
    let Some(value) = text(headers, "x-deadline-ms")? else { return Ok(None) };
    match value.parse() {
        Ok(0) => Err(Failure::not_run(Kind::Expired, "the deadline has passed")),
        Ok(ms) => Ok(Some(Duration::from_millis(ms))),
        Err(_) => Err(invalid("the header X-Deadline-Ms is not a number of milliseconds")),
    }
}

fn idempotent(headers: &HeaderMap) -> Result<Option<bool>, Failure> {
    match text(headers, "x-idempotent")? {
        None => Ok(None),
        Some(value) if value.eq_ignore_ascii_case("true") => Ok(Some(true)),
        Some(value) if value.eq_ignore_ascii_case("false") => Ok(Some(false)),
        Some(_) => Err(invalid("the header X-Idempotent is neither `true` nor `false`")),
    }
}

/// The key in the header `Idempotency-Key`.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Failure> {
    match text(headers, "idempotency-key")? {
        None => Ok(None),
        Some(key) if key.is_empty() || key.len() > KEY_BYTES => {
            Err(invalid(format!("the header Idempotency-Key has not 1 to {KEY_BYTES} bytes")))
        }
        Some(key) => Ok(Some(key.to_owned())),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Failure> {
    let mut values = headers.get_all(HeaderName::from_static(name)).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(invalid(format!("the header {name} occurs more than once")));
    }
    let value =
        value.to_str().map_err(|_| invalid(format!("the header {name} is not printable ASCII")))?;
    Ok(Some(value.trim()))
}

/// Reads a body of bounded size.
pub(crate) async fn body(body: Incoming, limit: usize) -> Result<Bytes, Failure> {
    collect(body, limit, |_| Ok(())).await
}

/// Memory that the bodies of batch jobs may take together.
pub(crate) struct Memory {
    free: AtomicUsize,
}

/// A part of the memory, given back when dropped.
pub(crate) struct Share {
    memory: Arc<Memory>,
    bytes: usize,
}

impl Memory {
    pub(crate) const fn new(bytes: usize) -> Self {
        Self { free: AtomicUsize::new(bytes) }
    }

    fn take(&self, bytes: usize) -> Result<(), Failure> {
        self.free
            .try_update(Ordering::Relaxed, Ordering::Relaxed, |free| free.checked_sub(bytes))
            .map(|_| ())
            .map_err(|_| {
                let message = "too much batch input is being accepted at the moment";
                Failure::not_run(Kind::Overloaded, message).with_retry_after(BATCH_MEMORY_RETRY)
            })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.memory.free.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// Reads the body of a batch job, within the memory that such bodies share.
pub(crate) async fn batch_body(
    body: Incoming,
    limit: usize,
    memory: &Arc<Memory>,
) -> Result<(Bytes, Share), Failure> {
    let mut share = Share { memory: Arc::clone(memory), bytes: 0 };
    let body = collect(body, limit, |bytes| {
        share.memory.take(bytes)?;
        share.bytes += bytes;
        Ok(())
    })
    .await?;
    Ok((body, share))
}

async fn collect(
    mut body: Incoming,
    limit: usize,
    mut account: impl FnMut(usize) -> Result<(), Failure>,
) -> Result<Bytes, Failure> {
    let too_large = || Failure::not_run(Kind::TooLarge, format!("the body exceeds {limit} bytes"));
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    loop {
        let frame = timeout(BODY_TIMEOUT, body.frame()).await.map_err(|_| {
            invalid(format!("no part of the body arrived for {} s", BODY_TIMEOUT.as_secs()))
        })?;
        let data = match frame {
            None => break,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(error)) => return Err(invalid(format!("the body was cut off: {error}"))),
        };
        if first.len() + rest.len() + data.len() > limit {
            return Err(too_large());
        }
        account(data.len())?;
        // A body in one part is passed on without a copy.
        if first.is_empty() && rest.is_empty() {
            first = data;
        } else {
            if rest.is_empty() {
                rest.extend_from_slice(&std::mem::take(&mut first));
            }
            rest.extend_from_slice(&data);
        }
    }
    Ok(if rest.is_empty() { first } else { rest.freeze() })
}

/// Parses a JSON body.
pub(crate) fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    let text = std::str::from_utf8(body)
        .map_err(|error| invalid(format!("the body is not valid UTF-8: {error}")))?;
    serde_json::from_str(text)
        .map_err(|error| invalid(format!("the body is not the expected JSON: {error}")))
}

/// The value of a parameter in a query, decoded.
pub(crate) fn query(query: Option<&str>, name: &str) -> Result<Option<String>, Failure> {
    for pair in query.unwrap_or_default().split('&') {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        if key == name {
            return percent_decoded(value).map(Some);
        }
    }
    Ok(None)
}

/// Decodes percent escapes.
pub(crate) fn percent_decoded(text: &str) -> Result<String, Failure> {
    let malformed = || invalid(format!("`{text}` is not a valid percent-encoded text"));
    let mut bytes = text.bytes();
    let mut decoded = Vec::with_capacity(text.len());
    while let Some(byte) = bytes.next() {
        decoded.push(if byte == b'%' {
            let digit = |byte: Option<u8>| char::from(byte?).to_digit(16);
            let (high, low) = (digit(bytes.next()), digit(bytes.next()));
            let value = high.zip(low).map(|(high, low)| high * 16 + low).ok_or_else(malformed)?;
            u8::try_from(value).map_err(|_| malformed())?
        } else {
            byte
        });
    }
    String::from_utf8(decoded).map_err(|_| malformed())
}
