//! Slots of upstreams that this relay holds, and its requests for them to the brokers.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock},
    time::Duration,
};

use cyclamengrade_control::{
    relay::{
        broker::{
            Answer, Ask, Charge, Class, Held, Load, Measure, Release, Sync, Ticket, Urgency, Want,
            fairness,
        },
        origin::Software,
        shard::{self, Candidate},
    },
    time::Time,
};
use cyclamengrade_peer::slots::{Content, Message, Socket};
use cyclamengrade_telemetry::{event, metrics::RELAY_PLACEMENTS};
use metrics::counter;
use rand::RngExt;
use tokio::{
    sync::{Notify, mpsc},
    time::timeout,
};

use crate::shared::{Member, Phase, Shared, lock};

/// Time within which a broker answers. Several times a round trip between data centres, and a
/// fraction of the latency objectives.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
/// Time after which a request that waits at a broker is repeated, in case the broker has failed.
const REPEAT_PERIOD: Duration = Duration::from_millis(100);
/// Time for which the choice of a broker is kept.
const BROKER_CACHE_TIME: Duration = Duration::from_millis(200);
/// Largest number of upstreams with an idle connection that a request names.
const MAX_CONNECTED: usize = 32;
/// Time for which a late answer of a broker is expected, and limit on the requests that wait for one.
const LATE_ANSWER_TIME: Duration = Duration::from_secs(10);
const MAX_UNANSWERED: usize = 256;
/// Largest number of waiting batch items in one message; the most urgent ones are named.
const MAX_WANTS: usize = 64;

/// A slot that this relay holds.
#[derive(Clone, Copy, Debug)]
struct Slot {
    shard: u32,
    upstream: u32,
    class: Class,
    charge: Charge,
}

/// A batch item that waits for a slot.
#[derive(Clone, Copy, Debug)]
struct Wanted {
    shard: u32,
    urgency: Urgency,
    software: Option<Software>,
    charge: Charge,
    since: Time,
}

struct Pending {
    shard: u32,
    charge: Charge,
    answers: mpsc::UnboundedSender<Answer>,
}

#[derive(Clone, Debug)]
struct Broker {
    name: String,
    address: SocketAddr,
    chosen_at: Time,
}

#[derive(Default)]
struct State {
    last_ticket: u64,
    sequence: u64,
    /// Online requests that wait for an answer.
    pending: BTreeMap<Ticket, Pending>,
    held: BTreeMap<Ticket, Slot>,
    wanted: BTreeMap<Ticket, Wanted>,
    /// Granted slots of batch items that have not started yet.
    granted: BTreeMap<Ticket, Slot>,
    /// Batch streams that brokers asked to stop.
    stopped: BTreeSet<Ticket>,
    /// Slots whose brokers wait for the time to the first event.
    paced: BTreeSet<Ticket>,
    loads: BTreeMap<u32, Load>,
    brokers: BTreeMap<u32, Broker>,
    /// Shards whose brokers are to be told what this relay holds and wants.
    dirty: BTreeSet<u32>,
    /// Addresses that the last regular messages were sent to.
    targets: BTreeSet<SocketAddr>,
    /// Online requests that were not answered in time, and when they asked, the oldest first.
    unanswered: VecDeque<(Ticket, Time)>,
}

impl State {
    fn record_unanswered(&mut self, ticket: Ticket, asked_at: Time) {
        let is_old = |at: Time| asked_at.since(at) >= LATE_ANSWER_TIME;
        while self.unanswered.front().is_some_and(|(_, at)| is_old(*at))
            || self.unanswered.len() >= MAX_UNANSWERED
        {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back((ticket, asked_at));
    }

    /// Returns when a request asked that was not answered in time, at its first late answer.
    fn take_unanswered(&mut self, ticket: Ticket) -> Option<Time> {
        let index = self.unanswered.iter().position(|(late, _)| *late == ticket)?;
        self.unanswered.remove(index).map(|(_, at)| at)
    }
}

/// How an online request got its upstream, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    /// Whether a broker chose the upstream.
    pub granted: bool,
    /// Load of the shard according to the broker.
    pub load: Load,
    /// Time that the choice took.
    pub elapsed: Duration,
}

