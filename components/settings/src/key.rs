//! Table of the settings keys of a daemon with type, unit, range and default.
//!
//! The checks of settings files use the table, and tests compare it with the settings page and with
//! the defaults in the types.

use std::fmt;

/// Settings key of a daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Key {
    /// Path of the key, with dots between sections.
    pub path: &'static str,
    /// Type and range of the value.
    pub kind: Kind,
    /// Unit; empty when the value has none.
    pub unit: &'static str,
    pub default: Default,
    /// Meaning of the setting, as the settings page prints it.
    pub description: &'static str,
}

/// Type and range of a value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A name of 1 to [`MAX_NAME_BYTES`] lower-case ASCII letters, digits and hyphens.
    Name,
    /// A secret of visible ASCII characters without spaces, with a length within [`TOKEN_BYTES`].
    /// Messages never show it.
    Token,
    /// An IP address and a port on which this process listens. Port 0 lets the operating system
    /// choose a free port.
    Listener,
    /// An IP address and a port to which this process connects. Neither may be unspecified.
    Address,
    /// A whole number from `min` to `max`, both included.
    Integer {
        min: u64,
        max: u64,
    },
    /// A number from `min` to `max`, both included.
    Number {
        min: f64,
        max: f64,
    },
    Boolean,
    /// One of several strings.
    Choice(&'static [&'static str]),
}

