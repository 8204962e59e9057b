//! Guards against two daemons that send orders to the same upstream at the same time, and against a
//! rollout that drops a version while requests still need it.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use cyclamengrade_configuration::{Deployment, Document, Fencing};
use cyclamengrade_control::{
    fleet::Vm,
    order::{Action, Input, Machine, Ownership, Settings},
    time::Time,
};
use googletest::prelude::*;
use proptest::prelude::*;

const LEASE: Duration = Duration::from_secs(10);
const MARGIN: Duration = Duration::from_secs(5);
const LONGEST_REQUEST: Duration = Duration::from_secs(60);
const TICK_PERIOD: Duration = Duration::from_secs(1);

type Row = (u64, Ownership);

/// Simulated engines, table, and daemons that can be paused.
struct Simulation {
    now: Time,
    daemons: BTreeMap<String, Machine>,
    paused: Vec<String>,
    rows: BTreeMap<String, Row>,
    engines: BTreeMap<String, Vec<String>>,
    loading: BTreeMap<String, (Time, Vec<String>)>,
    orders: Vec<(String, String, u64, Time)>,
    max_concurrent_loads: usize,
    document: Arc<Document>,
    vms: Arc<Vec<Vm>>,
}

fn document(version: &str, fencing: Fencing) -> Arc<Document> {
    let mut document = Document::default();
    let deployment = Deployment::model("telaio", version).with_fencing(fencing);
    document.deployments.insert("telaio-lm".into(), deployment);
    Arc::new(document)
}

fn vm(index: u16) -> Vm {
    Vm {
        name: format!("runner-{index:02}"),
        address: SocketAddr::from(([127, 0, 0, 1], 20_000 + index)),
        data_centre: "como".into(),
        service: "telaio-lm".into(),
        leaving: false,
    }
}

fn settings(name: &str) -> Settings {
    Settings {
        daemon: name.into(),
        epoch: 1,
        lease: LEASE,
        margin: MARGIN,
        longest_request: LONGEST_REQUEST,
    }
}

impl Simulation {
    fn new(daemons: usize, engines: u16, fencing: Fencing) -> Self {
        let names: Vec<_> = (0..daemons).map(|index| format!("entry-{index}")).collect();
        let machines = names.iter().map(|name| (name.clone(), Machine::new(settings(name))));
        let mut simulation = Self {
            now: Time::default(),
            daemons: machines.collect(),
            paused: Vec::new(),
            rows: BTreeMap::new(),
            engines: (0..engines).map(|i| (vm(i).name, vec!["telaio@1".to_owned()])).collect(),
            loading: BTreeMap::new(),
            orders: Vec::new(),
            max_concurrent_loads: 0,
            document: document("1", fencing),
            vms: Arc::new((0..engines).map(vm).collect()),
        };
        simulation.set_document(document("1", fencing));
        simulation.set_members(&names);
        simulation.run(2);
        simulation
    }

    fn set_document(&mut self, document: Arc<Document>) {
        self.document = Arc::clone(&document);
        for machine in self.daemons.values_mut() {
            let vms = Arc::clone(&self.vms);
            machine.handle(self.now, Input::Fleet { vms, document: Arc::clone(&document) });
        }
    }

    fn set_members(&mut self, names: &[String]) {
        for (name, machine) in &mut self.daemons {
            if !self.paused.contains(name) {
                machine.handle(self.now, Input::Members(names.to_vec()));
            }
        }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now = self.now + TICK_PERIOD;
            self.finish_loads();
            for name in self.daemons.keys().cloned().collect::<Vec<_>>() {
                if !self.paused.contains(&name) {
                    self.tick(&name);
                }
            }
            self.max_concurrent_loads = self.max_concurrent_loads.max(self.loads());
        }
    }

    fn tick(&mut self, daemon: &str) {
        for (upstream, models) in self.engines.clone() {
            self.input(daemon, Input::Models { upstream, models });
        }
        self.input(daemon, Input::Tick);
    }

    fn input(&mut self, daemon: &str, input: Input) {
        let Some(machine) = self.daemons.get_mut(daemon) else { return };
        for action in machine.handle(self.now, input) {
            self.perform(daemon, action);
        }
    }

    fn perform(&mut self, daemon: &str, action: Action) {
        match action {
            Action::ReadRow { upstream } => {
                let row = match self.rows.get(&upstream) {
                    Some((version, ownership)) => (*version, Some(ownership.clone())),
                    None => (0, None),
                };
                self.input(daemon, Input::RowRead { upstream, row: Some(row) });
            }
            Action::Claim { upstream, version, ownership } => {
                let current = self.rows.get(&upstream).map_or(0, |(version, _)| *version);
                let held = current == version;
                if held {
                    self.rows.insert(upstream.clone(), (version + 1, ownership));
                }
                self.input(daemon, Input::Claimed { upstream, held });
            }
            Action::Order { upstream, fence, models, .. } => {
                self.orders.push((upstream.clone(), daemon.into(), fence, self.now));
                let done = self.now + Duration::from_secs(4);
                self.loading.entry(upstream.clone()).or_insert((done, models));
                self.input(daemon, Input::Ordered { upstream, accepted: true });
            }
        }
    }

    fn finish_loads(&mut self) {
        let now = self.now;
        let done: Vec<_> = self.loading.iter().filter(|(_, (at, _))| *at <= now).collect();
        let done: Vec<_> = done.into_iter().map(|(n, (_, m))| (n.clone(), m.clone())).collect();
        for (name, models) in done {
            self.loading.remove(&name);
            self.engines.insert(name, models);
        }
    }

    /// Returns the number of engines that are loading weights. An order that only drops a model
    /// loads none.
    fn loads(&self) -> usize {
        let new = |name: &str, models: &[String]| {
            models.iter().any(|model| !self.engines[name].contains(model))
        };
        self.loading.iter().filter(|(name, (_, models))| new(name, models)).count()
    }

    fn count(&self, label: &str) -> usize {
        self.engines.values().filter(|models| models.iter().any(|m| m == label)).count()
    }
}

