//! Measures how the cost of the control state machines grows with the number of daemons.
//!
//! Run `cargo run --release -p cyclamengrade-control --example control_cost`. Each line gives one
//! measure at one fleet size, with the median and the range of several runs. The runs alternate
//! between the sizes, so that noise of the machine affects all of them.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use cyclamengrade_configuration::{Client, Delta, Deployment, Document, Limit, Model, Version};
use cyclamengrade_control::{
    fleet::Vm,
    membership::{self, Action, Candidate, Datagram, Kind, Member, State},
    order,
    revision::{self, Entry},
    time::Time,
    traffic::Demand,
};

/// Numbers of daemons.
const FLEET_SIZES: [u16; 4] = [10, 100, 460, 1_000];
const RUNS: usize = 7;
/// Upstreams per daemon: 6,800 upstreams for 460 daemons, rounded up.
const UPSTREAMS_PER_DAEMON: u16 = 15;
/// Simulated seconds of one membership run.
const SIMULATED_SECONDS: u32 = 200;

fn main() {
    report("membership, CPU us a second", membership_cpu);
    report("membership, bytes a second sent", membership_bytes);
    report("revision, CPU us for one change", revision_cpu);
    report("revision, bytes of one change", revision_bytes);
    report("revision, bytes of the document", document_bytes);
    report("orders, CPU us for one tick", order_cpu);
}

fn report(name: &str, measure: fn(u16) -> f64) {
    let mut samples = FLEET_SIZES.map(|_| Vec::new());
    for _ in 0..RUNS {
        for (size, samples) in FLEET_SIZES.iter().zip(&mut samples) {
            samples.push(measure(*size));
        }
    }
    for (size, mut samples) in FLEET_SIZES.into_iter().zip(samples) {
        samples.sort_by(f64::total_cmp);
        let (low, high) = (samples[0], samples[RUNS - 1]);
        println!("{name} | {size} daemons | {:.1} ({low:.1} to {high:.1})", samples[RUNS / 2]);
    }
}

fn candidate(index: u16) -> Candidate {
    Candidate {
        name: format!("entry-{index:04}"),
        address: SocketAddr::from(([10, 0, 0, 1], 10_000 + index)),
        data_centre: format!("ktm-{}", index % 7),
    }
}

fn demand() -> Vec<Demand> {
    let demand = |index| Demand {
        client: format!("client-{index:03}"),
        deployment: "telaio-lm".into(),
        requests_per_s: 3.0,
    };
    (0..24).map(demand).collect()
}

fn member(index: u16) -> Member {
    let Candidate { name, address, data_centre } = candidate(index);
    Member { name, address, data_centre, incarnation: 1, state: State::Alive }
}

/// Returns a daemon that knows all members.
fn membership_machine(size: u16) -> membership::Machine {
    let mut machine = membership::Machine::new(membership::Settings {
        own: candidate(0),
        incarnation: 1,
        seed: 1,
        probe_period: Duration::from_secs(1),
        probe_timeout: Duration::from_millis(300),
        indirect_probes: 3,
        suspicion: Duration::from_secs(3),
    });
    let now = Time::default();
    machine.handle(now, membership::Input::Listed((0..size).map(candidate).collect()));
    machine.handle(now, membership::Input::Demand(demand()));
    for index in 1..size {
        machine.handle(now, received(index, 0, Kind::Probe));
    }
    machine
}

/// Returns a daemon that has sent all membership changes, as in a fleet without failures, and the
/// simulated second that it has reached.
fn settled_membership(size: u16) -> (membership::Machine, u64) {
    let mut machine = membership_machine(size);
    let mut second = 0;
    for _ in 0..=size / 30 {
        drive(&mut machine, size, second);
        second += u64::from(SIMULATED_SECONDS);
    }
    (machine, second)
}

fn received(index: u16, sequence: u64, kind: Kind) -> membership::Input {
    let datagram = Datagram {
        from: candidate(index).name,
        sequence,
        kind,
        changes: vec![member(index)],
        revision: 1,
        demand: demand(),
    };
    membership::Input::Received { from: candidate(index).address, datagram }
}

/// Runs a daemon from second `start` on and returns the datagrams that it sends. Its own probes are
/// answered, and one probe per second arrives, which is the mean in a fleet of any size.
fn drive(machine: &mut membership::Machine, size: u16, start: u64) -> Vec<Datagram> {
    let mut sent = Vec::new();
    for second in start + 1..=start + u64::from(SIMULATED_SECONDS) {
        for tick in 0..10 {
            let now = Time::from_millis(second * 1_000 + tick * 100);
            for action in machine.handle(now, membership::Input::Tick) {
                let Action::Send { to, datagram } = action else { continue };
                let index = to.port() - 10_000;
                let kind = Kind::Ack { subject: candidate(index).name };
                machine.handle(now, received(index, datagram.sequence, kind));
                sent.push(datagram);
            }
        }
        let now = Time::from_millis(second * 1_000 + 950);
        let sender = 1 + u16::try_from(second % u64::from(size - 1)).unwrap_or(0);
        for action in machine.handle(now, received(sender, second, Kind::Probe)) {
            let Action::Send { datagram, .. } = action else { continue };
            sent.push(datagram);
        }
        machine.live();
        machine.demand_of_others(now);
    }
    sent
}

