//! Connections of callers and their graceful shutdown.

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
    time::{sleep, timeout},
};

use crate::{
    backend::Backend,
    input::Memory,
    route::{self, Context},
};

/// Pause after a connection could not be accepted, as when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest read buffer that hyper allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Sizes and times of the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Largest body of an online request, in bytes.
    pub body_bytes: usize,
    /// Largest body of a batch job, in bytes.
    pub batch_body_bytes: usize,
    /// Memory that the bodies of batch jobs may take together, in bytes.
    pub batch_memory_bytes: usize,
    /// Largest body of a configuration, in bytes.
    pub admin_body_bytes: usize,
    /// Bearer token of operators; when absent, `/admin/*` is answered only to callers on a loopback
    /// address.
    pub admin_token: Option<String>,
    /// Largest header section, in bytes.
    pub header_bytes: usize,
    /// Longest wait for the whole header section.
    pub header_timeout: Duration,
    /// Longest wait for requests in flight during a graceful shutdown.
    pub drain: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            batch_body_bytes: 512 << 20,
            batch_memory_bytes: 512 << 20,
            admin_body_bytes: 16 << 20,
            admin_token: None,
            header_bytes: 32 << 10,
            header_timeout: Duration::from_secs(10),
            drain: Duration::from_secs(30),
        }
    }
}

impl Options {
    /// Whether a caller at this address who presents this bearer token is an operator.
    pub fn admits_operator(&self, caller: IpAddr, token: Option<&str>) -> bool {
        match &self.admin_token {
            Some(expected) => {
                token.is_some_and(|token| same(expected.as_bytes(), token.as_bytes()))
            }
            None => caller.to_canonical().is_loopback(),
        }
    }
}

/// Compares in a time that depends only on the lengths, so that a token cannot be guessed part by
/// part.
fn same(left: &[u8], right: &[u8]) -> bool {
    let pairs = left.iter().zip(right);
    let difference = pairs.fold(0, |difference, (a, b)| black_box(difference | (a ^ b)));
    left.len() == right.len() && difference == 0
}

/// The HTTP server.
pub struct Server {
    context: Arc<Context>,
}

impl Server {
    /// A server for the given daemon.
    pub fn new(backend: Arc<dyn Backend>, options: Options) -> Self {
        let batch_memory = Arc::new(Memory::new(options.batch_memory_bytes));
        let number = AtomicU64::new(1);
        Self { context: Arc::new(Context { backend, options, batch_memory, number }) }
    }

    /// Serves connections until `shutdown` completes, then lets the requests in flight finish.
    ///
    /// Returns whether all of them finished within the time for it; the others are cut off.
    pub async fn serve(
        &self,
        listener: TcpListener,
        shutdown: impl Future<Output = ()> + Send,
    ) -> bool {
        let connections = GracefulShutdown::new();
        let mut shutdown = pin!(shutdown);
        loop {
            tokio::select! {
                biased;
                () = &mut shutdown => break,
                accepted = listener.accept() => match accepted {
                    Ok((socket, caller)) => self.connect(socket, caller.ip(), &connections),
                    Err(error) => {
                        log::warn!("a caller's connection cannot be accepted: {error}");
                        sleep(ACCEPT_PAUSE).await;
                    }
                },
            }
        }
        drop(listener);
        timeout(self.context.options.drain, connections.shutdown()).await.is_ok()
    }

    fn connect(&self, socket: TcpStream, caller: IpAddr, connections: &GracefulShutdown) {
        // Without it, a token would wait for the acknowledgement of the previous one. An error
        // means that the connection is already gone, which its task finds out.
        let _ = socket.set_nodelay(true);
        let options = &self.context.options;
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(options.header_timeout)
            // Larger than the limit, so that the routes can refuse with a readable answer.
            .max_buf_size((options.header_bytes * 2).max(MIN_BUFFER_BYTES));
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_header_list_size(u32::try_from(options.header_bytes * 2).unwrap_or(u32::MAX));
        let context = Arc::clone(&self.context);
        let service =
            service_fn(move |request| route::answer(Arc::clone(&context), caller, request));
        let connection = builder.serve_connection(TokioIo::new(socket), service).into_owned();
        let connection = connections.watch(connection);
        tokio::spawn(async move {
            // An error ends this connection only; callers that go away are common.
            if let Err(error) = connection.await {
                log::debug!("a caller's connection ended with an error: {error}");
            }
        });
    }
}
