//! Online requests, whose callers wait for the response.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cyclamengrade_control::relay::{
    ending::Ending,
    failure::Failure,
    origin::Stream,
    route::{Kind, Route},
};
use cyclamengrade_telemetry::{
    event,
    metrics::{RELAY_FIRST_BYTE_SECONDS, RELAY_REQUEST_SECONDS, RELAY_REQUESTS},
};
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_LENGTH, HeaderName, HeaderValue, RETRY_AFTER},
    http::request::Parts,
};
use metrics::{counter, histogram};
use tokio::{sync::mpsc::Sender, time::timeout_at};

use crate::{
    admission,
    attempt::{self, Dispatch, Request},
    body::{Body, Chunk, EventBudget},
    dialect::Headers,
    events::Event,
    exchange::{self, Collected, Events, Next},
    flight::Flight,
    shared::Shared,
    slots::Placement,
    task,
};

/// Shortest time that `Retry-After` states. It is also stated if a request is refused for another
/// reason than the load of the upstreams.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest time that `Retry-After` states.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Time beyond the deadline of a stream for which its origin is kept, since the caller's clock starts
/// earlier or later than this relay's.
const ORIGIN_MARGIN: Duration = Duration::from_secs(2);

/// Serves a request of a route that is not a batch route.
pub async fn serve(
    shared: Arc<Shared>,
    route: Arc<Route>,
    head: Parts,
    body: Incoming,
    arrived: Instant,
    dispatch: Dispatch,
) -> Response<Body> {
    let request = match admission::admit(&shared, route, head, body, arrived).await {
        Ok(request) => request.with_dispatch(dispatch),
        Err(response) => return response,
    };
    match request.route.kind {
        Kind::Stream => serve_stream(shared, request).await,
        Kind::Safe | Kind::Unsafe | Kind::Batch => serve_single(request).await,
    }
}

/// Serves a request with a single response. The response is buffered until it is complete, so that
/// the request can still be retried at another upstream.
async fn serve_single(mut request: Request) -> Response<Body> {
    loop {
        let (mut flight, response) = match request.send(None).await {
            Ok(sent) => sent,
            Err(error) => return error_response(&request, error),
        };
        let collecting = response.collect(&flight, request.deadline);
        match request.watch(&flight, None, collecting).await {
            Ok(response) => {
                flight.record_event();
                flight.record_success();
                if !response.has_marked_end {
                    log_unmarked_end(&request, &flight, 0);
                }
                if let Some(answer) = answer(&mut request, &flight, response) {
                    return answer;
                }
            }
            Err(failure) => {
                if let Err(error) = request.record_failure(&flight, failure, 0) {
                    return error_response(&request, error);
                }
            }
        }
    }
}

/// Whether a status reports an error of the upstream. 504 does not, because the upstream was given
/// all the time for which the caller waits. A status that promises that the request has not run does, since
/// the response did not say so itself.
pub fn is_upstream_error(status: StatusCode) -> bool {
    (status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT) || is_promise(status)
}

/// Whether callers take a status for the promise that their request has not run and will not run.
const fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the answer to a caller whose request an upstream has answered as a whole, or `None` if the request is to be
/// sent to another one.
fn answer(request: &mut Request, flight: &Flight, collected: Collected) -> Option<Response<Body>> {
    let status = collected.status;
    if is_promise(status) {
        // The upstream may have run the request, so the caller must not read that it has not.
        event!(
            StatusWithheld,
            request:% = request.outgoing.id,
            upstream:% = flight.upstream.id,
            status = status.as_u16()
        );
        let recorded = request.record_failure(flight, Failure::Broken, 0);
        return recorded.err().map(|error| error_response(request, error));
    }
    let will_retry = is_upstream_error(status)
        && request.route.is_retryable()
        && request.record_failure(flight, Failure::Broken, 0).is_ok();
    (!will_retry).then(|| forward(request, collected))
}

/// Forwards a complete response of an upstream to the caller.
fn forward(request: &mut Request, collected: Collected) -> Response<Body> {
    record_first_byte(request);
    record_end(request, collected.status, "served");
    let mut response = Response::new(Body::new(collected.body));
    *response.status_mut() = collected.status;
    *response.headers_mut() = collected.headers;
    exchange::strip_hop_headers(response.headers_mut());
    response
}

