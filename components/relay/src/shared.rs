//! State shared by the tasks and threads of a relay: the view of the store and the other relays,
//! the upstreams, and the phase of the process.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use cyclamengrade_control::{
    relay::{
        broker::Broker,
        monitor::Health,
        owner::{self, Instance, Peer},
        registry::OUTAGE_THRESHOLD,
        route,
        selector::Selector,
        stop::Stop,
    },
    time::Time,
};
use cyclamengrade_peer::slots::Content;
use cyclamengrade_platform::{Objects, Table};
use cyclamengrade_telemetry::event;
use tokio::{
    sync::{Notify, watch},
    time::sleep,
};

use crate::{
    allowance::Allowance, clock::Clock, dialect::Dialect, evidence, job::row, learned::Learned,
    leaving::Leaving, link, listing::Listing, memory::Budget, origin::Cache, pool::Pool,
    quarantine::Ledger, roll_call, slots::Slots,
};

/// The memory for request bodies is the memory of the process divided by this number. Each body is
/// held twice: once while it is read and once for sending.
const BODY_MEMORY_DIVISOR: u64 = 4;
/// The memory for responses that are collected is the memory of the process divided by this number.
const RESPONSE_MEMORY_DIVISOR: u64 = 8;
/// The memory for events that wait for their callers is the memory of the process divided by this number.
const EVENT_MEMORY_DIVISOR: u64 = 8;

/// Number of relays that observe the liveness of all.
pub const MONITORS: usize = 3;
/// Key under which the monitors are chosen.
pub const MONITOR_KEY: &str = "monitor";

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
    /// Address for messages about slots.
    pub address: SocketAddr,
    /// Random number that identifies this start of the relay.
    pub incarnation: u64,
    /// Processing capacity, see [`row::Member::capacity`].
    pub capacity: u32,
    /// When it joined, on the store's clock in milliseconds.
    pub joined_ms: u64,
    pub health: Health,
}

impl Member {
    /// Returns the state of the member according to news of the time `seen`. `connected` is the time
    /// since this relay regained contact with the store.
    fn peer(&self, now: Time, seen: Time, connected: Duration) -> Peer {
        let (incarnation, leaving) = (self.incarnation, self.health.is_leaving());
        if self.health.has_store_sign(now) {
            let (silence, store_disconnection) = (Duration::ZERO, Duration::ZERO);
            return Peer { incarnation, silence, store_disconnection, leaving };
        }
        let silence = self.health.silence(seen);
        let store_disconnection =
            owner::store_disconnection(self.health.store_age(), silence, connected);
        Peer { incarnation, silence, store_disconnection, leaving }
    }
}

