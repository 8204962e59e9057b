//! A run of one item at one upstream.

use std::{
    str::FromStr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use cyclamengrade_control::relay::{ending::Ending, failure::Failure, job::RunFailure};
use cyclamengrade_telemetry::event;
use hyper::{
    HeaderMap, Method, StatusCode, Uri,
    header::{CONTENT_LENGTH, HOST, HeaderName, HeaderValue},
};

use crate::{
    batch::owned::Transcript,
    dialect::Item,
    exchange::{self, Next, Options, Outgoing, Response},
    flight::Flight,
    quarantine::format_parts,
    shared::{Shared, lock},
};

/// Timeout of the first event of a run. The item may wait in a queue of the upstream.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of each further event of a run. It is many times the pause that a slow upstream makes
/// between two events.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest text of an item: the size of a page of results.
const MAX_TEXT_BYTES: usize = 1 << 20;

/// End of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The transcript is complete.
    Completed,
    /// The upstream reported that the item failed.
    Failed(RunFailure),
    /// The run ended early for a reason unrelated to the item.
    Interrupted(Failure),
}

/// Builds the request of an item. Returns `None` if its path or one of its headers is invalid.
pub fn outgoing(shared: &Shared, host: &str, item: &Item) -> Option<Outgoing> {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        headers.insert(HeaderName::from_str(name).ok()?, HeaderValue::from_str(value).ok()?);
    }
    exchange::strip_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.insert(HOST, HeaderValue::from_str(host).ok()?);
    let names = shared.dialect.headers();
    headers.insert(&names.request_id, HeaderValue::from_str(&item.id).ok()?);
    Some(Outgoing {
        method: Method::POST,
        uri: Uri::from_str(&item.path).ok()?,
        headers,
        body: item.body.clone(),
        id: item.id.clone(),
    })
}

/// Runs an item, resuming after the last event of its transcript.
pub async fn run(
    shared: Arc<Shared>,
    outgoing: Outgoing,
    mut flight: Flight,
    transcript: Arc<Mutex<Transcript>>,
) -> End {
    let mut ending = Ending::default();
    let mut read = run_once(&shared, &outgoing, &mut flight, &transcript, &mut ending).await;
    if read == Read::Closed && flight.may_repeat() {
        // The upstream tells by a run after the last event whether the text is complete.
        read = run_once(&shared, &outgoing, &mut flight, &transcript, &mut ending).await;
    }
    let end = match read {
        Read::Closed => End::Interrupted(Failure::Broken),
        Read::Ended(end) => end,
    };
    match end {
        End::Completed => flight.record_success(),
        End::Interrupted(failure) => {
            flight.record_failure(failure);
            event!(
                AttemptFailed,
                request:% = outgoing.id,
                upstream:% = flight.upstream.id,
                failure:% = failure.name(),
                elapsed_ms = shared.clock.now().since(flight.started).as_millis() as u64,
                running_ms = flight.running_time().as_millis() as u64,
                quiet_ms = flight.quiet_time().as_millis() as u64,
                events = lock(&transcript).last.unwrap_or(0),
                prompt:% = shared.dialect.shared_parts(&outgoing.headers).join(","),
                parts:% = format_parts(&shared.parts(&outgoing.headers))
            );
        }
        End::Failed(_) => {}
    }
    end
}

/// What one response to the request of an item brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Read {
    Ended(End),
    /// The upstream closed the connection, which does not say whether the transcript is complete.
    Closed,
}

impl From<End> for Read {
    fn from(end: End) -> Self {
        Self::Ended(end)
    }
}

/// Sends the request of an item, to be resumed after the last event of its transcript, and reads the
/// response.
async fn run_once(
    shared: &Shared,
    outgoing: &Outgoing,
    flight: &mut Flight,
    transcript: &Mutex<Transcript>,
    ending: &mut Ending,
) -> Read {
    let options = Options {
        deadline: None,
        resume_after: lock(transcript).last,
        timeout: FIRST_EVENT_TIMEOUT,
        max_connections: shared.max_connections(&flight.upstream.deployment),
    };
    match exchange::send(flight, shared.dialect.headers(), outgoing, options).await {
        Ok(response) => {
            flight.record_bytes();
            read(shared, &outgoing.id, response, flight, transcript, ending).await
        }
        Err(failure) => End::Interrupted(failure).into(),
    }
}

/// Reads the response to a run and appends its events to the transcript.
async fn read(
    shared: &Shared,
    id: &str,
    response: Response,
    flight: &mut Flight,
    transcript: &Mutex<Transcript>,
    ending: &mut Ending,
) -> Read {
    match response.status {
        StatusCode::OK if response.is_event_stream() => {}
        status => {
            let deadline = Instant::now() + FIRST_EVENT_TIMEOUT;
            let end = match response.collect(flight, EVENT_TIMEOUT, deadline).await {
                Err(failure) => End::Interrupted(failure),
                Ok(_) => match status {
                    StatusCode::UNPROCESSABLE_ENTITY => End::Failed(RunFailure::Impossible),
                    StatusCode::INTERNAL_SERVER_ERROR => End::Failed(RunFailure::Failed),
                    _ => End::Interrupted(Failure::NotRun),
                },
            };
            return end.into();
        }
    }
    let mut events = response.events(flight.event_memory());
    let mut timeout = FIRST_EVENT_TIMEOUT;
    loop {
        let until = events.quiet_since() + timeout;
        match events.next(until).await {
            Err(failure) => return End::Interrupted(failure).into(),
            Ok(Next::End) => {
                events.finish(&shared.pool);
                return End::Completed.into();
            }
            Ok(Next::Closed) => {
                drop(events);
                let is_confirmed = ending.record_close();
                let (count, has_event) = {
                    let transcript = lock(transcript);
                    (transcript.events, transcript.last.is_some())
                };
                event!(
                    ResponseUnmarked,
                    request:% = id,
                    upstream:% = flight.upstream.id,
                    events = count
                );
                if !(is_confirmed && has_event) {
                    return Read::Closed;
                }
                if exchange::is_alive(flight).await {
                    return End::Completed.into();
                }
                return End::Interrupted(Failure::Broken).into();
            }
            Ok(Next::Event(event)) => {
                flight.record_answer();
                timeout = EVENT_TIMEOUT;
                let mut transcript = lock(transcript);
                let (Some(id), Some(data)) = (event.id, event.data()) else {
                    return End::Interrupted(Failure::Broken).into();
                };
                if exchange::breaks_order(transcript.last, id) {
                    return End::Interrupted(Failure::Broken).into();
                }
                match transcript.last {
                    Some(_) => transcript.text.push('\n'),
                    None => transcript.software = Some(flight.upstream.software()),
                }
                transcript.last = Some(id);
                transcript.events += 1;
                ending.record_event();
                transcript.text.push_str(&data);
                if transcript.text.len() > MAX_TEXT_BYTES {
                    // No item has such a text; none of it can be trusted.
                    *transcript = Transcript::default();
                    return End::Interrupted(Failure::Broken).into();
                }
            }
        }
    }
}
