//! Callers' requests about batch jobs.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cyclamengrade_control::relay::{account::Caller, quota::Admission, route::Route};
use cyclamengrade_platform::Error;
use cyclamengrade_telemetry::event;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HOST, HeaderValue},
    http::request::Parts,
};
use tokio::time::Instant;

use crate::{
    admission,
    batch::Dispatcher,
    body::Body,
    dialect::{Item, JobCall},
    job::{
        key,
        reservation::Reservation,
        row, size,
        store::{self, Acceptance},
    },
    online,
    shared::{Phase, Shared},
};

/// Longest wait for the first result in one call, in addition to the time of the calls to the
/// store.
const MAX_RESULT_WAIT: Duration = Duration::from_millis(1_000);
/// Shortest `Retry-After` while the store is unavailable.
const MIN_STORE_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Longest `Retry-After` while the store is unavailable.
const MAX_STORE_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Timeout for the arrival of a submission's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);
/// Limit on the items of a job.
const MAX_ITEMS: usize = 200;

/// Stores a submitted job, and starts to run it unless this relay is about to stop.
pub async fn submit(
    shared: &Arc<Shared>,
    dispatcher: &Arc<Dispatcher>,
    route: Arc<Route>,
    head: Parts,
    body: Incoming,
) -> Response<Body> {
    let started = Instant::now();
    let names = shared.dialect.headers();
    let Some(id) = online::header_text(&head.headers, &names.request_id).map(str::to_owned) else {
        return online::empty(StatusCode::BAD_REQUEST);
    };
    let reject = |rejection| admission::reject(shared, &id, Some(&route), rejection);
    let caller = match shared.identify(route.public, &head.headers) {
        Ok(caller) => caller,
        Err(rejection) => return reject(rejection),
    };
    if !key::is_storable(&id) {
        return bad_request(&id, "the id of the job is too long");
    }
    let limits = shared.routes.load().limits;
    let body = match admission::read_body(&shared.body_memory, body, &limits, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(status) => return admission::body_error(status),
    };
    let items = match shared.dialect.read_job(&body.bytes) {
        Ok(items) if items.len() <= MAX_ITEMS => Arc::new(items),
        Ok(_) => return bad_request(&id, "too many items"),
        Err(cause) => return bad_request(&id, &cause),
    };
    let result = |(position, item): (usize, &Item)| row::Outcome {
        item: item.id.clone(),
        state: row::FinalState::Abandoned,
        text: None,
        object: Some(key::text(&id, position)),
    };
    if !items.iter().enumerate().map(result).all(|result| size::fits_row(shared, &result)) {
        return bad_request(&id, "the id of an item is too long");
    }
    let tokens = items.iter().map(|item| item.tokens).fold(0, u64::saturating_add);
    let _reservation = match reserve(shared, &route, &id, &caller, tokens).await {
        Ok(reservation) => reservation,
        Err(response) => return response,
    };
    let caller = match shared.identify_again(&caller, route.public, &head.headers) {
        Ok(changed) => changed.unwrap_or(caller),
        Err(rejection) => return reject(rejection),
    };
    let Some(now) = shared.clock.store_ms() else { return store_unavailable(shared) };
    let after = |duration: Duration| now.saturating_add(duration.as_millis() as u64);
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let is_running = *shared.phase.borrow() == Phase::Running;
    let job = row::Job {
        host: host.to_owned(),
        path: head.uri.path().to_owned(),
        items: items.len(),
        tokens,
        accepted_ms: now,
        due_ms: after(route.completion_target),
        expires_ms: after(route.retention),
        state: row::State::Open,
        owner: is_running.then(|| shared.as_owner()),
        configuration: shared.routes.load().version,
        account: caller.account().map(|account| account.name.clone()),
        public: caller == Caller::Anonymous,
    };
    if !size::fits_row(shared, &job) {
        return bad_request(&id, "the host and the path are too long");
    }
    let loading = dispatcher.begin_loading(&id);
    match store::accept(shared, &id, body.bytes.clone(), &job).await {
        Acceptance::Stored => {}
        Acceptance::NotStored(error) => {
            event!(JobNotStored, job:% = id, status = 503, error:% = error);
            return store_unavailable(shared);
        }
        Acceptance::Unknown(error) => {
            event!(JobNotStored, job:% = id, status = 502, error:% = error);
            return online::empty(StatusCode::BAD_GATEWAY);
        }
    }
    // An earlier submission with the same id may have stored another row, with another owner.
    let known = shared.jobs().get(&id).cloned();
    if known.as_ref().is_some_and(|known| !known.row.admits(&caller)) {
        return online::empty(StatusCode::NOT_FOUND);
    }
    event!(
        JobStored,
        job:% = id,
        items = items.len(),
        elapsed_ms = started.elapsed().as_millis() as u64
    );
    if let (Some(known), Some(_)) = (known, &loading)
        && known.row == job
        && is_running
    {
        let owned = dispatcher.prepare(known, items, &[], &BTreeMap::new());
        dispatcher.start_job(&id, owned);
    }
    drop(loading);
    online::empty(StatusCode::ACCEPTED)
}

