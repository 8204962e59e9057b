//! Carries connections to upstreams for other relays, which have lost their links to them.

use std::{
    convert::Infallible,
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::BytesMut;
use cyclamengrade_control::relay::broker::Class;
use cyclamengrade_telemetry::{event, metrics::RELAY_CARRIED_CONNECTIONS};
use http_body_util::BodyExt;
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics::counter;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::OwnedWriteHalf},
    sync::mpsc::Sender,
    time::{Duration, sleep},
};

use crate::{
    batch::{Dispatcher, transfer},
    body::{Body, Chunk, MAX_BUFFERED_CHUNKS},
    evidence,
    link::{
        set_options,
        tunnel::{BATCH, BUFFER_BYTES, PATH, UPSTREAM},
    },
    online::{empty, header_text},
    shared::{Phase, Shared},
};

/// Connections that a relay carries for each core that it may use.
const CARRIED_PER_CORE: u32 = 1_000;
/// Memory that one carried connection may use: the buffers of both of its connections, and what waits for a
/// slow caller.
const CARRIED_BYTES: usize = 4 * BUFFER_BYTES + MAX_BUFFERED_CHUNKS * READ_BYTES;
/// The memory for carried connections is the memory of the process divided by this number.
const MEMORY_DIVISOR: u64 = 8;
/// Largest number of bytes that are read from an upstream at once.
const READ_BYTES: usize = 2 << 10;
/// Timeout for the request on a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which the listener is tried again when the process is out of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// Why this relay does not carry a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decline {
    Stopping,
    Full,
    CutOff,
    UnknownUpstream,
    Unreachable,
}

impl Decline {
    const fn name(self) -> &'static str {
        match self {
            Self::Stopping => "stopping",
            Self::Full => "full",
            Self::CutOff => "cut off",
            Self::UnknownUpstream => "unknown upstream",
            Self::Unreachable => "unreachable",
        }
    }

    /// Returns the status that tells the other relay; only `Unreachable` says something of the upstream.
    const fn status(self) -> StatusCode {
        match self {
            Self::Unreachable => StatusCode::BAD_GATEWAY,
            Self::Stopping | Self::Full | Self::CutOff | Self::UnknownUpstream => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }
}

/// Counts a connection that is carried until dropped.
struct Carried(Arc<Shared>);

impl Carried {
    fn begin(shared: &Arc<Shared>, class: Class) -> Option<Self> {
        let count = shared.link.carried.fetch_add(1, Ordering::Relaxed);
        let carried = Self(shared.clone());
        let max = match class {
            Class::Online => shared.max_carried(),
            // The rest is left for requests whose callers wait.
            Class::Batch => shared.max_carried() / 2,
        };
        (count < max).then_some(carried)
    }
}

