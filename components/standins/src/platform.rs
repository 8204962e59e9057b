//! Stand-in for the platform: an in-memory table service, object store and list of vms.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use cyclamengrade_platform::{
    http::{List, Read, Rows, Scan},
    memory,
    table::{Commit, Transaction},
};
use http_body_util::BodyExt;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{ETAG, HeaderValue, IF_NONE_MATCH, RETRY_AFTER},
};
use serde::{Deserialize, Serialize};

use crate::{
    faults::Switches,
    server::{self, Answer, Body, Handler},
};

/// Parameters of the platform stand-in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Time until a change of the list of vms becomes visible.
    pub lag: Duration,
    /// Writes per second that the table service and the object store each accept; zero for no
    /// limit.
    pub writes_per_s: f64,
    /// Reads per second that the table service and the object store each accept; zero for no limit.
    pub reads_per_s: f64,
}

/// Counters, the body of the response to `GET /_stats`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Calls of `POST /v1/table/read`.
    pub table_reads: u64,
    /// Calls of `POST /v1/table/scan`.
    pub table_scans: u64,
    /// Calls of `POST /v1/table/commit`.
    pub table_commits: u64,
    /// Commits that took no effect because a condition did not hold.
    pub table_conflicts: u64,
    /// Objects requested with `GET`.
    pub object_gets: u64,
    /// Objects sent with `PUT`, also those that existed already.
    pub object_puts: u64,
    /// Objects deleted with `DELETE`, also those that did not exist.
    pub object_deletes: u64,
    /// Calls of `GET /v1/vms`.
    pub vm_lists: u64,
    /// Calls refused with 429 because of the rate limit.
    pub limited: u64,
    /// Total size of the received request bodies in bytes.
    pub bytes_in: u64,
}

#[derive(Debug)]
pub struct Platform {
    options: Options,
    switches: Arc<Switches>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    rows: memory::Rows,
    objects: BTreeMap<String, Bytes>,
    /// Versions of the list of vms with the time of the change and a number that serves as their
    /// entity tag; the first one is visible.
    vms: VecDeque<(Instant, u64, List)>,
    stats: Stats,
    /// Indexed by [`Operation`].
    buckets: [Bucket; 4],
}

/// Token bucket that holds the tokens of at most one second.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Tokens per second; zero for no limit.
    rate: f64,
    tokens: f64,
    refilled: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self { rate, tokens: rate, refilled: Instant::now() }
    }

    /// Takes one token. Returns whether there was one.
    fn try_take(&mut self) -> bool {
        if self.rate <= 0.0 {
            return true;
        }
        let now = Instant::now();
        let added = (now - self.refilled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + added).min(self.rate.max(1.0));
        self.refilled = now;
        let allowed = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(allowed));
        allowed
    }
}

/// Operation that has a rate limit of its own.
#[derive(Clone, Copy)]
enum Operation {
    TableRead,
    TableWrite,
    ObjectRead,
    ObjectWrite,
}

