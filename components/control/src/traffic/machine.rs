//! The state machine.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cyclamengrade_configuration::{Document, Kind};
use slotmap::SecondaryMap;

use crate::{
    fleet::{Fleet, UpstreamKey, Vm},
    hash,
    time::Time,
    traffic::{
        flight::{Flight, Try},
        message::{
            Action, Attempt, AttemptId, Demand, Input, Load, Outcome, Refusal, Request, RequestId,
            Settings,
        },
        status::{State, Status},
    },
};

/// Attempts of one request, the first included.
const ATTEMPTS: usize = 3;
/// Time after which a caller may come back when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Silence timeout when nothing is known about the gaps of an upstream.
const SILENCE: Duration = Duration::from_secs(10);

/// Decides about online requests and about the number of batch streams at each upstream.
pub struct Machine {
    settings: Settings,
    fleet: Fleet,
    document: Arc<Document>,
    members: Vec<String>,
    nodes: SecondaryMap<UpstreamKey, Node>,
    turns: BTreeMap<String, usize>,
    flights: BTreeMap<RequestId, Flight>,
    attempts: BTreeMap<AttemptId, RequestId>,
    next_attempt: u64,
}

/// State of one upstream.
#[derive(Clone, Debug, Default)]
struct Node {
    load: Option<Load>,
    online: u32,
    batch: u32,
    limit: u32,
    first_ms: f64,
}

