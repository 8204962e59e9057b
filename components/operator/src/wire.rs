//! HTTP calls to a daemon, each on a connection of its own.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1,
    header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER},
};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, de::DeserializeOwned};
use tokio::{net::TcpStream, time};

use crate::Error;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time until the headers of a response arrive. The daemon waits for the table service before it
/// accepts a configuration.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time until the headers of a response arrive when the request body is over 1 MiB. The input of a
/// batch job may have hundreds of MB.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(300);

/// Longest time without new data of a response body. Bounds the whole body of an error response.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Size of the largest response that is held in memory.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Body of a response with an error status.
#[derive(Deserialize)]
struct Failure {
    error: Detail,
}

#[derive(Deserialize)]
struct Detail {
    kind: String,
    message: String,
    #[serde(default)]
    not_run: bool,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

/// Request to a daemon.
pub struct Call {
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers beside the host, the content type and the token.
    pub headers: Vec<(&'static str, String)>,
    pub content_type: &'static str,
    pub body: Bytes,
}

impl Call {
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path, "application/json", Bytes::new())
    }

    pub fn post(path: impl Into<String>, content_type: &'static str, body: Bytes) -> Self {
        Self::new(Method::POST, path, content_type, body)
    }

    fn new(
        method: Method,
        path: impl Into<String>,
        content_type: &'static str,
        body: Bytes,
    ) -> Self {
        Self { method, path: path.into(), headers: Vec::new(), content_type, body }
    }

    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// Address and tokens of a daemon.
#[derive(Clone, Debug)]
pub struct Server {
    pub address: String,
    /// Token of the client account.
    pub token: Option<String>,
    /// Token for `/admin/*`. Without it, `token` is sent there.
    pub admin_token: Option<String>,
}

impl Server {
    /// Sends a call and parses the response as JSON.
    pub async fn json<T: DeserializeOwned>(&self, call: Call) -> Result<T, Error> {
        let body = self.collect(call).await?;
        serde_json::from_slice(&body).map_err(|cause| self.protocol(cause))
    }

    async fn collect(&self, call: Call) -> Result<Vec<u8>, Error> {
        let mut body = self.send(call).await?.into_body();
        let mut content = Vec::new();
        while let Some(data) = self.next_data(&mut body).await? {
            if content.len() + data.len() > MAX_RESPONSE_BYTES {
                return Err(
                    self.protocol(format!("the response is over {MAX_RESPONSE_BYTES} bytes"))
                );
            }
            content.extend_from_slice(&data);
        }
        Ok(content)
    }

    /// Sends a call and returns the response once its headers have arrived. A status other than success
    /// is returned as an error.
    pub async fn send(&self, call: Call) -> Result<Response<Incoming>, Error> {
        let timeout = if call.body.len() > 1 << 20 { UPLOAD_TIMEOUT } else { RESPONSE_TIMEOUT };
        let request = self.request(call)?;
        let connection = with_timeout(CONNECT_TIMEOUT, TcpStream::connect(&self.address))
            .await
            .map_err(|cause| Error::Unreachable { server: self.address.clone(), cause })?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(connection))
            .await
            .map_err(|cause| self.unreachable(cause))?;
        // The task ends with the response. Errors of the connection are also returned by the sender.
        tokio::spawn(connection);
        let response = with_timeout(timeout, sender.send_request(request))
            .await
            .map_err(|cause| self.reply_lost(cause))?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(self.error_response(response).await)
    }

    /// Returns the next data of a body, or `None` at its end.
    pub async fn next_data(&self, body: &mut Incoming) -> Result<Option<Bytes>, Error> {
        loop {
            let frame = time::timeout(BODY_TIMEOUT, body.frame()).await.map_err(|_| {
                self.reply_lost(format!(
                    "no data of the response body for {} s",
                    BODY_TIMEOUT.as_secs()
                ))
            })?;
            match frame {
                None => return Ok(None),
                Some(Err(cause)) => return Err(self.reply_lost(cause)),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    fn request(&self, call: Call) -> Result<Request<Full<Bytes>>, Error> {
        let argument = |cause: &dyn std::fmt::Display| Error::Argument(format!("{cause}"));
        let mut request = Request::builder()
            .method(call.method)
            .uri(&call.path)
            .header(HOST, &self.address)
            .header(CONTENT_TYPE, call.content_type);
        let admin_token = self.admin_token.as_ref().filter(|_| call.path.starts_with("/admin/"));
        if let Some(token) = admin_token.or(self.token.as_ref()) {
            let mut value = HeaderValue::try_from(format!("Bearer {token}"))
                .map_err(|_| Error::Argument("the token is not a valid header value".into()))?;
            value.set_sensitive(true);
            request = request.header(AUTHORIZATION, value);
        }
        for (name, value) in call.headers {
            let value = HeaderValue::try_from(value).map_err(|_| {
                Error::Argument(format!("the value for {name} is not a valid header value"))
            })?;
            request = request.header(name, value);
        }
        request.body(Full::new(call.body)).map_err(|cause| argument(&cause))
    }

    /// Reads the body of a response with an error status and returns its error.
    async fn error_response(&self, response: Response<Incoming>) -> Error {
        let status = response.status();
        let retry_after = response
            .headers()
            .get(RETRY_AFTER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map(Duration::from_secs);
        let body = time::timeout(BODY_TIMEOUT, response.into_body().collect()).await;
        let body = match body {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) | Err(_) => Bytes::new(),
        };
        match serde_json::from_slice::<Failure>(&body) {
            Ok(Failure { error }) => Error::Refused {
                kind: error.kind,
                message: error.message,
                not_run: error.not_run,
                retry_after: error.retry_after_ms.map(Duration::from_millis).or(retry_after),
            },
            Err(_) => self.status_error(status, retry_after),
        }
    }

    /// Returns the error for an error status without the JSON body of a daemon, for example from a load
    /// balancer.
    fn status_error(&self, status: StatusCode, retry_after: Option<Duration>) -> Error {
        match status {
            StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE => Error::Unreachable {
                server: self.address.clone(),
                cause: format!("answered with status {status}"),
            },
            StatusCode::GATEWAY_TIMEOUT => {
                self.reply_lost(format!("answered with status {status}"))
            }
            _ if status.is_client_error() => Error::Refused {
                kind: status.as_str().into(),
                message: format!("{} refused the call with status {status}", self.address),
                not_run: true,
                retry_after,
            },
            _ => self.protocol(format!("status {status} without an error in JSON")),
        }
    }

    pub fn protocol(&self, cause: impl ToString) -> Error {
        Error::Protocol { server: self.address.clone(), cause: cause.to_string() }
    }

    fn unreachable(&self, cause: impl ToString) -> Error {
        Error::Unreachable { server: self.address.clone(), cause: cause.to_string() }
    }

    fn reply_lost(&self, cause: impl ToString) -> Error {
        Error::ReplyLost { server: self.address.clone(), cause: cause.to_string() }
    }
}

/// Waits for `future` at most for `limit`, and returns its error or the timeout as text.
async fn with_timeout<T, E: std::fmt::Display>(
    limit: Duration,
    future: impl Future<Output = Result<T, E>>,
) -> Result<T, String> {
    match time::timeout(limit, future).await {
        Ok(result) => result.map_err(|cause| cause.to_string()),
        Err(_) => Err(format!("no response within {} s", limit.as_secs())),
    }
}
