//! HTTP client for tests, the demo and the load tool.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, body::Incoming};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use tokio::time::{Instant, timeout_at};

/// Time limit of a call for which [`Call::with_timeout`] is not used.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Reason why a call got no usable reply.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// cannot connect to {0}
    Connect(String),
    /// connection broken: {0}
    Broken(String),
    /// no complete reply within {0:?}
    TimedOut(Duration),
    /// malformed reply: {0}
    Malformed(String),
}

impl std::error::Error for Error {}

/// An HTTP request to send.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    address: SocketAddr,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
    timeout: Duration,
}

impl Call {
    /// Creates a call without headers and body, with the default time limit of 30 s.
    pub fn new(method: Method, address: SocketAddr, path: impl Into<String>) -> Self {
        Self {
            method,
            address,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    pub fn get(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(Method::GET, address, path)
    }

    pub fn post(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(Method::POST, address, path)
    }

    pub fn with_header(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds the key of a client account of the platform, unless it is empty.
    pub fn with_key(self, key: &str) -> Self {
        if key.is_empty() {
            self
        } else {
            self.with_header("authorization", format!("Token {key}"))
        }
    }

    /// Adds the bearer token of a client account.
    pub fn with_token(self, token: &str) -> Self {
        self.with_header("authorization", format!("Bearer {token}"))
    }

    pub fn with_body(self, body: impl Into<Bytes>) -> Self {
        Self { body: body.into(), ..self }
    }

    /// Sets a JSON body and its content type.
    pub fn with_json(self, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.with_header("content-type", "application/json").with_body(body)
    }

    /// Sets the time limit of the whole call, from connecting to the last byte of the reply.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }
}

/// A complete HTTP response.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Reply {
    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Error::Malformed(format!("{error}: {}", self.text())))
    }

    /// Returns the body as text; bytes that are not UTF-8 are replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the kind of the error in the body, or an empty text if there is none.
    pub fn kind(&self) -> String {
        let kind = self.json::<Value>().map(|body| body["error"]["kind"].clone());
        kind.ok().and_then(|kind| kind.as_str().map(Into::into)).unwrap_or_default()
    }

    /// Returns whether the error in the body says that the request certainly did not run.
    pub fn not_run(&self) -> bool {
        let body = self.json::<Value>().unwrap_or_default();
        body["error"]["not_run"].as_bool().unwrap_or(false)
    }
}

/// A response that is read as server-sent events.
#[derive(Debug)]
pub struct Events {
    /// HTTP status.
    pub status: u16,
    body: Incoming,
    buffer: Vec<u8>,
    deadline: Instant,
    timeout: Duration,
}

impl Events {
    /// Returns the data of the next event, or `None` at the end of the response.
    pub async fn next(&mut self) -> Result<Option<String>, Error> {
        while let Some(event) = self.next_event().await? {
            let data = event.lines().filter_map(|line| line.strip_prefix("data:"));
            let data: Vec<_> = data.map(str::trim_start).collect();
            if !data.is_empty() {
                return Ok(Some(data.join("\n")));
            }
        }
        Ok(None)
    }

    /// Returns the text of the next event, or `None` at the end of the response.
    pub async fn next_event(&mut self) -> Result<Option<String>, Error> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
                let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&event).into_owned()));
            }
            match timeout_at(self.deadline, self.body.frame()).await {
                Err(_) => return Err(Error::TimedOut(self.timeout)),
                Ok(None) => return Ok(None),
                Ok(Some(Err(error))) => return Err(Error::Broken(error.to_string())),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }

    /// Reads the body that has not been received yet without parsing events, for responses that are
    /// no event stream.
    pub async fn remaining_body(self) -> Result<Bytes, Error> {
        match timeout_at(self.deadline, self.body.collect()).await {
            Err(_) => Err(Error::TimedOut(self.timeout)),
            Ok(Err(error)) => Err(Error::Broken(error.to_string())),
            Ok(Ok(body)) => Ok(body.to_bytes()),
        }
    }
}

/// An HTTP client that reuses connections.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(5)));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(5))
            .build(connector);
        Self { pool }
    }

    /// Sends a call and reads the whole reply.
    pub async fn send(&self, call: Call) -> Result<Reply, Error> {
        let (deadline, timeout) = (Instant::now() + call.timeout, call.timeout);
        let (head, body) = self.request(call, deadline).await?.into_parts();
        let body = match timeout_at(deadline, body.collect()).await {
            Err(_) => return Err(Error::TimedOut(timeout)),
            Ok(Err(error)) => return Err(Error::Broken(error.to_string())),
            Ok(Ok(body)) => body.to_bytes(),
        };
        Ok(Reply { status: head.status.as_u16(), headers: head.headers, body })
    }

    /// Sends a call and returns the response as a stream of events once its head has arrived.
    pub async fn open(&self, call: Call) -> Result<Events, Error> {
        let (deadline, timeout) = (Instant::now() + call.timeout, call.timeout);
        let response = self.request(call, deadline).await?;
        let status = response.status().as_u16();
        Ok(Events { status, body: response.into_body(), buffer: Vec::new(), deadline, timeout })
    }

    async fn request(
        &self,
        call: Call,
        deadline: Instant,
    ) -> Result<hyper::Response<Incoming>, Error> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", call.address, call.path));
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request
            .body(Full::new(call.body))
            .map_err(|error| Error::Malformed(error.to_string()))?;
        match timeout_at(deadline, self.pool.request(request)).await {
            Err(_) => Err(Error::TimedOut(call.timeout)),
            Ok(Err(error)) if error.is_connect() => Err(Error::Connect(call.address.to_string())),
            Ok(Err(error)) => Err(Error::Broken(error.to_string())),
            Ok(Ok(response)) => Ok(response),
        }
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}