impl Machine {
    /// A machine that knows no upstream yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            fleet: Fleet::default(),
            document: Arc::default(),
            members: Vec::new(),
            nodes: SecondaryMap::new(),
            turns: BTreeMap::new(),
            flights: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_attempt: 0,
        }
    }

    /// Takes an input and returns what to do, in order.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Arrived(request) => self.arrived(now, request, &mut actions),
            Input::FirstToken { attempt } => self.first_token(now, attempt),
            Input::Silent { .. }
            | Input::Tokens { .. }
            | Input::Cached { .. }
            | Input::OnlineNotice { .. } => {}
            Input::Ended { attempt, outcome, delivered } => {
                self.ended(now, attempt, outcome, delivered, &mut actions);
            }
            Input::Abandoned { request } => self.abandoned(request, &mut actions),
            Input::Load { upstream, load } => self.loaded(&upstream, load, &mut actions),
            Input::BatchStarted { upstream } => self.batch(&upstream, 1),
            Input::BatchEnded { upstream, .. } => self.batch(&upstream, -1),
            Input::Fleet { vms, document } => self.changed(&vms, document, &mut actions),
            Input::Members { names, .. } => {
                self.members = names;
                self.pace(&mut actions);
            }
            Input::Tick => self.expire(now, &mut actions),
        }
        actions
    }

    /// The upstreams with their addresses.
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Requests a second that this daemon sees.
    pub fn demand(&self) -> Vec<Demand> {
        Vec::new()
    }

    /// The upstreams in order of name.
    pub fn status(&self) -> Vec<Status> {
        let entries = self.fleet.by_name.values();
        entries
            .filter_map(|&key| {
                let upstream = self.fleet.upstreams.get(key)?;
                let node = self.nodes.get(key)?;
                let load = node.load.unwrap_or_default();
                let state = match node.load {
                    _ if upstream.leaving || load.leaving => State::Leaving,
                    Some(load) if !load.ready => State::Loading,
                    _ => State::Ready,
                };
                Some(Status {
                    name: upstream.name.clone(),
                    deployment: upstream.deployment.clone(),
                    data_centre: upstream.data_centre.clone(),
                    state,
                    online: node.online,
                    batch: node.batch,
                    reported_running: load.running,
                    first_token_ms: node.first_ms,
                })
            })
            .collect()
    }

    fn arrived(&mut self, now: Time, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if self.flights.contains_key(&id) {
            return;
        }
        let flight = Flight::new(request);
        if flight.expired(now) {
            actions.push(refuse(&flight, Refusal::Expired));
            return;
        }
        self.flights.insert(id, flight);
        self.dispatch(now, id, Refusal::Unavailable, actions);
    }

    fn dispatch(&mut self, now: Time, id: RequestId, or: Refusal, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&id) else { return };
        let Some(upstream) = self.select(&flight.request.deployment.clone(), &flight.tried.clone())
        else {
            self.give_up(id, or, actions);
            return;
        };
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.running.push(Try { id: attempt, upstream, started: now, first: None });
        flight.tried.push(upstream);
        self.attempts.insert(attempt, id);
        if let Some(node) = self.nodes.get_mut(upstream) {
            node.online += 1;
        }
        actions.push(Action::Dispatch(Attempt {
            request: id,
            id: attempt,
            upstream,
            silence: SILENCE,
        }));
    }

    fn select(&mut self, deployment: &str, tried: &[UpstreamKey]) -> Option<UpstreamKey> {
        let candidates: Vec<_> = self
            .fleet
            .by_name
            .values()
            .copied()
            .filter(|&key| self.in_service(key, deployment) && !tried.contains(&key))
            .collect();
        let turn = self.turns.entry(deployment.to_owned()).or_default();
        *turn = turn.wrapping_add(1);
        candidates.get(*turn % candidates.len().max(1)).copied()
    }

    fn in_service(&self, key: UpstreamKey, deployment: &str) -> bool {
        let listed = self
            .fleet
            .upstreams
            .get(key)
            .is_some_and(|upstream| !upstream.leaving && upstream.deployment == deployment);
        let load = self.nodes.get(key).and_then(|node| node.load);
        listed && load.is_none_or(|load| load.ready && !load.leaving)
    }

    fn first_token(&mut self, now: Time, attempt: AttemptId) {
        let Some(flight) = self.attempts.get(&attempt).and_then(|id| self.flights.get_mut(id))
        else {
            return;
        };
        flight.may_have_run = true;
        let Some(running) = flight.attempt(attempt) else { return };
        if running.first.replace(now).is_none()
            && let Some(node) = self.nodes.get_mut(running.upstream)
        {
            let sample = now.since(running.started).as_secs_f64() * 1_000.0;
            node.first_ms += (sample - node.first_ms) * if node.first_ms > 0.0 { 0.2 } else { 1.0 };
        }
    }

    fn ended(
        &mut self,
        now: Time,
        attempt: AttemptId,
        outcome: Outcome,
        delivered: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(id) = self.attempts.remove(&attempt) else { return };
        let Some(flight) = self.flights.get_mut(&id) else { return };
        let Some(at) = flight.running.iter().position(|running| running.id == attempt) else {
            return;
        };
        let ended = flight.running.swap_remove(at);
        if let Some(node) = self.nodes.get_mut(ended.upstream) {
            node.online = node.online.saturating_sub(1);
        }
        flight.delivered |= delivered;
        let not_run = outcome == Outcome::NotRun && ended.first.is_none() && !delivered;
        flight.may_have_run |= !not_run;
        if matches!(outcome, Outcome::Done | Outcome::Cancelled) {
            self.flights.remove(&id);
            return;
        }
        let resumable = self
            .document
            .deployments
            .get(&flight.request.deployment)
            .is_some_and(|deployment| deployment.kind == Kind::Model);
        if flight.expired(now) {
            self.give_up(id, Refusal::Expired, actions);
        } else if !not_run && !flight.request.idempotent {
            self.give_up(id, Refusal::OutcomeUnknown, actions);
        } else if flight.tried.len() >= ATTEMPTS || (flight.delivered && !resumable) {
            self.give_up(id, Refusal::GivenUp, actions);
        } else {
            self.dispatch(now, id, Refusal::GivenUp, actions);
        }
    }

    fn abandoned(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(flight) = self.flights.remove(&id) {
            self.cancel(&flight, actions);
        }
    }

    fn give_up(&mut self, id: RequestId, refusal: Refusal, actions: &mut Vec<Action>) {
        let Some(mut flight) = self.flights.remove(&id) else { return };
        self.cancel(&flight, actions);
        flight.may_have_run |= !flight.running.is_empty();
        actions.push(refuse(&flight, refusal));
    }

    fn cancel(&mut self, flight: &Flight, actions: &mut Vec<Action>) {
        for running in &flight.running {
            self.attempts.remove(&running.id);
            if let Some(node) = self.nodes.get_mut(running.upstream) {
                node.online = node.online.saturating_sub(1);
            }
            actions.push(Action::Cancel { attempt: running.id, request: flight.request.id });
        }
    }

    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        let expired: Vec<_> = self
            .flights
            .iter()
            .filter(|(_, flight)| flight.expired(now))
            .map(|(&id, flight)| (id, flight.request.idempotent))
            .collect();
        for (id, idempotent) in expired {
            let refusal = if idempotent { Refusal::Expired } else { Refusal::OutcomeUnknown };
            self.give_up(id, refusal, actions);
        }
    }

    fn loaded(&mut self, name: &str, load: Load, actions: &mut Vec<Action>) {
        if let Some(&key) = self.fleet.by_name.get(name)
            && let Some(node) = self.nodes.get_mut(key)
        {
            node.load = Some(load);
            self.pace(actions);
        }
    }

    fn batch(&mut self, name: &str, change: i32) {
        if let Some(&key) = self.fleet.by_name.get(name)
            && let Some(node) = self.nodes.get_mut(key)
        {
            node.batch = node.batch.saturating_add_signed(change);
        }
    }

    fn changed(&mut self, vms: &[Vm], document: Arc<Document>, actions: &mut Vec<Action>) {
        self.fleet.update(vms, &document);
        self.document = document;
        for &key in self.fleet.by_name.values() {
            if !self.nodes.contains_key(key) {
                self.nodes.insert(key, Node::default());
            }
        }
        self.pace(actions);
    }

    fn pace(&mut self, actions: &mut Vec<Action>) {
        for (name, &key) in &self.fleet.by_name {
            let Some(upstream) = self.fleet.upstreams.get(key) else { continue };
            let owner = hash::owner(self.members.iter().map(String::as_str), name);
            let mine = owner == Some(&self.settings.daemon) && upstream.kind == Kind::Model;
            let usable = self.in_service(key, &upstream.deployment);
            let Some(node) = self.nodes.get_mut(key) else { continue };
            let slots = node.load.map_or(0, |load| load.slots);
            let streams = if mine && usable { slots / 2 } else { 0 };
            if streams != node.limit {
                node.limit = streams;
                actions.push(Action::BatchLimit {
                    upstream: name.clone(),
                    deployment: upstream.deployment.clone(),
                    streams,
                });
            }
        }
    }
}

const fn refuse(flight: &Flight, refusal: Refusal) -> Action {
    Action::Refuse {
        request: flight.request.id,
        refusal,
        not_run: !flight.may_have_run,
        retry_after: RETRY_AFTER,
    }
}
