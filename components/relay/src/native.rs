//! The native dialect: the project's own header names, paths and JSON formats.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use cyclamengrade_control::relay::{
    account::Entry,
    job::FinalState,
    quota::Quota,
    route::{Deployment, Kind, Limits, Route, Table, Target},
    selector::Upstream,
};
use hyper::{HeaderMap, Method, Uri, header::HeaderName};
use serde::{Deserialize, Serialize};
use serde_json::{Value, error::Category};

use crate::{
    caller,
    dialect::{self, Dialect, Headers, Item, JobCall, Page, Sources},
};

/// Path prefix of the calls about jobs.
const JOBS_PREFIX: &str = "/v1/relay/jobs/";

pub struct Native {
    headers: Headers,
    /// Header with the ids of the shared parts of a prompt, separated by commas.
    prompt_parts: HeaderName,
    /// Header with the tokens of the prompt and the largest number of those of the output.
    token_counts: HeaderName,
    sources: Sources,
}

impl Native {
    pub fn new() -> Self {
        let name = HeaderName::from_static;
        Self {
            headers: Headers {
                request_id: name("x-request-id"),
                deadline_ms: name("x-deadline-ms"),
                // This header name is standard (WHATWG HTML, "Server-sent events").
                last_event_id: name("last-event-id"),
                resumes: name("x-resumes"),
                expect_instance: name("x-expect-instance"),
                stamp: name("x-upstream-stamp"),
                not_run: name("x-not-run"),
                leaving: name("x-upstream-leaving"),
                limit: name("x-upstream-limit"),
                account: name("x-account"),
            },
            prompt_parts: name("x-prompt-parts"),
            token_counts: name("x-token-counts"),
            sources: Sources {
                configuration_table: "relay".into(),
                configuration_key: "relay//configuration".into(),
                upstream_table: "upstreams".into(),
            },
        }
    }
}