/// Serves an event stream. The response head is sent only once the first event has arrived, so that
/// an attempt that fails earlier can be retried from the start.
async fn serve_stream(shared: Arc<Shared>, mut request: Request) -> Response<Body> {
    let names = shared.dialect.headers();
    let last_event_id = header_text(&request.outgoing.headers, &names.last_event_id)
        .and_then(|value| value.parse::<u64>().ok());
    let stream = match last_event_id {
        Some(_) => header_text(&request.outgoing.headers, &names.resumes).map(Stream::new),
        None => Some(Stream::new(&request.outgoing.id)),
    };
    if last_event_id.is_some()
        && request.route.resumable
        && let Err(error) = find_origin(&shared, &mut request, stream).await
    {
        return error_response(&request, error);
    }
    loop {
        // The caller's own header with the last event id is forwarded like its other headers.
        let (mut flight, response) = match request.send(None).await {
            Ok(sent) => sent,
            Err(error) => return error_response(&request, error),
        };
        if !(response.status.is_success() && response.is_event_stream()) {
            let collecting = response.collect(&flight, request.deadline);
            match request.watch(&flight, None, collecting).await {
                Ok(response) => match answer(&mut request, &flight, response) {
                    Some(answer) => return answer,
                    None => continue,
                },
                Err(failure) => match request.record_failure(&flight, failure, 0) {
                    Ok(()) => continue,
                    Err(error) => return error_response(&request, error),
                },
            }
        }
        let (status, headers) = (response.status, response.headers.clone());
        let mut events = response.events(flight.event_memory());
        let deadline = request.deadline;
        let first = match request.watch(&flight, None, events.next(&flight, deadline)).await {
            // A new stream has an event, so this one was cut off.
            Ok(Next::Closed) if last_event_id.is_none() => {
                log_unmarked_end(&request, &flight, 0);
                Err(Failure::Broken)
            }
            Ok(Next::Event(Event { id: Some(id), .. }))
                if exchange::breaks_order(last_event_id, id) =>
            {
                log_unnumbered(&request, &flight, Some(id), 0);
                Err(Failure::Broken)
            }
            first => first,
        };
        match first {
            Ok(first) => {
                flight.record_answer();
                record_first_byte(&mut request);
                request.record_underway();
                request.software = Some(flight.upstream.software());
                if let Some(stream) = stream.filter(|_| request.route.resumable) {
                    let lifetime = origin_lifetime(&request, names);
                    shared.record_origin(stream, &flight.upstream, lifetime).await;
                }
                let (sender, body) = Body::stream();
                let mut forwarder = Forwarder {
                    request,
                    sender,
                    waiting: EventBudget::new(shared.event_memory.clone()),
                    last_event_id,
                    is_numbered: true,
                    events_sent: 0,
                    ending: Ending::default(),
                };
                let run = Run { flight, events, next: Ok(first) };
                tokio::spawn(async move {
                    // After a panic, the response ends without its last chunk.
                    let _ = task::catch("stream", forwarder.run(run)).await;
                });
                let mut response = Response::new(body);
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                exchange::strip_hop_headers(response.headers_mut());
                response.headers_mut().remove(CONTENT_LENGTH);
                return response;
            }
            Err(failure) => {
                drop(events);
                if let Err(error) = request.record_failure(&flight, failure, 0) {
                    return error_response(&request, error);
                }
            }
        }
    }
}

/// Restricts the attempts of a request that continues a stream to the software that began it.
async fn find_origin(
    shared: &Arc<Shared>,
    request: &mut Request,
    stream: Option<Stream>,
) -> Result<(), attempt::Error> {
    let names = shared.dialect.headers();
    let lifetime = origin_lifetime(request, names);
    let found = shared.find_origin(stream, &request.route, lifetime).await;
    event!(
        StreamContinued,
        request:% = request.outgoing.id,
        resumes:% = header_text(&request.outgoing.headers, &names.resumes).unwrap_or_default(),
        source:% = found.map_or("unknown", |(_, source)| source.name()),
        wait_ms = request.arrived.elapsed().as_millis() as u64
    );
    let (software, _) = found.ok_or(attempt::Error::UnknownOrigin)?;
    request.software = Some(software);
    Ok(())
}

/// Returns the time in which the caller of a stream may continue it.
fn origin_lifetime(request: &Request, names: &Headers) -> Duration {
    let stated = header_text(&request.outgoing.headers, &names.deadline_ms)
        .and_then(|value| value.parse().ok())
        .map_or(Duration::ZERO, Duration::from_millis);
    stated.max(request.route.timeout) + ORIGIN_MARGIN
}

/// Forwards the events of a stream to the caller, once the response head was sent.
struct Forwarder {
    request: Request,
    sender: Sender<Chunk>,
    /// Memory for the events that wait for the caller.
    waiting: EventBudget,
    /// Id of the last event that the caller has.
    last_event_id: Option<u64>,
    /// Whether `last_event_id` is the position in the stream; it is not after an event without an id.
    is_numbered: bool,
    events_sent: u64,
    ending: Ending,
}