/// Reserves the tokens of a job within the limit of its route and account. A job that is stored already
/// needs no reservation. The error is the response to the submission.
async fn reserve(
    shared: &Arc<Shared>,
    route: &Route,
    id: &str,
    caller: &Caller,
    tokens: u64,
) -> Result<Option<Reservation>, Response<Body>> {
    let account = caller.account().map(|account| account.name.as_str());
    let refused = match shared.reserve_tokens(route, account, tokens) {
        Ok(reservation) => return Ok(Some(reservation)),
        Err(refused) => refused,
    };
    match store::find(shared, id).await {
        Ok(Some(_)) => return Ok(None),
        Ok(None) => {}
        Err(error) => {
            event!(JobCallFailed, job:% = id, error:% = error);
            return Err(store_unavailable(shared));
        }
    }
    let waiting = shared.waiting_tokens(route, account);
    event!(JobOverLimit, job:% = id, route:% = route.name, tokens = tokens, waiting = waiting, decision:? = refused);
    Err(match refused {
        Admission::Full(wait) => online::refusal(StatusCode::TOO_MANY_REQUESTS, wait),
        Admission::TooLarge => online::empty(StatusCode::TOO_MANY_REQUESTS),
        Admission::Unknown | Admission::Admitted => store_unavailable(shared),
    })
}

/// Refuses a call because the store is unavailable. `Retry-After` is the duration of the outage so
/// far, as an outage is expected to go on for as long as it has lasted.
fn store_unavailable(shared: &Shared) -> Response<Body> {
    online::unavailable(store_retry_after(shared))
}

/// Returns the time after which a call may be repeated that needs the store.
pub fn store_retry_after(shared: &Shared) -> Duration {
    shared.store_age().clamp(MIN_STORE_RETRY_AFTER, MAX_STORE_RETRY_AFTER)
}

fn bad_request(id: &str, cause: &str) -> Response<Body> {
    event!(RequestImproper, request:% = id, reason:% = cause, status = 400);
    online::empty(StatusCode::BAD_REQUEST)
}

/// Handles a call about a submitted job.
pub async fn handle(
    shared: &Arc<Shared>,
    dispatcher: &Arc<Dispatcher>,
    call: JobCall,
    headers: &HeaderMap,
) -> Response<Body> {
    let id = match &call {
        JobCall::Results { job, .. } | JobCall::Item { job, .. } | JobCall::End { job } => job,
    };
    let id = id.clone();
    if !key::is_storable(&id) {
        return online::empty(StatusCode::NOT_FOUND);
    }
    let job = match store::find(shared, &id).await {
        Ok(job) => job,
        Err(error) => return call_failed(shared, &id, &error),
    };
    let is_public = job.as_ref().is_some_and(|job| job.row.public);
    let caller = match shared.identify(is_public, headers) {
        Ok(caller) => caller,
        Err(rejection) => return admission::reject(shared, &id, None, rejection),
    };
    let Some(job) = job.filter(|job| job.row.admits(&caller)) else {
        return online::empty(StatusCode::NOT_FOUND);
    };
    let result = match call {
        JobCall::Results { after, wait, .. } => {
            results(shared, &id, &job.row, after, wait.min(MAX_RESULT_WAIT)).await
        }
        JobCall::Item { item, .. } => item_body(shared, dispatcher, &id, &item).await,
        JobCall::End { .. } => return end(shared, dispatcher, &id).await,
    };
    // The accounts may have changed while the results were waited for.
    match shared.identify_again(&caller, is_public, headers) {
        Err(rejection) => return admission::reject(shared, &id, None, rejection),
        Ok(Some(caller)) if !job.row.admits(&caller) => {
            return online::empty(StatusCode::NOT_FOUND);
        }
        Ok(_) => {}
    }
    match result {
        Ok(Some(response)) => response,
        Ok(None) => online::empty(StatusCode::NOT_FOUND),
        Err(error) => call_failed(shared, &id, &error),
    }
}

/// Logs that the store failed during a call about a job, and refuses the call.
fn call_failed(shared: &Shared, id: &str, error: &Error) -> Response<Body> {
    event!(JobCallFailed, job:% = id, error:% = error);
    store_unavailable(shared)
}

async fn results(
    shared: &Shared,
    id: &str,
    job: &row::Job,
    after: usize,
    wait: Duration,
) -> Result<Option<Response<Body>>, Error> {
    let page = store::results(shared, id, job.items, after, wait).await?;
    let mut response = Response::new(Body::new(shared.dialect.write_page(&page)));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(Some(response))
}

async fn item_body(
    shared: &Shared,
    dispatcher: &Dispatcher,
    id: &str,
    item: &str,
) -> Result<Option<Response<Body>>, Error> {
    let items = match dispatcher.items(id) {
        Some(items) => items,
        None => Arc::new(store::input(shared, id).await?),
    };
    let found = items.iter().find(|found| found.id == item);
    Ok(found.map(|found| Response::new(Body::new(found.body.clone()))))
}

async fn end(shared: &Arc<Shared>, dispatcher: &Arc<Dispatcher>, id: &str) -> Response<Body> {
    match store::end(shared, id).await {
        Ok(true) => {
            dispatcher.release(id, "its caller ended it");
            dispatcher.notify_end(id);
            online::empty(StatusCode::OK)
        }
        Ok(false) => online::empty(StatusCode::NOT_FOUND),
        Err(error) => call_failed(shared, id, &error),
    }
}
