//! Calls of the engines' published protocol and of plain services.

use std::{future::poll_fn, net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue},
    http::request::Builder,
};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::{
    Error, Options, Ran, Stream,
    pool::{Lease, Pool, broken},
    wire,
};

const STREAM_ID: HeaderName = HeaderName::from_static("x-stream-id");
const FENCING_NUMBER: HeaderName = HeaderName::from_static("x-fencing-number");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Most bytes of an error body that are quoted in a message.
const QUOTED_BYTES: usize = 200;
/// Largest error body that is read.
const ERROR_BODY_BYTES: usize = 64 << 10;

/// A streamed completion to open.
#[derive(Clone, Debug)]
pub struct Open<'a> {
    /// Identifier under which the stream can be cancelled.
    pub stream_id: &'a str,
    /// Request; the field `stream` is set by the client.
    pub body: wire::Completion,
    /// W3C trace context of this hop.
    pub traceparent: Option<&'a str>,
    /// Whether to use a new connection.
    pub fresh: bool,
}

/// A call of a plain service.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Path and query, with a leading slash.
    pub path: &'a str,
    /// Body.
    pub body: &'a Bytes,
    /// Content type of the body.
    pub content_type: Option<&'a str>,
    /// Key under which the service runs the call at most once, if it checks it.
    pub idempotency_key: Option<&'a str>,
    /// W3C trace context of this hop.
    pub traceparent: Option<&'a str>,
    /// Whether to use a new connection, which an idle timeout of the service cannot hit.
    pub fresh: bool,
}

/// Whole answer of a plain service, whatever its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// Client of all upstreams; clones share the connections.
#[derive(Clone)]
pub struct Client {
    pool: Arc<Pool>,
}

impl Client {
    /// A client without connections.
    pub fn new(options: Options) -> Self {
        Self { pool: Arc::new(Pool::new(options)) }
    }

    /// Opens a streamed completion.
    ///
    /// Sets no time limit on the answer; drop the future or the stream to close the connection.
    pub async fn open(&self, address: SocketAddr, open: Open<'_>) -> Result<Stream, Error> {
        let body = wire::Completion { stream: true, ..open.body };
        let request = request(address, Method::POST, "/v1/completions")
            .header(CONTENT_TYPE, JSON)
            .header(STREAM_ID, open.stream_id);
        let request = optional(request, TRACEPARENT, open.traceparent);
        let request = with_body(address, request, json(address, &body)?)?;
        let (response, lease) = self.pool.send(address, request, open.fresh).await?;
        if response.status() != StatusCode::OK {
            return Err(self.refused(response, lease).await);
        }
        Ok(Stream::new(response.into_body(), lease, body.resume_from))
    }

