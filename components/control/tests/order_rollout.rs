//! Guards against two daemons that give orders to one upstream, and against a rollout that takes a
//! version away while requests need it.

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
const REQUEST: Duration = Duration::from_secs(60);
const TICK: Duration = Duration::from_secs(1);

type Row = (u64, Ownership);

/// Engines, the table, and daemons that may be paused.
struct Site {
    now: Time,
    daemons: BTreeMap<String, Machine>,
    paused: Vec<String>,
    rows: BTreeMap<String, Row>,
    engines: BTreeMap<String, Vec<String>>,
    loading: BTreeMap<String, (Time, Vec<String>)>,
    orders: Vec<(String, String, u64, Time)>,
    most_loading: usize,
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
        longest_request: REQUEST,
    }
}

impl Site {
    fn new(daemons: usize, engines: u16, fencing: Fencing) -> Self {
        let names: Vec<_> = (0..daemons).map(|index| format!("entry-{index}")).collect();
        let machines = names.iter().map(|name| (name.clone(), Machine::new(settings(name))));
        let mut site = Self {
            now: Time::default(),
            daemons: machines.collect(),
            paused: Vec::new(),
            rows: BTreeMap::new(),
            engines: (0..engines).map(|i| (vm(i).name, vec!["telaio@1".to_owned()])).collect(),
            loading: BTreeMap::new(),
            orders: Vec::new(),
            most_loading: 0,
            document: document("1", fencing),
            vms: Arc::new((0..engines).map(vm).collect()),
        };
        site.set_document(document("1", fencing));
        site.set_members(&names);
        site.run(2);
        site
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
            self.now = self.now + TICK;
            self.finish_loads();
            for name in self.daemons.keys().cloned().collect::<Vec<_>>() {
                if !self.paused.contains(&name) {
                    self.tick(&name);
                }
            }
            self.most_loading = self.most_loading.max(self.loads());
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
            self.act(daemon, action);
        }
    }

    fn act(&mut self, daemon: &str, action: Action) {
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

    /// Engines that read weights; an order that only drops a model reads none.
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
fn quiet_without_change() {
    let mut site = Site::new(3, 10, Fencing::Ignored);
    site.run(60);
    expect_that!(site.orders, is_empty());
    expect_that!(site.rows, is_empty());
}

#[gtest]
fn old_version_stays() {
    let mut site = Site::new(3, 20, Fencing::Checked);
    site.set_document(document("2", Fencing::Checked));
    while site.count("telaio@2") < 10 {
        expect_that!(site.count("telaio@1"), eq(20));
        site.run(1);
    }
    site.run(500);
    expect_that!(site.count("telaio@2"), eq(20));
    expect_that!(site.count("telaio@1"), eq(0));
    // The weight store is rate-limited: a tenth of the deployment at a time.
    expect_that!(site.most_loading, le(2));
}

#[gtest]
fn new_owner_waits() {
    let mut site = Site::new(2, 4, Fencing::Ignored);
    site.set_document(document("2", Fencing::Ignored));
    site.run(5);
    let start = site.now;
    site.run(200);
    let first = site.orders.iter().map(|(.., at)| *at).min();
    expect_that!(first, some(ge(start + LEASE + MARGIN - Duration::from_secs(5))));
}

#[gtest]
fn higher_fence_after_takeover() {
    let mut site = Site::new(2, 6, Fencing::Checked);
    site.set_document(document("2", Fencing::Checked));
    site.run(6);
    let before: BTreeMap<String, u64> =
        site.rows.iter().map(|(name, (_, row))| (name.clone(), row.fence)).collect();
    let gone = "entry-0".to_owned();
    site.paused.push(gone.clone());
    site.set_members(&["entry-1".to_owned()]);
    site.run(400);
    expect_that!(site.count("telaio@2"), eq(6));
    for (name, (_, row)) in &site.rows {
        expect_that!(row.fence, ge(before.get(name).copied().unwrap_or(1)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// However the live sets of the daemons differ, the orders of one upstream that ignores
    /// fencing numbers never come from two holders within one lease.
    #[test]
    fn one_holder_at_a_time(
        views in prop::collection::vec((0..3_usize, 0..8_u8, 1..30_u64), 1..12)
    ) {
        let mut site = Site::new(3, 3, Fencing::Ignored);
        site.set_document(document("2", Fencing::Ignored));
        for (index, (daemon, mask, seconds)) in views.into_iter().enumerate() {
            let name = format!("entry-{daemon}");
            let members = (0..3).filter(|bit| mask & (1 << bit) != 0 || *bit == daemon);
            let members = members.map(|bit| format!("entry-{bit}")).collect();
            site.input(&name, Input::Members(members));
            site.set_document(document(&format!("{}", 2 + index % 2), Fencing::Ignored));
            site.run(seconds);
        }
        for (upstream, holder, fence, at) in &site.orders {
            for (other_upstream, other_holder, other_fence, other_at) in &site.orders {
                if upstream == other_upstream && other_fence > fence {
                    prop_assert!(holder != other_holder || fence != other_fence);
                    prop_assert!(other_at > at, "an order came after one of a later holder");
                }
            }
        }
    }
}
