//! Guards against failed daemons that are not detected, and against live daemons that are
//! considered dead.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use cyclamengrade_control::{
    membership::{Action, Candidate, Datagram, Input, Machine, Settings},
    time::Time,
    traffic::Demand,
};
use googletest::prelude::*;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const TICK_MS: u64 = 100;

/// Simulated network with daemons and the datagrams in flight between them.
struct Network {
    now: Time,
    rng: StdRng,
    loss: f64,
    machines: BTreeMap<SocketAddr, Machine>,
    /// Daemons on one side of a partition; datagrams to and from the other side are dropped.
    partition: BTreeSet<SocketAddr>,
    down: BTreeSet<SocketAddr>,
    queue: Vec<(Time, SocketAddr, SocketAddr, Datagram)>,
    sent: u64,
}

fn candidate(index: u16) -> Candidate {
    Candidate {
        name: format!("vm-{index:03}"),
        address: SocketAddr::from(([127, 0, 0, 1], 10_000 + index)),
        data_centre: "biella".into(),
    }
}

fn settings(index: u16, seed: u64) -> Settings {
    Settings {
        own: candidate(index),
        incarnation: 1,
        seed: seed + u64::from(index),
        probe_period: Duration::from_secs(1),
        probe_timeout: Duration::from_millis(300),
        indirect_probes: 3,
        suspicion: Duration::from_secs(3),
    }
}

impl Network {
    fn new(count: u16, seed: u64) -> Self {
        let machines = (0..count)
            .map(|index| (candidate(index).address, Machine::new(settings(index, seed))))
            .collect();
        let mut network = Self {
            now: Time::default(),
            rng: StdRng::seed_from_u64(seed),
            loss: 0.0,
            machines,
            partition: BTreeSet::new(),
            down: BTreeSet::new(),
            queue: Vec::new(),
            sent: 0,
        };
        let listed: Vec<_> = (0..count).map(candidate).collect();
        for address in network.addresses() {
            network.input(address, Input::Listed(listed.clone()));
        }
        network
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.machines.keys().copied().collect()
    }

    fn input(&mut self, address: SocketAddr, input: Input) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&address) else { return };
        for action in machine.handle(now, input) {
            if let Action::Send { to, datagram } = action {
                self.sent += 1;
                let lost = self.rng.random_bool(self.loss);
                let partitioned = self.partition.contains(&address) != self.partition.contains(&to);
                if !lost && !partitioned {
                    let delay = Duration::from_millis(self.rng.random_range(0..20));
                    self.queue.push((now + delay, address, to, datagram));
                }
            }
        }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 1_000 / TICK_MS {
            self.now = self.now + Duration::from_millis(TICK_MS);
            for address in self.addresses() {
                if !self.down.contains(&address) {
                    self.input(address, Input::Tick);
                }
            }
            while let Some(index) = self.queue.iter().position(|(at, ..)| *at <= self.now) {
                let (_, from, to, datagram) = self.queue.swap_remove(index);
                if !self.down.contains(&to) && !self.down.contains(&from) {
                    self.input(to, Input::Received { from, datagram });
                }
            }
        }
    }

    /// Returns the distinct numbers of live members that the running daemons see, without
    /// themselves.
    fn live(&self) -> BTreeSet<usize> {
        let running = self.machines.iter().filter(|(address, _)| !self.down.contains(address));
        running.map(|(_, machine)| machine.live().len()).collect()
    }
}

#[gtest]
fn all_members_join() {
    let mut network = Network::new(12, 1);
    network.run(3);
    expect_that!(network.live(), eq(&BTreeSet::from([11])));
}

#[gtest]
fn failed_member_is_detected() {
    let mut network = Network::new(12, 2);
    network.run(3);
    network.down.insert(candidate(5).address);
    // Seconds for a full round of probes, for the detection, and for the change to spread.
    network.run(11 + 4 + 4);
    expect_that!(network.live(), eq(&BTreeSet::from([10])));
}

#[gtest]
fn replaced_member_returns() {
    let mut network = Network::new(6, 3);
    network.run(3);
    network.down.insert(candidate(2).address);
    network.run(20);
    network.down.clear();
    let fresh = Machine::new(settings(2, 99));
    network.machines.insert(candidate(2).address, fresh);
    let listed = (0..6).map(candidate).collect();
    network.input(candidate(2).address, Input::Listed(listed));
    network.run(15);
    expect_that!(network.live(), eq(&BTreeSet::from([5])));
}

#[gtest]
fn partition_heals() {
    let mut network = Network::new(10, 4);
    network.run(3);
    network.partition = (0..5).map(|index| candidate(index).address).collect();
    network.run(40);
    expect_that!(network.live(), eq(&BTreeSet::from([4])));
    network.partition.clear();
    network.run(40);
    expect_that!(network.live(), eq(&BTreeSet::from([9])));
}

#[gtest]
fn leave_is_announced() {
    let mut network = Network::new(8, 5);
    network.run(3);
    network.input(candidate(0).address, Input::Leave);
    network.run(1);
    let others = network.machines.values().skip(1).map(|machine| machine.live().len());
    expect_that!(others.collect::<Vec<_>>(), each(eq(&6)));
}

#[gtest]
fn demand_is_summed() {
    let mut network = Network::new(8, 6);
    let demand = Demand { client: "a".into(), deployment: "b".into(), requests_per_s: 10.0 };
    for address in network.addresses() {
        network.input(address, Input::Demand(vec![demand.clone()]));
    }
    network.run(20);
    let now = network.now;
    let first = network.machines.values_mut().next().unwrap();
    let others = first.demand_of_others(now);
    expect_that!(others.len(), eq(1));
    expect_that!(others[0].requests_per_s, near(70.0, 1e-6));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// After a period in which a fifth of all datagrams are lost, every daemon considers all others
    /// live again.
    #[test]
    fn false_suspicion_is_refuted(seed in 0..10_000_u64) {
        let mut network = Network::new(10, seed);
        network.loss = 0.2;
        network.run(60);
        network.loss = 0.0;
        network.run(40);
        prop_assert_eq!(network.live(), BTreeSet::from([9]));
    }
}
