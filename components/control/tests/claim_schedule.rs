//! Guards against a non-idempotent request that runs twice, for any order of lost replies, delayed
//! writes, crashes and pauses of daemons.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::{collections::BTreeMap, env, time::Duration};

use cyclamengrade_control::{
    claim::{
        Action, Answer, Body, Claims, Decision, Input, Outcome, RequestId, Settings, State, key,
    },
    lease,
    store::{Call, CallId, Reply},
    time::Time,
};
use proptest::{prelude::*, test_runner::RngSeed};
use support::{CallOutcome, LEASE_LENGTH, LEASE_MARGIN, Store};

const DAEMONS: usize = 3;
const KEYS: usize = 3;

struct Process {
    claims: Claims,
    lease: lease::Machine,
    calls: Vec<(Option<CallId>, Call, Time)>,
    /// Numbers of the keys whose requests may run, with the time until which they may be
    /// dispatched.
    granted: Vec<(usize, Time)>,
    requests: BTreeMap<RequestId, usize>,
    paused: bool,
    clock_offset: Duration,
}

struct Simulation {
    now: Time,
    store: Store,
    daemons: Vec<Option<Process>>,
    late_writes: Vec<(Call, Time)>,
    /// Whether a write was applied more than 30 s after it was sent, when its daemon may have
    /// stopped to check whether it is applied late.
    applied_too_late: bool,
    /// Number of runs of each key, without requests that certainly did not run.
    runs: BTreeMap<usize, u32>,
    answers: BTreeMap<usize, Answer>,
    requests: u64,
    process_count: u64,
}

fn row(number: usize) -> String {
    key("himal", &format!("order-{number}"))
}

