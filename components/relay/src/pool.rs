//! Pool of HTTP/1 connections to upstreams.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use cyclamengrade_control::relay::response::History;
use cyclamengrade_telemetry::{event, metrics::RELAY_CONNECTIONS_OPENED};
use http_body_util::Full;
use hyper::{
    HeaderMap,
    client::conn::http1::{self, SendRequest},
    header::{CONNECTION, HeaderName},
};
use hyper_util::rt::TokioIo;
use metrics::counter;
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::shared::lock;

/// Idle timeout assumed for an upstream that does not state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time before the end of the idle timeout from which a connection is no longer reused, so that
/// no request is sent while the upstream closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Timeout for opening a connection. A lost SYN is retransmitted only after one second, so trying
/// another upstream is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a connection has to stay open before its upstream counts as reachable. The listener of
/// a process that is being killed may outlive it on a busy vm, so this is no proof that the upstream lives.
const REACHABLE_TIME: Duration = Duration::from_millis(10);
/// Limit on the bytes of a response that are buffered, and so on its head.
const MAX_HEAD_BYTES: usize = 64 << 10;
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A connection to an upstream. Dropping it closes the connection and cancels the request on it.
pub struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) history: History,
    task: JoinHandle<()>,
    permit: Permit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Idle {
    connection: Connection,
    /// End of the time in which the connection may be reused.
    expires: Instant,
}

/// Counts a connection towards the limit of its upstream until dropped.
struct Permit {
    id: String,
    open: Arc<Mutex<HashMap<String, usize>>>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut open = lock(&self.open);
        if let Some(count) = open.get_mut(&self.id) {
            *count -= 1;
            if *count == 0 {
                open.remove(&self.id);
            }
        }
    }
}

/// Connections by id of their upstream.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<String, Vec<Idle>>>,
    /// Number of open connections, idle or in use.
    open: Arc<Mutex<HashMap<String, usize>>>,
}

impl Pool {
    /// Returns an idle connection that can carry a request with this id, or opens a new one. Returns `None`
    /// if `max` connections to the upstream are in use already or if the connection cannot be opened.
    pub async fn acquire(
        &self,
        id: &str,
        address: SocketAddr,
        max: usize,
        request_id: &str,
    ) -> Option<Connection> {
        if let Some(connection) = self.reuse(id, request_id) {
            return Some(connection);
        }
        let permit = match self.acquire_permit(id, max) {
            Some(permit) => permit,
            // An idle connection that cannot carry the request gives way to a new one.
            None if self.close_one(id) => self.acquire_permit(id, max)?,
            None => return None,
        };
        Self::open(permit, address).await
    }

    /// Opens a connection for a single request. Returns `None` if `max` connections to the upstream are
    /// open already or if it cannot be opened.
    pub async fn open_new(&self, id: &str, address: SocketAddr, max: usize) -> Option<Connection> {
        Self::open(self.acquire_permit(id, max)?, address).await
    }

    /// Whether an upstream accepts a connection and keeps it open, which is then kept for reuse. An
    /// upstream that was killed refuses it.
    pub async fn is_reachable(&self, id: &str, address: SocketAddr, max: usize) -> bool {
        // At the limit, the other connections to the upstream are open.
        let Some(permit) = self.acquire_permit(id, max) else { return true };
        let Some(connection) = Self::open(permit, address).await else { return false };
        sleep(REACHABLE_TIME).await;
        if connection.sender.is_closed() {
            return false;
        }
        self.keep(connection, DEFAULT_IDLE_TIMEOUT);
        true
    }

    async fn open(permit: Permit, address: SocketAddr) -> Option<Connection> {
        let start = Instant::now();
        let stream = match connect(address).await {
            Ok(stream) => stream,
            Err(error) => {
                event!(
                    ConnectionFailed,
                    upstream:% = permit.id,
                    cause:% = cause(&error),
                    elapsed_ms = start.elapsed().as_millis() as u64
                );
                return None;
            }
        };
        counter!(RELAY_CONNECTIONS_OPENED).increment(1);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .ok()?;
        let task = tokio::spawn(async move {
            // The request on the connection returns the error.
            let _ = connection.await;
        });
        Some(Connection { sender, history: History::default(), task, permit })
    }

    /// Returns up to `max` ids of upstreams to which a connection is idle.
    pub fn idle_ids(&self, max: usize) -> Vec<String> {
        let now = Instant::now();
        let idle = lock(&self.idle);
        let usable = idle.iter().filter(|(_, list)| {
            list.iter().any(|idle| idle.expires > now && idle.connection.sender.is_ready())
        });
        usable.take(max).map(|(id, _)| id.clone()).collect()
    }

    fn reuse(&self, id: &str, request_id: &str) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = lock(&self.idle);
        let list = idle.get_mut(id)?;
        list.retain(|idle| idle.expires > now && !idle.connection.sender.is_closed());
        let is_usable = |Idle { connection, .. }: &Idle| {
            connection.sender.is_ready() && connection.history.admits(request_id)
        };
        if let Some(index) = list.iter().rposition(is_usable) {
            return Some(list.remove(index).connection);
        }
        if list.is_empty() {
            idle.remove(id);
        }
        None
    }

    /// Closes the oldest idle connection to an upstream. Returns whether there was one.
    fn close_one(&self, id: &str) -> bool {
        let mut idle = lock(&self.idle);
        idle.get_mut(id).filter(|list| !list.is_empty()).map(|list| list.remove(0)).is_some()
    }

    fn acquire_permit(&self, id: &str, max: usize) -> Option<Permit> {
        let mut open = lock(&self.open);
        let count = open.entry(id.to_owned()).or_default();
        if *count >= max {
            return None;
        }
        *count += 1;
        Some(Permit { id: id.to_owned(), open: self.open.clone() })
    }

    /// Keeps a connection for reuse after its response was read to the end. Drops it if the
    /// response headers announce that the upstream closes it, or if it has carried its last request.
    pub fn release(&self, connection: Connection, headers: &HeaderMap) {
        let is_closing = headers
            .get(CONNECTION)
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
        if is_closing || connection.sender.is_closed() || connection.history.is_full() {
            return;
        }
        self.keep(connection, idle_timeout(headers).unwrap_or(DEFAULT_IDLE_TIMEOUT));
    }

    fn keep(&self, connection: Connection, timeout: Duration) {
        let expires = Instant::now() + timeout.saturating_sub(IDLE_MARGIN);
        let id = connection.permit.id.clone();
        lock(&self.idle).entry(id).or_default().push(Idle { connection, expires });
    }

    /// Closes the idle connections to these upstreams.
    pub fn close_idle(&self, ids: &[String]) {
        let mut idle = lock(&self.idle);
        for id in ids {
            idle.remove(id);
        }
    }

    /// Closes the idle connections that may no longer be reused.
    pub fn close_expired(&self) {
        let now = Instant::now();
        lock(&self.idle).retain(|_, list| {
            list.retain(|idle| idle.expires > now && !idle.connection.sender.is_closed());
            !list.is_empty()
        });
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn cause(error: &io::Error) -> String {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => "refused".into(),
        io::ErrorKind::TimedOut => "timeout".into(),
        kind => kind.to_string(),
    }
}

/// Returns the idle timeout that the `Keep-Alive` header states.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok())?;
    Some(Duration::from_secs(seconds))
}
