//! A daemon that answers from a script, and a raw HTTP client.
#![allow(dead_code, clippy::unwrap_used, clippy::panic)]

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use cyclamengrade_caller::{
    Failure, Kind, Options, Server,
    backend::{
        Apply, Backend, Boxed, Completion, Event, HistoryEntry, Job, JobState, Revision,
        ServiceAnswer, ServiceCall, Submission, Upstream,
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

/// A limit that only a request that hangs reaches.
pub const LONG: Duration = Duration::from_secs(30);

/// What the daemon was asked for.
#[derive(Default)]
pub struct Seen {
    pub completions: Mutex<Vec<Completion>>,
    pub calls: Mutex<Vec<ServiceCall>>,
    pub submissions: Mutex<Vec<Submission>>,
    pub changes: Mutex<Vec<Apply>>,
    /// Completions whose receiver was dropped before the end.
    pub dropped: AtomicUsize,
    pub not_ready: AtomicBool,
}

/// A daemon whose completions send the given events; without an end, they stay open.
pub struct Daemon {
    pub seen: Arc<Seen>,
    pub events: Vec<Event>,
    /// Events that follow once the test has sent a message.
    pub later: Mutex<Option<(oneshot::Receiver<()>, Vec<Event>)>>,
}

fn done<T: Send + 'static>(result: Result<T, Failure>) -> Boxed<T> {
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

impl Backend for Daemon {
    fn client(&self, token: &str) -> Option<String> {
        (token == "secret").then(|| "himal".to_owned())
    }

    fn complete(&self, call: Completion) -> Boxed<mpsc::Receiver<Event>> {
        let unknown = call.deployment != "wording-llm";
        self.seen.completions.lock().unwrap().push(call);
        if unknown {
            return done(Err(Failure::not_run(Kind::NotFound, "no such deployment")
                .with_retry_after(Duration::from_millis(1_500))));
        }
        let (sender, receiver) = mpsc::channel(64);
        let (events, seen) = (self.events.clone(), Arc::clone(&self.seen));
        let later = self.later.lock().unwrap().take();
        tokio::spawn(async move {
            let open = !matches!(events.last(), Some(Event::End { .. } | Event::Failed(_)));
            for event in events {
                let _ = sender.send(event).await;
            }
            if let Some((go, events)) = later {
                let _ = go.await;
                for event in events {
                    let _ = sender.send(event).await;
                }
            } else if open {
                sender.closed().await;
                seen.dropped.fetch_add(1, Ordering::SeqCst);
            }
        });
        done(Ok(receiver))
    }

    fn call_service(&self, call: ServiceCall) -> Boxed<ServiceAnswer> {
        self.seen.calls.lock().unwrap().push(call);
        done(Ok(ServiceAnswer {
            status: 418,
            content_type: Some("text/plain".into()),
            body: "teapot".into(),
        }))
    }

    fn submit(&self, submission: Submission) -> Boxed<Job> {
        self.seen.submissions.lock().unwrap().push(submission);
        done(Ok(job()))
    }

    fn job(&self, _: String, _: String) -> Boxed<Job> {
        done(Ok(job()))
    }

    fn results(&self, _: String, id: String) -> Boxed<mpsc::Receiver<Result<Bytes, Failure>>> {
        let (sender, receiver) = mpsc::channel(4);
        tokio::spawn(async move {
            let _ = sender.send(Ok("{\"id\":\"a\"}\n".into())).await;
            if id == "broken" {
                let _ = sender.send(Err(Failure::ran(Kind::Unavailable, "store is down"))).await;
            }
        });
        done(Ok(receiver))
    }

    fn cancel(&self, _: String, _: String) -> Boxed<Job> {
        done(Ok(Job { state: JobState::Cancelled, ..job() }))
    }

    fn configuration(&self) -> Boxed<Revision> {
        let document = json!({"deployments": {
            "wording-llm": {"kind": "model"}, "print-relay": {"kind": "service"}
        }});
        done(Ok(Revision { revision: 7, digest: "d".into(), document }))
    }

    fn apply(&self, change: Apply) -> Boxed<Revision> {
        self.seen.changes.lock().unwrap().push(change);
        done(Ok(Revision { revision: 8, digest: "e".into(), document: json!({}) }))
    }

    fn history(&self, _: usize) -> Boxed<Vec<HistoryEntry>> {
        done(Ok(Vec::new()))
    }

    fn upstreams(&self) -> Boxed<Vec<Upstream>> {
        done(Ok(Vec::new()))
    }

    fn ready(&self) -> bool {
        !self.seen.not_ready.load(Ordering::SeqCst)
    }

    fn metrics(&self) -> String {
        "requests_total 1\n".into()
    }
}

/// A running server.
pub struct Running {
    pub address: SocketAddr,
    pub seen: Arc<Seen>,
    pub stop: Option<oneshot::Sender<()>>,
    pub served: JoinHandle<bool>,
    /// Releases the later events.
    pub go: Option<oneshot::Sender<()>>,
}

pub fn token(text: &str) -> Event {
    Event::Token(text.to_owned())
}

pub fn end() -> Event {
    Event::End { finish_reason: "stop".into() }
}

/// Small limits, so that tests need little data.
pub fn options() -> Options {
    Options {
        body_bytes: 2_000,
        batch_body_bytes: 4_000,
        batch_memory_bytes: 6_000,
        header_bytes: 2_000,
        ..Options::default()
    }
}

impl Running {
    pub async fn start(events: Vec<Event>) -> Self {
        Self::start_with(events, Vec::new()).await
    }

    /// A server whose completions send `later` after the test has released them.
    pub async fn start_with(events: Vec<Event>, later: Vec<Event>) -> Self {
        Self::start_on("127.0.0.1:0", options(), events, later).await
    }

    /// A server with other options at this address.
    pub async fn start_on(
        address: &str,
        options: Options,
        events: Vec<Event>,
        later: Vec<Event>,
    ) -> Self {
        let seen = Arc::new(Seen::default());
        let (go, wait) = oneshot::channel();
        let later = (!later.is_empty()).then_some((wait, later));
        let daemon = Daemon { seen: Arc::clone(&seen), events, later: Mutex::new(later) };
        let server = Server::new(Arc::new(daemon), options);
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
        Self { address, seen, stop: Some(stop), served, go: Some(go) }
    }

    /// Sends a request and returns the whole answer.
    pub async fn send(&self, request: &[u8]) -> Answer {
        let mut socket = TcpStream::connect(self.address).await.unwrap();
        // The server may refuse and close before it has read everything.
        let _ = socket.write_all(request).await;
        Answer::read(&mut socket).await
    }

    pub async fn post(&self, path: &str, headers: &str, body: &[u8]) -> Answer {
        self.send(&post(path, headers, body)).await
    }

    pub async fn get(&self, path: &str) -> Answer {
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer secret\r\n\r\n"
        );
        self.send(request.as_bytes()).await
    }
}

/// A request with a valid token that asks to close the connection.
pub fn post(path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer secret\r\n\
         {headers}content-length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// An answer of the server.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub async fn read(socket: &mut TcpStream) -> Self {
        let mut bytes = Vec::new();
        let _ = timeout(LONG, socket.read_to_end(&mut bytes)).await.unwrap();
        Self::parse(&bytes)
    }

    pub fn parse(bytes: &[u8]) -> Self {
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        let end = end.unwrap_or_else(|| panic!("no answer: {}", String::from_utf8_lossy(bytes)));
        let head = String::from_utf8(bytes[..end].to_vec()).unwrap().to_lowercase();
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let body = bytes[end + 4..].to_vec();
        let body = if head.contains("transfer-encoding: chunked") { dechunk(&body) } else { body };
        Self { status, head, body }
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    pub fn kind(&self) -> String {
        self.json()["error"]["kind"].as_str().unwrap().to_owned()
    }
}

fn dechunk(mut body: &[u8]) -> Vec<u8> {
    let mut whole = Vec::new();
    while let Some(end) = body.windows(2).position(|window| window == b"\r\n") {
        let size = std::str::from_utf8(&body[..end]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        whole.extend_from_slice(&body[end + 2..end + 2 + size]);
        body = &body[end + 4 + size..];
    }
    whole
}