impl Default for Native {
    fn default() -> Self {
        Self::new()
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ConfigurationJson {
    version: u64,
    routes: Vec<RouteJson>,
    #[serde(default)]
    deployments: BTreeMap<String, DeploymentJson>,
    /// Client accounts. They are decoded one by one, since an error of the decoder may quote a key.
    accounts: Option<Value>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AccountJson {
    name: String,
    keys: Vec<String>,
    priority: Option<u32>,
    /// Requests a second; 0 for no limit.
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

impl From<AccountJson> for Entry {
    fn from(json: AccountJson) -> Self {
        let AccountJson { name, keys, priority, rate_per_s: rate, burst } = json;
        Self { name, keys, priority, rate, burst }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteJson {
    name: String,
    host: String,
    /// Path prefix.
    prefix: String,
    kind: KindJson,
    /// Whether requests need no key.
    #[serde(default)]
    public: bool,
    /// Priority; 0 is the most urgent.
    #[serde(default)]
    priority: u32,
    timeout_ms: u64,
    /// Latency objective.
    objective_ms: u64,
    /// Largest number of attempts.
    #[serde(default = "one")]
    attempts: u32,
    #[serde(default)]
    resumable: bool,
    /// Objective for the longest pause between two events of a stream.
    #[serde(default)]
    gap_ms: u64,
    /// Time from the acceptance of a job until its items are due.
    #[serde(default)]
    completion_ms: u64,
    /// Time from the acceptance of a job until its items may be abandoned.
    #[serde(default)]
    retention_ms: u64,
    /// Tokens that may wait for a run; 0 for no limit.
    #[serde(default)]
    waiting_tokens: u64,
    /// Weights of the deployments that serve the route, by name of the deployment.
    targets: BTreeMap<String, u32>,
}

const fn one() -> u32 {
    1
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum KindJson {
    Safe,
    Unsafe,
    Stream,
    Batch,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DeploymentJson {
    max_connections: Option<usize>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct UpstreamJson {
    deployment: String,
    address: SocketAddr,
    #[serde(default)]
    data_centre: String,
    /// Version of the upstream's software.
    #[serde(default = "unstated")]
    version: String,
    slots: Option<u32>,
    #[serde(default)]
    leaving: bool,
    /// Differs between the starts of an upstream that keeps its id.
    born: Option<u64>,
}

/// Returns the version of the upstreams whose entries do not state one.
fn unstated() -> String {
    "unstated".to_owned()
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct JobJson {
    items: Vec<ItemJson>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ItemJson {
    id: String,
    path: String,
    #[serde(default)]
    headers: BTreeMap<String, String>,
    body: String,
    /// Tokens of the prompt and the longest output.
    #[serde(default)]
    tokens: u64,
}

#[derive(Serialize)]
struct PageJson<'a> {
    /// Number of items of the job, with and without a result.
    items: usize,
    /// Number of results up to the end of this page, which the call for the next page skips.
    next: usize,
    results: Vec<ResultJson<'a>>,
}

#[derive(Serialize)]
struct ResultJson<'a> {
    /// Id of the item.
    item: &'a str,
    state: &'static str,
    text: &'a str,
}

impl From<RouteJson> for Route {
    fn from(json: RouteJson) -> Self {
        let targets = json.targets.into_iter();
        Self {
            name: json.name,
            host: json.host,
            path_prefix: json.prefix,
            kind: match json.kind {
                KindJson::Safe => Kind::Safe,
                KindJson::Unsafe => Kind::Unsafe,
                KindJson::Stream => Kind::Stream,
                KindJson::Batch => Kind::Batch,
            },
            public: json.public,
            priority: json.priority,
            timeout: Duration::from_millis(json.timeout_ms),
            latency_objective: Duration::from_millis(json.objective_ms),
            gap_objective: Duration::from_millis(json.gap_ms),
            max_attempts: json.attempts,
            resumable: json.resumable,
            completion_target: Duration::from_millis(json.completion_ms),
            retention: Duration::from_millis(json.retention_ms),
            quota: Quota::new(json.waiting_tokens),
            targets: targets.map(|(deployment, weight)| Target { deployment, weight }).collect(),
        }
    }
}

impl Dialect for Native {
    fn headers(&self) -> &Headers {
        &self.headers
    }

    fn sources(&self) -> &Sources {
        &self.sources
    }

    fn configuration(&self, value: &Value) -> Result<Table, String> {
        caller::check_object(value)?;
        let json = ConfigurationJson::deserialize(value).map_err(|error| error.to_string())?;
        let mut flaws = Vec::new();
        let accounts = caller::read_accounts::<AccountJson>(json.accounts, "name", &mut flaws)?;
        let deployments = json.deployments.into_iter().map(|(name, deployment)| {
            (name, Deployment { max_connections: deployment.max_connections })
        });
        let routes = json.routes.into_iter().map(Route::from).collect();
        let table = Table::new(json.version, routes, deployments.collect(), Limits::default());
        Ok(table.with_accounts(accounts).with_flaws(flaws))
    }

    fn key_scheme(&self) -> &'static str {
        "Bearer"
    }

    fn shared_parts(&self, headers: &HeaderMap) -> Vec<String> {
        let value = headers.get(&self.prompt_parts).and_then(|value| value.to_str().ok());
        let parts = value.unwrap_or_default().split(',').map(str::trim);
        parts.filter(|part| !part.is_empty()).map(str::to_owned).collect()
    }

    fn stated_tokens(&self, headers: &HeaderMap) -> u32 {
        dialect::stated_tokens(headers.get(&self.token_counts))
    }

    fn upstream(&self, id: &str, value: &Value) -> Result<Upstream, String> {
        let json = UpstreamJson::deserialize(value).map_err(|error| error.to_string())?;
        Ok(Upstream {
            id: id.to_owned(),
            deployment: json.deployment,
            address: json.address,
            data_centre: json.data_centre,
            version: json.version,
            slots: json.slots,
            leaving: json.leaving,
            born: json.born,
        })
    }

    fn job_call(&self, method: &Method, uri: &Uri, _: &HeaderMap) -> Option<JobCall> {
        let rest = uri.path().strip_prefix(JOBS_PREFIX)?;
        let (job, rest) = rest.split_once('/').unwrap_or((rest, ""));
        let job = job.to_owned();
        match (method, rest) {
            (&Method::DELETE, "") => Some(JobCall::End { job }),
            (&Method::GET, "results") => {
                let number = |name| query(uri, name).and_then(|value| value.parse::<u64>().ok());
                let after = number("after").unwrap_or(0) as usize;
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                Some(JobCall::Results { job, after, wait })
            }
            (&Method::GET, rest) => {
                let item = rest.strip_prefix("items/")?.to_owned();
                Some(JobCall::Item { job, item })
            }
            _ => None,
        }
    }

    fn read_job(&self, body: &[u8]) -> Result<Vec<Item>, String> {
        let json: JobJson =
            serde_json::from_slice(body).map_err(|error| describe_malformed(&error))?;
        let items = json.items.into_iter().map(|item| Item {
            id: item.id,
            path: item.path,
            headers: item.headers,
            body: item.body.into(),
            tokens: item.tokens,
        });
        Ok(items.collect())
    }

    fn write_page(&self, page: &Page) -> Bytes {
        let results = page.results.iter().map(|outcome| ResultJson {
            item: &outcome.item,
            state: match outcome.state {
                FinalState::Completed => "completed",
                FinalState::Abandoned => "abandoned",
            },
            text: &outcome.text,
        });
        let json = PageJson { items: page.total, next: page.next, results: results.collect() };
        // Strings and numbers can always be encoded as JSON.
        serde_json::to_vec(&json).unwrap_or_default().into()
    }
}

/// Returns where a JSON body is malformed. Other than the text of the error, this quotes nothing of the body,
/// whose headers may contain keys.
pub fn describe_malformed(error: &serde_json::Error) -> String {
    let kind = match error.classify() {
        Category::Data => "unexpected or missing field",
        Category::Io | Category::Syntax | Category::Eof => "no valid JSON",
    };
    format!("{kind} at line {}, column {}", error.line(), error.column())
}

/// Returns the value of the first query parameter `name`, without percent-decoding it.
pub fn query<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(found, _)| *found == name).map(|(_, value)| value).next()
}