/// The row of this relay in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnRow {
    pub version: u64,
    /// Incarnation in the row; `None` if the row was deleted or cannot be read.
    pub incarnation: Option<u64>,
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
    /// Links to upstreams, and connections that are carried for other relays.
    pub link: link::State,
    /// Upstreams that said that they are leaving.
    pub leaving: Leaving,
    /// Whether the list of upstreams is current.
    pub listing: Listing,
    /// Whether the configuration is current.
    pub(crate) evidence: evidence::State,
    /// Memory of the process, in bytes.
    pub memory_bytes: u64,
    /// Memory for request bodies.
    pub body_memory: Budget,
    /// Memory for response bodies that are collected before they are forwarded.
    pub response_memory: Budget,
    /// Memory for large events of streams that are incomplete or wait for their callers.
    pub event_memory: Budget,
    /// Data centre of the vm.
    pub data_centre: String,
    /// Slots that this relay holds and requests for slots.
    pub slots: Slots,
    /// Paces and speeds of upstreams that brokers told.
    pub(crate) learned: Learned,
    /// Slots that this relay grants to others.
    broker: Mutex<Broker>,
    /// Address for messages about slots and the processing capacity of this relay.
    peer: OnceLock<(SocketAddr, u32)>,
    /// When this relay joined, on the store's clock in milliseconds.
    joined_ms: AtomicU64,
    /// Time of the last news of the other relays' state, in microseconds of the monotonic clock.
    last_news: AtomicU64,
    /// Up to when this relay has read what the others sent.
    heard_until: AtomicU64,
    /// Wakes the dispatcher of batch items after a change that may start or stop one.
    pub batch_changed: Notify,
    /// Phase of this relay.
    pub phase: watch::Sender<Phase>,
    has_failed: watch::Sender<bool>,
    /// Times of the planned stop, once one was asked for.
    stop: watch::Sender<Option<Stop>>,
    /// Which tables of the store have been read.
    pub readiness: watch::Sender<Readiness>,
    /// Time of the last answer of the store, in microseconds of the monotonic clock.
    last_store_contact: AtomicU64,
    /// Time of the first answer of the store after its last outage, on the same clock.
    store_connected_since: AtomicU64,
    /// Software versions that began recent streams.
    pub origins: Cache,
    /// Parts of prompts that end upstreams.
    pub quarantine: Ledger,
    /// Quotas of client accounts.
    pub(crate) allowance: Allowance,
    selector: Mutex<Selector>,
    /// Other relays, by name.
    members: Mutex<BTreeMap<String, Member>>,
    /// Rows of the jobs as this relay last read them, by job id.
    jobs: Mutex<BTreeMap<String, Job>>,
    /// This relay's own row as the feed last delivered it.
    own_row: Mutex<Option<OwnRow>>,
    /// Roll calls, see [`roll_call`].
    pub(crate) roll_calls: roll_call::State,
    /// Version up to which the feed has delivered the fleet table.
    fleet_version: AtomicU64,
    /// Time of the last answer of the feed of the fleet table, in microseconds of the monotonic
    /// clock.
    last_fleet_answer: AtomicU64,
    /// Tokens of the jobs that this relay is storing, by name of the route and account.
    pub(crate) reserved_tokens: Mutex<BTreeMap<(String, Option<String>), u64>>,
    /// Time within which a change of the configuration has to be in force.
    pub apply_time: Duration,
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
        let clock = Clock::new();
        let allowance = Allowance::new(clock.now());
        Self {
            name: name.to_owned(),
            incarnation,
            dialect,
            table,
            objects,
            row_bytes,
            clock,
            routes: ArcSwap::from_pointee(route::Table::default()),
            pool: Pool::default(),
            link: link::State::default(),
            leaving: Leaving::default(),
            listing: Listing::default(),
            evidence: evidence::State::default(),
            memory_bytes: u64::MAX,
            body_memory: Budget::new(u64::MAX),
            response_memory: Budget::new(u64::MAX),
            event_memory: Budget::new(u64::MAX),
            data_centre: data_centre.to_owned(),
            slots: Slots::default(),
            learned: Learned::default(),
            broker: Mutex::default(),
            peer: OnceLock::new(),
            joined_ms: AtomicU64::new(u64::MAX),
            last_news: AtomicU64::new(0),
            heard_until: AtomicU64::new(0),
            batch_changed: Notify::new(),
            phase: watch::Sender::new(Phase::Running),
            has_failed: watch::Sender::new(false),
            stop: watch::Sender::default(),
            readiness: watch::Sender::new(Readiness::default()),
            last_store_contact: AtomicU64::new(0),
            store_connected_since: AtomicU64::new(0),
            origins: Cache::default(),
            quarantine: Ledger::default(),
            allowance,
            selector: Mutex::new(Selector::new(data_centre)),
            members: Mutex::default(),
            jobs: Mutex::default(),
            own_row: Mutex::default(),
            roll_calls: roll_call::State::default(),
            fleet_version: AtomicU64::new(0),
            last_fleet_answer: AtomicU64::new(0),
            reserved_tokens: Mutex::default(),
            apply_time: Duration::MAX,
        }
    }

    /// Sets the time within which a change of the configuration has to be in force.
    pub fn with_apply_time(self, apply_time: Duration) -> Self {
        Self { apply_time, ..self }
    }

    /// Limits the memory for request and response bodies and for events to shares of `bytes`, the memory of the process.
    pub fn with_memory(self, bytes: u64) -> Self {
        Self {
            memory_bytes: bytes,
            body_memory: Budget::new(bytes / BODY_MEMORY_DIVISOR),
            response_memory: Budget::new(bytes / RESPONSE_MEMORY_DIVISOR),
            event_memory: Budget::new(bytes / EVENT_MEMORY_DIVISOR),
            ..self
        }
    }

    /// Locks the selector, which holds the upstreams and their occupancy.
    pub fn selector(&self) -> MutexGuard<'_, Selector> {
        lock(&self.selector)
    }

    /// Locks the other relays, by name.
    pub fn members(&self) -> MutexGuard<'_, BTreeMap<String, Member>> {
        lock(&self.members)
    }

    /// Locks the slots that this relay grants to others.
    pub fn broker_state(&self) -> MutexGuard<'_, Broker> {
        lock(&self.broker)
    }

    /// Sets the address for messages about slots and the processing capacity of this relay. Later
    /// calls have no effect.
    pub fn set_peer(&self, address: SocketAddr, capacity: u32) {
        let _ = self.peer.set((address, capacity));
    }

    /// Returns the address for messages about slots.
    pub fn address(&self) -> SocketAddr {
        self.peer.get().map_or_else(|| (Ipv4Addr::LOCALHOST, 0).into(), |(address, _)| *address)
    }

    /// Returns the processing capacity of this relay.
    pub fn capacity(&self) -> u32 {
        self.peer.get().map_or(0, |(_, capacity)| *capacity)
    }

    /// Sends a message to another relay, or to this one. Its delivery is not confirmed.
    pub fn send(&self, to: SocketAddr, content: Content) {
        self.slots.send(self.incarnation, to, content);
    }

    /// Returns when this relay joined, on the store's clock in milliseconds; the latest time before
    /// it has joined.
    pub fn joined_ms(&self) -> u64 {
        self.joined_ms.load(Ordering::Relaxed)
    }

    /// Records when this relay joined, on the store's clock in milliseconds.
    pub fn set_joined_ms(&self, ms: u64) {
        self.joined_ms.store(ms, Ordering::Relaxed);
    }

    /// Records that a regular message was sent to another relay.
    pub fn record_report(&self, name: &str, now: Time) {
        if let Some(member) = self.members().get_mut(name) {
            member.health.record_report(now);
        }
    }

    /// Records that another relay did not answer in time.
    pub fn record_miss(&self, name: &str, now: Time) {
        if let Some(member) = self.members().get_mut(name) {
            member.health.record_miss(now);
        }
    }

    /// Records that another relay answered.
    pub fn record_answer(&self, incarnation: u64, now: Time) {
        let mut members = self.members();
        let member = members.values_mut().find(|member| member.incarnation == incarnation);
        if let Some(member) = member {
            member.health.record_answer(now);
        }
    }

    /// Records that another relay said that it is shutting down.
    pub fn record_leaving(&self, incarnation: u64) {
        let mut members = self.members();
        let member = members.iter_mut().find(|(_, member)| member.incarnation == incarnation);
        if let Some((name, member)) = member
            && member.health.record_leaving()
        {
            event!(MemberLeaving, member:% = name);
        }
    }

    /// Records that a monitor told the state of the other relays.
    pub fn record_news(&self, now: Time) {
        self.last_news.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Records that this relay has read all messages that had arrived at `now`.
    pub fn record_heard(&self, now: Time) {
        self.heard_until.store(now.0, Ordering::Relaxed);
    }

    /// Returns the time of the last news of the other relays' state.
    pub fn last_news(&self) -> Time {
        Time(self.last_news.load(Ordering::Relaxed))
    }

    /// Passes the upstreams to the broker.
    pub fn publish_places(&self) {
        let places = self.selector().places();
        self.broker_state().set_places(places);
    }

    /// Returns the current state of the other relays, by name.
    pub fn peers(&self) -> BTreeMap<String, Peer> {
        let now = self.clock.now();
        let connected = self.store_connection_time(now);
        self.observe(now);
        let seen = self.last_news();
        let members = self.members();
        let state = |member: &Member| member.peer(now, seen, connected);
        members.iter().map(|(name, member)| (name.clone(), state(member))).collect()
    }

    /// Records what this relay observes if it is a monitor. Its own observation is ignored when it
    /// hears nothing from most relays of a larger fleet, because then it is more likely cut off;
    /// [`Self::tick_roll_call`] asks the store then. Returns whether it is ignored.
    pub(crate) fn observe(&self, now: Time) -> bool {
        let monitors = self.servers(MONITOR_KEY, MONITORS, now);
        if !monitors.iter().any(|(name, _)| *name == self.name) {
            return false;
        }
        // Messages that came while this process was stopped wait to be read.
        let heard = Time(self.heard_until.load(Ordering::Relaxed));
        let seen = self.last_news();
        let mut members = self.members();
        let present = || members.values().filter(|member| !member.health.is_absent(now, seen));
        let (present, silent) = (
            present().count(),
            present()
                .filter(|member| member.health.own_silence(heard) > owner::PEER_TIMEOUT)
                .count(),
        );
        if present >= MONITORS && silent * 2 > present {
            return true;
        }
        for member in members.values_mut() {
            member.health.record_own_observation();
        }
        drop(members);
        self.record_news(heard);
        false
    }

    /// Returns the names of the other relays, without those that are gone.
    pub fn present_members(&self) -> Vec<String> {
        let (now, seen) = (self.clock.now(), self.last_news());
        let members = self.members();
        let present = members.iter().filter(|(_, member)| !member.health.is_absent(now, seen));
        present.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the number of relays, with this one and without those that are gone.
    pub fn relay_count(&self) -> usize {
        let (now, seen) = (self.clock.now(), self.last_news());
        let members = self.members();
        members.values().filter(|member| !member.health.is_absent(now, seen)).count() + 1
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

    /// Returns this relay's own row as the feed last delivered it, or `None` before the feed has
    /// delivered the row.
    pub fn own_row(&self) -> Option<OwnRow> {
        *lock(&self.own_row)
    }

    /// Records this relay's own row.
    pub fn set_own_row(&self, row: OwnRow) {
        *lock(&self.own_row) = Some(row);
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

    /// Records that the feed of the fleet table answered.
    pub fn record_fleet_answer(&self) {
        self.last_fleet_answer.store(self.clock.now().0, Ordering::Relaxed);
    }

    /// Returns the time since the feed of the fleet table last answered.
    pub fn fleet_age(&self) -> Duration {
        self.clock.now().since(Time(self.last_fleet_answer.load(Ordering::Relaxed)))
    }

    /// Records that the store answered.
    pub fn record_store_contact(&self) {
        let now = self.clock.now();
        let last = Time(self.last_store_contact.swap(now.0, Ordering::Relaxed));
        if now.since(last) > OUTAGE_THRESHOLD {
            self.store_connected_since.store(now.0, Ordering::Relaxed);
        }
    }

    /// Returns the time for which this relay has been connected to the store without an outage; zero
    /// during one.
    pub(crate) fn store_connection_time(&self, now: Time) -> Duration {
        if self.store_age() > OUTAGE_THRESHOLD {
            return Duration::ZERO;
        }
        now.since(Time(self.store_connected_since.load(Ordering::Relaxed)))
    }

    /// Returns the time since the store last answered.
    pub fn store_age(&self) -> Duration {
        self.clock.now().since(Time(self.last_store_contact.load(Ordering::Relaxed)))
    }

    /// Records that a task without which this relay cannot serve has ended.
    pub fn fail(&self) {
        self.has_failed.send_replace(true);
    }

    /// Whether a task without which this relay cannot serve has ended.
    pub fn has_failed(&self) -> bool {
        *self.has_failed.borrow()
    }

    /// Waits until a task without which this relay cannot serve has ended.
    pub async fn wait_for_failure(&self) {
        // Cannot fail: the sender is a field of `self`.
        let _ = self.has_failed.subscribe().wait_for(|has_failed| *has_failed).await;
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self, stop: Stop) {
        self.stop.send_replace(Some(stop));
        self.phase.send_replace(Phase::Leaving);
        self.forget_brokers();
        self.forget_owners();
    }

    /// Whether a request on a route that may take until `deadline` is accepted: there is no planned stop,
    /// or the request fits into the time that is left.
    pub fn accepts(&self, route: &route::Route, deadline: Time) -> bool {
        let Some(stop) = *self.stop.borrow() else { return true };
        let average = {
            let selector = self.selector();
            route.deployments().map(|name| selector.service_time(name)).max().unwrap_or_default()
        };
        stop.accepts(self.clock.now(), route.kind, deadline, average)
    }

    /// Returns the time at which requests in flight get their final answers, during a planned stop.
    pub fn answer_by(&self) -> Option<Time> {
        self.stop.borrow().map(|stop| stop.answer_by)
    }

    /// Waits until the requests in flight have to get their final answers because of a planned stop.
    pub async fn wait_for_final_answers(&self) {
        // Cannot fail: the sender is a field of `self`.
        let _ = self.stop.subscribe().wait_for(Option::is_some).await;
        if let Some(answer_by) = self.answer_by() {
            sleep(answer_by.since(self.clock.now())).await;
        }
    }

    /// Waits until this relay has reached a phase or a later one.
    pub async fn wait_for_phase(&self, wanted: Phase) {
        // Cannot fail: the sender is a field of `self`.
        let _ = self.phase.subscribe().wait_for(|phase| *phase >= wanted).await;
    }

    /// Whether this relay is ready for new connections.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Running
            && self.readiness.borrow().is_ready()
            && !self.has_old_evidence()
    }

    /// Returns how many connections this relay may have open to an upstream of the deployment. The
    /// limit of the upstream is divided evenly among the relays; each may open at least one.
    pub fn max_connections(&self, deployment: &str) -> usize {
        let routes = self.routes.load();
        let limit = routes.deployments.get(deployment).and_then(|found| found.max_connections);
        limit.map_or(usize::MAX, |limit| (limit / self.relay_count()).max(1))
    }
}

/// Locks a mutex, and ignores its poisoning by a thread that panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