/// A run of the stream at one upstream.
struct Run {
    flight: Flight,
    events: Events,
    /// What the run brought last.
    next: Result<Next, Failure>,
}

/// How the forwarding of the events of one run ended.
enum Forwarded {
    Complete,
    /// The upstream closed the connection, which does not say whether the stream is complete.
    Closed,
    /// The caller closed the connection.
    CallerLeft,
    /// The attempt at the upstream failed.
    Failed(Failure),
}

/// How the response to the caller ended.
enum End {
    Complete,
    /// The caller closed the connection.
    CallerLeft,
    /// The stream cannot be resumed.
    Failed(attempt::Error),
}

impl Forwarder {
    async fn run(&mut self, mut run: Run) {
        let end = loop {
            let resumed = match self.forward(&mut run).await {
                Forwarded::Complete => {
                    run.flight.record_success();
                    run.events.finish(run.flight.pool());
                    // The caller may be slow to take the rest, which needs no slot of the upstream.
                    drop(run.flight);
                    break End::Complete;
                }
                Forwarded::CallerLeft => break End::CallerLeft,
                Forwarded::Closed => {
                    drop(run.events);
                    self.confirm_end(run.flight).await
                }
                Forwarded::Failed(failure) => {
                    drop(run.events);
                    self.resume(run.flight, failure).await
                }
            };
            match resumed {
                Ok(resumed) => run = resumed,
                Err(end) => break end,
            }
        };
        match end {
            End::Complete => {
                record_end(&self.request, StatusCode::OK, "served");
                // The caller may have closed the connection.
                let _ = self.sender.send(Chunk::End).await;
            }
            End::CallerLeft => self.record_caller_left(),
            End::Failed(error) => self.record_broken(error),
        }
    }

    /// Forwards the events of one run.
    async fn forward(&mut self, run: &mut Run) -> Forwarded {
        loop {
            let event = match &run.next {
                Ok(Next::Event(event)) => event.clone(),
                Ok(Next::End) => return Forwarded::Complete,
                Ok(Next::Closed) => {
                    log_unmarked_end(&self.request, &run.flight, self.events_sent);
                    return Forwarded::Closed;
                }
                Err(failure) => return Forwarded::Failed(*failure),
            };
            run.flight.record_event();
            match event.id {
                Some(id) if exchange::breaks_order(self.last_event_id, id) => {
                    return Forwarded::Failed(Failure::Broken);
                }
                Some(id) => self.last_event_id = Some(id),
                // A comment is no part of the stream's sequence.
                None if self.is_numbered && event.has_data() => {
                    self.is_numbered = false;
                    log_unnumbered(&self.request, &run.flight, None, self.events_sent);
                }
                None => {}
            }
            if let Err(forwarded) = self.send(event.raw).await {
                return forwarded;
            }
            self.events_sent += 1;
            self.ending.record_event();
            match self.next(&run.flight, &mut run.events).await {
                Some(next) => run.next = next,
                None => return Forwarded::CallerLeft,
            }
        }
    }

    /// Passes an event on to the caller, who may be slow, before the deadline.
    async fn send(&self, event: Bytes) -> Result<(), Forwarded> {
        let sent = async { self.sender.send(self.waiting.reserve(event).await).await };
        tokio::select! {
            biased;
            () = self.sender.closed() => Err(Forwarded::CallerLeft),
            sent = timeout_at(self.request.deadline.into(), sent) => match sent {
                Ok(Ok(())) => Ok(()),
                Ok(Err(_)) => Err(Forwarded::CallerLeft),
                Err(_) => Err(Forwarded::Failed(Failure::Silent)),
            },
        }
    }

    /// Returns what follows in a stream, or `None` if the caller closed the connection.
    async fn next(
        &mut self,
        flight: &Flight,
        events: &mut Events,
    ) -> Option<Result<Next, Failure>> {
        if !events.is_quiet() {
            self.request.end_search();
        }
        let next = events.next(flight, self.request.deadline);
        let (is_numbered, last) = (self.is_numbered, self.last_event_id);
        let next = async {
            match is_numbered {
                true => self.request.watch(flight, last, next).await,
                // Another upstream could not resume the stream.
                false => next.await,
            }
        };
        tokio::select! {
            biased;
            () = self.sender.closed() => None,
            next = next => Some(next),
        }
    }