/// Answer to an online request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Granted {
        ticket: Ticket,
        upstream: u32,
        load: Load,
    },
    Refused(Load),
    /// The broker did not answer.
    Unanswered,
}

/// What an online request needs of its slot.
#[derive(Clone, Debug)]
pub struct Need {
    /// Shards of upstreams that the slot may come from.
    pub shards: Vec<u32>,
    /// Time within which the request has to be sent to its upstream.
    pub start_within: Duration,
    /// Upstreams that the request must not be sent to.
    pub avoid: BTreeSet<u32>,
    /// Software of the upstream, if the request continues a stream.
    pub software: Option<Software>,
    pub charge: Charge,
}

/// Slots that this relay holds and requests for slots.
#[derive(Default)]
pub struct Slots {
    state: Mutex<State>,
    socket: OnceLock<Arc<Socket>>,
    /// Wakes the sender of messages to the brokers of dirty shards.
    pub dirty: Notify,
}

impl Slots {
    /// Sets the socket for messages to other relays. Later calls have no effect.
    pub fn set_socket(&self, socket: Arc<Socket>) {
        let _ = self.socket.set(socket);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Sends a message as the process `incarnation`. Its delivery is not confirmed.
    pub fn send(&self, incarnation: u64, to: SocketAddr, content: Content) {
        if let Some(socket) = self.socket.get() {
            // A failure to send is handled like a lost datagram.
            let _ = socket.send(to, Message { incarnation, content });
        }
    }
}

/// Withdraws a request for a slot that is dropped before its answer was used.
pub(crate) struct Guard {
    shared: Arc<Shared>,
    ticket: Ticket,
    is_done: bool,
}

impl Guard {
    pub(crate) const fn new(shared: Arc<Shared>, ticket: Ticket) -> Self {
        Self { shared, ticket, is_done: false }
    }

    /// Keeps the slot, which another value frees.
    pub(crate) fn finish(mut self) {
        self.is_done = true;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.is_done {
            self.shared.give_back_slot(self.ticket);
        }
    }
}

impl Shared {
    /// Asks for a slot for an online request. If the broker of one shard refuses, another shard is
    /// asked.
    pub async fn ask_slot(self: &Arc<Self>, need: &Need) -> Outcome {
        let begin = self.clock.now();
        let Some(first) = self.pick_shard(&need.shards) else { return Outcome::Unanswered };
        let outcome = self.ask_shard(first, need.start_within, need).await;
        let Outcome::Refused(load) = outcome else { return outcome };
        let others: Vec<u32> =
            need.shards.iter().copied().filter(|shard| *shard != first).collect();
        let left = need.start_within.saturating_sub(self.clock.now().since(begin));
        let Some(second) = self.pick_shard(&others) else { return outcome };
        match self.ask_shard(second, left, need).await {
            Outcome::Unanswered => Outcome::Refused(load),
            answered => answered,
        }
    }

