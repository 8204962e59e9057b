//! Connections to upstreams.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use cyclamengrade_telemetry::metrics::RELAY_CONNECTIONS_OPENED;
use http_body_util::Full;
use hyper::{
    HeaderMap,
    client::conn::http1::{self, SendRequest},
    header::{CONNECTION, HeaderName},
};
use hyper_util::rt::TokioIo;
use metrics::counter;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use crate::shared::lock;

/// Time for which an idle connection is kept when the upstream names none.
const DEFAULT_IDLE: Duration = Duration::from_secs(8);
/// Time before the end of the upstream's idle timeout at which a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Longest time for a new connection. A lost opening packet is sent again only after a second, so
/// that another upstream is the better choice.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Header with the upstream's idle timeout.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A connection to an upstream. Dropping it closes it, and with it what runs on it.
pub struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
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
    until: Instant,
}

/// Counts a connection against the bound of its upstream.
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

/// Open connections by upstream.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<String, Vec<Idle>>>,
    open: Arc<Mutex<HashMap<String, usize>>>,
}

impl Pool {
    /// A connection that is ready for a request; `None` when none can be made.
    ///
    /// `most` bounds the open connections to this upstream.
    pub async fn take(&self, id: &str, address: SocketAddr, most: usize) -> Option<Connection> {
        if let Some(connection) = self.reuse(id) {
            return Some(connection);
        }
        let permit = self.permit(id, most)?;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        counter!(RELAY_CONNECTIONS_OPENED).increment(1);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let task = tokio::spawn(async move {
            // The request on the connection reports what went wrong.
            let _ = connection.await;
        });
        Some(Connection { sender, task, permit })
    }

    fn reuse(&self, id: &str) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = lock(&self.idle);
        let list = idle.get_mut(id)?;
        while let Some(Idle { connection, until }) = list.pop() {
            if until > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        idle.remove(id);
        None
    }

    fn permit(&self, id: &str, most: usize) -> Option<Permit> {
        let mut open = lock(&self.open);
        let count = open.entry(id.to_owned()).or_default();
        if *count >= most {
            return None;
        }
        *count += 1;
        Some(Permit { id: id.to_owned(), open: self.open.clone() })
    }

    /// Takes back a connection whose answer was read to its end.
    pub fn give_back(&self, connection: Connection, head: &HeaderMap) {
        let says_close = head
            .get(CONNECTION)
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
        if says_close || connection.sender.is_closed() {
            return;
        }
        let kept = idle_timeout(head).unwrap_or(DEFAULT_IDLE);
        let until = Instant::now() + kept.saturating_sub(IDLE_MARGIN);
        let id = connection.permit.id.clone();
        lock(&self.idle).entry(id).or_default().push(Idle { connection, until });
    }

    /// Closes the idle connections to upstreams that are gone.
    pub fn forget(&self, ids: &[String]) {
        let mut idle = lock(&self.idle);
        for id in ids {
            idle.remove(id);
        }
    }

    /// Closes idle connections whose time is over.
    pub fn sweep(&self) {
        let now = Instant::now();
        lock(&self.idle).retain(|_, list| {
            list.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
            !list.is_empty()
        });
    }
}

/// The idle timeout that a `Keep-Alive` header states.
fn idle_timeout(head: &HeaderMap) -> Option<Duration> {
    let value = head.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok())?;
    Some(Duration::from_secs(seconds))
}
