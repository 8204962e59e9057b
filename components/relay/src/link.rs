//! Connections to upstreams, which other relays carry when this relay has lost its own links.

use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use cyclamengrade_control::relay::{
    broker::Class,
    link::{Candidate, Carriers, Cause, Links, PROBE_PERIOD},
    selector::Upstream,
};
use cyclamengrade_telemetry::{
    event,
    metrics::{RELAY_CARRIED_CONNECTIONS, RELAY_LINKS_LOST},
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use metrics::{counter, gauge};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    sync::Notify,
    time::{Instant, sleep, timeout},
};

use crate::{
    link::tunnel::{Decline, Tunnel},
    shared::{Shared, lock},
};

pub mod carrier;
mod tunnel;

/// Timeout for opening a connection. A lost SYN is retransmitted only after one second, so trying
/// another upstream is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for a connection that this relay opens or others carry. Longer than `CONNECT_TIMEOUT`, so that
/// the end of the former is recorded.
const OPEN_TIMEOUT: Duration = Duration::from_millis(450);
/// Time after which other relays are asked to carry a connection that is still being opened (RFC 8305).
/// Many round trips between data centres, and a fraction of the latency objectives.
const CARRY_DELAY: Duration = Duration::from_millis(50);
/// Time after which the next relay is asked while one has not answered.
const NEXT_CARRIER_DELAY: Duration = Duration::from_millis(30);
/// Time after which a relay that has lost its links looks again for one to ask, while none is left.
const RETRY_CARRIERS_DELAY: Duration = Duration::from_millis(50);
/// Largest number of relays that are asked to carry one connection.
const MAX_CARRIERS: usize = 6;
/// Relays that have to find an upstream unreachable before no further one is asked.
const UNREACHABLE_VOTES: usize = 2;
/// Silence of an upstream after which the link to it is checked. Longer than a busy upstream pauses
/// between two events.
const SILENCE: Duration = Duration::from_millis(250);
/// Largest number of links that are checked because another one was lost.
const MAX_CHECKS: usize = 16;
/// Largest number of links that are probed in a period while none is back.
const MAX_PROBES: usize = 4;
/// The same once one is back.
const MAX_PROBES_AFTER_RETURN: usize = 16;

/// Quiet time of a connection before the first keep-alive probe. An upstream may be silent for a second and go
/// on.
const KEEP_ALIVE_TIME: Duration = Duration::from_secs(3);
/// Time between two keep-alive probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Keep-alive probes without an answer after which a connection is closed.
const KEEP_ALIVE_PROBES: u32 = 3;

/// State of the links to upstreams, and of the connections that are carried for other relays.
#[derive(Default)]
pub struct State {
    links: Mutex<Links>,
    carriers: Mutex<Carriers>,
    /// Wakes the task that probes lost links.
    lost: Notify,
    /// Whether a lost link was back since the last probes.
    has_restored: AtomicBool,
    /// Number of connections that this relay carries for others.
    carried: AtomicUsize,
}

/// A new connection to an upstream.
pub enum Transport {
    Direct(TcpStream),
    /// Another relay, which is named, carries it.
    Carried(Tunnel, String),
}

/// Why there is no connection to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreachable {
    /// Whether the upstream is at fault, as far as is known, and not the link of this relay.
    pub is_upstream_fault: bool,
}

/// No relay carries a connection.
#[derive(Clone, Copy, Debug)]
struct NotCarried {
    /// Relays that did not reach the upstream either.
    unreachable_votes: usize,
}

/// Sets the options of a connection to an upstream or between two relays.
///
/// Keep-alive probes close a connection whose other end is gone without a word. `TCP_USER_TIMEOUT` stays
/// unset: it would replace the number of probes, and what is sent has deadlines of its own.
fn set_options(stream: &TcpStream) {
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_TIME)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES);
    // Without the options, small messages are delayed, and a dead connection is found by timeouts.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_keepalive(&keep_alive);
}

/// Checks the link of this relay to an upstream while a response on it does not go on.
#[derive(Clone)]
pub struct Check {
    shared: Arc<Shared>,
    upstream: String,
}

impl Check {
    pub fn new(shared: &Arc<Shared>, upstream: &str) -> Self {
        Self { shared: shared.clone(), upstream: upstream.to_owned() }
    }
}