    async fn ask_shard(
        self: &Arc<Self>,
        shard: u32,
        start_within: Duration,
        need: &Need,
    ) -> Outcome {
        let (ticket, mut answers) = self.open_ticket(shard, need.charge);
        let guard = Guard::new(self.clone(), ticket);
        let ask = Ask {
            ticket,
            shard,
            start_within,
            data_centre: shard::name_id(&self.data_centre),
            connected: self.connected(),
            avoid: need.avoid.clone(),
            software: need.software,
            charge: need.charge,
        };
        let begin = self.clock.now();
        let mut is_queued = false;
        let mut was_late = false;
        self.send_ask(&ask, begin);
        loop {
            let limit = if is_queued { REPEAT_PERIOD } else { ANSWER_TIMEOUT };
            let waits_since = self.clock.now();
            match timeout(limit, answers.recv()).await {
                Ok(Some(Answer::Granted { upstream, load, .. })) => {
                    guard.finish();
                    return Outcome::Granted { ticket, upstream, load };
                }
                Ok(Some(Answer::Refused { load, .. })) => return Outcome::Refused(load),
                Ok(Some(Answer::Queued { .. })) => is_queued = true,
                Ok(Some(Answer::Stop { .. })) => {}
                Err(_) if is_queued => {
                    is_queued = false;
                    let left = start_within.saturating_sub(self.clock.now().since(begin));
                    self.send_ask(&Ask { start_within: left, ..ask.clone() }, self.clock.now());
                }
                // This relay got no processor time, and has not read what arrived meanwhile. Only one delay
                // is excused, since a relay that is always late has to learn of a silent broker as well.
                Err(_) if !was_late && self.clock.now().since(waits_since) > limit * 2 => {
                    was_late = true;
                    let left = start_within.saturating_sub(self.clock.now().since(begin));
                    self.send_ask(&Ask { start_within: left, ..ask.clone() }, self.clock.now());
                }
                Ok(None) | Err(_) => {
                    self.slots.state().record_unanswered(ticket, begin);
                    self.record_silence(shard);
                    return Outcome::Unanswered;
                }
            }
        }
    }

    fn open_ticket(&self, shard: u32, charge: Charge) -> (Ticket, mpsc::UnboundedReceiver<Answer>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut state = self.slots.state();
        let ticket = next_ticket(&mut state);
        state.pending.insert(ticket, Pending { shard, charge, answers: sender });
        (ticket, receiver)
    }

    fn send_ask(&self, ask: &Ask, now: Time) {
        let broker = self.broker(ask.shard, now);
        self.slots.send(self.incarnation, broker.address, Content::Ask(ask.clone()));
    }

    /// Records that the broker of a shard did not answer, so that another relay takes its place
    /// after repeated silence.
    fn record_silence(&self, shard: u32) {
        let broker = self.slots.state().brokers.remove(&shard);
        if let Some(broker) = broker {
            self.record_miss(&broker.name, self.clock.now());
            event!(BrokerSilent, member:% = broker.name, shard = shard);
        }
    }

    /// Returns the upstreams to which this relay has an idle connection.
    pub fn connected(&self) -> BTreeSet<u32> {
        let ids = self.pool.idle_ids(MAX_CONNECTED);
        self.selector().short_ids(&ids)
    }

    /// Records that a request uses an upstream without a grant of the broker, which learns of it.
    pub fn hold_slot(&self, shard: u32, upstream: u32, class: Class, charge: Charge) -> Ticket {
        let mut state = self.slots.state();
        let ticket = next_ticket(&mut state);
        state.held.insert(ticket, Slot { shard, upstream, class, charge });
        state.dirty.insert(shard);
        drop(state);
        self.slots.dirty.notify_one();
        ticket
    }

    /// Returns whom a slot that this relay holds is charged to.
    pub fn charge_of(&self, ticket: Ticket) -> Charge {
        self.slots.state().held.get(&ticket).map_or_else(Charge::default, |slot| slot.charge)
    }

    /// Frees a slot, or withdraws a request for one, without having sent anything to the upstream.
    pub fn give_back_slot(&self, ticket: Ticket) {
        self.end_ticket(ticket, Content::GiveBack(vec![ticket]));
    }

    /// Frees a slot after a request was sent to its upstream, and tells how that answered.
    pub fn release_slot(&self, ticket: Ticket, measure: Option<Measure>) {
        let measures = measure.into_iter().collect();
        self.end_ticket(ticket, Content::Release(Release { tickets: vec![ticket], measures }));
    }

