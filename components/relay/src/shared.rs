//! State shared by the tasks and threads of a relay: the view of the store and the other relays,
//! the occupancy of the upstreams, and the phase of the process.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use cyclamengrade_control::{
    relay::{
        failure::Failure,
        owner::{self, Instance, Peer},
        registry::OUTAGE_THRESHOLD,
        route,
        selector::{Choice, Class, Key, Selector, Upstream},
    },
    time::Time,
};
use cyclamengrade_platform::{Objects, Table};
use cyclamengrade_telemetry::{event, metrics::RELAY_ATTEMPTS};
use metrics::counter;
use tokio::sync::{Notify, Semaphore, watch};

use crate::{clock::Clock, dialect::Dialect, job::row, pool::Pool};

/// The memory for request bodies is the memory of the process divided by this number. Each body is
/// held twice: once while it is read and once for sending.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// Phase in the life cycle of a relay, from running to stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The relay accepts requests.
    Running,
    /// The relay was asked to stop and still accepts connections.
    Leaving,
    /// The relay finishes requests in flight and accepts no connections.
    Draining,
    Stopped,
}

/// Which tables of the store have been read at least once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Readiness {
    /// Whether a usable configuration is in force.
    pub configuration: bool,
    pub upstreams: bool,
    /// The table of the relays and jobs.
    pub fleet: bool,
}

impl Readiness {
    /// Whether requests can be served.
    pub const fn is_ready(self) -> bool {
        self.configuration && self.upstreams && self.fleet
    }
}

/// Another relay of the fleet.
#[derive(Clone, Debug)]
pub struct Member {
    /// Address for occupancy datagrams.
    pub address: SocketAddr,
    /// Random number that identifies this start of the relay.
    pub incarnation: u64,
    /// When its last datagram arrived, or when its row was first seen.
    pub last_heard: Time,
    /// Time since it last reached the store, according to its last datagram.
    pub store_age: Duration,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Sequence number of its newest datagram.
    pub sequence: u64,
}

impl Member {
    /// Returns the state of the member at `now`. `connected` is the time since this relay regained
    /// contact with the store.
    fn peer(&self, now: Time, connected: Duration) -> Peer {
        let silence = now.since(self.last_heard);
        let store_disconnection = owner::store_disconnection(self.store_age, silence, connected);
        Peer { incarnation: self.incarnation, silence, store_disconnection, leaving: self.leaving }
    }
}

/// Row of a batch job with its version in the store.
#[derive(Clone, Debug)]
pub struct Job {
    pub version: u64,
    pub row: row::Job,
}

/// State shared by the tasks of a relay.
pub struct Shared {
    /// Name of the vm, which identifies the relay across restarts.
    pub name: String,
    /// Random number that identifies this start of the relay.
    pub incarnation: u64,
    /// Headers, paths and formats of callers, upstreams and the store.
    pub dialect: Arc<dyn Dialect>,
    pub table: Arc<dyn Table>,
    pub objects: Arc<dyn Objects>,
    /// Largest size of a row value, in bytes.
    pub row_bytes: usize,
    pub clock: Clock,
    /// Routes in force.
    pub routes: ArcSwap<route::Table>,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Memory for request bodies, in KiB.
    pub body_memory: Arc<Semaphore>,
    /// Wakes the sender of occupancy reports.
    pub occupancy_changed: Notify,
    /// Relays that are to stop batch streams because online requests of this relay need the slots.
    preemption_targets: Mutex<BTreeSet<String>>,
    /// Wakes the sender of reports to the preemption targets.
    pub preemption_needed: Notify,
    /// Wakes the dispatcher of batch items after a change that may start or stop one.
    pub batch_changed: Notify,
    /// Phase of this relay.
    pub phase: watch::Sender<Phase>,
    /// Which tables of the store have been read.
    pub readiness: watch::Sender<Readiness>,
    /// Time of the last answer of the store, in microseconds of the monotonic clock.
    last_store_contact: AtomicU64,
    /// Time of the first answer of the store after its last outage, on the same clock.
    store_connected_since: AtomicU64,
    selector: Mutex<Selector>,
    /// Other relays, by name.
    members: Mutex<BTreeMap<String, Member>>,
    /// Rows of the jobs as this relay last read them, by job id.
    jobs: Mutex<BTreeMap<String, Job>>,
    /// Incarnation in this relay's own row; `None` before the feed has delivered the row.
    own_row_incarnation: Mutex<Option<u64>>,
    /// Version up to which the feed has delivered the fleet table.
    fleet_version: AtomicU64,
}

