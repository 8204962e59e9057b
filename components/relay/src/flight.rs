//! Requests in flight to upstreams, and how they get their upstreams.

use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use cyclamengrade_control::{
    relay::{
        broker::{Charge, Class, Load, Ticket},
        failure::Failure,
        limit::{self, Limit, Rate},
        origin::Software,
        quarantine::Part,
        selector::{Choice, Key, Upstream},
    },
    time::Time,
};
use cyclamengrade_telemetry::{event, metrics::RELAY_ATTEMPTS};
use metrics::counter;
use tokio::time::sleep;

use crate::{
    dialect::Headers,
    link,
    memory::Budget,
    meter::Meter,
    pool::{Connection, Path, Pool},
    shared::Shared,
    slots::{Need, Outcome, Placement},
};

/// A request in flight to an upstream. It is counted there until this value is dropped.
pub struct Flight {
    shared: Arc<Shared>,
    /// Key of the upstream in the selector.
    pub key: Key,
    class: Class,
    /// Slot that the request holds.
    pub ticket: Ticket,
    pub upstream: Upstream,
    /// When the request was sent.
    pub started: Time,
    /// The same in running time.
    started_running: Time,
    /// Whether a byte of the response has arrived.
    responded: bool,
    meter: Meter,
    /// What the request has in common with others, see [`Part`].
    parts: Arc<[Part]>,
    /// Whether the upstream has begun to answer.
    has_answered: bool,
    /// Whether the request may have reached the upstream.
    is_sent: AtomicBool,
    /// Running time at which the response last went on, or since when this relay waits for it, in
    /// microseconds.
    progress: AtomicU64,
    /// Connection that was opened before the request gets it.
    reserved: Option<Connection>,
    /// Whether a failure to connect, a broken connection or silence may be due to a link and not to
    /// the upstream.
    is_excused: bool,
}

impl Flight {
    /// Sets what the request has in common with others.
    pub fn with_parts(mut self, parts: Arc<[Part]>) -> Self {
        self.parts = parts;
        self
    }

    /// Records whether the request may have reached the upstream.
    pub fn set_sent(&self, is_sent: bool) {
        self.is_sent.store(is_sent, Ordering::Relaxed);
    }

    /// Records that the response went on, or that this relay begins to wait for it.
    pub fn record_progress(&self) {
        self.progress.store(self.shared.clock.running().0, Ordering::Relaxed);
    }

    /// Waits until the response has not gone on for `limit` of running time.
    pub async fn silence(&self, limit: Duration) {
        loop {
            let progress = Time(self.progress.load(Ordering::Relaxed));
            let silence = self.shared.clock.running().since(progress);
            let left = limit.saturating_sub(silence);
            if left.is_zero() {
                return;
            }
            sleep(left).await;
        }
    }

    /// Records that an event of the response, or all of it, arrived.
    pub fn record_answer(&mut self) {
        self.record_bytes();
        if !std::mem::replace(&mut self.has_answered, true) {
            self.shared.record_answered_parts(&self.parts);
        }
    }

    /// Records an event of the response, or all of it if it has no events.
    pub fn record_event(&mut self) {
        self.record_answer();
        if self.meter.record_event(self.shared.clock.now())
            && let Some(measure) = self.meter.measure(self.ticket)
        {
            self.shared.report_first(measure);
        }
    }

    /// Records that bytes of the response arrived.
    pub fn record_bytes(&mut self) {
        if !self.responded && !self.is_excused {
            self.shared.record_response(&self.upstream.id);
        }
        let clock = &self.shared.clock;
        let mut selector = self.shared.selector();
        selector.record_bytes(self.key, clock.running());
        if !self.responded {
            self.responded = true;
            selector.record_response_time(self.key, clock.now().since(self.started));
        }
    }

    /// Records that a response said that the upstream is leaving.
    pub fn record_leaving(&self) {
        let is_new = self.shared.selector().record_leaving(self.key);
        if is_new {
            self.shared.hear_leaving(&self.upstream);
            self.shared.publish_places();
            self.shared.mark_all_dirty();
            event!(
                UpstreamLeaving,
                upstream:% = self.upstream.id,
                deployment:% = self.upstream.deployment
            );
        }
    }

