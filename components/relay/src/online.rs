//! Requests that callers wait for.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use cyclamengrade_control::relay::{
    failure::Failure,
    route::{Kind, Limits, Route},
    selector::Load,
};
use cyclamengrade_telemetry::{
    event,
    metrics::{RELAY_FIRST, RELAY_REQUESTS, RELAY_SECONDS},
};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_LENGTH, HeaderName, HeaderValue, RETRY_AFTER},
    http::request::Parts,
};
use metrics::{counter, histogram};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, mpsc::Sender},
    time::timeout,
};

use crate::{
    attempt::{Request, Stop},
    body::{Body, Broken},
    events::Event,
    exchange::{self, Answer, Events, Outgoing, Whole},
    shared::{Flight, Shared},
};

/// Time to come back after a refusal that says nothing of the load.
const SHORT_RETRY: Duration = Duration::from_millis(100);
/// Longest time to come back that is given.
const LONGEST_RETRY: Duration = Duration::from_secs(2);

/// Bytes of bodies that are counted as one.
const ROOM_UNIT: usize = 1 << 10;

/// A body in memory, and the room that it takes there.
pub struct Buffered {
    /// The body.
    pub bytes: Bytes,
    /// Room in units of bytes, given back when this is dropped.
    pub room: OwnedSemaphorePermit,
}

/// Reads the body of a request within the limits and the room that all bodies share.
///
/// # Errors
///
/// The status of the answer when the body is too large, broken or late, or when there is no room.
pub async fn read_body(
    room: &Arc<Semaphore>,
    body: Incoming,
    limits: &Limits,
    within: Duration,
) -> Result<Buffered, StatusCode> {
    let take = |units: u32| {
        let taken = room.clone().try_acquire_many_owned(units);
        taken.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)
    };
    let read = async {
        let mut body = body;
        let mut bytes = BytesMut::new();
        let mut room = take(1)?;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
            if let Ok(data) = frame.into_data() {
                if bytes.len() + data.len() > limits.body_bytes {
                    return Err(StatusCode::PAYLOAD_TOO_LARGE);
                }
                bytes.extend_from_slice(&data);
                let units = 1 + bytes.len() / ROOM_UNIT;
                room.merge(take((units - room.num_permits()) as u32)?);
            }
        }
        Ok(Buffered { bytes: bytes.freeze(), room })
    };
    timeout(within, read).await.unwrap_or(Err(StatusCode::REQUEST_TIMEOUT))
}

/// Serves a request of a route that is not for batch jobs.
pub async fn serve(
    shared: Arc<Shared>,
    route: Arc<Route>,
    head: Parts,
    body: Incoming,
    arrived: Instant,
) -> Response<Body> {
    let names = shared.dialect.headers();
    let id = text(&head.headers, &names.request_id).unwrap_or_default().to_owned();
    let wait = text(&head.headers, &names.deadline_ms)
        .and_then(|value| value.parse().ok())
        .map_or(route.timeout, |ms| Duration::from_millis(ms).min(route.timeout));
    let deadline = arrived + wait;
    let limits = shared.routes.load().limits;
    let body = match read_body(&shared.body_memory, body, &limits, wait).await {
        Ok(body) => body,
        Err(status) => {
            event!(
                RequestImproper,
                request:% = id,
                reason = "body was not read",
                status = status.as_u16()
            );
            return unread(status);
        }
    };
    let mut headers = head.headers;
    exchange::strip_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let Buffered { bytes: body, room } = body;
    let outgoing = Outgoing { method: head.method, uri: origin(&head.uri), headers, body, id };
    let request =
        Request::new(shared.clone(), route.clone(), outgoing, arrived, deadline).with_room(room);
    match route.kind {
        Kind::Stream => stream(shared, request).await,
        Kind::Safe | Kind::Unsafe | Kind::Batch => whole(shared, request).await,
    }
}

/// Path and query of a target, also of one in absolute form.
fn origin(uri: &hyper::Uri) -> hyper::Uri {
    uri.path_and_query().map_or_else(|| uri.clone(), |path| hyper::Uri::from(path.clone()))
}

/// Serves a request whose answer is held until it is whole, so that it can be repeated elsewhere.
async fn whole(shared: Arc<Shared>, mut request: Request) -> Response<Body> {
    loop {
        let (flight, answer) = match request.answer(None).await {
            Ok(sent) => sent,
            Err(stop) => return give_up(&request, stop),
        };
        match answer.whole(&shared.pool, request.patience()).await {
            Ok(whole) => {
                flight.record_success();
                let can_repeat = is_fault(whole.status) && repeat_error(&mut request, &flight);
                if !can_repeat {
                    return answered(request, whole);
                }
            }
            Err(failure) => {
                if let Err(stop) = request.fail(&flight, failure, 0) {
                    return give_up(&request, stop);
                }
            }
        }
    }
}

