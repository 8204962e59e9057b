//! One HTTP call on a connection of its own.

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

/// Time to open a connection.
const CONNECT: Duration = Duration::from_secs(5);

/// Time for the headers of an answer; acceptance of a configuration waits for the table service.
const ANSWER: Duration = Duration::from_secs(30);

/// Time for the headers of the answer to a batch job of hundreds of MB.
const UPLOAD: Duration = Duration::from_secs(300);

/// Time without any new part of a body.
const PROGRESS: Duration = Duration::from_secs(30);

/// Longest answer that is read as a whole.
const ANSWER_BYTES: usize = 64 << 20;

/// Body of an answer with an error status.
#[derive(Deserialize)]
struct Body {
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

/// A call before it is sent.
pub struct Call {
    pub method: Method,
    pub path: String,
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
    pub token: Option<String>,
    /// Token for `/admin/*`; the other one when absent.
    pub admin_token: Option<String>,
}

impl Server {
    /// Sends a call and reads the answer as JSON.
    pub async fn json<T: DeserializeOwned>(&self, call: Call) -> Result<T, Error> {
        let body = self.bytes(call).await?;
        serde_json::from_slice(&body).map_err(|cause| self.protocol(cause))
    }

    async fn bytes(&self, call: Call) -> Result<Vec<u8>, Error> {
        let mut body = self.send(call).await?.into_body();
        let mut content = Vec::new();
        while let Some(part) = self.part(&mut body).await? {
            if content.len() + part.len() > ANSWER_BYTES {
                return Err(self.protocol(format!("the answer is over {ANSWER_BYTES} bytes")));
            }
            content.extend_from_slice(&part);
        }
        Ok(content)
    }

    /// Sends a call; an answer with an error status is an error.
    pub async fn send(&self, call: Call) -> Result<Response<Incoming>, Error> {
        let wait = if call.body.len() > 1 << 20 { UPLOAD } else { ANSWER };
        let request = self.request(call)?;
        let connection = within(CONNECT, TcpStream::connect(&self.address))
            .await
            .map_err(|cause| Error::Unreachable { server: self.address.clone(), cause })?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(connection))
            .await
            .map_err(|cause| self.unreachable(cause))?;
        // The connection ends with the answer; its errors also reach the sender.
        tokio::spawn(connection);
        let response =
            within(wait, sender.send_request(request)).await.map_err(|cause| self.lost(cause))?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(self.refusal(response).await)
    }

    /// The next part of a body; `None` at its end.
    pub async fn part(&self, body: &mut Incoming) -> Result<Option<Bytes>, Error> {
        loop {
            let frame = time::timeout(PROGRESS, body.frame()).await.map_err(|_| {
                self.lost(format!("the answer made no progress for {} s", PROGRESS.as_secs()))
            })?;
            match frame {
                None => return Ok(None),
                Some(Err(cause)) => return Err(self.lost(cause)),
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
        let admin = self.admin_token.as_ref().filter(|_| call.path.starts_with("/admin/"));
        if let Some(token) = admin.or(self.token.as_ref()) {
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

    async fn refusal(&self, response: Response<Incoming>) -> Error {
        let status = response.status();
        let header = response
            .headers()
            .get(RETRY_AFTER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map(Duration::from_secs);
        let body = time::timeout(PROGRESS, response.into_body().collect()).await;
        let body = match body {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) | Err(_) => Bytes::new(),
        };
        match serde_json::from_slice::<Body>(&body) {
            Ok(Body { error }) => Error::Refused {
                kind: error.kind,
                message: error.message,
                not_run: error.not_run,
                retry_after: error.retry_after_ms.map(Duration::from_millis).or(header),
            },
            Err(_) => self.plain(status, header),
        }
    }

    /// An error status without the JSON body of a daemon, for example of a load balancer.
    fn plain(&self, status: StatusCode, retry_after: Option<Duration>) -> Error {
        match status {
            StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE => Error::Unreachable {
                server: self.address.clone(),
                cause: format!("answered with status {status}"),
            },
            StatusCode::GATEWAY_TIMEOUT => self.lost(format!("answered with status {status}")),
            _ if status.is_client_error() => Error::Refused {
                kind: status.as_str().into(),
                message: format!("{} refused the call with status {status}", self.address),
                not_run: true,
                retry_after,
            },
            _ => self.protocol(format!("status {status} without a JSON error")),
        }
    }

    pub fn protocol(&self, cause: impl ToString) -> Error {
        Error::Protocol { server: self.address.clone(), cause: cause.to_string() }
    }

    fn unreachable(&self, cause: impl ToString) -> Error {
        Error::Unreachable { server: self.address.clone(), cause: cause.to_string() }
    }

    fn lost(&self, cause: impl ToString) -> Error {
        Error::Lost { server: self.address.clone(), cause: cause.to_string() }
    }
}

async fn within<T, E: std::fmt::Display>(
    limit: Duration,
    future: impl Future<Output = Result<T, E>>,
) -> Result<T, String> {
    match time::timeout(limit, future).await {
        Ok(result) => result.map_err(|cause| cause.to_string()),
        Err(_) => Err(format!("no answer within {} s", limit.as_secs())),
    }
}
