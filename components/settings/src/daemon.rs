//! Types of the settings of a daemon, and their defaults.
//!
//! [`crate::key::KEYS`] states the range of each setting.

use std::net::SocketAddr;

use log::LevelFilter;
use serde::{Deserialize, Serialize};

/// Settings of `cyclamengrade daemon`, read from its settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    /// Name of this vm, unique in the fleet.
    pub name: String,
    /// Data centre of this vm.
    pub data_centre: String,
    /// Address on which callers, operators and the load balancer connect.
    pub listen: SocketAddr,
    /// Address on which other daemons connect, by TCP and UDP.
    pub peer_listen: SocketAddr,
    /// Bearer token that operators send to `/admin/*`. Without it, `/admin/*` answers only callers
    /// on a loopback address.
    #[serde(default)]
    pub admin_token: Option<String>,
    pub platform: Platform,
    #[serde(default)]
    pub peer: Peer,
    #[serde(default)]
    pub policy: Policy,
    #[serde(default)]
    pub lease: Lease,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub timers: Timers,
    #[serde(default)]
    pub telemetry: Telemetry,
}

/// Addresses of the platform's services, and the timeout of calls to them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    pub table: SocketAddr,
    pub objects: SocketAddr,
    /// Address of the service that lists the vms.
    pub vms: SocketAddr,
    /// Timeout of one call, in milliseconds. Less than the length of the lease, since a slow renewal
    /// would lose it otherwise.
    #[serde(default = "Platform::default_timeout_ms")]
    pub timeout_ms: u64,
}

impl Platform {
    const fn default_timeout_ms() -> u64 {
        2_000
    }
}

/// Failure detection between daemons by probes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Peer {
    /// Time between two probes, in milliseconds.
    pub probe_period_ms: u64,
    /// Time after which a probe counts as unanswered, in milliseconds. Less than the probe period.
    pub probe_timeout_ms: u64,
    /// Number of daemons that are asked to probe a silent daemon on behalf of this one.
    pub indirect_probes: usize,
    /// Time for which a silent daemon is suspected before it counts as gone, in milliseconds. At
    /// least the probe period.
    pub suspicion_ms: u64,
}

impl Default for Peer {
    fn default() -> Self {
        Self {
            probe_period_ms: 1_000,
            probe_timeout_ms: 300,
            indirect_probes: 3,
            suspicion_ms: 3_000,
        }
    }
}

/// Selection of upstreams, queueing and retries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Number of upstreams of one deployment that this daemon considers; all of them when there are
    /// fewer.
    pub subset: usize,
    /// Number of requests of one deployment that may wait in this daemon.
    pub queue: usize,
    /// Retry budget: retries and hedges as a share of recent successes, from 0 to 1.
    pub retry_share: f64,
    /// Seed of the random choices. Without it, the daemon takes a random seed.
    pub seed: Option<u64>,
    /// Replaces the policy by round robin, first come first served, fixed batch concurrency and
    /// unlimited retries. For comparison only.
    pub naive: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self { subset: 64, queue: 256, retry_share: 0.05, seed: None, naive: false }
    }
}

/// Lease of a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Lease {
    /// Length of the lease, in milliseconds. The same on every daemon.
    pub length_ms: u64,
    /// Time between two renewals, in milliseconds. Less than half of the length, so that the lease
    /// survives one lost renewal.
    pub renewal_ms: u64,
    /// Additional time before an observer treats the lease as ended, in milliseconds. The same on
    /// every daemon.
    pub margin_ms: u64,
}

impl Default for Lease {
    fn default() -> Self {
        Self { length_ms: 10_000, renewal_ms: 3_000, margin_ms: 5_000 }
    }
}

/// Bounds of requests and batch jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest body of an online request, in bytes.
    pub body_bytes: usize,
    /// Largest body of a batch job, in bytes. At least `body_bytes`.
    pub batch_body_bytes: usize,
    /// Largest number of items of a batch job.
    pub batch_items: usize,
    /// Largest header section of a request, in bytes.
    pub header_bytes: usize,
    /// Number of items of a chunk, the part of a batch job that a daemon claims as one.
    pub chunk_items: usize,
    /// Number of attempts after which an item ends as failed.
    pub item_attempts: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            batch_body_bytes: 512 << 20,
            batch_items: 430_000,
            header_bytes: 32 << 10,
            chunk_items: 64,
            item_attempts: 3,
        }
    }
}

/// Polling periods, deadlines and shutdown times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timers {
    /// Time between two reads of the newest configuration revision, in milliseconds.
    pub config_poll_ms: u64,
    /// Time between two reads of the list of vms, in milliseconds.
    pub vms_poll_ms: u64,
    /// Time between two reads of the load of an upstream, in milliseconds.
    pub load_poll_ms: u64,
    /// Time between two reads of the open jobs, in milliseconds.
    pub jobs_poll_ms: u64,
    /// Deadline of an online request that states none, in milliseconds.
    pub request_ms: u64,
    /// Longest graceful shutdown, in milliseconds. More than `leave_ms`.
    pub drain_ms: u64,
    /// Time during which a shutdown still accepts connections after the readiness probe starts to
    /// fail, in milliseconds.
    pub leave_ms: u64,
}

impl Default for Timers {
    fn default() -> Self {
        Self {
            config_poll_ms: 2_000,
            vms_poll_ms: 2_000,
            load_poll_ms: 500,
            jobs_poll_ms: 1_000,
            request_ms: 60_000,
            drain_ms: 30_000,
            leave_ms: 2_000,
        }
    }
}

/// Logs and traces.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Telemetry {
    /// Least severe level that is logged.
    pub log_level: Level,
    /// Share of requests without a `traceparent` header whose spans are logged, from 0 to 1.
    pub trace_share: f64,
}

/// Severity of a log event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Something failed and an operator should act.
    Error,
    /// Something failed and the system acts by itself.
    Warn,
    /// A state changed.
    #[default]
    Info,
    /// Details of single requests.
    Debug,
    /// Every single step.
    Trace,
}

impl Level {
    /// Returns the name that the settings file uses.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }

    /// Returns the filter that lets this level and the more severe ones pass.
    pub const fn filter(self) -> LevelFilter {
        match self {
            Self::Error => LevelFilter::Error,
            Self::Warn => LevelFilter::Warn,
            Self::Info => LevelFilter::Info,
            Self::Debug => LevelFilter::Debug,
            Self::Trace => LevelFilter::Trace,
        }
    }
}
