//! Every settings key with its type, unit, range and default.

use std::fmt;

/// A key of the settings file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Key {
    /// Path with dots between sections.
    pub path: &'static str,
    /// Type and range.
    pub kind: Kind,
    /// Unit; empty when the value has none.
    pub unit: &'static str,
    /// Value when the key is absent.
    pub default: Default,
    /// What the setting does.
    pub text: &'static str,
}

/// Type and range of a value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A name: 1 to 63 lower-case letters, digits and hyphens.
    Name,
    /// A secret: visible ASCII without spaces, at least `TOKEN_BYTES.0` and at most
    /// `TOKEN_BYTES.1` characters. Messages never show it.
    Token,
    /// An IP address and a port on which this process listens; port 0 takes a free port.
    Listener,
    /// An IP address and a port to which this process connects.
    Address,
    /// A whole number.
    Whole {
        /// Smallest value.
        least: u64,
        /// Largest value.
        most: u64,
    },
    /// A number.
    Number {
        /// Smallest value.
        least: f64,
        /// Largest value.
        most: f64,
    },
    /// `true` or `false`.
    Switch,
    /// One of several words.
    Word(&'static [&'static str]),
}

/// Value of an absent key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Default {
    /// The key is required.
    Required,
    /// The key has no value; the text says what happens then.
    Absent(&'static str),
    /// A whole number.
    Whole(u64),
    /// A number.
    Number(f64),
    /// `true` or `false`.
    Switch(bool),
    /// A word.
    Word(&'static str),
}

/// Longest name.
pub const NAME_BYTES: usize = 63;

/// Shortest and longest token. 16 random letters and digits cannot be found by trying.
pub const TOKEN_BYTES: (usize, usize) = (16, 256);

/// Largest whole number that JSON readers keep exactly.
const LARGEST_EXACT: u64 = (1 << 53) - 1;

/// Longest period or timeout, one hour.
const HOUR_MS: u64 = 3_600_000;

const fn whole(least: u64, most: u64) -> Kind {
    Kind::Whole { least, most }
}

const fn key(
    path: &'static str,
    kind: Kind,
    unit: &'static str,
    default: Default,
    text: &'static str,
) -> Key {
    Key { path, kind, unit, default, text }
}

/// All keys in the order of the settings page.
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
        whole(10, 60_000),
        "ms",
        Default::Whole(2_000),
        "Timeout of one call to the platform.",
    ),
    key(
        "peer.probe_period_ms",
        whole(10, 60_000),
        "ms",
        Default::Whole(1_000),
        "Time between two probes of other daemons.",
    ),
    key(
        "peer.probe_timeout_ms",
        whole(1, 60_000),
        "ms",
        Default::Whole(300),
        "Time after which a probe counts as unanswered. Less than `peer.probe_period_ms`.",
    ),
    key(
        "peer.indirect_probes",
        whole(0, 16),
        "daemons",
        Default::Whole(3),
        "Daemons that are asked to probe on this one's behalf.",
    ),
    key(
        "peer.suspicion_ms",
        whole(10, 600_000),
        "ms",
        Default::Whole(3_000),
        "Time for which a silent daemon is suspected before it counts as gone. At least \
         `peer.probe_period_ms`.",
    ),
    key(
        "policy.subset",
        whole(1, 10_000),
        "upstreams",
        Default::Whole(64),
        "Upstreams of one deployment that this daemon considers; all when there are fewer.",
    ),
    key(
        "policy.queue",
        whole(0, 100_000),
        "requests",
        Default::Whole(256),
        "Requests of one deployment that may wait in this daemon.",
    ),
    key(
        "policy.retry_share",
        Kind::Number { least: 0.0, most: 1.0 },
        "share of successes",
        Default::Number(0.05),
        "Share of recent successes that may be spent on retries and hedges.",
    ),
    key(
        "policy.seed",
        whole(0, LARGEST_EXACT),
        "",
        Default::Absent("a random seed"),
        "Seed of the random choices.",
    ),
    key(
        "policy.naive",
        Kind::Switch,
        "",
        Default::Switch(false),
        "Uses the naive policy (round robin, first come first served, fixed batch concurrency, \
         unlimited retries). For comparison only.",
    ),
    key(
        "lease.length_ms",
        whole(100, 600_000),
        "ms",
        Default::Whole(10_000),
        "Length of this daemon's lease. The same on every daemon.",
    ),
    key(
        "lease.renewal_ms",
        whole(10, 300_000),
        "ms",
        Default::Whole(3_000),
        "Time between two renewals. Less than half of `lease.length_ms`, so that one renewal may \
         be lost.",
    ),
    key(
        "lease.margin_ms",
        whole(10, 600_000),
        "ms",
        Default::Whole(5_000),
        "Additional time before an observer treats the lease as ended. The same on every daemon.",
    ),
    key(
        "limits.body_bytes",
        whole(1_024, 64 << 20),
        "bytes",
        Default::Whole(1 << 20),
        "Largest body of an online request.",
    ),
    key(
        "limits.batch_body_bytes",
        whole(1_024, 4 << 30),
        "bytes",
        Default::Whole(512 << 20),
        "Largest body of a batch job. At least `limits.body_bytes`.",
    ),
    key(
        "limits.batch_items",
        whole(1, 10_000_000),
        "items",
        Default::Whole(430_000),
        "Most items of a batch job.",
    ),
    key(
        "limits.header_bytes",
        whole(8_192, 1 << 20),
        "bytes",
        Default::Whole(32 << 10),
        "Largest header section of a request.",
    ),
    key(
        "limits.chunk_items",
        whole(1, 4_096),
        "items",
        Default::Whole(64),
        "Items of a chunk. At most `limits.batch_items`.",
    ),
    key(
        "limits.item_attempts",
        whole(1, 100),
        "attempts",
        Default::Whole(3),
        "Attempts of an item before it ends as failed.",
    ),
    key(
        "timers.config_poll_ms",
        whole(10, 8_000),
        "ms",
        Default::Whole(2_000),
        "Time between two reads of the newest configuration revision. At most 8 s, because a \
         change must be in force everywhere within 11 s.",
    ),
    key(
        "timers.vms_poll_ms",
        whole(10, 60_000),
        "ms",
        Default::Whole(2_000),
        "Time between two reads of the list of vms.",
    ),
    key(
        "timers.load_poll_ms",
        whole(10, 60_000),
        "ms",
        Default::Whole(500),
        "Time between two reads of an upstream's load.",
    ),
    key(
        "timers.jobs_poll_ms",
        whole(10, 60_000),
        "ms",
        Default::Whole(1_000),
        "Time between two reads of the open jobs.",
    ),
    key(
        "timers.request_ms",
        whole(100, HOUR_MS),
        "ms",
        Default::Whole(60_000),
        "Deadline of an online request that brings none.",
    ),
    key(
        "timers.drain_ms",
        whole(100, HOUR_MS),
        "ms",
        Default::Whole(30_000),
        "Longest graceful shutdown. More than `timers.leave_ms`.",
    ),
    key(
        "timers.leave_ms",
        whole(0, 600_000),
        "ms",
        Default::Whole(2_000),
        "Time between the failed readiness probe and the end of accepting.",
    ),
    key(
        "telemetry.log_level",
        Kind::Word(&["error", "warn", "info", "debug", "trace"]),
        "",
        Default::Word("info"),
        "Least severe level that is logged.",
    ),
    key(
        "telemetry.trace_share",
        Kind::Number { least: 0.0, most: 1.0 },
        "share of requests",
        Default::Number(0.0),
        "Share of requests without a `traceparent` header whose spans are logged.",
    ),
];