    /// Tells the broker of a slot the time to the first event if it waits for that.
    pub fn report_first(&self, measure: Measure) {
        let mut state = self.slots.state();
        if !state.paced.remove(&measure.ticket) {
            return;
        }
        let Some(shard) = state.held.get(&measure.ticket).map(|slot| slot.shard) else { return };
        drop(state);
        let broker = self.broker(shard, self.clock.now());
        let release = Release { tickets: Vec::new(), measures: vec![measure] };
        self.slots.send(self.incarnation, broker.address, Content::Release(release));
    }

    fn end_ticket(&self, ticket: Ticket, message: Content) {
        let mut state = self.slots.state();
        let pending = state.pending.remove(&ticket).map(|pending| pending.shard);
        let wanted = state.wanted.remove(&ticket).map(|wanted| wanted.shard);
        let granted = state.granted.remove(&ticket).map(|slot| slot.shard);
        let held = state.held.remove(&ticket).map(|slot| slot.shard);
        state.stopped.remove(&ticket);
        state.paced.remove(&ticket);
        drop(state);
        if let Some(shard) = pending.or(wanted).or(granted).or(held) {
            let broker = self.broker(shard, self.clock.now());
            self.slots.send(self.incarnation, broker.address, message);
        }
    }

    /// Requests a slot for a batch item. With `software`, the upstream must have this software.
    pub fn want_slot(
        &self,
        shards: &[u32],
        urgency: Urgency,
        software: Option<Software>,
        charge: Charge,
    ) -> Option<Ticket> {
        let shard = self.pick_shard(shards)?;
        let since = self.clock.now();
        let mut state = self.slots.state();
        let ticket = next_ticket(&mut state);
        state.wanted.insert(ticket, Wanted { shard, urgency, software, charge, since });
        state.dirty.insert(shard);
        drop(state);
        self.slots.dirty.notify_one();
        Some(ticket)
    }

    /// Updates the urgency of a batch item that waits. Returns the time for which it has waited, or
    /// `None` if it no longer waits.
    pub fn update_want(&self, ticket: Ticket, urgency: Urgency) -> Option<Duration> {
        let now = self.clock.now();
        let mut state = self.slots.state();
        let wanted = state.wanted.get_mut(&ticket)?;
        let is_changed = std::mem::replace(&mut wanted.urgency, urgency) != urgency;
        let (shard, waited) = (wanted.shard, now.since(wanted.since));
        if is_changed {
            state.dirty.insert(shard);
            drop(state);
            self.slots.dirty.notify_one();
        }
        Some(waited)
    }

    /// Takes the slot that was granted to a batch item. Returns the upstream.
    pub fn take_granted(&self, ticket: Ticket) -> Option<u32> {
        let mut state = self.slots.state();
        let slot = state.granted.remove(&ticket)?;
        state.held.insert(ticket, slot);
        Some(slot.upstream)
    }

    /// Takes the batch streams that brokers asked to stop.
    pub fn take_stopped(&self) -> BTreeSet<Ticket> {
        std::mem::take(&mut self.slots.state().stopped)
    }

    /// Keeps a batch stream that is asked to stop until its run is known, if it still holds its slot.
    pub fn keep_stopped(&self, ticket: Ticket) {
        let mut state = self.slots.state();
        if state.held.contains_key(&ticket) {
            state.stopped.insert(ticket);
        }
    }