/// Whether a status reports a fault of the upstream. A time-out of its own does not: it was given
/// the time that the caller has.
fn is_fault(status: StatusCode) -> bool {
    status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
}

/// Whether an answer that reports a fault of the upstream is dropped for another attempt.
fn repeat_error(request: &mut Request, flight: &Flight) -> bool {
    request.route.is_retryable() && request.fail(flight, Failure::Broken, 0).is_ok()
}

/// Passes a whole answer on as it came.
fn answered(mut request: Request, whole: Whole) -> Response<Body> {
    first_byte(&mut request);
    ended(&request, whole.status, "served");
    let mut response = Response::new(Body::new(whole.body));
    *response.status_mut() = whole.status;
    *response.headers_mut() = whole.headers;
    exchange::strip_hop_headers(response.headers_mut());
    response
}

/// Serves a stream. The head is sent with the first event, so that an attempt that fails before it
/// can be repeated whole.
async fn stream(shared: Arc<Shared>, mut request: Request) -> Response<Body> {
    let names = shared.dialect.headers();
    let asked = text(&request.outgoing.headers, &names.last_event_id)
        .and_then(|value| value.parse::<u64>().ok());
    loop {
        let (mut flight, answer) = match request.answer(None).await {
            Ok(sent) => sent,
            Err(stop) => return give_up(&request, stop),
        };
        if !(answer.status.is_success() && answer.is_event_stream()) {
            match answer.whole(&shared.pool, request.patience()).await {
                Ok(whole) => {
                    let can_repeat = is_fault(whole.status) && repeat_error(&mut request, &flight);
                    if can_repeat {
                        continue;
                    }
                    return answered(request, whole);
                }
                Err(failure) => match request.fail(&flight, failure, 0) {
                    Ok(()) => continue,
                    Err(stop) => return give_up(&request, stop),
                },
            }
        }
        let (status, headers) = (answer.status, answer.headers.clone());
        let mut events = Answer::events(answer);
        match events.next(request.patience()).await {
            Ok(first) => {
                flight.record_bytes();
                first_byte(&mut request);
                let (sender, body) = Body::stream();
                let mut forwarder = Forwarder { request, sender, last: asked, sent: 0 };
                tokio::spawn(async move { forwarder.run(flight, events, first).await });
                let mut response = Response::new(body);
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                exchange::strip_hop_headers(response.headers_mut());
                response.headers_mut().remove(CONTENT_LENGTH);
                return response;
            }
            Err(failure) => {
                drop(events);
                if let Err(stop) = request.fail(&flight, failure, 0) {
                    return give_up(&request, stop);
                }
            }
        }
    }
}

/// A stream whose head was sent.
struct Forwarder {
    request: Request,
    sender: Sender<Result<Bytes, Broken>>,
    /// Id of the last event that the caller has.
    last: Option<u64>,
    sent: u64,
}

/// How the forwarding of one run ended.
enum Forwarded {
    Complete,
    Left,
    Failed(Failure),
}

impl Forwarder {
    async fn run(&mut self, mut flight: Flight, mut events: Events, first: Option<Event>) {
        let mut next = Ok(first);
        loop {
            match self.forward(&mut flight, &mut events, next).await {
                Forwarded::Complete => {
                    flight.record_success();
                    ended(&self.request, StatusCode::OK, "served");
                    events.finish(flight.pool());
                    return;
                }
                Forwarded::Left => {
                    event!(CallerLeft, request:% = self.request.outgoing.id, events = self.sent);
                    counter!(RELAY_REQUESTS, "kind" => self.request.route.kind.name(), "outcome" => "left")
                        .increment(1);
                    return;
                }
                Forwarded::Failed(failure) => {
                    drop(events);
                    let resumed = match self.request.fail(&flight, failure, self.sent) {
                        Ok(()) => self.resume().await,
                        Err(stop) => Err(stop),
                    };
                    match resumed {
                        Ok(Some((new_flight, new_events))) => {
                            (flight, events) = (new_flight, new_events)
                        }
                        Ok(None) => return,
                        Err(stop) => return self.break_off(stop).await,
                    }
                    next = events.next(self.request.patience()).await;
                }
            }
        }
    }

