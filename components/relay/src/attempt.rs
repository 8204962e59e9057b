//! Attempts of one online request at upstreams, within the limits of its route.

use std::{
    collections::BTreeSet,
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use cyclamengrade_control::relay::{
    account::Caller,
    broker::Charge,
    failure::{Attempts, Failure},
    origin::Software,
    quarantine::Part,
    route::Route,
    selector::Key,
};
use cyclamengrade_telemetry::event;
use tokio::time::sleep;

use crate::{
    allowance::Token,
    caller::Rejection,
    exchange::{self, Options, Outgoing, Response},
    flight::Flight,
    memory::Reservation,
    online::{header_text, is_upstream_error},
    quarantine::format_parts,
    shared::Shared,
    slots::Placement,
    successor::{Handover, Output, Successor},
};

/// Time between two searches for another upstream while one is silent.
const SEEK_PERIOD: Duration = Duration::from_millis(100);
/// Silence timeout as a multiple of the larger of the route's latency and gap objectives.
const SILENCE_FACTOR: u32 = 2;
/// Silence of a stream as a multiple of its timeout, while its upstream sends to other requests. It has most
/// likely paused this one, and what runs elsewhere from its last event on takes a slot and a prefill.
const HEARD_FACTOR: u32 = 2;
/// Shortest silence timeout. It is several times the pause that a slow upstream makes between two
/// events.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Search for an upstream that takes over from a silent one.
type Search = Pin<Box<dyn Future<Output = (Flight, Placement)> + Send + Sync>>;

/// Whether a request may have run, for an answer that does not wait for its attempts.
#[derive(Clone, Debug, Default)]
pub struct Dispatch(Arc<AtomicBool>);

impl Dispatch {
    /// Records that the request is sent to an upstream or to the store.
    pub fn record(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub fn may_have_run(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// An online request and its attempts so far.
pub struct Request {
    pub shared: Arc<Shared>,
    pub route: Arc<Route>,
    /// The request as it is sent to upstreams.
    pub outgoing: Arc<Outgoing>,
    /// When the request arrived from the caller.
    pub arrived: Instant,
    /// When the caller or the route times out, whichever is earlier.
    pub deadline: Instant,
    /// Time from the arrival to the first byte of the response, once there is one.
    pub time_to_first_byte: Option<Duration>,
    /// Failed attempts.
    pub attempts: Attempts,
    /// Software that began the stream; further attempts use only upstreams that have it.
    pub software: Option<Software>,
    /// What the request has in common with others, see [`Part`].
    parts: Arc<[Part]>,
    /// Whom its slots are charged to.
    charge: Charge,
    /// Upstreams at which an attempt failed.
    tried: BTreeSet<Key>,
    /// Those of them that broke off an attempt or are not at their addresses.
    broken: BTreeSet<Key>,
    /// The next attempt, which began while the one before was silent and goes on instead of it.
    successor: Option<Successor>,
    /// Search for such an upstream while the current attempt is silent.
    search: Option<Search>,
    /// Whether the caller has got a part of the answer, or a run was given up for another upstream.
    is_underway: bool,
    /// Memory reserved for the body.
    _memory: Option<Reservation>,
    /// Who sent the request.
    pub caller: Caller,
    /// Token of the account's quota.
    token: Option<Token>,
    dispatch: Dispatch,
}

/// Why a request ends without a response of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// No upstream can start the request in time. The caller may retry after the duration. The
    /// placement is logged.
    Refused(Duration, Placement),
    /// The request or a part of its prompt ended upstreams. Requests like it are refused for the duration.
    Quarantined(Duration),
    /// The caller may not send the request, or no longer.
    Rejected(Rejection),
    /// The request continues a stream, and it is not known which software version began it.
    UnknownOrigin,
    /// The last attempt failed, and no further one is allowed.
    AttemptsExhausted(Failure),
    /// The deadline of the request has passed.
    DeadlineExceeded,
}

impl Request {
    /// Creates a request without attempts. `outgoing` has the headers that tell upstreams of its caller.
    pub fn new(
        shared: Arc<Shared>,
        route: Arc<Route>,
        outgoing: Outgoing,
        arrived: Instant,
        deadline: Instant,
        caller: Caller,
    ) -> Self {
        let (attempts, tried) = (Attempts::default(), BTreeSet::new());
        let parts = shared.request_parts(&outgoing, &caller);
        Self {
            shared,
            route,
            outgoing: Arc::new(outgoing),
            arrived,
            deadline,
            time_to_first_byte: None,
            attempts,
            software: None,
            parts,
            charge: Charge::default(),
            tried,
            broken: BTreeSet::new(),
            successor: None,
            search: None,
            is_underway: false,
            _memory: None,
            caller,
            token: None,
            dispatch: Dispatch::default(),
        }
    }

    /// Sets where the request records that it may have run.
    pub fn with_dispatch(self, dispatch: Dispatch) -> Self {
        Self { dispatch, ..self }
    }

    /// Sets whom the slots of the request are charged to.
    pub fn with_charge(self, charge: Charge) -> Self {
        Self { charge, ..self }
    }

    /// Holds the memory reserved for the body until the request is dropped.
    pub fn with_memory(self, memory: Reservation) -> Self {
        Self { _memory: Some(memory), ..self }
    }

    /// Holds a token of the account's quota, which is given back unless the request is sent.
    pub fn with_token(self, token: Option<Token>) -> Self {
        Self { token, ..self }
    }

    /// Records that the caller has got a part of the answer, or that a run was given up. From then on,
    /// refusals do not end the request.
    pub const fn record_underway(&mut self) {
        self.is_underway = true;
        self.attempts.not_run = 0;
    }

    /// Returns the time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Waits for what an upstream sends next. An attempt that is silent goes on until another upstream accepts the
    /// request, since most upstreams that are silent have only paused. That upstream is asked to resume the stream
    /// after the event `resume_after`. Without another upstream, or with the last attempt, the wait ends at the
    /// deadline.
    ///
    /// # Errors
    ///
    /// Fails if `next` does, and with [`Failure::Silent`] if another attempt goes on instead.
    pub async fn watch<T: Output>(
        &mut self,
        flight: &Flight,
        resume_after: Option<u64>,
        next: impl Future<Output = Result<T, Failure>>,
    ) -> Result<T, Failure> {
        let mut next = pin!(next);
        while self.allows_successor() {
            tokio::select! {
                biased;
                output = &mut next => return output,
                () = self.silence(flight) => {}
            }
            if self.search.is_none() {
                event!(
                    AttemptSilent,
                    request:% = self.outgoing.id,
                    upstream:% = flight.upstream.id,
                    quiet_ms = flight.quiet_time().as_millis() as u64
                );
            }
            let search =
                self.search.take().unwrap_or_else(|| self.begin_search(flight, Duration::ZERO));
            let found = tokio::select! {
                biased;
                output = &mut next => return output,
                found = self.search.insert(search) => found,
            };
            self.search = None;
            let handover = match self.begin_successor(found, resume_after).await {
                Some(successor) => {
                    successor.hand_over(next.as_mut(), |head| self.judge(head)).await
                }
                None => {
                    self.search = Some(self.begin_search(flight, SEEK_PERIOD));
                    continue;
                }
            };
            match handover {
                Handover::Completed(output) => {
                    // The later attempt may have run.
                    self.attempts.possibly_run += 1;
                    return Ok(output);
                }
                Handover::Later(successor, failure) => {
                    self.successor = Some(successor);
                    self.record_underway();
                    return Err(failure);
                }
                Handover::Earlier { brought, flight: refused, failure } => {
                    self.log_failure(&refused, failure, 0);
                    refused.record_failure(failure);
                    self.exclude(&refused, failure);
                    self.attempts.possibly_run += u32::from(failure.may_have_run());
                    if let Some(output) = brought {
                        return Ok(output);
                    }
                    self.search = Some(self.begin_search(flight, SEEK_PERIOD));
                }
            }
        }
        next.await
    }

    /// Whether another attempt is allowed beside the current one.
    fn allows_successor(&self) -> bool {
        let possibly_run = self.attempts.possibly_run + 1;
        Attempts { possibly_run, ..self.attempts }.allows_attempt(&self.route)
    }

    /// Waits until an attempt counts as silent.
    async fn silence(&self, flight: &Flight) {
        let limit = self.silence_timeout();
        flight.silence(limit).await;
        if self.time_to_first_byte.is_some() && flight.quiet_time() < limit {
            flight.silence(limit * HEARD_FACTOR).await;
        }
    }

    /// Begins an attempt at an upstream that was found while another attempt is silent. Returns `None` if it may
    /// no longer begin.
    async fn begin_successor(
        &self,
        (mut flight, placement): (Flight, Placement),
        resume_after: Option<u64>,
    ) -> Option<Successor> {
        if self.check_quarantine().is_err() || self.remaining().is_zero() {
            return None;
        }
        let max = self.shared.max_connections(&flight.upstream.deployment);
        // The search has opened it.
        let connection = flight.connect(max, &self.outgoing.id).await.ok()?;
        if !self.is_caller_unchanged() {
            return None;
        }
        let flight = flight.with_parts(self.parts.clone());
        self.log_send(&flight, resume_after, placement, 1);
        let options = self.options(resume_after);
        Some(Successor::new(flight, connection, self.outgoing.clone(), options))
    }

    /// Returns the failure of an attempt whose response does not accept the request.
    fn judge(&self, response: &Response) -> Result<(), Failure> {
        let is_stream = response.status.is_success() && response.is_event_stream();
        // Before the first event of a stream, another response may be forwarded to the caller.
        let is_answer = self.time_to_first_byte.is_none() && !is_upstream_error(response.status);
        if is_stream || is_answer { Ok(()) } else { Err(Failure::Broken) }
    }

    /// Ends the search for another upstream, since the attempt goes on.
    pub fn end_search(&mut self) {
        self.search = None;
    }

    /// Begins the search, after a delay, for an upstream that takes over from the one of a flight. It outlasts
    /// comments, which are no progress.
    fn begin_search(&self, flight: &Flight, delay: Duration) -> Search {
        let with_current = |keys: &BTreeSet<Key>| {
            let mut keys = keys.clone();
            keys.insert(flight.key);
            keys
        };
        let (mut excluded, broken) = (with_current(&self.tried), with_current(&self.broken));
        let (shared, route) = (self.shared.clone(), self.route.clone());
        let (software, parts) = (self.software, self.parts.clone());
        let (deadline, id, charge) = (self.deadline, self.outgoing.id.clone(), self.charge);
        Box::pin(async move {
            sleep(delay).await;
            loop {
                let is_allowed = shared.quarantine_left(&parts).is_none();
                let deployment = shared.deployment(&route, software).filter(|_| is_allowed);
                if let Some(deployment) = deployment {
                    let left = deadline.saturating_duration_since(Instant::now());
                    let found =
                        shared.acquire_better(deployment, software, &excluded, left, charge).await;
                    if let Some((mut flight, placement)) = found {
                        let max = shared.max_connections(&flight.upstream.deployment);
                        match flight.reserve_connection(max, &id).await {
                            Ok(()) => return (flight, placement),
                            Err(failure) => flight.record_failure(failure),
                        }
                    }
                }
                // Upstreams that were silent or full may serve again.
                excluded.clone_from(&broken);
                sleep(SEEK_PERIOD).await;
            }
        })
    }

    /// Returns the time without bytes after which another upstream is sought for a request that can be
    /// repeated.
    fn silence_timeout(&self) -> Duration {
        (self.route.latency_objective.max(self.route.gap_objective) * SILENCE_FACTOR)
            .max(MIN_SILENCE_TIMEOUT)
    }

    /// Chooses an upstream and counts the request there.
    pub async fn choose_upstream(&self) -> Result<(Flight, Placement), Error> {
        let elapsed = self.arrived.elapsed();
        let software = self.software;
        // The first attempt has to start within the latency objective. A request that has missed
        // its objective, whose first attempt failed or that continues a stream is still worth
        // serving until its deadline.
        let is_first = self.attempts == Attempts::default() && software.is_none();
        let remaining = match self.route.latency_objective.checked_sub(elapsed) {
            Some(remaining) if is_first => remaining,
            _ => self.remaining(),
        };
        let deployment = self.shared.deployment(&self.route, software).unwrap_or_default();
        let (tried, charge) = (&self.tried, self.charge);
        let placed =
            self.shared.acquire_online(deployment, software, tried, remaining, charge).await;
        placed.map_err(|(wait, placement)| Error::Refused(wait, placement))
    }

    /// Sends the request to one upstream after the other until one responds or no further attempt
    /// is allowed. `resume_after` is the id of the last event that the caller has of a stream.
    pub async fn send(&mut self, resume_after: Option<u64>) -> Result<(Flight, Response), Error> {
        loop {
            if self.remaining().is_zero() {
                return Err(Error::DeadlineExceeded);
            }
            let (flight, sent) = match self.successor.take() {
                Some(successor) => {
                    let (flight, reply) = successor.into_parts();
                    let sent = self.watch(&flight, resume_after, reply).await;
                    // The reply, which shared it, has ended.
                    let Some(mut flight) = Arc::into_inner(flight) else { continue };
                    if sent.is_ok() {
                        flight.record_bytes();
                    }
                    (flight, sent)
                }
                None => {
                    self.check_quarantine()?;
                    let (flight, placement) = match self.choose_upstream().await {
                        Ok(placed) => placed,
                        // The caller would lose what it has. The refusal is an estimate, and upstreams that were
                        // silent or full may serve again.
                        Err(Error::Refused(..)) if self.is_underway && self.has_other() => {
                            self.tried.clone_from(&self.broken);
                            sleep(SEEK_PERIOD).await;
                            continue;
                        }
                        Err(error) => return Err(error),
                    };
                    // The part may have been quarantined while the request waited.
                    self.check_quarantine()?;
                    let mut flight = flight.with_parts(self.parts.clone());
                    self.log_send(&flight, resume_after, placement, 0);
                    let sent = self.send_to(&mut flight, resume_after).await?;
                    (flight, sent)
                }
            };
            match sent {
                Ok(response) => {
                    self.end_search();
                    return Ok((flight, response));
                }
                Err(failure) => {
                    self.record_failure(&flight, failure, 0)?;
                    if self.is_underway && !failure.may_have_run() {
                        self.attempts.not_run = 0;
                        sleep(SEEK_PERIOD).await;
                    }
                }
            }
        }
    }

    /// Whether an upstream accepts work that did not break off the request.
    fn has_other(&self) -> bool {
        let deployment = self.shared.deployment(&self.route, self.software);
        deployment.is_some_and(|deployment| {
            self.shared.selector().accepts_beside(deployment, self.software, &self.broken)
        })
    }

    /// Sends the request to the upstream of a flight.
    ///
    /// # Errors
    ///
    /// Fails if the key of the caller is no longer known to be valid. The request is not sent then.
    pub async fn send_to(
        &mut self,
        flight: &mut Flight,
        resume_after: Option<u64>,
    ) -> Result<Result<Response, Failure>, Error> {
        let max = self.shared.max_connections(&flight.upstream.deployment);
        let connection = match flight.connect(max, &self.outgoing.id).await {
            Ok(connection) => connection,
            Err(failure) => return Ok(Err(failure)),
        };
        // Nothing is waited for between this check and the sending.
        self.check_caller()?;
        let options = self.options(resume_after);
        self.dispatch.record();
        let (shared, outgoing) = (self.shared.clone(), self.outgoing.clone());
        let names = shared.dialect.headers();
        let sending = exchange::send(flight, connection, names, &outgoing, options);
        let response = self.watch(flight, resume_after, sending).await;
        if response.is_ok() {
            flight.record_bytes();
        }
        Ok(response)
    }

    /// Checks the key of the caller with the newest configuration before the request is sent, and spends the
    /// token of its account.
    fn check_caller(&mut self) -> Result<(), Error> {
        let headers = &self.outgoing.headers;
        let changed = self.shared.identify_again(&self.caller, self.route.public, headers);
        if let Some(caller) = changed.map_err(Error::Rejected)? {
            self.shared.set_caller(&mut Arc::make_mut(&mut self.outgoing).headers, &caller);
            self.caller = caller;
        }
        if let Some(token) = &mut self.token {
            token.spend();
        }
        Ok(())
    }

    fn options(&self, resume_after: Option<u64>) -> Options {
        Options { deadline: Some(self.deadline), resume_after, timeout: self.remaining() }
    }

    /// Whether the request certainly did not run.
    pub fn is_not_run(&self) -> bool {
        self.attempts.is_not_run() && self.successor.is_none()
    }

    /// Whether the caller still counts as the one for whom the request was prepared.
    fn is_caller_unchanged(&self) -> bool {
        let headers = &self.outgoing.headers;
        let changed = self.shared.identify_again(&self.caller, self.route.public, headers);
        matches!(changed, Ok(None))
    }

    fn check_quarantine(&self) -> Result<(), Error> {
        match self.shared.quarantine_left(&self.parts) {
            Some(left) => Err(Error::Quarantined(left)),
            None => Ok(()),
        }
    }

    /// Records an attempt that failed after `events` events of a stream were sent to the caller.
    ///
    /// # Errors
    ///
    /// Fails if no further attempt is allowed.
    pub fn record_failure(
        &mut self,
        flight: &Flight,
        failure: Failure,
        events: u64,
    ) -> Result<(), Error> {
        self.log_failure(flight, failure, events);
        self.search = None;
        let is_past_deadline = self.remaining().is_zero();
        // Silence until the deadline is not a failure of the upstream.
        if !(is_past_deadline && failure == Failure::Silent) {
            flight.record_failure(failure);
        }
        self.attempts.record_failure(failure);
        self.exclude(flight, failure);
        match () {
            () if is_past_deadline => Err(Error::DeadlineExceeded),
            () if self.attempts.allows_attempt(&self.route) => Ok(()),
            () => Err(Error::AttemptsExhausted(failure)),
        }
    }

    /// Excludes an upstream at which an attempt failed from further ones.
    fn exclude(&mut self, flight: &Flight, failure: Failure) {
        self.tried.insert(flight.key);
        if matches!(failure, Failure::Broken | Failure::Misdirected) {
            self.broken.insert(flight.key);
        }
    }

    fn log_failure(&self, flight: &Flight, failure: Failure, events: u64) {
        event!(
            AttemptFailed,
            request:% = self.outgoing.id,
            upstream:% = flight.upstream.id,
            failure:% = failure.name(),
            elapsed_ms = self.shared.clock.now().since(flight.started).as_millis() as u64,
            running_ms = flight.running_time().as_millis() as u64,
            quiet_ms = flight.quiet_time().as_millis() as u64,
            events = events,
            prompt:% = self.shared.dialect.shared_parts(&self.outgoing.headers).join(","),
            parts:% = format_parts(&self.parts)
        );
    }

    /// Logs that the stream cannot be resumed after `events` events.
    pub fn log_broken(&self, cause: &str, events: u64) {
        let deployment = self.shared.deployment(&self.route, self.software).unwrap_or_default();
        let now = self.shared.clock.running();
        let (accepting, avoided) = self.shared.selector().choices(deployment, self.software, now);
        event!(
            StreamBroken,
            request:% = self.outgoing.id,
            route:% = self.route.name,
            cause:% = cause,
            events = events,
            elapsed_ms = self.arrived.elapsed().as_millis() as u64,
            left_ms = self.remaining().as_millis() as u64,
            accepting = accepting,
            avoided = avoided,
            tried = self.tried.len()
        );
    }

    /// Logs that the request is sent while `running` other attempts run.
    fn log_send(
        &self,
        flight: &Flight,
        resume_after: Option<u64>,
        placement: Placement,
        running: u32,
    ) {
        let names = self.shared.dialect.headers();
        let header = |name| header_text(&self.outgoing.headers, name).unwrap_or_default();
        let resumes = match resume_after {
            Some(_) => &self.outgoing.id,
            None => header(&names.resumes),
        };
        event!(
            RequestSent,
            request:% = self.outgoing.id,
            route:% = self.route.name,
            upstream:% = flight.upstream.id,
            version:% = flight.upstream.version,
            resumes:% = resumes,
            after = resume_after.or_else(|| header(&names.last_event_id).parse().ok()).unwrap_or(0),
            attempt = self.attempts.possibly_run + self.attempts.not_run + running + 1,
            granted = placement.granted,
            load_permille = placement.load.permille,
            wait_ms = placement.elapsed.as_millis() as u64,
            configuration = self.shared.routes.load().version
        );
    }
}
