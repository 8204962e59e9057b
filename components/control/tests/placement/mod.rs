//! Model of a fleet of relays that place online requests and batch items at shared upstreams, with
//! the delays of messages, without a network.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use cyclamengrade_control::{
    relay::{
        broker::{
            Answer, Ask, Broker, Charge, Class, Held, Holder, Outgoing, Place, Sync, Ticket,
            Urgency, Want,
        },
        origin::Software,
    },
    time::Time,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SLOTS: u32 = 7;
/// Largest number of upstreams of a shard.
const SHARD_UPSTREAMS: u32 = 64;
const SERVICE: Duration = Duration::from_millis(770);
const ITEM: Duration = Duration::from_secs(5);
/// Delay of a message between two relays or to an upstream.
const DELAY: Duration = Duration::from_micros(500);
const SYNC_PERIOD: Duration = Duration::from_millis(500);
const START_WITHIN: Duration = Duration::from_millis(190);
const STEP_PERIOD: Duration = Duration::from_millis(5_800);
const VALLEY: Duration = Duration::from_millis(3_400);
/// Rates in the valley and in the step, relative to the mean.
const STEP: [f64; 2] = [0.383, 1.87];
/// Time at the beginning that is not measured.
const WARM_UP: Time = Time(6_000_000);

/// How relays choose upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// A broker for each shard grants slots.
    Broker,
    /// The less used of two random upstreams, by the relay's own requests.
    Alone,
}

#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub relays: u32,
    pub upstreams: u32,
    /// Mean number of online requests in flight, as a share of all slots.
    pub online_load: f64,
    /// Batch items that arrive per second and relay.
    pub items_per_s: f64,
    /// Time in which the relay of the first shard's broker is dead, if any.
    pub dead_broker: Option<(Time, Time)>,
    pub length: Time,
}

/// What happened after the warm-up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    pub online: u32,
    /// Online requests that reached a full upstream.
    pub queued: u32,
    pub refused: u32,
    /// Online requests that waited for more than 100 ms before they were sent.
    pub waited: u32,
    pub items: u32,
    /// Batch streams that were stopped.
    pub stopped: u32,
    /// Messages between relays.
    pub messages: u32,
    pub messages_per_relay_s: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Item,
    Ask(u32, u64),
    Release(u32, u64),
    Sync(u32),
    Answer(u32, Key),
    Sent(u32, u64),
    End(u32, u64),
    Tick,
}

/// An answer in a form that can be ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Granted(u64, u32),
    Queued,
    Refused(u64),
    Stop(u64),
}

#[derive(Clone, Copy, Debug)]
struct Request {
    class: Class,
    shard: u32,
    arrived: Time,
    upstream: Option<u32>,
    is_running: bool,
    left: Duration,
    started: Time,
}

struct Model {
    fleet: Fleet,
    policy: Policy,
    random: StdRng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    brokers: Vec<Broker>,
    requests: BTreeMap<(u32, u64), Request>,
    next_ticket: u64,
    /// Requests that an upstream runs.
    running: BTreeMap<u32, u32>,
    outcome: Outcome,
}

/// Runs a fleet.
pub fn run(fleet: Fleet, policy: Policy, seed: u64) -> Outcome {
    let shards = fleet.upstreams.div_ceil(SHARD_UPSTREAMS);
    let mut brokers: Vec<Broker> = (0..shards).map(|_| Broker::new()).collect();
    for (shard, broker) in brokers.iter_mut().enumerate() {
        let shard = shard as u32;
        broker.set_places((0..fleet.upstreams).filter(|id| id % shards == shard).map(|upstream| {
            let software = Software(1);
            Place {
                upstream,
                shard,
                slots: SLOTS,
                data_centre: 0,
                software,
                leaving: false,
                start: 0,
            }
        }));
    }
    let mut model = Model {
        fleet,
        policy,
        random: StdRng::seed_from_u64(seed),
        now: Time::default(),
        events: BinaryHeap::new(),
        sequence: 0,
        brokers,
        requests: BTreeMap::new(),
        next_ticket: 0,
        running: BTreeMap::new(),
        outcome: Outcome::default(),
    };
    model.at(Duration::ZERO, Event::Arrive);
    model.at(Duration::ZERO, Event::Item);
    model.at(Duration::ZERO, Event::Tick);
    for relay in 0..fleet.relays {
        let offset = model.random.random_range(0..SYNC_PERIOD.as_micros() as u64);
        model.at(Duration::from_micros(offset), Event::Sync(relay));
    }
    while let Some(Reverse((time, _, event))) = model.events.pop() {
        if time >= fleet.length {
            break;
        }
        model.now = time;
        model.handle(event);
    }
    let seconds = fleet.length.since(WARM_UP).as_secs_f64();
    let messages = f64::from(model.outcome.messages);
    model.outcome.messages_per_relay_s = messages / seconds / f64::from(fleet.relays);
    model.outcome
}

