//! Attempts of one request at upstreams, within the bounds of its route.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use cyclamengrade_control::relay::{
    failure::{Attempts, Failure},
    route::Route,
    selector::{Choice, Key, Load},
};
use cyclamengrade_telemetry::event;
use tokio::sync::OwnedSemaphorePermit;

use crate::{
    exchange::{self, Answer, Outgoing, Send},
    shared::{Flight, Shared},
};

/// Factor on the latency objective after which an attempt that may be repeated counts as silent.
const SILENCE_FACTOR: u32 = 2;
/// Shortest time after which an attempt counts as silent. Several times a pause of a slow upstream.
const SHORTEST_SILENCE: Duration = Duration::from_millis(500);

/// An online request and what it has spent.
pub struct Request {
    shared: Arc<Shared>,
    /// Its route.
    pub route: Arc<Route>,
    /// What upstreams get.
    pub outgoing: Outgoing,
    /// When it arrived.
    pub arrived: Instant,
    /// When its caller or its route gives up.
    pub deadline: Instant,
    /// Time until the first byte of the answer.
    pub first: Option<Duration>,
    /// Attempts so far.
    pub spent: Attempts,
    tried: BTreeSet<Key>,
    /// Room that the body takes in memory.
    _room: Option<OwnedSemaphorePermit>,
}

/// Why a request ends without an answer of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// Nothing can start it within its objective.
    Refused(Duration, Load),
    /// No attempt is left.
    Spent(Failure),
    /// Its time is over.
    Late,
}

impl Request {
    /// A request that has spent nothing.
    pub fn new(
        shared: Arc<Shared>,
        route: Arc<Route>,
        outgoing: Outgoing,
        arrived: Instant,
        deadline: Instant,
    ) -> Self {
        let (spent, tried) = (Attempts::default(), BTreeSet::new());
        Self { shared, route, outgoing, arrived, deadline, first: None, spent, tried, _room: None }
    }

    /// Keeps the room that the body takes in memory until the request ends.
    pub fn with_room(self, room: OwnedSemaphorePermit) -> Self {
        Self { _room: Some(room), ..self }
    }

    /// Time until the request is given up.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Longest wait for the next bytes of an answer.
    pub fn patience(&self) -> Duration {
        let last = Attempts { possibly_run: self.spent.possibly_run + 1, ..self.spent };
        let left = self.left();
        match last.allows_attempt(&self.route) {
            true => self.silence().min(left),
            false => left,
        }
    }

    /// Time without bytes after which an attempt counts as silent, if it can be repeated.
    fn silence(&self) -> Duration {
        (self.route.latency_objective.max(self.route.gap_objective) * SILENCE_FACTOR)
            .max(SHORTEST_SILENCE)
    }

    /// Chooses an upstream.
    pub fn place(&self) -> Result<(Flight, Load), Stop> {
        let since = self.arrived.elapsed();
        // A request that is past its objective is worth serving until its deadline.
        let left = match self.route.latency_objective.checked_sub(since) {
            Some(left) if self.spent == Attempts::default() => left,
            _ => self.left(),
        };
        let deployment = self.route.deployment(rand::random()).unwrap_or_default();
        match self.shared.acquire_online(deployment, &self.tried, left) {
            (Choice::Send(_, view), Some(flight)) => Ok((flight, view)),
            (Choice::Refuse(wait, view), _) => Err(Stop::Refused(wait, view)),
            (Choice::Send(_, view), None) => Err(Stop::Refused(Duration::ZERO, view)),
        }
    }

    /// Sends the request to upstreams until one answers.
    pub async fn answer(&mut self, resume_after: Option<u64>) -> Result<(Flight, Answer), Stop> {
        loop {
            if self.left().is_zero() {
                return Err(Stop::Late);
            }
            let (mut flight, view) = self.place()?;
            self.log_send(&flight, view);
            let send = Send {
                deadline: Some(self.deadline),
                resume_after,
                patience: self.patience(),
                most_connections: self.shared.max_connections(&flight.upstream.deployment),
            };
            let names = self.shared.dialect.headers();
            let sent =
                exchange::send(&self.shared.pool, names, &flight.upstream, &self.outgoing, send);
            match sent.await {
                Ok(answer) => {
                    flight.record_bytes();
                    return Ok((flight, answer));
                }
                Err(failure) => self.fail(&flight, failure, 0)?,
            }
        }
    }

    /// Records a failed attempt; fails when no further one is allowed.
    pub fn fail(&mut self, flight: &Flight, failure: Failure, events: u64) -> Result<(), Stop> {
        event!(
            AttemptFailed,
            request:% = self.outgoing.id,
            upstream:% = flight.upstream.id,
            failure:% = failure.name(),
            elapsed_ms = self.shared.clock.now().since(flight.started).as_millis() as u64,
            events = events
        );
        let is_over = self.left().is_zero();
        if !(is_over && failure == Failure::Silent) {
            flight.record_failure(failure);
        }
        self.spent.record_failure(failure);
        self.tried.insert(flight.key);
        match () {
            () if is_over => Err(Stop::Late),
            () if self.spent.allows_attempt(&self.route) => Ok(()),
            () => Err(Stop::Spent(failure)),
        }
    }

    fn log_send(&self, flight: &Flight, view: Load) {
        event!(
            RequestSent,
            request:% = self.outgoing.id,
            route:% = self.route.name,
            upstream:% = flight.upstream.id,
            attempt = self.spent.possibly_run + self.spent.not_run + 1,
            online = view.counts.online,
            batch = view.counts.batch,
            slots = view.slots,
            wait_ms = view.expected_wait.as_millis() as u64,
            report_age_ms = view.report_age.as_millis() as u64,
            configuration = self.shared.routes.load().version
        );
    }
}
