//! What the parts of a relay share.

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

/// Part of the memory of the process that bodies of requests may take: a quarter, since each is held
/// once for sending and once while it is read.
const BODY_SHARE: u64 = 4;

/// Life of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It takes requests.
    Running,
    /// It was asked to stop and still takes connections.
    Leaving,
    /// It finishes requests and takes no connections.
    Draining,
    /// Everything has ended.
    Stopped,
}

/// Which parts of the store were read at least once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Known {
    /// The configuration.
    pub configuration: bool,
    /// The upstreams.
    pub upstreams: bool,
    /// The relays and jobs.
    pub fleet: bool,
}

impl Known {
    /// Whether requests can be served.
    pub const fn is_ready(self) -> bool {
        self.configuration && self.upstreams && self.fleet
    }
}

/// Another relay.
#[derive(Clone, Debug)]
pub struct Member {
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Differs for each start.
    pub incarnation: u64,
    /// When it was last heard, or listed for the first time.
    pub heard: Time,
    /// Time since it last reached the store, as it said itself.
    pub store_age: Duration,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Sequence of its newest datagram.
    pub sequence: u64,
}

impl Member {
    /// What is known of it now, by a relay that has been in touch with the store for a time.
    fn peer(&self, now: Time, in_touch: Duration) -> Peer {
        let silence = now.since(self.heard);
        let store_disconnection = owner::store_disconnection(self.store_age, silence, in_touch);
        Peer { incarnation: self.incarnation, silence, store_disconnection, leaving: self.leaving }
    }
}

/// A batch job as the store has it.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Version of its row.
    pub version: u64,
    /// Its row.
    pub row: row::Job,
}

/// What the parts of a relay share.
pub struct Shared {
    /// Name of this vm.
    pub name: String,
    /// Differs for each start.
    pub incarnation: u64,
    /// What is spoken.
    pub dialect: Arc<dyn Dialect>,
    /// Rows of the store.
    pub table: Arc<dyn Table>,
    /// Objects of the store.
    pub objects: Arc<dyn Objects>,
    /// Bytes of the largest row value.
    pub row_bytes: usize,
    /// Clocks.
    pub clock: Clock,
    /// Routes in force.
    pub routes: ArcSwap<route::Table>,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Room in memory for the bodies of requests, in KiB.
    pub room: Arc<Semaphore>,
    /// Wakes the sender of datagrams.
    pub occupancy_changed: Notify,
    /// Relays whose batch streams have to make room for online requests of this one.
    holders: Mutex<BTreeSet<String>>,
    /// Wakes the sender of datagrams to them.
    pub room_needed: Notify,
    /// Wakes the dispatcher of batch items.
    pub batch_changed: Notify,
    /// Life of this relay.
    pub phase: watch::Sender<Phase>,
    /// What was read of the store.
    pub known: watch::Sender<Known>,
    /// When the store last answered.
    store_heard: AtomicU64,
    /// When it answered again after the last outage.
    store_back: AtomicU64,
    fleet: Mutex<Selector>,
    members: Mutex<BTreeMap<String, Member>>,
    jobs: Mutex<BTreeMap<String, Listed>>,
    own_listing: Mutex<Option<u64>>,
    /// Version up to which the feed has brought relays and jobs.
    fleet_version: AtomicU64,
}

