//! Test support: a backend that plays back given events, and a raw HTTP client.
#![allow(dead_code, clippy::unwrap_used, clippy::panic)]

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use cyclamengrade_caller::{
    Failure, Kind, Options, Server,
    backend::{
        Backend, BackendFuture, Completion, ConfigurationChange, Event, HistoryEntry, Job,
        JobState, Results, Revision, ServiceCall, ServiceResponse, Submission, Upstream,
    },
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    task::JoinHandle,
    time::timeout,
};

/// Timeout that only a hanging request reaches.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(30);

/// Calls that the backend has received.
#[derive(Default)]
pub struct Recorded {
    pub completions: Mutex<Vec<Completion>>,
    pub calls: Mutex<Vec<ServiceCall>>,
    pub submissions: Mutex<Vec<Submission>>,
    pub changes: Mutex<Vec<ConfigurationChange>>,
    /// Number of completions whose receiver was dropped before the end.
    pub dropped: AtomicUsize,
    /// Makes the backend report that it is not ready.
    pub not_ready: AtomicBool,
}

/// A backend that sends the given events for each completion.
///
/// If the last event does not end the completion, it stays open until the receiver is dropped.
pub struct ScriptedBackend {
    pub recorded: Arc<Recorded>,
    pub events: Vec<Event>,
    /// Events that the first completion sends after `events`, once the test sends a message.
    pub delayed: Mutex<Option<(oneshot::Receiver<()>, Vec<Event>)>>,
}

/// Returns a future that is already complete.
fn ready<T: Send + 'static>(result: Result<T, Failure>) -> BackendFuture<T> {
    Box::pin(async move { result })
}

pub fn job() -> Job {
    Job {
        id: "j1".into(),
        deployment: "wording-llm".into(),
        state: JobState::Open,
        items: 1,
        succeeded: 0,
        failed: 0,
        due_unix_ms: 1,
    }
}

impl Backend for ScriptedBackend {
    fn client(&self, token: &str) -> Option<String> {
        (token == "secret").then(|| "himal".to_owned())
    }

    fn complete(&self, call: Completion) -> BackendFuture<mpsc::Receiver<Event>> {
        let unknown = call.deployment != "wording-llm";
        self.recorded.completions.lock().unwrap().push(call);
        if unknown {
            return ready(Err(Failure::not_run(Kind::NotFound, "no such deployment")
                .with_retry_after(Duration::from_millis(1_500))));
        }
        let (sender, receiver) = mpsc::channel(64);
        let (events, recorded) = (self.events.clone(), Arc::clone(&self.recorded));
        let delayed = self.delayed.lock().unwrap().take();
        tokio::spawn(async move {
            let open = !matches!(events.last(), Some(Event::End { .. } | Event::Failed(_)));
            for event in events {
                let _ = sender.send(event).await;
            }
            if let Some((release, events)) = delayed {
                let _ = release.await;
                for event in events {
                    let _ = sender.send(event).await;
                }
            } else if open {
                sender.closed().await;
                recorded.dropped.fetch_add(1, Ordering::SeqCst);
            }
        });
        ready(Ok(receiver))
    }

    fn call_service(&self, call: ServiceCall) -> BackendFuture<ServiceResponse> {
        self.recorded.calls.lock().unwrap().push(call);
        ready(Ok(ServiceResponse {
            status: 418,
            content_type: Some("text/plain".into()),
            body: "teapot".into(),
        }))
    }

    fn submit(&self, submission: Submission) -> BackendFuture<Job> {
        self.recorded.submissions.lock().unwrap().push(submission);
        ready(Ok(job()))
    }

    fn job(&self, _: String, _: String) -> BackendFuture<Job> {
        ready(Ok(job()))
    }

    fn results(&self, _: String, id: String) -> BackendFuture<mpsc::Receiver<Results>> {
        let (sender, receiver) = mpsc::channel(4);
        tokio::spawn(async move {
            let _ = sender.send(Results::Lines("{\"id\":\"a\"}\n".into())).await;
            let last = match id.as_str() {
                "broken" => {
                    Results::Failed(Failure::may_have_run(Kind::Unavailable, "store is down"))
                }
                "dropped" => return,
                _ => Results::End,
            };
            let _ = sender.send(last).await;
        });
        ready(Ok(receiver))
    }

    fn cancel(&self, _: String, _: String) -> BackendFuture<Job> {
        ready(Ok(Job { state: JobState::Cancelled, ..job() }))
    }

    fn configuration(&self) -> BackendFuture<Revision> {
        let document = json!({"deployments": {
            "wording-llm": {"kind": "model"}, "print-relay": {"kind": "service"}
        }});
        ready(Ok(Revision { revision: 7, digest: "d".into(), document }))
    }

