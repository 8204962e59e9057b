//! What callers, upstreams and the store speak.
//!
//! A dialect translates between bytes and the types of this module. It decides nothing.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use cyclamengrade_control::relay::{job::FinalState, route, selector::Upstream};
use hyper::{HeaderMap, Method, Uri, header::HeaderName};
use serde_json::Value;

/// Names of the headers that the relay reads or sets.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Id of the request, which answers repeat.
    pub request_id: HeaderName,
    /// Milliseconds for which the sender waits.
    pub deadline_ms: HeaderName,
    /// Event after which a stream goes on.
    pub last_event_id: HeaderName,
    /// The only instance that may run the request.
    pub expect_instance: HeaderName,
    /// Proof that an upstream made the answer.
    pub stamp: HeaderName,
    /// Marks an answer that says that the request did not run.
    pub not_run: HeaderName,
}

/// Rows of the store that others write.
#[derive(Clone, Debug)]
pub struct Sources {
    /// Table of the configuration.
    pub configuration_table: String,
    /// Key of the row with the configuration.
    pub configuration_key: String,
    /// Table of the upstreams, one row each.
    pub upstream_table: String,
}

/// A call about a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Reads results.
    Results {
        /// Id of the job.
        job: String,
        /// Position of the first result.
        after: usize,
        /// Longest time for which the call may be kept until a result exists.
        wait: Duration,
    },
    /// Reads the body of an item.
    Item {
        /// Id of the job.
        job: String,
        /// Id of the item.
        item: String,
    },
    /// Ends a job.
    End {
        /// Id of the job.
        job: String,
    },
}

/// An item of a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Id, unique in the job.
    pub id: String,
    /// Path that it is sent to.
    pub path: String,
    /// Its headers.
    pub headers: BTreeMap<String, String>,
    /// Its body.
    pub body: Bytes,
}

/// A listed result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Id of the item.
    pub item: String,
    /// How the item ended.
    pub state: FinalState,
    /// Data of all events, separated by line feeds.
    pub text: String,
}

/// Results of a job from one position on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Items of the job.
    pub total: usize,
    /// Position after the last result of the page.
    pub next: usize,
    /// The results.
    pub results: Vec<Outcome>,
}

/// Translates names, formats and calls.
pub trait Dialect: Send + Sync {
    /// Names of headers.
    fn headers(&self) -> &Headers;

    /// Rows that others write.
    fn sources(&self) -> &Sources;

    /// Reads a configuration; fails with the cause.
    fn configuration(&self, value: &Value) -> Result<route::Table, String>;

    /// Reads the entry of the upstream `id`; fails with the cause.
    fn upstream(&self, id: &str, value: &Value) -> Result<Upstream, String>;

    /// The call about a job that a request makes, if it makes one.
    fn job_call(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> Option<JobCall>;

    /// Reads the items of a submitted job; fails with the cause.
    fn read_job(&self, body: &[u8]) -> Result<Vec<Item>, String>;

    /// Writes a page of results.
    fn write_page(&self, page: &Page) -> Bytes;
}
