//! The connections of one relay to the runners, through loopback proxies that can cut them, and whether the
//! store refuses its calls.

use std::{
    collections::HashMap,
    io,
    net::{self, IpAddr, SocketAddr},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpSocket, TcpStream},
    select,
    sync::watch,
    time::{sleep, timeout},
};

/// Time without an answer after which the queue of a listener counts as full.
const FULL_QUEUE_TIMEOUT: Duration = Duration::from_millis(50);
/// Connections that may fill the queue of a listener.
const MAX_FILLERS: usize = 8;
/// Time after which a listener that could not be opened is tried again.
const BIND_RETRY: Duration = Duration::from_millis(20);

/// What happens to the connections of a relay to the runners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cut {
    /// They are sound.
    #[default]
    None,
    /// Neither open connections nor new ones get an answer or a close.
    Hang,
    /// Open connections live on, and new ones are refused.
    Refuse,
    /// Open connections are reset, and new ones are refused.
    Reset,
}

/// The proxies of one relay, one for each runner that it knows.
pub struct Links {
    host: IpAddr,
    cut: watch::Sender<Cut>,
    /// Addresses of the proxies by the address of the runner.
    proxies: Mutex<HashMap<SocketAddr, SocketAddr>>,
    /// Whether the store refuses the calls of this relay.
    is_refused: AtomicBool,
}

impl Links {
    pub fn new(host: IpAddr) -> Self {
        Self {
            host,
            cut: watch::Sender::default(),
            proxies: Mutex::default(),
            is_refused: AtomicBool::new(false),
        }
    }

    /// Cuts the connections, or lets them go on.
    pub fn set_cut(&self, cut: Cut) {
        self.cut.send_replace(cut);
    }

    /// Has the store refuse the calls of this relay, or answer them again.
    pub fn set_refused(&self, is_refused: bool) {
        self.is_refused.store(is_refused, Ordering::Relaxed);
    }

    /// Whether the store refuses the calls of this relay.
    pub(super) fn is_refused(&self) -> bool {
        self.is_refused.load(Ordering::Relaxed)
    }

    /// Returns the address of the proxy before a runner.
    pub(super) fn proxy(&self, runner: SocketAddr) -> io::Result<SocketAddr> {
        let mut proxies = self.proxies.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(address) = proxies.get(&runner) {
            return Ok(*address);
        }
        let listener = net::TcpListener::bind((self.host, 0))?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        proxies.insert(runner, address);
        tokio::spawn(run(listener, address, runner, self.cut.subscribe()));
        Ok(address)
    }
}

/// Accepts connections while they are not cut, until the links are dropped.
async fn run(
    listener: TcpListener,
    address: SocketAddr,
    runner: SocketAddr,
    mut cut: watch::Receiver<Cut>,
) {
    let mut listener = Some(listener);
    loop {
        let current = *cut.borrow_and_update();
        let changed = match current {
            Cut::None => match &listener {
                Some(open) => select! {
                    changed = cut.changed() => changed,
                    accepted = open.accept() => {
                        if let Ok((stream, _)) = accepted {
                            tokio::spawn(carry(stream, runner, cut.clone()));
                        }
                        Ok(())
                    }
                },
                None => {
                    listener = TcpListener::bind(address).await.ok();
                    if listener.is_none() {
                        sleep(BIND_RETRY).await;
                    }
                    Ok(())
                }
            },
            Cut::Hang => {
                listener = None;
                let _full = full_listener(address).await;
                cut.changed().await
            }
            Cut::Refuse | Cut::Reset => {
                listener = None;
                cut.changed().await
            }
        };
        if changed.is_err() {
            return;
        }
    }
}

/// Returns a listener whose queue is full, so that the system drops further attempts to connect, with
/// the connections that fill it.
async fn full_listener(address: SocketAddr) -> io::Result<(TcpListener, Vec<TcpStream>)> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(0)?;
    let mut fillers = Vec::new();
    while fillers.len() < MAX_FILLERS
        && let Ok(filler) = timeout(FULL_QUEUE_TIMEOUT, TcpStream::connect(address)).await
    {
        fillers.push(filler?);
    }
    Ok((listener, fillers))
}

/// Carries the bytes of one connection until it ends or is reset.
async fn carry(mut relay: TcpStream, runner: SocketAddr, mut cut: watch::Receiver<Cut>) {
    let Ok(mut upstream) = TcpStream::connect(runner).await else { return };
    // Without the option, small events arrive late, but not wrong.
    let _ = (relay.set_nodelay(true), upstream.set_nodelay(true));
    let is_reset = {
        let mut copy = std::pin::pin!(copy_bidirectional(&mut relay, &mut upstream));
        loop {
            let current = *cut.borrow_and_update();
            match current {
                Cut::None | Cut::Refuse => select! {
                    copied = &mut copy => break copied.is_err(),
                    changed = cut.changed() => if changed.is_err() { break false },
                },
                Cut::Hang => {
                    if cut.changed().await.is_err() {
                        break false;
                    }
                }
                Cut::Reset => break true,
            }
        }
    };
    if is_reset {
        reset(&relay);
        reset(&upstream);
    }
}

/// Has the close of a connection reset it.
#[expect(deprecated, reason = "only a linger time above zero blocks a thread")]
pub(super) fn reset(stream: &TcpStream) {
    // Without the option, the connection is closed in order.
    let _ = stream.set_linger(Some(Duration::ZERO));
}
