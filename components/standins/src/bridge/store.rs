//! In-memory stand-in for the metadata store: versioned rows, a change feed with long polling, and
//! objects.

use std::{
    collections::{BTreeMap, HashMap},
    convert::Infallible,
    future::pending,
    io,
    net::{self, IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use displaydoc::Display;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::timeout,
};

use crate::bridge::Links;

/// Identifies a row by table, part and key.
type Name = (String, String, String);

/// Faults that the store injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Refuses every call with 503, without any effect.
    pub refuse: bool,
    /// Leaves every call without a response and without any effect.
    pub silent: bool,
    /// Leaves the calls that read this table without a response.
    pub silent_table: Option<&'static str>,
    /// Time before each call is handled.
    pub delay: Duration,
    /// Answers every call with bytes that are no answer, until the caller closes the connection.
    pub endless: bool,
    /// Number of writes that take effect but get no response.
    pub lost_replies: u32,
    /// Number of transactions that get no response and take effect only after a delay.
    pub late_transactions: u32,
    /// Answers every transaction with 500, without any effect.
    pub failing_transactions: bool,
    /// Refuses transactions with a value that contains this text, as if it were not allowed.
    pub refused_text: Option<&'static str>,
}

/// Bytes that an endless answer sends at once.
const ENDLESS_CHUNK_BYTES: usize = 16 << 10;
/// Limit on the values in the answer to one read of rows.
const MAX_READ_BYTES: usize = 1 << 20;
/// Limits on a transaction: entries, bytes of the call, and bytes of a value before base64.
const MAX_ENTRIES: usize = 100;
const MAX_TRANSACTION_BYTES: usize = 1_000_000;
const MAX_ROW_BYTES: usize = 65_536;
/// Limit on the bytes of each part of a key.
const MAX_KEY_BYTES: usize = 200;
/// Delay after which a late transaction takes effect.
const LATE_TRANSACTION_DELAY: Duration = Duration::from_millis(1_500);

/// response dropped by an injected fault
#[derive(Clone, Copy, Debug, Display)]
struct ReplyLost;

impl std::error::Error for ReplyLost {}

#[derive(Clone)]
struct Row {
    value: String,
    version: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Name, Row>,
    /// Changes in order of their version; the value is `None` for a deleted row.
    history: Vec<(u64, Name, Option<String>)>,
    /// Version up to which the history has been discarded.
    discarded_version: u64,
    version: u64,
    objects: HashMap<String, Bytes>,
    faults: Faults,
    calls: u64,
    /// Transactions that were refused for their content.
    rejected: u64,
}

pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    changed: Notify,
    start: Instant,
}

impl Store {
    /// Starts an empty store that listens on a free port of `host`.
    pub async fn start(host: IpAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((host, 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Notify::new(),
            start: Instant::now(),
        });
        tokio::spawn(accept(listener, shared.clone(), None));
        Ok(Self { address, shared })
    }

    /// Returns a further address at which the store answers, with the proxies of one relay in place of
    /// the runners.
    pub fn serve_links(&self, links: Arc<Links>) -> io::Result<SocketAddr> {
        let listener = net::TcpListener::bind((self.address.ip(), 0))?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        tokio::spawn(accept(listener, self.shared.clone(), Some(links)));
        Ok(address)
    }

    /// Returns the number of transactions that were refused for their content.
    pub fn rejected(&self) -> u64 {
        self.shared.state().rejected
    }

