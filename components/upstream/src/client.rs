//! Requests to engines, in their published protocol, and to plain services.

use std::{future::poll_fn, net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Body, Incoming},
    header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue, TRANSFER_ENCODING},
    http::request::Builder,
};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::{
    Error, Execution, Options, Stream,
    pool::{Pool, PooledConnection, connection_error},
    wire,
};

const STREAM_ID: HeaderName = HeaderName::from_static("x-stream-id");
const FENCING_NUMBER: HeaderName = HeaderName::from_static("x-fencing-number");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Maximum number of characters of an error body that are quoted in an error message.
const MAX_QUOTED_CHARS: usize = 200;
/// Maximum size of an error body that is read, in bytes; a larger one is not quoted at all.
const MAX_ERROR_BODY_BYTES: usize = 64 << 10;

/// Request for a streamed completion.
#[derive(Clone, Debug)]
pub struct StreamRequest<'a> {
    /// Identifier under which [`Client::cancel`] can cancel the stream.
    pub stream_id: &'a str,
    /// Request body. The client always sets its field `stream` to `true`.
    pub body: wire::Completion,
    /// Value of the header `traceparent` (W3C Trace Context) for this attempt.
    pub traceparent: Option<&'a str>,
    /// Whether to open a new connection instead of reusing an idle one.
    pub new_connection: bool,
}

/// Request to a plain service, sent with the method `POST`.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRequest<'a> {
    /// Path and query, with a leading slash.
    pub path: &'a str,
    pub body: &'a Bytes,
    pub content_type: Option<&'a str>,
    /// Value of the header `Idempotency-Key`. A service that supports the header runs the request
    /// at most once.
    pub idempotency_key: Option<&'a str>,
    /// Value of the header `traceparent` (W3C Trace Context) for this attempt.
    pub traceparent: Option<&'a str>,
}

/// Complete response of a plain service, with any status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body; absent if the header is missing or is not printable ASCII.
    pub content_type: Option<String>,
    pub body: Bytes,
}

/// Client for all upstreams. Clones share one connection pool.
#[derive(Clone)]
pub struct Client {
    pool: Arc<Pool>,
}

impl Client {
    pub fn new(options: Options) -> Self {
        Self { pool: Arc::new(Pool::new(options)) }
    }

    /// Opens a streamed completion; any status other than 200 is an error.
    ///
    /// The response has no timeout. Dropping the future or the stream closes the connection.
    pub async fn open(
        &self,
        address: SocketAddr,
        stream_request: StreamRequest<'_>,
    ) -> Result<Stream, Error> {
        let body = wire::Completion { stream: true, ..stream_request.body };
        let request = request_builder(address, Method::POST, "/v1/completions")
            .header(CONTENT_TYPE, JSON)
            .header(STREAM_ID, stream_request.stream_id);
        let request = with_optional_header(request, TRACEPARENT, stream_request.traceparent);
        let request = with_body(address, request, encode_json(address, &body)?)?;
        let (response, connection) =
            self.pool.send(address, request, stream_request.new_connection).await?;
        if response.status() != StatusCode::OK {
            return Err(self.refusal(response, connection).await);
        }
        Ok(Stream::new(response.into_body(), connection, body.resume_from))
    }

