//! Choice between candidate upstreams: prefix affinity and power of two choices.

use rand::RngExt;

use crate::fleet::UpstreamKey;

/// Load up to which the upstream with prefix affinity is chosen, relative to the mean.
const AFFINITY_MAX_LOAD: f64 = 1.25;
/// Relative latency up to which the upstream with prefix affinity is chosen.
const AFFINITY_MAX_LATENCY: f64 = 2.0;

/// An upstream that can accept a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    pub key: UpstreamKey,
    /// Stable hash of the upstream name.
    pub name_hash: u64,
    /// Estimated outstanding requests.
    pub load: f64,
    /// Latency relative to the peers, multiplied by a penalty for failed attempts.
    pub relative_latency: f64,
}

impl Candidate {
    /// Returns the score of the candidate; lower is better.
    pub fn score(&self) -> f64 {
        (self.load + 1.0) * self.relative_latency
    }
}

/// Returns the better of two random candidates (Mitzenmacher 2001). Choosing the best of all would
/// make every daemon with the same load reports choose the same upstream.
pub fn power_of_two_choices<R: RngExt>(
    candidates: &[Candidate],
    rng: &mut R,
) -> Option<UpstreamKey> {
    match candidates {
        [] => None,
        [only] => Some(only.key),
        _ => {
            let first = rng.random_range(0..candidates.len());
            let other = rng.random_range(0..candidates.len() - 1);
            let second = if other >= first { other + 1 } else { other };
            let (a, b) = (&candidates[first], &candidates[second]);
            Some(if b.score() < a.score() { b.key } else { a.key })
        }
    }
}

/// Returns the candidate that has, or by rendezvous hashing should have, the prompt prefix in its
/// cache, unless its load or latency is too far above that of the others.
pub fn prefix_affine(
    candidates: &[Candidate],
    prefix: u64,
    cached: Option<UpstreamKey>,
) -> Option<UpstreamKey> {
    if prefix == 0 || candidates.is_empty() {
        return None;
    }
    let sum: f64 = candidates.iter().map(|candidate| candidate.load).sum();
    let mean = sum / candidates.len() as f64;
    let is_eligible = |candidate: &&Candidate| {
        candidate.load + 1.0 <= AFFINITY_MAX_LOAD * (mean + 1.0)
            && candidate.relative_latency <= AFFINITY_MAX_LATENCY
    };
    let caching =
        candidates.iter().find(|candidate| Some(candidate.key) == cached).filter(is_eligible);
    let owner = || {
        candidates.iter().max_by_key(|candidate| splitmix64_finalize(candidate.name_hash ^ prefix))
    };
    caching.or_else(|| owner().filter(is_eligible)).map(|candidate| candidate.key)
}

/// Finaliser of SplitMix64 (Steele, Lea and Flood 2014).
const fn splitmix64_finalize(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
