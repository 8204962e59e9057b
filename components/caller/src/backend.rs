//! Interface between the HTTP server and the daemon behind it, with the types of the HTTP API.
#![warn(missing_docs)]

use std::{future::Future, pin::Pin, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::mpsc;

use crate::Failure;

/// Future of a [`Backend`] method, boxed so that the trait can be used as a trait object.
pub type BackendFuture<T> = Pin<Box<dyn Future<Output = Result<T, Failure>> + Send>>;

/// Operations of the daemon that the HTTP server exposes.
///
/// Before it calls a method, the server has checked the bearer token, the headers, the query and
/// the size and encoding of the body. The daemon checks the content: the items of a batch job and
/// the configuration document. The server drops a returned future or receiver when the caller
/// closes its connection.
///
/// A method that reads or writes stored data fails with
/// [`Kind::Unavailable`](crate::Kind::Unavailable) if the platform does not answer in time.
pub trait Backend: Send + Sync + 'static {
    /// Returns the name of the client to which a bearer token belongs, or `None` if the token is
    /// unknown.
    fn client(&self, token: &str) -> Option<String>;

    /// Runs an online completion and returns a channel of its events.
    ///
    /// The last event is [`Event::End`] or [`Event::Failed`]; a channel that closes without one of
    /// them is reported to the caller as an internal error. Dropping the receiver cancels the
    /// completion, unless an idempotency key makes it run to its end so that a repeated request
    /// finds the result.
    ///
    /// # Errors
    ///
    /// Returns a failure that occurs before the first event.
    fn complete(&self, call: Completion) -> BackendFuture<mpsc::Receiver<Event>>;

    /// Calls a plain service and returns its response, whatever the status.
    ///
    /// Dropping the future cancels the call, with the same exception as for
    /// [`complete`](Self::complete).
    ///
    /// # Errors
    ///
    /// Fails if the deployment does not exist, or if no upstream gave a response in time.
    fn call_service(&self, call: ServiceCall) -> BackendFuture<ServiceResponse>;

    /// Accepts a batch job and stores it durably before the future completes.
    ///
    /// Submitting the same content under the same key again returns the existing job.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::Invalid`](crate::Kind::Invalid) if the input is malformed, with
    /// [`Kind::Conflict`](crate::Kind::Conflict) if the key belongs to a job with other content,
    /// and with [`Kind::Limited`](crate::Kind::Limited) if the client has too many open jobs.
    fn submit(&self, submission: Submission) -> BackendFuture<Job>;

    /// Returns the current state of a job.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::NotFound`](crate::Kind::NotFound) if the client has no job with this
    /// identifier.
    fn job(&self, client: String, id: String) -> BackendFuture<Job>;

    /// Streams the results of a job that are committed so far, as JSON lines in the order of the
    /// items.
    ///
    /// The last message is [`Results::End`] or [`Results::Failed`]. A failure, or a channel that closes
    /// without either of them, breaks the connection to the caller, so that truncated results do not
    /// look complete.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::NotFound`](crate::Kind::NotFound) if the client has no job with this
    /// identifier.
    fn results(&self, client: String, id: String) -> BackendFuture<mpsc::Receiver<Results>>;

    /// Cancels a job and returns its final state. A job that has already ended stays as it is.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::NotFound`](crate::Kind::NotFound) if the client has no job with this
    /// identifier.
    fn cancel(&self, client: String, id: String) -> BackendFuture<Job>;

    /// Returns the configuration that this daemon currently uses, which may be older than the
    /// newest revision.
    fn configuration(&self) -> BackendFuture<Revision>;

    /// Accepts a new configuration and returns its revision.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::Invalid`](crate::Kind::Invalid) if the document is not valid, and with
    /// [`Kind::Conflict`](crate::Kind::Conflict) if `expected_revision` is not the newest revision.
    /// Fails with [`Kind::OutcomeUnknown`](crate::Kind::OutcomeUnknown) if the platform did not
    /// confirm the change; the operator can then send the same change again.
    fn apply(&self, change: ConfigurationChange) -> BackendFuture<Revision>;

    /// Returns at most `limit` accepted revisions, the newest first.
    fn history(&self, limit: usize) -> BackendFuture<Vec<HistoryEntry>>;

    /// Returns the state of each upstream as observed by this daemon.
    fn upstreams(&self) -> BackendFuture<Vec<Upstream>>;

    /// Returns whether the load balancer may send new requests to this daemon.
    fn ready(&self) -> bool;

    /// Returns the metrics of the process in the Prometheus text format.
    fn metrics(&self) -> String;
}

/// Request for an online completion, from `POST /v1/completions` or `POST /v1/chat/completions`.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Name of the client to which the bearer token belongs.
    pub client: String,
    /// Name of the deployment, from the field `model` of the request.
    pub deployment: String,
    /// Text to complete. The server joins the messages of a chat into one prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate, at least 1.
    pub max_tokens: u32,
    /// Time that the caller waits for the response, from the header `X-Deadline-Ms`; absent to use
    /// the daemon's default.
    pub deadline: Option<Duration>,
    /// Whether the request may run more than once, from the header `X-Idempotent`; absent to use
    /// the default of the deployment.
    pub idempotent: Option<bool>,
    /// Key under which a request that is not idempotent runs at most once, from the header
    /// `Idempotency-Key`; 1 to 256 bytes.
    pub idempotency_key: Option<String>,
    /// W3C trace context under which the daemon starts its spans, in the format of the header
    /// `traceparent`.
    pub traceparent: Option<String>,
}

