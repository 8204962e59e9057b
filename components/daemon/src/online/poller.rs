//! Reads of the upstreams' load and cache events.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, PoisonError, RwLock},
    time::{Duration, Instant},
};

use cyclamengrade_configuration::{Deployment, Document, Kind};
use cyclamengrade_control::{
    fleet::Vm,
    hash,
    traffic::{Input, Load},
};
use cyclamengrade_telemetry::{
    event,
    metrics::{CACHE_EVENTS_LOST, LOAD_REPORTS},
};
use cyclamengrade_upstream::{Error, wire};
use futures_util::{StreamExt, stream::FuturesUnordered};
use metrics::counter;
use tokio::time::sleep;

use super::Shared;

/// Reads a second, over all upstreams: about 15 KB/s of the 24 KB/s that a daemon's control
/// traffic may take. With more upstreams, each is read less often.
const READS_PER_S: f64 = 40.0;
/// Reads of the load for each read of the cache events.
const LOADS_PER_CACHE_READ: u64 = 4;
/// Reads that may wait for an answer at the same time.
const READS_IN_FLIGHT: usize = 64;

/// Models that the upstreams reported, by name of the vm.
#[derive(Default)]
pub(super) struct Reported {
    models: RwLock<BTreeMap<String, Vec<String>>>,
}

impl Reported {
    /// Models that the upstreams reported last, by name of the vm.
    pub(super) fn models(&self) -> BTreeMap<String, Vec<String>> {
        self.models.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether an upstream reported the version that its deployment wants.
    pub(super) fn has_wanted(&self, upstream: &str, deployment: &Deployment) -> bool {
        let models = self.models.read().unwrap_or_else(PoisonError::into_inner);
        models.get(upstream).is_some_and(|models| has_wanted(models, deployment))
    }

    /// Takes a report and tells whether the upstream may serve its deployment.
    ///
    /// While fewer than half of the deployment's upstreams have a new version, those with an
    /// older one stay in service, so that the first to load it do not get the whole traffic.
    fn update(&self, vm: &Vm, deployment: &Deployment, models: Vec<String>, peers: &[Vm]) -> bool {
        let mut reported = self.models.write().unwrap_or_else(PoisonError::into_inner);
        let wanted = has_wanted(&models, deployment);
        let older = has_model(&models, deployment);
        reported.insert(vm.name.clone(), models);
        if wanted || !older {
            return wanted;
        }
        let peers = peers.iter().filter(|peer| peer.service == vm.service);
        let (with, all) = peers.fold((0, 0), |(with, all), peer| {
            let has = reported.get(&peer.name).is_some_and(|models| has_wanted(models, deployment));
            (with + usize::from(has), all + 1)
        });
        2 * with < all
    }

    fn retain(&self, vms: &[Vm]) {
        let names: BTreeSet<_> = vms.iter().map(|vm| vm.name.as_str()).collect();
        let mut models = self.models.write().unwrap_or_else(PoisonError::into_inner);
        models.retain(|name, _| names.contains(name.as_str()));
    }
}

/// Whether the models, as `model@version` or `model@version+adapter`, contain what the deployment
/// wants, adapters included.
fn has_wanted(models: &[String], deployment: &Deployment) -> bool {
    let (Some(model), Some(version)) = (&deployment.model, &deployment.version) else {
        return false;
    };
    let base = format!("{model}@{version}");
    let loaded = models.iter().any(|entry| entry.split('+').next() == Some(base.as_str()));
    loaded
        && deployment.adapters.iter().all(|adapter| models.contains(&format!("{base}+{adapter}")))
}

fn has_model(models: &[String], deployment: &Deployment) -> bool {
    let Some(model) = &deployment.model else { return false };
    models.iter().any(|entry| entry.split('@').next() == Some(model.as_str()))
}

/// One upstream that is read.
struct Target {
    vm: Vm,
    due: Instant,
    reads: u64,
    cache_number: u64,
    reading: bool,
    /// Number of the last load report.
    sequence: u64,
    /// Whether the last read failed.
    failing: bool,
}

/// Result of one read.
struct Read {
    name: String,
    /// Number of the load report.
    sequence: Result<u64, Error>,
    /// Number of the last cache event.
    cache_number: Option<u64>,
}

impl Target {
    fn take(&mut self, read: Read) {
        self.reading = false;
        match read.sequence {
            Ok(sequence) => {
                self.failing = false;
                self.cache_number = read.cache_number.unwrap_or(self.cache_number);
                if sequence < self.sequence {
                    // The engine has started again, and numbers its events from the beginning.
                    self.cache_number = 0;
                }
                self.sequence = sequence;
            }
            Err(error) => {
                if !std::mem::replace(&mut self.failing, true) {
                    event!(
                        UpstreamUnreachable,
                        upstream = self.vm.name.as_str(),
                        deployment = self.vm.service.as_str(),
                        error:% = error
                    );
                }
            }
        }
    }
}

/// Reads the upstreams until the daemon stops.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut targets: BTreeMap<String, Target> = BTreeMap::new();
    let mut reads = FuturesUnordered::new();
    let mut basis = None;
    loop {
        let current = Basis::of(&shared);
        if basis.as_ref() != Some(&current) {
            update(&shared, &mut targets, &current);
            basis = Some(current);
        }
        let now = Instant::now();
        let period = period(&shared, targets.len());
        for target in targets.values_mut() {
            if target.due <= now && !target.reading && reads.len() < READS_IN_FLIGHT {
                target.due = now + period;
                target.reading = true;
                target.reads += 1;
                let cache =
                    (target.reads % LOADS_PER_CACHE_READ == 1).then_some(target.cache_number);
                reads.push(read(Arc::clone(&shared), target.vm.clone(), cache));
            }
        }
        let next = targets.values().filter(|target| !target.reading).map(|target| target.due).min();
        let pause = next
            .map_or(period, |next| next.saturating_duration_since(Instant::now()))
            .clamp(Duration::from_millis(5), period);
        tokio::select! {
            Some(read) = reads.next() => {
                if let Some(target) = targets.get_mut(&read.name) {
                    target.take(read);
                }
            }
            () = sleep(pause) => {}
        }
    }
}

