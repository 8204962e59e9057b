//! The upstreams as operators see them.

/// State of an upstream for online requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes requests.
    Ready,
    /// Does not have the version that its deployment wants.
    Loading,
    /// Slower than its peers; gets probe requests only.
    Ejected,
    /// Takes no new work.
    Leaving,
    /// The last attempts could not reach it.
    Unreachable,
}

impl State {
    /// The name that operators read.
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

/// One upstream as this daemon sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// Name of the upstream.
    pub name: String,
    /// Deployment that it serves.
    pub deployment: String,
    /// Data centre of its vm.
    pub data_centre: String,
    /// State.
    pub state: State,
    /// Online requests of this daemon in flight.
    pub online: u32,
    /// Batch streams of this daemon.
    pub batch: u32,
    /// Requests that the upstream reported as running.
    pub reported_running: u32,
    /// Smoothed time to first token in milliseconds; zero before the first sample.
    pub first_token_ms: f64,
}

/// One deployment as this daemon sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// Name of the deployment.
    pub deployment: String,
    /// Online requests that wait for an upstream.
    pub queued: usize,
    /// Attempts that retries and hedges may still spend.
    pub retry_budget: f64,
    /// Retries that were not made because the budget was exhausted.
    pub retries_denied: u64,
}
