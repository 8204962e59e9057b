//! Pool of HTTP/1.1 connections to upstreams, each of which carries one request at a time.

use std::{
    collections::HashMap,
    future::{Future, poll_fn},
    net::SocketAddr,
    pin::{Pin, pin},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::{Body, Frame, Incoming},
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    runtime::{self, Handle},
    time::timeout,
};

use crate::{Error, Execution, wake::Poller};

/// Timeouts and limits of the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Maximum time for a short call: reading the load or cache events, cancelling a stream or
    /// sending an order. Reading the body of an error response has the same limit.
    pub call_timeout: Duration,
    /// Time after which an idle connection is no longer used.
    pub idle_timeout: Duration,
    /// Maximum number of idle connections to one upstream from one runtime.
    pub max_idle_connections: usize,
    /// Maximum size of a response body that is not streamed, in bytes.
    pub max_body_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(2),
            // Shorter than the keep-alive timeout of common servers, so that a request is rarely
            // sent on a connection that the server is closing.
            idle_timeout: Duration::from_secs(4),
            max_idle_connections: 64,
            max_body_bytes: 16 << 20,
        }
    }
}

type Driver = Pin<Box<http1::Connection<TokioIo<TcpStream>, Full<Bytes>>>>;

/// A connection that carries at most one request at a time and is closed when dropped.
///
/// No background task drives its input and output. The task that waits for the response does,
/// which saves a task switch for each token.
pub(crate) struct Connection {
    runtime: runtime::Id,
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Input and output of the connection; absent once the connection is closed.
    driver: Option<Driver>,
    poller: Poller,
    idle_since: Instant,
}

impl Connection {
    /// Returns whether an idle connection can still carry a request.
    async fn is_usable(&mut self) -> bool {
        poll_fn(|cx| {
            drive(&mut self.driver, cx);
            if self.driver.is_none() {
                return Poll::Ready(false);
            }
            self.sender.poll_ready(cx).map(|ready| ready.is_ok())
        })
        .await
    }

    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        let mut sending = pin!(self.sender.try_send_request(request));
        poll_fn(|cx| {
            drive(&mut self.driver, cx);
            sending.as_mut().poll(cx)
        })
        .await
    }
}

/// Reads and writes as much as the connection can without blocking.
fn drive(driver: &mut Option<Driver>, cx: &mut Context<'_>) {
    if let Some(connection) = driver
        && connection.as_mut().poll(cx).is_ready()
    {
        // An error is reported by the request or by its body.
        *driver = None;
    }
}

/// Idle connections by runtime and address, the most recently used last.
///
/// The runtime that opened a connection also polls its socket, so the control thread must not reuse
/// connections of the traffic threads.
type Idle = HashMap<(runtime::Id, SocketAddr), Vec<Connection>>;

/// Pool of idle connections.
pub(crate) struct Pool {
    pub(crate) options: Options,
    idle: Mutex<Idle>,
    /// Time of the last removal of expired idle connections.
    last_eviction: Mutex<Instant>,
}

impl Pool {
    pub(crate) fn new(options: Options) -> Self {
        Self { options, idle: Mutex::default(), last_eviction: Mutex::new(Instant::now()) }
    }