    /// Closes the idle connections to an upstream, after one of its connections went silent.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.forget(address);
    }

    /// Cancels a stream; a stream that the engine does not know counts as cancelled.
    pub async fn cancel(&self, address: SocketAddr, stream_id: &str) -> Result<(), Error> {
        let request = request(address, Method::DELETE, &format!("/v1/streams/{stream_id}"));
        let request = with_body(address, request, Bytes::new())?;
        match self.short(address, request).await {
            Ok(_) | Err(Error::Refused { status: 404, .. }) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Reads the load of an engine.
    pub async fn load(&self, address: SocketAddr) -> Result<wire::Load, Error> {
        self.get(address, "/v1/load").await
    }

    /// Reads the cache events of an engine with a number above `after`.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<wire::CacheEvents, Error> {
        self.get(address, &format!("/v1/cache-events?after={after}")).await
    }

    /// Orders an engine to reach a state.
    pub async fn order(
        &self,
        address: SocketAddr,
        fencing_number: u64,
        order: &wire::Order,
    ) -> Result<(), Error> {
        let request = request(address, Method::PUT, "/v1/orders")
            .header(CONTENT_TYPE, JSON)
            .header(FENCING_NUMBER, fencing_number);
        let request = with_body(address, request, json(address, order)?)?;
        self.short(address, request).await.map(|_| ())
    }

    /// Calls a plain service and returns its answer, also one with an error status.
    ///
    /// Sets no time limit on the answer; drop the future to close the connection.
    pub async fn call_service(&self, address: SocketAddr, call: Call<'_>) -> Result<Answer, Error> {
        let request = request(address, Method::POST, call.path);
        let request = optional(request, CONTENT_TYPE, call.content_type);
        let request = optional(request, IDEMPOTENCY_KEY, call.idempotency_key);
        let request = optional(request, TRACEPARENT, call.traceparent);
        let request = with_body(address, request, call.body.clone())?;
        let (response, lease) = self.pool.send(address, request, call.fresh).await?;
        let status = response.status().as_u16();
        let content_type = response
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let body = whole(address, response, lease, self.pool.options.body_bytes).await?;
        Ok(Answer { status, content_type, body })
    }

    async fn get<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Result<T, Error> {
        let request = with_body(address, request(address, Method::GET, path), Bytes::new())?;
        let body = self.short(address, request).await?;
        serde_json::from_slice(&body).map_err(|cause| Error::Protocol {
            address: address.to_string(),
            cause: format!("{path}: {cause}"),
        })
    }

    async fn short(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Bytes, Error> {
        let limit: Duration = self.pool.options.call;
        let answer = async {
            let (response, lease) = self.pool.send(address, request, false).await?;
            if !response.status().is_success() {
                return Err(self.refused(response, lease).await);
            }
            whole(address, response, lease, self.pool.options.body_bytes).await
        };
        timeout(limit, answer).await.unwrap_or_else(|_| {
            Err(Error::Broken {
                address: address.to_string(),
                cause: format!("no answer within {limit:?}"),
                ran: Ran::Unknown,
            })
        })
    }

    async fn refused(&self, response: Response<Incoming>, lease: Lease) -> Error {
        let address = lease.address();
        let status = response.status().as_u16();
        // The status alone decides; the body only explains.
        let body =
            timeout(self.pool.options.call, whole(address, response, lease, ERROR_BODY_BYTES))
                .await;
        let message = match body {
            Ok(Ok(body)) => String::from_utf8_lossy(&body).chars().take(QUOTED_BYTES).collect(),
            _ => String::new(),
        };
        Error::Refused { address: address.to_string(), status, message }
    }
}

fn request(address: SocketAddr, method: Method, path: &str) -> Builder {
    Request::builder().method(method).uri(path).header(HOST, address.to_string())
}

fn optional(request: Builder, name: HeaderName, value: Option<&str>) -> Builder {
    match value {
        Some(value) => request.header(name, value),
        None => request,
    }
}

/// Completes a request; one with an invalid path or header was certainly not sent.
fn with_body(
    address: SocketAddr,
    request: Builder,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, Error> {
    request.body(Full::new(body)).map_err(|cause| Error::Broken {
        address: address.to_string(),
        cause: format!("the request cannot be sent: {cause}"),
        ran: Ran::No,
    })
}

fn json<T: serde::Serialize>(address: SocketAddr, body: &T) -> Result<Bytes, Error> {
    serde_json::to_vec(body).map(Bytes::from).map_err(|cause| Error::Broken {
        address: address.to_string(),
        cause: format!("the request cannot be encoded: {cause}"),
        ran: Ran::No,
    })
}

/// Reads a whole body and returns the connection to the pool.
async fn whole(
    address: SocketAddr,
    response: Response<Incoming>,
    mut lease: Lease,
    limit: usize,
) -> Result<Bytes, Error> {
    let mut body = response.into_body();
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = poll_fn(|cx| lease.poll_frame(cx, &mut body)).await {
        let frame = frame.map_err(|cause| broken(address, &cause, Ran::Yes))?;
        let Ok(data) = frame.into_data() else { continue };
        if first.len() + rest.len() + data.len() > limit {
            return Err(Error::Protocol {
                address: address.to_string(),
                cause: format!("the body exceeds {limit} bytes"),
            });
        }
        // A body in one part is passed on without a copy.
        if first.is_empty() && rest.is_empty() {
            first = data;
        } else {
            if rest.is_empty() {
                rest.extend_from_slice(&std::mem::take(&mut first));
            }
            rest.extend_from_slice(&data);
        }
    }
    lease.give_back();
    Ok(if rest.is_empty() { first } else { rest.freeze() })
}