/// The key with this path.
pub fn find(path: &str) -> Option<&'static Key> {
    KEYS.iter().find(|key| key.path == path)
}

/// Whether a section with this path exists.
pub fn is_section(path: &str) -> bool {
    KEYS.iter().any(|key| key.path.strip_prefix(path).is_some_and(|rest| rest.starts_with('.')))
}

impl Key {
    /// The range as the settings page shows it.
    pub fn range(&self) -> String {
        match self.kind {
            Kind::Name => format!("1 to {NAME_BYTES} of a-z, 0-9 and -"),
            Kind::Token => {
                let (least, most) = TOKEN_BYTES;
                format!("{least} to {most} visible ASCII characters without spaces")
            }
            Kind::Listener => "IP:port".into(),
            Kind::Address => "IP:port, neither unspecified".into(),
            Kind::Whole { least, most } => format!("{least} to {most}"),
            Kind::Number { least, most } => format!("{least} to {most}"),
            Kind::Switch => "true, false".into(),
            Kind::Word(words) => words.join(", "),
        }
    }

    /// What a value of this key looks like, for messages.
    pub fn expected(&self) -> String {
        let unit = if self.unit.is_empty() { String::new() } else { format!(" ({})", self.unit) };
        match self.kind {
            Kind::Name | Kind::Token => format!("a string of {}", self.range()),
            Kind::Listener => "a string with IP address and port such as \"0.0.0.0:8080\"".into(),
            Kind::Address => "a string with IP address and port such as \"10.0.0.1:8080\"".into(),
            Kind::Whole { .. } => format!("a whole number from {}{unit}", self.range()),
            Kind::Number { .. } => format!("a number from {}{unit}", self.range()),
            Kind::Switch => "true or false".into(),
            Kind::Word(_) => format!("one of the strings {}", self.range()),
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
            Self::Whole { .. } => "whole number",
            Self::Number { .. } => "number",
            Self::Switch => "switch",
            Self::Word(_) => "word",
        })
    }
}

impl fmt::Display for Default {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Required => f.write_str("required"),
            Self::Absent(meaning) => f.write_str(meaning),
            Self::Whole(value) => write!(f, "{value}"),
            Self::Number(value) => write!(f, "{value}"),
            Self::Switch(value) => write!(f, "{value}"),
            Self::Word(word) => f.write_str(word),
        }
    }
}
