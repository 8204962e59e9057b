//! A run of one item at one upstream.

use std::{
    str::FromStr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use cyclamengrade_control::relay::{
    broker::Urgency, ending::Ending, failure::Failure, job::RunFailure, route::Route,
};
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
    job::row,
    quarantine::format_parts,
    shared::{Shared, lock},
};

/// Silence before the first event of a run after which another upstream is sought. The item may wait in a
/// queue of the upstream.
const FIRST_EVENT_SILENCE: Duration = Duration::from_secs(3);
/// Silence before each further event after which another upstream is sought. It is many times the pause that
/// a slow upstream makes between two events.
const EVENT_SILENCE: Duration = Duration::from_millis(1_500);
/// Longest silence of a run for which there is no other upstream. By then, keep-alive probes have closed a
/// connection whose other end is gone, and a run that still hangs hangs by itself.
const MAX_SILENCE: Duration = Duration::from_secs(6);
/// Timeout of a response that is no event stream.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

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

/// Builds the request of an item of a job. Returns `None` if its path or one of its headers is invalid.
pub fn outgoing(shared: &Shared, job: &row::Job, item: &Item) -> Option<Outgoing> {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        headers.insert(HeaderName::from_str(name).ok()?, HeaderValue::from_str(value).ok()?);
    }
    exchange::strip_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    if job.account.is_some() || shared.routes.load().accounts.is_some() {
        shared.set_account(&mut headers, job.account.as_deref());
    }
    headers.insert(HOST, HeaderValue::from_str(&job.host).ok()?);
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

/// Search for another upstream while a run is silent.
struct Search<R> {
    urgency: Urgency,
    /// Returns the route of the item's job that is in force.
    route: R,
    found: Option<Flight>,
}

impl<R: Fn() -> Option<Arc<Route>>> Search<R> {
    /// Waits for what the upstream of a run sends next. A run that is silent for `limit` goes on until another
    /// upstream has a slot for the item.
    async fn watch<T>(
        &mut self,
        shared: &Arc<Shared>,
        flight: &Flight,
        transcript: &Mutex<Transcript>,
        limit: Duration,
        next: impl Future<Output = Result<T, Failure>>,
    ) -> Result<T, Failure> {
        let seek = async {
            flight.silence(limit).await;
            let software = lock(transcript).software;
            Box::pin(shared.await_better(flight, software, self.urgency, &self.route)).await
        };
        let found = tokio::select! {
            biased;
            output = next => return output,
            found = seek => found,
        };
        self.found = found;
        Err(Failure::Silent)
    }
}

/// Runs an item, resuming after the last event of its transcript. `route` returns the route of its job that is
/// in force. Also returns where the next run goes, if
/// this one was given up for another upstream.
pub async fn run(
    shared: Arc<Shared>,
    outgoing: Outgoing,
    mut flight: Flight,
    transcript: Arc<Mutex<Transcript>>,
    urgency: Urgency,
    route: impl Fn() -> Option<Arc<Route>>,
) -> (End, Option<Flight>) {
    let mut run = Run {
        shared: &shared,
        outgoing: &outgoing,
        transcript: &transcript,
        ending: Ending::default(),
        search: Search { urgency, route, found: None },
    };
    let mut read = run.once(&mut flight).await;
    if read == Read::Closed && flight.may_repeat() {
        // The upstream tells by a run after the last event whether the text is complete.
        read = run.once(&mut flight).await;
    }
    let found = run.search.found;
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
    (end, found)
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

/// A run of an item, in one or two responses of one upstream.
struct Run<'a, R> {
    shared: &'a Arc<Shared>,
    outgoing: &'a Outgoing,
    transcript: &'a Mutex<Transcript>,
    ending: Ending,
    search: Search<R>,
}

impl<R: Fn() -> Option<Arc<Route>>> Run<'_, R> {
    /// Sends the request of the item, to be resumed after the last event of its transcript, and reads the
    /// response.
    async fn once(&mut self, flight: &mut Flight) -> Read {
        let Self { shared, outgoing, transcript, search, .. } = self;
        let resume_after = lock(transcript).last;
        let options = Options { deadline: None, resume_after, timeout: MAX_SILENCE };
        let max = shared.max_connections(&flight.upstream.deployment);
        let connection = match flight.connect(max, &outgoing.id).await {
            Ok(connection) => connection,
            Err(failure) => return End::Interrupted(failure).into(),
        };
        let names = shared.dialect.headers();
        let sending = exchange::send(flight, connection, names, outgoing, options);
        match search.watch(shared, flight, transcript, FIRST_EVENT_SILENCE, sending).await {
            Ok(response) => {
                flight.record_bytes();
                self.read(response, flight).await
            }
            Err(failure) => End::Interrupted(failure).into(),
        }
    }

    /// Reads the response to the run and appends its events to the transcript.
    async fn read(&mut self, response: Response, flight: &mut Flight) -> Read {
        let Self { shared, outgoing, transcript, ending, search } = self;
        match response.status {
            StatusCode::OK if response.is_event_stream() => {}
            status => {
                let deadline = Instant::now() + RESPONSE_TIMEOUT;
                let end = match response.collect(flight, deadline).await {
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
        let mut silence = FIRST_EVENT_SILENCE;
        loop {
            let next = events.next(flight, Instant::now() + MAX_SILENCE);
            match search.watch(shared, flight, transcript, silence, next).await {
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
                        request:% = outgoing.id,
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
                    flight.record_event();
                    silence = EVENT_SILENCE;
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
}
