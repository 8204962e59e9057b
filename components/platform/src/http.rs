//! Adapter for the platform's published HTTP protocol.
//!
//! | call | request | answer |
//! | --- | --- | --- |
//! | `POST /v1/table/read` | [`Read`] | [`Rows`], with `null` for a missing row |
//! | `POST /v1/table/scan` | [`Scan`] | [`Rows`] |
//! | `POST /v1/table/commit` | [`Transaction`] | [`Commit`] |
//! | `PUT /v1/objects/{key}` with `If-None-Match: *` | content | 201, or 412 when it exists |
//! | `GET /v1/objects/{key}` | | 200 with the content, or 404 |
//! | `GET /v1/vms` with `If-None-Match` | | 200 with `ETag` and [`List`], or 304 |
//!
//! The platform answers 429 and 503 before it changes anything. Every other failure of a write
//! after the connection was made leaves open whether the write took effect.

use std::{error::Error as _, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, StatusCode,
    header::{CONTENT_TYPE, ETAG, IF_NONE_MATCH},
};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    Boxed, Error, Objects, Table, Vm, Vms,
    table::{Commit, Row, Transaction},
};

/// Idle connections kept for each of the three services.
const IDLE_CONNECTIONS: usize = 16;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Repetitions of a call that the platform refused because of its rate limit.
const LIMITED_RETRIES: u32 = 3;

/// Pause before the first repetition; doubled for each further one.
const LIMITED_PAUSE: Duration = Duration::from_millis(50);

/// Slowest transfer that is waited for: large objects extend the timeout by their size.
const MIN_BYTES_PER_S: u64 = 16 << 20;

/// Body of `POST /v1/table/read`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// Keys of the rows.
    pub keys: Vec<String>,
}

/// Body of `POST /v1/table/scan`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// What the keys start with.
    pub prefix: String,
    /// What the keys must be greater than.
    pub after: String,
    /// Most rows in the answer.
    pub limit: usize,
}

/// Answer of a read or a scan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rows<T> {
    /// The rows.
    pub rows: Vec<T>,
}

/// Answer of `GET /v1/vms`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The vms.
    pub vms: Vec<Vm>,
}

/// Client of the table service, the object store and the list of vms.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    table: SocketAddr,
    objects: SocketAddr,
    vms: SocketAddr,
    timeout: Duration,
}

/// Whether a call changes something at the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Read,
    Write,
}

impl Effect {
    /// The error of a call whose reply did not arrive after the connection was made.
    fn without_reply(self, cause: impl Into<String>) -> Error {
        match self {
            Self::Read => Error::Unreachable(cause.into()),
            Self::Write => Error::Unknown(cause.into()),
        }
    }
}

/// One call, which may be sent several times.
struct Call {
    effect: Effect,
    method: Method,
    address: SocketAddr,
    path: String,
    tag: Option<String>,
    body: Bytes,
}

/// Status, headers and body of an answer.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Client {
    /// A client of the services at the three addresses. `timeout` bounds one call, its
    /// repetitions after a rate limit included.
    pub fn new(table: SocketAddr, objects: SocketAddr, vms: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout / 2));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .build(connector);
        Self { pool, table, objects, vms, timeout }
    }

    async fn call(&self, call: Call) -> Result<Answer, Error> {
        self.repeat(&call).await
    }

    async fn repeat(&self, call: &Call) -> Result<Answer, Error> {
        let transfer = Duration::from_secs(call.body.len() as u64 / MIN_BYTES_PER_S);
        let deadline = Instant::now() + self.timeout + transfer;
        let mut pause = LIMITED_PAUSE;
        for _ in 0..LIMITED_RETRIES {
            match self.attempt(call, deadline).await {
                Err(Error::Limited) if Instant::now() + pause < deadline => sleep(pause).await,
                result => return result,
            }
            pause *= 2;
        }
        self.attempt(call, deadline).await
    }

    async fn attempt(&self, call: &Call, deadline: Instant) -> Result<Answer, Error> {
        let address = call.address;
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{address}{}", call.path))
            .header(CONTENT_TYPE, "application/json");
        if let Some(tag) = &call.tag {
            request = request.header(IF_NONE_MATCH, tag);
        }
        let request = request
            .body(Full::new(call.body.clone()))
            .map_err(|error| Error::Unreachable(format!("{}: {error}", call.path)))?;
        let response = match timeout_at(deadline, self.pool.request(request)).await {
            Err(_) => return Err(call.effect.without_reply(format!("{address} timed out"))),
            Ok(Err(error)) => {
                let cause = error.source().map_or_else(|| error.to_string(), ToString::to_string);
                let cause = format!("{address}: {cause}");
                return Err(match error.is_connect() {
                    true => Error::Unreachable(cause),
                    false => call.effect.without_reply(cause),
                });
            }
            Ok(Ok(response)) => response,
        };
        let (head, body) = response.into_parts();
        match head.status {
            StatusCode::TOO_MANY_REQUESTS => return Err(Error::Limited),
            StatusCode::SERVICE_UNAVAILABLE => {
                return Err(Error::Unreachable(format!("{address} is out of service")));
            }
            status if status.is_server_error() => {
                return Err(call.effect.without_reply(format!("{address} answered {status}")));
            }
            _ => {}
        }
        match timeout_at(self.body_deadline(&head.headers, deadline), body.collect()).await {
            Ok(Ok(body)) => {
                Ok(Answer { status: head.status, headers: head.headers, body: body.to_bytes() })
            }
            Ok(Err(error)) => Err(call.effect.without_reply(format!("{address}: {error}"))),
            Err(_) => Err(call.effect.without_reply(format!("{address} timed out"))),
        }
    }

    fn body_deadline(&self, headers: &HeaderMap, deadline: Instant) -> Instant {
        let length = headers
            .get(hyper::header::CONTENT_LENGTH)
            .and_then(|length| length.to_str().ok()?.parse::<u64>().ok())
            .unwrap_or(0);
        deadline + Duration::from_secs(length / MIN_BYTES_PER_S)
    }

    async fn table<T: DeserializeOwned>(
        &self,
        name: &'static str,
        effect: Effect,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(body)
            .map_err(|error| Error::Unreachable(format!("body of {name}: {error}")))?;
        let answer = self
            .call(Call {
                effect,
                method: Method::POST,
                address: self.table,
                path: format!("/v1/table/{name}"),
                tag: None,
                body: body.into(),
            })
            .await?;
        if answer.status != StatusCode::OK {
            return Err(unexpected(&answer));
        }
        serde_json::from_slice(&answer.body).map_err(|error| Error::Protocol(error.to_string()))
    }
}