    /// Records the limit that a response named, or that it named none.
    pub fn record_limit(&self, rate: Option<Rate>) {
        let known_at = match rate {
            Some(_) => self.shared.clock.now(),
            None => self.started,
        };
        let is_changed = self.shared.selector().record_limit(self.key, Limit { rate, known_at });
        if is_changed {
            let place = self.shared.selector().place(self.key);
            if let Some((shard, _)) = place {
                self.shared.mark_dirty(shard);
            }
            self.shared.log_limit(self.key, "response");
        }
    }

    /// Whether the upstream has the given software, if one is given.
    pub fn suits(&self, software: Option<Software>) -> bool {
        software.is_none_or(|software| software == self.upstream.software())
    }

    /// Whether the request may be sent once more to the same upstream with the slot that it holds: the
    /// upstream is still in use and names no limit, of which only a broker may take.
    pub fn may_repeat(&self) -> bool {
        let is_usable = {
            let selector = self.shared.selector();
            let (id, software) = (selector.short_id(self.key), self.upstream.software());
            let (tried, running) = (BTreeSet::new(), self.shared.clock.running());
            let usable = selector.usable_key(id, Some(software), &tried, running);
            let is_limited = selector.limit(self.key).is_some_and(|limit| limit.rate.is_some());
            usable == Some(self.key) && !is_limited
        };
        is_usable && self.is_same_start()
    }

    /// Whether the upstream is listed as the start that the request was sent to. An upstream may start
    /// again under its id, also with other software.
    pub fn is_same_start(&self) -> bool {
        let selector = self.shared.selector();
        let listed = selector.upstream_of(&self.upstream.id);
        listed.is_none_or(|listed| listed.is_same_start(&self.upstream))
    }

    /// The same, by a list that is certainly current. The store is asked only if the list is not followed.
    pub async fn is_surely_same_start(&self) -> bool {
        let is_current =
            self.shared.is_listing_followed() || self.shared.is_listing_current().await;
        is_current && self.is_same_start()
    }

    /// Opens a connection for the request with this id, which [`Self::connect`] returns.
    ///
    /// # Errors
    ///
    /// Fails if there is none. Nothing was sent.
    pub async fn reserve_connection(
        &mut self,
        max: usize,
        request_id: &str,
    ) -> Result<(), Failure> {
        self.reserved = Some(self.connect(max, request_id).await?);
        Ok(())
    }

    /// Returns a connection for the request with this id.
    ///
    /// # Errors
    ///
    /// Fails if there is none. Nothing was sent.
    pub async fn connect(&mut self, max: usize, request_id: &str) -> Result<Connection, Failure> {
        if let Some(reserved) = self.reserved.take() {
            return Ok(reserved);
        }
        let Upstream { id, address, .. } = &self.upstream;
        let acquired =
            self.shared.acquire_connection(id, *address, max, self.class, request_id).await;
        self.is_excused = match &acquired {
            Ok(connection) => connection.path != Path::Direct,
            Err(unavailable) => !unavailable.is_upstream_fault(),
        };
        acquired.map_err(|_| Failure::NotSent)
    }

    /// Returns what checks the link of a connection to the upstream while it is silent.
    pub fn link_check(&self, path: &Path) -> Option<link::Check> {
        (*path == Path::Direct).then(|| link::Check::new(&self.shared, &self.upstream.id))
    }

    /// Whether the upstream is not to blame for a failure, which may be due to a link.
    fn excuses(&self, failure: Failure) -> bool {
        match failure {
            Failure::NotSent => self.is_excused,
            Failure::Broken | Failure::Silent => {
                self.is_excused || self.shared.has_lost_link(&self.upstream.id)
            }
            Failure::NotRun | Failure::Misdirected => false,
        }
    }

    /// Returns a new connection to the upstream, without the idle ones.
    pub async fn open_connection(&self) -> Option<Connection> {
        let Upstream { id, address, deployment, .. } = &self.upstream;
        let max = self.shared.max_connections(deployment);
        self.shared.open_new_connection(id, *address, max).await.ok()
    }

    /// Returns the names of the headers that upstreams understand.
    pub fn headers(&self) -> &Headers {
        self.shared.dialect.headers()
    }