    /// Forwards events until the run ends.
    async fn forward(
        &mut self,
        flight: &mut Flight,
        events: &mut Events,
        mut next: Result<Option<Event>, Failure>,
    ) -> Forwarded {
        loop {
            let event = match next {
                Ok(Some(event)) => event,
                Ok(None) => return Forwarded::Complete,
                Err(failure) => return Forwarded::Failed(failure),
            };
            flight.record_bytes();
            match (event.id, self.last) {
                // An event that is missing, repeated or of another run.
                (Some(id), Some(last)) if id != last + 1 => {
                    return Forwarded::Failed(Failure::Broken);
                }
                (Some(id), _) => self.last = Some(id),
                (None, _) => {}
            }
            if self.sender.send(Ok(event.raw)).await.is_err() {
                return Forwarded::Left;
            }
            self.sent += 1;
            let patience = self.request.patience();
            next = tokio::select! {
                biased;
                () = self.sender.closed() => return Forwarded::Left,
                next = events.next(patience) => next,
            };
        }
    }

    /// Goes on at another upstream after the last event; `None` when the caller has left.
    async fn resume(&mut self) -> Result<Option<(Flight, Events)>, Stop> {
        let closed = self.sender.clone();
        let answer = tokio::select! {
            biased;
            () = closed.closed() => return Ok(None),
            answer = self.request.answer(self.last) => answer,
        };
        let (flight, answer) = answer?;
        if answer.status.is_success() && answer.is_event_stream() {
            event!(
                StreamResumed,
                upstream:% = flight.upstream.id,
                received = self.last.unwrap_or(0),
                request:% = self.request.outgoing.id
            );
            return Ok(Some((flight, answer.events())));
        }
        Err(Stop::Spent(Failure::Broken))
    }

    async fn break_off(&self, stop: Stop) {
        let cause = match stop {
            Stop::Refused(..) => "no upstream can take it over",
            Stop::Spent(failure) => failure.name(),
            Stop::Late => "its time is over",
        };
        event!(
            StreamBroken,
            request:% = self.request.outgoing.id,
            route:% = self.request.route.name,
            cause:% = cause,
            events = self.sent,
            elapsed_ms = self.request.arrived.elapsed().as_millis() as u64
        );
        counter!(RELAY_REQUESTS, "kind" => self.request.route.kind.name(), "outcome" => "broken")
            .increment(1);
        // The caller may have left meanwhile.
        let _ = self.sender.send(Err(Broken)).await;
    }
}

/// The final answer to a request that no upstream answered.
fn give_up(request: &Request, stop: Stop) -> Response<Body> {
    let unrun = request.spent.is_not_run();
    let (wait, view, reason) = match stop {
        Stop::Refused(wait, view) => (wait, view, "no upstream can start it in time"),
        Stop::Spent(failure) => (SHORT_RETRY, Load::default(), failure.name()),
        Stop::Late => (Duration::ZERO, Load::default(), "its time is over"),
    };
    if !unrun {
        let status = match stop {
            Stop::Late => StatusCode::GATEWAY_TIMEOUT,
            Stop::Refused(..) | Stop::Spent(_) => StatusCode::BAD_GATEWAY,
        };
        ended(request, status, "failed");
        return empty(status);
    }
    let retry_after = wait.clamp(SHORT_RETRY, LONGEST_RETRY);
    event!(
        RequestDeclined,
        request:% = request.outgoing.id,
        route:% = request.route.name,
        reason:% = reason,
        wait_ms = view.expected_wait.as_millis() as u64,
        report_age_ms = view.report_age.as_millis() as u64,
        retry_after_ms = retry_after.as_millis() as u64
    );
    counter!(RELAY_REQUESTS, "kind" => request.route.kind.name(), "outcome" => "refused")
        .increment(1);
    refused(retry_after)
}

/// An answer that says that a request did not run and when to come back.
pub fn refused(retry_after: Duration) -> Response<Body> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// The answer to a request whose body was not read.
pub fn unread(status: StatusCode) -> Response<Body> {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => refused(SHORT_RETRY),
        status => empty(status),
    }
}

/// An answer without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

fn first_byte(request: &mut Request) {
    let elapsed = request.arrived.elapsed();
    request.first = Some(elapsed);
    histogram!(RELAY_FIRST, "kind" => request.route.kind.name()).record(elapsed.as_secs_f64());
}

fn ended(request: &Request, status: StatusCode, outcome: &'static str) {
    let elapsed = request.arrived.elapsed();
    let kind = request.route.kind.name();
    counter!(RELAY_REQUESTS, "kind" => kind, "outcome" => outcome).increment(1);
    histogram!(RELAY_SECONDS, "kind" => kind).record(elapsed.as_secs_f64());
    event!(
        RequestEnded,
        request:% = request.outgoing.id,
        route:% = request.route.name,
        status = status.as_u16(),
        attempts = request.spent.possibly_run + request.spent.not_run + 1,
        first_ms = request.first.map_or(0, |first| first.as_millis() as u64),
        elapsed_ms = elapsed.as_millis() as u64
    );
}

/// The text of a header.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
