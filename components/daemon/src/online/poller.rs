//! Polls the load and the cache events of the model engines. Each daemon polls the engines to which
//! it may send online requests, and those whose batch work it dispatches.

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

/// Maximum polls per second over all upstreams. This takes about 15 KB/s of the 24 KB/s that the
/// control traffic of a daemon may use. With more upstreams, each one is polled less often.
const MAX_POLLS_PER_S: f64 = 40.0;
/// Number of polls of the load for each poll of the cache events.
const LOAD_POLLS_PER_CACHE_POLL: u64 = 4;
/// Maximum number of upstreams that are polled concurrently.
const MAX_POLLS_IN_FLIGHT: usize = 64;

/// Models that each upstream reported last.
#[derive(Default)]
pub(super) struct Models {
    /// Models, as `model@version` or `model@version+adapter`, by name of the vm.
    by_vm: RwLock<BTreeMap<String, Vec<String>>>,
}

impl Models {
    /// Returns a copy of the models, by name of the vm.
    pub(super) fn by_vm(&self) -> BTreeMap<String, Vec<String>> {
        self.by_vm.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the version of the deployment's model that an upstream is to answer with: the
    /// specified one if the upstream reported it and the adapters, else the first that it reported.
    /// Returns `None` if it has reported none.
    pub(super) fn version(&self, upstream: &str, deployment: &Deployment) -> Option<String> {
        let by_vm = self.by_vm.read().unwrap_or_else(PoisonError::into_inner);
        let models = by_vm.get(upstream)?;
        if has_specified_version(models, deployment) {
            return deployment.version.clone();
        }
        let model = deployment.model.as_deref()?;
        let versions = models.iter().filter_map(|entry| {
            let (name, version) = entry.split('+').next()?.split_once('@')?;
            (name == model).then(|| version.to_owned())
        });
        versions.into_iter().next()
    }

    /// Records the models of an upstream and returns whether it may serve its deployment.
    ///
    /// While fewer than half of the upstreams of the deployment have reported the version that it
    /// specifies, those with another version still receive requests, so that the first upstreams
    /// with the new version do not get all of the traffic.
    fn update(&self, vm: &Vm, deployment: &Deployment, models: Vec<String>, vms: &[Vm]) -> bool {
        let mut by_vm = self.by_vm.write().unwrap_or_else(PoisonError::into_inner);
        let has_specified = has_specified_version(&models, deployment);
        let has_any = has_any_version(&models, deployment);
        by_vm.insert(vm.name.clone(), models);
        if has_specified || !has_any {
            return has_specified;
        }
        let upstreams = vms.iter().filter(|upstream| upstream.service == vm.service);
        let (updated, total) = upstreams.fold((0, 0), |(updated, total), upstream| {
            let has_specified = by_vm
                .get(&upstream.name)
                .is_some_and(|models| has_specified_version(models, deployment));
            (updated + usize::from(has_specified), total + 1)
        });
        2 * updated < total
    }

    /// Removes the models of vms that no longer exist.
    fn retain(&self, vms: &[Vm]) {
        let names: BTreeSet<_> = vms.iter().map(|vm| vm.name.as_str()).collect();
        let mut by_vm = self.by_vm.write().unwrap_or_else(PoisonError::into_inner);
        by_vm.retain(|name, _| names.contains(name.as_str()));
    }
}

/// Returns whether the models, as `model@version` or `model@version+adapter`, include the version
/// that the deployment specifies and all of its adapters.
fn has_specified_version(models: &[String], deployment: &Deployment) -> bool {
    let (Some(model), Some(version)) = (&deployment.model, &deployment.version) else {
        return false;
    };
    let base = format!("{model}@{version}");
    let loaded = models.iter().any(|entry| entry.split('+').next() == Some(base.as_str()));
    loaded
        && deployment.adapters.iter().all(|adapter| models.contains(&format!("{base}+{adapter}")))
}

/// Returns whether the models include the model of the deployment in any version.
fn has_any_version(models: &[String], deployment: &Deployment) -> bool {
    let Some(model) = &deployment.model else { return false };
    models.iter().any(|entry| entry.split('@').next() == Some(model.as_str()))
}

/// Upstream that is polled.
struct Target {
    vm: Vm,
    next_poll: Instant,
    /// Number of polls so far.
    polls: u64,
    /// Number of the last cache event that was read; zero before the first one.
    last_cache_event: u64,
    poll_in_flight: bool,
    /// Sequence number of the last load report.
    load_sequence: u64,
    /// Whether the last poll failed.
    failing: bool,
}

/// Result of one poll.
struct Response {
    /// Name of the vm.
    name: String,
    /// Sequence number of the load report.
    load_sequence: Result<u64, Error>,
    /// Number of the last cache event; `None` if there was no new event, or if the cache events
    /// were not polled or could not be read.
    last_cache_event: Option<u64>,
}

impl Target {
    /// Records the result of a poll.
    fn record(&mut self, response: Response) {
        self.poll_in_flight = false;
        match response.load_sequence {
            Ok(sequence) => {
                self.failing = false;
                self.last_cache_event = response.last_cache_event.unwrap_or(self.last_cache_event);
                if sequence < self.load_sequence {
                    // The engine has restarted and numbers its cache events from the beginning.
                    self.last_cache_event = 0;
                }
                self.load_sequence = sequence;
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

/// Polls the upstreams until the daemon stops.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut targets: BTreeMap<String, Target> = BTreeMap::new();
    let mut polls = FuturesUnordered::new();
    let mut topology = None;
    loop {
        let current = Topology::current(&shared);
        if topology.as_ref() != Some(&current) {
            update_targets(&shared, &mut targets, &current);
            topology = Some(current);
        }
        let now = Instant::now();
        let period = poll_period(&shared, targets.len());
        for target in targets.values_mut() {
            if target.next_poll <= now
                && !target.poll_in_flight
                && polls.len() < MAX_POLLS_IN_FLIGHT
            {
                target.next_poll = now + period;
                target.poll_in_flight = true;
                target.polls += 1;
                let cache_after = (target.polls % LOAD_POLLS_PER_CACHE_POLL == 1)
                    .then_some(target.last_cache_event);
                polls.push(poll(Arc::clone(&shared), target.vm.clone(), cache_after));
            }
        }
        let next = targets
            .values()
            .filter(|target| !target.poll_in_flight)
            .map(|target| target.next_poll)
            .min();
        let pause = next
            .map_or(period, |next| next.saturating_duration_since(Instant::now()))
            .clamp(Duration::from_millis(5), period);
        tokio::select! {
            Some(response) = polls.next() => {
                if let Some(target) = targets.get_mut(&response.name) {
                    target.record(response);
                }
            }
            () = sleep(pause) => {}
        }
    }
}

/// State of the node that determines which upstreams are polled.
struct Topology {
    vms: Arc<Vec<Vm>>,
    document: Arc<Document>,
    /// Names of the live daemons.
    daemons: Vec<String>,
}

impl Topology {
    fn current(shared: &Shared) -> Self {
        let members = Arc::clone(&shared.node.members.borrow());
        Self {
            vms: Arc::clone(&shared.node.fleet.borrow()),
            document: Arc::clone(&shared.node.configuration.borrow().document),
            daemons: members.daemons.iter().map(|member| member.name.clone()).collect(),
        }
    }
}

impl PartialEq for Topology {
    /// Compares the vms and the documents by pointer, because every change publishes a new `Arc`.
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.vms, &other.vms)
            && Arc::ptr_eq(&self.document, &other.document)
            && self.daemons == other.daemons
    }
}

/// Returns the time between two polls of one upstream.
fn poll_period(shared: &Shared, targets: usize) -> Duration {
    let shortest = Duration::from_millis(shared.node.settings.timers.load_poll_ms.max(10));
    shortest.max(Duration::from_secs_f64(targets as f64 / MAX_POLLS_PER_S))
}

/// Updates the targets to the engines to which this daemon may send online requests, and those
/// whose batch work it dispatches.
///
/// Computes a hash for each pair of an engine and a daemon, and therefore runs only when the
/// topology has changed.
fn update_targets(shared: &Shared, targets: &mut BTreeMap<String, Target>, topology: &Topology) {
    let Topology { vms, document, daemons } = topology;
    let own_name = shared.node.settings.name.as_str();
    let daemons = || daemons.iter().map(String::as_str);
    let mut selected: BTreeMap<&str, &Vm> = BTreeMap::new();
    let engines =
        document.deployments.iter().filter(|(_, deployment)| deployment.kind == Kind::Model);
    for (name, _) in engines {
        let of_deployment = || vms.iter().filter(|vm| &vm.service == name);
        let names = of_deployment().map(|vm| vm.name.as_str());
        let subset: BTreeSet<_> =
            hash::subset(names, own_name, shared.node.settings.policy.subset).into_iter().collect();
        selected.extend(
            of_deployment()
                .filter(|vm| {
                    subset.contains(vm.name.as_str())
                        || hash::owner(daemons(), &vm.name) == Some(own_name)
                })
                .map(|vm| (vm.name.as_str(), vm)),
        );
    }
    if targets.len() != selected.len() {
        shared.models.retain(vms);
    }
    targets.retain(|name, _| selected.contains_key(name.as_str()));
    let now = Instant::now();
    for (name, vm) in selected {
        let target = targets.entry(name.to_owned()).or_insert_with(|| Target {
            vm: vm.clone(),
            next_poll: now,
            polls: 0,
            last_cache_event: 0,
            poll_in_flight: false,
            load_sequence: 0,
            failing: false,
        });
        if target.vm.address != vm.address {
            target.last_cache_event = 0;
        }
        target.vm.clone_from(vm);
    }
}

/// Polls the load of one upstream. If `cache_after` is given, also polls its cache events with a
/// higher number.
async fn poll(shared: Arc<Shared>, vm: Vm, cache_after: Option<u64>) -> Response {
    let load_sequence = match shared.client.load(vm.address).await {
        Ok(load) => {
            counter!(LOAD_REPORTS, "outcome" => "ok").increment(1);
            let sequence = load.sequence;
            process_load(&shared, &vm, load);
            Ok(sequence)
        }
        Err(error) => {
            counter!(LOAD_REPORTS, "outcome" => "error").increment(1);
            Err(error)
        }
    };
    let last_cache_event = match cache_after.filter(|_| load_sequence.is_ok()) {
        Some(after) => poll_cache_events(&shared, &vm, after).await,
        None => None,
    };
    Response { name: vm.name, load_sequence, last_cache_event }
}

/// Polls the cache events of one upstream with a number above `after`, and passes the stored
/// prefixes to the state machine. Returns the number of the last event, if any.
async fn poll_cache_events(shared: &Shared, vm: &Vm, after: u64) -> Option<u64> {
    let events = match shared.client.cache_events(vm.address, after).await {
        Ok(events) => events.events,
        Err(error) => {
            log::debug!("failed to read the cache events of {}: {error}", vm.name);
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
            shared.send_input(Input::Cached { upstream: vm.name.clone(), prefix });
        }
    }
    Some(last)
}

/// Records the models that an upstream reported and passes its load to the state machine.
fn process_load(shared: &Shared, vm: &Vm, load: wire::Load) {
    let document = Arc::clone(&shared.node.configuration.borrow().document);
    let Some(deployment) = document.deployments.get(&vm.service) else { return };
    let vms = shared.node.fleet.borrow().clone();
    let ready = shared.models.update(vm, deployment, load.models, &vms);
    shared.send_input(Input::Load {
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