/// Waits for the next bytes on a connection, and checks its link if they take long.
pub async fn check_while<T>(check: Option<&Check>, future: impl Future<Output = T>) -> T {
    let mut future = pin!(future);
    if let Some(Check { shared, upstream }) = check {
        tokio::select! {
            biased;
            output = &mut future => return output,
            () = sleep(SILENCE) => shared.check_link(upstream),
        }
    }
    future.await
}

impl Shared {
    /// Opens a connection to an upstream, or asks other relays to carry one. Nothing was sent on it.
    ///
    /// # Errors
    ///
    /// Fails if neither this relay nor the relays that it asked reach the upstream.
    pub async fn open_transport(
        self: &Arc<Self>,
        id: &str,
        address: SocketAddr,
        class: Class,
    ) -> Result<Transport, Unreachable> {
        let open = async {
            let failure = self.links().failure(id);
            match failure {
                None => self.open_direct(id, address, class).await,
                Some(cause) => self.open_carried(id, address, class, cause).await,
            }
        };
        let opened = self.clock.timeout(OPEN_TIMEOUT, open).await;
        opened.unwrap_or(Err(NotCarried { unreachable_votes: 0 })).map_err(|not_carried| {
            let is_cut_off = self.is_cut_off();
            let is_upstream_fault = !is_cut_off || not_carried.unreachable_votes > 0;
            Unreachable { is_upstream_fault }
        })
    }

