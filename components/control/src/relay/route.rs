//! Configuration of the relay: routes by host and path prefix, and the limits on requests.

use std::{collections::BTreeMap, time::Duration};

use crate::relay::{account::Accounts, quota::Quota};

/// Longest time of a configuration. Times are added to clocks and multiplied, and one of a year has the
/// same effect as any longer one.
pub const MAX_TIME: Duration = Duration::from_secs(365 * 24 * 3_600);

/// Kind of a route, which says whether its requests may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Idempotent requests with a single response.
    Safe,
    /// Requests that run at most once.
    Unsafe,
    /// Event streams, which run at most once unless the route is resumable.
    Stream,
    /// Batch jobs, whose items are idempotent event streams.
    Batch,
}

impl Kind {
    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Stream => "stream",
            Self::Batch => "batch",
        }
    }
}

/// A deployment that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the deployment.
    pub deployment: String,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// Requests with the same host and path prefix, and how they are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host header of the requests, without a port.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub path_prefix: String,
    /// Whether requests may run more than once.
    pub kind: Kind,
    /// Whether its requests need no key where the configuration has accounts.
    pub public: bool,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u32,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Latency objective, for the complete response, the first event of a stream, or the acceptance
    /// of a job.
    pub latency_objective: Duration,
    /// Objective for the longest pause between two events of a stream.
    pub gap_objective: Duration,
    /// Attempts of one request that may have run it. For a batch route, failures of an item before
    /// it is abandoned.
    pub max_attempts: u32,
    /// Whether a broken stream may be resumed at another upstream.
    pub resumable: bool,
    /// Time from the acceptance of a job until its items are due.
    pub completion_target: Duration,
    /// Time from the acceptance of a job until its items may be abandoned.
    pub retention: Duration,
    /// Limit on the tokens that wait for a run, for a batch route.
    pub quota: Quota,
    /// Deployments that serve the route. If the configuration does not name any, there are none, and
    /// requests are refused.
    pub targets: Vec<Target>,
}

impl Route {
    /// Whether a request that may already have run may be sent again.
    pub const fn is_retryable(&self) -> bool {
        match self.kind {
            Kind::Safe | Kind::Batch => true,
            Kind::Unsafe => false,
            Kind::Stream => self.resumable,
        }
    }

    /// Returns the route with times of at most [`MAX_TIME`].
    fn bounded(self) -> Self {
        Self {
            timeout: self.timeout.min(MAX_TIME),
            latency_objective: self.latency_objective.min(MAX_TIME),
            gap_objective: self.gap_objective.min(MAX_TIME),
            completion_target: self.completion_target.min(MAX_TIME),
            retention: self.retention.min(MAX_TIME),
            ..self
        }
    }

    /// Returns the deployments that serve the route.
    pub fn deployments(&self) -> impl Iterator<Item = &str> {
        self.targets.iter().map(|target| target.deployment.as_str())
    }

    /// Returns the deployment at a point between 0 and 1 of the weighted split. A random point
    /// selects deployments in proportion to their weights.
    pub fn deployment(&self, point: f64) -> Option<&str> {
        let total: f64 = self.targets.iter().map(|target| f64::from(target.weight)).sum();
        let mut remaining = point * total;
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return Some(&target.deployment);
            }
        }
        self.targets.last().map(|target| target.deployment.as_str())
    }
}

/// Configuration of a deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Deployment {
    /// Connections that each of its upstreams accepts from all relays together.
    pub max_connections: Option<usize>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head.
    pub head_bytes: usize,
    /// Largest request body.
    pub body_bytes: usize,
    /// Time in which a request head must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Limits {
    /// Returns the limits with times of at most [`MAX_TIME`].
    fn bounded(self) -> Self {
        Self {
            head_timeout: self.head_timeout.min(MAX_TIME),
            idle_timeout: self.idle_timeout.min(MAX_TIME),
            ..self
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the routing configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Version of the configuration; zero before the first one was read.
    pub version: u64,
    /// Routes by host in lower case, the longest path prefix first.
    routes: BTreeMap<String, Vec<std::sync::Arc<Route>>>,
    /// Deployments by name.
    pub deployments: BTreeMap<String, Deployment>,
    /// Limits on the requests and connections of callers.
    pub limits: Limits,
    /// Client accounts; `None` if the configuration has none and requests need no key.
    pub accounts: Option<Accounts>,
    /// Parts of the configuration that are left out because they cannot be used, with the causes.
    pub flaws: Vec<String>,
}

impl Table {
    /// Creates a table, bounds its times by [`MAX_TIME`], and sorts its routes for [`Self::find`].
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        deployments: BTreeMap<String, Deployment>,
        limits: Limits,
    ) -> Self {
        let mut by_host: BTreeMap<String, Vec<_>> = BTreeMap::new();
        for route in routes {
            by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(route.bounded().into());
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route: &std::sync::Arc<Route>| {
                std::cmp::Reverse(route.path_prefix.len())
            });
        }
        let (limits, flaws) = (limits.bounded(), Vec::new());
        Self { version, routes: by_host, deployments, limits, accounts: None, flaws }
    }

    /// Sets the client accounts.
    pub fn with_accounts(self, accounts: Option<Accounts>) -> Self {
        Self { accounts, ..self }
    }

    /// Sets the parts that are left out.
    pub fn with_flaws(self, flaws: Vec<String>) -> Self {
        Self { flaws, ..self }
    }

    /// Returns the route of the host with the longest prefix of the path. Ignores a port after the
    /// host, and the case of the host.
    pub fn find(&self, host: &str, path: &str) -> Option<&std::sync::Arc<Route>> {
        self.matching(host, path).next()
    }

    /// Returns the batch route of a job that was submitted to this path. A route of another kind with a
    /// longer prefix takes new requests, but neither runs nor ends the jobs of the batch route.
    pub fn find_batch(&self, host: &str, path: &str) -> Option<&std::sync::Arc<Route>> {
        self.matching(host, path).find(|route| route.kind == Kind::Batch)
    }

    /// Returns the routes of the host whose prefixes begin the path, the longest prefix first.
    fn matching(&self, host: &str, path: &str) -> impl Iterator<Item = &std::sync::Arc<Route>> {
        let host = match host.rsplit_once(':') {
            Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
            _ => host,
        };
        let routes = self.routes.get(&host.to_ascii_lowercase());
        routes.into_iter().flatten().filter(move |route| path.starts_with(&route.path_prefix))
    }

    /// Whether no configuration has been read yet.
    pub const fn is_empty(&self) -> bool {
        self.version == 0
    }
}