    /// Finds out whether a stream is complete whose upstream closed the connection without marking an
    /// end. Returns the run that resumes it otherwise.
    async fn confirm_end(&mut self, mut flight: Flight) -> Result<Run, End> {
        let is_confirmed = self.ending.record_close();
        // A stream that cannot be resumed has only one run. All that can be known is whether its
        // upstream lives.
        let is_last = is_confirmed || !self.request.route.is_retryable() || !self.is_numbered;
        if is_last {
            // A stream has an event; comments are none.
            let has_event = self.last_event_id.is_some() || !self.is_numbered;
            if has_event && exchange::is_alive(&flight).await {
                flight.record_success();
                return Err(End::Complete);
            }
        } else if flight.may_repeat()
            && let Some((events, next)) = self.request_rest(&mut flight).await?
        {
            return Ok(Run { flight, events, next });
        }
        self.resume(flight, Failure::Broken).await
    }

    /// Requests the rest of the stream from the upstream that closed the connection. Returns `None` if
    /// it does not send an event stream.
    async fn request_rest(
        &mut self,
        flight: &mut Flight,
    ) -> Result<Option<(Events, Result<Next, Failure>)>, End> {
        let sent = tokio::select! {
            biased;
            () = self.sender.closed() => return Err(End::CallerLeft),
            sent = self.request.send_to(flight, self.last_event_id) => sent,
        };
        let Ok(response) = sent.map_err(End::Failed)? else { return Ok(None) };
        if !(response.status.is_success() && response.is_event_stream()) {
            return Ok(None);
        }
        let mut events = response.events(flight.event_memory());
        let next = self.next(flight, &mut events).await.ok_or(End::CallerLeft)?;
        if matches!(next, Ok(Next::Event(_))) {
            // The upstream had closed the connection early.
            self.record_failure(flight, Failure::Broken)?;
            self.log_resumed(flight);
        }
        Ok(Some((events, next)))
    }

    /// Resumes the stream after the last event at another upstream, since the run of `flight` failed.
    async fn resume(&mut self, mut flight: Flight, mut failure: Failure) -> Result<Run, End> {
        self.ending.reset();
        loop {
            self.record_failure(&flight, failure)?;
            drop(flight);
            let caller = self.sender.clone();
            let sent = tokio::select! {
                biased;
                () = caller.closed() => return Err(End::CallerLeft),
                sent = self.request.send(self.last_event_id) => sent,
            };
            let (next_flight, response) = sent.map_err(End::Failed)?;
            if response.status.is_success() && response.is_event_stream() {
                self.log_resumed(&next_flight);
                let mut events = response.events(next_flight.event_memory());
                let next = self.next(&next_flight, &mut events).await.ok_or(End::CallerLeft)?;
                return Ok(Run { flight: next_flight, events, next });
            }
            // The response is an error of this upstream and no part of the stream.
            (flight, failure) = (next_flight, Failure::Broken);
        }
    }

    /// Records that a run of the stream failed, and fails if the stream cannot be resumed.
    fn record_failure(&mut self, flight: &Flight, failure: Failure) -> Result<(), End> {
        self.request.record_failure(flight, failure, self.events_sent).map_err(End::Failed)?;
        match self.is_numbered {
            true => Ok(()),
            false => Err(End::Failed(attempt::Error::AttemptsExhausted(failure))),
        }
    }

    fn log_resumed(&self, flight: &Flight) {
        event!(
            StreamResumed,
            upstream:% = flight.upstream.id,
            received = self.last_event_id.unwrap_or(0),
            request:% = self.request.outgoing.id
        );
    }

    fn record_caller_left(&self) {
        event!(CallerLeft, request:% = self.request.outgoing.id, events = self.events_sent);
        counter!(RELAY_REQUESTS, "kind" => self.request.route.kind.name(), "outcome" => "left")
            .increment(1);
    }

    /// Records that the stream cannot be resumed. The response is truncated without a last chunk.
    fn record_broken(&self, error: attempt::Error) {
        let cause = match error {
            attempt::Error::Refused(..) => "no upstream can resume the stream in time",
            attempt::Error::UnknownOrigin => "its software version is not known",
            attempt::Error::Quarantined(_) => "it or a part of its prompt ended upstreams",
            attempt::Error::Rejected(_) => "its key is no longer known to be valid",
            attempt::Error::AttemptsExhausted(failure) => failure.name(),
            attempt::Error::DeadlineExceeded => "deadline exceeded",
        };
        self.request.log_broken(cause, self.events_sent);
        counter!(RELAY_REQUESTS, "kind" => self.request.route.kind.name(), "outcome" => "broken")
            .increment(1);
    }
}