impl Platform {
    /// Creates a platform without rows, objects and vms.
    pub fn new(switches: Arc<Switches>, options: Options) -> Self {
        let reads = Bucket::new(options.reads_per_s);
        let writes = Bucket::new(options.writes_per_s);
        let state = State {
            rows: memory::Rows::default(),
            objects: BTreeMap::new(),
            vms: VecDeque::from([(Instant::now(), 0, List::default())]),
            stats: Stats::default(),
            buckets: [reads, writes, reads, writes],
        };
        Self { options, switches, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the response that refuses a call over its rate limit, or `None` if it may proceed.
    fn check_rate(&self, operation: Operation) -> Option<Response<Body>> {
        let mut state = self.lock();
        if state.buckets[operation as usize].try_take() {
            return None;
        }
        state.stats.limited += 1;
        let mut response = server::error(StatusCode::TOO_MANY_REQUESTS, "rate limit exceeded");
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
        Some(response)
    }

    async fn table(&self, path: &str, request: Request<Incoming>) -> Answer {
        if !self.switches.admit("table").await {
            return Ok(server::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "unavailable because of an injected fault",
            ));
        }
        let operation = if path == "commit" { Operation::TableWrite } else { Operation::TableRead };
        if let Some(refusal) = self.check_rate(operation) {
            return Ok(refusal);
        }
        let Ok(body) = request.into_body().collect().await else {
            return Ok(server::error(StatusCode::BAD_REQUEST, "request body truncated"));
        };
        let body = body.to_bytes();
        let mut state = self.lock();
        state.stats.bytes_in += body.len() as u64;
        let answer = match path {
            "read" => serde_json::from_slice::<Read>(&body).map(|read| {
                state.stats.table_reads += 1;
                let rows = read.keys.iter().map(|key| state.rows.read(key).cloned()).collect();
                server::json(StatusCode::OK, &Rows { rows })
            }),
            "scan" => serde_json::from_slice::<Scan>(&body).map(|scan| {
                state.stats.table_scans += 1;
                let rows = state.rows.scan(&scan.prefix, &scan.after, scan.limit);
                server::json(StatusCode::OK, &Rows { rows })
            }),
            "commit" => serde_json::from_slice::<Transaction>(&body).map(|transaction| {
                state.stats.table_commits += 1;
                let commit = state.rows.commit(transaction);
                state.stats.table_conflicts += u64::from(matches!(commit, Commit::Conflict { .. }));
                server::json(StatusCode::OK, &commit)
            }),
            _ => return Ok(server::error(StatusCode::NOT_FOUND, "no such table call")),
        };
        drop(state);
        if path == "commit" && answer.is_ok() {
            self.switches.check_reply("table")?;
        }
        Ok(answer
            .unwrap_or_else(|error| server::error(StatusCode::BAD_REQUEST, &error.to_string())))
    }

    async fn objects(&self, key: String, request: Request<Incoming>) -> Answer {
        if !self.switches.admit("objects").await {
            return Ok(server::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "unavailable because of an injected fault",
            ));
        }
        let read = request.method() == Method::GET;
        if let Some(refusal) =
            self.check_rate(if read { Operation::ObjectRead } else { Operation::ObjectWrite })
        {
            return Ok(refusal);
        }
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return Ok(server::error(StatusCode::BAD_REQUEST, "request body truncated"));
        };
        let body = body.to_bytes();
        let answer = {
            let mut state = self.lock();
            state.stats.bytes_in += body.len() as u64;
            match head.method {
                Method::GET => {
                    state.stats.object_gets += 1;
                    match state.objects.get(&key) {
                        Some(content) => server::bytes(StatusCode::OK, content.clone()),
                        None => server::error(StatusCode::NOT_FOUND, "no such object"),
                    }
                }
                Method::PUT => {
                    state.stats.object_puts += 1;
                    let conditional = head.headers.get(IF_NONE_MATCH).is_some();
                    match conditional && state.objects.contains_key(&key) {
                        true => server::error(StatusCode::PRECONDITION_FAILED, "exists"),
                        false => {
                            state.objects.insert(key, body);
                            server::bytes(StatusCode::CREATED, Bytes::new())
                        }
                    }
                }
                Method::DELETE => {
                    state.stats.object_deletes += 1;
                    state.objects.remove(&key);
                    server::bytes(StatusCode::NO_CONTENT, Bytes::new())
                }
                _ => server::error(StatusCode::METHOD_NOT_ALLOWED, "use GET, PUT or DELETE"),
            }
        };
        if !read {
            self.switches.check_reply("objects")?;
        }
        Ok(answer)
    }

    async fn vms(&self, request: Request<Incoming>) -> Answer {
        if !self.switches.admit("vms").await {
            return Ok(server::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "unavailable because of an injected fault",
            ));
        }
        let mut state = self.lock();
        state.stats.vm_lists += 1;
        while state.vms.get(1).is_some_and(|(changed, ..)| changed.elapsed() >= self.options.lag) {
            state.vms.pop_front();
        }
        let Some((_, number, list)) = state.vms.front() else {
            return Ok(server::json(StatusCode::OK, &List::default()));
        };
        let tag = format!("\"{number}\"");
        let known = request.headers().get(IF_NONE_MATCH);
        if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
            return Ok(server::bytes(StatusCode::NOT_MODIFIED, Bytes::new()));
        }
        let mut response = server::json(StatusCode::OK, list);
        if let Ok(tag) = HeaderValue::from_str(&tag) {
            response.headers_mut().insert(ETAG, tag);
        }
        Ok(response)
    }

    async fn set_vms(&self, request: Request<Incoming>) -> Response<Body> {
        match server::read_json::<List>(request).await {
            Err(message) => server::error(StatusCode::BAD_REQUEST, &message),
            Ok(list) => {
                let mut state = self.lock();
                let number = state.vms.back().map_or(0, |(_, number, _)| *number) + 1;
                state.vms.push_back((Instant::now(), number, list));
                server::bytes(StatusCode::NO_CONTENT, Bytes::new())
            }
        }
    }
}

impl Handler for Platform {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/_stats" => Ok(server::json(StatusCode::OK, &self.lock().stats)),
            "/_vms" => Ok(self.set_vms(request).await),
            "/_rows" => {
                let prefix = decode_percent(request.uri().query().unwrap_or_default());
                let rows = self.lock().rows.scan(&prefix, "", usize::MAX);
                Ok(server::json(StatusCode::OK, &Rows { rows }))
            }
            "/v1/vms" => self.vms(request).await,
            _ => match (path.strip_prefix("/v1/table/"), path.strip_prefix("/v1/objects/")) {
                (Some(call), _) => self.table(call, request).await,
                (_, Some(key)) => self.objects(decode_percent(key), request).await,
                _ => Ok(server::error(StatusCode::NOT_FOUND, "no such path")),
            },
        }
    }
}

/// Decodes percent-encoding.
fn decode_percent(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        let hex = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match (byte, hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(value)) => {
                decoded.push(value);
                rest = &tail[2..];
            }
            _ => {
                decoded.push(byte);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
