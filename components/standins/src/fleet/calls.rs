//! Calls of online and batch callers to daemons.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use cyclamengrade_caller::backend::{Item, ItemResult, Job};
use serde_json::{Value, json};

use super::{DEPLOYMENT, Error, Fleet, SERVICE, TOKEN, VERSION, expect_status};
use crate::{
    answer,
    client::{self, Call, Client, Reply},
};

/// An online completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    pub prompt: String,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the request may run twice; `None` for the deployment's default.
    pub idempotent: Option<bool>,
    /// Deadline sent with the request. The caller itself waits 5 s longer.
    pub timeout: Duration,
}

impl Completion {
    /// Creates a completion with a deadline of 30 s.
    pub fn new(prompt: impl Into<String>, max_tokens: u32) -> Self {
        let timeout = Duration::from_secs(30);
        Self { prompt: prompt.into(), max_tokens, idempotent: None, timeout }
    }

    /// Sets whether the request may run twice.
    pub fn with_idempotent(self, idempotent: bool) -> Self {
        Self { idempotent: Some(idempotent), ..self }
    }

    /// Sets the deadline of the request.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Returns the text of the correct answer.
    pub fn expected(&self) -> String {
        answer::text(&self.prompt, VERSION, self.max_tokens)
    }

    fn call(&self, daemon: SocketAddr) -> Call {
        let body = json!({
            "model": DEPLOYMENT,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "stream": true,
        });
        let call = Call::post(daemon, "/v1/completions")
            .with_token(TOKEN)
            .with_header("x-deadline-ms", self.timeout.as_millis().to_string())
            .with_json(&body)
            .with_timeout(self.timeout + Duration::from_secs(5));
        match self.idempotent {
            Some(idempotent) => call.with_header("x-idempotent", idempotent.to_string()),
            None => call,
        }
    }
}

/// Answer to a completion as its caller received it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The text received, which is incomplete if the answer was cut off.
    pub text: String,
    /// Whether the end marker was received.
    pub complete: bool,
    /// Kind of the error, if there is one.
    pub error: Option<String>,
    /// Whether the error says that the request did not run.
    pub not_run: bool,
    /// Time from the start of the request to the first token.
    pub first_token: Option<Duration>,
    /// Times between successive tokens.
    pub gaps: Vec<Duration>,
    /// Time from the start of the request to the end of the answer.
    pub elapsed: Duration,
}

impl Answer {
    /// Records an event of the answer. `last` is the time of the previous token.
    fn record(&mut self, event: &str, start: Instant, last: &mut Option<Instant>) {
        if event == "[DONE]" {
            self.complete = true;
            return;
        }
        let event: Value = serde_json::from_str(event).unwrap_or_default();
        if event["error"].is_object() {
            self.record_error(&event);
        }
        let Some(text) = event["choices"][0]["text"].as_str().filter(|text| !text.is_empty())
        else {
            return;
        };
        let now = Instant::now();
        self.text.push_str(text);
        match last.replace(now) {
            None => self.first_token = Some(now - start),
            Some(previous) => self.gaps.push(now - previous),
        }
    }

    fn record_error(&mut self, body: &Value) {
        let error = &body["error"];
        self.error = Some(error["kind"].as_str().unwrap_or("unknown").to_owned());
        self.not_run = error["not_run"].as_bool().unwrap_or(false);
    }
}

/// Requests a streamed completion from a daemon and reads the answer to its end.
pub async fn complete(
    client: &Client,
    daemon: SocketAddr,
    completion: &Completion,
) -> Result<Answer, client::Error> {
    let start = Instant::now();
    let mut events = client.open(completion.call(daemon)).await?;
    let mut answer = Answer { status: events.status, ..Answer::default() };
    if events.status != 200 {
        let body = events.remaining_body().await?;
        answer.record_error(&serde_json::from_slice(&body).unwrap_or_default());
        answer.elapsed = start.elapsed();
        return Ok(answer);
    }
    let mut last = None;
    while let Some(event) = events.next().await? {
        answer.record(&event, start, &mut last);
    }
    answer.elapsed = start.elapsed();
    Ok(answer)
}

impl Fleet {
    /// Requests a streamed completion from a daemon and reads the answer to its end.
    pub async fn complete(
        &self,
        daemon: usize,
        completion: &Completion,
    ) -> Result<Answer, client::Error> {
        complete(&self.client, self.daemons[daemon].address, completion).await
    }

    /// Submits a batch job with an idempotency key. `due` is the time until it is due.
    pub async fn submit(
        &self,
        daemon: usize,
        key: &str,
        due: Duration,
        items: &[Item],
    ) -> Result<Reply, client::Error> {
        submit(&self.client, self.daemons[daemon].address, key, due, items).await
    }

    /// Returns the state of a batch job.
    pub async fn job(&self, daemon: usize, id: &str) -> Result<Job, Error> {
        let path = format!("/v1/batches/{id}");
        let call = Call::get(self.daemons[daemon].address, path).with_token(TOKEN);
        Ok(expect_status(self.client.send(call).await?, 200)?.json()?)
    }

    /// Cancels a batch job.
    pub async fn cancel(&self, daemon: usize, id: &str) -> Result<Job, Error> {
        let path = format!("/v1/batches/{id}/cancel");
        let call = Call::post(self.daemons[daemon].address, path).with_token(TOKEN);
        Ok(expect_status(self.client.send(call).await?, 200)?.json()?)
    }

    /// Returns the committed results of a batch job.
    pub async fn results(&self, daemon: usize, id: &str) -> Result<Vec<ItemResult>, Error> {
        let path = format!("/v1/batches/{id}/results");
        let call = Call::get(self.daemons[daemon].address, path).with_token(TOKEN);
        let text = expect_status(self.client.send(call).await?, 200)?.text();
        let results: Result<_, _> = text.lines().map(serde_json::from_str).collect();
        results.map_err(|error| client::Error::Malformed(error.to_string()).into())
    }

    /// Calls the plain service with an idempotency key.
    pub async fn call_service(
        &self,
        daemon: usize,
        key: &str,
        timeout: Duration,
    ) -> Result<Reply, client::Error> {
        let path = format!("/v1/services/{SERVICE}/print");
        let call = Call::post(self.daemons[daemon].address, path)
            .with_token(TOKEN)
            .with_header("idempotency-key", key)
            .with_body(format!("artwork {key}"))
            .with_timeout(timeout);
        self.client.send(call).await
    }
}

/// Submits a batch job with an idempotency key. `due` is the time until it is due.
pub async fn submit(
    client: &Client,
    daemon: SocketAddr,
    key: &str,
    due: Duration,
    items: &[Item],
) -> Result<Reply, client::Error> {
    let lines = items.iter().map(|item| serde_json::to_string(item).unwrap_or_default() + "\n");
    let path = format!("/v1/batches?deployment={DEPLOYMENT}&due_s={}", due.as_secs());
    let call = Call::post(daemon, path)
        .with_token(TOKEN)
        .with_header("idempotency-key", key)
        .with_header("content-type", "application/jsonl")
        .with_body(lines.collect::<String>());
    client.send(call).await
}
