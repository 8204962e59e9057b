//! Routes of operators, the load balancer and the metrics collector.

use std::net::IpAddr;

use hyper::{HeaderMap, StatusCode, Uri, body::Incoming};
use serde::Serialize;
use serde_json::Value;

use crate::{
    Failure, Kind,
    answer::{self, Answer},
    backend::Apply,
    input::{self, invalid},
    route::Context,
};

/// Revisions that the history shows when the operator does not say.
const DEFAULT_HISTORY: usize = 20;
/// Most revisions that the history shows.
const MAX_HISTORY: usize = 1_000;

/// Refuses a caller who is no operator.
pub(crate) fn authorize(
    server: &Context,
    caller: IpAddr,
    headers: &HeaderMap,
) -> Result<(), Failure> {
    let asked = server.options.admin_token.is_some();
    let token = if asked { Some(input::bearer(headers)?) } else { None };
    if server.options.admits_operator(caller, token) {
        return Ok(());
    }
    let message = if asked {
        "the bearer token is not the admin token of this daemon"
    } else {
        "without the setting admin_token, /admin is answered only to callers on a loopback \
         address; set it, or call from the daemon's vm"
    };
    Err(Failure::not_run(Kind::Unauthorized, message))
}

/// The configuration in force.
pub(crate) async fn configuration(server: &Context) -> Result<Answer, Failure> {
    answer::json(&server.backend.configuration().await?)
}

/// Accepts a configuration.
pub(crate) async fn apply(server: &Context, body: Incoming) -> Result<Answer, Failure> {
    let body = input::body(body, server.options.admin_body_bytes).await?;
    let change = input::json::<Apply>(&body)?;
    answer::json(&server.backend.apply(change).await?)
}

/// The newest revisions.
pub(crate) async fn history(server: &Context, uri: &Uri) -> Result<Answer, Failure> {
    let limit = match input::query(uri.query(), "limit")? {
        None => DEFAULT_HISTORY,
        Some(limit) => {
            limit.parse().ok().filter(|limit| (1..=MAX_HISTORY).contains(limit)).ok_or_else(
                || invalid(format!("the query parameter `limit` is not from 1 to {MAX_HISTORY}")),
            )?
        }
    };
    answer::json(&server.backend.history(limit).await?)
}

/// The upstreams as this daemon sees them.
pub(crate) async fn upstreams(server: &Context) -> Result<Answer, Failure> {
    answer::json(&server.backend.upstreams().await?)
}

/// The deployments of kind `model`, in the common form of a list of models.
pub(crate) async fn models(server: &Context, headers: &HeaderMap) -> Result<Answer, Failure> {
    #[derive(Serialize)]
    struct List<'a> {
        object: &'static str,
        data: Vec<Model<'a>>,
    }
    #[derive(Serialize)]
    struct Model<'a> {
        id: &'a str,
        object: &'static str,
    }
    input::client(headers, &*server.backend)?;
    let configuration = server.backend.configuration().await?;
    let deployments = configuration.document.get("deployments").and_then(Value::as_object);
    let data = deployments
        .into_iter()
        .flatten()
        .filter(|(_, deployment)| deployment.get("kind").and_then(Value::as_str) == Some("model"))
        .map(|(id, _)| Model { id, object: "model" })
        .collect();
    answer::json(&List { object: "list", data })
}

/// Whether the process runs.
pub(crate) fn live() -> Answer {
    answer::text(StatusCode::OK, "ok\n")
}

/// Whether the load balancer may send new requests.
pub(crate) fn ready(server: &Context) -> Answer {
    if server.backend.ready() {
        answer::text(StatusCode::OK, "ready\n")
    } else {
        answer::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

/// Metrics in the Prometheus text format.
pub(crate) fn metrics(server: &Context) -> Answer {
    answer::text(StatusCode::OK, server.backend.metrics())
}
