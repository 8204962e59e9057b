//! CPU time of the traffic decisions for one routed request and for a tick.
//!
//! `cargo run --release -p cyclamengrade-control --example traffic_cost`

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cyclamengrade_configuration::{Client, Deployment, Document, Limit};
use cyclamengrade_control::{
    fleet::Vm,
    time::Time,
    traffic::{Action, Input, Load, Machine, Outcome, Request, RequestId, Settings},
};

/// Requests of one round.
const REQUESTS: u64 = 20_000;
/// Ticks of one round.
const TICKS: u64 = 10_000;
/// Time between two ticks while requests wait.
const TICK: Duration = Duration::from_millis(5);
/// Rounds; the arms alternate within each.
const ROUNDS: usize = 7;

struct Arm {
    case: Case,
    machine: Machine,
    now: Time,
    next: u64,
    request: Vec<f64>,
    tick: Vec<f64>,
}

/// What one arm measures.
#[derive(Clone, Copy)]
struct Case {
    label: &'static str,
    upstreams: usize,
    deployments: usize,
    daemons: usize,
    subset: usize,
    naive: bool,
}

fn main() {
    println!(
        "| upstreams | policy | request, µs: median (min to max) | tick, µs: median (min to max) |"
    );
    println!("| --- | --- | --- | --- |");
    for upstreams in [10, 100, 460, 1_000] {
        let case = Case {
            label: "adaptive, subset 64",
            upstreams,
            deployments: 1,
            daemons: 13,
            subset: 64,
            naive: false,
        };
        compare(&[
            Case { label: "naive", naive: true, ..case },
            case,
            Case { label: "adaptive, all", subset: usize::MAX, ..case },
        ]);
    }
    let planned = Case {
        label: "adaptive, planned size",
        upstreams: 6_800,
        deployments: 22,
        daemons: 460,
        subset: 64,
        naive: false,
    };
    compare(&[planned]);
    let mut arm = Arm::new(planned);
    let mut names: Vec<_> = (0..planned.daemons).map(|n| format!("vm-{n}")).collect();
    let last = names.pop();
    let start = cpu_ns();
    for _ in 0..ROUNDS {
        let input = Input::Members { names: names.clone(), demand: Vec::new() };
        arm.machine.handle(arm.now, input);
        let names = names.iter().cloned().chain(last.clone()).collect();
        arm.machine.handle(arm.now, Input::Members { names, demand: Vec::new() });
    }
    let each = (cpu_ns() - start) / 2.0 / ROUNDS as f64 / 1e6;
    println!(
        "\nA daemon joins or leaves at the planned size: {each:.2} ms (mean of {ROUNDS} each)"
    );
}

/// Measures the arms in turn, so that noise of the machine meets all of them.
fn compare(cases: &[Case]) {
    let mut arms: Vec<_> = cases.iter().copied().map(Arm::new).collect();
    for _ in 0..ROUNDS {
        for arm in &mut arms {
            arm.round();
        }
    }
    for arm in arms {
        let (upstreams, label) = (arm.case.upstreams, arm.case.label);
        println!("| {upstreams} | {label} | {} | {} |", spread(arm.request), spread(arm.tick));
    }
}

impl Arm {
    fn new(case: Case) -> Self {
        let mut machine = Machine::new(Settings {
            daemon: "vm-0".into(),
            data_centre: "biella".into(),
            seed: 1,
            subset: case.subset,
            queue: 256,
            retry_share: 0.05,
            naive: case.naive,
        });
        let mut document = Document::default();
        for n in 0..case.deployments {
            document.deployments.insert(format!("lm-{n}"), Deployment::model("telaio", "1"));
        }
        let limit = Limit {
            requests_per_s: Some(1e9),
            concurrent_requests: Some(1_000_000),
            open_jobs: None,
        };
        document.clients.insert("atelier".into(), Client::new("t").with_limit("*", limit));
        let vms = (0..case.upstreams)
            .map(|n| Vm {
                name: format!("runner-{n}"),
                address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
                data_centre: "biella".into(),
                service: format!("lm-{}", n % case.deployments),
                leaving: false,
            })
            .collect();
        let now = Time::from_millis(1_000);
        machine.handle(now, Input::Fleet { vms: Arc::new(vms), document: Arc::new(document) });
        let names = (0..case.daemons).map(|n| format!("vm-{n}")).collect();
        machine.handle(now, Input::Members { names, demand: Vec::new() });
        let mut arm = Self { case, machine, now, next: 0, request: Vec::new(), tick: Vec::new() };
        arm.report();
        arm
    }

    fn report(&mut self) {
        for n in 0..self.case.upstreams {
            let load = Load { running: 3, slots: 16, ready: true, ..Load::default() };
            let upstream = format!("runner-{n}");
            self.machine.handle(self.now, Input::Load { upstream, load });
        }
    }

    fn round(&mut self) {
        self.report();
        let start = cpu_ns();
        for _ in 0..REQUESTS {
            self.serve();
        }
        self.request.push((cpu_ns() - start) / REQUESTS as f64 / 1e3);
        let start = cpu_ns();
        for _ in 0..TICKS {
            self.now = self.now + TICK;
            self.machine.handle(self.now, Input::Tick);
        }
        self.tick.push((cpu_ns() - start) / TICKS as f64 / 1e3);
    }

    /// One request from its arrival to its end, with one report of tokens.
    fn serve(&mut self) {
        self.next += 1;
        let request = Request {
            id: RequestId(self.next),
            client: "atelier".into(),
            deployment: format!("lm-{}", self.next as usize % self.case.deployments),
            prefix: self.next % 97,
            deadline: Some(self.now + Duration::from_secs(60)),
            idempotent: true,
        };
        let actions = self.machine.handle(self.now, Input::Arrived(request));
        let attempt = actions.iter().find_map(|action| match action {
            Action::Dispatch(attempt) => Some(attempt.id),
            _ => None,
        });
        let Some(attempt) = attempt else { return };
        self.now = self.now + Duration::from_millis(10);
        self.machine.handle(self.now, Input::FirstToken { attempt });
        let elapsed = Duration::from_millis(200);
        let longest_gap = Duration::from_millis(20);
        let tokens = Input::Tokens { attempt, count: 20, elapsed, longest_gap };
        self.machine.handle(self.now, tokens);
        let ended = Input::Ended { attempt, outcome: Outcome::Done, delivered: true };
        self.machine.handle(self.now, ended);
    }
}

/// CPU time of this thread, from the kernel.
fn cpu_ns() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    text.split(' ').next().and_then(|field| field.parse().ok()).unwrap_or_default()
}

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    let at = |n: usize| values.get(n).copied().unwrap_or_default();
    format!("{:.2} ({:.2} to {:.2})", at(last / 2), at(0), at(last))
}
