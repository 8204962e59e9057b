//! Route for calls of plain services.

use cyclamengrade_telemetry::trace::Span;
use hyper::{
    HeaderMap, StatusCode, Uri,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};

use crate::{
    Failure, Kind,
    backend::ServiceCall,
    extract::{self, CommonHeaders, invalid},
    response::{self, Response},
    route::ServerState,
};

const OCTET_STREAM: HeaderValue = HeaderValue::from_static("application/octet-stream");

/// Handles `POST /v1/services/DEPLOYMENT/...`.
pub(crate) async fn call(
    state: &ServerState,
    uri: &Uri,
    headers: &HeaderMap,
    span: &Span,
    body: Incoming,
    deployment: &str,
) -> Result<Response, Failure> {
    let common = CommonHeaders::parse(headers, &*state.backend, span)?;
    let content_type = headers
        .get(CONTENT_TYPE)
        .map(|value| value.to_str().map(str::to_owned))
        .transpose()
        .map_err(|_| invalid("the header Content-Type must be printable ASCII"))?;
    let body = extract::body(body, state.options.max_body_bytes).await?;
    let call = ServiceCall {
        client: common.client,
        deployment: extract::percent_decode(deployment)?,
        path: service_path(uri, deployment),
        body,
        content_type,
        deadline: common.deadline,
        idempotent: common.idempotent,
        idempotency_key: common.idempotency_key,
        traceparent: common.traceparent,
    };
    let response = state.backend.call_service(call).await?;
    let status = StatusCode::from_u16(response.status).map_err(|_| {
        let message = format!("the service returned the invalid status {}", response.status);
        Failure::may_have_run(Kind::UpstreamFailed, message)
    })?;
    let content_type = response
        .content_type
        .and_then(|value| HeaderValue::try_from(value).ok())
        .unwrap_or(OCTET_STREAM);
    Ok(response::full(status, content_type, response.body))
}

/// Returns path and query below the deployment without decoding them.
fn service_path(uri: &Uri, deployment: &str) -> String {
    let prefix_bytes = "/v1/services/".len() + deployment.len();
    let path = uri.path().get(prefix_bytes..).filter(|path| !path.is_empty()).unwrap_or("/");
    match uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}
