//! State machine that decides the orders to upstreams.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use cyclamengrade_configuration::{Deployment, Document, Fencing};

use super::{
    message::{Action, Input, Ownership, Settings},
    rollout,
};
use crate::{fleet::Vm, hash, time::Time};

/// Time after which an unanswered read or claim of a row is repeated.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum time between two orders to the same upstream, while it does not report the wanted
/// models.
const ORDER_PERIOD: Duration = Duration::from_secs(10);

/// Progress of this daemon towards orders for one upstream.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// The row has not been read yet, or must be read again.
    Idle,
    /// The row is being read or claimed; `ownership` is set once the claim has been sent, `held` if
    /// this daemon held the row before.
    Claiming { since: Time, ownership: Option<Ownership>, held: Option<Held> },
    /// This daemon holds the row and relies on that without reading it again until `trusted_until`.
    Held { held: Held, trusted_until: Time },
}

/// A row that this daemon holds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Held {
    fence: u64,
    /// Earliest time of an order to an upstream that ignores fencing numbers.
    earliest_order: Time,
    last_order: Option<Time>,
}

/// The version that gets the requests of a deployment.
#[derive(Clone, Debug, PartialEq)]
struct Serving {
    /// Label of that version.
    current: String,
    /// When requests moved to it from another label; `None` if they have not moved since this
    /// daemon started.
    switched_at: Option<Time>,
}

/// State machine of the orders that one daemon sends.
#[derive(Debug)]
pub struct Machine {
    settings: Settings,
    vms: Arc<Vec<Vm>>,
    document: Arc<Document>,
    members: Vec<String>,
    /// Names of the upstreams that are not leaving, by deployment.
    upstreams: BTreeMap<String, BTreeSet<String>>,
    /// Labels of the loaded models, by upstream.
    models: BTreeMap<String, Vec<String>>,
    /// Deployments that may need orders; ticks skip the others.
    unsettled: BTreeSet<String>,
    /// Progress towards orders, by upstream.
    steps: BTreeMap<String, Step>,
    /// The version that gets requests, by deployment.
    serving: BTreeMap<String, Serving>,
}