impl Model {
    fn at(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn count(&mut self, field: fn(&mut Outcome) -> &mut u32) {
        if self.now >= WARM_UP {
            *field(&mut self.outcome) += 1;
        }
    }

    fn is_dead(&self, shard: u32) -> bool {
        let (now, dead) = (self.now, self.fleet.dead_broker);
        shard == 0 && dead.is_some_and(|(from, until)| (from..until).contains(&now))
    }

    fn message(&mut self, event: Event) {
        self.count(|outcome| &mut outcome.messages);
        self.at(DELAY, event);
    }

    /// Schedules the next event of a Poisson process.
    fn next_after(&mut self, per_s: f64, event: Event) {
        let point: f64 = self.random.random();
        self.at(Duration::from_secs_f64(-(1.0 - point).ln() / per_s), event);
    }

    fn open(&mut self, class: Class) -> (u32, u64) {
        let relay = self.random.random_range(0..self.fleet.relays);
        let shard = self.random.random_range(0..self.brokers.len() as u32);
        self.next_ticket += 1;
        let request = Request {
            class,
            shard,
            arrived: self.now,
            upstream: None,
            is_running: false,
            left: if class == Class::Online { SERVICE } else { ITEM },
            started: self.now,
        };
        self.requests.insert((relay, self.next_ticket), request);
        (relay, self.next_ticket)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                let slots = f64::from(self.fleet.upstreams * SLOTS);
                let mean = slots * self.fleet.online_load / SERVICE.as_secs_f64();
                let phase = self.now.0 % STEP_PERIOD.as_micros() as u64;
                let step = STEP[usize::from(phase >= VALLEY.as_micros() as u64)];
                self.next_after(mean * step, Event::Arrive);
                self.count(|outcome| &mut outcome.online);
                let (relay, ticket) = self.open(Class::Online);
                match self.policy {
                    Policy::Broker => self.message(Event::Ask(relay, ticket)),
                    Policy::Alone => self.place_alone(relay, ticket),
                }
            }
            Event::Item => {
                let per_s = self.fleet.items_per_s * f64::from(self.fleet.relays);
                self.next_after(per_s.max(0.001), Event::Item);
                if per_s > 0.0 && self.policy == Policy::Broker {
                    let (relay, _) = self.open(Class::Batch);
                    self.message_sync(relay);
                }
            }
            Event::Ask(relay, ticket) => self.ask(relay, ticket),
            Event::Release(relay, ticket) => {
                let shards = 0..self.brokers.len();
                for shard in shards.filter(|shard| !self.is_dead(*shard as u32)).collect::<Vec<_>>()
                {
                    let now = self.now;
                    let outgoing =
                        self.brokers[shard].release(now, Holder(relay.into()), &[Ticket(ticket)]);
                    self.deliver(outgoing);
                }
            }
            Event::Sync(relay) => {
                self.message_sync(relay);
                self.at(SYNC_PERIOD, Event::Sync(relay));
            }
            Event::Answer(relay, answer) => self.answer(relay, answer),
            Event::Sent(relay, ticket) => self.send(relay, ticket),
            Event::End(relay, ticket) => self.end(relay, ticket),
            Event::Tick => {
                for shard in 0..self.brokers.len() {
                    if !self.is_dead(shard as u32) {
                        let now = self.now;
                        let outgoing = self.brokers[shard].tick(now);
                        self.deliver(outgoing);
                    }
                }
                self.at(Duration::from_millis(10), Event::Tick);
            }
        }
    }

    fn ask(&mut self, relay: u32, ticket: u64) {
        let Some(request) = self.requests.get(&(relay, ticket)).copied() else { return };
        if self.is_dead(request.shard) {
            return self.place_alone(relay, ticket);
        }
        let ask = Ask {
            ticket: Ticket(ticket),
            shard: request.shard,
            start_within: START_WITHIN,
            data_centre: 0,
            connected: BTreeSet::new(),
            avoid: BTreeSet::new(),
            software: None,
            charge: Charge::default(),
        };
        let now = self.now;
        let outgoing = self.brokers[request.shard as usize].ask(now, Holder(relay.into()), ask);
        self.deliver(outgoing);
    }

    fn place_alone(&mut self, relay: u32, ticket: u64) {
        let own = |model: &Self, upstream: u32| {
            let requests = model.requests.range((relay, 0)..=(relay, u64::MAX));
            requests.filter(|(_, request)| request.upstream == Some(upstream)).count()
        };
        let picks = [0, 1].map(|_| self.random.random_range(0..self.fleet.upstreams));
        let upstream = picks[usize::from(own(self, picks[1]) < own(self, picks[0]))];
        if let Some(request) = self.requests.get_mut(&(relay, ticket)) {
            request.upstream = Some(upstream);
        }
        self.at(DELAY, Event::Sent(relay, ticket));
    }

    /// Sends the state of a relay to all brokers in use.
    fn message_sync(&mut self, relay: u32) {
        let mut syncs: BTreeMap<u32, Sync> = BTreeMap::new();
        for ((_, ticket), request) in self.requests.range((relay, 0)..=(relay, u64::MAX)) {
            let sync = syncs.entry(request.shard).or_default();
            let ticket = Ticket(*ticket);
            match (request.upstream, request.class) {
                (Some(upstream), class) => {
                    sync.held.push(Held { ticket, upstream, class, charge: Charge::default() })
                }
                (None, Class::Online) => {
                    sync.pending.insert(ticket);
                }
                (None, Class::Batch) => {
                    let due_ms = (request.arrived.0 / 1_000) + 18_000;
                    let urgency = Urgency { late: false, due_ms };
                    let shard = request.shard;
                    sync.wants.push(Want {
                        ticket,
                        shard,
                        urgency,
                        software: None,
                        charge: Charge::default(),
                    });
                }
            }
        }
        for (shard, sync) in syncs {
            self.count(|outcome| &mut outcome.messages);
            if !self.is_dead(shard) {
                let now = self.now;
                let outgoing = self.brokers[shard as usize].sync(now, Holder(relay.into()), sync);
                self.deliver(outgoing);
            }
        }
    }

    fn deliver(&mut self, outgoing: Vec<Outgoing>) {
        for (holder, answer) in outgoing {
            let key = match answer {
                Answer::Granted { ticket, upstream, .. } => Key::Granted(ticket.0, upstream),
                Answer::Queued { .. } => Key::Queued,
                Answer::Refused { ticket, .. } => Key::Refused(ticket.0),
                Answer::Stop { ticket } => Key::Stop(ticket.0),
            };
            self.message(Event::Answer(holder.0 as u32, key));
        }
    }

    fn answer(&mut self, relay: u32, answer: Key) {
        match answer {
            Key::Granted(ticket, upstream) => {
                let Some(request) = self.requests.get_mut(&(relay, ticket)) else {
                    return self.message(Event::Release(relay, ticket));
                };
                if request.upstream.is_some() {
                    return;
                }
                request.upstream = Some(upstream);
                let waited = self.now.since(request.arrived) > Duration::from_millis(100);
                if waited && request.class == Class::Online {
                    self.count(|outcome| &mut outcome.waited);
                }
                self.at(DELAY, Event::Sent(relay, ticket));
            }
            Key::Refused(ticket) => {
                self.requests.remove(&(relay, ticket));
                self.count(|outcome| &mut outcome.refused);
            }
            Key::Stop(ticket) => {
                self.count(|outcome| &mut outcome.stopped);
                let Some(mut request) = self.requests.remove(&(relay, ticket)) else { return };
                if request.is_running {
                    self.leave(request.upstream);
                    let ran = self.now.since(request.started);
                    request.left = request.left.saturating_sub(ran);
                }
                self.next_ticket += 1;
                let waiting = Request { upstream: None, is_running: false, ..request };
                self.requests.insert((relay, self.next_ticket), waiting);
            }
            Key::Queued => {}
        }
    }

    fn send(&mut self, relay: u32, ticket: u64) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&(relay, ticket)) else { return };
        let Some(upstream) = request.upstream else { return };
        request.is_running = true;
        request.started = now;
        let (left, class) = (request.left, request.class);
        let running = self.running.entry(upstream).or_default();
        *running += 1;
        if *running > SLOTS && class == Class::Online {
            self.count(|outcome| &mut outcome.queued);
        }
        self.at(left, Event::End(relay, ticket));
    }

    fn leave(&mut self, upstream: Option<u32>) {
        if let Some(running) = upstream.and_then(|upstream| self.running.get_mut(&upstream)) {
            *running -= 1;
        }
    }

    fn end(&mut self, relay: u32, ticket: u64) {
        let Some(request) = self.requests.remove(&(relay, ticket)) else { return };
        self.leave(request.upstream);
        if request.class == Class::Batch {
            self.count(|outcome| &mut outcome.items);
        }
        if self.policy == Policy::Broker {
            self.message(Event::Release(relay, ticket));
        }
    }
}
