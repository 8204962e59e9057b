//! Tests that the shares of a client's limits at several daemons add up to the limits.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cyclamengrade_configuration::{Client, Deployment, Document, Limit};
use cyclamengrade_control::{
    fleet::Vm,
    time::Time,
    traffic::{
        Action, AttemptId, Demand, Input, Machine, Outcome, Refusal, Request, RequestId, Settings,
    },
};
use proptest::{prelude::*, test_runner::RngSeed};

/// Simulated duration of a run.
const RUN_SECONDS: u64 = 8;

fn machines(count: usize, limit: Limit) -> (Vec<Machine>, Vec<String>) {
    let names: Vec<_> = (0..count).map(|n| format!("vm-{n}")).collect();
    let mut document = Document::default();
    document.deployments.insert("lm".into(), Deployment::model("telaio", "1"));
    document.clients.insert("atelier".into(), Client::new("t").with_limit("*", limit));
    let document = Arc::new(document);
    let vm = Vm {
        name: "runner-0".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        data_centre: "ktm-a".into(),
        service: "lm".into(),
        leaving: false,
    };
    let vms = Arc::new(vec![vm]);
    let machines = names.iter().map(|name| {
        let mut machine = Machine::new(Settings {
            daemon: name.clone(),
            data_centre: "ktm-a".into(),
            seed: 1,
            subset: 64,
            queue: 1_000,
            retry_share: 0.05,
            naive: false,
        });
        let now = Time::default();
        machine.handle(now, Input::Fleet { vms: vms.clone(), document: document.clone() });
        machine.handle(now, Input::Members { names: names.clone(), demand: Vec::new() });
        machine
    });
    (machines.collect(), names)
}

fn request(id: u64) -> Input {
    Input::Arrived(Request {
        id: RequestId(id),
        client: "atelier".into(),
        deployment: "lm".into(),
        prefix: 0,
        deadline: None,
        idempotent: true,
    })
}

/// Returns the dispatched attempt, if the request was admitted.
fn admitted_attempt(actions: &[Action]) -> Option<AttemptId> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch(attempt) => Some(attempt.id),
        _ => None,
    })
}

fn is_limited(actions: &[Action]) -> bool {
    let limited = |action: &Action| {
        matches!(action, Action::Refuse { refusal: Refusal::Limited, not_run: true, .. })
    };
    actions.iter().any(limited)
}

/// Lets the daemons measure their demand and report it to each other.
fn exchange_demand(now: Time, machines: &mut [Machine], names: &[String]) {
    for machine in machines.iter_mut() {
        machine.handle(now, Input::Tick);
    }
    let reports: Vec<Vec<Demand>> = machines.iter().map(Machine::demand).collect();
    for (n, machine) in machines.iter_mut().enumerate() {
        let others = reports.iter().enumerate().filter(|(other, _)| *other != n);
        let demand = others.flat_map(|(_, report)| report.iter().cloned()).collect();
        machine.handle(now, Input::Members { names: names.to_vec(), demand });
    }
}

fn config() -> ProptestConfig {
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(20_261);
    println!("SEED={seed}");
    let rng_seed = RngSeed::Fixed(seed);
    ProptestConfig { cases: 60, failure_persistence: None, rng_seed, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against shares of a concurrency limit that add up to more than the limit, and against
    /// shares that leave more than rounding losses unused when all daemons are busy.
    #[test]
    fn concurrency(
        count in 1..13_usize,
        limit in 1..60_u32,
        weights in proptest::collection::vec(0..10_usize, 12),
    ) {
        let limits =
            Limit { requests_per_s: None, concurrent_requests: Some(limit), open_jobs: None };
        let (mut machines, names) = machines(count, limits);
        let mut id = 0;
        for second in 0..RUN_SECONDS {
            let now = Time::from_millis(second * 1_000);
            let mut running = Vec::new();
            for (n, machine) in machines.iter_mut().enumerate() {
                for _ in 0..weights[n] * 10 {
                    id += 1;
                    let actions = machine.handle(now, request(id));
                    match admitted_attempt(&actions) {
                        Some(attempt) => running.push((n, attempt)),
                        None => prop_assert!(is_limited(&actions), "{:?}", actions),
                    }
                }
            }
            prop_assert!(running.len() <= limit as usize, "{} run, limit {limit}", running.len());
            let busy = weights[..count].iter().filter(|weight| **weight > 0).count();
            if second == RUN_SECONDS - 1 && busy == count && weights[..count].iter().all(|w| *w >= 6) {
                // Rounding the demand share costs each daemon less than one request.
                let least = (limit as usize).saturating_sub(count);
                prop_assert!(running.len() >= least, "{} run, limit {limit}", running.len());
            }
            for (n, attempt) in running {
                let outcome = Outcome::Done;
                let ended = Input::Ended { attempt, outcome, delivered: true };
                machines[n].handle(now, ended);
            }
            let end = Time::from_millis(second * 1_000 + 999);
            exchange_demand(end, &mut machines, &names);
        }
    }

    /// Guards against shares of a rate limit that add up to more than the limit, and against shares
    /// that leave more than 10% of it unused when all daemons are busy.
    #[test]
    fn rate(
        count in 1..13_usize,
        limit in 1.0..200.0_f64,
        weights in proptest::collection::vec(0..10_u64, 12),
    ) {
        let limits =
            Limit { requests_per_s: Some(limit), concurrent_requests: None, open_jobs: None };
        let (mut machines, names) = machines(count, limits);
        let mut id = 0;
        let mut total = 0_u64;
        for ms in (0..RUN_SECONDS * 1_000).step_by(20) {
            let now = Time::from_millis(ms);
            for (n, machine) in machines.iter_mut().enumerate() {
                for _ in 0..weights[n] {
                    id += 1;
                    let actions = machine.handle(now, request(id));
                    if let Some(attempt) = admitted_attempt(&actions) {
                        total += 1;
                        let outcome = Outcome::Done;
                        let ended = Input::Ended { attempt, outcome, delivered: true };
                        machine.handle(now + Duration::from_millis(1), ended);
                    } else {
                        prop_assert!(is_limited(&actions), "{:?}", actions);
                    }
                }
            }
            if ms % 1_000 == 980 {
                exchange_demand(Time::from_millis(ms + 15), &mut machines, &names);
            }
        }
        // The limit allows a burst of one second, and of at least two requests at each daemon.
        let most = limit * (RUN_SECONDS as f64 + 1.0) + 2.0 * count as f64;
        prop_assert!(total as f64 <= most, "{} admitted, limit {}", total, limit);
        let busy = weights[..count].iter().filter(|weight| **weight > 0).count();
        if busy > 0 && weights[..count].iter().all(|weight| *weight * 50 > limit as u64) {
            let least = limit * RUN_SECONDS as f64 * 0.9 - count as f64;
            prop_assert!(total as f64 >= least, "{} admitted, limit {}", total, limit);
        }
    }
}