/// Event of a running completion.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The text of the next token.
    Token(String),
    /// The completion has ended successfully.
    End {
        /// `stop` if the model ended the text, `length` if it reached `max_tokens`.
        finish_reason: String,
    },
    /// The completion has failed; tokens may have been sent before.
    Failed(Failure),
}

/// Part of the results of a batch job.
#[derive(Clone, Debug, PartialEq)]
pub enum Results {
    /// Whole JSON lines.
    Lines(Bytes),
    /// All results that were committed have been sent.
    End,
    /// The results could not be read; lines may have been sent before.
    Failed(Failure),
}

/// Call of a plain service, from `POST /v1/services/DEPLOYMENT/...`.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceCall {
    /// Name of the client to which the bearer token belongs.
    pub client: String,
    /// Name of a deployment of kind `service`, from the path.
    pub deployment: String,
    /// Path below the deployment with a leading slash, and the query, both as the caller sent them.
    pub path: String,
    /// Request body, passed on unchanged.
    pub body: Bytes,
    /// Value of the header `Content-Type`, if the caller sent one.
    pub content_type: Option<String>,
    /// Time that the caller waits for the response, from the header `X-Deadline-Ms`; absent to use
    /// the daemon's default.
    pub deadline: Option<Duration>,
    /// Whether the request may run more than once, from the header `X-Idempotent`; absent to use
    /// the default of the deployment.
    pub idempotent: Option<bool>,
    /// Key under which a request that is not idempotent runs at most once, from the header
    /// `Idempotency-Key`; 1 to 256 bytes.
    pub idempotency_key: Option<String>,
    /// W3C trace context under which the daemon starts its spans, in the format of the header
    /// `traceparent`.
    pub traceparent: Option<String>,
}

/// Response of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceResponse {
    /// HTTP status, passed on unchanged.
    pub status: u16,
    /// Content type of the body; absent to use `application/octet-stream`.
    pub content_type: Option<String>,
    /// Response body, passed on unchanged.
    pub body: Bytes,
}

/// Submission of a batch job, from `POST /v1/batches`.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Name of the client to which the bearer token belongs.
    pub client: String,
    /// Key that identifies the job among those of the client, from the header `Idempotency-Key`; 1
    /// to 256 bytes.
    pub key: String,
    /// Name of the deployment, from the query parameter `deployment`.
    pub deployment: String,
    /// Time until the job is due, from the query parameter `due_s`: 1 second to 30 days, by default
    /// 24 hours.
    pub due: Duration,
    /// One [`Item`] per line, as UTF-8 text.
    pub input: Bytes,
}

/// One line of the input of a batch job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// Identifier of the item, not empty and unique within the job; set by the caller.
    pub id: String,
    /// Text to complete.
    pub prompt: String,
    /// Maximum number of tokens to generate, at least 1.
    pub max_tokens: u32,
}

/// One line of the results of a batch job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Identifier of the item, as in the input.
    pub id: String,
    /// Generated text; absent if the item failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Reason for the failure; absent if the item succeeded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// State and progress of a batch job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Identifier, which the daemon derives from the client, the key and the content of the job.
    pub id: String,
    /// Name of the deployment that runs the items.
    pub deployment: String,
    /// Whether the job is open, completed or cancelled.
    pub state: JobState,
    /// Number of items in the input, at least 1.
    pub items: u64,
    /// Number of items whose generated text is committed.
    pub succeeded: u64,
    /// Number of items whose failure is committed.
    pub failed: u64,
    /// Time at which the job is due, in milliseconds since the Unix epoch.
    pub due_unix_ms: u64,
}

/// Phase of the life cycle of a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// The job is accepted, and some items have no result yet.
    Open,
    /// Every item has a committed result.
    Completed,
    /// The job was cancelled. Results that were committed before remain readable.
    Cancelled,
}

/// New configuration that an operator submits with `POST /admin/config`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationChange {
    /// Revision on which the change is based, which must be the newest one; zero for the first
    /// configuration.
    pub expected_revision: u64,
    /// Identifier of the change, not empty and chosen by the operator. A change that is sent again
    /// with the same identifier takes effect only once.
    pub change_id: String,
    /// Name of the person or program that makes the change.
    pub author: String,
    /// Whole new configuration document, not only the changed parts.
    pub document: Value,
}

/// Accepted configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    /// Number of the revision, from 1; zero if no configuration was accepted yet.
    pub revision: u64,
    /// Digest of the document, as hexadecimal digits.
    pub digest: String,
    /// Whole configuration document.
    pub document: Value,
}

/// Entry of the configuration history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Number of the revision, from 1.
    pub revision: u64,
    /// Identifier of the change, as submitted by the operator.
    pub change_id: String,
    /// Name of the person or program that made the change.
    pub author: String,
    /// Time at which a daemon accepted the change, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// Human-readable description of each changed entry of the document.
    pub changes: Vec<String>,
}

/// State of an upstream as observed by one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name of the vm that runs the upstream.
    pub name: String,
    /// Name of the deployment that the upstream serves.
    pub deployment: String,
    /// Name of the data centre of the vm.
    pub data_centre: String,
    /// `ready` (takes requests), `loading` (does not have the wanted version yet), `ejected`
    /// (slower than the other upstreams of its deployment, gets probe requests only), `leaving`
    /// (takes no new work) or `unreachable` (the last attempts could not connect to it).
    pub state: String,
    /// Online requests from this daemon that are in flight.
    pub online: u32,
    /// Batch streams from this daemon that are open.
    pub batch: u32,
    /// Requests from all daemons that were running, according to the last load report of the
    /// upstream; zero before the first report.
    pub reported_running: u32,
    /// Smoothed time to first token, in milliseconds; zero before the first sample.
    pub first_token_ms: f64,
}
