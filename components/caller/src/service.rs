//! Calls of plain services.

use cyclamengrade_telemetry::trace::Span;
use hyper::{
    HeaderMap, StatusCode, Uri,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};

use crate::{
    Failure, Kind,
    answer::{self, Answer},
    backend::ServiceCall,
    input::{self, Common, invalid},
    route::Context,
};

const BINARY: HeaderValue = HeaderValue::from_static("application/octet-stream");

/// Passes a call on to a plain service.
pub(crate) async fn call(
    server: &Context,
    uri: &Uri,
    headers: &HeaderMap,
    span: &Span,
    body: Incoming,
    deployment: &str,
) -> Result<Answer, Failure> {
    let common = Common::read(headers, &*server.backend, span)?;
    let content_type = headers
        .get(CONTENT_TYPE)
        .map(|value| value.to_str().map(str::to_owned))
        .transpose()
        .map_err(|_| invalid("the header Content-Type is not printable ASCII"))?;
    let body = input::body(body, server.options.body_bytes).await?;
    let call = ServiceCall {
        client: common.client,
        deployment: input::percent_decoded(deployment)?,
        path: path(uri, deployment),
        body,
        content_type,
        deadline: common.deadline,
        idempotent: common.idempotent,
        idempotency_key: common.idempotency_key,
        traceparent: common.traceparent,
    };
    let result = server.backend.call_service(call).await?;
    let status = StatusCode::from_u16(result.status).map_err(|_| {
        let message = format!("the service answered with the status {}", result.status);
        Failure::ran(Kind::UpstreamFailed, message)
    })?;
    let content_type =
        result.content_type.and_then(|value| HeaderValue::try_from(value).ok()).unwrap_or(BINARY);
    Ok(answer::whole(status, content_type, result.body))
}

/// Path and query below the deployment, as the caller wrote them.
fn path(uri: &Uri, deployment: &str) -> String {
    let skipped = "/v1/services/".len() + deployment.len();
    let path = uri.path().get(skipped..).filter(|path| !path.is_empty()).unwrap_or("/");
    match uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}
