//! Pool of HTTP/1 connections to upstreams.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use cyclamengrade_control::relay::{broker::Class, response::History, selector::Upstream};
use cyclamengrade_telemetry::metrics::RELAY_CONNECTIONS_OPENED;
use http_body_util::Full;
use hyper::{
    HeaderMap,
    client::conn::http1::{self, SendRequest},
    header::{CONNECTION, HeaderName},
};
use hyper_util::rt::TokioIo;
use metrics::counter;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    task::{AbortHandle, JoinHandle},
    time::sleep,
};

use crate::{
    link::{Transport, Unreachable},
    shared::{Shared, lock},
};

/// Idle timeout assumed for an upstream that does not state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest idle timeout that is used of those that upstreams state.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Time before the end of the idle timeout from which a connection is no longer reused, so that
/// no request is sent while the upstream closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Idle timeout of a connection that another relay carries, with `IDLE_MARGIN`. That relay carries only so
/// many.
const CARRIED_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a connection has to stay open before its upstream counts as reachable. The listener of
/// a process that is being killed may outlive it on a busy vm, so this is no proof that the upstream lives.
const REACHABLE_TIME: Duration = Duration::from_millis(10);
/// Limit on the bytes of a response that are buffered, and so on its head.
const MAX_HEAD_BYTES: usize = 64 << 10;
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// How a connection reaches its upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Path {
    Direct,
    /// Another relay, which is named, carries it.
    Carried(String),
}

/// A connection to an upstream. Dropping it closes the connection and cancels the request on it.
pub struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) history: History,
    pub(crate) path: Path,
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

/// Open connections to one upstream, idle or in use, by their numbers. Those that are direct have a
/// handle that closes them.
type Open = HashMap<u64, Option<AbortHandle>>;

/// Counts a connection towards the limit of its upstream until dropped.
struct Permit {
    id: String,
    number: u64,
    open: Arc<Mutex<HashMap<String, Open>>>,
}

impl Permit {
    fn set_direct(&self, handle: AbortHandle) {
        if let Some(open) = lock(&self.open).get_mut(&self.id) {
            open.insert(self.number, Some(handle));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut all = lock(&self.open);
        if let Some(open) = all.get_mut(&self.id) {
            open.remove(&self.number);
            if open.is_empty() {
                all.remove(&self.id);
            }
        }
    }
}

/// Why there is no connection for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// As many connections to the upstream as allowed are open.
    Limit,
    Unreachable(Unreachable),
}

impl Unavailable {
    /// Whether the upstream is at fault, as far as is known, and not the link of this relay.
    pub const fn is_upstream_fault(self) -> bool {
        match self {
            // The upstream refused nothing.
            Self::Limit => false,
            Self::Unreachable(unreachable) => unreachable.is_upstream_fault,
        }
    }
}

/// Connections by id of their upstream.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<String, Vec<Idle>>>,
    open: Arc<Mutex<HashMap<String, Open>>>,
    /// Number of permits so far.
    permits: AtomicU64,
}

impl Shared {
    /// Returns an idle connection that can carry a request with this id, or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails if `max` connections to the upstream are in use already or if the connection cannot be opened.
    pub async fn acquire_connection(
        self: &Arc<Self>,
        id: &str,
        address: SocketAddr,
        max: usize,
        class: Class,
        request_id: &str,
    ) -> Result<Connection, Unavailable> {
        if let Some(connection) = self.pool.reuse(id, request_id) {
            return Ok(connection);
        }
        let permit = match self.pool.acquire_permit(id, max) {
            Some(permit) => permit,
            // An idle connection that cannot carry the request gives way to a new one.
            None if self.pool.close_one(id) => {
                self.pool.acquire_permit(id, max).ok_or(Unavailable::Limit)?
            }
            None => return Err(Unavailable::Limit),
        };
        self.open_connection(permit, address, class).await
    }

    /// Opens a connection for a single request.
    ///
    /// # Errors
    ///
    /// Fails if `max` connections to the upstream are open already or if it cannot be opened.
    pub async fn open_new_connection(
        self: &Arc<Self>,
        id: &str,
        address: SocketAddr,
        max: usize,
    ) -> Result<Connection, Unavailable> {
        let permit = self.pool.acquire_permit(id, max).ok_or(Unavailable::Limit)?;
        self.open_connection(permit, address, Class::Online).await
    }