    /// Handles an answer of a broker.
    pub fn handle_answer(&self, from: SocketAddr, answer: Answer) {
        let mut state = self.slots.state();
        let (Answer::Granted { ticket, .. }
        | Answer::Queued { ticket, .. }
        | Answer::Refused { ticket, .. }
        | Answer::Stop { ticket }) = answer;
        if let Some(asked_at) = state.take_unanswered(ticket) {
            let elapsed = self.clock.now().since(asked_at);
            event!(BrokerLate, from:% = from, elapsed_ms = elapsed.as_millis() as u64);
        }
        match answer {
            Answer::Granted { ticket, upstream, load, paced } => {
                if paced {
                    state.paced.insert(ticket);
                }
                if let Some(pending) = state.pending.remove(&ticket) {
                    let Pending { shard, charge, .. } = pending;
                    let slot = Slot { shard, upstream, class: Class::Online, charge };
                    state.loads.insert(slot.shard, load);
                    state.held.insert(ticket, slot);
                    drop(state);
                    // Fails only if the request was dropped, and its guard frees the slot.
                    let _ = pending.answers.send(answer);
                } else if let Some(wanted) = state.wanted.remove(&ticket) {
                    let Wanted { shard, charge, .. } = wanted;
                    let slot = Slot { shard, upstream, class: Class::Batch, charge };
                    state.loads.insert(slot.shard, load);
                    state.granted.insert(ticket, slot);
                    drop(state);
                    self.batch_changed.notify_one();
                } else if !state.held.contains_key(&ticket) && !state.granted.contains_key(&ticket)
                {
                    state.paced.remove(&ticket);
                    drop(state);
                    self.slots.send(self.incarnation, from, Content::GiveBack(vec![ticket]));
                }
            }
            Answer::Queued { ticket, load } | Answer::Refused { ticket, load } => {
                let Some(pending) = state.pending.get(&ticket) else { return };
                let (shard, answers) = (pending.shard, pending.answers.clone());
                state.loads.insert(shard, load);
                drop(state);
                let _ = answers.send(answer);
            }
            Answer::Stop { ticket } => {
                if state.held.contains_key(&ticket) {
                    state.stopped.insert(ticket);
                    drop(state);
                    self.batch_changed.notify_one();
                } else if state.granted.contains_key(&ticket) {
                    drop(state);
                    self.give_back_slot(ticket);
                    self.batch_changed.notify_one();
                }
            }
        }
    }

    /// Returns the less loaded of two random shards, as far as the load is known.
    fn pick_shard(&self, shards: &[u32]) -> Option<u32> {
        let mut random = rand::rng();
        let state = self.slots.state();
        let mut pick = || match shards.len() {
            0 => None,
            count => shards.get(random.random_range(0..count)).copied(),
        };
        let load = |shard: &u32| state.loads.get(shard).map_or(0, |load| load.permille);
        [pick(), pick()].into_iter().flatten().min_by_key(load)
    }

    /// Returns the broker of a shard.
    fn broker(&self, shard: u32, now: Time) -> Broker {
        let known = self.slots.state().brokers.get(&shard).cloned();
        if let Some(known) = known
            && now.since(known.chosen_at) < BROKER_CACHE_TIME
        {
            return known;
        }
        let (name, address) = self.choose_broker(shard, now);
        let broker = Broker { name, address, chosen_at: now };
        let mut state = self.slots.state();
        let previous = state.brokers.insert(shard, broker.clone());
        if previous.is_none_or(|previous| previous.name != broker.name) {
            // The new broker does not know what this relay holds.
            state.dirty.insert(shard);
            drop(state);
            self.slots.dirty.notify_one();
            event!(BrokerChosen, member:% = broker.name, shard = shard);
        }
        broker
    }

    fn choose_broker(&self, shard: u32, now: Time) -> (String, SocketAddr) {
        let server = self.servers(&format!("broker {shard}"), 1, now).into_iter().next();
        server.unwrap_or_else(|| (self.name.clone(), self.address()))
    }

    /// Returns the name and the address of the broker of a shard, and the load that it stated last, without
    /// recording the choice.
    pub fn view_broker(&self, shard: u32) -> (String, SocketAddr, Option<Load>) {
        let now = self.clock.now();
        let (known, load) = {
            let state = self.slots.state();
            (state.brokers.get(&shard).cloned(), state.loads.get(&shard).copied())
        };
        match known.filter(|known| now.since(known.chosen_at) < BROKER_CACHE_TIME) {
            Some(known) => (known.name, known.address, load),
            None => {
                let (name, address) = self.choose_broker(shard, now);
                (name, address, load)
            }
        }
    }