/// What applies when the key is absent from the file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Default {
    /// The key is required.
    Required,
    /// The setting stays unset. The text says what an unset value means, as the settings page prints
    /// it.
    Absent(&'static str),
    Integer(u64),
    Number(f64),
    Boolean(bool),
    Choice(&'static str),
}

/// Length of the longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Lengths of the shortest and the longest token, in bytes. A token of 16 random letters and digits
/// cannot be found by brute force.
pub const TOKEN_BYTES: (usize, usize) = (16, 256);

/// Largest integer that JSON readers keep exactly when they hold numbers as `f64`: 2^53 - 1.
const MAX_EXACT_INTEGER: u64 = (1 << 53) - 1;

/// Upper bound of the deadline and of the graceful shutdown: one hour, in milliseconds.
const MAX_TIMER_MS: u64 = 3_600_000;

const fn integer(min: u64, max: u64) -> Kind {
    Kind::Integer { min, max }
}

const fn key(
    path: &'static str,
    kind: Kind,
    unit: &'static str,
    default: Default,
    description: &'static str,
) -> Key {
    Key { path, kind, unit, default, description }
}

/// All keys, in the order of the settings page.
pub const KEYS: &[Key] = &[
    key("name", Kind::Name, "", Default::Required, "Name of this vm, unique in the fleet."),
    key("data_centre", Kind::Name, "", Default::Required, "Data centre of this vm."),
    key(
        "listen",
        Kind::Listener,
        "",
        Default::Required,
        "Where callers, operators and the load balancer connect. Port 0 takes a free port.",
    ),
    key(
        "peer_listen",
        Kind::Listener,
        "",
        Default::Required,
        "Where other daemons connect, by TCP and UDP. Port 0 takes a free port.",
    ),
    key(
        "admin_token",
        Kind::Token,
        "",
        Default::Absent("loopback only"),
        "Bearer token that operators send to `/admin/*`. The same on every daemon. When absent, \
         `/admin/*` is answered only to callers on a loopback address.",
    ),
    key("platform.table", Kind::Address, "", Default::Required, "Address of the table service."),
    key("platform.objects", Kind::Address, "", Default::Required, "Address of the object store."),
    key("platform.vms", Kind::Address, "", Default::Required, "Address of the list of vms."),
    key(
        "platform.timeout_ms",
        integer(10, 60_000),
        "ms",
        Default::Integer(2_000),
        "Timeout of one call to the platform.",
    ),
    key(
        "peer.probe_period_ms",
        integer(10, 60_000),
        "ms",
        Default::Integer(1_000),
        "Time between two probes of other daemons.",
    ),
    key(
        "peer.probe_timeout_ms",
        integer(1, 60_000),
        "ms",
        Default::Integer(300),
        "Time after which a probe counts as unanswered. Less than `peer.probe_period_ms`.",
    ),
    key(
        "peer.indirect_probes",
        integer(0, 16),
        "daemons",
        Default::Integer(3),
        "Daemons that are asked to probe on this one's behalf.",
    ),
    key(
        "peer.suspicion_ms",
        integer(10, 600_000),
        "ms",
        Default::Integer(3_000),
        "Time for which a silent daemon is suspected before it counts as gone. At least \
         `peer.probe_period_ms`.",
    ),
    key(
        "policy.subset",
        integer(1, 10_000),
        "upstreams",
        Default::Integer(64),
        "Upstreams of one deployment that this daemon considers; all when there are fewer.",
    ),
    key(
        "policy.queue",
        integer(0, 100_000),
        "requests",
        Default::Integer(256),
        "Requests of one deployment that may wait in this daemon.",
    ),
    key(
        "policy.retry_share",
        Kind::Number { min: 0.0, max: 1.0 },
        "share of successes",
        Default::Number(0.05),
        "Share of recent successes that may be spent on retries and hedges.",
    ),
    key(
        "policy.seed",
        integer(0, MAX_EXACT_INTEGER),
        "",
        Default::Absent("a random seed"),
        "Seed of the random choices.",
    ),
    key(
        "policy.naive",
        Kind::Boolean,
        "",
        Default::Boolean(false),
        "Uses the naive policy (round robin, first come first served, fixed batch concurrency, \
         unlimited retries). For comparison only.",
    ),
    key(
        "lease.length_ms",
        integer(100, 600_000),
        "ms",
        Default::Integer(10_000),
        "Length of this daemon's lease. The same on every daemon.",
    ),
    key(
        "lease.renewal_ms",
        integer(10, 300_000),
        "ms",
        Default::Integer(3_000),
        "Time between two renewals. Less than half of `lease.length_ms`, so that one renewal may \
         be lost.",
    ),
    key(
        "lease.margin_ms",
        integer(10, 600_000),
        "ms",
        Default::Integer(5_000),
        "Additional time before an observer treats the lease as ended. The same on every daemon.",
    ),
    key(
        "limits.body_bytes",
        integer(1_024, 64 << 20),
        "bytes",
        Default::Integer(1 << 20),
        "Largest body of an online request.",
    ),
    key(
        "limits.batch_body_bytes",
        integer(1_024, 4 << 30),
        "bytes",
        Default::Integer(512 << 20),
        "Largest body of a batch job. At least `limits.body_bytes`.",
    ),
    key(
        "limits.batch_items",
        integer(1, 10_000_000),
        "items",
        Default::Integer(430_000),
        "Most items of a batch job.",
    ),
    key(
        "limits.header_bytes",
        integer(8_192, 1 << 20),
        "bytes",
        Default::Integer(32 << 10),
        "Largest header section of a request.",
    ),
    key(
        "limits.chunk_items",
        integer(1, 4_096),
        "items",
        Default::Integer(64),
        "Items of a chunk. At most `limits.batch_items`.",
    ),
    key(
        "limits.item_attempts",
        integer(1, 100),
        "attempts",
        Default::Integer(3),
        "Attempts of an item before it ends as failed.",
    ),
    key(
        "timers.config_poll_ms",
        integer(10, 8_000),
        "ms",
        Default::Integer(2_000),
        "Time between two reads of the newest configuration revision. At most 8 s, because a \
         change must be in force everywhere within 11 s.",
    ),
    key(
        "timers.vms_poll_ms",
        integer(10, 60_000),
        "ms",
        Default::Integer(2_000),
        "Time between two reads of the list of vms.",
    ),
    key(
        "timers.load_poll_ms",
        integer(10, 60_000),
        "ms",
        Default::Integer(500),
        "Time between two reads of an upstream's load.",
    ),
    key(
        "timers.jobs_poll_ms",
        integer(10, 60_000),
        "ms",
        Default::Integer(1_000),
        "Time between two reads of the open jobs.",
    ),
    key(
        "timers.request_ms",
        integer(100, MAX_TIMER_MS),
        "ms",
        Default::Integer(60_000),
        "Deadline of an online request that brings none.",
    ),
    key(
        "timers.drain_ms",
        integer(100, MAX_TIMER_MS),
        "ms",
        Default::Integer(30_000),
        "Longest graceful shutdown. More than `timers.leave_ms`.",
    ),
    key(
        "timers.leave_ms",
        integer(0, 600_000),
        "ms",
        Default::Integer(2_000),
        "Time between the failed readiness probe and the end of accepting.",
    ),
    key(
        "telemetry.log_level",
        Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
        "",
        Default::Choice("info"),
        "Least severe level that is logged.",
    ),
    key(
        "telemetry.trace_share",
        Kind::Number { min: 0.0, max: 1.0 },
        "share of requests",
        Default::Number(0.0),
        "Share of requests without a `traceparent` header whose spans are logged.",
    ),
];

pub fn find(path: &str) -> Option<&'static Key> {
    KEYS.iter().find(|key| key.path == path)
}

