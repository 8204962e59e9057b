//! Upstreams that take over requests which still run at a silent one.
//!
//! Most upstreams that are silent have only paused. What still runs is given up only for an attempt at another
//! upstream, of which nothing says that it may be down, where a broker grants a slot and which accepts the request.

use std::{
    collections::BTreeSet,
    future::ready,
    pin::{Pin, pin},
    sync::Arc,
    time::Duration,
};

use cyclamengrade_control::relay::{
    broker::{Charge, Class, Urgency},
    failure::Failure,
    origin::Software,
    route::Route,
    selector::Key,
};
use tokio::time::sleep;

use crate::{
    exchange::{self, Collected, Next, Options, Outgoing, Response},
    flight::Flight,
    online::is_upstream_error,
    pool::Connection,
    shared::Shared,
    slots::{Guard, Outcome, Placement},
};

/// Time between two requests for the slot of a batch item whose run is silent.
pub const BATCH_SEEK_PERIOD: Duration = Duration::from_millis(500);
/// Time between two checks whether the slot of a batch item was granted.
const GRANT_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Time for which an attempt that is silent goes on after the next upstream was sent the request. An upstream
/// may work on a request for 400 ms after another one began it; the rest is for closing the connection.
const HEAD_TIMEOUT: Duration = Duration::from_millis(350);

/// Response to a request that was sent to an upstream.
pub type Reply = Pin<Box<dyn Future<Output = Result<Response, Failure>> + Send + Sync>>;

/// What an attempt brings next.
pub trait Output {
    /// Whether the response is complete and no error of the upstream. The upstream then no longer works on the
    /// request, and no other one is needed.
    fn is_complete(&self) -> bool;
}

impl Output for Response {
    fn is_complete(&self) -> bool {
        false
    }
}

impl Output for Collected {
    fn is_complete(&self) -> bool {
        !is_upstream_error(self.status)
    }
}

impl Output for Next {
    fn is_complete(&self) -> bool {
        *self == Self::End
    }
}

/// An attempt that begins while an earlier one is silent.
pub struct Successor {
    flight: Arc<Flight>,
    reply: Reply,
}

/// Which of two attempts goes on.
pub enum Handover<T> {
    /// The later one, since its upstream accepts the request, the earlier one failed, or the time for both is
    /// over.
    Later(Successor, Failure),
    /// The earlier one, which may have brought something meanwhile. The later one failed.
    Earlier { brought: Option<T>, flight: Arc<Flight>, failure: Failure },
    /// Neither, since the response to the earlier one is complete.
    Completed(T),
}

impl Successor {
    /// Creates an attempt whose request is sent by [`Self::hand_over`].
    pub fn new(
        flight: Flight,
        connection: Connection,
        outgoing: Arc<Outgoing>,
        options: Options,
    ) -> Self {
        let flight = Arc::new(flight);
        let shared = flight.clone();
        let reply = async move {
            let names = shared.headers();
            exchange::send(&shared, connection, names, &outgoing, options).await
        };
        Self { flight, reply: Box::pin(reply) }
    }

    pub fn flight(&self) -> &Flight {
        &self.flight
    }

    /// Returns the flight, and the reply, which shares the flight until it ends.
    pub fn into_parts(self) -> (Arc<Flight>, Reply) {
        (self.flight, self.reply)
    }

    /// Sends the request and waits for the head of its response, which `judge` accepts or not, while the earlier
    /// attempt goes on. What that brings next is held back, and returned only if it goes on: the later attempt
    /// resumes after what the caller had when it began.
    pub async fn hand_over<T: Output>(
        mut self,
        mut earlier: Pin<&mut impl Future<Output = Result<T, Failure>>>,
        judge: impl Fn(&Response) -> Result<(), Failure>,
    ) -> Handover<T> {
        let mut timeout = pin!(sleep(HEAD_TIMEOUT));
        let mut brought = None;
        loop {
            tokio::select! {
                biased;
                reply = &mut self.reply => {
                    let judged = reply.and_then(|response| judge(&response).map(|()| response));
                    return match judged {
                        Ok(response) => {
                            self.reply = Box::pin(ready(Ok(response)));
                            Handover::Later(self, Failure::Silent)
                        }
                        Err(failure) => Handover::Earlier { brought, flight: self.flight, failure },
                    };
                }
                output = earlier.as_mut(), if brought.is_none() => match output {
                    Ok(output) if output.is_complete() => return Handover::Completed(output),
                    Ok(output) => brought = Some(output),
                    Err(failure) => return Handover::Later(self, failure),
                },
                () = &mut timeout => return Handover::Later(self, Failure::Silent),
            }
        }
    }
}

