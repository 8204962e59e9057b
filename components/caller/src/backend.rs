//! What the HTTP server needs from the daemon.
#![warn(missing_docs)]

use std::{future::Future, pin::Pin, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::mpsc;

use crate::Failure;

/// A boxed future, so that the trait can be used as a trait object.
pub type Boxed<T> = Pin<Box<dyn Future<Output = Result<T, Failure>> + Send>>;

/// The daemon as the HTTP server sees it.
pub trait Backend: Send + Sync + 'static {
    /// Name of the client whose token this is.
    fn client(&self, token: &str) -> Option<String>;

    /// Runs an online completion; tokens arrive on the returned channel.
    fn complete(&self, call: Completion) -> Boxed<mpsc::Receiver<Event>>;

    /// Calls a plain service.
    fn call_service(&self, call: ServiceCall) -> Boxed<ServiceAnswer>;

    /// Accepts a batch job durably.
    fn submit(&self, submission: Submission) -> Boxed<Job>;

    /// State of a job of the client.
    fn job(&self, client: String, id: String) -> Boxed<Job>;

    /// Results of a job of the client as JSON lines in order of the items, as far as they are
    /// committed.
    fn results(&self, client: String, id: String) -> Boxed<mpsc::Receiver<Result<Bytes, Failure>>>;

    /// Cancels a job of the client; returns its final state.
    fn cancel(&self, client: String, id: String) -> Boxed<Job>;

    /// The configuration in force at this daemon.
    fn configuration(&self) -> Boxed<Revision>;

    /// Accepts a configuration.
    fn apply(&self, change: Apply) -> Boxed<Revision>;

    /// The newest revisions, newest first.
    fn history(&self, limit: usize) -> Boxed<Vec<HistoryEntry>>;

    /// The upstreams as this daemon sees them.
    fn upstreams(&self) -> Boxed<Vec<Upstream>>;

    /// Whether the load balancer may send new requests.
    fn ready(&self) -> bool;

    /// Metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}

/// An online completion.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Client that pays.
    pub client: String,
    /// Deployment, which callers name in the field `model`.
    pub deployment: String,
    /// Prompt; chat messages are joined by the server.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// Whether a second run does no harm; absent to use the deployment's default.
    pub idempotent: Option<bool>,
    /// Key under which the request runs at most once.
    pub idempotency_key: Option<String>,
    /// W3C trace context.
    pub traceparent: Option<String>,
}

/// A part of a completion's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Text of the next token.
    Token(String),
    /// The answer is whole.
    End {
        /// `stop` or `length`.
        finish_reason: String,
    },
    /// The answer cannot be completed.
    Failed(Failure),
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceCall {
    /// Client that pays.
    pub client: String,
    /// Deployment of kind `service`.
    pub deployment: String,
    /// Path below the deployment, with a leading slash and the query.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// Whether a second run does no harm; absent to use the deployment's default.
    pub idempotent: Option<bool>,
    /// Key under which the request runs at most once.
    pub idempotency_key: Option<String>,
    /// W3C trace context.
    pub traceparent: Option<String>,
}

/// Answer of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// A batch job that a caller submits.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Client that pays.
    pub client: String,
    /// Key of the job within the client, from the header `Idempotency-Key`.
    pub key: String,
    /// Deployment, from the query parameter `deployment`.
    pub deployment: String,
    /// Time until the job is due, from the query parameter `due_s`.
    pub due: Duration,
    /// Input: one `Item` a line.
    pub input: Bytes,
}

/// One line of a job's input.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// Identifier within the job.
    pub id: String,
    /// Prompt.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
}

/// One line of a job's results.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Identifier within the job.
    pub id: String,
    /// Text of the answer; absent when the item failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Why the item failed; absent when it succeeded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// State of a batch job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Identifier.
    pub id: String,
    /// Deployment.
    pub deployment: String,
    /// State.
    pub state: JobState,
    /// Number of items.
    pub items: u64,
    /// Items with an answer.
    pub succeeded: u64,
    /// Items that ended as failed.
    pub failed: u64,
    /// When the job is due, in milliseconds since the Unix epoch.
    pub due_unix_ms: u64,
}

/// State of a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Accepted; items are waiting or running.
    Open,
    /// Every item has a result.
    Completed,
    /// Cancelled; results committed before stay readable.
    Cancelled,
}

/// A configuration that an operator submits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Apply {
    /// Revision on which the change is based.
    pub expected_revision: u64,
    /// Identifier of the change; the same identifier takes effect once.
    pub change_id: String,
    /// Who makes the change.
    pub author: String,
    /// The whole new document.
    pub document: Value,
}

/// A configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    /// Number of the revision; zero before the first.
    pub revision: u64,
    /// Digest of the document.
    pub digest: String,
    /// The document.
    pub document: Value,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Number of the revision.
    pub revision: u64,
    /// Identifier of the change.
    pub change_id: String,
    /// Who made the change.
    pub author: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// Changed entries in readable form.
    pub changes: Vec<String>,
}

/// An upstream as one daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name of its vm.
    pub name: String,
    /// Deployment.
    pub deployment: String,
    /// Data centre.
    pub data_centre: String,
    /// `ready`, `loading`, `ejected`, `leaving` or `unreachable`.
    pub state: String,
    /// Online requests of this daemon in flight.
    pub online: u32,
    /// Batch streams of this daemon.
    pub batch: u32,
    /// Requests that the upstream reported as running.
    pub reported_running: u32,
    /// Smoothed time to first token in milliseconds.
    pub first_token_ms: f64,
}