impl Shared {
    /// The state of a relay that knows nothing yet.
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
            room: Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
            occupancy_changed: Notify::new(),
            holders: Mutex::default(),
            room_needed: Notify::new(),
            batch_changed: Notify::new(),
            phase: watch::Sender::new(Phase::Running),
            known: watch::Sender::new(Known::default()),
            store_heard: AtomicU64::new(0),
            store_back: AtomicU64::new(0),
            fleet: Mutex::new(Selector::new(name, data_centre)),
            members: Mutex::default(),
            jobs: Mutex::default(),
            own_listing: Mutex::default(),
            fleet_version: AtomicU64::new(0),
        }
    }

    /// Bounds the memory that the bodies of requests take, by that of the process.
    pub fn with_memory(self, bytes: u64) -> Self {
        let units = usize::try_from(bytes / BODY_SHARE / 1_024).unwrap_or(usize::MAX);
        let room = Arc::new(Semaphore::new(units.min(Semaphore::MAX_PERMITS)));
        Self { room, ..self }
    }

    /// Upstreams and their occupancy.
    pub fn fleet(&self) -> MutexGuard<'_, Selector> {
        lock(&self.fleet)
    }

    /// The other relays.
    pub fn members(&self) -> MutexGuard<'_, BTreeMap<String, Member>> {
        lock(&self.members)
    }

    /// What is known of the other relays, by name.
    pub fn peers(&self) -> BTreeMap<String, Peer> {
        let now = self.clock.now();
        let in_touch = now.since(Time(self.store_back.load(Ordering::Relaxed)));
        let members = self.members();
        members.iter().map(|(name, member)| (name.clone(), member.peer(now, in_touch))).collect()
    }

    /// This start of this relay.
    pub fn as_start(&self) -> Instance<'_> {
        Instance { name: &self.name, incarnation: self.incarnation }
    }

    /// The jobs in the store.
    pub fn jobs(&self) -> MutexGuard<'_, BTreeMap<String, Listed>> {
        lock(&self.jobs)
    }

    /// This start of this relay, as the rows of its jobs name it.
    pub fn as_owner(&self) -> row::Owner {
        row::Owner { name: self.name.clone(), incarnation: self.incarnation }
    }

    /// Incarnation in this relay's own row, as the feed last brought it.
    pub fn own_listing(&self) -> Option<u64> {
        *lock(&self.own_listing)
    }

    /// Records the incarnation in this relay's own row.
    pub fn set_own_listing(&self, incarnation: Option<u64>) {
        *lock(&self.own_listing) = incarnation;
    }

    /// Version up to which the feed has brought relays and jobs. What is known of a job beyond it was
    /// read by itself, and its owner may not be known yet.
    pub fn fleet_version(&self) -> u64 {
        self.fleet_version.load(Ordering::Relaxed)
    }

    /// Records how far the feed has come.
    pub fn set_fleet_version(&self, version: u64) {
        self.fleet_version.store(version, Ordering::Relaxed);
    }

    /// Records that the store answered.
    pub fn hear_store(&self) {
        let now = self.clock.now();
        let last = Time(self.store_heard.swap(now.0, Ordering::Relaxed));
        if now.since(last) > OUTAGE_THRESHOLD {
            self.store_back.store(now.0, Ordering::Relaxed);
        }
    }

    /// Time since the store last answered.
    pub fn store_age(&self) -> Duration {
        self.clock.now().since(Time(self.store_heard.load(Ordering::Relaxed)))
    }

    /// Completes when the life of this relay has come to a phase.
    pub async fn reached(&self, wanted: Phase) {
        // The sender lives as long as this.
        let _ = self.phase.subscribe().wait_for(|phase| *phase >= wanted).await;
    }

    /// Whether this relay takes new connections.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Running && self.known.borrow().is_ready()
    }

    /// Connections that this relay may have open to an upstream of the deployment, so that all
    /// relays together stay within its bound.
    pub fn most_connections(&self, deployment: &str) -> usize {
        let routes = self.routes.load();
        let bound = routes.deployments.get(deployment).and_then(|found| found.max_connections);
        let relays = self.members().len() + 1;
        bound.map_or(usize::MAX, |bound| (bound / relays).max(1))
    }

    /// Chooses an upstream for an online request and counts the request there.
    pub fn place(
        self: &Arc<Self>,
        deployment: &str,
        tried: &BTreeSet<Key>,
        left: Duration,
    ) -> (Choice, Option<Flight>) {
        let now = self.clock.now();
        let mut fleet = self.fleet();
        let choice = match fleet.choose_online(deployment, tried, left, now, rand::random()) {
            Choice::Refuse(wait, view) => {
                Choice::Refuse(fleet.record_refusal(deployment, wait, now), view)
            }
            send => send,
        };
        let flight = match choice {
            Choice::Refuse(..) => None,
            Choice::Send(key, _) => fleet.upstream(key).cloned().map(|upstream| {
                fleet.record_start(key, Class::Online, now);
                self.ask_for_room(&fleet.preemption_targets(key));
                self.flight(key, Class::Online, upstream, now)
            }),
        };
        drop(fleet);
        if flight.is_some() {
            self.occupancy_changed.notify_one();
            self.batch_changed.notify_one();
        }
        (choice, flight)
    }

    fn ask_for_room(&self, holders: &[&str]) {
        if !holders.is_empty() {
            lock(&self.holders).extend(holders.iter().map(|name| (*name).to_owned()));
            self.room_needed.notify_one();
        }
    }

    /// The relays that have to make room, each once.
    pub fn take_holders(&self) -> BTreeSet<String> {
        std::mem::take(&mut *lock(&self.holders))
    }

    /// Chooses an upstream for a batch item and counts the item there.
    pub fn place_spare(self: &Arc<Self>, deployment: &str) -> Option<Flight> {
        let now = self.clock.now();
        let mut fleet = self.fleet();
        let key = fleet.choose_batch(deployment, now, rand::random())?;
        let upstream = fleet.upstream(key).cloned()?;
        fleet.record_start(key, Class::Batch, now);
        drop(fleet);
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

/// A request at an upstream, counted there until this is dropped.
pub struct Flight {
    shared: Arc<Shared>,
    /// Key of the upstream.
    pub key: Key,
    class: Class,
    /// The upstream.
    pub upstream: Upstream,
    /// When the request was sent.
    pub started: Time,
    responded: bool,
}

impl Flight {
    /// Records that bytes of the answer arrived.
    pub fn progress(&mut self) {
        let now = self.shared.clock.now();
        let mut fleet = self.shared.fleet();
        fleet.record_bytes(self.key, now);
        if !self.responded {
            self.responded = true;
            fleet.record_response_time(self.key, now.since(self.started));
        }
    }

    /// Connections to upstreams.
    pub fn pool(&self) -> &Pool {
        &self.shared.pool
    }

    /// Records that the whole answer arrived.
    pub fn served(&self) {
        counter!(RELAY_ATTEMPTS, "outcome" => "ok").increment(1);
        if self.class == Class::Online {
            let elapsed = self.shared.clock.now().since(self.started);
            self.shared.fleet().record_service_time(self.key, elapsed);
        }
    }

    /// Records a failure; the upstream is passed over for a while when it is to blame.
    pub fn failed(&self, failure: Failure) {
        counter!(RELAY_ATTEMPTS, "outcome" => failure.name()).increment(1);
        let now = self.shared.clock.now();
        let pause = self.shared.fleet().record_failure(self.key, failure, now);
        if let Some(pause) = pause {
            self.shared.occupancy_changed.notify_one();
            event!(
                UpstreamPaused,
                upstream:% = self.upstream.id,
                failure:% = failure.name(),
                pause_ms = pause.as_millis() as u64
            );
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.shared.fleet().record_end(self.key, self.class);
        self.shared.occupancy_changed.notify_one();
        self.shared.batch_changed.notify_one();
    }
}

/// Locks; a panic of another thread while it held the lock does not spread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