    /// Writes a row with a JSON value, as operators and runners do.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    /// Writes a row whose value need not be JSON.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        self.put_row(table, "", key, value);
    }

    /// Writes a row of a part of a table. The value need not be JSON.
    pub fn put_row(&self, table: &str, part: &str, key: &str, value: &[u8]) {
        let name = (table.to_owned(), part.to_owned(), key.to_owned());
        self.shared.write(vec![(name, Some(encode(value)))]);
    }

    /// Writes a row whose value need not be base64.
    pub fn put_encoded(&self, table: &str, key: &str, value: &str) {
        let name = (table.to_owned(), String::new(), key.to_owned());
        self.shared.write(vec![(name, Some(value.to_owned()))]);
    }

    /// Deletes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.remove_row(table, "", key);
    }

    /// Deletes a row of a part of a table.
    pub fn remove_row(&self, table: &str, part: &str, key: &str) {
        let name = (table.to_owned(), part.to_owned(), key.to_owned());
        self.shared.write(vec![(name, None)]);
    }

    /// Returns the keys of all rows of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.shared.state();
        let names = state.rows.keys().filter(|(found, ..)| found == table);
        names.map(|(.., key)| key.clone()).collect()
    }

    /// Returns the names of the rows of a table, as part and key.
    pub fn names(&self, table: &str) -> Vec<(String, String)> {
        let state = self.shared.state();
        let names = state.rows.keys().filter(|(found, ..)| found == table);
        names.map(|(_, part, key)| (part.clone(), key.clone())).collect()
    }

    /// Returns the value of a row, or `None` if there is no such row or its value is not JSON.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<Value> {
        let name = (table.to_owned(), part.to_owned(), key.to_owned());
        let state = self.shared.state();
        let bytes = STANDARD.decode(&state.rows.get(&name)?.value).ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    /// Writes an object.
    pub fn put_object(&self, name: &str, content: &[u8]) {
        self.shared.state().objects.insert(name.to_owned(), Bytes::copy_from_slice(content));
    }

    /// Removes an object.
    pub fn remove_object(&self, name: &str) {
        self.shared.state().objects.remove(name);
    }

    /// Returns the names of all objects.
    pub fn objects(&self) -> Vec<String> {
        self.shared.state().objects.keys().cloned().collect()
    }

    /// Replaces the injected faults and wakes all waiting feed requests.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.state().faults = faults;
        self.shared.changed.notify_waiters();
    }

    /// Returns the current faults; the counters show how many faults are still to come.
    pub fn faults(&self) -> Faults {
        self.shared.state().faults
    }

    /// Discards all recorded changes. A feed request whose `After` version is older than the current
    /// version then gets 410.
    pub fn discard_history(&self) {
        let mut state = self.shared.state();
        state.discarded_version = state.version;
        state.history.clear();
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Returns the number of calls received so far, including those that were refused.
    pub fn calls(&self) -> u64 {
        self.shared.state().calls
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, rows: Vec<(Name, Option<String>)>) -> u64 {
        let mut state = self.state();
        let version = state.write(rows);
        drop(state);
        self.changed.notify_waiters();
        version
    }

    fn now_ms(&self) -> u64 {
        // An arbitrary origin: callers must not assume that the store's clock agrees with theirs.
        self.start.elapsed().as_millis() as u64 + 50_000
    }
}

impl State {
    fn write(&mut self, rows: Vec<(Name, Option<String>)>) -> u64 {
        self.version += 1;
        for (name, value) in rows {
            match &value {
                Some(value) => {
                    let row = Row { value: value.clone(), version: self.version };
                    self.rows.insert(name.clone(), row);
                }
                None => {
                    self.rows.remove(&name);
                }
            }
            self.history.push((self.version, name, value));
        }
        self.version
    }

    /// Whether a transaction exceeds the limits, or has the text that is refused.
    fn is_rejected(&self, body: &Value, bytes: usize) -> bool {
        let entries = ["ExpectedRev", "Put", "Remove"].map(|field| body[field].as_array());
        let mut entries = entries.iter().flatten().copied().flatten();
        let count = entries.clone().count();
        let is_bad = |entry: &Value| {
            let value = entry["Value"].as_str().and_then(|value| STANDARD.decode(value).ok());
            let value = value.unwrap_or_default();
            let (table, part, key) = row_name(entry);
            let is_refused = self.faults.refused_text.is_some_and(|text| {
                value.windows(text.len()).any(|window| window == text.as_bytes())
            });
            is_refused
                || value.len() > MAX_ROW_BYTES
                || [table, part, key].iter().any(|name| name.len() > MAX_KEY_BYTES)
        };
        count > MAX_ENTRIES || bytes > MAX_TRANSACTION_BYTES || entries.any(is_bad)
    }

