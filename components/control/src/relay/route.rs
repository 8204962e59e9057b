//! Routes by host and path prefix.

use std::{collections::BTreeMap, time::Duration};

/// What may happen to requests of a route more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Idempotent calls with one whole answer.
    Safe,
    /// Calls that run at most once.
    Unsafe,
    /// Event streams. They run at most once unless the route is resumable.
    Stream,
    /// Batch jobs, whose items are idempotent event streams.
    Batch,
}

impl Kind {
    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Stream => "stream",
            Self::Batch => "batch",
        }
    }
}

/// A deployment that a route sends to, and its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the deployment.
    pub deployment: String,
    /// Share in relation to the other targets of the route.
    pub weight: u32,
}

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Start of the path, with a slash at both ends.
    pub prefix: String,
    /// What may run more than once.
    pub kind: Kind,
    /// Longest time for which a request may be kept.
    pub timeout: Duration,
    /// Latency objective: the whole answer, the first event, or the acceptance of a job.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub gap: Duration,
    /// Upstreams that one request may run on.
    pub attempts: u32,
    /// Whether a broken stream may go on at another upstream.
    pub resumable: bool,
    /// Time from the acceptance of a job until its items are due.
    pub completion: Duration,
    /// Time from the acceptance of a job until its items may be abandoned.
    pub retention: Duration,
    /// Deployments; never empty.
    pub targets: Vec<Target>,
}

impl Route {
    /// Whether a request that may have run may be sent again.
    pub const fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Safe | Kind::Batch => true,
            Kind::Unsafe => false,
            Kind::Stream => self.resumable,
        }
    }

    /// The deployment for a point between 0 and 1, by the weights.
    pub fn target(&self, point: f64) -> Option<&str> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = point * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.deployment);
            }
        }
        self.targets.last().map(|target| target.deployment.as_str())
    }
}

/// What the configuration says of a deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Deployment {
    /// Connections that one of its upstreams accepts from all daemons together.
    pub max_connections: Option<usize>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request head.
    pub head_bytes: usize,
    /// Bytes of a request body.
    pub body_bytes: usize,
    /// Time for a request head.
    pub head_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
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

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Version; zero before any was read.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    routes: BTreeMap<String, Vec<std::sync::Arc<Route>>>,
    /// Deployments by name.
    pub deployments: BTreeMap<String, Deployment>,
    /// What callers may send.
    pub limits: Limits,
}

impl Table {
    /// A table of these routes.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        deployments: BTreeMap<String, Deployment>,
        limits: Limits,
    ) -> Self {
        let mut by_host: BTreeMap<String, Vec<_>> = BTreeMap::new();
        for route in routes {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(route.into());
        }
        for routes in by_host.values_mut() {
            routes
                .sort_by_key(|route: &std::sync::Arc<Route>| std::cmp::Reverse(route.prefix.len()));
        }
        Self { version, routes: by_host, deployments, limits }
    }

    /// The route with the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&std::sync::Arc<Route>> {
        let host = match host.rsplit_once(':') {
            Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
            _ => host,
        };
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Whether no configuration was read yet.
    pub const fn is_empty(&self) -> bool {
        self.version == 0
    }
}