    /// Locks what is known of the links.
    fn links(&self) -> MutexGuard<'_, Links> {
        lock(&self.link.links)
    }

    /// Whether this relay has lost most of its links to upstreams.
    pub fn is_cut_off(&self) -> bool {
        self.links().is_cut_off(self.clock.now())
    }

    /// Records that a response began on a connection of this relay's own.
    pub fn record_response(&self, id: &str) {
        self.links().record_response(id, self.clock.now());
    }

    /// Forgets the links to upstreams that are no longer listed.
    pub fn forget_links(&self, ids: &[String]) {
        let mut links = self.links();
        ids.iter().for_each(|id| links.forget(id));
        drop(links);
        self.record_lost_count();
    }

    /// Whether the link to an upstream is lost that another relay reaches.
    pub fn has_lost_link(&self, id: &str) -> bool {
        self.links().is_lost(id)
    }

    /// Opens a connection on a link that is not known to be lost. Other relays are asked when it fails or
    /// takes long.
    async fn open_direct(
        self: &Arc<Self>,
        id: &str,
        address: SocketAddr,
        class: Class,
    ) -> Result<Transport, NotCarried> {
        let mut direct = Box::pin(self.clone().connect(id.to_owned(), address));
        if let Ok(connected) = timeout(CARRY_DELAY, &mut direct).await {
            return match connected {
                Ok(stream) => Ok(Transport::Direct(stream)),
                Err(_) => self.carry(id, class).await,
            };
        }
        let mut carried = pin!(self.carry(id, class));
        tokio::select! {
            biased;
            connected = &mut direct => match connected {
                Ok(stream) => Ok(Transport::Direct(stream)),
                Err(_) => carried.await,
            },
            transport = &mut carried => match transport {
                Ok(transport) => {
                    let shared = self.clone();
                    let id = id.to_owned();
                    // Only its failure shows that the link is lost.
                    tokio::spawn(async move {
                        if direct.await.is_err() {
                            shared.confirm_lost(&id);
                        }
                    });
                    Ok(transport)
                }
                Err(not_carried) => direct.await.map(Transport::Direct).map_err(|_| not_carried),
            },
        }
    }

    /// Opens a connection on a link whose last connection failed.
    async fn open_carried(
        self: &Arc<Self>,
        id: &str,
        address: SocketAddr,
        class: Class,
        cause: Cause,
    ) -> Result<Transport, NotCarried> {
        match self.carry(id, class).await {
            // A refusal takes no time, and the upstream may have returned.
            Err(not_carried) if cause == Cause::Refused => {
                let direct = self.clone().connect(id.to_owned(), address).await;
                direct.map(Transport::Direct).map_err(|_| not_carried)
            }
            carried => carried,
        }
    }

    /// Opens a connection of this relay's own, and records what that says of the link.
    async fn connect(self: Arc<Self>, id: String, address: SocketAddr) -> Result<TcpStream, Cause> {
        let start = Instant::now();
        let connecting = self.clock.timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let connected = connecting.await.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()));
        let error = match connected.inspect(set_options) {
            Ok(stream) => {
                self.record_reached(&id);
                return Ok(stream);
            }
            Err(error) => error,
        };
        let cause = match error.kind() {
            io::ErrorKind::TimedOut => Cause::Timeout,
            _ => Cause::Refused,
        };
        event!(
            ConnectionFailed,
            upstream:% = id,
            cause:% = cause.name(),
            error:% = error,
            elapsed_ms = start.elapsed().as_millis() as u64
        );
        self.links().record_lost(&id, cause, self.clock.now());
        self.link.lost.notify_one();
        Err(cause)
    }

    fn record_reached(&self, id: &str) {
        let restored = self.links().record_reached(id, self.clock.now());
        if let Some(elapsed) = restored {
            self.link.has_restored.store(true, Ordering::Relaxed);
            event!(LinkRestored, upstream:% = id, elapsed_ms = elapsed.as_millis() as u64);
            self.record_lost_count();
            self.pool.close_idle_carried(id);
        }
    }

    /// Records that another relay reaches an upstream to which this relay could not open a connection.
    fn confirm_lost(self: &Arc<Self>, id: &str) {
        let confirmed = self.links().confirm_lost(id);
        let Some(cause) = confirmed else { return };
        event!(LinkLost, upstream:% = id, cause:% = cause.name());
        self.record_lost_count();
        if cause == Cause::Timeout {
            // Nothing arrives on its idle connections either.
            self.pool.close_idle_direct(id);
            tokio::spawn(self.clone().abort_silent(id.to_owned()));
        }
        for other in self.pool.direct_ids().into_iter().take(MAX_CHECKS) {
            self.check_link(&other);
        }
    }

    /// Closes the connections in use to an upstream on a lost link, unless it has sent something by the end
    /// of another attempt to reach it. It may have been silent for a short time only.
    async fn abort_silent(self: Arc<Self>, id: String) {
        let upstream = self.selector().upstream_of(&id).cloned();
        let Some(upstream) = upstream else { return };
        if self.clone().connect(id.clone(), upstream.address).await.is_ok() {
            return;
        }
        let running = self.clock.running();
        let silent = self.selector().silent_upstream(&id, SILENCE, running);
        // A new start of the upstream may have been listed meanwhile.
        if silent.is_some_and(|silent| silent.is_same_start(&upstream)) {
            self.selector().clear_suspicion(&id, running);
            self.pool.abort_direct(&id);
        }
    }

    fn record_lost_count(&self) {
        gauge!(RELAY_LINKS_LOST).set(self.links().lost_count() as f64);
    }

    /// Asks other relays to carry a connection, one after the other, until one does.
    async fn carry(self: &Arc<Self>, id: &str, class: Class) -> Result<Transport, NotCarried> {
        let start = Instant::now();
        let mut carriers = self.carriers().into_iter();
        let mut asked = FuturesUnordered::new();
        let mut waiting: BTreeSet<String> = BTreeSet::new();
        let mut unreachable_votes = 0;
        let mut is_busy = false;
        loop {
            let next = if unreachable_votes < UNREACHABLE_VOTES { carriers.next() } else { None };
            let has_next = next.is_some();
            if let Some((name, address)) = next {
                waiting.insert(name.clone());
                asked.push(async move { (Tunnel::open(address, id, class).await, name) });
            }
            if asked.is_empty() {
                // Without a link nor a relay to ask, further attempts would fail at once as well. The relays
                // may be starting or suspended.
                let may_return = unreachable_votes == 0 && !is_busy;
                if may_return && self.links().failure(id).is_some() && self.is_cut_off() {
                    sleep(RETRY_CARRIERS_DELAY).await;
                    carriers = self.carriers().into_iter();
                    continue;
                }
                counter!(RELAY_CARRIED_CONNECTIONS, "outcome" => "declined").increment(1);
                return Err(NotCarried { unreachable_votes });
            }
            let answer = match has_next {
                true => timeout(NEXT_CARRIER_DELAY, asked.next()).await.ok().flatten(),
                false => asked.next().await,
            };
            let Some((answer, name)) = answer else { continue };
            waiting.remove(&name);
            let now = self.clock.now();
            match answer {
                Ok(tunnel) => {
                    let elapsed_ms = start.elapsed().as_millis() as u64;
                    event!(ConnectionCarried, upstream:% = id, member:% = name, elapsed_ms = elapsed_ms);
                    counter!(RELAY_CARRIED_CONNECTIONS, "outcome" => "opened").increment(1);
                    let mut known = lock(&self.link.carriers);
                    known.record_carried(&name, now);
                    // The others were asked earlier, and may have lost their links as well.
                    waiting.iter().for_each(|slow| known.record_declined(slow, now));
                    drop(known);
                    self.confirm_lost(id);
                    return Ok(Transport::Carried(tunnel, name));
                }
                Err(decline) => {
                    event!(CarrierDeclined, upstream:% = id, member:% = name, reason:% = decline.name());
                    match decline {
                        Decline::Unreachable => unreachable_votes += 1,
                        Decline::Busy | Decline::Silent => {
                            is_busy |= decline == Decline::Busy;
                            lock(&self.link.carriers).record_declined(&name, now);
                        }
                    }
                }
            }
        }
    }

    /// Returns the relays to ask for a connection, in this order, with their addresses.
    fn carriers(&self) -> Vec<(String, SocketAddr)> {
        let now = self.clock.now();
        let seen = self.last_news();
        let members = self.members();
        let suitable = members.iter().filter(|(_, member)| {
            member.health.is_responsive(now, seen) && !member.health.is_cut_off()
        });
        let candidates: Vec<Candidate<'_>> =
            suitable.map(|(name, member)| Candidate { name, capacity: member.capacity }).collect();
        let chosen = lock(&self.link.carriers).choose(&candidates, MAX_CARRIERS, now, rand::random);
        let with_address = |name: String| {
            let address = members.get(&name)?.address;
            Some((name, address))
        };
        chosen.into_iter().filter_map(with_address).collect()
    }

    /// Checks the link to an upstream that is silent, unless this was done a short time ago. A relay does
    /// not learn otherwise that nothing arrives on its open connections any more.
    pub fn check_link(self: &Arc<Self>, id: &str) {
        let upstream = self.selector().silent_upstream(id, SILENCE, self.clock.running());
        let Some(upstream) = upstream else { return };
        if !self.links().begin_check(id, self.clock.now()) {
            return;
        }
        let shared = self.clone();
        tokio::spawn(async move {
            // The result is recorded where the connection is opened.
            let _ = shared.is_reachable(&upstream).await;
        });
    }

    /// Opens connections on lost links until they are back, so that no request has to find out.
    pub async fn probe_lost_links(self: Arc<Self>) {
        loop {
            if !self.links().has_probes() {
                self.link.lost.notified().await;
            }
            sleep(PROBE_PERIOD / 2).await;
            let max = match self.link.has_restored.swap(false, Ordering::Relaxed) {
                true => MAX_PROBES_AFTER_RETURN,
                false => MAX_PROBES,
            };
            let due = self.links().begin_probes(max, self.clock.now());
            for id in due {
                let upstream = self.selector().upstream_of(&id).cloned();
                match upstream {
                    Some(upstream) => {
                        let shared = self.clone();
                        tokio::spawn(async move { shared.probe(&upstream).await });
                    }
                    None => self.links().forget(&id),
                }
            }
        }
    }

    async fn probe(self: &Arc<Self>, upstream: &Upstream) {
        let connected = self.clone().connect(upstream.id.clone(), upstream.address).await;
        if let Ok(stream) = connected {
            self.adopt(upstream, stream).await;
        }
    }

    /// Closes the idle connections that relays carry which are shutting down or gone.
    pub fn close_unusable_carried(&self) {
        let usable: BTreeSet<String> = {
            let (now, seen) = (self.clock.now(), self.last_news());
            let members = self.members();
            let staying = members.iter().filter(|(_, member)| {
                !member.health.is_leaving() && !member.health.is_absent(now, seen)
            });
            staying.map(|(name, _)| name.clone()).collect()
        };
        self.pool.close_idle_via(|name| !usable.contains(name));
        lock(&self.link.carriers).retain(|name| usable.contains(name));
    }
}
