//! Exchange of one request and its response with one upstream.

use std::{
    ops::RangeInclusive,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use cyclamengrade_control::relay::{
    failure::Failure,
    limit::Rate,
    response::{Claim, Tie},
    selector::Upstream,
};
use cyclamengrade_telemetry::event;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, StatusCode, Uri,
    body::{Body, Incoming},
    header::{
        CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderValue, TRANSFER_ENCODING,
    },
};
use tokio::time;

use crate::{
    dialect::Headers,
    events::{Event, Splitter},
    flight::Flight,
    link,
    memory::{Budget, Reservation},
    pool::{Connection, Pool},
};

/// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1, and RFC 9112).
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authorization",
];

/// Limit on the size of a response body that is buffered.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Bytes of a stream that are buffered without reserving memory for them.
const MAX_UNRESERVED_BUFFER_BYTES: usize = 16 << 10;

/// Timeout for the body of a refusal. It is shorter than an attempt that is silent waits for the response of the
/// next upstream, which may have refused.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of a request that shows whether an upstream lives.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(500);

/// Removes the hop-by-hop headers, including those that the `Connection` header names.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| !name.is_empty())
        .collect();
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    for name in named {
        headers.remove(name.as_str());
    }
}

/// A request to upstreams, without the headers that differ between attempts.
#[derive(Clone, Debug)]
pub struct Outgoing {
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers without the hop-by-hop headers.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Request id. A response with another request id is rejected.
    pub id: String,
}

/// Parameters of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// When the caller stops waiting; `None` if no caller waits for the response.
    pub deadline: Option<Instant>,
    /// Id of the event after which the stream is to be resumed.
    pub resume_after: Option<u64>,
    /// Timeout for the head of the response.
    pub timeout: Duration,
}

/// A response whose body is still arriving.
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    body: Incoming,
    connection: Connection,
    /// Checks the link while the body does not go on.
    check: Option<link::Check>,
}

impl Response {
    /// Whether the end of the body is marked by its length or its chunks (RFC 9112, section 6.3).
    /// Otherwise it ends with its connection, which an upstream that is killed closes as well.
    pub fn has_marked_end(&self) -> bool {
        let is_chunked = |codings: &HeaderValue| {
            let last = codings.to_str().ok().and_then(|codings| codings.rsplit(',').next());
            last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
        };
        let codings = self.headers.get_all(TRANSFER_ENCODING).iter().next_back();
        self.body.is_end_stream()
            || codings.map_or_else(|| self.headers.contains_key(CONTENT_LENGTH), is_chunked)
    }

    /// Whether the body is an event stream.
    pub fn is_event_stream(&self) -> bool {
        self.headers
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.starts_with("text/event-stream"))
    }

    /// Reads the rest of the body until `deadline` and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Silent`] after the deadline, and [`Failure::Broken`] if the
    /// connection fails, the body is longer than [`MAX_RESPONSE_BYTES`], the responses that are being
    /// read need more memory together than there is for them, or nothing but the close of the
    /// connection marks the end of the body and the upstream does not answer any more or the response
    /// is a successful one without a body.
    pub async fn collect(self, flight: &Flight, deadline: Instant) -> Result<Collected, Failure> {
        let has_marked_end = self.has_marked_end();
        let Self { status, headers, mut body, connection, .. } = self;
        let mut memory = flight.response_memory().reserve().ok_or(Failure::Broken)?;
        let mut bytes = BytesMut::new();
        loop {
            match time::timeout_at(deadline.into(), body.frame()).await {
                Err(_) => return Err(Failure::Silent),
                Ok(Some(Err(_))) => return Err(Failure::Broken),
                Ok(Some(Ok(frame))) => {
                    flight.record_progress();
                    if let Ok(data) = frame.into_data() {
                        bytes.extend_from_slice(&data);
                    }
                    if bytes.len() > MAX_RESPONSE_BYTES || !memory.grow_to(bytes.len()) {
                        return Err(Failure::Broken);
                    }
                    // Parts that are always there do not let a timer run out.
                    if Instant::now() >= deadline {
                        return Err(Failure::Silent);
                    }
                }
                Ok(None) => break,
            }
        }
        match has_marked_end {
            true => flight.pool().release(connection, &headers),
            false => {
                drop(connection);
                // A head that ends early looks like the head of a response without a body.
                let may_lack_body = status.is_success() && bytes.is_empty();
                if may_lack_body || !is_alive(flight).await {
                    return Err(Failure::Broken);
                }
            }
        }
        Ok(Collected { status, headers, body: bytes.freeze(), has_marked_end, _memory: memory })
    }

    /// Reads the body as an event stream. `budget` limits the memory of all large events that are
    /// incomplete.
    pub fn events(self, budget: &Budget) -> Events {
        let has_marked_end = self.has_marked_end();
        Events {
            response: self,
            splitter: Splitter::default(),
            has_marked_end,
            is_quiet: false,
            budget: budget.clone(),
            memory: None,
        }
    }
}

