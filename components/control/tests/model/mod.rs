//! Discrete-event simulation of daemons and of engines with slots, with online requests and an
//! endless backlog of batch items.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use cyclamengrade_configuration::{Deployment, Document};
use cyclamengrade_control::{
    fleet::Vm,
    time::Time,
    traffic::{
        Action, AttemptId, Input, Load, Machine, Outcome, Request, RequestId, ServingState,
        Settings,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// One-way network delay between two processes.
const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Time between two tokens of a stream at normal speed.
const TOKEN_GAP: Duration = Duration::from_millis(10);
/// Minimum time to the first token of a stream once it has a slot.
const MIN_PREFILL_MS: f64 = 40.0;
/// Mean of the additional, exponentially distributed time to the first token.
const MEAN_EXTRA_PREFILL_MS: f64 = 20.0;
/// Time between two load reports of an engine.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Age of a load report when it arrives.
const REPORT_AGE: Duration = Duration::from_millis(100);
/// Number of tokens of a batch item.
const ITEM_TOKENS: u32 = 60;

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub naive: bool,
    pub daemons: usize,
    pub upstreams: usize,
    /// Number of slots of each upstream.
    pub slots: u32,
    /// Simulated time in seconds.
    pub seconds: u64,
    /// Rate of online requests over all daemons.
    pub requests_per_s: f64,
    /// Number of tokens of an online request.
    pub tokens: u32,
    /// Share of requests with 50 times the tokens.
    pub stragglers: f64,
    /// Whether batch items run.
    pub batch: bool,
    /// Factor by which the slowed upstreams are slower; 1 for no slowdown.
    pub slowdown: f64,
    /// One in this many upstreams is slowed.
    pub slowed_one_in: u64,
    /// Time at which the slowdown starts.
    pub slowdown_start: Duration,
    /// Period after which the slowdown moves on to other upstreams.
    pub slowdown_period: Duration,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            naive: false,
            daemons: 10,
            upstreams: 10,
            slots: 8,
            seconds: 60,
            requests_per_s: 80.0,
            tokens: 20,
            stragglers: 0.0,
            batch: false,
            slowdown: 1.0,
            slowed_one_in: 5,
            slowdown_start: Duration::ZERO,
            slowdown_period: Duration::from_secs(1_000),
        }
    }
}

/// Measurements of a simulation, without its first 5 s.
#[derive(Debug, Default)]
pub struct Measured {
    /// Times to the first token of online requests.
    pub first_token_ms: Vec<f64>,
    /// Times to the last token of online requests that are not stragglers.
    pub short_request_ms: Vec<f64>,
    pub requests: u64,
    pub dispatches: u64,
    pub refused: u64,
    pub batch_tokens: f64,
    /// Slot time not used by online requests, in slot-seconds.
    pub spare_slot_s: f64,
    /// Maximum over time of the share of ejected upstreams, averaged over the daemons.
    pub max_ejected_share: f64,
}

impl Measured {
    pub fn p99(values: &[f64]) -> f64 {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len().saturating_sub(1) * 99 / 100).copied().unwrap_or_default()
    }

    /// Returns the number of dispatches beyond the first of each request, relative to all requests.
    pub fn extra_dispatch_ratio(&self) -> f64 {
        (self.dispatches as f64 - (self.requests - self.refused) as f64) / self.requests as f64
    }

    /// Returns the batch throughput relative to the capacity of the spare slots.
    pub fn batch_share(&self) -> f64 {
        let item = (MIN_PREFILL_MS + MEAN_EXTRA_PREFILL_MS) / 1e3
            + f64::from(ITEM_TOKENS - 1) * TOKEN_GAP.as_secs_f64();
        self.batch_tokens / (self.spare_slot_s / item * f64::from(ITEM_TOKENS))
    }
}