    /// Returns the memory for responses that are collected.
    pub fn response_memory(&self) -> &Budget {
        &self.shared.response_memory
    }

    /// Returns the memory for large events.
    pub fn event_memory(&self) -> &Budget {
        &self.shared.event_memory
    }

    /// Returns the connections to upstreams.
    pub fn pool(&self) -> &Pool {
        &self.shared.pool
    }

    /// Returns the part of the time since the request was sent in which this relay ran.
    pub fn running_time(&self) -> Duration {
        self.shared.clock.running().since(self.started_running)
    }

    /// Returns the running time for which nothing has arrived from the upstream, of any request; at most the
    /// time since this one was sent.
    pub fn quiet_time(&self) -> Duration {
        let now = self.shared.clock.running();
        let elapsed = now.since(self.started_running);
        self.shared.selector().quiet_time(self.key, now).unwrap_or(elapsed).min(elapsed)
    }

    /// Records that the complete response arrived.
    pub fn record_success(&mut self) {
        self.meter.record_end();
        counter!(RELAY_ATTEMPTS, "outcome" => "ok").increment(1);
        if self.class == Class::Online {
            let elapsed = self.shared.clock.now().since(self.started);
            self.shared.selector().record_service_time(self.key, elapsed);
        }
    }

    /// Records a failed attempt. Ejects the upstream for a time if it caused the failure.
    pub fn record_failure(&self, failure: Failure) {
        counter!(RELAY_ATTEMPTS, "outcome" => failure.name()).increment(1);
        if !self.excuses(failure) {
            self.shared.record_upstream_failure(self.key, &self.upstream.id, failure);
        }
        // Batch items never crash upstreams by themselves.
        let is_suspect = self.class == Class::Online && !self.has_answered;
        if failure == Failure::Broken && is_suspect {
            self.shared.report_crash(self.key, &self.upstream, &self.parts);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.shared.selector().record_end(self.key);
        match self.is_sent.load(Ordering::Relaxed) {
            true => self.shared.release_slot(self.ticket, self.meter.measure(self.ticket)),
            false => self.shared.give_back_slot(self.ticket),
        }
        self.shared.batch_changed.notify_one();
    }
}

impl Shared {
    /// Takes over what another relay knows of the limits of upstreams.
    pub fn apply_limits(&self, news: &[limit::News]) {
        let changed = self.selector().apply_limits(news, self.clock.now());
        for key in changed {
            self.log_limit(key, "relay");
        }
    }

    /// Logs the limit of an upstream after a change. `source` says who told of it.
    fn log_limit(&self, key: Key, source: &str) {
        let selector = self.selector();
        let Some((upstream, limit)) = selector.upstream(key).zip(selector.limit(key)) else {
            return;
        };
        match limit.rate {
            Some(rate) => event!(
                UpstreamLimited,
                upstream:% = upstream.id,
                deployment:% = upstream.deployment,
                requests_per_s = rate.per_second(),
                source = source
            ),
            None => event!(
                UpstreamUnlimited,
                upstream:% = upstream.id,
                deployment:% = upstream.deployment,
                source = source
            ),
        }
    }

    /// Records a failure of an upstream, and ejects it for a time if it caused the failure.
    pub fn record_upstream_failure(&self, key: Key, id: &str, failure: Failure) {
        let ejection = self.selector().record_failure(key, failure, self.clock.running());
        if let Some(ejection) = ejection {
            self.mark_all_dirty();
            event!(
                UpstreamPaused,
                upstream:% = id,
                failure:% = failure.name(),
                pause_ms = ejection.as_millis() as u64
            );
        }
    }