impl Shared {
    /// Creates the state of a relay that has read nothing from the store yet.
    pub fn new(
        name: &str,
        data_centre: &str,
        incarnation: u64,
        dialect: Arc<dyn Dialect>,
        table: Arc<dyn Table>,
        objects: Arc<dyn Objects>,
        row_bytes: usize,
    ) -> Self {
        Self {
            name: name.to_owned(),
            incarnation,
            dialect,
            table,
            objects,
            row_bytes,
            clock: Clock::new(),
            routes: ArcSwap::from_pointee(route::Table::default()),
            pool: Pool::default(),
            body_memory: Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
            occupancy_changed: Notify::new(),
            preemption_targets: Mutex::default(),
            preemption_needed: Notify::new(),
            batch_changed: Notify::new(),
            phase: watch::Sender::new(Phase::Running),
            readiness: watch::Sender::new(Readiness::default()),
            last_store_contact: AtomicU64::new(0),
            store_connected_since: AtomicU64::new(0),
            selector: Mutex::new(Selector::new(name, data_centre)),
            members: Mutex::default(),
            jobs: Mutex::default(),
            own_row_incarnation: Mutex::default(),
            fleet_version: AtomicU64::new(0),
        }
    }

    /// Limits the memory for request bodies to a share of `bytes`, the memory of the process.
    pub fn with_memory(self, bytes: u64) -> Self {
        let kib = usize::try_from(bytes / BODY_MEMORY_DIVISOR / 1_024).unwrap_or(usize::MAX);
        let body_memory = Arc::new(Semaphore::new(kib.min(Semaphore::MAX_PERMITS)));
        Self { body_memory, ..self }
    }

    /// Locks the selector, which holds the upstreams and their occupancy.
    pub fn selector(&self) -> MutexGuard<'_, Selector> {
        lock(&self.selector)
    }

    /// Locks the other relays, by name.
    pub fn members(&self) -> MutexGuard<'_, BTreeMap<String, Member>> {
        lock(&self.members)
    }

    /// Returns the current state of the other relays, by name.
    pub fn peers(&self) -> BTreeMap<String, Peer> {
        let now = self.clock.now();
        let connected = now.since(Time(self.store_connected_since.load(Ordering::Relaxed)));
        let members = self.members();
        members.iter().map(|(name, member)| (name.clone(), member.peer(now, connected))).collect()
    }

    /// Identifies this start of this relay.
    pub fn as_instance(&self) -> Instance<'_> {
        Instance { name: &self.name, incarnation: self.incarnation }
    }

    /// Locks the rows of the jobs as this relay last read them, by job id.
    pub fn jobs(&self) -> MutexGuard<'_, BTreeMap<String, Job>> {
        lock(&self.jobs)
    }

    /// Identifies this start of this relay in the rows of its jobs.
    pub fn as_owner(&self) -> row::Owner {
        row::Owner { name: self.name.clone(), incarnation: self.incarnation }
    }

    /// Returns the incarnation in this relay's own row as the feed last delivered it, or `None`
    /// before the feed has delivered the row.
    pub fn own_row_incarnation(&self) -> Option<u64> {
        *lock(&self.own_row_incarnation)
    }

    /// Records the incarnation in this relay's own row.
    pub fn set_own_row_incarnation(&self, incarnation: Option<u64>) {
        *lock(&self.own_row_incarnation) = incarnation;
    }

    /// Returns the version up to which the feed has delivered the fleet table. A job row with a
    /// newer version was read directly, and the row of its owner may not have arrived yet.
    pub fn fleet_version(&self) -> u64 {
        self.fleet_version.load(Ordering::Relaxed)
    }

    /// Records the version up to which the feed has delivered the fleet table.
    pub fn set_fleet_version(&self, version: u64) {
        self.fleet_version.store(version, Ordering::Relaxed);
    }

    /// Records that the store answered.
    pub fn record_store_contact(&self) {
        let now = self.clock.now();
        let last = Time(self.last_store_contact.swap(now.0, Ordering::Relaxed));
        if now.since(last) > OUTAGE_THRESHOLD {
            self.store_connected_since.store(now.0, Ordering::Relaxed);
        }
    }

    /// Returns the time since the store last answered.
    pub fn store_age(&self) -> Duration {
        self.clock.now().since(Time(self.last_store_contact.load(Ordering::Relaxed)))
    }

    /// Waits until this relay has reached a phase or a later one.
    pub async fn wait_for_phase(&self, wanted: Phase) {
        // Cannot fail: the sender is a field of `self`.
        let _ = self.phase.subscribe().wait_for(|phase| *phase >= wanted).await;
    }

    /// Whether this relay is ready for new connections.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Running && self.readiness.borrow().is_ready()
    }

    /// Returns how many connections this relay may have open to an upstream of the deployment. The
    /// limit of the upstream is divided evenly among the relays; each may open at least one.
    pub fn max_connections(&self, deployment: &str) -> usize {
        let routes = self.routes.load();
        let limit = routes.deployments.get(deployment).and_then(|found| found.max_connections);
        let relays = self.members().len() + 1;
        limit.map_or(usize::MAX, |limit| (limit / relays).max(1))
    }

    /// Chooses an upstream for an online request and counts the request there. The upstreams in
    /// `tried` are excluded. The request has to start within `time_left`.
    pub fn acquire_online(
        self: &Arc<Self>,
        deployment: &str,
        tried: &BTreeSet<Key>,
        time_left: Duration,
    ) -> (Choice, Option<Flight>) {
        let now = self.clock.now();
        let mut selector = self.selector();
        let choice = match selector.choose_online(deployment, tried, time_left, now, rand::random())
        {
            // The recorded refusal gives the time after which the caller may retry.
            Choice::Refuse(wait, load) => {
                Choice::Refuse(selector.record_refusal(deployment, wait, now), load)
            }
            send => send,
        };
        let flight = match choice {
            Choice::Refuse(..) => None,
            Choice::Send(key, _) => selector.upstream(key).cloned().map(|upstream| {
                selector.record_start(key, Class::Online, now);
                self.request_preemption(&selector.preemption_targets(key));
                self.flight(key, Class::Online, upstream, now)
            }),
        };
        drop(selector);
        if flight.is_some() {
            self.occupancy_changed.notify_one();
            self.batch_changed.notify_one();
        }
        (choice, flight)
    }

    fn request_preemption(&self, targets: &[&str]) {
        if !targets.is_empty() {
            lock(&self.preemption_targets).extend(targets.iter().map(|name| (*name).to_owned()));
            self.preemption_needed.notify_one();
        }
    }

    /// Returns the relays to notify of a needed preemption, and clears them.
    pub fn take_preemption_targets(&self) -> BTreeSet<String> {
        std::mem::take(&mut *lock(&self.preemption_targets))
    }

    /// Chooses an upstream with a free slot for a batch item and counts the item there.
    pub fn acquire_batch(self: &Arc<Self>, deployment: &str) -> Option<Flight> {
        let now = self.clock.now();
        let mut selector = self.selector();
        let key = selector.choose_batch(deployment, now, rand::random())?;
        let upstream = selector.upstream(key).cloned()?;
        selector.record_start(key, Class::Batch, now);
        drop(selector);
        self.occupancy_changed.notify_one();
        Some(self.flight(key, Class::Batch, upstream, now))
    }

    fn flight(
        self: &Arc<Self>,
        key: Key,
        class: Class,
        upstream: Upstream,
        started: Time,
    ) -> Flight {
        Flight { shared: self.clone(), key, class, upstream, started, responded: false }
    }
}

