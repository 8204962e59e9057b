//! Routes for batch jobs.

use std::time::Duration;

use hyper::{HeaderMap, Uri, body::Incoming};

use crate::{
    Failure,
    backend::Submission,
    extract::{self, invalid},
    response::{self, Response},
    route::ServerState,
};

/// Time until a job is due if the query has no `due_s`, in seconds.
const DEFAULT_DUE_S: u64 = 24 * 3_600;
/// Maximum time until a job is due, in seconds.
const MAX_DUE_S: u64 = 30 * 24 * 3_600;
/// Size in bytes above which the input is checked on a blocking thread, so that the check does not
/// delay other requests.
const INLINE_CHECK_MAX_BYTES: usize = 1 << 20;

/// Handles `POST /v1/batches`.
pub(crate) async fn submit(
    state: &ServerState,
    uri: &Uri,
    headers: &HeaderMap,
    body: Incoming,
) -> Result<Response, Failure> {
    let client = extract::client(headers, &*state.backend)?;
    let key = extract::idempotency_key(headers)?.ok_or_else(|| {
        invalid("the header Idempotency-Key is missing; it is the key of the job")
    })?;
    let deployment = extract::query_parameter(uri.query(), "deployment")?
        .filter(|deployment| !deployment.is_empty())
        .ok_or_else(|| invalid("the query parameter `deployment` is missing"))?;
    let due_s = match extract::query_parameter(uri.query(), "due_s")? {
        None => DEFAULT_DUE_S,
        Some(due) => {
            due.parse().ok().filter(|due| (1..=MAX_DUE_S).contains(due)).ok_or_else(|| {
                invalid(format!("the query parameter `due_s` must be from 1 to {MAX_DUE_S}"))
            })?
        }
    };
    let limit = state.options.max_batch_body_bytes;
    let (body, _reservation) = extract::batch_body(body, limit, &state.batch_memory).await?;
    let input = body.clone();
    let check = move || std::str::from_utf8(&input).map(|_| ());
    let utf8 = if body.len() > INLINE_CHECK_MAX_BYTES {
        tokio::task::spawn_blocking(check).await.unwrap_or(Ok(()))
    } else {
        check()
    };
    utf8.map_err(|error| invalid(format!("the request body is not valid UTF-8: {error}")))?;
    let due = Duration::from_secs(due_s);
    let submission = Submission { client, key, deployment, due, input: body };
    response::json(&state.backend.submit(submission).await?)
}

/// Handles `GET /v1/batches/ID`.
pub(crate) async fn show(
    state: &ServerState,
    headers: &HeaderMap,
    id: &str,
) -> Result<Response, Failure> {
    let client = extract::client(headers, &*state.backend)?;
    response::json(&state.backend.job(client, extract::percent_decode(id)?).await?)
}

/// Handles `GET /v1/batches/ID/results`.
pub(crate) async fn results(
    state: &ServerState,
    headers: &HeaderMap,
    id: &str,
) -> Result<Response, Failure> {
    let client = extract::client(headers, &*state.backend)?;
    Ok(response::json_lines(state.backend.results(client, extract::percent_decode(id)?).await?))
}

/// Handles `POST /v1/batches/ID/cancel`.
pub(crate) async fn cancel(
    state: &ServerState,
    headers: &HeaderMap,
    id: &str,
) -> Result<Response, Failure> {
    let client = extract::client(headers, &*state.backend)?;
    response::json(&state.backend.cancel(client, extract::percent_decode(id)?).await?)
}