    /// Applies a transaction and returns its version.
    ///
    /// # Errors
    ///
    /// If any condition does not hold, nothing is applied and the current rows that the conditions
    /// name are returned.
    fn commit(&mut self, body: &Value) -> Result<u64, Vec<Value>> {
        let entries = |field: &str| body[field].as_array().cloned().unwrap_or_default();
        let expected = entries("ExpectedRev");
        let holds = expected.iter().all(|entry| {
            let version = self.rows.get(&row_name(entry)).map_or(0, |row| row.version);
            entry["Ver"].as_u64() == Some(version)
        });
        if !holds {
            let rows = expected.iter().map(row_name).filter_map(|name| {
                let row = self.rows.get(&name)?;
                Some(row_json(&name, Some(&row.value), row.version))
            });
            return Err(rows.collect());
        }
        let put = entries("Put").into_iter().map(|entry| {
            (row_name(&entry), Some(entry["Value"].as_str().unwrap_or_default().to_owned()))
        });
        let removed = entries("Remove").into_iter().map(|entry| (row_name(&entry), None));
        Ok(self.write(put.chain(removed).collect()))
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, links: Option<Arc<Links>>) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else { continue };
        let (shared, links) = (shared.clone(), links.clone());
        tokio::spawn(async move {
            if shared.state().faults.endless {
                // Ends with an error when the caller closes the connection.
                let _ = write_endless(&mut stream).await;
                return;
            }
            let service = service_fn(move |request| handle(shared.clone(), links.clone(), request));
            // A dropped response ends the connection with an error, which is intended.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn write_endless(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n").await?;
    loop {
        stream.write_all(&[b' '; ENDLESS_CHUNK_BYTES]).await?;
    }
}

async fn handle(
    shared: Arc<Shared>,
    links: Option<Arc<Links>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, ReplyLost> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| ReplyLost)?.to_bytes();
    let faults = {
        let mut state = shared.state();
        state.calls += 1;
        state.faults
    };
    if !faults.delay.is_zero() {
        tokio::time::sleep(faults.delay).await;
    }
    if faults.endless {
        // The next call comes on a new connection.
        return Err(ReplyLost);
    }
    if faults.silent {
        return pending::<Result<_, Infallible>>().await.map_err(|_| ReplyLost);
    }
    let is_refused = || links.as_ref().is_some_and(|links| links.is_refused());
    if faults.refuse || is_refused() {
        return Ok(response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()));
    }
    if head.method == Method::POST && faults.failing_transactions {
        return Ok(response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()));
    }
    let is_write = head.method != Method::GET;
    if head.method == Method::POST && take_one(&mut shared.state().faults.late_transactions) {
        tokio::spawn(async move {
            tokio::time::sleep(LATE_TRANSACTION_DELAY).await;
            write(&shared, &head.method, head.uri.path(), &body);
        });
        return Err(ReplyLost);
    }
    if is_write {
        let answer = write(&shared, &head.method, head.uri.path(), &body);
        if take_one(&mut shared.state().faults.lost_replies) {
            return Err(ReplyLost);
        }
        return Ok(answer);
    }
    let answer = read(&shared, links.as_deref(), &head.uri).await;
    // The fault may have begun while the call waited for a change.
    let silent_table = shared.state().faults.silent_table;
    if silent_table.is_some_and(|table| is_about(&head.uri, table)) {
        return pending::<Result<_, Infallible>>().await.map_err(|_| ReplyLost);
    }
    if is_refused() {
        return Ok(response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()));
    }
    Ok(answer)
}

/// Takes one of a number of faults, if any is left.
const fn take_one(count: &mut u32) -> bool {
    let is_left = *count > 0;
    *count = count.saturating_sub(1);
    is_left
}

fn write(shared: &Shared, method: &Method, path: &str, body: &Bytes) -> Response<Full<Bytes>> {
    if let Some(object) = path.strip_prefix("/-/blob-put/")
        && method == Method::PUT
    {
        let mut state = shared.state();
        let exists = state.objects.contains_key(object);
        if !exists {
            state.objects.insert(object.to_owned(), body.clone());
        }
        let status = if exists { StatusCode::PRECONDITION_FAILED } else { StatusCode::OK };
        return response(status, Bytes::new());
    }
    if let Some(object) = path.strip_prefix("/-/blob-drop/") {
        shared.state().objects.remove(object);
        return response(StatusCode::OK, Bytes::new());
    }
    let bytes = body.len();
    let Ok(body) = serde_json::from_slice::<Value>(body) else {
        return response(StatusCode::BAD_REQUEST, Bytes::new());
    };
    {
        let mut state = shared.state();
        if state.is_rejected(&body, bytes) {
            state.rejected += 1;
            return response(StatusCode::PAYLOAD_TOO_LARGE, Bytes::new());
        }
    }
    let committed = shared.state().commit(&body);
    shared.changed.notify_waiters();
    match committed {
        Ok(version) => json_response(&json!({"Ver": version, "NowMs": shared.now_ms()})),
        Err(rows) => {
            let mut answer = json_response(&json!({"Rows": rows}));
            *answer.status_mut() = StatusCode::PRECONDITION_FAILED;
            answer
        }
    }
}

fn is_about(uri: &hyper::Uri, table: &str) -> bool {
    query(uri.query().unwrap_or_default()).get("Table").is_some_and(|found| found == table)
}

