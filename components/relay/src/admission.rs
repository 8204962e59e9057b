//! Admission of online requests: their bodies, their callers and the quotas of accounts.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use cyclamengrade_control::relay::{
    allowance,
    route::{Kind, Limits, Route},
};
use cyclamengrade_telemetry::{event, metrics::RELAY_REQUESTS};
use http_body_util::BodyExt;
use hyper::{
    Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, CONTENT_LENGTH, HeaderValue, WWW_AUTHENTICATE},
    http::request::Parts,
};
use metrics::counter;
use tokio::time::timeout;

use crate::{
    attempt::Request,
    body::Body,
    caller::Rejection,
    charge,
    exchange::{self, Outgoing},
    memory::{Budget, Reservation},
    online::{self, MIN_RETRY_AFTER, header_text},
    shared::Shared,
};

/// `Retry-After` while this relay has not read a configuration.
pub const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A request body in memory.
pub struct Buffered {
    pub bytes: Bytes,
    /// Memory reserved for the body, freed on drop.
    pub memory: Reservation,
}

/// Reads the body of a request. `budget` limits the memory of all request bodies together.
///
/// # Errors
///
/// Returns the status of the response if the body is too large, is incomplete, does not arrive
/// within `within`, or would exceed the memory of all bodies.
pub async fn read_body(
    budget: &Budget,
    body: Incoming,
    limits: &Limits,
    within: Duration,
) -> Result<Buffered, StatusCode> {
    let read = async {
        let mut body = body;
        let mut bytes = BytesMut::new();
        let mut memory = budget.reserve().ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
            if let Ok(data) = frame.into_data() {
                if bytes.len() + data.len() > limits.body_bytes {
                    return Err(StatusCode::PAYLOAD_TOO_LARGE);
                }
                bytes.extend_from_slice(&data);
                if !memory.grow_to(bytes.len()) {
                    return Err(StatusCode::SERVICE_UNAVAILABLE);
                }
            }
        }
        Ok(Buffered { bytes: bytes.freeze(), memory })
    };
    timeout(within, read).await.unwrap_or(Err(StatusCode::REQUEST_TIMEOUT))
}

/// Admits a request of a route that is not a batch route: identifies its caller, reads its body, and takes
/// a token of the account's quota.
///
/// # Errors
///
/// Returns the response to a request that is not admitted, which has not run.
pub async fn admit(
    shared: &Arc<Shared>,
    route: Arc<Route>,
    head: Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<Request, Response<Body>> {
    let names = shared.dialect.headers();
    let id = header_text(&head.headers, &names.request_id).unwrap_or_default().to_owned();
    let timeout = header_text(&head.headers, &names.deadline_ms)
        .and_then(|value| value.parse().ok())
        .map_or(route.timeout, |ms| Duration::from_millis(ms).min(route.timeout));
    if !shared.accepts(&route, shared.clock.now() + timeout) {
        log_declined(&id, &route, "this relay stops before the request has certainly ended");
        return Err(online::unavailable(MIN_RETRY_AFTER));
    }
    let caller = shared
        .identify(route.public, &head.headers)
        .map_err(|rejection| reject(shared, &id, Some(&route), rejection))?;
    let left = shared.answer_by().map(|answer_by| answer_by.since(shared.clock.now()));
    let timeout = left.map_or(timeout, |left| timeout.min(left));
    let deadline = arrived + timeout;
    let limits = shared.routes.load().limits;
    let Buffered { bytes: body, memory } =
        match read_body(&shared.body_memory, body, &limits, timeout).await {
            Ok(body) => body,
            Err(status) => {
                event!(
                    RequestImproper,
                    request:% = id,
                    reason = "request body could not be read",
                    status = status.as_u16()
                );
                return Err(body_error(status));
            }
        };
    let token = match caller.account() {
        Some(account) => match shared.take_token(account).await {
            Ok(token) => Some(token),
            Err(wait) => {
                let wait = allowance::retry_after(wait, route.latency_objective);
                event!(
                    QuotaExceeded,
                    request:% = id,
                    account:% = account.name,
                    wait_ms = wait.as_millis() as u64
                );
                count_refused(route.kind);
                return Err(online::refusal(StatusCode::TOO_MANY_REQUESTS, wait));
            }
        },
        None => None,
    };
    let mut headers = head.headers;
    exchange::strip_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    shared.set_caller(&mut headers, &caller);
    let tokens = shared.dialect.stated_tokens(&headers);
    let charge = charge::new(caller.account().map(AsRef::as_ref), &route, tokens);
    let outgoing = Outgoing { method: head.method, uri: origin_form(&head.uri), headers, body, id };
    let request = Request::new(shared.clone(), route, outgoing, arrived, deadline, caller);
    Ok(request.with_memory(memory).with_token(token).with_charge(charge))
}

/// Logs and counts a request that is rejected because of its caller, and returns the response, which says
/// that it did not run. Calls about jobs have no route.
pub fn reject(
    shared: &Shared,
    id: &str,
    route: Option<&Route>,
    rejection: Rejection,
) -> Response<Body> {
    let name = route.map_or("", |route| route.name.as_str());
    let configuration = shared.routes.load().version;
    if let Some(route) = route {
        count_refused(route.kind);
    }
    match rejection {
        Rejection::Unconfigured => online::unavailable(NO_CONFIGURATION_RETRY_AFTER),
        Rejection::Unconfirmed => {
            event!(
                ConfigurationUnconfirmed,
                request:% = id,
                route:% = name,
                configuration = configuration
            );
            let mut response = online::unavailable(MIN_RETRY_AFTER);
            // The caller may reach another relay, whose configuration is current.
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            response
        }
        Rejection::Unauthorized(reason) => {
            event!(
                RequestUnauthorized,
                request:% = id,
                route:% = name,
                reason = reason,
                configuration = configuration
            );
            let mut response = online::empty(StatusCode::UNAUTHORIZED);
            let scheme = HeaderValue::from_static(shared.dialect.key_scheme());
            response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
            response
        }
    }
}

/// Returns the response to a request whose body could not be read, for a status of [`read_body`].
pub fn body_error(status: StatusCode) -> Response<Body> {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => online::unavailable(MIN_RETRY_AFTER),
        status => online::empty(status),
    }
}

/// Returns the path and query of a request target, also of one in absolute form.
fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    uri.path_and_query().map_or_else(|| uri.clone(), |path| hyper::Uri::from(path.clone()))
}

/// Logs and counts a request that is refused before its first attempt.
fn log_declined(id: &str, route: &Route, reason: &str) {
    event!(
        RequestDeclined,
        request:% = id,
        route:% = route.name,
        reason:% = reason,
        granted = false,
        load_permille = 0,
        wait_ms = 0,
        retry_after_ms = MIN_RETRY_AFTER.as_millis() as u64
    );
    count_refused(route.kind);
}

fn count_refused(kind: Kind) {
    counter!(RELAY_REQUESTS, "kind" => kind.name(), "outcome" => "refused").increment(1);
}