/// Returns whether `path` names a section, which is the prefix of at least one key.
pub fn is_section(path: &str) -> bool {
    KEYS.iter().any(|key| key.path.strip_prefix(path).is_some_and(|rest| rest.starts_with('.')))
}

impl Key {
    /// Returns the range as the settings page prints it.
    pub fn range(&self) -> String {
        match self.kind {
            Kind::Name => format!("1 to {MAX_NAME_BYTES} of a-z, 0-9 and -"),
            Kind::Token => {
                let (min, max) = TOKEN_BYTES;
                format!("{min} to {max} visible ASCII characters without spaces")
            }
            Kind::Listener => "IP:port".into(),
            Kind::Address => "IP:port, neither unspecified".into(),
            Kind::Integer { min, max } => format!("{min} to {max}"),
            Kind::Number { min, max } => format!("{min} to {max}"),
            Kind::Boolean => "true, false".into(),
            Kind::Choice(choices) => choices.join(", "),
        }
    }

    /// Describes a valid value with type, range and unit, for messages that refuse another one.
    pub fn expected(&self) -> String {
        let unit = if self.unit.is_empty() { String::new() } else { format!(" ({})", self.unit) };
        match self.kind {
            Kind::Name | Kind::Token => format!("a string of {}", self.range()),
            Kind::Listener => "a string with IP address and port such as \"0.0.0.0:8080\"".into(),
            Kind::Address => "a string with IP address and port such as \"10.0.0.1:8080\"".into(),
            Kind::Integer { .. } => format!("a whole number from {}{unit}", self.range()),
            Kind::Number { .. } => format!("a number from {}{unit}", self.range()),
            Kind::Boolean => "true or false".into(),
            Kind::Choice(_) => format!("one of the strings {}", self.range()),
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Name => "name",
            Self::Token => "token",
            Self::Listener => "listener",
            Self::Address => "address",
            Self::Integer { .. } => "whole number",
            Self::Number { .. } => "number",
            Self::Boolean => "switch",
            Self::Choice(_) => "word",
        })
    }
}

impl fmt::Display for Default {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Required => f.write_str("required"),
            Self::Absent(meaning) => f.write_str(meaning),
            Self::Integer(value) => write!(f, "{value}"),
            Self::Number(value) => write!(f, "{value}"),
            Self::Boolean(value) => write!(f, "{value}"),
            Self::Choice(choice) => f.write_str(choice),
        }
    }
}
