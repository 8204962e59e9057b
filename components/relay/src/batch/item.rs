//! A run of one item at one upstream.

use std::{
    pin::pin,
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
use tokio::time::sleep;

use crate::{
    batch::owned::Transcript,
    dialect::Item,
    exchange::{self, Next, Options, Outgoing, Response},
    flight::Flight,
    job::row,
    quarantine::format_parts,
    shared::{Shared, lock},
    successor::{BATCH_SEEK_PERIOD, Handover, Output, Reply, Successor},
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

/// Where a run begins.
pub enum Start {
    /// With a request that is not sent yet.
    New(Box<Flight>),
    /// With a request that was sent while another run was silent.
    Successor(Successor),
}

impl Start {
    pub fn flight(&self) -> &Flight {
        match self {
            Self::New(flight) => flight,
            Self::Successor(successor) => successor.flight(),
        }
    }
}

/// Search for another upstream while a run is silent.
struct Search<'a, R> {
    shared: &'a Arc<Shared>,
    outgoing: &'a Arc<Outgoing>,
    transcript: &'a Mutex<Transcript>,
    urgency: Urgency,
    /// Returns the route of the item's job that is in force.
    route: R,
    found: Option<Successor>,
}

impl<R: Fn() -> Option<Arc<Route>>> Search<'_, R> {
    /// Waits for what the upstream of a run sends next. A run that is silent for `limit` goes on until another
    /// upstream accepts the item. After one that may have run it and failed, no further one is sought.
    async fn watch<T: Output>(
        &mut self,
        flight: &Flight,
        limit: Duration,
        next: impl Future<Output = Result<T, Failure>>,
    ) -> Result<T, Failure> {
        let mut next = pin!(next);
        let mut delay = Duration::ZERO;
        loop {
            let seek = async {
                flight.silence(limit).await;
                sleep(delay).await;
                self.begin_successor(flight).await
            };
            let successor = tokio::select! {
                biased;
                output = &mut next => return output,
                successor = seek => successor,
            };
            let Some(successor) = successor else { return Err(Failure::Silent) };
            match successor.hand_over(next.as_mut(), judge).await {
                Handover::Completed(output) => return Ok(output),
                Handover::Later(successor, failure) => {
                    self.found = Some(successor);
                    return Err(failure);
                }
                Handover::Earlier { brought, flight: refused, failure } => {
                    self.record_failure(&refused, failure);
                    match brought {
                        Some(output) => return Ok(output),
                        None if failure.may_have_run() => return next.await,
                        None => delay = BATCH_SEEK_PERIOD,
                    }
                }
            }
        }
    }

    /// Waits for an upstream for the item and prepares a run there. Returns `None` if the upstream of the silent run
    /// is no longer listed and no other one can continue the text of the item.
    async fn begin_successor(&self, silent: &Flight) -> Option<Successor> {
        let Self { shared, outgoing, transcript, .. } = self;
        loop {
            let software = lock(transcript).software;
            let better = shared.await_better(silent, software, self.urgency, &self.route);
            let mut flight = Box::pin(better).await?;
            let max = shared.max_connections(&flight.upstream.deployment);
            match flight.connect(max, &outgoing.id).await {
                Ok(connection) => {
                    let flight = flight.with_parts(shared.parts(&outgoing.headers));
                    let options = options(transcript);
                    let outgoing = Arc::clone(outgoing);
                    return Some(Successor::new(flight, connection, outgoing, options));
                }
                Err(failure) => self.record_failure(&flight, failure),
            }
        }
    }

    fn record_failure(&self, flight: &Flight, failure: Failure) {
        let Self { shared, outgoing, transcript, .. } = self;
        flight.record_failure(failure);
        event!(
            AttemptFailed,
            request:% = outgoing.id,
            upstream:% = flight.upstream.id,
            failure:% = failure.name(),
            elapsed_ms = shared.clock.now().since(flight.started).as_millis() as u64,
            running_ms = flight.running_time().as_millis() as u64,
            quiet_ms = flight.quiet_time().as_millis() as u64,
            events = lock(transcript).last.unwrap_or(0),
            prompt:% = shared.dialect.shared_parts(&outgoing.headers).join(","),
            parts:% = format_parts(&shared.parts(&outgoing.headers))
        );
    }
}