    fn apply(&self, change: ConfigurationChange) -> BackendFuture<Revision> {
        self.recorded.changes.lock().unwrap().push(change);
        ready(Ok(Revision { revision: 8, digest: "e".into(), document: json!({}) }))
    }

    fn history(&self, _: usize) -> BackendFuture<Vec<HistoryEntry>> {
        ready(Ok(Vec::new()))
    }

    fn upstreams(&self) -> BackendFuture<Vec<Upstream>> {
        ready(Ok(Vec::new()))
    }

    fn ready(&self) -> bool {
        !self.recorded.not_ready.load(Ordering::SeqCst)
    }

    fn metrics(&self) -> String {
        "requests_total 1\n".into()
    }
}

/// A server that runs with a [`ScriptedBackend`].
pub struct TestServer {
    pub address: SocketAddr,
    pub recorded: Arc<Recorded>,
    /// Starts the graceful shutdown.
    pub stop: Option<oneshot::Sender<()>>,
    /// Result of [`Server::serve`].
    pub served: JoinHandle<bool>,
    /// Makes the backend send the delayed events.
    pub release: Option<oneshot::Sender<()>>,
}

pub fn token(text: &str) -> Event {
    Event::Token(text.to_owned())
}

pub fn end() -> Event {
    Event::End { finish_reason: "stop".into() }
}

/// Options with small limits, so that tests exceed them with little data.
pub fn options() -> Options {
    Options {
        max_body_bytes: 2_000,
        max_batch_body_bytes: 4_000,
        batch_memory_bytes: 6_000,
        max_header_bytes: 2_000,
        ..Options::default()
    }
}

impl TestServer {
    pub async fn start(events: Vec<Event>) -> Self {
        Self::start_with(events, Vec::new()).await
    }

    /// Starts a server whose first completion sends `delayed` after the test has released them.
    pub async fn start_with(events: Vec<Event>, delayed: Vec<Event>) -> Self {
        Self::start_on("127.0.0.1:0", options(), events, delayed).await
    }

    /// Starts a server with these options on this address.
    pub async fn start_on(
        address: &str,
        options: Options,
        events: Vec<Event>,
        delayed: Vec<Event>,
    ) -> Self {
        let recorded = Arc::new(Recorded::default());
        let (release, released) = oneshot::channel();
        let delayed = (!delayed.is_empty()).then_some((released, delayed));
        let backend = ScriptedBackend {
            recorded: Arc::clone(&recorded),
            events,
            delayed: Mutex::new(delayed),
        };
        let server = Server::new(Arc::new(backend), options);
        let listener = TcpListener::bind(address).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = oneshot::channel::<()>();
        let served = tokio::spawn(async move {
            server
                .serve(listener, async move {
                    let _ = stopped.await;
                })
                .await
        });
        Self { address, recorded, stop: Some(stop), served, release: Some(release) }
    }

    /// Sends a raw request on a new connection and reads until the server closes it.
    pub async fn send(&self, request: &[u8]) -> Response {
        let mut socket = TcpStream::connect(self.address).await.unwrap();
        // The server may refuse the request and close the connection before it has read everything.
        let _ = socket.write_all(request).await;
        Response::read(&mut socket).await
    }

    pub async fn post(&self, path: &str, headers: &str, body: &[u8]) -> Response {
        self.send(&post(path, headers, body)).await
    }

    pub async fn get(&self, path: &str) -> Response {
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer secret\r\n\r\n"
        );
        self.send(request.as_bytes()).await
    }
}

/// Builds a request with a valid token and `connection: close`.
pub fn post(path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer secret\r\n\
         {headers}content-length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Response with lower-case head and decoded body.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Response {
    pub async fn read(socket: &mut TcpStream) -> Self {
        let mut bytes = Vec::new();
        let _ = timeout(HANG_TIMEOUT, socket.read_to_end(&mut bytes)).await.unwrap();
        Self::parse(&bytes)
    }

    pub fn parse(bytes: &[u8]) -> Self {
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        let end = end.unwrap_or_else(|| {
            panic!("incomplete response head: {}", String::from_utf8_lossy(bytes))
        });
        let head = String::from_utf8(bytes[..end].to_vec()).unwrap().to_lowercase();
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let body = bytes[end + 4..].to_vec();
        let body =
            if head.contains("transfer-encoding: chunked") { decode_chunked(&body) } else { body };
        Self { status, head, body }
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    /// Returns the kind of the failure in the body.
    pub fn kind(&self) -> String {
        self.json()["error"]["kind"].as_str().unwrap().to_owned()
    }
}

/// Decodes the chunked transfer encoding.
fn decode_chunked(mut body: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::new();
    while let Some(end) = body.windows(2).position(|window| window == b"\r\n") {
        let size = std::str::from_utf8(&body[..end]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        decoded.extend_from_slice(&body[end + 2..end + 2 + size]);
        body = &body[end + 4 + size..];
    }
    decoded
}
