//! Events and metrics of upstreams whose state changes, and gauges of the deployments.

use std::collections::BTreeMap;

use cyclamengrade_control::traffic::{DeploymentStatus, ServingState, UpstreamStatus};
use cyclamengrade_telemetry::{
    event,
    metrics::{EJECTIONS, REQUESTS_QUEUED, RETRY_BUDGET, UPSTREAMS},
};
use metrics::{counter, gauge};

const STATES: [ServingState; 5] = [
    ServingState::Ready,
    ServingState::Loading,
    ServingState::Ejected,
    ServingState::Leaving,
    ServingState::Unreachable,
];

/// The upstreams and deployments as last reported.
#[derive(Debug, Default)]
pub(super) struct Changes {
    known: BTreeMap<String, (String, ServingState)>,
    /// Retries of each deployment that its budget denied, and whether that was reported.
    denied: BTreeMap<String, (u64, bool)>,
}

impl Changes {
    /// Reports what is different from the last call, and counts the upstreams by state.
    pub fn report(&mut self, upstreams: Vec<UpstreamStatus>) {
        let mut counts: BTreeMap<(String, &str), u32> = BTreeMap::new();
        let mut current = BTreeMap::new();
        for UpstreamStatus { name, deployment, state, .. } in upstreams {
            for other in STATES {
                let count = counts.entry((deployment.clone(), other.name())).or_default();
                *count += u32::from(other == state);
            }
            let before = self.known.remove(&name).map(|(_, state)| state);
            changed(&name, &deployment, before, state);
            current.insert(name, (deployment, state));
        }
        for (name, (deployment, _)) in std::mem::replace(&mut self.known, current) {
            let (upstream, deployment) = (name.as_str(), deployment.as_str());
            event!(UpstreamRemoved, upstream = upstream, deployment = deployment);
        }
        for ((deployment, state), count) in counts {
            gauge!(UPSTREAMS, "deployment" => deployment, "state" => state).set(count);
        }
    }
}

impl Changes {
    /// Sets the gauges of the deployments and reports budgets that denied retries since the last
    /// call; once, until a period without such retries has passed.
    pub fn summarise(&mut self, deployments: Vec<DeploymentStatus>) {
        let mut current = BTreeMap::new();
        for DeploymentStatus { deployment, queued, retry_budget, retries_denied } in deployments {
            let label = || deployment.clone();
            #[expect(clippy::cast_precision_loss, reason = "queues hold at most thousands")]
            gauge!(REQUESTS_QUEUED, "deployment" => label()).set(queued as f64);
            gauge!(RETRY_BUDGET, "deployment" => label()).set(retry_budget);
            let (before, reported) = self.denied.remove(&deployment).unwrap_or_default();
            let exhausted = retries_denied > before;
            if exhausted && !reported {
                event!(RetryBudgetExhausted, deployment = deployment.as_str());
            }
            current.insert(deployment, (retries_denied, exhausted));
        }
        for deployment in std::mem::replace(&mut self.denied, current).into_keys() {
            gauge!(REQUESTS_QUEUED, "deployment" => deployment.clone()).set(0.0);
            gauge!(RETRY_BUDGET, "deployment" => deployment).set(0.0);
        }
    }
}

fn changed(upstream: &str, deployment: &str, before: Option<ServingState>, state: ServingState) {
    if before.is_none() {
        event!(UpstreamAdded, upstream = upstream, deployment = deployment);
    }
    if before == Some(state) {
        return;
    }
    match (before, state) {
        (_, ServingState::Ejected) => {
            counter!(EJECTIONS, "deployment" => deployment.to_owned()).increment(1);
            event!(UpstreamEjected, upstream = upstream, deployment = deployment);
        }
        (_, ServingState::Leaving) => {
            event!(UpstreamLeaving, upstream = upstream, deployment = deployment);
        }
        (_, ServingState::Unreachable) => {
            let error = "attempts fail";
            event!(
                UpstreamUnreachable,
                upstream = upstream,
                deployment = deployment,
                error = error
            );
        }
        (Some(ServingState::Ejected | ServingState::Unreachable), ServingState::Ready) => {
            event!(UpstreamReadmitted, upstream = upstream, deployment = deployment);
        }
        (_, ServingState::Ready | ServingState::Loading) => {}
    }
}
