//! Pool of HTTP/1.1 connections to the platform's services, each of which carries one call at a time.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Maximum number of idle connections that are kept for each service.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Calls that one connection carries at most. Bounds the memory for what it has delivered.
const MAX_CALLS: usize = 256;

/// A connection to a service. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    pub sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    /// Hashes of the bodies that it has delivered.
    delivered: Vec<u64>,
    idle_since: Instant,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the cause if the service does not accept it within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, String> {
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| "connecting timed out".to_owned())?
            .map_err(|error| error.to_string())?;
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
        let task = tokio::spawn(async move {
            // The call on the connection returns the error.
            let _ = connection.await;
        });
        Ok(Self { address, sender, task, delivered: Vec::new(), idle_since: Instant::now() })
    }

    /// Records the body of an answer. Returns whether the connection has delivered the same one before.
    pub fn record_body(&mut self, body: &Bytes) -> bool {
        let mut hasher = DefaultHasher::new();
        body.hash(&mut hasher);
        let hash = hasher.finish();
        let is_repeated = self.delivered.contains(&hash);
        self.delivered.push(hash);
        is_repeated
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Returns the idle connection to a service that was used last.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| {
            !connection.sender.is_closed() && connection.idle_since.elapsed() < IDLE_TIMEOUT
        });
        connections.pop()
    }

    /// Keeps a connection for reuse after its answer was read to the end.
    pub fn keep(&self, mut connection: Connection) {
        if connection.sender.is_closed() || connection.delivered.len() >= MAX_CALLS {
            return;
        }
        connection.idle_since = Instant::now();
        let mut idle = self.lock();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() >= MAX_IDLE_CONNECTIONS {
            connections.remove(0);
        }
        connections.push(connection);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