    /// Chooses an upstream for an online request and counts the request there. The upstreams in
    /// `tried` are excluded, and those with other software if `software` is given. The request has to
    /// start within `time_left`.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may retry if no upstream can start the request in
    /// time.
    pub async fn acquire_online(
        self: &Arc<Self>,
        deployment: &str,
        software: Option<Software>,
        tried: &BTreeSet<Key>,
        time_left: Duration,
        charge: Charge,
    ) -> Result<(Flight, Placement), (Duration, Placement)> {
        let begin = self.clock.now();
        let outcome =
            self.ask_slot(&self.need(deployment, software, tried, time_left, charge)).await;
        let now = self.clock.now();
        let elapsed = now.since(begin);
        match outcome {
            Outcome::Granted { ticket, upstream, load } => {
                let placement = Placement { granted: true, load, elapsed };
                let running = self.clock.running();
                let key = self.selector().usable_key(upstream, software, tried, running);
                let flight = key
                    .filter(|key| !tried.contains(key))
                    .and_then(|key| self.flight(key, Class::Online, ticket, now))
                    .filter(|flight| flight.suits(software));
                match flight {
                    Some(flight) => {
                        Self::record_placement("granted");
                        Ok((flight, placement))
                    }
                    None => {
                        self.give_back_slot(ticket);
                        self.place_alone(deployment, software, tried, elapsed, charge)
                    }
                }
            }
            Outcome::Refused(load) => {
                Self::record_placement("refused");
                let wait = self.selector().record_refusal(deployment, load.wait, now);
                Err((wait, Placement { granted: true, load, elapsed }))
            }
            Outcome::Unanswered => self.place_alone(deployment, software, tried, elapsed, charge),
        }
    }

    /// Returns what an online request needs of its slot.
    pub(crate) fn need(
        &self,
        deployment: &str,
        software: Option<Software>,
        tried: &BTreeSet<Key>,
        time_left: Duration,
        charge: Charge,
    ) -> Need {
        let selector = self.selector();
        Need {
            shards: selector.shards(deployment, software),
            start_within: selector.start_within(deployment, time_left),
            avoid: selector.avoided_by(deployment, software, tried, self.clock.running()),
            software,
            charge,
        }
    }

    /// Chooses an upstream without a broker.
    fn place_alone(
        self: &Arc<Self>,
        deployment: &str,
        software: Option<Software>,
        tried: &BTreeSet<Key>,
        elapsed: Duration,
        charge: Charge,
    ) -> Result<(Flight, Placement), (Duration, Placement)> {
        let now = self.clock.now();
        let placement = Placement { granted: false, load: Load::default(), elapsed };
        let points = [rand::random(), rand::random()];
        let running = self.clock.running();
        let choice = self.selector().choose(deployment, software, tried, running, points);
        let placed = match choice {
            Choice::Send(key) => self.selector().place(key).map(|place| (key, place)),
            Choice::Refuse(_) => None,
        };
        if let Some((key, (shard, upstream))) = placed {
            let ticket = self.hold_slot(shard, upstream, Class::Online, charge);
            if let Some(flight) = self.flight(key, Class::Online, ticket, now) {
                Self::record_placement("alone");
                return Ok((flight, placement));
            }
            self.give_back_slot(ticket);
        }
        Self::record_placement("refused");
        let wait = self.selector().record_refusal(deployment, Duration::ZERO, now);
        Err((wait, placement))
    }

    /// Begins the run of a batch item with a slot that was granted to it. Returns `None`, and frees
    /// the slot, if the upstream cannot be used.
    pub fn acquire_batch(
        self: &Arc<Self>,
        ticket: Ticket,
        upstream: u32,
        software: Option<Software>,
    ) -> Option<Flight> {
        let (now, running) = (self.clock.now(), self.clock.running());
        let key = self.selector().usable_key(upstream, software, &BTreeSet::new(), running);
        let flight = key.and_then(|key| self.flight(key, Class::Batch, ticket, now));
        if flight.is_none() {
            self.give_back_slot(ticket);
        }
        flight
    }

    pub(crate) fn flight(
        self: &Arc<Self>,
        key: Key,
        class: Class,
        ticket: Ticket,
        started: Time,
    ) -> Option<Flight> {
        let running = self.clock.running();
        let mut selector = self.selector();
        let upstream = selector.upstream(key).cloned()?;
        selector.record_start(key, running);
        let shared = self.clone();
        Some(Flight {
            shared,
            key,
            class,
            ticket,
            upstream,
            started,
            started_running: running,
            responded: false,
            meter: Meter::new(started),
            parts: [].into(),
            has_answered: false,
            is_sent: AtomicBool::new(false),
            progress: AtomicU64::new(running.0),
            reserved: None,
            is_excused: false,
        })
    }
}
