//! Occupancy reports that relays send each other: how many requests each has at each upstream.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{hash, time::Time};

/// Shortest time between two reports of a relay.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Largest number of datagrams with reports that one relay sends per second, one per recipient.
/// Bounds the cost in a large fleet.
const MAX_DATAGRAMS_PER_S: u32 = 500;

/// Requests at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

/// Requests of one relay. Upstreams are identified by their [`short_id`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests by upstream, without upstreams that have none.
    pub counts: BTreeMap<u32, Counts>,
    /// Batch items that wait for a slot.
    pub waiting: u32,
    /// Upstreams that this relay has ejected after failures.
    pub failed: BTreeSet<u32>,
}

/// Returns the shortest time between two reports of a relay to `recipients` other relays.
pub fn report_interval(recipients: usize) -> Duration {
    let interval = Duration::from_secs(1) * u32::try_from(recipients).unwrap_or(u32::MAX)
        / MAX_DATAGRAMS_PER_S;
    interval.max(MIN_REPORT_INTERVAL)
}

/// Returns the identifier of an upstream in reports.
pub fn short_id(id: &str) -> u32 {
    // The upper half of the hash. A collision only makes counts less accurate.
    (hash::stable(&[id]) >> 32) as u32
}

/// Returns the rank of a relay at an upstream, from the hashes of the relay's name and the
/// upstream's id. The order of the relays differs between upstreams, and all relays compute the
/// same order.
pub const fn rank(relay_hash: u64, upstream_hash: u64) -> u64 {
    // The finalizer of SplitMix64 (Steele, Lea and Flood, 2014). The names are hashed in advance
    // because ranks are computed for every pair in every pass.
    let mixed = relay_hash ^ upstream_hash;
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Latest report of another relay.
pub struct PeerReport {
    /// Hash of the name of the relay.
    pub hash: u64,
    /// When the report arrived.
    pub received_at: Time,
    pub report: Report,
}