fn answer(number: u64) -> Answer {
    Answer { status: 200, content_type: None, body: Body::Text(format!("answer {number}")) }
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            now: Time::from_millis(1_000),
            store: Store::default(),
            daemons: Vec::new(),
            late_writes: Vec::new(),
            applied_too_late: false,
            runs: BTreeMap::new(),
            answers: BTreeMap::new(),
            requests: 0,
            process_count: 0,
        };
        simulation.daemons.resize_with(DAEMONS, || None);
        for daemon in 0..DAEMONS {
            simulation.restart(daemon);
        }
        simulation
    }

    fn restart(&mut self, daemon: usize) {
        self.process_count += 1;
        let name = format!("entry-{daemon}");
        let settings = Settings {
            daemon: name.clone(),
            lease: LEASE_LENGTH,
            margin: LEASE_MARGIN,
            timeout: Duration::from_secs(2),
        };
        let lease = lease::Settings {
            daemon: name,
            instance: self.process_count,
            length: LEASE_LENGTH,
            renewal: Duration::from_secs(3),
        };
        self.daemons[daemon] = Some(Process {
            claims: Claims::new(settings),
            lease: lease::Machine::new(lease),
            calls: Vec::new(),
            granted: Vec::new(),
            requests: BTreeMap::new(),
            paused: false,
            clock_offset: Duration::from_secs(1_000 * self.process_count),
        });
    }

    fn live(&mut self, daemon: usize) -> Option<&mut Process> {
        self.daemons[daemon].as_mut().filter(|process| !process.paused)
    }

    fn input(&mut self, daemon: usize, input: Input) {
        let now = self.now;
        let process = self.daemons[daemon].as_mut().filter(|process| !process.paused);
        let Some(process) = process else { return };
        let now = now + process.clock_offset;
        for action in process.claims.handle(now, input) {
            match action {
                Action::Call { call, request } => process.calls.push((Some(call), request, now)),
                Action::Answer { id, decision } => {
                    let number = process.requests.remove(&id).expect("one answer for a request");
                    match decision {
                        Decision::Run { until } => process.granted.push((number, until)),
                        Decision::Done(answer) => {
                            assert_eq!(Some(&answer), self.answers.get(&number), "wrong answer");
                        }
                        Decision::OutcomeUnknown
                        | Decision::InProgress
                        | Decision::Conflict
                        | Decision::Refused => {}
                    }
                }
                Action::Recorded { .. } | Action::MarkedUnknown { .. } => {}
            }
        }
    }

    fn handle_lease(&mut self, daemon: usize, input: lease::Input) {
        let now = self.now;
        let Some(process) = self.live(daemon) else { return };
        let now = now + process.clock_offset;
        for action in process.lease.handle(now, input) {
            let process = self.daemons[daemon].as_mut().unwrap();
            match action {
                lease::Action::Call(call) => process.calls.push((None, call, now)),
                lease::Action::Held { epoch, until } => {
                    self.input(daemon, Input::Lease { epoch, until });
                }
                lease::Action::Superseded => self.input(daemon, Input::Superseded),
                lease::Action::Failing | lease::Action::Released => {}
            }
        }
    }

    fn begin(&mut self, daemon: usize, number: usize) {
        self.requests += 1;
        let id = RequestId(self.requests);
        let Some(process) = self.live(daemon) else { return };
        process.requests.insert(id, number);
        self.input(daemon, Input::Begin { id, key: row(number), digest: format!("d{number}") });
    }

    /// Ends a granted request, after dispatching it if its lease has not ended. `ran` is
    /// `Some(false)` if the request did not run, and `None` if its outcome is unknown.
    fn finish(&mut self, daemon: usize, index: usize, ran: Option<bool>) {
        let now = self.now;
        let Some(process) = self.live(daemon) else { return };
        if process.granted.is_empty() {
            return;
        }
        let (number, until) = process.granted.remove(index % process.granted.len());
        let now = now + process.clock_offset;
        let outcome = match ran {
            _ if now >= until => Outcome::NotRun,
            Some(false) => Outcome::NotRun,
            ran => {
                let runs = self.runs.entry(number).or_default();
                *runs += 1;
                assert_eq!(*runs, 1, "request {number} ran twice");
                match ran {
                    Some(_) => {
                        let answer = answer(self.requests);
                        self.answers.insert(number, answer.clone());
                        Outcome::Done(answer)
                    }
                    None => Outcome::Unknown,
                }
            }
        };
        self.input(daemon, Input::Finish { key: row(number), outcome });
    }

    fn deliver(&mut self, daemon: usize, index: usize, fate: CallOutcome) {
        let Some(process) = self.live(daemon) else { return };
        if process.calls.is_empty() {
            return;
        }
        let (id, call, sent) = process.calls.remove(index % process.calls.len());
        let write = matches!(call, Call::Commit(_));
        let reply = match fate {
            CallOutcome::Answered => self.store.apply(&call),
            CallOutcome::Lost if write => {
                self.store.apply(&call);
                Reply::Unknown
            }
            CallOutcome::Late if write => {
                self.late_writes.push((call, self.now));
                Reply::Unknown
            }
            _ => Reply::Failed,
        };
        match id {
            Some(call) => self.input(daemon, Input::Reply { call, sent, reply }),
            None => self.handle_lease(daemon, lease::Input::Reply(reply)),
        }
    }

    fn apply_late(&mut self, index: usize) {
        if !self.late_writes.is_empty() {
            let (call, sent) = self.late_writes.remove(index % self.late_writes.len());
            self.applied_too_late |= self.now.since(sent) > Duration::from_secs(30);
            self.store.apply(&call);
        }
    }

    fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        for daemon in 0..DAEMONS {
            self.handle_lease(daemon, lease::Input::Tick);
            self.input(daemon, Input::Tick);
        }
    }

    fn run_without_faults(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            for daemon in 0..DAEMONS {
                while self.live(daemon).is_some_and(|process| !process.calls.is_empty()) {
                    self.deliver(daemon, 0, CallOutcome::Answered);
                }
            }
            self.advance(Duration::from_millis(100));
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Begin(usize, usize),
    Finish(usize, usize, Option<bool>),
    Deliver(usize, usize, CallOutcome),
    ApplyLate(usize),
    Advance(u64),
    Kill(usize),
    Restart(usize),
    Pause(usize, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = 0..DAEMONS;
    let fate = prop_oneof![
        10 => Just(CallOutcome::Answered),
        1 => Just(CallOutcome::Lost),
        1 => Just(CallOutcome::Refused),
        1 => Just(CallOutcome::Late),
    ];
    let ran = prop_oneof![3 => Just(Some(true)), 2 => Just(Some(false)), 1 => Just(None)];
    prop_oneof![
        10 => (daemon.clone(), 0..KEYS).prop_map(|(daemon, key)| Step::Begin(daemon, key)),
        6 => (daemon.clone(), 0..4_usize, ran)
            .prop_map(|(daemon, index, ran)| Step::Finish(daemon, index, ran)),
        40 => (daemon.clone(), 0..4_usize, fate)
            .prop_map(|(daemon, index, fate)| Step::Deliver(daemon, index, fate)),
        3 => (0..4_usize).prop_map(Step::ApplyLate),
        12 => prop_oneof![4 => 50..500_u64, 1 => 2_000..20_000_u64].prop_map(Step::Advance),
        1 => daemon.clone().prop_map(Step::Kill),
        1 => daemon.clone().prop_map(Step::Restart),
        3 => (daemon, any::<bool>()).prop_map(|(daemon, paused)| Step::Pause(daemon, paused)),
    ]
}

fn config() -> ProptestConfig {
    let seed = env::var("PROPTEST_RNG_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(7);
    let cases = env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(512);
    println!("replay with PROPTEST_RNG_SEED={seed}");
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn runs_at_most_once(steps in prop::collection::vec(step(), 0..300)) {
        let mut simulation = Simulation::new();
        for step in steps {
            match step {
                Step::Begin(daemon, key) => simulation.begin(daemon, key),
                Step::Finish(daemon, index, ran) => simulation.finish(daemon, index, ran),
                Step::Deliver(daemon, index, fate) => simulation.deliver(daemon, index, fate),
                Step::ApplyLate(index) => simulation.apply_late(index),
                Step::Advance(ms) => simulation.advance(Duration::from_millis(ms)),
                Step::Kill(daemon) => simulation.daemons[daemon] = None,
                Step::Restart(daemon) => simulation.restart(daemon),
                Step::Pause(daemon, paused) => {
                    if let Some(process) = &mut simulation.daemons[daemon] {
                        process.paused = paused;
                    }
                }
            }
        }
        // Without further faults, each claim must reach a final state: a repeated request may run
        // if none ran before, or learns the outcome of the earlier run.
        while !simulation.late_writes.is_empty() {
            simulation.apply_late(0);
        }
        for daemon in 0..DAEMONS {
            match &mut simulation.daemons[daemon] {
                Some(process) => process.paused = false,
                None => simulation.restart(daemon),
            }
        }
        for _ in 0..70 {
            for number in 0..KEYS {
                simulation.begin(0, number);
            }
            simulation.run_without_faults(Duration::from_secs(1));
            for daemon in 0..DAEMONS {
                for _ in 0..KEYS {
                    simulation.finish(daemon, 0, Some(true));
                }
            }
        }
        for number in 0..KEYS {
            let state = simulation.store.row::<cyclamengrade_control::claim::Row>(&row(number));
            let state = state.expect("each key was used").state;
            prop_assert!(state != State::Running || simulation.applied_too_late, "the claim of key {} is still running", number);
            if state == State::Done {
                prop_assert!(simulation.answers.contains_key(&number));
            }
        }
        for process in simulation.daemons.iter().flatten() {
            prop_assert_eq!(process.claims.open_count(), 0);
            prop_assert!(process.requests.is_empty(), "a request got no answer");
        }
    }
}