/// A response whose body was read to the end.
#[derive(Debug)]
pub struct Collected {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// See [`Response::has_marked_end`].
    pub has_marked_end: bool,
    /// Memory reserved for the body.
    _memory: Reservation,
}

/// Events of a response that is still arriving. Dropping this closes the connection, which makes
/// the upstream cancel the request.
pub struct Events {
    response: Response,
    splitter: Splitter,
    has_marked_end: bool,
    /// Whether the last event was a comment, which is no progress of the stream.
    is_quiet: bool,
    budget: Budget,
    /// Memory reserved for the bytes that have not been returned yet, if they are many.
    memory: Option<Reservation>,
}

/// Statuses of final responses (RFC 9110, section 15). The HTTP library takes others as well, and no request asks to
/// switch protocols.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Id of the first event of a stream.
const FIRST_EVENT: u64 = 1;

/// Whether events are missing between the last event of a stream, if there was one, and the event `id`,
/// or that event was there before.
pub fn breaks_order(last: Option<u64>, id: u64) -> bool {
    match last {
        Some(last) => last.checked_add(1) != Some(id),
        // Some upstreams count from zero.
        None => id > FIRST_EVENT,
    }
}

/// What follows in an event stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    Event(Event),
    /// The stream is complete.
    End,
    /// The upstream closed the connection, and nothing else marks the end of the stream.
    Closed,
}

impl Events {
    /// Whether comments at most have arrived since the stream last made progress.
    pub const fn is_quiet(&self) -> bool {
        self.is_quiet
    }

    /// Returns what follows in the stream. The wait for progress begins now unless comments at most have
    /// arrived since it began, see [`Flight::silence`]. A whole event has to arrive before `until`; from then on, not
    /// even one that has arrived is returned.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Silent`] after a timeout, and [`Failure::Broken`] if the connection
    /// fails, an event is too large, or the stream ends within an event.
    pub async fn next(&mut self, flight: &Flight, until: Instant) -> Result<Next, Failure> {
        if !self.is_quiet {
            flight.record_progress();
        }
        if Instant::now() >= until {
            return Err(Failure::Silent);
        }
        loop {
            if time::timeout_at(until.into(), self.reserve()).await.is_err() {
                return Err(Failure::Silent);
            }
            if let Some(event) = self.splitter.next() {
                self.is_quiet = event.id.is_none() && !event.has_data();
                return Ok(Next::Event(event));
            }
            let Response { body, check, .. } = &mut self.response;
            let frame = link::check_while(check.as_ref(), body.frame());
            match time::timeout_at(until.into(), frame).await {
                Err(_) => return Err(Failure::Silent),
                Ok(Some(Err(_))) => return Err(Failure::Broken),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data()
                        && !self.splitter.push(&data)
                    {
                        return Err(Failure::Broken);
                    }
                }
                Ok(None) if self.splitter.is_partial() => return Err(Failure::Broken),
                Ok(None) if self.has_marked_end => return Ok(Next::End),
                Ok(None) => return Ok(Next::Closed),
            }
        }
    }

    /// Reserves memory for the bytes that have not been returned yet, and waits until there is some.
    async fn reserve(&mut self) {
        let bytes = self.splitter.len();
        if bytes <= MAX_UNRESERVED_BUFFER_BYTES {
            self.memory = None;
            return;
        }
        if !self.memory.as_mut().is_some_and(|memory| memory.grow_to(bytes)) {
            // What is reserved already is free for others while this stream waits.
            self.memory = None;
            self.memory = Some(self.budget.acquire(bytes).await);
        }
    }

    /// Returns the connection to the pool, after the last event.
    pub fn finish(self, pool: &Pool) {
        pool.release(self.response.connection, &self.response.headers);
    }
}

/// Sends a request on a connection to an upstream and waits for the head of the response.
///
/// # Errors
///
/// Fails if the request could not be sent, if the upstream did not run it, or if there was no valid
/// response.
pub async fn send(
    flight: &Flight,
    mut connection: Connection,
    names: &Headers,
    outgoing: &Outgoing,
    options: Options,
) -> Result<Response, Failure> {
    flight.record_progress();
    let request = request(names, &flight.upstream, outgoing, options).ok_or(Failure::NotSent)?;
    flight.set_sent(true);
    connection.history.record(&outgoing.id);
    let check = flight.link_check(&connection.path);
    let sending = connection.sender.try_send_request(request);
    let response =
        match time::timeout(options.timeout, link::check_while(check.as_ref(), sending)).await {
            Err(_) => return Err(Failure::Silent),
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => {
                return Err(match error.take_message() {
                    Some(_) => {
                        flight.set_sent(false);
                        Failure::NotSent
                    }
                    None => Failure::Broken,
                });
            }
        };
    let (head, body) = response.into_parts();
    let response = Response { status: head.status, headers: head.headers, body, connection, check };
    validate(flight, names, outgoing, response).await
}