/// What decides which upstreams are read.
struct Basis {
    vms: Arc<Vec<Vm>>,
    document: Arc<Document>,
    daemons: Vec<String>,
}

impl Basis {
    fn of(shared: &Shared) -> Self {
        let members = Arc::clone(&shared.node.members.borrow());
        Self {
            vms: Arc::clone(&shared.node.fleet.borrow()),
            document: Arc::clone(&shared.node.configuration.borrow().document),
            daemons: members.daemons.iter().map(|member| member.name.clone()).collect(),
        }
    }
}

impl PartialEq for Basis {
    /// Compares lists and documents by identity, since a change always publishes a new one.
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.vms, &other.vms)
            && Arc::ptr_eq(&self.document, &other.document)
            && self.daemons == other.daemons
    }
}

/// Time between two reads of one upstream.
fn period(shared: &Shared, targets: usize) -> Duration {
    let shortest = Duration::from_millis(shared.node.settings.timers.load_poll_ms.max(10));
    shortest.max(Duration::from_secs_f64(targets as f64 / READS_PER_S))
}

/// Brings the targets up to date: the engines that this daemon considers for online requests, and
/// those whose batch work it dispatches.
///
/// Costs a hash for each pair of an engine and a daemon, so it runs only when the basis changed.
fn update(shared: &Shared, targets: &mut BTreeMap<String, Target>, basis: &Basis) {
    let Basis { vms, document, daemons } = basis;
    let me = shared.node.settings.name.as_str();
    let daemons = || daemons.iter().map(String::as_str);
    let mut wanted: BTreeMap<&str, &Vm> = BTreeMap::new();
    let engines = document.deployments.iter().filter(|(_, it)| it.kind == Kind::Model);
    for (name, _) in engines {
        let of_deployment = || vms.iter().filter(|vm| &vm.service == name);
        let names = of_deployment().map(|vm| vm.name.as_str());
        let subset: BTreeSet<_> =
            hash::subset(names, me, shared.node.settings.policy.subset).into_iter().collect();
        wanted.extend(
            of_deployment()
                .filter(|vm| {
                    subset.contains(vm.name.as_str())
                        || hash::owner(daemons(), &vm.name) == Some(me)
                })
                .map(|vm| (vm.name.as_str(), vm)),
        );
    }
    if targets.len() != wanted.len() {
        shared.reported.retain(vms);
    }
    targets.retain(|name, _| wanted.contains_key(name.as_str()));
    let now = Instant::now();
    for (name, vm) in wanted {
        let target = targets.entry(name.to_owned()).or_insert_with(|| Target {
            vm: vm.clone(),
            due: now,
            reads: 0,
            cache_number: 0,
            reading: false,
            sequence: 0,
            failing: false,
        });
        if target.vm.address != vm.address {
            target.cache_number = 0;
        }
        target.vm.clone_from(vm);
    }
}

/// Reads the load of one upstream, and its cache events above a number when one is given.
async fn read(shared: Arc<Shared>, vm: Vm, cache_after: Option<u64>) -> Read {
    let sequence = match shared.client.load(vm.address).await {
        Ok(load) => {
            counter!(LOAD_REPORTS, "outcome" => "ok").increment(1);
            let sequence = load.sequence;
            loaded(&shared, &vm, load);
            Ok(sequence)
        }
        Err(error) => {
            counter!(LOAD_REPORTS, "outcome" => "error").increment(1);
            Err(error)
        }
    };
    let cache_number = match cache_after.filter(|_| sequence.is_ok()) {
        Some(after) => cache_events(&shared, &vm, after).await,
        None => None,
    };
    Read { name: vm.name, sequence, cache_number }
}

/// Reads the cache events of one upstream; returns the number of the last one.
async fn cache_events(shared: &Shared, vm: &Vm, after: u64) -> Option<u64> {
    let events = match shared.client.cache_events(vm.address, after).await {
        Ok(events) => events.events,
        Err(error) => {
            log::debug!("the cache events of {} cannot be read: {error}", vm.name);
            return None;
        }
    };
    let last = events.iter().map(|event| event.number).max()?;
    if after > 0 {
        let lost = last.saturating_sub(after).saturating_sub(events.len() as u64);
        counter!(CACHE_EVENTS_LOST).increment(lost);
    }
    for event in events.into_iter().filter(|event| event.stored) {
        if let Ok(prefix) = u64::from_str_radix(&event.prefix, 16) {
            shared.feed(Input::Cached { upstream: vm.name.clone(), prefix });
        }
    }
    Some(last)
}

fn loaded(shared: &Shared, vm: &Vm, load: wire::Load) {
    let document = Arc::clone(&shared.node.configuration.borrow().document);
    let Some(deployment) = document.deployments.get(&vm.service) else { return };
    let vms = shared.node.fleet.borrow().clone();
    let ready = shared.reported.update(vm, deployment, load.models, &vms);
    shared.feed(Input::Load {
        upstream: vm.name.clone(),
        load: Load {
            running: load.running,
            queued: load.queued,
            slots: load.slots,
            age_ms: load.age_ms,
            leaving: load.leaving,
            ready,
        },
    });
}
