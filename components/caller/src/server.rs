//! Accepts connections and shuts them down gracefully.

use std::{
    future::Future,
    hint::black_box,
    net::IpAddr,
    pin::pin,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use hyper::service::service_fn;
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{
    backend::Backend,
    extract::MemoryBudget,
    route::{self, ServerState},
};

/// Delay after a connection could not be accepted, for example because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Smallest read buffer that hyper accepts for HTTP/1.1, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8_192;

/// Time within which the first request on a connection arrives. Callers open a connection to send a request.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Limits, timeouts and credentials of the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Maximum size of the body of an online request, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of the body of a batch job, in bytes.
    pub max_batch_body_bytes: usize,
    /// Maximum memory for all bodies of batch jobs that are being accepted, in bytes.
    pub batch_memory_bytes: usize,
    /// Maximum size of a submitted configuration, in bytes.
    pub max_admin_body_bytes: usize,
    /// Bearer token of operators. Without one, `/admin/*` is only available from loopback
    /// addresses.
    pub admin_token: Option<String>,
    /// Maximum size of the request target and header fields together, in bytes.
    pub max_header_bytes: usize,
    /// Maximum time to receive the whole header section of an HTTP/1.1 request.
    pub header_timeout: Duration,
    /// Maximum time for requests in flight to finish during a graceful shutdown.
    pub drain_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_body_bytes: 1 << 20,
            max_batch_body_bytes: 512 << 20,
            batch_memory_bytes: 512 << 20,
            max_admin_body_bytes: 16 << 20,
            admin_token: None,
            max_header_bytes: 32 << 10,
            header_timeout: Duration::from_secs(10),
            drain_timeout: Duration::from_secs(30),
        }
    }
}

impl Options {
    /// Returns whether a caller with this address and bearer token is an operator.
    pub fn is_operator(&self, caller: IpAddr, token: Option<&str>) -> bool {
        match &self.admin_token {
            Some(expected) => {
                token.is_some_and(|token| constant_time_eq(expected.as_bytes(), token.as_bytes()))
            }
            None => caller.to_canonical().is_loopback(),
        }
    }
}

/// Compares in a time that depends only on the lengths, so that response times do not reveal which
/// part of a guessed token is correct.
fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    let pairs = left.iter().zip(right);
    let difference = pairs.fold(0, |difference, (a, b)| black_box(difference | (a ^ b)));
    left.len() == right.len() && difference == 0
}

/// HTTP/1.1 and HTTP/2 server in front of a [`Backend`].
pub struct Server {
    state: Arc<ServerState>,
}

impl Server {
    /// Creates a server that passes requests on to `backend`.
    pub fn new(backend: Arc<dyn Backend>, options: Options) -> Self {
        let batch_memory = Arc::new(MemoryBudget::new(options.batch_memory_bytes));
        let next_response_number = AtomicU64::new(1);
        Self {
            state: Arc::new(ServerState { backend, options, batch_memory, next_response_number }),
        }
    }

    /// Serves connections until `shutdown` completes, then waits for the requests in flight.
    ///
    /// Returns whether all of them finished within [`Options::drain_timeout`]; the others are cut
    /// off when the runtime stops.
    pub async fn serve(
        &self,
        listener: TcpListener,
        shutdown: impl Future<Output = ()> + Send,
    ) -> bool {
        let connections = GracefulShutdown::new();
        let mut shutdown = pin!(shutdown);
        let mut accepted_at = Instant::now();
        loop {
            tokio::select! {
                biased;
                () = &mut shutdown => break,
                accepted = listener.accept() => match accepted {
                    Ok((socket, caller)) => {
                        accepted_at = Instant::now();
                        self.serve_connection(socket, caller.ip(), &connections);
                    }
                    Err(error) => {
                        log::warn!("cannot accept a connection: {error}");
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
            }
        }
        if self.accept_queued(listener, &connections) {
            accepted_at = Instant::now();
        }
        let drained = async {
            // A connection without a request yet would be closed, though its caller may have sent one.
            sleep_until(accepted_at + FIRST_REQUEST_TIME).await;
            connections.shutdown().await;
        };
        timeout(self.state.options.drain_timeout, drained).await.is_ok()
    }

    /// Accepts the connections that wait in the queue of the listener, which the system resets when the
    /// listener is closed. Returns whether there were any.
    fn accept_queued(&self, listener: TcpListener, connections: &GracefulShutdown) -> bool {
        let mut has_accepted = false;
        let listener = match listener.into_std() {
            Ok(listener) => listener,
            Err(error) => {
                log::warn!("cannot accept the last connections: {error}");
                return false;
            }
        };
        while let Ok((socket, caller)) = listener.accept() {
            let socket = socket.set_nonblocking(true).and_then(|()| TcpStream::from_std(socket));
            match socket {
                Ok(socket) => {
                    has_accepted = true;
                    self.serve_connection(socket, caller.ip(), connections);
                }
                Err(error) => log::warn!("cannot accept a connection: {error}"),
            }
        }
        has_accepted
    }

    fn serve_connection(&self, socket: TcpStream, caller: IpAddr, connections: &GracefulShutdown) {
        // Nagle's algorithm would delay a token until the previous one is acknowledged. An error
        // means that the connection is already closed, which its task detects.
        let _ = socket.set_nodelay(true);
        let options = &self.state.options;
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(options.header_timeout)
            // Twice the limit, so that the routes can refuse a header section that is slightly too
            // large with a JSON body; hyper itself answers without one.
            .max_buf_size((options.max_header_bytes * 2).max(MIN_READ_BUFFER_BYTES));
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_header_list_size(u32::try_from(options.max_header_bytes * 2).unwrap_or(u32::MAX));
        let state = Arc::clone(&self.state);
        let service = service_fn(move |request| route::handle(Arc::clone(&state), caller, request));
        let connection = builder.serve_connection(TokioIo::new(socket), service).into_owned();
        let connection = connections.watch(connection);
        tokio::spawn(async move {
            // An error concerns this connection only, and callers often close connections early.
            if let Err(error) = connection.await {
                log::debug!("connection of a caller failed: {error}");
            }
        });
    }
}
