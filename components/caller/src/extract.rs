//! Extracts and checks the headers, the query and the body of a request.

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

/// Maximum wait for the next frame of a request body.
const BODY_FRAME_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
/// Time after which a caller may retry if the memory for batch input was full.
const BATCH_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Creates the failure of a malformed request.
pub(crate) fn invalid(message: impl Into<String>) -> Failure {
    Failure::not_run(Kind::Invalid, message)
}

/// Headers that completions and service calls have in common.
#[derive(Debug)]
pub(crate) struct CommonHeaders {
    pub(crate) client: String,
    pub(crate) deadline: Option<Duration>,
    pub(crate) idempotent: Option<bool>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) traceparent: Option<String>,
}

impl CommonHeaders {
    /// Checks the bearer token and parses the headers. The trace context is that of `span`.
    pub(crate) fn parse(
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

/// Returns the header `traceparent`. A malformed one is ignored and does not fail the request.
pub(crate) fn traceparent(headers: &HeaderMap) -> Option<&str> {
    single_header(headers, "traceparent").ok().flatten()
}

fn unauthorized(message: &str) -> Failure {
    Failure::not_run(Kind::Unauthorized, message)
}

/// Returns the name of the client to which the bearer token belongs.
pub(crate) fn client(headers: &HeaderMap, backend: &dyn Backend) -> Result<String, Failure> {
    let token = bearer_token(headers)?;
    backend.client(token).ok_or_else(|| unauthorized("the bearer token belongs to no client"))
}

pub(crate) fn bearer_token(headers: &HeaderMap) -> Result<&str, Failure> {
    let value = headers
        .get(AUTHORIZATION)
        .ok_or_else(|| unauthorized("the header Authorization is missing; send a bearer token"))?;
    value
        .to_str()
        .ok()
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, token)| token.trim())
        .ok_or_else(|| unauthorized("the header Authorization must be `Bearer <token>`"))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Failure> {
    let Some(value) = single_header(headers, "x-deadline-ms")? else { return Ok(None) };
    match value.parse() {
        Ok(0) => Err(Failure::not_run(Kind::Expired, "the deadline has passed")),
        Ok(ms) => Ok(Some(Duration::from_millis(ms))),
        Err(_) => Err(invalid("the header X-Deadline-Ms must be a whole number of milliseconds")),
    }
}

fn idempotent(headers: &HeaderMap) -> Result<Option<bool>, Failure> {
    match single_header(headers, "x-idempotent")? {
        None => Ok(None),
        Some(value) if value.eq_ignore_ascii_case("true") => Ok(Some(true)),
        Some(value) if value.eq_ignore_ascii_case("false") => Ok(Some(false)),
        Some(_) => Err(invalid("the header X-Idempotent must be `true` or `false`")),
    }
}

/// Returns the header `Idempotency-Key`; an empty or too long key is a failure.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Failure> {
    match single_header(headers, "idempotency-key")? {
        None => Ok(None),
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => Err(invalid(
            format!("the header Idempotency-Key must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes"),
        )),
        Some(key) => Ok(Some(key.to_owned())),
    }
}

/// Returns the trimmed value of a header that may occur at most once.
fn single_header<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, Failure> {
    let mut values = headers.get_all(HeaderName::from_static(name)).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(invalid(format!("the header {name} must not occur more than once")));
    }
    let value = value
        .to_str()
        .map_err(|_| invalid(format!("the header {name} must be printable ASCII")))?;
    Ok(Some(value.trim()))
}

/// Reads a body of at most `limit` bytes.
pub(crate) async fn body(body: Incoming, limit: usize) -> Result<Bytes, Failure> {
    read_body(body, limit, |_| Ok(())).await
}

/// Limit on the memory of all batch job bodies that are being accepted.
pub(crate) struct MemoryBudget {
    free_bytes: AtomicUsize,
}

/// Memory reserved for one body; dropping it returns the memory to the budget.
pub(crate) struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    pub(crate) const fn new(bytes: usize) -> Self {
        Self { free_bytes: AtomicUsize::new(bytes) }
    }

    /// Takes bytes from the budget, or fails if fewer are free.
    fn reserve(&self, bytes: usize) -> Result<(), Failure> {
        self.free_bytes
            .try_update(Ordering::Relaxed, Ordering::Relaxed, |free| free.checked_sub(bytes))
            .map(|_| ())
            .map_err(|_| {
                let message = "the memory for batch input is full; try again later";
                Failure::not_run(Kind::Overloaded, message)
                    .with_retry_after(BATCH_MEMORY_RETRY_AFTER)
            })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.free_bytes.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// Reads the body of a batch job within the memory budget.
///
/// The memory counts as used until the returned reservation is dropped.
pub(crate) async fn batch_body(
    body: Incoming,
    limit: usize,
    budget: &Arc<MemoryBudget>,
) -> Result<(Bytes, MemoryReservation), Failure> {
    let mut reservation = MemoryReservation { budget: Arc::clone(budget), bytes: 0 };
    let body = read_body(body, limit, |bytes| {
        reservation.budget.reserve(bytes)?;
        reservation.bytes += bytes;
        Ok(())
    })
    .await?;
    Ok((body, reservation))
}

/// Reads a body of at most `limit` bytes and calls `reserve` with the size of each frame before it
/// is stored.
async fn read_body(
    mut body: Incoming,
    limit: usize,
    mut reserve: impl FnMut(usize) -> Result<(), Failure>,
) -> Result<Bytes, Failure> {
    let too_large =
        || Failure::not_run(Kind::TooLarge, format!("the request body exceeds {limit} bytes"));
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    loop {
        let frame = timeout(BODY_FRAME_TIMEOUT, body.frame()).await.map_err(|_| {
            invalid(format!(
                "no data of the request body arrived for {} s",
                BODY_FRAME_TIMEOUT.as_secs()
            ))
        })?;
        let data = match frame {
            None => break,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(error)) => {
                return Err(invalid(format!("the request body could not be read: {error}")));
            }
        };
        if first.len() + rest.len() + data.len() > limit {
            return Err(too_large());
        }
        reserve(data.len())?;
        // A body that arrives in one frame is returned without a copy.
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

/// Checks that the whole body is UTF-8, including fields that are ignored, and parses it as JSON.
pub(crate) fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    let text = std::str::from_utf8(body)
        .map_err(|error| invalid(format!("the request body is not valid UTF-8: {error}")))?;
    serde_json::from_str(text)
        .map_err(|error| invalid(format!("the request body is not the expected JSON: {error}")))
}

/// Returns the percent-decoded value of the first query parameter with this name.
pub(crate) fn query_parameter(query: Option<&str>, name: &str) -> Result<Option<String>, Failure> {
    for pair in query.unwrap_or_default().split('&') {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        if key == name {
            return percent_decode(value).map(Some);
        }
    }
    Ok(None)
}

pub(crate) fn percent_decode(text: &str) -> Result<String, Failure> {
    let malformed = || invalid(format!("`{text}` is not valid percent-encoded UTF-8"));
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
