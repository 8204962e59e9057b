//! Interface between the relay and the names and formats of callers, upstreams and the store.
//!
//! A dialect converts between the formats on the wire or in the store and the types of the relay.
//! It makes no decisions about requests or jobs.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use cyclamengrade_control::relay::{job::FinalState, route, selector::Upstream};
use hyper::{
    HeaderMap, Method, Uri,
    header::{AUTHORIZATION, HeaderName, HeaderValue},
};
use serde_json::Value;

/// Names of the headers that the relay reads or sets.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Id of a request, repeated in its response.
    pub request_id: HeaderName,
    /// Time in milliseconds for which the sender waits for the response.
    pub deadline_ms: HeaderName,
    /// Id of the event after which a stream is to be resumed.
    pub last_event_id: HeaderName,
    /// In a caller's request to continue a stream: id of the caller's request that brought the
    /// first event of the stream.
    pub resumes: HeaderName,
    /// Id of the only upstream that may run the request. Any other upstream at the same address
    /// must refuse it.
    pub expect_instance: HeaderName,
    /// Present in every response that an upstream itself produced.
    pub stamp: HeaderName,
    /// Present in a response that reports that the request did not run.
    pub not_run: HeaderName,
    /// Present in every response of an upstream that is leaving, with another value than 0.
    pub leaving: HeaderName,
    /// In the responses of an upstream in need: the requests a second, a decimal number, that it
    /// takes from all relays together.
    pub limit: HeaderName,
    /// In a request to an upstream: name of the account whose key the caller sent.
    pub account: HeaderName,
}

/// Tables and keys of the rows that the relay reads and the platform or its operators write.
#[derive(Clone, Debug)]
pub struct Sources {
    /// Table that holds the configuration.
    pub configuration_table: String,
    /// Key of the configuration row.
    pub configuration_key: String,
    /// Table with one row for each upstream.
    pub upstream_table: String,
}

/// A caller's request about a submitted batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Asks for a page of results.
    Results {
        job: String,
        /// Number of results to skip.
        after: usize,
        /// Time for which the caller waits for the first result.
        wait: Duration,
    },
    /// Asks for the request body of an item.
    Item { job: String, item: String },
    /// Asks to end the job before all of its items have a result.
    End { job: String },
}

/// An item of a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Id, unique within the job.
    pub id: String,
    /// Path of the item's request.
    pub path: String,
    /// Headers of the item's request.
    pub headers: BTreeMap<String, String>,
    /// Body of the item's request.
    pub body: Bytes,
    /// Tokens of the prompt and the longest output.
    pub tokens: u64,
}

/// Result of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Id of the item.
    pub item: String,
    pub state: FinalState,
    /// Data of all events of the item's response, separated by line feeds.
    pub text: String,
}

/// Consecutive results of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Number of items in the job.
    pub total: usize,
    /// Number of results up to the end of this page; the [`JobCall::Results`] for the next page
    /// skips them.
    pub next: usize,
    pub results: Vec<Outcome>,
}

/// Cost of a token of the output, in tokens of the prompt.
const OUTPUT_COST: u64 = 10;

/// Returns the cost in tokens of a request whose header states `PROMPT,OUTPUT`, the tokens of the prompt
/// and the largest number of those of the output; 0 if the value is absent or malformed.
pub fn stated_tokens(value: Option<&HeaderValue>) -> u32 {
    let text = value.and_then(|value| value.to_str().ok()).unwrap_or_default();
    let count = |text: &str| {
        let digits = text.trim();
        let is_number = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
        // Only a number that is too large cannot be parsed.
        is_number.then(|| digits.parse().unwrap_or(u64::MAX))
    };
    let counts = text.split_once(',');
    let Some((prompt, output)) =
        counts.and_then(|(prompt, output)| Some((count(prompt)?, count(output)?)))
    else {
        return 0;
    };
    let cost = prompt.saturating_add(output.saturating_mul(OUTPUT_COST));
    u32::try_from(cost).unwrap_or(u32::MAX)
}

/// Converts between the external formats and the types of the relay. Errors are texts that say why
/// a value is invalid.
pub trait Dialect: Send + Sync {
    fn headers(&self) -> &Headers;

    fn sources(&self) -> &Sources;

    /// Parses the value of the configuration row.
    fn configuration(&self, value: &Value) -> Result<route::Table, String>;

    /// Returns the authentication scheme (RFC 9110, section 11.1) under which callers send their keys.
    fn key_scheme(&self) -> &'static str;

    /// Returns the key that a request brings in its `Authorization` header. A request with several such
    /// headers has none.
    fn key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        let mut values = headers.get_all(AUTHORIZATION).iter();
        let value = values.next().filter(|_| values.next().is_none())?;
        let (scheme, key) = str::from_utf8(value.as_bytes()).ok()?.trim().split_once(' ')?;
        scheme.eq_ignore_ascii_case(self.key_scheme()).then(|| key.trim_start())
    }

    /// Returns the ids of the parts of a request's prompt that other requests may share, in order.
    fn shared_parts(&self, headers: &HeaderMap) -> Vec<String>;

    /// Returns the cost that a request states, see [`stated_tokens`]; 0 if it states none.
    fn stated_tokens(&self, headers: &HeaderMap) -> u32;

    /// Parses the row value of the upstream `id`.
    fn upstream(&self, id: &str, value: &Value) -> Result<Upstream, String>;

    /// Returns the job call that a request makes, or `None` if the request is not about a submitted
    /// job.
    fn job_call(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> Option<JobCall>;

    /// Parses the body of a submitted job.
    fn read_job(&self, body: &[u8]) -> Result<Vec<Item>, String>;

    /// Encodes a page of results as a response body.
    fn write_page(&self, page: &Page) -> Bytes;
}
