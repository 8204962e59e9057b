//! A small model of engines with slots, daemons, and an endless batch backlog.

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

/// One way between two processes.
const NET: Duration = Duration::from_millis(1);
/// Time between two tokens.
const GAP: Duration = Duration::from_millis(10);
/// Shortest time to the first token of a stream that has a slot.
const PREFILL_MS: f64 = 40.0;
/// Mean of the exponentially distributed rest.
const PREFILL_MORE_MS: f64 = 20.0;
/// Time between two load reports, and the age of their content.
const REPORT: Duration = Duration::from_millis(500);
const REPORT_AGE: Duration = Duration::from_millis(100);
/// Tokens of a batch item.
const ITEM_TOKENS: u32 = 60;

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub naive: bool,
    pub daemons: usize,
    pub upstreams: usize,
    pub slots: u32,
    pub seconds: u64,
    /// Online requests a second over all daemons.
    pub rate: f64,
    pub tokens: u32,
    /// Share of requests with 50 times the tokens.
    pub stragglers: f64,
    pub batch: bool,
    /// Factor by which some upstreams are slowed; 1 for none.
    pub slowdown: f64,
    /// One in this many upstreams is slowed.
    pub slowed: u64,
    /// Start of the slowdown.
    pub slow_from: Duration,
    /// Time for which the same upstreams are slowed.
    pub slow_for: Duration,
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
            rate: 80.0,
            tokens: 20,
            stragglers: 0.0,
            batch: false,
            slowdown: 1.0,
            slowed: 5,
            slow_from: Duration::ZERO,
            slow_for: Duration::from_secs(1_000),
        }
    }
}

/// What was measured after the first 5 s.
#[derive(Debug, Default)]
pub struct Measured {
    pub first_ms: Vec<f64>,
    /// Time to the last token of requests that are no stragglers.
    pub short_ms: Vec<f64>,
    pub requests: u64,
    pub dispatches: u64,
    pub refused: u64,
    pub batch_tokens: f64,
    /// Slot time that online work left, in seconds.
    pub spare: f64,
    /// Largest mean share of upstreams that the daemons had ejected.
    pub ejected: f64,
}

impl Measured {
    pub fn p99(values: &[f64]) -> f64 {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len().saturating_sub(1) * 99 / 100).copied().unwrap_or_default()
    }

    pub fn extra(&self) -> f64 {
        (self.dispatches as f64 - (self.requests - self.refused) as f64) / self.requests as f64
    }

    /// Batch throughput relative to what the spare slots could give.
    pub fn batch_share(&self) -> f64 {
        let item =
            (PREFILL_MS + PREFILL_MORE_MS) / 1e3 + f64::from(ITEM_TOKENS - 1) * GAP.as_secs_f64();
        self.batch_tokens / (self.spare / item * f64::from(ITEM_TOKENS))
    }
}

#[derive(Debug)]
enum Event {
    Arrive,
    Tick(usize),
    Report(usize),
    ReportArrives { upstream: usize, load: Load },
    Opens { upstream: usize, stream: u64 },
    Closes { upstream: usize, stream: u64 },
    First { upstream: usize, stream: u64 },
    Last { upstream: usize, stream: u64 },
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
    changed: Time,
}

struct Waiting {
    arrived: Time,
    short: bool,
}

