//! Status of upstreams and deployments as shown to operators.

/// State of an upstream with respect to online requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// Accepts requests.
    Ready,
    /// Does not serve the version that its deployment specifies yet.
    Loading,
    /// Ejected because it is slower than its peers; receives only probes.
    Ejected,
    /// Shutting down; receives no new work.
    Leaving,
    /// Ejected because its last attempts failed; receives only probes.
    Unreachable,
}

impl ServingState {
    /// Returns the name that is used in metrics and towards operators.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Loading => "loading",
            Self::Ejected => "ejected",
            Self::Leaving => "leaving",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Status of one upstream as seen by this daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamStatus {
    pub name: String,
    /// Name of the deployment that the upstream serves.
    pub deployment: String,
    /// Data centre of the vm.
    pub data_centre: String,
    pub state: ServingState,
    /// Online requests that this daemon has in flight there.
    pub online: u32,
    /// Batch streams that this daemon holds open there.
    pub batch: u32,
    /// Running requests according to the last load report.
    pub reported_running: u32,
    /// Smoothed time to first token in milliseconds; zero before the first sample.
    pub first_token_ms: f64,
}

/// Status of one deployment as seen by this daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentStatus {
    pub deployment: String,
    /// Online requests in the queue.
    pub queued: usize,
    /// Extra attempts that the retry budget currently allows.
    pub retry_budget: f64,
    /// Retries that were not made because the budget was exhausted.
    pub retries_denied: u64,
}
