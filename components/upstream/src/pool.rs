//! Pooled connections, one request at a time on each.

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

use crate::{Error, Ran, wake::Wakeups};

/// Sizes and times of the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Longest time to open a connection.
    pub connect: Duration,
    /// Longest time for a short call: load, cache events, cancel and orders.
    pub call: Duration,
    /// Time after which an idle connection is not used again.
    pub idle: Duration,
    /// Idle connections that are kept for each upstream.
    pub idle_connections: usize,
    /// Largest body of a whole answer, in bytes.
    pub body_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            call: Duration::from_secs(2),
            // Shorter than the keep-alive time of common servers, so that a request seldom meets
            // a connection that the server is closing.
            idle: Duration::from_secs(4),
            idle_connections: 64,
            body_bytes: 16 << 20,
        }
    }
}

type Driver = Pin<Box<http1::Connection<TokioIo<TcpStream>, Full<Bytes>>>>;

/// A connection that carries no more than one request; closed when dropped.
///
/// It has no task of its own: whoever waits for an answer drives it, which saves a change of
/// tasks for each token.
pub(crate) struct Connection {
    runtime: runtime::Id,
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Absent once the connection is closed.
    driver: Option<Driver>,
    wakeups: Wakeups,
    idle_since: Instant,
}

impl Connection {
    /// Whether an idle connection can carry a request.
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

/// Lets a connection read and write as far as possible.
fn drive(driver: &mut Option<Driver>, cx: &mut Context<'_>) {
    if let Some(connection) = driver
        && connection.as_mut().poll(cx).is_ready()
    {
        // The result of the request or of its body reports the error.
        *driver = None;
    }
}

/// Idle connections by runtime and address: the runtime that opened a connection waits for its
/// events, so the control thread must not get the connections of the traffic threads.
type Idle = HashMap<(runtime::Id, SocketAddr), Vec<Connection>>;

/// Idle connections by address.
pub(crate) struct Pool {
    pub(crate) options: Options,
    idle: Mutex<Idle>,
    /// When idle connections were closed last.
    swept: Mutex<Instant>,
}

impl Pool {
    pub(crate) fn new(options: Options) -> Self {
        Self { options, idle: Mutex::default(), swept: Mutex::new(Instant::now()) }
    }

    /// Sends a request on an idle connection, or on a new one.
    ///
    /// A request that an idle connection gave back unsent goes to a new connection.
    pub(crate) async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        fresh: bool,
    ) -> Result<(Response<Incoming>, Lease), Error> {
        while let Some(mut connection) = (!fresh).then(|| self.take(address)).flatten() {
            if !connection.is_usable().await {
                continue;
            }
            match connection.send(request).await {
                Ok(response) => return Ok((response, self.lease(connection))),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(broken(address, &error.into_error(), Ran::Unknown)),
                },
            }
        }
        let mut connection = self.connect(address).await?;
        match connection.send(request).await {
            Ok(response) => Ok((response, self.lease(connection))),
            Err(mut error) => {
                let ran = if error.take_message().is_some() { Ran::No } else { Ran::Unknown };
                Err(broken(address, &error.into_error(), ran))
            }
        }
    }

    /// Closes the idle connections to an address.
    pub(crate) fn forget(&self, address: SocketAddr) {
        self.idle().retain(|(_, other), _| *other != address);
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, Error> {
        let error = |cause: String| Error::Connect { address: address.to_string(), cause };
        let socket = timeout(self.options.connect, TcpStream::connect(address))
            .await
            .map_err(|_| error(format!("no answer within {:?}", self.options.connect)))?
            .map_err(|cause| error(cause.to_string()))?;
        // Without it, small requests would wait for the acknowledgement of the previous one.
        socket.set_nodelay(true).map_err(|cause| error(cause.to_string()))?;
        let (sender, driver) = http1::handshake(TokioIo::new(socket))
            .await
            .map_err(|cause| error(cause.to_string()))?;
        let driver = Some(Box::pin(driver));
        let wakeups = Wakeups::new();
        let runtime = Handle::current().id();
        Ok(Connection { runtime, address, sender, driver, wakeups, idle_since: Instant::now() })
    }

    fn lease(self: &Arc<Self>, connection: Connection) -> Lease {
        Lease { pool: Arc::clone(self), connection }
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle();
        let key = (Handle::current().id(), address);
        let connections = idle.get_mut(&key)?;
        // The newest connection is the least likely to be closed by the server.
        while let Some(connection) = connections.pop() {
            if connection.idle_since.elapsed() < self.options.idle {
                return Some(connection);
            }
        }
        idle.remove(&key);
        None
    }

    fn put(&self, mut connection: Connection) {
        if connection.driver.is_none() {
            return;
        }
        let now = Instant::now();
        connection.idle_since = now;
        let mut idle = self.idle();
        let key = (connection.runtime, connection.address);
        let connections = idle.entry(key).or_default();
        if connections.len() < self.options.idle_connections {
            connections.push(connection);
        }
        drop(idle);
        self.sweep(now);
    }

    /// Closes the connections that were idle for too long.
    fn sweep(&self, now: Instant) {
        let mut swept = self.swept.lock().unwrap_or_else(PoisonError::into_inner);
        if now.duration_since(*swept) < self.options.idle {
            return;
        }
        *swept = now;
        self.idle().retain(|_, connections| {
            connections.retain(|connection| {
                now.saturating_duration_since(connection.idle_since) < self.options.idle
            });
            !connections.is_empty()
        });
    }

    fn idle(&self) -> MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection in use; dropping it closes the connection.
pub(crate) struct Lease {
    pool: Arc<Pool>,
    connection: Connection,
}

impl Lease {
    /// Reads the next frame of a body that arrives on this connection.
    pub(crate) fn poll_frame(
        &mut self,
        cx: &Context<'_>,
        body: &mut Incoming,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Self { connection, .. } = self;
        let Connection { wakeups, driver, .. } = connection;
        wakeups.poll(cx, |cx| {
            let frame = Pin::new(&mut *body).poll_frame(cx);
            if frame.is_ready() {
                return frame;
            }
            drive(driver, cx);
            // The connection may have put a frame into the body, or have seen its end.
            Pin::new(&mut *body).poll_frame(cx)
        })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.connection.address
    }

    /// Returns the connection to the pool; the body of the answer must have ended.
    pub(crate) fn give_back(self) {
        self.pool.put(self.connection);
    }
}

/// The connection broke.
pub(crate) fn broken(address: SocketAddr, cause: &hyper::Error, ran: Ran) -> Error {
    use std::error::Error as _;
    let cause = match cause.source() {
        Some(source) => format!("{cause}: {source}"),
        None => cause.to_string(),
    };
    Error::Broken { address: address.to_string(), cause, ran }
}