#[derive(Debug)]
enum Event {
    Arrive,
    Tick(usize),
    Report(usize),
    DeliverReport { upstream: usize, load: Load },
    OpenStream { upstream: usize, stream: u64 },
    CloseStream { upstream: usize, stream: u64 },
    FirstToken { upstream: usize, stream: u64 },
    LastToken { upstream: usize, stream: u64 },
    Input { daemon: usize, input: Input },
}

#[derive(Clone, Debug)]
struct Stream {
    daemon: usize,
    online: Option<(RequestId, AttemptId)>,
    tokens: u32,
    opened: Time,
    started: Option<Time>,
    first: Option<Time>,
    gap: Duration,
}

#[derive(Default)]
struct Engine {
    running: Vec<u64>,
    queue: VecDeque<u64>,
    accounted_until: Time,
}

struct PendingRequest {
    arrived: Time,
    short: bool,
}

pub struct Model {
    plan: Plan,
    rng: StdRng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    event_by_sequence: BTreeMap<u64, Event>,
    sequence: u64,
    machines: Vec<Machine>,
    engines: Vec<Engine>,
    streams: BTreeMap<u64, Stream>,
    attempts: BTreeMap<(usize, AttemptId), (usize, u64)>,
    batch_streams: BTreeMap<(usize, usize), (u32, Vec<u64>)>,
    requests: BTreeMap<(usize, RequestId), PendingRequest>,
    measured: Measured,
}

impl Model {
    pub fn run(plan: Plan) -> Measured {
        let mut model = Self::new(plan);
        let end = Time::from_millis(model.plan.seconds * 1_000);
        while let Some(Reverse((at, number))) = model.events.pop() {
            if at > end {
                break;
            }
            model.now = at;
            if let Some(event) = model.event_by_sequence.remove(&number) {
                model.step(event);
            }
        }
        model.measured
    }

