//! Settings of a daemon.

use std::net::SocketAddr;

use log::LevelFilter;
use serde::{Deserialize, Serialize};

/// Settings of `cyclamengrade daemon`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    /// Name of this vm, unique in the fleet; required.
    pub name: String,
    /// Data centre of this vm; required.
    pub data_centre: String,
    /// Where callers, operators and the load balancer connect.
    pub listen: SocketAddr,
    /// Where other daemons connect, by TCP and UDP.
    pub peer_listen: SocketAddr,
    /// Bearer token of operators for `/admin/*`; when absent, only callers on a loopback address
    /// are answered there.
    #[serde(default)]
    pub admin_token: Option<String>,
    /// The platform's services.
    pub platform: Platform,
    /// Communication with other daemons.
    #[serde(default)]
    pub peer: Peer,
    /// Choice of upstreams and handling of load.
    #[serde(default)]
    pub policy: Policy,
    /// The lease of this daemon.
    #[serde(default)]
    pub lease: Lease,
    /// Sizes that bound what a caller may send.
    #[serde(default)]
    pub limits: Limits,
    /// Periods and timeouts.
    #[serde(default)]
    pub timers: Timers,
    /// Logs and traces.
    #[serde(default)]
    pub telemetry: Telemetry,
}

/// The platform's services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the list of vms.
    pub vms: SocketAddr,
    /// Timeout of one call, in milliseconds.
    #[serde(default = "Platform::default_timeout_ms")]
    pub timeout_ms: u64,
}

impl Platform {
    const fn default_timeout_ms() -> u64 {
        2_000
    }
}

/// Communication with other daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Peer {
    /// Time between two probes, in milliseconds.
    pub probe_period_ms: u64,
    /// Time after which a probe counts as unanswered, in milliseconds.
    pub probe_timeout_ms: u64,
    /// Daemons that are asked to probe on this one's behalf.
    pub indirect_probes: usize,
    /// Time for which a silent daemon is suspected before it counts as gone, in milliseconds.
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

/// Choice of upstreams and handling of load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Upstreams of one deployment that this daemon considers.
    pub subset: usize,
    /// Requests of one deployment that may wait in this daemon.
    pub queue: usize,
    /// Share of successes that may be spent on retries and hedges, from 0 to 1.
    pub retry_share: f64,
    /// Seed of random choices; absent for a random one.
    pub seed: Option<u64>,
    /// Uses the naive policy, for comparison only.
    pub naive: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self { subset: 64, queue: 256, retry_share: 0.05, seed: None, naive: false }
    }
}

/// The lease of a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Lease {
    /// Length of the lease, in milliseconds.
    pub length_ms: u64,
    /// Time between two renewals, in milliseconds.
    pub renewal_ms: u64,
    /// Additional time before an observer treats the lease as ended, in milliseconds.
    pub margin_ms: u64,
}

impl Default for Lease {
    fn default() -> Self {
        Self { length_ms: 10_000, renewal_ms: 3_000, margin_ms: 5_000 }
    }
}

/// Sizes that bound what a caller may send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest body of an online request, in bytes.
    pub body_bytes: usize,
    /// Largest body of a batch job, in bytes.
    pub batch_body_bytes: usize,
    /// Most items of a batch job.
    pub batch_items: usize,
    /// Largest header section, in bytes.
    pub header_bytes: usize,
    /// Items of a chunk.
    pub chunk_items: usize,
    /// Attempts of an item before it ends as failed.
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

/// Periods and timeouts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timers {
    /// Time between two reads of the newest revision, in milliseconds.
    pub config_poll_ms: u64,
    /// Time between two reads of the list of vms, in milliseconds.
    pub vms_poll_ms: u64,
    /// Time between two reads of an upstream's load, in milliseconds.
    pub load_poll_ms: u64,
    /// Time between two reads of the open jobs, in milliseconds.
    pub jobs_poll_ms: u64,
    /// Deadline of an online request that brings none, in milliseconds.
    pub request_ms: u64,
    /// Longest graceful shutdown, in milliseconds.
    pub drain_ms: u64,
    /// Time between the failed readiness probe and the end of accepting, in milliseconds.
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
    /// Every step.
    Trace,
}

impl Level {
    /// The name in the settings file.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }

    /// The least severe level that is written.
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
