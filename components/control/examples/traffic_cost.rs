//! Measures the CPU time of the traffic state machine per routed request and per tick.
//!
//! `cargo run --release -p cyclamengrade-control --example traffic_cost`

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cyclamengrade_configuration::{Client, Deployment, Document, Limit};
use cyclamengrade_control::{
    fleet::Vm,
    time::Time,
    traffic::{Action, Input, Load, Machine, Outcome, Request, RequestId, Settings},
};

const REQUESTS_PER_ROUND: u64 = 20_000;
const TICKS_PER_ROUND: u64 = 10_000;
/// Interval of ticks while requests wait.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Rounds per comparison; each round runs every arm once.
const ROUNDS: usize = 7;

struct Arm {
    config: Config,
    machine: Machine,
    now: Time,
    next_request: u64,
    request_us: Vec<f64>,
    tick_us: Vec<f64>,
}

/// Configuration of one arm of a comparison.
#[derive(Clone, Copy)]
struct Config {
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
        let config = Config {
            label: "adaptive, subset 64",
            upstreams,
            deployments: 1,
            daemons: 13,
            subset: 64,
            naive: false,
        };
        compare(&[
            Config { label: "naive", naive: true, ..config },
            config,
            Config { label: "adaptive, all", subset: usize::MAX, ..config },
        ]);
    }
    let planned_size = Config {
        label: "adaptive, planned size",
        upstreams: 6_800,
        deployments: 22,
        daemons: 460,
        subset: 64,
        naive: false,
    };
    compare(&[planned_size]);
    let mut arm = Arm::new(planned_size);
    let mut names: Vec<_> = (0..planned_size.daemons).map(|n| format!("vm-{n}")).collect();
    let last = names.pop();
    let start = cpu_ns();
    for _ in 0..ROUNDS {
        let input = Input::Members { names: names.clone(), demand: Vec::new() };
        arm.machine.handle(arm.now, input);
        let names = names.iter().cloned().chain(last.clone()).collect();
        arm.machine.handle(arm.now, Input::Members { names, demand: Vec::new() });
    }
    let change_ms = (cpu_ns() - start) / 2.0 / ROUNDS as f64 / 1e6;
    println!(
        "\nA daemon joins or leaves at the planned size: {change_ms:.2} ms (mean of {ROUNDS} each)"
    );
}

/// Measures the arms alternately, so that noise on the machine affects all of them.
fn compare(configs: &[Config]) {
    let mut arms: Vec<_> = configs.iter().copied().map(Arm::new).collect();
    for _ in 0..ROUNDS {
        for arm in &mut arms {
            arm.run_round();
        }
    }
    for arm in arms {
        let (upstreams, label) = (arm.config.upstreams, arm.config.label);
        println!(
            "| {upstreams} | {label} | {} | {} |",
            median_and_range(arm.request_us),
            median_and_range(arm.tick_us)
        );
    }
}

impl Arm {
    fn new(config: Config) -> Self {
        let mut machine = Machine::new(Settings {
            daemon: "vm-0".into(),
            data_centre: "biella".into(),
            seed: 1,
            subset: config.subset,
            queue: 256,
            retry_share: 0.05,
            naive: config.naive,
        });
        let mut document = Document::default();
        for n in 0..config.deployments {
            document.deployments.insert(format!("lm-{n}"), Deployment::model("telaio", "1"));
        }
        let limit = Limit {
            requests_per_s: Some(1e9),
            concurrent_requests: Some(1_000_000),
            open_jobs: None,
        };
        document.clients.insert("atelier".into(), Client::new("t").with_limit("*", limit));
        let vms = (0..config.upstreams)
            .map(|n| Vm {
                name: format!("runner-{n}"),
                address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
                data_centre: "biella".into(),
                service: format!("lm-{}", n % config.deployments),
                leaving: false,
            })
            .collect();
        let now = Time::from_millis(1_000);
        machine.handle(now, Input::Fleet { vms: Arc::new(vms), document: Arc::new(document) });
        let names = (0..config.daemons).map(|n| format!("vm-{n}")).collect();
        machine.handle(now, Input::Members { names, demand: Vec::new() });
        let mut arm = Self {
            config,
            machine,
            now,
            next_request: 0,
            request_us: Vec::new(),
            tick_us: Vec::new(),
        };
        arm.report_load();
        arm
    }

    fn report_load(&mut self) {
        for n in 0..self.config.upstreams {
            let load = Load { running: 3, slots: 16, ready: true, ..Load::default() };
            let upstream = format!("runner-{n}");
            self.machine.handle(self.now, Input::Load { upstream, load });
        }
    }

    fn run_round(&mut self) {
        self.report_load();
        let start = cpu_ns();
        for _ in 0..REQUESTS_PER_ROUND {
            self.serve_request();
        }
        self.request_us.push((cpu_ns() - start) / REQUESTS_PER_ROUND as f64 / 1e3);
        let start = cpu_ns();
        for _ in 0..TICKS_PER_ROUND {
            self.now = self.now + TICK_INTERVAL;
            self.machine.handle(self.now, Input::Tick);
        }
        self.tick_us.push((cpu_ns() - start) / TICKS_PER_ROUND as f64 / 1e3);
    }

    /// Processes one request from its arrival to its end, with one input for its tokens.
    fn serve_request(&mut self) {
        self.next_request += 1;
        let request = Request {
            id: RequestId(self.next_request),
            client: "atelier".into(),
            deployment: format!("lm-{}", self.next_request as usize % self.config.deployments),
            prefix: self.next_request % 97,
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

/// Returns the CPU time of this thread in nanoseconds, as reported by the kernel.
fn cpu_ns() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    text.split(' ').next().and_then(|field| field.parse().ok()).unwrap_or_default()
}

fn median_and_range(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    let at = |n: usize| values.get(n).copied().unwrap_or_default();
    format!("{:.2} ({:.2} to {:.2})", at(last / 2), at(0), at(last))
}
