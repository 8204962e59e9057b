//! One run of one item at one upstream.

use std::{
    str::FromStr,
    sync::{Arc, Mutex},
    time::Duration,
};

use cyclamengrade_control::relay::{failure::Failure, job::RunFailure};
use cyclamengrade_telemetry::event;
use hyper::{
    HeaderMap, Method, StatusCode, Uri,
    header::{CONTENT_LENGTH, HOST, HeaderName, HeaderValue},
};

use crate::{
    batch::owned::Transcript,
    dialect::Item,
    exchange::{self, Answer, Outgoing, Send},
    shared::{Flight, Shared, lock},
};

/// Longest wait for the first event of an item, which may queue at its upstream.
const FIRST_PATIENCE: Duration = Duration::from_secs(3);
/// Longest pause between two events of an item. Many times a pause of a slow upstream.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The transcript is whole.
    Completed,
    /// The upstream answered that it failed.
    Fault(RunFailure),
    /// The run broke off.
    Interrupted(Failure),
}

/// The request of an item; `None` when its path or a header cannot be sent.
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

/// Runs an item from the end of its transcript on.
pub async fn run(
    shared: Arc<Shared>,
    outgoing: Outgoing,
    mut flight: Flight,
    transcript: Arc<Mutex<Transcript>>,
) -> End {
    let resume_after = lock(&transcript).last;
    let send = Send {
        deadline: None,
        resume_after,
        patience: FIRST_PATIENCE,
        most_connections: shared.max_connections(&flight.upstream.deployment),
    };
    let names = shared.dialect.headers();
    let sent = exchange::send(&shared.pool, names, &flight.upstream, &outgoing, send).await;
    let end = match sent {
        Ok(answer) => {
            flight.record_bytes();
            read(&shared, answer, &mut flight, &transcript).await
        }
        Err(failure) => End::Interrupted(failure),
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
                events = lock(&transcript).last.unwrap_or(0)
            );
        }
        End::Fault(_) => {}
    }
    end
}

async fn read(
    shared: &Shared,
    answer: Answer,
    flight: &mut Flight,
    transcript: &Mutex<Transcript>,
) -> End {
    match answer.status {
        StatusCode::OK if answer.is_event_stream() => {}
        status => {
            return match answer.whole(&shared.pool, PATIENCE).await {
                Err(failure) => End::Interrupted(failure),
                Ok(_) => match status {
                    StatusCode::UNPROCESSABLE_ENTITY => End::Fault(RunFailure::Impossible),
                    StatusCode::INTERNAL_SERVER_ERROR => End::Fault(RunFailure::Failed),
                    _ => End::Interrupted(Failure::NotRun),
                },
            };
        }
    }
    let mut events = answer.events();
    let mut patience = FIRST_PATIENCE;
    loop {
        match events.next(patience).await {
            Err(failure) => return End::Interrupted(failure),
            Ok(None) => {
                events.finish(&shared.pool);
                return End::Completed;
            }
            Ok(Some(event)) => {
                flight.record_bytes();
                patience = PATIENCE;
                let mut transcript = lock(transcript);
                let (Some(id), Some(data)) = (event.id, event.data()) else {
                    return End::Interrupted(Failure::Broken);
                };
                match transcript.last {
                    Some(last) if id != last + 1 => return End::Interrupted(Failure::Broken),
                    Some(_) => transcript.text.push('\n'),
                    None => {}
                }
                transcript.last = Some(id);
                transcript.events += 1;
                transcript.text.push_str(&data);
            }
        }
    }
}
