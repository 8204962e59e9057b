//! Batch jobs.

use std::time::Duration;

use hyper::{HeaderMap, Uri, body::Incoming};

use crate::{
    Failure,
    answer::{self, Answer},
    backend::Submission,
    input::{self, invalid},
    route::Context,
};

/// Time until a job is due when the caller does not say.
const DEFAULT_DUE_S: u64 = 24 * 3_600;
/// Longest time until a job is due.
const MAX_DUE_S: u64 = 30 * 24 * 3_600;
/// Input above this size is checked outside the traffic threads.
const BLOCKING_BYTES: usize = 1 << 20;

/// Accepts a job.
pub(crate) async fn submit(
    server: &Context,
    uri: &Uri,
    headers: &HeaderMap,
    body: Incoming,
) -> Result<Answer, Failure> {
    let client = input::client(headers, &*server.backend)?;
    let key = input::idempotency_key(headers)?
        .ok_or_else(|| invalid("the header Idempotency-Key, the key of the job, is missing"))?;
    let deployment = input::query(uri.query(), "deployment")?
        .filter(|deployment| !deployment.is_empty())
        .ok_or_else(|| invalid("the query parameter `deployment` is missing"))?;
    let due_s = match input::query(uri.query(), "due_s")? {
        None => DEFAULT_DUE_S,
        Some(due) => {
            due.parse().ok().filter(|due| (1..=MAX_DUE_S).contains(due)).ok_or_else(|| {
                invalid(format!("the query parameter `due_s` is not from 1 to {MAX_DUE_S}"))
            })?
        }
    };
    let limit = server.options.batch_body_bytes;
    let (body, _share) = input::batch_body(body, limit, &server.batch_memory).await?;
    let checked = body.clone();
    let check = move || std::str::from_utf8(&checked).map(|_| ());
    let utf8 = if body.len() > BLOCKING_BYTES {
        tokio::task::spawn_blocking(check).await.unwrap_or(Ok(()))
    } else {
        check()
    };
    utf8.map_err(|error| invalid(format!("the body is not valid UTF-8: {error}")))?;
    let due = Duration::from_secs(due_s);
    let submission = Submission { client, key, deployment, due, input: body };
    answer::json(&server.backend.submit(submission).await?)
}

/// Shows the state of a job.
pub(crate) async fn show(
    server: &Context,
    headers: &HeaderMap,
    id: &str,
) -> Result<Answer, Failure> {
    let client = input::client(headers, &*server.backend)?;
    answer::json(&server.backend.job(client, input::percent_decoded(id)?).await?)
}

/// Streams the results of a job.
pub(crate) async fn results(
    server: &Context,
    headers: &HeaderMap,
    id: &str,
) -> Result<Answer, Failure> {
    let client = input::client(headers, &*server.backend)?;
    Ok(answer::lines(server.backend.results(client, input::percent_decoded(id)?).await?))
}

/// Cancels a job.
pub(crate) async fn cancel(
    server: &Context,
    headers: &HeaderMap,
    id: &str,
) -> Result<Answer, Failure> {
    let client = input::client(headers, &*server.backend)?;
    answer::json(&server.backend.cancel(client, input::percent_decoded(id)?).await?)
}