    /// Closes all idle connections to an upstream, for example after one of its connections has
    /// stopped responding.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.close_idle(address);
    }

    /// Cancels a stream. A stream that the engine does not know counts as cancelled.
    pub async fn cancel(&self, address: SocketAddr, stream_id: &str) -> Result<(), Error> {
        let request = request_builder(address, Method::DELETE, &format!("/v1/streams/{stream_id}"));
        let request = with_body(address, request, Bytes::new())?;
        match self.send_short(address, request).await {
            Ok(_) | Err(Error::Refused { status: 404, .. }) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Reads the current load of an engine.
    pub async fn load(&self, address: SocketAddr) -> Result<wire::Load, Error> {
        self.get(address, "/v1/load").await
    }

    /// Reads the cache events of an engine whose number is above `after`.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<wire::CacheEvents, Error> {
        self.get(address, &format!("/v1/cache-events?after={after}")).await
    }

    /// Sends an engine the state that it must reach.
    ///
    /// An engine that checks fencing numbers refuses an order whose number is lower than that of an
    /// earlier order.
    pub async fn order(
        &self,
        address: SocketAddr,
        fencing_number: u64,
        order: &wire::Order,
    ) -> Result<(), Error> {
        let request = request_builder(address, Method::PUT, "/v1/orders")
            .header(CONTENT_TYPE, JSON)
            .header(FENCING_NUMBER, fencing_number);
        let request = with_body(address, request, encode_json(address, order)?)?;
        self.send_short(address, request).await.map(|_| ())
    }

    /// Calls a plain service and returns its response, whatever the status.
    ///
    /// A response that ends with its connection, without a length or chunks, counts as complete only if
    /// the service accepts another connection: one that is killed closes its connections too.
    ///
    /// Each call has a connection of its own. Nothing in a response names its call, so one that the service
    /// writes once more would count for the next call on the connection.
    ///
    /// The response has no timeout. Dropping the future closes the connection.
    pub async fn call_service(
        &self,
        address: SocketAddr,
        service_request: ServiceRequest<'_>,
    ) -> Result<UpstreamResponse, Error> {
        let request = request_builder(address, Method::POST, service_request.path);
        let request = with_optional_header(request, CONTENT_TYPE, service_request.content_type);
        let request =
            with_optional_header(request, IDEMPOTENCY_KEY, service_request.idempotency_key);
        let request = with_optional_header(request, TRACEPARENT, service_request.traceparent);
        let request = with_body(address, request, service_request.body.clone())?;
        let (response, connection) = self.pool.send(address, request, true).await?;
        let status = response.status().as_u16();
        let content_type = response
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let has_marked_end = has_marked_end(&response);
        let limit = self.pool.options.max_body_bytes;
        let body = read_body(address, response, connection, limit, Reuse::Never).await?;
        if !has_marked_end {
            self.pool.confirm_alive(address).await?;
        }
        Ok(UpstreamResponse { status, content_type, body })
    }

    async fn get<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Result<T, Error> {
        let request =
            with_body(address, request_builder(address, Method::GET, path), Bytes::new())?;
        let body = self.send_short(address, request).await?;
        serde_json::from_slice(&body).map_err(|cause| Error::Protocol {
            address: address.to_string(),
            cause: format!("{path}: {cause}"),
        })
    }

    /// Sends a request with the timeout for short calls and reads the whole response body; a status
    /// other than 2xx is an error.
    async fn send_short(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Bytes, Error> {
        let limit: Duration = self.pool.options.call_timeout;
        let response = async {
            let (response, connection) = self.pool.send(address, request, false).await?;
            if !response.status().is_success() {
                return Err(self.refusal(response, connection).await);
            }
            let limit = self.pool.options.max_body_bytes;
            read_body(address, response, connection, limit, Reuse::AfterSuccess).await
        };
        timeout(limit, response).await.unwrap_or_else(|_| {
            Err(Error::Broken {
                address: address.to_string(),
                cause: format!("no complete response within {limit:?}"),
                execution: Execution::Unknown,
            })
        })
    }

    async fn refusal(&self, response: Response<Incoming>, connection: PooledConnection) -> Error {
        let address = connection.address();
        let status = response.status().as_u16();
        // The body only adds detail to the message; failing to read it does not change the error.
        let body = timeout(
            self.pool.options.call_timeout,
            read_body(address, response, connection, MAX_ERROR_BODY_BYTES, Reuse::Never),
        )
        .await;
        let message = match body {
            Ok(Ok(body)) => String::from_utf8_lossy(&body).chars().take(MAX_QUOTED_CHARS).collect(),
            _ => String::new(),
        };
        Error::Refused { address: address.to_string(), status, message }
    }
}

fn request_builder(address: SocketAddr, method: Method, path: &str) -> Builder {
    Request::builder().method(method).uri(path).header(HOST, address.to_string())
}

fn with_optional_header(request: Builder, name: HeaderName, value: Option<&str>) -> Builder {
    match value {
        Some(value) => request.header(name, value),
        None => request,
    }
}

/// Adds the body to a request. Fails without sending anything if the path or a header is invalid.
fn with_body(
    address: SocketAddr,
    request: Builder,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, Error> {
    request.body(Full::new(body)).map_err(|cause| Error::Broken {
        address: address.to_string(),
        cause: format!("invalid path or header: {cause}"),
        execution: Execution::NotStarted,
    })
}

fn encode_json<T: serde::Serialize>(address: SocketAddr, body: &T) -> Result<Bytes, Error> {
    serde_json::to_vec(body).map(Bytes::from).map_err(|cause| Error::Broken {
        address: address.to_string(),
        cause: format!("the body cannot be encoded as JSON: {cause}"),
        execution: Execution::NotStarted,
    })
}

/// Whether a length or chunks mark the end of a response (RFC 9112, section 6.3).
fn has_marked_end(response: &Response<Incoming>) -> bool {
    let codings = response.headers().get_all(TRANSFER_ENCODING).iter().next_back();
    match codings.map(|codings| codings.to_str().unwrap_or_default()) {
        Some(codings) => codings
            .rsplit(',')
            .next()
            .is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked")),
        None => response.body().size_hint().exact().is_some(),
    }
}

/// Whether a connection is used again after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reuse {
    Never,
    /// The upstream may write a refusal once more, and nothing in it would tell it from the answer to the
    /// next request.
    AfterSuccess,
}

/// Reads a whole response body of at most `limit` bytes. A successful response without a body fails if
/// nothing marks its end: a head that ends early looks the same.
async fn read_body(
    address: SocketAddr,
    response: Response<Incoming>,
    mut connection: PooledConnection,
    limit: usize,
    reuse: Reuse,
) -> Result<Bytes, Error> {
    let is_success = response.status().is_success();
    let has_marked_end = has_marked_end(&response);
    let mut body = response.into_body();
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = poll_fn(|cx| connection.poll_frame(cx, &mut body)).await {
        let frame = frame.map_err(|cause| connection_error(address, &cause, Execution::Started))?;
        let Ok(data) = frame.into_data() else { continue };
        if first.len() + rest.len() + data.len() > limit {
            return Err(Error::Protocol {
                address: address.to_string(),
                cause: format!("the response body exceeds {limit} bytes"),
            });
        }
        // A body that arrives in one frame is returned without a copy.
        if first.is_empty() && rest.is_empty() {
            first = data;
        } else {
            if rest.is_empty() {
                rest.extend_from_slice(&std::mem::take(&mut first));
            }
            rest.extend_from_slice(&data);
        }
    }
    if is_success && !has_marked_end && first.is_empty() {
        return Err(Error::Broken {
            address: address.to_string(),
            cause: "the response has neither a body nor a marked end".into(),
            execution: Execution::Started,
        });
    }
    if is_success && reuse == Reuse::AfterSuccess {
        connection.release();
    }
    Ok(if rest.is_empty() { first } else { rest.freeze() })
}
