//! The project's own dialect.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use cyclamengrade_control::relay::{
    job::FinalState,
    route::{Deployment, Kind, Limits, Route, Table, Target},
    selector::Upstream,
};
use hyper::{HeaderMap, Method, Uri, header::HeaderName};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::dialect::{Dialect, Headers, Item, JobCall, Page, Sources};

/// Path of the calls about jobs.
const JOBS: &str = "/v1/relay/jobs/";

/// The project's own names and formats, in JSON.
pub struct Native {
    headers: Headers,
    sources: Sources,
}

impl Native {
    /// The dialect.
    pub fn new() -> Self {
        let name = HeaderName::from_static;
        Self {
            headers: Headers {
                request_id: name("x-request-id"),
                deadline_ms: name("x-deadline-ms"),
                // The standard name (WHATWG HTML, "Server-sent events").
                last_event_id: name("last-event-id"),
                expect_instance: name("x-expect-instance"),
                stamp: name("x-upstream-stamp"),
                not_run: name("x-not-run"),
            },
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
struct ConfigurationForm {
    version: u64,
    routes: Vec<RouteForm>,
    #[serde(default)]
    deployments: BTreeMap<String, DeploymentForm>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteForm {
    name: String,
    host: String,
    prefix: String,
    kind: KindForm,
    timeout_ms: u64,
    objective_ms: u64,
    #[serde(default = "one")]
    attempts: u32,
    #[serde(default)]
    resumable: bool,
    #[serde(default)]
    gap_ms: u64,
    #[serde(default)]
    completion_ms: u64,
    #[serde(default)]
    retention_ms: u64,
    targets: BTreeMap<String, u32>,
}

const fn one() -> u32 {
    1
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum KindForm {
    Safe,
    Unsafe,
    Stream,
    Batch,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DeploymentForm {
    max_connections: Option<usize>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct UpstreamForm {
    deployment: String,
    address: SocketAddr,
    #[serde(default)]
    data_centre: String,
    slots: Option<u32>,
    #[serde(default)]
    leaving: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct JobForm {
    items: Vec<ItemForm>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ItemForm {
    id: String,
    path: String,
    #[serde(default)]
    headers: BTreeMap<String, String>,
    body: String,
}

#[derive(Serialize)]
struct PageForm<'a> {
    items: usize,
    next: usize,
    results: Vec<ResultForm<'a>>,
}

#[derive(Serialize)]
struct ResultForm<'a> {
    item: &'a str,
    state: &'static str,
    text: &'a str,
}

impl From<RouteForm> for Route {
    fn from(form: RouteForm) -> Self {
        let targets = form.targets.into_iter();
        Self {
            name: form.name,
            host: form.host,
            path_prefix: form.prefix,
            kind: match form.kind {
                KindForm::Safe => Kind::Safe,
                KindForm::Unsafe => Kind::Unsafe,
                KindForm::Stream => Kind::Stream,
                KindForm::Batch => Kind::Batch,
            },
            timeout: Duration::from_millis(form.timeout_ms),
            latency_objective: Duration::from_millis(form.objective_ms),
            gap_objective: Duration::from_millis(form.gap_ms),
            max_attempts: form.attempts,
            resumable: form.resumable,
            completion_target: Duration::from_millis(form.completion_ms),
            retention: Duration::from_millis(form.retention_ms),
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
        let form = ConfigurationForm::deserialize(value).map_err(|error| error.to_string())?;
        let deployments = form.deployments.into_iter().map(|(name, deployment)| {
            (name, Deployment { max_connections: deployment.max_connections })
        });
        let routes = form.routes.into_iter().map(Route::from).collect();
        Ok(Table::new(form.version, routes, deployments.collect(), Limits::default()))
    }

    fn upstream(&self, id: &str, value: &Value) -> Result<Upstream, String> {
        let form = UpstreamForm::deserialize(value).map_err(|error| error.to_string())?;
        Ok(Upstream {
            id: id.to_owned(),
            deployment: form.deployment,
            address: form.address,
            data_centre: form.data_centre,
            slots: form.slots,
            leaving: form.leaving,
        })
    }

    fn job_call(&self, method: &Method, uri: &Uri, _: &HeaderMap) -> Option<JobCall> {
        let rest = uri.path().strip_prefix(JOBS)?;
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
        let form: JobForm = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        let items = form.items.into_iter().map(|item| Item {
            id: item.id,
            path: item.path,
            headers: item.headers,
            body: item.body.into(),
        });
        Ok(items.collect())
    }

    fn write_page(&self, page: &Page) -> Bytes {
        let results = page.results.iter().map(|outcome| ResultForm {
            item: &outcome.item,
            state: match outcome.state {
                FinalState::Completed => "completed",
                FinalState::Abandoned => "abandoned",
            },
            text: &outcome.text,
        });
        let form = PageForm { items: page.total, next: page.next, results: results.collect() };
        // Texts and numbers always have a JSON form.
        serde_json::to_vec(&form).unwrap_or_default().into()
    }
}

/// The value of a name in the query of a target, as it stands there.
pub fn query<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(found, _)| *found == name).map(|(_, value)| value).next()
}