/// Returns the parameters of a run that resumes after the last event of a transcript.
fn options(transcript: &Mutex<Transcript>) -> Options {
    Options { deadline: None, resume_after: lock(transcript).last, timeout: MAX_SILENCE }
}

/// Returns the failure of a run whose response is not the text of an item.
fn judge(response: &Response) -> Result<(), Failure> {
    match response.status {
        StatusCode::OK if response.is_event_stream() => Ok(()),
        StatusCode::INTERNAL_SERVER_ERROR | StatusCode::UNPROCESSABLE_ENTITY => {
            Err(Failure::Broken)
        }
        _ => Err(Failure::NotRun),
    }
}

/// Runs an item, resuming after the last event of its transcript. `route` returns the route of its job that is
/// in force. Also returns the next run, if this one was given up for it.
pub async fn run(
    shared: Arc<Shared>,
    outgoing: Outgoing,
    start: Start,
    transcript: Arc<Mutex<Transcript>>,
    urgency: Urgency,
    route: impl Fn() -> Option<Arc<Route>>,
) -> (End, Option<Successor>) {
    let outgoing = Arc::new(outgoing);
    let search = Search {
        shared: &shared,
        outgoing: &outgoing,
        transcript: &transcript,
        urgency,
        route,
        found: None,
    };
    let mut run = Run { ending: Ending::default(), search };
    let (mut flight, mut read) = match start {
        Start::New(mut flight) => {
            let read = run.once(&mut flight).await;
            (*flight, read)
        }
        Start::Successor(successor) => {
            let (flight, reply) = successor.into_parts();
            let sent = run.head(&flight, reply).await;
            // The reply, which shared it, has ended.
            let Some(mut flight) = Arc::into_inner(flight) else {
                return (End::Interrupted(Failure::Broken), None);
            };
            let read = run.read_sent(sent, &mut flight).await;
            (flight, read)
        }
    };
    if read == Read::Closed && flight.may_repeat() {
        // The upstream tells by a run after the last event whether the text is complete.
        read = run.once(&mut flight).await;
    }
    let end = match read {
        Read::Closed => End::Interrupted(Failure::Broken),
        Read::Ended(end) => end,
    };
    match end {
        End::Completed => flight.record_success(),
        End::Interrupted(failure) => run.search.record_failure(&flight, failure),
        End::Failed(_) => {}
    }
    (end, run.search.found)
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
    ending: Ending,
    search: Search<'a, R>,
}

impl<R: Fn() -> Option<Arc<Route>>> Run<'_, R> {
    /// Sends the request of the item, to be resumed after the last event of its transcript, and reads the
    /// response.
    async fn once(&mut self, flight: &mut Flight) -> Read {
        let Search { shared, outgoing, transcript, .. } = &self.search;
        let options = options(transcript);
        let max = shared.max_connections(&flight.upstream.deployment);
        let connection = match flight.connect(max, &outgoing.id).await {
            Ok(connection) => connection,
            Err(failure) => return End::Interrupted(failure).into(),
        };
        let (names, outgoing) = (shared.dialect.headers(), Arc::clone(outgoing));
        let sending = exchange::send(flight, connection, names, &outgoing, options);
        let sent = self.search.watch(flight, FIRST_EVENT_SILENCE, sending).await;
        self.read_sent(sent, flight).await
    }

    /// Waits for the head of the response to a request that was sent.
    async fn head(&mut self, flight: &Flight, reply: Reply) -> Result<Response, Failure> {
        self.search.watch(flight, FIRST_EVENT_SILENCE, reply).await
    }

    /// Reads the response to the run, if there is one.
    async fn read_sent(&mut self, sent: Result<Response, Failure>, flight: &mut Flight) -> Read {
        match sent {
            Ok(response) => {
                flight.record_bytes();
                self.read(response, flight).await
            }
            Err(failure) => End::Interrupted(failure).into(),
        }
    }

    /// Reads the response to the run and appends its events to the transcript.
    async fn read(&mut self, response: Response, flight: &mut Flight) -> Read {
        let Self { ending, search } = self;
        let Search { shared, outgoing, transcript, .. } = search;
        let (shared, outgoing, transcript) = (*shared, *outgoing, *transcript);
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
            match search.watch(flight, silence, next).await {
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