impl Machine {
    /// Creates the state machine of a daemon that has sent no orders yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            vms: Arc::default(),
            document: Arc::default(),
            members: Vec::new(),
            upstreams: BTreeMap::new(),
            models: BTreeMap::new(),
            unsettled: BTreeSet::new(),
            steps: BTreeMap::new(),
            serving: BTreeMap::new(),
        }
    }

    /// Handles an input and returns the actions that follow from it.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Tick => return self.tick(now),
            Input::Fleet { vms, document } => self.update_fleet(vms, document),
            Input::Members(members) => self.members = members,
            Input::Models { upstream, models } => self.update_models(upstream, models),
            Input::RowRead { upstream, row } => {
                return self.handle_row(now, upstream, row).into_iter().collect();
            }
            Input::Claimed { upstream, held } => self.handle_claim_result(now, &upstream, held),
            Input::Ordered { upstream, accepted } => self.handle_order_result(&upstream, accepted),
        }
        Vec::new()
    }

    fn update_fleet(&mut self, vms: Arc<Vec<Vm>>, document: Arc<Document>) {
        if Arc::ptr_eq(&self.vms, &vms) && Arc::ptr_eq(&self.document, &document) {
            return;
        }
        self.upstreams.clear();
        for vm in vms.iter().filter(|vm| !vm.leaving) {
            self.upstreams.entry(vm.service.clone()).or_default().insert(vm.name.clone());
        }
        let listed: BTreeSet<&str> = vms.iter().map(|vm| vm.name.as_str()).collect();
        self.models.retain(|name, _| listed.contains(name.as_str()));
        self.steps.retain(|name, _| listed.contains(name.as_str()));
        self.serving.retain(|name, _| document.deployments.contains_key(name));
        self.unsettled = document.deployments.keys().cloned().collect();
        self.vms = vms;
        self.document = document;
    }

    fn update_models(&mut self, upstream: String, models: Vec<String>) {
        if self.models.get(&upstream) == Some(&models) {
            return;
        }
        let deployments = self.upstreams.iter().filter(|(_, names)| names.contains(&upstream));
        self.unsettled.extend(deployments.map(|(name, _)| name.clone()));
        self.models.insert(upstream, models);
    }

    fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let document = Arc::clone(&self.document);
        for name in self.unsettled.clone() {
            let deployment = document.deployments.get(&name);
            let Some((deployment, wanted)) = deployment
                .and_then(|deployment| Some((deployment, rollout::wanted_label(deployment)?)))
            else {
                self.unsettled.remove(&name);
                continue;
            };
            let name = name.as_str();
            self.update_serving(now, name, &wanted);
            actions.extend(self.roll_out(now, name, deployment, &wanted));
            if self.is_settled(name, &wanted) {
                self.unsettled.remove(name);
            }
        }
        actions
    }

    /// Returns the reported models of each upstream of a deployment, without upstreams that are
    /// leaving; `None` for an upstream that has not reported.
    fn reports(&self, deployment: &str) -> BTreeMap<&str, Option<&Vec<String>>> {
        let names = self.upstreams.get(deployment).into_iter().flatten();
        names.map(|name| (name.as_str(), self.models.get(name))).collect()
    }

    /// Returns whether every upstream has loaded the wanted label and nothing else.
    fn is_settled(&self, deployment: &str, wanted: &str) -> bool {
        let names = self.upstreams.get(deployment).into_iter().flatten();
        names.map(|name| self.models.get(name)).all(|models| {
            models.is_some_and(|models| matches!(models.as_slice(), [label] if label == wanted))
        })
    }

    /// Records that requests moved to the wanted label once half of the upstreams have it.
    fn update_serving(&mut self, now: Time, name: &str, wanted: &str) {
        let reports = self.reports(name);
        let Some(serving) = self.serving.get(name) else {
            let current = initial_label(&reports, wanted);
            self.serving.insert(name.into(), Serving { current, switched_at: None });
            return;
        };
        if serving.current == wanted || !rollout::is_loaded_by_half(wanted, &reports) {
            return;
        }
        let serving = Serving { current: wanted.into(), switched_at: Some(now) };
        self.serving.insert(name.into(), serving);
    }

    fn roll_out(
        &mut self,
        now: Time,
        name: &str,
        deployment: &Deployment,
        wanted: &str,
    ) -> Vec<Action> {
        let reports = self.reports(name);
        let loading = rollout::may_load(wanted, &reports);
        let mut orders: Vec<(String, Vec<String>)> = Vec::new();
        for (upstream, models) in reports {
            let Some(models) = models else { continue };
            let target = if loading.contains(&upstream) {
                self.labels_while_loading(name, wanted, models)
            } else if self.may_drop_others(now, name, wanted, models) {
                vec![wanted.to_owned()]
            } else {
                continue;
            };
            if self.owns(upstream) {
                orders.push((upstream.to_owned(), target));
            }
        }
        let fencing = deployment.fencing;
        orders
            .into_iter()
            .filter_map(|(upstream, target)| self.advance(now, &upstream, fencing, target))
            .collect()
    }

    /// Returns the wanted label, followed by the label that gets requests now if the upstream has
    /// loaded it.
    fn labels_while_loading(&self, name: &str, wanted: &str, models: &[String]) -> Vec<String> {
        let mut labels = vec![wanted.to_owned()];
        if let Some(serving) = self.serving.get(name)
            && serving.current != wanted
            && models.contains(&serving.current)
        {
            labels.push(serving.current.clone());
        }
        labels
    }

    fn may_drop_others(&self, now: Time, name: &str, wanted: &str, models: &[String]) -> bool {
        let Some(serving) = self.serving.get(name) else { return false };
        let others = models.iter().any(|label| label != wanted);
        let no_longer_needed = match serving.switched_at {
            Some(switched_at) => now.since(switched_at) >= self.settings.longest_request * 2,
            None => true,
        };
        others && no_longer_needed && serving.current == wanted
    }

    fn owns(&self, upstream: &str) -> bool {
        let owner = hash::owner(self.members.iter().map(String::as_str), upstream);
        owner == Some(self.settings.daemon.as_str())
    }

    /// Takes the next step towards an order for one upstream: reads its row, or sends the order if
    /// this daemon holds the row.
    fn advance(
        &mut self,
        now: Time,
        upstream: &str,
        fencing: Fencing,
        models: Vec<String>,
    ) -> Option<Action> {
        let address = self.vms.iter().find(|vm| vm.name == upstream)?.address;
        let step = self.steps.entry(upstream.into()).or_insert(Step::Idle);
        let held = match step {
            Step::Claiming { since, .. } if now.since(*since) < STEP_TIMEOUT => return None,
            Step::Held { held, trusted_until } if now < *trusted_until => held,
            Step::Held { held, .. } => {
                *step = Step::Claiming { since: now, ownership: None, held: Some(*held) };
                return Some(Action::ReadRow { upstream: upstream.into() });
            }
            Step::Claiming { held, .. } => {
                *step = Step::Claiming { since: now, ownership: None, held: *held };
                return Some(Action::ReadRow { upstream: upstream.into() });
            }
            Step::Idle => {
                *step = Step::Claiming { since: now, ownership: None, held: None };
                return Some(Action::ReadRow { upstream: upstream.into() });
            }
        };
        let too_early = fencing == Fencing::Ignored && now < held.earliest_order;
        let sent_recently = held.last_order.is_some_and(|last| now.since(last) < ORDER_PERIOD);
        if too_early || sent_recently {
            return None;
        }
        held.last_order = Some(now);
        let fence = held.fence;
        Some(Action::Order { upstream: upstream.into(), address, fence, models })
    }

    fn handle_row(
        &mut self,
        now: Time,
        upstream: String,
        row: Option<(u64, Option<Ownership>)>,
    ) -> Option<Action> {
        let Some((version, current)) = row else {
            self.steps.insert(upstream, Step::Idle);
            return None;
        };
        let Settings { daemon, epoch, .. } = &self.settings;
        let own = current.as_ref().is_some_and(|c| c.holder == *daemon && c.epoch == *epoch);
        let fence = current.as_ref().map_or(0, |current| current.fence);
        if own {
            self.record_held(now, &upstream, fence);
            return None;
        }
        let ownership =
            Ownership { holder: daemon.clone(), epoch: *epoch, fence: fence.saturating_add(1) };
        let claimed = Some(ownership.clone());
        let step = Step::Claiming { since: now, ownership: claimed, held: None };
        self.steps.insert(upstream.clone(), step);
        Some(Action::Claim { upstream, version, ownership })
    }

    fn handle_claim_result(&mut self, now: Time, upstream: &str, held: bool) {
        let Some(Step::Claiming { ownership: Some(ownership), .. }) = self.steps.get(upstream)
        else {
            return;
        };
        let fence = ownership.fence;
        if held {
            self.record_held(now, upstream, fence);
        } else {
            self.steps.insert(upstream.into(), Step::Idle);
        }
    }

    fn record_held(&mut self, now: Time, upstream: &str, fence: u64) {
        let known = match self.steps.get(upstream) {
            Some(Step::Claiming { held: Some(held), .. }) if held.fence == fence => Some(*held),
            _ => None,
        };
        // An earlier holder may send orders for one lease length after it last read the row.
        let earliest_order = now + self.settings.lease + self.settings.margin;
        let held = known.unwrap_or(Held { fence, earliest_order, last_order: None });
        let trusted_until = now + self.settings.lease;
        self.steps.insert(upstream.into(), Step::Held { held, trusted_until });
    }

    /// Lets the row be read again after an order that was not accepted, because another daemon may
    /// have claimed it with a higher fencing number.
    fn handle_order_result(&mut self, upstream: &str, accepted: bool) {
        if !accepted && let Some(step) = self.steps.get_mut(upstream) {
            *step = Step::Idle;
        }
    }
}

/// Returns the label that a daemon that has just started takes as the one that gets requests: the
/// wanted label if at least half of the upstreams have it, otherwise the most common label.
fn initial_label(reports: &BTreeMap<&str, Option<&Vec<String>>>, wanted: &str) -> String {
    if rollout::is_loaded_by_half(wanted, reports) {
        return wanted.into();
    }
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for label in reports.values().flatten().flat_map(|models| models.iter()) {
        *counts.entry(label).or_default() += 1;
    }
    let most_common = counts.into_iter().max_by_key(|(_, count)| *count);
    most_common.map_or_else(|| wanted.to_owned(), |(label, _)| label.to_owned())
}