    /// Returns the addresses of the brokers that this relay uses, by shard.
    pub fn broker_addresses(&self) -> BTreeMap<u32, SocketAddr> {
        let state = self.slots.state();
        state.brokers.iter().map(|(shard, broker)| (*shard, broker.address)).collect()
    }

    /// Forgets the choices of brokers, so that the next ones are made anew.
    pub(crate) fn forget_brokers(&self) {
        self.slots.state().brokers.clear();
    }

    /// Whether another relay serves in place of this one when it stops.
    pub(crate) fn has_successor(&self) -> bool {
        let seen = self.last_news();
        self.members().values().any(|member| member.health.is_running(seen))
    }

    /// Returns the relays, with their addresses, that serve a key for all others.
    ///
    /// Relays that are stopping, also this one, do not serve while there are others, so that all choose the
    /// same ones.
    pub fn servers(&self, key: &str, count: usize, now: Time) -> Vec<(String, SocketAddr)> {
        let seen = self.last_news();
        let is_running = *self.phase.borrow() == Phase::Running;
        let members = self.members();
        let own =
            Candidate { name: &self.name, capacity: self.capacity(), joined_ms: self.joined_ms() };
        let running = members.iter().filter(|(_, member)| member.health.is_responsive(now, seen));
        let mut candidates: Vec<_> =
            running.map(candidate).chain(Some(own).filter(|_| is_running)).collect();
        if candidates.is_empty() {
            let stopping = members.iter().filter(|(_, member)| member.health.answers(now, seen));
            candidates = stopping.map(candidate).chain([own]).collect();
        }
        let now_ms = self.clock.store_ms().unwrap_or(0);
        let address =
            |name: &str| members.get(name).map_or_else(|| self.address(), |member| member.address);
        shard::servers(&candidates, key, count, now_ms)
            .into_iter()
            .map(|name| (name.to_owned(), address(name)))
            .collect()
    }

    /// Returns the messages that tell the brokers of the given shards what this relay holds and
    /// wants, by address; of all shards in use if `shards` is `None`.
    pub fn syncs(&self, shards: Option<&BTreeSet<u32>>) -> BTreeMap<SocketAddr, (String, Sync)> {
        let now = self.clock.now();
        let (failed, limits) = {
            let selector = self.selector();
            (selector.avoided(self.clock.running()), selector.limits(now))
        };
        self.update_shards();
        let mut in_use: BTreeSet<u32> = {
            let state = self.slots.state();
            let held = state.held.values().chain(state.granted.values()).map(|slot| slot.shard);
            let pending = state.pending.values().map(|pending| pending.shard);
            let wanted = state.wanted.values().map(|wanted| wanted.shard);
            held.chain(pending).chain(wanted).collect()
        };
        in_use.extend(shards.into_iter().flatten());
        // A new broker has to learn of a limit from relays that use none of its slots, too.
        in_use.extend(limits.iter().map(|(shard, _)| *shard));
        let brokers: BTreeMap<u32, Broker> =
            in_use.into_iter().map(|shard| (shard, self.broker(shard, now))).collect();
        let wanted_targets: BTreeSet<SocketAddr> = match shards {
            Some(shards) => shards.iter().map(|shard| brokers[shard].address).collect(),
            None => brokers.values().map(|broker| broker.address).collect(),
        };
        let state = self.slots.state();
        let mut syncs: BTreeMap<SocketAddr, (String, Sync)> = BTreeMap::new();
        for broker in brokers.values().filter(|broker| wanted_targets.contains(&broker.address)) {
            let sync = Sync { failed: failed.clone(), ..Sync::default() };
            syncs.entry(broker.address).or_insert((broker.name.clone(), sync));
        }
        let address = |shard: u32| brokers.get(&shard).map(|broker| broker.address);
        for (ticket, slot) in state.held.iter().chain(&state.granted) {
            let Some((_, sync)) = address(slot.shard).and_then(|to| syncs.get_mut(&to)) else {
                continue;
            };
            let Slot { upstream, class, charge, .. } = *slot;
            sync.held.push(Held { ticket: *ticket, upstream, class, charge });
        }
        for (shard, news) in &limits {
            if let Some((_, sync)) = address(*shard).and_then(|to| syncs.get_mut(&to)) {
                sync.limits.push(*news);
            }
        }
        for (ticket, pending) in &state.pending {
            if let Some((_, sync)) = address(pending.shard).and_then(|to| syncs.get_mut(&to)) {
                sync.pending.insert(*ticket);
            }
        }
        let mut wanted: Vec<(&Ticket, &Wanted)> = state.wanted.iter().collect();
        wanted.sort_by_key(|(ticket, wanted)| (wanted.urgency, **ticket));
        // A large job of one account does not hide the items of others.
        for (ticket, wanted) in fairness::by_turns(wanted, |(_, wanted)| wanted.charge.account) {
            if let Some((_, sync)) = address(wanted.shard).and_then(|to| syncs.get_mut(&to))
                && sync.wants.len() < MAX_WANTS
            {
                let Wanted { shard, urgency, software, charge, .. } = *wanted;
                sync.wants.push(Want { ticket: *ticket, shard, urgency, software, charge });
            }
        }
        drop(state);
        let addresses = self.broker_addresses();
        for (address, (_, sync)) in &mut syncs {
            self.add_told(*address, &addresses, sync, now);
        }
        syncs
    }

