//! Requests of a caller, and helpers that read the responses.

use std::time::Duration;

use cyclamengrade_caller::{
    Failure,
    backend::{Completion, Event, ServiceCall},
};
use tokio::{sync::mpsc, time::timeout};

/// Timeout that only a request that hangs reaches.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(30);

pub fn completion(prompt: &str) -> Completion {
    Completion {
        client: "himal".into(),
        deployment: "wording-llm".into(),
        prompt: prompt.into(),
        max_tokens: 16,
        deadline: None,
        idempotent: None,
        idempotency_key: None,
        traceparent: None,
    }
}

pub fn service_call(path: &str) -> ServiceCall {
    ServiceCall {
        client: "himal".into(),
        deployment: "print-relay".into(),
        path: path.into(),
        body: "artwork".into(),
        content_type: Some("text/plain".into()),
        deadline: None,
        idempotent: None,
        idempotency_key: None,
        traceparent: None,
    }
}

/// Reads a completion to its end. Returns its text, or the text so far and the failure that ended
/// it.
pub async fn text(mut events: mpsc::Receiver<Event>) -> Result<String, (String, Failure)> {
    let mut text = String::new();
    loop {
        match timeout(HANG_TIMEOUT, events.recv()).await.unwrap() {
            Some(Event::Token(token)) => text.push_str(&token),
            Some(Event::End { .. }) => return Ok(text),
            Some(Event::Failed(failure)) => return Err((text, failure)),
            None => panic!("the channel closed after {text:?}"),
        }
    }
}

/// Returns the text `t0 t1 ` and so on, as the fake engine generates it.
pub fn tokens(count: u32) -> String {
    (0..count).map(|index| format!("t{index} ")).collect()
}