async fn read(shared: &Shared, links: Option<&Links>, uri: &hyper::Uri) -> Response<Full<Bytes>> {
    let query = query(uri.query().unwrap_or_default());
    let text = |name: &str| query.get(name).cloned().unwrap_or_default();
    let number = |name: &str| text(name).parse::<u64>().ok();
    match uri.path() {
        "/-/rows-get" => rows(shared, links, &text("Table"), &text("part"), &query),
        "/-/rows-parts" => {
            let state = shared.state();
            let table = text("Table");
            let mut parts: Vec<&str> = state
                .rows
                .keys()
                .filter(|(found, ..)| *found == table)
                .map(|(_, part, _)| part.as_str())
                .collect();
            parts.dedup();
            json_response(&json!({"parts": parts, "HasMore": false}))
        }
        "/-/rows-feed" => {
            let wait = Duration::from_millis(number("WaitMs").unwrap_or(0));
            feed(shared, links, &text("Table"), number("After").unwrap_or(0), wait).await
        }
        path => match path.strip_prefix("/-/blob-get/") {
            Some(object) => match shared.state().objects.get(object) {
                Some(bytes) => response(StatusCode::OK, bytes.clone()),
                None => response(StatusCode::NOT_FOUND, Bytes::new()),
            },
            None => response(StatusCode::NOT_FOUND, Bytes::new()),
        },
    }
}

fn rows(
    shared: &Shared,
    links: Option<&Links>,
    table: &str,
    part: &str,
    query: &HashMap<String, String>,
) -> Response<Full<Bytes>> {
    let state = shared.state();
    let limit = query.get("Limit").and_then(|limit| limit.parse().ok()).unwrap_or(500_usize);
    let from = query.get("From").map_or("", String::as_str);
    let to = query.get("To");
    let mut found = state.rows.iter().filter(|((found, found_part, key), _)| {
        found == table && found_part == part && key.as_str() >= from && to.is_none_or(|to| key < to)
    });
    let mut rows = Vec::new();
    let mut bytes = 0;
    let mut has_more = false;
    for (name, row) in found.by_ref() {
        bytes += row.value.len();
        has_more = rows.len() == limit || (bytes > MAX_READ_BYTES && !rows.is_empty());
        if has_more {
            break;
        }
        rows.push(row_json(name, Some(&seen_value(links, name, &row.value)), row.version));
    }
    json_response(&json!({
        "Rows": rows, "HasMore": has_more, "Ver": state.version, "NowMs": shared.now_ms()
    }))
}

async fn feed(
    shared: &Shared,
    links: Option<&Links>,
    table: &str,
    after: u64,
    wait: Duration,
) -> Response<Full<Bytes>> {
    let deadline = Instant::now() + wait;
    loop {
        let changed = shared.changed.notified();
        {
            let state = shared.state();
            if after < state.discarded_version {
                return response(StatusCode::GONE, Bytes::new());
            }
            let seen = state.history.partition_point(|(version, ..)| *version <= after);
            let changes = state.history[seen..].iter().filter(|(_, name, _)| name.0 == table);
            let rows: Vec<Value> = changes
                .map(|(version, name, value)| {
                    let value = value.as_deref().map(|value| seen_value(links, name, value));
                    row_json(name, value.as_deref(), *version)
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let answer = json!({"Rows": rows, "Ver": state.version, "NowMs": shared.now_ms()});
                return json_response(&answer);
            }
        }
        let left = deadline.saturating_duration_since(Instant::now());
        // After a change or a timeout, the loop checks the history again.
        let _ = timeout(left, changed).await;
    }
}

fn row_name(entry: &Value) -> Name {
    let text = |field: &str| entry[field].as_str().unwrap_or_default().to_owned();
    (text("Table"), text("part"), text("Key"))
}

/// Returns the value of a row as a relay with these links sees it.
fn seen_value(links: Option<&Links>, (table, ..): &Name, value: &str) -> String {
    let with_proxy = |links: &Links| {
        let mut entry: Value = serde_json::from_slice(&STANDARD.decode(value).ok()?).ok()?;
        let runner = entry["Address"].as_str()?.parse().ok()?;
        entry["Address"] = json!(links.proxy(runner).ok()?);
        Some(encode(entry.to_string().as_bytes()))
    };
    let links = links.filter(|_| table == "servers");
    // An entry that names no runner is passed on as it is.
    links.and_then(with_proxy).unwrap_or_else(|| value.to_owned())
}

fn row_json((table, part, key): &Name, value: Option<&str>, version: u64) -> Value {
    match value {
        Some(value) => {
            json!({"Table": table, "part": part, "Key": key, "Value": value, "Ver": version})
        }
        None => {
            json!({"Table": table, "part": part, "Key": key, "Ver": version, "Tombstone": true})
        }
    }
}

fn query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), decode_percent(value))).collect()
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        match (first, tail) {
            (b'%', [high, low, after @ ..]) => {
                let digits = [*high, *low];
                let digits = std::str::from_utf8(&digits).unwrap_or_default();
                bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
                rest = after;
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

fn json_response(value: &Value) -> Response<Full<Bytes>> {
    response(StatusCode::OK, value.to_string().into())
}

fn response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