    /// Moves the slots of upstreams whose shard has changed to their new shards.
    fn update_shards(&self) {
        let selector = self.selector();
        let mut state = self.slots.state();
        let State { held, granted, .. } = &mut *state;
        for slot in held.values_mut().chain(granted.values_mut()) {
            slot.shard = selector.shard_of(slot.upstream).unwrap_or(slot.shard);
        }
    }

    /// Returns the shards whose brokers are to be told of changes, and clears them.
    pub fn take_dirty_shards(&self) -> BTreeSet<u32> {
        std::mem::take(&mut self.slots.state().dirty)
    }

    /// Marks all shards in use as changed, for example after an upstream failed.
    pub fn mark_all_dirty(&self) {
        let mut state = self.slots.state();
        let held = state.held.values().map(|slot| slot.shard);
        let wanted = state.wanted.values().map(|wanted| wanted.shard);
        let shards: BTreeSet<u32> = held.chain(wanted).collect();
        state.dirty.extend(shards);
        drop(state);
        self.slots.dirty.notify_one();
    }

    /// Marks a shard as changed, so that its broker is told.
    pub fn mark_dirty(&self, shard: u32) {
        self.slots.state().dirty.insert(shard);
        self.slots.dirty.notify_one();
    }

    /// Replaces the addresses of the last regular messages, and returns the previous ones.
    pub fn swap_targets(&self, targets: BTreeSet<SocketAddr>) -> BTreeSet<SocketAddr> {
        std::mem::replace(&mut self.slots.state().targets, targets)
    }

    /// Returns the next sequence number of a message about the state of this relay.
    pub fn next_sequence(&self) -> u64 {
        let mut state = self.slots.state();
        state.sequence += 1;
        state.sequence
    }

    /// Counts a placement of an online request.
    pub fn record_placement(outcome: &'static str) {
        counter!(RELAY_PLACEMENTS, "outcome" => outcome).increment(1);
    }
}

fn candidate<'a>((name, member): (&'a String, &Member)) -> Candidate<'a> {
    Candidate { name, capacity: member.capacity, joined_ms: member.joined_ms }
}

fn next_ticket(state: &mut State) -> Ticket {
    state.last_ticket += 1;
    Ticket(state.last_ticket)
}
