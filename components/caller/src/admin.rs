//! Routes for operators, health checks and metrics, and the list of models.

use std::net::IpAddr;

use hyper::{HeaderMap, StatusCode, Uri, body::Incoming};
use serde::Serialize;
use serde_json::Value;

use crate::{
    Failure, Kind,
    backend::ConfigurationChange,
    extract::{self, invalid},
    response::{self, Response},
    route::ServerState,
};

/// Number of revisions in the history if the query has no `limit`.
const DEFAULT_HISTORY_ENTRIES: usize = 20;
const MAX_HISTORY_ENTRIES: usize = 1_000;

/// Fails unless the caller is an operator.
pub(crate) fn authorize(
    state: &ServerState,
    caller: IpAddr,
    headers: &HeaderMap,
) -> Result<(), Failure> {
    let token_required = state.options.admin_token.is_some();
    let token = if token_required { Some(extract::bearer_token(headers)?) } else { None };
    if state.options.is_operator(caller, token) {
        return Ok(());
    }
    let message = if token_required {
        "the bearer token is not the admin token of this daemon"
    } else {
        "/admin is only available from loopback addresses, because the setting admin_token is not \
         set; set it, or send the request from the vm of the daemon"
    };
    Err(Failure::not_run(Kind::Unauthorized, message))
}

/// Handles `GET /admin/config`.
pub(crate) async fn configuration(state: &ServerState) -> Result<Response, Failure> {
    response::json(&state.backend.configuration().await?)
}

/// Handles `POST /admin/config`.
pub(crate) async fn apply(state: &ServerState, body: Incoming) -> Result<Response, Failure> {
    let body = extract::body(body, state.options.max_admin_body_bytes).await?;
    let change = extract::json::<ConfigurationChange>(&body)?;
    response::json(&state.backend.apply(change).await?)
}

/// Handles `GET /admin/config/history`.
pub(crate) async fn history(state: &ServerState, uri: &Uri) -> Result<Response, Failure> {
    let limit = match extract::query_parameter(uri.query(), "limit")? {
        None => DEFAULT_HISTORY_ENTRIES,
        Some(limit) => limit
            .parse()
            .ok()
            .filter(|limit| (1..=MAX_HISTORY_ENTRIES).contains(limit))
            .ok_or_else(|| {
                invalid(format!(
                    "the query parameter `limit` must be from 1 to {MAX_HISTORY_ENTRIES}"
                ))
            })?,
    };
    response::json(&state.backend.history(limit).await?)
}

/// Handles `GET /admin/upstreams`.
pub(crate) async fn upstreams(state: &ServerState) -> Result<Response, Failure> {
    response::json(&state.backend.upstreams().await?)
}

/// Handles `GET /v1/models`: lists the deployments of kind `model` in the format of the OpenAI API.
pub(crate) async fn models(state: &ServerState, headers: &HeaderMap) -> Result<Response, Failure> {
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
    extract::client(headers, &*state.backend)?;
    let configuration = state.backend.configuration().await?;
    let deployments = configuration.document.get("deployments").and_then(Value::as_object);
    let data = deployments
        .into_iter()
        .flatten()
        .filter(|(_, deployment)| deployment.get("kind").and_then(Value::as_str) == Some("model"))
        .map(|(id, _)| Model { id, object: "model" })
        .collect();
    response::json(&List { object: "list", data })
}

/// Handles `GET /livez`, which succeeds as long as the process runs.
pub(crate) fn live() -> Response {
    response::text(StatusCode::OK, "ok\n")
}

/// Handles `GET /readyz`, which succeeds while the load balancer may send new requests.
pub(crate) fn ready(state: &ServerState) -> Response {
    if state.backend.ready() {
        response::text(StatusCode::OK, "ready\n")
    } else {
        response::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

/// Handles `GET /metrics` in the Prometheus text format.
pub(crate) fn metrics(state: &ServerState) -> Response {
    response::text(StatusCode::OK, state.backend.metrics())
}
