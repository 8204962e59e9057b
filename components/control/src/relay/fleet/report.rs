//! What daemons tell each other of their requests.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{hash, time::Time};

/// Shortest time between two reports of a daemon.
const SHORTEST_REPORT_PAUSE: Duration = Duration::from_millis(20);
/// Reports that one daemon sends in a second at most, each to one other; bounds the cost in a large
/// fleet.
const REPORTS_PER_S: u32 = 500;

/// Requests at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests that callers wait for.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

/// Requests of one daemon by the hash of the upstream's id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Counts that are not zero.
    pub counts: BTreeMap<u32, Count>,
    /// Batch items that wait for a slot.
    pub waiting: u32,
    /// Upstreams that failed and are passed over, by the hash of their ids.
    pub failed: BTreeSet<u32>,
}

/// Shortest time between two reports of a daemon to this many others.
pub fn report_pause(others: usize) -> Duration {
    let paced = Duration::from_secs(1) * u32::try_from(others).unwrap_or(u32::MAX) / REPORTS_PER_S;
    paced.max(SHORTEST_REPORT_PAUSE)
}

/// The number that stands for an upstream in reports.
pub fn number(id: &str) -> u32 {
    // The upper half; collisions only blur a count.
    (hash::stable(&[id]) >> 32) as u32
}

/// Place of a daemon in the order of an upstream, by the hashes of both names. The order differs
/// between upstreams and is the same at all daemons.
pub const fn rank(daemon: u64, upstream: u64) -> u64 {
    // The finalizer of SplitMix64 (Steele, Lea and Flood, 2014). The names were hashed once, since
    // this runs for each pair at each look.
    let mixed = daemon ^ upstream;
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Another daemon.
pub struct Daemon {
    /// Hash of its name.
    pub hash: u64,
    /// When its report arrived.
    pub at: Time,
    /// The report.
    pub report: Report,
}