pub struct Model {
    plan: Plan,
    rng: StdRng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    contents: BTreeMap<u64, Event>,
    sequence: u64,
    machines: Vec<Machine>,
    engines: Vec<Engine>,
    streams: BTreeMap<u64, Stream>,
    attempts: BTreeMap<(usize, AttemptId), (usize, u64)>,
    batch: BTreeMap<(usize, usize), (u32, Vec<u64>)>,
    requests: BTreeMap<(usize, RequestId), Waiting>,
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
            if let Some(event) = model.contents.remove(&number) {
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
            contents: BTreeMap::new(),
            sequence: 0,
            machines: machines.collect(),
            engines: (0..plan.upstreams).map(|_| Engine::default()).collect(),
            streams: BTreeMap::new(),
            attempts: BTreeMap::new(),
            batch: BTreeMap::new(),
            requests: BTreeMap::new(),
            measured: Measured::default(),
            plan,
        };
        model.after(Duration::ZERO, Event::Arrive);
        for n in 0..model.plan.daemons {
            model.after(Duration::from_millis(n as u64), Event::Tick(n));
        }
        for n in 0..model.plan.upstreams {
            model.after(REPORT * n as u32 / model.plan.upstreams as u32, Event::Report(n));
        }
        model
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence)));
        self.contents.insert(self.sequence, event);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Tick(daemon) => {
                self.input(daemon, Input::Tick);
                let waits = self.machines[daemon].needs_fast_ticks();
                self.after(Duration::from_millis(if waits { 5 } else { 100 }), Event::Tick(daemon));
            }
            Event::Report(upstream) => {
                if upstream == 0 && self.now >= Time::default() + self.plan.slow_from {
                    self.count_ejected();
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
                self.after(REPORT_AGE, Event::ReportArrives { upstream, load });
                self.after(REPORT, Event::Report(upstream));
            }
            Event::ReportArrives { upstream, load } => {
                for daemon in 0..self.plan.daemons {
                    self.input(daemon, Input::Load { upstream: name(upstream), load });
                }
            }
            Event::Opens { upstream, stream } => {
                self.engines[upstream].queue.push_back(stream);
                self.serve(upstream);
            }
            Event::Closes { upstream, stream } => self.close(upstream, stream),
            Event::First { upstream, stream } => self.first(upstream, stream),
            Event::Last { upstream, stream } => self.last(upstream, stream),
            Event::Input { daemon, input } => self.input(daemon, input),
        }
    }

    fn count_ejected(&mut self) {
        let entries: Vec<_> = self.machines.iter().flat_map(Machine::upstream_status).collect();
        let out = entries.iter().filter(|entry| entry.state == ServingState::Ejected).count();
        let share = out as f64 / entries.len() as f64;
        self.measured.ejected = self.measured.ejected.max(share);
    }

    fn arrive(&mut self) {
        let daemon = self.rng.random_range(0..self.plan.daemons);
        let straggler = self.rng.random::<f64>() < self.plan.stragglers;
        let id = RequestId(self.sequence);
        let waiting = Waiting { arrived: self.now, short: !straggler };
        self.requests.insert((daemon, id), waiting);
        if self.is_measured() {
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
        let pause = -self.rng.random::<f64>().max(1e-9).ln() / self.plan.rate;
        self.after(Duration::from_secs_f64(pause), Event::Arrive);
    }

    fn input(&mut self, daemon: usize, input: Input) {
        for action in self.machines[daemon].handle(self.now, input) {
            self.act(daemon, action);
        }
    }

    fn act(&mut self, daemon: usize, action: Action) {
        match action {
            Action::Dispatch(attempt) => {
                let key = (daemon, attempt.request);
                let Some(waiting) = self.requests.get(&key) else { return };
                let tokens = self.plan.tokens * if waiting.short { 1 } else { 50 };
                let label = &self.machines[daemon].fleet().upstreams[attempt.upstream].name;
                let upstream = number(label);
                let stream =
                    self.open(daemon, upstream, Some((attempt.request, attempt.id)), tokens);
                self.attempts.insert((daemon, attempt.id), (upstream, stream));
                if self.is_measured() {
                    self.measured.dispatches += 1;
                }
            }
            Action::Cancel { attempt, .. } => {
                if let Some((upstream, stream)) = self.attempts.remove(&(daemon, attempt)) {
                    self.after(NET, Event::Closes { upstream, stream });
                }
            }
            Action::Refuse { request, .. } => {
                self.requests.remove(&(daemon, request));
                if self.is_measured() {
                    self.measured.refused += 1;
                }
            }
            Action::BatchLimit { upstream, streams, .. } => {
                if self.plan.batch {
                    let upstream = number(&upstream);
                    self.batch.entry((daemon, upstream)).or_default().0 = streams;
                    self.fill(daemon, upstream);
                }
            }
            Action::Notify { dispatcher, upstream, in_flight } => {
                let from = format!("vm-{daemon}");
                let input = Input::OnlineNotice { from, upstream, in_flight };
                self.after(NET, Event::Input { daemon: number(&dispatcher), input });
            }
        }
    }

    /// Opens and closes batch streams until their number is the limit.
    fn fill(&mut self, daemon: usize, upstream: usize) {
        while let Some((limit, open)) = self.batch.get_mut(&(daemon, upstream)) {
            let ended = if open.len() > *limit as usize {
                let Some(stream) = open.pop() else { return };
                self.after(NET, Event::Closes { upstream, stream });
                true
            } else if open.len() < *limit as usize {
                let stream = self.open(daemon, upstream, None, ITEM_TOKENS);
                if let Some((_, open)) = self.batch.get_mut(&(daemon, upstream)) {
                    open.push(stream);
                }
                false
            } else {
                return;
            };
            let upstream = name(upstream);
            let input = if ended {
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

    fn open(
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
            Stream { daemon, online, tokens, opened, started: None, first: None, gap: GAP },
        );
        self.after(NET, Event::Opens { upstream, stream });
        stream
    }

    fn serve(&mut self, upstream: usize) {
        self.account(upstream);
        while self.engines[upstream].running.len() < self.plan.slots as usize {
            let Some(number) = self.engines[upstream].queue.pop_front() else { return };
            let more = -self.rng.random::<f64>().max(1e-9).ln() * PREFILL_MORE_MS;
            let slowdown = self.slowdown(upstream);
            let prefill = Duration::from_secs_f64((PREFILL_MS + more) / 1e3 * slowdown);
            let Some(stream) = self.streams.get_mut(&number) else { continue };
            stream.started = Some(self.now);
            stream.gap = GAP.mul_f64(slowdown);
            self.engines[upstream].running.push(number);
            self.after(prefill, Event::First { upstream, stream: number });
        }
    }

    fn slowdown(&self, upstream: usize) -> f64 {
        if self.now < Time::default() + self.plan.slow_from {
            return 1.0;
        }
        let turn = self.now.0 / self.plan.slow_for.as_micros() as u64;
        let slow = (upstream as u64 + turn).is_multiple_of(self.plan.slowed);
        if slow { self.plan.slowdown } else { 1.0 }
    }

    fn first(&mut self, upstream: usize, number: u64) {
        let now = self.now;
        let Some(stream) = self.streams.get_mut(&number) else { return };
        stream.first = Some(now);
        let rest = stream.gap * (stream.tokens - 1);
        let stream = stream.clone();
        self.after(rest, Event::Last { upstream, stream: number });
        if let Some((request, attempt)) = stream.online {
            if let Some(waiting) = self.requests.get(&(stream.daemon, request))
                && self.attempts.contains_key(&(stream.daemon, attempt))
                && self.is_measured()
            {
                let arrived = waiting.arrived;
                if !self.plan.naive
                    && self.plan.slowdown > 1.0
                    && self.plan.slow_for < Duration::from_secs(100)
                    && (now).since(arrived) > Duration::from_millis(250)
                {
                    println!(
                        "LATE t={} d={} up={} ttft={:?} opened after {:?} slow={}",
                        now.0 / 1000,
                        stream.daemon,
                        upstream,
                        now.since(arrived),
                        stream.opened.since(arrived),
                        self.slowdown(upstream)
                    );
                }
                self.measured.first_ms.push((now + NET).since(arrived).as_secs_f64() * 1e3);
            }
            let input = Input::FirstToken { attempt };
            self.after(NET, Event::Input { daemon: stream.daemon, input });
        }
    }

    fn last(&mut self, upstream: usize, number: u64) {
        let Some(stream) = self.streams.get(&number).cloned() else { return };
        self.close(upstream, number);
        let Some((request, attempt)) = stream.online else {
            if let Some((_, open)) = self.batch.get_mut(&(stream.daemon, upstream)) {
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
            self.fill(stream.daemon, upstream);
            return;
        };
        if self.attempts.remove(&(stream.daemon, attempt)).is_none() {
            return;
        }
        if let Some(waiting) = self.requests.remove(&(stream.daemon, request))
            && waiting.short
            && self.is_measured()
        {
            let time = (self.now + NET).since(waiting.arrived);
            self.measured.short_ms.push(time.as_secs_f64() * 1e3);
        }
        let count = stream.tokens - 1;
        let elapsed = stream.gap * count;
        let tokens = Input::Tokens { attempt, count, elapsed, longest_gap: stream.gap };
        self.after(NET, Event::Input { daemon: stream.daemon, input: tokens });
        let ended = Input::Ended { attempt, outcome: Outcome::Done, delivered: true };
        self.after(NET, Event::Input { daemon: stream.daemon, input: ended });
    }

    fn close(&mut self, upstream: usize, number: u64) {
        self.account(upstream);
        let engine = &mut self.engines[upstream];
        engine.running.retain(|&other| other != number);
        engine.queue.retain(|&other| other != number);
        if let Some(stream) = self.streams.remove(&number)
            && stream.online.is_none()
            && self.is_measured()
            && let Some(first) = stream.first
        {
            let since = self.now.since(first).as_secs_f64() / stream.gap.as_secs_f64();
            self.measured.batch_tokens += (since.floor() + 1.0).min(f64::from(stream.tokens));
        }
        self.serve(upstream);
    }

    /// Adds up the slot time that online work left.
    fn account(&mut self, upstream: usize) {
        let measured = self.is_measured();
        let engine = &mut self.engines[upstream];
        let time = self.now.since(engine.changed).as_secs_f64();
        engine.changed = self.now;
        if measured {
            let online = engine.running.iter().filter(|number| {
                self.streams.get(number).is_some_and(|stream| stream.online.is_some())
            });
            let free = self.plan.slots as usize - online.count();
            self.measured.spare += time * free as f64;
        }
    }

    fn is_measured(&self) -> bool {
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