impl Table for Client {
    fn read(&self, keys: Vec<String>) -> Boxed<'_, Vec<Option<Row>>> {
        Box::pin(async move {
            let expected = keys.len();
            let rows: Rows<Option<Row>> = self.table("read", Effect::Read, &Read { keys }).await?;
            match rows.rows.len() == expected {
                true => Ok(rows.rows),
                false => {
                    Err(Error::Protocol(format!("{} rows for {expected} keys", rows.rows.len())))
                }
            }
        })
    }

    fn scan(&self, prefix: String, after: String, limit: usize) -> Boxed<'_, Vec<Row>> {
        Box::pin(async move {
            let scan = Scan { prefix, after, limit };
            let rows: Rows<Row> = self.table("scan", Effect::Read, &scan).await?;
            Ok(rows.rows)
        })
    }

    fn commit(&self, transaction: Transaction) -> Boxed<'_, Commit> {
        Box::pin(async move { self.table("commit", Effect::Write, &transaction).await })
    }
}

impl Objects for Client {
    fn put_new(&self, key: String, content: Bytes) -> Boxed<'_, bool> {
        Box::pin(async move {
            let answer = self
                .call(Call {
                    effect: Effect::Write,
                    method: Method::PUT,
                    address: self.objects,
                    path: object_path(&key),
                    tag: Some("*".into()),
                    body: content,
                })
                .await?;
            match answer.status {
                StatusCode::CREATED => Ok(true),
                StatusCode::PRECONDITION_FAILED => Ok(false),
                _ => Err(unexpected(&answer)),
            }
        })
    }

    fn get(&self, key: String) -> Boxed<'_, Option<Bytes>> {
        Box::pin(async move {
            let answer = self
                .call(Call {
                    effect: Effect::Read,
                    method: Method::GET,
                    address: self.objects,
                    path: object_path(&key),
                    tag: None,
                    body: Bytes::new(),
                })
                .await?;
            match answer.status {
                StatusCode::OK => Ok(Some(answer.body)),
                StatusCode::NOT_FOUND => Ok(None),
                _ => Err(unexpected(&answer)),
            }
        })
    }
}

impl Vms for Client {
    fn list(&self, tag: Option<String>) -> Boxed<'_, Option<(String, Vec<Vm>)>> {
        Box::pin(async move {
            let answer = self
                .call(Call {
                    effect: Effect::Read,
                    method: Method::GET,
                    address: self.vms,
                    path: "/v1/vms".into(),
                    tag,
                    body: Bytes::new(),
                })
                .await?;
            match answer.status {
                StatusCode::NOT_MODIFIED => return Ok(None),
                StatusCode::OK => {}
                _ => return Err(unexpected(&answer)),
            }
            let list: List = serde_json::from_slice(&answer.body)
                .map_err(|error| Error::Protocol(error.to_string()))?;
            let tag = answer
                .headers
                .get(ETAG)
                .and_then(|tag| tag.to_str().ok())
                .ok_or_else(|| Error::Protocol("the list of vms has no ETag".into()))?;
            Ok(Some((tag.to_owned(), list.vms)))
        })
    }
}

fn unexpected(answer: &Answer) -> Error {
    let body = String::from_utf8_lossy(&answer.body[..answer.body.len().min(200)]).into_owned();
    Error::Protocol(format!("status {}: {body}", answer.status))
}

/// Path of an object; every byte outside the unreserved set and the slash is percent-encoded.
fn object_path(key: &str) -> String {
    let mut path = String::from("/v1/objects/");
    for byte in key.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b'/' => {
                path.push(char::from(byte));
            }
            _ => path.push_str(&format!("%{byte:02X}")),
        }
    }
    path
}
