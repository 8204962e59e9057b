//! Division of the upstreams of a deployment into shards, and the choice of their brokers.
//!
//! All relays compute the same shards and brokers from the same lists. While the lists differ, two
//! relays may act as the broker of one shard, which costs efficiency only.

use std::time::Duration;

use crate::hash::{self, short};

/// Largest number of upstreams of a shard. More upstreams share their slots better, but load one
/// broker more.
const MAX_UPSTREAMS: usize = 64;
/// Relays with less than this share of the largest capacity are not brokers while there are others.
const MIN_CAPACITY_SHARE: f64 = 0.5;
/// Time after the oldest relay joined in which others count as having joined with it.
const JOIN_SPREAD: Duration = Duration::from_secs(5);
/// Time after joining in which a relay serves only if there are no older ones. It exceeds the usual
/// time for which relays are disconnected from the store.
const PROBATION: Duration = Duration::from_secs(15);

/// Returns the number of shards of a deployment.
pub fn count(upstreams: usize) -> u32 {
    upstreams.div_ceil(MAX_UPSTREAMS).max(1) as u32
}

/// Returns the id of a shard of a deployment, and of the shard with the index 0 if there is only
/// one.
pub fn id(deployment: &str, index: u32) -> u32 {
    short(hash::stable(&["shard", deployment, &index.to_string()]))
}

/// Returns the index of the shard of an upstream among `count` shards. When the count changes by one,
/// few upstreams change their shard.
pub fn index(upstream_hash: u64, count: u32) -> u32 {
    let weight = |index: &u32| {
        // The finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
        let mixed = upstream_hash ^ (u64::from(*index) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    };
    (0..count).max_by_key(weight).unwrap_or_default()
}

/// Returns the identifier of a data centre or relay in messages.
pub fn name_id(name: &str) -> u32 {
    short(hash::stable(&[name]))
}

/// A relay that may be a broker or monitor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    pub name: &'a str,
    /// Processing capacity relative to other relays.
    pub capacity: u32,
    /// When it joined, on the store's clock, in milliseconds.
    pub joined_ms: u64,
}

/// Returns the relays that serve `key` for all others, the first choice first, at most `count`.
/// `now_ms` is the time of the store's clock.
///
/// Small vms serve only if there are no larger ones. Relays that joined recently serve only if there
/// are no others: relays that are disconnected from the store do not know them and would choose
/// another one.
pub fn servers<'a>(
    candidates: &[Candidate<'a>],
    key: &str,
    count: usize,
    now_ms: u64,
) -> Vec<&'a str> {
    let largest = candidates.iter().map(|candidate| candidate.capacity).max().unwrap_or_default();
    let has_capacity = |candidate: &&Candidate<'_>| {
        f64::from(candidate.capacity) >= f64::from(largest) * MIN_CAPACITY_SHARE
    };
    let suitable = || candidates.iter().filter(has_capacity);
    let oldest_ms = suitable().map(|candidate| candidate.joined_ms).min().unwrap_or_default();
    let is_new = |candidate: &Candidate<'_>| {
        candidate.joined_ms > oldest_ms.saturating_add(JOIN_SPREAD.as_millis() as u64)
            && now_ms < candidate.joined_ms.saturating_add(PROBATION.as_millis() as u64)
    };
    let names = suitable().filter(|candidate| !is_new(candidate)).map(|candidate| candidate.name);
    hash::subset(names, key, count)
}