/// Records what a response of an upstream says of it.
fn record_marks(
    flight: &Flight,
    names: &Headers,
    headers: &HeaderMap,
    verdict: Result<(), Failure>,
) {
    if says_leaving(names, headers) {
        flight.record_leaving();
    }
    match headers.get(&names.limit) {
        Some(value) => {
            if let Some(rate) = parse_limit(flight, value) {
                flight.record_limit(Some(rate));
            }
        }
        None if verdict.is_ok() => flight.record_limit(None),
        None => {}
    }
}

/// Whether a response says that its upstream is leaving. Zero says that it is not.
fn says_leaving(names: &Headers, headers: &HeaderMap) -> bool {
    headers.get_all(&names.leaving).iter().any(|value| value != "0")
}

/// Whether the start of the upstream that ran a request still lives: it answers, and no other start of it
/// is listed. The next start answers as well, and may have begun while this relay was paused or cut off.
pub async fn is_alive(flight: &Flight) -> bool {
    flight.is_same_start() && answers(flight).await && flight.is_surely_same_start().await
}

/// Whether an upstream answers a request without an id, which it does not run. The vm of a process that
/// was killed may still accept connections while it closes others.
async fn answers(flight: &Flight) -> bool {
    let Some(mut connection) = flight.open_connection().await else { return false };
    let Some(request) = liveness_request(&flight.upstream, flight.headers()) else { return false };
    let response = connection.sender.send_request(request);
    match time::timeout(LIVENESS_TIMEOUT, response).await {
        // Another status means that the upstream itself answered. One that is leaving may still answer
        // after it has closed its runs.
        Ok(Ok(response)) => {
            response.status() != StatusCode::MISDIRECTED_REQUEST
                && !says_leaving(flight.headers(), response.headers())
        }
        Ok(Err(_)) | Err(_) => false,
    }
}

fn liveness_request(upstream: &Upstream, names: &Headers) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::default());
    let headers = request.headers_mut();
    headers.insert(HOST, HeaderValue::from_str(&upstream.address.to_string()).ok()?);
    headers.insert(&names.expect_instance, HeaderValue::from_str(&upstream.id).ok()?);
    Some(request)
}

fn parse_limit(flight: &Flight, value: &HeaderValue) -> Option<Rate> {
    let rate = value.to_str().ok().and_then(Rate::parse);
    if rate.is_none() {
        event!(LimitUnreadable, upstream:% = flight.upstream.id, value:? = value);
    }
    rate
}

fn request(
    names: &Headers,
    upstream: &Upstream,
    outgoing: &Outgoing,
    options: Options,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    let headers = request.headers_mut();
    headers.clone_from(&outgoing.headers);
    headers.insert(&names.expect_instance, HeaderValue::from_str(&upstream.id).ok()?);
    if let Some(deadline) = options.deadline {
        let remaining = deadline.saturating_duration_since(Instant::now()).as_millis();
        headers.insert(&names.deadline_ms, HeaderValue::from(remaining.max(1) as u64));
    }
    if let Some(event) = options.resume_after {
        headers.insert(&names.last_event_id, HeaderValue::from(event));
    }
    Some(request)
}

/// Returns the response if this upstream produced it for this request, and the failure otherwise.
async fn validate(
    flight: &Flight,
    names: &Headers,
    outgoing: &Outgoing,
    response: Response,
) -> Result<Response, Failure> {
    let Response { status, headers, connection, .. } = &response;
    let ids = headers.get_all(&names.request_id);
    let tie = connection.history.tie(ids.iter().map(HeaderValue::as_bytes));
    let claim = claim(names, *status, headers);
    let verdict = tie.judge(claim);
    match tie {
        Tie::Uncertain => event!(
            ResponseUntied,
            request:% = outgoing.id,
            upstream:% = flight.upstream.id,
            status = status.as_u16(),
            requests = connection.history.requests()
        ),
        // Another upstream answers a misdirected request.
        Tie::Named | Tie::First if claim == Claim::Misdirected => {}
        Tie::Named | Tie::First => record_marks(flight, names, headers, verdict),
    }
    match verdict {
        Ok(()) => Ok(response),
        Err(failure) => {
            let is_refusal = !failure.may_have_run();
            // The body is read only so that the connection can be reused.
            if is_refusal && tie.allows_reuse() && response.has_marked_end() {
                let _ = response.collect(flight, Instant::now() + REFUSAL_TIMEOUT).await;
            }
            Err(failure)
        }
    }
}

/// Returns what the head of a response says of the request.
fn claim(names: &Headers, status: StatusCode, headers: &HeaderMap) -> Claim {
    match status {
        _ if !FINAL_STATUSES.contains(&status.as_u16()) => Claim::Invalid,
        StatusCode::MISDIRECTED_REQUEST => Claim::Misdirected,
        _ if headers.contains_key(&names.not_run) => Claim::NotRun,
        _ if headers.contains_key(&names.stamp) && !headers.contains_key(CONTENT_ENCODING) => {
            Claim::Answer
        }
        _ => Claim::Invalid,
    }
}