    fn new(plan: Plan) -> Self {
        let names: Vec<_> = (0..plan.daemons).map(|n| format!("vm-{n}")).collect();
        let mut document = Document::default();
        document.deployments.insert("lm".into(), Deployment::model("telaio", "1"));
        let document = Arc::new(document);
        let vms: Arc<Vec<_>> = Arc::new((0..plan.upstreams).map(vm).collect());
        let machines = names.iter().enumerate().map(|(n, name)| {
            let mut machine = Machine::new(Settings {
                daemon: name.clone(),
                data_centre: "biella".into(),
                seed: plan.seed * 1_000 + n as u64,
                subset: 64,
                queue: 256,
                retry_share: 0.05,
                naive: plan.naive,
            });
            let now = Time::default();
            let fleet = Input::Fleet { vms: vms.clone(), document: document.clone() };
            machine.handle(now, fleet);
            machine.handle(now, Input::Members { names: names.clone(), demand: Vec::new() });
            machine
        });
        let mut model = Self {
            rng: StdRng::seed_from_u64(plan.seed),
            now: Time::default(),
            events: BinaryHeap::new(),
            event_by_sequence: BTreeMap::new(),
            sequence: 0,
            machines: machines.collect(),
            engines: (0..plan.upstreams).map(|_| Engine::default()).collect(),
            streams: BTreeMap::new(),
            attempts: BTreeMap::new(),
            batch_streams: BTreeMap::new(),
            requests: BTreeMap::new(),
            measured: Measured::default(),
            plan,
        };
        model.schedule(Duration::ZERO, Event::Arrive);
        for n in 0..model.plan.daemons {
            model.schedule(Duration::from_millis(n as u64), Event::Tick(n));
        }
        for n in 0..model.plan.upstreams {
            model
                .schedule(REPORT_PERIOD * n as u32 / model.plan.upstreams as u32, Event::Report(n));
        }
        model
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence)));
        self.event_by_sequence.insert(self.sequence, event);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Tick(daemon) => {
                self.input(daemon, Input::Tick);
                let has_waiting = self.machines[daemon].needs_fast_ticks();
                self.schedule(
                    Duration::from_millis(if has_waiting { 5 } else { 100 }),
                    Event::Tick(daemon),
                );
            }
            Event::Report(upstream) => {
                if upstream == 0 && self.now >= Time::default() + self.plan.slowdown_start {
                    self.measure_ejected_share();
                }
                let engine = &self.engines[upstream];
                let load = Load {
                    running: engine.running.len() as u32,
                    queued: engine.queue.len() as u32,
                    slots: self.plan.slots,
                    age_ms: REPORT_AGE.as_millis() as u32,
                    leaving: false,
                    ready: true,
                };
                self.schedule(REPORT_AGE, Event::DeliverReport { upstream, load });
                self.schedule(REPORT_PERIOD, Event::Report(upstream));
            }
            Event::DeliverReport { upstream, load } => {
                for daemon in 0..self.plan.daemons {
                    self.input(daemon, Input::Load { upstream: name(upstream), load });
                }
            }
            Event::OpenStream { upstream, stream } => {
                self.engines[upstream].queue.push_back(stream);
                self.admit_queued(upstream);
            }
            Event::CloseStream { upstream, stream } => self.close_stream(upstream, stream),
            Event::FirstToken { upstream, stream } => self.first_token(upstream, stream),
            Event::LastToken { upstream, stream } => self.last_token(upstream, stream),
            Event::Input { daemon, input } => self.input(daemon, input),
        }
    }

    fn measure_ejected_share(&mut self) {
        let entries: Vec<_> = self.machines.iter().flat_map(Machine::upstream_status).collect();
        let out = entries.iter().filter(|entry| entry.state == ServingState::Ejected).count();
        let share = out as f64 / entries.len() as f64;
        self.measured.max_ejected_share = self.measured.max_ejected_share.max(share);
    }

    fn arrive(&mut self) {
        let daemon = self.rng.random_range(0..self.plan.daemons);
        let straggler = self.rng.random::<f64>() < self.plan.stragglers;
        let id = RequestId(self.sequence);
        let pending = PendingRequest { arrived: self.now, short: !straggler };
        self.requests.insert((daemon, id), pending);
        if self.is_after_warm_up() {
            self.measured.requests += 1;
        }
        let request = Request {
            id,
            client: "tessiture".into(),
            deployment: "lm".into(),
            prefix: 0,
            deadline: Some(self.now + Duration::from_secs(60)),
            idempotent: true,
        };
        self.input(daemon, Input::Arrived(request));
        let gap = -self.rng.random::<f64>().max(1e-9).ln() / self.plan.requests_per_s;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
    }

    fn input(&mut self, daemon: usize, input: Input) {
        for action in self.machines[daemon].handle(self.now, input) {
            self.perform(daemon, action);
        }
    }

    fn perform(&mut self, daemon: usize, action: Action) {
        match action {
            Action::Dispatch(attempt) => {
                let key = (daemon, attempt.request);
                let Some(pending) = self.requests.get(&key) else { return };
                let tokens = self.plan.tokens * if pending.short { 1 } else { 50 };
                let label = &self.machines[daemon].fleet().upstreams[attempt.upstream].name;
                let upstream = number(label);
                let stream =
                    self.open_stream(daemon, upstream, Some((attempt.request, attempt.id)), tokens);
                self.attempts.insert((daemon, attempt.id), (upstream, stream));
                if self.is_after_warm_up() {
                    self.measured.dispatches += 1;
                }
            }
            Action::Cancel { attempt, .. } => {
                if let Some((upstream, stream)) = self.attempts.remove(&(daemon, attempt)) {
                    self.schedule(NETWORK_DELAY, Event::CloseStream { upstream, stream });
                }
            }
            Action::Refuse { request, .. } => {
                self.requests.remove(&(daemon, request));
                if self.is_after_warm_up() {
                    self.measured.refused += 1;
                }
            }
            Action::BatchLimit { upstream, streams, .. } => {
                if self.plan.batch {
                    let upstream = number(&upstream);
                    self.batch_streams.entry((daemon, upstream)).or_default().0 = streams;
                    self.adjust_batch_streams(daemon, upstream);
                }
            }
            Action::Notify { dispatcher, upstream, in_flight } => {
                let from = format!("vm-{daemon}");
                let input = Input::OnlineNotice { from, upstream, in_flight };
                self.schedule(NETWORK_DELAY, Event::Input { daemon: number(&dispatcher), input });
            }
        }
    }

    /// Opens or closes batch streams of a daemon at an upstream until their number equals the
    /// limit.
    fn adjust_batch_streams(&mut self, daemon: usize, upstream: usize) {
        while let Some((limit, open)) = self.batch_streams.get_mut(&(daemon, upstream)) {
            let closed = if open.len() > *limit as usize {
                let Some(stream) = open.pop() else { return };
                self.schedule(NETWORK_DELAY, Event::CloseStream { upstream, stream });
                true
            } else if open.len() < *limit as usize {
                let stream = self.open_stream(daemon, upstream, None, ITEM_TOKENS);
                if let Some((_, open)) = self.batch_streams.get_mut(&(daemon, upstream)) {
                    open.push(stream);
                }
                false
            } else {
                return;
            };
            let upstream = name(upstream);
            let input = if closed {
                Input::BatchEnded {
                    upstream,
                    outcome: Outcome::Cancelled,
                    first_token: None,
                    between_tokens: None,
                }
            } else {
                Input::BatchStarted { upstream }
            };
            self.input(daemon, input);
        }
    }

    fn open_stream(
        &mut self,
        daemon: usize,
        upstream: usize,
        online: Option<(RequestId, AttemptId)>,
        tokens: u32,
    ) -> u64 {
        let stream = self.sequence + 1;
        let opened = self.now;
        self.streams.insert(
            stream,
            Stream { daemon, online, tokens, opened, started: None, first: None, gap: TOKEN_GAP },
        );
        self.schedule(NETWORK_DELAY, Event::OpenStream { upstream, stream });
        stream
    }

    fn admit_queued(&mut self, upstream: usize) {
        self.account_spare_slots(upstream);
        while self.engines[upstream].running.len() < self.plan.slots as usize {
            let Some(number) = self.engines[upstream].queue.pop_front() else { return };
            let more = -self.rng.random::<f64>().max(1e-9).ln() * MEAN_EXTRA_PREFILL_MS;
            let slowdown = self.slowdown(upstream);
            let prefill = Duration::from_secs_f64((MIN_PREFILL_MS + more) / 1e3 * slowdown);
            let Some(stream) = self.streams.get_mut(&number) else { continue };
            stream.started = Some(self.now);
            stream.gap = TOKEN_GAP.mul_f64(slowdown);
            self.engines[upstream].running.push(number);
            self.schedule(prefill, Event::FirstToken { upstream, stream: number });
        }
    }

    fn slowdown(&self, upstream: usize) -> f64 {
        if self.now < Time::default() + self.plan.slowdown_start {
            return 1.0;
        }
        let turn = self.now.0 / self.plan.slowdown_period.as_micros() as u64;
        let slow = (upstream as u64 + turn).is_multiple_of(self.plan.slowed_one_in);
        if slow { self.plan.slowdown } else { 1.0 }
    }

    fn first_token(&mut self, upstream: usize, number: u64) {
        let now = self.now;
        let Some(stream) = self.streams.get_mut(&number) else { return };
        stream.first = Some(now);
        let rest = stream.gap * (stream.tokens - 1);
        let stream = stream.clone();
        self.schedule(rest, Event::LastToken { upstream, stream: number });
        if let Some((request, attempt)) = stream.online {
            if let Some(pending) = self.requests.get(&(stream.daemon, request))
                && self.attempts.contains_key(&(stream.daemon, attempt))
                && self.is_after_warm_up()
            {
                let arrived = pending.arrived;
                if !self.plan.naive
                    && self.plan.slowdown > 1.0
                    && self.plan.slowdown_period < Duration::from_secs(100)
                    && (now).since(arrived) > Duration::from_millis(250)
                {
                    println!(
                        "{} ms: late first token at daemon {} from upstream {} after {:?}, \
                         opened after {:?}, slowdown {}",
                        now.0 / 1000,
                        stream.daemon,
                        upstream,
                        now.since(arrived),
                        stream.opened.since(arrived),
                        self.slowdown(upstream)
                    );
                }
                self.measured
                    .first_token_ms
                    .push((now + NETWORK_DELAY).since(arrived).as_secs_f64() * 1e3);
            }
            let input = Input::FirstToken { attempt };
            self.schedule(NETWORK_DELAY, Event::Input { daemon: stream.daemon, input });
        }
    }

    fn last_token(&mut self, upstream: usize, number: u64) {
        let Some(stream) = self.streams.get(&number).cloned() else { return };
        self.close_stream(upstream, number);
        let Some((request, attempt)) = stream.online else {
            if let Some((_, open)) = self.batch_streams.get_mut(&(stream.daemon, upstream)) {
                open.retain(|&other| other != number);
            }
            let first = stream.first.unwrap_or(self.now).since(stream.opened);
            self.input(
                stream.daemon,
                Input::BatchEnded {
                    upstream: name(upstream),
                    outcome: Outcome::Done,
                    first_token: Some(first),
                    between_tokens: Some(stream.gap),
                },
            );
            self.adjust_batch_streams(stream.daemon, upstream);
            return;
        };
        if self.attempts.remove(&(stream.daemon, attempt)).is_none() {
            return;
        }
        if let Some(pending) = self.requests.remove(&(stream.daemon, request))
            && pending.short
            && self.is_after_warm_up()
        {
            let time = (self.now + NETWORK_DELAY).since(pending.arrived);
            self.measured.short_request_ms.push(time.as_secs_f64() * 1e3);
        }
        let count = stream.tokens - 1;
        let elapsed = stream.gap * count;
        let tokens = Input::Tokens { attempt, count, elapsed, longest_gap: stream.gap };
        self.schedule(NETWORK_DELAY, Event::Input { daemon: stream.daemon, input: tokens });
        let ended = Input::Ended { attempt, outcome: Outcome::Done, delivered: true };
        self.schedule(NETWORK_DELAY, Event::Input { daemon: stream.daemon, input: ended });
    }

    fn close_stream(&mut self, upstream: usize, number: u64) {
        self.account_spare_slots(upstream);
        let engine = &mut self.engines[upstream];
        engine.running.retain(|&other| other != number);
        engine.queue.retain(|&other| other != number);
        if let Some(stream) = self.streams.remove(&number)
            && stream.online.is_none()
            && self.is_after_warm_up()
            && let Some(first) = stream.first
        {
            let since = self.now.since(first).as_secs_f64() / stream.gap.as_secs_f64();
            self.measured.batch_tokens += (since.floor() + 1.0).min(f64::from(stream.tokens));
        }
        self.admit_queued(upstream);
    }

    /// Adds the slot time that online requests have not used since the last call.
    fn account_spare_slots(&mut self, upstream: usize) {
        let after_warm_up = self.is_after_warm_up();
        let engine = &mut self.engines[upstream];
        let time = self.now.since(engine.accounted_until).as_secs_f64();
        engine.accounted_until = self.now;
        if after_warm_up {
            let online = engine.running.iter().filter(|number| {
                self.streams.get(number).is_some_and(|stream| stream.online.is_some())
            });
            let free = self.plan.slots as usize - online.count();
            self.measured.spare_slot_s += time * free as f64;
        }
    }

    fn is_after_warm_up(&self) -> bool {
        self.now >= Time::from_millis(5_000)
    }
}

fn vm(n: usize) -> Vm {
    Vm {
        name: name(n),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + n as u16)),
        data_centre: "biella".into(),
        service: "lm".into(),
        leaving: false,
    }
}

fn name(n: usize) -> String {
    format!("runner-{n}")
}

fn number(name: &str) -> usize {
    name.rsplit('-').next().and_then(|digits| digits.parse().ok()).unwrap_or_default()
}