    /// Whether an upstream accepts a connection and keeps it open, which is then kept for reuse. An
    /// upstream that was killed refuses it.
    pub async fn is_reachable(self: &Arc<Self>, upstream: &Upstream) -> bool {
        let Upstream { id, address, deployment, .. } = upstream;
        // At the limit, the other connections to the upstream are open.
        let permit = self.pool.acquire_permit(id, self.max_connections(deployment));
        let Some(permit) = permit else { return true };
        let opened = self.open_connection(permit, *address, Class::Online).await;
        let Ok(connection) = opened else { return false };
        sleep(REACHABLE_TIME).await;
        if connection.sender.is_closed() {
            return false;
        }
        self.pool.keep(connection, DEFAULT_IDLE_TIMEOUT);
        true
    }

    /// Keeps a connection that was opened without a request.
    pub async fn adopt(&self, upstream: &Upstream, stream: TcpStream) {
        let permit =
            self.pool.acquire_permit(&upstream.id, self.max_connections(&upstream.deployment));
        let Some(permit) = permit else { return };
        if let Some(connection) = handshake(permit, Path::Direct, stream).await {
            self.pool.keep(connection, DEFAULT_IDLE_TIMEOUT);
        }
    }

    async fn open_connection(
        self: &Arc<Self>,
        permit: Permit,
        address: SocketAddr,
        class: Class,
    ) -> Result<Connection, Unavailable> {
        let opened = self.open_transport(&permit.id, address, class).await;
        let connection = match opened.map_err(Unavailable::Unreachable)? {
            Transport::Direct(stream) => handshake(permit, Path::Direct, stream).await,
            Transport::Carried(tunnel, name) => {
                handshake(permit, Path::Carried(name), tunnel).await
            }
        };
        // The connection was closed again at once.
        let fault = Unavailable::Unreachable(Unreachable { is_upstream_fault: true });
        connection.ok_or(fault)
    }
}

async fn handshake(
    permit: Permit,
    path: Path,
    transport: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
) -> Option<Connection> {
    counter!(RELAY_CONNECTIONS_OPENED).increment(1);
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(transport))
        .await
        .ok()?;
    let task = tokio::spawn(async move {
        // The request on the connection returns the error.
        let _ = connection.await;
    });
    if path == Path::Direct {
        permit.set_direct(task.abort_handle());
    }
    Some(Connection { sender, history: History::default(), path, task, permit })
}

impl Pool {
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
        let mut all = lock(&self.open);
        let open = all.entry(id.to_owned()).or_default();
        if open.len() >= max {
            return None;
        }
        let number = self.permits.fetch_add(1, Ordering::Relaxed);
        open.insert(number, None);
        Some(Permit { id: id.to_owned(), number, open: self.open.clone() })
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
        let timeout = match connection.path {
            Path::Direct => timeout,
            Path::Carried(_) => timeout.min(CARRIED_IDLE_TIMEOUT),
        };
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

    /// Returns the ids of the upstreams to which a connection of this relay's own is open.
    pub fn direct_ids(&self) -> BTreeSet<String> {
        let all = lock(&self.open);
        let direct = all.iter().filter(|(_, open)| open.values().any(Option::is_some));
        direct.map(|(id, _)| id.clone()).collect()
    }

    /// Closes this relay's own connections to an upstream. The requests on them fail.
    pub fn abort_direct(&self, id: &str) {
        let handles: Vec<AbortHandle> = {
            let all = lock(&self.open);
            all.get(id).map(|open| open.values().flatten().cloned().collect()).unwrap_or_default()
        };
        handles.iter().for_each(AbortHandle::abort);
    }

    /// Closes the idle connections to an upstream that other relays carry.
    pub fn close_idle_carried(&self, id: &str) {
        if let Some(list) = lock(&self.idle).get_mut(id) {
            list.retain(|idle| idle.connection.path == Path::Direct);
        }
    }

    /// Closes this relay's own idle connections to an upstream.
    pub fn close_idle_direct(&self, id: &str) {
        if let Some(list) = lock(&self.idle).get_mut(id) {
            list.retain(|idle| idle.connection.path != Path::Direct);
        }
    }

    /// Closes the idle connections that are carried by these relays.
    pub fn close_idle_via(&self, is_closed: impl Fn(&str) -> bool) {
        for list in lock(&self.idle).values_mut() {
            list.retain(|idle| match &idle.connection.path {
                Path::Direct => true,
                Path::Carried(name) => !is_closed(name),
            });
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

/// Returns the idle timeout that the `Keep-Alive` header states.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok())?;
    Some(Duration::from_secs(seconds).min(MAX_IDLE_TIMEOUT))
}
