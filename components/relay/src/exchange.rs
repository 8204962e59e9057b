//! One request to one upstream.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use cyclamengrade_control::relay::{failure::Failure, selector::Upstream};
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, StatusCode, Uri,
    body::Incoming,
    header::{CONTENT_ENCODING, CONTENT_TYPE, HeaderValue},
};
use tokio::time::timeout;

use crate::{
    dialect::Headers,
    events::{Event, Splitter},
    pool::{Connection, Pool},
};

/// Headers that concern one connection only (RFC 9110, section 7.6.1, and RFC 9112).
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

/// Largest answer that is buffered, in bytes.
const LARGEST_ANSWER: usize = 16 << 20;

/// Removes the headers that concern one connection only.
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

/// A request as upstreams get it, but for what differs between sends.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers without those of the connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Id that the answer must repeat.
    pub id: String,
}

/// What differs between the sends of a request.
#[derive(Clone, Copy, Debug)]
pub struct Send {
    /// When the caller stops waiting; `None` when no caller waits.
    pub deadline: Option<Instant>,
    /// Event after which the stream goes on.
    pub resume_after: Option<u64>,
    /// Longest wait for the head of the answer.
    pub patience: Duration,
    /// Open connections to the upstream at most.
    pub most_connections: usize,
}

/// The head of an answer, and its body as it arrives.
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    body: Incoming,
    connection: Connection,
}

impl Answer {
    /// Whether the upstream sends an event stream.
    pub fn is_event_stream(&self) -> bool {
        self.headers
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.starts_with("text/event-stream"))
    }

    /// Reads the whole body and gives the connection back.
    ///
    /// # Errors
    ///
    /// The body ended early or stalled, or is too large to keep.
    pub async fn whole(self, pool: &Pool, patience: Duration) -> Result<Whole, Failure> {
        let Self { status, headers, mut body, connection } = self;
        let mut bytes = BytesMut::new();
        loop {
            match timeout(patience, body.frame()).await {
                Err(_) => return Err(Failure::Silent),
                Ok(Some(Err(_))) => return Err(Failure::Broken),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        bytes.extend_from_slice(&data);
                    }
                    if bytes.len() > LARGEST_ANSWER {
                        return Err(Failure::Broken);
                    }
                }
                Ok(None) => break,
            }
        }
        pool.give_back(connection, &headers);
        Ok(Whole { status, headers, body: bytes.freeze() })
    }

    /// Reads the body as events.
    pub fn events(self) -> Events {
        Events { answer: self, splitter: Splitter::default() }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Whole {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Events of an answer as they arrive. Dropping them closes the connection, which stops the run.
pub struct Events {
    answer: Answer,
    splitter: Splitter,
}

impl Events {
    /// The next event; `None` after the last one.
    ///
    /// # Errors
    ///
    /// The stream broke or stalled.
    pub async fn next(&mut self, patience: Duration) -> Result<Option<Event>, Failure> {
        loop {
            if let Some(event) = self.splitter.next() {
                return Ok(Some(event));
            }
            match timeout(patience, self.answer.body.frame()).await {
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
                Ok(None) => return Ok(None),
            }
        }
    }

    /// Gives the connection back after the last event.
    pub fn finish(self, pool: &Pool) {
        pool.give_back(self.answer.connection, &self.answer.headers);
    }
}

/// Sends a request and waits for the head of an answer that an upstream made to it.
///
/// # Errors
///
/// The upstream did not run the request, or its answer cannot be used; the failure says which.
pub async fn send(
    pool: &Pool,
    names: &Headers,
    upstream: &Upstream,
    outgoing: &Outgoing,
    send: Send,
) -> Result<Answer, Failure> {
    let connection = pool.take(&upstream.id, upstream.address, send.most_connections).await;
    let Some(mut connection) = connection else { return Err(Failure::NotSent) };
    let request = request(names, upstream, outgoing, send).ok_or(Failure::NotSent)?;
    let response = match timeout(send.patience, connection.sender.try_send_request(request)).await {
        Err(_) => return Err(Failure::Silent),
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            return Err(match error.take_message() {
                Some(_) => Failure::NotSent,
                None => Failure::Broken,
            });
        }
    };
    let (head, body) = response.into_parts();
    let answer = Answer { status: head.status, headers: head.headers, body, connection };
    check(pool, names, outgoing, answer, send.patience).await
}

fn request(
    names: &Headers,
    upstream: &Upstream,
    outgoing: &Outgoing,
    send: Send,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    let headers = request.headers_mut();
    headers.clone_from(&outgoing.headers);
    headers.insert(&names.expect_instance, HeaderValue::from_str(&upstream.id).ok()?);
    if let Some(deadline) = send.deadline {
        let left = deadline.saturating_duration_since(Instant::now()).as_millis();
        headers.insert(&names.deadline_ms, HeaderValue::from(left.max(1) as u64));
    }
    if let Some(event) = send.resume_after {
        headers.insert(&names.last_event_id, HeaderValue::from(event));
    }
    Some(request)
}

/// Refuses answers that are not a statement of this upstream about this request.
async fn check(
    pool: &Pool,
    names: &Headers,
    outgoing: &Outgoing,
    answer: Answer,
    patience: Duration,
) -> Result<Answer, Failure> {
    let id = answer.headers.get(&names.request_id);
    if id.is_some_and(|id| id.as_bytes() != outgoing.id.as_bytes()) {
        return Err(Failure::Broken);
    }
    let misdirected = answer.status == StatusCode::MISDIRECTED_REQUEST;
    if misdirected || answer.headers.contains_key(&names.not_run) {
        // The statement is in the head; the body only frees the connection for the next request.
        let _ = answer.whole(pool, patience).await;
        return Err(if misdirected { Failure::Misdirected } else { Failure::NotRun });
    }
    let whole = id.is_some()
        && answer.headers.contains_key(&names.stamp)
        && !answer.headers.contains_key(CONTENT_ENCODING);
    if whole { Ok(answer) } else { Err(Failure::Broken) }
}