    /// Sends a request on an idle connection, or on a new one if none is usable or
    /// `new_connection` is set.
    ///
    /// If an idle connection fails before it has sent the request, another connection sends it.
    pub(crate) async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        new_connection: bool,
    ) -> Result<(Response<Incoming>, PooledConnection), Error> {
        while let Some(mut connection) =
            (!new_connection).then(|| self.take_idle(address)).flatten()
        {
            if !connection.is_usable().await {
                continue;
            }
            match connection.send(request).await {
                Ok(response) => return Ok((response, self.pooled(connection))),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => {
                        return Err(connection_error(
                            address,
                            &error.into_error(),
                            Execution::Unknown,
                        ));
                    }
                },
            }
        }
        let mut connection = self.connect(address).await?;
        match connection.send(request).await {
            Ok(response) => Ok((response, self.pooled(connection))),
            Err(mut error) => {
                let execution = if error.take_message().is_some() {
                    Execution::NotStarted
                } else {
                    Execution::Unknown
                };
                Err(connection_error(address, &error.into_error(), execution))
            }
        }
    }

    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.lock_idle().retain(|(_, other), _| *other != address);
    }

    /// Fails unless the upstream accepts another connection, which is closed again.
    pub(crate) async fn confirm_alive(&self, address: SocketAddr) -> Result<(), Error> {
        let _connection = self.connect(address).await.map_err(|error| Error::Broken {
            address: address.to_string(),
            cause: format!("the response may be cut off: {error}"),
            execution: Execution::Started,
        })?;
        Ok(())
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, Error> {
        let error = |cause: String| Error::Connect { address: address.to_string(), cause };
        let socket = timeout(self.options.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| error(format!("timed out after {:?}", self.options.connect_timeout)))?
            .map_err(|cause| error(cause.to_string()))?;
        // Nagle's algorithm would delay a small request until the previous one is acknowledged.
        socket.set_nodelay(true).map_err(|cause| error(cause.to_string()))?;
        let (sender, driver) = http1::handshake(TokioIo::new(socket))
            .await
            .map_err(|cause| error(cause.to_string()))?;
        let driver = Some(Box::pin(driver));
        let poller = Poller::new();
        let runtime = Handle::current().id();
        Ok(Connection { runtime, address, sender, driver, poller, idle_since: Instant::now() })
    }

    fn pooled(self: &Arc<Self>, connection: Connection) -> PooledConnection {
        PooledConnection { pool: Arc::clone(self), connection }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock_idle();
        let key = (Handle::current().id(), address);
        let connections = idle.get_mut(&key)?;
        // The server is least likely to have closed the most recently used connection.
        while let Some(connection) = connections.pop() {
            if connection.idle_since.elapsed() < self.options.idle_timeout {
                return Some(connection);
            }
        }
        idle.remove(&key);
        None
    }

    fn put_idle(&self, mut connection: Connection) {
        if connection.driver.is_none() {
            return;
        }
        let now = Instant::now();
        connection.idle_since = now;
        let mut idle = self.lock_idle();
        let key = (connection.runtime, connection.address);
        let connections = idle.entry(key).or_default();
        if connections.len() < self.options.max_idle_connections {
            connections.push(connection);
        }
        drop(idle);
        self.close_expired(now);
    }

    /// Closes idle connections past the idle timeout, at most once per idle timeout.
    fn close_expired(&self, now: Instant) {
        let mut last_eviction = self.last_eviction.lock().unwrap_or_else(PoisonError::into_inner);
        if now.duration_since(*last_eviction) < self.options.idle_timeout {
            return;
        }
        *last_eviction = now;
        self.lock_idle().retain(|_, connections| {
            connections.retain(|connection| {
                now.saturating_duration_since(connection.idle_since) < self.options.idle_timeout
            });
            !connections.is_empty()
        });
    }

    fn lock_idle(&self) -> MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection in use. Dropping it closes the connection instead of returning it to the pool.
pub(crate) struct PooledConnection {
    pool: Arc<Pool>,
    connection: Connection,
}

impl PooledConnection {
    /// Polls for the next frame of the response body and drives the connection.
    pub(crate) fn poll_frame(
        &mut self,
        cx: &Context<'_>,
        body: &mut Incoming,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Self { connection, .. } = self;
        let Connection { poller, driver, .. } = connection;
        poller.poll(cx, |cx| {
            let frame = Pin::new(&mut *body).poll_frame(cx);
            if frame.is_ready() {
                return frame;
            }
            drive(driver, cx);
            // Driving the connection may have added a frame to the body or ended it.
            Pin::new(&mut *body).poll_frame(cx)
        })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.connection.address
    }

    /// Returns the connection to the pool. The response body must have ended.
    pub(crate) fn release(self) {
        self.pool.put_idle(self.connection);
    }
}

/// Creates the error of a failed connection, with the underlying cause if there is one.
pub(crate) fn connection_error(
    address: SocketAddr,
    cause: &hyper::Error,
    execution: Execution,
) -> Error {
    use std::error::Error as _;
    let cause = match cause.source() {
        Some(source) => format!("{cause}: {source}"),
        None => cause.to_string(),
    };
    Error::Broken { address: address.to_string(), cause, execution }
}