/// A request in flight to an upstream. It is counted there until this value is dropped.
pub struct Flight {
    shared: Arc<Shared>,
    /// Key of the upstream in the selector.
    pub key: Key,
    class: Class,
    pub upstream: Upstream,
    /// When the request was sent.
    pub started: Time,
    /// Whether a byte of the response has arrived.
    responded: bool,
}

impl Flight {
    /// Records that bytes of the response arrived.
    pub fn record_bytes(&mut self) {
        let now = self.shared.clock.now();
        let mut selector = self.shared.selector();
        selector.record_bytes(self.key, now);
        if !self.responded {
            self.responded = true;
            selector.record_response_time(self.key, now.since(self.started));
        }
    }

    /// Returns the connections to upstreams.
    pub fn pool(&self) -> &Pool {
        &self.shared.pool
    }

    /// Records that the complete response arrived.
    pub fn record_success(&self) {
        counter!(RELAY_ATTEMPTS, "outcome" => "ok").increment(1);
        if self.class == Class::Online {
            let elapsed = self.shared.clock.now().since(self.started);
            self.shared.selector().record_service_time(self.key, elapsed);
        }
    }

    /// Records a failed attempt. Ejects the upstream for a time if it caused the failure.
    pub fn record_failure(&self, failure: Failure) {
        counter!(RELAY_ATTEMPTS, "outcome" => failure.name()).increment(1);
        let now = self.shared.clock.now();
        let ejection = self.shared.selector().record_failure(self.key, failure, now);
        if let Some(ejection) = ejection {
            self.shared.occupancy_changed.notify_one();
            event!(
                UpstreamPaused,
                upstream:% = self.upstream.id,
                failure:% = failure.name(),
                pause_ms = ejection.as_millis() as u64
            );
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.shared.selector().record_end(self.key, self.class);
        self.shared.occupancy_changed.notify_one();
        self.shared.batch_changed.notify_one();
    }
}

/// Locks a mutex, and ignores its poisoning by a thread that panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
