//! Log events for upstreams that change state, and metrics of the upstreams and deployments.

use std::collections::BTreeMap;

use cyclamengrade_control::traffic::{DeploymentStatus, ServingState, UpstreamStatus};
use cyclamengrade_telemetry::{
    event,
    metrics::{EJECTIONS, REQUESTS_QUEUED, RETRY_BUDGET, UPSTREAMS},
};
use metrics::{counter, gauge};

const ALL_STATES: [ServingState; 5] = [
    ServingState::Ready,
    ServingState::Loading,
    ServingState::Ejected,
    ServingState::Leaving,
    ServingState::Unreachable,
];

/// Reports the upstreams and deployments, and remembers what it last reported.
#[derive(Debug, Default)]
pub(super) struct Reporter {
    /// Deployment and state of each upstream, by name of the upstream.
    upstreams: BTreeMap<String, (String, ServingState)>,
    /// Number of retries that the retry budget of each deployment denied, and whether the budget
    /// was exhausted at the last report.
    denied_retries: BTreeMap<String, (u64, bool)>,
}

impl Reporter {
    /// Logs the upstreams that differ from the last call, and sets the gauges that count the
    /// upstreams by state.
    pub fn report_upstreams(&mut self, upstreams: Vec<UpstreamStatus>) {
        let mut counts: BTreeMap<(String, &str), u32> = BTreeMap::new();
        let mut current = BTreeMap::new();
        for UpstreamStatus { name, deployment, state, .. } in upstreams {
            for counted in ALL_STATES {
                let count = counts.entry((deployment.clone(), counted.name())).or_default();
                *count += u32::from(counted == state);
            }
            let previous = self.upstreams.remove(&name).map(|(_, state)| state);
            log_state_change(&name, &deployment, previous, state);
            current.insert(name, (deployment, state));
        }
        for (name, (deployment, _)) in std::mem::replace(&mut self.upstreams, current) {
            let (upstream, deployment) = (name.as_str(), deployment.as_str());
            event!(UpstreamRemoved, upstream = upstream, deployment = deployment);
        }
        for ((deployment, state), count) in counts {
            gauge!(UPSTREAMS, "deployment" => deployment, "state" => state).set(count);
        }
    }
}

impl Reporter {
    /// Sets the gauges of the deployments, and logs retry budgets that denied retries since the
    /// last call. A budget that denies retries in consecutive periods is logged once.
    pub fn report_deployments(&mut self, deployments: Vec<DeploymentStatus>) {
        let mut current = BTreeMap::new();
        for DeploymentStatus { deployment, queued, retry_budget, retries_denied } in deployments {
            let label = || deployment.clone();
            #[expect(clippy::cast_precision_loss, reason = "queues hold at most thousands")]
            gauge!(REQUESTS_QUEUED, "deployment" => label()).set(queued as f64);
            gauge!(RETRY_BUDGET, "deployment" => label()).set(retry_budget);
            let (denied_before, logged) =
                self.denied_retries.remove(&deployment).unwrap_or_default();
            let exhausted = retries_denied > denied_before;
            if exhausted && !logged {
                event!(RetryBudgetExhausted, deployment = deployment.as_str());
            }
            current.insert(deployment, (retries_denied, exhausted));
        }
        for deployment in std::mem::replace(&mut self.denied_retries, current).into_keys() {
            gauge!(REQUESTS_QUEUED, "deployment" => deployment.clone()).set(0.0);
            gauge!(RETRY_BUDGET, "deployment" => deployment).set(0.0);
        }
    }
}

fn log_state_change(
    upstream: &str,
    deployment: &str,
    previous: Option<ServingState>,
    state: ServingState,
) {
    if previous.is_none() {
        event!(UpstreamAdded, upstream = upstream, deployment = deployment);
    }
    if previous == Some(state) {
        return;
    }
    match (previous, state) {
        (_, ServingState::Ejected) => {
            counter!(EJECTIONS, "deployment" => deployment.to_owned()).increment(1);
            event!(UpstreamEjected, upstream = upstream, deployment = deployment);
        }
        (_, ServingState::Leaving) => {
            event!(UpstreamLeaving, upstream = upstream, deployment = deployment);
        }
        (_, ServingState::Unreachable) => {
            let error = "recent attempts failed";
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