#[gtest]
fn no_orders_without_change() {
    let mut simulation = Simulation::new(3, 10, Fencing::Ignored);
    simulation.run(60);
    expect_that!(simulation.orders, is_empty());
    expect_that!(simulation.rows, is_empty());
}

#[gtest]
fn old_version_stays_while_needed() {
    let mut simulation = Simulation::new(3, 20, Fencing::Checked);
    simulation.set_document(document("2", Fencing::Checked));
    while simulation.count("telaio@2") < 10 {
        expect_that!(simulation.count("telaio@1"), eq(20));
        simulation.run(1);
    }
    simulation.run(500);
    expect_that!(simulation.count("telaio@2"), eq(20));
    expect_that!(simulation.count("telaio@1"), eq(0));
    // The weight store is rate-limited, so only a tenth of the deployment may load at a time.
    expect_that!(simulation.max_concurrent_loads, le(2));
}

#[gtest]
fn new_holder_waits_before_first_order() {
    let mut simulation = Simulation::new(2, 4, Fencing::Ignored);
    simulation.set_document(document("2", Fencing::Ignored));
    simulation.run(5);
    let start = simulation.now;
    simulation.run(200);
    let first = simulation.orders.iter().map(|(.., at)| *at).min();
    expect_that!(first, some(ge(start + LEASE + MARGIN - Duration::from_secs(5))));
}

#[gtest]
fn higher_fence_after_takeover() {
    let mut simulation = Simulation::new(2, 6, Fencing::Checked);
    simulation.set_document(document("2", Fencing::Checked));
    simulation.run(6);
    let before: BTreeMap<String, u64> =
        simulation.rows.iter().map(|(name, (_, row))| (name.clone(), row.fence)).collect();
    let paused = "entry-0".to_owned();
    simulation.paused.push(paused.clone());
    simulation.set_members(&["entry-1".to_owned()]);
    simulation.run(400);
    expect_that!(simulation.count("telaio@2"), eq(6));
    for (name, (_, row)) in &simulation.rows {
        expect_that!(row.fence, ge(before.get(name).copied().unwrap_or(1)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Even if the daemons disagree on the set of live daemons, an upstream that ignores fencing
    /// numbers never gets an order of an earlier holder after one of a later holder.
    #[test]
    fn one_holder_at_a_time(
        views in prop::collection::vec((0..3_usize, 0..8_u8, 1..30_u64), 1..12)
    ) {
        let mut simulation = Simulation::new(3, 3, Fencing::Ignored);
        simulation.set_document(document("2", Fencing::Ignored));
        for (index, (daemon, mask, seconds)) in views.into_iter().enumerate() {
            let name = format!("entry-{daemon}");
            let members = (0..3).filter(|bit| mask & (1 << bit) != 0 || *bit == daemon);
            let members = members.map(|bit| format!("entry-{bit}")).collect();
            simulation.input(&name, Input::Members(members));
            simulation.set_document(document(&format!("{}", 2 + index % 2), Fencing::Ignored));
            simulation.run(seconds);
        }
        for (upstream, holder, fence, at) in &simulation.orders {
            for (other_upstream, other_holder, other_fence, other_at) in &simulation.orders {
                if upstream == other_upstream && other_fence > fence {
                    prop_assert!(holder != other_holder || fence != other_fence);
                    prop_assert!(other_at > at, "an earlier holder sent an order after a later one");
                }
            }
        }
    }
}