fn membership_cpu(size: u16) -> f64 {
    let (mut machine, second) = settled_membership(size);
    let start = Instant::now();
    drive(&mut machine, size, second);
    elapsed_micros(start) / f64::from(SIMULATED_SECONDS)
}

/// Returns the bytes on the wire per second, computed from the fields. The encoding adds a few per
/// cent that are not counted.
fn membership_bytes(size: u16) -> f64 {
    let (mut machine, second) = settled_membership(size);
    let sent = drive(&mut machine, size, second);
    sent.iter().map(datagram_bytes).sum::<usize>() as f64 / f64::from(SIMULATED_SECONDS)
}

fn datagram_bytes(datagram: &Datagram) -> usize {
    const UDP_HEADERS: usize = 28;
    let changes = datagram.changes.iter().map(|member| {
        let address = member.address.to_string();
        member.name.len() + address.len() + member.data_centre.len() + 16
    });
    let demand = datagram.demand.iter().map(|d| d.client.len() + d.deployment.len() + 15);
    UDP_HEADERS + datagram.from.len() + 16 + changes.sum::<usize>() + demand.sum::<usize>()
}

/// Returns the number of models and deployments: 22 at 460 daemons, in proportion at other sizes.
fn models(size: u16) -> usize {
    (usize::from(size) * 22).div_ceil(460)
}

/// Returns a document in proportion to the fleet: 320 clients and 22 models at 460 daemons.
fn document(size: u16) -> Document {
    let mut document = Document::default();
    for index in 0..models(size) {
        let name = format!("model-{index:02}");
        let version = Version { weights: format!("weights/{name}/1") };
        let versions = [("1".to_owned(), version)].into();
        document.models.insert(name.clone(), Model { versions });
        let deployment = Deployment::model(name, "1");
        document.deployments.insert(format!("deployment-{index:02}"), deployment);
    }
    let limit =
        Limit { requests_per_s: Some(100.0), concurrent_requests: Some(200), open_jobs: Some(100) };
    for index in 0..(usize::from(size) * 320).div_ceil(460) {
        let client = Client::new(format!("token-of-client-{index:03}")).with_limit("*", limit);
        document.clients.insert(format!("client-{index:03}"), client);
    }
    document
}

fn change(document: &Document, number: u64) -> (Entry, Document) {
    let mut new = document.clone();
    new.clients.insert("client-000".into(), Client::new(format!("token-{number}")));
    let delta = Delta::new(document, &new);
    (Entry { number, delta, digest: new.digest() }, new)
}

fn revision_cpu(size: u16) -> f64 {
    let mut machine = revision::Machine::new(Duration::from_secs(2));
    let mut document = document(size);
    let snapshot = revision::Snapshot { number: 1, document: Arc::new(document.clone()) };
    let first = revision::Input::Content { snapshot: Some(snapshot), entries: Vec::new() };
    machine.handle(Time::default(), first);
    let mut entries = Vec::new();
    for number in 2..52 {
        let (entry, new) = change(&document, number);
        entries.push(entry);
        document = new;
    }
    let count = entries.len();
    let start = Instant::now();
    for entry in entries {
        let content = revision::Input::Content { snapshot: None, entries: vec![entry] };
        machine.handle(Time::default(), content);
    }
    elapsed_micros(start) / count as f64
}

fn revision_bytes(size: u16) -> f64 {
    let (entry, _) = change(&document(size), 2);
    serde_json::to_vec(&entry.delta).map_or(0.0, |bytes| bytes.len() as f64)
}

fn document_bytes(size: u16) -> f64 {
    serde_json::to_vec(&document(size)).map_or(0.0, |bytes| bytes.len() as f64)
}

fn order_cpu(size: u16) -> f64 {
    let models = models(size);
    let upstream = |index: u16| Vm {
        name: format!("runner-{index:05}"),
        address: SocketAddr::from(([10, 1, 0, 1], 10_000 + index)),
        data_centre: "ktm-a".into(),
        service: format!("deployment-{:02}", usize::from(index) % models),
        leaving: false,
    };
    let vms: Arc<Vec<Vm>> = Arc::new((0..size * UPSTREAMS_PER_DAEMON).map(upstream).collect());
    let mut machine = order::Machine::new(order::Settings {
        daemon: "entry-0000".into(),
        epoch: 1,
        lease: Duration::from_secs(10),
        margin: Duration::from_secs(5),
        longest_request: Duration::from_secs(60),
    });
    let names = (0..size).map(|index| candidate(index).name).collect();
    let now = Time::default();
    let document = Arc::new(document(size));
    machine.handle(now, order::Input::Fleet { vms: Arc::clone(&vms), document });
    machine.handle(now, order::Input::Members(names));
    for (index, vm) in vms.iter().enumerate() {
        let loaded = vec![format!("model-{:02}@1", index % models)];
        machine.handle(now, order::Input::Models { upstream: vm.name.clone(), models: loaded });
    }
    let ticks = 10;
    let start = Instant::now();
    for tick in 1..=ticks {
        machine.handle(Time::from_millis(tick * 1_000), order::Input::Tick);
    }
    elapsed_micros(start) / ticks as f64
}

fn elapsed_micros(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e6
}