impl Drop for Carried {
    fn drop(&mut self) {
        self.0.link.carried.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    /// Returns how many connections this relay carries for others. Its own callers come first.
    fn max_carried(&self) -> usize {
        let by_processor = u64::from(self.capacity()) * u64::from(CARRIED_PER_CORE) / 1_000;
        let by_memory = self.memory_bytes / MEMORY_DIVISOR / CARRIED_BYTES as u64;
        usize::try_from(by_processor.min(by_memory).max(1)).unwrap_or(usize::MAX)
    }

    /// Waits until this relay carries no connection for others.
    pub async fn wait_until_none_carried(&self) {
        while self.link.carried.load(Ordering::Relaxed) > 0 {
            sleep(ACCEPT_RETRY).await;
        }
    }
}

/// Accepts requests of other relays to carry connections, and their questions, until the process ends.
pub async fn serve(dispatcher: Arc<Dispatcher>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                event!(InternalFault, error:% = error);
                sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        set_options(&stream);
        let dispatcher = dispatcher.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let dispatcher = dispatcher.clone();
                async move { Ok::<_, Infallible>(handle(&dispatcher, request).await) }
            });
            // The other relay notices an error of the connection itself.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn handle(dispatcher: &Dispatcher, request: Request<Incoming>) -> Response<Body> {
    let shared = &dispatcher.shared;
    if request.method() == Method::GET && request.uri().path() == evidence::PATH {
        return evidence::answer(shared, request.uri());
    }
    if request.method() == Method::POST && request.uri().path() == transfer::PATH {
        return dispatcher.pass_on(request).await;
    }
    if request.method() != Method::POST || request.uri().path() != PATH {
        return empty(StatusCode::NOT_FOUND);
    }
    let id = header_text(request.headers(), &UPSTREAM).unwrap_or_default().to_owned();
    let class = match request.headers().contains_key(&BATCH) {
        true => Class::Batch,
        false => Class::Online,
    };
    match open(shared, &id, class).await {
        Ok((carried, upstream)) => {
            counter!(RELAY_CARRIED_CONNECTIONS, "outcome" => "carried").increment(1);
            let (sender, body) = Body::stream();
            tokio::spawn(async move {
                carry(upstream, request.into_body(), sender).await;
                drop(carried);
            });
            Response::new(body)
        }
        Err(decline) => {
            counter!(RELAY_CARRIED_CONNECTIONS, "outcome" => "refused").increment(1);
            event!(CarryDeclined, upstream:% = id, reason:% = decline.name());
            empty(decline.status())
        }
    }
}

/// Opens a connection of this relay's own, never one that a further relay carries.
async fn open(
    shared: &Arc<Shared>,
    id: &str,
    class: Class,
) -> Result<(Carried, TcpStream), Decline> {
    if *shared.phase.borrow() != Phase::Running {
        return Err(Decline::Stopping);
    }
    let carried = Carried::begin(shared, class).ok_or(Decline::Full)?;
    if shared.is_cut_off() {
        return Err(Decline::CutOff);
    }
    if shared.links().failure(id).is_some() {
        return Err(Decline::Unreachable);
    }
    let address = shared.selector().upstream_of(id).map(|upstream| upstream.address);
    let address = address.ok_or(Decline::UnknownUpstream)?;
    let connected = shared.clone().connect(id.to_owned(), address).await;
    connected.map(|stream| (carried, stream)).map_err(|_| Decline::Unreachable)
}

/// Carries the bytes of a connection both ways until one side closes it or is gone.
async fn carry(upstream: TcpStream, incoming: Incoming, sender: Sender<Chunk>) {
    let (mut from_upstream, to_upstream) = upstream.into_split();
    let is_broken = AtomicBool::new(false);
    let receive = async {
        loop {
            let mut buffer = BytesMut::with_capacity(READ_BYTES);
            let chunk = match from_upstream.read_buf(&mut buffer).await {
                // The system reports a reset once. After the write that got it, a read sees an ordinary end.
                Ok(0) if is_broken.load(Ordering::Relaxed) => return,
                Ok(0) => Chunk::End,
                Ok(_) => Chunk::Data(buffer.freeze()),
                // The response is truncated, like the connection.
                Err(_) => return,
            };
            let is_end = matches!(chunk, Chunk::End);
            if sender.send(chunk).await.is_err() || is_end {
                return;
            }
        }
    };
    tokio::select! {
        () = receive => {}
        () = send(incoming, to_upstream, &is_broken) => {}
        () = sender.closed() => {}
    }
}

/// Passes on the bytes for the upstream. Returns when the other relay closes the connection. Sets `is_broken` if the
/// upstream no longer takes them.
async fn send(mut incoming: Incoming, mut to_upstream: OwnedWriteHalf, is_broken: &AtomicBool) {
    while let Some(Ok(frame)) = incoming.frame().await {
        let written: io::Result<()> = match frame.into_data() {
            Ok(data) => to_upstream.write_all(&data).await,
            Err(_) => Ok(()),
        };
        if written.is_err() {
            is_broken.store(true, Ordering::Relaxed);
            // The upstream may have answered before it closed the connection.
            return std::future::pending().await;
        }
    }
}