fn log_unnumbered(request: &Request, flight: &Flight, id: Option<u64>, events: u64) {
    event!(
        EventUnnumbered,
        request:% = request.outgoing.id,
        upstream:% = flight.upstream.id,
        event = id.unwrap_or(0),
        events = events
    );
}

fn log_unmarked_end(request: &Request, flight: &Flight, events: u64) {
    event!(
        ResponseUnmarked,
        request:% = request.outgoing.id,
        upstream:% = flight.upstream.id,
        events = events
    );
}

/// Returns the response to a request that got none from an upstream. The status is 503 only if the
/// request certainly did not run.
fn error_response(request: &Request, error: attempt::Error) -> Response<Body> {
    let is_not_run = request.is_not_run();
    let (wait, placement, reason) = match error {
        attempt::Error::Refused(wait, placement) => {
            let reason = match request.software {
                Some(_) => "no upstream of the stream's software version can continue it in time",
                None => "no upstream can start the request in time",
            };
            (wait, placement, reason)
        }
        attempt::Error::Quarantined(left) => {
            (left, Placement::default(), "the request or a part of its prompt ended upstreams")
        }
        attempt::Error::Rejected(rejection) if is_not_run => {
            let (id, route) = (&request.outgoing.id, Some(&*request.route));
            return admission::reject(&request.shared, id, route, rejection);
        }
        attempt::Error::Rejected(_) => (
            MIN_RETRY_AFTER,
            Placement::default(),
            "the key of the request is no longer known to be valid",
        ),
        attempt::Error::UnknownOrigin => (
            MIN_RETRY_AFTER,
            Placement::default(),
            "it is not known which software version began the stream",
        ),
        attempt::Error::AttemptsExhausted(failure) => {
            (MIN_RETRY_AFTER, Placement::default(), failure.name())
        }
        attempt::Error::DeadlineExceeded => {
            (Duration::ZERO, Placement::default(), "deadline exceeded")
        }
    };
    if !is_not_run {
        let status = match error {
            attempt::Error::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            attempt::Error::Refused(..)
            | attempt::Error::UnknownOrigin
            | attempt::Error::Quarantined(_)
            | attempt::Error::Rejected(_)
            | attempt::Error::AttemptsExhausted(_) => StatusCode::BAD_GATEWAY,
        };
        record_end(request, status, "failed");
        return empty(status);
    }
    let longest = match error {
        attempt::Error::Quarantined(left) => left.max(MIN_RETRY_AFTER),
        _ => MAX_RETRY_AFTER,
    };
    let retry_after = wait.clamp(MIN_RETRY_AFTER, longest);
    event!(
        RequestDeclined,
        request:% = request.outgoing.id,
        route:% = request.route.name,
        reason:% = reason,
        granted = placement.granted,
        load_permille = placement.load.permille,
        wait_ms = placement.elapsed.as_millis() as u64,
        retry_after_ms = retry_after.as_millis() as u64
    );
    counter!(RELAY_REQUESTS, "kind" => request.route.kind.name(), "outcome" => "refused")
        .increment(1);
    unavailable(retry_after)
}

/// Returns a response which says that the request did not run and when to retry it.
pub fn unavailable(retry_after: Duration) -> Response<Body> {
    refusal(StatusCode::SERVICE_UNAVAILABLE, retry_after)
}

/// Returns a response with a status that says that the request did not run, and when to retry it.
pub fn refusal(status: StatusCode, retry_after: Duration) -> Response<Body> {
    let mut response = empty(status);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

fn record_first_byte(request: &mut Request) {
    let elapsed = request.arrived.elapsed();
    request.time_to_first_byte = Some(elapsed);
    histogram!(RELAY_FIRST_BYTE_SECONDS, "kind" => request.route.kind.name())
        .record(elapsed.as_secs_f64());
}

fn record_end(request: &Request, status: StatusCode, outcome: &'static str) {
    let elapsed = request.arrived.elapsed();
    let kind = request.route.kind.name();
    counter!(RELAY_REQUESTS, "kind" => kind, "outcome" => outcome).increment(1);
    histogram!(RELAY_REQUEST_SECONDS, "kind" => kind).record(elapsed.as_secs_f64());
    event!(
        RequestEnded,
        request:% = request.outgoing.id,
        route:% = request.route.name,
        status = status.as_u16(),
        attempts = request.attempts.possibly_run + request.attempts.not_run + 1,
        first_ms = request.time_to_first_byte.map_or(0, |time| time.as_millis() as u64),
        elapsed_ms = elapsed.as_millis() as u64
    );
}

/// Returns the value of a header if it is visible ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