impl Shared {
    /// Chooses an upstream for an online request that still runs at one of those in `excluded`, and counts the
    /// request there. Returns `None` if there is none that can start the request within `time_left`.
    pub async fn acquire_better(
        self: &Arc<Self>,
        deployment: &str,
        software: Option<Software>,
        excluded: &BTreeSet<Key>,
        time_left: Duration,
        charge: Charge,
    ) -> Option<(Flight, Placement)> {
        if !self.has_better(deployment, software, excluded) {
            return None;
        }
        let begin = self.clock.now();
        let outcome =
            self.ask_slot(&self.need(deployment, software, excluded, time_left, charge)).await;
        let Outcome::Granted { ticket, upstream, load } = outcome else { return None };
        let now = self.clock.now();
        let placement = Placement { granted: true, load, elapsed: now.since(begin) };
        let key = self.better_key(upstream, software, excluded);
        let flight = key.and_then(|key| self.flight(key, Class::Online, ticket, now));
        if flight.is_none() {
            self.give_back_slot(ticket);
        }
        flight.map(|flight| (flight, placement))
    }

    /// Waits until a batch item that still runs at an upstream gets a slot of another one. `route` returns the
    /// route of its job that is in force. Returns `None` if the upstream is no longer listed and no other one
    /// can continue the text of the item.
    pub async fn await_better(
        self: &Arc<Self>,
        silent: &Flight,
        software: Option<Software>,
        urgency: Urgency,
        route: impl Fn() -> Option<Arc<Route>>,
    ) -> Option<Flight> {
        let excluded = BTreeSet::from([silent.key]);
        let charge = self.charge_of(silent.ticket);
        loop {
            let route = route();
            let deployment = route.as_ref().and_then(|route| self.deployment(route, software));
            match deployment {
                Some(deployment) => {
                    let found =
                        self.seek_batch(deployment, software, &excluded, urgency, charge).await;
                    if found.is_some() {
                        return found;
                    }
                }
                None if self.selector().upstream(silent.key).is_none() => return None,
                None => {}
            }
            sleep(BATCH_SEEK_PERIOD).await;
        }
    }

    /// Requests the slot of a batch item and waits for it. Returns `None` if it is at an upstream that is no
    /// better than one of those in `excluded`, or if this takes long.
    async fn seek_batch(
        self: &Arc<Self>,
        deployment: &str,
        software: Option<Software>,
        excluded: &BTreeSet<Key>,
        urgency: Urgency,
        charge: Charge,
    ) -> Option<Flight> {
        if !self.has_better(deployment, software, excluded) {
            return None;
        }
        let shards = self.selector().shards(deployment, software);
        let ticket = self.want_slot(&shards, urgency, software, charge)?;
        let guard = Guard::new(self.clone(), ticket);
        let mut granted = None;
        while granted.is_none() {
            // The broker no longer knows the request, or another shard may have a slot.
            self.update_want(ticket, urgency).filter(|waited| *waited < BATCH_SEEK_PERIOD * 2)?;
            sleep(GRANT_CHECK_PERIOD).await;
            granted = self.take_granted(ticket);
        }
        let key = self.better_key(granted?, software, excluded)?;
        let flight = self.flight(key, Class::Batch, ticket, self.clock.now())?;
        // The flight frees the slot.
        guard.finish();
        Some(flight)
    }

    fn has_better(
        &self,
        deployment: &str,
        software: Option<Software>,
        excluded: &BTreeSet<Key>,
    ) -> bool {
        self.selector().has_sound(deployment, software, excluded, self.clock.running())
    }

    /// Returns the key of an upstream that was granted, if it is better than those in `excluded`.
    fn better_key(
        &self,
        upstream: u32,
        software: Option<Software>,
        excluded: &BTreeSet<Key>,
    ) -> Option<Key> {
        let (selector, running) = (self.selector(), self.clock.running());
        let key = selector.usable_key(upstream, software, excluded, running)?;
        let suits = software.is_none_or(|software| {
            selector.upstream(key).is_some_and(|upstream| upstream.software() == software)
        });
        (suits && !excluded.contains(&key) && selector.is_sound(key, running)).then_some(key)
    }
}
